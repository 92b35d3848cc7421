//! The loop: what comes in goes to the control machine, and what it wants done is done in its order.

use std::collections::VecDeque;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{bail, Context, Result};
use badgerledge_deployment::is_exclusive;
use badgerledge_distribution::control::{Config, ControlMachine, ControlOutput, StoredItem};
use badgerledge_distribution::message::{ControlStatus, PartitionStatus, PeerMessage, ToRelay, ToWatcher};
use badgerledge_distribution::MachineId;
use badgerledge_keys::Keys;
use badgerledge_reactor::{raise_descriptors, Bounds, Happening, Line, Reactor};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::envelope::Identity;
use crate::peers::{PeerEvent, Peers};
use crate::push_check::{self, PushCheck};
use crate::settings::{Prepared, RelaySettings};
use crate::storage::{begin_life, Storage};
use crate::telemetry::{self, LineLimit};
use crate::watchers::{Limits, WatcherEvent, Watchers};

/// The clock begins here, so that times before the start can be named.
const ORIGIN: Duration = Duration::from_secs(3600);
/// The token of the loop's own due time.
const SWEEP: u64 = 0;
/// Silent connections, the ring's file and what is shown are looked at this often.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// Storing that takes so long holds up what control machines wait for.
const SLOW_STORE: Duration = Duration::from_millis(500);
/// Descriptors that are not watchers': peers, listeners, files, metrics, log.
const SPARE_DESCRIPTORS: usize = 160;
/// Connections for metrics at a time, and their bounds.
const READERS: usize = 16;
const READER_BOUNDS: Bounds = Bounds { input: 8192, output: 1024 * 1024 };

/// What was logged of regions apart: machines that exclusive changes wait for, and leases that were vouched for.
#[derive(Debug, Default, PartialEq, Eq)]
struct ApartLogged {
    waits_for: Vec<MachineId>,
    vouched: bool,
    leases: u64,
}

/// A running control machine.
pub struct Service {
    reactor: Reactor,
    settings: RelaySettings,
    control: ControlMachine<Keys>,
    push_check: PushCheck,
    storage: Storage,
    peers: Peers,
    watchers: Watchers,
    peer_events: Vec<PeerEvent>,
    watcher_events: VecDeque<WatcherEvent>,
    /// What the control machine wants done.
    outputs: Vec<ControlOutput>,
    readers: Vec<Line>,
    page: PrometheusHandle,
    ring_read: Option<SystemTime>,
    /// What was logged last of revisions.
    logged: (u32, u32),
    /// What was logged last of regions apart.
    apart_logged: ApartLogged,
    lines: LineLimit,
    /// How long storing took at most since it was last shown.
    longest_store: Duration,
    ending: bool,
}

impl Service {
    /// Opens sockets and state.
    ///
    /// # Errors
    /// Where an address or the state's folder can't be had.
    pub fn new(prepared: Prepared) -> Result<Self> {
        let Prepared { settings, keys, genesis } = prepared;
        let place = settings.place.clone();
        let page = telemetry::start()?;
        let mut reactor = Reactor::new(ORIGIN).context("event loop")?;
        for signal in [SIGTERM, SIGINT, SIGHUP] {
            reactor.signal(signal).context("signals")?;
        }
        let (storage, stored) =
            Storage::open(&place.state).with_context(|| format!("state folder {}", place.state.display()))?;
        let life = begin_life(&place.state).with_context(|| place.state.display().to_string())?;
        let connections = place.watchers.min(raise_descriptors().saturating_sub(SPARE_DESCRIPTORS)).max(1);
        if connections < place.watchers {
            tracing::warn!(wanted = place.watchers, connections, "watchers are bounded by the descriptors");
        }
        let limits = Limits { connections, output: place.watcher_bytes, all: place.all_watchers_bytes };
        let (watcher_listener, listen) = reactor
            .listen(place.listen, Watchers::bounds(limits))
            .with_context(|| format!("watchers at {}", place.listen))?;
        let (peer_listener, peer_listen) = reactor
            .listen(place.peer_listen, Peers::incoming_bounds())
            .with_context(|| format!("control machines at {}", place.peer_listen))?;
        if let Some(at) = place.metrics {
            reactor.listen(at, READER_BOUNDS).with_context(|| format!("metrics at {at}"))?;
        }
        let identity = Identity { machine: place.number, life };
        let (now, seed) = (reactor.now(), draw_seed()?);
        let peers = Peers::new(
            identity,
            keys.clone(),
            (peer_listener, peer_listen),
            &settings.peers,
            place.peer_bytes,
            now,
            seed.rotate_left(17),
        );
        let apart = Duration::from_secs(place.apart_s);
        let config = Config { connections, apart, ..Config::new(place.number, life) };
        config.check()?;
        let push_check = PushCheck::new(keys.clone());
        let mut control = ControlMachine::new(config, keys, stored, genesis, seed, now);
        control.set_state_check(push_check::state_check());
        control.set_exclusive_check(Box::new(is_exclusive));
        let ring_read = modified(&place.ring);
        tracing::info!(machine = place.number, life, %listen, %peer_listen, connections, "badgerledge-relay serves");
        Ok(Self {
            reactor,
            settings,
            control,
            push_check,
            storage,
            peers,
            watchers: Watchers::new(watcher_listener, limits),
            peer_events: Vec::new(),
            watcher_events: VecDeque::new(),
            outputs: Vec::new(),
            readers: Vec::new(),
            page,
            ring_read,
            logged: (0, 0),
            apart_logged: ApartLogged::default(),
            lines: LineLimit::default(),
            longest_store: Duration::ZERO,
            ending: false,
        })
    }

    /// Serves until a signal ends it.
    ///
    /// # Errors
    /// Where the event loop fails, or more waits to be stored than may.
    pub fn run(mut self) -> Result<()> {
        let mut happenings = Vec::new();
        self.reactor.due(ORIGIN + SWEEP_EVERY, SWEEP);
        while !self.ending {
            let until = self.control.next_due().min(self.peers.next_due());
            self.reactor.wait(Some(until), &mut happenings).context("event loop")?;
            for happening in happenings.drain(..) {
                self.take(happening);
                self.settle();
            }
            self.tend();
            self.reactor.flush();
            if self.storage.is_overdue() {
                bail!("{}: it could not be written for too long", self.settings.place.state.display());
            }
        }
        // What was decided is stored and goes out; the others notice the rest by the streams' end.
        self.settle();
        self.reactor.flush();
        self.storage.finish().context("storing what was decided")?;
        tracing::info!(machine = self.settings.place.number, "badgerledge-relay ends");
        Ok(())
    }

    fn tend(&mut self) {
        let now = self.reactor.now();
        if now >= self.peers.next_due() {
            self.peers.tend(&mut self.reactor, now, &mut self.peer_events);
        }
        if now >= self.control.next_due() {
            self.control.tend(now, &mut self.outputs);
        }
        self.settle();
    }

    fn take(&mut self, happening: Happening) {
        let (now, reactor) = (self.reactor.now(), &mut self.reactor);
        match happening {
            Happening::Accepted { line, listener, .. } => self.accept(line, listener, now),
            Happening::Opened(line) => self.peers.opened(line, now),
            Happening::Readable(line) if self.peers.is(line) => {
                self.peers.readable(reactor, line, now, &mut self.peer_events);
            }
            Happening::Readable(line) if self.watchers.is(line) => {
                self.with_watchers(|watchers, reactor, events| watchers.readable(reactor, line, now, events));
            }
            Happening::Readable(line) if self.readers.contains(&line) => self.show_metrics(line),
            Happening::Closed(line, _) => {
                self.readers.retain(|reader| *reader != line);
                self.peers.closed(line, now, &mut self.peer_events);
                self.with_watchers(|watchers, _, events| watchers.closed(line, events));
            }
            Happening::Due(_) => self.sweep(now),
            Happening::Signal(SIGHUP) => self.read_ring(now),
            Happening::Signal(signal) => {
                tracing::info!(signal, "told to end");
                self.ending = true;
            }
            Happening::Readable(_) | Happening::Drained(_) | Happening::Datagram { .. } => {}
        }
    }

    fn accept(&mut self, line: Line, listener: Line, now: Duration) {
        if self.peers.accepts(&mut self.reactor, line, listener, now) {
            return;
        }
        let mut taken = false;
        self.with_watchers(|watchers, reactor, events| {
            taken = watchers.accepts(reactor, line, listener, now, events);
        });
        if !taken {
            if self.readers.len() >= READERS {
                // One that never asks must not take the room of those that do.
                let oldest = self.readers.remove(0);
                self.reactor.close(oldest);
            }
            self.readers.push(line);
        }
    }

    fn with_watchers(&mut self, act: impl FnOnce(&mut Watchers, &mut Reactor, &mut Vec<WatcherEvent>)) {
        let mut events = Vec::new();
        act(&mut self.watchers, &mut self.reactor, &mut events);
        self.watcher_events.extend(events);
    }

    /// Hands events to the control machine and does what it wants, until nothing is left of either.
    fn settle(&mut self) {
        loop {
            self.carry_out();
            let now = self.reactor.now();
            if self.peer_events.is_empty() && self.watcher_events.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.peer_events) {
                match event {
                    PeerEvent::Up(peer) => self.control.peer_up(now, peer, &mut self.outputs),
                    PeerEvent::Down(peer) => self.control.peer_down(now, peer),
                    PeerEvent::Message(peer, message) => {
                        self.control.peer_message(now, peer, message, &mut self.outputs);
                    }
                }
            }
            for event in std::mem::take(&mut self.watcher_events) {
                match event {
                    WatcherEvent::Opened(line) => self.control.watcher_opened(now, line, &mut self.outputs),
                    WatcherEvent::Message(line, message) if self.watchers.is(line) => {
                        if !self.is_rejected(line, &message) {
                            self.control.watcher_message(now, line, *message, &mut self.outputs);
                        }
                    }
                    WatcherEvent::Message(..) => {}
                    WatcherEvent::Closed(line) => self.control.watcher_closed(now, line),
                }
            }
        }
    }

    /// Whether a message is a change that no controller could act on; its author is told.
    fn is_rejected(&mut self, line: Line, message: &ToRelay) -> bool {
        let ToRelay::Push(change) = message else { return false };
        let Err(rejection) = self.push_check.check(self.control.state(), change) else { return false };
        let outcome = ToWatcher::PushOutcome { change: change.id, outcome: Err(rejection) };
        self.with_watchers(|watchers, reactor, events| watchers.send(reactor, line, &outcome, events));
        true
    }

    /// Does what the control machine wants, in its order. While something can't be stored nothing is said: the rest is
    /// dropped as if it were lost.
    fn carry_out(&mut self) {
        let now = self.reactor.now();
        for output in std::mem::take(&mut self.outputs) {
            match output {
                ControlOutput::Store(item) => self.store(item, now),
                ControlOutput::ToPeer(to, message) if self.storage.is_clean() => {
                    count_peer_message(&message);
                    self.peers.send(&mut self.reactor, to, message);
                }
                ControlOutput::ToWatcher(line, message) if self.storage.is_clean() => {
                    count_watcher_message(&message);
                    self.with_watchers(|watchers, reactor, events| {
                        watchers.send(reactor, line, &message, events);
                    });
                }
                ControlOutput::ToPeer(..) => telemetry::count_dropped("peer"),
                ControlOutput::ToWatcher(..) => telemetry::count_dropped("watcher"),
                ControlOutput::CloseWatcher(line, reason) => {
                    self.watchers.finish(&mut self.reactor, line, reason, now);
                }
            }
        }
    }

    fn store(&mut self, item: StoredItem, now: Duration) {
        let begun = Instant::now();
        let done = self.storage.store(item);
        let took = begun.elapsed();
        self.longest_store = self.longest_store.max(took);
        if took >= SLOW_STORE {
            if let Some(suppressed) = self.lines.allows(now, "slow store") {
                tracing::warn!(suppressed, ?took, "the disk is slow: nothing is heard or said meanwhile");
            }
        }
        self.note_stored(done, now);
    }

    fn note_stored(&mut self, done: std::io::Result<()>, now: Duration) {
        let Err(fault) = done else { return };
        counter!(telemetry::STORE_FAULTS).increment(1);
        if let Some(suppressed) = self.lines.allows(now, "store") {
            let folder = self.settings.place.state.display();
            tracing::error!(
                suppressed,
                "{folder}: could not be written, and nothing is said until it can: {fault}"
            );
        }
    }

    /// What is looked at once a second.
    fn sweep(&mut self, now: Duration) {
        self.reactor.due(now + SWEEP_EVERY, SWEEP);
        self.with_watchers(|watchers, reactor, events| watchers.sweep(reactor, now, events));
        let done = self.storage.tend();
        self.note_stored(done, now);
        if modified(&self.settings.place.ring) != self.ring_read {
            self.read_ring(now);
        }
        let status = self.control.status(now);
        self.log_revisions(&status);
        if self.settings.place.apart_s > 0 {
            let apart = self.control.apart_status(now);
            self.log_apart(&apart);
            telemetry::show_apart(&apart);
        }
        telemetry::show_stores(std::mem::take(&mut self.longest_store));
        telemetry::show(&status, self.watchers.len(), self.peers.up());
    }

    fn log_revisions(&mut self, status: &ControlStatus) {
        let ControlStatus { certified, active, watchers, prepared, .. } = status;
        let before = std::mem::replace(&mut self.logged, (*certified, *active));
        if before.0 != *certified {
            tracing::info!(revision = certified, watchers, "a revision is certified");
        }
        if before.1 != *active {
            tracing::info!(revision = active, watchers, prepared, "a revision may be acted on");
        }
    }

    fn log_apart(&mut self, apart: &PartitionStatus) {
        let waits_for: Vec<MachineId> = apart.waits_ms.iter().map(|(machine, _)| *machine).collect();
        let vouched = apart.regional_leases > self.apart_logged.leases;
        let leases = apart.regional_leases;
        let before = std::mem::replace(&mut self.apart_logged, ApartLogged { waits_for, vouched, leases });
        let waits_for = &self.apart_logged.waits_for;
        if before.waits_for != *waits_for {
            match longest_wait(apart) {
                Some(at_most) => {
                    tracing::warn!(?waits_for, ?at_most, "an exclusive change waits for machines")
                }
                None => tracing::info!("no exclusive change waits for a machine"),
            }
        }
        if before.vouched != vouched {
            match vouched {
                true => tracing::warn!(leases, "no quorum of acceptors: regional leases are handed down"),
                false => tracing::info!(leases, "no regional leases are handed down any more"),
            }
        }
    }

    /// Reads the ring anew. One that is not in order changes nothing.
    fn read_ring(&mut self, now: Duration) {
        self.ring_read = modified(&self.settings.place.ring);
        match self.settings.read_keys() {
            Ok(keys) => {
                tracing::info!("the ring of keys was read anew");
                self.peers.take_keys(keys.clone());
                self.push_check.take_keys(keys.clone());
                self.control.take_hand(now, keys, &mut self.outputs);
            }
            Err(fault) => tracing::error!("{fault:#}; the keys read before go on holding"),
        }
    }

    /// Any request is answered with the metrics once its head has come.
    fn show_metrics(&mut self, line: Line) {
        if self.reactor.input(line).windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let answer = telemetry::page(&self.page);
            self.reactor.send(line, &[&answer]);
            self.reactor.finish(line);
        }
    }
}

/// How long exclusive changes wait at most.
fn longest_wait(apart: &PartitionStatus) -> Option<Duration> {
    apart.waits_ms.iter().map(|(_, left)| Duration::from_millis(*left)).max()
}

fn count_peer_message(message: &PeerMessage) {
    if matches!(message, PeerMessage::Grant(_)) {
        counter!(telemetry::GRANTS).increment(1);
    }
}

fn count_watcher_message(message: &ToWatcher) {
    let name = match message {
        ToWatcher::Lease(_) => telemetry::LEASES,
        ToWatcher::Snapshot { .. } => telemetry::SNAPSHOTS,
        ToWatcher::Delta { .. } => telemetry::DELTAS,
        _ => return,
    };
    counter!(name).increment(1);
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

fn draw_seed() -> Result<u64> {
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).context("no randomness")?;
    Ok(u64::from_le_bytes(seed))
}
