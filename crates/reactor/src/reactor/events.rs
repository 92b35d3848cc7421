//! What a wait tells of the sockets, times and signals of the loop.

use std::net::SocketAddr;

/// A socket of the loop. Numbers are never used twice, so that a late word on a closed line names no other.
pub type Line = u64;

/// Why a line ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The connection was never made: turned down, unreachable, or not in the time given.
    NotMade,
    /// The other end closed it.
    ByPeer,
    /// It broke.
    Broken,
    /// It was to end once its output was written, and has.
    Finished,
}

/// What a wait brought.
#[derive(Debug)]
pub enum Happening {
    /// A connection came in at a listener.
    Accepted { line: Line, listener: Line, from: SocketAddr },
    /// A connection that was asked for is made.
    Opened(Line),
    /// There are new bytes in a line's input.
    Readable(Line),
    /// A line whose output was found full has half of it free again.
    Drained(Line),
    /// A line has ended; its input can still be read until [`close`](crate::Reactor::close) or the next wait.
    Closed(Line, Closing),
    /// A datagram came.
    Datagram { line: Line, from: SocketAddr, bytes: Vec<u8> },
    /// A time set with [`due`](crate::Reactor::due) has come.
    Due(u64),
    /// A signal came.
    Signal(i32),
}
