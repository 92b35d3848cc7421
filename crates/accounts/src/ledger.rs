//! The counters of one controller, in total and by time window.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::sketch::Heaviest;

/// Identifies a counter: the streamer's zone, the controller's zone and the room type. Where both zones are the same, the
/// traffic stayed within the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub from: String,
    pub to: String,
    pub room_type: String,
}

impl Key {
    /// Whether the traffic is between two zones.
    pub fn crosses(&self) -> bool {
        self.from != self.to
    }
}

/// Counters of one key. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    pub media_bytes: u64,
    pub control_bytes: u64,
    pub subscription_ms: u64,
    pub set_ups: u64,
    /// Estimate of the media bytes that were not counted because of a restart.
    pub unseen_bytes: u64,
    /// The largest error of `unseen_bytes` in either direction.
    pub unseen_error: u64,
}

impl Amount {
    /// All bytes, including the estimate.
    pub fn bytes(&self) -> u64 {
        self.media_bytes + self.control_bytes + self.unseen_bytes
    }

    /// Adds each counter of `increment`.
    pub fn add(&mut self, increment: &Amount) {
        self.combine(increment, |a, b| a + b);
    }

    /// Takes the maximum of each counter.
    pub fn join(&mut self, other: &Amount) {
        self.combine(other, u64::max);
    }

    fn combine(&mut self, other: &Amount, function: impl Fn(u64, u64) -> u64) {
        self.media_bytes = function(self.media_bytes, other.media_bytes);
        self.control_bytes = function(self.control_bytes, other.control_bytes);
        self.subscription_ms = function(self.subscription_ms, other.subscription_ms);
        self.set_ups = function(self.set_ups, other.set_ups);
        self.unseen_bytes = function(self.unseen_bytes, other.unseen_bytes);
        self.unseen_error = function(self.unseen_error, other.unseen_error);
    }
}

/// The length of a time window.
pub const WINDOW: Duration = Duration::from_secs(10);
/// The number of windows that are retained: two hours. Older traffic is only in the total.
pub const WINDOWS: usize = 720;

pub(crate) type Sums = BTreeMap<Key, Amount>;

/// One controller's counters in total and by window of wall-clock time, and its titles with the most bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) version: u64,
    pub(crate) whole: Sums,
    pub(crate) windows: BTreeMap<u64, Sums>,
    pub(crate) titles: Heaviest,
}

impl Ledger {
    /// Counts the traffic since the previous call. `unix_time` is the wall-clock time since 1970-01-01.
    pub fn count(&mut self, unix_time: Duration, key: &Key, title: u64, increment: &Amount) {
        self.version += 1;
        add(&mut self.whole, key, increment);
        let window = unix_time.as_secs() / WINDOW.as_secs();
        add(self.windows.entry(window).or_default(), key, increment);
        self.drop_old_windows();
        if key.crosses() && increment.bytes() > 0 {
            self.titles.add(title, increment.bytes());
        }
    }

    pub(crate) fn drop_old_windows(&mut self) {
        while self.windows.len() > WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Estimates the traffic that was lost when this controller was killed: it may have continued at its last rate for up
    /// to `store_interval` after the last write. Half of that is both the estimate and its error.
    pub fn estimate_unseen(&mut self, unix_time: Duration, store_interval: Duration) {
        let last_window = self.windows.last_key_value().map(|(_, sums)| sums.clone()).unwrap_or_default();
        let fraction = store_interval.as_secs_f64() / WINDOW.as_secs_f64() / 2.0;
        for (key, amount) in last_window {
            let half = (amount.media_bytes as f64 * fraction) as u64;
            let unseen = Amount { unseen_bytes: half, unseen_error: half, ..Amount::default() };
            // Counted for no title: the titles of the lost traffic are not known.
            self.version += 1;
            add(&mut self.whole, &key, &unseen);
            add(self.windows.entry(unix_time.as_secs() / WINDOW.as_secs()).or_default(), &key, &unseen);
        }
        self.drop_old_windows();
    }

    /// Takes the maximum of each counter, and the titles of the later version.
    pub fn join(&mut self, other: &Self) {
        join(&mut self.whole, &other.whole);
        for (window, sums) in &other.windows {
            join(self.windows.entry(*window).or_default(), sums);
        }
        self.drop_old_windows();
        let other_order = (other.version, other.titles.titles().map(|title| title.1).sum::<u64>());
        if other_order > (self.version, self.titles.titles().map(|title| title.1).sum::<u64>()) {
            self.titles = other.titles.clone();
        }
        self.version = self.version.max(other.version);
    }
}

fn add(sums: &mut Sums, key: &Key, increment: &Amount) {
    match sums.get_mut(key) {
        Some(sum) => sum.add(increment),
        None => {
            sums.insert(key.clone(), *increment);
        }
    }
}

fn join(sums: &mut Sums, other: &Sums) {
    for (key, amount) in other {
        sums.entry(key.clone()).or_default().join(amount);
    }
}
