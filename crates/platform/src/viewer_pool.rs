//! Pool of the viewers' connections. A connection is closed if it sends no complete frame in time, and only
//! one without a pending set-up may be evicted for another. Releases of earlier sessions are sent on
//! connections that have served viewers, so the most recently used of those are reserved however many others
//! arrive.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use badgerledge_reactor::{Bounds, Reactor, SocketId};
use badgerledge_signalling::MAX_MESSAGE_BYTES;

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
/// Maximum of releases that wait for a viewers' connection: more come only from a front end that is gone for
/// good.
const MAX_QUEUED_RELEASES: usize = 4096;
/// How long a release waits for the front end to reconnect: after this no viewer waits for it.
const QUEUED_RELEASE_LIFETIME: Duration = Duration::from_secs(8);

/// How long a release may stay unacknowledged and is resent if its connection closes. Viewers acknowledge
/// within a few milliseconds, and must receive a release within a second; an older one was received, or its
/// viewer never acknowledges.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// Whether a set-up on it was answered or handed over: it belongs to viewers and not to a health checker.
    serves_viewers: bool,
    /// Since when an incomplete frame waits for its rest.
    incomplete_since: Option<Duration>,
    /// Shut down for writing: nothing can be sent on it any more.
    shut_down: bool,
}

impl ViewerConnection {
    fn eviction_rank(&self, now: Duration, reserved: bool) -> EvictionRank {
        if reserved {
            return EvictionRank::Reserved;
        }
        if self.serves_viewers {
            return EvictionRank::Served;
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

/// A release, when it was queued or sent, and the connection that it belongs to or was sent on.
struct Release {
    since: Duration,
    connection: SocketId,
    wire_id: u64,
    message: Vec<u8>,
}

/// The viewers' connections, and the releases that are queued or unacknowledged.
pub struct ViewerPool {
    connections: BTreeMap<SocketId, ViewerConnection>,
    /// Sent but not acknowledged by their viewers; oldest first.
    unacknowledged: VecDeque<Release>,
    /// Waiting for a connection.
    queued: Vec<Release>,
    max_connections: usize,
}

/// The order in which connections without a pending set-up are evicted, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Nothing was sent on it, although a first set-up would have arrived by now.
    Silent,
    /// It got an answer, but no viewer was ever served on it.
    Refused,
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
        Self {
            connections: BTreeMap::new(),
            unacknowledged: VecDeque::new(),
            queued: Vec::new(),
            max_connections,
        }
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

    /// Whether a release waits for a connection or for its acknowledgement, or bytes are not yet written.
    pub fn has_pending_output(&self, now: Duration, reactor: &Reactor) -> bool {
        let queued = self.queued.iter().any(|release| now < release.since + QUEUED_RELEASE_LIFETIME);
        let unacknowledged =
            self.unacknowledged.iter().any(|release| now < release.since + ACKNOWLEDGE_TIMEOUT);
        queued
            || unacknowledged
            || self.connections().any(|connection| reactor.unwritten_bytes(connection) > 0)
    }

    /// Whether a connection belongs to this pool.
    pub fn contains(&self, connection: SocketId) -> bool {
        self.connections.contains_key(&connection)
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
        let (lost, others) =
            self.unacknowledged.drain(..).partition(|release| release.connection == connection);
        self.unacknowledged = others;
        for release in VecDeque::into_iter(lost).filter(|release| now < release.since + ACKNOWLEDGE_TIMEOUT) {
            self.release(connection, release.wire_id, release.message, now, reactor);
        }
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

    /// Marks a connection as serving viewers, and sends the queued releases.
    pub fn mark_serving(&mut self, connection: SocketId, now: Duration, reactor: &mut Reactor) {
        let Some(viewer) = self.connections.get_mut(&connection) else { return };
        viewer.serves_viewers = true;
        for release in std::mem::take(&mut self.queued) {
            if now < release.since + QUEUED_RELEASE_LIFETIME {
                self.send_or_queue(release, now, reactor);
            }
        }
    }

    /// Sends a release on its own connection or on another that served viewers, or queues it until there is
    /// one. It replaces what is queued for that session.
    pub fn release(
        &mut self, connection: SocketId, wire_id: u64, message: Vec<u8>, now: Duration, reactor: &mut Reactor,
    ) {
        self.queued.retain(|release| release.wire_id != wire_id);
        self.send_or_queue(Release { since: now, connection, wire_id, message }, now, reactor);
    }

    /// Like [`release`](Self::release), for a release that may have been queued before: if it must wait
    /// again, its waiting time is not extended.
    fn send_or_queue(&mut self, release: Release, now: Duration, reactor: &mut Reactor) {
        let Release { since, connection, wire_id, message } = release;
        let own_connection = self.answer(connection, &message, reactor).then_some(connection);
        let sent_on = own_connection.or_else(|| {
            let others = self.connections.iter().filter(|(_, viewer)| viewer.serves_viewers);
            let mut others: Vec<_> =
                others.map(|(connection, viewer)| (viewer.last_received_at, *connection)).collect();
            others.sort_unstable();
            let mut others = others.into_iter().rev().map(|(_, connection)| connection);
            others.find(|connection| self.answer(*connection, &message, reactor))
        });
        tracing::trace!(
            target: "badgerledge_platform::front",
            wire_id = format_args!("{wire_id:016x}"),
            own = connection,
            sent = ?sent_on,
            "release sent or queued"
        );
        while self.unacknowledged.front().is_some_and(|release| release.since + ACKNOWLEDGE_TIMEOUT <= now) {
            self.unacknowledged.pop_front();
        }
        match sent_on {
            Some(connection) if self.unacknowledged.len() < MAX_QUEUED_RELEASES => {
                self.unacknowledged.push_back(Release { since: now, connection, wire_id, message });
            }
            None if self.queued.len() < MAX_QUEUED_RELEASES => {
                self.queued.push(Release { since, connection, wire_id, message })
            }
            _ => {}
        }
    }

    /// Handles a viewer's acknowledgement of a release.
    pub fn acknowledge_release(&mut self, wire_id: u64) {
        self.unacknowledged.retain(|release| release.wire_id != wire_id);
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
                && now >= viewer.last_set_up_at + IDLE_TIMEOUT;
            let incomplete = viewer.incomplete_since.is_some_and(|since| now >= since + IDLE_TIMEOUT);
            (idle || incomplete) && !has_pending(connection)
        })
    }
}
