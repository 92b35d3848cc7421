//! What a control machine wants done, and what it stores.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::Summary;
use crate::message::{PeerMessage, ToWatcher};
use crate::state::Entry;
use crate::{Certified, MachineId, Number};

/// A connection of a watcher or a tool, numbered by the driver and never used twice in a run.
pub type ConnectionId = u64;

/// What a control machine wants done, in this order: what is stored must be on the disk before what follows goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutput {
    Store(StoredItem),
    ToPeer(MachineId, PeerMessage),
    ToWatcher(ConnectionId, ToWatcher),
    /// What was sent before still goes out; nothing is read from it any more.
    CloseWatcher(ConnectionId, CloseReason),
}

/// Why a relay closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseReason {
    #[error("{0} connections are open, no more are taken")]
    Full(usize),
    #[error("the controller connected again")]
    Replaced,
    #[error("what was sent was not acknowledged in time")]
    Silent,
    #[error("messages came faster than they are taken")]
    Flood,
    #[error("a message that does not fit the state of the connection")]
    Protocol,
}

/// Something that must outlive the process. The driver seals each, so that a torn one is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredItem {
    /// The agreement's own state; takes the place of the one before.
    Agreement(Vec<u8>),
    /// A batch that this machine may vote for, or that was certified; appended. Those of numbers up to that of the last
    /// checkpoint may be dropped.
    Batch { number: Number, summary: Summary, bytes: Vec<u8> },
    /// The whole state of a certified revision; takes the place of the one before, and comes rarely.
    Checkpoint {
        certificate: Option<Certified>,
        summary: Option<Summary>,
        number: Number,
        entries: Vec<Entry>,
    },
}

/// What a machine finds of what it stored, each part as far as it is whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The last [`StoredItem::Agreement`].
    pub agreement: Option<Vec<u8>>,
    /// The last [`StoredItem::Checkpoint`].
    pub checkpoint: Option<StoredItem>,
    /// All [`StoredItem::Batch`] since, in the order in which they were stored.
    pub batches: Vec<StoredItem>,
}
