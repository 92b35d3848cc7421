//! Small stand-ins of viewers, streamers and the name service, and the platform's way in as a process between them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use badgerledge_standins::free_port;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, ResourceRecord, CLASS};
use tempfile::TempDir;

use crate::rig::PATIENCE;

pub const GOOD: u8 = 0;
pub const GARBLES: u8 = 1;
pub const SILENT: u8 = 2;
/// Its process ends: the next connection is taken and cut, and all later ones are turned down.
pub const ENDS: u8 = 3;

pub type Lines = Arc<Mutex<Vec<TcpStream>>>;

/// A streamer: answers as its mode says, and tells all that it heard.
pub struct Streamer {
    pub id: u32,
    pub at: SocketAddrV4,
    pub mode: Arc<AtomicU8>,
    heard: Receiver<Value>,
    pub lines: Lines,
    /// When each offer came.
    pub offers: Arc<Mutex<Vec<Instant>>>,
}

impl Streamer {
    pub fn new(id: u32) -> Self {
        Self::at(id, TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap())
    }

    /// One that takes its connections from this listener.
    pub fn at(id: u32, listener: TcpListener) -> Self {
        let at = v4(&listener);
        let (mode, lines) = (Arc::new(AtomicU8::new(GOOD)), Lines::default());
        let (tell, heard) = channel();
        let offers = Arc::new(Mutex::new(Vec::new()));
        let (its_mode, its_lines, its_offers) = (mode.clone(), lines.clone(), offers.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if its_mode.load(Ordering::SeqCst) == ENDS {
                    break;
                }
                its_lines.lock().unwrap().push(stream.try_clone().unwrap());
                let (mode, tell, offers) = (its_mode.clone(), tell.clone(), its_offers.clone());
                std::thread::spawn(move || serve(stream, &mode, &tell, &offers));
            }
        });
        Self { id, at, mode, heard, lines, offers }
    }

    /// Says something on its newest connection.
    pub fn say(&self, message: &Value) {
        let mut lines = self.lines.lock().unwrap();
        lines.last_mut().unwrap().write_all(format!("{message}\n").as_bytes()).unwrap();
    }

    /// The same on one of its connections, in the order in which they came.
    pub fn say_on(&self, line: usize, message: &Value) {
        self.lines.lock().unwrap()[line].write_all(format!("{message}\n").as_bytes()).unwrap();
    }

    /// All that it has heard and nobody asked for yet, once nothing came for that long.
    pub fn rest(&self, quiet: Duration) -> Vec<Value> {
        std::iter::from_fn(|| self.heard.recv_timeout(quiet).ok()).collect()
    }

    /// Waits for a message of that kind on that subscription.
    pub fn hears(&self, op: &str, wire_id: u64) -> Value {
        loop {
            let message = self.heard.recv_timeout(PATIENCE).expect("it is told in time");
            if message["op"] == op && message["call"] == format!("{wire_id:016x}") {
                return message;
            }
        }
    }
}

pub fn v4(listener: &TcpListener) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

fn serve(stream: TcpStream, mode: &AtomicU8, tell: &Sender<Value>, offers: &Mutex<Vec<Instant>>) {
    let mut out = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let message: Value = serde_json::from_str(&line).expect("a message");
        if message["op"] == "offer" {
            offers.lock().unwrap().push(Instant::now());
        }
        let answer = match (mode.load(Ordering::SeqCst), message["op"].as_str()) {
            (GOOD, Some("offer")) => {
                let desc = format!("by {}\r\n{}", message["call"], message["desc"]);
                json!({"op": "accept", "call": message["call"], "with": {}, "desc": desc}).to_string()
            }
            (GARBLES, Some("offer")) => "{\"op\":\"accept\",\"call\":\"9b1f03aa".to_owned(),
            _ => String::new(),
        };
        let _ = tell.send(message);
        if !answer.is_empty() && out.write_all(format!("{answer}\n").as_bytes()).is_err() {
            return;
        }
    }
}

/// Its serial, and each streamer with the Unix time of its late start in milliseconds.
pub type List = Arc<Mutex<(u32, Vec<(u32, SocketAddrV4, u64)>)>>;

/// A list of streamers that have been there for long.
pub fn list(serial: u32, streamers: &[&Streamer]) -> List {
    let members = streamers.iter().map(|streamer| (streamer.id, streamer.at, 0));
    Arc::new(Mutex::new((serial, members.collect())))
}

/// A name service that answers from this list.
pub fn name_service(list: List) -> SocketAddrV4 {
    counted_name_service(list, Arc::default(), Arc::default())
}

/// One that counts what it was asked, and says nothing while it is silent.
pub fn counted_name_service(list: List, asked: Arc<AtomicUsize>, silent: Arc<AtomicBool>) -> SocketAddrV4 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, socket.local_addr().unwrap().port());
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((count, from)) = socket.recv_from(&mut bytes) {
            asked.fetch_add(1, Ordering::SeqCst);
            if !silent.load(Ordering::SeqCst) {
                let answer = answer(&bytes[..count], &list.lock().unwrap());
                let _ = socket.send_to(&answer, from);
            }
        }
    });
    at
}

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
        let text = text.iter().fold(TXT::new(), |t, s| t.with_string(s).unwrap().into_owned());
        answer.additional_records.push(record(RData::TXT(text)));
    }
    let name = Name::new_unchecked("fleet.local");
    let (mname, rname, serial) = (name.clone(), name.clone(), *serial);
    let soa = SOA { mname, rname, serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    answer.name_servers.push(ResourceRecord::new(name, CLASS::IN, 0, RData::SOA(soa)));
    answer.build_bytes_vec_compressed().unwrap()
}

/// The controller's process between them, killed when dropped.
pub struct Controller {
    pub child: Child,
    pub at: SocketAddrV4,
    pub folder: TempDir,
}

impl Controller {
    /// Starts one, and waits until it passes a test.
    pub fn start(names: SocketAddrV4, known: &[&Streamer]) -> Self {
        Self::start_with(names, known, |_| {})
    }

    /// The same with a changed configuration.
    pub fn start_with(names: SocketAddrV4, known: &[&Streamer], change: impl FnOnce(&mut Value)) -> Self {
        let controller = Self::begin(names, known, change);
        controller.ready_within(PATIENCE);
        controller
    }

    /// Begins one, which may not be ready yet.
    pub fn begin(names: SocketAddrV4, known: &[&Streamer], change: impl FnOnce(&mut Value)) -> Self {
        let folder = TempDir::new().unwrap();
        let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port().unwrap().port());
        let config = folder.path().join("config.json");
        let mut told = told(at, names, known);
        change(&mut told);
        std::fs::write(&config, told.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"));
        let log = std::fs::File::create(folder.path().join("log")).unwrap();
        command.arg("platform").env("GW_CONFIG", config).stderr(log);
        Self { child: command.spawn().unwrap(), at, folder }
    }

    /// Tests it until it passes, and tells how long that took.
    pub fn ready_within(&self, patience: Duration) -> Duration {
        let begun = Instant::now();
        while !self.passes_a_test() {
            assert!(begun.elapsed() < patience, "it is ready within {patience:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
        begun.elapsed()
    }

    pub fn passes_a_test(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.at) else { return false };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut tester = Viewer(stream);
        tester.send(52, 1, &[(75, "\0")]);
        tester.hears() == (53, 1, vec![1])
    }

    /// Waits for its end, which must be a good one.
    pub fn ends_within(&mut self, patience: Duration) {
        let begun = Instant::now();
        while self.child.try_wait().unwrap().is_none() {
            assert!(begun.elapsed() < patience, "it ends within {patience:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(self.child.wait().unwrap().success());
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Writes its configuration anew.
    pub fn write_config(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for a line of the log that holds all of these words.
    pub fn logs(&self, words: &[&str]) {
        let end = Instant::now() + PATIENCE;
        loop {
            let log = std::fs::read_to_string(self.folder.path().join("log")).unwrap();
            if log.lines().any(|line| words.iter().all(|word| line.contains(word))) {
                return;
            }
            assert!(Instant::now() < end, "{words:?} in the log:\n{log}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn viewer(&self) -> Viewer {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Viewer(stream)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn told(at: SocketAddrV4, names: SocketAddrV4, known: &[&Streamer]) -> Value {
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

fn set_up(wire_id: u64, waits_ms: &str, description: &str) -> Vec<u8> {
    let figures = "home:0;copies:1;top:1;viewer:00000000b4d65521";
    let title = "7f3a9c21e0b4d655";
    frame(1, wire_id, &[(33, "tour"), (36, waits_ms), (45, title), (48, figures), (78, description)])
}

/// A connection of viewers.
pub struct Viewer(pub TcpStream);

impl Viewer {
    pub fn send(&mut self, kind: u8, wire_id: u64, parameters: &[(u8, &str)]) {
        self.0.write_all(&frame(kind, wire_id, parameters)).unwrap();
    }

    pub fn set_up(&mut self, wire_id: u64) {
        self.set_up_with(wire_id, "2000", "v=0");
    }

    pub fn set_up_with(&mut self, wire_id: u64, waits_ms: &str, description: &str) {
        self.0.write_all(&set_up(wire_id, waits_ms, description)).unwrap();
    }

    /// Gives a set-up up, or ends its subscription.
    pub fn ends(&mut self, wire_id: u64) {
        self.send(12, wire_id, &[(75, "\x10")]);
    }

    /// Has its connection reset when it is dropped.
    pub fn resets(&self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// The next frame: its kind, its subscription, and its first parameter's value.
    pub fn hears(&mut self) -> (u8, u64, Vec<u8>) {
        let mut length = [0; 2];
        self.0.read_exact(&mut length).expect("a frame in time");
        let mut frame = vec![0; usize::from(u16::from_be_bytes(length))];
        self.0.read_exact(&mut frame).unwrap();
        let wire_id = u64::from_be_bytes(frame[1..9].try_into().unwrap());
        let value = frame.get(12..).map_or_else(Vec::new, <[u8]>::to_vec);
        (frame[0], wire_id, value)
    }

    /// Sets a subscription up, and tells whether it came to stand before its connection was closed.
    pub fn tries(&mut self, wire_id: u64) -> bool {
        let mut kind = [0; 3];
        let sent = self.0.write_all(&set_up(wire_id, "2000", "v=0"));
        sent.and_then(|()| self.0.read_exact(&mut kind)).is_ok() && kind[2] == 9
    }

    /// Sets a subscription up, which must come to stand.
    pub fn plays(&mut self, wire_id: u64) {
        self.set_up(wire_id);
        let by = format!("by \"{wire_id:016x}\"\r\n\"v=0\"").into_bytes();
        assert_eq!(self.hears(), (9, wire_id, by), "the streamer's description, unchanged");
    }
}
