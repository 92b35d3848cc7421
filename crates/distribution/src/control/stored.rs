//! What a control machine stores, and how it is encoded. The driver seals each record, so that a torn one is none.

use badgerledge_revisions::AcceptorState;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::Summary;
use crate::state::{State, StateFault};
use crate::{Certified, Number};

/// Something that must outlive the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredItem {
    /// The agreement's own state; takes the place of the one before.
    Agreement(Vec<u8>),
    /// A batch that this machine may vote for, or that was certified; appended. Those of numbers up to that of the last
    /// checkpoint may be dropped.
    Batch { number: Number, summary: Summary, bytes: Vec<u8> },
    /// The whole state of a certified revision; takes the place of the one before, and comes rarely.
    Checkpoint(Box<Checkpoint>),
}

/// The whole state of a certified revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    pub certificate: Certified,
    pub summary: Summary,
    /// A clone shares its parts with the machine's own; writing it out takes a while, and may be done beside it.
    pub state: State,
}

/// What a machine finds of what it stored, each part as far as it is whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The last [`StoredItem::Agreement`].
    pub agreement: Option<Vec<u8>>,
    /// The last [`StoredItem::Checkpoint`].
    pub checkpoint: Option<Checkpoint>,
    /// All [`StoredItem::Batch`] since.
    pub batches: Vec<StoredItem>,
}

/// Why bytes are no stored item: it is as if it were not there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoredFault {
    #[error("they can't be decoded")]
    Form,
    #[error("{0} bytes are left over behind an item")]
    Trailing(usize),
    #[error("a checkpoint: {0}")]
    State(#[from] StateFault),
}

#[derive(Serialize, Deserialize)]
enum Written {
    Agreement(Vec<u8>),
    Batch { number: Number, summary: Summary, bytes: Vec<u8> },
    Checkpoint { certificate: Certified, summary: Summary, state: Vec<u8> },
}

impl StoredItem {
    /// Encodes an item.
    pub fn encode(&self) -> Vec<u8> {
        let written = match self.clone() {
            Self::Agreement(bytes) => Written::Agreement(bytes),
            Self::Batch { number, summary, bytes } => Written::Batch { number, summary, bytes },
            Self::Checkpoint(checkpoint) => {
                let Checkpoint { certificate, summary, state } = *checkpoint;
                Written::Checkpoint { certificate, summary, state: state.write() }
            }
        };
        // The types hold nothing that the encoding can't express.
        postcard::to_stdvec(&written).unwrap_or_default()
    }

    /// Decodes what [`StoredItem::encode`] made.
    ///
    /// # Errors
    /// Where the bytes are no item, or one out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, StoredFault> {
        let (written, left) = postcard::take_from_bytes(bytes).map_err(|_| StoredFault::Form)?;
        if !left.is_empty() {
            return Err(StoredFault::Trailing(left.len()));
        }
        Ok(match written {
            Written::Agreement(bytes) => Self::Agreement(bytes),
            Written::Batch { number, summary, bytes } => Self::Batch { number, summary, bytes },
            Written::Checkpoint { certificate, summary, state } => {
                let state = State::read(&state)?;
                Self::Checkpoint(Box::new(Checkpoint { certificate, summary, state }))
            }
        })
    }
}

impl Stored {
    /// What an acceptor is given once, when the tier is set up: it has signed nothing so far. With [`Stored::default`] it
    /// counts as one that lost its disk, and asks the others before it votes.
    pub fn founding() -> Self {
        let kept = badgerledge_revisions::StoredState {
            acceptor: Some(AcceptorState::default()),
            ..Default::default()
        };
        Self { agreement: Some(kept.write()), ..Self::default() }
    }

    /// Puts an item where it belongs, as a file of items would.
    pub fn take(&mut self, item: StoredItem) {
        match item {
            StoredItem::Agreement(bytes) => self.agreement = Some(bytes),
            StoredItem::Checkpoint(checkpoint) => {
                let floor = checkpoint.certificate.number();
                let later =
                    |item: &StoredItem| matches!(item, StoredItem::Batch { number, .. } if *number > floor);
                self.batches.retain(later);
                self.checkpoint = Some(*checkpoint);
            }
            batch @ StoredItem::Batch { .. } => self.batches.push(batch),
        }
    }
}
