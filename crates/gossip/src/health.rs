//! Local health (Lifeguard, section 4.1): a member that misses many answers suspects itself before others.

use std::time::Duration;

/// Maximum score; timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 8;
/// If a member wakes this much later than requested, its process was stalled, and the answers that it missed
/// are not held against others.
const MAX_WAKE_UP_DELAY: Duration = Duration::from_millis(400);

/// The local health score: 0 is healthy.
#[derive(Clone, Debug, Default)]
pub struct Health {
    points: u32,
}

impl Health {
    /// Lowers the score by one.
    pub fn improve(&mut self) {
        self.points = self.points.saturating_sub(1);
    }

    /// Raises the score by `by`, up to the maximum.
    pub fn worsen(&mut self, amount: u32) {
        self.points = (self.points + amount).min(MAX_SCORE);
    }

    /// The current score.
    pub fn points(&self) -> u32 {
        self.points
    }

    /// A timeout, extended in proportion to the score.
    pub fn stretch(&self, timeout: Duration) -> Duration {
        timeout * (self.points + 1)
    }

    /// How late a wake-up was, if the process must have been stalled.
    pub fn stalled(due: Duration, now: Duration) -> Option<Duration> {
        now.checked_sub(due).filter(|late| *late > MAX_WAKE_UP_DELAY)
    }
}
