//! The parties round a controller on the platform, as the protocol page describes them: streamers, the name
//! service, viewers, and the platform that starts and signals the process. All addresses are loopback ones.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Causes on the wire.
pub const FULL: u8 = 34;
pub const NORMAL: u8 = 16;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Writes `record.txt`: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))) }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }

    pub fn sleep_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.now()));
    }
}

// ---------------------------------------------------------------- the name service

/// A streamer as the list has it.
#[derive(Clone)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddrV4,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u32,
    pub draining: bool,
    pub started_unix_ms: u64,
    pub size: u16,
}

#[derive(Default)]
struct NameState {
    serial: u32,
    list: Vec<Listed>,
    silent: bool,
    /// When an answer that holds the event of this number was first sent.
    told: BTreeMap<u32, Duration>,
}

/// The name service of one controller.
#[derive(Clone)]
pub struct Names {
    pub address: SocketAddrV4,
    state: Arc<Mutex<NameState>>,
}

impl Names {
    pub fn start(record: &Record, list: Vec<Listed>) -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a UDP port");
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, socket.local_addr().unwrap().port());
        let state = Arc::new(Mutex::new(NameState { serial: 1, list, ..NameState::default() }));
        let (shared, record) = (state.clone(), record.clone());
        spawn(move || {
            let mut bytes = [0; 1500];
            while let Ok((count, from)) = socket.recv_from(&mut bytes) {
                let mut state = shared.lock().unwrap();
                if state.silent {
                    continue;
                }
                let Some(answer) = dns_answer(&bytes[..count], &state) else { continue };
                let serial = state.serial;
                if !state.told.contains_key(&serial) {
                    state.told.insert(serial, record.now());
                    record.note(format!("names: first answer with event {serial} sent"));
                }
                let _ = socket.send_to(&answer, from);
            }
        });
        Self { address, state }
    }

    /// Changes the list, and returns the number of the event.
    pub fn change(&self, record: &Record, what: &str, change: impl FnOnce(&mut Vec<Listed>)) -> u32 {
        let mut state = self.state.lock().unwrap();
        change(&mut state.list);
        state.serial += 1;
        record.note(format!("names: event {}: {what}", state.serial));
        state.serial
    }

    pub fn set_silent(&self, record: &Record, silent: bool) {
        self.state.lock().unwrap().silent = silent;
        record.note(format!("names: {}", if silent { "falls silent" } else { "answers again" }));
    }

    /// When an answer that holds this event was first sent.
    pub fn told_at(&self, serial: u32) -> Option<Duration> {
        self.state.lock().unwrap().told.range(serial..).map(|(_, at)| *at).min()
    }

    /// The `known` object of a configuration.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        let members: Vec<String> = state
            .list
            .iter()
            .map(|s| {
                format!(
                    "{{\"id\":\"s-{:08x}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\
                     \"phase\":\"{}\",\"size\":{},\"up_since_ms\":{}}}",
                    s.id,
                    s.address,
                    s.zone,
                    s.kind,
                    s.cell,
                    if s.draining { "leaving" } else { "active" },
                    s.size,
                    s.started_unix_ms
                )
            })
            .collect();
        let serial = state.serial;
        format!(
            "{{\"pos\":{serial},\"entries\":[{{\"pos\":{serial},\"hosts\":{{\"revision\":{serial},\
             \"complete\":true,\"members\":[{}]}}}}]}}",
            members.join(",")
        )
    }
}

fn dns_name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
    out
}

fn dns_record(name: &[u8], kind: u16, data: &[u8]) -> Vec<u8> {
    let mut out = name.to_vec();
    out.extend(kind.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    out.extend(0u32.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    out
}

/// The answer to a query for the SRV records of the fleet (RFC 1035, RFC 2782).
fn dns_answer(query: &[u8], state: &NameState) -> Option<Vec<u8>> {
    let mut end = 12;
    while *query.get(end)? != 0 {
        end += usize::from(query[end]) + 1;
    }
    let question = query.get(12..end + 5)?;
    let (mut answers, mut additional) = (Vec::new(), Vec::new());
    for s in &state.list {
        let host = dns_name(&format!("s-{:08x}.{}.hosts", s.id, s.zone));
        let mut srv = Vec::new();
        for value in [u16::from(s.draining), s.size * 10, s.address.port()] {
            srv.extend(value.to_be_bytes());
        }
        srv.extend(&host);
        answers.extend(dns_record(&[0xc0, 12], 33, &srv));
        additional.extend(dns_record(&host, 1, &s.address.ip().octets()));
        let mut text = Vec::new();
        for value in
            [format!("kind={}", s.kind), format!("cell={}", s.cell), format!("started={}", s.started_unix_ms)]
        {
            text.push(value.len() as u8);
            text.extend(value.bytes());
        }
        additional.extend(dns_record(&host, 16, &text));
    }
    let mut soa = dns_name("ns.fleet.local");
    soa.extend(dns_name("ops.fleet.local"));
    for value in [state.serial, 60, 60, 60, 0] {
        soa.extend(value.to_be_bytes());
    }
    let count = state.list.len() as u16;
    let mut out = query[..2].to_vec();
    for value in [0x8500, 1, count, 1, 2 * count] {
        out.extend(u16::to_be_bytes(value));
    }
    out.extend(question);
    out.extend(answers);
    out.extend(dns_record(&dns_name("fleet.local"), 6, &soa));
    out.extend(additional);
    Some(out)
}

// ---------------------------------------------------------------- streamers

/// How a streamer answers offers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Accepts,
    /// It takes nothing new: full, or draining.
    Full,
    /// Its process has ended.
    Dead,
}

/// An offer that came whole to a streamer.
#[derive(Clone, Debug)]
pub struct Offer {
    pub at: Duration,
    pub session: u64,
}

struct StreamerState {
    mode: Mode,
    connections: BTreeMap<u64, TcpStream>,
    /// Sessions that stand, by id, with the connection of their set-up.
    sessions: BTreeMap<u64, u64>,
    /// Releases that go on the next connection that is opened.
    waiting: Vec<(u64, u8)>,
    offers: Vec<Offer>,
}

/// The longest time for which a streamer looked at nothing, in milliseconds: how late the stand-ins were.
pub static LONGEST_GAP_MS: AtomicU64 = AtomicU64::new(0);

/// How often a streamer looks for what has arrived, in microseconds; less often where there are hundreds.
pub static LOOKS_EVERY_US: AtomicU64 = AtomicU64::new(200);

/// What arrives at a streamer.
enum Arrival {
    Opened(u64, TcpStream),
    Line(u64, String),
    Ended(u64),
}

#[derive(Clone)]
pub struct Streamer {
    pub id: u32,
    pub address: SocketAddrV4,
    /// How much later than others it handles what arrives: connections, messages, ends of connections.
    lag: Duration,
    record: Record,
    state: Arc<Mutex<StreamerState>>,
}

/// The value of a text field of a line. The controller's lines hold no escaped quotes before these fields.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let rest = &line[start..];
    Some(&rest[..rest.find('"')?])
}

impl Streamer {
    /// Starts a streamer that sends notes on what stands there once every `told_every`.
    pub fn start(record: &Record, id: u32, told_every: Duration) -> Self {
        Self::start_slow(record, id, told_every, Duration::ZERO)
    }

    /// The same, slow by `lag` in all that it handles.
    pub fn start_slow(record: &Record, id: u32, told_every: Duration, lag: Duration) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port());
        let state = StreamerState {
            mode: Mode::Accepts,
            connections: BTreeMap::new(),
            sessions: BTreeMap::new(),
            waiting: Vec::new(),
            offers: Vec::new(),
        };
        let streamer = Self { id, address, lag, record: record.clone(), state: Arc::new(Mutex::new(state)) };
        listener.set_nonblocking(true).expect("a listener");
        let serving = streamer.clone();
        spawn(move || serving.serve(&listener, told_every));
        streamer
    }

    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.record.note(format!("{}: {mode:?}", self.name()));
        let mut state = self.state.lock().unwrap();
        state.mode = mode;
        if mode == Mode::Dead {
            // Its connections end and its sessions are cut.
            for (_, stream) in std::mem::take(&mut state.connections) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            state.sessions.clear();
        }
    }

    /// A session that played before the controller started.
    pub fn preload(&self, session: u64) {
        self.state.lock().unwrap().sessions.insert(session, 0);
    }

    pub fn offers(&self) -> Vec<Offer> {
        self.state.lock().unwrap().offers.clone()
    }

    pub fn holds(&self, session: u64) -> bool {
        self.state.lock().unwrap().sessions.contains_key(&session)
    }

    /// The session comes to its end: its release goes on the connection of its set-up, else on any open one,
    /// and also on the next one that is opened.
    pub fn end_session(&self, session: u64) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(own) = state.sessions.remove(&session) else { return false };
        let open = if state.connections.contains_key(&own) {
            Some(own)
        } else {
            state.connections.keys().next_back().copied()
        };
        let written =
            open.is_some_and(|connection| self.write_release(&mut state, connection, session, NORMAL));
        if !written {
            self.record.note(format!("{}: {session:016x} is over; no connection is open", self.name()));
        }
        state.waiting.push((session, NORMAL));
        true
    }

    fn write_release(&self, state: &mut StreamerState, connection: u64, session: u64, cause: u8) -> bool {
        let line = format!("{{\"op\":\"end\",\"call\":\"{session:016x}\",\"with\":{{}},\"why\":{cause}}}\n");
        let written = self.write(state, connection, &line);
        if written {
            self.record.note(format!(
                "{}: release of {session:016x}, cause {cause}, on its connection {connection}",
                self.name()
            ));
        }
        written
    }

    fn write(&self, state: &mut StreamerState, connection: u64, line: &str) -> bool {
        state.connections.get_mut(&connection).is_some_and(|s| s.write_all(line.as_bytes()).is_ok())
    }

    fn send_notes(&self) {
        let mut state = self.state.lock().unwrap();
        // One of the sessions tells of the link and of the rack's uplink.
        let Some((session, own)) = state.sessions.iter().next().map(|(s, c)| (*s, *c)) else { return };
        let connection = if state.connections.contains_key(&own) {
            own
        } else {
            let Some(open) = state.connections.keys().next_back().copied() else { return };
            open
        };
        self.write_link_notes(&mut state, connection, session);
    }

    fn write_link_notes(&self, state: &mut StreamerState, connection: u64, session: u64) {
        let used = 0.1 + 0.02 * state.sessions.len() as f64;
        for (note, value) in [("wire", used), ("trunk", used)] {
            let line = format!(
                "{{\"op\":\"info\",\"call\":\"{session:016x}\",\"with\":{{\"note\":\"{note}\",\"value\":\"{value:.3}\"}}}}\n"
            );
            self.write(state, connection, &line);
        }
        self.record.note(format!("{}: notes on {session:016x}", self.name()));
    }

    /// Serves all connections, until the process dies.
    fn serve(&self, listener: &TcpListener, told_every: Duration) {
        let mut streams: BTreeMap<u64, (TcpStream, Vec<u8>)> = BTreeMap::new();
        let mut arrivals: VecDeque<(Instant, Arrival)> = VecDeque::new();
        let mut last_connection = 0;
        let (mut notes_at, mut looked_at) = (Instant::now() + told_every, Instant::now());
        while self.state.lock().unwrap().mode != Mode::Dead {
            let now = Instant::now();
            LONGEST_GAP_MS.fetch_max((now - looked_at).as_millis() as u64, Ordering::Relaxed);
            looked_at = now;
            if now >= notes_at {
                notes_at += told_every;
                self.send_notes();
            }
            let due_at = now + self.lag;
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                let Ok(output) = stream.try_clone() else { continue };
                last_connection += 1;
                arrivals.push_back((due_at, Arrival::Opened(last_connection, output)));
                streams.insert(last_connection, (stream, Vec::new()));
            }
            streams.retain(|connection, (stream, input)| {
                let mut bytes = [0; 4096];
                let open = loop {
                    match stream.read(&mut bytes) {
                        Ok(0) => break false,
                        Ok(count) => input.extend(&bytes[..count]),
                        Err(error) => break error.kind() == std::io::ErrorKind::WouldBlock,
                    }
                };
                while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
                    let line = String::from_utf8_lossy(&input[..end]).into_owned();
                    input.drain(..=end);
                    arrivals.push_back((due_at, Arrival::Line(*connection, line)));
                }
                if !open {
                    arrivals.push_back((due_at, Arrival::Ended(*connection)));
                }
                open
            });
            while arrivals.front().is_some_and(|(due_at, _)| *due_at <= Instant::now()) {
                match arrivals.pop_front() {
                    Some((_, Arrival::Opened(connection, output))) => self.opened(connection, output),
                    Some((_, Arrival::Line(connection, line))) => self.hear(connection, &line),
                    Some((_, Arrival::Ended(connection))) => self.ended(connection),
                    None => {}
                }
            }
            sleep(Duration::from_micros(LOOKS_EVERY_US.load(Ordering::Relaxed)));
        }
    }

    fn opened(&self, connection: u64, output: TcpStream) {
        let mut state = self.state.lock().unwrap();
        state.connections.insert(connection, output);
        self.record.note(format!("{}: connection {connection} opened", self.name()));
        for (session, cause) in std::mem::take(&mut state.waiting) {
            self.write_release(&mut state, connection, session, cause);
        }
    }

    fn ended(&self, connection: u64) {
        if self.state.lock().unwrap().connections.remove(&connection).is_some() {
            self.record.note(format!("{}: connection {connection} closed", self.name()));
        }
    }

    fn hear(&self, connection: u64, line: &str) {
        let mut state = self.state.lock().unwrap();
        if state.mode == Mode::Dead {
            return;
        }
        let (op, call) = (field(line, "op").unwrap_or(""), field(line, "call").unwrap_or(""));
        let Ok(session) = u64::from_str_radix(call, 16) else { return };
        match op {
            "offer" => {
                let accepted = state.mode == Mode::Accepts;
                state.offers.push(Offer { at: self.record.now(), session });
                self.record.note(format!(
                    "{}: offer of {session:016x} on connection {connection}: {}",
                    self.name(),
                    if accepted { "accepted" } else { "refused, cause 34" }
                ));
                let answer = if accepted {
                    state.sessions.insert(session, connection);
                    let description = answer_description(&self.name(), session);
                    format!("{{\"op\":\"accept\",\"call\":\"{call}\",\"with\":{{}},\"desc\":\"{description}\"}}\n")
                } else {
                    format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{}},\"why\":{FULL}}}\n")
                };
                self.write(&mut state, connection, &answer);
                if accepted {
                    let rung = field(line, "rung").unwrap_or("0");
                    let tier = format!(
                        "{{\"op\":\"info\",\"call\":\"{call}\",\"with\":{{\"note\":\"tier\",\"value\":\"{rung}\"}}}}\n"
                    );
                    self.write(&mut state, connection, &tier);
                    self.write_link_notes(&mut state, connection, session);
                }
            }
            "end" => {
                let stood = state.sessions.remove(&session).is_some();
                self.record.note(format!(
                    "{}: the controller ends {session:016x}{}",
                    self.name(),
                    if stood { ", which stood" } else { "" }
                ));
            }
            "test" => {
                let used = 0.1 + 0.02 * state.sessions.len() as f64;
                let answer = format!(
                    "{{\"op\":\"tested\",\"call\":\"{call}\",\"with\":{{\"load\":\"x0:{used:.3};x1:{used:.3}\"}},\"why\":1}}\n"
                );
                self.write(&mut state, connection, &answer);
            }
            _ => {}
        }
    }
}

/// The description that a streamer gives for a session.
pub fn answer_description(streamer: &str, session: u64) -> String {
    format!("{streamer} plays {session:016x}")
}

// ---------------------------------------------------------------- viewers

/// A frame that viewers received.
#[derive(Clone, Debug)]
pub struct Heard {
    pub at: Duration,
    pub connection: String,
    pub kind: u8,
    pub session: u64,
    pub cause: Option<u8>,
    pub stay_away_ms: Option<u64>,
    pub description: Option<String>,
}

impl Heard {
    pub fn is_answer(&self) -> bool {
        self.kind == 9
    }

    pub fn is_release(&self) -> bool {
        self.kind == 12
    }
}

/// All that viewers heard and sent, over all connections.
#[derive(Clone)]
pub struct Viewers {
    pub record: Record,
    heard: Arc<Mutex<Vec<Heard>>>,
    ended: Arc<Mutex<BTreeSet<String>>>,
}

/// What a set-up asks for.
#[derive(Clone)]
pub struct SetUp<'a> {
    pub session: u64,
    pub class: &'a str,
    pub wait_ms: u64,
    pub title: u64,
    pub home: u32,
    pub copies: u32,
    pub top: u8,
    pub viewer: u64,
    pub retry: bool,
    /// The streamer that it plays at already.
    pub at: Option<String>,
}

impl Viewers {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), heard: Arc::default(), ended: Arc::default() }
    }

    pub fn heard(&self) -> Vec<Heard> {
        self.heard.lock().unwrap().clone()
    }

    /// The first frame on a session that fits.
    pub fn find(&self, session: u64, fits: impl Fn(&Heard) -> bool) -> Option<Heard> {
        self.heard.lock().unwrap().iter().find(|h| h.session == session && fits(h)).cloned()
    }

    pub fn wait_for(&self, session: u64, timeout: Duration, fits: impl Fn(&Heard) -> bool) -> Option<Heard> {
        let end = self.record.now() + timeout;
        loop {
            let found = self.find(session, &fits);
            if found.is_some() || self.record.now() >= end {
                return found;
            }
            sleep(ms(2));
        }
    }

    pub fn connect(&self, name: &str, to: SocketAddrV4) -> Option<Connection> {
        let stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        self.record.note(format!("viewers: connection {name} opened"));
        let connection = Connection { name: name.to_owned(), viewers: self.clone(), stream };
        let (reading, viewers, name) = (connection.stream.try_clone().ok()?, self.clone(), name.to_owned());
        spawn(move || {
            let closing = reading.try_clone();
            viewers.read(&name, reading);
            let _ = closing.map(|stream| stream.shutdown(std::net::Shutdown::Both));
            viewers.ended.lock().unwrap().insert(name.clone());
            viewers.record.note(format!("viewers: connection {name} ended"));
        });
        Some(connection)
    }

    pub fn has_ended(&self, name: &str) -> bool {
        self.ended.lock().unwrap().contains(name)
    }

    fn read(&self, name: &str, mut stream: TcpStream) {
        let mut answers = stream.try_clone().expect("a descriptor");
        loop {
            let mut length = [0; 2];
            if stream.read_exact(&mut length).is_err() {
                return;
            }
            let mut frame = vec![0; usize::from(u16::from_be_bytes(length))];
            if frame.len() < 9 || stream.read_exact(&mut frame).is_err() {
                return;
            }
            let session = u64::from_be_bytes(frame[1..9].try_into().unwrap());
            let mut heard = Heard {
                at: self.record.now(),
                connection: name.to_owned(),
                kind: frame[0],
                session,
                cause: None,
                stay_away_ms: None,
                description: None,
            };
            let mut rest = &frame[9..];
            while rest.len() >= 3 {
                let size = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
                let Some(value) = rest.get(3..3 + size) else { break };
                match rest[0] {
                    75 => heard.cause = value.first().copied(),
                    51 => heard.stay_away_ms = String::from_utf8_lossy(value).parse().ok(),
                    78 => heard.description = Some(String::from_utf8_lossy(value).into_owned()),
                    _ => {}
                }
                rest = &rest[3 + size..];
            }
            let what = match heard.kind {
                9 => format!("answer for {session:016x}: {:?}", heard.description),
                12 => format!(
                    "release of {session:016x}, cause {:?}, stay away {:?} ms",
                    heard.cause, heard.stay_away_ms
                ),
                51 => format!("move of {session:016x}"),
                53 => format!("test {:?}", heard.cause),
                kind => format!("type {kind} for {session:016x}"),
            };
            self.record.note(format!("viewers: heard on {name}: {what}"));
            if heard.kind == 12 {
                // Release heard.
                let _ = answers.write_all(&frame_bytes(16, session, &[]));
            }
            self.heard.lock().unwrap().push(heard);
        }
    }
}

pub struct Connection {
    pub name: String,
    viewers: Viewers,
    stream: TcpStream,
}

fn frame_bytes(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut frame = vec![kind];
    frame.extend(session.to_be_bytes());
    for (code, value) in parameters {
        frame.push(*code);
        frame.extend((value.len() as u16).to_be_bytes());
        frame.extend(*value);
    }
    [&(frame.len() as u16).to_be_bytes()[..], &frame].concat()
}

impl Connection {
    pub fn set_up(&mut self, set_up: &SetUp<'_>) -> bool {
        let SetUp { session, class, wait_ms, title, home, copies, top, viewer, retry, at } = set_up;
        let mut figures = format!("home:{home};copies:{copies};top:{top};viewer:{viewer:016x}");
        if let Some(streamer) = at {
            figures += &format!(";at:{streamer}");
        }
        let (wait, title) = (wait_ms.to_string(), format!("{title:016x}"));
        let description = format!("viewer {viewer:016x}");
        let mut parameters: Vec<(u8, &[u8])> = vec![(33, class.as_bytes()), (36, wait.as_bytes())];
        if *retry {
            parameters.push((42, b"1"));
        }
        parameters.extend([(45, title.as_bytes()), (48, figures.as_bytes()), (78, description.as_bytes())]);
        let what = if at.is_some() { "hand-over" } else { "set-up" };
        self.viewers.record.note(format!(
            "viewers: {what} of {session:016x} ({class}, waits {wait} ms, {figures}) on {}",
            self.name
        ));
        self.stream.write_all(&frame_bytes(1, *session, &parameters)).is_ok()
    }

    pub fn close(self) {
        self.viewers.record.note(format!("viewers: connection {} is closed", self.name));
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

// ---------------------------------------------------------------- the controller's process

pub struct Controller {
    child: Child,
    pub listen: SocketAddrV4,
    folder: PathBuf,
    record: Record,
}

pub struct Place {
    pub name: &'static str,
    pub listen: SocketAddrV4,
    pub folder: PathBuf,
    /// The settings as JSON.
    pub settings: String,
    /// The limit on descriptors.
    pub sockets: u32,
}

impl Place {
    pub fn new(name: &'static str, folder: &Path, settings: String) -> Self {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port").local_addr().unwrap().port();
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Self { name, listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, free), folder, settings, sockets: 256 }
    }
}

/// The command under `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("run");
    line.trim().trim_matches('"').to_owned()
}

impl Controller {
    /// Starts a controller with the deploy file's command.
    pub fn spawn(record: &Record, place: &Place, names: &Names) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let configuration = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":{}}},\
             \"names\":\"{}\",\"known\":{},\"settings\":{}}}",
            place.name,
            place.listen,
            nanos.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            place.sockets,
            names.address,
            names.known(),
            place.settings
        );
        let (config, temporary) = (place.folder.join("config.json"), place.folder.join("tmp"));
        std::fs::write(&config, configuration).expect("a configuration");
        let _ = std::fs::create_dir_all(&temporary);
        let log = File::options().create(true).append(true).open(place.folder.join("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("GW_NAME", place.name)
            .env("GW_LISTEN", place.listen.to_string())
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("a controller");
        record.note(format!("platform: {} started at {}", place.name, place.listen));
        Self { child, listen: place.listen, folder: place.folder.clone(), record: record.clone() }
    }

    /// Waits until a test is passed.
    pub fn wait_ready(&mut self, timeout: Duration) -> bool {
        let end = self.record.now() + timeout;
        while self.record.now() < end {
            if self.passes_a_test() {
                self.record.note("platform: the controller passed its first test");
                return true;
            }
            if self.child.try_wait().ok().flatten().is_some() {
                return false;
            }
            sleep(ms(20));
        }
        false
    }

    fn passes_a_test(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let mut answer = [0; 15];
        stream.write_all(&frame_bytes(52, 1, &[(75, &[0])])).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && (answer[2], answer[14]) == (53, 1)
    }

    pub fn signal(&self, signal: i32, what: &str) {
        self.record.note(format!("platform: {what}"));
        // SAFETY: a system call on the id of a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// The last lines of the log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if !self.has_exited() {
            self.signal(SIGCONT, "the end: SIGCONT");
            self.signal(SIGKILL, "the end: SIGKILL");
            let _ = self.child.wait();
        }
        for line in self.log().lines() {
            self.record.note(format!("controller's log: {line}"));
        }
    }
}
