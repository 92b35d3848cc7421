//! Tests of the delta log: its limits, gaps, and that a merged delta equals its edits applied one by one.

use quickcheck::{Gen, QuickCheck};

use super::edits::{plain, put, removal, AnyEdit};
use super::sample::{certificate, summary};
use crate::log::{DeltaLog, Limits};
use crate::message::{encode, ToWatcher, MAX_RELAY_BODY_BYTES};
use crate::state::{Edit, State};

const LARGE_LIMITS: Limits = Limits { revisions: 100, bytes: 1 << 20 };

#[test]
fn a_delta_has_the_last_edit_of_each_key() {
    let mut log = DeltaLog::new(5, LARGE_LIMITS);
    assert_eq!((log.floor(), log.last_revision(), log.since(5), log.since(4)), (5, 5, Some(vec![]), None));
    log.push(6, vec![put("b", "1"), put("a", "1")]);
    log.push(7, vec![put("b", "2"), put("c", "1")]);
    log.push(8, vec![removal("a")]);
    assert_eq!(log.since(5), Some(vec![removal("a"), put("b", "2"), put("c", "1")]));
    assert_eq!(log.since(7), Some(vec![removal("a")]));
    assert_eq!((log.since(8), log.since(9), log.since(4)), (Some(vec![]), None, None));
}

#[test]
fn a_gap_clears_the_log() {
    for (number, floor, top) in [(9, 8, 9), (6, 5, 6), (1, 0, 1), (0, 0, 0)] {
        let mut log = DeltaLog::new(5, LARGE_LIMITS);
        log.push(6, vec![put("a", "1")]);
        log.push(7, vec![put("b", "1")]);
        log.push(number, vec![put("c", "1")]);
        assert_eq!((log.floor(), log.last_revision()), (floor, top));
        assert_eq!(log.since(floor).unwrap().len() as u32, top - floor);
    }
}

#[test]
fn the_log_is_limited_by_revisions_and_bytes() {
    let mut log = DeltaLog::new(0, Limits { revisions: 3, bytes: 1 << 20 });
    (1..=10).for_each(|number| log.push(number, vec![put("a", "1")]));
    assert_eq!((log.floor(), log.last_revision()), (7, 10));

    // Each edit counts 100 bytes, so three fit.
    let mut log = DeltaLog::new(0, Limits { revisions: 100, bytes: 399 });
    (1..=10).for_each(|number| log.push(number, vec![put("a", &"v".repeat(35))]));
    assert_eq!((log.floor(), log.last_revision()), (7, 10));
    log.push(11, vec![put("a", &"v".repeat(400))]);
    assert_eq!(
        (log.floor(), log.last_revision(), log.since(11), log.since(10)),
        (11, 11, Some(vec![]), None)
    );
}

/// A delta merged from a log of the default limits fits in one frame, even if it has only small edits.
#[test]
fn a_delta_fits_in_a_frame() {
    let mut log = DeltaLog::new(0, Limits::default());
    for number in 1..=2000 {
        log.push(number, (0..10).map(|place| removal(&format!("{:05}", number * 10 + place))).collect());
    }
    assert!(log.floor() > 0);
    let edits = log.since(log.floor()).unwrap();
    let delta = ToWatcher::Delta {
        certificate: certificate(7),
        summary: summary(),
        base: log.floor(),
        base_root: [0; 32],
        edits,
    };
    assert!(encode(&delta).len() < MAX_RELAY_BODY_BYTES);
}

/// Applying a delta to another base than its own results in another root, so the receiver detects it.
#[test]
fn a_delta_on_another_base_results_in_another_root() {
    let revisions =
        [vec![put("a", "1")], vec![put("b", "1")], vec![put("a", "2"), removal("b")], vec![put("c", "1")]];
    let mut log = DeltaLog::new(0, LARGE_LIMITS);
    let mut states = vec![State::new()];
    for (number, edits) in (1..).zip(&revisions) {
        let mut state = states[number as usize - 1].clone();
        state.apply(edits).unwrap();
        states.push(state);
        log.push(number, edits.clone());
    }
    let delta = log.since(3).unwrap();
    let state_from = |base: usize| {
        let mut state = states[base].clone();
        state.apply(&delta).unwrap();
        state
    };
    assert!(state_from(3) == states[4] && state_from(4) == states[4], "on its base, and applied twice");
    assert!((0..3).all(|base| state_from(base) != states[4]));
}

/// The merged delta from any revision in the log results in the same state as all edits applied one by one.
#[test]
fn a_merged_delta_equals_its_edits_one_by_one() {
    fn equals_single_edits(revisions: Vec<Vec<AnyEdit>>, max_revisions: u8) -> bool {
        let mut log =
            DeltaLog::new(0, Limits { revisions: usize::from(max_revisions % 16) + 1, bytes: 1 << 20 });
        let mut states = vec![State::new()];
        for (revision, edits) in revisions.iter().enumerate() {
            let edits: Vec<Edit> = plain(edits);
            let mut state = states[revision].clone();
            for edit in &edits {
                state.apply(std::slice::from_ref(edit)).unwrap();
            }
            states.push(state);
            log.push(revision as u32 + 1, edits);
        }
        (log.floor()..=log.last_revision()).all(|base| {
            let mut state = states[base as usize].clone();
            let edits = log.since(base).unwrap();
            state.apply(&edits).unwrap();
            state == states[log.last_revision() as usize] && edits.is_sorted_by(|a, b| a.key < b.key)
        })
    }
    let random = Gen::from_size_and_seed(20, 6);
    QuickCheck::new()
        .rng(random)
        .tests(60)
        .quickcheck(equals_single_edits as fn(Vec<Vec<AnyEdit>>, u8) -> bool);
}
