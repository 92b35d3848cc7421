//! A token bucket: what is spent comes back at a steady rate, up to a burst.

use std::time::Duration;

/// Tokens of one kind. More may be spent than there are; then nothing is allowed until the debt is paid off.
#[derive(Clone, Debug)]
pub(crate) struct Tokens {
    per_second: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl Tokens {
    pub fn new(per_second: f64, burst: f64, now: Duration) -> Self {
        Self { per_second, burst, level: burst, at: now }
    }

    fn level(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        (self.level + since * self.per_second).min(self.burst)
    }

    /// Whether there are any.
    pub fn any(&self, now: Duration) -> bool {
        self.level(now) > 0.0
    }

    pub fn spend(&mut self, now: Duration, amount: f64) {
        self.level = self.level(now) - amount;
        self.at = self.at.max(now);
    }

    /// Spends one, if there is one.
    pub fn try_one(&mut self, now: Duration) -> bool {
        let enough = self.level(now) >= 1.0;
        if enough {
            self.spend(now, 1.0);
        }
        enough
    }

    /// When there are some again at the latest.
    pub fn next_at(&self, now: Duration) -> Duration {
        let lacks = (1.0 - self.level(now)).max(0.0);
        now + Duration::from_secs_f64(lacks / self.per_second)
    }
}
