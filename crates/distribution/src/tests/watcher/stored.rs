//! What outlives the process: whole, appended to, torn, and of another program.

use super::super::certified::{edited, version, Version};
use super::super::edits::{put, titles};
use super::bench::{activate, delta, own_state, seconds, Bench, UNFIT_KEY};
use crate::state::{Edit, State};
use crate::watcher::{HoldReason, StoreRequest, Stored, StoredFault, WatcherOutput};

/// A watcher that acts on revision 2 and has prepared revision 3, with these states.
fn with_three() -> (Bench, Vec<Version>) {
    let mut bench = Bench::served(2, 1);
    let mut versions: Vec<Version> = Vec::new();
    for number in 1..=3 {
        let before = versions.last().map_or(own_state(), |version| version.state.clone());
        let edits = [put("title new", &format!("{number}"))];
        let version = edited(number, &before, &edits);
        bench.hear(0, delta(&version, number - 1, &before, &edits));
        if number < 3 {
            bench.hear(0, activate(&version));
        }
        versions.push(version);
    }
    assert_eq!(bench.numbers(), (2, Some(3)));
    (bench, versions)
}

#[test]
fn the_next_process_goes_on_where_the_last_one_ended() {
    let (bench, versions) = with_three();
    let mut next = Bench::with_disk(2, bench.disk);
    assert_eq!((next.numbers(), next.held()), ((2, Some(3)), Some(HoldReason::NoLease)));
    assert_eq!(next.watcher.active_state(), &versions[1].state);
    assert_eq!(next.watcher.prepared_state(), Some(&versions[2].state));
    next.connect(0, 3);
    next.hear(0, activate(&versions[2]));
    assert_eq!(next.numbers(), (3, None));
    assert_eq!(Bench::with_disk(2, next.disk).numbers(), (3, None));
}

#[test]
fn a_change_costs_its_own_size_and_not_that_of_the_state() {
    let mut bench = Bench::served(1, 1);
    let mut state = titles(20_000);
    let mut stored = Vec::new();
    for number in 1..=200 {
        let edits = [put("title new", &format!("{number}"))];
        let (base, before) = (number - 1, state.clone());
        state.apply(&edits).unwrap();
        let mut out = if number == 1 {
            let mut bench_out = bench.hear(0, super::bench::snapshot(&version(1, state.clone())));
            bench_out.extend(answer_all(&mut bench, &state));
            bench_out
        } else {
            bench.hear(0, delta(&version(number, state.clone()), base, &before, &edits))
        };
        out.extend(bench.hear(0, activate(&version(number, state.clone()))));
        stored.extend(out.into_iter().filter_map(|out| match out {
            WatcherOutput::Store(request) => Some(request),
            _ => None,
        }));
    }
    let length = |request: &StoreRequest| match request {
        StoreRequest::Replace(bytes) => (bytes.len(), 0),
        StoreRequest::Append(bytes) => (0, bytes.len()),
    };
    let (whole, appended): (Vec<usize>, Vec<usize>) = stored.iter().map(length).unzip();
    let whole: Vec<usize> = whole.into_iter().filter(|bytes| *bytes > 0).collect();
    // One record for the revision and one that it is acted on.
    assert!((398..=400).contains(&appended.iter().filter(|bytes| **bytes > 0).count()));
    assert!(whole.len() <= 2, "{whole:?}");
    assert!(appended.iter().max() < Some(&1000), "{:?}", appended.iter().max());
    let read = Stored::read(&bench.disk).unwrap();
    assert_eq!(read.active.unwrap().state, state);
}

/// Answers all requests of the bench's relay 0 for parts of this state.
fn answer_all(bench: &mut Bench, state: &State) -> Vec<WatcherOutput> {
    use crate::message::ToWatcher;
    let mut out = Vec::new();
    // Groups and buckets are asked for in order: all are offered, and those not asked for yet come again later.
    let groups = (0..64).map(|group| ToWatcher::Group { group, buckets: state.group(group) });
    for group in groups {
        out.extend(bench.hear(0, group));
    }
    let listed = (0..64).flat_map(|group| state.group(group)).map(|(bucket, _)| bucket);
    for bucket in listed {
        out.extend(bench.hear(0, ToWatcher::Bucket { bucket, entries: state.bucket(bucket) }));
    }
    out
}

#[test]
fn much_that_was_appended_is_written_anew() {
    let mut bench = Bench::served(1, 1);
    let mut state = own_state();
    let mut whole = 0;
    for number in 1..=300 {
        let edits = [put("title new", &"x".repeat(1000 + number as usize))];
        let before = state.clone();
        state.apply(&edits).unwrap();
        let next = version(number, state.clone());
        let mut out = bench.hear(0, delta(&next, number - 1, &before, &edits));
        out.extend(bench.hear(0, activate(&next)));
        let replaces = |out: &&WatcherOutput| matches!(out, WatcherOutput::Store(StoreRequest::Replace(_)));
        whole += out.iter().filter(replaces).count();
        assert!(bench.disk.len() < 100 * 1024, "{}", bench.disk.len());
    }
    assert!((3..=15).contains(&whole), "{whole}");
}

#[test]
fn wherever_it_is_cut_what_is_before_counts() {
    let (bench, _) = with_three();
    let mut seen = Vec::new();
    for length in 0..bench.disk.len() {
        let Ok(stored) = Stored::read(&bench.disk[..length]) else {
            assert!(seen.is_empty(), "one that could be read can't be with more behind it");
            continue;
        };
        let number = |revision: &Option<_>| {
            revision.as_ref().map_or(0, |of: &crate::watcher::StoredRevision| of.number())
        };
        seen.push((number(&stored.active), number(&stored.prepared)));
    }
    seen.dedup();
    assert_eq!(seen, [(0, 1), (1, 0), (1, 2), (2, 0)]);
}

#[test]
fn a_changed_bit_ends_it_there() {
    let (bench, versions) = with_three();
    for at in 0..bench.disk.len() {
        let mut changed = bench.disk.clone();
        changed[at] ^= 1;
        let Ok(stored) = Stored::read(&changed) else { continue };
        let known = |revision: &Option<crate::watcher::StoredRevision>| {
            let of = |revision: &crate::watcher::StoredRevision| {
                versions[revision.number() as usize - 1].state == revision.state
            };
            revision.as_ref().is_none_or(of)
        };
        assert!(known(&stored.active) && known(&stored.prepared), "byte {at}");
        assert!(stored.prepared.is_none_or(|prepared| prepared.number() < 3), "byte {at}");
    }
}

/// Records that are whole and stand behind others than they were written behind.
#[test]
fn a_record_on_another_base_ends_it() {
    let mut bench = Bench::served(1, 1);
    let mut state = own_state();
    let mut ends = Vec::new();
    for number in 1..=3 {
        let edits = [put(&format!("title {number}"), "new")];
        let before = state.clone();
        state.apply(&edits).unwrap();
        let next = version(number, state.clone());
        bench.hear(0, delta(&next, number - 1, &before, &edits));
        bench.hear(0, activate(&next));
        ends.push(bench.disk.len());
    }
    let without_second = [&bench.disk[..ends[0]], &bench.disk[ends[1]..]].concat();
    assert_eq!(Stored::read(&without_second).unwrap().active.unwrap().number(), 1);
    assert_eq!(Stored::read(&bench.disk).unwrap().active.unwrap().number(), 3);
}

#[test]
fn other_bytes_are_refused() {
    assert_eq!(Stored::read(b""), Err(StoredFault::Kind));
    assert_eq!(Stored::read(b"blr2something else"), Err(StoredFault::Kind));
    assert_eq!(Stored::read(b"bdw1"), Err(StoredFault::Seal));
    assert_eq!(Stored::read(&[&b"bdw1"[..], &[0xff; 60]].concat()), Err(StoredFault::Seal));
    assert_eq!(Stored::read(&Stored::default().write()), Ok(Stored::default()));
}

#[test]
fn what_this_program_can_not_act_on_is_as_if_it_were_not_stored() {
    let unfit = |number: u32, base: &State| edited(number, base, &[put(UNFIT_KEY, "1")]);
    let of = |version: Version| crate::watcher::StoredRevision {
        certificate: version.certificate,
        summary: version.summary,
        state: version.state,
    };
    let one = version(1, titles(3));
    let prepared = Some(of(unfit(2, &one.state)));
    let stored = Stored { active: Some(of(one)), prepared, sure: true };
    let bench = Bench::with_disk(2, stored.write());
    assert_eq!((bench.numbers(), bench.held()), ((1, None), Some(HoldReason::NoLease)));
    let stored = Stored { active: Some(of(unfit(1, &own_state()))), prepared: None, sure: true };
    let bench = Bench::with_disk(2, stored.write());
    assert_eq!((bench.numbers(), bench.held()), ((0, None), Some(HoldReason::Unsure)));
}

#[test]
fn the_first_write_of_a_process_is_whole() {
    let (bench, versions) = with_three();
    // The last record was torn: what the next process writes must not stand behind it.
    let mut next = Bench::with_disk(2, bench.disk[..bench.disk.len() - 5].to_vec());
    assert_eq!(next.numbers(), (2, None));
    next.connect(0, 3);
    let edits: [Edit; 1] = [put("title new", "3")];
    let out = next.hear(0, delta(&versions[2], 2, &versions[1].state, &edits));
    let replaced = |out: &WatcherOutput| matches!(out, WatcherOutput::Store(StoreRequest::Replace(_)));
    assert!(out.iter().any(replaced));
    next.pass(seconds(0.1));
    assert_eq!(Bench::with_disk(2, next.disk).numbers(), (2, Some(3)));
}
