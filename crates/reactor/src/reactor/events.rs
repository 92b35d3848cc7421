//! The events that a wait reports for the sockets, timers and signals of the loop.

use std::net::SocketAddr;

/// Id of a socket of the loop: a connection, a listener or a datagram socket. Ids are never reused, so a late
/// call with the id of a closed socket cannot affect another.
pub type SocketId = u64;

/// Why a connection ended. The names of the variants are written to logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was never established: refused, unreachable, or timed out.
    NotMade,
    /// The peer closed it.
    ByPeer,
    /// It failed with an I/O error.
    Broken,
    /// It was closed after its output was written.
    Finished,
}

/// An event reported by a wait.
#[derive(Debug)]
pub enum ReactorEvent {
    /// A listener accepted a connection.
    Accepted { connection: SocketId, listener: SocketId, from: SocketAddr },
    /// A connection attempt succeeded.
    Opened(SocketId),
    /// A connection's input has new bytes.
    Readable(SocketId),
    /// A connection whose output was full has half of it free again.
    Drained(SocketId),
    /// A connection has ended; its input can still be read until [`close`](crate::Reactor::close) or the next
    /// wait.
    Closed(SocketId, CloseReason),
    /// A datagram was received.
    Datagram { socket: SocketId, from: SocketAddr, bytes: Vec<u8> },
    /// A timer set with [`set_timer`](crate::Reactor::set_timer) is due; its token.
    Timer(u64),
    /// A signal was delivered.
    Signal(i32),
}
