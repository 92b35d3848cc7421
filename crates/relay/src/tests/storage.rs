//! What is recovered after the process ended, also in the middle of a write.

use std::path::Path;

use badgerledge_distribution::change::Summary;
use badgerledge_distribution::control::{Checkpoint, StoredItem};
use badgerledge_distribution::state::{Entry, State};
use badgerledge_distribution::Certified;
use badgerledge_revisions::{Head, Signed};

use crate::storage::{begin_incarnation, create_acceptor_state, Storage};

fn batch(number: u32) -> StoredItem {
    let bytes = vec![number as u8; 100];
    let summary = Summary { root: [1; 32], batch: badgerledge_distribution::digest(&bytes), length: 100 };
    StoredItem::Batch { number, summary, bytes }
}

fn checkpoint(number: u32) -> Checkpoint {
    let signed = Signed { head: Head::new(number, [0; 32], 1, b""), signature: [0; 64] };
    let certificate = Certified { signed, votes: Vec::new(), activation_grants: Vec::new() };
    let entry = Entry { key: "fleet\tcells".to_owned(), value: b"12".to_vec() };
    let state = State::from_entries([entry]).unwrap();
    Checkpoint { certificate, summary: Summary { root: state.root(), batch: [0; 32], length: 0 }, state }
}

fn store(folder: &Path, items: &[StoredItem]) -> Storage {
    let (mut storage, _) = Storage::open(folder).unwrap();
    items.iter().for_each(|item| storage.store(item.clone()).unwrap());
    storage
}

#[test]
fn stored_items_are_recovered_and_a_checkpoint_drops_old_batches() {
    let folder = tempfile::tempdir().unwrap();
    let agreement = StoredItem::Agreement(b"second".to_vec());
    let items = [StoredItem::Agreement(b"first".to_vec()), batch(1), batch(2), agreement, batch(2), batch(3)];
    drop(store(folder.path(), &items));
    let (mut storage, stored) = Storage::open(folder.path()).unwrap();
    assert_eq!(stored.agreement.as_deref(), Some(&b"second"[..]));
    assert_eq!(stored.batches, [batch(1), batch(2), batch(2), batch(3)]);
    storage.store(StoredItem::Checkpoint(Box::new(checkpoint(1)))).unwrap();
    storage.store(StoredItem::Checkpoint(Box::new(checkpoint(2)))).unwrap();
    storage.store(batch(4)).unwrap();
    storage.finish().unwrap();
    let (_, stored) = Storage::open(folder.path()).unwrap();
    assert_eq!((stored.checkpoint, stored.batches), (Some(checkpoint(2)), vec![batch(3), batch(4)]));
}

#[test]
fn a_torn_record_is_ignored_and_later_records_are_recovered_after_the_valid_ones() {
    let folder = tempfile::tempdir().unwrap();
    drop(store(folder.path(), &[StoredItem::Agreement(b"kept".to_vec()), batch(1), batch(2)]));
    let path = folder.path().join("batches");
    let valid = std::fs::read(&path).unwrap();
    for torn in [&valid[..valid.len() - 1], &[&valid[..], b"bcs1\0"].concat()] {
        std::fs::write(&path, torn).unwrap();
        drop(store(folder.path(), &[batch(9)]));
        let (_, stored) = Storage::open(folder.path()).unwrap();
        assert_eq!(stored.batches.last(), Some(&batch(9)), "{} bytes", torn.len());
        assert_eq!(stored.batches.first(), Some(&batch(1)));
    }
    let mut agreement = std::fs::read(folder.path().join("agreement")).unwrap();
    *agreement.last_mut().unwrap() ^= 1;
    std::fs::write(folder.path().join("agreement"), agreement).unwrap();
    assert_eq!(Storage::open(folder.path()).unwrap().1.agreement, None);
}

/// A folder that cannot be written, as on a full disk: a folder occupies the temporary file's name.
#[test]
fn failed_writes_are_retried_before_later_ones() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = store(folder.path(), &[batch(1)]);
    let obstacle = folder.path().join("agreement.fresh");
    std::fs::create_dir(&obstacle).unwrap();
    assert!(storage.store(StoredItem::Agreement(b"a".to_vec())).is_err());
    assert!(storage.store(batch(2)).is_err(), "items are written in order");
    assert!(storage.store(StoredItem::Agreement(b"b".to_vec())).is_err());
    assert!(!storage.is_clean() && !storage.is_overdue());
    std::fs::remove_dir(&obstacle).unwrap();
    storage.retry().unwrap();
    assert!(storage.is_clean());
    let (_, stored) = Storage::open(folder.path()).unwrap();
    assert_eq!((stored.agreement.as_deref(), stored.batches), (Some(&b"b"[..]), vec![batch(1), batch(2)]));
}

/// Messages after such a checkpoint depend on it, since there are no batches from which its state could be restored.
#[test]
fn a_checkpoint_without_its_batches_is_written_synchronously() {
    let folder = tempfile::tempdir().unwrap();
    let received_checkpoint = StoredItem::Checkpoint(Box::new(checkpoint(9)));
    let running = store(folder.path(), &[batch(1), received_checkpoint, batch(10)]);
    let (_, stored) = Storage::open(folder.path()).unwrap();
    assert_eq!((stored.checkpoint, stored.batches), (Some(checkpoint(9)), vec![batch(10)]));
    drop(running);
}

#[test]
fn the_number_of_waiting_items_is_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = store(folder.path(), &[]);
    std::fs::create_dir(folder.path().join("agreement.fresh")).unwrap();
    assert!(storage.store(StoredItem::Agreement(b"a".to_vec())).is_err());
    (0..300).for_each(|number| assert!(storage.store(batch(number)).is_err()));
    assert!(storage.is_overdue());
}

#[test]
fn an_acceptor_state_is_created_only_once() {
    let folder = tempfile::tempdir().unwrap();
    create_acceptor_state(folder.path()).unwrap();
    let (_, stored) = Storage::open(folder.path()).unwrap();
    let agreement = badgerledge_revisions::StoredState::read(&stored.agreement.unwrap()).unwrap();
    assert!(agreement.acceptor.is_some());
    assert!(create_acceptor_state(folder.path()).is_err());
}

#[test]
fn incarnations_rise_even_if_the_clock_was_set_back() {
    let folder = tempfile::tempdir().unwrap();
    let first = begin_incarnation(folder.path()).unwrap();
    assert!(begin_incarnation(folder.path()).unwrap() > first);
    std::fs::write(folder.path().join("life"), format!("{}\n", u32::MAX - 5)).unwrap();
    assert_eq!(begin_incarnation(folder.path()).unwrap(), u32::MAX - 4);
}
