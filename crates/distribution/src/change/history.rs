//! The history of changed keys over the last revisions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::state::Edit;
use crate::Number;

/// The maximum number of keys over all revisions of a history; a key counts once for each revision that
/// changed it.
pub const MAX_KEYS: usize = 128 * 1024;

/// The last revision that changed each key, within a window of revisions.
///
/// Machines whose windows start at different revisions reject different changes as too old: a machine that
/// started later may reject a batch that another one built. Batches are never applied to different states.
#[derive(Clone, Debug)]
pub struct History {
    floor: Number,
    max_revisions: usize,
    /// The keys that each revision after the floor changed.
    revisions: VecDeque<Vec<Arc<str>>>,
    /// The last revision that changed each key.
    changed: BTreeMap<Arc<str>, Number>,
    /// The number of keys over all revisions.
    keys: usize,
}

impl History {
    /// An empty history that starts after revision `floor` and covers at most `max_revisions` revisions.
    pub fn new(floor: Number, max_revisions: usize) -> Self {
        Self { floor, max_revisions, revisions: VecDeque::new(), changed: BTreeMap::new(), keys: 0 }
    }

    /// All changes after this revision are known.
    pub fn floor(&self) -> Number {
        self.floor
    }

    /// The last recorded revision; the floor before the first.
    pub fn last_revision(&self) -> Number {
        self.floor.saturating_add(self.revisions.len() as Number)
    }

    /// Records the edits of a revision. If it is not the next one, all earlier revisions are removed.
    pub fn record(&mut self, number: Number, edits: &[Edit]) {
        if self.last_revision().checked_add(1) != Some(number) {
            *self = Self::new(number.saturating_sub(1), self.max_revisions);
        }
        if number == 0 {
            return;
        }
        let keys: Vec<Arc<str>> = edits.iter().map(|edit| Arc::from(edit.key.as_str())).collect();
        for key in &keys {
            self.changed.insert(Arc::clone(key), number);
        }
        self.keys += keys.len();
        self.revisions.push_back(keys);
        while self.revisions.len() > self.max_revisions || self.keys > MAX_KEYS {
            self.remove_oldest();
        }
    }

    /// The last revision that changed a key, if that is after the floor.
    pub fn changed_in(&self, key: &str) -> Option<Number> {
        self.changed.get(key).copied()
    }

    /// Removes the oldest revision.
    fn remove_oldest(&mut self) {
        let Some(keys) = self.revisions.pop_front() else { return };
        self.floor += 1;
        self.keys -= keys.len();
        for key in keys {
            if self.changed.get(&key) == Some(&self.floor) {
                self.changed.remove(&key);
            }
        }
    }
}
