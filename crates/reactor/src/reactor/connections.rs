//! Connections: how they are begun, made and ended, and what the poller is asked for each of them.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use polling::{Event, PollMode};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::events::{Closing, Happening, Line};
use super::sockets::{fd, Bounds, Conn, Source};
use super::timers::Due;
use super::Reactor;

/// How long a finishing line may take over its last bytes: a slow reader gets an answer of some hundred bytes
/// in less, and one that reads nothing holds its descriptor no longer.
const LINGER: Duration = Duration::from_secs(2);
/// EINPROGRESS of Linux, which the standard library has no stable name for.
const IN_PROGRESS: i32 = 115;

impl Reactor {
    /// Begins a connection, which ends as [`Closing::NotMade`] if it isn't made within that time.
    ///
    /// # Errors
    /// Where not even a socket could be had; no line exists then.
    pub fn connect(&mut self, to: SocketAddr, within: Duration, bounds: Bounds) -> io::Result<Line> {
        self.connect_from(None, to, within, bounds)
    }

    /// The same from one of this machine's addresses, so that the other end knows who calls.
    pub fn connect_from(
        &mut self, from: Option<IpAddr>, to: SocketAddr, within: Duration, bounds: Bounds,
    ) -> io::Result<Line> {
        // Socket, its two options, and the connect itself.
        self.costs.system_calls += 4;
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        if let Some(from) = from {
            socket.bind(&SockAddr::from(SocketAddr::new(from, 0)))?;
        }
        socket.set_nonblocking(true)?;
        // Control messages are small and waited for.
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&SockAddr::from(to)) {
            Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(IN_PROGRESS) => {
                return Err(e)
            }
            _ => {}
        }
        let conn = Conn::new(bounds, true);
        let line = self.register(Source::Stream { socket: TcpStream::from(socket), conn })?;
        self.connections += 1;
        self.due.insert((self.clock() + within, Due::Line(line)));
        Ok(line)
    }

    pub(super) fn conn(&self, line: Line) -> Option<&Conn> {
        match self.lines.get(&line) {
            Some(Source::Stream { conn, .. }) => Some(conn),
            _ => None,
        }
    }

    pub(super) fn conn_mut(&mut self, line: Line) -> Option<&mut Conn> {
        match self.lines.get_mut(&line) {
            Some(Source::Stream { conn, .. }) => Some(conn),
            _ => None,
        }
    }

    /// Ends a line at once.
    pub fn close(&mut self, line: Line) {
        self.deregister(line);
    }

    /// Tells the other end that nothing more comes, and still reads what it had on the way: the line ends once it
    /// closes too, or is not there any more. What is not written by then never is.
    pub fn shut(&mut self, line: Line) {
        self.write_out(line);
        let Some(Source::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
        if !conn.making && conn.ended.is_none() {
            self.costs.system_calls += 1;
            // One that is broken is told as such by the next wait.
            let _ = socket.shutdown(Shutdown::Write);
        }
    }

    /// Ends a line once its output is written, or is not within two seconds.
    pub fn finish(&mut self, line: Line) {
        let at = self.clock() + LINGER;
        let Some(conn) = self.conn_mut(line).filter(|conn| conn.ended.is_none()) else { return };
        conn.finishing = true;
        if conn.output.is_empty() && !conn.making {
            self.end(line, Closing::Finished);
        } else {
            self.due.insert((at, Due::Line(line)));
            self.tune(line);
        }
    }

    /// Notes the end of a line, to be told.
    pub(super) fn end(&mut self, line: Line, why: Closing) {
        let Some(conn) = self.conn_mut(line).filter(|conn| conn.ended.is_none()) else { return };
        conn.ended = Some(why);
        self.connections -= 1;
        self.ended.push(line);
        if let Some(source) = self.lines.get(&line) {
            let _ = self.poller.delete(fd(source));
        }
    }

    /// Asks the poller for what a line now waits for, where that has changed.
    pub(super) fn tune(&mut self, line: Line) {
        let Some(Source::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
        let wanted = conn.wanted();
        if conn.ended.is_none() && conn.interest != wanted {
            conn.interest = wanted;
            self.costs.system_calls += 1;
            let event = Event::new(line as usize, wanted.0, wanted.1);
            let _ = self.poller.modify_with_mode(&*socket, event, PollMode::Level);
        }
    }

    /// Finds out whether a connection that was begun is made.
    pub(super) fn made(&mut self, line: Line, told: &mut Vec<Happening>) {
        let Some(Source::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
        self.costs.system_calls += 2;
        let made = matches!(socket.take_error(), Ok(None)) && socket.peer_addr().is_ok();
        if !made {
            return self.end(line, Closing::NotMade);
        }
        conn.making = false;
        told.push(Happening::Opened(line));
        self.write_out(line);
        self.tune(line);
    }
}
