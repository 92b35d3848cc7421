//! TCP proxy of the test network: connects each accepted stream to its receiver and forwards both directions.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};

use crate::{Delivery, End, Entry, Way};

const BOUNDS: Bounds = Bounds { input: 256 * 1024, output: 1024 * 1024 };
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a rate-limited stream may send.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// One direction of a stream: the bytes from one connection to another.
struct Direction {
    from: Option<End>,
    to: Option<End>,
    /// The connection to which the bytes are forwarded; `Line::MAX` where there is none.
    output: Line,
    /// Due time and contents of bytes that are not forwarded yet.
    queue: VecDeque<(Duration, Vec<u8>)>,
    /// Time of the last update, and the bytes that a rate-limited link could still send at that time.
    rate_budget: (Duration, f64),
    /// Whether the input connection is closed.
    ended: bool,
}

/// All listeners and streams of the test network.
#[derive(Default)]
pub struct StreamProxy {
    listeners: BTreeMap<Line, End>,
    /// By input connection.
    directions: BTreeMap<Line, Direction>,
    next_due: Option<Duration>,
}

impl StreamProxy {
    /// Listens for streams to an endpoint, and returns the listener and its address.
    pub fn listen(&mut self, reactor: &mut Reactor, endpoint: End) -> io::Result<(Line, SocketAddr)> {
        let (listener, address) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS)?;
        self.listeners.insert(listener, endpoint);
        Ok((listener, address))
    }

    /// The endpoint that is reached at a listener.
    pub fn endpoint_of(&self, listener: Line) -> Option<End> {
        self.listeners.get(&listener).copied()
    }

    /// The time at which [`StreamProxy::forward_due`] has to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        self.next_due
    }

    /// Connects an accepted stream to its receiver, as far as the link permits.
    pub fn handle_accepted(
        &mut self, reactor: &mut Reactor, input: Line, from: Option<End>, (to, address): (End, SocketAddr),
        link: Way,
    ) {
        if link.reset {
            return reactor.close(input);
        }
        // On a half-open or blocked link the stream stays open for its sender, without a connection to the receiver.
        let output = match link.half_open || link.cut {
            true => None,
            false => reactor.connect(address, CONNECT_TIMEOUT, BOUNDS).ok(),
        };
        let direction = |from, to, output| Direction {
            from,
            to,
            output,
            queue: VecDeque::new(),
            rate_budget: (Duration::ZERO, 0.0),
            ended: false,
        };
        let receiver = output.unwrap_or(Line::MAX);
        self.directions.insert(input, direction(from, Some(to), receiver));
        if output.is_some() {
            self.directions.insert(receiver, direction(Some(to), from, input));
        }
    }

    /// Handles an event of the reactor. Returns whether it concerned one of these streams.
    pub fn handle_event(
        &mut self, reactor: &mut Reactor, now: Duration, event: &Happening,
        link_lookup: &dyn Fn(Option<End>, Option<End>) -> Way, record: &mut Vec<Entry>,
    ) -> bool {
        let input = match event {
            Happening::Readable(connection)
            | Happening::Opened(connection)
            | Happening::Drained(connection) => *connection,
            Happening::Closed(connection, _) => *connection,
            _ => return false,
        };
        let Some(direction) = self.directions.get_mut(&input) else { return false };
        let link = link_lookup(direction.from, direction.to);
        if link.reset {
            let output = direction.output;
            self.close_stream(reactor, input, output);
            return true;
        }
        let bytes = reactor.input(input).to_vec();
        reactor.consume(input, bytes.len());
        if !bytes.is_empty() {
            let lost = link.half_open || direction.output == Line::MAX;
            if let (Some(from), Some(to)) = (direction.from, direction.to) {
                let delivery = if lost { Delivery::Lost } else { Delivery::Passed };
                record.push(Entry { at: now, from, to, bytes: bytes.len(), delivery, stream: true });
            }
            if !lost {
                // `Duration::MAX` marks bytes that arrived on a blocked link.
                let due_at = if link.cut { Duration::MAX } else { now + link.late };
                direction.queue.push_back((due_at, bytes));
            }
        }
        direction.ended |= matches!(event, Happening::Closed(..));
        if direction.ended && direction.queue.is_empty() {
            let output = direction.output;
            self.close_stream(reactor, input, output);
        }
        self.next_due = Some(self.next_due.map_or(now, |next_due| next_due.min(now)));
        self.forward_due(reactor, now, link_lookup);
        true
    }

    /// Closes both connections of a stream after sending their buffered output.
    fn close_stream(&mut self, reactor: &mut Reactor, input: Line, output: Line) {
        for connection in [input, output] {
            self.directions.remove(&connection);
            reactor.flush_line(connection);
            reactor.close(connection);
        }
    }

    /// Forwards the bytes that are due, within the rate limit of each link.
    pub fn forward_due(
        &mut self, reactor: &mut Reactor, now: Duration,
        link_lookup: &dyn Fn(Option<End>, Option<End>) -> Way,
    ) {
        let (mut finished, mut next_due) = (Vec::new(), None);
        for (input, direction) in &mut self.directions {
            let link = link_lookup(direction.from, direction.to);
            if link.cut {
                continue;
            }
            let direction_due = direction.forward_due(reactor, now, link.slow);
            next_due = next_due.into_iter().chain(direction_due).min();
            if direction.ended && direction.queue.is_empty() {
                finished.push((*input, direction.output));
            }
        }
        self.next_due = next_due;
        finished.into_iter().for_each(|(input, output)| self.close_stream(reactor, input, output));
    }
}

impl Direction {
    /// Forwards the bytes that are due, at most at `bytes_per_s`. Returns when it has to be called again, if bytes are left.
    fn forward_due(
        &mut self, reactor: &mut Reactor, now: Duration, bytes_per_s: Option<u64>,
    ) -> Option<Duration> {
        let mut sendable = self.sendable_bytes(now, bytes_per_s);
        let mut next_due = None;
        while let Some((due_at, bytes)) = self.queue.front_mut() {
            // Bytes that arrived while the link was blocked are due once it is not.
            let is_due = *due_at <= now || *due_at == Duration::MAX;
            if !is_due {
                next_due = Some(*due_at);
                break;
            }
            let count = bytes.len().min(sendable as usize);
            if sendable < 1.0 || !reactor.send(self.output, &[&bytes[..count]]) {
                next_due = Some(now + SEND_INTERVAL);
                break;
            }
            sendable -= count as f64;
            bytes.drain(..count);
            if bytes.is_empty() {
                self.queue.pop_front();
            }
        }
        self.rate_budget = (now, if sendable.is_finite() { sendable } else { 0.0 });
        next_due
    }

    /// The number of bytes that the rate limit permits now.
    fn sendable_bytes(&self, now: Duration, bytes_per_s: Option<u64>) -> f64 {
        let Some(bytes_per_s) = bytes_per_s else { return f64::INFINITY };
        let elapsed = now.saturating_sub(self.rate_budget.0).min(SEND_INTERVAL * 4);
        self.rate_budget.1 + elapsed.as_secs_f64() * bytes_per_s as f64
    }
}
