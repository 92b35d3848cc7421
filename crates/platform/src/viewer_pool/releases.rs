//! Releases of sessions: on which connection each is sent, and when it is sent again. A session belongs to no
//! connection, so its release may be sent on any connection of viewers if its own is closed.

use std::collections::BTreeMap;
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
/// How long a release that was sent on another's connection which has served viewers stays unacknowledged before
/// the next one is tried.
const SERVED_RETRY_INTERVAL: Duration = Duration::from_millis(300);
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
    /// The connections of others that it was sent on, and when it was last.
    tried: Vec<SocketId>,
    tried_at: Duration,
}

/// The releases that wait, by session.
#[derive(Default)]
pub struct Releases {
    /// Sent but not acknowledged by their viewers.
    unacknowledged: BTreeMap<u64, Release>,
    /// Not sent on a connection that has served viewers yet.
    queued: BTreeMap<u64, Release>,
}

impl Releases {
    fn queue(&mut self, release: Release) {
        if self.queued.len() < MAX_RELEASES {
            self.queued.insert(release.wire_id, release);
            return;
        }
        tracing::warn!(
            wire_id = format_args!("{:016x}", release.wire_id),
            "dropping a release: too many wait for a viewers' connection"
        );
    }

    fn await_acknowledgement(&mut self, release: Release) {
        if self.unacknowledged.len() < MAX_RELEASES {
            self.unacknowledged.insert(release.wire_id, release);
        }
    }

    /// Drops releases that were heard, or whose viewers never acknowledge.
    fn drop_old(&mut self, now: Duration) {
        self.unacknowledged.retain(|_, release| now < release.since + RESEND_WINDOW);
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
        self.releases.queued.remove(&wire_id);
        let (tried, tried_at) = (Vec::new(), Duration::ZERO);
        let release = Release { since: now, connection, wire_id, message, tried, tried_at };
        self.send_or_queue(release, &mut None, now, reactor);
    }

    /// Sends queued releases, if there are connections for them now.
    pub fn send_queued(&mut self, now: Duration, reactor: &mut Reactor) {
        let mut ranked = None;
        for release in std::mem::take(&mut self.releases.queued).into_values() {
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
            release.tried.push(*connection);
            release.tried_at = now;
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
        self.releases.await_acknowledgement(release);
    }

    /// Sends a release that was not heard on another's connection on the next one that has served viewers.
    pub fn retry_unheard(&mut self, now: Duration, reactor: &mut Reactor) {
        self.releases.drop_old(now);
        let unheard =
            self.releases.unacknowledged.values().filter(|release| {
                !release.tried.is_empty() && now >= release.tried_at + SERVED_RETRY_INTERVAL
            });
        let unheard: Vec<u64> = unheard.map(|release| release.wire_id).collect();
        if unheard.is_empty() {
            return;
        }
        let ranked = self.by_release_rank();
        let served = ranked.iter().filter(|(rank, _)| *rank == ReleaseRank::Served);
        let served: Vec<SocketId> = served.map(|(_, connection)| *connection).collect();
        for wire_id in unheard {
            let Some(mut release) = self.releases.unacknowledged.remove(&wire_id) else { continue };
            let mut untried = served.iter().filter(|connection| !release.tried.contains(connection));
            if let Some(connection) =
                untried.find(|connection| self.answer(**connection, &release.message, reactor))
            {
                (release.connection, release.tried_at) = (*connection, now);
                release.tried.push(*connection);
                trace_release(&release, Some(*connection));
            }
            self.releases.unacknowledged.insert(wire_id, release);
        }
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
        let sent_on_it =
            self.releases.unacknowledged.values().filter(|release| release.connection == connection);
        let lost: Vec<u64> = sent_on_it.map(|release| release.wire_id).collect();
        let lost: Vec<Release> =
            lost.iter().filter_map(|wire_id| self.releases.unacknowledged.remove(wire_id)).collect();
        for release in lost.into_iter().filter(|release| now < release.since + RESEND_WINDOW) {
            self.release(connection, release.wire_id, release.message, now, reactor);
        }
    }

    /// Handles a viewer's acknowledgement of a release.
    pub fn acknowledge_release(&mut self, wire_id: u64) {
        self.releases.unacknowledged.remove(&wire_id);
        self.releases.queued.remove(&wire_id);
    }

    /// Whether a release waits for a connection or for its acknowledgement, or bytes are not yet written.
    pub fn has_pending_output(&self, now: Duration, reactor: &Reactor) -> bool {
        let waits = |release: &Release, lifetime: Duration| now < release.since + lifetime;
        let Releases { queued, unacknowledged } = &self.releases;
        queued.values().any(|release| waits(release, QUEUED_RELEASE_LIFETIME))
            || unacknowledged.values().any(|release| waits(release, ACKNOWLEDGE_TIMEOUT))
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
