//! Pool of connections to streamers. A malformed answer fails all set-ups that are outstanding on its
//! connection, so each join has its own connection while descriptors last, and a connection on which a join
//! was abandoned is not used again. At least one connection to each streamer with playing sessions is kept,
//! for progress reports and releases.

mod joins;
mod listing;
mod liveness;
mod messages;
mod sweep;

use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Bounds, Reactor, SocketId};
use badgerledge_signalling::{streamers, MAX_MESSAGE_BYTES};
pub use liveness::LossReason;
use liveness::Unreachable;
use messages::SessionMessage;

use crate::join_id::JoinId;

/// Room for the longest message, and for the messages of one round.
const BOUNDS: Bounds = Bounds { input: MAX_MESSAGE_BYTES + 1, output: 8 * MAX_MESSAGE_BYTES };
/// Fraction of the idle time in the settings after which a connection takes no join and is closed: a streamer
/// that closes it at that very time would reset the join.
const IDLE_FRACTION: f64 = 0.7;

/// What became of joins, probes and streamers as connections closed or failed.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    JoinEnded(JoinId, Ending),
    ProbeFinished(StreamerId, Ending, Duration),
    /// The sessions at this streamer are over, for this reason.
    StreamerLost(StreamerId, LossReason),
    /// Another streamer has the address of this one, which is over. What was sent to that address from this time on
    /// went to the other one.
    StreamerReplaced {
        streamer: StreamerId,
        by: StreamerId,
        since: Duration,
    },
    /// Input was read on a connection outside of the event loop's wait.
    Readable(SocketId),
    /// The end of a withdrawn join could not be written on a connection: it must be closed once its input is
    /// handled.
    EndNotWritten(SocketId),
}

/// Why no connection attempt could be started.
enum ConnectError {
    NoRoom,
    /// Refused at once: no process listens there.
    Refused,
}

/// State of a connection to a streamer.
struct StreamerConnection {
    streamer: StreamerId,
    established: bool,
    started_at: Duration,
    /// When something was last sent on it.
    last_sent_at: Duration,
    /// When something was last received on it.
    last_received_at: Duration,
    /// Joins that wait for it to be established, with their offers; and outstanding joins.
    queued_joins: Vec<(JoinId, u64, Vec<u8>)>,
    outstanding_joins: Vec<(JoinId, u64)>,
    /// When joins on it ended without an answer, with their sessions' ids; oldest first.
    ended_joins: VecDeque<(Duration, u64)>,
    /// When a join on it was abandoned: it takes no more joins.
    abandoned_at: Option<Duration>,
    /// Shut down for writing; it closes once the streamer has closed it too.
    shut_down_at: Option<Duration>,
    /// Outstanding probes, with when they were sent.
    outstanding_probes: Vec<(u64, Duration)>,
    /// Messages on sessions that were recently sent on it.
    recently_sent: VecDeque<SessionMessage>,
}

/// What the pool knows of a streamer.
struct StreamerState {
    address: SocketAddrV4,
    listed: bool,
    /// When the list says that it was started; zero if long ago.
    started_at: Duration,
    connection_ids: Vec<SocketId>,
    last_received_at: Duration,
    /// When a connection was last lost with what the streamer may have written on it, until one that was started
    /// later is established: the streamer repeats its releases on that.
    input_lost_at: Option<Duration>,
    /// When its last connection was lost: its process may have ended then.
    disconnected_at: Option<Duration>,
    /// The connection attempts that have failed since then, if it is not reached at present.
    unreachable: Option<Unreachable>,
    /// Messages that wait for a connection; oldest first.
    queued_messages: VecDeque<SessionMessage>,
}

/// The connections to all streamers.
pub struct StreamerPool {
    streamers: BTreeMap<StreamerId, StreamerState>,
    connections: BTreeMap<SocketId, StreamerConnection>,
    /// Events for the session table, to be taken by the caller.
    pub events: Vec<PoolEvent>,
    max_connections: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
    max_joins_per_connection: usize,
    /// How long a streamer with playing sessions may be silent before it is checked.
    max_silence: Duration,
    last_probe_id: u64,
}

impl StreamerPool {
    /// Creates an empty pool; `seed` is the first probe id.
    pub fn new(
        max_connections: usize, connect_timeout: Duration, keepalive: Duration,
        max_joins_per_connection: usize, progress_interval: Duration, seed: u64,
    ) -> Self {
        Self {
            streamers: BTreeMap::new(),
            connections: BTreeMap::new(),
            events: Vec::new(),
            max_connections,
            connect_timeout,
            idle_timeout: keepalive.mul_f64(IDLE_FRACTION),
            max_joins_per_connection,
            max_silence: liveness::max_silence(progress_interval, connect_timeout),
            last_probe_id: seed,
        }
    }

    /// Closes the connections to a streamer that is given up, and forgets what was known of it and waited for it.
    fn forget(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        self.close_all(streamer, now, reactor);
        self.streamers.entry(streamer).and_modify(|state| {
            (state.unreachable, state.last_received_at, state.input_lost_at) = (None, now, None);
            state.queued_messages.clear();
        });
    }

    fn close_all(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let ids = self.streamers.get(&streamer).map_or_else(Vec::new, |state| state.connection_ids.clone());
        for connection_id in ids {
            self.close_read(connection_id, Ending::Reset, now, reactor);
        }
    }

    /// The number of connections.
    #[cfg(test)]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The established connections.
    pub fn established(&self) -> impl Iterator<Item = SocketId> + '_ {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.established)
            .map(|(connection_id, _)| *connection_id)
    }

    /// Shuts down the established connections for writing on which nothing is left to be written; they close
    /// once their streamer has closed them too.
    pub fn shut_down_written(&mut self, now: Duration, reactor: &mut Reactor) {
        for (connection_id, connection) in &mut self.connections {
            let queued = self
                .streamers
                .get(&connection.streamer)
                .is_some_and(|state| !state.queued_messages.is_empty());
            let unwritten = reactor.unwritten_bytes(*connection_id) > 0;
            if connection.established && connection.shut_down_at.is_none() && !queued && !unwritten {
                connection.shut_down_at = Some(now);
                reactor.shut_down_write(*connection_id);
            }
        }
    }

    /// Whether a connection belongs to this pool.
    pub fn contains(&self, connection_id: SocketId) -> bool {
        self.connections.contains_key(&connection_id)
    }

    /// The streamer that a connection leads to.
    pub fn streamer(&self, connection_id: SocketId) -> Option<StreamerId> {
        self.connections.get(&connection_id).map(|connection| connection.streamer)
    }

    /// Starts a connection to a streamer.
    fn connect(
        &mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor,
    ) -> Result<SocketId, ConnectError> {
        if self.connections.len() >= self.max_connections && !self.close_longest_idle(reactor) {
            return Err(ConnectError::NoRoom);
        }
        let state = self.streamers.get_mut(&streamer).ok_or(ConnectError::NoRoom)?;
        let connection_id = reactor.connect(SocketAddr::V4(state.address), self.connect_timeout, BOUNDS);
        let connection_id = connection_id.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => ConnectError::Refused,
            _ => ConnectError::NoRoom,
        })?;
        state.connection_ids.push(connection_id);
        tracing::trace!(target: "badgerledge_platform::pool", %streamer, line = connection_id, "connects");
        self.connections.insert(
            connection_id,
            StreamerConnection {
                streamer,
                established: false,
                started_at: now,
                last_sent_at: now,
                last_received_at: now,
                queued_joins: Vec::new(),
                outstanding_joins: Vec::new(),
                ended_joins: VecDeque::new(),
                abandoned_at: None,
                shut_down_at: None,
                outstanding_probes: Vec::new(),
                recently_sent: VecDeque::new(),
            },
        );
        Ok(connection_id)
    }

    /// Closes the least recently used idle connection to make room for another. One on which input has just
    /// arrived is kept for now, so that the input is handled first.
    fn close_longest_idle(&mut self, reactor: &mut Reactor) -> bool {
        let idle =
            self.connections.iter().filter(|(_, connection)| connection.established && connection.is_idle());
        let mut idle: Vec<_> =
            idle.map(|(connection_id, connection)| (connection.last_sent_at, *connection_id)).collect();
        idle.sort_unstable();
        idle.into_iter().any(|(_, connection_id)| self.close_unless_readable(connection_id, reactor))
    }

    /// Closes an idle connection, unless input has just arrived on it that is not handled yet.
    fn close_unless_readable(&mut self, connection_id: SocketId, reactor: &mut Reactor) -> bool {
        if reactor.read_available(connection_id) {
            self.events.push(PoolEvent::Readable(connection_id));
            return false;
        }
        self.remove(connection_id);
        reactor.close(connection_id);
        true
    }

    /// Removes a connection from the pool, without closing it.
    fn remove(&mut self, connection_id: SocketId) -> Option<StreamerConnection> {
        let connection = self.connections.remove(&connection_id)?;
        if let Some(state) = self.streamers.get_mut(&connection.streamer) {
            state.connection_ids.retain(|id| *id != connection_id);
        }
        Some(connection)
    }

    /// Whether a connection is open for both sides: its streamer sends what concerns its sessions on it.
    pub fn is_open(&self, connection_id: SocketId) -> bool {
        let connection = self.connections.get(&connection_id);
        connection.is_some_and(|connection| connection.established && connection.shut_down_at.is_none())
    }

    /// Sends a probe, or queues it until its connection is established.
    pub fn probe(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(connection_id) = self.connection_for(streamer, None, now, reactor) else {
            return self.events.push(PoolEvent::ProbeFinished(
                streamer,
                Ending::ConnectFailed,
                Duration::ZERO,
            ));
        };
        self.test_connection(connection_id, now, reactor);
    }

    /// Asks a streamer for an answer on this connection, as soon as that is established.
    fn test_connection(&mut self, connection_id: SocketId, now: Duration, reactor: &mut Reactor) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        self.last_probe_id = self.last_probe_id.wrapping_add(1);
        let probe_id = self.last_probe_id;
        connection.outstanding_probes.push((probe_id, now));
        if connection.established {
            connection.last_sent_at = now;
            reactor.send(connection_id, &[&streamers::test(probe_id)]);
        }
    }

    /// Removes an answered probe, and returns when it was sent.
    pub fn take_probe(&mut self, connection_id: SocketId, probe_id: u64) -> Option<Duration> {
        let probes = &mut self.connections.get_mut(&connection_id)?.outstanding_probes;
        let index = probes.iter().position(|(id, _)| *id == probe_id)?;
        Some(probes.remove(index).1)
    }

    /// Closes the idle connections to a streamer.
    pub fn close_idle(&mut self, streamer: StreamerId, reactor: &mut Reactor) {
        for connection_id in
            self.streamers.get(&streamer).map_or_else(Vec::new, |state| state.connection_ids.clone())
        {
            if self
                .connections
                .get(&connection_id)
                .is_some_and(|connection| connection.established && connection.is_idle())
            {
                self.close_unless_readable(connection_id, reactor);
            }
        }
    }

    /// Handles an established connection: sends what waited for it. A join to a streamer that accepts none
    /// any more is not sent.
    pub fn connection_established(
        &mut self, connection_id: SocketId, accepts_joins: bool, now: Duration, reactor: &mut Reactor,
    ) {
        self.record_received(connection_id, now);
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        (connection.established, connection.last_sent_at) = (true, now);
        let (streamer, started_at) = (connection.streamer, connection.started_at);
        if let Some(state) = self.streamers.get_mut(&streamer) {
            state.input_lost_at.take_if(|lost_at| started_at >= *lost_at);
        }
        self.send_queued(streamer, now, reactor);
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        for (probe_id, _) in &connection.outstanding_probes {
            reactor.send(connection_id, &[&streamers::test(*probe_id)]);
        }
        for (join, wire_id, offer) in std::mem::take(&mut connection.queued_joins) {
            let Some(connection) = self.connections.get_mut(&connection_id) else { return };
            if accepts_joins && reactor.send(connection_id, &[&offer]) {
                connection.outstanding_joins.push((join, wire_id));
                self.drop_messages_on(streamer, wire_id);
            } else {
                self.events.push(PoolEvent::JoinEnded(join, Ending::Moot));
            }
        }
    }

    /// Records that input was received on a connection.
    pub fn record_received(&mut self, connection_id: SocketId, now: Duration) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        connection.last_received_at = now;
        if let Some(state) = self.streamers.get_mut(&connection.streamer) {
            (state.last_received_at, state.unreachable) = (now, None);
        }
    }

    /// Handles a connection that closed by itself: in order, if its streamer ended it behind a whole message.
    pub fn connection_closed(
        &mut self, connection_id: SocketId, in_order: bool, now: Duration, has_sessions: bool,
        reactor: &mut Reactor,
    ) {
        let Some(connection) = self.connections.get(&connection_id) else { return };
        let (streamer, established, retired, timed_out) = (
            connection.streamer,
            connection.established,
            connection.shut_down_at.is_some(),
            now >= connection.started_at + self.connect_timeout,
        );
        let ending = if established { Ending::Reset } else { Ending::ConnectFailed };
        match in_order || !established {
            true => self.close_read(connection_id, ending, now, reactor),
            false => self.close(connection_id, ending, now, reactor),
        }
        if established && !retired {
            self.record_disconnected(streamer, now);
        }
        if !established {
            self.connect_failed(streamer, timed_out, has_sessions, now, reactor);
        }
    }

    /// Closes a connection on which its streamer may have written more than was read.
    pub fn close(&mut self, connection_id: SocketId, ending: Ending, now: Duration, reactor: &mut Reactor) {
        let streamer = self.streamer(connection_id);
        if let Some(state) = streamer.and_then(|streamer| self.streamers.get_mut(&streamer)) {
            state.input_lost_at = Some(now);
        }
        self.close_read(connection_id, ending, now, reactor);
        streamer.into_iter().for_each(|streamer| self.record_disconnected(streamer, now));
    }

    /// Records that a streamer has closed the last connection to it, or that this was lost.
    fn record_disconnected(&mut self, streamer: StreamerId, now: Duration) {
        if self.open_connections(streamer).is_empty() {
            self.streamers.entry(streamer).and_modify(|state| state.disconnected_at = Some(now));
        }
    }

    /// Closes a connection of which everything was read; its outstanding joins and probes end with this ending.
    fn close_read(&mut self, connection_id: SocketId, ending: Ending, now: Duration, reactor: &mut Reactor) {
        let Some(mut connection) = self.remove(connection_id) else { return };
        reactor.close(connection_id);
        self.requeue_unread(&mut connection, now);
        tracing::trace!(
            target: "badgerledge_platform::pool",
            streamer = %connection.streamer,
            line = connection_id,
            ?ending,
            retired = connection.shut_down_at.is_some(),
            "closed"
        );
        let unsent_ending = if ending == Ending::ConnectFailed { ending } else { Ending::Moot };
        let queued =
            connection.queued_joins.iter().map(|(join, ..)| PoolEvent::JoinEnded(*join, unsent_ending));
        let joins = connection.outstanding_joins.iter().map(|(join, _)| PoolEvent::JoinEnded(*join, ending));
        let probe_finished = |sent_at: Duration| {
            PoolEvent::ProbeFinished(connection.streamer, ending, now.saturating_sub(sent_at))
        };
        let probes = connection.outstanding_probes.iter().map(|(_, sent_at)| probe_finished(*sent_at));
        self.events.extend(queued.chain(joins).chain(probes));
    }
}

impl StreamerConnection {
    fn has_no_requests(&self) -> bool {
        self.outstanding_joins.is_empty()
            && self.queued_joins.is_empty()
            && self.outstanding_probes.is_empty()
    }

    fn is_idle(&self) -> bool {
        self.has_no_requests() && self.abandoned_at.is_none() && self.shut_down_at.is_none()
    }
}
