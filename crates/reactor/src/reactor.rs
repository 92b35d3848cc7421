//! The loop itself.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::buffer::Buffer;

/// A socket of the loop. Numbers are never used twice, so that a late word on a closed line names no other.
pub type Line = u64;

/// How many bytes a line holds at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes read and not yet consumed; at the bound reading stops until some are.
    pub input: usize,
    /// Bytes given and not yet written; [`Reactor::send`] takes nothing that goes over it.
    pub output: usize,
}

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
    /// A line has ended; its input can still be read until [`Reactor::close`] or the next wait.
    Closed(Line, Closing),
    /// A datagram came.
    Datagram { line: Line, from: SocketAddr, bytes: Vec<u8> },
    /// A time set with [`Reactor::due`] has come.
    Due(u64),
    /// A signal came.
    Signal(i32),
}

/// What falls due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Program(u64),
    /// The end of a line that is not made, or not finished, by then.
    Line(Line),
    /// A listener that ran out of descriptors is tried again.
    Listen(Line),
}

enum Socketry {
    Listener { socket: TcpListener, bounds: Bounds, resting: bool },
    Stream { socket: TcpStream, conn: Conn },
    Datagrams(UdpSocket),
    Signal(UnixStream, i32),
}

/// The state of one connection.
struct Conn {
    input: Buffer,
    output: Buffer,
    bounds: Bounds,
    making: bool,
    finishing: bool,
    was_full: bool,
    /// What the poller was last asked for: readable, writable.
    interest: (bool, bool),
    /// In the list of lines that have output to flush.
    dirty: bool,
    ended: Option<Closing>,
}

impl Conn {
    fn new(bounds: Bounds, making: bool) -> Self {
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

    fn wanted(&self) -> (bool, bool) {
        let reads = !self.making && !self.finishing && self.input.len() < self.bounds.input;
        (reads, self.making || !self.output.is_empty())
    }
}

/// Bytes read from one line in one wait at most: a fast sender leaves the others their turn.
const READ_AT_ONCE: usize = 64 * 1024;
/// Connections taken from one listener, and datagrams from one socket, in one wait at most, for the same reason.
const TAKEN_AT_ONCE: usize = 64;
/// How long an accept is put off when the process has no descriptor left: lines close in that time.
const DESCRIPTOR_REST: Duration = Duration::from_millis(50);
/// How long a finishing line may take over its last bytes: a slow reader gets an answer of some hundred bytes
/// in less, and one that reads nothing holds its descriptor no longer.
const LINGER: Duration = Duration::from_secs(2);
/// The backlog of a listener: more than one wait takes, so that a burst is not turned down by the kernel.
const BACKLOG: i32 = 1024;

pub struct Reactor {
    poller: Poller,
    events: Events,
    start: Instant,
    offset: Duration,
    now: Duration,
    next_line: Line,
    lines: BTreeMap<Line, Socketry>,
    connections: usize,
    due: BTreeSet<(Duration, Due)>,
    dirty: Vec<Line>,
    /// Lines that ended outside a wait, to be told in the next.
    ended: Vec<Line>,
    /// Lines told as ended, dropped at the next wait.
    told_ended: Vec<Line>,
    scratch: Vec<u8>,
    accepted_at_once: usize,
    costs: Costs,
}

/// What the loop has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Costs {
    /// System calls made for sockets and waits.
    pub system_calls: u64,
    /// Bytes copied in this process on their way from and to sockets; the kernel's own copies are not counted.
    pub copied_bytes: u64,
}

impl Reactor {
    /// A loop whose clock shows `offset` now, so that times before its start can be named.
    pub fn new(offset: Duration) -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            events: Events::new(),
            start: Instant::now(),
            offset,
            now: offset,
            next_line: 1,
            lines: BTreeMap::new(),
            connections: 0,
            due: BTreeSet::new(),
            dirty: Vec::new(),
            ended: Vec::new(),
            told_ended: Vec::new(),
            scratch: vec![0; READ_AT_ONCE],
            accepted_at_once: TAKEN_AT_ONCE,
            costs: Costs::default(),
        })
    }

    /// The time of the last wait's end: one time for all that it brought.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What the loop has cost so far.
    pub fn costs(&self) -> Costs {
        self.costs
    }

    /// The time by the clock.
    pub fn clock(&self) -> Duration {
        self.offset + self.start.elapsed()
    }

    /// How many connections are held, ended ones not counted.
    pub fn connections(&self) -> usize {
        self.connections
    }

    fn keep(&mut self, socketry: Socketry) -> io::Result<Line> {
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
        Ok((self.keep(Socketry::Listener { socket, bounds, resting: false })?, at))
    }

    /// Takes this many connections from a listener in one wait at most, where each holds a descriptor until its
    /// program has said which may stay.
    pub fn accept_at_once(&mut self, count: usize) {
        self.accepted_at_once = count.clamp(1, TAKEN_AT_ONCE);
    }

    /// Takes datagrams at an address.
    pub fn datagrams(&mut self, at: SocketAddr) -> io::Result<(Line, SocketAddr)> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        Ok((self.keep(Socketry::Datagrams(socket))?, at))
    }

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
        let line = self.keep(Socketry::Stream { socket: TcpStream::from(socket), conn })?;
        self.connections += 1;
        self.due.insert((self.clock() + within, Due::Line(line)));
        Ok(line)
    }

    /// Has a signal told as [`Happening::Signal`].
    pub fn signal(&mut self, signal: i32) -> io::Result<()> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, write)?;
        self.keep(Socketry::Signal(read, signal)).map(drop)
    }

    /// Has a token told at that time. One set twice for a time is told once.
    pub fn due(&mut self, at: Duration, token: u64) {
        self.due.insert((at, Due::Program(token)));
    }

    /// Takes back what [`Reactor::due`] set.
    pub fn not_due(&mut self, at: Duration, token: u64) {
        self.due.remove(&(at, Due::Program(token)));
    }

    fn conn(&self, line: Line) -> Option<&Conn> {
        match self.lines.get(&line) {
            Some(Socketry::Stream { conn, .. }) => Some(conn),
            _ => None,
        }
    }

    fn conn_mut(&mut self, line: Line) -> Option<&mut Conn> {
        match self.lines.get_mut(&line) {
            Some(Socketry::Stream { conn, .. }) => Some(conn),
            _ => None,
        }
    }

    /// Bytes that came in and were not consumed yet; none for a line that is gone.
    pub fn input(&self, line: Line) -> &[u8] {
        self.conn(line).map_or(&[], |conn| conn.input.as_slice())
    }

    pub fn consume(&mut self, line: Line, count: usize) {
        let Some(conn) = self.conn_mut(line) else { return };
        conn.input.consume(count);
        self.tune(line);
    }

    /// Takes a line's input away, so that it can be read while other lines are sent to; to be laid back.
    pub fn lift(&mut self, line: Line) -> Buffer {
        self.conn_mut(line).map_or_else(Buffer::default, |conn| std::mem::take(&mut conn.input))
    }

    /// Lays back what was lifted, less what was consumed of it.
    pub fn lay_back(&mut self, line: Line, input: Buffer) {
        if let Some(conn) = self.conn_mut(line) {
            conn.input = input;
            self.tune(line);
        }
    }

    /// Bytes given to a line and not yet written, also once it has ended; none for a line that is gone.
    pub fn unwritten(&self, line: Line) -> usize {
        self.conn(line).map_or(0, |conn| conn.output.len())
    }

    /// Gives bytes to a line's output, all or, where they do not fit, none. They go at the next flush.
    pub fn send(&mut self, line: Line, parts: &[&[u8]]) -> bool {
        self.send_leaving(line, 0, parts)
    }

    /// The same, where they also do not fit if less than `free` bytes of room would be left behind them.
    pub fn send_leaving(&mut self, line: Line, free: usize, parts: &[&[u8]]) -> bool {
        let Some(conn) = self.conn_mut(line) else { return false };
        let size: usize = parts.iter().map(|part| part.len()).sum();
        let open = conn.ended.is_none() && !conn.finishing;
        if !open || conn.output.len() + size + free > conn.bounds.output {
            conn.was_full = true;
            return false;
        }
        parts.iter().for_each(|part| conn.output.push(part));
        if !std::mem::replace(&mut conn.dirty, true) {
            self.dirty.push(line);
        }
        self.costs.copied_bytes += size as u64;
        true
    }

    /// Sends a datagram; one that the kernel cannot take now is lost, as datagrams are.
    pub fn send_to(&self, line: Line, to: SocketAddr, bytes: &[u8]) -> bool {
        match self.lines.get(&line) {
            Some(Socketry::Datagrams(socket)) => socket.send_to(bytes, to).is_ok(),
            _ => false,
        }
    }

    /// Writes what was given to one line, now.
    pub fn flush_line(&mut self, line: Line) {
        self.write_out(line);
    }

    /// Writes what was given since the last flush.
    pub fn flush(&mut self) {
        for line in std::mem::take(&mut self.dirty) {
            self.write_out(line);
        }
    }

    /// Reads what has come on a line by now, without a wait, and tells whether its input holds anything then.
    pub fn read_now(&mut self, line: Line) -> bool {
        self.read_in(line, &mut Vec::new());
        !self.input(line).is_empty()
    }

    /// Ends a line at once.
    pub fn close(&mut self, line: Line) {
        self.release(line);
    }

    /// Tells the other end that nothing more comes, and still reads what it had on the way: the line ends once it
    /// closes too, or is not there any more. What is not written by then never is.
    pub fn shut(&mut self, line: Line) {
        self.write_out(line);
        let Some(Socketry::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
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

    fn release(&mut self, line: Line) {
        let Some(socketry) = self.lines.remove(&line) else { return };
        // Out of the poller, and closed.
        self.costs.system_calls += 2;
        let _ = self.poller.delete(fd(&socketry));
        if matches!(&socketry, Socketry::Stream { conn, .. } if conn.ended.is_none()) {
            self.connections -= 1;
        }
    }

    /// Notes the end of a line, to be told.
    fn end(&mut self, line: Line, why: Closing) {
        let Some(conn) = self.conn_mut(line).filter(|conn| conn.ended.is_none()) else { return };
        conn.ended = Some(why);
        self.connections -= 1;
        self.ended.push(line);
        if let Some(socketry) = self.lines.get(&line) {
            let _ = self.poller.delete(fd(socketry));
        }
    }

    /// Asks the poller for what a line now waits for, where that has changed.
    fn tune(&mut self, line: Line) {
        let Some(Socketry::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
        let wanted = conn.wanted();
        if conn.ended.is_none() && conn.interest != wanted {
            conn.interest = wanted;
            self.costs.system_calls += 1;
            let event = Event::new(line as usize, wanted.0, wanted.1);
            let _ = self.poller.modify_with_mode(&*socket, event, PollMode::Level);
        }
    }

    fn write_out(&mut self, line: Line) {
        let Some(Socketry::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
        conn.dirty = false;
        if conn.making || conn.ended.is_some() {
            return;
        }
        let mut broken = false;
        while !conn.output.is_empty() && !broken {
            self.costs.system_calls += 1;
            match socket.write(conn.output.as_slice()) {
                Ok(count) => conn.output.consume(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => broken = true,
            }
        }
        let finished = conn.finishing && conn.output.is_empty();
        if broken {
            // What the other end said before it went is still there, and may be its last word.
            while conn.input.len() < conn.bounds.input {
                let most = (conn.bounds.input - conn.input.len()).min(READ_AT_ONCE);
                match socket.read(&mut self.scratch[..most]) {
                    Ok(count) if count > 0 => conn.input.push(&self.scratch[..count]),
                    _ => break,
                }
            }
        }
        if broken || finished {
            return self.end(line, if broken { Closing::Broken } else { Closing::Finished });
        }
        self.tune(line);
    }

    /// Waits until something happens, or until that time, and tells what.
    pub fn wait(&mut self, until: Option<Duration>, told: &mut Vec<Happening>) -> io::Result<()> {
        for line in std::mem::take(&mut self.told_ended) {
            self.release(line);
        }
        let first = self.due.first().map(|due| due.0);
        let until = until.into_iter().chain(first).min();
        let timeout = match (self.ended.is_empty(), until) {
            (false, _) => Some(Duration::ZERO),
            (true, until) => until.map(|at| at.saturating_sub(self.clock())),
        };
        self.events.clear();
        self.costs.system_calls += 1;
        match self.poller.wait(&mut self.events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.now = self.clock();
        let ready: Vec<Event> = self.events.iter().collect();
        for event in ready {
            self.serve(event, told);
        }
        while let Some((at, due)) = self.due.first().copied().filter(|due| due.0 <= self.now) {
            self.due.remove(&(at, due));
            self.fall_due(due, told);
        }
        for line in std::mem::take(&mut self.ended) {
            if let Some(why) = self.conn(line).and_then(|conn| conn.ended) {
                told.push(Happening::Closed(line, why));
                self.told_ended.push(line);
            }
        }
        Ok(())
    }

    fn fall_due(&mut self, due: Due, told: &mut Vec<Happening>) {
        match due {
            Due::Program(token) => told.push(Happening::Due(token)),
            Due::Listen(line) => self.rest(line, false),
            Due::Line(line) => match self.conn(line) {
                Some(conn) if conn.making => self.end(line, Closing::NotMade),
                Some(conn) if conn.finishing => self.end(line, Closing::Finished),
                _ => {}
            },
        }
    }

    fn serve(&mut self, event: Event, told: &mut Vec<Happening>) {
        let line = event.key as Line;
        match self.lines.get_mut(&line) {
            Some(Socketry::Listener { .. }) => self.accept(line, told),
            Some(Socketry::Datagrams(_)) => self.receive(line, told),
            Some(Socketry::Signal(pipe, signal)) => {
                let mut bytes = [0; 64];
                if pipe.read(&mut bytes).is_ok_and(|count| count > 0) {
                    told.push(Happening::Signal(*signal));
                }
            }
            Some(Socketry::Stream { conn, .. }) if conn.making => self.made(line, told),
            Some(Socketry::Stream { .. }) => {
                if event.writable {
                    self.write_out(line);
                    self.tell_drained(line, told);
                }
                if event.readable {
                    self.read_in(line, told);
                }
            }
            None => {}
        }
    }

    fn tell_drained(&mut self, line: Line, told: &mut Vec<Happening>) {
        let Some(conn) = self.conn_mut(line).filter(|conn| conn.ended.is_none()) else { return };
        if conn.was_full && conn.output.len() <= conn.bounds.output / 2 {
            conn.was_full = false;
            told.push(Happening::Drained(line));
        }
    }

    fn accept(&mut self, listener: Line, told: &mut Vec<Happening>) {
        for _ in 0..self.accepted_at_once {
            let Some(Socketry::Listener { socket, bounds, .. }) = self.lines.get(&listener) else { return };
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
                    if let Ok(line) = self.keep(Socketry::Stream { socket, conn }) {
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

    fn rest(&mut self, listener: Line, rests: bool) {
        let at = self.clock() + DESCRIPTOR_REST;
        let Some(Socketry::Listener { socket, resting, .. }) = self.lines.get_mut(&listener) else { return };
        *resting = rests;
        let key = listener as usize;
        let event = if rests { Event::none(key) } else { Event::readable(key) };
        let _ = self.poller.modify_with_mode(&*socket, event, PollMode::Level);
        if rests {
            self.due.insert((at, Due::Listen(listener)));
        }
    }

    fn receive(&mut self, line: Line, told: &mut Vec<Happening>) {
        for _ in 0..TAKEN_AT_ONCE {
            let Some(Socketry::Datagrams(socket)) = self.lines.get(&line) else { return };
            self.costs.system_calls += 1;
            match socket.recv_from(&mut self.scratch) {
                Ok((count, from)) => {
                    let bytes = self.scratch[..count].to_vec();
                    told.push(Happening::Datagram { line, from, bytes });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An answer that the port of an earlier datagram is shut; it says nothing of this socket.
                Err(_) => {}
            }
        }
    }

    fn made(&mut self, line: Line, told: &mut Vec<Happening>) {
        let Some(Socketry::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
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

    /// Reads all that has come, up to the bound. What follows the last bytes is read in the same wake, so that an end
    /// that stands right behind a request is told with it, and not a wake later.
    fn read_in(&mut self, line: Line, told: &mut Vec<Happening>) {
        let mut read = 0;
        while read < READ_AT_ONCE {
            let Some(Socketry::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
            let most = conn.bounds.input.saturating_sub(conn.input.len()).min(READ_AT_ONCE - read);
            if conn.ended.is_some() || most == 0 {
                break;
            }
            self.costs.system_calls += 1;
            match socket.read(&mut self.scratch[..most]) {
                Ok(0) => self.end(line, Closing::ByPeer),
                Ok(count) => {
                    conn.input.push(&self.scratch[..count]);
                    self.costs.copied_bytes += count as u64;
                    read += count;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.end(line, Closing::Broken),
            }
        }
        if read > 0 {
            told.push(Happening::Readable(line));
        }
        self.tune(line);
    }
}

/// EINPROGRESS of Linux, which the standard library has no stable name for.
const IN_PROGRESS: i32 = 115;

fn fd(socketry: &Socketry) -> BorrowedFd<'_> {
    match socketry {
        Socketry::Listener { socket, .. } => socket.as_fd(),
        Socketry::Stream { socket, .. } => socket.as_fd(),
        Socketry::Datagrams(socket) => socket.as_fd(),
        Socketry::Signal(pipe, _) => pipe.as_fd(),
    }
}
