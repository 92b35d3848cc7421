//! Leases (Gray and Cheriton, 1989): how long a member may keep a revision active that another may replace. A
//! member counts from when it sent the request, an acceptor from when it granted the lease. Clocks of
//! different machines are therefore never compared; only their rates matter.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{quorum, Member, Number};

/// The clock rates of two machines differ by less than one part in this; far more than working clocks do.
const DRIFT_DIVISOR: u32 = 100;
/// Minimum length of a lease: three requests a second apart, of which two may be lost.
const MIN_LEASE: Duration = Duration::from_secs(3);
/// How many requests a member sends within the length of a lease.
pub const REQUESTS_PER_LEASE: u32 = 3;
/// Leases that an acceptor can grant in a second: half of the gossip's limit of 5,000 bytes a second, at 112
/// bytes for a lease with header and signature. The rest is for membership, which must go on during a change.
const GRANTS_PER_SECOND: f64 = 5000.0 / 2.0 / 112.0;

/// What a member does that can't reach the acceptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActivationMode {
    /// A change waits for each member that is not excluded; while no change is pending, no lease is needed.
    Wait,
    /// A member without a lease goes on hold, so that a change waits for the length of a lease at most.
    Hold,
}

/// The length of a lease in a fleet of this size: as short as the acceptors' byte limit allows.
pub fn lease_duration_for(members: usize) -> Duration {
    let requests = members as f64 * f64::from(REQUESTS_PER_LEASE);
    Duration::from_secs_f64(requests / GRANTS_PER_SECOND).max(MIN_LEASE)
}

/// A duration measured by another machine's clock, at its longest.
pub fn with_drift(duration: Duration) -> Duration {
    duration + duration / DRIFT_DIVISOR
}

/// The longest time for which two members may have contradicting revisions active. A member activates the new
/// one only after a quorum has granted it, and a member that still has the old one active sent its last
/// successful lease request to an acceptor of that quorum before the grant, at most a lease ago. `activation_delay` is
/// how long decisions may still take to take effect.
pub fn bound(lease: Duration, activation_delay: Duration) -> Duration {
    with_drift(lease) + activation_delay
}

/// The leases that a member holds.
#[derive(Debug, Default)]
pub struct HeldLeases {
    /// When the request was sent for the latest lease of each acceptor.
    requested_at: BTreeMap<Member, Duration>,
    /// When each of the latest requests was sent, by nonce.
    pending_requests: BTreeMap<u64, Duration>,
    last_nonce: u64,
}

/// Number of requests kept for their answers; more than are sent within a lease.
const MAX_PENDING_REQUESTS: usize = 8;

impl HeldLeases {
    /// Creates nonces that are unique over all incarnations of a member, so that an answer to an earlier
    /// incarnation does not match.
    pub fn new(incarnation: u32) -> Self {
        Self { last_nonce: u64::from(incarnation) << 32, ..Self::default() }
    }

    /// Records a new request and returns its nonce.
    pub fn new_request(&mut self, now: Duration) -> u64 {
        self.last_nonce = self.last_nonce.saturating_add(1);
        self.pending_requests.insert(self.last_nonce, now);
        while self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        self.last_nonce
    }

    /// When a request was sent, if it is still kept.
    pub fn request_time(&self, nonce: u64) -> Option<Duration> {
        self.pending_requests.get(&nonce).copied()
    }

    /// Records a lease granted by an acceptor that had granted no activation above this member's active
    /// revision.
    pub fn record_grant(&mut self, acceptor: Member, nonce: u64) {
        let Some(sent_at) = self.pending_requests.get(&nonce).copied() else { return };
        let latest = self.requested_at.entry(acceptor).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// Whether an acceptor has answered a request sent at or after that time.
    pub fn answered_since(&self, acceptor: Member, since: Duration) -> bool {
        self.requested_at.get(&acceptor).is_some_and(|requested_at| *requested_at >= since)
    }

    /// Until when leases from a quorum of `acceptors` acceptors are valid.
    pub fn valid_until(&self, acceptors: usize, lease: Duration) -> Option<Duration> {
        let mut request_times: Vec<Duration> = self.requested_at.values().copied().collect();
        request_times.sort_unstable_by(|a, b| b.cmp(a));
        request_times.get(quorum(acceptors).checked_sub(1)?).map(|requested_at| *requested_at + lease)
    }
}

/// The leases that an acceptor has granted.
#[derive(Debug)]
pub struct GrantedLeases {
    last_granted_at: BTreeMap<Member, Duration>,
    /// Before that time, when the process started, an earlier one may have granted a lease to any member.
    started_at: Duration,
}

impl GrantedLeases {
    /// No leases granted yet, for a process that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { last_granted_at: BTreeMap::new(), started_at: now }
    }

    /// Records a lease granted to a member.
    pub fn grant(&mut self, member: Member, now: Duration) {
        self.last_granted_at.insert(member, now);
    }

    /// Whether all leases granted to a member have expired.
    pub fn is_expired(&self, member: Member, now: Duration, lease: Duration) -> bool {
        let last_granted_at = self.last_granted_at.get(&member).copied().unwrap_or(self.started_at);
        now > last_granted_at + with_drift(lease)
    }

    /// Answers a lease request with the highest number whose activation was granted. It is a lease only if
    /// the member has that revision active.
    pub fn answer(
        &mut self, member: Member, now: Duration, granted_through: Number, active: Number,
    ) -> Number {
        if granted_through <= active {
            self.grant(member, now);
        }
        granted_through
    }
}
