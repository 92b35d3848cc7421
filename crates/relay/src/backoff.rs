//! Pauses between tries to connect.

use std::time::Duration;

use badgerledge_core::random::Rng;

const FIRST: Duration = Duration::from_millis(100);
/// A control machine that is back is connected to within this, and its half again.
const LONGEST: Duration = Duration::from_secs(2);

/// Doubles with each failed try up to a bound. Each pause is drawn between a half and the whole of it, so that machines
/// that lost a peer at once don't come back at once.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { pause: FIRST }
    }
}

impl Backoff {
    /// How long to wait after one more failed try.
    pub fn next(&mut self, chance: &mut Rng) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST);
        pause / 2 + chance.random_duration(pause / 2)
    }

    /// A try succeeded.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
