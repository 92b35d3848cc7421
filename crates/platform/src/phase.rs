//! How far a call has come.

use badgerledge_core::interface::StreamerId;

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The module holds it.
    Waiting,
    /// A join is out.
    Out(StreamerId),
    /// Its subscription stands at that streamer.
    Stands(StreamerId),
    /// It was moved away, and its streamer has yet to end it.
    Leaves(StreamerId),
}

impl Phase {
    /// Whether its viewer still waits for an answer.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Waiting | Self::Out(_))
    }
}
