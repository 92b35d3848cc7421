//! Signed changes by authors, the batches that make revisions of them, and the batch summary that acceptors
//! certify.

mod batch;
mod history;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

use crate::state::{Edit, State};
use crate::{Author, Number, Signature, Signer};

pub use batch::{
    Batch, BatchFault, BuiltBatch, Limits, Summary, MAX_BATCH_BYTES, MAX_CHANGES, SUMMARY_BYTES,
};
pub use history::{History, MAX_KEYS};

/// The maximum number of edits in a change.
pub const MAX_EDITS: usize = 1024;
/// The maximum length of the signed bytes of a change.
pub const MAX_CHANGE_BYTES: usize = 128 * 1024;
/// Keys with this prefix are reserved for the protocol: authors cannot edit them.
pub const RESERVED: char = '\0';

/// The domain string at the start of the bytes that an author signs.
const DOMAIN: &[u8] = b"badgerledge change 1";

/// Identifies a change. An author numbers its changes in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId {
    pub author: Author,
    pub sequence: u64,
}

/// A change of some keys, signed by its author. It is made against the state of revision `base`, and rejected
/// if one of its keys was changed in a later revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub id: ChangeId,
    pub base: Number,
    pub edits: Vec<Edit>,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// Why a change is rejected. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Rejection {
    #[error("the signature is not that of author {0}, or the author's key was revoked")]
    Author(Author),
    #[error("sequence number {0} is not above {1}, the last one accepted from this author")]
    Sequence(u64, u64),
    #[error("made against revision {0}, which is above the highest one, {1}")]
    BaseAhead(Number, Number),
    #[error("made against revision {0}; the change history starts at revision {1}")]
    BaseTooOld(Number, Number),
    #[error("key {key}: changed in revision {changed_in}, after revision {base}, which this change is made against")]
    Conflict { key: String, base: Number, changed_in: Number },
    #[error("key {key}: {reason}")]
    Edit { key: String, reason: String },
    #[error("no edits")]
    Empty,
    #[error("{0} bytes or edits; at most {1} are allowed")]
    TooLarge(usize, usize),
    #[error("the resulting state is rejected: {0}")]
    State(String),
    #[error("{0} changes are pending and no more are accepted now; try again later")]
    Busy(usize),
    #[error("no quorum of acceptors is reachable; the outcome is unknown: push the same change again")]
    Unknown,
}

impl Change {
    /// Creates a change with the signature that `sign` returns for its bytes.
    pub fn sign(
        author: Author, sequence: u64, base: Number, edits: Vec<Edit>, sign: impl FnOnce(&[u8]) -> Signature,
    ) -> Self {
        let mut change = Self { id: ChangeId { author, sequence }, base, edits, signature: [0; 64] };
        change.signature = sign(&change.signed_bytes());
        change
    }

    /// The bytes that the author signs: a domain string, author (2), sequence (8), base (4), number of edits
    /// (4), and for each edit the length of the key (4), the key, and 0 for a removal or 1, the length of the
    /// value (4) and the value. Numbers are big-endian.
    pub fn signed_bytes(&self) -> Vec<u8> {
        let mut bytes = DOMAIN.to_vec();
        bytes.extend_from_slice(&self.id.author.to_be_bytes());
        bytes.extend_from_slice(&self.id.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.base.to_be_bytes());
        bytes.extend_from_slice(&(self.edits.len() as u32).to_be_bytes());
        for edit in &self.edits {
            push_with_length(&mut bytes, edit.key.as_bytes());
            bytes.push(u8::from(edit.value.is_some()));
            if let Some(value) = &edit.value {
                push_with_length(&mut bytes, value);
            }
        }
        bytes
    }

    /// Whether the author signed the change with a key that is not revoked.
    pub fn is_signed(&self, signer: &impl Signer) -> bool {
        signer.verify_author(self.id.author, &self.signed_bytes(), &self.signature)
    }

    /// Whether the author signed the change, with a current or a revoked key.
    pub fn was_signed(&self, signer: &impl Signer) -> bool {
        signer.verify_author_any_key(self.id.author, &self.signed_bytes(), &self.signature)
    }

    /// Checks that the edits are within bounds, and of distinct keys that authors may edit.
    fn check_edits(&self) -> Result<(), Rejection> {
        if self.edits.is_empty() {
            return Err(Rejection::Empty);
        }
        if self.edits.len() > MAX_EDITS {
            return Err(Rejection::TooLarge(self.edits.len(), MAX_EDITS));
        }
        let length = self.signed_bytes().len();
        if length > MAX_CHANGE_BYTES {
            return Err(Rejection::TooLarge(length, MAX_CHANGE_BYTES));
        }
        let mut keys = BTreeSet::new();
        for edit in &self.edits {
            let edit_rejection = |reason: String| Rejection::Edit { key: edit.key.clone(), reason };
            edit.check().map_err(|fault| edit_rejection(fault.to_string()))?;
            if edit.key.starts_with(RESERVED) {
                return Err(edit_rejection(
                    "keys that begin with NUL are reserved for the protocol".to_owned(),
                ));
            }
            if !keys.insert(&edit.key) {
                return Err(edit_rejection("edited twice".to_owned()));
            }
        }
        Ok(())
    }

    /// Checks that the sequence number is above the last one of the author, and that the base revision
    /// exists.
    fn check_position(&self, state: &State, highest: Number) -> Result<(), Rejection> {
        let last = last_sequence(state, self.id.author);
        if self.id.sequence <= last {
            return Err(Rejection::Sequence(self.id.sequence, last));
        }
        if self.base > highest {
            return Err(Rejection::BaseAhead(self.base, highest));
        }
        Ok(())
    }

    /// Checks that none of the keys was changed after the base revision.
    fn check_conflicts(&self, history: &History) -> Result<(), Rejection> {
        if self.base < history.floor() {
            return Err(Rejection::BaseTooOld(self.base, history.floor()));
        }
        for edit in &self.edits {
            if let Some(changed_in) = history.changed_in(&edit.key).filter(|number| *number > self.base) {
                return Err(Rejection::Conflict { key: edit.key.clone(), base: self.base, changed_in });
            }
        }
        Ok(())
    }
}

/// Appends a part with its length (4, big-endian).
fn push_with_length(bytes: &mut Vec<u8>, part: &[u8]) {
    bytes.extend_from_slice(&(part.len() as u32).to_be_bytes());
    bytes.extend_from_slice(part);
}

/// The reserved key that stores the last sequence number of an author, as eight bytes big-endian.
pub fn author_key(author: Author) -> String {
    format!("{RESERVED}author/{author}")
}

/// The sequence number of the last change of an author in the state; 0 before the first. A malformed value
/// counts as the highest number, so that no change is applied twice.
pub fn last_sequence(state: &State, author: Author) -> u64 {
    let Some(value) = state.get(&author_key(author)) else { return 0 };
    value.try_into().map_or(u64::MAX, u64::from_be_bytes)
}

/// Checks whether a change can be part of the revision after `highest`, whose state is given.
///
/// The sequence numbers of an author ascend, and may have gaps: of two changes that arrive in the wrong
/// order, the lower one is rejected.
///
/// # Errors
/// The reason why it cannot.
pub fn admit(
    change: &Change, state: &State, history: &History, highest: Number, signer: &impl Signer,
) -> Result<(), Rejection> {
    change.check_edits()?;
    if !change.is_signed(signer) {
        return Err(Rejection::Author(change.id.author));
    }
    change.check_position(state, highest)?;
    change.check_conflicts(history)
}

/// The same check for a change in a certified batch. A key that was revoked later does not invalidate the
/// change, and the acceptors that certified the batch have checked for conflicts.
fn admit_certified(
    change: &Change, state: &State, highest: Number, signer: &impl Signer,
) -> Result<(), Rejection> {
    change.check_edits()?;
    if !change.was_signed(signer) {
        return Err(Rejection::Author(change.id.author));
    }
    change.check_position(state, highest)
}
