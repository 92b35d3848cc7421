//! Connections of viewers on loopback sockets; the time is passed in, not waited for.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};

use crate::viewer_pool::{ViewerPool, BOUNDS};

const TIMEOUT: Duration = Duration::from_secs(5);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// An event loop with this many viewers' connections, in order, and the viewers' ends of them.
fn viewers(count: usize) -> (Reactor, Vec<SocketId>, Vec<TcpStream>) {
    let mut reactor = Reactor::new(secs(1000)).unwrap();
    let (_, at) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS).unwrap();
    let (mut connections, mut events, mut remote) = (Vec::new(), Vec::new(), Vec::new());
    while connections.len() < count {
        remote.push(TcpStream::connect(at).unwrap());
        reactor.wait(Some(reactor.clock() + TIMEOUT), &mut events).unwrap();
        connections.extend(events.drain(..).filter_map(|it| match it {
            ReactorEvent::Accepted { connection, .. } => Some(connection),
            _ => None,
        }));
    }
    (reactor, connections, remote)
}

/// A release is sent as its viewer closes the connection, or on a connection whose end shows only at the
/// write: it must be sent again on another. Viewers that do not acknowledge may receive it twice.
#[test]
fn a_release_is_resent_if_its_connection_closes_as_it_is_sent() {
    let (mut reactor, connections, mut remote) = viewers(2);
    let (mut viewer_pool, now) = (ViewerPool::new(8), secs(1000));
    for connection in &connections {
        viewer_pool.insert(*connection, now);
        viewer_pool.mark_serving(*connection, now, &mut reactor);
    }
    for (wire_id, message) in [(1, "first "), (2, "second "), (3, "third ")] {
        viewer_pool.release(connections[0], wire_id, message.into(), now, &mut reactor);
    }
    viewer_pool.acknowledge_release(2);
    viewer_pool.remove(connections[0], now + Duration::from_millis(900), &mut reactor);
    viewer_pool.release(connections[0], 4, "fourth".into(), now + secs(1), &mut reactor);
    reactor.flush();
    let mut received = [0; 64];
    remote[1].set_read_timeout(Some(TIMEOUT)).unwrap();
    let count = remote[1].read(&mut received).unwrap();
    assert_eq!(std::str::from_utf8(&received[..count]), Ok("first third fourth"));
}

/// A first request on a connection that is closed is lost to its viewer. Of a silent crowd, some connections
/// are kept for half a second.
#[test]
fn a_connection_whose_first_set_up_may_be_on_its_way_is_evicted_last() {
    let (mut reactor, connections, _remote) = viewers(5);
    let (mut viewer_pool, now) = (ViewerPool::new(3), secs(1000));
    connections[..3].iter().for_each(|connection| viewer_pool.insert(*connection, now));
    assert!(viewer_pool.is_full());
    viewer_pool.answer(connections[0], b"answer", &mut reactor);
    assert_eq!(
        viewer_pool.eviction_candidate(now, |_| false),
        Some(connections[0]),
        "the one that was sent an answer"
    );
    viewer_pool.remove(connections[0], now, &mut reactor);
    viewer_pool.insert(connections[3], now);
    let later = now + secs(1);
    let other = viewer_pool.eviction_candidate(later, |connection| connection == connections[1]);
    assert_eq!(other, Some(connections[2]), "the oldest silent one without a pending set-up");
    viewer_pool.remove(connections[2], later, &mut reactor);
    viewer_pool.insert(connections[4], later);
    assert_eq!(
        viewer_pool.expired(now + secs(2), |connection| connection == connections[1]),
        [connections[3]]
    );
}

/// Guards against connections that were refused once and stayed, or that are silent and arrive by hundreds,
/// evicting those that served viewers longer ago: releases could not be sent any more. In a crowd whose first
/// set-ups may all be on their way, one connection is evicted for each that served viewers.
#[test]
fn connections_that_served_viewers_are_not_evicted_by_a_crowd() {
    let (mut reactor, connections, _remote) = viewers(9);
    let (mut viewer_pool, now) = (ViewerPool::new(8), secs(1000));
    for (connection, since) in connections.iter().zip(0..4) {
        viewer_pool.insert(*connection, now + secs(since));
        viewer_pool.mark_serving(*connection, now + secs(since), &mut reactor);
    }
    let later = now + secs(10);
    for connection in &connections[4..8] {
        viewer_pool.insert(*connection, later);
    }
    viewer_pool.answer(connections[4], b"refused", &mut reactor);
    let mut evicted = Vec::new();
    while let Some(connection) = viewer_pool.eviction_candidate(later, |_| false) {
        viewer_pool.remove(connection, later, &mut reactor);
        evicted.push(connection);
    }
    let [first, second, third, fourth, refused, new @ ..] = &connections[..8] else { unreachable!() };
    // Two of eight are reserved and evicted last; older ones are evicted before new ones.
    assert_eq!(evicted[..3], [*refused, *first, *second]);
    assert_eq!(evicted[3..6], *new);
    assert_eq!(evicted[6..], [*third, *fourth]);
}

/// Guards against closing a connection with handed-over sessions after two seconds because nothing was sent
/// on it: later releases would be lost. A viewer that abandons its set-up must not lose its connection under
/// its next one either. A connection that sends nothing else is kept for that time.
#[test]
fn a_connection_with_a_handover_or_an_abandoned_set_up_is_kept() {
    let mut reactor = Reactor::new(secs(1000)).unwrap();
    let (mut viewer_pool, now) = (ViewerPool::new(3), secs(1000));
    (1..=3).for_each(|connection| viewer_pool.insert(connection, now));
    viewer_pool.mark_serving(1, now, &mut reactor);
    viewer_pool.record_set_up(2, now + secs(1));
    assert_eq!(viewer_pool.expired(now + secs(2), |_| false), [3]);
    assert_eq!(viewer_pool.expired(now + secs(3), |_| false), [2, 3]);
}

/// Guards against a release that waited for a viewers' connection and was then not tracked on the connection
/// that it was sent on.
#[test]
fn a_queued_release_is_resent_if_the_connection_it_was_sent_on_closes() {
    let (mut reactor, connections, mut remote) = viewers(2);
    let (mut viewer_pool, now) = (ViewerPool::new(8), secs(1000));
    viewer_pool.release(77, 1, b"waits".to_vec(), now, &mut reactor);
    assert!(
        viewer_pool.has_pending_output(now + secs(7), &reactor)
            && !viewer_pool.has_pending_output(now + secs(8), &reactor)
    );
    viewer_pool.insert(connections[0], now);
    viewer_pool.mark_serving(connections[0], now + secs(2), &mut reactor);
    viewer_pool.remove(connections[0], now + secs(2), &mut reactor);
    viewer_pool.insert(connections[1], now);
    viewer_pool.mark_serving(connections[1], now + secs(2), &mut reactor);
    reactor.flush();
    let mut received = [0; 64];
    remote[1].set_read_timeout(Some(TIMEOUT)).unwrap();
    let count = remote[1].read(&mut received).unwrap();
    assert_eq!(&received[..count], b"waits");
}

/// What has arrived at the viewers' end of a connection.
fn received(remote: &mut TcpStream) -> String {
    remote.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut bytes = [0; 64 * 1024];
    let count = remote.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// Guards against a release that waits although viewers are connected: it waited for a connection on which a
/// set-up was accepted. One that only carries set-ups may belong to a client that ignores others' releases,
/// so the release goes on each of them in turn until it is acknowledged; never on a health checker's.
#[test]
fn a_release_is_tried_on_connections_that_only_carry_set_ups() {
    let (mut reactor, connections, mut remote) = viewers(4);
    let (mut viewer_pool, now) = (ViewerPool::new(8), secs(1000));
    let [checker, refused, waiting, late] = connections[..] else { unreachable!("four connections") };
    connections.iter().for_each(|connection| viewer_pool.insert(*connection, now));
    viewer_pool.answer(checker, b"tested", &mut reactor);
    viewer_pool.mark_viewers(waiting, now, &mut reactor);
    viewer_pool.mark_viewers(refused, now, &mut reactor);
    viewer_pool.answer(refused, b"refusal ", &mut reactor);
    for (wire_id, message) in [(1, "first "), (2, "second ")] {
        viewer_pool.release(77, wire_id, message.into(), now, &mut reactor);
    }
    viewer_pool.send_queued(now + Duration::from_millis(99), &mut reactor);
    reactor.flush();
    assert_eq!(received(&mut remote[1]), "refusal first second ");
    assert_eq!(received(&mut remote[2]), "", "one at a time");
    viewer_pool.acknowledge_release(1);
    viewer_pool.send_queued(now + Duration::from_millis(100), &mut reactor);
    reactor.flush();
    assert_eq!(received(&mut remote[2]), "second ");
    // Nobody acknowledges the second: it goes on the next connection as soon as that serves a viewer.
    viewer_pool.mark_serving(late, now + Duration::from_millis(110), &mut reactor);
    viewer_pool.send_queued(now + secs(1), &mut reactor);
    reactor.flush();
    assert_eq!(received(&mut remote[3]), "second ");
    assert_eq!([0, 1, 2].map(|index| received(&mut remote[index])), ["tested", "", ""]);
    assert!(!viewer_pool.has_pending_output(now + secs(3), &reactor));
}

/// Guards against a release that waits for a viewer to be served, although the connection that took no output
/// for a moment takes some again.
#[test]
fn a_queued_release_is_sent_once_a_connection_takes_output_again() {
    let (mut reactor, connections, mut remote) = viewers(1);
    let (mut viewer_pool, now) = (ViewerPool::new(8), secs(1000));
    viewer_pool.insert(connections[0], now);
    viewer_pool.mark_serving(connections[0], now, &mut reactor);
    // No room is left, not even for a release.
    for size in [1024, 1] {
        while viewer_pool.answer(connections[0], &vec![b'a'; size], &mut reactor) {
            reactor.flush();
        }
    }
    viewer_pool.release(connections[0], 1, b"release".to_vec(), now, &mut reactor);
    let (mut output, mut events) = (String::new(), Vec::new());
    let end = reactor.clock() + TIMEOUT;
    while !output.ends_with("release") && reactor.clock() < end {
        output = received(&mut remote[0]);
        reactor.wait(Some(reactor.clock() + Duration::from_millis(1)), &mut events).unwrap();
        viewer_pool.send_queued(now + secs(1), &mut reactor);
        reactor.flush();
    }
    let end = output.get(output.len().saturating_sub(20)..);
    assert!(output.ends_with("release"), "the release arrives: {} bytes, {end:?}", output.len());
}

/// Guards against a release that is said on one connection to a client that ignores it, and to nobody else: until
/// it is acknowledged it goes on the next connection that served viewers as well.
#[test]
fn a_release_that_is_not_heard_on_anothers_connection_is_sent_on_the_next() {
    let (mut reactor, connections, mut remote) = viewers(3);
    let (mut viewer_pool, now) = (ViewerPool::new(8), secs(1000));
    let interval = Duration::from_millis(300);
    for connection in &connections {
        viewer_pool.insert(*connection, now);
        viewer_pool.mark_serving(*connection, now, &mut reactor);
    }
    viewer_pool.release(77, 1, b"release".to_vec(), now, &mut reactor);
    viewer_pool.release(connections[0], 2, b"own".to_vec(), now, &mut reactor);
    viewer_pool.retry_unheard(now + interval / 2, &mut reactor);
    reactor.flush();
    assert_eq!([0, 1, 2].map(|index| received(&mut remote[index])), ["own", "", "release"]);
    viewer_pool.retry_unheard(now + interval, &mut reactor);
    viewer_pool.retry_unheard(now + interval * 3 / 2, &mut reactor);
    reactor.flush();
    assert_eq!([0, 1, 2].map(|index| received(&mut remote[index])), ["", "release", ""]);
    viewer_pool.acknowledge_release(1);
    viewer_pool.retry_unheard(now + interval * 2, &mut reactor);
    reactor.flush();
    assert_eq!([0, 1, 2].map(|index| received(&mut remote[index])), ["", "", ""]);
}
