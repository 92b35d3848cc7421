//! Pool of the viewers' connections. A connection is closed if it sends no complete frame in time, and only
//! one without a pending set-up may be evicted for another. Releases of earlier sessions are best sent on
//! connections that have served viewers, so the most recently used of those are reserved however many others
//! arrive.

mod releases;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_reactor::{Bounds, Reactor, SocketId};
use badgerledge_signalling::MAX_MESSAGE_BYTES;
use releases::{ReleaseRank, Releases};

/// Room for a whole frame, and for the answers to a burst of them.
pub const BOUNDS: Bounds = Bounds { input: MAX_MESSAGE_BYTES + 2, output: 4 * MAX_MESSAGE_BYTES };
/// A connection that was sent nothing and has no set-up pending, or that owes the rest of a frame, is closed
/// after this time: under the three seconds within which a client that sends malformed data must get a
/// reaction.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A viewer sends its first set-up sooner than this after connecting, even on a busy machine.
const FIRST_SET_UP_WINDOW: Duration = Duration::from_millis(500);
/// One connection in this many is reserved for those that served viewers and were used last. Releases can be
/// sent on any of them; if a crowd evicted all of them, none could be sent until another viewer is served.
const RESERVED_DIVISOR: usize = 4;

/// State of a viewers' connection.
struct ViewerConnection {
    accepted_at: Duration,
    /// When the last set-up was received on it, or else when it was accepted.
    last_set_up_at: Duration,
    last_received_at: Duration,
    /// Whether anything was sent on it.
    was_sent_output: bool,
    /// The last set-up that was answered on it, and when.
    last_answer: Option<(u64, Duration)>,
    /// Whether a valid set-up arrived on it: it belongs to viewers and not to a health checker.
    carries_set_ups: bool,
    /// Whether sessions were handed over on it, which may be false.
    claims_sessions: bool,
    /// Whether a set-up on it was accepted, or a streamer has confirmed a session that was handed over on it.
    serves_viewers: bool,
    /// Since when an incomplete frame waits for its rest.
    incomplete_since: Option<Duration>,
    /// Shut down for writing: nothing can be sent on it any more.
    shut_down: bool,
}

impl ViewerConnection {
    /// How well releases of other connections' sessions may be sent on it; none if not at all.
    fn release_rank(&self) -> Option<ReleaseRank> {
        if self.serves_viewers {
            return Some(ReleaseRank::Served);
        }
        if self.claims_sessions {
            return Some(ReleaseRank::Claimed);
        }
        if !self.carries_set_ups {
            return None;
        }
        Some(if self.was_sent_output { ReleaseRank::Refused } else { ReleaseRank::Waiting })
    }

    fn eviction_rank(&self, now: Duration, reserved: bool) -> EvictionRank {
        if reserved {
            return EvictionRank::Reserved;
        }
        if self.serves_viewers {
            return EvictionRank::Served;
        }
        if self.claims_sessions {
            return EvictionRank::Claimed;
        }
        if self.was_sent_output {
            return EvictionRank::Refused;
        }
        if now < self.accepted_at + FIRST_SET_UP_WINDOW {
            return EvictionRank::New;
        }
        EvictionRank::Silent
    }
}

/// The viewers' connections, and the releases that wait for one or for their acknowledgement.
pub struct ViewerPool {
    connections: BTreeMap<SocketId, ViewerConnection>,
    releases: Releases,
    max_connections: usize,
}

/// The order in which connections without a pending set-up are evicted, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Nothing was sent on it, although a first set-up would have arrived by now.
    Silent,
    /// It got an answer, but no viewer was ever served on it.
    Refused,
    /// Sessions were handed over on it, and nothing has confirmed them.
    Claimed,
    /// It served viewers, and enough others did so later.
    Served,
    /// A first set-up may be on its way: a request on a connection that is closed is lost to its viewer.
    New,
    /// It is among the last used of those that served viewers: releases need it.
    Reserved,
}

impl ViewerPool {
    /// Creates an empty pool with a limit on its connections.
    pub fn new(max_connections: usize) -> Self {
        Self { connections: BTreeMap::new(), releases: Releases::default(), max_connections }
    }

    /// All connections.
    pub fn connections(&self) -> impl Iterator<Item = SocketId> + '_ {
        self.connections.keys().copied()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The connections that are not shut down for writing.
    pub fn open(&self) -> impl Iterator<Item = SocketId> + '_ {
        let open = self.connections.iter().filter(|(_, viewer)| !viewer.shut_down);
        open.map(|(connection, _)| *connection)
    }

    /// Marks a connection as shut down for writing.
    pub fn shut_down(&mut self, connection: SocketId) {
        self.connections.entry(connection).and_modify(|viewer| viewer.shut_down = true);
    }

    /// Whether a connection is shut down for writing.
    pub fn is_shut_down(&self, connection: SocketId) -> bool {
        self.connections.get(&connection).is_some_and(|viewer| viewer.shut_down)
    }

    /// Whether a connection belongs to this pool.
    pub fn contains(&self, connection: SocketId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Whether a connection is open and has served viewers.
    pub fn is_serving(&self, connection: SocketId) -> bool {
        let viewer = self.connections.get(&connection);
        viewer.is_some_and(|viewer| viewer.serves_viewers && !viewer.shut_down)
    }

    /// Whether another connection must be evicted before one more is accepted.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// The connection without a pending set-up to evict first: the lowest rank, and within it the one unused
    /// for longest.
    pub fn eviction_candidate(
        &self, now: Duration, has_pending: impl Fn(SocketId) -> bool,
    ) -> Option<SocketId> {
        let reserved = self.reserved();
        let idle = self.connections.iter().filter(|(connection, _)| !has_pending(**connection));
        let ranked = idle.map(|(connection, viewer)| {
            let rank = viewer.eviction_rank(now, reserved.contains(connection));
            (rank, viewer.last_received_at, *connection)
        });
        ranked.min().map(|(_, _, connection)| connection)
    }

    /// The most recently used connections that served viewers.
    fn reserved(&self) -> BTreeSet<SocketId> {
        let served = self.connections.iter().filter(|(_, viewer)| viewer.serves_viewers);
        let mut by_use: Vec<_> =
            served.map(|(connection, viewer)| (viewer.last_received_at, *connection)).collect();
        by_use.sort_unstable();
        let count = self.max_connections.div_ceil(RESERVED_DIVISOR);
        by_use.into_iter().rev().take(count).map(|(_, connection)| connection).collect()
    }

    /// Adds an accepted connection.
    pub fn insert(&mut self, connection: SocketId, now: Duration) {
        let viewer = ViewerConnection {
            last_set_up_at: now,
            accepted_at: now,
            last_received_at: now,
            was_sent_output: false,
            last_answer: None,
            carries_set_ups: false,
            claims_sessions: false,
            serves_viewers: false,
            incomplete_since: None,
            shut_down: false,
        };
        self.connections.insert(connection, viewer);
    }

    /// Removes a closed connection. Recent releases on it that were not acknowledged are sent again on
    /// another.
    pub fn remove(&mut self, connection: SocketId, now: Duration, reactor: &mut Reactor) {
        self.connections.remove(&connection);
        self.resend_unacknowledged(connection, now, reactor);
    }

    /// Records that bytes arrived; `incomplete` if part of a frame is left of them.
    pub fn record_input(&mut self, connection: SocketId, now: Duration, incomplete: bool) {
        let Some(viewer) = self.connections.get_mut(&connection) else { return };
        viewer.last_received_at = now;
        viewer.incomplete_since = incomplete.then(|| viewer.incomplete_since.unwrap_or(now));
    }

    /// Records a set-up: its viewer may abandon it, and then no answer would reset the idle time of the
    /// connection.
    pub fn record_set_up(&mut self, connection: SocketId, now: Duration) {
        self.connections.entry(connection).and_modify(|viewer| viewer.last_set_up_at = now);
    }

    /// The last set-up that was answered on a connection, and when.
    pub fn last_answer(&self, connection: SocketId) -> Option<(u64, Duration)> {
        self.connections.get(&connection)?.last_answer
    }

    /// Records the set-up that was just answered on a connection.
    pub fn record_answer(&mut self, connection: SocketId, wire_id: u64, now: Duration) {
        self.connections.entry(connection).and_modify(|viewer| viewer.last_answer = Some((wire_id, now)));
    }

    /// Sends a message on a connection. Returns false if it is closed or accepts no more output.
    pub fn answer(&mut self, connection: SocketId, message: &[u8], reactor: &mut Reactor) -> bool {
        let viewer = self.connections.get_mut(&connection).filter(|viewer| !viewer.shut_down);
        let Some(viewer) = viewer else { return false };
        viewer.was_sent_output = true;
        reactor.send(connection, &[message])
    }

    /// The connections that have timed out.
    pub fn expired(&self, now: Duration, has_pending: impl Fn(SocketId) -> bool) -> Vec<SocketId> {
        self.connections
            .keys()
            .copied()
            .filter(|connection| self.is_expired(*connection, now, &has_pending))
            .collect()
    }

    /// Whether a connection has timed out. One with handed-over sessions is exempt: nothing is sent on it
    /// until they end.
    pub fn is_expired(
        &self, connection: SocketId, now: Duration, has_pending: impl Fn(SocketId) -> bool,
    ) -> bool {
        self.connections.get(&connection).is_some_and(|viewer| {
            let idle = !viewer.was_sent_output
                && !viewer.serves_viewers
                && !viewer.claims_sessions
                && now >= viewer.last_set_up_at + IDLE_TIMEOUT;
            let incomplete = viewer.incomplete_since.is_some_and(|since| now >= since + IDLE_TIMEOUT);
            (idle || incomplete) && !has_pending(connection)
        })
    }
}
