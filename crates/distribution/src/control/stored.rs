//! The items that a control machine stores, and their encoding. The driver seals each record with a digest,
//! so that a partially written one is ignored.

use badgerledge_revisions::AcceptorState;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::Summary;
use crate::state::{State, StateFault};
use crate::{Certified, Number};

/// An item that must survive a restart of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredItem {
    /// The state of consensus; replaces the previous one.
    Agreement(Vec<u8>),
    /// A batch that this machine may vote for, or that was certified; appended. Batches with numbers up to
    /// that of the last checkpoint may be dropped.
    Batch { number: Number, summary: Summary, bytes: Vec<u8> },
    /// The whole state of a certified revision; replaces the previous one, and is rare.
    Checkpoint(Box<Checkpoint>),
}

/// The whole state of a certified revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    pub certificate: Certified,
    pub summary: Summary,
    /// A clone that shares its parts with the machine's own state. Writing it takes long, and may be done
    /// concurrently.
    pub state: State,
}

/// The valid stored items that a machine finds when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The last [`StoredItem::Agreement`].
    pub agreement: Option<Vec<u8>>,
    /// The last [`StoredItem::Checkpoint`].
    pub checkpoint: Option<Checkpoint>,
    /// All [`StoredItem::Batch`] since the checkpoint.
    pub batches: Vec<StoredItem>,
}

/// Why bytes are not a stored item. The item is treated as missing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoredFault {
    #[error("the bytes cannot be decoded")]
    Malformed,
    #[error("{0} extra bytes after the item")]
    Trailing(usize),
    #[error("the state of a checkpoint is invalid: {0}")]
    State(#[from] StateFault),
}

#[derive(Serialize, Deserialize)]
enum StoredRecord {
    Agreement(Vec<u8>),
    Batch { number: Number, summary: Summary, bytes: Vec<u8> },
    Checkpoint { certificate: Certified, summary: Summary, state: Vec<u8> },
}

impl StoredItem {
    /// Encodes an item.
    pub fn encode(&self) -> Vec<u8> {
        let record = match self.clone() {
            Self::Agreement(bytes) => StoredRecord::Agreement(bytes),
            Self::Batch { number, summary, bytes } => StoredRecord::Batch { number, summary, bytes },
            Self::Checkpoint(checkpoint) => {
                let Checkpoint { certificate, summary, state } = *checkpoint;
                StoredRecord::Checkpoint { certificate, summary, state: state.write() }
            }
        };
        // These types contain nothing that the encoding cannot express.
        postcard::to_stdvec(&record).unwrap_or_default()
    }

    /// Decodes what [`StoredItem::encode`] made.
    ///
    /// # Errors
    /// If the bytes are not an item, or its state exceeds the limits.
    pub fn decode(bytes: &[u8]) -> Result<Self, StoredFault> {
        let (record, trailing) = postcard::take_from_bytes(bytes).map_err(|_| StoredFault::Malformed)?;
        if !trailing.is_empty() {
            return Err(StoredFault::Trailing(trailing.len()));
        }
        Ok(match record {
            StoredRecord::Agreement(bytes) => Self::Agreement(bytes),
            StoredRecord::Batch { number, summary, bytes } => Self::Batch { number, summary, bytes },
            StoredRecord::Checkpoint { certificate, summary, state } => {
                let state = State::read(&state)?;
                Self::Checkpoint(Box::new(Checkpoint { certificate, summary, state }))
            }
        })
    }
}

impl Stored {
    /// The items for an acceptor when the control tier is founded: it has signed nothing so far. With
    /// [`Stored::default`] it counts as an acceptor that lost its disk, and asks the others before it votes.
    pub fn founding() -> Self {
        let agreement = badgerledge_revisions::StoredState {
            acceptor: Some(AcceptorState::default()),
            ..Default::default()
        };
        Self { agreement: Some(agreement.write()), ..Self::default() }
    }

    /// Applies an item as reading a file of items would.
    pub fn apply(&mut self, item: StoredItem) {
        match item {
            StoredItem::Agreement(bytes) => self.agreement = Some(bytes),
            StoredItem::Checkpoint(checkpoint) => {
                let last = checkpoint.certificate.number();
                let is_later =
                    |item: &StoredItem| matches!(item, StoredItem::Batch { number, .. } if *number > last);
                self.batches.retain(is_later);
                self.checkpoint = Some(*checkpoint);
            }
            batch @ StoredItem::Batch { .. } => self.batches.push(batch),
        }
    }
}
