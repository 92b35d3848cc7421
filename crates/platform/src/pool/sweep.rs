//! What time asks of the connections to streamers: late probes end, idle and spent connections are closed, silent
//! streamers are tried, and what waits to be said is said.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Line, Reactor};

use super::{Conn, Happened, Peer, Pool, Unmade};

/// How long a connection stays open after a join was given up on it, for an answer that crosses.
const CROSSING: Duration = Duration::from_secs(1);
/// How long a streamer may take to close what was closed towards it.
const RETIRED: Duration = Duration::from_secs(1);
/// The idle time where three quarters of the descriptors are taken: most joins end in much less.
const CROWDED_IDLE: Duration = Duration::from_secs(2);

impl Pool {
    /// What time asks for: idle ones and those given up on are closed, late probes end, and where something
    /// stands and nothing was heard for long a connection is tried.
    pub fn sweep(&mut self, now: Duration, stands_at: &[StreamerId], reactor: &mut Reactor) {
        self.expire_probes(now);
        let open = self.retire_spent(now, stands_at, reactor);
        self.close_retired(now, reactor);
        self.try_silent(now, stands_at, &open, reactor);
        self.send_all_unsaid(now, reactor);
        let idle = |peer: &Peer| !peer.listed && peer.lines.is_empty() && peer.unsaid.is_empty();
        self.peers.retain(|id, peer| !idle(peer) || stands_at.contains(id));
    }

    /// Ends probes that were not answered in time; their connections take no join any more.
    fn expire_probes(&mut self, now: Duration) {
        let patience = self.connect_within * 2;
        for conn in self.conns.values_mut() {
            let late = conn.probes.iter().filter(|(_, sent)| *sent + patience <= now).count();
            for (_, sent) in conn.probes.drain(..late) {
                let waited = now.saturating_sub(sent);
                self.happened.push(Happened::Echo(conn.streamer, Ending::Timeout, waited));
            }
            if late > 0 {
                conn.given_up = Some(now);
            }
        }
    }

    /// Closes towards the streamer what is idle or was given up on. Tells how many connections stay open to each.
    fn retire_spent(
        &mut self, now: Duration, stands_at: &[StreamerId], reactor: &mut Reactor,
    ) -> BTreeMap<StreamerId, usize> {
        let crowded = self.conns.len() * 4 > self.most * 3;
        let idle_for = if crowded { CROWDED_IDLE } else { self.idle };
        let mut open: BTreeMap<StreamerId, usize> = BTreeMap::new();
        for conn in self.conns.values().filter(|conn| conn.retired.is_none()) {
            *open.entry(conn.streamer).or_default() += 1;
        }
        for (line, conn) in self.conns.iter_mut().filter(|(_, conn)| conn.retired.is_none()) {
            let others = open.entry(conn.streamer).or_default();
            let kept = *others <= 1 && stands_at.contains(&conn.streamer);
            let spent = conn.given_up.is_some_and(|at| at + CROSSING <= now);
            let idle = conn.made && conn.is_idle() && conn.used + idle_for <= now && !kept;
            if conn.has_no_work() && (spent || idle) {
                // What the streamer had just sent on it, such as a release, is still read.
                conn.retired = Some(now);
                tracing::trace!(streamer = %conn.streamer, line, spent, idle, "retired");
                *others = others.saturating_sub(1);
                reactor.shut(*line);
            }
        }
        open
    }

    /// Closes what was closed towards its streamer and has had its time.
    fn close_retired(&mut self, now: Duration, reactor: &mut Reactor) {
        let over = |conn: &Conn| conn.retired.is_some_and(|at| at + RETIRED <= now);
        let ends: Vec<Line> =
            self.conns.iter().filter(|(_, conn)| over(conn)).map(|(line, _)| *line).collect();
        for line in ends {
            self.close(line, Ending::Reset, now, reactor);
        }
    }

    /// Begins a connection to each streamer at which something stands, and which is silent or has none.
    fn try_silent(
        &mut self, now: Duration, stands_at: &[StreamerId], open: &BTreeMap<StreamerId, usize>,
        reactor: &mut Reactor,
    ) {
        for streamer in stands_at {
            let Some(peer) = self.peers.get(streamer) else { continue };
            let silent = now >= peer.heard + self.silence;
            let trying = peer.lines.iter().any(|line| self.conns.get(line).is_some_and(|conn| !conn.made));
            let alone = open.get(streamer).is_none_or(|open| *open == 0);
            if trying || !silent && !alone {
                continue;
            }
            if let Err(Unmade::Refused) = self.connect(*streamer, now, reactor) {
                self.tried(*streamer, false, true, now, reactor);
            }
        }
    }

    fn send_all_unsaid(&mut self, now: Duration, reactor: &mut Reactor) {
        let unsaid = self.peers.iter().filter(|(_, peer)| !peer.unsaid.is_empty());
        for streamer in unsaid.map(|(streamer, _)| *streamer).collect::<Vec<_>>() {
            self.say_unsaid(streamer, now, reactor);
        }
    }
}
