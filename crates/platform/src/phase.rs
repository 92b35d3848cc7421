//! The phases of a session.

use badgerledge_core::interface::{Ending, StreamerId};

/// The phase of a session. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for the decision module to place it.
    Waiting,
    /// A join at this streamer is outstanding.
    Joining(StreamerId),
    /// A join at this streamer was withdrawn or its connection broke. The streamer may not have read that yet,
    /// so no other join is sent for a while.
    Withdrawn(StreamerId, Ending),
    /// Playing at this streamer.
    Playing(StreamerId),
    /// Moved away from this streamer, which has not yet ended it.
    Moving(StreamerId),
}

impl Phase {
    /// The streamer that plays the session, also while it is being moved away.
    pub fn playing_at(self) -> Option<StreamerId> {
        match self {
            Self::Playing(streamer) | Self::Moving(streamer) => Some(streamer),
            Self::Waiting | Self::Joining(_) | Self::Withdrawn(..) => None,
        }
    }

    /// The streamer that a join was sent to, or that plays the session.
    pub fn streamer(self) -> Option<StreamerId> {
        match self {
            Self::Joining(streamer) | Self::Withdrawn(streamer, _) => Some(streamer),
            Self::Waiting | Self::Playing(_) | Self::Moving(_) => self.playing_at(),
        }
    }

    /// The same phase at another streamer.
    pub fn at(self, streamer: StreamerId) -> Self {
        match self {
            Self::Waiting => Self::Waiting,
            Self::Joining(_) => Self::Joining(streamer),
            Self::Withdrawn(_, ending) => Self::Withdrawn(streamer, ending),
            Self::Playing(_) => Self::Playing(streamer),
            Self::Moving(_) => Self::Moving(streamer),
        }
    }

    /// Whether the viewer still waits for an answer to its set-up.
    pub fn is_pending(self) -> bool {
        matches!(self, Self::Waiting | Self::Joining(_) | Self::Withdrawn(..))
    }
}
