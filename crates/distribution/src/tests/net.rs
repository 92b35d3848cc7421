//! Control machines and watchers in simulated time: machines on a network that cuts, loses, doubles and delays, watchers on
//! streams, and disks that are lost. What holds at any time is looked at after each event.

mod checks;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::random::Rng;

use super::edits::entry;
use super::hand::{sign_as_author, DigestHand};
use crate::change::{Change, Rejection};
use crate::control::{Checkpoint, Config, ConnectionId, ControlMachine, ControlOutput, Stored, StoredItem};
use crate::lease::Grant;
use crate::message::{self, PeerMessage, ToRelay};
use crate::regional::RegionalGrant;
use crate::state::{Edit, State};
use crate::watcher::{self, relay_order, StoreRequest, Watcher, WatcherConfig, WatcherOutput};
use crate::{Author, ControllerId, MachineId, Number};
use checks::Seen;
use streams::Streams;

/// How long what a watcher decided takes to go out here.
pub const LATE: Duration = Duration::from_millis(50);
/// Machines and watchers are spread over so many regions.
const REGIONS: u32 = 3;

/// Somebody on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Machine(MachineId),
    Watcher(ControllerId),
    /// A tool beside a machine.
    Tool(MachineId),
}

/// What the checks are shown to bite by.
#[derive(Clone, Copy, Default)]
pub struct Broken {
    /// Watchers act without a lease.
    pub no_lease: bool,
    /// Acceptors' grants name no revision that they have allowed.
    pub blind_grants: bool,
    /// Acceptors that lost their disks go on as if they had signed nothing.
    pub forgets: bool,
    /// Nothing of a certified revision gets to watchers.
    pub no_updates: bool,
    /// Tools take each rejection for unknown, and each outcome unknown for a rejection.
    pub twisted_outcomes: bool,
    /// Machines take no revision for exclusive.
    pub nothing_exclusive: bool,
    /// Machines vouch for revision 0 for whoever asks, also two of one region.
    pub vouches_always: bool,
}

/// Keys that begin so are exclusive; all others are free.
pub const EXCLUSIVE: &str = "exclusive ";

pub struct MachineSeat {
    pub machine: Option<ControlMachine<DigestHand>>,
    pub disk: Stored,
    /// What a checkpoint of its state would hold.
    checkpoint: Option<Checkpoint>,
    pub life: u32,
    pub stalled_until: Duration,
    due: Duration,
}

pub struct WatcherSeat {
    pub watcher: Option<Watcher<DigestHand>>,
    /// What it stored, while it has a disk.
    disk: Vec<u8>,
    /// Machines in its order of preference.
    relays: Vec<MachineId>,
    pub connections: BTreeMap<usize, ConnectionId>,
    pub life: u32,
    pub stalled_until: Duration,
    due: Duration,
    /// Its clock goes at this pace.
    pace: f64,
}

enum Event {
    Peer {
        from: MachineId,
        life: u32,
        to: MachineId,
        frame: Vec<u8>,
    },
    TendMachine(MachineId, u32),
    TendWatcher(ControllerId, u32),
    /// Something may have come on a stream.
    Stream(ConnectionId),
}

pub struct Net {
    pub now: Duration,
    pub loss: f64,
    /// One way between regions, at most.
    pub delay: Duration,
    pub cut: BTreeSet<(Node, Node)>,
    pub machines: Vec<MachineSeat>,
    pub watchers: Vec<WatcherSeat>,
    pub chance: Rng,
    pub broken: Broken,
    /// Machines that say to be ready for their watchers, and send them nothing.
    pub liars: BTreeSet<MachineId>,
    /// Machines that vouch for revision 0 whenever they are asked.
    pub false_vouchers: BTreeSet<MachineId>,
    /// How long cut-off regions go on; zero: they hold back.
    pub apart: Duration,
    pub seen: Seen,
    pub acceptors: MachineId,
    genesis: State,
    revoked: BTreeSet<Author>,
    streams: Streams,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    sequences: BTreeMap<Author, u64>,
    /// All that were made.
    pub changes: Vec<Change>,
}

impl Net {
    /// So many machines, the first of which are acceptors, and so many watchers, all just started.
    pub fn new(machines: MachineId, acceptors: MachineId, watchers: ControllerId, seed: u64) -> Self {
        Self::with_apart(machines, acceptors, watchers, seed, Duration::ZERO)
    }

    /// The same, where cut-off regions go on for that long.
    pub fn with_apart(
        machines: MachineId, acceptors: MachineId, watchers: ControllerId, seed: u64, apart: Duration,
    ) -> Self {
        let founding = |machine| if machine < acceptors { Stored::founding() } else { Stored::default() };
        let machine_seat = |machine| MachineSeat {
            machine: None,
            disk: founding(machine),
            checkpoint: None,
            life: 0,
            stalled_until: Duration::ZERO,
            due: Duration::MAX,
        };
        let mut chance = Rng(seed);
        let relays: Vec<(MachineId, bool)> = (0..machines).map(|machine| (machine, false)).collect();
        let mut watcher_seat = |controller| {
            let near = |(machine, _): &(MachineId, bool)| {
                (*machine, region(u32::from(*machine)) == region(controller))
            };
            let order: Vec<(MachineId, bool)> = relays.iter().map(near).collect();
            WatcherSeat {
                watcher: None,
                disk: Vec::new(),
                relays: relay_order(controller, &order).into_iter().map(|at| order[at].0).collect(),
                connections: BTreeMap::new(),
                life: 0,
                stalled_until: Duration::ZERO,
                due: Duration::MAX,
                pace: 1.0 - 0.0095 * chance.unit_interval(),
            }
        };
        let watchers = (0..watchers).map(&mut watcher_seat).collect();
        let titles = (0..200).map(|n| entry(&format!("title {n}"), &[n as u8; 40]));
        let mut net = Self {
            now: Duration::from_secs(1000),
            loss: 0.01,
            delay: Duration::from_millis(80),
            cut: BTreeSet::new(),
            machines: (0..machines).map(machine_seat).collect(),
            watchers,
            chance,
            broken: Broken::default(),
            liars: BTreeSet::new(),
            false_vouchers: BTreeSet::new(),
            apart,
            seen: Seen::new(!apart.is_zero()),
            acceptors,
            genesis: State::from_entries(titles).expect("a state"),
            revoked: BTreeSet::new(),
            streams: Streams::default(),
            events: BTreeMap::new(),
            sequence: 0,
            sequences: BTreeMap::new(),
            changes: Vec::new(),
        };
        (0..machines).for_each(|machine| net.start_machine(machine));
        (0..net.watchers.len() as ControllerId).for_each(|watcher| net.start_watcher(watcher));
        net
    }

    fn hand(&self, me: MachineId) -> DigestHand {
        DigestHand {
            me,
            machines: (0..self.machines.len() as MachineId).collect(),
            acceptors: (0..self.acceptors).collect(),
            revoked: self.revoked.clone(),
        }
    }

    /// Has the machines start again with what is broken in them.
    pub fn set_broken(&mut self, broken: Broken) {
        self.broken = broken;
        if broken.nothing_exclusive {
            let machines = 0..self.machines.len() as MachineId;
            machines.clone().for_each(|me| self.kill_machine(me, false));
            machines.for_each(|me| self.start_machine(me));
        }
    }

    fn put(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub fn start_machine(&mut self, me: MachineId) {
        let hand = self.hand(me);
        let seed = self.seed();
        let (genesis, now) = (self.genesis.clone(), self.now);
        let seat = &mut self.machines[usize::from(me)];
        seat.life += 1;
        seat.due = Duration::MAX;
        let config = Config { late: LATE, apart: self.apart, ..Config::new(me, seat.life) };
        let nothing = self.broken.nothing_exclusive;
        let mut machine = ControlMachine::new(config, hand, seat.disk.clone(), genesis, seed, now);
        let is_exclusive = |edit: &Edit| edit.key.starts_with(EXCLUSIVE);
        machine.set_exclusive_check(Box::new(move |_, edits| !nothing && edits.iter().any(is_exclusive)));
        seat.machine = Some(machine);
        self.with_machine(me, |_, _, _| {});
    }

    /// Kills a machine, with or without its disk.
    pub fn kill_machine(&mut self, me: MachineId, wiped: bool) {
        let forgets = self.broken.forgets && me < self.acceptors;
        let seat = &mut self.machines[usize::from(me)];
        seat.machine = None;
        if wiped {
            seat.disk = if forgets { Stored::founding() } else { Stored::default() };
        }
        self.break_streams_of(Node::Machine(me));
    }

    /// Machines that are off have a checkpoint of their state in the place of the batches that led there: they know nothing of
    /// earlier revisions when they start again.
    pub fn forget_logs(&mut self) {
        for seat in &mut self.machines {
            seat.disk.checkpoint = seat.checkpoint.clone();
            seat.disk.batches.clear();
        }
    }

    pub fn start_watcher(&mut self, me: ControllerId) {
        let hand = self.hand(MachineId::MAX);
        let seed = self.seed();
        let mut nonces = Rng(self.seed());
        let own = self.genesis.clone();
        let seat = &mut self.watchers[me as usize];
        seat.life += 1;
        seat.due = Duration::MAX;
        seat.connections.clear();
        let config = WatcherConfig {
            controller: me,
            relays: seat.relays.len(),
            activation_delay: LATE,
            regional: !self.apart.is_zero(),
            check: Box::new(|_, _| Ok(())),
            nonce: Box::new(move || std::array::from_fn(|_| (nonces.unit_interval() * 256.0) as u8)),
        };
        let stored = watcher::Stored::read(&seat.disk).ok();
        let now = self.now.mul_f64(seat.pace);
        seat.watcher = Some(Watcher::new(hand, config, own, stored, seed, now));
        self.with_watcher(me, |watcher, now, out| watcher.poll(now, out));
    }

    /// Kills a watcher, with or without its disk.
    pub fn kill_watcher(&mut self, me: ControllerId, wiped: bool) {
        let seat = &mut self.watchers[me as usize];
        seat.watcher = None;
        if wiped {
            seat.disk.clear();
        }
        self.break_streams_of(Node::Watcher(me));
    }

    fn seed(&mut self) -> u64 {
        (self.chance.unit_interval() * f64::from(u32::MAX)) as u64
    }

    /// Cuts all between two sets of nodes, both ways.
    pub fn split(&mut self, inside: impl Fn(Node) -> bool) {
        let machines = (0..self.machines.len() as MachineId).map(Node::Machine);
        let tools = (0..self.machines.len() as MachineId).map(Node::Tool);
        let watchers = (0..self.watchers.len() as ControllerId).map(Node::Watcher);
        let all: Vec<Node> = machines.chain(tools).chain(watchers).collect();
        for from in &all {
            let apart = all.iter().filter(|to| inside(*from) != inside(**to));
            self.cut.extend(apart.map(|to| (*from, *to)));
        }
    }

    pub fn with_machine(
        &mut self, me: MachineId,
        act: impl FnOnce(&mut ControlMachine<DigestHand>, Duration, &mut Vec<ControlOutput>),
    ) {
        let (now, mut out) = (self.now, Vec::new());
        let Some(machine) = &mut self.machines[usize::from(me)].machine else { return };
        act(machine, now, &mut out);
        let checkpoint = machine.checkpoint();
        self.machines[usize::from(me)].checkpoint = checkpoint;
        for output in out {
            match output {
                ControlOutput::Store(item) => self.store(me, item),
                ControlOutput::ToPeer(to, message) => self.send_peer(me, to, message),
                ControlOutput::ToWatcher(connection, message) => self.send_down(connection, *message),
                ControlOutput::CloseWatcher(connection, _) => {
                    self.close_stream(connection, Node::Machine(me))
                }
            }
        }
        self.look_at_machine(me);
        let seat = &mut self.machines[usize::from(me)];
        let Some(due) = seat.machine.as_ref().map(ControlMachine::next_due) else { return };
        if due < seat.due {
            seat.due = due.max(self.now + Duration::from_millis(1));
            let (at, life) = (seat.due, seat.life);
            self.put(at, Event::TendMachine(me, life));
        }
    }

    fn store(&mut self, me: MachineId, item: StoredItem) {
        if let StoredItem::Batch { summary, bytes, .. } = &item {
            self.seen.batch(summary, bytes);
        }
        let item = StoredItem::decode(&item.encode()).expect("what was encoded");
        self.machines[usize::from(me)].disk.take(item);
    }

    fn send_peer(&mut self, from: MachineId, to: MachineId, message: PeerMessage) {
        let message = match message {
            PeerMessage::Grant(grant) if self.broken.blind_grants => {
                PeerMessage::Grant(Grant::sign(&self.hand(from), from, grant.root, 0))
            }
            message => message,
        };
        self.seen.sent_to_peer(&message);
        if let PeerMessage::RequestRegionalGrant { root } = message {
            self.vouch_falsely(to, from, root);
        }
        let frame = message::encode(&message);
        let life = self.machines[usize::from(from)].life;
        for _ in 0..if self.chance.unit_interval() < 0.02 { 2 } else { 1 } {
            if self.is_cut(Node::Machine(from), Node::Machine(to)) || self.chance.unit_interval() < self.loss
            {
                continue;
            }
            let at = self.now + self.way(Node::Machine(from), Node::Machine(to));
            self.put(at, Event::Peer { from, life, to, frame: frame.clone() });
        }
    }

    /// A machine that lies vouches for a revision that is over.
    fn vouch_falsely(&mut self, liar: MachineId, to: MachineId, root: crate::Digest) {
        let cut = self.is_cut(Node::Machine(liar), Node::Machine(to));
        if cut || !(self.broken.vouches_always || self.false_vouchers.contains(&liar)) {
            return;
        }
        let grant = RegionalGrant::sign(&self.hand(liar), liar, root, 0);
        let frame = message::encode(&PeerMessage::RegionalGrant(grant));
        let life = self.machines[usize::from(liar)].life;
        let at = self.now + self.way(Node::Machine(liar), Node::Machine(to));
        self.put(at, Event::Peer { from: liar, life, to, frame });
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut.contains(&(from, to))
    }

    /// How long something takes.
    fn way(&mut self, from: Node, to: Node) -> Duration {
        let near = region_of(from) == region_of(to);
        let longest = if near { self.delay / 20 } else { self.delay };
        longest.mul_f64(0.7 + 0.3 * self.chance.unit_interval())
    }

    pub fn with_watcher(
        &mut self, me: ControllerId,
        act: impl FnOnce(&mut Watcher<DigestHand>, Duration, &mut Vec<WatcherOutput>),
    ) {
        let seat = &mut self.watchers[me as usize];
        let (now, pace, mut out) = (self.now.mul_f64(seat.pace), seat.pace, Vec::new());
        let Some(watcher) = &mut seat.watcher else { return };
        act(watcher, now, &mut out);
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => self.connect(me, relay),
                WatcherOutput::Close(relay) => self.close_from_watcher(me, relay),
                WatcherOutput::Send(relay, message) => self.send_up(me, relay, message),
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => self.watchers[me as usize].disk = bytes,
                WatcherOutput::Store(StoreRequest::Append(bytes)) => {
                    self.watchers[me as usize].disk.extend(bytes);
                }
                WatcherOutput::Changed | WatcherOutput::Unfit { .. } => {}
            }
        }
        self.look_at_watcher(me);
        let seat = &mut self.watchers[me as usize];
        let Some(due) = seat.watcher.as_ref().map(|watcher| watcher.next_poll_at().div_f64(pace)) else {
            return;
        };
        if due < seat.due {
            seat.due = due.max(self.now + Duration::from_millis(1));
            let (at, life) = (seat.due, seat.life);
            self.put(at, Event::TendWatcher(me, life));
        }
    }

    /// Whether each acceptor runs and votes: the next one may lose its disk. Two that lost theirs before some more were
    /// certified are the stated limit.
    pub fn all_acceptors_vote(&self) -> bool {
        let acceptors = &self.machines[..usize::from(self.acceptors)];
        acceptors.iter().all(|seat| seat.machine.as_ref().is_some_and(ControlMachine::votes))
    }

    /// Pushes a change of these edits at a machine, against the highest revision that this machine knows.
    pub fn push(&mut self, at: MachineId, author: Author, edits: Vec<Edit>) -> Option<ConnectionId> {
        let base = self.machines[usize::from(at)]
            .machine
            .as_ref()?
            .certificate()
            .map_or(0, crate::Certified::number);
        self.push_on(at, author, base, edits)
    }

    pub fn push_on(
        &mut self, at: MachineId, author: Author, base: Number, edits: Vec<Edit>,
    ) -> Option<ConnectionId> {
        let sequence = self.sequences.entry(author).or_default();
        *sequence += 1;
        let change = Change::sign(author, *sequence, base, edits, |bytes| sign_as_author(author, bytes));
        self.changes.push(change.clone());
        self.push_change(at, change)
    }

    pub fn push_change(&mut self, at: MachineId, change: Change) -> Option<ConnectionId> {
        let seat = &self.machines[usize::from(at)];
        let life = seat.machine.as_ref().map(|_| seat.life)?;
        let connection = self.open_tool(at);
        self.seen.pushed(connection, change.id, (at, life));
        self.send_tool(connection, ToRelay::Push(change));
        Some(connection)
    }

    /// A tool heard what became of a change.
    fn told(&mut self, connection: ConnectionId, outcome: Result<Number, Rejection>) {
        let outcome = match outcome {
            Err(Rejection::Unknown) if self.broken.twisted_outcomes => Err(Rejection::Empty),
            Ok(_) if self.broken.twisted_outcomes => Err(Rejection::Empty),
            outcome => outcome,
        };
        self.seen.told(connection, outcome);
    }

    /// An author's key holds no more: all machines read the ring, one after another.
    pub fn revoke(&mut self, author: Author) {
        self.revoked.insert(author);
        for me in 0..self.machines.len() as MachineId {
            let hand = self.hand(me);
            self.with_machine(me, |machine, now, out| machine.take_hand(now, hand, out));
        }
    }

    /// Goes on until that time.
    pub fn run(&mut self, until: Duration) {
        let mut look = self.now;
        while let Some((at, _)) =
            self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= until)
        {
            while look <= at {
                self.now = self.now.max(look);
                (0..self.watchers.len() as ControllerId).for_each(|me| self.look_at_watcher(me));
                look += Duration::from_millis(100);
            }
            let Some((_, event)) = self.events.pop_first() else { return };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = until;
    }

    pub fn run_for(&mut self, seconds: f64) {
        self.run(self.now + Duration::from_secs_f64(seconds));
    }

    /// Goes on until all that is reachable acts on the last certified revision, which is this one at least, and tells how
    /// long that took; no longer than so many seconds.
    pub fn run_until_acting(&mut self, number: Number, seconds: f64) -> Duration {
        let begun = self.now;
        let acting = |net: &Self| net.seen.highest() >= number && net.is_settled();
        while !acting(self) && self.now < begun + Duration::from_secs_f64(seconds) {
            self.run_for(0.05);
        }
        self.now - begun
    }

    fn stalled_until(&self, event: &Event) -> Duration {
        match event {
            Event::Peer { to, .. } | Event::TendMachine(to, _) => {
                self.machines[usize::from(*to)].stalled_until
            }
            Event::TendWatcher(me, _) => self.watchers[*me as usize].stalled_until,
            Event::Stream(_) => Duration::ZERO,
        }
    }

    fn happen(&mut self, event: Event) {
        let stalled = self.stalled_until(&event);
        if stalled > self.now {
            return self.put(stalled, event);
        }
        match event {
            Event::Peer { from, life, to, frame } => {
                // What a machine's former life said on a connection is lost with it.
                if life < self.machines[usize::from(from)].life {
                    return;
                }
                let message = decoded(&frame, message::MAX_RELAY_BODY_BYTES);
                self.with_machine(to, |machine, now, out| machine.peer_message(now, from, message, out));
            }
            Event::TendMachine(me, life) => {
                if self.machines[usize::from(me)].life == life {
                    self.machines[usize::from(me)].due = Duration::MAX;
                    self.with_machine(me, ControlMachine::tend);
                }
            }
            Event::TendWatcher(me, life) => {
                if self.watchers[me as usize].life == life {
                    self.watchers[me as usize].due = Duration::MAX;
                    self.with_watcher(me, Watcher::poll);
                }
            }
            Event::Stream(connection) => self.pump(connection),
        }
    }
}

/// The message of one whole frame.
fn decoded<M: serde::de::DeserializeOwned>(frame: &[u8], longest: usize) -> M {
    let decoded = message::decode(frame, longest).expect("a frame");
    decoded.expect("a whole frame").0
}

fn region(number: u32) -> u32 {
    number % REGIONS
}

/// The region of a node.
pub fn region_of(node: Node) -> u32 {
    match node {
        Node::Machine(machine) | Node::Tool(machine) => region(u32::from(machine)),
        Node::Watcher(controller) => region(controller),
    }
}
