//! A simulated network of control machines and watchers, in simulated time. Messages between machines are
//! cut, lost, duplicated and delayed, watchers use streams, and disks can be lost. Invariants are checked
//! after each event.

mod checks;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::random::Rng;

use super::edits::entry;
use super::signer::{sign_as_author, DigestSigner};
use crate::change::{Change, Rejection};
use crate::control::{Checkpoint, Config, ConnectionId, ControlMachine, ControlOutput, Stored, StoredItem};
use crate::lease::Grant;
use crate::message::{self, PeerMessage, ToRelay};
use crate::regional::RegionalGrant;
use crate::state::{Edit, State};
use crate::watcher::{self, relay_order, StoreRequest, Watcher, WatcherConfig, WatcherOutput};
use crate::{Author, ControllerId, MachineId, Number};
use checks::Observations;
use streams::Streams;

/// The activation delay of watchers in the simulation.
pub const ACTIVATION_DELAY: Duration = Duration::from_millis(50);
/// The number of regions over which machines and watchers are spread.
const REGIONS: u32 = 3;

/// A node of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Machine(MachineId),
    Watcher(ControllerId),
    /// An operator's tool that runs at a machine.
    Tool(MachineId),
}

/// Mechanisms that a test disables, to show that the checks detect it.
#[derive(Clone, Copy, Default)]
pub struct DisabledMechanisms {
    /// Watchers count as acting even without a lease.
    pub no_lease: bool,
    /// Grants of acceptors do not name the revision that they have allowed.
    pub grants_without_revision: bool,
    /// Acceptors that lost their disks continue as if they had signed nothing.
    pub forgets_votes: bool,
    /// Relays send no updates to watchers.
    pub no_updates: bool,
    /// Tools record an accepted change, and one with an unknown outcome, as rejected.
    pub wrong_outcomes: bool,
    /// Machines classify no revision as exclusive.
    pub nothing_exclusive: bool,
    /// Machines vouch for revision 0 whenever they are asked, also two of one region.
    pub always_vouches: bool,
}

/// Keys with this prefix are exclusive; all others are not.
pub const EXCLUSIVE: &str = "exclusive ";

pub struct MachineSlot {
    pub machine: Option<ControlMachine<DigestSigner>>,
    pub disk: Stored,
    /// The checkpoint of its current state.
    checkpoint: Option<Checkpoint>,
    pub incarnation: u32,
    pub stalled_until: Duration,
    due: Duration,
}

pub struct WatcherSlot {
    pub watcher: Option<Watcher<DigestSigner>>,
    /// The stored bytes.
    disk: Vec<u8>,
    /// The machines in the watcher's order of preference.
    relays: Vec<MachineId>,
    pub connections: BTreeMap<usize, ConnectionId>,
    pub incarnation: u32,
    pub stalled_until: Duration,
    due: Duration,
    /// The rate of its clock, relative to simulated time.
    clock_rate: f64,
}

enum Event {
    Peer {
        from: MachineId,
        incarnation: u32,
        to: MachineId,
        frame: Vec<u8>,
    },
    PollMachine(MachineId, u32),
    PollWatcher(ControllerId, u32),
    /// Something may have arrived on a stream.
    Stream(ConnectionId),
}

pub struct Net {
    pub now: Duration,
    pub loss: f64,
    /// The maximum one-way delay between regions.
    pub delay: Duration,
    pub cut: BTreeSet<(Node, Node)>,
    pub machines: Vec<MachineSlot>,
    pub watchers: Vec<WatcherSlot>,
    pub rng: Rng,
    pub disabled: DisabledMechanisms,
    /// Faulty machines that report their watchers as ready, and send them nothing.
    pub faulty_relays: BTreeSet<MachineId>,
    /// Faulty machines that vouch for revision 0 whenever they are asked.
    pub false_vouchers: BTreeSet<MachineId>,
    /// How long partitioned regions continue with their configuration; zero: they stop acting.
    pub max_partition: Duration,
    pub observed: Observations,
    pub acceptors: MachineId,
    genesis: State,
    revoked: BTreeSet<Author>,
    streams: Streams,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    sequences: BTreeMap<Author, u64>,
    /// All changes that were pushed.
    pub changes: Vec<Change>,
}

impl Net {
    /// A network of this many machines, the first of which are acceptors, and watchers, all just started.
    pub fn new(machines: MachineId, acceptors: MachineId, watchers: ControllerId, seed: u64) -> Self {
        Self::with_max_partition(machines, acceptors, watchers, seed, Duration::ZERO)
    }

    /// Like [`Net::new`], with the time for which partitioned regions continue.
    pub fn with_max_partition(
        machines: MachineId, acceptors: MachineId, watchers: ControllerId, seed: u64, max_partition: Duration,
    ) -> Self {
        let initial_disk = |machine| if machine < acceptors { Stored::founding() } else { Stored::default() };
        let machine_slot = |machine| MachineSlot {
            machine: None,
            disk: initial_disk(machine),
            checkpoint: None,
            incarnation: 0,
            stalled_until: Duration::ZERO,
            due: Duration::MAX,
        };
        let mut rng = Rng(seed);
        let relays: Vec<(MachineId, bool)> = (0..machines).map(|machine| (machine, false)).collect();
        let mut watcher_slot = |controller| {
            let with_region = |(machine, _): &(MachineId, bool)| {
                (*machine, region(u32::from(*machine)) == region(controller))
            };
            let order: Vec<(MachineId, bool)> = relays.iter().map(with_region).collect();
            WatcherSlot {
                watcher: None,
                disk: Vec::new(),
                relays: relay_order(controller, &order).into_iter().map(|at| order[at].0).collect(),
                connections: BTreeMap::new(),
                incarnation: 0,
                stalled_until: Duration::ZERO,
                due: Duration::MAX,
                clock_rate: 1.0 - 0.0095 * rng.unit_interval(),
            }
        };
        let watchers = (0..watchers).map(&mut watcher_slot).collect();
        let titles = (0..200).map(|n| entry(&format!("title {n}"), &[n as u8; 40]));
        let mut net = Self {
            now: Duration::from_secs(1000),
            loss: 0.01,
            delay: Duration::from_millis(80),
            cut: BTreeSet::new(),
            machines: (0..machines).map(machine_slot).collect(),
            watchers,
            rng,
            disabled: DisabledMechanisms::default(),
            faulty_relays: BTreeSet::new(),
            false_vouchers: BTreeSet::new(),
            max_partition,
            observed: Observations::new(!max_partition.is_zero()),
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

    fn signer(&self, node_id: MachineId) -> DigestSigner {
        DigestSigner {
            local_id: node_id,
            machines: (0..self.machines.len() as MachineId).collect(),
            acceptors: (0..self.acceptors).collect(),
            revoked: self.revoked.clone(),
        }
    }

    /// Disables mechanisms; machines restart if they are affected.
    pub fn disable(&mut self, disabled: DisabledMechanisms) {
        self.disabled = disabled;
        if disabled.nothing_exclusive {
            let machines = 0..self.machines.len() as MachineId;
            machines.clone().for_each(|node_id| self.kill_machine(node_id, false));
            machines.for_each(|node_id| self.start_machine(node_id));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub fn start_machine(&mut self, node_id: MachineId) {
        let signer = self.signer(node_id);
        let seed = self.seed();
        let (genesis, now) = (self.genesis.clone(), self.now);
        let slot = &mut self.machines[usize::from(node_id)];
        slot.incarnation += 1;
        slot.due = Duration::MAX;
        let config = Config {
            activation_delay: ACTIVATION_DELAY,
            max_partition: self.max_partition,
            ..Config::new(node_id, slot.incarnation)
        };
        let none_exclusive = self.disabled.nothing_exclusive;
        let mut machine = ControlMachine::new(config, signer, slot.disk.clone(), genesis, seed, now);
        let is_exclusive = |edit: &Edit| edit.key.starts_with(EXCLUSIVE);
        machine
            .set_exclusive_check(Box::new(move |_, edits| !none_exclusive && edits.iter().any(is_exclusive)));
        slot.machine = Some(machine);
        self.with_machine(node_id, |_, _, _| {});
    }

    /// Stops a machine, and erases its disk if `wiped`.
    pub fn kill_machine(&mut self, node_id: MachineId, wiped: bool) {
        let forgets_votes = self.disabled.forgets_votes && node_id < self.acceptors;
        let slot = &mut self.machines[usize::from(node_id)];
        slot.machine = None;
        if wiped {
            slot.disk = if forgets_votes { Stored::founding() } else { Stored::default() };
        }
        self.break_streams_of(Node::Machine(node_id));
    }

    /// Replaces the stored batches of stopped machines by a checkpoint, so that they know nothing of earlier
    /// revisions when they restart.
    pub fn forget_logs(&mut self) {
        for slot in &mut self.machines {
            slot.disk.checkpoint = slot.checkpoint.clone();
            slot.disk.batches.clear();
        }
    }

    pub fn start_watcher(&mut self, node_id: ControllerId) {
        let signer = self.signer(MachineId::MAX);
        let seed = self.seed();
        let mut nonces = Rng(self.seed());
        let initial_state = self.genesis.clone();
        let slot = &mut self.watchers[node_id as usize];
        slot.incarnation += 1;
        slot.due = Duration::MAX;
        slot.connections.clear();
        let config = WatcherConfig {
            controller: node_id,
            relays: slot.relays.len(),
            activation_delay: ACTIVATION_DELAY,
            regional: !self.max_partition.is_zero(),
            check: Box::new(|_, _| Ok(())),
            nonce: Box::new(move || std::array::from_fn(|_| (nonces.unit_interval() * 256.0) as u8)),
        };
        let stored = watcher::Stored::read(&slot.disk).ok();
        let now = self.now.mul_f64(slot.clock_rate);
        slot.watcher = Some(Watcher::new(signer, config, initial_state, stored, seed, now));
        self.with_watcher(node_id, |watcher, now, out| watcher.poll(now, out));
    }

    /// Stops a watcher, and erases its disk if `wiped`.
    pub fn kill_watcher(&mut self, node_id: ControllerId, wiped: bool) {
        let slot = &mut self.watchers[node_id as usize];
        slot.watcher = None;
        if wiped {
            slot.disk.clear();
        }
        self.break_streams_of(Node::Watcher(node_id));
    }

    fn seed(&mut self) -> u64 {
        (self.rng.unit_interval() * f64::from(u32::MAX)) as u64
    }

    /// Cuts all connections between the nodes inside and those outside, in both directions.
    pub fn split(&mut self, inside: impl Fn(Node) -> bool) {
        let machines = (0..self.machines.len() as MachineId).map(Node::Machine);
        let tools = (0..self.machines.len() as MachineId).map(Node::Tool);
        let watchers = (0..self.watchers.len() as ControllerId).map(Node::Watcher);
        let all: Vec<Node> = machines.chain(tools).chain(watchers).collect();
        for from in &all {
            let across = all.iter().filter(|to| inside(*from) != inside(**to));
            self.cut.extend(across.map(|to| (*from, *to)));
        }
    }

    pub fn with_machine(
        &mut self, node_id: MachineId,
        act: impl FnOnce(&mut ControlMachine<DigestSigner>, Duration, &mut Vec<ControlOutput>),
    ) {
        let (now, mut out) = (self.now, Vec::new());
        let Some(machine) = &mut self.machines[usize::from(node_id)].machine else { return };
        act(machine, now, &mut out);
        let checkpoint = machine.checkpoint();
        self.machines[usize::from(node_id)].checkpoint = checkpoint;
        for output in out {
            match output {
                ControlOutput::Store(item) => self.store(node_id, item),
                ControlOutput::ToPeer(to, message) => self.send_peer(node_id, to, message),
                ControlOutput::ToWatcher(connection, message) => self.send_down(connection, *message),
                ControlOutput::CloseWatcher(connection, _) => {
                    self.close_stream(connection, Node::Machine(node_id))
                }
            }
        }
        self.observe_machine(node_id);
        let slot = &mut self.machines[usize::from(node_id)];
        let Some(due) = slot.machine.as_ref().map(ControlMachine::next_poll_at) else { return };
        if due < slot.due {
            slot.due = due.max(self.now + Duration::from_millis(1));
            let (at, incarnation) = (slot.due, slot.incarnation);
            self.schedule(at, Event::PollMachine(node_id, incarnation));
        }
    }

    fn store(&mut self, node_id: MachineId, item: StoredItem) {
        if let StoredItem::Batch { summary, bytes, .. } = &item {
            self.observed.batch(summary, bytes);
        }
        let item = StoredItem::decode(&item.encode()).expect("what was encoded");
        self.machines[usize::from(node_id)].disk.apply(item);
    }

    fn send_peer(&mut self, from: MachineId, to: MachineId, message: PeerMessage) {
        let message = match message {
            PeerMessage::Grant(grant) if self.disabled.grants_without_revision => {
                PeerMessage::Grant(Grant::sign(&self.signer(from), from, grant.root, 0))
            }
            message => message,
        };
        self.observed.sent_to_peer(&message);
        if let PeerMessage::RequestRegionalGrant { root } = message {
            self.send_false_grant(to, from, root);
        }
        let frame = message::encode(&message);
        let incarnation = self.machines[usize::from(from)].incarnation;
        for _ in 0..if self.rng.unit_interval() < 0.02 { 2 } else { 1 } {
            if self.is_cut(Node::Machine(from), Node::Machine(to)) || self.rng.unit_interval() < self.loss {
                continue;
            }
            let at = self.now + self.random_delay(Node::Machine(from), Node::Machine(to));
            self.schedule(at, Event::Peer { from, incarnation, to, frame: frame.clone() });
        }
    }

    /// A faulty machine vouches for an outdated revision.
    fn send_false_grant(&mut self, faulty: MachineId, to: MachineId, root: crate::Digest) {
        let cut = self.is_cut(Node::Machine(faulty), Node::Machine(to));
        if cut || !(self.disabled.always_vouches || self.false_vouchers.contains(&faulty)) {
            return;
        }
        let grant = RegionalGrant::sign(&self.signer(faulty), faulty, root, 0);
        let frame = message::encode(&PeerMessage::RegionalGrant(grant));
        let incarnation = self.machines[usize::from(faulty)].incarnation;
        let at = self.now + self.random_delay(Node::Machine(faulty), Node::Machine(to));
        self.schedule(at, Event::Peer { from: faulty, incarnation, to, frame });
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut.contains(&(from, to))
    }

    /// A random one-way delay between two nodes.
    fn random_delay(&mut self, from: Node, to: Node) -> Duration {
        let same_region = region_of(from) == region_of(to);
        let max_delay = if same_region { self.delay / 20 } else { self.delay };
        max_delay.mul_f64(0.7 + 0.3 * self.rng.unit_interval())
    }

    pub fn with_watcher(
        &mut self, node_id: ControllerId,
        act: impl FnOnce(&mut Watcher<DigestSigner>, Duration, &mut Vec<WatcherOutput>),
    ) {
        let slot = &mut self.watchers[node_id as usize];
        let (now, clock_rate, mut out) = (self.now.mul_f64(slot.clock_rate), slot.clock_rate, Vec::new());
        let Some(watcher) = &mut slot.watcher else { return };
        act(watcher, now, &mut out);
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => self.connect(node_id, relay),
                WatcherOutput::Close(relay) => self.close_from_watcher(node_id, relay),
                WatcherOutput::Send(relay, message) => self.send_up(node_id, relay, message),
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => {
                    self.watchers[node_id as usize].disk = bytes
                }
                WatcherOutput::Store(StoreRequest::Append(bytes)) => {
                    self.watchers[node_id as usize].disk.extend(bytes);
                }
                WatcherOutput::Changed | WatcherOutput::Unfit { .. } => {}
            }
        }
        self.observe_watcher(node_id);
        let slot = &mut self.watchers[node_id as usize];
        let Some(due) = slot.watcher.as_ref().map(|watcher| watcher.next_poll_at().div_f64(clock_rate))
        else {
            return;
        };
        if due < slot.due {
            slot.due = due.max(self.now + Duration::from_millis(1));
            let (at, incarnation) = (slot.due, slot.incarnation);
            self.schedule(at, Event::PollWatcher(node_id, incarnation));
        }
    }

    /// Whether each acceptor runs and votes, so that one of them may lose its disk. The stated limit is that
    /// no second acceptor loses its disk before some more revisions were certified.
    pub fn all_acceptors_vote(&self) -> bool {
        let acceptors = &self.machines[..usize::from(self.acceptors)];
        acceptors.iter().all(|slot| slot.machine.as_ref().is_some_and(ControlMachine::is_voting))
    }

    /// Pushes a change with these edits to a machine, based on the highest revision that this machine knows.
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
        let slot = &self.machines[usize::from(at)];
        let incarnation = slot.machine.as_ref().map(|_| slot.incarnation)?;
        let connection = self.open_tool(at);
        self.observed.pushed(connection, change.id, (at, incarnation));
        self.send_tool(connection, ToRelay::Push(change));
        Some(connection)
    }

    /// A tool received the outcome of a change.
    fn on_outcome(&mut self, connection: ConnectionId, outcome: Result<Number, Rejection>) {
        let outcome = match outcome {
            Err(Rejection::Unknown) if self.disabled.wrong_outcomes => Err(Rejection::Empty),
            Ok(_) if self.disabled.wrong_outcomes => Err(Rejection::Empty),
            outcome => outcome,
        };
        self.observed.on_outcome(connection, outcome);
    }

    /// Revokes an author's key; all machines read the new ring, one after another.
    pub fn revoke(&mut self, author: Author) {
        self.revoked.insert(author);
        for node_id in 0..self.machines.len() as MachineId {
            let signer = self.signer(node_id);
            self.with_machine(node_id, |machine, now, out| machine.replace_signer(now, signer, out));
        }
    }

    /// Runs until that time.
    pub fn run(&mut self, until: Duration) {
        let mut next_observation = self.now;
        while let Some((at, _)) =
            self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= until)
        {
            while next_observation <= at {
                self.now = self.now.max(next_observation);
                (0..self.watchers.len() as ControllerId).for_each(|node_id| self.observe_watcher(node_id));
                next_observation += Duration::from_millis(100);
            }
            let Some((_, event)) = self.events.pop_first() else { return };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = until;
    }

    pub fn run_for(&mut self, seconds: f64) {
        self.run(self.now + Duration::from_secs_f64(seconds));
    }

    /// Runs until all reachable watchers have activated the last certified revision, which must be at least
    /// `number`, or for at most `seconds`. Returns how long it ran.
    pub fn run_until_acting(&mut self, number: Number, seconds: f64) -> Duration {
        let started_at = self.now;
        let is_settled = |net: &Self| net.observed.highest() >= number && net.is_settled();
        while !is_settled(self) && self.now < started_at + Duration::from_secs_f64(seconds) {
            self.run_for(0.05);
        }
        self.now - started_at
    }

    fn stalled_until(&self, event: &Event) -> Duration {
        match event {
            Event::Peer { to, .. } | Event::PollMachine(to, _) => {
                self.machines[usize::from(*to)].stalled_until
            }
            Event::PollWatcher(node_id, _) => self.watchers[*node_id as usize].stalled_until,
            Event::Stream(_) => Duration::ZERO,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let stalled_until = self.stalled_until(&event);
        if stalled_until > self.now {
            return self.schedule(stalled_until, event);
        }
        match event {
            Event::Peer { from, incarnation, to, frame } => {
                // Messages of an earlier incarnation are lost with its connections.
                if incarnation < self.machines[usize::from(from)].incarnation {
                    return;
                }
                let message = decoded(&frame, message::MAX_RELAY_BODY_BYTES);
                self.with_machine(to, |machine, now, out| machine.on_peer_message(now, from, message, out));
            }
            Event::PollMachine(node_id, incarnation) => {
                if self.machines[usize::from(node_id)].incarnation == incarnation {
                    self.machines[usize::from(node_id)].due = Duration::MAX;
                    self.with_machine(node_id, ControlMachine::poll);
                }
            }
            Event::PollWatcher(node_id, incarnation) => {
                if self.watchers[node_id as usize].incarnation == incarnation {
                    self.watchers[node_id as usize].due = Duration::MAX;
                    self.with_watcher(node_id, Watcher::poll);
                }
            }
            Event::Stream(connection) => self.deliver_due(connection),
        }
    }
}

/// Decodes the message of one complete frame.
fn decoded<M: serde::de::DeserializeOwned>(frame: &[u8], max_bytes: usize) -> M {
    let decoded = message::decode(frame, max_bytes).expect("a frame");
    decoded.expect("a complete frame").0
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
