//! Implements [`Transport`] with the connections of the event loop.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::{Reactor, SocketId};
use badgerledge_signalling::viewers;

use crate::configuration::Configuration;
use crate::join_id::JoinId;
use crate::streamer_pool::StreamerPool;
use crate::transport::Transport;
use crate::viewer_pool::ViewerPool;

/// Upper bound for a datagram between controllers.
const MAX_DATAGRAM_BYTES: usize = 256;

/// All sockets of the process, and the time of the current wait.
pub struct Connections {
    pub reactor: Reactor,
    pub now: Duration,
    pub viewer_pool: ViewerPool,
    pub streamer_pool: StreamerPool,
    pub configuration: Configuration,
    /// The datagram socket to the other controllers.
    pub peer_socket: Option<SocketId>,
}

impl Connections {
    /// Ends a session on a streamer's connection.
    pub fn end_on(&mut self, connection: SocketId, wire_id: u64, cause: u8) {
        self.streamer_pool.send_end_on(connection, wire_id, cause, self.now, &mut self.reactor);
    }
}

impl Transport for Connections {
    fn answer(&mut self, connection: SocketId, message: &[u8]) -> bool {
        let accepted = self.viewer_pool.answer(connection, message, &mut self.reactor);
        self.viewer_pool.record_answer(connection, viewers::session(message), self.now);
        accepted
    }

    fn release(&mut self, connection: SocketId, wire_id: u64, message: Vec<u8>) {
        self.viewer_pool.release(connection, wire_id, message, self.now, &mut self.reactor);
    }

    fn mark_viewers(&mut self, connection: SocketId) {
        self.viewer_pool.mark_viewers(connection, self.now, &mut self.reactor);
    }

    fn mark_claiming(&mut self, connection: SocketId) {
        self.viewer_pool.mark_claiming(connection, self.now, &mut self.reactor);
    }

    fn is_serving(&self, connection: SocketId) -> bool {
        self.viewer_pool.is_serving(connection)
    }

    fn mark_serving(&mut self, connection: SocketId) {
        self.viewer_pool.mark_serving(connection, self.now, &mut self.reactor);
    }

    fn join(&mut self, join: JoinId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>) {
        self.streamer_pool.join(join, wire_id, streamer, offer, self.now, &mut self.reactor);
    }

    fn withdraw_join(&mut self, join: JoinId, wire_id: u64, streamer: StreamerId) {
        self.streamer_pool.withdraw_join(join, wire_id, streamer, self.now, &mut self.reactor);
    }

    fn send(&mut self, streamer: StreamerId, wire_id: u64, message: Vec<u8>) {
        self.streamer_pool.send(streamer, wire_id, message, self.now, &mut self.reactor);
    }

    fn end_at_lost_streamer(&mut self, streamer: StreamerId, wire_id: u64) {
        self.streamer_pool.send_final_end(streamer, wire_id, self.now, &mut self.reactor);
    }

    fn probe(&mut self, streamer: StreamerId) {
        self.streamer_pool.probe(streamer, self.now, &mut self.reactor);
    }

    fn close_idle(&mut self, streamer: StreamerId) {
        self.streamer_pool.close_idle(streamer, &mut self.reactor);
    }

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        let address = match peer {
            Some(peer) => self.configuration.peers.get(usize::from(peer)).copied(),
            None => self.configuration.peers_broadcast,
        };
        let (Some(connection), Some(address)) = (self.peer_socket, address) else { return };
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            self.reactor.send_to(connection, SocketAddr::V4(address), bytes);
        }
    }
}
