//! Tests of the stored state: complete, with appended records, torn, and of a program with another check.

use super::super::certified::{edited, version, Version};
use super::super::edits::{put, titles};
use super::harness::{activate, delta, file_state, seconds, Harness, UNFIT_KEY};
use crate::state::{Edit, State};
use crate::watcher::{HoldReason, StoreRequest, Stored, StoredFault, WatcherOutput};

/// A watcher whose active revision is 2 and which has prepared revision 3, with all three versions.
fn with_three_revisions() -> (Harness, Vec<Version>) {
    let mut harness = Harness::with_serving_relay(2, 1);
    let mut versions: Vec<Version> = Vec::new();
    for number in 1..=3 {
        let before = versions.last().map_or(file_state(), |version| version.state.clone());
        let edits = [put("title new", &format!("{number}"))];
        let version = edited(number, &before, &edits);
        harness.receive(0, delta(&version, number - 1, &before, &edits));
        if number < 3 {
            harness.receive(0, activate(&version));
        }
        versions.push(version);
    }
    assert_eq!(harness.numbers(), (2, Some(3)));
    (harness, versions)
}

#[test]
fn the_next_process_continues_with_the_stored_revisions() {
    let (harness, versions) = with_three_revisions();
    let mut next = Harness::with_disk(2, harness.disk);
    assert_eq!((next.numbers(), next.hold_reason()), ((2, Some(3)), Some(HoldReason::NoLease)));
    assert_eq!(next.watcher.active_state(), &versions[1].state);
    assert_eq!(next.watcher.prepared_state(), Some(&versions[2].state));
    next.connect_and_welcome(0, 3);
    next.receive(0, activate(&versions[2]));
    assert_eq!(next.numbers(), (3, None));
    assert_eq!(Harness::with_disk(2, next.disk).numbers(), (3, None));
}

#[test]
fn storing_a_change_writes_its_own_size_and_not_that_of_the_state() {
    let mut harness = Harness::with_serving_relay(1, 1);
    let mut state = titles(20_000);
    let mut stored = Vec::new();
    for number in 1..=200 {
        let edits = [put("title new", &format!("{number}"))];
        let (base, before) = (number - 1, state.clone());
        state.apply(&edits).unwrap();
        let mut out = if number == 1 {
            let mut snapshot_out = harness.receive(0, super::harness::snapshot(&version(1, state.clone())));
            snapshot_out.extend(answer_all(&mut harness, &state));
            snapshot_out
        } else {
            harness.receive(0, delta(&version(number, state.clone()), base, &before, &edits))
        };
        out.extend(harness.receive(0, activate(&version(number, state.clone()))));
        stored.extend(out.into_iter().filter_map(|out| match out {
            WatcherOutput::Store(request) => Some(request),
            _ => None,
        }));
    }
    let lengths_of = |request: &StoreRequest| match request {
        StoreRequest::Replace(bytes) => (bytes.len(), 0),
        StoreRequest::Append(bytes) => (0, bytes.len()),
    };
    let (replaced, appended): (Vec<usize>, Vec<usize>) = stored.iter().map(lengths_of).unzip();
    let replaced: Vec<usize> = replaced.into_iter().filter(|bytes| *bytes > 0).collect();
    // One record for the prepared revision and one for its activation.
    assert!((398..=400).contains(&appended.iter().filter(|bytes| **bytes > 0).count()));
    assert!(replaced.len() <= 2, "{replaced:?}");
    assert!(appended.iter().max() < Some(&1000), "{:?}", appended.iter().max());
    let read = Stored::read(&harness.disk).unwrap();
    assert_eq!(read.active.unwrap().state, state);
}

/// Answers all requests of the watcher to relay 0 for parts of this state.
fn answer_all(harness: &mut Harness, state: &State) -> Vec<WatcherOutput> {
    use crate::message::ToWatcher;
    let mut out = Vec::new();
    // Groups and buckets are requested in order: all of them are sent, and those that were not requested yet
    // are sent again later.
    let groups = (0..64).map(|group| ToWatcher::Group { group, buckets: state.group(group) });
    for group in groups {
        out.extend(harness.receive(0, group));
    }
    let listed = (0..64).flat_map(|group| state.group(group)).map(|(bucket, _)| bucket);
    for bucket in listed {
        out.extend(harness.receive(0, ToWatcher::Bucket { bucket, entries: state.bucket(bucket) }));
    }
    out
}

#[test]
fn many_appended_bytes_cause_a_complete_rewrite() {
    let mut harness = Harness::with_serving_relay(1, 1);
    let mut state = file_state();
    let mut replaced = 0;
    for number in 1..=300 {
        let edits = [put("title new", &"x".repeat(1000 + number as usize))];
        let before = state.clone();
        state.apply(&edits).unwrap();
        let next = version(number, state.clone());
        let mut out = harness.receive(0, delta(&next, number - 1, &before, &edits));
        out.extend(harness.receive(0, activate(&next)));
        let replaces = |out: &&WatcherOutput| matches!(out, WatcherOutput::Store(StoreRequest::Replace(_)));
        replaced += out.iter().filter(replaces).count();
        assert!(harness.disk.len() < 100 * 1024, "{}", harness.disk.len());
    }
    assert!((3..=15).contains(&replaced), "{replaced}");
}

#[test]
fn truncated_bytes_are_read_up_to_the_last_complete_record() {
    let (harness, _) = with_three_revisions();
    let mut seen = Vec::new();
    for length in 0..harness.disk.len() {
        let Ok(stored) = Stored::read(&harness.disk[..length]) else {
            assert!(seen.is_empty(), "readable bytes became unreadable with more bytes appended");
            continue;
        };
        let number = |revision: &Option<_>| {
            revision.as_ref().map_or(0, |stored: &crate::watcher::StoredRevision| stored.number())
        };
        seen.push((number(&stored.active), number(&stored.prepared)));
    }
    seen.dedup();
    assert_eq!(seen, [(0, 1), (1, 0), (1, 2), (2, 0)]);
}

#[test]
fn a_changed_bit_ends_the_readable_records() {
    let (harness, versions) = with_three_revisions();
    for offset in 0..harness.disk.len() {
        let mut changed = harness.disk.clone();
        changed[offset] ^= 1;
        let Ok(stored) = Stored::read(&changed) else { continue };
        let is_known = |revision: &Option<crate::watcher::StoredRevision>| {
            let matches_version = |revision: &crate::watcher::StoredRevision| {
                versions[revision.number() as usize - 1].state == revision.state
            };
            revision.as_ref().is_none_or(matches_version)
        };
        assert!(is_known(&stored.active) && is_known(&stored.prepared), "byte {offset}");
        assert!(stored.prepared.is_none_or(|prepared| prepared.number() < 3), "byte {offset}");
    }
}

/// An intact record after a record other than the one that it was appended to.
#[test]
fn a_record_on_another_base_ends_the_readable_records() {
    let mut harness = Harness::with_serving_relay(1, 1);
    let mut state = file_state();
    let mut lengths = Vec::new();
    for number in 1..=3 {
        let edits = [put(&format!("title {number}"), "new")];
        let before = state.clone();
        state.apply(&edits).unwrap();
        let next = version(number, state.clone());
        harness.receive(0, delta(&next, number - 1, &before, &edits));
        harness.receive(0, activate(&next));
        lengths.push(harness.disk.len());
    }
    let without_second = [&harness.disk[..lengths[0]], &harness.disk[lengths[1]..]].concat();
    assert_eq!(Stored::read(&without_second).unwrap().active.unwrap().number(), 1);
    assert_eq!(Stored::read(&harness.disk).unwrap().active.unwrap().number(), 3);
}

#[test]
fn bytes_of_another_format_are_refused() {
    assert_eq!(Stored::read(b""), Err(StoredFault::UnknownFormat));
    assert_eq!(Stored::read(b"blr2something else"), Err(StoredFault::UnknownFormat));
    assert_eq!(Stored::read(b"bdw1"), Err(StoredFault::ChecksumMismatch));
    assert_eq!(Stored::read(&[&b"bdw1"[..], &[0xff; 60]].concat()), Err(StoredFault::ChecksumMismatch));
    assert_eq!(Stored::read(&Stored::default().write()), Ok(Stored::default()));
}

#[test]
fn stored_revisions_that_this_program_cannot_apply_are_ignored() {
    let unfit = |number: u32, base: &State| edited(number, base, &[put(UNFIT_KEY, "1")]);
    let stored_revision = |version: Version| crate::watcher::StoredRevision {
        certificate: version.certificate,
        summary: version.summary,
        state: version.state,
    };
    let one = version(1, titles(3));
    let prepared = Some(stored_revision(unfit(2, &one.state)));
    let stored = Stored { active: Some(stored_revision(one)), prepared, confirmed: true };
    let harness = Harness::with_disk(2, stored.write());
    assert_eq!((harness.numbers(), harness.hold_reason()), ((1, None), Some(HoldReason::NoLease)));
    let stored =
        Stored { active: Some(stored_revision(unfit(1, &file_state()))), prepared: None, confirmed: true };
    let harness = Harness::with_disk(2, stored.write());
    assert_eq!((harness.numbers(), harness.hold_reason()), ((0, None), Some(HoldReason::Unsure)));
}

#[test]
fn the_first_write_of_a_process_is_a_complete_record() {
    let (harness, versions) = with_three_revisions();
    // The last record was torn: the next process must not append to it.
    let mut next = Harness::with_disk(2, harness.disk[..harness.disk.len() - 5].to_vec());
    assert_eq!(next.numbers(), (2, None));
    next.connect_and_welcome(0, 3);
    let edits: [Edit; 1] = [put("title new", "3")];
    let out = next.receive(0, delta(&versions[2], 2, &versions[1].state, &edits));
    let replaced = |out: &WatcherOutput| matches!(out, WatcherOutput::Store(StoreRequest::Replace(_)));
    assert!(out.iter().any(replaced));
    next.advance(seconds(0.1));
    assert_eq!(Harness::with_disk(2, next.disk).numbers(), (2, Some(3)));
}
