//! The controller as a watcher of the control machines: their configuration is held here, prepared when it is certified
//! and acted on when it is allowed.
//!
//! [`badgerledge_distribution::watcher`] decides; this carries out. Frames go over streams to relays, what must outlive
//! the process goes to the state folder before anything is said that rests on it.

mod nonces;
mod relay_lines;
mod ring_file;
mod store;
#[cfg(test)]
mod store_tests;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::entries::entries_of;
use badgerledge_deployment::{
    ActedOn, ControllerPlace, Deployment, DistributionPlace, RelayPlace, StateReader,
};
use badgerledge_distribution::state::State;
use badgerledge_distribution::watcher::{
    relay_order, Check, HoldReason, Watcher, WatcherConfig, WatcherOutput, WatcherStatus,
};
use badgerledge_keys::Verifier;
use badgerledge_reactor::{Line, Reactor};
use metrics::{counter, gauge};

use crate::changing::Change;
use crate::fits::Fits;
use crate::watch;
use nonces::RandomnessFailed;
use relay_lines::RelayLines;
use ring_file::RingFile;
use store::WatcherStore;

/// Viewers that are turned away while new joins are held back come back after this: within a lease most holds end.
const COME_BACK: Duration = Duration::from_millis(1500);
/// The ring's file is looked at, and gauges are set, this often: a revocation takes hold within it.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Messages of one relay that are taken in one wake at most: viewers have their turn between.
const MOST_AT_ONCE: usize = 256;

/// What is read of states, and what they must fit, for the watcher's check and for what is acted on.
struct Checks {
    reader: StateReader,
    fits: Fits,
}

impl Checks {
    fn check(&mut self, state: &State) -> Result<(), String> {
        let text = self.reader.read(state)?;
        self.fits.check(&text)
    }
}

/// Why new joins are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Watcher(HoldReason),
    /// A revision was taken that can't be acted on after all.
    NotCarriedOut,
    /// A lease that was granted may be older than it seems.
    NoRandomness,
}

/// The driver of a controller's watcher.
pub struct Distributing {
    watcher: Watcher<Verifier>,
    lines: RelayLines,
    store: WatcherStore,
    ring: RingFile,
    checks: Arc<Mutex<Checks>>,
    randomness_failed: RandomnessFailed,
    /// The number of this controller's zone.
    zone: usize,
    /// Whether the titles go with the configuration.
    titles: bool,
    /// What is acted on changed since it was last taken.
    changed: bool,
    /// What was to be acted on could not be.
    not_carried_out: bool,
    /// Relays that could not even be tried, or whose messages wait for their turn.
    failed: Vec<usize>,
    waiting: Vec<usize>,
    look_at: Duration,
    /// What was held when it was last shown.
    shown: Option<Held>,
    relay_shown: Option<usize>,
    /// Whether the lease that was shown last rested on control machines that vouched.
    regional_shown: bool,
    now: Duration,
}

impl Distributing {
    /// Nothing where the deployment has no such section.
    ///
    /// # Errors
    /// Where the ring, the state folder or the own configuration are not in order.
    pub fn new(
        reactor: &Reactor, deployment: &Deployment, titles: &Catalogue, seed: u64,
    ) -> Result<Option<Self>> {
        let place = &deployment.place;
        let (Some(told), Some(state)) = (&deployment.distribution, &place.state) else { return Ok(None) };
        let (ring, verifier) = RingFile::read(&told.ring)?;
        if ring.acceptors() == 0 {
            bail!(
                "[distribution]: {} names no keepers; `badgerledge-keys keepers` does",
                told.ring.display()
            );
        }
        let own = own_state(deployment, told.titles.then_some(titles))?;
        let fits = Fits::new(deployment, (!told.titles).then_some(titles), "[distribution] titles");
        let zone = fits.zone();
        let checks = Arc::new(Mutex::new(Checks { reader: StateReader::default(), fits }));
        let randomness_failed = RandomnessFailed::default();
        let store = WatcherStore::new(state);
        let order = preferred(place, told);
        let config = WatcherConfig {
            controller: place.number,
            relays: order.len(),
            activation_delay: Duration::from_millis(2 * place.tick_ms),
            regional: told.apart,
            check: check_with(checks.clone()),
            nonce: nonces::from_system(randomness_failed.clone()),
        };
        let now = reactor.now();
        let watcher = Watcher::new(verifier, config, own, store.read(), seed, now);
        let status = watcher.status(now);
        let (active, bound) = (status.acting.active, status.bound);
        if let (0, Ok(mut checks)) = (active, checks.lock()) {
            checks.fits.hold(deployment.shared.clone());
        }
        let machines: Vec<_> = order.iter().map(|relay| relay.machine).collect();
        tracing::info!(active, ?bound, ?machines, "distribution begins");
        Ok(Some(Self {
            watcher,
            lines: RelayLines::new(order, told.from),
            store,
            ring,
            checks,
            randomness_failed,
            zone,
            titles: told.titles,
            changed: active > 0,
            not_carried_out: false,
            failed: Vec::new(),
            waiting: Vec::new(),
            look_at: now,
            shown: None,
            relay_shown: None,
            regional_shown: false,
            now,
        }))
    }

    pub fn next_due(&self) -> Duration {
        if self.failed.is_empty() && self.waiting.is_empty() {
            self.watcher.next_poll_at().min(self.look_at)
        } else {
            self.now
        }
    }

    /// One time for all that a wake brings.
    pub fn wakes(&mut self, now: Duration) {
        self.now = now;
    }

    /// Does what is due.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        self.now = now;
        let mut out = Vec::new();
        for place in std::mem::take(&mut self.failed) {
            self.watcher.on_closed(now, place, &mut out);
        }
        self.carry_out(reactor, out);
        for place in std::mem::take(&mut self.waiting) {
            self.take_messages(reactor, place);
        }
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.ring.look().into_iter().for_each(|verifier| self.watcher.replace_signer(verifier));
            self.show();
        }
        if now >= self.watcher.next_poll_at() {
            let mut out = Vec::new();
            self.watcher.poll(now, &mut out);
            self.carry_out(reactor, out);
        }
    }

    /// Whether a line is one of this part's own.
    pub fn is(&self, line: Line) -> bool {
        self.lines.place_of(line).is_some()
    }

    pub fn opened(&mut self, reactor: &mut Reactor, line: Line) {
        let Some(place) = self.lines.place_of(line) else { return };
        let mut out = Vec::new();
        self.watcher.on_connected(self.now, place, &mut out);
        self.carry_out(reactor, out);
    }

    /// What came before the end still counts.
    pub fn closed(&mut self, reactor: &mut Reactor, line: Line) {
        if let Some(place) = self.lines.place_of(line) {
            self.take_messages(reactor, place);
        }
        // Unless one of these messages had the line closed.
        if let Some(place) = self.lines.ended(line) {
            let mut out = Vec::new();
            self.watcher.on_closed(self.now, place, &mut out);
            self.carry_out(reactor, out);
        }
    }

    pub fn readable(&mut self, reactor: &mut Reactor, line: Line) {
        if let Some(place) = self.lines.place_of(line) {
            self.take_messages(reactor, place);
        }
    }

    fn take_messages(&mut self, reactor: &mut Reactor, place: usize) {
        for _ in 0..MOST_AT_ONCE {
            let mut out = Vec::new();
            match self.lines.next_message(reactor, place) {
                Ok(Some(message)) => self.watcher.on_message(self.now, place, message, &mut out),
                Ok(None) => return,
                Err(fault) => {
                    let machine = self.lines.relay(place).map(|relay| relay.machine);
                    tracing::warn!(machine, "a relay's stream is left: {fault}");
                    self.lines.close(reactor, place);
                    self.watcher.on_closed(self.now, place, &mut out);
                }
            }
            self.carry_out(reactor, out);
        }
        self.waiting.push(place);
    }

    fn carry_out(&mut self, reactor: &mut Reactor, out: Vec<WatcherOutput>) {
        // What could not be stored must not be said: the rest of what was decided is dropped, as if it were lost.
        let mut durable = true;
        for output in out {
            match output {
                WatcherOutput::Connect(place) => {
                    if !self.lines.connect(reactor, place) {
                        self.failed.push(place);
                    }
                }
                WatcherOutput::Close(place) => {
                    self.lines.close(reactor, place);
                    self.failed.retain(|failed| *failed != place);
                }
                WatcherOutput::Send(place, message) if durable => {
                    if !self.lines.send(reactor, place, &message) {
                        self.lines.close(reactor, place);
                        self.failed.push(place);
                    }
                }
                WatcherOutput::Send(..) => {}
                WatcherOutput::Store(request) => {
                    if let Err(fault) = self.store.carry_out(&request) {
                        tracing::error!(
                            "a revision could not be stored, and nothing is said that rests on it: {fault}"
                        );
                        durable = false;
                    }
                }
                WatcherOutput::Changed => self.changed = true,
                WatcherOutput::Unfit { number, reason } => {
                    tracing::error!(number, "a certified revision can't be acted on here: {reason}");
                    counter!(watch::REVISIONS_REFUSED).increment(1);
                }
            }
        }
    }

    fn held(&self, now: Duration) -> Option<Held> {
        if self.randomness_failed.get() {
            return Some(Held::NoRandomness);
        }
        if self.not_carried_out {
            return Some(Held::NotCarriedOut);
        }
        self.watcher.acting(now).hold_reason.map(Held::Watcher)
    }

    /// Whether new joins are held back at this time, and when viewers may come back.
    pub fn holds_back(&mut self, now: Duration) -> Option<Duration> {
        let held = self.held(now);
        if held != self.shown {
            match held {
                Some(why) => tracing::warn!(?why, "new joins are held back"),
                None => tracing::info!("new joins go on"),
            }
            gauge!(watch::REVISION_HELD).set(f64::from(u8::from(held.is_some())));
            self.shown = held;
        }
        held.map(|_| COME_BACK)
    }

    /// The number of this controller's zone: the name may change.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// What to act on from now on, if it has changed.
    pub fn take_change(&mut self) -> Option<Change> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let acted_on = self.acted_on().map_err(|why| tracing::error!("a revision is not carried out: {why}"));
        self.not_carried_out = acted_on.is_err();
        let ActedOn { shared, titles, exclusive } = acted_on.ok()?;
        let acting = self.watcher.acting(self.now);
        let (active, prepared) = (acting.active, acting.prepared);
        tracing::info!(active, prepared, exclusive, titles = titles.len(), "acts on a revision");
        self.show();
        Some(Change { shared, titles: self.titles.then_some(titles) })
    }

    fn acted_on(&self) -> Result<ActedOn, String> {
        let mut checks = self.checks.lock().map_err(|fault| fault.to_string())?;
        let active = checks.reader.read(self.watcher.active_state())?;
        let prepared = self.watcher.prepared_state().map(|state| checks.reader.read(state)).transpose()?;
        checks.fits.act_on(&active, prepared.as_deref())
    }

    /// The catalogue's own file was read anew.
    pub fn titles_read(&self, titles: &Catalogue) {
        if let Ok(mut checks) = self.checks.lock() {
            checks.fits.titles_read(titles);
        }
    }

    fn show(&mut self) {
        let status = self.watcher.status(self.now);
        let WatcherStatus { acting, certified, bound, serving, .. } = &status;
        gauge!(watch::REVISION_ACTIVE).set(f64::from(acting.active));
        gauge!(watch::REVISION_CERTIFIED).set(f64::from(*certified));
        gauge!(watch::REVISION_BOUND).set(bound.as_secs_f64());
        let lease = status.lease_until.map_or(Duration::ZERO, |until| until.saturating_sub(self.now));
        gauge!(watch::DISTRIBUTION_LEASE).set(lease.as_secs_f64());
        counter!(watch::DISTRIBUTION_RELAYS_REFUSED).absolute(status.relays_refused);
        gauge!(watch::DISTRIBUTION_REGIONAL).set(f64::from(u8::from(status.regional)));
        if status.regional != self.regional_shown {
            self.regional_shown = status.regional;
            match status.regional {
                true => tracing::warn!(active = acting.active, "the region is cut off: goes on as it was"),
                false => tracing::info!(active = acting.active, "the region is not cut off any more"),
            }
        }
        let place = serving.map(|(place, _)| place);
        let relay = place.and_then(|place| self.lines.relay(place));
        gauge!(watch::DISTRIBUTION_RELAY).set(relay.map_or(-1.0, |relay| f64::from(relay.machine)));
        if place != self.relay_shown {
            self.relay_shown = place;
            let why = status.last_refusal.map(|(_, why)| why);
            match relay {
                Some(relay) => tracing::info!(machine = relay.machine, at = %relay.at, "a relay serves"),
                None => tracing::warn!(why, "no relay serves"),
            }
        }
    }
}

fn check_with(checks: Arc<Mutex<Checks>>) -> Check {
    Box::new(move |state, _number| checks.lock().map_err(|fault| fault.to_string())?.check(state))
}

/// The state of the program's own files.
fn own_state(deployment: &Deployment, titles: Option<&Catalogue>) -> Result<State> {
    let mut text = deployment.shared_text.clone();
    titles.into_iter().for_each(|titles| text += &titles.text());
    let entries = entries_of(&text).context("[distribution]: the settings of this file")?;
    State::from_entries(entries).context("[distribution]: the settings of this file")
}

/// The relays in the order of this controller's preference.
fn preferred(place: &ControllerPlace, told: &DistributionPlace) -> Vec<RelayPlace> {
    let relays: Vec<_> = told.relays.iter().map(|relay| (relay.machine, relay.zone == place.zone)).collect();
    let order = relay_order(place.number, &relays);
    order.into_iter().filter_map(|at| told.relays.get(at).cloned()).collect()
}
