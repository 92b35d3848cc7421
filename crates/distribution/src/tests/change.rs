//! Tests of changes and batches: what is rejected and why, that a rejection changes nothing, and that
//! building and applying a batch agree.

use quickcheck::{Gen, QuickCheck};

use super::edits::{plain, put, removal, titles, AnyEdit};
use super::sample::change;
use super::signer::DigestSigner;
use crate::change::{
    admit, author_key, last_sequence, Batch, BatchFault, BuiltBatch, Change, ChangeId, History, Limits,
    Rejection, Summary, MAX_BATCH_BYTES, MAX_CHANGES, MAX_CHANGE_BYTES, MAX_EDITS, MAX_KEYS, SUMMARY_BYTES,
};
use crate::state::{Edit, State, MAX_KEY_BYTES, MAX_VALUE_BYTES};
use crate::Number;

/// The state and the history of a control machine.
#[derive(Clone)]
struct Machine {
    state: State,
    history: History,
}

impl Machine {
    fn new() -> Self {
        Self { state: titles(10), history: History::new(0, 100) }
    }

    fn admit(&self, change: &Change) -> Result<(), Rejection> {
        admit(change, &self.state, &self.history, self.history.last_revision(), &signer())
    }

    fn build_within(&self, pending: Vec<Change>, limits: Limits) -> BuiltBatch {
        Batch::build(self.history.last_revision() + 1, &self.state, &self.history, pending, &signer(), limits)
    }

    fn build(&self, pending: Vec<Change>) -> BuiltBatch {
        self.build_within(pending, Limits::default())
    }

    fn apply(&self, batch: &Batch) -> Result<(State, Vec<Edit>), BatchFault> {
        batch.apply(&self.state, &self.history, &signer())
    }

    fn advance(&mut self, built: &BuiltBatch) {
        self.history.record(built.batch.number, &built.edits);
        self.state = built.state.clone();
    }

    /// Builds one revision for each of these keys.
    fn with_revisions(keys: &[&str]) -> Self {
        let mut machine = Self::new();
        for (index, key) in keys.iter().enumerate() {
            let base = machine.history.last_revision();
            let built = machine.build(vec![change(1, index as u64 + 1, base, vec![put(key, "1")])]);
            assert!(built.rejected.is_empty());
            machine.advance(&built);
        }
        machine
    }
}

fn signer() -> DigestSigner {
    DigestSigner::new(0, 7)
}

fn without_author(author: u16) -> DigestSigner {
    DigestSigner { revoked: [author].into(), ..signer() }
}

fn id(author: u16, sequence: u64) -> ChangeId {
    ChangeId { author, sequence }
}

#[test]
fn the_signature_covers_the_whole_change() {
    let good = change(1, 1, 0, vec![put("a", "1"), removal("b")]);
    assert!(good.is_signed(&signer()));
    let alterations: [fn(&mut Change); 8] = [
        |change| change.id.author = 2,
        |change| change.id.sequence = 2,
        |change| change.base = 1,
        |change| change.edits[0].key = "c".to_owned(),
        |change| change.edits[0].value = None,
        |change| change.edits[1].value = Some(vec![]),
        |change| drop(change.edits.pop()),
        |change| change.signature[0] ^= 1,
    ];
    for alter in alterations {
        let mut bad = good.clone();
        alter(&mut bad);
        assert!(!bad.is_signed(&signer()));
    }
}

/// The signed bytes are part of the protocol and unambiguous.
#[test]
fn signed_bytes_match_the_protocol() {
    let bytes = change(1, 2, 3, vec![put("ab", "c"), removal("d")]).signed_bytes();
    let head = b"badgerledge change 1\0\x01\0\0\0\0\0\0\0\x02\0\0\0\x03\0\0\0\x02";
    let edits = b"\0\0\0\x02ab\x01\0\0\0\x01c\0\0\0\x01d\0";
    assert_eq!(bytes, [&head[..], edits].concat());
}

#[test]
fn changes_out_of_bounds_are_rejected() {
    let machine = Machine::new();
    let rejection_of = |edits| machine.admit(&change(1, 1, 0, edits)).unwrap_err();
    assert_eq!(rejection_of(vec![]), Rejection::Empty);
    let too_many: Vec<Edit> = (0..=MAX_EDITS).map(|number| removal(&format!("{number}"))).collect();
    assert_eq!(machine.admit(&change(1, 1, 0, too_many[1..].to_vec())), Ok(()));
    assert_eq!(rejection_of(too_many), Rejection::TooLarge(MAX_EDITS + 1, MAX_EDITS));
    let long = "v".repeat(MAX_VALUE_BYTES);
    let too_large = change(1, 1, 0, vec![put("a", &long), put("b", &long)]);
    assert_eq!(
        machine.admit(&too_large),
        Err(Rejection::TooLarge(too_large.signed_bytes().len(), MAX_CHANGE_BYTES))
    );
    let long_key = "k".repeat(MAX_KEY_BYTES + 1);
    let too_long = format!("{long}v");
    let cases =
        [put("", "1"), put(&long_key, "1"), put("a", &too_long), put("\0author/1", "1"), put("\0", "1")];
    for edit in cases {
        let Rejection::Edit { key, .. } = rejection_of(vec![put("good", "1"), edit.clone()]) else {
            panic!()
        };
        assert_eq!(key, edit.key);
    }
    assert!(matches!(rejection_of(vec![put("a", "1"), removal("a")]), Rejection::Edit { .. }));
}

#[test]
fn unsigned_changes_and_those_by_a_revoked_key_are_rejected() {
    let machine = Machine::new();
    let mut unsigned = change(1, 1, 0, vec![put("a", "1")]);
    let signed = unsigned.clone();
    unsigned.signature = [0; 64];
    assert_eq!(machine.admit(&unsigned), Err(Rejection::Author(1)));
    let revoked = admit(&signed, &machine.state, &machine.history, 0, &without_author(1));
    assert_eq!(revoked, Err(Rejection::Author(1)));
    assert_eq!(machine.admit(&signed), Ok(()));
}

#[test]
fn changes_on_a_conflicting_base_repeated_or_out_of_order_are_rejected() {
    let machine = Machine::with_revisions(&["a", "b", "c"]);
    let admit_by_author_1 =
        |sequence, base, key| machine.admit(&change(1, sequence, base, vec![put(key, "2")]));
    assert_eq!(last_sequence(&machine.state, 1), 3);
    assert_eq!(admit_by_author_1(4, 3, "a"), Ok(()));
    assert_eq!(
        admit_by_author_1(9, 1, "a"),
        Ok(()),
        "numbers may have gaps, and other keys may have changed since"
    );
    assert_eq!(admit_by_author_1(4, 4, "a"), Err(Rejection::BaseAhead(4, 3)));
    let conflict = Rejection::Conflict { key: "b".to_owned(), base: 1, changed_in: 2 };
    assert_eq!(admit_by_author_1(4, 1, "b"), Err(conflict));
    assert_eq!(admit_by_author_1(3, 3, "d"), Err(Rejection::Sequence(3, 3)));
    assert_eq!(admit_by_author_1(0, 3, "d"), Err(Rejection::Sequence(0, 3)));
    let other_author = change(2, 1, 3, vec![put("d", "1")]);
    assert_eq!(machine.admit(&other_author), Ok(()));

    let mut short = machine.clone();
    short.history = History::new(2, 100);
    short.history.record(3, &[put("c", "1")]);
    let old = admit(&change(1, 4, 1, vec![put("a", "2")]), &short.state, &short.history, 3, &signer());
    assert_eq!(old, Err(Rejection::BaseTooOld(1, 2)));
}

#[test]
fn a_malformed_sequence_number_blocks_its_author() {
    let mut state = State::new();
    state.apply(&[put(&author_key(1), "short")]).unwrap();
    assert_eq!((last_sequence(&state, 1), last_sequence(&state, 2)), (u64::MAX, 0));
}

#[test]
fn the_history_is_bounded_by_revisions_and_keys() {
    let mut history = History::new(0, 3);
    for number in 1..=5 {
        history.record(number, &[put("all", "1"), put(&format!("key {number}"), "1")]);
    }
    assert_eq!((history.floor(), history.last_revision()), (2, 5));
    assert_eq!((history.changed_in("all"), history.changed_in("key 2")), (Some(5), None));
    assert_eq!(history.changed_in("key 3"), Some(3));
    history.record(7, &[put("key 7", "1")]);
    assert_eq!((history.floor(), history.last_revision(), history.changed_in("all")), (6, 7, None));

    let mut history = History::new(0, 1000);
    let half: Vec<Edit> = (0..MAX_KEYS / 2).map(|number| removal(&format!("{number}"))).collect();
    (1..=4).for_each(|number| history.record(number, &half));
    assert_eq!((history.floor(), history.last_revision(), history.changed_in("0")), (2, 4, Some(4)));
}

/// Changes of different keys go into one batch. The later of two changes of one key is rejected, even if both
/// are by one author.
#[test]
fn conflicting_changes_are_not_batched() {
    let machine = Machine::new();
    let built = machine.build(vec![
        change(1, 1, 0, vec![put("a", "1")]),
        change(2, 1, 0, vec![put("b", "1"), put("a", "2")]),
        change(1, 2, 0, vec![put("a", "3")]),
        change(1, 3, 0, vec![put("b", "2")]),
        change(1, 1, 0, vec![put("a", "1")]),
    ]);
    let conflict = Rejection::Conflict { key: "a".to_owned(), base: 0, changed_in: 1 };
    let repeated = Rejection::Sequence(1, 3);
    assert_eq!(built.rejected, [(id(2, 1), conflict.clone()), (id(1, 2), conflict), (id(1, 1), repeated)]);
    let sequence = Edit { key: author_key(1), value: Some(3u64.to_be_bytes().to_vec()) };
    assert_eq!(built.edits, [sequence, put("a", "1"), put("b", "2")]);
    assert_eq!(built.batch.changes.len(), 2);
    assert_eq!(machine.apply(&built.batch).unwrap(), (built.state.clone(), built.edits.clone()));

    // The same conflict is found by a machine that receives a batch with it.
    let mut invalid = built.batch;
    invalid.changes.push(change(2, 1, 0, vec![put("a", "2")]));
    let rejection = Rejection::Conflict { key: "a".to_owned(), base: 0, changed_in: 1 };
    let fault = BatchFault::Change { change: id(2, 1), rejection };
    assert_eq!(machine.apply(&invalid), Err(fault.clone()));
    assert_eq!(invalid.apply_certified(&machine.state, &signer()), Err(fault));
}

#[test]
fn a_batch_is_bounded_and_the_remaining_changes_keep_their_order() {
    let machine = Machine::new();
    let pending: Vec<Change> = (1..=10).map(|n| change(n, 1, 0, vec![put(&format!("{n}"), "1")])).collect();
    let built = machine.build_within(pending.clone(), Limits { changes: 4, ..Limits::default() });
    assert_eq!((&built.batch.changes[..], &built.remaining[..]), pending.split_at(4));
    let bytes = 400;
    let built = machine.build_within(pending.clone(), Limits { bytes, ..Limits::default() });
    assert!(built.bytes.len() <= bytes && !built.batch.changes.is_empty() && built.remaining.len() >= 5);
    assert_eq!([built.batch.changes, built.remaining].concat(), pending);

    // A change that never fits does not hold up the changes after it.
    let too_large = change(11, 1, 0, vec![put("large", &"v".repeat(bytes))]);
    let built =
        machine.build_within(vec![too_large, pending[0].clone()], Limits { bytes, ..Limits::default() });
    assert!(matches!(built.rejected[..], [(_, Rejection::TooLarge(..))]));
    assert_eq!((built.batch.changes, built.remaining), (vec![pending[0].clone()], vec![]));

    // Limits above the protocol bounds have no effect: other machines accept what is built.
    let value = "v".repeat(MAX_VALUE_BYTES);
    let full: Vec<Change> = (1..=5).map(|n| change(n, 1, 0, vec![put(&format!("{n}"), &value)])).collect();
    let built = machine.build_within(full, Limits { bytes: usize::MAX, changes: usize::MAX });
    assert!(built.bytes.len() <= MAX_BATCH_BYTES);
    assert_eq!((built.batch.changes.len(), built.remaining.len()), (3, 2));
}

#[test]
fn a_change_that_leads_to_an_invalid_state_is_rejected_alone() {
    let machine = Machine::new();
    let value = "v".repeat(MAX_VALUE_BYTES);
    let keys_of_bucket = (0..).map(|n: u32| format!("{n}")).filter(|key| crate::state::bucket_of(key) == 7);
    let mut full = machine.clone();
    let edits: Vec<Edit> = keys_of_bucket.take(8).map(|key| put(&key, &value)).collect();
    full.state.apply(&edits[..7]).unwrap();
    let built =
        full.build(vec![change(1, 1, 0, vec![edits[7].clone()]), change(2, 1, 0, vec![put("a", "1")])]);
    assert!(matches!(built.rejected[..], [(ChangeId { author: 1, .. }, Rejection::State(_))]));
    assert_eq!(last_sequence(&built.state, 1), 0);
    assert_eq!(full.apply(&built.batch).unwrap().0, built.state);
}

#[test]
fn altered_batches_and_those_of_another_revision_are_refused() {
    let mut machine = Machine::with_revisions(&["a"]);
    let before = machine.clone();
    let built =
        machine.build(vec![change(1, 2, 1, vec![put("b", "1")]), change(2, 1, 1, vec![put("c", "1")])]);
    assert_eq!(built.summary, Summary::of(built.state.root(), &built.batch.encode()));
    machine.advance(&built);
    let number = |found, expected| Err(BatchFault::Number { found, expected });
    assert_eq!(machine.apply(&built.batch), number(2, 3), "repeated");
    assert_eq!(Machine::new().apply(&built.batch), number(2, 1), "on another base");
    assert_eq!(built.batch.apply_certified(&machine.state, &signer()), Err(BatchFault::PreviousRoot));
    let mut other_state = before.clone();
    other_state.state.apply(&[put("z", "1")]).unwrap();
    assert_eq!(other_state.apply(&built.batch), Err(BatchFault::PreviousRoot));

    let fault_of_altered = |alter: fn(&mut Batch)| {
        let mut batch = built.batch.clone();
        alter(&mut batch);
        before.apply(&batch).unwrap_err()
    };
    let rejected = |change, rejection| BatchFault::Change { change, rejection };
    assert_eq!(fault_of_altered(|batch| batch.changes.clear()), BatchFault::Empty);
    assert_eq!(
        fault_of_altered(|batch| batch.changes[1].signature[5] ^= 1),
        rejected(id(2, 1), Rejection::Author(2))
    );
    let twice = fault_of_altered(|batch| batch.changes.push(batch.changes[0].clone()));
    assert_eq!(twice, rejected(id(1, 2), Rejection::Sequence(2, 2)));
    let ahead = fault_of_altered(|batch| batch.changes[0] = change(1, 2, 2, vec![put("b", "1")]));
    assert_eq!(ahead, rejected(id(1, 2), Rejection::BaseAhead(2, 1)));
    let conflict = fault_of_altered(|batch| batch.changes[0] = change(1, 2, 0, vec![put("a", "1")]));
    let reason = Rejection::Conflict { key: "a".to_owned(), base: 0, changed_in: 1 };
    assert_eq!(conflict, rejected(id(1, 2), reason));
    let mut repeated = built.batch.clone();
    repeated.changes.push(repeated.changes[0].clone());
    let fault = rejected(id(1, 2), Rejection::Sequence(2, 2));
    assert_eq!(repeated.apply_certified(&before.state, &signer()), Err(fault));
    let too_many = fault_of_altered(|batch| batch.changes = vec![batch.changes[0].clone(); MAX_CHANGES + 1]);
    assert_eq!(too_many, BatchFault::TooMany(MAX_CHANGES + 1));
    let zero = Batch { number: 0, ..built.batch.clone() };
    assert_eq!(
        zero.apply_certified(&before.state, &signer()),
        Err(BatchFault::Number { found: 0, expected: 1 })
    );
    assert_eq!(before.apply(&built.batch).unwrap().0, machine.state);
}

/// A key that was revoked after the batch was certified does not invalidate it; a forged signature does.
#[test]
fn a_certified_batch_stays_valid_after_its_authors_keys_are_revoked() {
    let machine = Machine::with_revisions(&["a"]);
    let built = machine.build(vec![change(2, 1, 0, vec![put("b", "1")])]);
    let revoked = BatchFault::Change { change: id(2, 1), rejection: Rejection::Author(2) };
    let proposed = built.batch.apply(&machine.state, &machine.history, &without_author(2));
    assert_eq!(proposed, Err(revoked.clone()));
    let certified = built.batch.apply_certified(&machine.state, &without_author(2));
    assert_eq!(certified, Ok((built.state, built.edits)));
    let mut forged = built.batch;
    forged.changes[0].signature[0] ^= 1;
    assert_eq!(forged.apply_certified(&machine.state, &signer()), Err(revoked));
}

#[test]
fn truncated_oversized_or_trailing_encoded_batches_are_refused() {
    let batch = Machine::new().build(vec![change(1, 1, 0, vec![put("a", "1")])]).batch;
    let bytes = batch.encode();
    assert_eq!(Batch::decode(&bytes), Ok(batch.clone()));
    for length in 0..bytes.len() {
        assert_eq!(Batch::decode(&bytes[..length]), Err(BatchFault::Malformed));
    }
    assert_eq!(Batch::decode(&[&bytes[..], b"x"].concat()), Err(BatchFault::Malformed));
    assert_eq!(Batch::decode(&vec![0; MAX_BATCH_BYTES + 1]), Err(BatchFault::TooLong(MAX_BATCH_BYTES + 1)));
    let empty_change = Change { edits: vec![], ..batch.changes[0].clone() };
    let too_many = Batch { changes: vec![empty_change; MAX_CHANGES + 1], ..batch };
    assert_eq!(Batch::decode(&too_many.encode()), Err(BatchFault::TooMany(MAX_CHANGES + 1)));
}

#[test]
fn an_encoded_summary_is_decoded_unchanged() {
    let summary = Summary::of([7; 32], b"batch");
    assert_eq!(summary.length, 5);
    let text = summary.text();
    assert_eq!(Summary::read(&text), Some(summary));
    assert_eq!(Summary::read(&text[1..]), None);
    assert_eq!(Summary::read(&[&text[..], b"x"].concat()), None);
    assert_eq!(text.len(), SUMMARY_BYTES);
}

/// Over several revisions: applying a built batch leads to the built state, and its edits lead from the
/// previous state to that state.
#[test]
fn applying_a_batch_agrees_with_building_it() {
    fn holds(revisions: Vec<Vec<(u8, u8, Vec<AnyEdit>)>>) -> bool {
        let mut machine = Machine::new();
        let mut next = [0; 3];
        for pending in &revisions {
            let top = machine.history.last_revision();
            let make_change = |(author, base_age, edits): &(u8, u8, Vec<AnyEdit>)| {
                let author = author % 3;
                next[usize::from(author)] += u64::from(base_age % 4 != 3);
                let base = top.saturating_sub(Number::from(base_age % 3));
                change(u16::from(author), next[usize::from(author)], base, plain(edits))
            };
            let pending: Vec<Change> = pending.iter().map(make_change).collect();
            let built = machine.build(pending.clone());
            assert_eq!(
                built.batch.changes.len() + built.rejected.len() + built.remaining.len(),
                pending.len()
            );
            if built.batch.changes.is_empty() {
                assert!(built.state == machine.state && built.edits.is_empty());
                continue;
            }
            let batch = Batch::decode(&built.bytes).unwrap();
            let (state, edits) = machine.apply(&batch).unwrap();
            let certified = batch.apply_certified(&machine.state, &signer()).unwrap();
            let mut by_edits = machine.state.clone();
            by_edits.apply(&edits).unwrap();
            let agreed = state == built.state && edits == built.edits && certified == (state, edits);
            if !agreed || by_edits != built.state || built.summary.root != by_edits.root() {
                return false;
            }
            machine.advance(&built);
        }
        true
    }
    let random = Gen::from_size_and_seed(12, 8);
    QuickCheck::new()
        .rng(random)
        .tests(150)
        .quickcheck(holds as fn(Vec<Vec<(u8, u8, Vec<AnyEdit>)>>) -> bool);
}
