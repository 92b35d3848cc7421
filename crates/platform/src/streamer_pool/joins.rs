//! Joins on connections to streamers: on which one each goes, and how it is withdrawn. Joins of one session
//! share its id on the wire, so each connection remembers which sessions' joins ended on it.

use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Reactor, SocketId};

use super::{PoolEvent, StreamerConnection, StreamerPool};
use crate::join_id::JoinId;
use crate::release_causes::NORMAL;

/// How long a connection remembers the joins that ended on it: second copies of refusals come up to a second
/// later.
const ENDED_JOIN_MEMORY: Duration = Duration::from_secs(8);
impl StreamerPool {
    /// The connection for a join or a probe: an idle one, a new one, or at the limit the one with the fewest
    /// joins. A join takes none on which an earlier join of its session ended, since a second copy of that end
    /// could not be told from its own.
    pub(super) fn connection_for(
        &mut self, streamer: StreamerId, wire_id: Option<u64>, now: Duration, reactor: &mut Reactor,
    ) -> Option<SocketId> {
        let mut ids = self.streamers.get(&streamer)?.connection_ids.clone();
        ids.retain(|id| wire_id.is_none_or(|wire_id| !self.has_ended_join(*id, wire_id, now)));
        let usable = |connection: &&StreamerConnection| {
            connection.established
                && connection.is_idle()
                && now < connection.last_sent_at + self.idle_timeout
        };
        let with_state = |connection_id: &SocketId| {
            self.connections.get(connection_id).map(|connection| (*connection_id, connection))
        };
        let idle = ids.iter().filter_map(with_state).filter(|(_, connection)| usable(connection));
        if let Some((connection_id, _)) =
            idle.max_by_key(|(connection_id, connection)| (connection.last_sent_at, *connection_id))
        {
            return Some(connection_id);
        }
        if let Ok(connection_id) = self.connect(streamer, now, reactor) {
            return Some(connection_id);
        }
        let join_count = |connection: &StreamerConnection| {
            connection.outstanding_joins.len() + connection.queued_joins.len()
        };
        let shared = ids
            .iter()
            .filter_map(|connection_id| Some((*connection_id, self.connections.get(connection_id)?)));
        // A join that is queued behind unwritten bytes could not be withdrawn.
        let shared = shared.filter(|(connection_id, connection)| {
            let accepts_joins = connection.abandoned_at.is_none() && connection.shut_down_at.is_none();
            accepts_joins
                && join_count(connection) < self.max_joins_per_connection
                && flush_completely(*connection_id, reactor)
        });
        shared
            .min_by_key(|(connection_id, connection)| (join_count(connection), *connection_id))
            .map(|(connection_id, _)| connection_id)
    }

    /// Sends a join, or queues it until its connection is established.
    pub fn join(
        &mut self, join: JoinId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>, now: Duration,
        reactor: &mut Reactor,
    ) {
        let Some(connection_id) = self.connection_for(streamer, Some(wire_id), now, reactor) else {
            return self.events.push(PoolEvent::JoinEnded(join, Ending::ConnectFailed));
        };
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        if !connection.established {
            return connection.queued_joins.push((join, wire_id, offer));
        }
        connection.last_sent_at = now;
        if reactor.send(connection_id, &[&offer]) {
            connection.outstanding_joins.push((join, wire_id));
            self.drop_messages_on(streamer, wire_id);
        } else {
            self.events.push(PoolEvent::JoinEnded(join, Ending::Moot));
        }
    }

    /// Withdraws a join: its streamer is notified before anything else is sent to it for that session. If the
    /// end cannot be written at once, the caller must close the connection, which ends the join as well.
    pub fn withdraw_join(
        &mut self, join: JoinId, wire_id: u64, streamer: StreamerId, now: Duration, reactor: &mut Reactor,
    ) {
        let ids = self.streamers.get(&streamer).map_or_else(Vec::new, |state| state.connection_ids.clone());
        for connection_id in ids {
            let Some(connection) = self.connections.get_mut(&connection_id) else { continue };
            connection.queued_joins.retain(|(queued, ..)| *queued != join);
            let count = connection.outstanding_joins.len();
            connection.outstanding_joins.retain(|(outstanding, _)| *outstanding != join);
            if connection.outstanding_joins.len() == count {
                continue;
            }
            connection.record_ended_join(wire_id, now);
            connection.abandoned_at = Some(now);
            let sent = self.send_end_on(connection_id, wire_id, NORMAL, now, reactor);
            if !sent || !flush_completely(connection_id, reactor) {
                tracing::debug!(
                    target: "badgerledge_platform::pool",
                    %streamer,
                    line = connection_id,
                    wire_id = format_args!("{wire_id:016x}"),
                    "the end of a join cannot be written"
                );
                self.events.push(PoolEvent::EndNotWritten(connection_id));
            }
        }
    }

    /// The outstanding join of that session on a connection.
    pub fn outstanding_join(&self, connection_id: SocketId, wire_id: u64) -> Option<JoinId> {
        let joins = &self.connections.get(&connection_id)?.outstanding_joins;
        joins.iter().find(|(_, join_wire_id)| *join_wire_id == wire_id).map(|(join, _)| *join)
    }

    /// Removes an outstanding join that was answered.
    pub fn join_answered(&mut self, connection_id: SocketId, wire_id: u64) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.outstanding_joins.retain(|(_, join_wire_id)| *join_wire_id != wire_id);
        }
    }

    /// Removes an outstanding join that was refused.
    pub fn join_refused(&mut self, connection_id: SocketId, wire_id: u64, now: Duration) {
        self.join_answered(connection_id, wire_id);
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.record_ended_join(wire_id, now);
        }
    }

    /// Whether a join of that session lately ended on a connection without an answer.
    pub fn has_ended_join(&self, connection_id: SocketId, wire_id: u64, now: Duration) -> bool {
        let connection = self.connections.get(&connection_id);
        connection.is_some_and(|connection| {
            let mut ended = connection.ended_joins.iter();
            ended.any(|(ended_at, ended_id)| *ended_id == wire_id && now < *ended_at + ENDED_JOIN_MEMORY)
        })
    }
}

impl StreamerConnection {
    /// Remembers a join that ended on this connection without an answer.
    fn record_ended_join(&mut self, wire_id: u64, now: Duration) {
        let is_old = |(ended_at, _): &(Duration, u64)| *ended_at + ENDED_JOIN_MEMORY <= now;
        while self.ended_joins.front().is_some_and(is_old) {
            self.ended_joins.pop_front();
        }
        self.ended_joins.push_back((now, wire_id));
    }
}

/// Whether all output of a connection could be written.
fn flush_completely(connection_id: SocketId, reactor: &mut Reactor) -> bool {
    reactor.flush_connection(connection_id);
    reactor.unwritten_bytes(connection_id) == 0
}
