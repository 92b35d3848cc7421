//! A token bucket: it fills at a rate, up to a most.

use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    most: f64,
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// A full one.
    pub fn new(rate: f64, most: f64, now: Duration) -> Self {
        Self { rate, most, tokens: most, at: now }
    }

    /// What is in it now.
    pub fn available(&mut self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.most);
        self.at = self.at.max(now);
        self.tokens
    }

    /// Takes so much, if it is there.
    pub fn take(&mut self, now: Duration, cost: f64) -> bool {
        let may = self.available(now) >= cost;
        self.tokens -= if may { cost } else { 0.0 };
        may
    }
}
