//! The edits of recent revisions, from which a relay builds one merged delta for a watcher.

use std::collections::{BTreeMap, VecDeque};

use crate::state::Edit;
use crate::Number;

/// Bytes counted for an edit in addition to its key and value: more than its encoding adds, and about its
/// overhead in memory.
const EDIT_OVERHEAD_BYTES: usize = 64;

/// The limits of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of revisions.
    pub revisions: usize,
    /// Bytes of the keys and values of all edits, plus 64 for each edit.
    pub bytes: usize,
}

/// A delta merged from a log of these limits fits, with its certificate, in one frame of
/// [`crate::message::MAX_RELAY_BODY_BYTES`].
impl Default for Limits {
    fn default() -> Self {
        Self { revisions: 4096, bytes: 768 * 1024 }
    }
}

/// The edits of recent revisions.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    floor: Number,
    limits: Limits,
    /// The edits of each revision after the floor.
    revisions: VecDeque<Vec<Edit>>,
    /// The total of all edits as counted for the limit.
    bytes: usize,
}

impl DeltaLog {
    /// An empty log whose newest revision is `start`.
    pub fn new(start: Number, limits: Limits) -> Self {
        Self { floor: start, limits, revisions: VecDeque::new(), bytes: 0 }
    }

    /// Appends the edits from the previous revision to this one. If `number` does not follow the newest
    /// revision, the edits before it are dropped.
    pub fn push(&mut self, number: Number, edits: Vec<Edit>) {
        if self.last_revision().checked_add(1) != Some(number) {
            *self = Self::new(number.saturating_sub(1), self.limits);
        }
        if number == 0 {
            return;
        }
        self.bytes += counted_bytes(&edits);
        self.revisions.push_back(edits);
        while self.revisions.len() > self.limits.revisions || self.bytes > self.limits.bytes {
            self.drop_oldest();
        }
    }

    /// The oldest revision from which a delta can be made.
    pub fn floor(&self) -> Number {
        self.floor
    }

    /// The newest revision.
    pub fn last_revision(&self) -> Number {
        self.floor.saturating_add(self.revisions.len() as Number)
    }

    /// The edits from revision `base` to the newest one: the last edit of each key, sorted by key. `None` if
    /// the log does not reach back to `base`, or `base` is above the newest revision.
    pub fn since(&self, base: Number) -> Option<Vec<Edit>> {
        let skipped = base.checked_sub(self.floor)? as usize;
        if skipped > self.revisions.len() {
            return None;
        }
        let edits = self.revisions.iter().skip(skipped).flatten();
        let last_of_key: BTreeMap<&str, &Edit> = edits.map(|edit| (edit.key.as_str(), edit)).collect();
        Some(last_of_key.into_values().cloned().collect())
    }

    fn drop_oldest(&mut self) {
        let Some(edits) = self.revisions.pop_front() else { return };
        self.floor += 1;
        self.bytes -= counted_bytes(&edits);
    }
}

fn counted_bytes(edits: &[Edit]) -> usize {
    edits
        .iter()
        .map(|edit| edit.key.len() + edit.value.as_ref().map_or(0, Vec::len) + EDIT_OVERHEAD_BYTES)
        .sum()
}
