//! The sockets of the loop and their place in the poller.

use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use polling::{Event, PollMode};

use super::connections::{Bounds, Conn};
use super::events::Line;
use super::Reactor;

/// A socket and what the loop holds for it.
pub(super) enum Socketry {
    Listener { socket: TcpListener, bounds: Bounds, resting: bool },
    Stream { socket: TcpStream, conn: Conn },
    Datagrams(UdpSocket),
    Signal(UnixStream, i32),
}

/// The descriptor that the poller knows a socket by.
pub(super) fn fd(socketry: &Socketry) -> BorrowedFd<'_> {
    match socketry {
        Socketry::Listener { socket, .. } => socket.as_fd(),
        Socketry::Stream { socket, .. } => socket.as_fd(),
        Socketry::Datagrams(socket) => socket.as_fd(),
        Socketry::Signal(pipe, _) => pipe.as_fd(),
    }
}

impl Reactor {
    /// Registers a socket with the poller under a number of its own.
    pub(super) fn keep(&mut self, socketry: Socketry) -> io::Result<Line> {
        let line = self.next_line;
        let interest = match &socketry {
            Socketry::Stream { conn, .. } => Event::new(line as usize, conn.interest.0, conn.interest.1),
            _ => Event::readable(line as usize),
        };
        self.costs.system_calls += 1;
        // Safe since the source is removed from the poller in `release`, before the socket is dropped.
        unsafe { self.poller.add_with_mode(fd(&socketry).as_raw_fd(), interest, PollMode::Level)? };
        self.next_line += 1;
        self.lines.insert(line, socketry);
        Ok(line)
    }

    /// Takes a socket out of the poller and closes it.
    pub(super) fn release(&mut self, line: Line) {
        let Some(socketry) = self.lines.remove(&line) else { return };
        // Out of the poller, and closed.
        self.costs.system_calls += 2;
        let _ = self.poller.delete(fd(&socketry));
        if matches!(&socketry, Socketry::Stream { conn, .. } if conn.ended.is_none()) {
            self.connections -= 1;
        }
    }
}
