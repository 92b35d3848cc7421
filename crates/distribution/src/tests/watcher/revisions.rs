//! What a watcher prepares, and what it acts on.

use std::time::Duration;

use super::super::certified::{a_quorum, edited, good_proof, hand, proof, version, version_of, Version};
use super::super::edits::{put, removal, titles};
use super::bench::{activate, closes, delta, own_state, seconds, snapshot, Bench, CONTROLLER, UNFIT_KEY};
use crate::lease::LEASE;
use crate::message::{ToRelay, ToWatcher};
use crate::state::Edit;
use crate::watcher::{HoldReason, WatcherOutput};

fn first() -> (Version, [Edit; 1]) {
    let edits = [put("title new", "1")];
    (edited(1, &own_state(), &edits), edits)
}

/// A watcher that acts on revision 1 and has a lease.
fn active_on_first() -> (Bench, Version) {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    bench.hear(0, delta(&one, 0, &own_state(), &edits));
    bench.hear(0, activate(&one));
    assert_eq!(bench.numbers(), (1, None));
    (bench, one)
}

#[test]
fn one_without_a_store_is_unsure_until_it_has_a_lease() {
    let mut bench = Bench::new(2);
    assert_eq!(bench.held(), Some(HoldReason::Unsure));
    bench.connect(0, 0);
    assert_eq!(bench.held(), Some(HoldReason::Unsure));
    bench.grant(0, 0);
    assert_eq!((bench.held(), bench.numbers()), (None, (0, None)));
    assert_eq!(bench.watcher.active_state(), &own_state());
    bench.close(0);
    bench.pass(LEASE);
    assert_eq!(bench.held(), Some(HoldReason::NoLease));
    // The next process finds that it was sure.
    assert_eq!(Bench::with_disk(2, bench.disk).held(), Some(HoldReason::NoLease));
}

#[test]
fn a_lease_counts_from_the_drawing_of_its_nonce() {
    let mut bench = Bench::new(1);
    bench.connect(0, 0);
    let drawn = bench.now;
    bench.now += seconds(2.5);
    let nonce = bench.take_nonces(0)[0];
    bench.hear(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert!(bench.watcher.status(bench.now).lease_until <= Some(drawn + LEASE));
    assert!(bench.watcher.acting(drawn + LEASE - seconds(0.1)).held.is_none());
    assert_eq!(bench.watcher.acting(drawn + LEASE).held, Some(HoldReason::NoLease));
    // An answer that is older than a lease, or comes again, gives none.
    bench.hear(0, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 0)));
    assert_eq!(bench.watcher.acting(drawn + LEASE).held, Some(HoldReason::NoLease));
}

#[test]
fn a_lease_is_asked_for_three_times_while_one_lasts() {
    let mut bench = Bench::served(1, 0);
    let asked = bench.pass_served(0, LEASE * 10);
    let asked = asked.iter().filter(|out| matches!(out, WatcherOutput::Send(_, ToRelay::AskLease { .. })));
    let asked = asked.count();
    assert!((29..=34).contains(&asked), "{asked}");
    assert_eq!(bench.held(), None);
}

#[test]
fn what_is_certified_is_stored_then_said_and_acted_on_once_allowed() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    let out = bench.hear(0, delta(&one, 0, &own_state(), &edits));
    let place = |wanted: fn(&WatcherOutput) -> bool| out.iter().position(wanted);
    let stored = place(|out| matches!(out, WatcherOutput::Store(_)));
    let said = place(|out| *out == WatcherOutput::Send(0, ToRelay::Prepared { number: 1 }));
    assert!(stored.is_some() && stored < said, "{out:?}");
    assert!(out.contains(&WatcherOutput::Changed));
    assert_eq!((bench.numbers(), bench.held()), ((0, Some(1)), None));
    assert_eq!(bench.watcher.prepared_state(), Some(&one.state));
    let out = bench.hear(0, activate(&one));
    assert!(out.contains(&WatcherOutput::Changed));
    assert_eq!((bench.numbers(), bench.held()), ((1, None), None));
    assert_eq!(bench.watcher.active_state(), &one.state);
    assert_eq!(bench.hear(0, activate(&one)), []);
}

#[test]
fn a_certificate_that_brings_the_words_to_act_is_enough() {
    let mut bench = Bench::served(2, 1);
    let (mut one, edits) = first();
    one.certificate.activation_grants = one.goes(a_quorum());
    bench.hear(0, delta(&one, 0, &own_state(), &edits));
    assert_eq!(bench.numbers(), (1, None));
}

#[test]
fn words_to_act_that_are_not_those_of_a_quorum_are_refused() {
    let (one, edits) = first();
    let other = version_of(1, one.state.clone(), 1);
    let mut spoiled = one.goes(a_quorum());
    spoiled[1].signature[0] ^= 1;
    let two = version(2, one.state.clone());
    let wrong = [
        one.goes(0..2),
        one.goes([0, 1, 1].into_iter()),
        one.goes([0, 1, 5].into_iter()),
        other.goes(a_quorum()),
        two.goes(a_quorum()),
        spoiled,
        vec![],
    ];
    for goes in wrong {
        let mut bench = Bench::served(2, 1);
        bench.hear(0, delta(&one, 0, &own_state(), &edits));
        let out = bench.hear(0, ToWatcher::Activate { number: 1, goes });
        assert!(closes(&out, 0));
        assert_eq!((bench.numbers(), bench.held()), ((0, Some(1)), None));
    }
}

#[test]
fn one_that_does_not_have_what_others_act_on_holds_back() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    bench.hear(0, activate(&one));
    assert_eq!((bench.numbers(), bench.held()), ((0, None), Some(HoldReason::Behind)));
    bench.hear(0, delta(&one, 0, &own_state(), &edits));
    assert_eq!((bench.numbers(), bench.held()), ((1, None), None));
}

/// Two certificates of one number are not possible among honest acceptors; what is allowed is one of them alone.
#[test]
fn words_to_act_on_another_revision_of_that_number_do_not_count() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    bench.hear(0, activate(&version_of(1, one.state.clone(), 1)));
    bench.hear(0, delta(&one, 0, &own_state(), &edits));
    assert_eq!((bench.numbers(), bench.held()), ((0, Some(1)), Some(HoldReason::Behind)));
}

#[test]
fn grants_that_name_a_higher_revision_show_that_it_is_behind() {
    let mut bench = Bench::served(2, 0);
    let until = bench.watcher.status(bench.now).lease_until.unwrap();
    bench.pass(seconds(2.0));
    let nonce = bench.take_nonces(0)[0];
    let behind = proof(&[(CONTROLLER, nonce)], 0, &[(0, 0), (1, 0), (2, 1)]);
    assert!(!closes(&bench.hear(0, ToWatcher::Lease(behind)), 0));
    assert_eq!(bench.held(), None);
    assert_eq!(bench.watcher.status(bench.now).lease_until, Some(until));
    assert_eq!(bench.watcher.acting(until).held, Some(HoldReason::Behind));
}

#[test]
fn only_the_newest_prepared_revision_is_kept() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    bench.hear(0, delta(&one, 0, &own_state(), &edits));
    let two = edited(2, &one.state, &[removal("title new")]);
    bench.hear(0, delta(&two, 1, &one.state, &[removal("title new")]));
    assert_eq!(bench.numbers(), (0, Some(2)));
    bench.hear(0, activate(&one));
    assert_eq!((bench.numbers(), bench.held()), ((0, Some(2)), Some(HoldReason::Behind)));
    bench.hear(0, activate(&two));
    assert_eq!((bench.numbers(), bench.held()), ((2, None), None));
}

#[test]
fn a_delta_is_taken_on_what_is_acted_on_or_prepared() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    bench.hear(0, delta(&one, 0, &own_state(), &edits));
    let both = [put("title new", "2")];
    let two = edited(2, &own_state(), &both);
    bench.hear(0, delta(&two, 0, &own_state(), &both));
    assert_eq!(bench.numbers(), (0, Some(2)));
}

#[test]
fn a_delta_on_another_base_leads_to_a_new_hello() {
    let mut bench = Bench::served(2, 2);
    let (one, edits) = first();
    let two = edited(2, &one.state, &[removal("title new")]);
    let hello = ToRelay::Hello { controller: CONTROLLER, active: 0, held: 0, root: own_state().root() };
    let by_number = delta(&two, 1, &one.state, &[removal("title new")]);
    let by_root = delta(&one, 0, &titles(3), &edits);
    for mut wrong in [by_root, by_number] {
        if let ToWatcher::Delta { certificate, .. } = &mut wrong {
            certificate.votes.clear();
        }
        let mut bench = Bench::served(2, 1);
        let out = bench.hear(0, wrong);
        assert!(out.contains(&WatcherOutput::Send(0, hello.clone())), "{out:?}");
    }
    // It is answered by a snapshot.
    bench.hear(0, delta(&two, 1, &one.state, &[removal("title new")]));
    assert!(!closes(&bench.hear(0, ToWatcher::Welcome { relay: 0, number: 3 }), 0));
    let three = version(3, titles(60));
    take_snapshot(&mut bench, 0, &three);
    assert_eq!(bench.numbers(), (0, Some(3)));
}

#[test]
fn deltas_on_other_bases_without_end_are_refused() {
    let mut bench = Bench::served(2, 2);
    let (one, _) = first();
    let two = edited(2, &one.state, &[]);
    let wrong = delta(&two, 1, &one.state, &[]);
    let count = (1..100).find(|_| closes(&bench.hear(0, wrong.clone()), 0));
    assert_eq!(count, Some(9));
}

/// Offers a snapshot and answers all requests for its parts.
fn take_snapshot(bench: &mut Bench, relay: usize, version: &Version) {
    let mut out = bench.hear(relay, snapshot(version));
    while !out.is_empty() {
        let next = out.iter().flat_map(|output| parts(version, relay, output)).collect::<Vec<_>>();
        out = next.into_iter().flat_map(|part| bench.hear(relay, part)).collect();
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
fn a_snapshot_that_is_cut_off_goes_on_at_another_relay() {
    let whole = version(5, titles(3000));
    let mut bench = Bench::served(2, 5);
    let mut out = bench.hear(0, snapshot(&whole));
    for _ in 0..20 {
        let next = out.iter().flat_map(|output| parts(&whole, 0, output)).collect::<Vec<_>>();
        out = next.into_iter().flat_map(|part| bench.hear(0, part)).collect();
    }
    let came = bench.watcher.status(bench.now).transfer.unwrap();
    assert!(came.buckets_taken > 0 && came.buckets_left > 0);
    bench.close(0);
    assert_eq!(bench.watcher.status(bench.now).transfer.unwrap().buckets_taken, came.buckets_taken);
    bench.connect(1, 6);
    // The next relay holds a later revision already.
    let mut later = whole.state.clone();
    later.apply(&[put("title 00000003", "changed")]).unwrap();
    let later = version(6, later);
    take_snapshot(&mut bench, 1, &later);
    assert_eq!(bench.numbers(), (0, Some(6)));
    assert_eq!(bench.watcher.prepared_state(), Some(&later.state));
}

#[test]
fn a_snapshot_offered_by_both_relays_goes_on_when_one_breaks() {
    let whole = version(5, titles(3000));
    let mut bench = Bench::served(2, 5);
    bench.hear(0, snapshot(&whole));
    bench.pass(seconds(3.1));
    bench.connect(1, 5);
    assert_eq!(bench.hear(1, snapshot(&whole)), []);
    // One that does not verify is not even kept.
    let mut forged = whole.clone();
    forged.certificate.votes.clear();
    let mut other = Bench::served(2, 5);
    other.hear(0, snapshot(&whole));
    other.pass(seconds(3.1));
    other.connect(1, 5);
    assert!(closes(&other.hear(1, snapshot(&forged)), 1));
    let asked = bench.close(0);
    assert!(asked.iter().any(|out| matches!(out, WatcherOutput::Send(1, ToRelay::GetGroups { .. }))));
}

#[test]
fn a_delta_ends_a_transfer_that_it_overtakes() {
    let (one, edits) = first();
    let mut bench = Bench::served(2, 1);
    bench.hear(0, snapshot(&version(1, titles(90))));
    let two = edited(2, &own_state(), &edits);
    bench.hear(0, delta(&two, 0, &own_state(), &edits));
    assert_eq!((bench.numbers(), bench.watcher.status(bench.now).transfer), ((0, Some(2)), None));
    // Parts that were asked for before may still come.
    let part = ToWatcher::Group { group: 0, buckets: one.state.group(0) };
    assert_eq!(bench.hear(0, part), []);
}

#[test]
fn parts_that_are_not_asked_for_or_do_not_verify_are_refused() {
    let whole = version(5, titles(3000));
    let group = |group: u8, buckets| ToWatcher::Group { group, buckets };
    let mut bench = Bench::served(2, 5);
    assert!(closes(&bench.hear(0, group(0, whole.state.group(0))), 0));
    let mut bench = Bench::served(2, 5);
    bench.hear(0, snapshot(&whole));
    assert!(closes(&bench.hear(0, group(0, whole.state.group(1))), 0));
    let mut bench = Bench::served(2, 5);
    bench.hear(0, snapshot(&whole));
    assert!(closes(&bench.hear(0, ToWatcher::Bucket { bucket: 0, entries: vec![] }), 0));
    let mut bench = Bench::served(2, 5);
    let mut groups = whole.state.group_digests();
    groups.swap(0, 1);
    let (certificate, summary) = (whole.certificate.clone(), whole.summary);
    assert!(closes(&bench.hear(0, ToWatcher::Snapshot { certificate, summary, groups }), 0));
}

#[test]
fn what_does_not_verify_is_refused_and_changes_nothing() {
    type Spoil = fn(&mut ToWatcher);
    fn with(message: &mut ToWatcher, spoil: fn(&mut Version, &mut Vec<Edit>)) {
        let ToWatcher::Delta { certificate, summary, edits, .. } = message else { return };
        let mut version = Version { certificate: certificate.clone(), summary: *summary, state: own_state() };
        spoil(&mut version, edits);
        (*certificate, *summary) = (version.certificate, version.summary);
    }
    let spoils: [Spoil; 9] = [
        |message| with(message, |version, _| version.certificate.votes.clear()),
        |message| with(message, |version, _| version.certificate.votes.truncate(2)),
        |message| with(message, |version, _| version.certificate.votes[0].signature[0] ^= 1),
        |message| with(message, |version, _| version.certificate.votes[0].acceptor = 9),
        |message| with(message, |version, _| version.certificate.votes[1] = version.certificate.votes[0]),
        |message| with(message, |version, _| version.summary.root[0] ^= 1),
        |message| with(message, |version, _| version.certificate.signed.head.number = 2),
        |message| with(message, |_, edits| edits.push(put("title added", "1"))),
        |message| with(message, |_, edits| edits[0].key = "k".repeat(1000)),
    ];
    let (one, edits) = first();
    for spoil in spoils {
        let mut bench = Bench::served(2, 1);
        let mut message = delta(&one, 0, &own_state(), &edits);
        spoil(&mut message);
        assert!(closes(&bench.hear(0, message), 0));
        assert_eq!((bench.numbers(), bench.held()), ((0, None), None));
        let status = bench.watcher.status(bench.now);
        assert_eq!((status.relays_refused, status.certified), (1, 0));
        assert!(status.last_refusal.is_some_and(|(relay, why)| relay == 0 && !why.is_empty()));
        // The next relay is taken, and the first not tried for a minute.
        bench.connect(1, 1);
        bench.hear(1, delta(&one, 0, &own_state(), &edits));
        assert_eq!(bench.numbers(), (0, Some(1)));
        assert!(!bench.pass_served(1, seconds(59.0)).contains(&WatcherOutput::Connect(0)));
    }
}

/// A state that fits its summary, where the summary is not the one that is certified.
#[test]
fn the_state_of_another_summary_is_refused() {
    let (one, _) = first();
    let edits = [put("title new", "another")];
    let other = edited(1, &own_state(), &edits);
    let mut bench = Bench::served(2, 1);
    let forged = Version { certificate: one.certificate, ..other };
    assert!(closes(&bench.hear(0, delta(&forged, 0, &own_state(), &edits)), 0));
    assert_eq!(bench.numbers(), (0, None));
    let mut bench = Bench::served(2, 1);
    assert!(closes(&bench.hear(0, snapshot(&forged)), 0));
}

#[test]
fn too_many_votes_are_refused_unread() {
    let (mut one, edits) = first();
    one.certificate.votes = one.certificate.votes.iter().cycle().take(33).copied().collect();
    let mut bench = Bench::served(2, 1);
    assert!(closes(&bench.hear(0, delta(&one, 0, &own_state(), &edits)), 0));
}

#[test]
fn it_never_goes_back() {
    let (mut bench, one) = active_on_first();
    let zero = version(1, one.state.clone());
    assert_eq!(
        bench.hear(0, delta(&zero, 0, &own_state(), &[])),
        [WatcherOutput::Send(0, ToRelay::Prepared { number: 1 })]
    );
    let other = version_of(1, titles(3), 1);
    assert!(closes(&bench.hear(0, delta(&other, 0, &own_state(), &[])), 0));
    assert_eq!(bench.watcher.active_state(), &one.state);
}

#[test]
fn one_that_its_program_can_not_act_on_is_said_and_the_next_one_taken() {
    let (mut bench, one) = active_on_first();
    let unfit = edited(2, &one.state, &[put(UNFIT_KEY, "1")]);
    let out = bench.hear(0, delta(&unfit, 1, &one.state, &[put(UNFIT_KEY, "1")]));
    let said = |out: &[WatcherOutput]| {
        out.iter().any(|out| matches!(out, WatcherOutput::Send(0, ToRelay::Unfit { number: 2, .. })))
    };
    assert!(said(&out) && out.iter().any(|out| matches!(out, WatcherOutput::Unfit { number: 2, .. })));
    assert!(!out.iter().any(|out| matches!(out, WatcherOutput::Store(_))));
    assert_eq!((bench.numbers(), bench.held()), ((1, None), None));
    assert_eq!(bench.watcher.status(bench.now).unfit, Some(2));
    // A new connection is told of it too.
    bench.close(0);
    assert!(said(&bench.connect(0, 2)) || said(&bench.connect(1, 2)));
    bench.hear(0, activate(&unfit));
    assert_eq!((bench.numbers(), bench.held()), ((1, None), Some(HoldReason::Behind)));
    // Another relay would have nothing else.
    let relay = bench.watcher.status(bench.now).serving.unwrap().0;
    for _ in 0..200 {
        for nonce in bench.take_nonces(relay) {
            bench.hear(relay, ToWatcher::Lease(good_proof(CONTROLLER, nonce, 2)));
        }
        let out = bench.pass(seconds(0.1));
        assert!(!out.iter().any(|out| matches!(out, WatcherOutput::Connect(_))));
    }
    let three = edited(3, &unfit.state, &[removal(UNFIT_KEY)]);
    bench.hear(relay, delta(&three, 2, &unfit.state, &[removal(UNFIT_KEY)]));
    bench.hear(relay, activate(&three));
    bench.pass(seconds(2.0));
    bench.grant(relay, 3);
    assert_eq!((bench.numbers(), bench.held()), ((3, None), None));
}

#[test]
fn the_higher_certified_of_two_positions_counts_whoever_said_it() {
    let (one, edits) = first();
    let mut bench = Bench::served(2, 0);
    bench.pass(seconds(3.1));
    bench.connect(1, 1);
    bench.hear(1, delta(&one, 0, &own_state(), &edits));
    assert_eq!(bench.numbers(), (0, Some(1)));
    // The other relay stands where it stood, and is told.
    bench.hear(0, activate(&one));
    assert_eq!(bench.numbers(), (1, None));
}

#[test]
fn a_process_that_stood_still_learns_that_its_lease_is_over() {
    let (mut bench, one) = active_on_first();
    assert_eq!(bench.watcher.acting(bench.now + LEASE).held, Some(HoldReason::NoLease));
    bench.now += Duration::from_secs(3600);
    bench.pass(Duration::from_millis(1));
    assert_eq!((bench.held(), bench.numbers()), (Some(HoldReason::NoLease), (1, None)));
    assert_eq!(bench.watcher.active_state(), &one.state);
}

#[test]
fn another_list_of_acceptors_counts_from_when_it_is_taken() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    let mut ring = hand(100);
    ring.acceptors = vec![10, 11, 12];
    bench.watcher.take_hand(ring);
    assert!(closes(&bench.hear(0, delta(&one, 0, &own_state(), &edits)), 0));
}

#[test]
fn messages_on_connections_that_are_not_open_are_nothing() {
    let mut bench = Bench::served(2, 1);
    let (one, edits) = first();
    let message = delta(&one, 0, &own_state(), &edits);
    assert_eq!(bench.hear(1, message.clone()), []);
    assert_eq!(bench.hear(9, message), []);
    assert_eq!(bench.numbers(), (0, None));
    let status = ToWatcher::Status(Box::default());
    assert!(closes(&bench.hear(0, status), 0));
}
