//! Releases of sessions: on which connection each is sent, and when it is sent again. A session belongs to no
//! connection, so its release may be sent on any connection of viewers if its own is closed.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_reactor::{Reactor, SocketId};

use super::ViewerPool;

/// Maximum of releases that wait for a connection, and of those that wait for their acknowledgement: more come
/// only from a front end that is gone for good.
const MAX_RELEASES: usize = 4096;
/// How long a release waits for the front end to reconnect: after this no viewer waits for it.
const QUEUED_RELEASE_LIFETIME: Duration = Duration::from_secs(8);
/// How long an exiting process waits for an acknowledgement. Viewers acknowledge within a few milliseconds, and
/// must receive a release within a second; an older one was received, or its viewer never acknowledges.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after it was sent an unacknowledged release is resent if its connection closes: a process that gets
/// no processor time notices that up to two seconds later.
const RESEND_WINDOW: Duration = Duration::from_secs(3);
/// How long a release that was sent on a connection which has not served viewers stays unacknowledged before
/// it is sent on others as well.
const UNPROVEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// One in this many of the connections that are left is tried in each interval, so that all have been before the
/// second is over in which viewers must be told.
const UNPROVEN_BATCH_DIVISOR: usize = 8;

/// How well a connection is suited for releases of other connections' sessions, from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseRank {
    /// Set-ups on it wait for their answers.
    Waiting,
    /// Set-ups on it were refused.
    Refused,
    /// Sessions were handed over on it, which may be false.
    Claimed,
    /// It has served viewers.
    Served,
}

/// Connections with their ranks, best first.
type RankedConnections = Vec<(ReleaseRank, SocketId)>;

/// A release that waits for a connection, or for its acknowledgement.
struct Release {
    /// When it was queued or sent.
    since: Duration,
    /// The connection that it belongs to or was sent on.
    connection: SocketId,
    wire_id: u64,
    message: Vec<u8>,
    /// The connections that it was sent on without having served viewers, and when it was last.
    tried: Vec<SocketId>,
    tried_at: Duration,
}

/// The releases that wait.
#[derive(Default)]
pub struct Releases {
    /// Sent but not acknowledged by their viewers; oldest first.
    unacknowledged: VecDeque<Release>,
    /// Not sent on a connection that has served viewers yet.
    queued: Vec<Release>,
}

impl Releases {
    fn queue(&mut self, release: Release) {
        if self.queued.len() < MAX_RELEASES {
            return self.queued.push(release);
        }
        tracing::warn!(
            wire_id = format_args!("{:016x}", release.wire_id),
            "dropping a release: too many wait for a viewers' connection"
        );
    }

    fn await_acknowledgement(&mut self, release: Release, now: Duration) {
        while self.unacknowledged.front().is_some_and(|oldest| oldest.since + RESEND_WINDOW <= now) {
            self.unacknowledged.pop_front();
        }
        if self.unacknowledged.len() < MAX_RELEASES {
            self.unacknowledged.push_back(release);
        }
    }
}

impl ViewerPool {
    /// Marks a connection as carrying viewers' set-ups, and sends the queued releases.
    pub fn mark_viewers(&mut self, connection: SocketId, now: Duration, reactor: &mut Reactor) {
        let Some(viewer) = self.connections.get_mut(&connection) else { return };
        if !std::mem::replace(&mut viewer.carries_set_ups, true) {
            self.send_queued(now, reactor);
        }
    }

    /// Marks a connection as serving viewers, and sends the queued releases.
    pub fn mark_serving(&mut self, connection: SocketId, now: Duration, reactor: &mut Reactor) {
        let Some(viewer) = self.connections.get_mut(&connection) else { return };
        if !std::mem::replace(&mut viewer.serves_viewers, true) {
            self.send_queued(now, reactor);
        }
    }

    /// Marks a connection as one that sessions were handed over on, and sends the queued releases.
    pub fn mark_claiming(&mut self, connection: SocketId, now: Duration, reactor: &mut Reactor) {
        let Some(viewer) = self.connections.get_mut(&connection) else { return };
        if !std::mem::replace(&mut viewer.claims_sessions, true) {
            self.send_queued(now, reactor);
        }
    }

    /// Sends a release on its own connection or on another one of viewers, or queues it until there is one. It
    /// replaces what is queued for that session.
    pub fn release(
        &mut self, connection: SocketId, wire_id: u64, message: Vec<u8>, now: Duration, reactor: &mut Reactor,
    ) {
        self.releases.queued.retain(|release| release.wire_id != wire_id);
        let (tried, tried_at) = (Vec::new(), Duration::ZERO);
        let release = Release { since: now, connection, wire_id, message, tried, tried_at };
        self.send_or_queue(release, &mut None, now, reactor);
    }

    /// Sends queued releases, if there are connections for them now.
    pub fn send_queued(&mut self, now: Duration, reactor: &mut Reactor) {
        let mut ranked = None;
        for release in std::mem::take(&mut self.releases.queued) {
            if now < release.since + QUEUED_RELEASE_LIFETIME {
                self.send_or_queue(release, &mut ranked, now, reactor);
            }
        }
    }

    /// The connections on which any release may be sent, best first, and of equal ones the last used first.
    fn by_release_rank(&self) -> RankedConnections {
        let mut ranked: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(connection, viewer)| {
                Some((viewer.release_rank()?, viewer.last_received_at, *connection))
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().rev().map(|(rank, _, connection)| (rank, connection)).collect()
    }

    /// Sends a release on its own connection, or on another that has served viewers. If there is none, sends it
    /// on one that carries set-ups, and keeps it queued: that one may belong to a client that ignores it.
    /// `ranked` keeps the connections by their rank once they are needed.
    fn send_or_queue(
        &mut self, mut release: Release, ranked: &mut Option<RankedConnections>, now: Duration,
        reactor: &mut Reactor,
    ) {
        if self.answer(release.connection, &release.message, reactor) {
            return self.await_acknowledgement(release, now);
        }
        let ranked = ranked.get_or_insert_with(|| self.by_release_rank());
        let mut served = ranked.iter().filter(|(rank, _)| *rank == ReleaseRank::Served);
        let sent_on = served.find(|(_, connection)| self.answer(*connection, &release.message, reactor));
        if let Some((_, connection)) = sent_on {
            release.connection = *connection;
            return self.await_acknowledgement(release, now);
        }
        if release.tried.is_empty() || release.tried_at + UNPROVEN_RETRY_INTERVAL <= now {
            self.send_unproven(&mut release, ranked, now, reactor);
        }
        self.releases.queue(release);
    }

    /// Keeps a release that was sent, until it is acknowledged.
    fn await_acknowledgement(&mut self, mut release: Release, now: Duration) {
        trace_release(&release, Some(release.connection));
        release.since = now;
        self.releases.await_acknowledgement(release, now);
    }

    /// Sends a release on the best connections that it was not tried on yet.
    fn send_unproven(
        &mut self, release: &mut Release, ranked: &RankedConnections, now: Duration, reactor: &mut Reactor,
    ) {
        let untried = ranked.iter().map(|(_, connection)| *connection);
        let untried: Vec<_> = untried.filter(|connection| !release.tried.contains(connection)).collect();
        let batch = untried.len().div_ceil(UNPROVEN_BATCH_DIVISOR);
        let accepts = |connection: &SocketId| self.answer(*connection, &release.message, reactor);
        let sent_on: Vec<_> = untried.into_iter().filter(accepts).take(batch).collect();
        trace_release(release, sent_on.last().copied());
        if !sent_on.is_empty() {
            release.tried.extend(sent_on);
            release.tried_at = now;
        }
    }

    /// Sends recent releases again that were not acknowledged on a connection that has closed.
    pub(super) fn resend_unacknowledged(
        &mut self, connection: SocketId, now: Duration, reactor: &mut Reactor,
    ) {
        let (lost, others) =
            self.releases.unacknowledged.drain(..).partition(|release| release.connection == connection);
        self.releases.unacknowledged = others;
        for release in VecDeque::into_iter(lost).filter(|release| now < release.since + RESEND_WINDOW) {
            self.release(connection, release.wire_id, release.message, now, reactor);
        }
    }

    /// Handles a viewer's acknowledgement of a release.
    pub fn acknowledge_release(&mut self, wire_id: u64) {
        self.releases.unacknowledged.retain(|release| release.wire_id != wire_id);
        self.releases.queued.retain(|release| release.wire_id != wire_id);
    }

    /// Whether a release waits for a connection or for its acknowledgement, or bytes are not yet written.
    pub fn has_pending_output(&self, now: Duration, reactor: &Reactor) -> bool {
        let waits = |release: &Release, lifetime: Duration| now < release.since + lifetime;
        let Releases { queued, unacknowledged } = &self.releases;
        queued.iter().any(|release| waits(release, QUEUED_RELEASE_LIFETIME))
            || unacknowledged.iter().any(|release| waits(release, ACKNOWLEDGE_TIMEOUT))
            || self.connections().any(|connection| reactor.unwritten_bytes(connection) > 0)
    }
}

fn trace_release(release: &Release, sent_on: Option<SocketId>) {
    tracing::trace!(
        target: "badgerledge_platform::front",
        wire_id = format_args!("{:016x}", release.wire_id),
        own = release.connection,
        sent = ?sent_on,
        "release sent or queued"
    );
}
