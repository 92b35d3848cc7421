//! The outputs of a control machine.

use thiserror::Error;

use crate::control::StoredItem;
use crate::message::{PeerMessage, ToWatcher};
use crate::MachineId;

/// A connection of a watcher or a tool, numbered by the driver; a number is never reused in a run.
pub type ConnectionId = u64;

/// An action for the driver, to be executed in order: an item must be on the disk before later outputs are
/// sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutput {
    /// Store an item.
    Store(StoredItem),
    /// Send a message to another control machine.
    ToPeer(MachineId, PeerMessage),
    /// Send a message on a connection of a watcher or a tool.
    ToWatcher(ConnectionId, Box<ToWatcher>),
    /// Close a connection after sending what is queued. The driver reads nothing more from it, and does not
    /// report it as closed.
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
    #[error("{0} connections are open; no more are accepted")]
    Full(usize),
    #[error("{0} controllers wait for admission; no more are queued")]
    Queue(usize),
    #[error("the controller opened another connection")]
    Replaced,
    #[error("no message was received, or an update was not acknowledged, in time")]
    Silent,
    #[error("messages arrived faster than the rate limit")]
    Flood,
    #[error("a message that is invalid in the state of the connection")]
    Protocol,
}
