//! Token bucket over one controller's share of the cross-zone rate limit.

use std::time::Duration;

/// A token bucket for this controller's own share. It starts empty: a controller that is killed and restarted within one
/// window must not get the burst twice.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// This controller's share of the rate, in kB/s.
    share: f64,
    /// This controller's share of the burst, in kB.
    burst: f64,
    /// Fill level in kB; negative when overdrawn.
    level: f64,
    updated_at: Duration,
    /// Moving average of measured kB per planned kB: actual rates differ from the ladder's nominal ones.
    measured_to_planned: f64,
}

/// The fraction of the available rate that is planned; the rest absorbs rates that vary between two plans. With 0.9 the
/// simulated totals stay within the limit in all windows; with 1.0 half of the windows need the burst.
const PLANNED_FRACTION: f64 = 0.9;
/// Time in which an overdrawn bucket is refilled by planning less. Shorter times lower rungs because of noise.
const REPAYMENT_TIME: Duration = Duration::from_secs(2);

impl TokenBucket {
    /// `rate` (kB/s) and `burst` (kB) are those of the whole limit, shared equally by `controllers`.
    pub fn new(rate: f64, burst: f64, controllers: u32, now: Duration) -> Self {
        let share_count = f64::from(controllers.max(1));
        Self {
            share: rate / share_count,
            burst: burst / share_count,
            level: 0.0,
            updated_at: now,
            measured_to_planned: 1.0,
        }
    }

    /// This controller's share of the rate, in kB/s.
    pub fn rate_share(&self) -> f64 {
        self.share
    }

    /// The fill level in kB; negative when overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Refills the bucket at `available_rate` (kB/s) since the last call, and takes out the `spent_kb` that crossed in that
    /// time, of which `planned_kb` was expected.
    pub fn record_usage(&mut self, now: Duration, available_rate: f64, spent_kb: f64, planned_kb: f64) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.level = (self.level + available_rate * elapsed_s - spent_kb).min(self.burst);
        if planned_kb > 0.0 && spent_kb > 0.0 {
            // A new value weighs a fifth, which smooths the noise of single plans.
            self.measured_to_planned =
                (0.8 * self.measured_to_planned + 0.2 * spent_kb / planned_kb).clamp(0.7, 1.5);
        }
    }

    /// The nominal rate in kB/s that may be planned now, out of `available_rate`.
    pub fn plannable_rate(&self, available_rate: f64) -> f64 {
        let repayment_rate = (-self.level).max(0.0) / REPAYMENT_TIME.as_secs_f64();
        ((PLANNED_FRACTION * available_rate - repayment_rate) / self.measured_to_planned.max(1.0)).max(0.0)
    }
}
