//! Authors' changes, batches of them, and the summary of a batch that acceptors certify.

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

use crate::state::{Edit, State};
use crate::{Author, Digest, Hand, Number, Signature};

/// Edits of one change at most.
pub const MOST_EDITS: usize = 1024;
/// Signed bytes of one change at most.
pub const LARGEST_CHANGE: usize = 128 * 1024;
/// Encoded bytes of a batch at most.
pub const LARGEST_BATCH: usize = 256 * 1024;
/// Changes of a batch at most.
pub const MOST_CHANGES: usize = 1024;

/// What names a change: an author numbers its changes upwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId {
    pub author: Author,
    pub sequence: u64,
}

/// An author's signed change of some keys. It is made against the state of revision `base`: it is rejected if one of its
/// keys was changed after that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub id: ChangeId,
    pub base: Number,
    pub edits: Vec<Edit>,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

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

/// Why a change does not become part of a revision. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    #[error("its signature is not that of author {0}, or that author's key was revoked")]
    Author(Author),
    #[error("change {0} of this author was made before; the last one taken is {1}")]
    Sequence(u64, u64),
    #[error("it is made against revision {0}, which is above the highest one, {1}")]
    BaseAhead(Number, Number),
    #[error("it is made against revision {0}; changes are known from revision {1} on")]
    BaseTooOld(Number, Number),
    #[error("key {key}: revision {changed_in} changed it after revision {base}, which this change is made against")]
    Conflict { key: String, base: Number, changed_in: Number },
    #[error("key {key}: {reason}")]
    Edit { key: String, reason: String },
    #[error("it has no edits")]
    Empty,
    #[error("{0} bytes or edits, where {1} at most are taken")]
    TooLarge(usize, usize),
    #[error("the state it leads to is not taken: {0}")]
    State(String),
    #[error("{0} changes are waiting, no more are taken now; try again later")]
    Busy(usize),
    #[error("no quorum of acceptors is reached now; whether it was taken is not known: push the same change again")]
    Unknown,
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
    State(crate::state::StateFault),
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

/// Which revision last changed each key, as far back as the window reaches.
#[derive(Clone, Debug)]
pub struct History {}

#[allow(unused_variables)]
impl History {
    /// A history that knows nothing up to and with revision `floor`, and `most_revisions` after it at most.
    pub fn new(floor: Number, most_revisions: usize) -> Self {
        todo!()
    }

    /// All changes after this revision are known.
    pub fn floor(&self) -> Number {
        todo!()
    }

    /// The last revision that was recorded; the floor before the first.
    pub fn top(&self) -> Number {
        todo!()
    }

    /// Records what a revision changed. Where it is not the next one, all before it is forgotten.
    pub fn record(&mut self, number: Number, edits: &[Edit]) {
        todo!()
    }

    /// The last revision that changed a key, if one after the floor did.
    pub fn changed_in(&self, key: &str) -> Option<Number> {
        todo!()
    }
}

/// The protocol's own key at which the last sequence number of an author stands.
pub fn author_key(author: Author) -> String {
    format!("\0author/{author}")
}

/// The sequence number of the last change of an author that the state has; 0 before the first.
pub fn last_sequence(_state: &State, _author: Author) -> u64 {
    todo!()
}

/// Whether a change can become part of the revision after `highest`.
///
/// # Errors
/// Why it can't.
pub fn admit(
    _change: &Change, _state: &State, _history: &History, _highest: Number, _hand: &impl Hand,
) -> Result<(), Rejection> {
    todo!()
}

#[allow(unused_variables)]
impl Change {
    pub fn sign(
        author: Author, sequence: u64, base: Number, edits: Vec<Edit>, sign: impl FnOnce(&[u8]) -> Signature,
    ) -> Self {
        todo!()
    }

    pub fn signed_bytes(&self) -> Vec<u8> {
        todo!()
    }

    pub fn is_signed(&self, hand: &impl Hand) -> bool {
        todo!()
    }
}

#[allow(unused_variables)]
impl Batch {
    /// Builds revision `number` from waiting changes, in their order.
    pub fn build(
        number: Number, state: &State, history: &History, waiting: Vec<Change>, hand: &impl Hand,
        limits: Limits,
    ) -> Built {
        todo!()
    }

    pub fn encode(&self) -> Vec<u8> {
        todo!()
    }

    /// # Errors
    /// Where the bytes are no batch, or one out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, BatchFault> {
        todo!()
    }

    /// Checks a batch that is proposed and applies it: the state that it leads to, and its edits, each key once, by
    /// key, the protocol's own keys too.
    ///
    /// # Errors
    /// Where it is not the next batch of this state, or one of its changes can't be admitted.
    pub fn apply(
        &self, state: &State, history: &History, hand: &impl Hand,
    ) -> Result<(State, Vec<Edit>), BatchFault> {
        todo!()
    }

    /// The same for a batch that is certified: a key that was revoked since takes nothing back, and conflicts, which
    /// those who certified it have checked, are not looked for.
    ///
    /// # Errors
    /// As [`Batch::apply`].
    pub fn apply_certified(&self, state: &State, hand: &impl Hand) -> Result<(State, Vec<Edit>), BatchFault> {
        todo!()
    }
}

/// Bytes of a summary's text.
pub const SUMMARY: usize = 68;

#[allow(unused_variables)]
impl Summary {
    /// The summary of an encoded batch that leads to a state with this root.
    pub fn of(root: Digest, bytes: &[u8]) -> Self {
        todo!()
    }

    /// The text of a revision's head: root, digest of the batch, length of the batch (big-endian).
    pub fn text(&self) -> [u8; SUMMARY] {
        todo!()
    }

    pub fn read(text: &[u8]) -> Option<Self> {
        todo!()
    }
}
