//! Unit tests of the parts, and an exhaustive search over three members in every order of events.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};

use crate::statement::{incarnation, Accusation, Bulletin, Claim, Record, Statement, MAX_ITEMS};
use crate::view::{Change, View};
use crate::{
    envelope, Budget, Member, MemberState, Window, MAX_BYTES_PER_SECOND, MAX_DATAGRAM_BYTES, SIGNATURE_BYTES,
};

const T0: Duration = Duration::from_secs(100);
const AT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);

fn record(subject: Member, refutations: u16) -> Record {
    Record { subject, incarnation: incarnation(1, refutations), left: false, at: AT }
}

fn accusation(author: Member, subject: Member, refutations: u16) -> Accusation {
    Accusation { subject, incarnation: incarnation(1, refutations), author }
}

/// The view of a member that knows all of members 0 to 2.
fn view(member_id: Member) -> View {
    let mut view = View::new(member_id);
    (0..3).for_each(|member| {
        view.record(T0, record(member, 0), &[0; SIGNATURE_BYTES]);
    });
    view
}

#[test]
fn a_window_accepts_each_counter_once_like_a_set() {
    fn matches_set(counters: Vec<(bool, u8)>) -> bool {
        let mut window = Window::default();
        let (mut process_incarnation, mut highest, mut seen) = (0u32, 0u32, BTreeSet::new());
        counters.iter().all(|(later, step)| {
            // Occasionally a later process incarnation; counters around the highest.
            let incoming_incarnation = process_incarnation + u32::from(*later && step % 16 == 0);
            let counter = (highest + u32::from(*step)).saturating_sub(120);
            let expected = incoming_incarnation > process_incarnation
                || (counter + 64 > highest && !seen.contains(&counter));
            let same = window.accepts(incoming_incarnation, counter) == expected;
            if expected {
                if incoming_incarnation > process_incarnation {
                    (process_incarnation, highest) = (incoming_incarnation, counter);
                    seen.clear();
                }
                highest = highest.max(counter);
                seen.insert(counter);
                window.record(incoming_incarnation, counter);
            }
            same
        })
    }
    let gen = Gen::from_size_and_seed(300, 7);
    QuickCheck::new().rng(gen).tests(300).quickcheck(matches_set as fn(Vec<(bool, u8)>) -> bool);
}

#[test]
fn no_second_exceeds_the_byte_limit() {
    fn stays_within_limit(waits: Vec<(u8, u8)>) -> bool {
        let (mut budget, mut now, mut sent) = (Budget::new(T0), T0, Vec::new());
        for (wait, bytes) in waits {
            now += Duration::from_millis(u64::from(wait) / 8);
            if budget.take(now, usize::from(bytes)) {
                sent.push((now, usize::from(bytes)));
            }
        }
        let second = |from: &Duration| -> usize {
            let within = |one: &&(Duration, usize)| one.0 >= *from && one.0 < *from + Duration::from_secs(1);
            sent.iter().filter(within).map(|one| one.1).sum()
        };
        sent.iter().all(|one| second(&one.0) <= MAX_BYTES_PER_SECOND)
    }
    let gen = Gen::from_size_and_seed(2000, 8);
    QuickCheck::new().rng(gen).tests(50).quickcheck(stays_within_limit as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn statements_round_trip() {
    let items = (0..MAX_ITEMS as u8).map(|n| [n; 8]).collect();
    let all = [
        Claim::Record(record(513, 65_535)),
        Claim::Record(Record { left: true, ..record(1, 2) }),
        Claim::Accusation(accusation(3, 65_534, 9)),
        Claim::Bulletin(Bulletin { author: 9, process_incarnation: u32::MAX, number: 77, items }),
        Claim::Bulletin(Bulletin { author: 9, process_incarnation: 1, number: 1, items: Vec::new() }),
    ];
    for claim in all {
        let statement = Statement { claim, signature: [7; SIGNATURE_BYTES] };
        let mut bytes = Vec::new();
        statement.write(Duration::from_millis(600), &mut bytes);
        assert_eq!(bytes.len(), statement.size());
        let (read, age, used) = Statement::read(&bytes).unwrap();
        let aged = if matches!(read.claim, Claim::Bulletin(_)) {
            Duration::from_millis(600)
        } else {
            Duration::ZERO
        };
        assert_eq!((&read, age, used), (&statement, aged, bytes.len()));
        // Truncated anywhere, it is not a statement.
        assert!((0..bytes.len()).all(|end| Statement::read(&bytes[..end]).is_none()));
        // The largest statement fits into a datagram with a probe's number.
        assert!(bytes.len() + 2 <= envelope::MAX_BODY_BYTES);
    }
}

#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    fn harmless(bytes: Vec<u8>, marked: bool) -> bool {
        let bytes = if marked { [b"bg\x01\x01", &bytes[..]].concat() } else { bytes };
        if let Ok((_, body, signed, _)) = envelope::open(&bytes) {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES && signed.len() + SIGNATURE_BYTES == bytes.len());
            let mut rest = body;
            while let Some((statement, _, used)) = Statement::read(rest) {
                assert_eq!(used, statement.size());
                rest = &rest[used..];
            }
        }
        true
    }
    let gen = Gen::from_size_and_seed(300, 9);
    QuickCheck::new().rng(gen).tests(3000).quickcheck(harmless as fn(Vec<u8>, bool) -> bool);
}

#[test]
fn accusations_by_a_repeatedly_refuted_member_alone_are_ignored() {
    let mut view = view(0);
    let mut suspicions = 0;
    for turn in 0..100u16 {
        let now = T0 + Duration::from_secs(u64::from(turn));
        let change = view.accuse(now, accusation(2, 1, turn), &[0; SIGNATURE_BYTES]);
        suspicions += usize::from(change == Change::Suspected);
        view.record(now, record(1, turn + 1), &[0; SIGNATURE_BYTES]);
    }
    assert!(suspicions <= 10, "in 100 s it began {suspicions} suspicions");
    // Together with another accuser it counts, despite its earlier mistakes.
    let now = T0 + Duration::from_secs(100);
    view.accuse(now, accusation(2, 1, 100), &[0; SIGNATURE_BYTES]);
    assert_eq!(view.accuse(now, accusation(3, 1, 100), &[0; SIGNATURE_BYTES]), Change::Suspected);
}

#[test]
fn a_restart_is_not_a_mistake_of_the_accusers() {
    let mut view = view(0);
    for process_incarnation in 1..20u32 {
        let incarnation = incarnation(process_incarnation, 0);
        let accusation = Accusation { subject: 1, incarnation, author: 2 };
        assert_eq!(view.accuse(T0, accusation, &[0; SIGNATURE_BYTES]), Change::Suspected);
        let restarted =
            Record { incarnation: crate::statement::incarnation(process_incarnation + 1, 0), ..record(1, 0) };
        view.record(T0, restarted, &[0; SIGNATURE_BYTES]);
    }
}

// Three members, every order of events.

/// A recipient and a claim in transit to it.
type InTransit = (Member, TestClaim);

/// A record or an accusation, with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum TestClaim {
    Record(Record),
    Accusation(Accusation),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct World {
    views: Vec<View>,
    refutations: Vec<u16>,
    in_transit: BTreeSet<InTransit>,
    accusations_left: u8,
    losses_left: u8,
}

/// The exhaustive search. Only live members act.
struct Search {
    live: Vec<Member>,
    seen: BTreeSet<World>,
    quiescent_states: usize,
}

impl World {
    fn new(accusations_left: u8, losses_left: u8) -> Self {
        let views = (0..3).map(view).collect();
        let refutations = vec![0; 3];
        Self { views, refutations, in_transit: BTreeSet::new(), accusations_left, losses_left }
    }

    fn send_to_others(&mut self, from: Member, claim: TestClaim) {
        self.in_transit.extend((0..3).filter(|to| *to != from).map(|to| (to, claim)));
    }

    /// A member processes a claim; its reaction is sent to the others.
    fn deliver(&mut self, to: Member, claim: TestClaim) {
        let view = &mut self.views[usize::from(to)];
        match claim {
            TestClaim::Record(record) => {
                view.record(T0, record, &[0; SIGNATURE_BYTES]);
            }
            TestClaim::Accusation(accusation) => {
                if view.accuse(T0, accusation, &[0; SIGNATURE_BYTES]) == Change::Accused {
                    let own = &mut self.refutations[usize::from(to)];
                    *own += 1;
                    let refuted = record(to, *own);
                    view.record(T0, refuted, &[0; SIGNATURE_BYTES]);
                    self.send_to_others(to, TestClaim::Record(refuted));
                }
            }
        }
    }

    fn next(&self, live: &[Member]) -> Vec<World> {
        let mut next = Vec::new();
        for transit in &self.in_transit {
            let mut world = self.clone();
            world.in_transit.remove(transit);
            if self.losses_left > 0 {
                let mut lost = world.clone();
                lost.losses_left -= 1;
                next.push(lost);
            }
            if live.contains(&transit.0) {
                world.deliver(transit.0, transit.1);
            }
            next.push(world);
        }
        for (member_id, other) in
            live.iter().flat_map(|member_id| (0..3).map(move |other| (*member_id, other)))
        {
            let view = &self.views[usize::from(member_id)];
            if other != member_id && view.state_of(other) == Some(MemberState::Suspect) {
                let mut world = self.clone();
                world.views[usize::from(member_id)].end_suspicion(other, T0);
                next.push(world);
            }
            let alive = view.state_of(other) == Some(MemberState::Alive);
            if other != member_id && alive && self.accusations_left > 0 {
                let mut world = self.clone();
                world.accusations_left -= 1;
                let incarnation = view.get(other).unwrap().record.incarnation;
                let claim =
                    TestClaim::Accusation(Accusation { subject: other, incarnation, author: member_id });
                world.deliver(member_id, claim);
                world.send_to_others(member_id, claim);
                next.push(world);
            }
        }
        next
    }

    /// The effect of comparisons and of contacting dead members when nothing new happens.
    fn settle(mut self, live: &[Member]) -> World {
        for _ in 0..6 {
            for (from, to) in live.iter().flat_map(|from| live.iter().map(move |to| (*from, *to))) {
                let statements: Vec<Statement> =
                    (0..3).flat_map(|member| self.views[usize::from(from)].statements(member)).collect();
                for statement in statements {
                    match statement.claim {
                        Claim::Record(record) => self.deliver(to, TestClaim::Record(record)),
                        Claim::Accusation(accusation) => self.deliver(to, TestClaim::Accusation(accusation)),
                        Claim::Bulletin(_) => {}
                    }
                }
            }
            for member_id in live {
                for other in 0..3 {
                    if !live.contains(&other) {
                        self.views[usize::from(*member_id)].end_suspicion(other, T0);
                    }
                }
            }
            self.in_transit.clear();
        }
        self
    }
}

impl Search {
    fn run(&mut self, first: World) {
        let mut open = vec![first];
        while let Some(world) = open.pop() {
            if !self.seen.insert(world.clone()) {
                continue;
            }
            assert!(self.seen.len() < 3_000_000, "the search space is larger than expected");
            let next = world.next(&self.live);
            if world.in_transit.is_empty() {
                self.quiescent_states += 1;
                self.check(&world.settle(&self.live));
            }
            open.extend(next);
        }
    }

    fn check(&self, settled: &World) {
        let view = |member_id: Member| &settled.views[usize::from(member_id)];
        for (member_id, other) in
            self.live.iter().flat_map(|member_id| (0..3).map(move |other| (*member_id, other)))
        {
            let held = view(member_id).get(other).unwrap();
            let first = view(self.live[0]).get(other).unwrap();
            assert_eq!(
                (held.state, held.record),
                (first.state, first.record),
                "{member_id} of {other}: {settled:?}"
            );
            if self.live.contains(&other) {
                assert_eq!(held.state, MemberState::Alive, "{member_id} of {other}: {settled:?}");
            }
        }
    }
}

/// All members settle on the same view, and a live member's refutation always prevails, in whatever order
/// accusations, refutations, losses and expiries of suspicions occur.
#[test]
fn three_members_agree_on_one_view_in_every_order_of_events() {
    let mut search = Search { live: vec![0, 1, 2], seen: BTreeSet::new(), quiescent_states: 0 };
    search.run(World::new(2, 2));
    assert!(
        search.quiescent_states > 1000 && search.seen.len() > 10_000,
        "{} of {}",
        search.quiescent_states,
        search.seen.len()
    );
}

#[test]
fn two_members_agree_on_the_death_of_a_third_in_every_order_of_events() {
    let mut search = Search { live: vec![0, 1], seen: BTreeSet::new(), quiescent_states: 0 };
    search.run(World::new(2, 2));
    assert!(search.quiescent_states > 100, "{} of {}", search.quiescent_states, search.seen.len());
}
