//! Finds the titles with the most bytes in bounded memory.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The heaviest titles and their weights: a Space-Saving sketch (Metwally, Agrawal and El Abbadi, 2005). An estimated
/// weight is never below the true one, and exceeds it by at most the error that is stored with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64, u64)>", into = "Vec<(u64, u64, u64)>")]
pub struct TopTitles {
    /// Weight and error by title.
    titles: BTreeMap<u64, (u64, u64)>,
    /// Weight and title, the lightest first.
    by_weight: BTreeSet<(u64, u64)>,
}

/// The number of tracked titles. Any title with more than 1/256 of all traffic is guaranteed to be among them.
const CAPACITY: usize = 256;

impl TopTitles {
    /// Adds weight to a title.
    pub fn add(&mut self, title: u64, weight: u64) {
        if let Some((old_weight, error)) = self.titles.get(&title).copied() {
            self.by_weight.remove(&(old_weight, title));
            return self.set(title, old_weight + weight, error);
        }
        if self.titles.len() < CAPACITY {
            return self.set(title, weight, 0);
        }
        // Replaces the lightest title, whose weight becomes the error of the new one.
        let Some((min_weight, evicted)) = self.by_weight.pop_first() else { return };
        self.titles.remove(&evicted);
        self.set(title, min_weight + weight, min_weight);
    }

    fn set(&mut self, title: u64, weight: u64, error: u64) {
        self.titles.insert(title, (weight, error));
        self.by_weight.insert((weight, title));
    }

    /// The largest possible weight of a title that is not tracked.
    fn max_untracked_weight(&self) -> u64 {
        if self.titles.len() < CAPACITY {
            0
        } else {
            self.by_weight.first().map_or(0, |lightest| lightest.0)
        }
    }

    /// Merges two sketches. Each title has the sum of its weights and the sum of its errors.
    pub fn merged(&self, other: &Self) -> Self {
        let mut sums: Vec<(u64, u64, u64)> = Vec::new();
        let titles: BTreeSet<u64> = self.titles.keys().chain(other.titles.keys()).copied().collect();
        for title in titles {
            let estimate = |sketch: &Self| {
                let untracked = (sketch.max_untracked_weight(), sketch.max_untracked_weight());
                sketch.titles.get(&title).copied().unwrap_or(untracked)
            };
            let ((weight_a, error_a), (weight_b, error_b)) = (estimate(self), estimate(other));
            sums.push((title, weight_a + weight_b, error_a + error_b));
        }
        sums.sort_by_key(|(title, weight, _)| (std::cmp::Reverse(*weight), *title));
        sums.truncate(CAPACITY);
        sums.into()
    }

    /// Title, weight and error of each tracked title, the heaviest first.
    pub fn titles(&self) -> impl Iterator<Item = (u64, u64, u64)> + '_ {
        self.by_weight.iter().rev().map(|(weight, title)| (*title, *weight, self.titles[title].1))
    }
}

impl From<Vec<(u64, u64, u64)>> for TopTitles {
    fn from(titles: Vec<(u64, u64, u64)>) -> Self {
        let mut sketch = Self::default();
        for (title, weight, error) in titles.into_iter().take(CAPACITY) {
            sketch.set(title, weight, error);
        }
        sketch
    }
}

impl From<TopTitles> for Vec<(u64, u64, u64)> {
    fn from(sketch: TopTitles) -> Self {
        sketch.titles().collect()
    }
}
