//! Delays between retries.

use std::time::Duration;

use badgerledge_core::random::Rng;

/// Exponential backoff with jitter: the delay doubles up to a maximum, and each wait is random between half
/// of the delay and all of it. Controllers that lose a service at the same moment therefore return to it
/// spread out.
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    attempts: u32,
    rng: Rng,
}

impl Backoff {
    /// A backoff from `initial_delay` to `max_delay`; `seed` starts its random numbers.
    pub fn new(initial_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Self { initial_delay, max_delay: max_delay.max(initial_delay), attempts: 0, rng: Rng(seed) }
    }

    /// The time to wait before the next attempt.
    pub fn wait(&mut self) -> Duration {
        // Ten doublings are a factor of 1,024, beyond any maximum in use.
        let full_delay = self.initial_delay.saturating_mul(1 << self.attempts.min(10)).min(self.max_delay);
        self.attempts = self.attempts.saturating_add(1);
        full_delay / 2 + (full_delay / 2).mul_f64(self.rng.unit_interval())
    }

    /// Starts over after a successful attempt.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
