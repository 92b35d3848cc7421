//! The witness can say no: a false controller breaks each of the rules on the sockets, and each is named.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use badgerledge_core::interface::Health;
use badgerledge_deployment::Shared;
use badgerledge_reactor::Reactor;
use badgerledge_settings::Sheet;
use badgerledge_standins::{Habits, ListService, Plan, Streamers, Told, Viewers};
use badgerledge_witness::{RuleChecker, RuleResult};

const SHARED: &str = "\
[fleet]
zones = a
kinds = k
kind_streams = 20
cells = 4
racks = 2
link_unit_kb = 100
links_kb = 400
uplink_kb = 100
[ladder]
rates_kb = 10, 20
benefit = 0.5, 1
[room_type clip]
join_objective_ms = 500
client_timeout_ms = 700
benefit = 1
[room_type paid]
join_objective_ms = 500
client_timeout_ms = 700
benefit = 1
set_up_again = single_shot
floor = 1
seats = 1
[rules]
drain_grace_ms = 100
warm_up_ms = 10000
cold_from = 0.5
tip_after_ms = 2000
budget_window_ms = 5000
budget_few = 1
";

/// What the false controller is given: the viewer that asks, with its first request, and where all others are.
struct Scene {
    viewer: TcpStream,
    asked: String,
    streamers: Vec<SocketAddrV4>,
    list: SocketAddr,
}

impl Scene {
    fn header(&self, name: &str) -> String {
        let line = self.asked.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_else(|| panic!("no {name} in {}", self.asked)).to_owned()
    }

    fn answer(&mut self, status: &str) {
        let text = format!("RTSP/1.0 {status}\r\nCSeq: 1\r\nSession: 1\r\n\r\n");
        self.viewer.write_all(text.as_bytes()).unwrap();
    }

    /// Sends SETUP for the viewer to a streamer and waits for the answer; the join lasts as long as the stream.
    fn set_up(&self, streamer: usize, rung: u8) -> TcpStream {
        self.set_up_as(&self.header("Viewer"), streamer, rung)
    }

    fn set_up_as(&self, viewer: &str, streamer: usize, rung: u8) -> TcpStream {
        let mut join = TcpStream::connect(self.streamers[streamer]).unwrap();
        let room_type = self.header("Room-Type");
        let text = format!(
            "SETUP rtsp://s/7/stream RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP;interleaved=0-1\r\n\
             Viewer: {viewer}\r\nRoom-Type: {room_type}\r\nRung: {rung}\r\n\r\n"
        );
        join.write_all(text.as_bytes()).unwrap();
        // A streamer that falls over answers nothing.
        let _ = join.read(&mut [0; 1024]);
        join
    }
}

type Script = fn(Scene) -> Vec<TcpStream>;

/// Runs a script as the controller of these viewers (by room type), and gives the verdict.
fn judge(room_types: &[usize], script: Script) -> [RuleResult; 6] {
    let sheet = Sheet::parse("shared.ini", SHARED).unwrap();
    let shared = Shared::of(&sheet).unwrap_or_else(|faults| panic!("{faults}"));
    let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
    let mut witness = RuleChecker::new(shared.clone());
    witness.controller_up(0);
    let mut streamers = Streamers::new(shared.clone(), 1);
    for cell in 0..4 {
        streamers.add(&mut reactor, Told { zone: 0, kind: 0, cell, weight: 1.0 }, None).unwrap();
    }
    // The last one has just started.
    let now = reactor.clock();
    streamers.restart(&mut reactor, 3, now, &mut witness).unwrap();
    let mut list = ListService::new(&mut reactor, SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    // Of the first, it says that it drains.
    list.learn(now, Duration::ZERO, streamers.at(0), 0, 0, 0, Health::Draining, 1.0, 1, None);
    let at = (0..4).map(|n| streamers.at(n)).collect();
    let (controller, done) = act(script, room_types.len(), at, list.at());
    let plan = |room_type: &usize| Plan {
        at: Duration::from_millis(50),
        title: 7,
        room_type: *room_type,
        max_rung: 1,
        life: Duration::from_secs(3),
        hints: false,
        zone: 0,
    };
    let habits = Habits { returns: 0.0, impatient: 0.0, ..Habits::default() };
    let plans = room_types.iter().map(plan).collect();
    let mut viewers = Viewers::new(shared, habits, vec![(controller, 0)], plans, now, 1);
    let end = now + Duration::from_millis(1500);
    let mut told = Vec::new();
    while reactor.now() < end {
        reactor.wait(Some(end.min(reactor.clock() + Duration::from_millis(5))), &mut told).unwrap();
        let now = reactor.now();
        for happening in told.drain(..) {
            let _ = streamers.take(&mut reactor, now, &happening, &mut witness)
                || viewers.take(&mut reactor, now, &happening, &mut witness)
                || list.take(&mut reactor, now, &happening, &mut witness);
        }
        list.tend(&mut reactor, now, &mut witness);
        streamers.tend(&mut reactor, now);
        viewers.tend(&mut reactor, now, &mut witness);
        reactor.flush();
    }
    drop(done);
    witness.results()
}

/// The false controller: each viewer's first request goes to the script, in a thread of its own. What the scripts
/// hold open is held until the receiver is dropped.
fn act(
    script: Script, viewers: usize, streamers: Vec<SocketAddrV4>, list: SocketAddr,
) -> (SocketAddr, Receiver<Vec<TcpStream>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let at = listener.local_addr().unwrap();
    let (hold, held) = channel();
    for _ in 0..viewers {
        let (listener, streamers, hold) = (listener.try_clone().unwrap(), streamers.clone(), hold.clone());
        std::thread::spawn(move || {
            let (mut viewer, _) = listener.accept().unwrap();
            let mut asked = Vec::new();
            let mut byte = [0];
            while !asked.ends_with(b"\r\n\r\n") && viewer.read(&mut byte).is_ok_and(|count| count == 1) {
                asked.push(byte[0]);
            }
            let asked = String::from_utf8(asked).unwrap();
            let kept = viewer.try_clone().unwrap();
            let mut open = script(Scene { viewer, asked, streamers, list });
            open.push(kept);
            let _ = hold.send(open);
        });
    }
    (at, held)
}

fn broken(verdict: &[RuleResult; 6]) -> Vec<usize> {
    (1..=6).filter(|rule| verdict[rule - 1].violations > 0).collect()
}

/// Asserts that this rule alone is broken, and that an example says how.
fn names(verdict: &[RuleResult; 6], rule: usize, how: &str) {
    let examples = &verdict[rule - 1].examples;
    assert_eq!(broken(verdict), [rule], "{verdict:#?}");
    assert!(examples.iter().any(|example| example.contains(how)), "{examples:?}");
}

#[test]
fn a_controller_that_keeps_the_rules_is_found_to() {
    let verdict = judge(&[0, 0], |mut scene| {
        let join = scene.set_up(1, 0);
        scene.answer("200 OK");
        vec![join]
    });
    assert_eq!(broken(&verdict), [0; 0], "{verdict:#?}");
    assert_eq!((verdict[0].checks, verdict[1].checks), (2, 2));
}

#[test]
fn rule_1_no_answer_and_two_answers() {
    names(&judge(&[0], |_| Vec::new()), 1, "had no answer");
    let twice = judge(&[0], |mut scene| {
        scene.answer("200 OK");
        scene.answer("503 Service Unavailable");
        Vec::new()
    });
    names(&twice, 1, "2 answers");
}

#[test]
fn rule_2_two_joins_out_and_an_unsafe_set_up_again() {
    let both = judge(&[0], |mut scene| {
        let joins = vec![scene.set_up(1, 0), scene.set_up(2, 0)];
        scene.answer("200 OK");
        joins
    });
    // The second one out is a further join as well, the one that the budget has.
    names(&both, 2, "2 joins out");
    let again = judge(&[1], |mut scene| {
        drop(scene.set_up(1, 1));
        std::thread::sleep(Duration::from_millis(50));
        let join = scene.set_up(2, 1);
        scene.answer("200 OK");
        vec![join]
    });
    names(&again, 2, "set up 2 times");
    let throttled = judge(&[1], |mut scene| {
        let join = scene.set_up(1, 1);
        scene.answer("503 Service Unavailable");
        vec![join]
    });
    names(&throttled, 2, "throttled after a join that may have run");
}

#[test]
fn rule_3_a_draining_streamer_after_the_grace() {
    let verdict = judge(&[0], |mut scene| {
        let mut list = TcpStream::connect(scene.list).unwrap();
        list.write_all(b"{\"observe\":true,\"controller\":0,\"epoch\":0,\"revision\":0}\n").unwrap();
        let _ = list.read(&mut [0; 4096]);
        std::thread::sleep(Duration::from_millis(350));
        let join = scene.set_up(0, 0);
        scene.answer("200 OK");
        vec![join, list]
    });
    names(&verdict, 3, "off for it since");
}

#[test]
fn rule_4_a_cold_streamer_pushed_over() {
    let verdict = judge(&[0], |mut scene| {
        let joins = (0..6).map(|n| scene.set_up_as(&format!("{:x}", 0x100 + n), 3, 0)).collect();
        scene.answer("200 OK");
        joins
    });
    names(&verdict, 4, "fell over while cold");
}

#[test]
fn rule_5_a_floor_and_a_seat() {
    let floor = judge(&[1], |mut scene| {
        let join = scene.set_up(1, 0);
        scene.answer("200 OK");
        vec![join]
    });
    names(&floor, 5, "under its floor");
    let seats = judge(&[1, 1], |mut scene| {
        let join = scene.set_up(1, 1);
        scene.answer("200 OK");
        vec![join]
    });
    names(&seats, 5, "2 seats of 1");
}

#[test]
fn rule_6_further_joins_over_the_budget() {
    let verdict = judge(&[0], |mut scene| {
        for n in 0..3 {
            drop(scene.set_up(1 + n % 2, 0));
            std::thread::sleep(Duration::from_millis(30));
        }
        scene.answer("503 Service Unavailable");
        Vec::new()
    });
    names(&verdict, 6, "further joins");
}
