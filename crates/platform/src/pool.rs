//! Connections to streamers. A spoilt answer takes down all set-ups that are open on its connection, so each
//! join has one of its own while there are descriptors for it, and one that a join was given up on is used no
//! more. Where subscriptions stand, one connection at least is kept, for notes and releases.

mod sweep;

use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::interface::{Ending, JobId, StreamerId};
use badgerledge_reactor::{Bounds, Line, Reactor};
use badgerledge_signalling::{streamers, MAX_MESSAGE_BYTES};

/// A line that a message is never longer than, and room for the messages of one round.
const BOUNDS: Bounds = Bounds { input: MAX_MESSAGE_BYTES + 1, output: 8 * MAX_MESSAGE_BYTES };
/// Part of the settings' idle time after which a connection takes no join and is closed: a streamer that closes
/// it at that very time would reset the join.
const IDLE_PART: f64 = 0.7;
/// How much longer than notes take a streamer may be silent before it is tried. Under the eight seconds in which
/// viewers must hear of an end, with two tries; over the lateness of notes.
const SILENCE: Duration = Duration::from_millis(1500);
const LONGEST_SILENCE: Duration = Duration::from_secs(6);
/// How long a message counts as on its way: it goes again where its connection breaks before. Over a round trip and what
/// a streamer takes to read it.
const UNHEARD_FOR: Duration = Duration::from_secs(1);
/// How long a message waits for a connection: what stands for longer than this after its end is lost anyway.
const UNSAID_FOR: Duration = Duration::from_secs(8);
/// Bytes that wait so for one streamer at most: some two hundred releases.
const UNSAID: usize = MAX_MESSAGE_BYTES;
/// Tries of a silent streamer, or of one that cut all connections, that must end in nothing.
const TRIES: u32 = 2;

/// What a connection's end, or its absence, brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Happened {
    JoinEnded(JobId, Ending),
    Echo(StreamerId, Ending, Duration),
    /// Nothing that stood there can stand any more.
    Lost(StreamerId),
    /// Something was read on a connection outside of the loop's wait.
    Heard(Line),
}

/// Why a connection was not even begun.
enum Unmade {
    NoRoom,
    /// Turned down at once: no process is there.
    Refused,
}

struct Conn {
    streamer: StreamerId,
    made: bool,
    begun: Duration,
    /// When something last was sent on it.
    used: Duration,
    /// When something last came on it.
    heard: Duration,
    /// Joins that wait for it to be made, with what is sent then; and joins that are out.
    waiting: Vec<(JobId, u64, Vec<u8>)>,
    joins: Vec<(JobId, u64)>,
    given_up: Option<Duration>,
    /// It takes nothing more, and ends once the other end has said all.
    retired: Option<Duration>,
    /// Probes that are out, with when they were sent.
    probes: Vec<(u64, Duration)>,
    /// Other messages that were sent on it of late.
    said: VecDeque<(Duration, Vec<u8>)>,
}

struct Peer {
    at: SocketAddrV4,
    listed: bool,
    lines: Vec<Line>,
    heard: Duration,
    /// Tries in a row that ended in nothing.
    tries: u32,
    /// Messages that wait for a connection, and since when, oldest first.
    unsaid: VecDeque<(Duration, Vec<u8>)>,
}

pub struct Pool {
    peers: BTreeMap<StreamerId, Peer>,
    conns: BTreeMap<Line, Conn>,
    pub happened: Vec<Happened>,
    most: usize,
    connect_within: Duration,
    idle: Duration,
    most_streams: usize,
    silence: Duration,
    next_probe: u64,
}

impl Pool {
    pub fn new(
        most: usize, connect_within: Duration, keepalive: Duration, most_streams: usize,
        noted_every: Duration, seed: u64,
    ) -> Self {
        Self {
            peers: BTreeMap::new(),
            conns: BTreeMap::new(),
            happened: Vec::new(),
            most,
            connect_within,
            idle: keepalive.mul_f64(IDLE_PART),
            most_streams,
            silence: (noted_every + SILENCE).min(LONGEST_SILENCE),
            next_probe: seed,
        }
    }

    /// A streamer is on the list at this address. What is open to another address is closed.
    pub fn listed(&mut self, streamer: StreamerId, at: SocketAddrV4, now: Duration, reactor: &mut Reactor) {
        let same = self.peers.get(&streamer).is_some_and(|peer| peer.at == at);
        if !same {
            self.close_all(streamer, now, reactor);
            let lines = Vec::new();
            let unsaid = VecDeque::new();
            self.peers.insert(streamer, Peer { at, listed: true, lines, heard: now, tries: 0, unsaid });
        }
        // One that is gone cannot be reached there any more.
        let others = self.peers.iter().filter(|(id, peer)| **id != streamer && peer.at == at && !peer.listed);
        for gone in others.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.lose(gone, now, reactor);
        }
        self.peers.entry(streamer).and_modify(|peer| peer.listed = true);
    }

    /// A streamer is off the list.
    pub fn unlisted(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(peer) = self.peers.get_mut(&streamer) else { return };
        peer.listed = false;
        // Whether it still is there is tried at once.
        peer.heard = peer.heard.min(now.saturating_sub(self.silence));
        let at = peer.at;
        if self.peers.iter().any(|(id, other)| *id != streamer && other.at == at && other.listed) {
            self.lose(streamer, now, reactor);
        }
    }

    fn lose(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        self.close_all(streamer, now, reactor);
        self.peers.entry(streamer).and_modify(|peer| {
            (peer.tries, peer.heard) = (0, now);
            peer.unsaid.clear();
        });
        self.happened.push(Happened::Lost(streamer));
    }

    fn close_all(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let lines = self.peers.get(&streamer).map_or_else(Vec::new, |peer| peer.lines.clone());
        for line in lines {
            self.close(line, Ending::Reset, now, reactor);
        }
    }

    /// How many connections there are.
    #[cfg(test)]
    pub fn conns(&self) -> usize {
        self.conns.len()
    }

    /// The connections that are made.
    pub fn made(&self) -> impl Iterator<Item = Line> + '_ {
        self.conns.iter().filter(|(_, conn)| conn.made).map(|(line, _)| *line)
    }

    /// Whether something is still to be written, or waits for a connection.
    pub fn owes(&self, now: Duration, reactor: &Reactor) -> bool {
        let waits = |peer: &Peer| peer.unsaid.iter().any(|(since, _)| now < *since + UNSAID_FOR);
        self.peers.values().any(waits) || self.conns.keys().any(|line| reactor.unwritten(*line) > 0)
    }

    pub fn is(&self, line: Line) -> bool {
        self.conns.contains_key(&line)
    }

    pub fn streamer(&self, line: Line) -> Option<StreamerId> {
        self.conns.get(&line).map(|conn| conn.streamer)
    }

    fn connect(
        &mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor,
    ) -> Result<Line, Unmade> {
        if self.conns.len() >= self.most && !self.close_idle(reactor) {
            return Err(Unmade::NoRoom);
        }
        let peer = self.peers.get_mut(&streamer).ok_or(Unmade::NoRoom)?;
        let line = reactor.connect(SocketAddr::V4(peer.at), self.connect_within, BOUNDS);
        let line = line.map_err(|fault| match fault.kind() {
            ErrorKind::ConnectionRefused => Unmade::Refused,
            _ => Unmade::NoRoom,
        })?;
        peer.lines.push(line);
        tracing::trace!(%streamer, line, "connects");
        self.conns.insert(
            line,
            Conn {
                streamer,
                made: false,
                begun: now,
                used: now,
                heard: now,
                waiting: Vec::new(),
                joins: Vec::new(),
                given_up: None,
                retired: None,
                probes: Vec::new(),
                said: VecDeque::new(),
            },
        );
        Ok(line)
    }

    /// Closes the connection without work that was used longest ago, so that another can be made. One on which
    /// something has just come is heard first, and stays for now.
    fn close_idle(&mut self, reactor: &mut Reactor) -> bool {
        let idle = self.conns.iter().filter(|(_, conn)| conn.made && conn.is_idle());
        let mut idle: Vec<_> = idle.map(|(line, conn)| (conn.used, *line)).collect();
        idle.sort_unstable();
        idle.into_iter().any(|(_, line)| self.let_go(line, reactor))
    }

    /// Closes a connection without work, unless something has just come on it that is not heard yet.
    fn let_go(&mut self, line: Line, reactor: &mut Reactor) -> bool {
        if reactor.read_now(line) {
            self.happened.push(Happened::Heard(line));
            return false;
        }
        self.forget(line);
        reactor.close(line);
        true
    }

    fn forget(&mut self, line: Line) -> Option<Conn> {
        let conn = self.conns.remove(&line)?;
        if let Some(peer) = self.peers.get_mut(&conn.streamer) {
            peer.lines.retain(|held| *held != line);
        }
        Some(conn)
    }

    /// The connection for a join or a probe: an idle one, a new one, or where there is no room the least used.
    fn line_for(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) -> Option<Line> {
        let lines = self.peers.get(&streamer)?.lines.clone();
        let fresh = |conn: &&Conn| conn.made && conn.is_idle() && now < conn.used + self.idle;
        let of = |line: &Line| self.conns.get(line).map(|conn| (*line, conn));
        let idle = lines.iter().filter_map(of).filter(|(_, conn)| fresh(conn));
        if let Some((line, _)) = idle.max_by_key(|(line, conn)| (conn.used, *line)) {
            return Some(line);
        }
        if let Ok(line) = self.connect(streamer, now, reactor) {
            return Some(line);
        }
        let load = |conn: &Conn| conn.joins.len() + conn.waiting.len();
        let shared = lines.iter().filter_map(|line| Some((*line, self.conns.get(line)?)));
        // What would wait behind unwritten bytes could not be taken back from there.
        let shared = shared.filter(|(line, conn)| {
            let open = conn.given_up.is_none() && conn.retired.is_none();
            open && load(conn) < self.most_streams && flushes(*line, reactor)
        });
        shared.min_by_key(|(line, conn)| (load(conn), *line)).map(|(line, _)| line)
    }

    pub fn join(
        &mut self, job: JobId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>, now: Duration,
        reactor: &mut Reactor,
    ) {
        let Some(line) = self.line_for(streamer, now, reactor) else {
            return self.happened.push(Happened::JoinEnded(job, Ending::ConnectFailed));
        };
        let Some(conn) = self.conns.get_mut(&line) else { return };
        if !conn.made {
            return conn.waiting.push((job, wire_id, offer));
        }
        conn.used = now;
        if reactor.send(line, &[&offer]) {
            conn.joins.push((job, wire_id));
        } else {
            self.happened.push(Happened::JoinEnded(job, Ending::Moot));
        }
    }

    /// Gives up a join: its streamer is told, before anything else goes to it for that call.
    pub fn withdraw(
        &mut self, job: JobId, wire_id: u64, streamer: StreamerId, now: Duration, reactor: &mut Reactor,
    ) {
        let lines = self.peers.get(&streamer).map_or(&[][..], |peer| &peer.lines);
        for line in lines {
            let Some(conn) = self.conns.get_mut(line) else { continue };
            conn.waiting.retain(|(waiting, ..)| *waiting != job);
            if conn.joins.iter().any(|(out, _)| *out == job) {
                conn.joins.retain(|(out, _)| *out != job);
                (conn.given_up, conn.used) = (Some(now), now);
                reactor.send(*line, &[&streamers::end(wire_id, 16)]);
                reactor.flush_line(*line);
            }
        }
    }

    /// The join of that subscription that is out on a connection.
    pub fn join_on(&self, line: Line, wire_id: u64) -> Option<JobId> {
        let joins = &self.conns.get(&line)?.joins;
        joins.iter().find(|(_, out)| *out == wire_id).map(|(job, _)| *job)
    }

    /// The join of that subscription on this connection has its end.
    pub fn join_done(&mut self, line: Line, wire_id: u64) {
        if let Some(conn) = self.conns.get_mut(&line) {
            conn.joins.retain(|(_, out)| *out != wire_id);
        }
    }

    /// A message on any connection, the one heard last before others, or as soon as there is one.
    pub fn say(&mut self, streamer: StreamerId, message: Vec<u8>, now: Duration, reactor: &mut Reactor) {
        let Some(peer) = self.peers.get_mut(&streamer) else { return };
        peer.unsaid.retain(|(since, _)| now < *since + UNSAID_FOR);
        if peer.unsaid.iter().map(|(_, message)| message.len()).sum::<usize>() < UNSAID {
            peer.unsaid.push_back((now, message));
        }
        self.say_unsaid(streamer, now, reactor);
    }

    /// Says what waits, in its order, where a connection is open, and else begins one.
    fn say_unsaid(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(peer) = self.peers.get_mut(&streamer) else { return };
        peer.unsaid.retain(|(since, _)| now < *since + UNSAID_FOR);
        if peer.unsaid.is_empty() {
            return;
        }
        let open = |line: &Line| self.conns.get(line).filter(|conn| conn.retired.is_none());
        let of = |line: &Line| open(line).map(|conn| (conn.made, conn.heard, *line));
        let best = peer.lines.iter().filter_map(of).max();
        let Some((true, _, line)) = best else {
            if best.is_none() {
                // Where none can be begun now it is tried again with the next sweep.
                let _ = self.connect(streamer, now, reactor);
            }
            return;
        };
        let Some(conn) = self.conns.get_mut(&line) else { return };
        conn.said.retain(|(sent, _)| now < *sent + UNHEARD_FOR);
        while let Some((_, message)) = peer.unsaid.front() {
            if !reactor.send(line, &[message]) {
                return;
            }
            conn.used = now;
            conn.said.extend(peer.unsaid.pop_front().map(|(_, message)| (now, message)));
        }
    }

    pub fn probe(&mut self, streamer: StreamerId, now: Duration, reactor: &mut Reactor) {
        let Some(line) = self.line_for(streamer, now, reactor) else {
            return self.happened.push(Happened::Echo(streamer, Ending::ConnectFailed, Duration::ZERO));
        };
        let Some(conn) = self.conns.get_mut(&line) else { return };
        self.next_probe = self.next_probe.wrapping_add(1);
        let probe = self.next_probe;
        conn.probes.push((probe, now));
        if conn.made {
            conn.used = now;
            reactor.send(line, &[&streamers::test(probe)]);
        }
    }

    /// The probe of that number is answered: when it was sent.
    pub fn probed(&mut self, line: Line, probe: u64) -> Option<Duration> {
        let probes = &mut self.conns.get_mut(&line)?.probes;
        let at = probes.iter().position(|(number, _)| *number == probe)?;
        Some(probes.remove(at).1)
    }

    pub fn drop_idle(&mut self, streamer: StreamerId, reactor: &mut Reactor) {
        for line in self.peers.get(&streamer).map_or_else(Vec::new, |peer| peer.lines.clone()) {
            if self.conns.get(&line).is_some_and(|conn| conn.made && conn.is_idle()) {
                self.let_go(line, reactor);
            }
        }
    }

    /// A connection is made: what waited for it goes out. A join to a streamer that takes none now is not sent.
    pub fn opened(&mut self, line: Line, takes_joins: bool, now: Duration, reactor: &mut Reactor) {
        self.heard(line, now);
        let Some(conn) = self.conns.get_mut(&line) else { return };
        (conn.made, conn.used) = (true, now);
        let streamer = conn.streamer;
        self.say_unsaid(streamer, now, reactor);
        let Some(conn) = self.conns.get_mut(&line) else { return };
        for (probe, _) in &conn.probes {
            reactor.send(line, &[&streamers::test(*probe)]);
        }
        for (job, wire_id, offer) in std::mem::take(&mut conn.waiting) {
            if takes_joins && reactor.send(line, &[&offer]) {
                conn.joins.push((job, wire_id));
            } else {
                self.happened.push(Happened::JoinEnded(job, Ending::Moot));
            }
        }
    }

    /// Something came on a connection.
    pub fn heard(&mut self, line: Line, now: Duration) {
        let Some(conn) = self.conns.get_mut(&line) else { return };
        conn.heard = now;
        if let Some(peer) = self.peers.get_mut(&conn.streamer) {
            (peer.heard, peer.tries) = (now, 0);
        }
    }

    /// A connection has ended by itself.
    pub fn closed(&mut self, line: Line, now: Duration, stands: bool, reactor: &mut Reactor) {
        let Some(conn) = self.conns.get(&line) else { return };
        let (streamer, made, late) = (conn.streamer, conn.made, now >= conn.begun + self.connect_within);
        self.close(line, if made { Ending::Reset } else { Ending::ConnectFailed }, now, reactor);
        if !made {
            self.tried(streamer, late, stands, now, reactor);
        }
    }

    /// A connection to a streamer was not made: turned down, or `late`.
    fn tried(
        &mut self, streamer: StreamerId, late: bool, stands: bool, now: Duration, reactor: &mut Reactor,
    ) {
        let heard = self.heard_at(streamer);
        let Some(peer) = self.peers.get_mut(&streamer) else { return };
        // Turned down, with nothing else open: its process is gone. So it is where the others have fallen silent: a
        // machine that vanished leaves them open. Tried once more then, and where nothing comes back at all.
        peer.tries += 1;
        let tries = if peer.listed { TRIES } else { 1 };
        let gone = match (late, heard) {
            (false, None) => true,
            (false, Some(heard)) => peer.tries >= tries && now >= heard + self.silence,
            (true, _) => peer.tries >= tries && now >= peer.heard + self.silence,
        };
        if stands && gone {
            self.lose(streamer, now, reactor);
        }
    }

    /// When something last came on the connections that are open to a streamer.
    fn heard_at(&self, streamer: StreamerId) -> Option<Duration> {
        let lines = self.peers.get(&streamer)?.lines.iter();
        let open = lines.filter_map(|line| self.conns.get(line));
        open.filter(|conn| conn.made && conn.retired.is_none()).map(|conn| conn.heard).max()
    }

    /// Ends a connection, and what is open on it with this ending.
    pub fn close(&mut self, line: Line, ending: Ending, now: Duration, reactor: &mut Reactor) {
        let Some(mut conn) = self.forget(line) else { return };
        reactor.close(line);
        // What was just said on it may not have been read; one that was closed by both ends has been.
        let unheard =
            conn.said.drain(..).filter(|(sent, _)| conn.retired.is_none() && now < *sent + UNHEARD_FOR);
        if let Some(peer) = self.peers.get_mut(&conn.streamer) {
            unheard.rev().for_each(|said| peer.unsaid.push_front(said));
        }
        tracing::trace!(streamer = %conn.streamer, line, ?ending, retired = conn.retired.is_some(), "closed");
        let unsent = if ending == Ending::ConnectFailed { ending } else { Ending::Moot };
        let waiting = conn.waiting.iter().map(|(job, ..)| Happened::JoinEnded(*job, unsent));
        let joins = conn.joins.iter().map(|(job, _)| Happened::JoinEnded(*job, ending));
        let echo = |sent: Duration| Happened::Echo(conn.streamer, ending, now.saturating_sub(sent));
        let probes = conn.probes.iter().map(|(_, sent)| echo(*sent));
        self.happened.extend(waiting.chain(joins).chain(probes));
    }
}

/// Whether all that was given to a connection could be written.
fn flushes(line: Line, reactor: &mut Reactor) -> bool {
    reactor.flush_line(line);
    reactor.unwritten(line) == 0
}

impl Conn {
    fn has_no_work(&self) -> bool {
        self.joins.is_empty() && self.waiting.is_empty() && self.probes.is_empty()
    }

    fn is_idle(&self) -> bool {
        self.has_no_work() && self.given_up.is_none() && self.retired.is_none()
    }
}
