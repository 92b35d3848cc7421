//! Listeners: accepting connections, and pausing while the process is out of descriptors.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use polling::{Event, PollMode};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::events::{ReactorEvent, SocketId};
use super::sockets::{Bounds, Connection, Source};
use super::timers::Timer;
use super::{Reactor, MAX_PER_WAIT};

/// How long a listener pauses when the process is out of descriptors: time for other connections to close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Listen backlog: more than one wait accepts, so that the kernel refuses no burst.
const BACKLOG: i32 = 1024;

impl Reactor {
    /// Listens at an address; accepted connections get these buffer bounds. Returns the id and the address.
    pub fn listen(&mut self, address: SocketAddr, bounds: Bounds) -> io::Result<(SocketId, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        // A restarted program can bind its address again while old connections are in TIME_WAIT.
        socket.set_reuse_address(true)?;
        socket.bind(&SockAddr::from(address))?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let socket = TcpListener::from(socket);
        let address = socket.local_addr()?;
        Ok((self.register(Source::Listener { socket, bounds, paused: false })?, address))
    }

    /// Limits the connections accepted from a listener per wait, since each uses a descriptor before the
    /// program has decided whether it may stay.
    pub fn set_max_accepts_per_wait(&mut self, count: usize) {
        self.max_accepts_per_wait = count.clamp(1, MAX_PER_WAIT);
    }

    /// Accepts connections from a listener.
    pub(super) fn accept(&mut self, listener: SocketId, events: &mut Vec<ReactorEvent>) {
        for _ in 0..self.max_accepts_per_wait {
            let Some(Source::Listener { socket, bounds, .. }) = self.sources.get(&listener) else { return };
            let bounds = *bounds;
            self.costs.system_calls += 1;
            match socket.accept() {
                Ok((socket, from)) => {
                    self.costs.system_calls += 2;
                    let configured = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
                    let connection = Connection::new(bounds, false);
                    if configured.is_err() {
                        continue;
                    }
                    if let Ok(id) = self.register(Source::Stream { socket, connection }) {
                        self.connections += 1;
                        events.push(ReactorEvent::Accepted { connection: id, listener, from });
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Out of descriptors: the connections stay in the backlog, and the loop must not spin on
                // them.
                Err(_) => return self.set_paused(listener, true),
            }
        }
    }

    /// Pauses a listener for [`ACCEPT_PAUSE`], or resumes it.
    pub(super) fn set_paused(&mut self, listener: SocketId, pause: bool) {
        let resume_at = self.clock() + ACCEPT_PAUSE;
        let Some(Source::Listener { socket, paused, .. }) = self.sources.get_mut(&listener) else { return };
        *paused = pause;
        let key = listener as usize;
        let event = if pause { Event::none(key) } else { Event::readable(key) };
        let _ = self.poller.modify_with_mode(&*socket, event, PollMode::Level);
        if pause {
            self.timers.insert((resume_at, Timer::ResumeListener(listener)));
        }
    }
}
