//! Tests of a watcher and its relays in simulated time: whatever a relay does wrong, the watcher obtains what
//! is certified from another one, and withholds decisions no longer than stated.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

use super::super::certified::{signer, version};
use super::super::edits::{put, titles};
use super::super::signer::DigestSigner;
use super::harness::{config, file_state, seconds};
use super::scripted_relays::{Behaviour, ControlPlane, Relay, RelayOutput};
use crate::lease::LEASE;
use crate::message::{ToRelay, ToWatcher};
use crate::watcher::{StoreRequest, Stored, Watcher, WatcherOutput, WatcherStatus};
use crate::Number;

/// The latency of a message.
const DELAY: Duration = Duration::from_millis(30);
/// The interval at which hold reasons are checked and relays send their news.
const TICK: Duration = Duration::from_millis(100);

enum Event {
    Opened(usize),
    ToRelay(usize, ToRelay),
    ToWatcher(usize, Box<ToWatcher>),
    Closed(usize),
}

/// A watcher, its relays and the events between them.
struct Simulation {
    now: Duration,
    watcher: Watcher<DigestSigner>,
    disk: Vec<u8>,
    relays: Vec<Relay>,
    /// The number of the current connection to each relay; events of earlier connections are ignored.
    connections: Vec<u32>,
    control_plane: ControlPlane,
    /// Events by time and sequence number, with the connection.
    events: BTreeMap<(Duration, u64), (u32, Event)>,
    sequence: u64,
    rng: Rng,
    /// When the watcher first had a lease.
    first_leased_at: Option<Duration>,
    /// The longest period of withheld decisions since the first lease.
    longest_hold: Duration,
    hold_since: Option<Duration>,
    /// The number of buckets received.
    received_buckets: usize,
    /// The number of calls of the watcher.
    calls: usize,
}

impl Simulation {
    fn new(behaviours: &[Behaviour]) -> Self {
        let now = seconds(1000.0);
        let relay = |(machine, behaviour): (usize, &Behaviour)| Relay::new(machine as u16, *behaviour);
        Self {
            now,
            watcher: Watcher::new(signer(100), config(behaviours.len()), file_state(), None, 5, now),
            disk: Vec::new(),
            relays: behaviours.iter().enumerate().map(relay).collect(),
            connections: vec![0; behaviours.len()],
            control_plane: ControlPlane { versions: Vec::new(), allowed: 0 },
            events: BTreeMap::new(),
            sequence: 0,
            rng: Rng(7),
            first_leased_at: None,
            longest_hold: Duration::ZERO,
            hold_since: None,
            received_buckets: 0,
            calls: 0,
        }
    }

    fn schedule(&mut self, after: Duration, relay: usize, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), (self.connections[relay], event));
    }

    fn call(&mut self, call: impl FnOnce(&mut Watcher<DigestSigner>, Duration, &mut Vec<WatcherOutput>)) {
        let mut out = Vec::new();
        self.calls += 1;
        call(&mut self.watcher, self.now, &mut out);
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => self.connect(relay),
                WatcherOutput::Close(relay) => self.connections[relay] += 1,
                WatcherOutput::Send(relay, message) => {
                    self.schedule(DELAY, relay, Event::ToRelay(relay, message));
                }
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => self.disk = bytes,
                WatcherOutput::Store(StoreRequest::Append(bytes)) => self.disk.extend(bytes),
                WatcherOutput::Changed | WatcherOutput::Unfit { .. } => {}
            }
        }
    }

    fn connect(&mut self, relay: usize) {
        self.connections[relay] += 1;
        self.relays[relay].connected();
        match self.relays[relay].behaviour {
            Behaviour::Unreachable => self.schedule(DELAY, relay, Event::Closed(relay)),
            _ => self.schedule(DELAY * 2, relay, Event::Opened(relay)),
        }
    }

    fn send_outputs(&mut self, relay: usize, outputs: Vec<RelayOutput>) {
        let behaviour = self.relays[relay].behaviour;
        for output in outputs {
            let latency = match behaviour {
                Behaviour::Slow(added) => DELAY + added,
                Behaviour::Shuffled => DELAY + self.rng.random_duration(DELAY * 10),
                _ => DELAY,
            };
            match output {
                RelayOutput::Message(message) => {
                    self.schedule(latency, relay, Event::ToWatcher(relay, message))
                }
                RelayOutput::Close => self.schedule(latency, relay, Event::Closed(relay)),
            }
        }
    }

    fn handle_event(&mut self, connection: u32, event: Event) {
        let (Event::Opened(relay)
        | Event::ToRelay(relay, _)
        | Event::ToWatcher(relay, _)
        | Event::Closed(relay)) = event;
        if self.connections[relay] != connection {
            return;
        }
        match event {
            Event::Opened(_) => self.call(|watcher, now, out| watcher.on_connected(now, relay, out)),
            Event::ToRelay(_, message) => {
                let outputs = self.relays[relay].receive(message, &self.control_plane);
                self.send_outputs(relay, outputs);
            }
            Event::ToWatcher(_, message) => {
                self.received_buckets += usize::from(matches!(*message, ToWatcher::Bucket { .. }));
                self.call(|watcher, now, out| watcher.on_message(now, relay, *message, out));
            }
            Event::Closed(_) => {
                self.connections[relay] += 1;
                self.call(|watcher, now, out| watcher.on_closed(now, relay, out));
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        let mut tick = self.now;
        for _ in 0..2_000_000 {
            let event = self.events.first_key_value().map_or(Duration::MAX, |(key, _)| key.0);
            let due = self.watcher.next_poll_at().max(self.now);
            let next = event.min(due).min(tick);
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            if next == tick {
                tick += TICK;
                self.check_and_send_news();
            } else if next == event {
                let Some((_, (connection, event))) = self.events.pop_first() else { return };
                self.handle_event(connection, event);
            } else {
                self.call(|watcher, now, out| watcher.poll(now, out));
            }
        }
        panic!("the simulation does not end: {:?}", self.status());
    }

    fn check_and_send_news(&mut self) {
        for relay in 0..self.relays.len() {
            let outputs = self.relays[relay].send_news(&self.control_plane);
            self.send_outputs(relay, outputs);
        }
        let is_held = self.watcher.acting(self.now).hold_reason.is_some();
        if !is_held {
            self.first_leased_at.get_or_insert(self.now);
        }
        self.hold_since =
            (is_held && self.first_leased_at.is_some()).then(|| self.hold_since.unwrap_or(self.now));
        let hold = self.hold_since.map_or(Duration::ZERO, |since| self.now + TICK - since);
        self.longest_hold = self.longest_hold.max(hold);
    }

    /// Certifies a revision with one more entry and allows its activation a second later. Returns how long
    /// the watcher then takes to activate it.
    fn push_revision(&mut self) -> Duration {
        let number = self.control_plane.versions.len() as Number + 1;
        let mut state =
            self.control_plane.versions.last().map_or(titles(200), |version| version.state.clone());
        state.apply(&[put("number", &number.to_string())]).unwrap();
        self.control_plane.versions.push(version(number, state));
        self.run(seconds(1.0));
        self.control_plane.allowed = number;
        let allowed = self.now;
        while self.status().acting.active < number {
            self.run(TICK);
            assert!(self.now < allowed + seconds(120.0), "{number} is not activated: {:?}", self.status());
        }
        assert!(self.watcher.active_state() == &self.control_plane.versions[number as usize - 1].state);
        self.now - allowed
    }

    fn status(&self) -> WatcherStatus {
        self.watcher.status(self.now)
    }
}

/// The longest activation delay with a serving relay that neither fails nor is detected at once: a missing
/// update is detected after three seconds, missing grants after half a lease, then another relay is
/// connected.
const DELAYED_DETECTION: Duration = Duration::from_secs(5);
/// The longest activation delay with a correct relay, or with one that is detected by its first message.
const IMMEDIATE_DETECTION: Duration = Duration::from_secs(1);

/// Runs three changes with a first relay of this behaviour and two correct ones.
fn run_three_changes(behaviour: Behaviour) -> (Simulation, Duration) {
    let mut simulation = Simulation::new(&[behaviour, Behaviour::Correct, Behaviour::Correct]);
    simulation.run(seconds(20.0));
    let mut longest = Duration::ZERO;
    for _ in 0..3 {
        longest = longest.max(simulation.push_revision());
        simulation.run(seconds(10.0));
    }
    assert!(
        simulation.first_leased_at.is_some_and(|at| at < seconds(1010.0)),
        "{behaviour:?}: {:?}",
        simulation.first_leased_at
    );
    assert!(
        simulation.longest_hold <= DELAYED_DETECTION,
        "{behaviour:?}: decisions withheld for {:?}",
        simulation.longest_hold
    );
    assert_eq!(Stored::read(&simulation.disk).unwrap().active.unwrap().number(), 3);
    (simulation, longest)
}

#[test]
fn a_correct_relay_keeps_serving() {
    let (simulation, longest) = run_three_changes(Behaviour::Correct);
    assert!(
        longest <= IMMEDIATE_DETECTION && simulation.longest_hold == Duration::ZERO,
        "{longest:?} {:?}",
        simulation.longest_hold
    );
    assert_eq!((simulation.status().serving, simulation.status().relays_refused), (Some((0, Some(0))), 0));
    assert!(simulation.calls < 500, "{}", simulation.calls);
}

#[test]
fn a_relay_that_cannot_serve_is_replaced_before_it_matters() {
    let behaviours = [
        Behaviour::Unreachable,
        Behaviour::Silent,
        Behaviour::Busy,
        Behaviour::NoGrants,
        Behaviour::Slow(seconds(2.0)),
    ];
    for behaviour in behaviours {
        let (simulation, longest) = run_three_changes(behaviour);
        assert!(
            longest <= IMMEDIATE_DETECTION && simulation.longest_hold == Duration::ZERO,
            "{behaviour:?} {longest:?}"
        );
        let status = simulation.status();
        assert!(status.serving.is_some_and(|(relay, _)| relay > 0), "{behaviour:?} {status:?}");
        assert_eq!(status.relays_refused, 0, "{behaviour:?}");
    }
}

#[test]
fn delayed_duplicate_and_reordered_messages_are_tolerated() {
    for behaviour in [Behaviour::Slow(seconds(0.4)), Behaviour::Doubled, Behaviour::Shuffled] {
        let (simulation, longest) = run_three_changes(behaviour);
        assert!(longest <= DELAYED_DETECTION, "{behaviour:?} {longest:?}");
        // The first change is sent as a snapshot, which takes longer than a lease from a slow relay.
        assert!(
            simulation.longest_hold <= IMMEDIATE_DETECTION,
            "{behaviour:?} {:?}",
            simulation.longest_hold
        );
    }
}

#[test]
fn a_relay_that_withholds_updates_is_replaced() {
    for behaviour in
        [Behaviour::Stale(0), Behaviour::Stale(1), Behaviour::Withholding, Behaviour::NoActivationGrants]
    {
        let (simulation, longest) = run_three_changes(behaviour);
        assert!(longest <= DELAYED_DETECTION, "{behaviour:?} {longest:?}");
        assert!(
            simulation.status().serving.is_some_and(|(relay, _)| relay > 0),
            "{behaviour:?} {:?}",
            simulation.status()
        );
    }
}

#[test]
fn a_relay_that_forges_or_contradicts_is_refused_without_delay() {
    let behaviours = [
        Behaviour::Contradicting,
        Behaviour::ForgedVote,
        Behaviour::AddedEntry,
        Behaviour::TooFewActivationGrants,
        Behaviour::NonAcceptors,
        Behaviour::OtherTree,
    ];
    for behaviour in behaviours {
        let (simulation, longest) = run_three_changes(behaviour);
        assert!(longest <= IMMEDIATE_DETECTION, "{behaviour:?} {longest:?}");
        assert_eq!(simulation.longest_hold, Duration::ZERO, "{behaviour:?}");
        let status = simulation.status();
        assert!(status.relays_refused >= 1 && status.last_refusal.is_some(), "{behaviour:?} {status:?}");
    }
    // A relay that offers deltas on an unknown base is sent a few hellos first.
    let (simulation, longest) = run_three_changes(Behaviour::OtherBase);
    assert!(longest <= DELAYED_DETECTION && simulation.longest_hold <= DELAYED_DETECTION, "{longest:?}");
    assert!(simulation.status().relays_refused >= 1);
}

#[test]
fn a_snapshot_continues_across_connections_that_all_close() {
    let mut simulation =
        Simulation::new(&[Behaviour::CutAfter(40), Behaviour::CutAfter(40), Behaviour::CutAfter(40)]);
    simulation.control_plane.versions.push(version(1, titles(2000)));
    simulation.run(seconds(600.0));
    let bucket_count: usize =
        (0..64).map(|group| simulation.control_plane.versions[0].state.group(group).len()).sum();
    assert!(bucket_count > 1000);
    assert_eq!(simulation.status().acting.prepared, Some(1), "{:?}", simulation.status().transfer);
    // Each bucket was received once, except groups and parts that were in transit when a connection closed.
    assert!(simulation.received_buckets <= bucket_count, "{} of {bucket_count}", simulation.received_buckets);
}

#[test]
fn a_relay_that_fails_during_a_change_causes_no_hold() {
    for after in [0.0, 0.02, 0.05, 0.08, 0.1, 0.2, 0.5, 1.01, 1.03, 1.05] {
        let mut simulation = Simulation::new(&[Behaviour::Correct, Behaviour::Correct]);
        simulation.push_revision();
        simulation.run(seconds(10.0));
        let number = simulation.control_plane.versions.len() as Number + 1;
        let mut state = simulation.control_plane.versions[0].state.clone();
        state.apply(&[put("number", "2")]).unwrap();
        simulation.control_plane.versions.push(version(number, state));
        simulation.run(seconds(after));
        simulation.relays[0].behaviour = Behaviour::Unreachable;
        simulation.schedule(DELAY, 0, Event::Closed(0));
        simulation.run(seconds(1.0));
        simulation.control_plane.allowed = number;
        simulation.run(seconds(2.0));
        assert_eq!(simulation.status().acting.active, 2, "after {after}: {:?}", simulation.status());
        assert!(
            simulation.longest_hold <= IMMEDIATE_DETECTION,
            "after {after}: {:?}",
            simulation.longest_hold
        );
        // The relay restarts without its memory, and the watcher fails back to it.
        simulation.relays[0].behaviour = Behaviour::Correct;
        simulation.run(seconds(100.0));
        assert_eq!(simulation.status().serving, Some((0, Some(0))));
    }
}

#[test]
fn a_partitioned_watcher_withholds_decisions_after_a_lease_and_recovers() {
    let mut simulation = Simulation::new(&[Behaviour::Correct, Behaviour::Correct]);
    simulation.push_revision();
    simulation.run(seconds(10.0));
    let partitioned_at = simulation.now;
    for relay in 0..2 {
        simulation.relays[relay].behaviour = Behaviour::Unreachable;
        simulation.schedule(Duration::ZERO, relay, Event::Closed(relay));
    }
    simulation.run(LEASE);
    assert!(simulation.status().acting.hold_reason.is_some());
    assert!(
        simulation.hold_since.is_some_and(|at| at > partitioned_at + LEASE / 2),
        "{:?}",
        simulation.hold_since
    );
    simulation.run(Duration::from_secs(3600));
    assert_eq!(simulation.status().acting.active, 1);
    simulation.relays.iter_mut().for_each(|relay| relay.behaviour = Behaviour::Correct);
    // The longest backoff before a relay is retried, and the time to connect.
    simulation.run(seconds(31.0));
    assert_eq!(simulation.status().acting.hold_reason, None);
}
