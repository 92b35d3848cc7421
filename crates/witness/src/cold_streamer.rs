//! The capacity of a streamer that has just started.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_deployment::Rules;

/// The set-ups of a cold streamer. It accepts its full capacity over its warm-up time, scaled by how far it
/// has warmed up; more than a given multiple of that within the window, from all controllers together,
/// overloads it.
#[derive(Debug)]
pub struct ColdStreamer {
    started_at: Duration,
    /// Set-ups per second at full capacity.
    rate: f64,
    /// Fraction of the rate that it accepts at its start.
    initial_warmth: f64,
    warm_up: Duration,
    window: Duration,
    multiple: f64,
    recent_set_ups: VecDeque<Duration>,
    overloaded: bool,
}

/// Set-ups over the budget that are tolerated: joins are whole, and a window holds only a few.
const SLACK: f64 = 1.0;

impl ColdStreamer {
    /// A streamer that started at this time, with this capacity in sessions.
    pub fn new(started_at: Duration, capacity: f64, rules: &Rules) -> Self {
        let warm_up = Duration::from_millis(rules.warm_up_ms);
        Self {
            started_at,
            rate: capacity / warm_up.as_secs_f64().max(1e-3),
            initial_warmth: rules.cold_from,
            warm_up,
            window: Duration::from_millis(rules.tip_after_ms),
            multiple: rules.tip_multiple,
            recent_set_ups: VecDeque::new(),
            overloaded: false,
        }
    }

    /// Whether it is still warming up, so that the rule applies.
    pub fn is_warming_up(&self, now: Duration) -> bool {
        !self.window.is_zero() && now < self.started_at + self.warm_up
    }

    /// The set-ups that may be sent from the start to an age: the rate times the integral of the warmth,
    /// which grows linearly.
    fn budget_until(&self, age_s: f64) -> f64 {
        let warm_up_s = self.warm_up.as_secs_f64();
        self.multiple
            * self.rate
            * (self.initial_warmth * age_s + (1.0 - self.initial_warmth) * age_s * age_s / (2.0 * warm_up_s))
    }

    /// Records a set-up, and returns whether it overloads the streamer.
    pub fn record_set_up(&mut self, now: Duration) -> bool {
        self.recent_set_ups.push_back(now);
        while self.recent_set_ups.front().is_some_and(|at| *at + self.window < now) {
            self.recent_set_ups.pop_front();
        }
        let age_s = (now - self.started_at).as_secs_f64();
        let window_start_s = (age_s - self.window.as_secs_f64()).max(0.0);
        // A window that began before the start gets the budget of a whole window from the start on.
        let age_s = age_s.max(self.window.as_secs_f64());
        let max = self.budget_until(age_s) - self.budget_until(window_start_s) + SLACK;
        let overloads = !self.overloaded && self.recent_set_ups.len() as f64 > max;
        self.overloaded |= overloads;
        overloads
    }
}
