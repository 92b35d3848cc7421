//! Watchers' streams on loopback: bounds, and bad frames.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use badgerledge_distribution::change::Summary;
use badgerledge_distribution::message::{decode, encode, ToRelay, ToWatcher};
use badgerledge_distribution::Certified;
use badgerledge_reactor::{Reactor, ReactorEvent};
use badgerledge_revisions::{Head, Signed};

use crate::watchers::{Limits, WatcherEvent, Watchers, FIRST_MESSAGE_WITHIN};

const LIMITS: Limits = Limits { connections: 2, output: 64 * 1024, all: 1024 * 1024 };
const SOON: Duration = Duration::from_secs(5);

struct Relay {
    reactor: Reactor,
    watchers: Watchers,
    address: SocketAddr,
    events: Vec<WatcherEvent>,
}

impl Relay {
    fn new(limits: Limits) -> Self {
        let mut reactor = Reactor::new(Duration::from_secs(1)).unwrap();
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (line, address) = reactor.listen(at, Watchers::bounds(limits)).unwrap();
        Self { reactor, watchers: Watchers::new(line, limits), address, events: Vec::new() }
    }

    fn turn(&mut self) {
        let mut happenings = Vec::new();
        let until = self.reactor.clock() + Duration::from_millis(5);
        self.reactor.wait(Some(until), &mut happenings).unwrap();
        let (now, events) = (self.reactor.now(), &mut self.events);
        for happening in happenings {
            match happening {
                ReactorEvent::Accepted { connection: line, listener, .. } => {
                    self.watchers.accepts(&mut self.reactor, line, listener, now, events);
                }
                ReactorEvent::Readable(line) => {
                    self.watchers.readable(&mut self.reactor, line, now, events);
                }
                ReactorEvent::Closed(line, _) => self.watchers.closed(line, events),
                _ => {}
            }
        }
        self.watchers.sweep(&mut self.reactor, now, events);
        self.reactor.flush();
    }

    fn until(&mut self, within: Duration, mut so: impl FnMut(&mut Self) -> bool) {
        let end = self.reactor.clock() + within;
        while !so(self) {
            assert!(self.reactor.clock() < end, "not within {within:?}");
            self.turn();
        }
    }

    fn connect(&mut self) -> TcpStream {
        let before = self.watchers.len();
        let stream = self.connect_unheard();
        self.until(SOON, |relay| relay.watchers.len() > before);
        stream
    }

    fn connect_unheard(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        stream
    }

    fn messages(&self) -> usize {
        self.events.iter().filter(|event| matches!(event, WatcherEvent::Message(..))).count()
    }
}

fn ended(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 4096]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

#[test]
fn one_too_many_is_told_that_the_relay_is_busy() {
    let mut relay = Relay::new(LIMITS);
    let _held = (relay.connect(), relay.connect());
    let mut third = relay.connect_unheard();
    let mut bytes = Vec::new();
    relay.until(SOON, |_| {
        let mut some = [0; 256];
        let read = third.read(&mut some);
        bytes.extend_from_slice(&some[..read.as_ref().copied().unwrap_or(0)]);
        matches!(read, Ok(0))
    });
    let told = decode::<ToWatcher>(&bytes, 1024).unwrap().unwrap().0;
    assert!(matches!(told, ToWatcher::Busy { retry_after_ms } if retry_after_ms > 0), "{told:?}");
    assert_eq!(relay.watchers.len(), 2);
}

#[test]
fn one_that_says_nothing_is_closed() {
    let mut relay = Relay::new(LIMITS);
    let mut silent = relay.connect();
    let mut speaking = relay.connect();
    speaking.write_all(&encode(&ToRelay::GetStatus)).unwrap();
    relay.until(FIRST_MESSAGE_WITHIN + SOON, |_| ended(&mut silent));
    assert!(relay.messages() == 1 && relay.watchers.len() == 1);
}

#[test]
fn bad_frames_close_their_own_connection_and_the_other_is_served_on() {
    let mut relay = Relay::new(LIMITS);
    let mut good = relay.connect();
    let whole = encode(&ToRelay::GetStatus);
    let mut other_version = whole.clone();
    other_version[6] = b'2';
    let mut no_message = whole.clone();
    *no_message.last_mut().unwrap() = 0x7f;
    let mut left_over = [whole.clone(), vec![0]].concat();
    left_over[3] += 1;
    let too_long = [&(512u32 * 1024).to_be_bytes()[..], b"bd1"].concat();
    for frame in [other_version, no_message, left_over, too_long] {
        let mut bad = relay.connect();
        bad.write_all(&frame).unwrap();
        relay.until(SOON, |_| ended(&mut bad));
    }
    // Bytes one by one are a frame too.
    for byte in &whole {
        good.write_all(&[*byte]).unwrap();
        relay.turn();
    }
    relay.until(SOON, |relay| relay.messages() == 1);
}

#[test]
fn a_watcher_that_reads_nothing_is_closed_at_its_bound() {
    let mut relay = Relay::new(LIMITS);
    let _watcher = relay.connect();
    let Some(WatcherEvent::Opened(line)) = relay.events.pop() else { panic!("{:?}", relay.events) };
    let signed = Signed { head: Head::new(1, [0; 32], 1, b""), signature: [0; 64] };
    let message = ToWatcher::Snapshot {
        certificate: Certified { signed, votes: Vec::new(), activation_grants: Vec::new() },
        summary: Summary { root: [0; 32], batch: [0; 32], length: 0 },
        groups: vec![[0; 32]; 64],
    };
    for _ in 0..100 {
        relay.watchers.send(&mut relay.reactor, line, &message, &mut relay.events);
    }
    let closed = |event: &WatcherEvent| matches!(event, WatcherEvent::Closed(closed) if *closed == line);
    assert!(relay.events.iter().any(closed));
    assert_eq!(relay.watchers.len(), 0);
}
