//! When signals count from, after waits of all kinds.

use std::time::Duration;

use crate::signal_times::SignalTimes;

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
