//! Nonces that were drawn, and the lease that came of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::lease::{LeaseFault, Nonce, LEASE};

/// Nonces that are kept for their answers: more than two connections ask with in a lease.
const MOST_NONCES: usize = 16;

/// The lease of a watcher, and its requests that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct LeaseRequests {
    /// When each nonce was drawn.
    drawn: BTreeMap<Nonce, Duration>,
    until: Option<Duration>,
    /// What the last proof lacked, if it came from a quorum that had allowed a higher revision.
    behind: bool,
    /// Until when the last lease for which control machines vouched lasts.
    regional_until: Option<Duration>,
    /// The same of the last one that acceptors granted.
    granted_until: Option<Duration>,
}

impl LeaseRequests {
    /// A nonce was drawn now, for a request that goes out after that.
    pub fn drew(&mut self, now: Duration, nonce: Nonce) {
        self.drawn.retain(|_, at| *at + LEASE > now);
        while self.drawn.len() >= MOST_NONCES {
            let oldest = self.drawn.iter().min_by_key(|(_, at)| **at).map(|(nonce, _)| *nonce);
            oldest.map(|nonce| self.drawn.remove(&nonce));
        }
        self.drawn.insert(nonce, now);
    }

    pub fn is_open(&self, nonce: &Nonce) -> bool {
        self.drawn.contains_key(nonce)
    }

    /// What a proof over an open nonce showed. A lease counts from when its nonce was drawn.
    pub fn answered(&mut self, nonce: &Nonce, shown: Result<(), LeaseFault>) {
        let Some(drawn) = self.drawn.remove(nonce) else { return };
        match shown {
            Ok(()) => {
                self.granted_until = self.granted_until.max(Some(drawn + LEASE));
                self.until = self.until.max(self.granted_until);
                self.behind = false;
            }
            Err(LeaseFault::Behind(_)) => self.behind = true,
            Err(_) => {}
        }
    }

    /// The same where control machines vouched in the place of acceptors.
    pub fn vouched(&mut self, nonce: &Nonce, shown: Result<(), LeaseFault>) {
        let Some(drawn) = self.drawn.remove(nonce).filter(|_| shown.is_ok()) else { return };
        self.regional_until = self.regional_until.max(Some(drawn + LEASE));
        self.until = self.until.max(self.regional_until);
    }

    /// Whether a lease lasts that only rests on control machines that vouched.
    pub fn is_regional(&self, now: Duration) -> bool {
        self.is_held(now) && self.granted_until.is_none_or(|until| until <= now)
    }

    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    pub fn is_held(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the last answer of a quorum said that a higher revision is allowed.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// The revision that is acted on is a higher one now.
    pub fn activated(&mut self) {
        self.behind = false;
    }
}
