//! Local health (Lifeguard, section 4.1): a member that misses much suspects itself first.

use std::time::Duration;

/// Points at most: timeouts grow to this many times and one.
const MAX_POINTS: u32 = 8;
/// Woken so much later than asked for, a member was stalled, and what it missed says nothing about others.
const STALL: Duration = Duration::from_millis(400);

#[derive(Clone, Debug, Default)]
pub struct Health {
    points: u32,
}

impl Health {
    pub fn improve(&mut self) {
        self.points = self.points.saturating_sub(1);
    }

    pub fn worsen(&mut self, by: u32) {
        self.points = (self.points + by).min(MAX_POINTS);
    }

    pub fn points(&self) -> u32 {
        self.points
    }

    /// A timeout, longer while the member does not trust itself.
    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.points + 1)
    }

    /// Whether a wake came so late that the member must have stood still.
    pub fn stalled(due: Duration, now: Duration) -> Option<Duration> {
        now.checked_sub(due).filter(|late| *late > STALL)
    }
}
