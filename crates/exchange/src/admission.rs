//! Whether there is room for one more subscription, and when a viewer that is turned away may come back.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_core::random::Rng;

/// Room at a controller, by count: what one subscription holds there (two connections, buffers, a record) is much
/// the same for all.
pub struct Admission {
    most: usize,
    held: usize,
    chance: Rng,
    /// When subscriptions left, of late: the pace at which room comes free.
    left: VecDeque<Duration>,
    /// Until when viewers that were turned away have been asked to stay away, as places in a queue.
    asked_back: Duration,
}

/// How far back departures are counted: some tens of them at the pace that a full controller has.
const COUNTED_OVER: Duration = Duration::from_secs(10);
/// Departures kept at most: far more than matter for a pace.
const KEPT: usize = 1024;
/// The shortest and the longest time that is named. Half a second is what the module names; a viewer that is
/// asked to stay away for over 8 s comes back sooner by itself, or not at all.
const SHORTEST: Duration = Duration::from_millis(500);
const LONGEST: Duration = Duration::from_secs(8);

impl Admission {
    pub fn new(most: usize, seed: u64) -> Self {
        Self { most, held: 0, chance: Rng(seed), left: VecDeque::new(), asked_back: Duration::ZERO }
    }

    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes a subscription in, or names when the viewer may come back. Viewers that are turned away while the
    /// controller is full are given places in a queue that moves at the pace of departures, so that they come
    /// back as room does, not all at once (a wave of them would be turned away again, whole). Harm: where the
    /// pace picks up, the last of a queue wait longer than they had to, at most [`LONGEST`].
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        if self.held < self.most {
            self.held += 1;
            return Ok(());
        }
        let turn = Duration::from_secs_f64(1.0 / self.pace(now));
        self.asked_back = self.asked_back.max(now + SHORTEST).min(now + LONGEST) + turn;
        let wait = self.asked_back.saturating_sub(now).min(LONGEST);
        // A random part up to a quarter: controllers that filled up together must not call all back together.
        Err(wait.mul_f64(1.0 - 0.25 * self.chance.unit_interval()).max(SHORTEST))
    }

    pub fn leave(&mut self, now: Duration) {
        self.held = self.held.saturating_sub(1);
        self.left.push_back(now);
        if self.left.len() > KEPT {
            self.left.pop_front();
        }
    }

    /// Departures a second; one where none are known of.
    fn pace(&mut self, now: Duration) -> f64 {
        while self.left.front().is_some_and(|at| *at + COUNTED_OVER < now) {
            self.left.pop_front();
        }
        (self.left.len() as f64 / COUNTED_OVER.as_secs_f64()).max(1.0)
    }
}
