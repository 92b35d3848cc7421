//! Listeners: connections that come in, and what is done once the process has no descriptor left for them.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use polling::{Event, PollMode};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::events::{Happening, Line};
use super::sockets::{Bounds, Conn, Source};
use super::timers::Due;
use super::{Reactor, TAKEN_AT_ONCE};

/// How long an accept is put off when the process has no descriptor left: lines close in that time.
const DESCRIPTOR_REST: Duration = Duration::from_millis(50);
/// The backlog of a listener: more than one wait takes, so that a burst is not turned down by the kernel.
const BACKLOG: i32 = 1024;

impl Reactor {
    /// Listens at an address; what comes in has these bounds.
    pub fn listen(&mut self, at: SocketAddr, bounds: Bounds) -> io::Result<(Line, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        // A restarted program takes its address back while old connections fade.
        socket.set_reuse_address(true)?;
        socket.bind(&SockAddr::from(at))?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let socket = TcpListener::from(socket);
        let at = socket.local_addr()?;
        Ok((self.register(Source::Listener { socket, bounds, resting: false })?, at))
    }

    /// Takes this many connections from a listener in one wait at most, where each holds a descriptor until its
    /// program has said which may stay.
    pub fn accept_at_once(&mut self, count: usize) {
        self.accepted_at_once = count.clamp(1, TAKEN_AT_ONCE);
    }

    /// Takes connections from a listener.
    pub(super) fn accept(&mut self, listener: Line, told: &mut Vec<Happening>) {
        for _ in 0..self.accepted_at_once {
            let Some(Source::Listener { socket, bounds, .. }) = self.lines.get(&listener) else { return };
            let bounds = *bounds;
            self.costs.system_calls += 1;
            match socket.accept() {
                Ok((socket, from)) => {
                    self.costs.system_calls += 2;
                    let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
                    let conn = Conn::new(bounds, false);
                    if ready.is_err() {
                        continue;
                    }
                    if let Ok(line) = self.register(Source::Stream { socket, conn }) {
                        self.connections += 1;
                        told.push(Happening::Accepted { line, listener, from });
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // No descriptor is left: the backlog waits, and the loop does not spin on it.
                Err(_) => return self.rest(listener, true),
            }
        }
    }

    /// Stops a listener for [`DESCRIPTOR_REST`], or starts it again.
    pub(super) fn rest(&mut self, listener: Line, rests: bool) {
        let at = self.clock() + DESCRIPTOR_REST;
        let Some(Source::Listener { socket, resting, .. }) = self.lines.get_mut(&listener) else { return };
        *resting = rests;
        let key = listener as usize;
        let event = if rests { Event::none(key) } else { Event::readable(key) };
        let _ = self.poller.modify_with_mode(&*socket, event, PollMode::Level);
        if rests {
            self.due.insert((at, Due::Listen(listener)));
        }
    }
}
