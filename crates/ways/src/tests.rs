//! Tests the network between plain sockets, each direction on its own.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use badgerledge_reactor::Reactor;
use socket2::{Domain, Socket, Type};

use super::*;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a test waits to conclude that nothing arrives.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Two endpoints with a UDP socket and a TCP listener each, and the network between them.
struct Harness {
    reactor: Reactor,
    network: TestNetwork,
    sockets: [UdpSocket; 2],
    listeners: [TcpListener; 2],
}

/// The sender's address and the contents of a received datagram, if one arrived.
type Received = Option<(SocketAddr, Vec<u8>)>;

impl Harness {
    fn new(link: LinkFaults) -> Self {
        let ips = ["127.2.0.1", "127.2.0.2"];
        let listeners = ips.map(|ip| TcpListener::bind((ip, 0)).unwrap());
        let sockets = [0, 1].map(|n| UdpSocket::bind(listeners[n].local_addr().unwrap()).unwrap());
        sockets.iter().for_each(|socket| socket.set_nonblocking(true).unwrap());
        listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
        let addresses = [0, 1].map(|n: usize| listeners[n].local_addr().unwrap());
        let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
        let network = TestNetwork::new(&mut reactor, &addresses, link, 7).unwrap();
        Self { reactor, network, sockets, listeners }
    }

    /// Runs the event loop once.
    fn run_once(&mut self) {
        let mut events = Vec::new();
        let deadline = self.reactor.clock() + Duration::from_millis(2);
        self.reactor.wait(Some(deadline), &mut events).unwrap();
        let now = self.reactor.now();
        for event in events {
            self.network.handle_event(&mut self.reactor, now, &event);
        }
        self.network.poll(&mut self.reactor, now);
        self.reactor.flush();
    }

    /// Runs the network until `condition` returns a value, or until the timeout.
    fn run_until<T>(
        &mut self, timeout: Duration, mut condition: impl FnMut(&mut Self) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            self.run_once();
            if let Some(value) = condition(self) {
                return Some(value);
            }
        }
        None
    }

    fn send_datagram(&mut self, from: usize, bytes: &[u8], timeout: Duration) -> Received {
        let to = 1 - from;
        self.sockets[from].send_to(bytes, self.network.proxy_address(to)).unwrap();
        self.run_until(timeout, |harness| {
            let mut buffer = [0; 64];
            let (count, sender) = harness.sockets[to].recv_from(&mut buffer).ok()?;
            Some((sender, buffer[..count].to_vec()))
        })
    }

    fn connect(&mut self, from: usize) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::new(self.sockets[from].local_addr().unwrap().ip(), 0).into()).unwrap();
        socket.connect(&self.network.proxy_address(1 - from).into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true).unwrap();
        stream
    }

    fn accept(&mut self, endpoint: usize, timeout: Duration) -> Option<TcpStream> {
        let stream = self.run_until(timeout, |harness| harness.listeners[endpoint].accept().ok())?.0;
        stream.set_nonblocking(true).unwrap();
        Some(stream)
    }

    /// Receives until `expected` bytes arrived or the timeout, and returns their number; `None` where the stream was closed.
    fn receive(&mut self, stream: &mut TcpStream, expected: usize, timeout: Duration) -> Option<usize> {
        let mut count = 0;
        let result = self.run_until(timeout, |_| {
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(0) => Some(false),
                Ok(n) => {
                    count += n;
                    (count >= expected).then_some(true)
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => None,
                Err(_) => Some(false),
            }
        });
        (result != Some(false)).then_some(count)
    }
}

/// A link without loss.
fn lossless() -> LinkFaults {
    LinkFaults { loss_probability: 0.0, ..LinkFaults::default() }
}

#[test]
fn blocking_one_direction_leaves_the_other_unaffected() {
    let mut harness = Harness::new(lossless());
    let (a, b) = (harness.network.proxy_address(0), harness.network.proxy_address(1));
    assert_eq!(harness.send_datagram(0, b"one", RECEIVE_TIMEOUT), Some((a, b"one".to_vec())));
    assert_eq!(harness.send_datagram(1, b"two", RECEIVE_TIMEOUT), Some((b, b"two".to_vec())));
    harness.network.link(0, 1).blocked = true;
    assert_eq!(harness.send_datagram(0, b"three", QUIET_TIME), None);
    assert_eq!(harness.send_datagram(1, b"four", RECEIVE_TIMEOUT), Some((b, b"four".to_vec())));
    harness.network.reset_links();
    assert_eq!(harness.send_datagram(0, b"five", RECEIVE_TIMEOUT), Some((a, b"five".to_vec())));
    let deliveries: Vec<(EndpointId, Delivery)> =
        harness.network.traffic.iter().map(|entry| (entry.from, entry.delivery)).collect();
    let forwarded = Delivery::Forwarded;
    assert_eq!(
        deliveries,
        [(0, forwarded), (1, forwarded), (0, Delivery::Lost), (1, forwarded), (0, forwarded)]
    );
}

#[test]
fn datagrams_are_duplicated_and_reordered() {
    let mut harness = Harness::new(LinkFaults {
        duplicate_probability: 1.0,
        delay: Duration::ZERO,
        max_jitter: Duration::from_millis(40),
        ..lossless()
    });
    for n in 0..20 {
        harness.sockets[0].send_to(&[n], harness.network.proxy_address(1)).unwrap();
    }
    let mut received = Vec::new();
    harness.run_until(RECEIVE_TIMEOUT, |harness| {
        let mut byte = [0; 4];
        while harness.sockets[1].recv_from(&mut byte).is_ok() {
            received.push(byte[0]);
        }
        (received.len() == 40).then_some(())
    });
    assert_eq!(received.len(), 40);
    assert!(!received.is_sorted());
}

#[test]
fn a_stream_blocked_in_one_direction_resumes_after_the_fault() {
    let mut harness = Harness::new(lossless());
    let mut client = harness.connect(0);
    let mut server = harness.accept(1, RECEIVE_TIMEOUT).unwrap();
    client.write_all(b"abc").unwrap();
    assert_eq!(harness.receive(&mut server, 3, RECEIVE_TIMEOUT), Some(3));
    harness.network.link(0, 1).blocked = true;
    client.write_all(b"defg").unwrap();
    assert_eq!(harness.receive(&mut server, 4, QUIET_TIME), Some(0));
    server.write_all(b"back").unwrap();
    assert_eq!(harness.receive(&mut client, 4, RECEIVE_TIMEOUT), Some(4));
    harness.network.reset_links();
    assert_eq!(harness.receive(&mut server, 4, RECEIVE_TIMEOUT), Some(4));
}

#[test]
fn half_open_reset_and_rate_limited_streams() {
    let mut harness = Harness::new(lossless());
    harness.network.link(0, 1).half_open = true;
    let mut client = harness.connect(0);
    client.write_all(b"abc").unwrap();
    assert!(harness.accept(1, QUIET_TIME).is_none());
    assert_eq!(
        harness.receive(&mut client, 1, QUIET_TIME),
        Some(0),
        "the stream stays open, and nothing is received"
    );

    harness.network.reset_links();
    harness.network.link(0, 1).max_bytes_per_s = Some(10_000);
    let mut client = harness.connect(0);
    let mut server = harness.accept(1, RECEIVE_TIMEOUT).unwrap();
    client.write_all(&[1; 4000]).unwrap();
    let started_at = Instant::now();
    assert_eq!(harness.receive(&mut server, 4000, RECEIVE_TIMEOUT), Some(4000));
    assert!(started_at.elapsed() > Duration::from_millis(250), "4,000 bytes at 10,000 bytes/s");

    harness.network.link(0, 1).reset_streams = true;
    client.write_all(b"abc").unwrap();
    assert_eq!(harness.receive(&mut server, 1, RECEIVE_TIMEOUT), None);
}
