//! The events that a wait reports for the sockets, timers and signals of the loop.

use std::net::SocketAddr;

/// Id of a socket of the loop: a connection, a listener or a datagram socket. Ids are never reused, so a late
/// call with the id of a closed socket cannot affect another.
pub type Line = u64;

/// Why a connection ended. The names of the variants are written to logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
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
pub enum Happening {
    /// A listener accepted a connection.
    Accepted { line: Line, listener: Line, from: SocketAddr },
    /// A connection attempt succeeded.
    Opened(Line),
    /// A connection's input has new bytes.
    Readable(Line),
    /// A connection whose output was full has half of it free again.
    Drained(Line),
    /// A connection has ended; its input can still be read until [`close`](crate::Reactor::close) or the next
    /// wait.
    Closed(Line, Closing),
    /// A datagram was received.
    Datagram { line: Line, from: SocketAddr, bytes: Vec<u8> },
    /// A timer set with [`set_timer`](crate::Reactor::set_timer) is due; its token.
    Due(u64),
    /// A signal was delivered.
    Signal(i32),
}
