//! The ceiling of what a member sends.

use std::time::Duration;

use crate::token_bucket::TokenBucket;

/// Payload bytes a second in the long run: some 19 full datagrams, enough to tell 39 statements a second, and some
/// four in a hundred thousand of what a controller with 2,000 subscriptions relays.
const RATE: f64 = 5000.0;
/// What may go at once beyond that: eight full datagrams, a probe with its helpers.
const BURST: f64 = 2000.0;
/// Payload bytes that a member never sends more of in any second, whatever the number of members.
pub const MAX_BYTES_PER_SECOND: usize = (RATE + BURST) as usize;
/// What is left for probes and their answers: a member that does not answer is held for dead.
const KEPT_FOR_PROBES: f64 = 1000.0;

/// A bucket with a token for each payload byte.
#[derive(Clone, Debug)]
pub struct Budget(TokenBucket);

impl Budget {
    pub fn new(now: Duration) -> Self {
        Self(TokenBucket::new(RATE, BURST, now))
    }

    /// Takes so many bytes for a probe or its answer, if they may go now.
    pub fn take(&mut self, now: Duration, bytes: usize) -> bool {
        self.0.take(now, bytes as f64)
    }

    /// Whether news may be spread: so much is left that probes are not held up by it.
    pub fn spares(&mut self, now: Duration, bytes: usize) -> bool {
        self.0.available(now) >= KEPT_FOR_PROBES.max(bytes as f64)
    }
}
