//! Connections of controllers (watchers) and of operators' tools: admission, buffer limits and timeouts.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_distribution::control::{CloseReason, ConnectionId};
use badgerledge_distribution::message::{decode, encode, ToRelay, ToWatcher, MAX_WATCHER_BODY_BYTES};
use badgerledge_reactor::{Bounds, Reactor, SocketId};
use metrics::counter;

use crate::envelope::frame_fault_label;
use crate::telemetry::{self, LogLimiter};

/// The label of these connections in metrics.
const STREAM_LABEL: &str = "watcher";
/// A connection that sends no complete message within this time is closed.
pub const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection is closed when no message was received for this long: a watcher requests a lease every few seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a client that was turned away should wait before it connects again.
const RETRY_AFTER_MS: u32 = 2000;
/// Bytes of a frame's length field and version tag.
const FRAME_HEADER_BYTES: usize = 7;

/// An event on a watcher's or tool's connection.
#[derive(Debug)]
pub enum WatcherEvent {
    /// A connection was admitted.
    Opened(ConnectionId),
    /// A message was received.
    Message(ConnectionId, Box<ToRelay>),
    /// A connection has closed.
    Closed(ConnectionId),
}

/// Limits on the watchers' connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of output bytes buffered for one connection.
    pub connection_output_bytes: usize,
    /// Maximum number of input and output bytes buffered for all connections.
    pub total_bytes: usize,
}

struct Connection {
    /// The connection is closed at this time unless a message is received before.
    expires_at: Duration,
    /// Input and output bytes buffered for the connection when they were last counted.
    buffered_bytes: usize,
}

/// All connections of controllers and tools. A connection is identified by its number in the reactor, which is never
/// reused.
pub struct Watchers {
    listener: SocketId,
    limits: Limits,
    connections: BTreeMap<SocketId, Connection>,
    /// Sum of the buffered bytes of all connections.
    buffered_bytes: usize,
    log_limiter: LogLimiter,
}

impl Watchers {
    /// The buffer sizes of one connection.
    pub fn bounds(limits: Limits) -> Bounds {
        Bounds { input: MAX_WATCHER_BODY_BYTES + FRAME_HEADER_BYTES, output: limits.connection_output_bytes }
    }

    /// Serves the connections accepted by this listener.
    pub fn new(listener: SocketId, limits: Limits) -> Self {
        Self {
            listener,
            limits,
            connections: BTreeMap::new(),
            buffered_bytes: 0,
            log_limiter: LogLimiter::default(),
        }
    }

    /// Whether this connection is a watcher's or tool's.
    pub fn contains(&self, id: SocketId) -> bool {
        self.connections.contains_key(&id)
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Takes over a connection accepted by the watchers' listener, and returns whether it did. Beyond the limits, the client
    /// is told to retry later and the connection is closed.
    pub fn on_accepted(
        &mut self, reactor: &mut Reactor, id: SocketId, listener: SocketId, now: Duration,
        events: &mut Vec<WatcherEvent>,
    ) -> bool {
        if listener != self.listener {
            return false;
        }
        if self.connections.len() >= self.limits.connections || self.buffered_bytes >= self.limits.total_bytes
        {
            counter!(telemetry::REFUSED_CONNECTIONS).increment(1);
            reactor.send(id, &[&encode(&ToWatcher::Busy { retry_after_ms: RETRY_AFTER_MS })]);
            reactor.close_after_flush(id);
            return true;
        }
        self.connections
            .insert(id, Connection { expires_at: now + FIRST_MESSAGE_TIMEOUT, buffered_bytes: 0 });
        events.push(WatcherEvent::Opened(id));
        true
    }

    /// Handles the messages received on a connection; an invalid frame closes it.
    pub fn on_readable(
        &mut self, reactor: &mut Reactor, id: SocketId, now: Duration, events: &mut Vec<WatcherEvent>,
    ) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            match decode::<ToRelay>(reactor.input(id), MAX_WATCHER_BODY_BYTES) {
                Ok(None) => break,
                Ok(Some((message, used))) => {
                    connection.expires_at = now + SILENCE_TIMEOUT;
                    reactor.consume(id, used);
                    telemetry::count_bytes(STREAM_LABEL, "in", used);
                    events.push(WatcherEvent::Message(id, Box::new(message)));
                }
                Err(fault) => {
                    telemetry::count_refused_frame(STREAM_LABEL, frame_fault_label(&fault));
                    if let Some(suppressed) = self.log_limiter.allows(now, frame_fault_label(&fault)) {
                        tracing::warn!(
                            line = id,
                            suppressed,
                            "frame from a watcher refused; closing the connection: {fault}"
                        );
                    }
                    return self.close(reactor, id, events);
                }
            }
        }
        self.update_buffered(reactor, id, events);
    }

    /// Recounts the bytes buffered for a connection, and closes it if the total exceeds the limit.
    fn update_buffered(&mut self, reactor: &mut Reactor, id: SocketId, events: &mut Vec<WatcherEvent>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let buffered_bytes = reactor.input(id).len() + reactor.unwritten_bytes(id);
        self.buffered_bytes = self.buffered_bytes - connection.buffered_bytes + buffered_bytes;
        connection.buffered_bytes = buffered_bytes;
        if self.buffered_bytes > self.limits.total_bytes {
            telemetry::count_closed_connection("memory");
            self.close(reactor, id, events);
        }
    }

    /// Sends a message. If it does not fit into the output buffer, the watcher reads too slowly and its connection is closed:
    /// it reconnects, to this relay or another, and gets the missing state in one transfer.
    pub fn send(
        &mut self, reactor: &mut Reactor, id: SocketId, message: &ToWatcher, events: &mut Vec<WatcherEvent>,
    ) {
        if !self.contains(id) {
            return telemetry::count_dropped_message(STREAM_LABEL);
        }
        let bytes = encode(message);
        if reactor.send(id, &[&bytes]) {
            telemetry::count_bytes(STREAM_LABEL, "out", bytes.len());
            return self.update_buffered(reactor, id, events);
        }
        telemetry::count_dropped_message(STREAM_LABEL);
        telemetry::count_closed_connection("slow");
        self.close(reactor, id, events);
    }

    /// Closes a connection on behalf of the control machine, after the buffered output is written.
    pub fn finish(&mut self, reactor: &mut Reactor, id: SocketId, reason: CloseReason, now: Duration) {
        if self.remove(id) {
            telemetry::count_closed_connection(close_label(reason));
            if let Some(suppressed) = self.log_limiter.allows(now, close_label(reason)) {
                tracing::info!(line = id, suppressed, "closing a watcher's connection: {reason}");
            }
            reactor.close_after_flush(id);
        }
    }

    /// A connection has closed.
    pub fn on_closed(&mut self, id: SocketId, events: &mut Vec<WatcherEvent>) {
        if self.remove(id) {
            events.push(WatcherEvent::Closed(id));
        }
    }

    fn close(&mut self, reactor: &mut Reactor, id: SocketId, events: &mut Vec<WatcherEvent>) {
        reactor.close(id);
        self.on_closed(id, events);
    }

    fn remove(&mut self, id: SocketId) -> bool {
        let Some(connection) = self.connections.remove(&id) else { return false };
        self.buffered_bytes -= connection.buffered_bytes;
        true
    }

    /// Closes silent connections and recounts the buffered bytes. To be called about once a second.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration, events: &mut Vec<WatcherEvent>) {
        let silent: Vec<SocketId> = self
            .connections
            .iter()
            .filter(|(_, connection)| now >= connection.expires_at)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            telemetry::count_closed_connection("silent");
            self.close(reactor, id, events);
        }
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            self.update_buffered(reactor, id, events);
        }
    }
}

/// The label of a close reason in metrics.
fn close_label(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::Full(_) => "full",
        CloseReason::Queue(_) => "queue",
        CloseReason::Replaced => "replaced",
        CloseReason::Silent => "unacknowledged",
        CloseReason::Flood => "flood",
        CloseReason::Protocol => "protocol",
    }
}
