//! The rig between plain sockets: each direction by itself.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use badgerledge_reactor::Reactor;
use socket2::{Domain, Socket, Type};

use super::*;

const PATIENCE: Duration = Duration::from_secs(5);
/// How long is waited to see that nothing comes.
const NOTHING: Duration = Duration::from_millis(150);

struct Two {
    reactor: Reactor,
    ways: Ways,
    sockets: [UdpSocket; 2],
    listeners: [TcpListener; 2],
}

/// What one end sent, as the other sees it: from which address, and what.
type Heard = Option<(SocketAddr, Vec<u8>)>;

impl Two {
    fn new(way: Way) -> Self {
        let ips = ["127.2.0.1", "127.2.0.2"];
        let listeners = ips.map(|ip| TcpListener::bind((ip, 0)).unwrap());
        let sockets = [0, 1].map(|n| UdpSocket::bind(listeners[n].local_addr().unwrap()).unwrap());
        sockets.iter().for_each(|socket| socket.set_nonblocking(true).unwrap());
        listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
        let own = [0, 1].map(|n: usize| listeners[n].local_addr().unwrap());
        let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
        let ways = Ways::new(&mut reactor, &own, way, 7).unwrap();
        Self { reactor, ways, sockets, listeners }
    }

    fn turn(&mut self) {
        let mut told = Vec::new();
        let until = self.reactor.clock() + Duration::from_millis(2);
        self.reactor.wait(Some(until), &mut told).unwrap();
        let now = self.reactor.now();
        for happening in told {
            self.ways.take(&mut self.reactor, now, &happening);
        }
        self.ways.tend(&mut self.reactor, now);
        self.reactor.flush();
    }

    /// Lets the rig work until something is there, or for that long.
    fn until<T>(&mut self, span: Duration, mut look: impl FnMut(&mut Self) -> Option<T>) -> Option<T> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.turn();
            if let Some(found) = look(self) {
                return Some(found);
            }
        }
        None
    }

    fn says(&mut self, from: usize, bytes: &[u8], span: Duration) -> Heard {
        let to = 1 - from;
        self.sockets[from].send_to(bytes, self.ways.reached(to)).unwrap();
        self.until(span, |two| {
            let mut heard = [0; 64];
            let (count, at) = two.sockets[to].recv_from(&mut heard).ok()?;
            Some((at, heard[..count].to_vec()))
        })
    }

    fn connects(&mut self, from: usize) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::new(self.sockets[from].local_addr().unwrap().ip(), 0).into()).unwrap();
        socket.connect(&self.ways.reached(1 - from).into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true).unwrap();
        stream
    }

    fn accepted(&mut self, at: usize, span: Duration) -> Option<TcpStream> {
        let stream = self.until(span, |two| two.listeners[at].accept().ok())?.0;
        stream.set_nonblocking(true).unwrap();
        Some(stream)
    }

    /// How many bytes came on a stream in that time, at most so many; nothing where it was cut off.
    fn comes(&mut self, stream: &mut TcpStream, most: usize, span: Duration) -> Option<usize> {
        let mut count = 0;
        let over = self.until(span, |_| {
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(0) => Some(false),
                Ok(n) => {
                    count += n;
                    (count >= most).then_some(true)
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => None,
                Err(_) => Some(false),
            }
        });
        (over != Some(false)).then_some(count)
    }
}

fn calm() -> Way {
    Way { loss: 0.0, ..Way::default() }
}

#[test]
fn a_cut_one_way_leaves_the_other_as_it_was() {
    let mut two = Two::new(calm());
    let (a, b) = (two.ways.reached(0), two.ways.reached(1));
    assert_eq!(two.says(0, b"one", PATIENCE), Some((a, b"one".to_vec())));
    assert_eq!(two.says(1, b"two", PATIENCE), Some((b, b"two".to_vec())));
    two.ways.way(0, 1).cut = true;
    assert_eq!(two.says(0, b"three", NOTHING), None);
    assert_eq!(two.says(1, b"four", PATIENCE), Some((b, b"four".to_vec())));
    two.ways.heal();
    assert_eq!(two.says(0, b"five", PATIENCE), Some((a, b"five".to_vec())));
    let deliveries: Vec<(End, Delivery)> =
        two.ways.record.iter().map(|entry| (entry.from, entry.delivery)).collect();
    let passed = Delivery::Passed;
    assert_eq!(deliveries, [(0, passed), (1, passed), (0, Delivery::Lost), (1, passed), (0, passed)]);
}

#[test]
fn datagrams_come_twice_and_out_of_order() {
    let mut two =
        Two::new(Way { doubled: 1.0, late: Duration::ZERO, spread: Duration::from_millis(40), ..calm() });
    for n in 0..20 {
        two.sockets[0].send_to(&[n], two.ways.reached(1)).unwrap();
    }
    let mut heard = Vec::new();
    two.until(PATIENCE, |two| {
        let mut byte = [0; 4];
        while two.sockets[1].recv_from(&mut byte).is_ok() {
            heard.push(byte[0]);
        }
        (heard.len() == 40).then_some(())
    });
    assert_eq!(heard.len(), 40);
    assert!(!heard.is_sorted());
}

#[test]
fn a_stream_is_cut_one_way_and_goes_on_when_the_cut_is_over() {
    let mut two = Two::new(calm());
    let mut near = two.connects(0);
    let mut far = two.accepted(1, PATIENCE).unwrap();
    near.write_all(b"abc").unwrap();
    assert_eq!(two.comes(&mut far, 3, PATIENCE), Some(3));
    two.ways.way(0, 1).cut = true;
    near.write_all(b"defg").unwrap();
    assert_eq!(two.comes(&mut far, 4, NOTHING), Some(0));
    far.write_all(b"back").unwrap();
    assert_eq!(two.comes(&mut near, 4, PATIENCE), Some(4));
    two.ways.heal();
    assert_eq!(two.comes(&mut far, 4, PATIENCE), Some(4));
}

#[test]
fn streams_that_are_half_open_reset_or_slow() {
    let mut two = Two::new(calm());
    two.ways.way(0, 1).half_open = true;
    let mut near = two.connects(0);
    near.write_all(b"abc").unwrap();
    assert!(two.accepted(1, NOTHING).is_none());
    assert_eq!(two.comes(&mut near, 1, NOTHING), Some(0), "it stays open, and says nothing");

    two.ways.heal();
    two.ways.way(0, 1).slow = Some(10_000);
    let mut near = two.connects(0);
    let mut far = two.accepted(1, PATIENCE).unwrap();
    near.write_all(&[1; 4000]).unwrap();
    let begun = Instant::now();
    assert_eq!(two.comes(&mut far, 4000, PATIENCE), Some(4000));
    assert!(begun.elapsed() > Duration::from_millis(250), "4,000 bytes at 10,000 a second");

    two.ways.way(0, 1).reset = true;
    near.write_all(b"abc").unwrap();
    assert_eq!(two.comes(&mut far, 1, PATIENCE), None);
}
