//! Batches: the changes that turn one revision into the next.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{admit, admit_certified, author_key, Change, ChangeId, History, Rejection};
use crate::state::{Edit, State, StateFault};
use crate::{digest, Digest, Number, Signer};

/// The maximum encoded length of a batch in bytes.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The maximum number of changes in a batch.
pub const MAX_CHANGES: usize = 1024;
/// The length of the text of a summary in bytes.
pub const SUMMARY_BYTES: usize = 68;
/// The maximum encoded length of a batch without its changes: its number, a root, and the number of changes.
const BATCH_HEADER_BYTES: usize = 5 + size_of::<Digest>() + 5;

/// The changes that turn one revision into the next, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    pub number: Number,
    /// The root of the state that the batch applies to.
    pub previous_root: Digest,
    pub changes: Vec<Change>,
}

/// The text that the head of a revision refers to: the state that the revision leads to, and the batch that
/// leads there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The root of the state after the batch.
    pub root: Digest,
    /// The digest of the encoded batch.
    pub batch: Digest,
    /// The length of the encoded batch.
    pub length: u32,
}

/// Bounds for building a batch. Whatever these are, nobody accepts a batch over [`MAX_BATCH_BYTES`] or
/// [`MAX_CHANGES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub bytes: usize,
    pub changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: MAX_BATCH_BYTES, changes: MAX_CHANGES }
    }
}

/// Why a batch is rejected. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BatchFault {
    #[error("a batch of {0} bytes; at most {MAX_BATCH_BYTES} are allowed")]
    TooLong(usize),
    #[error("the batch cannot be decoded")]
    Malformed,
    #[error("a batch of {0} changes; at most {MAX_CHANGES} are allowed")]
    TooMany(usize),
    #[error("a batch without changes")]
    Empty,
    #[error("a batch of revision {found}; the next one is {expected}")]
    Number { found: Number, expected: Number },
    #[error("the batch applies to another state")]
    PreviousRoot,
    #[error("change {} of author {}: {rejection}", .change.sequence, .change.author)]
    Change { change: ChangeId, rejection: Rejection },
    #[error("the resulting state is rejected: {0}")]
    State(StateFault),
}

/// The result of building a batch from pending changes.
#[derive(Clone, Debug)]
pub struct BuiltBatch {
    /// The batch; empty if all changes were rejected, and then not to be proposed.
    pub batch: Batch,
    /// The batch, encoded.
    pub bytes: Vec<u8>,
    pub summary: Summary,
    /// The state that the batch leads to.
    pub state: State,
    /// The edits of the batch, one for each key in the order of keys, including the reserved keys.
    pub edits: Vec<Edit>,
    pub rejected: Vec<(ChangeId, Rejection)>,
    /// Changes beyond the limits, for the next batch, in their order.
    pub remaining: Vec<Change>,
}

impl Batch {
    /// Builds revision `number` from pending changes, in their order.
    ///
    /// A batch never contains two changes of one key: the later one is rejected as a conflict with revision
    /// `number`, even if both are by the same author. The outcome of a change therefore does not depend on
    /// where one batch ends and the next begins: an author who changes a key again names the revision of the
    /// first change as its base.
    pub fn build(
        number: Number, state: &State, history: &History, pending: Vec<Change>, signer: &impl Signer,
        limits: Limits,
    ) -> BuiltBatch {
        let max_bytes = limits.bytes.min(MAX_BATCH_BYTES);
        let max_changes = limits.changes.min(MAX_CHANGES);
        let mut builder = BatchBuilder::new(number, state);
        let (mut changes, mut rejected, mut remaining) = (Vec::new(), Vec::new(), Vec::new());
        let mut length = BATCH_HEADER_BYTES;
        let mut pending = pending.into_iter();
        while let Some(change) = pending.next() {
            let length_with_change = length + encoded_length(&change);
            if changes.len() >= max_changes || (length_with_change > max_bytes && !changes.is_empty()) {
                remaining.push(change);
                remaining.extend(pending);
                break;
            }
            if length_with_change > max_bytes {
                rejected.push((change.id, Rejection::TooLarge(length_with_change, max_bytes)));
                continue;
            }
            let admitted = admit(&change, &builder.state, history, builder.highest(), signer);
            match admitted.and_then(|()| builder.apply(&change)) {
                Ok(()) => {
                    length = length_with_change;
                    changes.push(change);
                }
                Err(rejection) => rejected.push((change.id, rejection)),
            }
        }
        let batch = Self { number, previous_root: state.root(), changes };
        let bytes = batch.encode();
        let (state, edits) = builder.finish();
        let summary = Summary::of(state.root(), &bytes);
        BuiltBatch { batch, bytes, summary, state, edits, rejected, remaining }
    }

    /// Encodes the batch.
    pub fn encode(&self) -> Vec<u8> {
        // All values of these types can be encoded.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a batch.
    ///
    /// # Errors
    /// If the bytes are not a batch, or the batch is out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, BatchFault> {
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(BatchFault::TooLong(bytes.len()));
        }
        let (batch, rest): (Self, _) = postcard::take_from_bytes(bytes).map_err(|_| BatchFault::Malformed)?;
        if !rest.is_empty() {
            return Err(BatchFault::Malformed);
        }
        if batch.changes.len() > MAX_CHANGES {
            return Err(BatchFault::TooMany(batch.changes.len()));
        }
        Ok(batch)
    }

    /// Checks a proposed batch and applies it. Returns the resulting state and the edits, one for each key in
    /// the order of keys, including the reserved keys. The history must include the revision of the given
    /// state.
    ///
    /// # Errors
    /// If it is not the next batch of this state, or one of its changes is rejected.
    pub fn apply(
        &self, state: &State, history: &History, signer: &impl Signer,
    ) -> Result<(State, Vec<Edit>), BatchFault> {
        let expected = history.last_revision().saturating_add(1);
        if self.number != expected {
            return Err(BatchFault::Number { found: self.number, expected });
        }
        self.apply_with(state, |change, state, highest| admit(change, state, history, highest, signer))
    }

    /// Applies a certified batch. A key that was revoked later does not invalidate a change, and conflicts
    /// are not checked again, since the acceptors that certified the batch did so. The caller must check that
    /// the resulting root is the certified one.
    ///
    /// # Errors
    /// As [`Batch::apply`].
    pub fn apply_certified(
        &self, state: &State, signer: &impl Signer,
    ) -> Result<(State, Vec<Edit>), BatchFault> {
        self.apply_with(state, |change, state, highest| admit_certified(change, state, highest, signer))
    }

    fn apply_with(
        &self, state: &State, admit: impl Fn(&Change, &State, Number) -> Result<(), Rejection>,
    ) -> Result<(State, Vec<Edit>), BatchFault> {
        if self.number == 0 {
            return Err(BatchFault::Number { found: 0, expected: 1 });
        }
        if self.previous_root != state.root() {
            return Err(BatchFault::PreviousRoot);
        }
        if self.changes.is_empty() {
            return Err(BatchFault::Empty);
        }
        if self.changes.len() > MAX_CHANGES {
            return Err(BatchFault::TooMany(self.changes.len()));
        }
        let mut builder = BatchBuilder::new(self.number, state);
        for change in &self.changes {
            admit(change, &builder.state, builder.highest())
                .and_then(|()| builder.apply(change))
                .map_err(|rejection| BatchFault::Change { change: change.id, rejection })?;
        }
        Ok(builder.finish())
    }
}

/// The encoded length of a change; a length over all bounds if it cannot be encoded.
fn encoded_length(change: &Change) -> usize {
    postcard::to_stdvec(change).map_or(usize::MAX / 2, |bytes| bytes.len())
}

/// A batch being built or applied: the state so far, and the edits so far, by key.
struct BatchBuilder {
    number: Number,
    state: State,
    edits: BTreeMap<String, Option<Vec<u8>>>,
}

impl BatchBuilder {
    fn new(number: Number, state: &State) -> Self {
        Self { number, state: state.clone(), edits: BTreeMap::new() }
    }

    /// The revision that the batch follows.
    fn highest(&self) -> Number {
        self.number.saturating_sub(1)
    }

    /// Applies an admitted change. If it is rejected, nothing has changed.
    fn apply(&mut self, change: &Change) -> Result<(), Rejection> {
        if let Some(edit) = change.edits.iter().find(|edit| self.edits.contains_key(&edit.key)) {
            let (key, base) = (edit.key.clone(), change.base);
            return Err(Rejection::Conflict { key, base, changed_in: self.number });
        }
        let sequence = change.id.sequence.to_be_bytes().to_vec();
        let mut edits = change.edits.clone();
        edits.push(Edit { key: author_key(change.id.author), value: Some(sequence) });
        self.state.apply(&edits).map_err(|fault| Rejection::State(fault.to_string()))?;
        self.edits.extend(edits.into_iter().map(|edit| (edit.key, edit.value)));
        Ok(())
    }

    /// The resulting state, and the edits in the order of keys.
    fn finish(self) -> (State, Vec<Edit>) {
        let edits = self.edits.into_iter().map(|(key, value)| Edit { key, value });
        (self.state, edits.collect())
    }
}

impl Summary {
    /// The summary of an encoded batch that leads to a state with this root.
    pub fn of(root: Digest, bytes: &[u8]) -> Self {
        Self { root, batch: digest(bytes), length: bytes.len() as u32 }
    }

    /// The text for the head of a revision: root, digest of the batch, length of the batch (big-endian).
    pub fn text(&self) -> [u8; SUMMARY_BYTES] {
        let mut text = [0; SUMMARY_BYTES];
        text[..32].copy_from_slice(&self.root);
        text[32..64].copy_from_slice(&self.batch);
        text[64..].copy_from_slice(&self.length.to_be_bytes());
        text
    }

    /// Decodes bytes that [`Summary::text`] encoded; `None` if the length is wrong.
    pub fn read(text: &[u8]) -> Option<Self> {
        let text: &[u8; SUMMARY_BYTES] = text.try_into().ok()?;
        let (root, rest) = text.split_first_chunk()?;
        let (batch, length) = rest.split_first_chunk()?;
        Some(Self { root: *root, batch: *batch, length: u32::from_be_bytes(length.try_into().ok()?) })
    }
}
