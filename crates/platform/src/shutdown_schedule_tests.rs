//! The order of the steps of a shutdown, for all client timeouts.

use std::time::Duration;

use crate::shutdown_schedule::ShutdownSchedule;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// For every client timeout the answers come before closing, closing before the exit, and the exit before
/// the earliest kill of the protocol.
#[test]
fn every_step_comes_before_the_kill() {
    let signalled_at = ms(10_000);
    for timeout in [0, 1, 300, 600, 1200, 2999, 3000, 3001, 600_000] {
        let schedule = ShutdownSchedule::new(signalled_at, ms(timeout));
        let counted = if timeout == 0 { 3000 } else { timeout.min(3000) };
        assert_eq!(schedule.killed_at(), signalled_at + ms(counted + 700), "{timeout}");
        assert!(schedule.answer_by() >= signalled_at);
        for closing_since in [schedule.may_close_at(), schedule.answer_by(), schedule.killed_at()] {
            assert!(schedule.exit_by(closing_since) < schedule.killed_at());
        }
        let closing_since = schedule.answer_by();
        assert!(ShutdownSchedule::streamers_closed_by(closing_since) < schedule.exit_by(closing_since));
    }
}

#[test]
fn changed_settings_only_shorten_the_schedule() {
    let mut schedule = ShutdownSchedule::new(ms(0), ms(2000));
    for (timeout, killed_at) in [(5000, 2700), (0, 2700), (600, 1300), (2000, 1300)] {
        schedule.shorten(ms(timeout));
        assert_eq!(schedule.killed_at(), ms(killed_at), "{timeout}");
    }
}
