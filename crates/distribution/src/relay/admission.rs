//! Limits the rate at which watchers are admitted, for instance when all watchers of a zone start at once.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::control::ConnectionId;
use crate::token_bucket::TokenBucket;

/// The number of watchers admitted per second, and in a burst.
const ADMISSIONS_PER_SECOND: f64 = 100.0;
const ADMISSION_BURST: f64 = 100.0;
/// The maximum number of watchers in the queue. A watcher tries its next relay after a second without an
/// answer, so further ones would wait in vain; they are rejected immediately with a time to retry after.
const MAX_WAITING: usize = 80;
/// The shortest time after which a rejected watcher retries. A random delay of at most the same length is
/// added.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(4);

/// The decision on a watcher that asks to be admitted.
pub(crate) enum AdmissionDecision {
    Now,
    Queued,
    /// Rejected: this many are waiting already.
    Rejected(usize),
}

/// Admits watchers at a limited rate.
pub(crate) struct Admission {
    tokens: TokenBucket,
    waiting: VecDeque<ConnectionId>,
    /// Spreads the retries of watchers that were rejected recently.
    rejected: TokenBucket,
}

impl Admission {
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: TokenBucket::new(ADMISSIONS_PER_SECOND, ADMISSION_BURST, now),
            waiting: VecDeque::new(),
            rejected: TokenBucket::new(ADMISSIONS_PER_SECOND, 1.0, now),
        }
    }

    pub fn request(&mut self, now: Duration, id: ConnectionId) -> AdmissionDecision {
        if self.waiting.is_empty() && self.tokens.try_spend_one(now) {
            return AdmissionDecision::Now;
        }
        if self.waiting.len() >= MAX_WAITING {
            return AdmissionDecision::Rejected(self.waiting.len());
        }
        self.waiting.push_back(id);
        AdmissionDecision::Queued
    }

    /// The next waiting watcher, if it may be admitted now.
    pub fn next(&mut self, now: Duration) -> Option<ConnectionId> {
        if self.waiting.is_empty() || !self.tokens.try_spend_one(now) {
            return None;
        }
        self.waiting.pop_front()
    }

    pub fn remove(&mut self, id: ConnectionId) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// When a rejected watcher is to retry: after those rejected before it, plus a random delay, so that they
    /// do not retry at the same time.
    pub fn retry_after(&mut self, now: Duration, rng: &mut Rng) -> Duration {
        self.rejected.spend(now, 1.0);
        let queue_delay = self.rejected.next_at(now).saturating_sub(now);
        MIN_RETRY_AFTER + queue_delay + rng.random_duration(MIN_RETRY_AFTER)
    }
}
