//! The counters of one controller, in total and by time window.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::sketch::TopTitles;

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
    pub fn crosses_zones(&self) -> bool {
        self.from != self.to
    }
}

/// Counters of one key. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCounters {
    pub media_bytes: u64,
    pub control_bytes: u64,
    pub subscription_ms: u64,
    pub set_ups: u64,
    /// Estimate of the media bytes that were not counted because of a restart.
    pub unseen_bytes: u64,
    /// The largest error of `unseen_bytes` in either direction.
    pub unseen_error: u64,
}

impl TrafficCounters {
    /// All bytes, including the estimate.
    pub fn bytes(&self) -> u64 {
        self.media_bytes + self.control_bytes + self.unseen_bytes
    }

    /// Adds each counter of `increment`.
    pub fn add(&mut self, increment: &TrafficCounters) {
        self.combine(increment, |a, b| a + b);
    }

    /// Takes the maximum of each counter.
    pub fn merge(&mut self, other: &TrafficCounters) {
        self.combine(other, u64::max);
    }

    fn combine(&mut self, other: &TrafficCounters, function: impl Fn(u64, u64) -> u64) {
        self.media_bytes = function(self.media_bytes, other.media_bytes);
        self.control_bytes = function(self.control_bytes, other.control_bytes);
        self.subscription_ms = function(self.subscription_ms, other.subscription_ms);
        self.set_ups = function(self.set_ups, other.set_ups);
        self.unseen_bytes = function(self.unseen_bytes, other.unseen_bytes);
        self.unseen_error = function(self.unseen_error, other.unseen_error);
    }
}

/// The length of a time window.
pub const WINDOW_LENGTH: Duration = Duration::from_secs(10);
/// The number of windows that are retained: two hours. Older traffic is only in the total.
pub const MAX_WINDOWS: usize = 720;

pub(crate) type Sums = BTreeMap<Key, TrafficCounters>;

/// One controller's counters in total and by window of wall-clock time, and its titles with the most bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) version: u64,
    pub(crate) total: Sums,
    pub(crate) windows: BTreeMap<u64, Sums>,
    pub(crate) titles: TopTitles,
}

impl Ledger {
    /// Counts the traffic since the previous call. `unix_time` is the wall-clock time since 1970-01-01.
    pub fn count(&mut self, unix_time: Duration, key: &Key, title: u64, increment: &TrafficCounters) {
        self.version += 1;
        add(&mut self.total, key, increment);
        let window = unix_time.as_secs() / WINDOW_LENGTH.as_secs();
        add(self.windows.entry(window).or_default(), key, increment);
        self.drop_old_windows();
        if key.crosses_zones() && increment.bytes() > 0 {
            self.titles.add(title, increment.bytes());
        }
    }

    pub(crate) fn drop_old_windows(&mut self) {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Estimates the traffic that was lost when this controller was killed: it may have continued at its last rate for up
    /// to `store_interval` after the last write. Half of that is both the estimate and its error.
    pub fn estimate_unseen(&mut self, unix_time: Duration, store_interval: Duration) {
        let last_window = self.windows.last_key_value().map(|(_, sums)| sums.clone()).unwrap_or_default();
        let fraction = store_interval.as_secs_f64() / WINDOW_LENGTH.as_secs_f64() / 2.0;
        for (key, counters) in last_window {
            let half = (counters.media_bytes as f64 * fraction) as u64;
            let unseen =
                TrafficCounters { unseen_bytes: half, unseen_error: half, ..TrafficCounters::default() };
            // Counted for no title: the titles of the lost traffic are not known.
            self.version += 1;
            add(&mut self.total, &key, &unseen);
            add(
                self.windows.entry(unix_time.as_secs() / WINDOW_LENGTH.as_secs()).or_default(),
                &key,
                &unseen,
            );
        }
        self.drop_old_windows();
    }

    /// Takes the maximum of each counter, and the titles of the later version.
    pub fn merge(&mut self, other: &Self) {
        merge_sums(&mut self.total, &other.total);
        for (window, sums) in &other.windows {
            merge_sums(self.windows.entry(*window).or_default(), sums);
        }
        self.drop_old_windows();
        let other_order = (other.version, other.titles.titles().map(|title| title.1).sum::<u64>());
        if other_order > (self.version, self.titles.titles().map(|title| title.1).sum::<u64>()) {
            self.titles = other.titles.clone();
        }
        self.version = self.version.max(other.version);
    }
}

fn add(sums: &mut Sums, key: &Key, increment: &TrafficCounters) {
    match sums.get_mut(key) {
        Some(sum) => sum.add(increment),
        None => {
            sums.insert(key.clone(), *increment);
        }
    }
}

fn merge_sums(sums: &mut Sums, other: &Sums) {
    for (key, counters) in other {
        sums.entry(key.clone()).or_default().merge(counters);
    }
}
