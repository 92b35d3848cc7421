//! Streams of controllers and of operators' tools.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_distribution::control::{CloseReason, ConnectionId};
use badgerledge_distribution::message::{decode, encode, ToRelay, ToWatcher, MAX_WATCHER_BODY_BYTES};
use badgerledge_reactor::{Bounds, Line, Reactor};
use metrics::counter;

use crate::envelope::frame_fault_label;
use crate::telemetry::{self, LineLimit};

/// The name of these streams in metrics.
const KIND: &str = "watcher";
/// One that has said nothing whole for so long after it connected is closed.
pub const FIRST_MESSAGE_WITHIN: Duration = Duration::from_secs(5);
/// One that has said nothing for so long since is gone: a watcher asks for a lease every few seconds.
const SILENT_AFTER: Duration = Duration::from_secs(60);
/// How long one that is turned away should wait.
const RETRY_AFTER_MS: u32 = 2000;
/// A frame's length and mark.
const HEADER: usize = 7;

/// What comes of these streams.
#[derive(Debug)]
pub enum WatcherEvent {
    Opened(ConnectionId),
    Message(ConnectionId, Box<ToRelay>),
    Closed(ConnectionId),
}

/// How much these streams may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub connections: usize,
    /// Bytes that wait for one at most.
    pub output: usize,
    /// Bytes that wait for or came from all at most.
    pub all: usize,
}

struct Connection {
    /// Closed if nothing came by then.
    until: Duration,
    /// Bytes held for it, when they were last looked at.
    held: usize,
}

/// All connections of controllers and tools. The number of a connection is that of its line, which is never used twice.
pub struct Watchers {
    listener: Line,
    limits: Limits,
    connections: BTreeMap<Line, Connection>,
    held: usize,
    lines: LineLimit,
}

impl Watchers {
    /// The bounds of one connection.
    pub fn bounds(limits: Limits) -> Bounds {
        Bounds { input: MAX_WATCHER_BODY_BYTES + HEADER, output: limits.output }
    }

    pub fn new(listener: Line, limits: Limits) -> Self {
        Self { listener, limits, connections: BTreeMap::new(), held: 0, lines: LineLimit::default() }
    }

    pub fn is(&self, line: Line) -> bool {
        self.connections.contains_key(&line)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Takes a connection that came in, if it is one of these. One too many is told to come later.
    pub fn accepts(
        &mut self, reactor: &mut Reactor, line: Line, listener: Line, now: Duration,
        events: &mut Vec<WatcherEvent>,
    ) -> bool {
        if listener != self.listener {
            return false;
        }
        if self.connections.len() >= self.limits.connections || self.held >= self.limits.all {
            counter!(telemetry::BUSY).increment(1);
            reactor.send(line, &[&encode(&ToWatcher::Busy { retry_after_ms: RETRY_AFTER_MS })]);
            reactor.finish(line);
            return true;
        }
        self.connections.insert(line, Connection { until: now + FIRST_MESSAGE_WITHIN, held: 0 });
        events.push(WatcherEvent::Opened(line));
        true
    }

    /// Takes what came in on a connection.
    pub fn readable(
        &mut self, reactor: &mut Reactor, line: Line, now: Duration, events: &mut Vec<WatcherEvent>,
    ) {
        loop {
            let Some(connection) = self.connections.get_mut(&line) else { return };
            match decode::<ToRelay>(reactor.input(line), MAX_WATCHER_BODY_BYTES) {
                Ok(None) => break,
                Ok(Some((message, used))) => {
                    connection.until = now + SILENT_AFTER;
                    reactor.consume(line, used);
                    telemetry::count_bytes(KIND, "in", used);
                    events.push(WatcherEvent::Message(line, Box::new(message)));
                }
                Err(fault) => {
                    telemetry::count_refused(KIND, frame_fault_label(&fault));
                    if let Some(suppressed) = self.lines.allows(now, frame_fault_label(&fault)) {
                        tracing::warn!(line, suppressed, "refused on a watcher's stream: {fault}");
                    }
                    return self.close(reactor, line, events);
                }
            }
        }
        self.account(reactor, line, events);
    }

    /// Counts what is held for a connection anew. Over the bound of all it is closed.
    fn account(&mut self, reactor: &mut Reactor, line: Line, events: &mut Vec<WatcherEvent>) {
        let Some(connection) = self.connections.get_mut(&line) else { return };
        let held = reactor.input(line).len() + reactor.unwritten(line);
        self.held = self.held - connection.held + held;
        connection.held = held;
        if self.held > self.limits.all {
            telemetry::count_closed("memory");
            self.close(reactor, line, events);
        }
    }

    /// Sends a message. A watcher that reads so slowly that it does not fit is closed: it comes again, here or elsewhere, and
    /// gets what it lacks in one piece.
    pub fn send(
        &mut self, reactor: &mut Reactor, line: Line, message: &ToWatcher, events: &mut Vec<WatcherEvent>,
    ) {
        if !self.is(line) {
            return telemetry::count_dropped(KIND);
        }
        let bytes = encode(message);
        if reactor.send(line, &[&bytes]) {
            telemetry::count_bytes(KIND, "out", bytes.len());
            return self.account(reactor, line, events);
        }
        telemetry::count_dropped(KIND);
        telemetry::count_closed("slow");
        self.close(reactor, line, events);
    }

    /// Ends a connection for the control machine, once what was sent on it is written.
    pub fn finish(&mut self, reactor: &mut Reactor, line: Line, reason: CloseReason, now: Duration) {
        if self.remove(line) {
            telemetry::count_closed(close_label(reason));
            if let Some(suppressed) = self.lines.allows(now, close_label(reason)) {
                tracing::info!(line, suppressed, "a watcher's connection is closed: {reason}");
            }
            reactor.finish(line);
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, line: Line, events: &mut Vec<WatcherEvent>) {
        if self.remove(line) {
            events.push(WatcherEvent::Closed(line));
        }
    }

    fn close(&mut self, reactor: &mut Reactor, line: Line, events: &mut Vec<WatcherEvent>) {
        reactor.close(line);
        self.closed(line, events);
    }

    fn remove(&mut self, line: Line) -> bool {
        let Some(connection) = self.connections.remove(&line) else { return false };
        self.held -= connection.held;
        true
    }

    /// Closes those that are silent, and counts anew what is held. To be called about once a second.
    pub fn sweep(&mut self, reactor: &mut Reactor, now: Duration, events: &mut Vec<WatcherEvent>) {
        let silent: Vec<Line> =
            self.connections.iter().filter(|(_, it)| now >= it.until).map(|(line, _)| *line).collect();
        for line in silent {
            telemetry::count_closed("silent");
            self.close(reactor, line, events);
        }
        for line in self.connections.keys().copied().collect::<Vec<_>>() {
            self.account(reactor, line, events);
        }
    }
}

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
