//! TCP proxy of the test network: connects each accepted stream to its receiver and forwards both directions.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};

use crate::{Delivery, EndpointId, LinkFaults, TrafficRecord};

const BOUNDS: Bounds = Bounds { input: 256 * 1024, output: 1024 * 1024 };
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a rate-limited stream may send.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// One direction of a stream: the bytes from one connection to another.
struct Direction {
    from: Option<EndpointId>,
    to: Option<EndpointId>,
    /// The connection to which the bytes are forwarded; `SocketId::MAX` where there is none.
    output: SocketId,
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
    listeners: BTreeMap<SocketId, EndpointId>,
    /// By input connection.
    directions: BTreeMap<SocketId, Direction>,
    next_poll_at: Option<Duration>,
}

impl StreamProxy {
    /// Listens for streams to an endpoint, and returns the listener and its address.
    pub fn listen(
        &mut self, reactor: &mut Reactor, endpoint: EndpointId,
    ) -> io::Result<(SocketId, SocketAddr)> {
        let (listener, address) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS)?;
        self.listeners.insert(listener, endpoint);
        Ok((listener, address))
    }

    /// The endpoint that is reached at a listener.
    pub fn endpoint_of(&self, listener: SocketId) -> Option<EndpointId> {
        self.listeners.get(&listener).copied()
    }

    /// The time at which [`StreamProxy::forward_due`] has to be called next.
    pub fn next_poll_at(&self) -> Option<Duration> {
        self.next_poll_at
    }

    /// Connects an accepted stream to its receiver, as far as the link permits.
    pub fn handle_accepted(
        &mut self, reactor: &mut Reactor, input: SocketId, from: Option<EndpointId>,
        (to, address): (EndpointId, SocketAddr), link: LinkFaults,
    ) {
        if link.reset_streams {
            return reactor.close(input);
        }
        // On a half-open or blocked link the stream stays open for its sender, without a connection to the receiver.
        let output = match link.half_open || link.blocked {
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
        let receiver = output.unwrap_or(SocketId::MAX);
        self.directions.insert(input, direction(from, Some(to), receiver));
        if output.is_some() {
            self.directions.insert(receiver, direction(Some(to), from, input));
        }
    }

    /// Handles an event of the reactor. Returns whether it concerned one of these streams.
    pub fn handle_event(
        &mut self, reactor: &mut Reactor, now: Duration, event: &ReactorEvent,
        link_lookup: &dyn Fn(Option<EndpointId>, Option<EndpointId>) -> LinkFaults,
        traffic: &mut Vec<TrafficRecord>,
    ) -> bool {
        let input = match event {
            ReactorEvent::Readable(connection)
            | ReactorEvent::Opened(connection)
            | ReactorEvent::Drained(connection) => *connection,
            ReactorEvent::Closed(connection, _) => *connection,
            _ => return false,
        };
        let Some(direction) = self.directions.get_mut(&input) else { return false };
        let link = link_lookup(direction.from, direction.to);
        if link.reset_streams {
            let output = direction.output;
            self.close_stream(reactor, input, output);
            return true;
        }
        let bytes = reactor.input(input).to_vec();
        reactor.consume(input, bytes.len());
        if !bytes.is_empty() {
            let lost = link.half_open || direction.output == SocketId::MAX;
            if let (Some(from), Some(to)) = (direction.from, direction.to) {
                let delivery = if lost { Delivery::Lost } else { Delivery::Forwarded };
                traffic.push(TrafficRecord { at: now, from, to, bytes: bytes.len(), delivery, stream: true });
            }
            if !lost {
                // `Duration::MAX` marks bytes that arrived on a blocked link.
                let due_at = if link.blocked { Duration::MAX } else { now + link.delay };
                direction.queue.push_back((due_at, bytes));
            }
        }
        direction.ended |= matches!(event, ReactorEvent::Closed(..));
        if direction.ended && direction.queue.is_empty() {
            let output = direction.output;
            self.close_stream(reactor, input, output);
        }
        self.next_poll_at = Some(self.next_poll_at.map_or(now, |next_poll_at| next_poll_at.min(now)));
        self.forward_due(reactor, now, link_lookup);
        true
    }

    /// Closes both connections of a stream after sending their buffered output.
    fn close_stream(&mut self, reactor: &mut Reactor, input: SocketId, output: SocketId) {
        for connection in [input, output] {
            self.directions.remove(&connection);
            reactor.flush_connection(connection);
            reactor.close(connection);
        }
    }

    /// Forwards the bytes that are due, within the rate limit of each link.
    pub fn forward_due(
        &mut self, reactor: &mut Reactor, now: Duration,
        link_lookup: &dyn Fn(Option<EndpointId>, Option<EndpointId>) -> LinkFaults,
    ) {
        let (mut finished, mut next_poll_at) = (Vec::new(), None);
        for (input, direction) in &mut self.directions {
            let link = link_lookup(direction.from, direction.to);
            if link.blocked {
                continue;
            }
            let direction_due = direction.forward_due(reactor, now, link.max_bytes_per_s);
            next_poll_at = next_poll_at.into_iter().chain(direction_due).min();
            if direction.ended && direction.queue.is_empty() {
                finished.push((*input, direction.output));
            }
        }
        self.next_poll_at = next_poll_at;
        finished.into_iter().for_each(|(input, output)| self.close_stream(reactor, input, output));
    }
}

impl Direction {
    /// Forwards the bytes that are due, at most at `bytes_per_s`. Returns when it has to be called again, if bytes are left.
    fn forward_due(
        &mut self, reactor: &mut Reactor, now: Duration, bytes_per_s: Option<u64>,
    ) -> Option<Duration> {
        let mut sendable = self.sendable_bytes(now, bytes_per_s);
        let mut next_poll_at = None;
        while let Some((due_at, bytes)) = self.queue.front_mut() {
            // Bytes that arrived while the link was blocked are due once it is not.
            let is_due = *due_at <= now || *due_at == Duration::MAX;
            if !is_due {
                next_poll_at = Some(*due_at);
                break;
            }
            let count = bytes.len().min(sendable as usize);
            if sendable < 1.0 || !reactor.send(self.output, &[&bytes[..count]]) {
                next_poll_at = Some(now + SEND_INTERVAL);
                break;
            }
            sendable -= count as f64;
            bytes.drain(..count);
            if bytes.is_empty() {
                self.queue.pop_front();
            }
        }
        self.rate_budget = (now, if sendable.is_finite() { sendable } else { 0.0 });
        next_poll_at
    }

    /// The number of bytes that the rate limit permits now.
    fn sendable_bytes(&self, now: Duration, bytes_per_s: Option<u64>) -> f64 {
        let Some(bytes_per_s) = bytes_per_s else { return f64::INFINITY };
        let elapsed = now.saturating_sub(self.rate_budget.0).min(SEND_INTERVAL * 4);
        self.rate_budget.1 + elapsed.as_secs_f64() * bytes_per_s as f64
    }
}
