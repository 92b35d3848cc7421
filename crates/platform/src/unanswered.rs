//! Set-ups that were taken and whose connection ended before their answer: counted by who ended it and the step they
//! stood at, and written to the log, so that one lost request names where to look.
//!
//! A viewer that gives up by closing is among them, and is no fault; a connection that this program ended with a
//! set-up open, or an answer that was given and not written, is.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::Closing;

use crate::phase::Phase;

/// A line in the log at most so often; what comes between is counted, and told with the next. A crowd that connects,
/// asks and closes must not cost a write each.
const SAID_EVERY: Duration = Duration::from_secs(1);

/// Who ended a viewers' connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum By {
    /// The viewer's end closed it.
    Viewer,
    /// It broke under a read or a write.
    Network,
    /// What came on it cannot be read.
    Unreadable,
    /// It gave way to another, or had had its time.
    Us,
}

impl From<Closing> for By {
    fn from(why: Closing) -> Self {
        match why {
            Closing::ByPeer => Self::Viewer,
            Closing::Broken => Self::Network,
            Closing::NotMade | Closing::Finished => Self::Us,
        }
    }
}

/// How far a set-up had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// No join was made yet.
    Unplaced,
    /// Joins were made, and none is out.
    Between,
    /// A join is out.
    JoinOut,
    /// A streamer answered, and the viewer's connection did not take the answer.
    NotTaken,
    /// The answer was given to the connection, and its bytes were not all written.
    NotWritten,
}

impl Step {
    /// The step of a call without an answer, with its joins so far.
    pub fn of(phase: Phase, joins: u16) -> (Self, Option<StreamerId>) {
        match phase {
            Phase::Out(streamer) => (Self::JoinOut, Some(streamer)),
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

/// One such set-up.
#[derive(Clone, Copy, Debug)]
pub struct Lost {
    pub wire_id: u64,
    pub by: By,
    pub step: Step,
    pub streamer: Option<StreamerId>,
    /// How long it had been here.
    pub held: Duration,
}

/// All of them since the start.
#[derive(Default)]
pub struct Unanswered {
    counts: BTreeMap<(By, Step), u64>,
    say_at: Duration,
    unsaid: u64,
}

impl Unanswered {
    /// Counts one, and says so unless one was said just before. Tells whether it was said.
    pub fn note(&mut self, now: Duration, lost: &Lost) -> bool {
        *self.counts.entry((lost.by, lost.step)).or_default() += 1;
        if now < self.say_at {
            self.unsaid += 1;
            return false;
        }
        self.say_at = now + SAID_EVERY;
        let more = std::mem::take(&mut self.unsaid);
        let Lost { wire_id, by, step, streamer, held } = *lost;
        let (wire_id, step) = (format_args!("{wire_id:016x}"), format_args!("{step}"));
        tracing::warn!(wire_id, ?by, %step, ?streamer, ?held, more, "a set-up's connection ended without its answer");
        true
    }

    /// All counts, for the log at the end.
    pub fn all(&self) -> impl Iterator<Item = (By, Step, u64)> + '_ {
        self.counts.iter().map(|((by, step), count)| (*by, *step, *count))
    }
}
