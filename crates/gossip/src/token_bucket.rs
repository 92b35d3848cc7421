//! A token bucket: filled at a constant rate, up to a capacity.

use std::time::Duration;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, capacity: f64, now: Duration) -> Self {
        Self { rate, capacity, tokens: capacity, updated_at: now }
    }

    /// The tokens available at `now`.
    pub fn available(&mut self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
        self.tokens
    }

    /// Takes `cost` tokens if they are available. Returns whether it did.
    pub fn take(&mut self, now: Duration, cost: f64) -> bool {
        let is_available = self.available(now) >= cost;
        self.tokens -= if is_available { cost } else { 0.0 };
        is_available
    }
}
