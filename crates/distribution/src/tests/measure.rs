//! Measurements for the documentation, printed and not checked: `cargo test --release -p
//! badgerledge-distribution --lib -- --ignored --nocapture measure`. Processor time is that of the thread.

use std::hint::black_box;
use std::time::Duration;

use super::edits::{entry, put, title_value, titles};
use super::sample::change;
use super::signer::DigestSigner;
use crate::change::{Batch, Change, History, Limits};
use crate::log::DeltaLog;
use crate::state::{Edit, Entry, State};

const SIZES: [usize; 5] = [100, 1_000, 10_000, 100_000, 400_000];
/// The numbers of edits that are applied at once.
const EDIT_COUNTS: [usize; 3] = [1, 10, 100];
/// The minimum processor time of a measurement: the system counts it in steps of a few milliseconds.
const MIN_MEASUREMENT: Duration = Duration::from_millis(200);
/// The size of a memory page in bytes.
const PAGE_BYTES: usize = 4096;

/// The processor time used by this thread so far.
fn processor_time() -> Duration {
    let times = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    Duration::from_nanos(times.split(' ').next().unwrap().parse().unwrap())
}

/// The mean processor time of a run in microseconds. The number of runs is doubled until they take
/// [`MIN_MEASUREMENT`].
fn microseconds(mut run: impl FnMut(u32)) -> f64 {
    let mut runs = 1;
    loop {
        let before = processor_time();
        (0..runs).for_each(&mut run);
        let elapsed = processor_time() - before;
        if elapsed >= MIN_MEASUREMENT {
            return elapsed.as_secs_f64() * 1e6 / f64::from(runs);
        }
        runs *= 2;
    }
}

fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * PAGE_BYTES
}

/// Lists of `count` edits of titles that are spread over the whole state. Each list sets values that differ
/// from the current ones, also when all lists have been applied and the first is applied again.
fn edit_lists(size: usize, count: usize) -> Vec<Vec<Edit>> {
    const KEY_SETS: usize = 50;
    let key = |set, place: usize| format!("title {:08}", (place * (size / count).max(1) + set * 7919) % size);
    let edit = |round: usize, place| put(&key(round % KEY_SETS, place), &format!("seconds = {round:<40}\n"));
    (0..2 * KEY_SETS).map(|round| (0..count).map(|place| edit(round, place)).collect()).collect()
}

#[test]
#[ignore = "prints figures"]
fn work_by_size() {
    for size in SIZES {
        let state = titles(size);
        print!("{size} entries, {} bytes:", state.bytes());
        for count in EDIT_COUNTS {
            let lists = edit_lists(size, count);
            let mut next = state.clone();
            let mean_us = microseconds(|round| {
                // The previous state is kept alive, as on a machine that acts on it.
                let before = next.clone();
                next.apply(&lists[round as usize % lists.len()]).unwrap();
                black_box(before);
            });
            print!(" {count} edits {mean_us:.1} us,");
        }
        let bytes = state.write();
        let write = microseconds(|_| drop(black_box(state.write())));
        let read = microseconds(|_| drop(black_box(State::read(&bytes).unwrap())));
        let entries: Vec<Entry> = state.entries().map(|(key, value)| entry(key, value)).collect();
        let build = microseconds(|_| drop(black_box(State::from_entries(entries.clone()).unwrap())));
        println!(
            " write {write:.0} us, read {read:.0} us, from entries {build:.0} us, file {} bytes",
            bytes.len()
        );
    }
}

/// Resident memory of states of one size, set by `ENTRIES` and `COPIES` in the environment. Each state is
/// read from its file, as in a controller that starts, and shares nothing with the others.
#[test]
#[ignore = "prints figures"]
fn memory_by_size() {
    let from_environment =
        |name, default| std::env::var(name).map_or(default, |value| value.parse().unwrap());
    let (entries, copies): (usize, usize) =
        (from_environment("ENTRIES", 100_000), from_environment("COPIES", 1));
    let bytes = titles(entries).write();
    // The first state uses the memory that reading leaves free, so that the measured ones do not.
    let first = State::read(&bytes).unwrap();
    let before = resident_bytes();
    let states: Vec<State> = (0..copies).map(|_| State::read(&bytes).unwrap()).collect();
    let bytes_per_state = (resident_bytes().saturating_sub(before)) as f64 / copies as f64;
    println!(
        "{entries} entries, {copies} states: {bytes_per_state:.0} bytes each, {:.0} an entry",
        bytes_per_state / entries.max(1) as f64
    );
    drop(black_box((first, states)));
}

/// A batch of 100 changes of ten titles each, without the cost of real signatures, and an hour of revisions
/// in the log.
#[test]
#[ignore = "prints figures"]
fn batches_and_logs() {
    const SIZE: usize = 100_000;
    const REVISIONS_PER_HOUR: u32 = 417;
    let (state, history, signer) = (titles(SIZE), History::new(0, 4096), DigestSigner::new(0, 7));
    let edit =
        |number: usize| Edit { key: format!("title {number:08}"), value: Some(title_value(number + 1)) };
    let edits = |first: usize| (first..first + 10).map(edit).collect();
    let changes: Vec<Change> = (0..100).map(|n| change(n, 1, 0, edits(usize::from(n) * 10))).collect();
    let build = || Batch::build(1, &state, &history, changes.clone(), &signer, Limits::default());
    let built = build();
    assert_eq!(built.batch.changes.len(), 100);
    let building = microseconds(|_| drop(black_box(build())));
    let applying = microseconds(|_| drop(black_box(built.batch.apply(&state, &history, &signer).unwrap())));
    println!(
        "100 changes of 10 edits, {} bytes: build {building:.0} us, apply {applying:.0} us",
        built.bytes.len()
    );

    let mut log = DeltaLog::new(0, crate::log::Limits::default());
    for number in 1..=REVISIONS_PER_HOUR {
        log.push(number, vec![edit(number as usize)]);
    }
    let merging = microseconds(|_| drop(black_box(log.since(0).unwrap())));
    println!(
        "{} edits of {REVISIONS_PER_HOUR} revisions merged: {merging:.0} us",
        log.since(0).unwrap().len()
    );
}
