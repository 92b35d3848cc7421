//! What one controller counts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::sketch::Heaviest;

/// What is counted together: from the streamer's building to the controller's, for one room type. Where both are
/// one, nothing crossed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub from: String,
    pub to: String,
    pub room_type: String,
}

impl Key {
    pub fn crosses(&self) -> bool {
        self.from != self.to
    }
}

/// Sums. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    pub media_bytes: u64,
    pub control_bytes: u64,
    pub subscription_ms: u64,
    pub set_ups: u64,
    /// Media that was not seen, as estimated, and by how much the estimate may be off either way.
    pub unseen_bytes: u64,
    pub unseen_error: u64,
}

impl Amount {
    /// All bytes that crossed, as far as is known.
    pub fn bytes(&self) -> u64 {
        self.media_bytes + self.control_bytes + self.unseen_bytes
    }

    pub fn add(&mut self, more: &Amount) {
        self.each(more, |a, b| a + b);
    }

    /// The greater of each figure.
    pub fn join(&mut self, other: &Amount) {
        self.each(other, u64::max);
    }

    fn each(&mut self, other: &Amount, both: impl Fn(u64, u64) -> u64) {
        self.media_bytes = both(self.media_bytes, other.media_bytes);
        self.control_bytes = both(self.control_bytes, other.control_bytes);
        self.subscription_ms = both(self.subscription_ms, other.subscription_ms);
        self.set_ups = both(self.set_ups, other.set_ups);
        self.unseen_bytes = both(self.unseen_bytes, other.unseen_bytes);
        self.unseen_error = both(self.unseen_error, other.unseen_error);
    }
}

/// The length of a window, and how many are kept: two hours of ten seconds each. Older ones are in the whole only.
pub const WINDOW: Duration = Duration::from_secs(10);
pub const WINDOWS: usize = 720;

pub(crate) type Sums = BTreeMap<Key, Amount>;

/// One controller's sums: over its whole life, by window of the time of day, and its heaviest titles.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) version: u64,
    pub(crate) whole: Sums,
    pub(crate) windows: BTreeMap<u64, Sums>,
    pub(crate) titles: Heaviest,
}

impl Ledger {
    /// Counts what came since the last count. `wall` is the time of day.
    pub fn count(&mut self, wall: Duration, key: &Key, title: u64, more: &Amount) {
        self.version += 1;
        add(&mut self.whole, key, more);
        let window = wall.as_secs() / WINDOW.as_secs();
        add(self.windows.entry(window).or_default(), key, more);
        self.forget_old();
        if key.crosses() && more.bytes() > 0 {
            self.titles.add(title, more.bytes());
        }
    }

    pub(crate) fn forget_old(&mut self) {
        while self.windows.len() > WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Counts what was not seen when this controller was killed: it may have gone on at its last pace for up to
    /// `unstored` after the last store. Half of that is the estimate, and its error.
    pub fn estimate_unseen(&mut self, wall: Duration, unstored: Duration) {
        let last = self.windows.last_key_value().map(|(_, sums)| sums.clone()).unwrap_or_default();
        let part = unstored.as_secs_f64() / WINDOW.as_secs_f64() / 2.0;
        for (key, amount) in last {
            let half = (amount.media_bytes as f64 * part) as u64;
            let unseen = Amount { unseen_bytes: half, unseen_error: half, ..Amount::default() };
            // Of no title: what was not seen has none.
            self.version += 1;
            add(&mut self.whole, &key, &unseen);
            add(self.windows.entry(wall.as_secs() / WINDOW.as_secs()).or_default(), &key, &unseen);
        }
        self.forget_old();
    }

    /// Takes the greater of each figure; the titles of the later version.
    pub fn join(&mut self, other: &Self) {
        join(&mut self.whole, &other.whole);
        for (window, sums) in &other.windows {
            join(self.windows.entry(*window).or_default(), sums);
        }
        self.forget_old();
        let later = (other.version, other.titles.titles().map(|title| title.1).sum::<u64>());
        if later > (self.version, self.titles.titles().map(|title| title.1).sum::<u64>()) {
            self.titles = other.titles.clone();
        }
        self.version = self.version.max(other.version);
    }
}

fn add(sums: &mut Sums, key: &Key, more: &Amount) {
    match sums.get_mut(key) {
        Some(sum) => sum.add(more),
        None => {
            sums.insert(key.clone(), *more);
        }
    }
}

fn join(sums: &mut Sums, other: &Sums) {
    for (key, amount) in other {
        sums.entry(key.clone()).or_default().join(amount);
    }
}
