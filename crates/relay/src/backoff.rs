//! Exponential backoff with jitter between connection attempts.

use std::time::Duration;

use badgerledge_core::random::Rng;

const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of a pause. A restarted control machine is connected again within this time and half as much again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A pause that doubles with each failed attempt, up to [`MAX_PAUSE`]. Each returned pause is random between half and all
/// of it, so that machines that lost a peer at the same time do not reconnect at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { pause: INITIAL_PAUSE }
    }
}

impl Backoff {
    /// The pause after one more failed attempt.
    pub fn next(&mut self, rng: &mut Rng) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause / 2 + rng.random_duration(pause / 2)
    }

    /// Starts over with the initial pause after a successful attempt.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
