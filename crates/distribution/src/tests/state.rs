//! Tests of states: bounds, malformed stored bytes, and properties of all sequences of edits.

use std::collections::BTreeMap;

use quickcheck::{Gen, QuickCheck};

use super::edits::{entry, plain, put, removal, titles, AnyEdit};
use crate::state::{
    bucket_digest, bucket_of, group_digest, root_of_groups, Edit, Entry, State, StateFault, BUCKETS,
    BUCKETS_PER_GROUP, GROUPS, MAX_BUCKET_BYTES, MAX_ENTRIES, MAX_KEY_BYTES, MAX_VALUE_BYTES,
};

/// Returns the reason why edits are rejected, and checks that nothing has changed then.
fn rejection_of(state: &State, edits: &[Edit]) -> StateFault {
    let mut edited = state.clone();
    let fault = edited.apply(edits).unwrap_err();
    let unchanged = (state.root(), state.len(), state.bytes());
    assert_eq!((edited.root(), edited.len(), edited.bytes()), unchanged);
    fault
}

/// Keys of one bucket.
fn keys_of_bucket(bucket: u16) -> impl Iterator<Item = String> {
    (0..).map(|number: u32| format!("{number}")).filter(move |key| bucket_of(key) == bucket)
}

#[test]
fn entries_are_found_changed_and_removed() {
    let mut state = State::from_entries([entry("a", b"1"), entry("b", b"2")]).unwrap();
    assert_eq!((state.len(), state.get("a"), state.get("c")), (2, Some(&b"1"[..]), None));
    let before = state.clone();
    state.apply(&[put("c", "3"), put("a", "10"), removal("b"), removal("none")]).unwrap();
    let found: BTreeMap<&str, &[u8]> = state.entries().collect();
    assert_eq!(found, BTreeMap::from([("a", &b"10"[..]), ("c", &b"3"[..])]));
    assert_eq!((before.len(), before.get("a"), before.get("b")), (2, Some(&b"1"[..]), Some(&b"2"[..])));
    state.apply(&[removal("a"), removal("c")]).unwrap();
    assert!(state.is_empty() && state.bytes() == 0 && state == State::new());
}

/// The digests are part of the protocol: other values need another protocol version. The expected values come
/// from a second implementation (hashlib of Python).
#[test]
fn roots_match_the_protocol() {
    let hex = |root: [u8; 32]| root.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    assert_eq!(hex(State::new().root()), "a4260d40ebad517bebbae6d9db571ae2b89f6ec10b97690996250f820fa3e6bf");
    assert_eq!(hex(titles(3).root()), "95e2db9411097a94b2ffe8cc5810cc7bb3c4de62ec21872b0b7f79007262b289");
}

#[test]
fn keys_and_values_out_of_bounds_are_refused() {
    let state = titles(3);
    let long_key = "k".repeat(MAX_KEY_BYTES + 1);
    assert_eq!(rejection_of(&state, &[put("good", "1"), put("", "1")]), StateFault::KeyLength(0));
    assert_eq!(rejection_of(&state, &[removal(&long_key)]), StateFault::KeyLength(MAX_KEY_BYTES + 1));
    let long_value = "v".repeat(MAX_VALUE_BYTES + 1);
    let length = long_value.len();
    let fault = StateFault::ValueLength { key: "k".to_owned(), length };
    assert_eq!(rejection_of(&state, &[put("good", "1"), put("k", &long_value)]), fault);
    let longest = [put(&long_key[1..], &long_value[1..])];
    state.clone().apply(&longest).unwrap();
    assert_eq!(
        State::from_entries([entry("k", b"1"), entry("k", b"2")]),
        Err(StateFault::Order("k".to_owned()))
    );
}

#[test]
fn a_bucket_and_a_state_that_grow_too_large_are_refused() {
    let value = "v".repeat(MAX_VALUE_BYTES);
    let edits: Vec<Edit> = keys_of_bucket(7).take(8).map(|key| put(&key, &value)).collect();
    let mut state = State::new();
    state.apply(&edits[..7]).unwrap();
    let length = edits.iter().map(|edit| 8 + edit.key.len() + MAX_VALUE_BYTES).sum();
    assert!(length > MAX_BUCKET_BYTES);
    assert_eq!(rejection_of(&state, &edits[7..]), StateFault::BucketTooLarge { bucket: 7, length });

    let many = (0..=MAX_ENTRIES).map(|number| entry(&format!("{number}"), b""));
    assert_eq!(State::from_entries(many), Err(StateFault::TooMany(MAX_ENTRIES + 1)));

    let large = (0..1025).map(|number| entry(&format!("{number}"), value.as_bytes()));
    assert!(matches!(State::from_entries(large), Err(StateFault::TooLarge(_))));
}

#[test]
fn a_bucket_accepts_only_its_own_entries_in_order() {
    let mut state = titles(50);
    let before = state.clone();
    let keys: Vec<String> = keys_of_bucket(9).take(2).collect();
    let (low, high) = if keys[0] < keys[1] { (&keys[0], &keys[1]) } else { (&keys[1], &keys[0]) };
    let (low, high) = (entry(low, b"1"), entry(high, b"2"));
    let foreign = keys_of_bucket(10).next().unwrap();
    let invalid: [(u16, Vec<Entry>, StateFault); 6] = [
        (9, vec![high.clone(), low.clone()], StateFault::Order(low.key.clone())),
        (9, vec![low.clone(), low.clone()], StateFault::Order(low.key.clone())),
        (9, vec![entry(&foreign, b"")], StateFault::WrongBucket { key: foreign.clone(), bucket: 9 }),
        (9, vec![entry("", b"")], StateFault::KeyLength(0)),
        (
            9,
            vec![entry(&low.key, &[0; MAX_VALUE_BYTES + 1])],
            StateFault::ValueLength { key: low.key.clone(), length: MAX_VALUE_BYTES + 1 },
        ),
        (BUCKETS, vec![], StateFault::NoBucket(BUCKETS)),
    ];
    for (bucket, entries, fault) in invalid {
        assert_eq!(state.replace_bucket(bucket, entries), Err(fault));
        assert_eq!((state.root(), state.len()), (before.root(), before.len()));
    }
    let entries = vec![low, high];
    state.replace_bucket(9, entries.clone()).unwrap();
    assert_eq!((state.bucket(9), state.bucket_digest(9)), (entries.clone(), bucket_digest(&entries)));
    state.replace_bucket(9, vec![]).unwrap();
    assert_eq!(state.bucket_digest(9), bucket_digest(&[]));
}

#[test]
fn truncated_changed_or_foreign_stored_bytes_are_refused() {
    let state = titles(20);
    let bytes = state.write();
    assert_eq!(State::read(&bytes).unwrap(), state);
    assert_eq!(State::read(b""), Err(StateFault::Version));
    assert_eq!(State::read(b"bds1"), Err(StateFault::Malformed(4)));
    let later = [b"bds2", &bytes[4..]].concat();
    assert_eq!(State::read(&later), Err(StateFault::Version));
    for length in 0..bytes.len() {
        assert!(State::read(&bytes[..length]).is_err(), "truncated after {length} bytes");
    }
    for offset in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[offset] ^= 0x10;
        assert!(State::read(&changed).is_err(), "byte {offset} changed");
    }
    let doubled = [&bytes[..], &bytes[36..]].concat();
    assert!(matches!(State::read(&doubled), Err(StateFault::Order(_))));
}

#[test]
fn an_incomplete_list_of_groups_has_no_root() {
    let groups = titles(9).group_digests();
    assert_eq!(root_of_groups(&groups), Some(titles(9).root()));
    assert_eq!(root_of_groups(&groups[1..]), None);
    assert_eq!(root_of_groups(&[]), None);
}

fn check<P: quickcheck::Testable>(property: P) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 5)).tests(200).quickcheck(property);
}

/// Edits applied one by one, applied at once, and rebuilt from the remaining entries in another order have
/// the same root.
#[test]
fn the_root_depends_only_on_the_entries() {
    fn holds(edits: Vec<AnyEdit>) -> bool {
        let edits = plain(&edits);
        let (mut at_once, mut one_by_one) = (State::new(), State::new());
        at_once.apply(&edits).unwrap();
        let mut remaining = BTreeMap::new();
        for edit in &edits {
            one_by_one.apply(std::slice::from_ref(edit)).unwrap();
            remaining.insert(edit.key.clone(), edit.value.clone());
        }
        let remaining =
            remaining.into_iter().rev().filter_map(|(key, value)| Some(Entry { key, value: value? }));
        let rebuilt = State::from_entries(remaining).unwrap();
        let sizes = [&at_once, &one_by_one, &rebuilt].map(|state| (state.len(), state.bytes(), state.root()));
        sizes[0] == sizes[1] && sizes[1] == sizes[2]
    }
    check(holds as fn(Vec<AnyEdit>) -> bool);
}

#[test]
fn different_entries_have_different_roots() {
    fn holds(edits: Vec<AnyEdit>, edit: AnyEdit) -> bool {
        let mut state = State::new();
        state.apply(&plain(&edits)).unwrap();
        let before = state.clone();
        state.apply(std::slice::from_ref(&edit.0)).unwrap();
        let same = before.get(&edit.0.key) == edit.0.value.as_deref();
        same == (before.root() == state.root())
    }
    check(holds as fn(Vec<AnyEdit>, AnyEdit) -> bool);
}

#[test]
fn stored_states_are_read_back() {
    fn holds(edits: Vec<AnyEdit>) -> bool {
        let mut state = State::new();
        state.apply(&plain(&edits)).unwrap();
        let bytes = state.write();
        let read = State::read(&bytes).unwrap();
        read == state && read.entries().eq(state.entries()) && read.write() == bytes
    }
    check(holds as fn(Vec<AnyEdit>) -> bool);
}

/// Models the snapshot transfer of a watcher: from its own state to the offered one by the groups and buckets
/// that differ, each verified by its digest.
#[test]
fn groups_and_buckets_that_differ_lead_to_the_same_state() {
    fn holds(own_edits: Vec<AnyEdit>, offered_edits: Vec<AnyEdit>) -> bool {
        let (mut own, mut offered) = (titles(30), titles(30));
        own.apply(&plain(&own_edits)).unwrap();
        offered.apply(&plain(&offered_edits)).unwrap();
        let offered_groups = offered.group_digests();
        assert_eq!(root_of_groups(&offered_groups), Some(offered.root()));
        let own_groups = own.group_digests();
        for group in
            (0..GROUPS).filter(|group| own_groups[usize::from(*group)] != offered_groups[usize::from(*group)])
        {
            let buckets = offered.group(group);
            assert_eq!(group_digest(&buckets), offered_groups[usize::from(group)]);
            let digest_of: BTreeMap<u16, _> = buckets.into_iter().collect();
            let first = u16::from(group) * BUCKETS_PER_GROUP;
            for bucket in first..first + BUCKETS_PER_GROUP {
                let expected_digest = digest_of.get(&bucket).copied().unwrap_or_else(|| bucket_digest(&[]));
                if own.bucket_digest(bucket) != expected_digest {
                    let entries = offered.bucket(bucket);
                    assert_eq!(bucket_digest(&entries), expected_digest);
                    own.replace_bucket(bucket, entries).unwrap();
                }
            }
        }
        own == offered && own.len() == offered.len() && own.bytes() == offered.bytes()
    }
    check(holds as fn(Vec<AnyEdit>, Vec<AnyEdit>) -> bool);
}
