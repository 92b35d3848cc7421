//! The event loop on loopback sockets: behaviour and counts, no speed.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use crate::{Bounds, Buffer, CloseReason, Reactor, ReactorEvent, SocketId};

const SMALL: Bounds = Bounds { input: 1000, output: 1000 };

fn anywhere() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Waits, at most five seconds, until `found` accepts one of the events.
fn until<T>(reactor: &mut Reactor, mut found: impl FnMut(&mut Reactor, &ReactorEvent) -> Option<T>) -> T {
    let end = reactor.clock() + Duration::from_secs(5);
    let mut events = Vec::new();
    while reactor.clock() < end {
        reactor.flush();
        reactor.wait(Some(end), &mut events).unwrap();
        for event in events.drain(..) {
            if let Some(it) = found(reactor, &event) {
                return it;
            }
        }
    }
    panic!("no matching event within five seconds");
}

fn pair(reactor: &mut Reactor) -> (SocketId, TcpStream) {
    let (_, at) = reactor.listen(anywhere(), SMALL).unwrap();
    let remote = TcpStream::connect(at).unwrap();
    let connection = until(reactor, |_, it| match it {
        ReactorEvent::Accepted { connection, .. } => Some(*connection),
        _ => None,
    });
    (connection, remote)
}

#[test]
fn reading_pauses_at_the_limit_and_resumes_when_consumed() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    remote.write_all(&[7; 2500]).unwrap();
    let mut sizes = Vec::new();
    while sizes.iter().sum::<usize>() < 2500 {
        until(&mut reactor, |r, _| (!r.input(connection).is_empty()).then_some(()));
        sizes.push(reactor.input(connection).len());
        reactor.consume(connection, 1000);
    }
    assert!(sizes.iter().all(|size| *size <= 1000), "{sizes:?}");
}

#[test]
fn output_over_its_limit_is_refused_and_drains_later() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    assert!(reactor.send(connection, &[&[1; 600], &[2; 400]]));
    assert!(!reactor.send(connection, &[&[3]]), "one byte over the limit");
    reactor.flush();
    assert!(reactor.send(connection, &[&[0; 1000]]), "the whole limit again once it is drained");
    let mut bytes = [0; 1000];
    remote.read_exact(&mut bytes).unwrap();
    assert_eq!((bytes[599], bytes[600]), (1, 2));
}

#[test]
fn a_connection_closed_after_flush_writes_its_last_bytes_first() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    reactor.send(connection, &[b"last"]);
    reactor.close_after_flush(connection);
    let why = until(&mut reactor, |_, it| match it {
        ReactorEvent::Closed(closed, why) if *closed == connection => Some(*why),
        _ => None,
    });
    assert_eq!(why, CloseReason::Finished);
    assert_eq!(reactor.connections(), 0);
    reactor.close(connection);
    let mut text = String::new();
    remote.read_to_string(&mut text).unwrap();
    assert_eq!(text, "last");
}

#[test]
fn a_refused_connection_is_reported_as_not_made() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (listener, at) = reactor.listen(anywhere(), SMALL).unwrap();
    reactor.close(listener);
    let connection = reactor.connect(at, Duration::from_secs(1), SMALL).unwrap();
    let why = until(&mut reactor, |_, it| match it {
        ReactorEvent::Closed(closed, why) if *closed == connection => Some(*why),
        _ => None,
    });
    assert_eq!(why, CloseReason::NotMade);
    assert_eq!(reactor.connections(), 0);
}

#[test]
fn the_close_of_the_peer_is_reported_after_its_last_bytes() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    remote.write_all(b"bye").unwrap();
    drop(remote);
    let last = until(&mut reactor, |r, it| match it {
        ReactorEvent::Closed(closed, CloseReason::ByPeer) if *closed == connection => {
            Some(r.input(connection).to_vec())
        }
        _ => None,
    });
    assert_eq!(last, b"bye");
}

#[test]
fn input_in_transit_is_read_after_a_shutdown() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    reactor.send(connection, &[b"last"]);
    reactor.shut_down_write(connection);
    let mut received = String::new();
    remote.read_to_string(&mut received).unwrap();
    remote.write_all(b"on its way").unwrap();
    drop(remote);
    let last = until(&mut reactor, |r, it| match it {
        ReactorEvent::Closed(closed, CloseReason::ByPeer) if *closed == connection => {
            Some(r.input(connection).to_vec())
        }
        _ => None,
    });
    assert_eq!((received.as_str(), &last[..]), ("last", &b"on its way"[..]));
}

/// Guards against losing the peer's last input, such as a release, when a write discovers that the peer has
/// gone.
#[test]
fn the_last_input_is_read_when_a_write_finds_the_peer_gone() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    reactor.send(connection, &[b"unread"]);
    reactor.flush();
    remote.write_all(b"last words").unwrap();
    // Closing with unread input causes a reset.
    drop(remote);
    reactor.send(connection, &[b"more"]);
    reactor.flush();
    let last = until(&mut reactor, |r, it| match it {
        ReactorEvent::Closed(closed, _) if *closed == connection => Some(r.input(connection).to_vec()),
        _ => None,
    });
    assert_eq!(last, b"last words");
}

#[test]
fn timers_fire_in_order_and_can_be_cancelled() {
    let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
    let now = reactor.now();
    assert_eq!(now, Duration::from_secs(100));
    for (ms, token) in [(20, 2), (10, 1), (15, 9), (30, 3)] {
        reactor.set_timer(now + Duration::from_millis(ms), token);
    }
    reactor.cancel_timer(now + Duration::from_millis(15), 9);
    let mut tokens = Vec::new();
    until(&mut reactor, |_, it| {
        tokens.extend(if let ReactorEvent::Timer(token) = it { Some(*token) } else { None });
        (tokens.len() == 3).then_some(())
    });
    assert_eq!(tokens, [1, 2, 3]);
}

/// Input can be read before a connection is closed, although no wait has reported it.
#[test]
fn available_input_can_be_read_without_a_wait() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    assert!(!reactor.read_available(connection));
    remote.write_all(b"a set-up").unwrap();
    assert!(reactor.read_available(connection));
    assert_eq!(reactor.input(connection), b"a set-up");
}

#[test]
fn signals_and_datagrams_are_reported() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (here, at) = reactor.bind_datagrams(anywhere()).unwrap();
    assert!(reactor.send_to(here, at, b"to myself"));
    let bytes = until(&mut reactor, |_, it| match it {
        ReactorEvent::Datagram { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    assert_eq!(bytes, b"to myself");
    reactor.watch_signal(signal_hook::consts::SIGUSR1).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGUSR1).unwrap();
    let signal = until(&mut reactor, |_, it| match it {
        ReactorEvent::Signal(signal) => Some(*signal),
        _ => None,
    });
    assert_eq!(signal, signal_hook::consts::SIGUSR1);
}

#[test]
fn thousands_of_connections_stay_open_at_once() {
    assert!(crate::raise_descriptors() > 4100, "this test holds 4,000 connections");
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (_, at) = reactor.listen(anywhere(), SMALL).unwrap();
    let mut open_connections = 0;
    for _ in 0..40 {
        let more: Vec<SocketId> =
            (0..50).map(|_| reactor.connect(at, Duration::from_secs(5), SMALL).unwrap()).collect();
        let mut left = 2 * more.len();
        until(&mut reactor, |_, it| {
            left -= usize::from(matches!(it, ReactorEvent::Accepted { .. } | ReactorEvent::Opened(_)));
            (left == 0).then_some(())
        });
        open_connections += 2 * more.len();
    }
    assert_eq!(reactor.connections(), open_connections);
}

/// Guards against reporting a close right behind a request one wait later: work for the request would be
/// started although the peer has gone.
#[test]
fn a_close_behind_the_last_bytes_is_reported_in_the_same_wait() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (connection, mut remote) = pair(&mut reactor);
    remote.write_all(&[7; 300]).unwrap();
    drop(remote);
    // Both are in the kernel before the wait, as when the process had no processor time meanwhile.
    std::thread::sleep(Duration::from_millis(50));
    let mut events = Vec::new();
    let end = reactor.clock() + Duration::from_secs(5);
    reactor.wait(Some(end), &mut events).unwrap();
    assert!(
        matches!(events[..], [ReactorEvent::Readable(a), ReactorEvent::Closed(b, CloseReason::ByPeer)] if a == connection && b == connection),
        "{events:?}"
    );
    assert_eq!(reactor.input(connection).len(), 300, "the input before the close is available");
}

/// Connections accepted in one wait use descriptors before the program has decided which may stay.
#[test]
fn the_connections_accepted_per_wait_are_limited() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (_, at) = reactor.listen(anywhere(), SMALL).unwrap();
    reactor.set_max_accepts_per_wait(3);
    let remote: Vec<_> = (0..10).map(|_| TcpStream::connect(at).unwrap()).collect();
    let (mut all, mut events) = (0, Vec::new());
    let end = reactor.clock() + Duration::from_secs(5);
    while all < remote.len() && reactor.clock() < end {
        reactor.wait(Some(end), &mut events).unwrap();
        let taken = events.drain(..).filter(|it| matches!(it, ReactorEvent::Accepted { .. })).count();
        assert!(taken <= 3, "{taken} in one wait");
        all += taken;
    }
    assert_eq!(all, remote.len(), "the others wait in the queue");
}

/// Guards against a process that passes its memory limit while hundreds of clients are connected that each sent one
/// long request: their buffers kept the room for it.
#[test]
fn an_empty_buffer_keeps_little_of_the_room_for_a_long_message() {
    const LONG: usize = 16 * 1024;
    let mut buffer = Buffer::default();
    buffer.push(&[0; LONG]);
    buffer.consume(LONG - 1);
    buffer.push(&[0]);
    buffer.consume(2);
    assert!(buffer.is_empty());
    // Of a thousand connections' two buffers these are 4 MB, in the 32 MB of the smallest controllers.
    assert!(buffer.capacity() <= 2 * 1024, "{}", buffer.capacity());
}
