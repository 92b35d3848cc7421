//! The ceiling of what a member sends.

use std::time::Duration;

/// Payload bytes a second in the long run: some 19 full datagrams, enough to tell 39 statements a second, and some
/// four in a hundred thousand of what a controller with 2,000 subscriptions relays.
const RATE: f64 = 5000.0;
/// What may go at once beyond that: eight full datagrams, a probe with its helpers.
const BURST: f64 = 2000.0;
/// Payload bytes that a member never sends more of in any second, whatever the number of members.
pub const CEILING: usize = (RATE + BURST) as usize;
/// What is left for probes and their answers: a member that does not answer is held for dead.
const KEPT_FOR_PROBES: f64 = 1000.0;

/// A bucket of tokens, one for each payload byte.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    at: Duration,
}

impl Budget {
    pub fn new(now: Duration) -> Self {
        Self { tokens: BURST, at: now }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        self.at = self.at.max(now);
    }

    /// Takes so many bytes for a probe or its answer, if they may go now.
    pub fn take(&mut self, now: Duration, bytes: usize) -> bool {
        self.fill(now);
        let may = self.tokens >= bytes as f64;
        self.tokens -= if may { bytes as f64 } else { 0.0 };
        may
    }

    /// Whether news may go: so much is left that probes are not held up by it.
    pub fn spares(&mut self, now: Duration, bytes: usize) -> bool {
        self.fill(now);
        self.tokens >= KEPT_FOR_PROBES.max(bytes as f64)
    }
}
