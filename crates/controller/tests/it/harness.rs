//! Test harness: a controller process between a list service, streamers and viewers that a test scripts.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use badgerledge_accounts::Accounts;
use badgerledge_core::interface::Health;
use badgerledge_deployment::Shared;
use badgerledge_reactor::Reactor;
use badgerledge_settings::IniFile;
use badgerledge_standins::{free_port, ListService, Streamers, Told};
use badgerledge_witness::RuleChecker;
use rustix::process::{kill_process, Pid, Signal};
use tempfile::TempDir;

/// Time limit of every wait; nothing on loopback takes this long.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// The settings that all controllers of a test share.
pub const SHARED: &str = "\
[fleet]
zones = a
kinds = k
kind_streams = 50
cells = 4
racks = 2
link_unit_kb = 1000
links_kb = 4000
uplink_kb = 2000
report = x0, x1
[ladder]
rates_kb = 10, 20
benefit = 0.5, 1
[room_type clip]
join_objective_ms = 1000
client_timeout_ms = 2000
benefit = 1
[rules]
drain_grace_ms = 200
";

/// Title 7 has copies on all cells, title 8 on the first cell only, title 9 on the last only.
pub const CATALOGUE: &str = "[title 7]\nroom_type = clip\nfirst_cell = 0\ncopies = 4\n\
                         [title 8]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n\
                         [title 9]\nroom_type = clip\nfirst_cell = 3\ncopies = 1\n";

/// An update of the list service: a streamer's cell, address and health.
type StreamerUpdate = (u32, SocketAddrV4, Health);

/// The list service, and optionally working streamers, in a thread of their own.
pub struct Environment {
    pub list: SocketAddr,
    updates: Sender<Option<StreamerUpdate>>,
    thread: Option<JoinHandle<()>>,
}

impl Environment {
    /// Starts the list service, and four working streamers if wanted.
    pub fn new(with_streamers: bool) -> Self {
        Self::on_cells(if with_streamers { 4 } else { 0 })
    }

    /// Starts a working streamer on each of the first cells.
    pub fn on_cells(count: u32) -> Self {
        let (updates, received_updates) = channel();
        let (ready, list) = channel();
        let thread = std::thread::spawn(move || serve(count, &received_updates, &ready));
        Self { list: list.recv().unwrap(), updates, thread: Some(thread) }
    }

    /// Has the list service publish a streamer.
    pub fn publish(&self, cell: u32, at: SocketAddrV4, health: Health) {
        self.updates.send(Some((cell, at, health))).unwrap();
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = self.updates.send(None);
        self.thread.take().map(JoinHandle::join);
    }
}

/// Runs the list service and the streamers until the test ends.
fn serve(cells: u32, updates: &Receiver<Option<StreamerUpdate>>, ready: &Sender<SocketAddr>) {
    let shared = Shared::of(&IniFile::parse("shared.ini", SHARED).unwrap()).unwrap();
    let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
    let mut rule_checker = RuleChecker::new(shared.clone());
    let mut list = ListService::new(&mut reactor, (Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let mut streamers = Streamers::new(shared, 1);
    let now = reactor.now();
    for cell in 0..cells {
        streamers.add(&mut reactor, Told { zone: 0, kind: 0, cell, weight: 1.0 }, None).unwrap();
        let at = streamers.at(cell as usize);
        list.learn(now, Duration::ZERO, at, 0, 0, cell, Health::Ready, 1.0, 1, None);
    }
    list.tend(&mut reactor, now, &mut rule_checker);
    ready.send(list.at()).unwrap();
    let mut events = Vec::new();
    loop {
        reactor.wait(Some(reactor.clock() + Duration::from_millis(5)), &mut events).unwrap();
        let now = reactor.now();
        while let Ok(update) = updates.try_recv() {
            let Some((cell, at, health)) = update else { return };
            list.learn(now, Duration::ZERO, at, 0, 0, cell, health, 1.0, 1, None);
        }
        for event in events.drain(..) {
            let _ = streamers.take(&mut reactor, now, &event, &mut rule_checker)
                || list.take(&mut reactor, now, &event, &mut rule_checker);
        }
        list.tend(&mut reactor, now, &mut rule_checker);
        streamers.tend(&mut reactor, now);
        reactor.flush();
    }
}

/// A controller process, killed when dropped.
pub struct Controller {
    pub at: SocketAddr,
    pub metrics: SocketAddr,
    /// Holds the settings, the state and the log.
    pub folder: TempDir,
    child: Child,
}

impl Controller {
    /// Starts a controller; `more` holds further lines of its `[controller]` section.
    pub fn start(list: SocketAddr, more: &str) -> Self {
        Self::start_with_titles(list, more, CATALOGUE)
    }

    /// Starts a controller with these titles.
    pub fn start_with_titles(list: SocketAddr, more: &str, titles: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (at, metrics) = (free_port().unwrap(), free_port().unwrap());
        write_settings(folder.path(), at, list, metrics, more);
        std::fs::write(folder.path().join("titles.ini"), titles).unwrap();
        if more.contains("[revisions]") {
            badgerledge_controller::revising::create_state(&folder.path().join("state")).unwrap();
        }
        let child = spawn(folder.path());
        let controller = Self { at, metrics, folder, child };
        controller.wait_ready();
        controller
    }

    fn wait_ready(&self) {
        let started = Instant::now();
        while TcpStream::connect(self.at).is_err() {
            assert!(started.elapsed() < TIMEOUT, "the controller does not listen; log:\n{}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until this many streamers are on the controller's list.
    pub fn wait_listed(&self, count: usize) {
        self.wait_metric("badgerledge_streamers_listed", |value| value == count as f64);
    }

    /// Waits until a metric satisfies a condition.
    pub fn wait_metric(&self, name: &str, condition: impl Fn(f64) -> bool) {
        let started = Instant::now();
        while !self.metric(name).is_some_and(&condition) {
            assert!(started.elapsed() < TIMEOUT, "{name} is {:?}; log:\n{}", self.metric(name), self.log());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The response of the metrics address to a GET request.
    fn fetch_page(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.metrics).ok()?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// Waits until the accounts that the controller exports satisfy a condition.
    pub fn wait_accounts(&self, condition: impl Fn(&Accounts) -> bool) {
        let started = Instant::now();
        loop {
            let response = self.fetch_page("/accounts").unwrap_or_default();
            let body = response.split_once("\r\n\r\n").map_or("", |parts| parts.1);
            if Accounts::decode(body).is_ok_and(|accounts| condition(&accounts)) {
                return;
            }
            assert!(started.elapsed() < TIMEOUT, "{response}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The value of a metric, by its name and optionally its labels.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.fetch_page("/metrics")?;
        let line = text
            .lines()
            .find(|line| line.strip_prefix(name).is_some_and(|rest| rest.starts_with([' ', '{'])));
        line?.rsplit(' ').next()?.parse().ok()
    }

    pub fn kill_and_restart(&mut self) {
        self.kill();
        self.restart();
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the process again with its settings and state.
    pub fn restart(&mut self) {
        self.child = spawn(self.folder.path());
        self.wait_ready();
    }

    pub fn signal(&mut self, signal: Signal) {
        signal_process(&self.child, signal);
    }

    /// Waits for the process to exit, and returns whether it succeeded.
    pub fn exits_successfully(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    /// Writes a file in the folder of the settings.
    pub fn write(&self, file: &str, text: &str) {
        std::fs::write(self.folder.path().join(file), text).unwrap();
    }

    /// The log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    /// Waits until the log contains a text.
    pub fn wait_log(&self, text: &str) {
        let started = Instant::now();
        while !self.log().contains(text) {
            assert!(started.elapsed() < TIMEOUT, "not in the log: {text}\n{}", self.log());
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the settings and the catalogue of a controller.
fn write_settings(folder: &Path, at: SocketAddr, list: SocketAddr, metrics: SocketAddr, more: &str) {
    let count = if more.contains("controllers = ") { "" } else { "controllers = 1\n" };
    let text = format!(
        "[controller]\n{count}zone = a\nlisten = {at}\nlist = {list}\nmetrics = {metrics}\n\
         catalogue = titles.ini\nstate = {}\nseed = 3\n{more}{SHARED}",
        folder.join("state").display()
    );
    std::fs::write(folder.join("controller.ini"), text).unwrap();
    std::fs::write(folder.join("titles.ini"), CATALOGUE).unwrap();
}

/// The log of a controller that must fail to start with these settings.
pub fn startup_failure(more: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let (at, metrics) = (free_port().unwrap(), free_port().unwrap());
    write_settings(folder.path(), at, at, metrics, more);
    let ended = spawn(folder.path()).wait().unwrap();
    assert!(!ended.success());
    std::fs::read_to_string(folder.path().join("log")).unwrap()
}

/// Starts the program with the settings in a folder.
fn spawn(folder: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(folder.join("log")).unwrap();
    crate::controller_program()
        .arg("run")
        .arg(folder.join("controller.ini"))
        .stdin(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap()
}

/// A scripted RTSP peer: one side of a connection, as a viewer or as a streamer.
pub struct RtspPeer {
    pub stream: TcpStream,
    buffered: Vec<u8>,
}

impl RtspPeer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self { stream, buffered: Vec::new() }
    }

    /// Connects to an address.
    pub fn to(at: SocketAddr) -> Self {
        Self::new(TcpStream::connect(at).unwrap())
    }

    /// Sends a text with its line ends as CRLF.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.replace('\n', "\r\n").as_bytes()).unwrap();
    }

    /// Receives the next message's head, or a frame as `$CHANNEL LENGTH`; empty when the connection is
    /// closed.
    pub fn receive(&mut self) -> String {
        loop {
            if let Some(text) = self.take_complete() {
                return text;
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return String::new(),
                Ok(count) => self.buffered.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return String::new(),
                Err(e) => panic!("{e} after {:?}", String::from_utf8_lossy(&self.buffered)),
            }
        }
    }

    /// Takes the next complete message or frame from the buffer.
    fn take_complete(&mut self) -> Option<String> {
        if self.buffered.first() == Some(&b'$') {
            let length = usize::from(u16::from_be_bytes([*self.buffered.get(2)?, *self.buffered.get(3)?]));
            let text = format!("${} {length}", self.buffered[1]);
            (self.buffered.len() >= 4 + length).then(|| self.buffered.drain(..4 + length))?;
            return Some(text);
        }
        let end = self.buffered.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let text = String::from_utf8(self.buffered.drain(..end).collect()).unwrap();
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        self.buffered.drain(..length.min(self.buffered.len()));
        Some(text)
    }

    /// Receives the next message, skipping media.
    pub fn receive_message(&mut self) -> String {
        loop {
            let text = self.receive();
            if !text.starts_with('$') {
                return text;
            }
        }
    }

    /// Sends a SETUP, as a viewer.
    pub fn set_up(&mut self, cseq: u32, title: u64, viewer: u64, more: &str) {
        self.send(&format!(
            "SETUP rtsp://h/{title:x}/stream RTSP/1.0\nCSeq: {cseq}\nTransport: RTP/AVP/TCP;interleaved=0-1\n\
             Viewer: {viewer:x}\n{more}\n"
        ));
    }

    /// Answers a received request, as a streamer.
    pub fn answer(&mut self, request: &str, status: &str) {
        let cseq = header(request, "CSeq");
        self.send(&format!("RTSP/1.0 {status}\nCSeq: {cseq}\nSession: 5\n\n"));
    }

    /// Sends a packet of media, as a streamer.
    pub fn send_media(&mut self, bytes: &[u8]) {
        let length = (bytes.len() as u16).to_be_bytes();
        self.stream.write_all(&[b'$', 0, length[0], length[1]]).unwrap();
        self.stream.write_all(bytes).unwrap();
    }
}

/// Sends a signal to a process. One that is stopped has stopped on return: until then it may run on, and a signal to
/// continue would undo the one to stop.
pub fn signal_process(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
    let stat = format!("/proc/{}/stat", child.id());
    let end = Instant::now() + TIMEOUT;
    while signal == Signal::STOP && !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
        assert!(Instant::now() < end, "not stopped in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The status code of a response; 0 if it has none.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// The value of a header, which must be present.
pub fn header(message: &str, name: &str) -> String {
    let found = message.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    found.unwrap_or_else(|| panic!("no {name} in {message:?}")).to_owned()
}

/// A scripted streamer: a listener whose joins the test answers.
pub struct ScriptedStreamer {
    listener: TcpListener,
    pub at: SocketAddrV4,
}

impl ScriptedStreamer {
    pub fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        match listener.local_addr().unwrap() {
            SocketAddr::V4(at) => Self { listener, at },
            SocketAddr::V6(at) => panic!("{at}"),
        }
    }

    /// Waits for the next join, and returns it with its SETUP.
    pub fn join(&self) -> (RtspPeer, String) {
        first_join(std::slice::from_ref(self)).1
    }

    fn try_join(&self) -> Option<(RtspPeer, String)> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        let mut peer = RtspPeer::new(stream);
        let request = peer.receive();
        Some((peer, request))
    }

    /// Whether no join arrives within that time.
    pub fn receives_no_join(&self, duration: Duration) -> bool {
        std::thread::sleep(duration);
        self.try_join().is_none()
    }
}

/// Waits for the next join at any of these streamers, and returns the streamer's index with it.
pub fn first_join(streamers: &[ScriptedStreamer]) -> (usize, (RtspPeer, String)) {
    let started = Instant::now();
    loop {
        for (index, streamer) in streamers.iter().enumerate() {
            if let Some(join) = streamer.try_join() {
                return (index, join);
            }
        }
        assert!(started.elapsed() < TIMEOUT, "no join arrived");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Starts a controller with scripted streamers on the first cells.
pub fn with_streamers(count: usize, more: &str) -> (Environment, Controller, Vec<ScriptedStreamer>) {
    let environment = Environment::new(false);
    let streamers: Vec<ScriptedStreamer> = (0..count).map(|_| ScriptedStreamer::new()).collect();
    for (cell, streamer) in streamers.iter().enumerate() {
        environment.publish(cell as u32, streamer.at, Health::Ready);
    }
    let controller = Controller::start(environment.list, more);
    controller.wait_listed(count);
    (environment, controller, streamers)
}

/// Completes a join as its streamer, up to the first packet of media.
pub fn complete_join(join: &mut RtspPeer, request: &str) {
    join.answer(request, "200 OK");
    let play = join.receive();
    assert!(play.starts_with("PLAY"), "{play}");
    join.answer(&play, "200 OK");
    join.send_media(b"first packet");
}
