//! Streams between watchers, or tools, and relays: what is lost is sent again, in its order. A stream that is cut for some
//! time breaks at both ends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{decoded, Event, Net, Node};
use crate::control::ConnectionId;
use crate::message::{self, ToRelay, ToWatcher};
use crate::{ControllerId, MachineId};

/// What is lost is sent again after this.
const AGAIN: Duration = Duration::from_millis(200);
/// A stream on which something is held up for so long breaks.
const BREAKS_AFTER: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Up,
    Down,
}

enum Item {
    Open,
    Frame(Vec<u8>),
    Close,
}

#[derive(Default)]
struct Pipe {
    items: VecDeque<(Duration, Item)>,
    last_at: Duration,
    held_up_since: Option<Duration>,
    /// When it is looked at again after it was held up: one event at a time.
    again_at: Duration,
}

struct Stream {
    client: Node,
    /// The place of the relay in a watcher's order.
    relay: usize,
    machine: MachineId,
    up: Pipe,
    down: Pipe,
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
        let (up, down) = (Pipe::default(), Pipe::default());
        self.streams.streams.insert(id, Stream { client, relay, machine, up, down });
        self.enqueue(id, Way::Up, Item::Open);
        id
    }

    pub(super) fn connect(&mut self, me: ControllerId, relay: usize) {
        let machine = self.watchers[me as usize].relays[relay];
        self.close_from_watcher(me, relay);
        let id = self.open(Node::Watcher(me), relay, machine);
        self.watchers[me as usize].connections.insert(relay, id);
    }

    pub(super) fn open_tool(&mut self, machine: MachineId) -> ConnectionId {
        self.open(Node::Tool(machine), 0, machine)
    }

    pub(super) fn send_tool(&mut self, id: ConnectionId, message: ToRelay) {
        self.enqueue(id, Way::Up, Item::Frame(message::encode(&message)));
    }

    pub(super) fn send_up(&mut self, me: ControllerId, relay: usize, message: ToRelay) {
        if let Some(id) = self.watchers[me as usize].connections.get(&relay).copied() {
            self.enqueue(id, Way::Up, Item::Frame(message::encode(&message)));
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
            Some(_) if self.broken.no_updates => {}
            // It takes its watcher to have what it never sent.
            Some(number) if self.liars.contains(&machine) => {
                self.enqueue(id, Way::Up, Item::Frame(message::encode(&ToRelay::Prepared { number })));
            }
            _ => {
                self.seen.sent_down(&message);
                self.enqueue(id, Way::Down, Item::Frame(message::encode(&message)));
            }
        }
    }

    /// One end closes: the other one hears of it behind all else.
    pub(super) fn close_stream(&mut self, id: ConnectionId, by: Node) {
        let Some(stream) = self.streams.streams.get(&id) else { return };
        let way = if by == stream.client { Way::Up } else { Way::Down };
        self.enqueue(id, way, Item::Close);
    }

    pub(super) fn close_from_watcher(&mut self, me: ControllerId, relay: usize) {
        if let Some(id) = self.watchers[me as usize].connections.remove(&relay) {
            self.close_stream(id, Node::Watcher(me));
        }
    }

    /// A node is gone: what hung on it hears so, if the way is open, or when the stream breaks.
    pub fn break_streams_of(&mut self, node: Node) {
        let of_node = |stream: &Stream| stream.client == node || Node::Machine(stream.machine) == node;
        let ids = self.streams.streams.iter().filter(|(_, stream)| of_node(stream)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            self.close_stream(id, node);
        }
        // A watcher that lives on hears so itself.
        if let Node::Watcher(me) = node {
            let relays: Vec<usize> = self.watchers[me as usize].connections.keys().copied().collect();
            for relay in relays {
                self.watchers[me as usize].connections.remove(&relay);
                self.with_watcher(me, |watcher, now, out| watcher.on_closed(now, relay, out));
            }
        }
    }

    fn enqueue(&mut self, id: ConnectionId, way: Way, item: Item) {
        let Some(stream) = self.streams.streams.get(&id) else { return };
        let ends = (stream.client, Node::Machine(stream.machine));
        let (from, to) = if way == Way::Up { ends } else { (ends.1, ends.0) };
        let mut at = self.now + self.way(from, to);
        while self.chance.unit_interval() < self.loss {
            at += AGAIN;
        }
        let Some(stream) = self.streams.streams.get_mut(&id) else { return };
        let pipe = if way == Way::Up { &mut stream.up } else { &mut stream.down };
        pipe.last_at = pipe.last_at.max(at);
        let at = pipe.last_at;
        pipe.items.push_back((at, item));
        self.put(at, Event::Stream(id));
    }

    /// Delivers what has come on a stream.
    pub(super) fn pump(&mut self, id: ConnectionId) {
        for way in [Way::Up, Way::Down] {
            while let Some(item) = self.take_next(id, way) {
                self.deliver(id, way, item);
            }
        }
    }

    fn take_next(&mut self, id: ConnectionId, way: Way) -> Option<Item> {
        let now = self.now;
        let stream = self.streams.streams.get(&id)?;
        let (client, machine) = (stream.client, Node::Machine(stream.machine));
        let (from, to) = if way == Way::Up { (client, machine) } else { (machine, client) };
        // A stream whose acknowledgements don't come back delivers for a while, which is all the same here.
        let cut = self.is_cut(from, to);
        let stalled = match to {
            Node::Machine(me) => self.machines[usize::from(me)].stalled_until,
            Node::Watcher(me) => self.watchers[me as usize].stalled_until,
            Node::Tool(_) => Duration::ZERO,
        };
        let stream = self.streams.streams.get_mut(&id)?;
        let pipe = if way == Way::Up { &mut stream.up } else { &mut stream.down };
        let (at, _) = pipe.items.front()?;
        if *at > now {
            return None;
        }
        if stalled > now {
            if pipe.again_at <= now {
                pipe.again_at = stalled;
                self.put(stalled, Event::Stream(id));
            }
            return None;
        }
        if !cut {
            pipe.held_up_since = None;
            return pipe.items.pop_front().map(|(_, item)| item);
        }
        let since = *pipe.held_up_since.get_or_insert(now);
        if now >= since + BREAKS_AFTER {
            self.both_ends_closed(id);
        } else if pipe.again_at <= now {
            pipe.again_at = now + AGAIN;
            self.put(now + AGAIN, Event::Stream(id));
        }
        None
    }

    fn both_ends_closed(&mut self, id: ConnectionId) {
        self.deliver(id, Way::Up, Item::Close);
        self.deliver(id, Way::Down, Item::Close);
        self.streams.streams.remove(&id);
    }

    fn deliver(&mut self, id: ConnectionId, way: Way, item: Item) {
        let Some(stream) = self.streams.streams.get(&id) else { return };
        let (client, relay, machine) = (stream.client, stream.relay, stream.machine);
        if matches!(item, Item::Close) {
            self.streams.streams.remove(&id);
        }
        match (way, client) {
            (Way::Up, _) => self.deliver_up(id, machine, item, (client, relay)),
            (Way::Down, Node::Watcher(me)) => self.deliver_down(id, me, relay, item),
            (Way::Down, _) => {
                if let Item::Frame(frame) = item {
                    if let ToWatcher::PushOutcome { outcome, .. } =
                        decoded(&frame, message::MAX_RELAY_BODY_BYTES)
                    {
                        self.told(id, outcome);
                    }
                }
            }
        }
    }

    fn deliver_up(
        &mut self, id: ConnectionId, machine: MachineId, item: Item, (client, relay): (Node, usize),
    ) {
        let alive = self.machines[usize::from(machine)].machine.is_some();
        match item {
            Item::Open if alive => {
                self.with_machine(machine, |machine, now, out| machine.watcher_opened(now, id, out));
                if let Node::Watcher(me) = client {
                    if self.watchers[me as usize].connections.get(&relay) == Some(&id) {
                        self.with_watcher(me, |watcher, now, out| watcher.on_connected(now, relay, out));
                    }
                }
            }
            // Nobody listens there.
            Item::Open => self.close_stream(id, Node::Machine(machine)),
            Item::Frame(frame) => {
                let message = decoded(&frame, message::MAX_WATCHER_BODY_BYTES);
                self.with_machine(machine, |machine, now, out| {
                    machine.watcher_message(now, id, message, out)
                });
            }
            Item::Close => self.with_machine(machine, |machine, now, _| machine.watcher_closed(now, id)),
        }
    }

    fn deliver_down(&mut self, id: ConnectionId, me: ControllerId, relay: usize, item: Item) {
        if self.watchers[me as usize].connections.get(&relay) != Some(&id) {
            return;
        }
        match item {
            Item::Frame(frame) => {
                let message = decoded(&frame, message::MAX_RELAY_BODY_BYTES);
                self.with_watcher(me, |watcher, now, out| watcher.on_message(now, relay, message, out));
            }
            Item::Close => {
                self.watchers[me as usize].connections.remove(&relay);
                self.with_watcher(me, |watcher, now, out| watcher.on_closed(now, relay, out));
            }
            Item::Open => {}
        }
    }
}
