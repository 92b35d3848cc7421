//! Admission control: whether there is room for one more subscription, and when a throttled viewer may retry.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_core::random::Rng;

/// Limits the number of subscriptions of a controller. A plain count suffices since all use much the same
/// resources: two connections, buffers, a record.
pub struct Admission {
    max_subscriptions: usize,
    count: usize,
    rng: Rng,
    /// When recent subscriptions ended: the rate at which room becomes free.
    departures: VecDeque<Duration>,
    /// End of the queue of throttled viewers: until when retries are already scheduled.
    scheduled_until: Duration,
}

/// Period over which departures are counted: a full controller has some tens of them in it.
const DEPARTURE_WINDOW: Duration = Duration::from_secs(10);
/// Maximum of departures stored: far more than the rate needs.
const MAX_DEPARTURES: usize = 1024;
/// Shortest and longest cool-down. Half a second is what the decision module uses; a viewer that is told to
/// stay away for more than 8 s retries sooner by itself, or not at all.
const MIN_COOL_DOWN: Duration = Duration::from_millis(500);
const MAX_COOL_DOWN: Duration = Duration::from_secs(8);

impl Admission {
    /// Admits up to `max_subscriptions`; `seed` is that of the random part of cool-downs.
    pub fn new(max_subscriptions: usize, seed: u64) -> Self {
        Self {
            max_subscriptions,
            count: 0,
            rng: Rng(seed),
            departures: VecDeque::new(),
            scheduled_until: Duration::ZERO,
        }
    }

    /// The number of admitted subscriptions.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Admits a subscription, or returns the viewer's cool-down. While the controller is full, throttled
    /// viewers are queued at the rate of departures, so that they return as room becomes free. If they all
    /// returned at once, most would be throttled again. If the rate increases later, the last of the queue
    /// wait longer than necessary, at most [`MAX_COOL_DOWN`].
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        if self.count < self.max_subscriptions {
            self.count += 1;
            return Ok(());
        }
        let interval = Duration::from_secs_f64(1.0 / self.departure_rate(now));
        self.scheduled_until =
            self.scheduled_until.max(now + MIN_COOL_DOWN).min(now + MAX_COOL_DOWN) + interval;
        let cool_down = self.scheduled_until.saturating_sub(now).min(MAX_COOL_DOWN);
        // Random part of up to a quarter, so that controllers that filled up together do not get all retries
        // together.
        Err(cool_down.mul_f64(1.0 - 0.25 * self.rng.unit_interval()).max(MIN_COOL_DOWN))
    }

    /// Frees the place of a subscription that has ended.
    pub fn leave(&mut self, now: Duration) {
        self.count = self.count.saturating_sub(1);
        self.departures.push_back(now);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.pop_front();
        }
    }

    /// Departures per second; one if there were none.
    fn departure_rate(&mut self, now: Duration) -> f64 {
        while self.departures.front().is_some_and(|at| *at + DEPARTURE_WINDOW < now) {
            self.departures.pop_front();
        }
        (self.departures.len() as f64 / DEPARTURE_WINDOW.as_secs_f64()).max(1.0)
    }
}
