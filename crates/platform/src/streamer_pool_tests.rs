//! Connections to streamers on loopback sockets; the time is passed in, not waited for.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};

use crate::join_id::JoinId;
use crate::session_table::streamer_id;
use crate::streamer_pool::{LossReason, PoolEvent, StreamerPool};

const TIMEOUT: Duration = Duration::from_secs(5);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// The first join of a session.
fn first_join(job: u32) -> JoinId {
    JoinId { job, number: 0 }
}

struct Harness {
    reactor: Reactor,
    pool: StreamerPool,
    listener: TcpListener,
    now: Duration,
}

impl Harness {
    /// A pool limited to this many connections, with one listed streamer.
    fn new(max_connections: usize) -> Self {
        let mut reactor = Reactor::new(secs(1000)).unwrap();
        let mut pool =
            StreamerPool::new(max_connections, Duration::from_millis(250), secs(30), 32, secs(3), 7);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let now = reactor.now();
        pool.streamer_listed(streamer(), address_of(&listener), Duration::ZERO, now, &mut reactor);
        Self { reactor, pool, listener, now }
    }

    /// Starts a join, accepts its connection as the streamer, and reads its offer.
    fn join_established(&mut self, job: u32) -> TcpStream {
        self.join(job);
        let (remote, _) = self.listener.accept().unwrap();
        self.wait_opened();
        self.reactor.flush();
        assert_eq!(read_line(&remote), format!("join {job}"));
        remote
    }

    /// Waits until a connection is established and reports it to the pool.
    fn wait_opened(&mut self) {
        self.until(|harness, it| match it {
            ReactorEvent::Opened(connection) => {
                harness.pool.connection_established(*connection, true, harness.now, &mut harness.reactor);
                Some(())
            }
            _ => None,
        });
    }

    /// Sends bytes that the streamer does not read, until some of them cannot be written.
    fn block_output(&mut self, connection: SocketId) {
        let long = vec![b' '; 16 * 1024];
        while self.reactor.unwritten_bytes(connection) == 0 {
            self.reactor.send(connection, &[&long]);
            self.reactor.flush_connection(connection);
        }
    }

    fn join(&mut self, job: u32) {
        let offer = format!("join {job}\n").into_bytes();
        self.pool.join(first_join(job), job.into(), streamer(), offer, self.now, &mut self.reactor);
    }

    fn until<T>(&mut self, mut found: impl FnMut(&mut Self, &ReactorEvent) -> Option<T>) -> T {
        let end = self.reactor.clock() + TIMEOUT;
        let mut events = Vec::new();
        while self.reactor.clock() < end {
            self.reactor.flush();
            self.reactor.wait(Some(end), &mut events).unwrap();
            for event in std::mem::take(&mut events) {
                if let Some(it) = found(self, &event) {
                    return it;
                }
            }
        }
        panic!("no matching event within the timeout");
    }

    /// Waits until a connection closes and reports it to the pool.
    fn close_connection(&mut self, has_sessions: bool) {
        let connection = self.until(|_, it| match it {
            ReactorEvent::Closed(connection, _) => Some(*connection),
            _ => None,
        });
        self.pool.connection_closed(connection, true, self.now, has_sessions, &mut self.reactor);
    }

    /// Advances the time and sweeps, and returns the events once each new connection has been refused.
    fn sweep_after(&mut self, after: Duration) -> Vec<PoolEvent> {
        self.now += after;
        self.pool.sweep(self.now, &[streamer()], &mut self.reactor);
        if self.pool.connection_count() > 1 {
            self.close_connection(true);
        }
        self.take_events()
    }

    fn take_events(&mut self) -> Vec<PoolEvent> {
        std::mem::take(&mut self.pool.events)
    }
}

fn streamer() -> StreamerId {
    streamer_id(1)
}

fn address_of(listener: &TcpListener) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

fn read_line(remote: &TcpStream) -> String {
    let mut line = String::new();
    remote.set_read_timeout(Some(TIMEOUT)).unwrap();
    BufReader::new(remote).read_line(&mut line).unwrap();
    line.trim_end().to_owned()
}

/// Guards against a release that is lost because it arrives while its idle connection is being closed. The
/// descriptor is held until the streamer closes too, a second at most.
#[test]
fn input_that_arrives_while_an_idle_connection_closes_is_read() {
    let mut harness = Harness::new(8);
    let mut remote = harness.join_established(1);
    let connection = harness.pool_connection();
    harness.pool.join_answered(connection, 1);
    harness.pool.sweep(harness.now + secs(22), &[], &mut harness.reactor);
    assert_eq!(read_line(&remote), "", "the connection is shut down towards the streamer");
    remote.write_all(b"a release\n").unwrap();
    let read = harness.until(|harness, it| match it {
        ReactorEvent::Readable(readable) if *readable == connection => {
            Some(harness.reactor.input(connection).to_vec())
        }
        _ => None,
    });
    assert_eq!(read, b"a release\n");
    // It takes no more joins, and is closed if the streamer does not close it.
    harness.now += secs(22);
    drop(harness.join_established(2));
    harness.pool.sweep(harness.now + secs(2), &[], &mut harness.reactor);
    assert!(!harness.pool.contains(connection));
}

/// A second copy of a refusal could not be told from the refusal of a later join of that session on the same
/// connection. Joins of other sessions use it again.
#[test]
fn a_join_does_not_use_a_connection_on_which_an_earlier_join_of_its_session_was_refused() {
    let mut harness = Harness::new(8);
    let first = harness.join_established(1);
    let connection = harness.pool_connection();
    harness.pool.join_refused(connection, 1, harness.now);
    let offer = b"join 1 again\n".to_vec();
    let again = JoinId { job: 1, number: 1 };
    harness.pool.join(again, 1, streamer(), offer, harness.now, &mut harness.reactor);
    assert_eq!(harness.pool.connection_count(), 2);
    assert_eq!(harness.pool.outstanding_join(connection, 1), None);
    assert!(harness.pool.has_ended_join(connection, 1, harness.now));
    assert!(!harness.pool.has_ended_join(connection, 1, harness.now + secs(8)));
    harness.join(2);
    harness.reactor.flush();
    assert_eq!(read_line(&first), "join 2");
}

/// A malformed answer fails all joins on its connection, and a late answer must not be taken for that of the
/// next join.
#[test]
fn each_join_has_its_own_connection_and_an_abandoned_one_is_not_reused() {
    let mut harness = Harness::new(3);
    let first = harness.join_established(1);
    let second = harness.join_established(2);
    harness.pool.withdraw_join(first_join(1), 1, streamer(), harness.now, &mut harness.reactor);
    assert!(read_line(&first).contains("\"why\":16"));
    let _third = harness.join_established(3);
    // All connections are in use: one is shared now, but not the one on which a join was abandoned.
    harness.join(4);
    harness.reactor.flush();
    assert_eq!(read_line(&second), "join 4");
    second.shutdown(Shutdown::Both).unwrap();
    harness.close_connection(false);
    let ended = [2, 4].map(|job| PoolEvent::JoinEnded(first_join(job), Ending::Reset));
    assert_eq!(harness.take_events(), ended);
}

#[test]
fn a_streamer_is_lost_when_it_refuses_connections_and_not_when_one_closes() {
    let mut harness = Harness::new(8);
    let remote = harness.join_established(1);
    harness.pool.join_answered(harness.pool_connection(), 1);
    remote.shutdown(Shutdown::Both).unwrap();
    harness.close_connection(true);
    harness.pool.sweep(harness.now, &[streamer()], &mut harness.reactor);
    assert_eq!(harness.take_events(), []);
    let (again, _) = harness.listener.accept().unwrap();
    // The streamer's process ends.
    let port = harness.listener.local_addr().unwrap();
    harness.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    drop(again);
    harness.wait_opened();
    harness.close_connection(true);
    harness.pool.sweep(harness.now, &[streamer()], &mut harness.reactor);
    if harness.take_events().is_empty() {
        harness.close_connection(true);
        assert_eq!(
            harness.take_events(),
            [PoolEvent::StreamerLost(streamer(), LossReason::ProcessEnded)],
            "at {port}"
        );
    }
}

/// Guards against a vanished machine that leaves its connections open and silent while new ones are refused:
/// its sessions must be reported as lost, in time for their viewers to learn of it within eight seconds. It is
/// asked first, since one that has nothing to report is silent, too.
#[test]
fn a_streamer_that_refuses_connections_is_lost_if_the_open_ones_are_silent() {
    let mut harness = Harness::new(8);
    let silent = harness.join_established(1);
    harness.pool.join_answered(harness.pool_connection(), 1);
    harness.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let vanished_at = harness.now;
    assert_eq!(harness.sweep_after(secs(5)), [], "a single refusal may be a new process starting");
    harness.reactor.flush();
    assert!(read_line(&silent).contains("\"op\":\"test\""), "it is asked on the open connection");
    assert_eq!(harness.sweep_after(secs(0)), [], "it may still answer");
    let mut events = Vec::new();
    while events.is_empty() {
        events = harness.sweep_after(Duration::from_millis(100));
        events.retain(|event| !matches!(event, PoolEvent::ProbeFinished(..)));
    }
    assert_eq!(events, [PoolEvent::StreamerLost(streamer(), LossReason::Unreachable)]);
    assert!(harness.now < vanished_at + Duration::from_millis(7500));
}

/// Guards against taking a quiet streamer for lost while new connections to it are refused or come up late: it
/// answers on the ones that are open.
#[test]
fn a_streamer_that_answers_on_an_open_connection_is_not_lost() {
    let mut harness = Harness::new(8);
    let mut open = harness.join_established(1);
    let connection = harness.pool_connection();
    harness.pool.join_answered(connection, 1);
    harness.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    for _ in 0..4 {
        assert_eq!(harness.sweep_after(secs(5)), []);
        harness.reactor.flush();
        assert!(read_line(&open).contains("\"op\":\"test\""));
        open.write_all(b"{}\n").unwrap();
        harness.until(|_, it| matches!(it, ReactorEvent::Readable(_)).then_some(()));
        harness.pool.record_received(connection, harness.now);
        // Answered: no longer outstanding, whatever its id.
        assert!((0..100).any(|id| harness.pool.take_probe(connection, id).is_some()));
        for _ in 0..20 {
            assert_eq!(harness.sweep_after(Duration::from_millis(100)), []);
        }
    }
}

/// Guards against a streamer that is taken for lost because attempts to connect to it fail for a second, as they do
/// while its handshakes are lost; no connection to it is open.
#[test]
fn a_streamer_whose_connections_come_up_late_is_not_lost() {
    let mut harness = Harness::new(8);
    let remote = harness.join_established(1);
    harness.pool.join_answered(harness.pool_connection(), 1);
    remote.shutdown(Shutdown::Both).unwrap();
    harness.close_connection(true);
    let (began_at, timeout) = (harness.now + secs(5), Duration::from_millis(250));
    harness.now = began_at;
    // Each attempt is given up after the timeout, and the next begins with the next sweep.
    while harness.now < began_at + secs(1) {
        let started_at = harness.now;
        harness.pool.sweep(harness.now, &[streamer()], &mut harness.reactor);
        harness.now = started_at + timeout;
        let attempt = harness.pool_connection();
        harness.pool.connection_closed(attempt, false, harness.now, true, &mut harness.reactor);
        assert_eq!(harness.take_events(), [], "{:?} after the first attempt", harness.now - began_at);
        harness.now += Duration::from_millis(100);
    }
    harness.pool.sweep(harness.now, &[streamer()], &mut harness.reactor);
    harness.now += timeout;
    let attempt = harness.pool_connection();
    harness.pool.connection_closed(attempt, false, harness.now, true, &mut harness.reactor);
    assert_eq!(harness.take_events(), [PoolEvent::StreamerLost(streamer(), LossReason::Unreachable)]);
}

#[test]
fn a_streamer_at_the_address_of_a_removed_one_ends_the_sessions_of_that_one() {
    let mut harness = Harness::new(8);
    let _remote = harness.join_established(1);
    let (now, address) = (harness.now, address_of(&harness.listener));
    harness.pool.streamer_removed(streamer(), now, &mut harness.reactor);
    assert_eq!(harness.take_events(), []);
    harness.pool.streamer_listed(streamer_id(2), address, Duration::ZERO, now, &mut harness.reactor);
    assert_eq!(
        harness.take_events(),
        [
            PoolEvent::JoinEnded(first_join(1), Ending::Reset),
            PoolEvent::StreamerReplaced { streamer: streamer(), by: streamer_id(2), since: Duration::MAX }
        ]
    );
}

impl Harness {
    fn pool_connection(&self) -> SocketId {
        (0..100).find(|connection| self.pool.contains(*connection)).expect("a connection")
    }
}

/// Guards against a release that is lost because it has just arrived on an idle connection that is closed for
/// want of descriptors. The join gets no connection in that round.
#[test]
fn an_idle_connection_with_unread_input_is_not_closed_to_make_room() {
    let mut harness = Harness::new(1);
    let mut remote = harness.join_established(1);
    let connection = harness.pool_connection();
    harness.pool.join_answered(connection, 1);
    remote.write_all(b"a release\n").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let other = streamer_id(2);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    harness.pool.streamer_listed(
        other,
        address_of(&listener),
        Duration::ZERO,
        harness.now,
        &mut harness.reactor,
    );
    harness.pool.join(first_join(2), 2, other, b"join 2\n".to_vec(), harness.now, &mut harness.reactor);
    let events = harness.take_events();
    assert_eq!(
        events,
        [PoolEvent::Readable(connection), PoolEvent::JoinEnded(first_join(2), Ending::ConnectFailed)]
    );
    assert_eq!(harness.reactor.input(connection), b"a release\n");
    // Once the input is handled the connection can be closed.
    harness.reactor.consume(connection, 10);
    harness.pool.join(first_join(3), 3, other, b"join 3\n".to_vec(), harness.now, &mut harness.reactor);
    assert_eq!((harness.take_events(), harness.pool.contains(connection)), (Vec::new(), false));
}

/// A join queued behind bytes that its streamer does not read could not be withdrawn, and would begin long
/// after its viewer has gone.
#[test]
fn a_join_is_not_queued_behind_bytes_that_a_streamer_does_not_read() {
    let mut harness = Harness::new(1);
    let remote = harness.join_established(1);
    let connection = harness.pool_connection();
    harness.block_output(connection);
    harness.join(2);
    assert_eq!(harness.take_events(), [PoolEvent::JoinEnded(first_join(2), Ending::ConnectFailed)]);
    drop(remote);
}

/// Guards against a join that stays outstanding because its end is queued behind bytes that its streamer does
/// not read, or finds no room: the connection must be closed instead, which ends the join too.
#[test]
fn a_withdrawn_join_whose_end_cannot_be_written_is_reported() {
    for output_is_full in [false, true] {
        let mut harness = Harness::new(4);
        let remote = harness.join_established(1);
        let connection = harness.pool_connection();
        harness.block_output(connection);
        let long = vec![b' '; 16 * 1024];
        while output_is_full && harness.reactor.send(connection, &[&long]) {}
        while output_is_full && harness.reactor.send(connection, &[b" "]) {}
        harness.pool.withdraw_join(first_join(1), 1, streamer(), harness.now, &mut harness.reactor);
        assert_eq!(harness.take_events(), [PoolEvent::EndNotWritten(connection)], "full: {output_is_full}");
        harness.pool.close(connection, Ending::Reset, harness.now, &mut harness.reactor);
        assert_eq!(harness.take_events(), [], "the withdrawn join has no further end");
        let received = std::io::copy(&mut &remote, &mut std::io::sink());
        assert!(received.is_ok() || received.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset));
    }
}

/// Guards against an end for a streamer that is lost because its connection closed as it was sent, or was
/// never established: the session would play on without a viewer. A streamer may receive an end twice.
#[test]
fn a_message_to_a_streamer_is_resent_if_its_connection_closes_or_is_not_established() {
    let mut harness = Harness::new(8);
    let remote = harness.join_established(1);
    let connection = harness.pool_connection();
    harness.pool.join_answered(connection, 1);
    harness.pool.send(streamer(), 1, b"end 1\n".to_vec(), harness.now, &mut harness.reactor);
    harness.reactor.flush();
    assert_eq!(read_line(&remote), "end 1");
    harness.now += Duration::from_millis(900);
    drop(remote);
    harness.close_connection(false);
    assert!(harness.pool.has_pending_output(harness.now, &harness.reactor));
    // No process listens there for now.
    let address = harness.listener.local_addr().unwrap();
    harness.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    harness.pool.sweep(harness.now, &[], &mut harness.reactor);
    if harness.pool.connection_count() > 0 {
        harness.close_connection(false);
    }
    harness.pool.send(streamer(), 2, b"end 2\n".to_vec(), harness.now, &mut harness.reactor);
    if harness.pool.connection_count() > 0 {
        harness.close_connection(false);
    }
    harness.listener = TcpListener::bind(address).unwrap();
    harness.pool.sweep(harness.now, &[], &mut harness.reactor);
    assert_eq!(harness.pool.connection_count(), 1, "a connection is started for the queued message");
    let (remote, _) = harness.listener.accept().unwrap();
    harness.wait_opened();
    harness.reactor.flush();
    let mut remote = BufReader::new(remote);
    for expected in ["end 1\n", "end 2\n"] {
        let mut received = String::new();
        remote.read_line(&mut received).unwrap();
        assert_eq!(received, expected);
    }
    assert!(!harness.pool.has_pending_output(harness.now, &harness.reactor));
    // A message sent long enough ago was received, and is not sent again.
    harness.now += secs(1);
    drop(remote);
    harness.close_connection(false);
    assert!(!harness.pool.has_pending_output(harness.now, &harness.reactor));
}

/// Guards against a streamer that was cut off for longer than messages wait, and never told that its sessions were
/// given up: it is told as soon as anything connects to it again.
#[test]
fn a_streamer_that_was_given_up_is_told_once_it_is_reached_again() {
    let mut harness = Harness::new(8);
    let address = harness.listener.local_addr().unwrap();
    harness.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    harness.pool.send_final_end(streamer(), 10, harness.now, &mut harness.reactor);
    if harness.pool.connection_count() > 0 {
        harness.close_connection(false);
    }
    harness.now += secs(30);
    harness.listener = TcpListener::bind(address).unwrap();
    harness.pool.sweep(harness.now, &[], &mut harness.reactor);
    assert_eq!(harness.pool.connection_count(), 0, "no connection is opened for it any more");
    harness.join(1);
    let (remote, _) = harness.listener.accept().unwrap();
    harness.wait_opened();
    harness.reactor.flush();
    assert!(read_line(&remote).contains("000000000000000a"), "the end comes before the join");
}
