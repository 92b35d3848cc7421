//! A map that is bounded in size and age: each entry is dropped after a fixed time, and the oldest one sooner
//! if the map is full.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeBounds;
use std::time::Duration;

/// A bounded map whose entries expire.
pub struct ExpiringMap<K, V> {
    entries: BTreeMap<K, V>,
    /// When each entry was added; oldest first.
    order: VecDeque<(Duration, K)>,
    lifetime: Duration,
    max_entries: usize,
}

impl<K: Ord + Copy, V> ExpiringMap<K, V> {
    /// Creates an empty map.
    pub fn new(lifetime: Duration, max_entries: usize) -> Self {
        Self { entries: BTreeMap::new(), order: VecDeque::new(), lifetime, max_entries }
    }

    /// Returns the value of a key, after adding this one if there is none.
    pub fn get_or_insert(&mut self, now: Duration, key: K, value: V) -> &V {
        self.drop_expired(now);
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            self.drop_oldest();
        }
        self.entries.entry(key).or_insert_with(|| {
            self.order.push_back((now, key));
            value
        })
    }

    /// Returns the value of a key that has not expired.
    pub fn get(&mut self, now: Duration, key: &K) -> Option<&V> {
        self.drop_expired(now);
        self.entries.get(key)
    }

    /// Whether there is an entry within a range of keys.
    pub fn contains_any(&mut self, now: Duration, keys: impl RangeBounds<K>) -> bool {
        self.drop_expired(now);
        self.entries.range(keys).next().is_some()
    }

    fn drop_expired(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(added_at, _)| *added_at + self.lifetime <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.entries.remove(&key);
        }
    }
}
