//! Streams between control machines on loopback: several in one loop, and strangers that speak to them.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use badgerledge_distribution::message::{decode, encode, PeerMessage};
use badgerledge_keys::Keys;
use badgerledge_reactor::{Happening, Line, Reactor};

use super::support::keys;
use crate::envelope::{Identity, Payload, PeerFrame, Sealer, Session, LONGEST_FRAME};
use crate::peers::{PeerEvent, Peers, SILENT_AFTER};

/// A stream that was made is up within a ping; a pause before one more try has two seconds at most.
const UP_WITHIN: Duration = Duration::from_secs(5);
const LIFE: u32 = 10;

struct Machine {
    reactor: Reactor,
    peers: Peers,
    address: SocketAddr,
    events: Vec<PeerEvent>,
}

impl Machine {
    fn turn(&mut self) {
        let mut happenings = Vec::new();
        let until = self.reactor.clock() + Duration::from_millis(5);
        self.reactor.wait(Some(until), &mut happenings).unwrap();
        let now = self.reactor.now();
        for happening in happenings {
            match happening {
                Happening::Accepted { line, listener, .. } => {
                    assert!(self.peers.accepts(&mut self.reactor, line, listener, now));
                }
                Happening::Opened(line) => self.peers.opened(line, now),
                Happening::Readable(line) => {
                    self.peers.readable(&mut self.reactor, line, now, &mut self.events);
                }
                Happening::Closed(line, _) => self.peers.closed(line, now, &mut self.events),
                _ => {}
            }
        }
        if now >= self.peers.next_due() {
            self.peers.tend(&mut self.reactor, now, &mut self.events);
        }
        self.reactor.flush();
    }

    fn send(&mut self, to: u16, message: PeerMessage) {
        self.peers.send(&mut self.reactor, to, message);
    }

    /// Messages that came since this was last asked.
    fn heard(&mut self) -> Vec<PeerMessage> {
        let events = std::mem::take(&mut self.events);
        let messages = events.into_iter().filter_map(|event| match event {
            PeerEvent::Message(_, message) => Some(message),
            _ => None,
        });
        messages.collect()
    }

    fn was_told_down(&self, peer: u16) -> bool {
        self.events.iter().any(|event| matches!(event, PeerEvent::Down(down) if *down == peer))
    }
}

/// Machines of which each lets this many bytes wait for another.
fn machines_with(keys: &[Keys], output_bytes: usize) -> Vec<Machine> {
    let listening: Vec<(Reactor, Line, SocketAddr)> = keys
        .iter()
        .map(|_| {
            let mut reactor = Reactor::new(Duration::from_secs(1)).unwrap();
            let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let (line, at) = reactor.listen(at, Peers::incoming_bounds()).unwrap();
            (reactor, line, at)
        })
        .collect();
    let addresses: BTreeMap<u16, SocketAddr> =
        listening.iter().enumerate().map(|(number, it)| (number as u16, it.2)).collect();
    let made = listening.into_iter().zip(keys).enumerate();
    let made = made.map(|(number, ((reactor, line, address), keys))| {
        let identity = Identity { machine: number as u16, life: LIFE };
        let listener = (line, address);
        let (now, seed) = (reactor.now(), number as u64);
        let peers = Peers::new(identity, keys.clone(), listener, &addresses, output_bytes, now, seed);
        Machine { reactor, peers, address, events: Vec::new() }
    });
    made.collect()
}

fn machines(keys: &[Keys]) -> Vec<Machine> {
    machines_with(keys, 4 * LONGEST_FRAME)
}

/// Turns all machines until something is so.
fn until(machines: &mut [Machine], within: Duration, mut so: impl FnMut(&mut [Machine]) -> bool) {
    let end = machines[0].reactor.clock() + within;
    while !so(machines) {
        assert!(machines[0].reactor.clock() < end, "not within {within:?}");
        machines.iter_mut().for_each(Machine::turn);
    }
}

fn bring_up(machines: &mut [Machine]) {
    let others = machines.len() - 1;
    until(machines, UP_WITHIN, |machines| machines.iter().all(|machine| machine.peers.up() == others));
}

fn asks(seed: u8) -> PeerMessage {
    PeerMessage::RequestGrant { root: [seed; 32] }
}

#[test]
fn messages_go_both_ways_and_a_peer_that_is_gone_is_told() {
    let keys = keys(3);
    let mut machines = machines(&keys);
    bring_up(&mut machines);
    for (from, to) in [(0, 1), (1, 0), (2, 1)] {
        machines[from].send(to, asks(from as u8));
    }
    let (mut first, mut second) = (Vec::new(), Vec::new());
    until(&mut machines, UP_WITHIN, |machines| {
        first.extend(machines[0].heard());
        second.extend(machines[1].heard());
        first.len() + second.len() == 3
    });
    assert!(first == [asks(1)] && second.contains(&asks(0)) && second.contains(&asks(2)));
    drop(machines.pop());
    until(&mut machines, SILENT_AFTER * 2, |machines| machines.iter().all(|it| it.was_told_down(2)));
}

/// The other end stands still: its sockets are open, and nothing comes.
#[test]
fn a_half_open_stream_is_noticed() {
    let keys = keys(2);
    let mut machines = machines(&keys);
    bring_up(&mut machines);
    let frozen = machines.pop();
    until(&mut machines, SILENT_AFTER * 2, |machines| machines[0].was_told_down(1));
    drop(frozen);
}

/// Somebody who connected to machine 0 and was challenged.
struct Stranger {
    stream: TcpStream,
    session: Session,
}

impl Stranger {
    fn new(machines: &mut [Machine]) -> Self {
        let mut stream = TcpStream::connect(machines[0].address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let (mut bytes, mut session) = (Vec::new(), None);
        until(machines, UP_WITHIN, |_| {
            let mut some = [0; 512];
            let count = stream.read(&mut some).unwrap_or(0);
            bytes.extend_from_slice(&some[..count]);
            if let Ok(Some((PeerFrame::Challenge { session: told }, _))) = decode(&bytes, LONGEST_FRAME) {
                session = Some(told);
            }
            session.is_some()
        });
        Self { stream, session: session.unwrap() }
    }

    /// A frame of machine 1 that holds on this stream.
    fn good(&self, life: u32, keys: &[Keys]) -> Vec<u8> {
        let identity = Identity { machine: 1, life };
        let payload = Payload::Message(asks(9));
        encode(&Sealer::new(identity, 0, self.session).seal(&payload, &keys[1]))
    }

    fn expect_close_after(mut self, machines: &mut [Machine], bytes: &[u8], within: Duration) {
        self.stream.write_all(bytes).unwrap();
        until(machines, within, |_| match self.stream.read(&mut [0; 512]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        });
    }
}

#[test]
fn bad_frames_close_their_own_stream_and_the_others_go_on() {
    type Bad<'a> = Box<dyn Fn(&Stranger) -> Vec<u8> + 'a>;
    let keys = keys(2);
    let mut machines = machines(&keys);
    bring_up(&mut machines);
    let recorded = Stranger::new(&mut machines).good(LIFE, &keys);
    let altered = |stranger: &Stranger, change: &dyn Fn(&mut Vec<u8>)| {
        let mut frame = stranger.good(LIFE, &keys);
        change(&mut frame);
        frame
    };
    let bad: [(&str, Bad); 7] = [
        ("recorded on another stream", Box::new(|_| recorded.clone())),
        (
            "unsigned",
            Box::new(|it| altered(it, &|frame| frame.iter_mut().rev().take(64).for_each(|byte| *byte = 0))),
        ),
        ("of an earlier life", Box::new(|it| it.good(LIFE - 1, &keys))),
        ("twice the same", Box::new(|it| it.good(LIFE, &keys).repeat(2))),
        ("of another version", Box::new(|it| altered(it, &|frame| frame[6] = b'2'))),
        ("too long", Box::new(|_| u32::MAX.to_be_bytes().to_vec())),
        ("a challenge", Box::new(|it| encode(&PeerFrame::Challenge { session: it.session }))),
    ];
    for (name, frame) in &bad {
        println!("{name}");
        let stranger = Stranger::new(&mut machines);
        let frame = frame(&stranger);
        stranger.expect_close_after(&mut machines, &frame, UP_WITHIN);
    }
    // One that is cut off in the middle of a frame, and one that says nothing.
    let cut = Stranger::new(&mut machines);
    let half = cut.good(LIFE, &keys);
    cut.expect_close_after(&mut machines, &half[..half.len() / 2], SILENT_AFTER * 2);
    Stranger::new(&mut machines).expect_close_after(&mut machines, &[], SILENT_AFTER * 2);
    assert_eq!(machines[0].peers.up(), 1, "the machines' own streams stand");
    assert_eq!(machines[0].heard(), [asks(9)], "of them all the first of the two alike");
    machines[1].send(0, asks(4));
    until(&mut machines, UP_WITHIN, |machines| machines[0].heard().contains(&asks(4)));
}

/// What does not fit is dropped: no more than the bound waits for a machine that reads nothing.
#[test]
fn output_to_a_peer_that_reads_nothing_is_bounded() {
    const BOUND: usize = 64 * 1024;
    let keys = keys(2);
    let mut machines = machines_with(&keys, BOUND);
    bring_up(&mut machines);
    for _ in 0..32 {
        machines[0].send(1, PeerMessage::Agreement(vec![7; 16 * 1024]));
    }
    let waiting: usize = (0..100).map(|line| machines[0].reactor.unwritten(line)).sum();
    assert!(waiting > BOUND / 2 && waiting <= BOUND, "{waiting} bytes");
    // And the stream carries on.
    let mut heard = 0;
    until(&mut machines, UP_WITHIN, |machines| {
        heard += machines[1].heard().len();
        heard == 3
    });
    machines[0].send(1, asks(5));
    until(&mut machines, UP_WITHIN, |machines| machines[1].heard() == [asks(5)]);
}
