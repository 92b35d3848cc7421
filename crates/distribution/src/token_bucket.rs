//! A token bucket rate limiter.

use std::time::Duration;

/// A token bucket that refills at a steady rate up to a burst. More tokens may be spent than are available;
/// then nothing is allowed until the debt is refilled.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    /// The tokens at `updated_at`; negative after overspending.
    level: f64,
    /// When `level` was last updated.
    updated_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_second: f64, burst: f64, now: Duration) -> Self {
        Self { per_second, burst, level: burst, updated_at: now }
    }

    /// The tokens at a point in time.
    fn level(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.level + since * self.per_second).min(self.burst)
    }

    /// Whether tokens are available.
    pub fn has_tokens(&self, now: Duration) -> bool {
        self.level(now) > 0.0
    }

    /// Spends tokens, more than are available if necessary.
    pub fn spend(&mut self, now: Duration, amount: f64) {
        self.level = self.level(now) - amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Spends one token, if one is available.
    pub fn try_spend_one(&mut self, now: Duration) -> bool {
        let enough = self.level(now) >= 1.0;
        if enough {
            self.spend(now, 1.0);
        }
        enough
    }

    /// The latest time at which one token is available.
    pub fn next_at(&self, now: Duration) -> Duration {
        let missing = (1.0 - self.level(now)).max(0.0);
        now + Duration::from_secs_f64(missing / self.per_second)
    }
}
