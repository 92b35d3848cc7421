//! The edits of the last revisions, from which a relay makes one merged delta for a watcher.

use std::collections::{BTreeMap, VecDeque};

use crate::state::Edit;
use crate::Number;

/// What an edit counts beside its key and value: more than its encoding adds, and about what it takes in memory.
const BESIDE_KEY_AND_VALUE: usize = 64;

/// Bounds of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub revisions: usize,
    /// Bytes of the keys and values of all edits, and 64 for each edit.
    pub bytes: usize,
}

/// What is merged from such a log fits in one frame of [`crate::message::MAX_RELAY_BODY_BYTES`], with its certificate.
impl Default for Limits {
    fn default() -> Self {
        Self { revisions: 4096, bytes: 768 * 1024 }
    }
}

/// The edits of the last revisions.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    floor: Number,
    limits: Limits,
    /// The edits of each revision after the floor.
    revisions: VecDeque<Vec<Edit>>,
    /// What all edits count.
    bytes: usize,
}

impl DeltaLog {
    /// A log that reaches back to revision `start`, of which it knows nothing but the number.
    pub fn new(start: Number, limits: Limits) -> Self {
        Self { floor: start, limits, revisions: VecDeque::new(), bytes: 0 }
    }

    /// Adds the edits that lead to a revision from the one before it. Where it is not the next one, all before it is
    /// forgotten.
    pub fn push(&mut self, number: Number, edits: Vec<Edit>) {
        if self.top().checked_add(1) != Some(number) {
            *self = Self::new(number.saturating_sub(1), self.limits);
        }
        if number == 0 {
            return;
        }
        self.bytes += size(&edits);
        self.revisions.push_back(edits);
        while self.revisions.len() > self.limits.revisions || self.bytes > self.limits.bytes {
            self.forget_oldest();
        }
    }

    /// The oldest revision from which a delta can be made.
    pub fn floor(&self) -> Number {
        self.floor
    }

    /// The newest revision.
    pub fn top(&self) -> Number {
        self.floor.saturating_add(self.revisions.len() as Number)
    }

    /// What leads from revision `base` to the newest one: the last edit of each key, by key. None where the log does not
    /// reach back to `base`, or `base` is above the newest one.
    pub fn since(&self, base: Number) -> Option<Vec<Edit>> {
        let skipped = base.checked_sub(self.floor)? as usize;
        if skipped > self.revisions.len() {
            return None;
        }
        let edits = self.revisions.iter().skip(skipped).flatten();
        let last_of_key: BTreeMap<&str, &Edit> = edits.map(|edit| (edit.key.as_str(), edit)).collect();
        Some(last_of_key.into_values().cloned().collect())
    }

    fn forget_oldest(&mut self) {
        let Some(edits) = self.revisions.pop_front() else { return };
        self.floor += 1;
        self.bytes -= size(&edits);
    }
}

fn size(edits: &[Edit]) -> usize {
    edits
        .iter()
        .map(|edit| edit.key.len() + edit.value.as_ref().map_or(0, Vec::len) + BESIDE_KEY_AND_VALUE)
        .sum()
}
