//! Streams between control machines on loopback: several machines in one loop, and unidentified clients.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use badgerledge_distribution::message::{decode, encode, PeerMessage};
use badgerledge_keys::Keys;
use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};

use super::support::keys;
use crate::envelope::{Identity, Payload, PeerFrame, Sealer, Session, MAX_FRAME_BYTES};
use crate::peers::{PeerEvent, Peers, SILENCE_TIMEOUT};

/// A new stream is up after one ping; the pause before another connection attempt is at most two seconds.
const UP_TIMEOUT: Duration = Duration::from_secs(5);
const INCARNATION: u32 = 10;

struct Machine {
    reactor: Reactor,
    peers: Peers,
    address: SocketAddr,
    events: Vec<PeerEvent>,
}

impl Machine {
    /// Runs one iteration of the event loop.
    fn turn(&mut self) {
        let mut reactor_events = Vec::new();
        let until = self.reactor.clock() + Duration::from_millis(5);
        self.reactor.wait(Some(until), &mut reactor_events).unwrap();
        let now = self.reactor.now();
        for event in reactor_events {
            match event {
                ReactorEvent::Accepted { connection, listener, .. } => {
                    assert!(self.peers.on_accepted(&mut self.reactor, connection, listener, now));
                }
                ReactorEvent::Opened(connection) => self.peers.on_connected(connection, now),
                ReactorEvent::Readable(connection) => {
                    self.peers.on_readable(&mut self.reactor, connection, now, &mut self.events);
                }
                ReactorEvent::Closed(connection, _) => {
                    self.peers.on_closed(connection, now, &mut self.events)
                }
                _ => {}
            }
        }
        if now >= self.peers.next_poll_at() {
            self.peers.poll(&mut self.reactor, now, &mut self.events);
        }
        self.reactor.flush();
    }

    fn send(&mut self, to: u16, message: PeerMessage) {
        self.peers.send(&mut self.reactor, to, message);
    }

    /// Messages received since the last call.
    fn take_messages(&mut self) -> Vec<PeerMessage> {
        let events = std::mem::take(&mut self.events);
        let messages = events.into_iter().filter_map(|event| match event {
            PeerEvent::Message(_, message) => Some(message),
            _ => None,
        });
        messages.collect()
    }

    fn reported_down(&self, peer: u16) -> bool {
        self.events.iter().any(|event| matches!(event, PeerEvent::Down(down) if *down == peer))
    }
}

/// Machines that buffer at most this many output bytes for each other machine.
fn machines_with(keys: &[Keys], output_bytes: usize) -> Vec<Machine> {
    let listeners: Vec<(Reactor, SocketId, SocketAddr)> = keys
        .iter()
        .map(|_| {
            let mut reactor = Reactor::new(Duration::from_secs(1)).unwrap();
            let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let (line, at) = reactor.listen(at, Peers::incoming_bounds()).unwrap();
            (reactor, line, at)
        })
        .collect();
    let addresses: BTreeMap<u16, SocketAddr> =
        listeners.iter().enumerate().map(|(number, listener)| (number as u16, listener.2)).collect();
    let numbered = listeners.into_iter().zip(keys).enumerate();
    let machines = numbered.map(|(number, ((reactor, line, address), keys))| {
        let identity = Identity { machine: number as u16, incarnation: INCARNATION };
        let listener = (line, address);
        let (now, seed) = (reactor.now(), number as u64);
        let peers = Peers::new(identity, keys.clone(), listener, &addresses, output_bytes, now, seed);
        Machine { reactor, peers, address, events: Vec::new() }
    });
    machines.collect()
}

fn machines(keys: &[Keys]) -> Vec<Machine> {
    machines_with(keys, 4 * MAX_FRAME_BYTES)
}

/// Runs all machines until a condition holds.
fn until(machines: &mut [Machine], timeout: Duration, mut condition: impl FnMut(&mut [Machine]) -> bool) {
    let deadline = machines[0].reactor.clock() + timeout;
    while !condition(machines) {
        assert!(machines[0].reactor.clock() < deadline, "not within {timeout:?}");
        machines.iter_mut().for_each(Machine::turn);
    }
}

fn bring_up(machines: &mut [Machine]) {
    let others = machines.len() - 1;
    until(machines, UP_TIMEOUT, |machines| machines.iter().all(|machine| machine.peers.peers_up() == others));
}

fn grant_request(seed: u8) -> PeerMessage {
    PeerMessage::RequestGrant { root: [seed; 32] }
}

#[test]
fn messages_pass_in_both_directions_and_a_stopped_peer_is_reported_down() {
    let keys = keys(3);
    let mut machines = machines(&keys);
    bring_up(&mut machines);
    for (from, to) in [(0, 1), (1, 0), (2, 1)] {
        machines[from].send(to, grant_request(from as u8));
    }
    let (mut first, mut second) = (Vec::new(), Vec::new());
    until(&mut machines, UP_TIMEOUT, |machines| {
        first.extend(machines[0].take_messages());
        second.extend(machines[1].take_messages());
        first.len() + second.len() == 3
    });
    assert!(
        first == [grant_request(1)]
            && second.contains(&grant_request(0))
            && second.contains(&grant_request(2))
    );
    drop(machines.pop());
    until(&mut machines, SILENCE_TIMEOUT * 2, |machines| {
        machines.iter().all(|machine| machine.reported_down(2))
    });
}

/// The peer is frozen: its sockets stay open, but it sends nothing. Only the missing pongs show that it failed.
#[test]
fn a_half_open_stream_is_closed() {
    let keys = keys(2);
    let mut machines = machines(&keys);
    bring_up(&mut machines);
    let frozen = machines.pop();
    until(&mut machines, SILENCE_TIMEOUT * 2, |machines| machines[0].reported_down(1));
    drop(frozen);
}

/// A client that connected to machine 0 and received its challenge.
struct UnidentifiedClient {
    stream: TcpStream,
    session: Session,
}

impl UnidentifiedClient {
    fn new(machines: &mut [Machine]) -> Self {
        let mut stream = TcpStream::connect(machines[0].address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let (mut bytes, mut session) = (Vec::new(), None);
        until(machines, UP_TIMEOUT, |_| {
            let mut buffer = [0; 512];
            let count = stream.read(&mut buffer).unwrap_or(0);
            bytes.extend_from_slice(&buffer[..count]);
            if let Ok(Some((PeerFrame::Challenge { session: received }, _))) = decode(&bytes, MAX_FRAME_BYTES)
            {
                session = Some(received);
            }
            session.is_some()
        });
        Self { stream, session: session.unwrap() }
    }

    /// A frame of machine 1 that is valid on this stream.
    fn valid_frame(&self, incarnation: u32, keys: &[Keys]) -> Vec<u8> {
        let identity = Identity { machine: 1, incarnation };
        let payload = Payload::Message(grant_request(9));
        encode(&Sealer::new(identity, 0, self.session).seal(&payload, &keys[1]))
    }

    fn expect_close_after(mut self, machines: &mut [Machine], bytes: &[u8], timeout: Duration) {
        self.stream.write_all(bytes).unwrap();
        until(machines, timeout, |_| match self.stream.read(&mut [0; 512]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        });
    }
}

#[test]
fn bad_frames_close_only_their_own_stream() {
    type BadFrame<'a> = Box<dyn Fn(&UnidentifiedClient) -> Vec<u8> + 'a>;
    let keys = keys(2);
    let mut machines = machines(&keys);
    bring_up(&mut machines);
    let recorded = UnidentifiedClient::new(&mut machines).valid_frame(INCARNATION, &keys);
    let altered = |client: &UnidentifiedClient, change: &dyn Fn(&mut Vec<u8>)| {
        let mut frame = client.valid_frame(INCARNATION, &keys);
        change(&mut frame);
        frame
    };
    let bad: [(&str, BadFrame); 7] = [
        ("recorded on another stream", Box::new(|_| recorded.clone())),
        (
            "unsigned",
            Box::new(|client| {
                altered(client, &|frame| frame.iter_mut().rev().take(64).for_each(|byte| *byte = 0))
            }),
        ),
        ("of an earlier incarnation", Box::new(|client| client.valid_frame(INCARNATION - 1, &keys))),
        ("twice the same", Box::new(|client| client.valid_frame(INCARNATION, &keys).repeat(2))),
        ("of another version", Box::new(|client| altered(client, &|frame| frame[6] = b'2'))),
        ("too long", Box::new(|_| u32::MAX.to_be_bytes().to_vec())),
        ("a challenge", Box::new(|client| encode(&PeerFrame::Challenge { session: client.session }))),
    ];
    for (name, frame) in &bad {
        println!("{name}");
        let client = UnidentifiedClient::new(&mut machines);
        let frame = frame(&client);
        client.expect_close_after(&mut machines, &frame, UP_TIMEOUT);
    }
    // A frame that is incomplete, and a client that sends nothing.
    let cut = UnidentifiedClient::new(&mut machines);
    let half = cut.valid_frame(INCARNATION, &keys);
    cut.expect_close_after(&mut machines, &half[..half.len() / 2], SILENCE_TIMEOUT * 2);
    UnidentifiedClient::new(&mut machines).expect_close_after(&mut machines, &[], SILENCE_TIMEOUT * 2);
    assert_eq!(machines[0].peers.peers_up(), 1, "the streams between the machines stay up");
    assert_eq!(
        machines[0].take_messages(),
        [grant_request(9)],
        "only the first of the two identical frames was accepted"
    );
    machines[1].send(0, grant_request(4));
    until(&mut machines, UP_TIMEOUT, |machines| machines[0].take_messages().contains(&grant_request(4)));
}

/// Messages that do not fit are dropped: at most the configured number of bytes is buffered for a peer that reads nothing.
#[test]
fn output_to_a_peer_that_reads_nothing_is_bounded() {
    const OUTPUT_BYTES: usize = 64 * 1024;
    let keys = keys(2);
    let mut machines = machines_with(&keys, OUTPUT_BYTES);
    bring_up(&mut machines);
    for _ in 0..32 {
        machines[0].send(1, PeerMessage::Agreement(vec![7; 16 * 1024]));
    }
    let waiting: usize = (0..100).map(|connection| machines[0].reactor.unwritten_bytes(connection)).sum();
    assert!(waiting > OUTPUT_BYTES / 2 && waiting <= OUTPUT_BYTES, "{waiting} bytes");
    // The stream still works.
    let mut received = 0;
    until(&mut machines, UP_TIMEOUT, |machines| {
        received += machines[1].take_messages().len();
        received == 3
    });
    machines[0].send(1, grant_request(5));
    until(&mut machines, UP_TIMEOUT, |machines| machines[1].take_messages() == [grant_request(5)]);
}
