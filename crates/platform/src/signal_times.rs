//! When a signal may have been sent, at the earliest. A process that gets no processor time reads a signal
//! late, but time limits count from when it was sent.

use std::time::Duration;

/// A shorter wait found its events already there.
const MIN_BLOCKING_WAIT: Duration = Duration::from_millis(1);

/// Times derived from the event loop's latest waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalTimes {
    earliest: Duration,
    /// The end of the wait before the latest one, if the latest one ended late: signals sent meanwhile may be
    /// reported by the next one only.
    delayed_since: Option<Duration>,
}

impl SignalTimes {
    /// Records a wait from `waits_since` to `until` that ended at `now`; `woke_before` is the end of the wait
    /// before it.
    pub fn record_wait(
        &mut self, woke_before: Duration, waits_since: Duration, until: Duration, now: Duration,
    ) {
        let late = now > until + MIN_BLOCKING_WAIT;
        let woke_at_once = now < waits_since + MIN_BLOCKING_WAIT;
        let delayed_before = self.delayed_since.take();
        self.earliest = match late || woke_at_once {
            true => delayed_before.unwrap_or(woke_before),
            // The signal ended the wait.
            false => now,
        };
        self.delayed_since = late.then_some(woke_before);
    }

    /// When a signal that the latest wait reported may have been sent, at the earliest.
    pub fn earliest(&self) -> Duration {
        self.earliest
    }
}
