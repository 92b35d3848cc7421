//! The witness by itself: what is no breach, and the figures of the cold budget. That it names each breach on the
//! sockets is shown where the stand-ins are.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_deployment::Shared;
use badgerledge_settings::IniFile;

use crate::Witness;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn witness() -> Witness {
    let text = "[fleet]\nzones = a\nkinds = k\nkind_streams = 20\ncells = 4\nracks = 2\nlink_unit_kb = 100\n\
                links_kb = 400\nuplink_kb = 100\n[ladder]\nrates_kb = 10, 20\nbenefit = 0.5, 1\n\
                [room_type clip]\njoin_objective_ms = 1000\nclient_timeout_ms = 2000\nbenefit = 1\n\
                [room_type paid]\njoin_objective_ms = 1000\nclient_timeout_ms = 2000\nbenefit = 1\n\
                set_up_again = single_shot\nfloor = 1\nseats = 1\n\
                [rules]\nwarm_up_ms = 10000\ncold_from = 0.5\ntip_after_ms = 2000\nbudget_window_ms = 5000\n\
                budget_few = 1\n";
    let sheet = IniFile::parse("w.ini", text).unwrap_or_else(|faults| panic!("{faults}"));
    let mut witness = Witness::new(Shared::of(&sheet).unwrap_or_else(|faults| panic!("{faults}")));
    witness.controller_up(0);
    witness
}

fn streamer(n: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, n)
}

#[test]
fn what_is_no_breach_is_none() {
    let mut w = witness();
    w.asked(ms(0), 1, 0, 9, 5, 0, ms(2000));
    w.set_up(ms(10), 1, streamer(1), 9, 5, 0, 0);
    w.join_over(1);
    w.set_up(ms(500), 2, streamer(2), 9, 5, 0, 0);
    w.answered(ms(600), 1, 200);
    // A retry joins the wait of the first try: the join that is out is for both.
    w.asked(ms(0), 2, 0, 8, 5, 0, ms(2000));
    w.set_up(ms(10), 3, streamer(1), 8, 5, 0, 0);
    w.asked(ms(300), 3, 0, 8, 5, 0, ms(2000));
    w.answered(ms(700), 3, 200);
    w.answered(ms(700), 2, 503);
    // A join that was turned away never ran.
    w.asked(ms(0), 4, 0, 7, 5, 1, ms(2000));
    w.set_up(ms(10), 4, streamer(1), 7, 5, 1, 1);
    w.turned_away(4);
    w.answered(ms(800), 4, 503);
    // What a killed controller held is no longer its duty.
    w.asked(ms(900), 5, 0, 6, 5, 0, ms(2000));
    w.controller_down(0);
    w.timed_out(5);
    // Off only for another controller, and within the grace.
    w.controller_up(1);
    w.told(ms(1000), 0, streamer(1), true);
    w.told(ms(1000), 1, streamer(2), true);
    w.asked(ms(1100), 6, 1, 5, 5, 0, ms(2000));
    w.set_up(ms(1200), 6, streamer(1), 5, 5, 0, 0);
    w.join_over(6);
    w.set_up(ms(1400), 7, streamer(2), 5, 5, 0, 0);
    for (n, rule) in w.verdict().iter().enumerate() {
        assert_eq!(rule.broken, 0, "rule {}: {:?}", n + 1, rule.examples);
    }
}

/// Found by a bad day: the retry kept counting a join of its first try that was turned away after it came.
#[test]
fn a_retry_and_its_first_try_share_what_ran() {
    let mut w = witness();
    w.asked(ms(0), 1, 0, 9, 5, 1, ms(2000));
    w.set_up(ms(10), 1, streamer(1), 9, 5, 1, 1);
    w.asked(ms(300), 2, 0, 9, 5, 1, ms(2000));
    w.turned_away(1);
    w.set_up(ms(400), 2, streamer(2), 9, 5, 1, 1);
    assert_eq!(w.verdict()[1].broken, 0, "{:?}", w.verdict()[1]);
}

/// Found by a short day: a reborn controller was held to what its killed one had set up.
#[test]
fn a_viewer_that_comes_again_to_a_reborn_controller_asks_anew_and_to_a_stopped_one_does_not() {
    let broken = |reborn: bool| {
        let mut w = witness();
        w.asked(ms(0), 1, 0, 9, 5, 1, ms(2000));
        w.set_up(ms(10), 1, streamer(1), 9, 5, 1, 1);
        w.controller_down(0);
        w.join_over(1);
        if reborn {
            w.controller_up(0)
        } else {
            w.controller_goes_on(0)
        };
        w.asked(ms(900), 2, 0, 9, 5, 1, ms(2000));
        w.set_up(ms(910), 2, streamer(2), 9, 5, 1, 1);
        w.verdict()[1].broken
    };
    assert_eq!((broken(true), broken(false)), (0, 1));
}

#[test]
fn a_cold_streamer_falls_at_the_budget_and_not_under_it() {
    // 20 places over 10 s, at half warmth, twice that, in 2 s: 2 x 2 x (0.5 x 2 + 0.05 x 4 / 2) = 4.4 set-ups.
    let falls_at = |from: u64| {
        let mut w = witness();
        w.started(ms(0), streamer(1), 20.0);
        (1..100).find(|n| w.set_up(ms(from + n), *n, streamer(1), *n, 5, 0, 0))
    };
    assert_eq!(falls_at(100), Some(6));
    assert_eq!(falls_at(8000), Some(8), "it has warmed: 2 x 2 x 0.85 x 2 = 6.8");
    assert_eq!(falls_at(10_000), None);
}

#[test]
fn a_join_of_the_far_past_leaves_the_window() {
    let mut w = witness();
    w.started(ms(0), streamer(1), 20.0);
    for n in 0..9 {
        assert!(!w.set_up(ms(500 + 1000 * n), n, streamer(1), n, 5, 0, 0));
    }
    assert_eq!(w.verdict()[3].tested, 9);
}
