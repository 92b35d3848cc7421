//! Checks the properties of merging on generated ledgers, the sketch against exact counts, and truncated or corrupted
//! files.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::{
    decode_file, encode_file, Accounts, FileFault, Key, Ledger, Source, TopTitles, TrafficCounters,
    MAX_WINDOWS,
};

/// Snapshots of the ledgers of three controllers at different times; the last one is complete.
#[derive(Clone, Debug)]
struct Snapshots(Vec<Accounts>);

fn key(n: u8) -> Key {
    let zone = |odd: bool| if odd { "north" } else { "south" }.to_owned();
    Key { from: zone(n.is_multiple_of(2)), to: zone(n % 4 < 2), room_type: format!("type {}", n % 3) }
}

fn counters(n: u8) -> TrafficCounters {
    TrafficCounters {
        media_bytes: u64::from(n) * 100,
        control_bytes: 16,
        subscription_ms: 40,
        set_ups: 1,
        ..TrafficCounters::default()
    }
}

impl Arbitrary for Snapshots {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut truth = Accounts::default();
        let mut snapshots = vec![];
        for at in 0..30u64 {
            let n = u8::arbitrary(g);
            let source = Source { controller: u32::from(n % 3), account: 7 };
            truth.ledger(source).count(Duration::from_secs(at * 7), &key(n), u64::from(n % 16), &counters(n));
            // A snapshot is one controller's ledger, or all ledgers.
            let mut single = Accounts::default();
            *single.ledger(source) = truth.ledger(source).clone();
            snapshots.push(if n.is_multiple_of(5) { truth.clone() } else { single });
        }
        snapshots.push(truth);
        Snapshots(snapshots)
    }
}

fn merged<'a>(snapshots: impl Iterator<Item = &'a Accounts>) -> Accounts {
    let mut result = Accounts::default();
    snapshots.for_each(|snapshot| result.merge(snapshot));
    result
}

fn check_property(property: fn(Snapshots, Vec<u8>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 3)).tests(200).quickcheck(property as fn(_, _) -> _);
}

#[test]
fn repeated_merges_in_any_order_give_the_same_sums() {
    fn same_sums(snapshots: Snapshots, order: Vec<u8>) -> bool {
        let truth = snapshots.0.last().unwrap().clone();
        let shuffled = order.iter().map(|n| &snapshots.0[usize::from(*n) % snapshots.0.len()]);
        // Whatever was merged before, the complete snapshot determines the result, and merging again changes nothing.
        let mut result = merged(shuffled.chain([&truth]).chain(snapshots.0.iter().rev()));
        let once = result.clone();
        result.merge(&once);
        result == truth && result.totals() == truth.totals()
    }
    check_property(same_sums);
}

#[test]
fn merging_is_commutative_and_associative() {
    fn merge_laws(snapshots: Snapshots, order: Vec<u8>) -> bool {
        let pick = |n: usize| &snapshots.0[order.get(n).map_or(n, |at| usize::from(*at)) % snapshots.0.len()];
        let (a, b, c) = (pick(0), pick(1), pick(2));
        let commutes = merged([a, b].into_iter()) == merged([b, a].into_iter());
        let (left, right) = (merged([a, b].into_iter()), merged([b, c].into_iter()));
        commutes && merged([&left, c].into_iter()) == merged([a, &right].into_iter())
    }
    check_property(merge_laws);
}

#[test]
fn files_round_trip_and_truncated_or_corrupted_ones_are_rejected() {
    fn round_trips(snapshots: Snapshots, cut: Vec<u8>) -> bool {
        let truth = snapshots.0.last().unwrap();
        let text = truth.encode();
        let file = encode_file(&text);
        let intact = decode_file(&file) == Ok(text.as_str()) && Accounts::decode(&text).as_ref() == Ok(truth);
        let at = cut.iter().map(|n| usize::from(*n) * 7).sum::<usize>() % file.len();
        let mut corrupted = file.clone();
        corrupted[at] ^= 0x20;
        intact && decode_file(&file[..at]).is_err() && decode_file(&corrupted).is_err()
    }
    check_property(round_trips);
    assert_eq!(decode_file(b""), Err(FileFault::MissingHeader));
    assert!(Accounts::decode("{\"accounts\":2,\"ledgers\":[]}")
        .unwrap_err()
        .to_string()
        .contains("version 2"));
    assert!(Accounts::decode("{\"accounts\":1}").unwrap_err().to_string().contains("ledgers is missing"));
}

#[test]
fn windows_are_bounded_and_the_total_counts_all() {
    let mut ledger = Ledger::default();
    for at in 0..MAX_WINDOWS as u64 + 50 {
        ledger.count(Duration::from_secs(at * 10), &key(0), 1, &counters(1));
    }
    assert_eq!(ledger.windows.len(), MAX_WINDOWS);
    assert_eq!(ledger.total[&key(0)].set_ups, MAX_WINDOWS as u64 + 50);
}

#[test]
fn lost_traffic_is_estimated_from_the_last_rate() {
    let mut ledger = Ledger::default();
    ledger.count(
        Duration::from_secs(5),
        &key(0),
        1,
        &TrafficCounters { media_bytes: 10_000, ..TrafficCounters::default() },
    );
    ledger.estimate_unseen(Duration::from_secs(30), Duration::from_secs(1));
    let counters = ledger.total[&key(0)];
    assert_eq!(
        (counters.unseen_bytes, counters.unseen_error),
        (500, 500),
        "half a second of 1,000 bytes a second"
    );
    assert_eq!(counters.bytes(), 10_500);
}

#[test]
fn the_sketch_never_underestimates_and_its_error_bound_holds() {
    let mut gen = Gen::from_size_and_seed(100, 9);
    let (mut sketches, mut exact) =
        ([TopTitles::default(), TopTitles::default()], BTreeMap::<u64, u64>::new());
    for n in 0..60_000u64 {
        // Half of the traffic is on 20 titles, the rest on thousands.
        let sample = u64::from(u16::arbitrary(&mut gen));
        let title = if n % 2 == 0 { sample % 20 } else { 100 + sample % 5000 };
        let weight = 1 + sample % 7;
        sketches[usize::from(n % 3 == 0)].add(title, weight);
        *exact.entry(title).or_default() += weight;
    }
    let joined = sketches[0].merged(&sketches[1]);
    for (title, weight, error) in joined.titles() {
        let truth = exact[&title];
        assert!(
            weight >= truth && weight - error <= truth,
            "title {title}: exact weight {truth}, estimate {weight} with an error of at most {error}"
        );
    }
    let heaviest: Vec<u64> = joined.titles().take(20).map(|title| title.0).collect();
    assert!(heaviest.iter().all(|title| *title < 20), "{heaviest:?}");
    assert!(joined.titles().count() <= 256);
}
