//! The agreement on revisions among many members in simulated time: the very code that a controller runs, with the ceiling of
//! the gossip on what each sends, and what each role spends counted.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_gossip::Budget;
use badgerledge_revisions::message::Message;
use badgerledge_revisions::{
    digest, lease_duration_for, AcceptorState, ActivationMode, Author, Head, Member, MemberConfig,
    MemberOutput, Revisions, Signature, Signed, Signer, StoredState,
};

use crate::capacity::measure::processor_time;

/// Head and signature of the gossip's datagram that carries a word.
const ENVELOPE: usize = 80;
/// How long what was decided takes to go out: two ticks of a controller.
const LATE: Duration = Duration::from_millis(20);
/// The longest way of a datagram; a text takes so many of them.
const DELAY: Duration = Duration::from_millis(30);
const WAYS_OF_A_TEXT: u32 = 4;
/// Authors sign under numbers that no member has.
const AUTHORS: u32 = 1 << 16;
const AUTHOR: Author = 0;

/// Signs with a digest that anyone could make: here all members are honest.
#[derive(Clone)]
struct CheapHand {
    me: Member,
    members: Rc<Vec<Member>>,
    keepers: Rc<Vec<Member>>,
}

fn seal(who: u32, bytes: &[u8]) -> Signature {
    let mut signature = [0; 64];
    signature[..32].copy_from_slice(&digest(&[&who.to_be_bytes(), bytes].concat()));
    signature
}

impl Signer for CheapHand {
    fn sign(&self, bytes: &[u8]) -> Signature {
        seal(u32::from(self.me), bytes)
    }
    fn verify_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        *signature == seal(u32::from(member), bytes)
    }
    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        *signature == seal(AUTHORS + u32::from(author), bytes)
    }
    fn verify_author_any_key(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.verify_author(author, bytes, signature)
    }
    fn members(&self) -> &[Member] {
        &self.members
    }
    fn acceptors(&self) -> &[Member] {
        &self.keepers
    }
}

/// What a seat has spent.
#[derive(Clone, Copy, Default)]
pub struct Spent {
    pub sent_bytes: u64,
    pub sent: u64,
    pub received: u64,
    /// Words that the ceiling kept from going.
    pub held_back: u64,
    pub processor: Duration,
}

struct Seat {
    member: Revisions<CheapHand>,
    budget: Budget,
    spent: Spent,
    due: Duration,
}

enum Event {
    Word { from: Member, to: Member, bytes: Vec<u8> },
    Text { to: Member, from: Member, signed: Signed },
    Tend(Member),
}

pub struct Net {
    pub now: Duration,
    seats: Vec<Seat>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    chance: Rng,
}

impl Net {
    pub fn new(members: Member, keepers: Member, regime: ActivationMode, seed: u64) -> Self {
        let hand = CheapHand {
            me: 0,
            members: Rc::new((0..members).collect()),
            keepers: Rc::new((0..keepers).collect()),
        };
        let now = Duration::from_secs(1000);
        // Members start one after the other over a lease, as those of a fleet that was not started at one moment.
        let apart = lease_duration_for(usize::from(members)) / u32::from(members);
        let begins = |me: Member| now + apart * u32::from(me);
        let seat = |me: Member| {
            let founded = StoredState { acceptor: Some(AcceptorState::default()), ..StoredState::default() };
            let stored = (me < keepers).then_some(founded);
            let terms = MemberConfig {
                local_id: me,
                incarnation: 1,
                mode: regime,
                activation_delay: LATE,
                check: Box::new(|_| Ok(())),
            };
            let (hand, own) = (CheapHand { me, ..hand.clone() }, Arc::from(&b"own"[..]));
            let member =
                Revisions::new(hand, terms, own, stored, Vec::new(), begins(me), seed ^ u64::from(me) << 20);
            Seat { member, budget: Budget::new(now), spent: Spent::default(), due: Duration::MAX }
        };
        let seats = (0..members).map(seat).collect();
        let chance = Rng(seed);
        let mut net = Self { now, seats, events: BTreeMap::new(), sequence: 0, chance };
        (0..members).for_each(|me| net.schedule(me));
        net
    }

    pub fn bound(&self) -> Duration {
        self.seats[0].member.bound()
    }

    pub fn lease(&self) -> Duration {
        self.seats[0].member.lease_duration()
    }

    pub fn spent(&self, me: Member) -> Spent {
        self.seats[usize::from(me)].spent
    }

    /// Members that act on that number.
    pub fn acting_on(&self, number: u32) -> usize {
        self.seats.iter().filter(|seat| seat.member.active_revision(self.now).active == number).count()
    }

    /// The lowest number that any member acts on.
    pub fn oldest_active(&self) -> u32 {
        self.seats.iter().map(|seat| seat.member.active_revision(self.now).active).min().unwrap_or(0)
    }

    /// The number of the next revision, by what a member knows certified.
    pub fn next_number(&self, me: Member) -> u32 {
        self.seats[usize::from(me)].member.next().0
    }

    /// Members that hold new joins back.
    pub fn held(&self) -> usize {
        self.seats.iter().filter(|seat| seat.member.active_revision(self.now).held.is_some()).count()
    }

    /// Pushes a next revision at a member, by what that one knows.
    pub fn push(&mut self, at: Member, text: &[u8]) {
        self.with(at, |member, now, out| {
            let (number, before) = member.next();
            let head = Head::new(number, before, AUTHOR, text);
            let signature = seal(AUTHORS + u32::from(AUTHOR), &head.signed_bytes());
            let _ = member.push(now, Signed { head, signature }, Arc::from(text), out);
        });
    }

    /// Goes on until that time.
    pub fn run(&mut self, until: Duration) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = self.now.max(entry.key().0);
            let event = entry.remove();
            self.happen(event);
        }
        self.now = until;
    }

    /// Goes on until something holds, looked at each tenth of a second; the time that it took, or nothing after `most`.
    pub fn run_until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begun = self.now;
        while !holds(self) {
            if self.now >= begun + most {
                return None;
            }
            self.run(self.now + Duration::from_millis(100));
        }
        Some(self.now - begun)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Word { from, to, bytes } => {
                self.seats[usize::from(to)].spent.received += 1;
                let Some(word) = Message::read(&bytes) else { return };
                self.with(to, |member, now, out| member.receive(now, from, word, out));
            }
            Event::Text { to, from, signed } => {
                let text = self.seats[usize::from(from)].member.text_by_digest(&signed.head.text).cloned();
                let Some(text) = text else { return };
                self.with(to, |member, now, out| drop(member.take_text(now, &signed, text, out)));
            }
            Event::Tend(me) => {
                let seat = &mut self.seats[usize::from(me)];
                if self.now >= seat.due {
                    seat.due = Duration::MAX;
                    self.with(me, Revisions::poll);
                }
            }
        }
    }

    fn with(
        &mut self, me: Member, act: impl FnOnce(&mut Revisions<CheapHand>, Duration, &mut Vec<MemberOutput>),
    ) {
        let mut out = Vec::new();
        let seat = &mut self.seats[usize::from(me)];
        let begun = processor_time();
        act(&mut seat.member, self.now, &mut out);
        seat.spent.processor += processor_time() - begun;
        for given in out {
            match given {
                MemberOutput::Send(to, bytes) => self.send(me, to, bytes),
                MemberOutput::Fetch(signed, from) => {
                    let at = self.now + self.chance.random_duration(DELAY) * WAYS_OF_A_TEXT;
                    self.put(at, Event::Text { to: me, from, signed });
                }
                MemberOutput::Store(_)
                | MemberOutput::StoreText(..)
                | MemberOutput::Changed
                | MemberOutput::Unusable(..) => {}
            }
        }
        self.schedule(me);
    }

    fn send(&mut self, from: Member, to: Member, bytes: Vec<u8>) {
        let seat = &mut self.seats[usize::from(from)];
        let length = bytes.len() + ENVELOPE;
        if !seat.budget.take(self.now, length) {
            seat.spent.held_back += 1;
            return;
        }
        seat.spent.sent += 1;
        seat.spent.sent_bytes += length as u64;
        let at = self.now + self.chance.random_duration(DELAY);
        self.put(at, Event::Word { from, to, bytes });
    }

    fn put(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule(&mut self, me: Member) {
        let seat = &mut self.seats[usize::from(me)];
        let due = seat.member.next_due().max(self.now + Duration::from_millis(1));
        if due < seat.due {
            seat.due = due;
            self.put(due, Event::Tend(me));
        }
    }
}
