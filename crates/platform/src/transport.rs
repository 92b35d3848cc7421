//! The operations on sockets that the session table and the dispatcher need.

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::SocketId;
use badgerledge_signalling::streamers;

use crate::join_id::JoinId;
use crate::release_causes::NORMAL;

/// The sockets, as the session table sees them.
pub trait Transport {
    /// Sends a message on a viewer's connection. Returns false if the connection accepts no more output.
    fn answer(&mut self, connection: SocketId, message: &[u8]) -> bool;
    /// Sends the release of a session on its viewer's connection. Uses another connection of viewers if that
    /// one is closed, and queues the release while there is none.
    fn release(&mut self, connection: SocketId, wire_id: u64, message: Vec<u8>);
    /// Marks a connection as one on which viewers send set-ups, as opposed to one of a health checker.
    fn mark_viewers(&mut self, connection: SocketId);
    /// Marks a connection as one that sessions were handed over on, which may be false.
    fn mark_claiming(&mut self, connection: SocketId);
    /// Marks a connection as one that has served viewers: a set-up on it was accepted, or a streamer has
    /// confirmed a session that was handed over on it.
    fn mark_serving(&mut self, connection: SocketId);
    /// Whether a connection is open and has served viewers.
    fn is_serving(&self, connection: SocketId) -> bool;
    /// Starts a join, on a connection of its own where one is available.
    fn join(&mut self, join: JoinId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>);
    /// Withdraws an outstanding join.
    fn withdraw_join(&mut self, join: JoinId, wire_id: u64, streamer: StreamerId);
    /// Sends a message on a session to a streamer, on any of its connections.
    fn send(&mut self, streamer: StreamerId, wire_id: u64, message: Vec<u8>);
    /// Ends a session at its streamer.
    fn end(&mut self, streamer: StreamerId, wire_id: u64) {
        self.send(streamer, wire_id, streamers::end(wire_id, NORMAL));
    }
    /// Ends a session at a streamer that was given up, as soon as it is reached again.
    fn end_at_lost_streamer(&mut self, streamer: StreamerId, wire_id: u64);
    /// Sends a probe to a streamer.
    fn probe(&mut self, streamer: StreamerId);
    /// Closes the idle connections to a streamer.
    fn close_idle(&mut self, streamer: StreamerId);
    /// Sends a message of the decision module to one other controller, or to all.
    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]);
}
