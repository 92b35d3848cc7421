//! Messages to streamers on sessions: their ends and their rungs. A session belongs to no connection, so a message
//! goes on any one, waits while there is none, and goes again if its connection is lost before it was read.

use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::{Reactor, SocketId};
use badgerledge_signalling::{streamers, MAX_MESSAGE_BYTES};

use super::{ConnectError, StreamerConnection, StreamerPool, StreamerState};
use crate::release_causes::{FAILED, NORMAL};

/// A message is sent again if its connection closes within this time: more than a round trip and the time
/// that a streamer takes to read it.
const RESEND_WINDOW: Duration = Duration::from_secs(1);
/// How long a message waits for a connection: a session that still plays this long after its end is lost
/// anyway.
const QUEUED_MESSAGE_LIFETIME: Duration = Duration::from_secs(8);
/// How long the end of a session at a streamer that was given up waits for it to come back: as long as ended
/// sessions are remembered.
const FINAL_END_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum of bytes that wait for one streamer: over a thousand ends.
const MAX_QUEUED_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// A message on a session.
pub(super) struct SessionMessage {
    /// When it was queued or sent.
    at: Duration,
    wire_id: u64,
    bytes: Vec<u8>,
    kind: MessageKind,
}

/// Kinds of messages that are kept for different times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageKind {
    Ordinary,
    /// Ends a join whose answer may have been lost: needless if the streamer's process has ended.
    EndOfLostJoin,
    /// Ends a session at a streamer that was given up.
    FinalEnd,
}

impl SessionMessage {
    /// The end of a session.
    fn end(kind: MessageKind, at: Duration, wire_id: u64, cause: u8) -> Self {
        Self { at, wire_id, bytes: streamers::end(wire_id, cause), kind }
    }

    /// Whether it is still worth sending.
    fn is_current(&self, now: Duration) -> bool {
        let lifetime = match self.kind {
            MessageKind::FinalEnd => FINAL_END_LIFETIME,
            MessageKind::Ordinary | MessageKind::EndOfLostJoin => QUEUED_MESSAGE_LIFETIME,
        };
        now < self.at + lifetime
    }

    /// Whether it was queued at this time or later.
    pub(super) fn is_since(&self, time: Duration) -> bool {
        self.at >= time
    }

    /// Whether a connection is opened for it.
    fn needs_connection(&self, now: Duration) -> bool {
        now < self.at + QUEUED_MESSAGE_LIFETIME
    }
}

impl StreamerPool {
    /// Sends a message on a session on the connection that received input last, or as soon as there is a
    /// connection.
    pub fn send(
        &mut self, streamer: StreamerId, wire_id: u64, bytes: Vec<u8>, now: Duration, reactor: &mut Reactor,
    ) {
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        state.queue_message(SessionMessage { at: now, wire_id, bytes, kind: MessageKind::Ordinary }, now);
        self.send_queued(streamer, now, reactor);
    }

    /// Ends a session at a streamer that was given up, as soon as it is reached again.
    pub fn send_final_end(
        &mut self, streamer: StreamerId, wire_id: u64, now: Duration, reactor: &mut Reactor,
    ) {
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        state.queue_message(SessionMessage::end(MessageKind::FinalEnd, now, wire_id, FAILED), now);
        self.send_queued(streamer, now, reactor);
    }

    /// Sends the end of a session on this connection.
    pub fn send_end_on(
        &mut self, connection_id: SocketId, wire_id: u64, cause: u8, now: Duration, reactor: &mut Reactor,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return false };
        let end = SessionMessage::end(MessageKind::Ordinary, now, wire_id, cause);
        let accepted = reactor.send(connection_id, &[&end.bytes]);
        if accepted {
            connection.record_sent(end, now);
        }
        accepted
    }

    /// Sends the queued messages in order if a connection is established, and otherwise starts one.
    pub(super) fn send_queued(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        state.queued_messages.retain(|message| message.is_current(now));
        if state.queued_messages.is_empty() {
            return;
        }
        let open = |connection_id: &SocketId| {
            self.connections.get(connection_id).filter(|connection| connection.shut_down_at.is_none())
        };
        let ranked = |connection_id: &SocketId| {
            open(connection_id)
                .map(|connection| (connection.established, connection.last_received_at, *connection_id))
        };
        let best = state.connection_ids.iter().filter_map(ranked).max();
        let Some((true, _, connection_id)) = best else {
            if best.is_some() || !state.queued_messages.iter().any(|message| message.needs_connection(now)) {
                return;
            }
            // If none can be started now, the next sweep tries again.
            if let Err(ConnectError::Refused) = self.connect(streamer, now, reactor) {
                self.drop_ends_of_lost_joins(streamer);
            }
            return;
        };
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        while let Some(message) = state.queued_messages.front() {
            if !reactor.send(connection_id, &[&message.bytes]) {
                return;
            }
            if let Some(message) = state.queued_messages.pop_front() {
                connection.record_sent(message, now);
            }
        }
    }

    /// Queues the messages again that a streamer may not have read on a connection that has closed, and the ends
    /// of its joins: an answer to one may have been lost with it, and then its session plays for nobody.
    pub(super) fn requeue_unread(&mut self, connection: &mut StreamerConnection, now: Duration) {
        // Where both sides have closed the connection in order, all was read.
        if connection.shut_down_at.is_some() {
            return;
        }
        let Some(state) = self.streamers.get_mut(&connection.streamer) else { return };
        let recent = connection.recently_sent.drain(..);
        let unread = recent.filter(|message| now < message.at + RESEND_WINDOW);
        unread.rev().for_each(|message| state.queued_messages.push_front(message));
        for (_, wire_id) in &connection.outstanding_joins {
            state.queue_message(SessionMessage::end(MessageKind::EndOfLostJoin, now, *wire_id, NORMAL), now);
        }
    }

    /// Drops what would end an earlier join of a session, as the next one is sent to that streamer: the two could
    /// be read in either order.
    pub(super) fn drop_messages_on(&mut self, streamer: StreamerId, wire_id: u64) {
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        state.queued_messages.retain(|message| message.wire_id != wire_id);
        for connection_id in &state.connection_ids {
            if let Some(connection) = self.connections.get_mut(connection_id) {
                connection.recently_sent.retain(|message| message.wire_id != wire_id);
            }
        }
    }

    /// Drops the ends of joins at a streamer that no process listens for any more.
    pub(super) fn drop_ends_of_lost_joins(&mut self, streamer: StreamerId) {
        if let Some(state) = self.streamers.get_mut(&streamer) {
            state.queued_messages.retain(|message| message.kind != MessageKind::EndOfLostJoin);
        }
    }

    /// Whether bytes are not yet written, or messages wait for a connection.
    pub fn has_pending_output(&self, now: Duration, reactor: &Reactor) -> bool {
        let has_queued =
            |state: &StreamerState| state.queued_messages.iter().any(|message| message.needs_connection(now));
        self.streamers.values().any(has_queued)
            || self.connections.keys().any(|connection_id| reactor.unwritten_bytes(*connection_id) > 0)
    }
}

impl StreamerState {
    /// Queues a message, if there is room.
    fn queue_message(&mut self, message: SessionMessage, now: Duration) {
        self.queued_messages.retain(|message| message.is_current(now));
        let queued_bytes: usize = self.queued_messages.iter().map(|message| message.bytes.len()).sum();
        if queued_bytes < MAX_QUEUED_BYTES {
            self.queued_messages.push_back(message);
        }
    }
}

impl StreamerConnection {
    /// Remembers a message that was sent on this connection.
    fn record_sent(&mut self, mut message: SessionMessage, now: Duration) {
        self.recently_sent.retain(|message| now < message.at + RESEND_WINDOW);
        (message.at, self.last_sent_at) = (now, now);
        self.recently_sent.push_back(message);
    }
}
