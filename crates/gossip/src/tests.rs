//! Parts by themselves, and three members in every order of events.

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

/// A view of members 0 to 2 that has heard of all.
fn view(me: Member) -> View {
    let mut view = View::new(me);
    (0..3).for_each(|member| {
        view.record(T0, record(member, 0), &[0; SIGNATURE_BYTES]);
    });
    view
}

#[test]
fn a_window_takes_each_counter_once_as_a_plain_set_does() {
    fn alike(counters: Vec<(bool, u8)>) -> bool {
        let mut window = Window::default();
        let (mut life, mut highest, mut seen) = (0u32, 0u32, BTreeSet::new());
        counters.iter().all(|(later, step)| {
            // A later life now and then; counters around the highest.
            let lives = life + u32::from(*later && step % 16 == 0);
            let counter = (highest + u32::from(*step)).saturating_sub(120);
            let may = lives > life || (counter + 64 > highest && !seen.contains(&counter));
            let same = window.accepts(lives, counter) == may;
            if may {
                if lives > life {
                    (life, highest) = (lives, counter);
                    seen.clear();
                }
                highest = highest.max(counter);
                seen.insert(counter);
                window.record(lives, counter);
            }
            same
        })
    }
    let gen = Gen::from_size_and_seed(300, 7);
    QuickCheck::new().rng(gen).tests(300).quickcheck(alike as fn(Vec<(bool, u8)>) -> bool);
}

#[test]
fn no_second_has_more_bytes_than_the_ceiling() {
    fn kept(waits: Vec<(u8, u8)>) -> bool {
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
    QuickCheck::new().rng(gen).tests(50).quickcheck(kept as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn statements_come_back_as_they_went() {
    let items = (0..MAX_ITEMS as u8).map(|n| [n; 8]).collect();
    let all = [
        Claim::Record(record(513, 65_535)),
        Claim::Record(Record { left: true, ..record(1, 2) }),
        Claim::Accusation(accusation(3, 65_534, 9)),
        Claim::Bulletin(Bulletin { author: 9, life: u32::MAX, number: 77, items }),
        Claim::Bulletin(Bulletin { author: 9, life: 1, number: 1, items: Vec::new() }),
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
        // Torn anywhere it is none.
        assert!((0..bytes.len()).all(|end| Statement::read(&bytes[..end]).is_none()));
        // The largest fits into a datagram with a probe's number.
        assert!(bytes.len() + 2 <= envelope::MAX_BODY_BYTES);
    }
}

#[test]
fn any_bytes_are_taken_apart_or_dropped_without_harm() {
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
fn a_liar_that_is_refuted_over_and_over_is_no_longer_heard_alone() {
    let mut view = view(0);
    let mut suspected = 0;
    for turn in 0..100u16 {
        let now = T0 + Duration::from_secs(u64::from(turn));
        let change = view.accuse(now, accusation(2, 1, turn), &[0; SIGNATURE_BYTES]);
        suspected += usize::from(change == Change::Suspected);
        view.record(now, record(1, turn + 1), &[0; SIGNATURE_BYTES]);
    }
    assert!(suspected <= 10, "in 100 s it began {suspected} suspicions");
    // With another accuser it is heard, whatever it said before.
    let now = T0 + Duration::from_secs(100);
    view.accuse(now, accusation(2, 1, 100), &[0; SIGNATURE_BYTES]);
    assert_eq!(view.accuse(now, accusation(3, 1, 100), &[0; SIGNATURE_BYTES]), Change::Suspected);
}

#[test]
fn a_rebirth_is_no_mistake_of_those_who_accused() {
    let mut view = view(0);
    for life in 1..20u32 {
        let incarnation = incarnation(life, 0);
        let accusation = Accusation { subject: 1, incarnation, author: 2 };
        assert_eq!(view.accuse(T0, accusation, &[0; SIGNATURE_BYTES]), Change::Suspected);
        let reborn = Record { incarnation: crate::statement::incarnation(life + 1, 0), ..record(1, 0) };
        view.record(T0, reborn, &[0; SIGNATURE_BYTES]);
    }
}

// Three members, every order of events.

/// What was said, and is on its way to a member.
type OnTheWay = (Member, Said0);

/// A record or an accusation, with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Said0 {
    Record(Record),
    Accusation(Accusation),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct World {
    views: Vec<View>,
    refutations: Vec<u16>,
    on_the_way: BTreeSet<OnTheWay>,
    accusations_left: u8,
    losses_left: u8,
}

/// Members that live; the others do nothing.
struct Search {
    live: Vec<Member>,
    seen: BTreeSet<World>,
    ends: usize,
}

impl World {
    fn new(accusations_left: u8, losses_left: u8) -> Self {
        let views = (0..3).map(view).collect();
        let refutations = vec![0; 3];
        Self { views, refutations, on_the_way: BTreeSet::new(), accusations_left, losses_left }
    }

    fn tell_others(&mut self, from: Member, claim: Said0) {
        self.on_the_way.extend((0..3).filter(|to| *to != from).map(|to| (to, claim)));
    }

    /// A member takes what comes to it; what it says to that goes out.
    fn take(&mut self, to: Member, claim: Said0) {
        let view = &mut self.views[usize::from(to)];
        match claim {
            Said0::Record(record) => {
                view.record(T0, record, &[0; SIGNATURE_BYTES]);
            }
            Said0::Accusation(accusation) => {
                if view.accuse(T0, accusation, &[0; SIGNATURE_BYTES]) == Change::Accused {
                    let own = &mut self.refutations[usize::from(to)];
                    *own += 1;
                    let refuted = record(to, *own);
                    view.record(T0, refuted, &[0; SIGNATURE_BYTES]);
                    self.tell_others(to, Said0::Record(refuted));
                }
            }
        }
    }

    fn next(&self, live: &[Member]) -> Vec<World> {
        let mut next = Vec::new();
        for one in &self.on_the_way {
            let mut world = self.clone();
            world.on_the_way.remove(one);
            if self.losses_left > 0 {
                let mut lost = world.clone();
                lost.losses_left -= 1;
                next.push(lost);
            }
            if live.contains(&one.0) {
                world.take(one.0, one.1);
            }
            next.push(world);
        }
        for (me, other) in live.iter().flat_map(|me| (0..3).map(move |other| (*me, other))) {
            let view = &self.views[usize::from(me)];
            if other != me && view.state_of(other) == Some(MemberState::Suspect) {
                let mut world = self.clone();
                world.views[usize::from(me)].end_suspicion(other, T0);
                next.push(world);
            }
            let alive = view.state_of(other) == Some(MemberState::Alive);
            if other != me && alive && self.accusations_left > 0 {
                let mut world = self.clone();
                world.accusations_left -= 1;
                let incarnation = view.get(other).unwrap().record.incarnation;
                let claim = Said0::Accusation(Accusation { subject: other, incarnation, author: me });
                world.take(me, claim);
                world.tell_others(me, claim);
                next.push(world);
            }
        }
        next
    }

    /// What comparing and trying the dead bring about when nothing new happens.
    fn settle(mut self, live: &[Member]) -> World {
        for _ in 0..6 {
            for (from, to) in live.iter().flat_map(|from| live.iter().map(move |to| (*from, *to))) {
                let statements: Vec<Statement> =
                    (0..3).flat_map(|member| self.views[usize::from(from)].statements(member)).collect();
                for statement in statements {
                    match statement.claim {
                        Claim::Record(record) => self.take(to, Said0::Record(record)),
                        Claim::Accusation(accusation) => self.take(to, Said0::Accusation(accusation)),
                        Claim::Bulletin(_) => {}
                    }
                }
            }
            for me in live {
                for other in 0..3 {
                    if !live.contains(&other) {
                        self.views[usize::from(*me)].end_suspicion(other, T0);
                    }
                }
            }
            self.on_the_way.clear();
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
            assert!(self.seen.len() < 3_000_000, "the search has grown past what it was made for");
            let next = world.next(&self.live);
            if world.on_the_way.is_empty() {
                self.ends += 1;
                self.check(&world.settle(&self.live));
            }
            open.extend(next);
        }
    }

    fn check(&self, settled: &World) {
        let view = |me: Member| &settled.views[usize::from(me)];
        for (me, other) in self.live.iter().flat_map(|me| (0..3).map(move |other| (*me, other))) {
            let held = view(me).get(other).unwrap();
            let first = view(self.live[0]).get(other).unwrap();
            assert_eq!(
                (held.state, held.record),
                (first.state, first.record),
                "{me} of {other}: {settled:?}"
            );
            if self.live.contains(&other) {
                assert_eq!(held.state, MemberState::Alive, "{me} of {other}: {settled:?}");
            }
        }
    }
}

/// No two settle on different views, and a live member's refutation always wins, in whatever order accusations,
/// refutations, losses and ends of suspicions come.
#[test]
fn three_members_settle_on_one_view_in_every_order_of_events() {
    let mut search = Search { live: vec![0, 1, 2], seen: BTreeSet::new(), ends: 0 };
    search.run(World::new(2, 2));
    assert!(search.ends > 1000 && search.seen.len() > 10_000, "{} of {}", search.ends, search.seen.len());
}

#[test]
fn two_members_settle_on_the_death_of_a_third_in_every_order_of_events() {
    let mut search = Search { live: vec![0, 1], seen: BTreeSet::new(), ends: 0 };
    search.run(World::new(2, 2));
    assert!(search.ends > 100, "{} of {}", search.ends, search.seen.len());
}
