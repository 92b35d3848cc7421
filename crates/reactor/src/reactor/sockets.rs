//! The sockets of the loop and their registration with the poller.

use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use polling::{Event, PollMode};

use super::events::{CloseReason, SocketId};
use super::Reactor;
use crate::buffer::Buffer;

/// Limits of a connection's buffers, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes read and not yet consumed; at the limit reading pauses.
    pub input: usize,
    /// Bytes queued and not yet written; [`Reactor::send`] accepts nothing beyond it.
    pub output: usize,
}

/// State of a connection.
pub(super) struct Connection {
    pub(super) input: Buffer,
    pub(super) output: Buffer,
    pub(super) bounds: Bounds,
    /// Not yet established.
    pub(super) connecting: bool,
    /// Closes once its output is written.
    pub(super) closing_after_flush: bool,
    /// Output was refused since the last [`ReactorEvent::Drained`](super::events::ReactorEvent::Drained).
    pub(super) output_was_full: bool,
    /// Interest registered with the poller: readable, writable.
    pub(super) interest: (bool, bool),
    /// Whether it is in the list of connections to flush.
    pub(super) dirty: bool,
    /// The last read ended at a limit and not because the kernel had no more.
    pub(super) may_have_more_input: bool,
    /// Why it has ended.
    pub(super) ended: Option<CloseReason>,
}

impl Connection {
    /// A connection that is established, or still connecting.
    pub(super) fn new(bounds: Bounds, connecting: bool) -> Self {
        Self {
            input: Buffer::default(),
            output: Buffer::default(),
            bounds,
            connecting,
            closing_after_flush: false,
            output_was_full: false,
            interest: (!connecting, connecting),
            dirty: false,
            may_have_more_input: false,
            ended: None,
        }
    }

    /// Interest to register with the poller: readable, writable.
    pub(super) fn wanted_interest(&self) -> (bool, bool) {
        let reads = !self.connecting && !self.closing_after_flush && self.input.len() < self.bounds.input;
        (reads, self.connecting || !self.output.is_empty())
    }
}

/// A socket and its state.
pub(super) enum Source {
    Listener { socket: TcpListener, bounds: Bounds, paused: bool },
    Stream { socket: TcpStream, connection: Connection },
    Datagrams(UdpSocket),
    Signal(UnixStream, i32),
}

/// The file descriptor that the poller uses for a socket.
pub(super) fn fd(source: &Source) -> BorrowedFd<'_> {
    match source {
        Source::Listener { socket, .. } => socket.as_fd(),
        Source::Stream { socket, .. } => socket.as_fd(),
        Source::Datagrams(socket) => socket.as_fd(),
        Source::Signal(pipe, _) => pipe.as_fd(),
    }
}

impl Reactor {
    /// Registers a socket with the poller under a new id.
    pub(super) fn register(&mut self, source: Source) -> io::Result<SocketId> {
        let id = self.next_id;
        let interest = match &source {
            Source::Stream { connection, .. } => {
                Event::new(id as usize, connection.interest.0, connection.interest.1)
            }
            _ => Event::readable(id as usize),
        };
        self.costs.system_calls += 1;
        // Safety: `deregister` removes the socket from the poller before it is dropped.
        unsafe { self.poller.add_with_mode(fd(&source).as_raw_fd(), interest, PollMode::Level)? };
        self.next_id += 1;
        self.sources.insert(id, source);
        Ok(id)
    }

    /// Removes a socket from the poller and closes it.
    pub(super) fn deregister(&mut self, id: SocketId) {
        let Some(source) = self.sources.remove(&id) else { return };
        // Removal from the poller, and close.
        self.costs.system_calls += 2;
        let _ = self.poller.delete(fd(&source));
        if matches!(&source, Source::Stream { connection, .. } if connection.ended.is_none()) {
            self.connections -= 1;
        }
    }
}
