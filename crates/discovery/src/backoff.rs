//! When to try again what did not work.

use std::time::Duration;

use badgerledge_core::chance::Chance;

/// Waits that double up to a bound, each cut by chance to between a half and all of it: many controllers that lost
/// one service at one moment come back to it spread out, and do not come in step.
pub struct Backoff {
    first: Duration,
    most: Duration,
    tries: u32,
    chance: Chance,
}

impl Backoff {
    pub fn new(first: Duration, most: Duration, seed: u64) -> Self {
        Self { first, most: most.max(first), tries: 0, chance: Chance(seed) }
    }

    /// The wait before the next try.
    pub fn wait(&mut self) -> Duration {
        // Ten doublings are a thousandfold, over any bound that is set here.
        let whole = self.first.saturating_mul(1 << self.tries.min(10)).min(self.most);
        self.tries = self.tries.saturating_add(1);
        whole / 2 + (whole / 2).mul_f64(self.chance.share())
    }

    /// It worked.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
