//! What one controller may spend.

use std::time::Duration;

/// A token bucket on this controller's own share. It is empty at birth: a controller that is killed and reborn in
/// one window must not get the burst twice.
#[derive(Clone, Debug)]
pub struct SharedBucket {
    /// This controller's own share, kB a second, and of the burst, kB.
    share: f64,
    burst: f64,
    level: f64,
    at: Duration,
    /// kB that a nominal kB came to, of late: true rates lie off the ladder's.
    stretch: f64,
}

/// The share of the rate that is planned for: the rest is for rates that vary between two plans. With 0.9 the
/// simulated totals stay under the budget in all windows; with 1.0 half of the windows need the burst.
const PLANNED_SHARE: f64 = 0.9;
/// An overdrawn bucket pays back within this time, by planning less. Shorter times lower rungs for noise.
const PAY_BACK_WITHIN: Duration = Duration::from_secs(2);

impl SharedBucket {
    /// `rate` (kB a second) and `burst` (kB) are the whole budget's, shared by so many controllers.
    pub fn new(rate: f64, burst: f64, controllers: u32, now: Duration) -> Self {
        let parts = f64::from(controllers.max(1));
        Self { share: rate / parts, burst: burst / parts, level: 0.0, at: now, stretch: 1.0 }
    }

    pub fn share(&self) -> f64 {
        self.share
    }

    pub fn level(&self) -> f64 {
        self.level
    }

    /// Notes what crossed since the last time, at a rate of `owned`, and what of it was planned, kB.
    pub fn spend(&mut self, now: Duration, owned: f64, spent: f64, planned: f64) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + owned * span - spent).min(self.burst);
        if planned > 0.0 && spent > 0.0 {
            // A fifth of the news each time: noise of one plan is not the rate.
            self.stretch = (0.8 * self.stretch + 0.2 * spent / planned).clamp(0.7, 1.5);
        }
    }

    /// The nominal rate that may be planned now, of the `owned` one.
    pub fn may_plan(&self, owned: f64) -> f64 {
        let short = (-self.level).max(0.0) / PAY_BACK_WITHIN.as_secs_f64();
        ((PLANNED_SHARE * owned - short) / self.stretch.max(1.0)).max(0.0)
    }
}
