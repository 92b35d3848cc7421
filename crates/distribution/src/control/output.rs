//! What a control machine wants done.

use thiserror::Error;

use crate::control::StoredItem;
use crate::message::{PeerMessage, ToWatcher};
use crate::MachineId;

/// A connection of a watcher or a tool, numbered by the driver and never used twice in a run.
pub type ConnectionId = u64;

/// What a control machine wants done, in this order: what is stored must be on the disk before what follows goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutput {
    Store(StoredItem),
    ToPeer(MachineId, PeerMessage),
    ToWatcher(ConnectionId, Box<ToWatcher>),
    /// What was sent before still goes out; nothing is read from the connection any more, and it is not reported closed.
    CloseWatcher(ConnectionId, CloseReason),
}

impl ControlOutput {
    pub(crate) fn to_watcher(connection: ConnectionId, message: ToWatcher) -> Self {
        Self::ToWatcher(connection, Box::new(message))
    }
}

/// Why a relay closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseReason {
    #[error("{0} connections are open, no more are taken")]
    Full(usize),
    #[error("{0} controllers wait to be admitted, no more are taken")]
    Queue(usize),
    #[error("the controller connected again")]
    Replaced,
    #[error("nothing was heard, or what was sent was not acknowledged, in time")]
    Silent,
    #[error("messages came faster than they are taken")]
    Flood,
    #[error("a message that does not fit the state of the connection")]
    Protocol,
}
