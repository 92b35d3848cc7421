//! Authors' changes, batches of them, and the summary of a batch that acceptors certify.

mod batch;
mod history;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

use crate::state::{Edit, State};
use crate::{Author, Number, Signature, Signer};

pub use batch::{Batch, BatchFault, Built, Limits, Summary, LARGEST_BATCH, MOST_CHANGES, SUMMARY};
pub use history::{History, MOST_KEYS};

/// Edits of one change at most.
pub const MOST_EDITS: usize = 1024;
/// Signed bytes of one change at most.
pub const LARGEST_CHANGE: usize = 128 * 1024;
/// Keys that begin with it are the protocol's own: authors can't edit them.
pub const RESERVED: char = '\0';

/// What an author signs begins with it.
const DOMAIN: &[u8] = b"badgerledge change 1";

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

impl Change {
    /// Makes a change with the signature that `sign` gives for its bytes.
    pub fn sign(
        author: Author, sequence: u64, base: Number, edits: Vec<Edit>, sign: impl FnOnce(&[u8]) -> Signature,
    ) -> Self {
        let mut change = Self { id: ChangeId { author, sequence }, base, edits, signature: [0; 64] };
        change.signature = sign(&change.signed_bytes());
        change
    }

    /// What the author signs: a domain string, author (2), sequence (8), base (4), number of edits (4), and for each edit the
    /// length of the key (4), the key, and 0 for a removal or 1, the length of the value (4) and the value. Numbers are
    /// big-endian.
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

    /// Whether its author signed it by a key that holds.
    pub fn is_signed(&self, hand: &impl Signer) -> bool {
        hand.verify_author(self.id.author, &self.signed_bytes(), &self.signature)
    }

    /// Whether its author signed it, by a key that holds or held.
    pub fn was_signed(&self, hand: &impl Signer) -> bool {
        hand.verify_author_any_key(self.id.author, &self.signed_bytes(), &self.signature)
    }

    /// Whether its edits are within their bounds and of keys that authors may edit, no key twice.
    fn check_edits(&self) -> Result<(), Rejection> {
        if self.edits.is_empty() {
            return Err(Rejection::Empty);
        }
        if self.edits.len() > MOST_EDITS {
            return Err(Rejection::TooLarge(self.edits.len(), MOST_EDITS));
        }
        let length = self.signed_bytes().len();
        if length > LARGEST_CHANGE {
            return Err(Rejection::TooLarge(length, LARGEST_CHANGE));
        }
        let mut keys = BTreeSet::new();
        for edit in &self.edits {
            let refused = |reason: String| Rejection::Edit { key: edit.key.clone(), reason };
            edit.check().map_err(|fault| refused(fault.to_string()))?;
            if edit.key.starts_with(RESERVED) {
                return Err(refused("it begins with NUL, as only the protocol's own keys do".to_owned()));
            }
            if !keys.insert(&edit.key) {
                return Err(refused("it is edited twice".to_owned()));
            }
        }
        Ok(())
    }

    /// Whether it is the author's next one, and made against a revision that there is.
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

    /// Whether none of its keys was changed after its base.
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

fn push_with_length(bytes: &mut Vec<u8>, part: &[u8]) {
    bytes.extend_from_slice(&(part.len() as u32).to_be_bytes());
    bytes.extend_from_slice(part);
}

/// The protocol's own key at which the last sequence number of an author stands, as eight bytes big-endian.
pub fn author_key(author: Author) -> String {
    format!("{RESERVED}author/{author}")
}

/// The sequence number of the last change of an author that the state has; 0 before the first. A value of another form
/// counts as the highest number, so that nothing is applied twice.
pub fn last_sequence(state: &State, author: Author) -> u64 {
    let Some(value) = state.get(&author_key(author)) else { return 0 };
    value.try_into().map_or(u64::MAX, u64::from_be_bytes)
}

/// Whether a change can become part of the revision after `highest`, whose state this is.
///
/// An author's changes are numbered upwards, not without gaps: of two that come in the wrong order, the lower one is
/// rejected.
///
/// # Errors
/// Why it can't.
pub fn admit(
    change: &Change, state: &State, history: &History, highest: Number, hand: &impl Signer,
) -> Result<(), Rejection> {
    change.check_edits()?;
    if !change.is_signed(hand) {
        return Err(Rejection::Author(change.id.author));
    }
    change.check_position(state, highest)?;
    change.check_conflicts(history)
}

/// The same for a change that stands in a certified batch: a key that was revoked since takes nothing back, and
/// conflicts were checked by those who certified it.
fn admit_certified(
    change: &Change, state: &State, highest: Number, hand: &impl Signer,
) -> Result<(), Rejection> {
    change.check_edits()?;
    if !change.was_signed(hand) {
        return Err(Rejection::Author(change.id.author));
    }
    change.check_position(state, highest)
}
