//! What the session table and the dispatcher need of the sockets.

use badgerledge_core::interface::{JobId, StreamerId};
use badgerledge_reactor::Line;

/// The sockets, as the session table sees them.
pub trait Wires {
    /// Gives a message to a viewer's connection, or tells that it takes none any more.
    fn answer(&mut self, line: Line, message: &[u8]) -> bool;
    /// The release of a subscription, on any viewers' connection where that one is gone, as soon as there is one.
    fn release(&mut self, line: Line, wire_id: u64, message: Vec<u8>);
    /// What came on this connection can only come from the front.
    fn trust(&mut self, line: Line);
    /// Begins a join, on a connection of its own where there is room.
    fn join(&mut self, job: JobId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>);
    /// Gives up the join that is out.
    fn withdraw(&mut self, job: JobId, wire_id: u64, streamer: StreamerId);
    /// Gives a message to a streamer on any of its connections.
    fn say(&mut self, streamer: StreamerId, message: Vec<u8>);
    /// Begins a probe of a streamer.
    fn probe(&mut self, streamer: StreamerId);
    /// Closes a streamer's connections that carry nothing.
    fn drop_idle(&mut self, streamer: StreamerId);
    /// Sends the module's message to one peer, or to all.
    fn signal(&mut self, peer: Option<u16>, bytes: &[u8]);
}
