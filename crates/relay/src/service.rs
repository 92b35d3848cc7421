//! The event loop of a control machine: passes received messages to [`ControlMachine`] and executes its outputs in order.

use std::collections::VecDeque;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{bail, Context, Result};
use badgerledge_deployment::is_exclusive;
use badgerledge_distribution::control::{Config, ControlMachine, ControlOutput, StoredItem};
use badgerledge_distribution::message::{ControlStatus, PartitionStatus, PeerMessage, ToRelay, ToWatcher};
use badgerledge_distribution::MachineId;
use badgerledge_keys::Keys;
use badgerledge_reactor::{raise_descriptors, Bounds, Reactor, ReactorEvent, SocketId};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::envelope::Identity;
use crate::peers::{PeerEvent, Peers};
use crate::push_check::{self, PushCheck};
use crate::settings::{LoadedSettings, RelaySettings};
use crate::storage::{begin_incarnation, Storage};
use crate::telemetry::{self, LogLimiter};
use crate::watchers::{Limits, WatcherEvent, Watchers};

/// The loop's clock starts at this time instead of zero, so that times before the start can be represented.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// The token of the timer for periodic work.
const PERIODIC_TOKEN: u64 = 0;
/// Interval of the periodic work: closing silent connections, checking the ring file for changes, updating metrics.
const PERIODIC_INTERVAL: Duration = Duration::from_secs(1);
/// A write that takes at least this long is logged: it delays the answers that other control machines wait for.
const SLOW_STORE_THRESHOLD: Duration = Duration::from_millis(500);
/// File descriptors reserved for peers, listeners, files, metrics and the log.
const RESERVED_DESCRIPTORS: usize = 160;
/// Maximum number of concurrent metrics connections.
const MAX_METRICS_CONNECTIONS: usize = 16;
/// Buffer sizes of one metrics connection, in bytes.
const METRICS_BOUNDS: Bounds = Bounds { input: 8192, output: 1024 * 1024 };

/// The partition state that was logged last.
///
/// Compared with the current one, so that only changes are logged.
#[derive(Debug, Default, PartialEq, Eq)]
struct LoggedPartition {
    /// Machines that exclusive changes wait for.
    waits_for: Vec<MachineId>,
    /// Whether regional leases were issued since the previous check.
    issuing: bool,
    /// Regional leases issued so far.
    regional_leases: u64,
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
    /// Outputs of the control machine that are still to be executed.
    outputs: Vec<ControlOutput>,
    /// Metrics connections, oldest first.
    metrics_connections: Vec<SocketId>,
    metrics_handle: PrometheusHandle,
    /// Modification time of the ring file when it was last read.
    ring_modified_at: Option<SystemTime>,
    /// The certified and the active revision that were logged last.
    logged_revisions: (u32, u32),
    logged_partition: LoggedPartition,
    log_limiter: LogLimiter,
    /// Longest write since the metric was last updated.
    max_store_time: Duration,
    stopping: bool,
}

impl Service {
    /// Opens the state folder and the listening sockets.
    ///
    /// # Errors
    /// If an address cannot be bound or the state folder cannot be opened.
    pub fn new(loaded: LoadedSettings) -> Result<Self> {
        let LoadedSettings { settings, keys, genesis } = loaded;
        let place = settings.place.clone();
        let metrics_handle = telemetry::start()?;
        let mut reactor = Reactor::new(CLOCK_START).context("event loop")?;
        for signal in [SIGTERM, SIGINT, SIGHUP] {
            reactor.watch_signal(signal).context("signals")?;
        }
        let (storage, stored) =
            Storage::open(&place.state).with_context(|| format!("state folder {}", place.state.display()))?;
        let incarnation =
            begin_incarnation(&place.state).with_context(|| place.state.display().to_string())?;
        let connections = place.watchers.min(raise_descriptors().saturating_sub(RESERVED_DESCRIPTORS)).max(1);
        if connections < place.watchers {
            tracing::warn!(
                wanted = place.watchers,
                connections,
                "the file descriptor limit allows fewer watchers than configured"
            );
        }
        let limits = Limits {
            connections,
            connection_output_bytes: place.watcher_bytes,
            total_bytes: place.all_watchers_bytes,
        };
        let (watcher_listener, listen) = reactor
            .listen(place.listen, Watchers::bounds(limits))
            .with_context(|| format!("listening for watchers at {}", place.listen))?;
        let (peer_listener, peer_listen) = reactor
            .listen(place.peer_listen, Peers::incoming_bounds())
            .with_context(|| format!("listening for control machines at {}", place.peer_listen))?;
        if let Some(address) = place.metrics {
            reactor
                .listen(address, METRICS_BOUNDS)
                .with_context(|| format!("listening for metrics requests at {address}"))?;
        }
        let identity = Identity { machine: place.number, incarnation };
        let (now, seed) = (reactor.now(), random_seed()?);
        let peers = Peers::new(
            identity,
            keys.clone(),
            (peer_listener, peer_listen),
            &settings.peers,
            place.peer_bytes,
            now,
            seed.rotate_left(17),
        );
        let max_partition = Duration::from_secs(place.apart_s);
        let config =
            Config { max_connections: connections, max_partition, ..Config::new(place.number, incarnation) };
        config.check()?;
        let push_check = PushCheck::new(keys.clone());
        let mut control = ControlMachine::new(config, keys, stored, genesis, seed, now);
        control.set_state_check(push_check::state_check());
        control.set_exclusive_check(Box::new(is_exclusive));
        let ring_modified_at = modified_at(&place.ring);
        tracing::info!(machine = place.number, life = incarnation, %listen, %peer_listen, connections, "badgerledge-relay serves");
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
            metrics_connections: Vec::new(),
            metrics_handle,
            ring_modified_at,
            logged_revisions: (0, 0),
            logged_partition: LoggedPartition::default(),
            log_limiter: LogLimiter::default(),
            max_store_time: Duration::ZERO,
            stopping: false,
        })
    }

    /// Serves until SIGTERM or SIGINT.
    ///
    /// # Errors
    /// If the event loop fails, or too many items wait to be written to the disk.
    pub fn run(mut self) -> Result<()> {
        let mut events = Vec::new();
        self.reactor.set_timer(CLOCK_START + PERIODIC_INTERVAL, PERIODIC_TOKEN);
        while !self.stopping {
            let wake_at = self.control.next_poll_at().min(self.peers.next_poll_at());
            self.reactor.wait(Some(wake_at), &mut events).context("event loop")?;
            for event in events.drain(..) {
                self.handle_event(event);
                self.process_pending();
            }
            self.poll();
            self.reactor.flush();
            if self.storage.is_overdue() {
                bail!(
                    "{}: too many items wait to be written to the state folder; stopping",
                    self.settings.place.state.display()
                );
            }
        }
        // Stores and sends what was already decided. Peers and watchers notice the stop when their connections close.
        self.process_pending();
        self.reactor.flush();
        self.storage.finish().context("writing the pending state before exit")?;
        tracing::info!(machine = self.settings.place.number, "badgerledge-relay ends");
        Ok(())
    }

    /// Polls the peer connections and the control machine if they are due.
    fn poll(&mut self) {
        let now = self.reactor.now();
        if now >= self.peers.next_poll_at() {
            self.peers.poll(&mut self.reactor, now, &mut self.peer_events);
        }
        if now >= self.control.next_poll_at() {
            self.control.poll(now, &mut self.outputs);
        }
        self.process_pending();
    }

    fn handle_event(&mut self, event: ReactorEvent) {
        let (now, reactor) = (self.reactor.now(), &mut self.reactor);
        match event {
            ReactorEvent::Accepted { connection, listener, .. } => self.accept(connection, listener, now),
            ReactorEvent::Opened(connection) => self.peers.on_connected(connection, now),
            ReactorEvent::Readable(connection) if self.peers.contains(connection) => {
                self.peers.on_readable(reactor, connection, now, &mut self.peer_events);
            }
            ReactorEvent::Readable(connection) if self.watchers.contains(connection) => {
                self.with_watchers(|watchers, reactor, events| {
                    watchers.on_readable(reactor, connection, now, events)
                });
            }
            ReactorEvent::Readable(connection) if self.metrics_connections.contains(&connection) => {
                self.answer_metrics_request(connection)
            }
            ReactorEvent::Closed(connection, _) => {
                self.metrics_connections.retain(|other| *other != connection);
                self.peers.on_closed(connection, now, &mut self.peer_events);
                self.with_watchers(|watchers, _, events| watchers.on_closed(connection, events));
            }
            ReactorEvent::Timer(_) => self.run_periodic_work(now),
            ReactorEvent::Signal(SIGHUP) => self.read_ring(now),
            ReactorEvent::Signal(signal) => {
                tracing::info!(signal, "signal received; stopping");
                self.stopping = true;
            }
            ReactorEvent::Readable(_) | ReactorEvent::Drained(_) | ReactorEvent::Datagram { .. } => {}
        }
    }

    fn accept(&mut self, connection: SocketId, listener: SocketId, now: Duration) {
        if self.peers.on_accepted(&mut self.reactor, connection, listener, now) {
            return;
        }
        let mut is_watcher = false;
        self.with_watchers(|watchers, reactor, events| {
            is_watcher = watchers.on_accepted(reactor, connection, listener, now, events);
        });
        if !is_watcher {
            if self.metrics_connections.len() >= MAX_METRICS_CONNECTIONS {
                // An idle connection must not keep out clients that send requests.
                let oldest = self.metrics_connections.remove(0);
                self.reactor.close(oldest);
            }
            self.metrics_connections.push(connection);
        }
    }

    /// Runs `act` on the watchers' connections and queues the resulting events.
    fn with_watchers(&mut self, act: impl FnOnce(&mut Watchers, &mut Reactor, &mut Vec<WatcherEvent>)) {
        let mut events = Vec::new();
        act(&mut self.watchers, &mut self.reactor, &mut events);
        self.watcher_events.extend(events);
    }

    /// Passes queued events to the control machine and executes its outputs, until there are no more of either.
    fn process_pending(&mut self) {
        loop {
            self.execute_outputs();
            let now = self.reactor.now();
            if self.peer_events.is_empty() && self.watcher_events.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.peer_events) {
                match event {
                    PeerEvent::Up(peer) => self.control.on_peer_connected(now, peer, &mut self.outputs),
                    PeerEvent::Down(peer) => self.control.on_peer_closed(now, peer),
                    PeerEvent::Message(peer, message) => {
                        self.control.on_peer_message(now, peer, message, &mut self.outputs);
                    }
                }
            }
            for event in std::mem::take(&mut self.watcher_events) {
                match event {
                    WatcherEvent::Opened(connection) => {
                        self.control.on_watcher_connected(now, connection, &mut self.outputs)
                    }
                    WatcherEvent::Message(connection, message) if self.watchers.contains(connection) => {
                        if !self.reject_unusable(connection, &message) {
                            self.control.on_watcher_message(now, connection, *message, &mut self.outputs);
                        }
                    }
                    WatcherEvent::Message(..) => {}
                    WatcherEvent::Closed(connection) => self.control.on_watcher_closed(now, connection),
                }
            }
        }
    }

    /// Rejects a pushed change that controllers could not apply, and reports this to its author. Tells whether it did.
    fn reject_unusable(&mut self, connection: SocketId, message: &ToRelay) -> bool {
        let ToRelay::Push(change) = message else { return false };
        let Err(rejection) = self.push_check.check(self.control.state(), change) else { return false };
        let outcome = ToWatcher::PushOutcome { change: change.id, outcome: Err(rejection) };
        self.with_watchers(|watchers, reactor, events| watchers.send(reactor, connection, &outcome, events));
        true
    }

    /// Executes the control machine's outputs in order. While an item could not be stored, no messages are sent: they are
    /// dropped as if the network had lost them.
    fn execute_outputs(&mut self) {
        let now = self.reactor.now();
        for output in std::mem::take(&mut self.outputs) {
            match output {
                ControlOutput::Store(item) => self.store(item, now),
                ControlOutput::ToPeer(to, message) if self.storage.is_clean() => {
                    count_peer_message(&message);
                    self.peers.send(&mut self.reactor, to, message);
                }
                ControlOutput::ToWatcher(connection, message) if self.storage.is_clean() => {
                    count_watcher_message(&message);
                    self.with_watchers(|watchers, reactor, events| {
                        watchers.send(reactor, connection, &message, events);
                    });
                }
                ControlOutput::ToPeer(..) => telemetry::count_dropped_message("peer"),
                ControlOutput::ToWatcher(..) => telemetry::count_dropped_message("watcher"),
                ControlOutput::CloseWatcher(connection, reason) => {
                    self.watchers.finish(&mut self.reactor, connection, reason, now);
                }
            }
        }
    }

    fn store(&mut self, item: StoredItem, now: Duration) {
        let started_at = Instant::now();
        let result = self.storage.store(item);
        let elapsed = started_at.elapsed();
        self.max_store_time = self.max_store_time.max(elapsed);
        if elapsed >= SLOW_STORE_THRESHOLD {
            if let Some(suppressed) = self.log_limiter.allows(now, "slow store") {
                tracing::warn!(suppressed, took = ?elapsed, "slow disk write; no messages were received or sent meanwhile");
            }
        }
        self.report_store_result(result, now);
    }

    /// Counts and logs a failed write.
    fn report_store_result(&mut self, result: std::io::Result<()>, now: Duration) {
        let Err(error) = result else { return };
        counter!(telemetry::STORE_FAULTS).increment(1);
        if let Some(suppressed) = self.log_limiter.allows(now, "store") {
            let folder = self.settings.place.state.display();
            tracing::error!(
                suppressed,
                "{folder}: writing failed; no messages are sent until it succeeds: {error}"
            );
        }
    }

    /// Runs once per [`PERIODIC_INTERVAL`].
    fn run_periodic_work(&mut self, now: Duration) {
        self.reactor.set_timer(now + PERIODIC_INTERVAL, PERIODIC_TOKEN);
        self.with_watchers(|watchers, reactor, events| watchers.poll(reactor, now, events));
        let result = self.storage.retry();
        self.report_store_result(result, now);
        if modified_at(&self.settings.place.ring) != self.ring_modified_at {
            self.read_ring(now);
        }
        let status = self.control.status(now);
        self.log_revisions(&status);
        if self.settings.place.apart_s > 0 {
            let partition = self.control.partition_status(now);
            self.log_partition(&partition);
            telemetry::update_partition(&partition);
        }
        telemetry::update_store_time(std::mem::take(&mut self.max_store_time));
        telemetry::update_status(&status, self.watchers.len(), self.peers.peers_up());
    }

    /// Logs a newly certified or activated revision.
    fn log_revisions(&mut self, status: &ControlStatus) {
        let ControlStatus { certified, active, watchers, prepared, .. } = status;
        let before = std::mem::replace(&mut self.logged_revisions, (*certified, *active));
        if before.0 != *certified {
            tracing::info!(revision = certified, watchers, "a revision is certified");
        }
        if before.1 != *active {
            tracing::info!(revision = active, watchers, prepared, "a revision is active");
        }
    }

    /// Logs when the machines that exclusive changes wait for change, and when regional leases start or stop.
    fn log_partition(&mut self, partition: &PartitionStatus) {
        let waits_for: Vec<MachineId> = partition.waits_ms.iter().map(|(machine, _)| *machine).collect();
        let issuing = partition.regional_leases > self.logged_partition.regional_leases;
        let regional_leases = partition.regional_leases;
        let before = std::mem::replace(
            &mut self.logged_partition,
            LoggedPartition { waits_for, issuing, regional_leases },
        );
        let waits_for = &self.logged_partition.waits_for;
        if before.waits_for != *waits_for {
            match max_exclusive_wait(partition) {
                Some(max_wait) => {
                    tracing::warn!(?waits_for, at_most = ?max_wait, "an exclusive change waits for control machines")
                }
                None => tracing::info!("no exclusive change waits for a control machine any more"),
            }
        }
        if before.issuing != issuing {
            match issuing {
                true => {
                    tracing::warn!(
                        leases = regional_leases,
                        "no quorum of acceptors: issuing regional leases"
                    )
                }
                false => tracing::info!(leases = regional_leases, "stopped issuing regional leases"),
            }
        }
    }

    /// Reloads the key ring. An invalid one is logged, and the current keys stay in use.
    fn read_ring(&mut self, now: Duration) {
        self.ring_modified_at = modified_at(&self.settings.place.ring);
        match self.settings.read_keys() {
            Ok(keys) => {
                tracing::info!("the key ring was reloaded");
                self.peers.replace_keys(keys.clone());
                self.push_check.replace_keys(keys.clone());
                self.control.replace_signer(now, keys, &mut self.outputs);
            }
            Err(error) => tracing::error!("{error:#}; the current keys stay in use"),
        }
    }

    /// Answers any HTTP request with the metrics, once its head is complete.
    fn answer_metrics_request(&mut self, connection: SocketId) {
        if self.reactor.input(connection).windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let response = telemetry::metrics_response(&self.metrics_handle);
            self.reactor.send(connection, &[&response]);
            self.reactor.close_after_flush(connection);
        }
    }
}

/// The longest time that exclusive changes still wait for a machine.
fn max_exclusive_wait(partition: &PartitionStatus) -> Option<Duration> {
    partition.waits_ms.iter().map(|(_, remaining_ms)| Duration::from_millis(*remaining_ms)).max()
}

fn count_peer_message(message: &PeerMessage) {
    if matches!(message, PeerMessage::Grant(_)) {
        counter!(telemetry::SIGNED_GRANTS).increment(1);
    }
}

fn count_watcher_message(message: &ToWatcher) {
    let name = match message {
        ToWatcher::Lease(_) => telemetry::SENT_LEASES,
        ToWatcher::Snapshot { .. } => telemetry::STARTED_SNAPSHOTS,
        ToWatcher::Delta { .. } => telemetry::SENT_DELTAS,
        _ => return,
    };
    counter!(name).increment(1);
}

/// The modification time of a file, if it can be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

/// A seed for random numbers, from the operating system.
fn random_seed() -> Result<u64> {
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).context("the system's random number generator")?;
    Ok(u64::from_le_bytes(seed))
}
