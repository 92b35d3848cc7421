//! Counts of what became of viewers' set-ups and of the joins made for them, for the log: how many were taken
//! and how many of each kind of final answer were given, in total and since SIGTERM.

use std::fmt;

/// Counts since the start of the process, or between two points in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Set-ups that were received whole; handed-over sessions are not counted.
    pub taken: u64,
    /// Set-ups answered with a streamer's description.
    pub accepted: u64,
    /// Set-ups refused as harmless to repeat.
    pub throttled: u64,
    /// Set-ups answered as failed.
    pub failed: u64,
    /// Set-ups rejected as invalid.
    pub invalid: u64,
    /// Set-ups that were cancelled, or whose connection closed, before an answer.
    pub abandoned: u64,
    /// Joins sent to streamers.
    pub joins: u64,
    /// Joins that were withdrawn: timed out, cancelled, or given up with their set-up.
    pub withdrawn_joins: u64,
}

impl RequestCounts {
    /// The counts since an earlier point in time.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            taken: self.taken - earlier.taken,
            accepted: self.accepted - earlier.accepted,
            throttled: self.throttled - earlier.throttled,
            failed: self.failed - earlier.failed,
            invalid: self.invalid - earlier.invalid,
            abandoned: self.abandoned - earlier.abandoned,
            joins: self.joins - earlier.joins,
            withdrawn_joins: self.withdrawn_joins - earlier.withdrawn_joins,
        }
    }
}

impl fmt::Display for RequestCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { taken, accepted, throttled, failed, invalid, abandoned, joins, withdrawn_joins } = self;
        write!(
            f,
            "taken={taken} accepted={accepted} throttled={throttled} failed={failed} invalid={invalid} \
             abandoned={abandoned} joins={joins} withdrawn_joins={withdrawn_joins}"
        )
    }
}
