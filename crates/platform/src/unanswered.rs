//! Counts and logs accepted set-ups whose connection closed before their answer, by who closed it and by the
//! step the set-up had reached, so that a single lost request can be located.
//!
//! A viewer that gives up by closing its connection is counted too and is no fault. A connection that this
//! program closed with a set-up pending, or an answer that was sent but never written, is one.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::CloseReason;

use crate::phase::Phase;

/// Minimum interval between log lines; set-ups in between are counted and reported with the next line. A
/// crowd of viewers that connect, send a set-up and close must not cost a log write each.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Who closed a viewer's connection. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosedBy {
    /// The viewer closed it.
    Viewer,
    /// A read or write failed.
    Network,
    /// The viewer sent a malformed frame.
    Unreadable,
    /// This program closed it: it was evicted or timed out.
    Us,
}

impl From<CloseReason> for ClosedBy {
    fn from(reason: CloseReason) -> Self {
        match reason {
            CloseReason::ByPeer => Self::Viewer,
            CloseReason::Broken => Self::Network,
            CloseReason::NotMade | CloseReason::Finished => Self::Us,
        }
    }
}

/// The step that a set-up had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// No join was sent yet.
    Unplaced,
    /// Joins were sent, and none is outstanding.
    Between,
    /// A join is outstanding.
    JoinOut,
    /// A streamer answered, but the viewer's connection did not accept the answer.
    NotTaken,
    /// The answer was passed to the connection, but was not completely written.
    NotWritten,
}

impl Step {
    /// The step of a session without an answer, given its phase and the number of its joins so far.
    pub fn of(phase: Phase, joins: u16) -> (Self, Option<StreamerId>) {
        match phase {
            Phase::Joining(streamer) => (Self::JoinOut, Some(streamer)),
            _ if joins == 0 => (Self::Unplaced, None),
            _ => (Self::Between, None),
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unplaced => "before its first join",
            Self::Between => "between joins",
            Self::JoinOut => "with a join out",
            Self::NotTaken => "with an answer that was not taken",
            Self::NotWritten => "with an answer that was not written",
        })
    }
}

/// A set-up whose connection closed before its answer.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredSetUp {
    pub wire_id: u64,
    pub closed_by: ClosedBy,
    pub step: Step,
    pub streamer: Option<StreamerId>,
    /// Time since the set-up arrived.
    pub age: Duration,
}

/// Counts of all such set-ups since the start.
#[derive(Default)]
pub struct UnansweredCounts {
    counts: BTreeMap<(ClosedBy, Step), u64>,
    next_log_at: Duration,
    suppressed: u64,
}

impl UnansweredCounts {
    /// Counts a set-up, and logs it unless the last log line is too recent. Returns whether it was logged.
    pub fn record(&mut self, now: Duration, set_up: &UnansweredSetUp) -> bool {
        *self.counts.entry((set_up.closed_by, set_up.step)).or_default() += 1;
        if now < self.next_log_at {
            self.suppressed += 1;
            return false;
        }
        self.next_log_at = now + LOG_INTERVAL;
        let more = std::mem::take(&mut self.suppressed);
        let UnansweredSetUp { wire_id, closed_by, step, streamer, age } = *set_up;
        let (wire_id, by, step) = (format_args!("{wire_id:016x}"), closed_by, format_args!("{step}"));
        tracing::warn!(
            wire_id,
            ?by,
            %step,
            ?streamer,
            held = ?age,
            more,
            "connection closed before its set-up was answered"
        );
        true
    }

    /// Returns all counts, for the log at shutdown.
    pub fn all(&self) -> impl Iterator<Item = (ClosedBy, Step, u64)> + '_ {
        self.counts.iter().map(|((closed_by, step), count)| (*closed_by, *step, *count))
    }
}
