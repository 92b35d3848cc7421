//! When the steps of a shutdown happen. The platform kills the process at a time after SIGTERM that follows
//! from the settings, so each step has a time limit that depends on no other party.

use std::time::Duration;

/// The longest client timeout is counted as this much at most.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// SIGKILL follows SIGTERM after the longest client timeout and this time, at the earliest.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The last set-up is answered this long before the earliest kill. Connections are closed in the time after
/// it; a process that gets no processor time for half a second still exits by itself.
const CLOSING_MARGIN: Duration = Duration::from_millis(700);
/// How long closing may take.
const CLOSING_TIME: Duration = Duration::from_millis(450);
/// How long streamers have to close their connections before those of viewers are closed.
const STREAMER_CLOSING_TIME: Duration = Duration::from_millis(150);
/// Viewers still arrive for 0.6 s after SIGTERM, so the process serves at least this long if time allows.
const MIN_SERVING_TIME: Duration = Duration::from_millis(1500);

/// The time limits of a shutdown. SIGHUP may shorten them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled_at: Duration,
    longest_timeout: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that was signalled at this time, with this longest client timeout; zero if
    /// the settings name none.
    pub fn new(signalled_at: Duration, longest_timeout: Duration) -> Self {
        let mut schedule = Self { signalled_at, longest_timeout: MAX_COUNTED_TIMEOUT };
        schedule.shorten(longest_timeout);
        schedule
    }

    /// Applies the longest client timeout of changed settings, if it is shorter than the present one.
    pub fn shorten(&mut self, longest_timeout: Duration) {
        if !longest_timeout.is_zero() {
            self.longest_timeout = self.longest_timeout.min(longest_timeout);
        }
    }

    /// When the signal was received.
    pub fn signalled_at(&self) -> Duration {
        self.signalled_at
    }

    /// The earliest time of the kill.
    pub fn killed_at(&self) -> Duration {
        self.signalled_at + self.longest_timeout + KILL_DELAY
    }

    /// When each set-up must have its answer, and closing begins.
    pub fn answer_by(&self) -> Duration {
        self.killed_at() - CLOSING_MARGIN
    }

    /// When closing may begin earlier, if nothing is held.
    pub fn may_close_at(&self) -> Duration {
        self.answer_by().min(self.signalled_at + MIN_SERVING_TIME)
    }

    /// Until when streamers may close their connections, if closing began at `closing_since`.
    pub fn streamers_closed_by(closing_since: Duration) -> Duration {
        closing_since + STREAMER_CLOSING_TIME
    }

    /// When the process exits at the latest, if closing began at `closing_since`.
    pub fn exit_by(&self, closing_since: Duration) -> Duration {
        (closing_since + CLOSING_TIME).min(self.answer_by() + CLOSING_TIME)
    }
}
