//! The byte budget of the datagrams that a member sends.

use std::time::Duration;

use crate::token_bucket::TokenBucket;

/// Sustained rate in payload bytes a second: some 19 full datagrams, enough for 39 statements a second, and
/// some four hundred-thousandths of what a controller with 2,000 subscriptions relays.
const BYTES_PER_SECOND: f64 = 5000.0;
/// Burst in payload bytes above the sustained rate: eight full datagrams, a probe with its helpers.
const BURST_BYTES: f64 = 2000.0;
/// Payload bytes that a member never exceeds in any second, whatever the number of members.
pub const MAX_BYTES_PER_SECOND: usize = (BYTES_PER_SECOND + BURST_BYTES) as usize;
/// Payload bytes reserved for probes and their answers, since a member that does not answer is taken for
/// dead.
const RESERVED_FOR_PROBES_BYTES: f64 = 1000.0;

/// A token bucket with one token for each payload byte.
#[derive(Clone, Debug)]
pub struct Budget(TokenBucket);

impl Budget {
    /// A full budget.
    pub fn new(now: Duration) -> Self {
        Self(TokenBucket::new(BYTES_PER_SECOND, BURST_BYTES, now))
    }

    /// Takes this number of bytes for a probe or its answer, if they are available.
    pub fn take(&mut self, now: Duration, bytes: usize) -> bool {
        self.0.take(now, bytes as f64)
    }

    /// Whether statements may be sent: the bytes reserved for probes remain available.
    pub fn has_reserve(&mut self, now: Duration, bytes: usize) -> bool {
        self.0.available(now) >= RESERVED_FOR_PROBES_BYTES.max(bytes as f64)
    }
}
