//! Authors' changes, batches of them, and the summary of a batch that acceptors certify.

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

use crate::state::Edit;
use crate::{Author, Digest, Number, Signature};

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
