//! Drives a controller as a watcher of the control machines: it holds their configuration, prepares a
//! revision when it is certified and applies it when that is allowed.
//!
//! [`badgerledge_distribution::watcher`] decides; this does its input and output. Frames travel over streams
//! to relays. What must survive the process goes to the state folder before any message that depends on it is
//! sent.

mod nonces;
mod relay_connections;
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
use badgerledge_reactor::{Reactor, SocketId};
use metrics::{counter, gauge};

use crate::changing::Change;
use crate::configuration_check::ConfigurationCheck;
use crate::telemetry;
use nonces::RandomnessFailed;
use relay_connections::RelayConnections;
use ring_file::RingFile;
use store::WatcherStore;

/// Retry delay for viewers that are throttled while new joins are held back: most holds end within a lease.
const RETRY_DELAY: Duration = Duration::from_millis(1500);
/// Interval at which the ring's file is checked and gauges are set: a revocation takes effect within it.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Messages of one relay that are handled without a break, so that viewers are served in between.
const MAX_MESSAGES_AT_ONCE: usize = 256;

/// Reads states and checks whether they can be applied, for the watcher and for what is applied.
struct Checks {
    reader: StateReader,
    configuration_check: ConfigurationCheck,
}

impl Checks {
    /// Checks whether a state can be applied.
    fn check(&mut self, state: &State) -> Result<(), String> {
        let text = self.reader.read(state)?;
        self.configuration_check.check(&text)
    }
}

/// Why new joins are held back. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldCause {
    Watcher(HoldReason),
    /// A revision was accepted that cannot be applied after all.
    NotCarriedOut,
    /// A nonce could not be generated: a granted lease may be older than it seems.
    NoRandomness,
}

/// The driver of a controller's watcher.
pub struct DistributionDriver {
    watcher: Watcher<Verifier>,
    relay_connections: RelayConnections,
    store: WatcherStore,
    ring: RingFile,
    checks: Arc<Mutex<Checks>>,
    randomness_failed: RandomnessFailed,
    /// The index of this controller's zone.
    zone: usize,
    /// Whether the titles are part of the configuration.
    titles: bool,
    /// Whether the configuration to apply has changed since it was last taken.
    changed: bool,
    /// Whether the last change could not be applied.
    apply_failed: bool,
    /// Relays whose connection or message failed locally, and relays with further messages to handle.
    failed_relays: Vec<usize>,
    relays_with_input: Vec<usize>,
    /// When the ring file is checked and gauges are set next.
    check_at: Duration,
    /// The reason for holding back that was last logged.
    logged_hold: Option<HoldCause>,
    logged_relay: Option<usize>,
    /// Whether the lease that was logged last was a regional lease.
    logged_regional: bool,
    now: Duration,
}

impl DistributionDriver {
    /// `None` where the deployment has no such section.
    ///
    /// # Errors
    /// If the ring, the state folder or the local configuration is invalid.
    pub fn new(
        reactor: &Reactor, deployment: &Deployment, titles: &Catalogue, seed: u64,
    ) -> Result<Option<Self>> {
        let place = &deployment.place;
        let (Some(settings), Some(state)) = (&deployment.distribution, &place.state) else { return Ok(None) };
        let (ring, verifier) = RingFile::read(&settings.ring)?;
        if ring.acceptors() == 0 {
            bail!(
                "[distribution]: {} names no acceptors; set them with `badgerledge-keys keepers`",
                settings.ring.display()
            );
        }
        let own_state = state_of_files(deployment, settings.titles.then_some(titles))?;
        let configuration_check = ConfigurationCheck::new(
            deployment,
            (!settings.titles).then_some(titles),
            "[distribution] titles",
        );
        let zone = configuration_check.zone();
        let checks = Arc::new(Mutex::new(Checks { reader: StateReader::default(), configuration_check }));
        let randomness_failed = RandomnessFailed::default();
        let store = WatcherStore::new(state);
        let relays = relays_by_preference(place, settings);
        let config = WatcherConfig {
            controller: place.number,
            relays: relays.len(),
            activation_delay: Duration::from_millis(2 * place.tick_ms),
            regional: settings.apart,
            check: check_function(checks.clone()),
            nonce: nonces::from_system(randomness_failed.clone()),
        };
        let now = reactor.now();
        let watcher = Watcher::new(verifier, config, own_state, store.read(), seed, now);
        let status = watcher.status(now);
        let (active, bound) = (status.acting.active, status.bound);
        if let (0, Ok(mut checks)) = (active, checks.lock()) {
            checks.configuration_check.set_current(deployment.shared.clone());
        }
        let machines: Vec<_> = relays.iter().map(|relay| relay.machine).collect();
        tracing::info!(active, ?bound, ?machines, "distribution begins");
        Ok(Some(Self {
            watcher,
            relay_connections: RelayConnections::new(relays, settings.from),
            store,
            ring,
            checks,
            randomness_failed,
            zone,
            titles: settings.titles,
            changed: active > 0,
            apply_failed: false,
            failed_relays: Vec::new(),
            relays_with_input: Vec::new(),
            check_at: now,
            logged_hold: None,
            logged_relay: None,
            logged_regional: false,
            now,
        }))
    }

    /// When [`Self::poll`] has work to do next.
    pub fn next_due(&self) -> Duration {
        if self.failed_relays.is_empty() && self.relays_with_input.is_empty() {
            self.watcher.next_poll_at().min(self.check_at)
        } else {
            self.now
        }
    }

    /// Sets the one time that all events of this iteration of the event loop are handled with.
    pub fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// Does the work that is due.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration) {
        self.now = now;
        let mut out = Vec::new();
        for relay_index in std::mem::take(&mut self.failed_relays) {
            self.watcher.on_closed(now, relay_index, &mut out);
        }
        self.execute(reactor, out);
        for relay_index in std::mem::take(&mut self.relays_with_input) {
            self.handle_messages(reactor, relay_index);
        }
        if now >= self.check_at {
            self.check_at = now + CHECK_INTERVAL;
            self.ring
                .reload_if_changed()
                .into_iter()
                .for_each(|verifier| self.watcher.replace_signer(verifier));
            self.export_metrics();
        }
        if now >= self.watcher.next_poll_at() {
            let mut out = Vec::new();
            self.watcher.poll(now, &mut out);
            self.execute(reactor, out);
        }
    }

    /// Whether a connection belongs to this subsystem.
    pub fn owns(&self, connection: SocketId) -> bool {
        self.relay_connections.index_of(connection).is_some()
    }

    /// Handles the completion of a connection to a relay.
    pub fn opened(&mut self, reactor: &mut Reactor, connection: SocketId) {
        let Some(relay_index) = self.relay_connections.index_of(connection) else { return };
        let mut out = Vec::new();
        self.watcher.on_connected(self.now, relay_index, &mut out);
        self.execute(reactor, out);
    }

    /// Handles the end of a connection, after the messages that arrived before it.
    pub fn closed(&mut self, reactor: &mut Reactor, connection: SocketId) {
        if let Some(relay_index) = self.relay_connections.index_of(connection) {
            self.handle_messages(reactor, relay_index);
        }
        // Unless handling one of these messages closed the connection.
        if let Some(relay_index) = self.relay_connections.remove_closed(connection) {
            let mut out = Vec::new();
            self.watcher.on_closed(self.now, relay_index, &mut out);
            self.execute(reactor, out);
        }
    }

    /// Handles new input from a relay.
    pub fn readable(&mut self, reactor: &mut Reactor, connection: SocketId) {
        if let Some(relay_index) = self.relay_connections.index_of(connection) {
            self.handle_messages(reactor, relay_index);
        }
    }

    /// Handles messages of a relay, up to [`MAX_MESSAGES_AT_ONCE`].
    fn handle_messages(&mut self, reactor: &mut Reactor, relay_index: usize) {
        for _ in 0..MAX_MESSAGES_AT_ONCE {
            let mut out = Vec::new();
            match self.relay_connections.next_message(reactor, relay_index) {
                Ok(Some(message)) => self.watcher.on_message(self.now, relay_index, message, &mut out),
                Ok(None) => return,
                Err(error) => {
                    let machine = self.relay_connections.relay(relay_index).map(|relay| relay.machine);
                    tracing::warn!(machine, "the connection to a relay is closed: {error}");
                    self.relay_connections.close(reactor, relay_index);
                    self.watcher.on_closed(self.now, relay_index, &mut out);
                }
            }
            self.execute(reactor, out);
        }
        self.relays_with_input.push(relay_index);
    }

    /// Executes outputs of the watcher.
    fn execute(&mut self, reactor: &mut Reactor, out: Vec<WatcherOutput>) {
        // What could not be stored must not be announced: the messages after it are dropped, as if they were
        // lost in transit.
        let mut all_stored = true;
        for output in out {
            match output {
                WatcherOutput::Connect(relay_index) => {
                    if !self.relay_connections.connect(reactor, relay_index) {
                        self.failed_relays.push(relay_index);
                    }
                }
                WatcherOutput::Close(relay_index) => {
                    self.relay_connections.close(reactor, relay_index);
                    self.failed_relays.retain(|failed| *failed != relay_index);
                }
                WatcherOutput::Send(relay_index, message) if all_stored => {
                    if !self.relay_connections.send(reactor, relay_index, &message) {
                        self.relay_connections.close(reactor, relay_index);
                        self.failed_relays.push(relay_index);
                    }
                }
                WatcherOutput::Send(..) => {}
                WatcherOutput::Store(request) => {
                    if let Err(error) = self.store.execute(&request) {
                        tracing::error!(
                            "a revision could not be stored; no message that depends on it is sent: {error}"
                        );
                        all_stored = false;
                    }
                }
                WatcherOutput::Changed => self.changed = true,
                WatcherOutput::Unfit { number, reason } => {
                    tracing::error!(number, "a certified revision can't be applied here: {reason}");
                    counter!(telemetry::REVISIONS_REFUSED).increment(1);
                }
            }
        }
    }

    /// Why new joins are held back at this time, if they are.
    fn current_hold(&self, now: Duration) -> Option<HoldCause> {
        if self.randomness_failed.get() {
            return Some(HoldCause::NoRandomness);
        }
        if self.apply_failed {
            return Some(HoldCause::NotCarriedOut);
        }
        self.watcher.acting(now).hold_reason.map(HoldCause::Watcher)
    }

    /// Whether new joins are held back at this time, and if so the retry delay for viewers.
    pub fn hold_new_joins(&mut self, now: Duration) -> Option<Duration> {
        let hold = self.current_hold(now);
        if hold != self.logged_hold {
            match hold {
                Some(why) => tracing::warn!(?why, "new joins are held back"),
                None => tracing::info!("new joins go on"),
            }
            gauge!(telemetry::REVISION_HELD).set(f64::from(u8::from(hold.is_some())));
            self.logged_hold = hold;
        }
        hold.map(|_| RETRY_DELAY)
    }

    /// The index of this controller's zone, which is stable while its name may change.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// The configuration to apply from now on, if it has changed.
    pub fn take_change(&mut self) -> Option<Change> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let to_apply = self.configuration_to_apply().map_err(|why| {
            tracing::error!("a revision can't be applied, and new joins are held back: {why}")
        });
        self.apply_failed = to_apply.is_err();
        let ActedOn { shared, titles, exclusive } = to_apply.ok()?;
        let acting = self.watcher.acting(self.now);
        let (active, prepared) = (acting.active, acting.prepared);
        tracing::info!(active, prepared, exclusive, titles = titles.len(), "applies a revision");
        self.export_metrics();
        Some(Change { shared, titles: self.titles.then_some(titles) })
    }

    /// Reads the active and the prepared state and derives the configuration to apply.
    fn configuration_to_apply(&self) -> Result<ActedOn, String> {
        let mut checks = self.checks.lock().map_err(|error| error.to_string())?;
        let active = checks.reader.read(self.watcher.active_state())?;
        let prepared = self.watcher.prepared_state().map(|state| checks.reader.read(state)).transpose()?;
        checks.configuration_check.apply(&active, prepared.as_deref())
    }

    /// Records that the catalogue's own file was reloaded.
    pub fn catalogue_reloaded(&self, titles: &Catalogue) {
        if let Ok(mut checks) = self.checks.lock() {
            checks.configuration_check.catalogue_reloaded(titles);
        }
    }

    /// Sets the gauges, and logs changes of the serving relay and of the kind of lease.
    fn export_metrics(&mut self) {
        let status = self.watcher.status(self.now);
        let WatcherStatus { acting, certified, bound, serving, .. } = &status;
        gauge!(telemetry::REVISION_ACTIVE).set(f64::from(acting.active));
        gauge!(telemetry::REVISION_CERTIFIED).set(f64::from(*certified));
        gauge!(telemetry::REVISION_BOUND).set(bound.as_secs_f64());
        let lease_left = status.lease_until.map_or(Duration::ZERO, |until| until.saturating_sub(self.now));
        gauge!(telemetry::DISTRIBUTION_LEASE).set(lease_left.as_secs_f64());
        counter!(telemetry::DISTRIBUTION_RELAYS_REFUSED).absolute(status.relays_refused);
        gauge!(telemetry::DISTRIBUTION_REGIONAL).set(f64::from(u8::from(status.regional)));
        if status.regional != self.logged_regional {
            self.logged_regional = status.regional;
            match status.regional {
                true => tracing::warn!(
                    active = acting.active,
                    "the region is cut off from the acceptors: the present revision stays active"
                ),
                false => {
                    tracing::info!(active = acting.active, "the region is connected to the acceptors again")
                }
            }
        }
        let relay_index = serving.map(|(relay_index, _)| relay_index);
        let relay = relay_index.and_then(|relay_index| self.relay_connections.relay(relay_index));
        gauge!(telemetry::DISTRIBUTION_RELAY).set(relay.map_or(-1.0, |relay| f64::from(relay.machine)));
        if relay_index != self.logged_relay {
            self.logged_relay = relay_index;
            let why = status.last_refusal.map(|(_, why)| why);
            match relay {
                Some(relay) => tracing::info!(machine = relay.machine, at = %relay.at, "a relay serves"),
                None => tracing::warn!(why, "no relay serves"),
            }
        }
    }
}

/// The check that the watcher runs on a state before it accepts it.
fn check_function(checks: Arc<Mutex<Checks>>) -> Check {
    Box::new(move |state, _number| checks.lock().map_err(|error| error.to_string())?.check(state))
}

/// The state in the program's own files.
fn state_of_files(deployment: &Deployment, titles: Option<&Catalogue>) -> Result<State> {
    let mut text = deployment.shared_text.clone();
    titles.into_iter().for_each(|titles| text += &titles.text());
    let entries = entries_of(&text).context("[distribution]: the settings of this file")?;
    State::from_entries(entries).context("[distribution]: the settings of this file")
}

/// The relays in the order of this controller's preference.
fn relays_by_preference(place: &ControllerPlace, settings: &DistributionPlace) -> Vec<RelayPlace> {
    let relays: Vec<_> =
        settings.relays.iter().map(|relay| (relay.machine, relay.zone == place.zone)).collect();
    let relays = relay_order(place.number, &relays);
    relays.into_iter().filter_map(|index| settings.relays.get(index).cloned()).collect()
}
