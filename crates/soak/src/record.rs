//! What clients, streamers and the rig saw during a run, in times of the rig's one clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// Everything that a run is judged by.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// By the id of the request.
    pub requests: BTreeMap<u64, Request>,
    pub lives: Vec<Life>,
    /// Frames and lines that could not be understood, with when and where.
    pub unreadable: Vec<(Duration, String)>,
    /// The longest time that the rig's own loop was late.
    pub longest_lag: Duration,
    pub coverage: Coverage,
}

/// One request of a client.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Request {
    /// The index in [`Record::lives`] of the process that it was sent to.
    pub life: usize,
    /// Index of its room type.
    pub room_type: usize,
    pub timeout: Duration,
    /// When its last byte was written; `None` if its connection ended before.
    pub sent_at: Option<Duration>,
    /// When its client cancelled it, closed its connection, or ended its session.
    pub left_at: Option<Duration>,
    pub answers: Vec<(Duration, Answer)>,
    /// When its connection ended while no answer had come.
    pub cut_at: Option<Duration>,
    /// It crossed the close of a connection, and was sent again on another one.
    pub sent_again: bool,
    /// It was not taken: the second connection was refused.
    pub not_taken: bool,
    pub joins: Vec<Join>,
    /// When its streamer wrote the release of its session on an open connection, or cut it.
    pub session_ended_at: Option<Duration>,
}

/// A final answer to a request, or the release of its session after it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Answer {
    /// Accepted; whether with the description that the streamer gave.
    Accepted { genuine: bool },
    /// Refused, failed, or over.
    Released { cause: u8 },
    /// The session is moved.
    Moved,
}

/// An offer that arrived at a streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Join {
    /// The streamer's id in the list.
    pub streamer: u32,
    pub connection: u64,
    pub arrived_at: Duration,
    /// When and how it ended; `None` while it is outstanding.
    pub ended: Option<(Duration, JoinEnd)>,
    /// When the list said to the controller that this streamer drains or is gone.
    pub unlisted_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JoinEnd {
    Accepted,
    Refused {
        cause: u8,
    },
    /// The controller withdrew it.
    Withdrawn,
    ConnectionEnded,
}

impl JoinEnd {
    /// Whether it proves that the join had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Refused { cause: 34 | 102 })
    }
}

/// A process from its start to its end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Life {
    pub process: usize,
    pub started_at: Duration,
    /// When it first passed a health check.
    pub ready_at: Option<Duration>,
    pub terminated_at: Option<Duration>,
    pub killed_at: Option<Duration>,
    /// It was to be killed without a SIGTERM.
    pub crash: bool,
    /// When the rig saw that it had exited, and whether with success.
    pub exited_at: Option<(Duration, bool)>,
    pub max_descriptors: usize,
    pub max_memory_kb: u64,
    pub accepted: u64,
    /// Stops by the rig: from, until.
    pub stopped: Vec<(Duration, Duration)>,
}

/// How often each thing was put to the test.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Coverage {
    pub requests: u64,
    pub accepted: u64,
    pub refused: u64,
    pub failed: u64,
    pub joins: u64,
    pub refusals: u64,
    pub second_copies: u64,
    pub malformed_answers: u64,
    pub silent_joins: u64,
    pub closed_connections: u64,
    pub reset_connections: u64,
    pub cancelled_requests: u64,
    pub closed_requests: u64,
    pub sent_again: u64,
    pub shutdowns: u64,
    pub exits_before_kill: u64,
    /// Time between the exit and the kill, summed, in milliseconds.
    pub exit_lead_ms: u64,
    pub requests_after_signal: u64,
    pub refused_after_signal: u64,
    pub crashes: u64,
    pub hand_overs: u64,
    pub crowd_connections: u64,
    pub sessions_ended_by_streamers: u64,
    pub list_changes: u64,
    pub hang_ups: u64,
}
