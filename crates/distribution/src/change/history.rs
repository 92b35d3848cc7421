//! Which revision last changed each key, over the last revisions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::state::Edit;
use crate::Number;

/// Keys of all revisions of a history at most, a key counted for each revision that changed it.
pub const MOST_KEYS: usize = 128 * 1024;

/// Which revision last changed each key, as far back as the window reaches.
///
/// Machines whose windows reach back differently reject different changes as too old: a batch that one builds may not be
/// taken by another that started later. It is never applied to different states.
#[derive(Clone, Debug)]
pub struct History {
    floor: Number,
    most_revisions: usize,
    /// The keys that each revision after the floor changed.
    revisions: VecDeque<Vec<Arc<str>>>,
    /// The last revision that changed a key.
    changed: BTreeMap<Arc<str>, Number>,
    /// How many keys all revisions have.
    keys: usize,
}

impl History {
    /// A history that knows nothing of changes up to and with revision `floor`, and has `most_revisions` at most.
    pub fn new(floor: Number, most_revisions: usize) -> Self {
        Self { floor, most_revisions, revisions: VecDeque::new(), changed: BTreeMap::new(), keys: 0 }
    }

    /// All changes after this revision are known.
    pub fn floor(&self) -> Number {
        self.floor
    }

    /// The last revision that was recorded; the floor before the first.
    pub fn top(&self) -> Number {
        self.floor.saturating_add(self.revisions.len() as Number)
    }

    /// Records what a revision changed. Where it is not the next one, all before it is forgotten.
    pub fn record(&mut self, number: Number, edits: &[Edit]) {
        if self.top().checked_add(1) != Some(number) {
            *self = Self::new(number.saturating_sub(1), self.most_revisions);
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
        while self.revisions.len() > self.most_revisions || self.keys > MOST_KEYS {
            self.forget_oldest();
        }
    }

    /// The last revision that changed a key, if one after the floor did.
    pub fn changed_in(&self, key: &str) -> Option<Number> {
        self.changed.get(key).copied()
    }

    fn forget_oldest(&mut self) {
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
