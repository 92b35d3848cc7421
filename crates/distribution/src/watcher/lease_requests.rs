//! Open lease requests of a watcher, and the lease that the answers granted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::lease::{LeaseFault, Nonce, LEASE};

/// The number of nonces that are kept for their answers: more than two connections use within a lease.
const MAX_PENDING_NONCES: usize = 16;

/// The lease of a watcher, and its unanswered requests.
#[derive(Debug, Default)]
pub(super) struct LeaseRequests {
    /// Unanswered nonces, with the time at which each was drawn.
    pending: BTreeMap<Nonce, Duration>,
    /// When the lease expires, whoever granted it.
    until: Option<Duration>,
    /// Whether the last quorum of grants allowed a higher revision than the active one.
    behind: bool,
    /// When the last regional lease expires.
    regional_until: Option<Duration>,
    /// When the last lease granted by a quorum of acceptors expires.
    quorum_until: Option<Duration>,
}

impl LeaseRequests {
    /// Records a nonce that was just drawn, for a request that is sent afterwards.
    pub fn record_request(&mut self, now: Duration, nonce: Nonce) {
        self.pending.retain(|_, drawn_at| *drawn_at + LEASE > now);
        while self.pending.len() >= MAX_PENDING_NONCES {
            let oldest = self.pending.iter().min_by_key(|(_, drawn_at)| **drawn_at).map(|(nonce, _)| *nonce);
            oldest.map(|nonce| self.pending.remove(&nonce));
        }
        self.pending.insert(nonce, now);
    }

    /// Whether the nonce is recent and not answered yet.
    pub fn is_pending(&self, nonce: &Nonce) -> bool {
        self.pending.contains_key(nonce)
    }

    /// Records the verification result of a proof over an unanswered nonce. The lease counts from when the
    /// nonce was drawn.
    pub fn record_answer(&mut self, nonce: &Nonce, check: Result<(), LeaseFault>) {
        let Some(drawn_at) = self.pending.remove(nonce) else { return };
        match check {
            Ok(()) => {
                self.quorum_until = self.quorum_until.max(Some(drawn_at + LEASE));
                self.until = self.until.max(self.quorum_until);
                self.behind = false;
            }
            Err(LeaseFault::Behind(_)) => self.behind = true,
            Err(_) => {}
        }
    }

    /// Records the verification result of a regional lease proof.
    pub fn record_regional_answer(&mut self, nonce: &Nonce, check: Result<(), LeaseFault>) {
        let Some(drawn_at) = self.pending.remove(nonce).filter(|_| check.is_ok()) else { return };
        self.regional_until = self.regional_until.max(Some(drawn_at + LEASE));
        self.until = self.until.max(self.regional_until);
    }

    /// Whether the current lease is regional only.
    pub fn is_regional(&self, now: Duration) -> bool {
        self.has_lease(now) && self.quorum_until.is_none_or(|until| until <= now)
    }

    /// When the lease expires, whoever granted it.
    pub fn lease_until(&self) -> Option<Duration> {
        self.until
    }

    /// Whether the lease has not expired.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the last quorum of grants allowed a higher revision than the active one.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// A higher revision became active.
    pub fn on_activated(&mut self) {
        self.behind = false;
    }
}
