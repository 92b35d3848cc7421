//! The edits of the last revisions, from which a relay makes one merged delta for a watcher.

use crate::state::Edit;
use crate::Number;

/// Bounds of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub revisions: usize,
    /// Bytes of the keys and values of all edits, with a constant for each edit.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { revisions: 4096, bytes: 768 * 1024 }
    }
}

/// The edits of the last revisions.
#[derive(Clone, Debug)]
pub struct DeltaLog {}

#[allow(unused_variables)]
impl DeltaLog {
    /// A log that reaches back to revision `start`, of which it knows nothing but the number.
    pub fn new(start: Number, limits: Limits) -> Self {
        todo!()
    }

    /// Adds the next revision. Where `number` is not the next one, all before it is forgotten.
    pub fn push(&mut self, number: Number, edits: Vec<Edit>) {
        todo!()
    }

    /// The oldest revision from which a delta can be made.
    pub fn floor(&self) -> Number {
        todo!()
    }

    /// The newest revision.
    pub fn top(&self) -> Number {
        todo!()
    }

    /// What leads from revision `base` to the newest one: the last edit of each key, by key. None where the log does not
    /// reach back to `base`, or `base` is above the newest one.
    pub fn since(&self, base: Number) -> Option<Vec<Edit>> {
        todo!()
    }
}
