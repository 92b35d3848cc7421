//! A watcher and its relays in simulated time: whatever a relay does wrong, the watcher gets what is certified from
//! another one, and holds back no longer than is said.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

use super::super::certified::{hand, version};
use super::super::edits::{put, titles};
use super::super::hand::DigestHand;
use super::bench::{config, own_state, seconds};
use super::relays::{Kind, Relay, Said, World};
use crate::lease::LEASE;
use crate::message::{ToRelay, ToWatcher};
use crate::watcher::{StoreRequest, Stored, Watcher, WatcherOutput, WatcherStatus};
use crate::Number;

/// How long a message takes.
const DELAY: Duration = Duration::from_millis(30);
/// How often it is looked at what is held, and relays say what is new.
const TICK: Duration = Duration::from_millis(100);

enum Event {
    Opened(usize),
    ToRelay(usize, ToRelay),
    ToWatcher(usize, Box<ToWatcher>),
    Ended(usize),
}

struct Net {
    now: Duration,
    watcher: Watcher<DigestHand>,
    disk: Vec<u8>,
    relays: Vec<Relay>,
    /// The number of the present connection to each relay; events of earlier ones are void.
    connections: Vec<u32>,
    world: World,
    events: BTreeMap<(Duration, u64), (u32, Event)>,
    sequence: u64,
    chance: Rng,
    /// When it first had a lease.
    leased: Option<Duration>,
    /// How long it held back at a stretch at most, since it first had a lease.
    longest_hold: Duration,
    held_since: Option<Duration>,
    /// Bytes of entries in buckets that came.
    parts: usize,
    /// Calls of the watcher.
    calls: usize,
}

impl Net {
    fn new(kinds: &[Kind]) -> Self {
        let now = seconds(1000.0);
        let relay = |(machine, kind): (usize, &Kind)| Relay::new(machine as u16, *kind);
        Self {
            now,
            watcher: Watcher::new(hand(100), config(kinds.len()), own_state(), None, 5, now),
            disk: Vec::new(),
            relays: kinds.iter().enumerate().map(relay).collect(),
            connections: vec![0; kinds.len()],
            world: World { versions: Vec::new(), allowed: 0 },
            events: BTreeMap::new(),
            sequence: 0,
            chance: Rng(7),
            leased: None,
            longest_hold: Duration::ZERO,
            held_since: None,
            parts: 0,
            calls: 0,
        }
    }

    fn put(&mut self, after: Duration, relay: usize, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), (self.connections[relay], event));
    }

    fn call(&mut self, call: impl FnOnce(&mut Watcher<DigestHand>, Duration, &mut Vec<WatcherOutput>)) {
        let mut out = Vec::new();
        self.calls += 1;
        call(&mut self.watcher, self.now, &mut out);
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => self.connect(relay),
                WatcherOutput::Close(relay) => self.connections[relay] += 1,
                WatcherOutput::Send(relay, message) => {
                    self.put(DELAY, relay, Event::ToRelay(relay, message));
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
        match self.relays[relay].kind {
            Kind::Away => self.put(DELAY, relay, Event::Ended(relay)),
            _ => self.put(DELAY * 2, relay, Event::Opened(relay)),
        }
    }

    fn say(&mut self, relay: usize, said: Vec<Said>) {
        let kind = self.relays[relay].kind;
        for said in said {
            let after = match kind {
                Kind::Slow(more) => DELAY + more,
                Kind::Shuffled => DELAY + self.chance.random_duration(DELAY * 10),
                _ => DELAY,
            };
            match said {
                Said::Message(message) => self.put(after, relay, Event::ToWatcher(relay, message)),
                Said::End => self.put(after, relay, Event::Ended(relay)),
            }
        }
    }

    fn happen(&mut self, connection: u32, event: Event) {
        let (Event::Opened(relay)
        | Event::ToRelay(relay, _)
        | Event::ToWatcher(relay, _)
        | Event::Ended(relay)) = event;
        if self.connections[relay] != connection {
            return;
        }
        match event {
            Event::Opened(_) => self.call(|watcher, now, out| watcher.opened(now, relay, out)),
            Event::ToRelay(_, message) => {
                let said = self.relays[relay].heard(message, &self.world);
                self.say(relay, said);
            }
            Event::ToWatcher(_, message) => {
                self.parts += usize::from(matches!(*message, ToWatcher::Bucket { .. }));
                self.call(|watcher, now, out| watcher.heard(now, relay, *message, out));
            }
            Event::Ended(_) => {
                self.connections[relay] += 1;
                self.call(|watcher, now, out| watcher.closed(now, relay, out));
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        let mut tick = self.now;
        for _ in 0..2_000_000 {
            let event = self.events.first_key_value().map_or(Duration::MAX, |(key, _)| key.0);
            let due = self.watcher.next_due().max(self.now);
            let next = event.min(due).min(tick);
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            if next == tick {
                tick += TICK;
                self.look();
            } else if next == event {
                let Some((_, (connection, event))) = self.events.pop_first() else { return };
                self.happen(connection, event);
            } else {
                self.call(|watcher, now, out| watcher.tend(now, out));
            }
        }
        panic!("it does not come to an end: {:?}", self.status());
    }

    fn look(&mut self) {
        for relay in 0..self.relays.len() {
            let said = self.relays[relay].says(&self.world);
            self.say(relay, said);
        }
        let held = self.watcher.acting(self.now).held.is_some();
        if !held {
            self.leased.get_or_insert(self.now);
        }
        self.held_since = (held && self.leased.is_some()).then(|| self.held_since.unwrap_or(self.now));
        let hold = self.held_since.map_or(Duration::ZERO, |since| self.now + TICK - since);
        self.longest_hold = self.longest_hold.max(hold);
    }

    /// Certifies a revision with an entry more, allows it a second later, and tells after how long it was acted on.
    fn change(&mut self) -> Duration {
        let number = self.world.versions.len() as Number + 1;
        let mut state = self.world.versions.last().map_or(titles(200), |version| version.state.clone());
        state.apply(&[put("number", &number.to_string())]).unwrap();
        self.world.versions.push(version(number, state));
        self.run(seconds(1.0));
        self.world.allowed = number;
        let allowed = self.now;
        while self.status().acting.active < number {
            self.run(TICK);
            assert!(self.now < allowed + seconds(120.0), "{number} is not acted on: {:?}", self.status());
        }
        assert!(self.watcher.active_state() == &self.world.versions[number as usize - 1].state);
        self.now - allowed
    }

    fn status(&self) -> WatcherStatus {
        self.watcher.status(self.now)
    }
}

/// What a change costs at most where the relay that serves neither breaks nor is found out at once: it is waited for three
/// seconds, half a lease for grants, then another is connected.
const FOUND_OUT: Duration = Duration::from_secs(5);
/// A relay that is right, or is found out by its first message.
const AT_ONCE: Duration = Duration::from_secs(1);

/// Plays three changes at a relay of this kind, with right ones behind it.
fn played(kind: Kind) -> (Net, Duration) {
    let mut net = Net::new(&[kind, Kind::Right, Kind::Right]);
    net.run(seconds(20.0));
    let mut longest = Duration::ZERO;
    for _ in 0..3 {
        longest = longest.max(net.change());
        net.run(seconds(10.0));
    }
    assert!(net.leased.is_some_and(|at| at < seconds(1010.0)), "{kind:?}: {:?}", net.leased);
    assert!(net.longest_hold <= FOUND_OUT, "{kind:?} held back {:?}", net.longest_hold);
    assert_eq!(Stored::read(&net.disk).unwrap().active.unwrap().number(), 3);
    (net, longest)
}

#[test]
fn at_a_right_relay_it_stays() {
    let (net, longest) = played(Kind::Right);
    assert!(longest <= AT_ONCE && net.longest_hold == Duration::ZERO, "{longest:?} {:?}", net.longest_hold);
    assert_eq!((net.status().serving, net.status().relays_refused), (Some((0, Some(0))), 0));
    assert!(net.calls < 500, "{}", net.calls);
}

#[test]
fn a_relay_that_can_not_serve_is_left_before_it_matters() {
    let kinds = [Kind::Away, Kind::Silent, Kind::Full, Kind::NoGrants, Kind::Slow(seconds(2.0))];
    for kind in kinds {
        let (net, longest) = played(kind);
        assert!(longest <= AT_ONCE && net.longest_hold == Duration::ZERO, "{kind:?} {longest:?}");
        let status = net.status();
        assert!(status.serving.is_some_and(|(relay, _)| relay > 0), "{kind:?} {status:?}");
        assert_eq!(status.relays_refused, 0, "{kind:?}");
    }
}

#[test]
fn messages_that_come_late_twice_or_out_of_order_are_borne() {
    for kind in [Kind::Slow(seconds(0.4)), Kind::Doubled, Kind::Shuffled] {
        let (net, longest) = played(kind);
        assert!(longest <= FOUND_OUT, "{kind:?} {longest:?}");
        // The first change is a snapshot: of a slow relay it takes longer than a lease.
        assert!(net.longest_hold <= AT_ONCE, "{kind:?} {:?}", net.longest_hold);
    }
}

#[test]
fn a_relay_that_holds_back_what_it_should_hand_down_is_left() {
    for kind in [Kind::Stale(0), Kind::Stale(1), Kind::Withholding, Kind::NoWordsToAct] {
        let (net, longest) = played(kind);
        assert!(longest <= FOUND_OUT, "{kind:?} {longest:?}");
        assert!(net.status().serving.is_some_and(|(relay, _)| relay > 0), "{kind:?} {:?}", net.status());
    }
}

#[test]
fn a_relay_that_lies_is_refused_and_costs_no_time() {
    let kinds = [
        Kind::Contradicting,
        Kind::ForgedVote,
        Kind::AddedEntry,
        Kind::TooFewWords,
        Kind::Outsiders,
        Kind::OtherTree,
    ];
    for kind in kinds {
        let (net, longest) = played(kind);
        assert!(longest <= AT_ONCE, "{kind:?} {longest:?}");
        assert_eq!(net.longest_hold, Duration::ZERO, "{kind:?}");
        let status = net.status();
        assert!(status.relays_refused >= 1 && status.last_refusal.is_some(), "{kind:?} {status:?}");
    }
    // One that offers no base that there is gets a few hellos first.
    let (net, longest) = played(Kind::OtherBase);
    assert!(longest <= FOUND_OUT && net.longest_hold <= FOUND_OUT, "{longest:?}");
    assert!(net.status().relays_refused >= 1);
}

#[test]
fn a_snapshot_goes_on_through_connections_that_all_end() {
    let mut net = Net::new(&[Kind::CutAfter(40), Kind::CutAfter(40), Kind::CutAfter(40)]);
    net.world.versions.push(version(1, titles(2000)));
    net.run(seconds(600.0));
    let whole: usize = (0..64).map(|group| net.world.versions[0].state.group(group).len()).sum();
    assert!(whole > 1000);
    assert_eq!(net.status().acting.prepared, Some(1), "{:?}", net.status().transfer);
    // Each part came once, but for the groups, and what was on its way when a connection ended.
    assert!(net.parts <= whole, "{} of {whole}", net.parts);
}

#[test]
fn a_relay_that_dies_in_the_middle_of_a_change_costs_no_hold() {
    for after in [0.0, 0.02, 0.05, 0.08, 0.1, 0.2, 0.5, 1.01, 1.03, 1.05] {
        let mut net = Net::new(&[Kind::Right, Kind::Right]);
        net.change();
        net.run(seconds(10.0));
        let number = net.world.versions.len() as Number + 1;
        let mut state = net.world.versions[0].state.clone();
        state.apply(&[put("number", "2")]).unwrap();
        net.world.versions.push(version(number, state));
        net.run(seconds(after));
        net.relays[0].kind = Kind::Away;
        net.put(DELAY, 0, Event::Ended(0));
        net.run(seconds(1.0));
        net.world.allowed = number;
        net.run(seconds(2.0));
        assert_eq!(net.status().acting.active, 2, "after {after}: {:?}", net.status());
        assert!(net.longest_hold <= AT_ONCE, "after {after}: {:?}", net.longest_hold);
        // It comes back without its memory, and is returned to.
        net.relays[0].kind = Kind::Right;
        net.run(seconds(100.0));
        assert_eq!(net.status().serving, Some((0, Some(0))));
    }
}

#[test]
fn cut_off_from_all_it_holds_back_a_lease_later_and_comes_back() {
    let mut net = Net::new(&[Kind::Right, Kind::Right]);
    net.change();
    net.run(seconds(10.0));
    let cut = net.now;
    for relay in 0..2 {
        net.relays[relay].kind = Kind::Away;
        net.put(Duration::ZERO, relay, Event::Ended(relay));
    }
    net.run(LEASE);
    assert!(net.status().acting.held.is_some());
    assert!(net.held_since.is_some_and(|at| at > cut + LEASE / 2), "{:?}", net.held_since);
    net.run(Duration::from_secs(3600));
    assert_eq!(net.status().acting.active, 1);
    net.relays.iter_mut().for_each(|relay| relay.kind = Kind::Right);
    // The longest pause before a relay is tried again, and the way there.
    net.run(seconds(31.0));
    assert_eq!(net.status().acting.held, None);
}
