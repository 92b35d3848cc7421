//! What is not a violation, and the arithmetic of the cold budget. The tests of the stand-ins show that each
//! violation is found on real sockets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_deployment::Shared;
use badgerledge_settings::Sheet;

use crate::RuleChecker;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn checker() -> RuleChecker {
    let text = "[fleet]\nzones = a\nkinds = k\nkind_streams = 20\ncells = 4\nracks = 2\nlink_unit_kb = 100\n\
                links_kb = 400\nuplink_kb = 100\n[ladder]\nrates_kb = 10, 20\nbenefit = 0.5, 1\n\
                [room_type clip]\njoin_objective_ms = 1000\nclient_timeout_ms = 2000\nbenefit = 1\n\
                [room_type paid]\njoin_objective_ms = 1000\nclient_timeout_ms = 2000\nbenefit = 1\n\
                set_up_again = single_shot\nfloor = 1\nseats = 1\n\
                [rules]\nwarm_up_ms = 10000\ncold_from = 0.5\ntip_after_ms = 2000\nbudget_window_ms = 5000\n\
                budget_few = 1\n";
    let sheet = Sheet::parse("w.ini", text).unwrap_or_else(|faults| panic!("{faults}"));
    let mut checker = RuleChecker::new(Shared::of(&sheet).unwrap_or_else(|faults| panic!("{faults}")));
    checker.controller_up(0);
    checker
}

fn streamer(n: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, n)
}

#[test]
fn permitted_events_are_no_violations() {
    let mut checker = checker();
    checker.request_sent(ms(0), 1, 0, 9, 5, 0, ms(2000));
    checker.set_up_received(ms(10), 1, streamer(1), 9, 5, 0, 0);
    checker.join_ended(1);
    checker.set_up_received(ms(500), 2, streamer(2), 9, 5, 0, 0);
    checker.answer_received(ms(600), 1, 200);
    // A retry waits for the join of the first try: the outstanding join serves both.
    checker.request_sent(ms(0), 2, 0, 8, 5, 0, ms(2000));
    checker.set_up_received(ms(10), 3, streamer(1), 8, 5, 0, 0);
    checker.request_sent(ms(300), 3, 0, 8, 5, 0, ms(2000));
    checker.answer_received(ms(700), 3, 200);
    checker.answer_received(ms(700), 2, 503);
    // A rejected join never ran.
    checker.request_sent(ms(0), 4, 0, 7, 5, 1, ms(2000));
    checker.set_up_received(ms(10), 4, streamer(1), 7, 5, 1, 1);
    checker.set_up_rejected(4);
    checker.answer_received(ms(800), 4, 503);
    // A killed controller is not responsible for the requests that it held.
    checker.request_sent(ms(900), 5, 0, 6, 5, 0, ms(2000));
    checker.controller_down(0);
    checker.request_timed_out(5);
    // Draining only for another controller, and within the grace period.
    checker.controller_up(1);
    checker.list_update_sent(ms(1000), 0, streamer(1), true);
    checker.list_update_sent(ms(1000), 1, streamer(2), true);
    checker.request_sent(ms(1100), 6, 1, 5, 5, 0, ms(2000));
    checker.set_up_received(ms(1200), 6, streamer(1), 5, 5, 0, 0);
    checker.join_ended(6);
    checker.set_up_received(ms(1400), 7, streamer(2), 5, 5, 0, 0);
    for (n, rule) in checker.results().iter().enumerate() {
        assert_eq!(rule.violations, 0, "rule {}: {:?}", n + 1, rule.examples);
    }
}

/// Guards against counting a join for the retry of a viewer although the streamer rejected it later.
#[test]
fn a_retry_and_its_first_try_share_the_joins_that_may_have_run() {
    let mut checker = checker();
    checker.request_sent(ms(0), 1, 0, 9, 5, 1, ms(2000));
    checker.set_up_received(ms(10), 1, streamer(1), 9, 5, 1, 1);
    checker.request_sent(ms(300), 2, 0, 9, 5, 1, ms(2000));
    checker.set_up_rejected(1);
    checker.set_up_received(ms(400), 2, streamer(2), 9, 5, 1, 1);
    assert_eq!(checker.results()[1].violations, 0, "{:?}", checker.results()[1]);
}

/// Guards against counting joins of a killed controller against the restarted one.
#[test]
fn a_retry_at_a_restarted_controller_is_a_new_subscription_and_at_a_resumed_one_is_not() {
    let violations = |restarted: bool| {
        let mut checker = checker();
        checker.request_sent(ms(0), 1, 0, 9, 5, 1, ms(2000));
        checker.set_up_received(ms(10), 1, streamer(1), 9, 5, 1, 1);
        checker.controller_down(0);
        checker.join_ended(1);
        if restarted {
            checker.controller_up(0)
        } else {
            checker.controller_resumed(0)
        };
        checker.request_sent(ms(900), 2, 0, 9, 5, 1, ms(2000));
        checker.set_up_received(ms(910), 2, streamer(2), 9, 5, 1, 1);
        checker.results()[1].violations
    };
    assert_eq!((violations(true), violations(false)), (0, 1));
}

#[test]
fn a_cold_streamer_is_overloaded_above_its_budget_only() {
    // 20 sessions over 10 s, at half warmth, twice that, in 2 s: 2 x 2 x (0.5 x 2 + 0.05 x 4 / 2) = 4.4
    // set-ups.
    let overloaded_at = |from: u64| {
        let mut checker = checker();
        checker.streamer_started(ms(0), streamer(1), 20.0);
        (1..100).find(|n| checker.set_up_received(ms(from + n), *n, streamer(1), *n, 5, 0, 0))
    };
    assert_eq!(overloaded_at(100), Some(6));
    assert_eq!(overloaded_at(8000), Some(8), "it has warmed: 2 x 2 x 0.85 x 2 = 6.8");
    assert_eq!(overloaded_at(10_000), None);
}

#[test]
fn old_joins_leave_the_window() {
    let mut checker = checker();
    checker.streamer_started(ms(0), streamer(1), 20.0);
    for n in 0..9 {
        assert!(!checker.set_up_received(ms(500 + 1000 * n), n, streamer(1), n, 5, 0, 0));
    }
    assert_eq!(checker.results()[3].checks, 9);
}
