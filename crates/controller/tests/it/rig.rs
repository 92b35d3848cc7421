//! A controller process between a list service, streamers and viewers that a test scripts.

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
use badgerledge_settings::Sheet;
use badgerledge_standins::{free_port, ListService, Streamers, Told};
use badgerledge_witness::Witness;
use tempfile::TempDir;

/// Nothing on loopback takes this long.
pub const PATIENCE: Duration = Duration::from_secs(10);

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

/// Title 7 lies everywhere, title 8 on the first cell alone, title 9 on the last.
pub const CATALOGUE: &str = "[title 7]\nroom_type = clip\nfirst_cell = 0\ncopies = 4\n\
                         [title 8]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n\
                         [title 9]\nroom_type = clip\nfirst_cell = 3\ncopies = 1\n";

/// What a test has the list service learn: a streamer's cell and address, and its health.
type Word = (u32, SocketAddrV4, Health);

/// The list service, and where wanted four good streamers, in a thread of their own.
pub struct Backdrop {
    pub list: SocketAddr,
    words: Sender<Option<Word>>,
    thread: Option<JoinHandle<()>>,
}

impl Backdrop {
    pub fn new(good_streamers: bool) -> Self {
        Self::on_cells(if good_streamers { 4 } else { 0 })
    }

    /// With a good streamer on each of the first cells.
    pub fn on_cells(count: u32) -> Self {
        let (words, heard) = channel();
        let (ready, list) = channel();
        let thread = std::thread::spawn(move || serve(count, &heard, &ready));
        Self { list: list.recv().unwrap(), words, thread: Some(thread) }
    }

    pub fn learn(&self, cell: u32, at: SocketAddrV4, health: Health) {
        self.words.send(Some((cell, at, health))).unwrap();
    }
}

impl Drop for Backdrop {
    fn drop(&mut self) {
        let _ = self.words.send(None);
        self.thread.take().map(JoinHandle::join);
    }
}

fn serve(good_cells: u32, words: &Receiver<Option<Word>>, ready: &Sender<SocketAddr>) {
    let shared = Shared::of(&Sheet::parse("shared.ini", SHARED).unwrap()).unwrap();
    let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
    let mut witness = Witness::new(shared.clone());
    let mut list = ListService::new(&mut reactor, (Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let mut streamers = Streamers::new(shared, 1);
    let now = reactor.now();
    for cell in 0..good_cells {
        streamers.add(&mut reactor, Told { zone: 0, kind: 0, cell, weight: 1.0 }, None).unwrap();
        let at = streamers.at(cell as usize);
        list.learn(now, Duration::ZERO, at, 0, 0, cell, Health::Ready, 1.0, 1, None);
    }
    list.tend(&mut reactor, now, &mut witness);
    ready.send(list.at()).unwrap();
    let mut told = Vec::new();
    loop {
        reactor.wait(Some(reactor.clock() + Duration::from_millis(5)), &mut told).unwrap();
        let now = reactor.now();
        while let Ok(word) = words.try_recv() {
            let Some((cell, at, health)) = word else { return };
            list.learn(now, Duration::ZERO, at, 0, 0, cell, health, 1.0, 1, None);
        }
        for happening in told.drain(..) {
            let _ = streamers.take(&mut reactor, now, &happening, &mut witness)
                || list.take(&mut reactor, now, &happening, &mut witness);
        }
        list.tend(&mut reactor, now, &mut witness);
        streamers.tend(&mut reactor, now);
        reactor.flush();
    }
}

/// A controller process, killed when dropped.
pub struct Controller {
    pub at: SocketAddr,
    pub metrics: SocketAddr,
    /// Settings, state and log.
    pub folder: TempDir,
    child: Child,
}

impl Controller {
    /// `more` are further lines of its `[controller]` section.
    pub fn start(list: SocketAddr, more: &str) -> Self {
        Self::start_with_titles(list, more, CATALOGUE)
    }

    /// The same with other titles.
    pub fn start_with_titles(list: SocketAddr, more: &str, titles: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (at, metrics) = (free_port().unwrap(), free_port().unwrap());
        write_settings(folder.path(), at, list, metrics, more);
        std::fs::write(folder.path().join("titles.ini"), titles).unwrap();
        if more.contains("[revisions]") {
            badgerledge_controller::revising::found(&folder.path().join("state")).unwrap();
        }
        let child = spawn(folder.path());
        let controller = Self { at, metrics, folder, child };
        controller.wait_ready();
        controller
    }

    fn wait_ready(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.at).is_err() {
            assert!(begun.elapsed() < PATIENCE, "no controller:\n{}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until it has so many streamers on its list.
    pub fn wait_listed(&self, count: usize) {
        self.wait_metric("badgerledge_streamers_listed", |value| value == count as f64);
    }

    pub fn wait_metric(&self, name: &str, wanted: impl Fn(f64) -> bool) {
        let begun = Instant::now();
        while !self.metric(name).is_some_and(&wanted) {
            assert!(begun.elapsed() < PATIENCE, "{name} is {:?}; log:\n{}", self.metric(name), self.log());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn page(&self, path: &str) -> Option<String> {
        let mut page = TcpStream::connect(self.metrics).ok()?;
        page.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).ok()?;
        let mut text = String::new();
        page.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// Waits until the accounts that it shows are as wanted.
    pub fn wait_accounts(&self, wanted: impl Fn(&Accounts) -> bool) {
        let begun = Instant::now();
        loop {
            let page = self.page("/accounts").unwrap_or_default();
            let body = page.split_once("\r\n\r\n").map_or("", |page| page.1);
            if Accounts::read(body).is_ok_and(|accounts| wanted(&accounts)) {
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "{page}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.page("/metrics")?;
        let line = text
            .lines()
            .find(|line| line.strip_prefix(name).is_some_and(|rest| rest.starts_with([' ', '{'])));
        line?.rsplit(' ').next()?.parse().ok()
    }

    pub fn kill_and_restart(&mut self) {
        self.kill();
        self.restart();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn restart(&mut self) {
        self.child = spawn(self.folder.path());
        self.wait_ready();
    }

    pub fn signal(&mut self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32).unwrap();
        rustix::process::kill_process(pid, signal).unwrap();
    }

    pub fn wait_end(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    pub fn write(&self, file: &str, text: &str) {
        std::fs::write(self.folder.path().join(file), text).unwrap();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    pub fn wait_log(&self, words: &str) {
        let begun = Instant::now();
        while !self.log().contains(words) {
            assert!(begun.elapsed() < PATIENCE, "not in the log: {words}\n{}", self.log());
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

fn write_settings(folder: &Path, at: SocketAddr, list: SocketAddr, metrics: SocketAddr, more: &str) {
    let one = if more.contains("controllers = ") { "" } else { "controllers = 1\n" };
    let text = format!(
        "[controller]\n{one}zone = a\nlisten = {at}\nlist = {list}\nmetrics = {metrics}\n\
         catalogue = titles.ini\nstate = {}\nseed = 3\n{more}{SHARED}",
        folder.join("state").display()
    );
    std::fs::write(folder.join("controller.ini"), text).unwrap();
    std::fs::write(folder.join("titles.ini"), CATALOGUE).unwrap();
}

/// What a controller says that does not begin with these settings.
pub fn not_begun(more: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let (at, metrics) = (free_port().unwrap(), free_port().unwrap());
    write_settings(folder.path(), at, at, metrics, more);
    let ended = spawn(folder.path()).wait().unwrap();
    assert!(!ended.success());
    std::fs::read_to_string(folder.path().join("log")).unwrap()
}

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

/// One end of a connection that a test scripts, at a viewer or at a streamer.
pub struct Talk {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Talk {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self { stream, held: Vec::new() }
    }

    pub fn to(at: SocketAddr) -> Self {
        Self::new(TcpStream::connect(at).unwrap())
    }

    pub fn say(&mut self, text: &str) {
        self.stream.write_all(text.replace('\n', "\r\n").as_bytes()).unwrap();
    }

    /// The next message's head, or a frame as `$CHANNEL LENGTH`; empty at the connection's end.
    pub fn hear(&mut self) -> String {
        loop {
            if let Some(text) = self.whole() {
                return text;
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return String::new(),
                Ok(count) => self.held.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return String::new(),
                Err(e) => panic!("{e} after {:?}", String::from_utf8_lossy(&self.held)),
            }
        }
    }

    fn whole(&mut self) -> Option<String> {
        if self.held.first() == Some(&b'$') {
            let length = usize::from(u16::from_be_bytes([*self.held.get(2)?, *self.held.get(3)?]));
            let text = format!("${} {length}", self.held[1]);
            (self.held.len() >= 4 + length).then(|| self.held.drain(..4 + length))?;
            return Some(text);
        }
        let end = self.held.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let text = String::from_utf8(self.held.drain(..end).collect()).unwrap();
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        self.held.drain(..length.min(self.held.len()));
        Some(text)
    }

    /// The next message, media passed over.
    pub fn hear_message(&mut self) -> String {
        loop {
            let text = self.hear();
            if !text.starts_with('$') {
                return text;
            }
        }
    }

    pub fn set_up(&mut self, cseq: u32, title: u64, viewer: u64, more: &str) {
        self.say(&format!(
            "SETUP rtsp://h/{title:x}/stream RTSP/1.0\nCSeq: {cseq}\nTransport: RTP/AVP/TCP;interleaved=0-1\n\
             Viewer: {viewer:x}\n{more}\n"
        ));
    }

    /// Answers the request that was heard last, as a streamer.
    pub fn answer(&mut self, asked: &str, status: &str) {
        let cseq = header(asked, "CSeq");
        self.say(&format!("RTSP/1.0 {status}\nCSeq: {cseq}\nSession: 5\n\n"));
    }

    pub fn media(&mut self, bytes: &[u8]) {
        let length = (bytes.len() as u16).to_be_bytes();
        self.stream.write_all(&[b'$', 0, length[0], length[1]]).unwrap();
        self.stream.write_all(bytes).unwrap();
    }
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

pub fn header(message: &str, name: &str) -> String {
    let found = message.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    found.unwrap_or_else(|| panic!("no {name} in {message:?}")).to_owned()
}

/// A streamer that a test scripts: it listens, and the list names it.
pub struct Scripted {
    listener: TcpListener,
    pub at: SocketAddrV4,
}

impl Scripted {
    pub fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        match listener.local_addr().unwrap() {
            SocketAddr::V4(at) => Self { listener, at },
            SocketAddr::V6(at) => panic!("{at}"),
        }
    }

    /// The next join, with its SETUP.
    pub fn join(&self) -> (Talk, String) {
        first_join(std::slice::from_ref(self)).1
    }

    fn try_join(&self) -> Option<(Talk, String)> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        let mut talk = Talk::new(stream);
        let asked = talk.hear();
        Some((talk, asked))
    }

    /// Whether no join comes within that time.
    pub fn is_left_alone(&self, span: Duration) -> bool {
        std::thread::sleep(span);
        self.try_join().is_none()
    }
}

/// The next join at any of these streamers, and at which.
pub fn first_join(streamers: &[Scripted]) -> (usize, (Talk, String)) {
    let begun = Instant::now();
    loop {
        for (n, streamer) in streamers.iter().enumerate() {
            if let Some(join) = streamer.try_join() {
                return (n, join);
            }
        }
        assert!(begun.elapsed() < PATIENCE, "no join came");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A controller with scripted streamers on the first cells.
pub fn with_streamers(count: usize, more: &str) -> (Backdrop, Controller, Vec<Scripted>) {
    let backdrop = Backdrop::new(false);
    let streamers: Vec<Scripted> = (0..count).map(|_| Scripted::new()).collect();
    for (cell, streamer) in streamers.iter().enumerate() {
        backdrop.learn(cell as u32, streamer.at, Health::Ready);
    }
    let controller = Controller::start(backdrop.list, more);
    controller.wait_listed(count);
    (backdrop, controller, streamers)
}

/// Plays a join out to where media flows.
pub fn flow(join: &mut Talk, asked: &str) {
    join.answer(asked, "200 OK");
    let play = join.hear();
    assert!(play.starts_with("PLAY"), "{play}");
    join.answer(&play, "200 OK");
    join.media(b"first packet");
}
