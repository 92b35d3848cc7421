//! The laws of merging on generated ledgers, the sketch beside a plain map, seals that are torn or changed.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::{open, seal, Accounts, Amount, Heaviest, Key, Ledger, SealFault, Source, WINDOWS};

/// Some moments of the ledgers of a few controllers, as they were written out at different times.
#[derive(Clone, Debug)]
struct Moments(Vec<Accounts>);

fn key(n: u8) -> Key {
    let zone = |odd: bool| if odd { "north" } else { "south" }.to_owned();
    Key { from: zone(n.is_multiple_of(2)), to: zone(n % 4 < 2), room_type: format!("type {}", n % 3) }
}

fn amount(n: u8) -> Amount {
    Amount {
        media_bytes: u64::from(n) * 100,
        control_bytes: 16,
        subscription_ms: 40,
        set_ups: 1,
        ..Amount::default()
    }
}

impl Arbitrary for Moments {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut truth = Accounts::default();
        let mut moments = vec![];
        for at in 0..30u64 {
            let n = u8::arbitrary(g);
            let source = Source { controller: u32::from(n % 3), account: 7 };
            truth.ledger(source).count(Duration::from_secs(at * 7), &key(n), u64::from(n % 16), &amount(n));
            // What is handed on is one controller's ledger, or all that somebody has heard of.
            let mut told = Accounts::default();
            *told.ledger(source) = truth.ledger(source).clone();
            moments.push(if n.is_multiple_of(5) { truth.clone() } else { told });
        }
        moments.push(truth);
        Moments(moments)
    }
}

fn merged<'a>(moments: impl Iterator<Item = &'a Accounts>) -> Accounts {
    let mut all = Accounts::default();
    moments.for_each(|moment| all.merge(moment));
    all
}

fn checked(property: fn(Moments, Vec<u8>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 3)).tests(200).quickcheck(property as fn(_, _) -> _);
}

#[test]
fn accounts_merge_in_any_order_twice_or_late_to_the_same_sums() {
    fn same(moments: Moments, order: Vec<u8>) -> bool {
        let truth = moments.0.last().unwrap().clone();
        let shuffled = order.iter().map(|n| &moments.0[usize::from(*n) % moments.0.len()]);
        // Whatever came before, twice or in another order, the last word brings the truth; and again changes nothing.
        let mut all = merged(shuffled.chain([&truth]).chain(moments.0.iter().rev()));
        let once = all.clone();
        all.merge(&once);
        all == truth && all.whole() == truth.whole()
    }
    checked(same);
}

#[test]
fn merging_is_commutative_and_associative() {
    fn laws(moments: Moments, order: Vec<u8>) -> bool {
        let pick = |n: usize| &moments.0[order.get(n).map_or(n, |at| usize::from(*at)) % moments.0.len()];
        let (a, b, c) = (pick(0), pick(1), pick(2));
        let commutes = merged([a, b].into_iter()) == merged([b, a].into_iter());
        let (left, right) = (merged([a, b].into_iter()), merged([b, c].into_iter()));
        commutes && merged([&left, c].into_iter()) == merged([a, &right].into_iter())
    }
    checked(laws);
}

#[test]
fn what_is_written_is_read_and_what_is_not_whole_is_not_taken() {
    fn back(moments: Moments, cut: Vec<u8>) -> bool {
        let truth = moments.0.last().unwrap();
        let text = truth.write();
        let sealed = seal(&text);
        let whole = open(&sealed) == Ok(text.as_str()) && Accounts::read(&text).as_ref() == Ok(truth);
        let at = cut.iter().map(|n| usize::from(*n) * 7).sum::<usize>() % sealed.len();
        let mut changed = sealed.clone();
        changed[at] ^= 0x20;
        whole && open(&sealed[..at]).is_err() && open(&changed).is_err()
    }
    checked(back);
    assert_eq!(open(b""), Err(SealFault::NoSeal));
    assert!(Accounts::read("{\"accounts\":2,\"ledgers\":[]}").unwrap_err().to_string().contains("version 2"));
    assert!(Accounts::read("{\"accounts\":1}").unwrap_err().to_string().contains("ledgers is missing"));
}

#[test]
fn windows_are_bounded_and_the_whole_keeps_all() {
    let mut ledger = Ledger::default();
    for at in 0..WINDOWS as u64 + 50 {
        ledger.count(Duration::from_secs(at * 10), &key(0), 1, &amount(1));
    }
    assert_eq!(ledger.windows.len(), WINDOWS);
    assert_eq!(ledger.whole[&key(0)].set_ups, WINDOWS as u64 + 50);
}

#[test]
fn what_was_not_seen_is_estimated_from_the_last_pace() {
    let mut ledger = Ledger::default();
    ledger.count(Duration::from_secs(5), &key(0), 1, &Amount { media_bytes: 10_000, ..Amount::default() });
    ledger.estimate_unseen(Duration::from_secs(30), Duration::from_secs(1));
    let amount = ledger.whole[&key(0)];
    assert_eq!(
        (amount.unseen_bytes, amount.unseen_error),
        (500, 500),
        "half a second of 1,000 bytes a second"
    );
    assert_eq!(amount.bytes(), 10_500);
}

#[test]
fn the_sketch_is_never_under_and_over_by_its_error_at_most() {
    let mut gen = Gen::from_size_and_seed(100, 9);
    let (mut halves, mut plain) = ([Heaviest::default(), Heaviest::default()], BTreeMap::<u64, u64>::new());
    for n in 0..60_000u64 {
        // Half of the traffic is on a few titles, the rest on thousands.
        let spread = u64::from(u16::arbitrary(&mut gen));
        let title = if n % 2 == 0 { spread % 20 } else { 100 + spread % 5000 };
        let weight = 1 + spread % 7;
        halves[usize::from(n % 3 == 0)].add(title, weight);
        *plain.entry(title).or_default() += weight;
    }
    let joined = halves[0].joined(&halves[1]);
    for (title, weight, error) in joined.titles() {
        let truth = plain[&title];
        assert!(
            weight >= truth && weight - error <= truth,
            "title {title}: {truth}, not {weight} less {error}"
        );
    }
    let heaviest: Vec<u64> = joined.titles().take(20).map(|title| title.0).collect();
    assert!(heaviest.iter().all(|title| *title < 20), "{heaviest:?}");
    assert!(joined.titles().count() <= 256);
}
