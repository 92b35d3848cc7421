//! Watchers' connections on loopback: limits, timeouts and bad frames.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use badgerledge_distribution::change::Summary;
use badgerledge_distribution::message::{decode, encode, ToRelay, ToWatcher};
use badgerledge_distribution::Certified;
use badgerledge_reactor::{Reactor, ReactorEvent};
use badgerledge_revisions::{Head, Signed};

use crate::watchers::{Limits, WatcherEvent, Watchers, FIRST_MESSAGE_TIMEOUT};

const LIMITS: Limits =
    Limits { connections: 2, connection_output_bytes: 64 * 1024, total_bytes: 1024 * 1024 };
/// Time limit for a reaction that needs no protocol timeout.
const REACTION_TIMEOUT: Duration = Duration::from_secs(5);

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
        let (listener, address) = reactor.listen(at, Watchers::bounds(limits)).unwrap();
        Self { reactor, watchers: Watchers::new(listener, limits), address, events: Vec::new() }
    }

    /// Runs one iteration of the event loop.
    fn turn(&mut self) {
        let mut reactor_events = Vec::new();
        let until = self.reactor.clock() + Duration::from_millis(5);
        self.reactor.wait(Some(until), &mut reactor_events).unwrap();
        let (now, events) = (self.reactor.now(), &mut self.events);
        for event in reactor_events {
            match event {
                ReactorEvent::Accepted { connection, listener, .. } => {
                    self.watchers.on_accepted(&mut self.reactor, connection, listener, now, events);
                }
                ReactorEvent::Readable(connection) => {
                    self.watchers.on_readable(&mut self.reactor, connection, now, events);
                }
                ReactorEvent::Closed(connection, _) => self.watchers.on_closed(connection, events),
                _ => {}
            }
        }
        self.watchers.poll(&mut self.reactor, now, events);
        self.reactor.flush();
    }

    /// Runs the relay until a condition holds.
    fn until(&mut self, timeout: Duration, mut condition: impl FnMut(&mut Self) -> bool) {
        let deadline = self.reactor.clock() + timeout;
        while !condition(self) {
            assert!(self.reactor.clock() < deadline, "not within {timeout:?}");
            self.turn();
        }
    }

    /// Connects a client and waits until the relay has accepted it.
    fn connect(&mut self) -> TcpStream {
        let before = self.watchers.len();
        let stream = self.connect_without_accept();
        self.until(REACTION_TIMEOUT, |relay| relay.watchers.len() > before);
        stream
    }

    fn connect_without_accept(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        stream
    }

    fn messages(&self) -> usize {
        self.events.iter().filter(|event| matches!(event, WatcherEvent::Message(..))).count()
    }
}

/// Whether the relay has closed the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 4096]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

#[test]
fn a_connection_over_the_limit_is_answered_busy() {
    let mut relay = Relay::new(LIMITS);
    let _connected = (relay.connect(), relay.connect());
    let mut third = relay.connect_without_accept();
    let mut bytes = Vec::new();
    relay.until(REACTION_TIMEOUT, |_| {
        let mut buffer = [0; 256];
        let read = third.read(&mut buffer);
        bytes.extend_from_slice(&buffer[..read.as_ref().copied().unwrap_or(0)]);
        matches!(read, Ok(0))
    });
    let answer = decode::<ToWatcher>(&bytes, 1024).unwrap().unwrap().0;
    assert!(matches!(answer, ToWatcher::Busy { retry_after_ms } if retry_after_ms > 0), "{answer:?}");
    assert_eq!(relay.watchers.len(), 2);
}

#[test]
fn a_connection_without_messages_is_closed() {
    let mut relay = Relay::new(LIMITS);
    let mut silent = relay.connect();
    let mut active = relay.connect();
    active.write_all(&encode(&ToRelay::GetStatus)).unwrap();
    relay.until(FIRST_MESSAGE_TIMEOUT + REACTION_TIMEOUT, |_| is_closed(&mut silent));
    assert!(relay.messages() == 1 && relay.watchers.len() == 1);
}

#[test]
fn bad_frames_close_only_their_own_connection() {
    let mut relay = Relay::new(LIMITS);
    let mut good = relay.connect();
    let valid = encode(&ToRelay::GetStatus);
    let mut other_version = valid.clone();
    other_version[6] = b'2';
    let mut unknown_message = valid.clone();
    *unknown_message.last_mut().unwrap() = 0x7f;
    let mut trailing_byte = [valid.clone(), vec![0]].concat();
    trailing_byte[3] += 1;
    let too_long = [&(512u32 * 1024).to_be_bytes()[..], b"bd1"].concat();
    for frame in [other_version, unknown_message, trailing_byte, too_long] {
        let mut bad = relay.connect();
        bad.write_all(&frame).unwrap();
        relay.until(REACTION_TIMEOUT, |_| is_closed(&mut bad));
    }
    // A frame that arrives byte by byte is accepted.
    for byte in &valid {
        good.write_all(&[*byte]).unwrap();
        relay.turn();
    }
    relay.until(REACTION_TIMEOUT, |relay| relay.messages() == 1);
}

#[test]
fn a_watcher_that_reads_nothing_is_closed_at_its_output_limit() {
    let mut relay = Relay::new(LIMITS);
    let _watcher = relay.connect();
    let Some(WatcherEvent::Opened(connection)) = relay.events.pop() else { panic!("{:?}", relay.events) };
    let signed = Signed { head: Head::new(1, [0; 32], 1, b""), signature: [0; 64] };
    let message = ToWatcher::Snapshot {
        certificate: Certified { signed, votes: Vec::new(), activation_grants: Vec::new() },
        summary: Summary { root: [0; 32], batch: [0; 32], length: 0 },
        groups: vec![[0; 32]; 64],
    };
    for _ in 0..100 {
        relay.watchers.send(&mut relay.reactor, connection, &message, &mut relay.events);
    }
    let closed =
        |event: &WatcherEvent| matches!(event, WatcherEvent::Closed(closed) if *closed == connection);
    assert!(relay.events.iter().any(closed));
    assert_eq!(relay.watchers.len(), 0);
}
