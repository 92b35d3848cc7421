//! Batches: the changes that make one revision of the one before it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{admit, admit_certified, author_key, Change, ChangeId, History, Rejection};
use crate::state::{Edit, State, StateFault};
use crate::{digest, Digest, Number, Signer};

/// Encoded bytes of a batch at most.
pub const LARGEST_BATCH: usize = 256 * 1024;
/// Changes of a batch at most.
pub const MOST_CHANGES: usize = 1024;
/// Bytes of a summary's text.
pub const SUMMARY: usize = 68;
/// Encoded bytes of a batch beside its changes, at most: its number, a root, how many changes there are.
const BESIDE_CHANGES: usize = 5 + size_of::<Digest>() + 5;

/// The changes that make a revision of the one before it, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    pub number: Number,
    /// The root of the state that the batch applies to.
    pub previous_root: Digest,
    pub changes: Vec<Change>,
}

/// What the head of a revision names as its text: the state that it leads to, and the batch that does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The root of the state after the batch.
    pub root: Digest,
    /// The digest of the encoded batch.
    pub batch: Digest,
    /// The length of the encoded batch.
    pub length: u32,
}

/// Bounds of a batch that is built; a batch over [`LARGEST_BATCH`] or [`MOST_CHANGES`] is taken by nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub bytes: usize,
    pub changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: LARGEST_BATCH, changes: MOST_CHANGES }
    }
}

/// Why a batch is not taken. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BatchFault {
    #[error("a batch of {0} bytes, where {LARGEST_BATCH} at most are taken")]
    TooLong(usize),
    #[error("a batch that can't be decoded")]
    Form,
    #[error("a batch of {0} changes, where {MOST_CHANGES} at most are taken")]
    TooMany(usize),
    #[error("a batch without changes")]
    Empty,
    #[error("a batch of revision {found}, where {expected} is the next one")]
    Number { found: Number, expected: Number },
    #[error("a batch on another state than this one")]
    PreviousRoot,
    #[error("change {} of author {}: {rejection}", .change.sequence, .change.author)]
    Change { change: ChangeId, rejection: Rejection },
    #[error("the state it leads to is not taken: {0}")]
    State(StateFault),
}

/// What became of the changes that waited for a batch.
#[derive(Clone, Debug)]
pub struct Built {
    /// The batch; without changes where all were rejected, and then not to be proposed.
    pub batch: Batch,
    /// The batch, encoded.
    pub bytes: Vec<u8>,
    pub summary: Summary,
    /// The state that the batch leads to.
    pub state: State,
    /// What the batch changes, each key once, by key; the protocol's own keys too.
    pub edits: Vec<Edit>,
    pub rejected: Vec<(ChangeId, Rejection)>,
    /// Changes over the limits, for the next batch, in their order.
    pub left: Vec<Change>,
}

impl Batch {
    /// Builds revision `number` from waiting changes, in their order.
    ///
    /// Two changes of one key never go in one batch: the later one is rejected as a conflict with revision `number`, also
    /// where both are by the same author. So what becomes of a change does not depend on where one batch ends and the next one begins:
    /// an author who changes a key again names the revision of the first change as its base.
    pub fn build(
        number: Number, state: &State, history: &History, waiting: Vec<Change>, hand: &impl Signer,
        limits: Limits,
    ) -> Built {
        let most_bytes = limits.bytes.min(LARGEST_BATCH);
        let most_changes = limits.changes.min(MOST_CHANGES);
        let mut assembly = Assembly::new(number, state);
        let (mut changes, mut rejected, mut left) = (Vec::new(), Vec::new(), Vec::new());
        let mut length = BESIDE_CHANGES;
        let mut waiting = waiting.into_iter();
        while let Some(change) = waiting.next() {
            let with_it = length + encoded_length(&change);
            if changes.len() >= most_changes || (with_it > most_bytes && !changes.is_empty()) {
                left.push(change);
                left.extend(waiting);
                break;
            }
            if with_it > most_bytes {
                rejected.push((change.id, Rejection::TooLarge(with_it, most_bytes)));
                continue;
            }
            let admitted = admit(&change, &assembly.state, history, assembly.highest(), hand);
            match admitted.and_then(|()| assembly.take(&change)) {
                Ok(()) => {
                    length = with_it;
                    changes.push(change);
                }
                Err(rejection) => rejected.push((change.id, rejection)),
            }
        }
        let batch = Self { number, previous_root: state.root(), changes };
        let bytes = batch.encode();
        let (state, edits) = assembly.finish();
        let summary = Summary::of(state.root(), &bytes);
        Built { batch, bytes, summary, state, edits, rejected, left }
    }

    pub fn encode(&self) -> Vec<u8> {
        // The types hold nothing that the encoding can't express.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// # Errors
    /// Where the bytes are no batch, or one out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, BatchFault> {
        if bytes.len() > LARGEST_BATCH {
            return Err(BatchFault::TooLong(bytes.len()));
        }
        let (batch, rest): (Self, _) = postcard::take_from_bytes(bytes).map_err(|_| BatchFault::Form)?;
        if !rest.is_empty() {
            return Err(BatchFault::Form);
        }
        if batch.changes.len() > MOST_CHANGES {
            return Err(BatchFault::TooMany(batch.changes.len()));
        }
        Ok(batch)
    }

    /// Checks a batch that is proposed and applies it: the state that it leads to, and its edits, each key once, by
    /// key, the protocol's own keys too. The history must know of the revision that the state is of.
    ///
    /// # Errors
    /// Where it is not the next batch of this state, or one of its changes can't be admitted.
    pub fn apply(
        &self, state: &State, history: &History, hand: &impl Signer,
    ) -> Result<(State, Vec<Edit>), BatchFault> {
        let expected = history.top().saturating_add(1);
        if self.number != expected {
            return Err(BatchFault::Number { found: self.number, expected });
        }
        self.apply_with(state, |change, state, highest| admit(change, state, history, highest, hand))
    }

    /// The same for a batch that is certified: a key that was revoked since takes nothing back, and conflicts, which
    /// those who certified it have checked, are not looked for. That the root is the certified one is for the caller to check.
    ///
    /// # Errors
    /// As [`Batch::apply`].
    pub fn apply_certified(
        &self, state: &State, hand: &impl Signer,
    ) -> Result<(State, Vec<Edit>), BatchFault> {
        self.apply_with(state, |change, state, highest| admit_certified(change, state, highest, hand))
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
        if self.changes.len() > MOST_CHANGES {
            return Err(BatchFault::TooMany(self.changes.len()));
        }
        let mut assembly = Assembly::new(self.number, state);
        for change in &self.changes {
            admit(change, &assembly.state, assembly.highest())
                .and_then(|()| assembly.take(change))
                .map_err(|rejection| BatchFault::Change { change: change.id, rejection })?;
        }
        Ok(assembly.finish())
    }
}

fn encoded_length(change: &Change) -> usize {
    postcard::to_stdvec(change).map_or(usize::MAX / 2, |bytes| bytes.len())
}

/// A batch in the making: the state so far, and the last edit of each key.
struct Assembly {
    number: Number,
    state: State,
    edits: BTreeMap<String, Option<Vec<u8>>>,
}

impl Assembly {
    fn new(number: Number, state: &State) -> Self {
        Self { number, state: state.clone(), edits: BTreeMap::new() }
    }

    /// The revision that the batch follows.
    fn highest(&self) -> Number {
        self.number.saturating_sub(1)
    }

    /// Takes a change that was admitted. Where it is rejected, nothing has changed.
    fn take(&mut self, change: &Change) -> Result<(), Rejection> {
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

    /// The text of a revision's head: root, digest of the batch, length of the batch (big-endian).
    pub fn text(&self) -> [u8; SUMMARY] {
        let mut text = [0; SUMMARY];
        text[..32].copy_from_slice(&self.root);
        text[32..64].copy_from_slice(&self.batch);
        text[64..].copy_from_slice(&self.length.to_be_bytes());
        text
    }

    /// Reads what [`Summary::text`] made; none where the bytes are of another length.
    pub fn read(text: &[u8]) -> Option<Self> {
        let text: &[u8; SUMMARY] = text.try_into().ok()?;
        let (root, rest) = text.split_first_chunk()?;
        let (batch, length) = rest.split_first_chunk()?;
        Some(Self { root: *root, batch: *batch, length: u32::from_be_bytes(length.try_into().ok()?) })
    }
}
