//! Streams between relays and watchers or tools. Lost items are retransmitted in order. A stream that is cut
//! for some time breaks at both ends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{decoded, Event, Net, Node};
use crate::control::ConnectionId;
use crate::message::{self, ToRelay, ToWatcher};
use crate::{ControllerId, MachineId};

/// A lost item is retransmitted after this time.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// A stream whose items are blocked for this long breaks.
const STREAM_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Up,
    Down,
}

enum Item {
    Open,
    Frame(Vec<u8>),
    Close,
}

#[derive(Default)]
struct Channel {
    items: VecDeque<(Duration, Item)>,
    last_at: Duration,
    blocked_since: Option<Duration>,
    /// When a blocked direction is next retried; at most one event is scheduled.
    retry_at: Duration,
}

struct Stream {
    client: Node,
    /// The index of the relay in a watcher's order.
    relay: usize,
    machine: MachineId,
    up: Channel,
    down: Channel,
}

#[derive(Default)]
pub struct Streams {
    streams: BTreeMap<ConnectionId, Stream>,
    next: ConnectionId,
}

impl Net {
    fn open(&mut self, client: Node, relay: usize, machine: MachineId) -> ConnectionId {
        self.streams.next += 1;
        let id = self.streams.next;
        let (up, down) = (Channel::default(), Channel::default());
        self.streams.streams.insert(id, Stream { client, relay, machine, up, down });
        self.enqueue(id, Direction::Up, Item::Open);
        id
    }

    pub(super) fn connect(&mut self, node_id: ControllerId, relay: usize) {
        let machine = self.watchers[node_id as usize].relays[relay];
        self.close_from_watcher(node_id, relay);
        let id = self.open(Node::Watcher(node_id), relay, machine);
        self.watchers[node_id as usize].connections.insert(relay, id);
    }

    pub(super) fn open_tool(&mut self, machine: MachineId) -> ConnectionId {
        self.open(Node::Tool(machine), 0, machine)
    }

    pub(super) fn send_tool(&mut self, id: ConnectionId, message: ToRelay) {
        self.enqueue(id, Direction::Up, Item::Frame(message::encode(&message)));
    }

    pub(super) fn send_up(&mut self, node_id: ControllerId, relay: usize, message: ToRelay) {
        if let Some(id) = self.watchers[node_id as usize].connections.get(&relay).copied() {
            self.enqueue(id, Direction::Up, Item::Frame(message::encode(&message)));
        }
    }

    pub(super) fn send_down(&mut self, id: ConnectionId, message: ToWatcher) {
        let update = match &message {
            ToWatcher::Delta { certificate, .. } | ToWatcher::Snapshot { certificate, .. } => {
                Some(certificate.number())
            }
            _ => None,
        };
        let Some(machine) = self.streams.streams.get(&id).map(|stream| stream.machine) else { return };
        match update {
            Some(_) if self.disabled.no_updates => {}
            // The faulty relay assumes that its watcher has prepared an update that it never sent.
            Some(number) if self.faulty_relays.contains(&machine) => {
                self.enqueue(id, Direction::Up, Item::Frame(message::encode(&ToRelay::Prepared { number })));
            }
            _ => {
                self.observed.sent_down(&message);
                self.enqueue(id, Direction::Down, Item::Frame(message::encode(&message)));
            }
        }
    }

    /// One end closes: the other one is notified after all queued items.
    pub(super) fn close_stream(&mut self, id: ConnectionId, closed_by: Node) {
        let Some(stream) = self.streams.streams.get(&id) else { return };
        let direction = if closed_by == stream.client { Direction::Up } else { Direction::Down };
        self.enqueue(id, direction, Item::Close);
    }

    pub(super) fn close_from_watcher(&mut self, node_id: ControllerId, relay: usize) {
        if let Some(id) = self.watchers[node_id as usize].connections.remove(&relay) {
            self.close_stream(id, Node::Watcher(node_id));
        }
    }

    /// A node stopped: the other ends of its streams are notified if the network allows, or when the streams
    /// break.
    pub fn break_streams_of(&mut self, node: Node) {
        let of_node = |stream: &Stream| stream.client == node || Node::Machine(stream.machine) == node;
        let ids = self.streams.streams.iter().filter(|(_, stream)| of_node(stream)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            self.close_stream(id, node);
        }
        // A watcher that still runs is notified directly.
        if let Node::Watcher(node_id) = node {
            let relays: Vec<usize> = self.watchers[node_id as usize].connections.keys().copied().collect();
            for relay in relays {
                self.watchers[node_id as usize].connections.remove(&relay);
                self.with_watcher(node_id, |watcher, now, out| watcher.on_closed(now, relay, out));
            }
        }
    }

    fn enqueue(&mut self, id: ConnectionId, direction: Direction, item: Item) {
        let Some(stream) = self.streams.streams.get(&id) else { return };
        let link = (stream.client, Node::Machine(stream.machine));
        let (from, to) = if direction == Direction::Up { link } else { (link.1, link.0) };
        let mut at = self.now + self.random_delay(from, to);
        while self.rng.unit_interval() < self.loss {
            at += RETRANSMIT_DELAY;
        }
        let Some(stream) = self.streams.streams.get_mut(&id) else { return };
        let channel = if direction == Direction::Up { &mut stream.up } else { &mut stream.down };
        channel.last_at = channel.last_at.max(at);
        let at = channel.last_at;
        channel.items.push_back((at, item));
        self.schedule(at, Event::Stream(id));
    }

    /// Delivers the items that have arrived on a stream.
    pub(super) fn deliver_due(&mut self, id: ConnectionId) {
        for direction in [Direction::Up, Direction::Down] {
            while let Some(item) = self.take_next(id, direction) {
                self.deliver(id, direction, item);
            }
        }
    }

    fn take_next(&mut self, id: ConnectionId, direction: Direction) -> Option<Item> {
        let now = self.now;
        let stream = self.streams.streams.get(&id)?;
        let (client, machine) = (stream.client, Node::Machine(stream.machine));
        let (from, to) = if direction == Direction::Up { (client, machine) } else { (machine, client) };
        // A stream whose acknowledgements are lost still delivers for a while; this makes no difference here.
        let cut = self.is_cut(from, to);
        let stalled_until = match to {
            Node::Machine(node_id) => self.machines[usize::from(node_id)].stalled_until,
            Node::Watcher(node_id) => self.watchers[node_id as usize].stalled_until,
            Node::Tool(_) => Duration::ZERO,
        };
        let stream = self.streams.streams.get_mut(&id)?;
        let channel = if direction == Direction::Up { &mut stream.up } else { &mut stream.down };
        let (at, _) = channel.items.front()?;
        if *at > now {
            return None;
        }
        if stalled_until > now {
            if channel.retry_at <= now {
                channel.retry_at = stalled_until;
                self.schedule(stalled_until, Event::Stream(id));
            }
            return None;
        }
        if !cut {
            channel.blocked_since = None;
            return channel.items.pop_front().map(|(_, item)| item);
        }
        let since = *channel.blocked_since.get_or_insert(now);
        if now >= since + STREAM_TIMEOUT {
            self.close_both_ends(id);
        } else if channel.retry_at <= now {
            channel.retry_at = now + RETRANSMIT_DELAY;
            self.schedule(now + RETRANSMIT_DELAY, Event::Stream(id));
        }
        None
    }

    fn close_both_ends(&mut self, id: ConnectionId) {
        self.deliver(id, Direction::Up, Item::Close);
        self.deliver(id, Direction::Down, Item::Close);
        self.streams.streams.remove(&id);
    }

    fn deliver(&mut self, id: ConnectionId, direction: Direction, item: Item) {
        let Some(stream) = self.streams.streams.get(&id) else { return };
        let (client, relay, machine) = (stream.client, stream.relay, stream.machine);
        if matches!(item, Item::Close) {
            self.streams.streams.remove(&id);
        }
        match (direction, client) {
            (Direction::Up, _) => self.deliver_up(id, machine, item, (client, relay)),
            (Direction::Down, Node::Watcher(node_id)) => self.deliver_down(id, node_id, relay, item),
            (Direction::Down, _) => {
                if let Item::Frame(frame) = item {
                    if let ToWatcher::PushOutcome { outcome, .. } =
                        decoded(&frame, message::MAX_RELAY_BODY_BYTES)
                    {
                        self.on_outcome(id, outcome);
                    }
                }
            }
        }
    }

    fn deliver_up(
        &mut self, id: ConnectionId, machine: MachineId, item: Item, (client, relay): (Node, usize),
    ) {
        let running = self.machines[usize::from(machine)].machine.is_some();
        match item {
            Item::Open if running => {
                self.with_machine(machine, |machine, now, out| machine.on_watcher_connected(now, id, out));
                if let Node::Watcher(node_id) = client {
                    if self.watchers[node_id as usize].connections.get(&relay) == Some(&id) {
                        self.with_watcher(node_id, |watcher, now, out| watcher.on_connected(now, relay, out));
                    }
                }
            }
            // The machine is not running, so nothing listens.
            Item::Open => self.close_stream(id, Node::Machine(machine)),
            Item::Frame(frame) => {
                let message = decoded(&frame, message::MAX_WATCHER_BODY_BYTES);
                self.with_machine(machine, |machine, now, out| {
                    machine.on_watcher_message(now, id, message, out)
                });
            }
            Item::Close => self.with_machine(machine, |machine, now, _| machine.on_watcher_closed(now, id)),
        }
    }

    fn deliver_down(&mut self, id: ConnectionId, node_id: ControllerId, relay: usize, item: Item) {
        if self.watchers[node_id as usize].connections.get(&relay) != Some(&id) {
            return;
        }
        match item {
            Item::Frame(frame) => {
                let message = decoded(&frame, message::MAX_RELAY_BODY_BYTES);
                self.with_watcher(node_id, |watcher, now, out| watcher.on_message(now, relay, message, out));
            }
            Item::Close => {
                self.watchers[node_id as usize].connections.remove(&relay);
                self.with_watcher(node_id, |watcher, now, out| watcher.on_closed(now, relay, out));
            }
            Item::Open => {}
        }
    }
}
