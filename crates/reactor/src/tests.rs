//! The loop on loopback sockets: rules and counts, never speed.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use crate::{Bounds, Closing, Happening, Line, Reactor};

const SMALL: Bounds = Bounds { input: 1000, output: 1000 };

fn anywhere() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Waits, at most five seconds, until `found` finds something in what happened.
fn until<T>(reactor: &mut Reactor, mut found: impl FnMut(&mut Reactor, &Happening) -> Option<T>) -> T {
    let end = reactor.clock() + Duration::from_secs(5);
    let mut told = Vec::new();
    while reactor.clock() < end {
        reactor.flush();
        reactor.wait(Some(end), &mut told).unwrap();
        for happening in told.drain(..) {
            if let Some(it) = found(reactor, &happening) {
                return it;
            }
        }
    }
    panic!("nothing of the kind happened within five seconds");
}

fn pair(reactor: &mut Reactor) -> (Line, TcpStream) {
    let (_, at) = reactor.listen(anywhere(), SMALL).unwrap();
    let far = TcpStream::connect(at).unwrap();
    let line = until(reactor, |_, it| match it {
        Happening::Accepted { line, .. } => Some(*line),
        _ => None,
    });
    (line, far)
}

#[test]
fn reading_stops_at_the_bound_and_goes_on_when_consumed() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    far.write_all(&[7; 2500]).unwrap();
    let mut sizes = Vec::new();
    while sizes.iter().sum::<usize>() < 2500 {
        until(&mut reactor, |r, _| (!r.input(line).is_empty()).then_some(()));
        sizes.push(reactor.input(line).len());
        reactor.consume(line, 1000);
    }
    assert!(sizes.iter().all(|size| *size <= 1000), "{sizes:?}");
}

#[test]
fn output_over_its_bound_is_not_taken_and_drains_later() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    assert!(reactor.send(line, &[&[1; 600], &[2; 400]]));
    assert!(!reactor.send(line, &[&[3]]), "one byte over the bound");
    reactor.flush();
    assert!(reactor.send(line, &[&[0; 1000]]), "the whole bound again once it is drained");
    let mut bytes = [0; 1000];
    far.read_exact(&mut bytes).unwrap();
    assert_eq!((bytes[599], bytes[600]), (1, 2));
}

#[test]
fn a_finished_line_writes_its_last_bytes_first() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    reactor.send(line, &[b"last"]);
    reactor.finish(line);
    let why = until(&mut reactor, |_, it| match it {
        Happening::Closed(closed, why) if *closed == line => Some(*why),
        _ => None,
    });
    assert_eq!(why, Closing::Finished);
    assert_eq!(reactor.connections(), 0);
    reactor.close(line);
    let mut text = String::new();
    far.read_to_string(&mut text).unwrap();
    assert_eq!(text, "last");
}

#[test]
fn a_connection_that_is_turned_down_is_told_as_not_made() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (listener, at) = reactor.listen(anywhere(), SMALL).unwrap();
    reactor.close(listener);
    let line = reactor.connect(at, Duration::from_secs(1), SMALL).unwrap();
    let why = until(&mut reactor, |_, it| match it {
        Happening::Closed(closed, why) if *closed == line => Some(*why),
        _ => None,
    });
    assert_eq!(why, Closing::NotMade);
    assert_eq!(reactor.connections(), 0);
}

#[test]
fn the_peers_close_is_told_after_its_last_bytes() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    far.write_all(b"bye").unwrap();
    drop(far);
    let last = until(&mut reactor, |r, it| match it {
        Happening::Closed(closed, Closing::ByPeer) if *closed == line => Some(r.input(line).to_vec()),
        _ => None,
    });
    assert_eq!(last, b"bye");
}

#[test]
fn what_was_on_its_way_is_read_after_a_shut() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    reactor.send(line, &[b"last"]);
    reactor.shut(line);
    let mut heard = String::new();
    far.read_to_string(&mut heard).unwrap();
    far.write_all(b"on its way").unwrap();
    drop(far);
    let last = until(&mut reactor, |r, it| match it {
        Happening::Closed(closed, Closing::ByPeer) if *closed == line => Some(r.input(line).to_vec()),
        _ => None,
    });
    assert_eq!((heard.as_str(), &last[..]), ("last", &b"on its way"[..]));
}

/// A write that finds the other end gone must not lose what it said before: a release, say.
#[test]
fn the_last_words_of_one_that_is_gone_are_read_where_a_write_finds_it_out() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    reactor.send(line, &[b"unread"]);
    reactor.flush();
    far.write_all(b"last words").unwrap();
    // Closed with something unread: a reset.
    drop(far);
    reactor.send(line, &[b"more"]);
    reactor.flush();
    let last = until(&mut reactor, |r, it| match it {
        Happening::Closed(closed, _) if *closed == line => Some(r.input(line).to_vec()),
        _ => None,
    });
    assert_eq!(last, b"last words");
}

#[test]
fn due_times_come_in_order_and_can_be_taken_back() {
    let mut reactor = Reactor::new(Duration::from_secs(100)).unwrap();
    let now = reactor.now();
    assert_eq!(now, Duration::from_secs(100));
    for (ms, token) in [(20, 2), (10, 1), (15, 9), (30, 3)] {
        reactor.due(now + Duration::from_millis(ms), token);
    }
    reactor.not_due(now + Duration::from_millis(15), 9);
    let mut tokens = Vec::new();
    until(&mut reactor, |_, it| {
        tokens.extend(if let Happening::Due(token) = it { Some(*token) } else { None });
        (tokens.len() == 3).then_some(())
    });
    assert_eq!(tokens, [1, 2, 3]);
}

/// What a connection holds is heard before it is closed, though no wait has told of it.
#[test]
fn what_has_come_can_be_read_without_a_wait() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    assert!(!reactor.read_now(line));
    far.write_all(b"a set-up").unwrap();
    assert!(reactor.read_now(line));
    assert_eq!(reactor.input(line), b"a set-up");
}

#[test]
fn signals_and_datagrams_are_told() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (here, at) = reactor.datagrams(anywhere()).unwrap();
    assert!(reactor.send_to(here, at, b"to myself"));
    let bytes = until(&mut reactor, |_, it| match it {
        Happening::Datagram { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    assert_eq!(bytes, b"to myself");
    reactor.signal(signal_hook::consts::SIGUSR1).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGUSR1).unwrap();
    let signal = until(&mut reactor, |_, it| match it {
        Happening::Signal(signal) => Some(*signal),
        _ => None,
    });
    assert_eq!(signal, signal_hook::consts::SIGUSR1);
}

#[test]
fn thousands_of_lines_are_held_at_once() {
    assert!(crate::raise_descriptors() > 4100, "this test holds 4,000 connections");
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (_, at) = reactor.listen(anywhere(), SMALL).unwrap();
    let mut held = 0;
    for _ in 0..40 {
        let more: Vec<Line> =
            (0..50).map(|_| reactor.connect(at, Duration::from_secs(5), SMALL).unwrap()).collect();
        let mut left = 2 * more.len();
        until(&mut reactor, |_, it| {
            left -= usize::from(matches!(it, Happening::Accepted { .. } | Happening::Opened(_)));
            (left == 0).then_some(())
        });
        held += 2 * more.len();
    }
    assert_eq!(reactor.connections(), held);
}

/// Found by reading: an end that stood right behind a request was told a wake later, and what was begun for the request
/// between was begun for one who had gone.
#[test]
fn an_end_behind_the_last_bytes_is_told_in_the_same_wait() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (line, mut far) = pair(&mut reactor);
    far.write_all(&[7; 300]).unwrap();
    drop(far);
    // Both are in the kernel before the wait, as they are where the process had no processor meanwhile.
    std::thread::sleep(Duration::from_millis(50));
    let mut told = Vec::new();
    let end = reactor.clock() + Duration::from_secs(5);
    reactor.wait(Some(end), &mut told).unwrap();
    assert!(
        matches!(told[..], [Happening::Readable(a), Happening::Closed(b, Closing::ByPeer)] if a == line && b == line),
        "{told:?}"
    );
    assert_eq!(reactor.input(line).len(), 300, "what came before it is there");
}

/// Found by reading: connections that are taken in one wait hold descriptors before their program has said which may stay.
#[test]
fn no_more_connections_are_taken_in_one_wait_than_there_is_room_for() {
    let mut reactor = Reactor::new(Duration::ZERO).unwrap();
    let (_, at) = reactor.listen(anywhere(), SMALL).unwrap();
    reactor.accept_at_once(3);
    let far: Vec<_> = (0..10).map(|_| TcpStream::connect(at).unwrap()).collect();
    let (mut all, mut told) = (0, Vec::new());
    let end = reactor.clock() + Duration::from_secs(5);
    while all < far.len() && reactor.clock() < end {
        reactor.wait(Some(end), &mut told).unwrap();
        let taken = told.drain(..).filter(|it| matches!(it, Happening::Accepted { .. })).count();
        assert!(taken <= 3, "{taken} in one wait");
        all += taken;
    }
    assert_eq!(all, far.len(), "the others wait in the queue");
}
