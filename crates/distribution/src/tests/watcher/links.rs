//! Which relay serves: silent, full, broken and contradicting ones, pauses, and the way back to the first.

use std::time::Duration;

use super::super::certified::{good_proof, proof};
use super::bench::{closes, seconds, Bench, CONTROLLER};
use crate::lease::LEASE;
use crate::message::{ToRelay, ToWatcher};
use crate::watcher::{HoldReason, WatcherOutput};

const CONNECT_0: WatcherOutput = WatcherOutput::Connect(0);
const CONNECT_1: WatcherOutput = WatcherOutput::Connect(1);

fn welcome(relay: u16, number: u32) -> ToWatcher {
    ToWatcher::Welcome { relay, number }
}

fn is_hello(output: &WatcherOutput) -> bool {
    matches!(output, WatcherOutput::Send(_, ToRelay::Hello { .. }))
}

#[test]
fn it_begins_with_its_first_relay_and_says_hello() {
    let mut bench = Bench::new(3);
    assert_eq!(bench.pass(Duration::ZERO), [CONNECT_0]);
    let out = bench.open(0);
    assert!(is_hello(&out[0]));
    assert!(matches!(out[1], WatcherOutput::Send(0, ToRelay::AskLease { active: 0, .. })));
    bench.hear(0, welcome(20, 0));
    assert_eq!(bench.watcher.status(bench.now).serving, Some((0, Some(20))));
    // One that was not to be opened is nothing.
    assert_eq!(bench.open(1), []);
}

#[test]
fn relays_that_do_not_answer_are_left_for_the_next_one() {
    // Never open, refused, open and silent.
    let mut bench = Bench::new(4);
    assert!(bench.pass(seconds(0.1)).contains(&CONNECT_0));
    let out = bench.pass(seconds(2.2));
    assert!(closes(&out, 0) && out.contains(&CONNECT_1), "{out:?}");
    bench.close(1);
    assert!(bench.pass(seconds(0.3)).contains(&WatcherOutput::Connect(2)));
    bench.open(2);
    assert!(!closes(&bench.pass(seconds(0.9)), 2));
    let out = bench.pass(seconds(0.6));
    assert!(closes(&out, 2) && out.contains(&WatcherOutput::Connect(3)), "{out:?}");
}

#[test]
fn a_relay_without_grants_for_half_a_lease_is_left_once_another_serves() {
    let mut bench = Bench::served(2, 0);
    let out = bench.pass(LEASE / 2 - seconds(0.1));
    assert!(!out.contains(&CONNECT_1));
    let out = bench.pass(seconds(0.3));
    assert!(out.contains(&CONNECT_1) && !closes(&out, 0), "{out:?}");
    bench.open(1);
    let out = bench.hear(1, welcome(1, 0));
    assert!(!closes(&out, 0));
    let nonce = bench.take_nonces(1)[0];
    let out = bench.hear(1, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 0));
    assert_eq!(bench.watcher.status(bench.now).serving, Some((1, Some(1))));
    assert_eq!(bench.held(), None);
}

#[test]
fn a_relay_that_serves_again_is_kept() {
    let mut bench = Bench::served(2, 0);
    assert!(bench.pass(LEASE / 2 + seconds(0.2)).contains(&CONNECT_1));
    bench.open(1);
    bench.hear(1, welcome(1, 0));
    let nonce = *bench.take_nonces(0).last().unwrap();
    let out = bench.hear(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 1) && !closes(&out, 0), "{out:?}");
}

#[test]
fn too_few_grants_are_none() {
    let mut bench = Bench::new(2);
    bench.connect(0, 0);
    let nonce = bench.take_nonces(0)[0];
    let few = proof(&[(CONTROLLER, nonce)], 0, &[(0, 0), (1, 0)]);
    assert!(!closes(&bench.hear(0, ToWatcher::Lease(few)), 0));
    assert_eq!(bench.held(), Some(HoldReason::Unsure));
    assert!(bench.pass(LEASE / 2 + seconds(0.2)).contains(&CONNECT_1));
}

#[test]
fn forged_grants_are_refused() {
    let spoil: [fn(&mut crate::lease::LeaseProof); 5] = [
        |proof| proof.grants[0].signature[0] ^= 1,
        |proof| proof.grants[0].acceptor = 9,
        |proof| proof.path[0][0] ^= 1,
        |proof| proof.index = 0,
        |proof| proof.grants = proof.grants.iter().cycle().take(40).copied().collect(),
    ];
    for spoil in spoil {
        let mut bench = Bench::new(2);
        bench.connect(0, 0);
        let nonce = bench.take_nonces(0)[0];
        let mut forged = good_proof(CONTROLLER, nonce, 0);
        spoil(&mut forged);
        assert!(closes(&bench.hear(0, ToWatcher::Lease(forged)), 0));
        assert_eq!(bench.held(), Some(HoldReason::Unsure));
        bench.connect(1, 0);
        bench.grant(1, 0);
        assert!(!bench.pass_served(1, seconds(59.0)).contains(&CONNECT_0));
        assert!(bench.pass_served(1, seconds(20.0)).contains(&CONNECT_0));
    }
}

#[test]
fn a_full_relay_is_left_for_as_long_as_it_asks() {
    let mut bench = Bench::new(1);
    assert!(bench.pass(seconds(0.1)).contains(&CONNECT_0));
    bench.open(0);
    assert!(closes(&bench.hear(0, ToWatcher::Busy { retry_after_ms: 20_000 }), 0));
    let within = |bench: &mut Bench, least: f64, most: f64| {
        let (waited, _) = bench.until_connect(0, None);
        assert!(waited >= seconds(least) && waited <= seconds(most + 0.05), "{waited:?}");
        bench.open(0);
    };
    within(&mut bench, 20.0, 25.0);
    // A pause without end, or of nothing, is cut.
    bench.hear(0, ToWatcher::Busy { retry_after_ms: u32::MAX });
    within(&mut bench, 60.0, 75.0);
    bench.hear(0, ToWatcher::Busy { retry_after_ms: 0 });
    within(&mut bench, 0.2, 1.0);
    // The next one is taken meanwhile.
    let mut bench = Bench::new(2);
    bench.pass(seconds(0.1));
    bench.open(0);
    bench.hear(0, ToWatcher::Busy { retry_after_ms: 20_000 });
    assert!(bench.pass(seconds(0.2)).contains(&CONNECT_1));
}

#[test]
fn pauses_grow_and_are_bounded_and_differ_by_seed() {
    let mut bench = Bench::new(1);
    let mut at = Vec::new();
    for _ in 0..20 {
        let begun = bench.now;
        while !bench.pass(Duration::from_millis(10)).contains(&CONNECT_0) {
            assert!(bench.now < begun + seconds(31.0));
        }
        at.push(bench.now);
        bench.close(0);
    }
    let pauses: Vec<Duration> = at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses[0] <= seconds(0.52) && pauses[0] >= seconds(0.05), "{pauses:?}");
    assert!(pauses[8..].iter().all(|pause| *pause >= seconds(14.9)), "{pauses:?}");
    let differ = pauses[10..].windows(2).any(|pair| pair[0].abs_diff(pair[1]) > seconds(0.5));
    assert!(differ, "{pauses:?}");
}

/// Both relays of a zone are gone: each costs one attempt before another zone's is taken.
#[test]
fn the_next_relay_is_tried_before_one_that_failed() {
    let mut bench = Bench::served(3, 0);
    bench.pass_served(0, seconds(20.0));
    bench.close(0);
    let mut tried = Vec::new();
    while !tried.contains(&2) {
        for out in bench.pass(Duration::from_millis(50)) {
            if let WatcherOutput::Connect(relay) = out {
                tried.push(relay);
            }
        }
    }
    assert_eq!(tried, [1, 2]);
}

/// Nobody answers for an hour: connections are tried at a bounded rate.
#[test]
fn attempts_without_success_are_few() {
    let mut bench = Bench::new(3);
    let mut attempts = 0;
    for _ in 0..36_000 {
        for out in bench.pass(Duration::from_millis(100)) {
            if let WatcherOutput::Connect(relay) = out {
                attempts += 1;
                bench.close(relay);
            }
        }
    }
    assert!((100..=800).contains(&attempts), "{attempts}");
}

#[test]
fn a_lost_connection_is_replaced_at_once_and_the_lease_goes_on() {
    let mut bench = Bench::served(3, 0);
    bench.pass_served(0, seconds(30.0));
    bench.close(0);
    assert_eq!(bench.held(), None);
    assert!(bench.pass(seconds(0.11)).contains(&CONNECT_1));
    bench.close(1);
    bench.connect(2, 0);
    bench.grant(2, 0);
    assert_eq!(bench.held(), None);
}

#[test]
fn it_returns_to_its_first_relay_make_before_break() {
    let mut bench = Bench::new(2);
    assert!(bench.pass(seconds(0.1)).contains(&CONNECT_0));
    bench.close(0);
    bench.connect(1, 0);
    let (waited, out) = bench.until_connect(0, Some(1));
    assert!(waited >= seconds(60.0) && waited <= seconds(75.1), "{waited:?}");
    assert!(!closes(&out, 1));
    bench.open(0);
    assert!(!closes(&bench.hear(0, welcome(0, 0)), 1));
    let nonce = bench.take_nonces(0)[0];
    let out = bench.hear(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 1));
    assert_eq!(bench.watcher.status(bench.now).serving, Some((0, Some(0))));
    // And stays.
    let out = bench.pass_served(0, seconds(200.0));
    assert!(!out.iter().any(|out| matches!(out, WatcherOutput::Connect(_) | WatcherOutput::Close(_))));
}

#[test]
fn a_first_relay_that_is_still_away_costs_an_attempt_a_minute() {
    let mut bench = Bench::new(3);
    bench.pass(seconds(0.1));
    bench.close(0);
    bench.pass(seconds(0.3));
    bench.close(1);
    bench.connect(2, 0);
    let mut tried = [0; 3];
    for _ in 0..6000 {
        for out in bench.pass_served(2, Duration::from_millis(100)) {
            if let WatcherOutput::Connect(relay) = out {
                tried[relay] += 1;
                bench.close(relay);
            }
        }
    }
    assert!((7..=10).contains(&tried[0]) && (7..=10).contains(&tried[1]), "{tried:?}");
    assert_eq!((tried[2], bench.held()), (0, None));
}

#[test]
fn a_first_relay_that_lags_is_not_returned_to() {
    let mut bench = Bench::new(2);
    bench.pass(seconds(0.1));
    bench.close(0);
    bench.connect(1, 1);
    let own = super::bench::own_state();
    let one = super::super::certified::edited(1, &own, &[]);
    bench.hear(1, super::bench::delta(&one, 0, &own, &[]));
    bench.until_connect(0, Some(1));
    bench.open(0);
    bench.hear(0, welcome(0, 0));
    let nonce = bench.take_nonces(0)[0];
    let out = bench.hear(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 0) && !closes(&out, 1), "{out:?}");
}

#[test]
fn a_relay_that_contradicts_itself_is_refused() {
    type Play = fn(&mut Bench) -> Vec<WatcherOutput>;
    let plays: [Play; 3] = [
        // A second answer to one hello.
        |bench| bench.hear(0, welcome(0, 5)),
        // A lower revision than it said it holds.
        |bench| {
            let own = super::bench::own_state();
            let one = super::super::certified::edited(1, &own, &[]);
            bench.hear(0, super::bench::delta(&one, 0, &own, &[]))
        },
        // Another machine, after a second hello.
        |bench| {
            let own = super::super::edits::titles(3);
            let six = super::super::certified::edited(6, &own, &[]);
            assert!(bench.hear(0, super::bench::delta(&six, 5, &own, &[])).iter().any(is_hello));
            bench.hear(0, welcome(3, 6))
        },
    ];
    for play in plays {
        let mut bench = Bench::served(2, 5);
        let out = play(&mut bench);
        assert!(closes(&out, 0), "{out:?}");
        assert_eq!(bench.watcher.status(bench.now).relays_refused, 1);
        bench.connect(1, 0);
        assert!(!bench.pass_served(1, seconds(59.0)).contains(&CONNECT_0));
    }
}

#[test]
fn a_relay_that_offers_less_than_it_says_is_left_once_another_serves() {
    let mut bench = Bench::served(2, 7);
    let out = bench.pass_served(0, seconds(3.3));
    assert!(out.contains(&CONNECT_1) && !closes(&out, 0), "{out:?}");
    bench.open(1);
    bench.hear(1, welcome(1, 7));
    let nonce = bench.take_nonces(1)[0];
    let out = bench.hear(1, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 0));
}

/// No relay has grants, since no quorum of acceptors is reached: connections are kept, others tried seldom.
#[test]
fn without_a_quorum_anywhere_relays_are_not_changed_all_the_time() {
    let mut bench = Bench::served(5, 0);
    let mut attempts = 0;
    for _ in 0..6000 {
        for out in bench.pass(Duration::from_millis(100)) {
            if let WatcherOutput::Connect(relay) = out {
                attempts += 1;
                bench.open(relay);
                bench.hear(relay, welcome(relay as u16, 0));
            }
        }
    }
    assert_eq!(bench.held(), Some(HoldReason::NoLease));
    assert!((20..=150).contains(&attempts), "{attempts} in ten minutes");
    // And once there are grants again, one serves at once.
    let serving = bench.watcher.status(bench.now).serving;
    if let Some((relay, _)) = serving {
        bench.pass_served(relay, seconds(2.1));
        assert_eq!(bench.held(), None);
    }
}

#[test]
fn one_without_relays_does_nothing() {
    let mut bench = Bench::new(0);
    assert_eq!(bench.pass(seconds(100.0)), []);
    assert_eq!((bench.held(), bench.watcher.next_due()), (Some(HoldReason::Unsure), Duration::MAX));
}
