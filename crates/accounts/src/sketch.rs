//! The heaviest titles in bounded memory.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Titles by weight, of which a bounded number is kept: the Space-Saving sketch (Metwally, Agrawal and El Abbadi,
/// 2005). A title's weight is never under its true one, and over it by at most the error that is told with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64, u64)>", into = "Vec<(u64, u64, u64)>")]
pub struct Heaviest {
    /// Weight and error by title.
    titles: BTreeMap<u64, (u64, u64)>,
    /// The same by weight, the lightest first.
    by_weight: BTreeSet<(u64, u64)>,
}

/// Titles kept: with it any title of over 1 in 256 of all traffic is surely there.
const KEPT: usize = 256;

impl Heaviest {
    pub fn add(&mut self, title: u64, weight: u64) {
        if let Some((known, error)) = self.titles.get(&title).copied() {
            self.by_weight.remove(&(known, title));
            return self.set(title, known + weight, error);
        }
        if self.titles.len() < KEPT {
            return self.set(title, weight, 0);
        }
        // The lightest gives way, and what it weighed is how much the new one may be over.
        let Some((lightest, out)) = self.by_weight.pop_first() else { return };
        self.titles.remove(&out);
        self.set(title, lightest + weight, lightest);
    }

    fn set(&mut self, title: u64, weight: u64, error: u64) {
        self.titles.insert(title, (weight, error));
        self.by_weight.insert((weight, title));
    }

    /// What a title that is not kept weighs at most.
    fn least(&self) -> u64 {
        if self.titles.len() < KEPT {
            0
        } else {
            self.by_weight.first().map_or(0, |lightest| lightest.0)
        }
    }

    /// The titles of both, each with the sum of its weights and of its errors.
    pub fn joined(&self, other: &Self) -> Self {
        let mut sums: Vec<(u64, u64, u64)> = Vec::new();
        let titles: BTreeSet<u64> = self.titles.keys().chain(other.titles.keys()).copied().collect();
        for title in titles {
            let of = |sketch: &Self| {
                let missing = (sketch.least(), sketch.least());
                sketch.titles.get(&title).copied().unwrap_or(missing)
            };
            let ((a, a_error), (b, b_error)) = (of(self), of(other));
            sums.push((title, a + b, a_error + b_error));
        }
        sums.sort_by_key(|(title, weight, _)| (std::cmp::Reverse(*weight), *title));
        sums.truncate(KEPT);
        sums.into()
    }

    /// Title, weight and error, the heaviest first.
    pub fn titles(&self) -> impl Iterator<Item = (u64, u64, u64)> + '_ {
        self.by_weight.iter().rev().map(|(weight, title)| (*title, *weight, self.titles[title].1))
    }
}

impl From<Vec<(u64, u64, u64)>> for Heaviest {
    fn from(titles: Vec<(u64, u64, u64)>) -> Self {
        let mut sketch = Self::default();
        for (title, weight, error) in titles.into_iter().take(KEPT) {
            sketch.set(title, weight, error);
        }
        sketch
    }
}

impl From<Heaviest> for Vec<(u64, u64, u64)> {
    fn from(sketch: Heaviest) -> Self {
        sketch.titles().collect()
    }
}
