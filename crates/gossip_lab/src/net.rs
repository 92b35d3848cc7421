//! The members and the network between them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_gossip::envelope::{begin, Header};
use badgerledge_gossip::statement::Statement;
use badgerledge_gossip::{Event, Gossip, Keyring, Member, Transport};

use crate::keyring::Keyed;

/// How datagrams fare.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    pub loss: f64,
    /// Seconds, drawn evenly: a later datagram may come sooner.
    pub delay: (f64, f64),
    pub doubled: f64,
}

impl Default for Way {
    fn default() -> Self {
        Self { loss: 0.01, delay: (0.0005, 0.02), doubled: 0.01 }
    }
}

/// Datagrams that wait for a member that stands still: about what a socket's buffer holds; more are lost.
const BUFFERED: usize = 300;

enum Scheduled {
    Tick(Member, u32),
    Datagram { to: Member, from: SocketAddrV4, bytes: Vec<u8> },
}

struct Seat {
    gossip: Option<Gossip<Keyed>>,
    /// Counts starts and deaths: what is due to an earlier life is void.
    turn: u32,
    due: Duration,
    stalled_until: Duration,
    buffered: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Payload bytes sent in each tenth of a second.
    sent: BTreeMap<u64, usize>,
    bulletins: Vec<(Duration, Member)>,
}

pub struct Net {
    pub now: Duration,
    pub way: Way,
    /// Whether the way from one to another is cut.
    pub cut: Box<dyn Fn(Member, Member) -> bool>,
    /// When each member came to hold another for dead, suspect or alive: who, whom, when and what.
    pub state_changes: Vec<(Duration, Member, Member, badgerledge_gossip::MemberState)>,
    pub revoked: Rc<RefCell<BTreeSet<Member>>>,
    ring: Rc<Vec<Member>>,
    seats: Vec<Seat>,
    events: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
    chance: Rng,
    seed: u64,
}

/// Where a member is reached.
pub fn address(member: Member) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 20_000 + member)
}

struct Sent(Vec<(SocketAddrV4, Vec<u8>)>);

impl Transport for Sent {
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
}

impl Net {
    pub fn new(members: Member, seed: u64) -> Self {
        let seat = || Seat {
            gossip: None,
            turn: 0,
            due: Duration::MAX,
            stalled_until: Duration::ZERO,
            buffered: Vec::new(),
            sent: BTreeMap::new(),
            bulletins: Vec::new(),
        };
        Self {
            now: Duration::from_secs(1000),
            way: Way::default(),
            cut: Box::new(|_, _| false),
            state_changes: Vec::new(),
            revoked: Rc::default(),
            ring: Rc::new((0..members).collect()),
            seats: (0..members).map(|_| seat()).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            chance: Rng(seed ^ 0x5eed),
            seed,
        }
    }

    pub fn keyring(&self, me: Member) -> Keyed {
        Keyed::new(me, self.ring.clone(), self.revoked.clone())
    }

    /// Starts a member in a life; the first three members are the seeds.
    pub fn start(&mut self, member: Member, life: u32) {
        let seeds = (0..3).map(address).collect();
        let seed = self.seed ^ u64::from(member) << 20 ^ u64::from(life);
        let gossip = Gossip::new(member, self.keyring(member), life, address(member), seeds, self.now, seed);
        let seat = &mut self.seats[usize::from(member)];
        (seat.gossip, seat.due) = (Some(gossip), Duration::MAX);
        seat.turn += 1;
        seat.buffered.clear();
        self.schedule(member);
    }

    /// Starts all, spread over a span.
    pub fn start_all(&mut self, span: Duration) {
        let begin = self.now;
        for member in 0..self.seats.len() as Member {
            let at = begin + self.chance.random_duration(span);
            self.now = at;
            self.start(member, 1);
        }
        self.now = begin;
    }

    /// Lets all know all, as after a long time together.
    pub fn introduce(&mut self) {
        let own = |(member, gossip): (Member, &Gossip<Keyed>)| gossip.view().statements(member);
        let records: Vec<Statement> = self.live().flat_map(own).collect();
        let now = self.now;
        for seat in &mut self.seats {
            if let Some(gossip) = &mut seat.gossip {
                gossip.restore_records(now, records.clone(), &mut Vec::new());
            }
        }
    }

    pub fn kill(&mut self, member: Member) {
        let seat = &mut self.seats[usize::from(member)];
        (seat.gossip, seat.due) = (None, Duration::MAX);
        seat.turn += 1;
    }

    /// Makes a member stand still.
    pub fn stall(&mut self, member: Member, span: Duration) {
        let until = self.now + span;
        let seat = &mut self.seats[usize::from(member)];
        (seat.stalled_until, seat.due) = (until, until);
        let turn = seat.turn;
        self.add(until, Scheduled::Tick(member, turn));
    }

    pub fn get(&self, member: Member) -> Option<&Gossip<Keyed>> {
        self.seats[usize::from(member)].gossip.as_ref()
    }

    pub fn live(&self) -> impl Iterator<Item = (Member, &Gossip<Keyed>)> + '_ {
        let seats = self.seats.iter().enumerate();
        seats.filter_map(|(member, seat)| Some((member as Member, seat.gossip.as_ref()?)))
    }

    /// Lets a member do something, and sends what it says.
    pub fn with<T>(
        &mut self, member: Member,
        act: impl FnOnce(&mut Gossip<Keyed>, Duration, &mut dyn FnMut(SocketAddrV4, &[u8])) -> T,
    ) -> Option<T> {
        let now = self.now;
        let gossip = self.seats[usize::from(member)].gossip.as_mut()?;
        let mut sent = Vec::new();
        let done = act(gossip, now, &mut |to, bytes| sent.push((to, bytes.to_vec())));
        self.carry(member, sent);
        self.schedule(member);
        Some(done)
    }

    /// A datagram that a liar makes up: signed by it, in whatever name and with whatever in it.
    pub fn forge(&mut self, liar: Member, head: &Header, body: &[u8], statements: &[Statement]) {
        let mut bytes = begin(head);
        bytes.extend(body);
        statements.iter().for_each(|statement| statement.write(Duration::ZERO, &mut bytes));
        let signature = self.keyring(liar).sign(&bytes);
        bytes.extend(signature);
        self.raw(liar, head.to, bytes);
    }

    /// Bytes from one member's address to another, as they are.
    pub fn raw(&mut self, from: Member, to: Member, bytes: Vec<u8>) {
        self.add(self.now + Duration::from_millis(1), Scheduled::Datagram { to, from: address(from), bytes });
    }

    fn add(&mut self, at: Duration, event: Scheduled) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule(&mut self, member: Member) {
        let now = self.now;
        let seat = &mut self.seats[usize::from(member)];
        let Some(due) = seat.gossip.as_ref().map(|gossip| gossip.next_due().max(now)) else { return };
        if due < seat.due || seat.due < now {
            (seat.due, self.sequence) = (due, self.sequence + 1);
            let turn = seat.turn;
            self.add(due, Scheduled::Tick(member, turn));
        }
    }

    fn carry(&mut self, from: Member, sent: Vec<(SocketAddrV4, Vec<u8>)>) {
        let tenth = (self.now.as_millis() / 100) as u64;
        for (to, bytes) in sent {
            *self.seats[usize::from(from)].sent.entry(tenth).or_default() += bytes.len();
            let to = to.port() - 20_000;
            if usize::from(to) >= self.seats.len()
                || (self.cut)(from, to)
                || self.chance.unit_interval() < self.way.loss
            {
                continue;
            }
            let copies = if self.chance.unit_interval() < self.way.doubled { 2 } else { 1 };
            for _ in 0..copies {
                let (least, most) = self.way.delay;
                let delay = Duration::from_secs_f64(least + (most - least) * self.chance.unit_interval());
                self.add(
                    self.now + delay,
                    Scheduled::Datagram { to, from: address(from), bytes: bytes.clone() },
                );
            }
        }
    }

    /// Runs on for a span.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(((at, _), event)) =
            self.events.first_entry().filter(|e| e.key().0 <= end).map(|e| e.remove_entry())
        {
            self.now = self.now.max(at);
            match event {
                Scheduled::Tick(member, turn) => self.tick(member, turn),
                Scheduled::Datagram { to, from, bytes } => self.deliver(to, from, bytes),
            }
        }
        self.now = end;
    }

    /// Runs on until something holds, looked at ten times a second; the time that it took, or nothing if it takes
    /// longer than `most`.
    pub fn run_until(&mut self, most: Duration, holds: impl Fn(&Net) -> bool) -> Option<Duration> {
        let begun = self.now;
        while !holds(self) {
            if self.now >= begun + most {
                return None;
            }
            self.run(Duration::from_millis(100));
        }
        Some(self.now - begun)
    }

    fn tick(&mut self, member: Member, turn: u32) {
        let seat = &mut self.seats[usize::from(member)];
        // One that was put off, or on, has another event.
        if seat.turn != turn || self.now < seat.stalled_until.max(seat.due) {
            return;
        }
        seat.due = Duration::MAX;
        let buffered = std::mem::take(&mut seat.buffered);
        // The loop of a controller looks at its time before it reads.
        self.wake(member, |gossip, now, sent, events| gossip.tick(now, sent, events));
        for (from, bytes) in buffered {
            self.deliver(member, from, bytes);
        }
    }

    fn deliver(&mut self, to: Member, from: SocketAddrV4, bytes: Vec<u8>) {
        let seat = &mut self.seats[usize::from(to)];
        if self.now < seat.stalled_until {
            if seat.buffered.len() < BUFFERED {
                seat.buffered.push((from, bytes));
            }
            return;
        }
        self.wake(to, |gossip, now, sent, events| {
            let _ = gossip.handle_datagram(now, from, &bytes, sent, events);
        });
    }

    fn wake(
        &mut self, member: Member, act: impl FnOnce(&mut Gossip<Keyed>, Duration, &mut Sent, &mut Vec<Event>),
    ) {
        let now = self.now;
        let Some(gossip) = self.seats[usize::from(member)].gossip.as_mut() else { return };
        let (mut sent, mut events) = (Sent(Vec::new()), Vec::new());
        act(gossip, now, &mut sent, &mut events);
        for event in events {
            match event {
                Event::StateChanged(of, state) => self.state_changes.push((now, member, of, state)),
                Event::Bulletin(bulletin, _) => {
                    self.seats[usize::from(member)].bulletins.push((now, bulletin.author))
                }
                Event::Message(..) => {}
            }
        }
        self.carry(member, sent.0);
        self.schedule(member);
    }

    /// The most payload bytes that any member sent in any second, and by whom.
    pub fn worst_second(&self) -> (usize, Member) {
        let worst = |seat: &Seat| {
            let windows = seat.sent.keys().map(|from| seat.sent.range(from..&(from + 10)).map(|s| s.1).sum());
            windows.max().unwrap_or(0)
        };
        self.seats
            .iter()
            .enumerate()
            .map(|(member, seat)| (worst(seat), member as Member))
            .max()
            .unwrap_or((0, 0))
    }

    /// Mean payload bytes a second of all members since a time.
    pub fn mean_rate(&self, since: Duration) -> f64 {
        let from = (since.as_millis() / 100) as u64;
        let all: usize = self.seats.iter().flat_map(|seat| seat.sent.range(from..)).map(|sent| sent.1).sum();
        all as f64 / self.seats.len() as f64 / (self.now - since).as_secs_f64()
    }

    /// When bulletins of an author came to each member that has one.
    pub fn bulletins(&self, author: Member) -> Vec<Duration> {
        let first = |seat: &Seat| seat.bulletins.iter().find(|(_, by)| *by == author).map(|(at, _)| *at);
        self.seats.iter().filter_map(first).collect()
    }
}
