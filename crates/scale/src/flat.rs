//! The baseline: the agreement among all controllers without a tier (`docs/revisions.md`), on the same simulated network.
//!
//! Words go as datagrams, which are lost and not sent again, and whole texts over streams. The gossip that carries words
//! and its ceiling of bytes are not played: what would pass the ceiling shows in the bytes of a keeper.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_distribution::{Digest, MachineId, Number};
use badgerledge_revisions::message::Message;
use badgerledge_revisions::{
    digest, AcceptorState, ActivationMode, Head, MemberConfig, MemberOutput, Revisions, Signed, StoredState,
};
use serde::Serialize;

use crate::observations::{histogram, ActedOn};
use crate::scenario::Scenario;
use crate::simulation::network::{wire_bytes, Paths};
use crate::simulation::queue::Queue;
use crate::simulation::{seed_of, Signatures, SimulatedHand};

/// Bytes of a datagram beside the word: IPv4, UDP, the gossip's head and its signature.
const DATAGRAM_OVERHEAD: u64 = 28 + 16 + 64;
/// Two ticks of a controller, as it states them.
const LATE: Duration = Duration::from_millis(20);
const START: Duration = Duration::from_secs(10);
const LOOK_EVERY: Duration = Duration::from_millis(100);
const LEAST_STEP: Duration = Duration::from_millis(1);

/// The figures of the baseline at one size.
#[derive(Clone, Debug, Serialize)]
pub struct FlatFigures {
    pub members: u32,
    pub keepers: u16,
    pub seed: u64,
    pub entries: u32,
    pub text_bytes: u64,
    pub changes: u64,
    /// The bound that the protocol states.
    pub bound_s: f64,
    pub longest_contradiction_s: f64,
    pub acting_p50_s: f64,
    pub acting_p99_s: f64,
    pub acting_last_s: f64,
    /// Pairs of a change and a member that had not acted on it at the end.
    pub never: u64,
    /// In and out together.
    pub member_bytes_per_s: f64,
    pub most_member_bytes_per_s: f64,
}

enum Event {
    Word { from: MachineId, to: MachineId, bytes: Vec<u8> },
    Text { from: MachineId, to: MachineId, signed: Signed },
    Tend(MachineId),
    Push(usize),
    Look,
}

struct Seat {
    member: Revisions<SimulatedHand>,
    due: Duration,
    zone: u16,
    bytes: u64,
    active: Number,
}

struct Flat {
    now: Duration,
    queue: Queue<Event>,
    paths: Paths,
    seats: Vec<Seat>,
    chance: Rng,
    loss: f64,
    text_bytes: usize,
    acted_on: ActedOn,
    /// When each revision was pushed, and by how many it was acted on after how long.
    pushed: BTreeMap<Number, Duration>,
    acted: hdrhistogram::Histogram<u64>,
    acted_count: u64,
}

/// Plays changes one after the other among so many members, the scenario's network and rate as they are.
pub fn play(scenario: &Scenario, members: u32) -> FlatFigures {
    let mut flat = Flat::new(scenario, members);
    let span = flat.run(scenario);
    let bound = flat.seats.first().map_or(Duration::ZERO, |seat| seat.member.bound());
    let seconds = |micros: u64| micros as f64 / 1e6;
    let bytes = || flat.seats.iter().map(|seat| seat.bytes as f64 / span.as_secs_f64());
    let changes = flat.pushed.len() as u64;
    FlatFigures {
        members,
        keepers: scenario.fleet.acceptors,
        seed: scenario.run.seed,
        entries: scenario.load.entries,
        text_bytes: flat.text_bytes as u64,
        changes,
        bound_s: bound.as_secs_f64(),
        longest_contradiction_s: flat.acted_on.longest_contradiction().0.as_secs_f64(),
        acting_p50_s: seconds(flat.acted.value_at_quantile(0.5)),
        acting_p99_s: seconds(flat.acted.value_at_quantile(0.99)),
        acting_last_s: seconds(flat.acted.max()),
        never: changes * u64::from(members) - flat.acted_count,
        member_bytes_per_s: bytes().sum::<f64>() / f64::from(members),
        most_member_bytes_per_s: bytes().fold(0.0, f64::max),
    }
}

impl Flat {
    fn new(scenario: &Scenario, members: u32) -> Self {
        let fleet = &scenario.fleet;
        let count = members as MachineId;
        let hand = SimulatedHand {
            me: 0,
            machines: Rc::new((0..count).collect()),
            acceptors: Rc::new((0..fleet.acceptors.min(count)).collect()),
            count: Rc::new(Cell::new(Signatures::default())),
        };
        let text_bytes = (scenario.load.entries * (scenario.load.entry_bytes + 20)) as usize;
        let mut chance = Rng(scenario.run.seed);
        chance.unit_interval();
        let seats = (0..count).map(|me| {
            let stored = StoredState {
                acceptor: hand.acceptors.contains(&me).then(AcceptorState::default),
                ..StoredState::default()
            };
            let terms = MemberConfig {
                local_id: me,
                incarnation: 1,
                mode: ActivationMode::Hold,
                activation_delay: LATE,
                check: Box::new(|_| Ok(())),
            };
            let hand = SimulatedHand { me, ..hand.clone() };
            let text: Arc<[u8]> = text_of(0, text_bytes).into();
            let seed = seed_of(&mut chance);
            let now = Duration::ZERO;
            let member = Revisions::new(hand, terms, text, Some(stored), Vec::new(), now, seed);
            let zone = fleet.zone_of_controller(u32::from(me));
            Seat { member, due: Duration::MAX, zone, bytes: 0, active: 0 }
        });
        let seats = seats.collect();
        let paths = Paths::new(scenario.network.clone(), fleet.clone(), scenario.run.seed);
        Self {
            now: Duration::ZERO,
            queue: Queue::default(),
            paths,
            seats,
            chance,
            loss: scenario.network.loss,
            text_bytes,
            acted_on: ActedOn::default(),
            pushed: BTreeMap::new(),
            acted: histogram(),
            acted_count: 0,
        }
    }

    /// Plays to the end, and gives the span over which bytes were counted.
    fn run(&mut self, scenario: &Scenario) -> Duration {
        let lease = self.seats.first().map_or(Duration::ZERO, |seat| seat.member.lease_duration());
        // Members have leases before the first change, and the last change has time to come into force.
        let load_from = START.max(lease);
        let load_until = load_from + Duration::from_secs_f64(scenario.run.duration_s);
        let end = load_until + lease * 2 + Duration::from_secs_f64(scenario.run.settle_s);
        let every = Duration::from_secs_f64(scenario.load.every_s.max(0.1));
        let (mut at, mut push) = (load_from, 0);
        while at < load_until {
            self.queue.push(at, Event::Push(push));
            (at, push) = (at + every, push + 1);
        }
        for me in 0..self.seats.len() as MachineId {
            let at = self.chance.random_duration(Duration::from_secs(1));
            self.seats[usize::from(me)].due = at;
            self.queue.push(at, Event::Tend(me));
        }
        self.queue.push(LOOK_EVERY, Event::Look);
        while let Some((at, event)) = self.queue.pop(end) {
            self.now = self.now.max(at);
            self.happen(event);
        }
        end
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Word { from, to, bytes } => {
                self.seats[usize::from(to)].bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD;
                if let Some(word) = Message::read(&bytes) {
                    self.with(to, |member, now, out| member.receive(now, from, word, out));
                }
            }
            Event::Text { from, to, signed } => {
                let holder = &self.seats[usize::from(from)].member;
                let Some(text) = holder.text_by_digest(&signed.head.text).cloned() else { return };
                let bytes = wire_bytes(text.len());
                self.seats[usize::from(from)].bytes += bytes;
                self.seats[usize::from(to)].bytes += bytes;
                self.with(to, |member, now, out| {
                    // A text that came is the one that was asked for, or is asked for again.
                    let _ = member.take_text(now, &signed, text, out);
                });
            }
            Event::Tend(me) => {
                let seat = &mut self.seats[usize::from(me)];
                if seat.due <= self.now {
                    seat.due = Duration::MAX;
                    self.with(me, |member, now, out| member.poll(now, out));
                }
            }
            Event::Push(number) => self.push(number),
            Event::Look => {
                (0..self.seats.len() as MachineId).for_each(|me| self.watch(me));
                self.queue.push(self.now + LOOK_EVERY, Event::Look);
            }
        }
    }

    /// The next revision is pushed at a member that is no keeper, or a little later where the last one is not certified
    /// there.
    fn push(&mut self, push: usize) {
        let at = (self.seats.len() - 1) as MachineId;
        let text: Arc<[u8]> = text_of(push + 1, self.text_bytes).into();
        let mut taken = None;
        self.with(at, |member, now, out| {
            let (number, before) = member.next();
            let head = Head::new(number, before, 0, &text);
            let signature = SimulatedHand::author_signature(0, &head.signed_bytes());
            if member.push(now, Signed { head, signature }, text, out).is_ok() {
                taken = Some(number);
            }
        });
        if let Some(number) = taken {
            self.pushed.entry(number).or_insert(self.now);
        }
    }

    fn with(
        &mut self, me: MachineId,
        call: impl FnOnce(&mut Revisions<SimulatedHand>, Duration, &mut Vec<MemberOutput>),
    ) {
        self.watch(me);
        let mut out = Vec::new();
        call(&mut self.seats[usize::from(me)].member, self.now, &mut out);
        for given in out {
            match given {
                MemberOutput::Send(to, bytes) => self.send(me, to, bytes),
                MemberOutput::Fetch(signed, from) => {
                    let (own, other) = (self.seats[usize::from(me)].zone, self.seats[usize::from(from)].zone);
                    let wait = self.paths.opening(own, other)
                        + self.paths.transit(own, other, 100)
                        + self.paths.transit(other, own, self.text_bytes);
                    self.queue.push(self.now + wait, Event::Text { from, to: me, signed });
                }
                MemberOutput::Store(_)
                | MemberOutput::StoreText(..)
                | MemberOutput::Changed
                | MemberOutput::Unusable(..) => {}
            }
        }
        self.watch(me);
        let seat = &mut self.seats[usize::from(me)];
        let due = seat.member.next_due();
        if due < seat.due {
            seat.due = due.max(self.now + LEAST_STEP);
            self.queue.push(seat.due, Event::Tend(me));
        }
    }

    fn send(&mut self, from: MachineId, to: MachineId, bytes: Vec<u8>) {
        self.seats[usize::from(from)].bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD;
        if self.chance.unit_interval() < self.loss {
            return;
        }
        let (own, other) = (self.seats[usize::from(from)].zone, self.seats[usize::from(to)].zone);
        let at = self.now + self.paths.one_way(own, other);
        self.queue.push(at, Event::Word { from, to, bytes });
    }

    fn watch(&mut self, me: MachineId) {
        let seat = &mut self.seats[usize::from(me)];
        let acting = seat.member.active_revision(self.now);
        if acting.held.is_some() {
            return;
        }
        self.acted_on.note(acting.active, self.now);
        let before = seat.active;
        seat.active = before.max(acting.active);
        for (_, pushed) in self.pushed.range(before + 1..seat.active + 1) {
            // It grows as needed.
            let _ = self.acted.record(self.now.saturating_sub(*pushed).as_micros() as u64);
            self.acted_count += 1;
        }
    }
}

/// A text of so many bytes that no other version has.
fn text_of(version: usize, bytes: usize) -> Vec<u8> {
    let mark: Digest = digest(&version.to_be_bytes());
    mark.into_iter().cycle().take(bytes.max(mark.len())).collect()
}
