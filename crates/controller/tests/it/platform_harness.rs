//! Test harness of the controller on the platform: small stand-ins for viewers, streamers and the name
//! service, and the process between them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use badgerledge_standins::free_port;
use rustix::process::Signal;
use serde_json::{json, Value};
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, ResourceRecord, CLASS};
use tempfile::TempDir;

use crate::harness::{signal_process, TIMEOUT};

/// Kinds of frames that viewers receive.
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
/// Causes of releases.
pub const NORMAL: u8 = 16;
pub const FAILED: u8 = 41;
/// A viewer must be told of the end of its subscription within this time of the release by the streamer.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(1050);

/// The streamer accepts offers.
pub const ACCEPTING: u8 = 0;
/// The streamer answers with truncated messages.
pub const TRUNCATING: u8 = 1;
/// The streamer does not answer.
pub const SILENT: u8 = 2;
/// The streamer's process has ended: the next connection is accepted and dropped, later ones are refused.
pub const EXITED: u8 = 3;

/// A streamer's accepted connections, in the order in which they arrived.
pub type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// A stand-in streamer: answers as its mode says, and forwards all messages that it receives to the test.
pub struct Streamer {
    pub id: u32,
    pub at: SocketAddrV4,
    pub mode: Arc<AtomicU8>,
    received: Receiver<Value>,
    pub connections: Connections,
    /// When each offer arrived.
    pub offers: Arc<Mutex<Vec<Instant>>>,
    /// How much later than others the first connection is read, in milliseconds.
    first_read_delay_ms: Arc<AtomicUsize>,
}

impl Streamer {
    /// Starts a streamer on a free port.
    pub fn new(id: u32) -> Self {
        Self::at(id, TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap())
    }

    /// Starts a streamer on this listener.
    pub fn at(id: u32, listener: TcpListener) -> Self {
        let at = v4(&listener);
        let (mode, connections) = (Arc::new(AtomicU8::new(ACCEPTING)), Connections::default());
        let (forward, received) = channel();
        let offers = Arc::new(Mutex::new(Vec::new()));
        let (shared_mode, shared_connections, shared_offers) =
            (mode.clone(), connections.clone(), offers.clone());
        let first_read_delay_ms = Arc::new(AtomicUsize::new(0));
        let shared_delay = first_read_delay_ms.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if shared_mode.load(Ordering::SeqCst) == EXITED {
                    break;
                }
                let is_first = shared_connections.lock().unwrap().is_empty();
                shared_connections.lock().unwrap().push(stream.try_clone().unwrap());
                let (mode, forward, offers) = (shared_mode.clone(), forward.clone(), shared_offers.clone());
                let read_delay_ms = if is_first { shared_delay.clone() } else { Arc::default() };
                std::thread::spawn(move || serve(stream, &mode, &read_delay_ms, &forward, &offers));
            }
        });
        Self { id, at, mode, received, connections, offers, first_read_delay_ms }
    }

    /// Reads messages on its first connection this much later than on others.
    pub fn read_first_connection_late(&self, delay: Duration) {
        self.first_read_delay_ms.store(delay.as_millis() as usize, Ordering::SeqCst);
    }

    /// Sends a message on its newest connection.
    pub fn send(&self, message: &Value) {
        let mut connections = self.connections.lock().unwrap();
        connections.last_mut().unwrap().write_all(format!("{message}\n").as_bytes()).unwrap();
    }

    /// Sends the release of a subscription on its newest connection.
    pub fn release(&self, wire_id: u64, cause: u8) {
        self.send(&json!({"op": "end", "call": format!("{wire_id:016x}"), "with": {}, "why": cause}));
    }

    /// Sends a progress report on a subscription on its newest connection.
    pub fn report_progress(&self, wire_id: u64) {
        self.report(wire_id, "kept_up", 1.0);
    }

    /// Sends how much of its link is asked for, with a subscription that plays, if it is connected.
    pub fn report_link(&self, wire_id: u64, utilization: f64) {
        if !self.connections.lock().unwrap().is_empty() {
            self.report(wire_id, "wire", utilization);
        }
    }

    fn report(&self, wire_id: u64, note: &str, value: f64) {
        let fields = json!({"note": note, "value": value.to_string()});
        self.send(&json!({"op": "info", "call": format!("{wire_id:016x}"), "with": fields}));
    }

    /// Sends a message on one of its connections, by the order in which they arrived.
    pub fn send_on(&self, connection: usize, message: &Value) {
        self.connections.lock().unwrap()[connection].write_all(format!("{message}\n").as_bytes()).unwrap();
    }

    /// Writes bytes on one of its connections.
    pub fn send_raw_on(&self, connection: usize, bytes: &[u8]) {
        self.connections.lock().unwrap()[connection].write_all(bytes).unwrap();
    }

    /// The number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    /// Closes one of its connections, with a reset or in order.
    pub fn close(&self, connection: usize, reset: bool) {
        let stream = &self.connections.lock().unwrap()[connection];
        if reset {
            // Its reader holds the socket, too, so that dropping it would close nothing.
            rustix::net::connect_unspec(stream).unwrap();
        } else {
            stream.shutdown(std::net::Shutdown::Both).unwrap();
        }
    }

    /// All messages received and not taken yet, once nothing has arrived for that long.
    pub fn take_received(&self, quiet: Duration) -> Vec<Value> {
        std::iter::from_fn(|| self.received.recv_timeout(quiet).ok()).collect()
    }

    /// Waits for a message of that kind on that subscription.
    pub fn wait_for(&self, op: &str, wire_id: u64) -> Value {
        loop {
            let message = self.received.recv_timeout(TIMEOUT).expect("a message in time");
            if message["op"] == op && message["call"] == format!("{wire_id:016x}") {
                return message;
            }
        }
    }
}

/// The address of a listener on loopback.
pub fn v4(listener: &TcpListener) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

/// Serves one connection of a streamer.
fn serve(
    stream: TcpStream, mode: &AtomicU8, read_delay_ms: &AtomicUsize, forward: &Sender<Value>,
    offers: &Mutex<Vec<Instant>>,
) {
    let mut out = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        std::thread::sleep(Duration::from_millis(read_delay_ms.load(Ordering::SeqCst) as u64));
        let message: Value = serde_json::from_str(&line).expect("a message");
        if message["op"] == "offer" {
            offers.lock().unwrap().push(Instant::now());
        }
        let answer = match (mode.load(Ordering::SeqCst), message["op"].as_str()) {
            (ACCEPTING, Some("offer")) => {
                let desc = format!("by {}\r\n{}", message["call"], message["desc"]);
                json!({"op": "accept", "call": message["call"], "with": {}, "desc": desc}).to_string()
            }
            (_, Some("test")) => {
                let load = json!({"load": "x0:0.3"});
                json!({"op": "tested", "call": message["call"], "why": 1, "with": load}).to_string()
            }
            (TRUNCATING, Some("offer")) => "{\"op\":\"accept\",\"call\":\"9b1f03aa".to_owned(),
            _ => String::new(),
        };
        let _ = forward.send(message);
        if !answer.is_empty() && out.write_all(format!("{answer}\n").as_bytes()).is_err() {
            return;
        }
    }
}

/// The list's serial, and for each streamer its id, its address and the Unix time of its last start in
/// milliseconds.
pub type List = Arc<Mutex<(u32, Vec<(u32, SocketAddrV4, u64)>)>>;

/// A list of streamers that started long ago.
pub fn list(serial: u32, streamers: &[&Streamer]) -> List {
    let members = streamers.iter().map(|streamer| (streamer.id, streamer.at, 0));
    Arc::new(Mutex::new((serial, members.collect())))
}

/// Starts a name service that answers from this list.
pub fn name_service(list: List) -> SocketAddrV4 {
    counted_name_service(list, Arc::default(), Arc::default())
}

/// Starts a name service that counts the queries, and does not answer while `silent` is set.
pub fn counted_name_service(
    list: List, query_count: Arc<AtomicUsize>, silent: Arc<AtomicBool>,
) -> SocketAddrV4 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, socket.local_addr().unwrap().port());
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((count, from)) = socket.recv_from(&mut bytes) {
            query_count.fetch_add(1, Ordering::SeqCst);
            if !silent.load(Ordering::SeqCst) {
                let answer = answer(&bytes[..count], &list.lock().unwrap());
                let _ = socket.send_to(&answer, from);
            }
        }
    });
    at
}

/// The answer of the name service to a query.
fn answer(query: &[u8], (serial, members): &(u32, Vec<(u32, SocketAddrV4, u64)>)) -> Vec<u8> {
    let query = Packet::parse(query).unwrap();
    let mut answer = Packet::new_reply(query.id());
    let fleet = query.questions[0].qname.clone();
    answer.questions = query.questions;
    let hosts: Vec<String> = members.iter().map(|(id, ..)| format!("s-{id:08x}.a.hosts")).collect();
    for ((_, at, started), host) in members.iter().zip(&hosts) {
        let host = Name::new(host).unwrap();
        let srv = SRV { priority: 0, weight: 40, port: at.port(), target: host.clone() };
        let record = |rdata| ResourceRecord::new(host.clone(), CLASS::IN, 0, rdata);
        answer.answers.push(ResourceRecord::new(fleet.clone(), CLASS::IN, 0, RData::SRV(srv)));
        answer.additional_records.push(record(RData::A(A { address: u32::from(*at.ip()) })));
        let started = format!("started={started}");
        let text = ["kind=std", "cell=0", &started];
        let text =
            text.iter().fold(TXT::new(), |record, value| record.with_string(value).unwrap().into_owned());
        answer.additional_records.push(record(RData::TXT(text)));
    }
    let name = Name::new_unchecked("fleet.local");
    let (mname, rname, serial) = (name.clone(), name.clone(), *serial);
    let soa = SOA { mname, rname, serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    answer.name_servers.push(ResourceRecord::new(name, CLASS::IN, 0, RData::SOA(soa)));
    answer.build_bytes_vec_compressed().unwrap()
}

/// The controller process under test, killed when dropped.
pub struct Controller {
    pub child: Child,
    pub at: SocketAddrV4,
    pub folder: TempDir,
}

impl Controller {
    /// Starts a streamer and a controller whose list names it, and waits until the controller passes a test.
    pub fn with_one_streamer() -> (Streamer, Self) {
        let streamer = Streamer::new(1);
        let controller = Self::start(name_service(list(1, &[&streamer])), &[&streamer]);
        (streamer, controller)
    }

    /// Starts a controller, and waits until it passes a test.
    pub fn start(names: SocketAddrV4, known: &[&Streamer]) -> Self {
        Self::start_with(names, known, |_| {})
    }

    /// Starts a controller with a changed configuration.
    pub fn start_with(names: SocketAddrV4, known: &[&Streamer], change: impl FnOnce(&mut Value)) -> Self {
        let controller = Self::spawn(names, known, change);
        controller.wait_ready(TIMEOUT);
        controller
    }

    /// Starts a controller without waiting until it is ready.
    pub fn spawn(names: SocketAddrV4, known: &[&Streamer], change: impl FnOnce(&mut Value)) -> Self {
        let folder = TempDir::new().unwrap();
        let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port().unwrap().port());
        let config = folder.path().join("config.json");
        let mut configuration = configuration(at, names, known);
        change(&mut configuration);
        std::fs::write(&config, configuration.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"));
        let log = std::fs::File::create(folder.path().join("log")).unwrap();
        command.arg("platform").env("GW_CONFIG", config).stderr(log);
        Self { child: command.spawn().unwrap(), at, folder }
    }

    /// Tests the controller until it passes, and returns how long that took.
    pub fn wait_ready(&self, timeout: Duration) -> Duration {
        let started = Instant::now();
        while !self.passes_a_test() {
            assert!(started.elapsed() < timeout, "not ready within {timeout:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
        started.elapsed()
    }

    /// Whether the controller answers a test as ready.
    pub fn passes_a_test(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.at) else { return false };
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut test_connection = Viewer(stream);
        test_connection.send(52, 1, &[(75, "\0")]);
        match test_connection.try_receive() {
            Ok(frame) => frame == (53, 1, vec![1]),
            Err(error) => panic!("no answer to a test at {}: {error}; log:\n{}", self.at, self.log()),
        }
    }

    /// What the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Waits for the process to exit successfully.
    pub fn exits_within(&mut self, timeout: Duration) {
        let started = Instant::now();
        while self.child.try_wait().unwrap().is_none() {
            assert!(started.elapsed() < timeout, "not ended within {timeout:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(self.child.wait().unwrap().success());
    }

    /// The number of its open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Replaces its configuration file.
    pub fn write_config(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
    }

    pub fn signal(&self, signal: Signal) {
        signal_process(&self.child, signal);
    }

    /// Waits for a line of the log that contains all of these texts.
    pub fn wait_log(&self, texts: &[&str]) {
        let end = Instant::now() + TIMEOUT;
        loop {
            let log = self.log();
            if log.lines().any(|line| texts.iter().all(|text| line.contains(text))) {
                return;
            }
            assert!(Instant::now() < end, "no line with {texts:?} in the log:\n{log}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Connects as a front that carries viewers.
    pub fn viewer(&self) -> Viewer {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Viewer(stream)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration of a controller.
pub fn configuration(at: SocketAddrV4, names: SocketAddrV4, known: &[&Streamer]) -> Value {
    let members = known.iter().map(|streamer| {
        json!({"id": format!("s-{:08x}", streamer.id), "host_port": streamer.at, "locality": "a", "flavor": "std",
            "cell": 0, "phase": "active", "size": 4, "up_since_ms": 0})
    });
    let hosts = json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()});
    json!({
        "name": "n0", "listen": at, "seed": "8c1f30d27a5be964", "names": names,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]},
        "settings": {
            "balancers": 1, "me": 0, "discovery": "automatic", "tickUs": 10_000, "weights": "nominal", "zone": 0,
            "profiles": [{"name": "tour", "aimUs": 1_500_000, "effect": "free", "group": "all", "worth": 1.0}],
            "failureDomains": ["a"], "hostTypes": ["std"],
            "familyInfo": {"positions": 1, "groups": 1, "classScale": [1.0], "classTop": [1],
                "floorByClass": [0], "licenceCap": [0], "kindStreams": [50], "linkUnitKb": 1000.0,
                "levelKb": [100.0, 200.0], "ladderWorth": [0.5, 1.0], "uplinkKb": 8000.0,
                "toldEveryUs": 60_000_000, "toldLateUs": 500_000},
            "obligations": {"coldFrom": 0.4, "coldUs": 0, "tipAfterUs": 0, "drainGraceUs": 500_000},
            "permissions": {"maxAttempts": 5, "retryAfter": true, "maxRetryAfterUs": 2_000_000,
                "connectTimeoutUs": 250_000, "keepaliveUs": 30_000_000, "maxStreams": 32},
            "report": {"fields": ["x0"], "how": "answers"}}})
}

/// A frame of the viewers' protocol.
fn frame(kind: u8, wire_id: u64, parameters: &[(u8, &str)]) -> Vec<u8> {
    let mut frame = vec![kind];
    frame.extend(wire_id.to_be_bytes());
    for (code, value) in parameters {
        frame.push(*code);
        frame.extend((value.len() as u16).to_be_bytes());
        frame.extend(value.bytes());
    }
    [&(frame.len() as u16).to_be_bytes()[..], &frame].concat()
}

/// A set-up frame.
pub fn set_up(wire_id: u64, waits_ms: &str, description: &str) -> Vec<u8> {
    let figures = "home:0;copies:1;top:1;viewer:00000000b4d65521";
    let title = "7f3a9c21e0b4d655";
    frame(1, wire_id, &[(33, "tour"), (36, waits_ms), (45, title), (48, figures), (78, description)])
}

/// A frame that hands over a subscription which plays at the streamer with this id.
pub fn hand_over(wire_id: u64, streamer_id: u32) -> Vec<u8> {
    let figures = format!("home:0;copies:1;top:1;viewer:00000000b4d65521;at:s-{streamer_id:08x}");
    let title = "7f3a9c21e0b4d655";
    frame(1, wire_id, &[(33, "tour"), (36, "4294967"), (45, title), (48, &figures), (78, "v=0")])
}

/// A connection of a front that carries viewers.
pub struct Viewer(pub TcpStream);

impl Viewer {
    /// Sends a frame.
    pub fn send(&mut self, kind: u8, wire_id: u64, parameters: &[(u8, &str)]) {
        self.0.write_all(&frame(kind, wire_id, parameters)).unwrap();
    }

    /// Sends a set-up.
    pub fn set_up(&mut self, wire_id: u64) {
        self.set_up_with(wire_id, "2000", "v=0");
    }

    /// Sends a set-up with this waiting time and description.
    pub fn set_up_with(&mut self, wire_id: u64, waits_ms: &str, description: &str) {
        self.0.write_all(&set_up(wire_id, waits_ms, description)).unwrap();
    }

    /// Hands over a subscription that plays at this streamer.
    pub fn hand_over(&mut self, wire_id: u64, streamer: &Streamer) {
        self.send_hand_over(wire_id, streamer.id);
    }

    /// Hands over a subscription that plays at the streamer with this id.
    pub fn send_hand_over(&mut self, wire_id: u64, streamer_id: u32) {
        self.0.write_all(&hand_over(wire_id, streamer_id)).unwrap();
    }

    /// Cancels a set-up, or ends its subscription.
    pub fn cancel(&mut self, wire_id: u64) {
        self.send(12, wire_id, &[(75, "\x10")]);
    }

    /// Has the connection reset when it is dropped.
    pub fn reset_on_drop(&self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Receives the next frame: its kind, its subscription, and its first parameter's value.
    pub fn receive(&mut self) -> (u8, u64, Vec<u8>) {
        self.try_receive().expect("a frame in time")
    }

    /// Receives the next frame, unless the connection has ended or nothing arrives in time.
    fn try_receive(&mut self) -> std::io::Result<(u8, u64, Vec<u8>)> {
        let mut length = [0; 2];
        self.0.read_exact(&mut length)?;
        let mut frame = vec![0; usize::from(u16::from_be_bytes(length))];
        self.0.read_exact(&mut frame)?;
        let wire_id = u64::from_be_bytes(frame[1..9].try_into().unwrap());
        let value = frame.get(12..).map_or_else(Vec::new, <[u8]>::to_vec);
        Ok((frame[0], wire_id, value))
    }

    /// Sends a set-up unless the connection has ended.
    pub fn try_set_up(&mut self, wire_id: u64, waits_ms: &str) -> std::io::Result<()> {
        self.0.write_all(&set_up(wire_id, waits_ms, "v=0"))
    }

    /// Whether nothing is received for this time.
    pub fn receives_nothing_for(&self, quiet: Duration) -> bool {
        self.0.set_read_timeout(Some(quiet)).unwrap();
        let received = self.0.peek(&mut [0; 1]);
        self.0.set_read_timeout(Some(TIMEOUT)).unwrap();
        received.is_err()
    }

    /// Sets a subscription up, and returns whether it was accepted before its connection was closed.
    pub fn try_establish(&mut self, wire_id: u64) -> bool {
        let mut kind = [0; 3];
        let sent = self.0.write_all(&set_up(wire_id, "2000", "v=0"));
        sent.and_then(|()| self.0.read_exact(&mut kind)).is_ok() && kind[2] == 9
    }

    /// Sets a subscription up, which must be accepted.
    pub fn establish(&mut self, wire_id: u64) {
        self.set_up(wire_id);
        let by = format!("by \"{wire_id:016x}\"\r\n\"v=0\"").into_bytes();
        assert_eq!(self.receive(), (9, wire_id, by), "the streamer's description, unchanged");
    }
}
