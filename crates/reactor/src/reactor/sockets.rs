//! The sockets of the loop and their place in the poller.

use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use polling::{Event, PollMode};

use super::events::{Closing, Line};
use super::Reactor;
use crate::buffer::Buffer;

/// How many bytes a line holds at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes read and not yet consumed; at the bound reading stops until some are.
    pub input: usize,
    /// Bytes given and not yet written; [`Reactor::send`] takes nothing that goes over it.
    pub output: usize,
}

/// The state of one connection.
pub(super) struct Conn {
    pub(super) input: Buffer,
    pub(super) output: Buffer,
    pub(super) bounds: Bounds,
    pub(super) making: bool,
    pub(super) finishing: bool,
    pub(super) was_full: bool,
    /// What the poller was last asked for: readable, writable.
    pub(super) interest: (bool, bool),
    /// In the list of lines that have output to flush.
    pub(super) dirty: bool,
    pub(super) ended: Option<Closing>,
}

impl Conn {
    pub(super) fn new(bounds: Bounds, making: bool) -> Self {
        Self {
            input: Buffer::default(),
            output: Buffer::default(),
            bounds,
            making,
            finishing: false,
            was_full: false,
            interest: (!making, making),
            dirty: false,
            ended: None,
        }
    }

    /// What the poller is to be asked for: readable, writable.
    pub(super) fn wanted(&self) -> (bool, bool) {
        let reads = !self.making && !self.finishing && self.input.len() < self.bounds.input;
        (reads, self.making || !self.output.is_empty())
    }
}

/// A socket and what the loop holds for it.
pub(super) enum Source {
    Listener { socket: TcpListener, bounds: Bounds, resting: bool },
    Stream { socket: TcpStream, conn: Conn },
    Datagrams(UdpSocket),
    Signal(UnixStream, i32),
}

/// The descriptor that the poller knows a socket by.
pub(super) fn fd(source: &Source) -> BorrowedFd<'_> {
    match source {
        Source::Listener { socket, .. } => socket.as_fd(),
        Source::Stream { socket, .. } => socket.as_fd(),
        Source::Datagrams(socket) => socket.as_fd(),
        Source::Signal(pipe, _) => pipe.as_fd(),
    }
}

impl Reactor {
    /// Registers a socket with the poller under a number of its own.
    pub(super) fn register(&mut self, source: Source) -> io::Result<Line> {
        let line = self.next_line;
        let interest = match &source {
            Source::Stream { conn, .. } => Event::new(line as usize, conn.interest.0, conn.interest.1),
            _ => Event::readable(line as usize),
        };
        self.costs.system_calls += 1;
        // Safe since the source is removed from the poller in `deregister`, before the socket is dropped.
        unsafe { self.poller.add_with_mode(fd(&source).as_raw_fd(), interest, PollMode::Level)? };
        self.next_line += 1;
        self.lines.insert(line, source);
        Ok(line)
    }

    /// Takes a socket out of the poller and closes it.
    pub(super) fn deregister(&mut self, line: Line) {
        let Some(source) = self.lines.remove(&line) else { return };
        // Out of the poller, and closed.
        self.costs.system_calls += 2;
        let _ = self.poller.delete(fd(&source));
        if matches!(&source, Source::Stream { conn, .. } if conn.ended.is_none()) {
            self.connections -= 1;
        }
    }
}
