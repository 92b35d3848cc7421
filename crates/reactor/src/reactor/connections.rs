//! Connections: connecting, closing, and their registration with the poller.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use polling::{Event, PollMode};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::events::{CloseReason, ReactorEvent, SocketId};
use super::sockets::{fd, Bounds, Connection, Source};
use super::timers::Timer;
use super::Reactor;

/// How long a closing connection may take to write its last bytes: a slow reader takes less for an answer of
/// some hundred bytes, and one that reads nothing must not keep its descriptor longer.
const LINGER: Duration = Duration::from_secs(2);
/// Linux's EINPROGRESS, which the standard library has no stable name for.
const IN_PROGRESS: i32 = 115;

impl Reactor {
    /// Starts a connection, which ends as [`CloseReason::NotMade`] if it is not established within `timeout`.
    ///
    /// # Errors
    ///
    /// If no socket could be created or the connection was refused at once; there is no connection then.
    pub fn connect(&mut self, to: SocketAddr, timeout: Duration, bounds: Bounds) -> io::Result<SocketId> {
        self.connect_from(None, to, timeout, bounds)
    }

    /// Like [`connect`](Self::connect), from a given local address, so that the peer can identify the caller.
    pub fn connect_from(
        &mut self, from: Option<IpAddr>, to: SocketAddr, timeout: Duration, bounds: Bounds,
    ) -> io::Result<SocketId> {
        // Socket, its two options, and connect.
        self.costs.system_calls += 4;
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        if let Some(from) = from {
            socket.bind(&SockAddr::from(SocketAddr::new(from, 0)))?;
        }
        socket.set_nonblocking(true)?;
        // Control messages are small, and the peer waits for them.
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&SockAddr::from(to)) {
            Err(error)
                if error.kind() != ErrorKind::WouldBlock && error.raw_os_error() != Some(IN_PROGRESS) =>
            {
                return Err(error)
            }
            _ => {}
        }
        let connection = Connection::new(bounds, true);
        let id = self.register(Source::Stream { socket: TcpStream::from(socket), connection })?;
        self.connections += 1;
        self.timers.insert((self.clock() + timeout, Timer::Connection(id)));
        Ok(id)
    }

    /// The state of a connection.
    pub(super) fn connection(&self, id: SocketId) -> Option<&Connection> {
        match self.sources.get(&id) {
            Some(Source::Stream { connection, .. }) => Some(connection),
            _ => None,
        }
    }

    /// The state of a connection, for changes.
    pub(super) fn connection_mut(&mut self, id: SocketId) -> Option<&mut Connection> {
        match self.sources.get_mut(&id) {
            Some(Source::Stream { connection, .. }) => Some(connection),
            _ => None,
        }
    }

    /// Closes a socket at once.
    pub fn close(&mut self, id: SocketId) {
        self.deregister(id);
    }

    /// Closes a connection at once with a reset: its peer sees an error in place of an end.
    pub fn reset(&mut self, id: SocketId) {
        if let Some(Source::Stream { socket, .. }) = self.sources.get(&id) {
            // Without it the peer sees an ordinary end.
            let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
        }
        self.deregister(id);
    }

    /// Shuts a connection down for writing, but still reads input: it ends once the peer closes it too or has
    /// gone. Output that is not written by then is lost.
    pub fn shut_down_write(&mut self, id: SocketId) {
        self.write_output(id);
        let Some(Source::Stream { socket, connection }) = self.sources.get_mut(&id) else { return };
        if !connection.connecting && connection.ended.is_none() {
            self.costs.system_calls += 1;
            // A broken connection is reported by the next wait.
            let _ = socket.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection once its output is written, or after [`LINGER`].
    pub fn close_after_flush(&mut self, id: SocketId) {
        let close_at = self.clock() + LINGER;
        let Some(connection) = self.connection_mut(id).filter(|connection| connection.ended.is_none()) else {
            return;
        };
        connection.closing_after_flush = true;
        if connection.output.is_empty() && !connection.connecting {
            self.mark_ended(id, CloseReason::Finished);
        } else {
            self.timers.insert((close_at, Timer::Connection(id)));
            self.update_interest(id);
        }
    }

    /// Marks a connection as ended, to be reported by the next wait.
    pub(super) fn mark_ended(&mut self, id: SocketId, reason: CloseReason) {
        let Some(connection) = self.connection_mut(id).filter(|connection| connection.ended.is_none()) else {
            return;
        };
        connection.ended = Some(reason);
        self.connections -= 1;
        self.newly_ended.push(id);
        if let Some(source) = self.sources.get(&id) {
            let _ = self.poller.delete(fd(source));
        }
    }

    /// Updates a connection's interest with the poller if it has changed.
    pub(super) fn update_interest(&mut self, id: SocketId) {
        let Some(Source::Stream { socket, connection }) = self.sources.get_mut(&id) else { return };
        let wanted = connection.wanted_interest();
        if connection.ended.is_none() && connection.interest != wanted {
            connection.interest = wanted;
            self.costs.system_calls += 1;
            let event = Event::new(id as usize, wanted.0, wanted.1);
            let _ = self.poller.modify_with_mode(&*socket, event, PollMode::Level);
        }
    }

    /// Checks whether a connection attempt has succeeded.
    pub(super) fn check_connected(&mut self, id: SocketId, events: &mut Vec<ReactorEvent>) {
        let Some(Source::Stream { socket, connection }) = self.sources.get_mut(&id) else { return };
        self.costs.system_calls += 2;
        let connected = matches!(socket.take_error(), Ok(None)) && socket.peer_addr().is_ok();
        if !connected {
            return self.mark_ended(id, CloseReason::NotMade);
        }
        connection.connecting = false;
        events.push(ReactorEvent::Opened(id));
        self.write_output(id);
        self.update_interest(id);
    }
}
