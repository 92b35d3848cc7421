//! Figures for the pages, printed and not checked: `cargo test --release -p badgerledge-distribution --lib -- --ignored
//! --nocapture measure`. Processor time is that of the thread.

use std::hint::black_box;
use std::time::Duration;

use super::edits::{entry, put, title_value, titles};
use super::hand::DigestHand;
use super::sample::change;
use crate::change::{Batch, Change, History, Limits};
use crate::log::DeltaLog;
use crate::state::{Edit, Entry, State};

const SIZES: [usize; 5] = [100, 1_000, 10_000, 100_000, 400_000];
/// Edits of one application.
const EDITS: [usize; 3] = [1, 10, 100];
/// Processor time that a figure is taken over: the system counts it in steps of some milliseconds.
const MEASURED: Duration = Duration::from_millis(200);
/// Bytes of a page of memory.
const PAGE: usize = 4096;

/// Processor time of this thread so far.
fn processor_time() -> Duration {
    let times = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    Duration::from_nanos(times.split(' ').next().unwrap().parse().unwrap())
}

/// Microseconds of processor time that a run takes on the mean: twice as many runs are tried until they take
/// [`MEASURED`].
fn microseconds(mut run: impl FnMut(u32)) -> f64 {
    let mut runs = 1;
    loop {
        let before = processor_time();
        (0..runs).for_each(&mut run);
        let spent = processor_time() - before;
        if spent >= MEASURED {
            return spent.as_secs_f64() * 1e6 / f64::from(runs);
        }
        runs *= 2;
    }
}

fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * PAGE
}

/// Different applications of so many edits, of titles that are spread over the whole state. Each gives other values
/// than those that are there, also when all have been applied and the first comes again.
fn applications(size: usize, count: usize) -> Vec<Vec<Edit>> {
    const SETS_OF_KEYS: usize = 50;
    let key = |set, place: usize| format!("title {:08}", (place * (size / count).max(1) + set * 7919) % size);
    let edit =
        |round: usize, place| put(&key(round % SETS_OF_KEYS, place), &format!("seconds = {round:<40}\n"));
    (0..2 * SETS_OF_KEYS).map(|round| (0..count).map(|place| edit(round, place)).collect()).collect()
}

#[test]
#[ignore = "prints figures"]
fn work_by_size() {
    for size in SIZES {
        let state = titles(size);
        print!("{size} entries, {} bytes:", state.bytes());
        for count in EDITS {
            let rounds = applications(size, count);
            let mut next = state.clone();
            let mean = microseconds(|round| {
                // The state before is kept meanwhile, as a machine does that acts on it.
                let before = next.clone();
                next.apply(&rounds[round as usize % rounds.len()]).unwrap();
                black_box(before);
            });
            print!(" {count} edits {mean:.1} us,");
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

/// Resident memory of states of one size: `ENTRIES` and `COPIES` in the environment. Each state is read from its file,
/// as in a controller that starts, and shares nothing with the others.
#[test]
#[ignore = "prints figures"]
fn memory_by_size() {
    let number = |name, otherwise| std::env::var(name).map_or(otherwise, |value| value.parse().unwrap());
    let (entries, copies): (usize, usize) = (number("ENTRIES", 100_000), number("COPIES", 1));
    let bytes = titles(entries).write();
    // What reading leaves free is taken by this one, and not by those that are counted.
    let first = State::read(&bytes).unwrap();
    let before = resident_bytes();
    let states: Vec<State> = (0..copies).map(|_| State::read(&bytes).unwrap()).collect();
    let each = (resident_bytes().saturating_sub(before)) as f64 / copies as f64;
    println!(
        "{entries} entries, {copies} states: {each:.0} bytes each, {:.0} an entry",
        each / entries.max(1) as f64
    );
    drop(black_box((first, states)));
}

/// A batch of 100 changes of ten titles each, without the work of real signatures, and an hour of revisions in the log.
#[test]
#[ignore = "prints figures"]
fn batches_and_logs() {
    const SIZE: usize = 100_000;
    const REVISIONS_OF_AN_HOUR: u32 = 417;
    let (state, history, hand) = (titles(SIZE), History::new(0, 4096), DigestHand::new(0, 7));
    let edit =
        |number: usize| Edit { key: format!("title {number:08}"), value: Some(title_value(number + 1)) };
    let edits = |first: usize| (first..first + 10).map(edit).collect();
    let waiting: Vec<Change> = (0..100).map(|n| change(n, 1, 0, edits(usize::from(n) * 10))).collect();
    let build = || Batch::build(1, &state, &history, waiting.clone(), &hand, Limits::default());
    let built = build();
    assert_eq!(built.batch.changes.len(), 100);
    let building = microseconds(|_| drop(black_box(build())));
    let applying = microseconds(|_| drop(black_box(built.batch.apply(&state, &history, &hand).unwrap())));
    println!(
        "100 changes of 10 edits, {} bytes: build {building:.0} us, apply {applying:.0} us",
        built.bytes.len()
    );

    let mut log = DeltaLog::new(0, crate::log::Limits::default());
    for number in 1..=REVISIONS_OF_AN_HOUR {
        log.push(number, vec![edit(number as usize)]);
    }
    let merging = microseconds(|_| drop(black_box(log.since(0).unwrap())));
    println!(
        "{} edits of {REVISIONS_OF_AN_HOUR} revisions merged: {merging:.0} us",
        log.since(0).unwrap().len()
    );
}
