//! The safety of leases in random plays: acceptors allow revisions at random times, relays delay, replay, mix up and
//! forge, watchers are killed and stand still, clocks differ in pace. Whoever acts on an older revision does so no longer
//! than the stated bound after the first acts on a newer one.
//!
//! That the check bites is shown by a second reckoning of leases with one of its rules taken out ([`Broken`]); with all
//! rules it agrees with the watcher's own at every moment.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

use super::super::certified::{edited, hand, Version, ACCEPTORS};
use super::super::edits::put;
use super::super::hand::DigestHand;
use super::bench::{activate, delta, own_state, seconds, snapshot};
use crate::lease::{bound, leaf, root_from, Grant, LeaseProof, Nonce, NonceTree, LEASE};
use crate::message::{ToRelay, ToWatcher};
use crate::state::State;
use crate::watcher::{HoldReason, StoreRequest, Stored, Watcher, WatcherConfig, WatcherOutput};
use crate::{digest, quorum, ControllerId, MachineId, Number};

const WATCHERS: usize = 4;
const RELAYS: usize = 3;
const REVISIONS: Number = 8;
/// How often it is looked at what each watcher acts on: what it decided may be so much older.
const TICK: Duration = Duration::from_millis(50);
const PLAY: Duration = Duration::from_secs(120);
/// Seeds that are played in each run of the tests, and in long ones.
const SEEDS: u64 = 300;
const MANY_SEEDS: u64 = 5000;

/// A rule that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A lease counts from when it comes.
    CountsFromAnswer,
    /// Relays can tell what a watcher will ask with.
    PredictableNonces,
    /// Grants count over any root.
    NoPath,
    /// Grants count whatever is allowed.
    HigherAllowed,
}

/// A second reckoning of a watcher's lease.
#[derive(Default)]
struct Reckoning {
    drawn: BTreeMap<Nonce, Duration>,
    until: Option<Duration>,
}

impl Reckoning {
    fn answered(
        &mut self, now: Duration, proof: &LeaseProof, controller: u32, active: Number, broken: Broken,
    ) {
        // The watcher forgets a nonce when it draws another after a lease.
        let Some(drawn) = self.drawn.remove(&proof.nonce) else { return };
        let root = root_from(leaf(controller, &proof.nonce), proof.index, &proof.path);
        let counts = |grant: &&Grant| {
            let over_it = Some(grant.root) == root || broken == Broken::NoPath;
            let in_time = grant.allowed <= active || broken == Broken::HigherAllowed;
            over_it && in_time && grant.holds(&hand(100))
        };
        let mut acceptors: Vec<MachineId> =
            proof.grants.iter().filter(counts).map(|of| of.acceptor).collect();
        acceptors.sort_unstable();
        acceptors.dedup();
        if acceptors.len() >= quorum(usize::from(ACCEPTORS)) {
            let from = if broken == Broken::CountsFromAnswer { now } else { drawn };
            self.until = self.until.max(Some(from + LEASE));
        }
    }
}

struct Seat {
    watcher: Option<Watcher<DigestHand>>,
    reckoning: Reckoning,
    disk: Vec<u8>,
    lives: u64,
    /// Its clock goes so much faster than the true one.
    pace: f64,
    /// It stands still until then.
    stalled_until: Duration,
    connections: [u32; RELAYS],
    open: [bool; RELAYS],
}

enum Event {
    Opened,
    Message(Box<ToWatcher>),
    Ended,
    Request(ToRelay),
}

/// A request for a lease on its way through a relay, with the grants over its tree.
struct Round {
    requests: Vec<(usize, u32, Nonce)>,
    tree: NonceTree,
    grants: Vec<Grant>,
}

struct Play {
    now: Duration,
    chance: Rng,
    broken: Broken,
    seats: Vec<Seat>,
    versions: Vec<Version>,
    /// The highest revision that each acceptor has allowed.
    allowed: Vec<Number>,
    events: BTreeMap<(Duration, u64), (usize, usize, u32, Event)>,
    sequence: u64,
    gathered: Vec<Vec<(usize, u32, Nonce)>>,
    /// Grants and proofs that relays remember, to replay them.
    remembered: Vec<LeaseProof>,
    foreseen: BTreeMap<(usize, u64), LeaseProof>,
    /// When each revision was first acted on.
    acted: BTreeMap<Number, Duration>,
    /// The longest that anyone acted on an older one after that.
    longest: Duration,
    /// How often someone acted, for the measure of what was played.
    seen_acting: u64,
    seen: u64,
}

/// The nonce that this watcher draws as its so-manieth.
fn predictable(controller: ControllerId, drawn: u64) -> Nonce {
    let random = digest(&[&controller.to_be_bytes()[..], &drawn.to_be_bytes()].concat());
    std::array::from_fn(|at| random[at])
}

impl Play {
    fn new(seed: u64, broken: Broken) -> Self {
        let mut chance = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        (0..8).for_each(|_| assert!(chance.unit_interval() < 1.0));
        let seat = |pace: f64| Seat {
            watcher: None,
            reckoning: Reckoning::default(),
            disk: Vec::new(),
            lives: 0,
            pace,
            stalled_until: Duration::ZERO,
            connections: [0; RELAYS],
            open: [false; RELAYS],
        };
        // Within half of one in a hundred of the true pace: two differ by one in a hundred at most.
        let seats = (0..WATCHERS).map(|_| seat(0.995 + chance.unit_interval() * 0.0099)).collect();
        let mut play = Self {
            now: seconds(1000.0),
            chance,
            broken,
            seats,
            versions: Vec::new(),
            allowed: vec![0; usize::from(ACCEPTORS)],
            events: BTreeMap::new(),
            sequence: 0,
            gathered: vec![Vec::new(); RELAYS],
            remembered: Vec::new(),
            foreseen: BTreeMap::new(),
            acted: BTreeMap::new(),
            longest: Duration::ZERO,
            seen_acting: 0,
            seen: 0,
        };
        (0..WATCHERS).for_each(|at| play.start(at));
        play
    }

    fn chance_of(&mut self, share: f64) -> bool {
        self.chance.unit_interval() < share
    }

    fn one_of(&mut self, count: usize) -> usize {
        ((self.chance.unit_interval() * count as f64) as usize).min(count - 1)
    }

    /// What a watcher's clock shows.
    fn clock(&self, at: usize) -> Duration {
        self.now.mul_f64(self.seats[at].pace)
    }

    fn start(&mut self, at: usize) {
        let (controller, now) = (at as ControllerId, self.clock(at));
        let seat = &mut self.seats[at];
        let mut drawn = seat.lives << 32;
        seat.lives += 1;
        let nonce = Box::new(move || {
            drawn += 1;
            predictable(controller, drawn)
        });
        let check = Box::new(|_: &State, _: Number| Ok(()));
        let config = WatcherConfig { controller, relays: RELAYS, late: TICK, regional: false, check, nonce };
        let stored = Stored::read(&seat.disk).ok();
        seat.watcher = Some(Watcher::new(hand(100), config, own_state(), stored, seat.lives, now));
        seat.reckoning = Reckoning::default();
    }

    fn put(&mut self, after: Duration, at: usize, relay: usize, event: Event) {
        self.sequence += 1;
        let connection = self.seats[at].connections[relay];
        self.events.insert((self.now + after, self.sequence), (at, relay, connection, event));
    }

    fn call(
        &mut self, at: usize, call: impl FnOnce(&mut Watcher<DigestHand>, Duration, &mut Vec<WatcherOutput>),
    ) {
        let (now, mut out) = (self.clock(at), Vec::new());
        let Some(watcher) = &mut self.seats[at].watcher else { return };
        call(watcher, now, &mut out);
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => {
                    self.end(at, relay);
                    let delay = self.chance.random_duration(seconds(0.2));
                    self.put(delay, at, relay, Event::Opened);
                }
                WatcherOutput::Close(relay) => self.end(at, relay),
                WatcherOutput::Send(relay, message) => {
                    if let ToRelay::AskLease { nonce, .. } = message {
                        let reckoning = &mut self.seats[at].reckoning;
                        reckoning
                            .drawn
                            .retain(|_, drawn| *drawn + LEASE > now || self.broken != Broken::Nothing);
                        reckoning.drawn.insert(nonce, now);
                    }
                    let delay = self.chance.random_duration(seconds(0.2));
                    self.put(delay, at, relay, Event::Request(message));
                }
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => self.seats[at].disk = bytes,
                WatcherOutput::Store(StoreRequest::Append(bytes)) => self.seats[at].disk.extend(bytes),
                WatcherOutput::Changed | WatcherOutput::Unfit { .. } => {}
            }
        }
    }

    /// What is still on its way on a connection is void.
    fn end(&mut self, at: usize, relay: usize) {
        let seat = &mut self.seats[at];
        seat.connections[relay] += 1;
        seat.open[relay] = false;
    }

    fn hand_down(&mut self, at: usize, relay: usize, message: ToWatcher) {
        // Mostly soon; now and then long after.
        let most = if self.chance_of(0.25) { 9.0 } else { 0.4 };
        let delay = self.chance.random_duration(seconds(most));
        self.put(delay, at, relay, Event::Message(Box::new(message)));
    }

    fn happen(&mut self, at: usize, relay: usize, connection: u32, event: Event) {
        if self.seats[at].connections[relay] != connection {
            return;
        }
        let until = self.seats[at].stalled_until;
        if until > self.now && !matches!(event, Event::Request(_)) {
            return self.put(until - self.now, at, relay, event);
        }
        match event {
            Event::Opened => {
                self.seats[at].open[relay] = true;
                self.call(at, |watcher, now, out| watcher.opened(now, relay, out));
            }
            Event::Ended => {
                self.end(at, relay);
                self.call(at, |watcher, now, out| watcher.closed(now, relay, out));
            }
            Event::Message(_) if !self.seats[at].open[relay] => {}
            Event::Message(message) => {
                if let ToWatcher::Lease(proof) = &*message {
                    self.reckon(at, proof);
                }
                self.call(at, |watcher, now, out| watcher.heard(now, relay, *message, out));
            }
            Event::Request(message) => self.requested(at, relay, connection, message),
        }
    }

    fn reckon(&mut self, at: usize, proof: &LeaseProof) {
        let now = self.clock(at);
        let seat = &mut self.seats[at];
        let Some(watcher) = &seat.watcher else { return };
        let active = watcher.acting(now).active;
        seat.reckoning.answered(now, proof, at as u32, active, self.broken);
    }

    fn requested(&mut self, at: usize, relay: usize, connection: u32, message: ToRelay) {
        match message {
            ToRelay::Hello { held, root, .. } => {
                let number = self.versions.len() as Number;
                self.hand_down_now(at, relay, ToWatcher::Welcome { relay: relay as u16, number });
                self.update(at, relay, held, root);
            }
            ToRelay::AskLease { nonce, .. } => self.gathered[relay].push((at, connection, nonce)),
            ToRelay::GetGroups { groups } => self.parts(at, relay, |state| {
                let group = |group: &u8| ToWatcher::Group { group: *group, buckets: state.group(*group) };
                groups.iter().map(group).collect()
            }),
            ToRelay::GetBuckets { buckets } => self.parts(at, relay, |state| {
                let bucket = |of: &u16| ToWatcher::Bucket { bucket: *of, entries: state.bucket(*of) };
                buckets.iter().map(bucket).collect()
            }),
            _ => {}
        }
    }

    fn hand_down_now(&mut self, at: usize, relay: usize, message: ToWatcher) {
        self.put(Duration::from_millis(20), at, relay, Event::Message(Box::new(message)));
    }

    fn parts(&mut self, at: usize, relay: usize, parts: impl FnOnce(&State) -> Vec<ToWatcher>) {
        let Some(version) = self.versions.last() else { return };
        for part in parts(&version.state) {
            self.hand_down_now(at, relay, part);
        }
    }

    /// Hands the latest revision down, now and then.
    fn update(&mut self, at: usize, relay: usize, held: Number, root: crate::Digest) {
        let Some(latest) = self.versions.last().cloned() else { return };
        if latest.number() <= held {
            return;
        }
        let base = match held {
            0 => Some(own_state()),
            number => self.versions.get(number as usize - 1).map(|version| version.state.clone()),
        };
        let message = match base.filter(|base| base.root() == root) {
            Some(base) => {
                let edits = crate::watcher::difference(&base, &latest.state);
                delta(&latest, held, &base, &edits)
            }
            None => snapshot(&latest),
        };
        self.hand_down(at, relay, message);
    }

    /// What is certified and allowed by itself, and what relays do unasked.
    fn tick(&mut self) {
        if self.versions.len() < REVISIONS as usize && self.chance_of(0.005) {
            let before = self.versions.last().map_or(own_state(), |version| version.state.clone());
            let number = self.versions.len() as Number + 1;
            self.versions.push(edited(number, &before, &[put("number", &number.to_string())]));
            let open = self.open();
            for (at, relay) in open {
                let known = self.seats[at].watcher.as_ref().map(|watcher| {
                    let acting = watcher.acting(self.now.mul_f64(self.seats[at].pace));
                    let state = watcher.prepared_state().unwrap_or(watcher.active_state());
                    (acting.prepared.unwrap_or(acting.active), state.root())
                });
                if let Some((held, root)) = known.filter(|_| self.chance.unit_interval() < 0.7) {
                    self.update(at, relay, held, root);
                }
            }
        }
        // Each acceptor allows what is certified in its own time.
        for acceptor in 0..self.allowed.len() {
            if self.allowed[acceptor] < self.versions.len() as Number && self.chance_of(0.01) {
                self.allowed[acceptor] = self.versions.len() as Number;
            }
        }
        self.activate_some();
        for relay in 0..RELAYS {
            if self.chance_of(0.2) {
                self.grant_round(relay);
            }
        }
        self.disturb();
    }

    /// All pairs of a watcher and a relay.
    fn open(&self) -> Vec<(usize, usize)> {
        (0..WATCHERS).flat_map(|at| (0..RELAYS).map(move |relay| (at, relay))).collect()
    }

    /// The words of a quorum go down to one watcher or another.
    fn activate_some(&mut self) {
        let mut by_height = self.allowed.clone();
        by_height.sort_unstable_by(|a, b| b.cmp(a));
        let number = by_height[quorum(by_height.len()) - 1];
        let Some(version) = (number as usize).checked_sub(1).and_then(|at| self.versions.get(at)).cloned()
        else {
            return;
        };
        if self.chance_of(0.05) {
            let (at, relay) = (self.one_of(WATCHERS), self.one_of(RELAYS));
            self.hand_down(at, relay, activate(&version));
        }
    }

    /// A relay has what it gathered granted: by acceptors one after the other, each with what it has allowed just then.
    fn grant_round(&mut self, relay: usize) {
        let requests = std::mem::take(&mut self.gathered[relay]);
        if requests.is_empty() {
            return;
        }
        let leaves = requests.iter().map(|(at, _, nonce)| leaf(*at as u32, nonce)).collect();
        let mut round = Round { requests, tree: NonceTree::new(leaves), grants: Vec::new() };
        for acceptor in 0..ACCEPTORS {
            if self.chance_of(0.85) {
                let allowed = self.allowed[usize::from(acceptor)];
                round.grants.push(Grant::sign(&hand(acceptor), acceptor, round.tree.root(), allowed));
            }
        }
        for index in 0..round.requests.len() {
            let (at, _, nonce) = round.requests[index];
            let (path, grants) = (round.tree.path(index), round.grants.clone());
            let proof = LeaseProof { nonce, index: index as u32, path, grants };
            let proof = self.altered(at, proof);
            self.hand_down(at, relay, ToWatcher::Lease(proof));
        }
    }

    /// What a relay may make of a proof: another's path, old grants, forged ones.
    fn altered(&mut self, at: usize, mut proof: LeaseProof) -> LeaseProof {
        if self.remembered.len() < 400 || self.chance_of(0.02) {
            self.remembered.push(proof.clone());
        }
        if self.remembered.len() > 500 {
            self.remembered.remove(0);
        }
        if self.chance_of(0.15) {
            let older = self.one_of(self.remembered.len());
            let older = self.remembered[older].clone();
            match self.one_of(5) {
                // Old grants over the new nonce.
                0 => proof.grants = older.grants,
                // Old grants with the path that they are over.
                1 => (proof.path, proof.index, proof.grants) = (older.path, older.index, older.grants),
                // A mix of both.
                2 => proof.grants.extend(older.grants),
                // Signed by nobody.
                3 => proof.grants.iter_mut().for_each(|grant| grant.allowed = 0),
                _ => proof.nonce = older.nonce,
            }
        }
        if self.broken == Broken::PredictableNonces {
            self.foresee(at);
            let foreseen = (0..64)
                .find_map(|ahead| self.foreseen.get(&(at, ahead)).filter(|of| of.nonce == proof.nonce));
            return foreseen.cloned().unwrap_or(proof);
        }
        proof
    }

    /// A relay that can tell nonces has them granted ahead.
    fn foresee(&mut self, at: usize) {
        for ahead in 0..64 {
            if self.foreseen.contains_key(&(at, ahead)) {
                continue;
            }
            let nonce = predictable(at as u32, ahead + 1);
            let tree = NonceTree::new(vec![leaf(at as u32, &nonce)]);
            let grant = |acceptor: MachineId| {
                let allowed = self.allowed[usize::from(acceptor)];
                Grant::sign(&hand(acceptor), acceptor, tree.root(), allowed)
            };
            let grants = (0..ACCEPTORS).map(grant).collect();
            self.foreseen.insert((at, ahead), LeaseProof { nonce, index: 0, path: vec![], grants });
        }
    }

    /// Connections end, watchers stand still, or are killed, with their disks or without.
    fn disturb(&mut self) {
        let (at, relay) = (self.one_of(WATCHERS), self.one_of(RELAYS));
        if self.chance_of(0.01) {
            self.put(Duration::ZERO, at, relay, Event::Ended);
        }
        if self.chance_of(0.004) {
            self.seats[at].stalled_until = self.now + self.chance.random_duration(seconds(8.0));
        }
        if self.chance_of(0.002) {
            if self.chance_of(0.3) {
                self.seats[at].disk.clear();
            }
            (0..RELAYS).for_each(|relay| self.end(at, relay));
            self.start(at);
        }
    }

    /// What each watcher acts on now, held against all others' acting.
    fn look(&mut self) {
        for at in 0..WATCHERS {
            let now = self.clock(at);
            let seat = &self.seats[at];
            let Some(watcher) = &seat.watcher else { continue };
            let acting = watcher.acting(now);
            let leased = seat.reckoning.until.is_some_and(|until| now < until);
            let allowed = watcher.status(now).allowed;
            let holds = match self.broken {
                Broken::Nothing | Broken::PredictableNonces => acting.held.is_some(),
                _ => allowed > acting.active || !leased,
            };
            if matches!(self.broken, Broken::Nothing) {
                let reckoned = allowed > acting.active || !leased;
                assert_eq!(acting.held.is_some(), reckoned, "watcher {at}: {acting:?}");
                assert!(acting.held != Some(HoldReason::NoLease) || !leased);
            }
            self.seen += 1;
            if holds {
                continue;
            }
            self.seen_acting += 1;
            self.acted.entry(acting.active).or_insert(self.now);
            let newer = self.acted.range(acting.active + 1..).map(|(_, first)| *first).min();
            self.longest = self.longest.max(newer.map_or(Duration::ZERO, |first| self.now - first));
        }
    }

    fn run(mut self) -> Self {
        let end = self.now + PLAY;
        while self.now < end {
            let until = self.now + TICK;
            while let Some(key) =
                self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= until)
            {
                let Some((at, relay, connection, event)) = self.events.remove(&key) else { break };
                self.now = self.now.max(key.0);
                self.happen(at, relay, connection, event);
            }
            self.now = until;
            for at in 0..WATCHERS {
                let due = self.seats[at].watcher.as_ref().is_some_and(|of| of.next_due() <= self.clock(at));
                if due && self.seats[at].stalled_until <= self.now {
                    self.call(at, |watcher, now, out| watcher.tend(now, out));
                }
            }
            self.tick();
            self.look();
        }
        self
    }
}

/// Plays these seeds. Tells the longest that anyone acted on an older revision, and how many plays were over the bound.
fn played(seeds: std::ops::Range<u64>, broken: Broken) -> (Duration, usize) {
    let mut longest = Duration::ZERO;
    let mut over = 0;
    let (mut acting, mut seen, mut revisions) = (0, 0, 0);
    for seed in seeds {
        let play = Play::new(seed, broken).run();
        longest = longest.max(play.longest);
        over += usize::from(play.longest > bound(TICK));
        (acting, seen) = (acting + play.seen_acting, seen + play.seen);
        revisions += play.acted.len();
    }
    println!("{broken:?}: longest {longest:?}, {over} over, acting {acting} of {seen}, {revisions} acted on");
    // Watchers that never act are safe: that is not what is played.
    assert!(acting * 3 > seen, "they act {acting} of {seen} times");
    (longest, over)
}

fn is_safe(seeds: std::ops::Range<u64>) {
    let (longest, over) = played(seeds, Broken::Nothing);
    assert_eq!(over, 0, "{longest:?} over {:?}", bound(TICK));
    // The bound is not far above what happens.
    assert!(longest > LEASE / 2, "{longest:?}");
}

#[test]
fn nobody_acts_on_an_older_revision_for_longer_than_the_bound() {
    is_safe(0..SEEDS);
}

#[test]
#[ignore = "minutes"]
fn nobody_does_in_many_plays() {
    is_safe(SEEDS..SEEDS + MANY_SEEDS);
}

#[test]
fn without_one_of_the_rules_somebody_does() {
    let rules = [Broken::CountsFromAnswer, Broken::PredictableNonces, Broken::NoPath, Broken::HigherAllowed];
    for broken in rules {
        let (_, over) = played(0..SEEDS / 10, broken);
        assert!(over > 0, "{broken:?} makes no difference");
    }
}
