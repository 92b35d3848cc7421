//! Changes of the list of streamers. A new streamer may have the address of one that has gone, and the list tells
//! that late: what was sent to the address in between went to the new one.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::{Reactor, SocketId};

use super::{PoolEvent, StreamerPool, StreamerState};

impl StreamerState {
    /// A listed streamer without connections.
    fn new(address: SocketAddrV4, now: Duration) -> Self {
        Self {
            address,
            listed: true,
            started_at: Duration::ZERO,
            connection_ids: Vec::new(),
            last_received_at: now,
            input_lost_at: None,
            disconnected_at: None,
            unreachable: None,
            queued_messages: VecDeque::new(),
        }
    }
}

impl StreamerPool {
    /// Adds a listed streamer at this address, which was started at `started_at` (zero if long ago). Connections to
    /// a previous address are closed.
    pub fn streamer_listed(
        &mut self, streamer: StreamerId, address: SocketAddrV4, started_at: Duration, now: Duration,
        reactor: &mut Reactor,
    ) {
        let unchanged = self.streamers.get(&streamer).is_some_and(|state| state.address == address);
        if !unchanged {
            self.close_all(streamer, now, reactor);
            self.streamers.insert(streamer, StreamerState::new(address, now));
        }
        self.streamers.entry(streamer).and_modify(|state| {
            state.listed = true;
            state.started_at = started_at;
        });
        // A removed streamer at the same address cannot be reached any more.
        for removed in self.others_at(address, streamer, false) {
            self.replace(removed, streamer, now, reactor);
        }
    }

    /// Marks a streamer as removed from the list.
    pub fn streamer_removed(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        state.listed = false;
        // Check at once whether it still runs.
        state.last_received_at = state.last_received_at.min(now.saturating_sub(self.max_silence));
        let address = state.address;
        if let Some(by) = self.others_at(address, streamer, true).first() {
            self.replace(streamer, *by, now, reactor);
        }
    }

    /// The other streamers at an address that are listed, or are not.
    fn others_at(&self, address: SocketAddrV4, streamer: StreamerId, listed: bool) -> Vec<StreamerId> {
        let others = self.streamers.iter();
        let others = others
            .filter(|(id, state)| **id != streamer && state.address == address && state.listed == listed);
        others.map(|(id, _)| *id).collect()
    }

    /// Handles a streamer whose address another one has. Connections that lead to the other one go on as its own.
    fn replace(&mut self, streamer: StreamerId, by: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(successor) = self.streamers.get(&by) else { return };
        let known_start = Some(successor.started_at).filter(|started_at| !started_at.is_zero());
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        let since = known_start.or(state.disconnected_at).unwrap_or(Duration::MAX);
        let mut messages = std::mem::take(&mut state.queued_messages);
        messages.retain(|message| message.is_since(since));
        for connection_id in state.connection_ids.clone() {
            self.hand_to_successor(connection_id, by, since);
        }
        self.forget(streamer, now, reactor);
        self.streamers.entry(by).and_modify(|state| state.queued_messages.append(&mut messages));
        self.events.push(PoolEvent::StreamerReplaced { streamer, by, since });
    }

    /// Makes a connection that was started since then one to the streamer that now has the address.
    fn hand_to_successor(&mut self, connection_id: SocketId, by: StreamerId, since: Duration) {
        let connection = self.connections.get(&connection_id);
        if connection.is_none_or(|connection| connection.started_at < since) {
            return;
        }
        let Some(mut connection) = self.remove(connection_id) else { return };
        connection.streamer = by;
        self.connections.insert(connection_id, connection);
        self.streamers.entry(by).and_modify(|state| state.connection_ids.push(connection_id));
    }
}
