//! Tests of what a watcher prepares and activates, and when it holds a lease.

use std::time::Duration;

use super::super::certified::{a_quorum, edited, good_proof, proof, signer, version, version_of, Version};
use super::super::edits::{put, removal, titles};
use super::harness::{
    activate, closes, delta, file_state, seconds, snapshot, Harness, CONTROLLER, UNFIT_KEY,
};
use crate::lease::LEASE;
use crate::message::{ToRelay, ToWatcher};
use crate::state::Edit;
use crate::watcher::{HoldReason, WatcherOutput};

fn first_revision() -> (Version, [Edit; 1]) {
    let edits = [put("title new", "1")];
    (edited(1, &file_state(), &edits), edits)
}

/// A watcher with a lease whose active revision is 1.
fn active_on_first() -> (Harness, Version) {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    harness.receive(0, delta(&one, 0, &file_state(), &edits));
    harness.receive(0, activate(&one));
    assert_eq!(harness.numbers(), (1, None));
    (harness, one)
}

#[test]
fn a_watcher_without_stored_state_is_unconfirmed_until_it_has_a_lease() {
    let mut harness = Harness::new(2);
    assert_eq!(harness.hold_reason(), Some(HoldReason::Unsure));
    harness.connect_and_welcome(0, 0);
    assert_eq!(harness.hold_reason(), Some(HoldReason::Unsure));
    harness.grant(0, 0);
    assert_eq!((harness.hold_reason(), harness.numbers()), (None, (0, None)));
    assert_eq!(harness.watcher.active_state(), &file_state());
    harness.close(0);
    harness.advance(LEASE);
    assert_eq!(harness.hold_reason(), Some(HoldReason::NoLease));
    // The next process knows that the file was confirmed.
    assert_eq!(Harness::with_disk(2, harness.disk).hold_reason(), Some(HoldReason::NoLease));
}

#[test]
fn a_lease_counts_from_when_its_nonce_was_drawn() {
    let mut harness = Harness::new(1);
    harness.connect_and_welcome(0, 0);
    let drawn_at = harness.now;
    harness.now += seconds(2.5);
    let nonce = harness.take_nonces(0)[0];
    harness.receive(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(harness.watcher.status(harness.now).lease_until <= Some(drawn_at + LEASE));
    assert!(harness.watcher.acting(drawn_at + LEASE - seconds(0.1)).hold_reason.is_none());
    assert_eq!(harness.watcher.acting(drawn_at + LEASE).hold_reason, Some(HoldReason::NoLease));
    // A proof that is older than a lease, or is received again, gives no lease.
    harness.receive(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert_eq!(harness.watcher.acting(drawn_at + LEASE).hold_reason, Some(HoldReason::NoLease));
}

#[test]
fn three_leases_are_requested_within_the_duration_of_one() {
    let mut harness = Harness::with_serving_relay(1, 0);
    let requests = harness.advance_granting(0, LEASE * 10);
    let requests =
        requests.iter().filter(|out| matches!(out, WatcherOutput::Send(_, ToRelay::RequestLease { .. })));
    let requests = requests.count();
    assert!((29..=34).contains(&requests), "{requests}");
    assert_eq!(harness.hold_reason(), None);
}

#[test]
fn a_certified_revision_is_stored_then_reported_and_activated_once_allowed() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    let out = harness.receive(0, delta(&one, 0, &file_state(), &edits));
    let position = |matches: fn(&WatcherOutput) -> bool| out.iter().position(matches);
    let stored = position(|out| matches!(out, WatcherOutput::Store(_)));
    let reported = position(|out| *out == WatcherOutput::Send(0, ToRelay::Prepared { number: 1 }));
    assert!(stored.is_some() && stored < reported, "{out:?}");
    assert!(out.contains(&WatcherOutput::Changed));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((0, Some(1)), None));
    assert_eq!(harness.watcher.prepared_state(), Some(&one.state));
    let out = harness.receive(0, activate(&one));
    assert!(out.contains(&WatcherOutput::Changed));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((1, None), None));
    assert_eq!(harness.watcher.active_state(), &one.state);
    assert_eq!(harness.receive(0, activate(&one)), []);
}

#[test]
fn a_certificate_with_activation_grants_activates() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (mut one, edits) = first_revision();
    one.certificate.activation_grants = one.activation_grants(a_quorum());
    harness.receive(0, delta(&one, 0, &file_state(), &edits));
    assert_eq!(harness.numbers(), (1, None));
}

#[test]
fn activation_grants_without_a_quorum_are_refused() {
    let (one, edits) = first_revision();
    let other = version_of(1, one.state.clone(), 1);
    let mut forged = one.activation_grants(a_quorum());
    forged[1].signature[0] ^= 1;
    let two = version(2, one.state.clone());
    let invalid = [
        one.activation_grants(0..2),
        one.activation_grants([0, 1, 1].into_iter()),
        one.activation_grants([0, 1, 5].into_iter()),
        other.activation_grants(a_quorum()),
        two.activation_grants(a_quorum()),
        forged,
        vec![],
    ];
    for goes in invalid {
        let mut harness = Harness::with_serving_relay(2, 1);
        harness.receive(0, delta(&one, 0, &file_state(), &edits));
        let out = harness.receive(0, ToWatcher::Activate { number: 1, activation_grants: goes });
        assert!(closes(&out, 0));
        assert_eq!((harness.numbers(), harness.hold_reason()), ((0, Some(1)), None));
    }
}

#[test]
fn a_watcher_without_the_allowed_revision_withholds_decisions() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    harness.receive(0, activate(&one));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((0, None), Some(HoldReason::Behind)));
    harness.receive(0, delta(&one, 0, &file_state(), &edits));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((1, None), None));
}

/// Correct acceptors never certify two revisions with one number; activation grants count only for the revision that
/// they name.
#[test]
fn activation_grants_for_another_revision_with_that_number_do_not_count() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    harness.receive(0, activate(&version_of(1, one.state.clone(), 1)));
    harness.receive(0, delta(&one, 0, &file_state(), &edits));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((0, Some(1)), Some(HoldReason::Behind)));
}

#[test]
fn grants_that_name_a_higher_revision_show_that_the_watcher_is_behind() {
    let mut harness = Harness::with_serving_relay(2, 0);
    let until = harness.watcher.status(harness.now).lease_until.unwrap();
    harness.advance(seconds(2.0));
    let nonce = harness.take_nonces(0)[0];
    let behind = proof(&[(CONTROLLER, nonce)], 0, &[(0, 0), (1, 0), (2, 1)]);
    assert!(!closes(&harness.receive(0, ToWatcher::Lease(behind)), 0));
    assert_eq!(harness.hold_reason(), None);
    assert_eq!(harness.watcher.status(harness.now).lease_until, Some(until));
    assert_eq!(harness.watcher.acting(until).hold_reason, Some(HoldReason::Behind));
}

#[test]
fn only_the_newest_prepared_revision_is_kept() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    harness.receive(0, delta(&one, 0, &file_state(), &edits));
    let two = edited(2, &one.state, &[removal("title new")]);
    harness.receive(0, delta(&two, 1, &one.state, &[removal("title new")]));
    assert_eq!(harness.numbers(), (0, Some(2)));
    harness.receive(0, activate(&one));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((0, Some(2)), Some(HoldReason::Behind)));
    harness.receive(0, activate(&two));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((2, None), None));
}

#[test]
fn a_delta_applies_to_the_active_or_the_prepared_revision() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    harness.receive(0, delta(&one, 0, &file_state(), &edits));
    let both = [put("title new", "2")];
    let two = edited(2, &file_state(), &both);
    harness.receive(0, delta(&two, 0, &file_state(), &both));
    assert_eq!(harness.numbers(), (0, Some(2)));
}

#[test]
fn a_delta_on_another_base_leads_to_a_new_hello() {
    let mut harness = Harness::with_serving_relay(2, 2);
    let (one, edits) = first_revision();
    let two = edited(2, &one.state, &[removal("title new")]);
    let hello = ToRelay::Hello { controller: CONTROLLER, active: 0, held: 0, root: file_state().root() };
    let by_number = delta(&two, 1, &one.state, &[removal("title new")]);
    let by_root = delta(&one, 0, &titles(3), &edits);
    for mut wrong in [by_root, by_number] {
        if let ToWatcher::Delta { certificate, .. } = &mut wrong {
            certificate.votes.clear();
        }
        let mut harness = Harness::with_serving_relay(2, 1);
        let out = harness.receive(0, wrong);
        assert!(out.contains(&WatcherOutput::Send(0, hello.clone())), "{out:?}");
    }
    // The relay answers with a snapshot.
    harness.receive(0, delta(&two, 1, &one.state, &[removal("title new")]));
    assert!(!closes(&harness.receive(0, ToWatcher::Welcome { relay: 0, number: 3 }), 0));
    let three = version(3, titles(60));
    transfer_snapshot(&mut harness, 0, &three);
    assert_eq!(harness.numbers(), (0, Some(3)));
}

#[test]
fn endless_deltas_on_other_bases_are_refused() {
    let mut harness = Harness::with_serving_relay(2, 2);
    let (one, _) = first_revision();
    let two = edited(2, &one.state, &[]);
    let wrong = delta(&two, 1, &one.state, &[]);
    let count = (1..100).find(|_| closes(&harness.receive(0, wrong.clone()), 0));
    assert_eq!(count, Some(9));
}

/// Offers a snapshot and answers all requests for its parts.
fn transfer_snapshot(harness: &mut Harness, relay: usize, version: &Version) {
    let mut out = harness.receive(relay, snapshot(version));
    while !out.is_empty() {
        let next = out.iter().flat_map(|output| parts(version, relay, output)).collect::<Vec<_>>();
        out = next.into_iter().flat_map(|part| harness.receive(relay, part)).collect();
    }
}

/// The answers to a request for parts.
fn parts(version: &Version, relay: usize, output: &WatcherOutput) -> Vec<ToWatcher> {
    let state = &version.state;
    let group = |group: &u8| ToWatcher::Group { group: *group, buckets: state.group(*group) };
    let bucket = |bucket: &u16| ToWatcher::Bucket { bucket: *bucket, entries: state.bucket(*bucket) };
    match output {
        WatcherOutput::Send(to, ToRelay::GetGroups { groups }) if *to == relay => {
            groups.iter().map(group).collect()
        }
        WatcherOutput::Send(to, ToRelay::GetBuckets { buckets }) if *to == relay => {
            buckets.iter().map(bucket).collect()
        }
        _ => Vec::new(),
    }
}

#[test]
fn an_interrupted_snapshot_continues_at_another_relay() {
    let whole = version(5, titles(3000));
    let mut harness = Harness::with_serving_relay(2, 5);
    let mut out = harness.receive(0, snapshot(&whole));
    for _ in 0..20 {
        let next = out.iter().flat_map(|output| parts(&whole, 0, output)).collect::<Vec<_>>();
        out = next.into_iter().flat_map(|part| harness.receive(0, part)).collect();
    }
    let progress = harness.watcher.status(harness.now).transfer.unwrap();
    assert!(progress.buckets_received > 0 && progress.buckets_left > 0);
    harness.close(0);
    assert_eq!(
        harness.watcher.status(harness.now).transfer.unwrap().buckets_received,
        progress.buckets_received
    );
    harness.connect_and_welcome(1, 6);
    // The next relay already holds a later revision.
    let mut later = whole.state.clone();
    later.apply(&[put("title 00000003", "changed")]).unwrap();
    let later = version(6, later);
    transfer_snapshot(&mut harness, 1, &later);
    assert_eq!(harness.numbers(), (0, Some(6)));
    assert_eq!(harness.watcher.prepared_state(), Some(&later.state));
}

#[test]
fn a_snapshot_offered_by_both_relays_continues_when_one_connection_closes() {
    let whole = version(5, titles(3000));
    let mut harness = Harness::with_serving_relay(2, 5);
    harness.receive(0, snapshot(&whole));
    harness.advance(seconds(3.1));
    harness.connect_and_welcome(1, 5);
    assert_eq!(harness.receive(1, snapshot(&whole)), []);
    // An offer that does not verify is rejected.
    let mut forged = whole.clone();
    forged.certificate.votes.clear();
    let mut other = Harness::with_serving_relay(2, 5);
    other.receive(0, snapshot(&whole));
    other.advance(seconds(3.1));
    other.connect_and_welcome(1, 5);
    assert!(closes(&other.receive(1, snapshot(&forged)), 1));
    let requests = harness.close(0);
    assert!(requests.iter().any(|out| matches!(out, WatcherOutput::Send(1, ToRelay::GetGroups { .. }))));
}

#[test]
fn a_delta_to_a_later_revision_ends_a_transfer() {
    let (one, edits) = first_revision();
    let mut harness = Harness::with_serving_relay(2, 1);
    harness.receive(0, snapshot(&version(1, titles(90))));
    let two = edited(2, &file_state(), &edits);
    harness.receive(0, delta(&two, 0, &file_state(), &edits));
    assert_eq!((harness.numbers(), harness.watcher.status(harness.now).transfer), ((0, Some(2)), None));
    // Parts that were requested before may still arrive.
    let part = ToWatcher::Group { group: 0, buckets: one.state.group(0) };
    assert_eq!(harness.receive(0, part), []);
}

#[test]
fn parts_that_were_not_requested_or_do_not_verify_are_refused() {
    let whole = version(5, titles(3000));
    let group = |group: u8, buckets| ToWatcher::Group { group, buckets };
    let mut harness = Harness::with_serving_relay(2, 5);
    assert!(closes(&harness.receive(0, group(0, whole.state.group(0))), 0));
    let mut harness = Harness::with_serving_relay(2, 5);
    harness.receive(0, snapshot(&whole));
    assert!(closes(&harness.receive(0, group(0, whole.state.group(1))), 0));
    let mut harness = Harness::with_serving_relay(2, 5);
    harness.receive(0, snapshot(&whole));
    assert!(closes(&harness.receive(0, ToWatcher::Bucket { bucket: 0, entries: vec![] }), 0));
    let mut harness = Harness::with_serving_relay(2, 5);
    let mut groups = whole.state.group_digests();
    groups.swap(0, 1);
    let (certificate, summary) = (whole.certificate.clone(), whole.summary);
    assert!(closes(&harness.receive(0, ToWatcher::Snapshot { certificate, summary, groups }), 0));
}

#[test]
fn a_delta_that_does_not_verify_is_refused_and_changes_nothing() {
    type Forge = fn(&mut ToWatcher);
    fn forge_delta(message: &mut ToWatcher, forge: fn(&mut Version, &mut Vec<Edit>)) {
        let ToWatcher::Delta { certificate, summary, edits, .. } = message else { return };
        let mut version =
            Version { certificate: certificate.clone(), summary: *summary, state: file_state() };
        forge(&mut version, edits);
        (*certificate, *summary) = (version.certificate, version.summary);
    }
    let forgeries: [Forge; 9] = [
        |message| forge_delta(message, |version, _| version.certificate.votes.clear()),
        |message| forge_delta(message, |version, _| version.certificate.votes.truncate(2)),
        |message| forge_delta(message, |version, _| version.certificate.votes[0].signature[0] ^= 1),
        |message| forge_delta(message, |version, _| version.certificate.votes[0].acceptor = 9),
        |message| {
            forge_delta(message, |version, _| version.certificate.votes[1] = version.certificate.votes[0])
        },
        |message| forge_delta(message, |version, _| version.summary.root[0] ^= 1),
        |message| forge_delta(message, |version, _| version.certificate.signed.head.number = 2),
        |message| forge_delta(message, |_, edits| edits.push(put("title added", "1"))),
        |message| forge_delta(message, |_, edits| edits[0].key = "k".repeat(1000)),
    ];
    let (one, edits) = first_revision();
    for forge in forgeries {
        let mut harness = Harness::with_serving_relay(2, 1);
        let mut message = delta(&one, 0, &file_state(), &edits);
        forge(&mut message);
        assert!(closes(&harness.receive(0, message), 0));
        assert_eq!((harness.numbers(), harness.hold_reason()), ((0, None), None));
        let status = harness.watcher.status(harness.now);
        assert_eq!((status.relays_refused, status.certified), (1, 0));
        assert!(status.last_refusal.is_some_and(|(relay, why)| relay == 0 && !why.is_empty()));
        // The next relay is used, and the first one is not tried for a minute.
        harness.connect_and_welcome(1, 1);
        harness.receive(1, delta(&one, 0, &file_state(), &edits));
        assert_eq!(harness.numbers(), (0, Some(1)));
        assert!(!harness.advance_granting(1, seconds(59.0)).contains(&WatcherOutput::Connect(0)));
    }
}

/// A state that matches its summary, while the summary is not the certified one.
#[test]
fn the_state_of_another_summary_is_refused() {
    let (one, _) = first_revision();
    let edits = [put("title new", "another")];
    let other = edited(1, &file_state(), &edits);
    let mut harness = Harness::with_serving_relay(2, 1);
    let forged = Version { certificate: one.certificate, ..other };
    assert!(closes(&harness.receive(0, delta(&forged, 0, &file_state(), &edits)), 0));
    assert_eq!(harness.numbers(), (0, None));
    let mut harness = Harness::with_serving_relay(2, 1);
    assert!(closes(&harness.receive(0, snapshot(&forged)), 0));
}

#[test]
fn too_many_votes_are_refused() {
    let (mut one, edits) = first_revision();
    one.certificate.votes = one.certificate.votes.iter().cycle().take(33).copied().collect();
    let mut harness = Harness::with_serving_relay(2, 1);
    assert!(closes(&harness.receive(0, delta(&one, 0, &file_state(), &edits)), 0));
}

#[test]
fn the_active_revision_never_decreases() {
    let (mut harness, one) = active_on_first();
    let zero = version(1, one.state.clone());
    assert_eq!(
        harness.receive(0, delta(&zero, 0, &file_state(), &[])),
        [WatcherOutput::Send(0, ToRelay::Prepared { number: 1 })]
    );
    let other = version_of(1, titles(3), 1);
    assert!(closes(&harness.receive(0, delta(&other, 0, &file_state(), &[])), 0));
    assert_eq!(harness.watcher.active_state(), &one.state);
}

#[test]
fn a_revision_that_the_program_cannot_apply_is_reported_and_the_next_one_activated() {
    let (mut harness, one) = active_on_first();
    let unfit = edited(2, &one.state, &[put(UNFIT_KEY, "1")]);
    let out = harness.receive(0, delta(&unfit, 1, &one.state, &[put(UNFIT_KEY, "1")]));
    let is_reported = |out: &[WatcherOutput]| {
        out.iter().any(|out| matches!(out, WatcherOutput::Send(0, ToRelay::Unfit { number: 2, .. })))
    };
    assert!(is_reported(&out) && out.iter().any(|out| matches!(out, WatcherOutput::Unfit { number: 2, .. })));
    assert!(!out.iter().any(|out| matches!(out, WatcherOutput::Store(_))));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((1, None), None));
    assert_eq!(harness.watcher.status(harness.now).unfit, Some(2));
    // It is reported on a new connection too.
    harness.close(0);
    assert!(
        is_reported(&harness.connect_and_welcome(0, 2)) || is_reported(&harness.connect_and_welcome(1, 2))
    );
    harness.receive(0, activate(&unfit));
    assert_eq!((harness.numbers(), harness.hold_reason()), ((1, None), Some(HoldReason::Behind)));
    // Another relay would have nothing else to offer.
    let relay = harness.watcher.status(harness.now).serving.unwrap().0;
    for _ in 0..200 {
        for nonce in harness.take_nonces(relay) {
            harness.receive(relay, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 2)));
        }
        let out = harness.advance(seconds(0.1));
        assert!(!out.iter().any(|out| matches!(out, WatcherOutput::Connect(_))));
    }
    let three = edited(3, &unfit.state, &[removal(UNFIT_KEY)]);
    harness.receive(relay, delta(&three, 2, &unfit.state, &[removal(UNFIT_KEY)]));
    harness.receive(relay, activate(&three));
    harness.advance(seconds(2.0));
    harness.grant(relay, 3);
    assert_eq!((harness.numbers(), harness.hold_reason()), ((3, None), None));
}

#[test]
fn the_highest_certified_revision_counts_whichever_relay_sent_it() {
    let (one, edits) = first_revision();
    let mut harness = Harness::with_serving_relay(2, 0);
    harness.advance(seconds(3.1));
    harness.connect_and_welcome(1, 1);
    harness.receive(1, delta(&one, 0, &file_state(), &edits));
    assert_eq!(harness.numbers(), (0, Some(1)));
    // The other relay has not advanced, and is told of the revision.
    harness.receive(0, activate(&one));
    assert_eq!(harness.numbers(), (1, None));
}

#[test]
fn a_paused_process_learns_that_its_lease_has_expired() {
    let (mut harness, one) = active_on_first();
    assert_eq!(harness.watcher.acting(harness.now + LEASE).hold_reason, Some(HoldReason::NoLease));
    harness.now += Duration::from_secs(3600);
    harness.advance(Duration::from_millis(1));
    assert_eq!((harness.hold_reason(), harness.numbers()), (Some(HoldReason::NoLease), (1, None)));
    assert_eq!(harness.watcher.active_state(), &one.state);
}

#[test]
fn a_new_list_of_acceptors_applies_at_once() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    let mut ring = signer(100);
    ring.acceptors = vec![10, 11, 12];
    harness.watcher.replace_signer(ring);
    assert!(closes(&harness.receive(0, delta(&one, 0, &file_state(), &edits)), 0));
}

#[test]
fn messages_on_connections_that_are_not_open_are_ignored() {
    let mut harness = Harness::with_serving_relay(2, 1);
    let (one, edits) = first_revision();
    let message = delta(&one, 0, &file_state(), &edits);
    assert_eq!(harness.receive(1, message.clone()), []);
    assert_eq!(harness.receive(9, message), []);
    assert_eq!(harness.numbers(), (0, None));
    let status = ToWatcher::Status(Box::default());
    assert!(closes(&harness.receive(0, status), 0));
}
