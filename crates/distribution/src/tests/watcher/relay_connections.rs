//! Tests of the selection of relays: silent, full, broken and contradicting relays, backoff, and failback to
//! the first relay.

use std::time::Duration;

use super::super::certified::{good_proof, proof};
use super::harness::{closes, seconds, Harness, CONTROLLER};
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
fn it_connects_to_its_first_relay_and_sends_a_hello() {
    let mut harness = Harness::new(3);
    assert_eq!(harness.advance(Duration::ZERO), [CONNECT_0]);
    let out = harness.open(0);
    assert!(is_hello(&out[0]));
    assert!(matches!(out[1], WatcherOutput::Send(0, ToRelay::RequestLease { active: 0, .. })));
    harness.receive(0, welcome(20, 0));
    assert_eq!(harness.watcher.status(harness.now).serving, Some((0, Some(20))));
    // A connection that was not requested is ignored.
    assert_eq!(harness.open(1), []);
}

#[test]
fn a_relay_that_does_not_answer_is_replaced_by_the_next_one() {
    // Relay 0 never opens the connection, relay 1 refuses it, relay 2 opens it and is silent.
    let mut harness = Harness::new(4);
    assert!(harness.advance(seconds(0.1)).contains(&CONNECT_0));
    let out = harness.advance(seconds(2.2));
    assert!(closes(&out, 0) && out.contains(&CONNECT_1), "{out:?}");
    harness.close(1);
    assert!(harness.advance(seconds(0.3)).contains(&WatcherOutput::Connect(2)));
    harness.open(2);
    assert!(!closes(&harness.advance(seconds(0.9)), 2));
    let out = harness.advance(seconds(0.6));
    assert!(closes(&out, 2) && out.contains(&WatcherOutput::Connect(3)), "{out:?}");
}

#[test]
fn a_relay_without_grants_for_half_a_lease_is_replaced_once_another_one_serves() {
    let mut harness = Harness::with_serving_relay(2, 0);
    let out = harness.advance(LEASE / 2 - seconds(0.1));
    assert!(!out.contains(&CONNECT_1));
    let out = harness.advance(seconds(0.3));
    assert!(out.contains(&CONNECT_1) && !closes(&out, 0), "{out:?}");
    harness.open(1);
    let out = harness.receive(1, welcome(1, 0));
    assert!(!closes(&out, 0));
    let nonce = harness.take_nonces(1)[0];
    let out = harness.receive(1, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 0));
    assert_eq!(harness.watcher.status(harness.now).serving, Some((1, Some(1))));
    assert_eq!(harness.hold_reason(), None);
}

#[test]
fn a_suspect_relay_that_grants_again_is_kept() {
    let mut harness = Harness::with_serving_relay(2, 0);
    assert!(harness.advance(LEASE / 2 + seconds(0.2)).contains(&CONNECT_1));
    harness.open(1);
    harness.receive(1, welcome(1, 0));
    let nonce = *harness.take_nonces(0).last().unwrap();
    let out = harness.receive(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 1) && !closes(&out, 0), "{out:?}");
}

#[test]
fn grants_of_too_few_acceptors_give_no_lease() {
    let mut harness = Harness::new(2);
    harness.connect_and_welcome(0, 0);
    let nonce = harness.take_nonces(0)[0];
    let too_few = proof(&[(CONTROLLER, nonce)], 0, &[(0, 0), (1, 0)]);
    assert!(!closes(&harness.receive(0, ToWatcher::Lease(too_few)), 0));
    assert_eq!(harness.hold_reason(), Some(HoldReason::Unsure));
    assert!(harness.advance(LEASE / 2 + seconds(0.2)).contains(&CONNECT_1));
}

#[test]
fn forged_grants_are_refused() {
    let forge: [fn(&mut crate::lease::LeaseProof); 5] = [
        |proof| proof.grants[0].signature[0] ^= 1,
        |proof| proof.grants[0].acceptor = 9,
        |proof| proof.path[0][0] ^= 1,
        |proof| proof.index = 0,
        |proof| proof.grants = proof.grants.iter().cycle().take(40).copied().collect(),
    ];
    for forge in forge {
        let mut harness = Harness::new(2);
        harness.connect_and_welcome(0, 0);
        let nonce = harness.take_nonces(0)[0];
        let mut forged = good_proof(CONTROLLER, nonce, 0);
        forge(&mut forged);
        assert!(closes(&harness.receive(0, ToWatcher::Lease(forged)), 0));
        assert_eq!(harness.hold_reason(), Some(HoldReason::Unsure));
        harness.connect_and_welcome(1, 0);
        harness.grant(1, 0);
        assert!(!harness.advance_granting(1, seconds(59.0)).contains(&CONNECT_0));
        assert!(harness.advance_granting(1, seconds(20.0)).contains(&CONNECT_0));
    }
}

#[test]
fn a_busy_relay_is_avoided_for_as_long_as_it_asks() {
    let mut harness = Harness::new(1);
    assert!(harness.advance(seconds(0.1)).contains(&CONNECT_0));
    harness.open(0);
    assert!(closes(&harness.receive(0, ToWatcher::Busy { retry_after_ms: 20_000 }), 0));
    let reconnects_within = |harness: &mut Harness, min_s: f64, max_s: f64| {
        let (waited, _) = harness.until_connect(0, None);
        assert!(waited >= seconds(min_s) && waited <= seconds(max_s + 0.05), "{waited:?}");
        harness.open(0);
    };
    reconnects_within(&mut harness, 20.0, 25.0);
    // A requested pause that is too long or zero is limited.
    harness.receive(0, ToWatcher::Busy { retry_after_ms: u32::MAX });
    reconnects_within(&mut harness, 60.0, 75.0);
    harness.receive(0, ToWatcher::Busy { retry_after_ms: 0 });
    reconnects_within(&mut harness, 0.2, 1.0);
    // Meanwhile the next relay is tried.
    let mut harness = Harness::new(2);
    harness.advance(seconds(0.1));
    harness.open(0);
    harness.receive(0, ToWatcher::Busy { retry_after_ms: 20_000 });
    assert!(harness.advance(seconds(0.2)).contains(&CONNECT_1));
}

#[test]
fn backoff_grows_up_to_a_bound_and_is_randomized() {
    let mut harness = Harness::new(1);
    let mut attempts_at = Vec::new();
    for _ in 0..20 {
        let started_at = harness.now;
        while !harness.advance(Duration::from_millis(10)).contains(&CONNECT_0) {
            assert!(harness.now < started_at + seconds(31.0));
        }
        attempts_at.push(harness.now);
        harness.close(0);
    }
    let backoffs: Vec<Duration> = attempts_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(backoffs[0] <= seconds(0.52) && backoffs[0] >= seconds(0.05), "{backoffs:?}");
    assert!(backoffs[8..].iter().all(|backoff| *backoff >= seconds(14.9)), "{backoffs:?}");
    let differ = backoffs[10..].windows(2).any(|pair| pair[0].abs_diff(pair[1]) > seconds(0.5));
    assert!(differ, "{backoffs:?}");
}

/// Both relays of a zone are lost: each costs one attempt before a relay of another zone is tried.
#[test]
fn the_next_relay_is_tried_before_one_that_failed() {
    let mut harness = Harness::with_serving_relay(3, 0);
    harness.advance_granting(0, seconds(20.0));
    harness.close(0);
    let mut tried = Vec::new();
    while !tried.contains(&2) {
        for out in harness.advance(Duration::from_millis(50)) {
            if let WatcherOutput::Connect(relay) = out {
                tried.push(relay);
            }
        }
    }
    assert_eq!(tried, [1, 2]);
}

/// No relay answers for an hour: the rate of connection attempts is bounded.
#[test]
fn the_rate_of_failed_attempts_is_bounded() {
    let mut harness = Harness::new(3);
    let mut attempts = 0;
    for _ in 0..36_000 {
        for out in harness.advance(Duration::from_millis(100)) {
            if let WatcherOutput::Connect(relay) = out {
                attempts += 1;
                harness.close(relay);
            }
        }
    }
    assert!((100..=800).contains(&attempts), "{attempts}");
}

#[test]
fn a_lost_connection_is_replaced_at_once_and_the_lease_continues() {
    let mut harness = Harness::with_serving_relay(3, 0);
    harness.advance_granting(0, seconds(30.0));
    harness.close(0);
    assert_eq!(harness.hold_reason(), None);
    assert!(harness.advance(seconds(0.11)).contains(&CONNECT_1));
    harness.close(1);
    harness.connect_and_welcome(2, 0);
    harness.grant(2, 0);
    assert_eq!(harness.hold_reason(), None);
}

#[test]
fn it_fails_back_to_its_first_relay_make_before_break() {
    let mut harness = Harness::new(2);
    assert!(harness.advance(seconds(0.1)).contains(&CONNECT_0));
    harness.close(0);
    harness.connect_and_welcome(1, 0);
    let (waited, out) = harness.until_connect(0, Some(1));
    assert!(waited >= seconds(60.0) && waited <= seconds(75.1), "{waited:?}");
    assert!(!closes(&out, 1));
    harness.open(0);
    assert!(!closes(&harness.receive(0, welcome(0, 0)), 1));
    let nonce = harness.take_nonces(0)[0];
    let out = harness.receive(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 1));
    assert_eq!(harness.watcher.status(harness.now).serving, Some((0, Some(0))));
    // It stays connected to its first relay.
    let out = harness.advance_granting(0, seconds(200.0));
    assert!(!out.iter().any(|out| matches!(out, WatcherOutput::Connect(_) | WatcherOutput::Close(_))));
}

#[test]
fn a_first_relay_that_is_still_unreachable_costs_an_attempt_a_minute() {
    let mut harness = Harness::new(3);
    harness.advance(seconds(0.1));
    harness.close(0);
    harness.advance(seconds(0.3));
    harness.close(1);
    harness.connect_and_welcome(2, 0);
    let mut tried = [0; 3];
    for _ in 0..6000 {
        for out in harness.advance_granting(2, Duration::from_millis(100)) {
            if let WatcherOutput::Connect(relay) = out {
                tried[relay] += 1;
                harness.close(relay);
            }
        }
    }
    assert!((7..=10).contains(&tried[0]) && (7..=10).contains(&tried[1]), "{tried:?}");
    assert_eq!((tried[2], harness.hold_reason()), (0, None));
}

#[test]
fn it_does_not_fail_back_to_a_lagging_relay() {
    let mut harness = Harness::new(2);
    harness.advance(seconds(0.1));
    harness.close(0);
    harness.connect_and_welcome(1, 1);
    let own = super::harness::file_state();
    let one = super::super::certified::edited(1, &own, &[]);
    harness.receive(1, super::harness::delta(&one, 0, &own, &[]));
    harness.until_connect(0, Some(1));
    harness.open(0);
    harness.receive(0, welcome(0, 0));
    let nonce = harness.take_nonces(0)[0];
    let out = harness.receive(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 0) && !closes(&out, 1), "{out:?}");
}

#[test]
fn a_relay_that_contradicts_itself_is_refused() {
    type Script = fn(&mut Harness) -> Vec<WatcherOutput>;
    let scripts: [Script; 3] = [
        // A second answer to one hello.
        |harness| harness.receive(0, welcome(0, 5)),
        // A lower revision than the relay claimed to hold.
        |harness| {
            let own = super::harness::file_state();
            let one = super::super::certified::edited(1, &own, &[]);
            harness.receive(0, super::harness::delta(&one, 0, &own, &[]))
        },
        // Another machine number, after a second hello.
        |harness| {
            let own = super::super::edits::titles(3);
            let six = super::super::certified::edited(6, &own, &[]);
            assert!(harness.receive(0, super::harness::delta(&six, 5, &own, &[])).iter().any(is_hello));
            harness.receive(0, welcome(3, 6))
        },
    ];
    for script in scripts {
        let mut harness = Harness::with_serving_relay(2, 5);
        let out = script(&mut harness);
        assert!(closes(&out, 0), "{out:?}");
        assert_eq!(harness.watcher.status(harness.now).relays_refused, 1);
        harness.connect_and_welcome(1, 0);
        assert!(!harness.advance_granting(1, seconds(59.0)).contains(&CONNECT_0));
    }
}

#[test]
fn a_relay_that_offers_less_than_it_claims_is_replaced_once_another_one_serves() {
    let mut harness = Harness::with_serving_relay(2, 7);
    let out = harness.advance_granting(0, seconds(3.3));
    assert!(out.contains(&CONNECT_1) && !closes(&out, 0), "{out:?}");
    harness.open(1);
    harness.receive(1, welcome(1, 7));
    let nonce = harness.take_nonces(1)[0];
    let out = harness.receive(1, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(closes(&out, 0));
}

/// No relay has grants, because no quorum of acceptors is reachable: connections are kept, and other relays
/// are rarely tried.
#[test]
fn without_a_quorum_relays_are_not_switched_all_the_time() {
    let mut harness = Harness::with_serving_relay(5, 0);
    let mut attempts = 0;
    for _ in 0..6000 {
        for out in harness.advance(Duration::from_millis(100)) {
            if let WatcherOutput::Connect(relay) = out {
                attempts += 1;
                harness.open(relay);
                harness.receive(relay, welcome(relay as u16, 0));
            }
        }
    }
    assert_eq!(harness.hold_reason(), Some(HoldReason::NoLease));
    assert!((20..=150).contains(&attempts), "{attempts} in ten minutes");
    // Once there are grants again, the serving relay delivers them at once.
    let serving = harness.watcher.status(harness.now).serving;
    if let Some((relay, _)) = serving {
        harness.advance_granting(relay, seconds(2.1));
        assert_eq!(harness.hold_reason(), None);
    }
}

#[test]
fn a_watcher_without_relays_does_nothing() {
    let mut harness = Harness::new(0);
    assert_eq!(harness.advance(seconds(100.0)), []);
    assert_eq!(
        (harness.hold_reason(), harness.watcher.next_poll_at()),
        (Some(HoldReason::Unsure), Duration::MAX)
    );
}
