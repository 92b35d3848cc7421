//! The platform's way in as a process: one day of seconds between small stand-ins of viewers, streamers and the
//! name service.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
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

const GOOD: u8 = 0;
const GARBLES: u8 = 1;
const SILENT: u8 = 2;
/// Its process ends: the next connection is taken and cut, and all later ones are turned down.
const ENDS: u8 = 3;

type Lines = Arc<Mutex<Vec<TcpStream>>>;

/// A streamer: answers as its mode says, and tells all that it heard.
struct Streamer {
    id: u32,
    at: SocketAddrV4,
    mode: Arc<AtomicU8>,
    heard: Receiver<Value>,
    lines: Lines,
}

impl Streamer {
    fn new(id: u32) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let at = v4(&listener);
        let (mode, lines) = (Arc::new(AtomicU8::new(GOOD)), Lines::default());
        let (tell, heard) = channel();
        let (its_mode, its_lines) = (mode.clone(), lines.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if its_mode.load(Ordering::SeqCst) == ENDS {
                    break;
                }
                its_lines.lock().unwrap().push(stream.try_clone().unwrap());
                let (mode, tell) = (its_mode.clone(), tell.clone());
                std::thread::spawn(move || serve(stream, &mode, &tell));
            }
        });
        Self { id, at, mode, heard, lines }
    }

    /// Says something on its newest connection.
    fn say(&self, message: &Value) {
        let mut lines = self.lines.lock().unwrap();
        lines.last_mut().unwrap().write_all(format!("{message}\n").as_bytes()).unwrap();
    }

    /// Waits for a message of that kind on that subscription.
    fn hears(&self, op: &str, wire_id: u64) -> Value {
        loop {
            let message = self.heard.recv_timeout(PATIENCE).expect("it is told in time");
            if message["op"] == op && message["call"] == format!("{wire_id:016x}") {
                return message;
            }
        }
    }
}

fn v4(listener: &TcpListener) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

fn serve(stream: TcpStream, mode: &AtomicU8, tell: &Sender<Value>) {
    let mut out = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let message: Value = serde_json::from_str(&line).expect("a message");
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

type List = Arc<Mutex<(u32, Vec<(u32, SocketAddrV4)>)>>;

/// A name service that answers from this list.
fn name_service(list: List) -> SocketAddrV4 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, socket.local_addr().unwrap().port());
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((count, from)) = socket.recv_from(&mut bytes) {
            let answer = answer(&bytes[..count], &list.lock().unwrap());
            let _ = socket.send_to(&answer, from);
        }
    });
    at
}

fn answer(query: &[u8], (serial, members): &(u32, Vec<(u32, SocketAddrV4)>)) -> Vec<u8> {
    let query = Packet::parse(query).unwrap();
    let mut answer = Packet::new_reply(query.id());
    let fleet = query.questions[0].qname.clone();
    answer.questions = query.questions;
    let hosts: Vec<String> = members.iter().map(|(id, _)| format!("s-{id:08x}.a.hosts")).collect();
    for ((_, at), host) in members.iter().zip(&hosts) {
        let host = Name::new(host).unwrap();
        let srv = SRV { priority: 0, weight: 40, port: at.port(), target: host.clone() };
        let record = |rdata| ResourceRecord::new(host.clone(), CLASS::IN, 0, rdata);
        answer.answers.push(ResourceRecord::new(fleet.clone(), CLASS::IN, 0, RData::SRV(srv)));
        answer.additional_records.push(record(RData::A(A { address: u32::from(*at.ip()) })));
        let text =
            ["kind=std", "cell=0", "started=0"].iter().fold(TXT::new(), |t, s| t.with_string(s).unwrap());
        answer.additional_records.push(record(RData::TXT(text)));
    }
    let name = Name::new_unchecked("fleet.local");
    let (mname, rname, serial) = (name.clone(), name.clone(), *serial);
    let soa = SOA { mname, rname, serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    answer.name_servers.push(ResourceRecord::new(name, CLASS::IN, 0, RData::SOA(soa)));
    answer.build_bytes_vec_compressed().unwrap()
}

/// The controller's process between them, killed when dropped.
struct Controller {
    child: Child,
    at: SocketAddrV4,
    folder: TempDir,
}

impl Controller {
    fn start(names: SocketAddrV4, known: &[&Streamer]) -> Self {
        let folder = TempDir::new().unwrap();
        let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port().unwrap().port());
        let config = folder.path().join("config.json");
        std::fs::write(&config, told(at, names, known).to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"));
        let log = std::fs::File::create(folder.path().join("log")).unwrap();
        command.arg("platform").env("GW_CONFIG", config).stderr(log);
        let controller = Self { child: command.spawn().unwrap(), at, folder };
        let end = Instant::now() + PATIENCE;
        while TcpStream::connect(at).is_err() {
            assert!(Instant::now() < end, "it listens");
            std::thread::sleep(Duration::from_millis(10));
        }
        controller
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for a line of the log that holds all of these words.
    fn logs(&self, words: &[&str]) {
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

    fn viewer(&self) -> Viewer {
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

fn told(at: SocketAddrV4, names: SocketAddrV4, known: &[&Streamer]) -> Value {
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

/// A connection of viewers.
struct Viewer(TcpStream);

impl Viewer {
    fn send(&mut self, kind: u8, wire_id: u64, parameters: &[(u8, &str)]) {
        let mut frame = vec![kind];
        frame.extend(wire_id.to_be_bytes());
        for (code, value) in parameters {
            frame.push(*code);
            frame.extend((value.len() as u16).to_be_bytes());
            frame.extend(value.bytes());
        }
        self.0.write_all(&(frame.len() as u16).to_be_bytes()).unwrap();
        self.0.write_all(&frame).unwrap();
    }

    fn set_up(&mut self, wire_id: u64) {
        let figures = "home:0;copies:1;top:1;viewer:00000000b4d65521";
        let title = "7f3a9c21e0b4d655";
        self.send(1, wire_id, &[(33, "tour"), (36, "2000"), (45, title), (48, figures), (78, "v=0")]);
    }

    /// The next frame: its kind, its subscription, and its first parameter's value.
    fn hears(&mut self) -> (u8, u64, Vec<u8>) {
        let mut length = [0; 2];
        self.0.read_exact(&mut length).expect("a frame in time");
        let mut frame = vec![0; usize::from(u16::from_be_bytes(length))];
        self.0.read_exact(&mut frame).unwrap();
        let wire_id = u64::from_be_bytes(frame[1..9].try_into().unwrap());
        let value = frame.get(12..).map_or_else(Vec::new, <[u8]>::to_vec);
        (frame[0], wire_id, value)
    }

    /// Sets a subscription up, which must come to stand.
    fn plays(&mut self, wire_id: u64) {
        self.set_up(wire_id);
        let by = format!("by \"{wire_id:016x}\"\r\n\"v=0\"").into_bytes();
        assert_eq!(self.hears(), (9, wire_id, by), "the streamer's description, unchanged");
    }
}

#[test]
fn a_day_on_the_platform() {
    let (one, two, three) = (Streamer::new(1), Streamer::new(2), Streamer::new(3));
    let list = List::new(Mutex::new((1, vec![(1, one.at), (2, two.at)])));
    let mut controller = Controller::start(name_service(list.clone()), &[&one]);
    let mut viewer = controller.viewer();
    viewer.send(52, 1, &[(75, "\0")]);
    assert_eq!(viewer.hears(), (53, 1, vec![1]));

    // Calm: it stands, its streamer's end is passed on, a viewer's too, on whatever connection.
    viewer.plays(10);
    let offer = one.hears("offer", 10);
    assert_eq!(
        (&offer["with"]["class"], &offer["with"]["key"]),
        (&json!("tour"), &json!("7f3a9c21e0b4d655"))
    );
    one.say(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    assert_eq!(viewer.hears(), (12, 10, vec![16]));
    viewer.plays(11);
    controller.viewer().send(12, 11, &[(75, "\x10")]);
    one.hears("end", 11);

    // A streamer comes by DNS; the first one garbles, then says nothing: all still get to the second.
    list.lock().unwrap().0 = 2;
    one.mode.store(GARBLES, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));
    (20..24).for_each(|wire_id| viewer.plays(wire_id));
    one.mode.store(SILENT, Ordering::SeqCst);
    (24..28).for_each(|wire_id| viewer.plays(wire_id));
    two.hears("offer", 27);

    // What cannot be read is closed within three seconds, silence too, and nobody else notices.
    let begun = Instant::now();
    let mut rude = [controller.viewer(), controller.viewer()];
    rude[0].0.write_all(&[0xff; 20_000]).unwrap();
    for rude in &mut rude {
        assert!(matches!(rude.0.read(&mut [0; 16]), Ok(0) | Err(_)));
    }
    assert!(begun.elapsed() < Duration::from_secs(3));

    // The name service moves: a file that is no use changes nothing, then the new address tells a new list.
    let config = controller.folder.path().join("config.json");
    std::fs::write(&config, "{").unwrap();
    controller.signal(Signal::HUP);
    viewer.plays(30);
    let moved = name_service(List::new(Mutex::new((3, vec![(3, three.at)]))));
    std::fs::write(&config, told(controller.at, moved, &[]).to_string()).unwrap();
    controller.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(500));
    viewer.plays(31);
    three.hears("offer", 31);

    // SIGTERM with a set-up open: it is answered, tests fail from then on, and the process ends once nothing is held.
    three.mode.store(SILENT, Ordering::SeqCst);
    viewer.set_up(40);
    three.hears("offer", 40);
    controller.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    viewer.send(52, 2, &[(75, "\0")]);
    assert_eq!(viewer.hears(), (53, 2, vec![0]));
    assert_eq!(viewer.hears().1, 40, "a final answer");
    for wire_id in (20..28).chain([30, 31]) {
        viewer.send(12, wire_id, &[(75, "\x10")]);
    }
    let end = Instant::now() + PATIENCE;
    while controller.child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "it ends");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(controller.child.wait().unwrap().success());
}

/// A cut connection ends nothing by itself: the next one brings what there is to say. A streamer whose process is
/// gone takes down what stood there, well within the eight seconds there are.
#[test]
fn what_stands_outlives_its_connection_but_not_its_streamer() {
    let one = Streamer::new(1);
    let controller = Controller::start(name_service(List::new(Mutex::new((1, Vec::new())))), &[&one]);
    let mut viewer = controller.viewer();
    let cut = || {
        for line in one.lines.lock().unwrap().drain(..) {
            line.shutdown(Shutdown::Both).unwrap();
        }
    };
    (10..13).for_each(|wire_id| viewer.plays(wire_id));
    cut();
    std::thread::sleep(Duration::from_millis(600));
    one.say(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 41}));
    assert_eq!(viewer.hears(), (12, 10, vec![41]));
    one.mode.store(ENDS, Ordering::SeqCst);
    let begun = Instant::now();
    cut();
    assert_eq!([viewer.hears(), viewer.hears()], [(12, 11, vec![41]), (12, 12, vec![41])]);
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// Found on the long day: the connection that a subscription was set up on had given way, and its release went on the one
/// used last, which was a tester's. Harm: none, other viewers' connections are there or the release waits for one.
#[test]
fn a_release_whose_connection_is_gone_goes_to_viewers_and_not_to_testers() {
    let one = Streamer::new(1);
    let controller = Controller::start(name_service(List::new(Mutex::new((1, Vec::new())))), &[&one]);
    let (mut viewer, mut other, mut tester) = (controller.viewer(), controller.viewer(), controller.viewer());
    other.plays(11);
    viewer.plays(10);
    tester.send(52, 1, &[(75, "\0")]);
    assert_eq!(tester.hears(), (53, 1, vec![1]));
    drop(viewer);
    std::thread::sleep(Duration::from_millis(100));
    one.say(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    assert_eq!(other.hears(), (12, 10, vec![16]));
}

/// A request of the full fleet had no answer, and nothing told where it was lost: the log names the set-up, who ended
/// its connection and the step it stood at.
#[test]
fn a_set_up_whose_connection_ends_is_named_in_the_log_with_its_step() {
    let one = Streamer::new(1);
    let controller = Controller::start(name_service(List::new(Mutex::new((1, Vec::new())))), &[&one]);
    let mut viewer = controller.viewer();
    one.mode.store(SILENT, Ordering::SeqCst);
    viewer.set_up(0x51);
    one.hears("offer", 0x51);
    drop(viewer);
    controller.logs(&["WARN", "0000000000000051", "by=Viewer", "with a join out"]);
}

#[test]
fn a_configuration_that_cannot_be_read_is_one_plain_error() {
    let folder = TempDir::new().unwrap();
    let config = folder.path().join("config.json");
    std::fs::write(&config, r#"{"seed":"12","listen":"nowhere","settings":{}}"#).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"));
    let output = command.arg("platform").env("GW_CONFIG", &config).output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert_eq!(said.lines().count(), 1, "{said}");
    assert!(said.contains("config.json") && said.contains("listen = nowhere"), "{said}");
}
