//! Connections to streamers and of viewers on loopback sockets; time is told, not waited for.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Happening, Line, Reactor};

use crate::front::{Front, BOUNDS};
use crate::pool::{Happened, Pool};
use crate::session_table::streamer_id;

const WITHIN: Duration = Duration::from_secs(5);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

struct Rig {
    reactor: Reactor,
    pool: Pool,
    listener: TcpListener,
    now: Duration,
}

impl Rig {
    /// A pool of so many connections at most, and one streamer listed.
    fn new(most: usize) -> Self {
        let mut reactor = Reactor::new(secs(1000)).unwrap();
        let mut pool = Pool::new(most, Duration::from_millis(250), secs(30), 32, secs(3), 7);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let now = reactor.now();
        pool.listed(id(), at(&listener), now, &mut reactor);
        Self { reactor, pool, listener, now }
    }

    /// Begins a join and takes its connection at the streamer's end, where its line is read.
    fn joined(&mut self, job: u32) -> TcpStream {
        self.join(job);
        let (far, _) = self.listener.accept().unwrap();
        self.until(|rig, it| match it {
            Happening::Opened(line) => {
                rig.pool.opened(*line, true, rig.now, &mut rig.reactor);
                Some(())
            }
            _ => None,
        });
        self.reactor.flush();
        assert_eq!(line_of(&far), format!("join {job}"));
        far
    }

    fn join(&mut self, job: u32) {
        let offer = format!("join {job}\n").into_bytes();
        self.pool.join(job, job.into(), id(), offer, self.now, &mut self.reactor);
    }

    fn until<T>(&mut self, mut found: impl FnMut(&mut Self, &Happening) -> Option<T>) -> T {
        let end = self.reactor.clock() + WITHIN;
        let mut told = Vec::new();
        while self.reactor.clock() < end {
            self.reactor.flush();
            self.reactor.wait(Some(end), &mut told).unwrap();
            for happening in std::mem::take(&mut told) {
                if let Some(it) = found(self, &happening) {
                    return it;
                }
            }
        }
        panic!("nothing of the kind happened");
    }

    /// Waits for the end of a connection and tells the pool.
    fn ends(&mut self, stands: bool) {
        let line = self.until(|_, it| match it {
            Happening::Closed(line, _) => Some(*line),
            _ => None,
        });
        self.pool.closed(line, self.now, stands, &mut self.reactor);
    }

    fn happened(&mut self) -> Vec<Happened> {
        std::mem::take(&mut self.pool.happened)
    }
}

fn id() -> StreamerId {
    streamer_id(1)
}

fn at(listener: &TcpListener) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

fn line_of(far: &TcpStream) -> String {
    let mut line = String::new();
    far.set_read_timeout(Some(WITHIN)).unwrap();
    BufReader::new(far).read_line(&mut line).unwrap();
    line.trim_end().to_owned()
}

/// Found on the churn day: a release that came as an idle connection was closed was lost with it. Harm: the
/// descriptor is held until the streamer closes, a second at most.
#[test]
fn what_comes_as_an_idle_connection_is_closed_is_still_read() {
    let mut rig = Rig::new(8);
    let mut far = rig.joined(1);
    let line = rig.pool_line();
    rig.pool.join_done(line, 1);
    rig.pool.sweep(rig.now + secs(22), &[], &mut rig.reactor);
    assert_eq!(line_of(&far), "", "it is closed towards the streamer");
    far.write_all(b"a release\n").unwrap();
    let read = rig.until(|rig, it| match it {
        Happening::Readable(readable) if *readable == line => Some(rig.reactor.input(line).to_vec()),
        _ => None,
    });
    assert_eq!(read, b"a release\n");
    // It takes no join any more, and is ended where the streamer does not close it.
    rig.now += secs(22);
    drop(rig.joined(2));
    rig.pool.sweep(rig.now + secs(2), &[], &mut rig.reactor);
    assert!(!rig.pool.is(line));
}

/// A spoilt answer takes down all that is open on its connection; a late one that crosses must not be taken for the
/// next join's.
#[test]
fn each_join_has_its_connection_and_one_given_up_on_takes_no_other() {
    let mut rig = Rig::new(3);
    let first = rig.joined(1);
    let second = rig.joined(2);
    rig.pool.withdraw(1, 1, id(), rig.now, &mut rig.reactor);
    assert!(line_of(&first).contains("\"why\":16"));
    let _third = rig.joined(3);
    // All connections are taken: now one is shared, but not the one that was given up on.
    rig.join(4);
    rig.reactor.flush();
    assert_eq!(line_of(&second), "join 4");
    second.shutdown(Shutdown::Both).unwrap();
    rig.ends(false);
    let ended = [2, 4].map(|job| Happened::JoinEnded(job, Ending::Reset));
    assert_eq!(rig.happened(), ended);
}

#[test]
fn a_streamer_is_lost_once_it_turns_connections_down_and_not_when_one_is_cut() {
    let mut rig = Rig::new(8);
    let far = rig.joined(1);
    rig.pool.join_done(rig.pool_line(), 1);
    far.shutdown(Shutdown::Both).unwrap();
    rig.ends(true);
    rig.pool.sweep(rig.now, &[id()], &mut rig.reactor);
    assert_eq!(rig.happened(), []);
    let (again, _) = rig.listener.accept().unwrap();
    // Its process ends.
    let port = rig.listener.local_addr().unwrap();
    rig.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    drop(again);
    rig.until(|rig, it| match it {
        Happening::Opened(line) => {
            rig.pool.opened(*line, true, rig.now, &mut rig.reactor);
            Some(())
        }
        _ => None,
    });
    rig.ends(true);
    rig.pool.sweep(rig.now, &[id()], &mut rig.reactor);
    if rig.happened().is_empty() {
        rig.ends(true);
        assert_eq!(rig.happened(), [Happened::Lost(id())], "at {port}");
    }
}

/// Found on the roll and join days: a machine that went left its connections open and silent, new ones were turned
/// down, and what stood there was never told. Harm: none, a streamer with what stands sends notes meanwhile.
#[test]
fn a_streamer_that_turns_connections_down_is_lost_where_the_open_ones_are_silent() {
    let mut rig = Rig::new(8);
    let _silent = rig.joined(1);
    rig.pool.join_done(rig.pool_line(), 1);
    rig.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut turned_down = |after: Duration| {
        rig.now += after;
        rig.pool.sweep(rig.now, &[id()], &mut rig.reactor);
        if rig.pool.conns() > 1 {
            rig.ends(true);
        }
        rig.happened()
    };
    assert_eq!(turned_down(secs(5)), [], "once may be a new process on its way");
    assert_eq!(turned_down(secs(0)), [Happened::Lost(id())]);
}

#[test]
fn another_streamer_at_the_address_of_one_that_is_gone_ends_what_stood_there() {
    let mut rig = Rig::new(8);
    let _far = rig.joined(1);
    let (now, at) = (rig.now, at(&rig.listener));
    rig.pool.unlisted(id(), now, &mut rig.reactor);
    assert_eq!(rig.happened(), []);
    rig.pool.listed(streamer_id(2), at, now, &mut rig.reactor);
    assert_eq!(rig.happened(), [Happened::JoinEnded(1, Ending::Reset), Happened::Lost(id())]);
}

impl Rig {
    fn pool_line(&self) -> Line {
        (0..100).find(|line| self.pool.is(*line)).expect("a connection")
    }
}

/// So many viewers' connections: the loop, its lines in order, and the viewers' ends.
fn viewers(count: usize) -> (Reactor, Vec<Line>, Vec<TcpStream>) {
    let mut reactor = Reactor::new(secs(1000)).unwrap();
    let (_, at) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS).unwrap();
    let (mut lines, mut told, mut far) = (Vec::new(), Vec::new(), Vec::new());
    while lines.len() < count {
        far.push(TcpStream::connect(at).unwrap());
        reactor.wait(Some(reactor.clock() + WITHIN), &mut told).unwrap();
        lines.extend(told.drain(..).filter_map(|it| match it {
            Happening::Accepted { line, .. } => Some(line),
            _ => None,
        }));
    }
    (reactor, lines, far)
}

/// A release goes as its viewer closes the connection, or one that only says so at the write: it goes again on another.
/// Harm: none where viewers say that they heard it; else they may hear one twice.
#[test]
fn a_release_whose_connection_goes_as_it_is_sent_is_sent_again() {
    let (mut reactor, lines, mut far) = viewers(2);
    let (mut front, now) = (Front::new(8), secs(1000));
    for line in &lines {
        front.accepted(*line, now);
        front.trust(*line, now, &mut reactor);
    }
    for (wire_id, word) in [(1, "first "), (2, "second "), (3, "third ")] {
        front.release(lines[0], wire_id, word.into(), now, &mut reactor);
    }
    front.release_heard(2);
    front.gone(lines[0], now + Duration::from_millis(900), &mut reactor);
    front.release(lines[0], 4, "fourth".into(), now + secs(1), &mut reactor);
    reactor.flush();
    let mut heard = [0; 64];
    far[1].set_read_timeout(Some(WITHIN)).unwrap();
    let count = far[1].read(&mut heard).unwrap();
    assert_eq!(std::str::from_utf8(&heard[..count]), Ok("first third fourth"));
}

/// A first request on a connection that is closed is lost to its viewer. Harm: of a silent crowd some are kept half
/// a second.
#[test]
fn a_viewer_whose_set_up_may_be_on_its_way_gives_way_last() {
    let (mut reactor, lines, _far) = viewers(5);
    let (mut front, now) = (Front::new(3), secs(1000));
    lines[..3].iter().for_each(|line| front.accepted(*line, now));
    assert!(front.is_full());
    front.answer(lines[0], b"told", &mut reactor);
    assert_eq!(front.gives_way(now, |_| false), Some(lines[0]), "the one that was told something");
    front.gone(lines[0], now, &mut reactor);
    front.accepted(lines[3], now);
    let later = now + secs(1);
    let other = front.gives_way(later, |line| line == lines[1]);
    assert_eq!(other, Some(lines[2]), "the oldest silent one without an open set-up");
    front.gone(lines[2], later, &mut reactor);
    front.accepted(lines[4], later);
    assert_eq!(front.late(now + secs(2), |line| line == lines[1]), [lines[3]]);
}

/// Found on a day of rude clients: connections that asked once, were refused and stayed, and silent ones that came by
/// hundreds, took the places of those on which viewers had been served longer ago, and releases found no way. Harm: of
/// a crowd in which all may have their first set-up on the way, one gives way for each that served.
#[test]
fn connections_that_served_viewers_do_not_give_way_to_a_crowd() {
    let (mut reactor, lines, _far) = viewers(9);
    let (mut front, now) = (Front::new(8), secs(1000));
    for (line, since) in lines.iter().zip(0..4) {
        front.accepted(*line, now + secs(since));
        front.trust(*line, now + secs(since), &mut reactor);
    }
    let later = now + secs(10);
    for line in &lines[4..8] {
        front.accepted(*line, later);
    }
    front.answer(lines[4], b"refused", &mut reactor);
    let mut gone = Vec::new();
    while let Some(line) = front.gives_way(later, |_| false) {
        front.gone(line, later, &mut reactor);
        gone.push(line);
    }
    let [first, second, third, fourth, refused, new @ ..] = &lines[..8] else { unreachable!() };
    // Two of eight are kept to the last, and older ones give way before those that are new.
    assert_eq!(gone[..3], [*refused, *first, *second]);
    assert_eq!(gone[3..6], *new);
    assert_eq!(gone[6..], [*third, *fourth]);
}

/// Found on the calm day of 300 controllers: what was handed over at the start lost its connection after two seconds,
/// since no answer is owed on it, and ends that came before the next set-up were not told. A viewer that gives its
/// set-up up lost its connection likewise, under its next set-up. Harm: one that says nothing else stays so long.
#[test]
fn a_connection_of_what_was_handed_over_or_given_up_is_kept() {
    let mut reactor = Reactor::new(secs(1000)).unwrap();
    let (mut front, now) = (Front::new(3), secs(1000));
    (1..=3).for_each(|line| front.accepted(line, now));
    front.trust(1, now, &mut reactor);
    front.asked(2, now + secs(1));
    assert_eq!(front.late(now + secs(2), |_| false), [3]);
    assert_eq!(front.late(now + secs(3), |_| false), [2, 3]);
}

/// Found by reading: where descriptors were short an idle connection was closed at once, and a release that had just come on
/// it was lost. Harm: a join has no connection in that round.
#[test]
fn an_idle_connection_on_which_something_has_just_come_does_not_give_way() {
    let mut rig = Rig::new(1);
    let mut far = rig.joined(1);
    let line = rig.pool_line();
    rig.pool.join_done(line, 1);
    far.write_all(b"a release\n").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let other = streamer_id(2);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    rig.pool.listed(other, at(&listener), rig.now, &mut rig.reactor);
    rig.pool.join(2, 2, other, b"join 2\n".to_vec(), rig.now, &mut rig.reactor);
    let happened = rig.happened();
    assert_eq!(happened, [Happened::Heard(line), Happened::JoinEnded(2, Ending::ConnectFailed)]);
    assert_eq!(rig.reactor.input(line), b"a release\n");
    // Once that is heard it can be missed.
    rig.reactor.consume(line, 10);
    rig.pool.join(3, 3, other, b"join 3\n".to_vec(), rig.now, &mut rig.reactor);
    assert_eq!((rig.happened(), rig.pool.is(line)), (Vec::new(), false));
}

/// An attempt that waits behind bytes which its streamer does not read could not be taken back from there, and would begin
/// long after its viewer has gone.
#[test]
fn a_join_is_not_put_behind_what_a_streamer_does_not_read() {
    let mut rig = Rig::new(1);
    let far = rig.joined(1);
    let line = rig.pool_line();
    let long = vec![b' '; 16 * 1024];
    while rig.reactor.unwritten(line) == 0 {
        rig.reactor.send(line, &[&long]);
        rig.reactor.flush_line(line);
    }
    rig.join(2);
    assert_eq!(rig.happened(), [Happened::JoinEnded(2, Ending::ConnectFailed)]);
    drop(far);
}

/// Found by reading: the end of what a viewer had left was lost where its connection broke as it was said, or was not made,
/// and it went on playing to nobody. Harm: a streamer may hear one twice.
#[test]
fn what_is_said_to_a_streamer_goes_again_where_its_connection_breaks_or_is_not_made() {
    let mut rig = Rig::new(8);
    let far = rig.joined(1);
    let line = rig.pool_line();
    rig.pool.join_done(line, 1);
    rig.pool.say(id(), b"end 1\n".to_vec(), rig.now, &mut rig.reactor);
    rig.reactor.flush();
    assert_eq!(line_of(&far), "end 1");
    rig.now += Duration::from_millis(900);
    drop(far);
    rig.ends(false);
    assert!(rig.pool.owes(rig.now, &rig.reactor));
    // No process listens there for now.
    let place = rig.listener.local_addr().unwrap();
    rig.listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    rig.pool.sweep(rig.now, &[], &mut rig.reactor);
    if rig.pool.conns() > 0 {
        rig.ends(false);
    }
    rig.pool.say(id(), b"end 2\n".to_vec(), rig.now, &mut rig.reactor);
    if rig.pool.conns() > 0 {
        rig.ends(false);
    }
    rig.listener = TcpListener::bind(place).unwrap();
    rig.pool.sweep(rig.now, &[], &mut rig.reactor);
    assert_eq!(rig.pool.conns(), 1, "a connection is begun for what waits");
    let (far, _) = rig.listener.accept().unwrap();
    rig.until(|rig, it| match it {
        Happening::Opened(line) => {
            rig.pool.opened(*line, true, rig.now, &mut rig.reactor);
            Some(())
        }
        _ => None,
    });
    rig.reactor.flush();
    let mut far = BufReader::new(far);
    for expected in ["end 1\n", "end 2\n"] {
        let mut heard = String::new();
        far.read_line(&mut heard).unwrap();
        assert_eq!(heard, expected);
    }
    assert!(!rig.pool.owes(rig.now, &rig.reactor));
    // What was said long enough ago was heard, and does not go again.
    rig.now += secs(1);
    drop(far);
    rig.ends(false);
    assert!(!rig.pool.owes(rig.now, &rig.reactor));
}

/// Found by reading: a release that had waited for a viewers' connection went out on the first one, and was not looked after
/// there.
#[test]
fn a_release_that_waited_for_a_connection_is_sent_again_where_that_one_goes_too() {
    let (mut reactor, lines, mut far) = viewers(2);
    let (mut front, now) = (Front::new(8), secs(1000));
    front.release(77, 1, b"waits".to_vec(), now, &mut reactor);
    assert!(front.owes(now + secs(7), &reactor) && !front.owes(now + secs(8), &reactor));
    front.accepted(lines[0], now);
    front.trust(lines[0], now + secs(2), &mut reactor);
    front.gone(lines[0], now + secs(2), &mut reactor);
    front.accepted(lines[1], now);
    front.trust(lines[1], now + secs(2), &mut reactor);
    reactor.flush();
    let mut heard = [0; 64];
    far[1].set_read_timeout(Some(WITHIN)).unwrap();
    let count = far[1].read(&mut heard).unwrap();
    assert_eq!(&heard[..count], b"waits");
}
