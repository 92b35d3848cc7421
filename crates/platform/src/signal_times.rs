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

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    #[test]
    fn a_signal_counts_from_when_it_may_have_been_sent() {
        let mut times = SignalTimes::default();
        times.record_wait(ms(0), ms(2), ms(100), ms(50));
        assert_eq!(times.earliest(), ms(50), "it ended the wait");
        times.record_wait(ms(50), ms(80), ms(150), ms(80));
        assert_eq!(times.earliest(), ms(50), "it came while the events before were handled");
        times.record_wait(ms(80), ms(81), ms(180), ms(600));
        assert_eq!(times.earliest(), ms(80), "the process was stopped");
        times.record_wait(ms(600), ms(610), ms(700), ms(610));
        assert_eq!(times.earliest(), ms(80), "it is reported one wait later");
        times.record_wait(ms(610), ms(615), ms(710), ms(615));
        assert_eq!(times.earliest(), ms(610), "a process that is only busy");
    }
}
