//! What is found again after the process ended, whole or in the middle of a write.

use std::path::Path;

use badgerledge_distribution::change::Summary;
use badgerledge_distribution::control::{Checkpoint, StoredItem};
use badgerledge_distribution::state::{Entry, State};
use badgerledge_distribution::Certified;
use badgerledge_revisions::{Head, Signed};

use crate::storage::{begin_life, found, Storage};

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
fn all_that_was_stored_is_found_and_old_batches_go_with_a_checkpoint() {
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
fn a_torn_record_is_none_and_what_comes_later_is_found_behind_the_whole_ones() {
    let folder = tempfile::tempdir().unwrap();
    drop(store(folder.path(), &[StoredItem::Agreement(b"kept".to_vec()), batch(1), batch(2)]));
    let path = folder.path().join("batches");
    let whole = std::fs::read(&path).unwrap();
    for torn in [&whole[..whole.len() - 1], &[&whole[..], b"bcs1\0"].concat()] {
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

/// A folder that can't be written, as on a full disk: something stands where a record is written first.
#[test]
fn what_could_not_be_stored_is_stored_first_later() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = store(folder.path(), &[batch(1)]);
    let obstacle = folder.path().join("agreement.fresh");
    std::fs::create_dir(&obstacle).unwrap();
    assert!(storage.store(StoredItem::Agreement(b"a".to_vec())).is_err());
    assert!(storage.store(batch(2)).is_err(), "in their order");
    assert!(storage.store(StoredItem::Agreement(b"b".to_vec())).is_err());
    assert!(!storage.is_clean() && !storage.is_overdue());
    std::fs::remove_dir(&obstacle).unwrap();
    storage.tend().unwrap();
    assert!(storage.is_clean());
    let (_, stored) = Storage::open(folder.path()).unwrap();
    assert_eq!((stored.agreement.as_deref(), stored.batches), (Some(&b"b"[..]), vec![batch(1), batch(2)]));
}

/// What is said after it rests on it: there are no batches that lead to it.
#[test]
fn a_checkpoint_without_its_batches_is_on_the_disk_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let jump = StoredItem::Checkpoint(Box::new(checkpoint(9)));
    let running = store(folder.path(), &[batch(1), jump, batch(10)]);
    let (_, stored) = Storage::open(folder.path()).unwrap();
    assert_eq!((stored.checkpoint, stored.batches), (Some(checkpoint(9)), vec![batch(10)]));
    drop(running);
}

#[test]
fn what_waits_to_be_stored_is_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = store(folder.path(), &[]);
    std::fs::create_dir(folder.path().join("agreement.fresh")).unwrap();
    assert!(storage.store(StoredItem::Agreement(b"a".to_vec())).is_err());
    (0..300).for_each(|number| assert!(storage.store(batch(number)).is_err()));
    assert!(storage.is_overdue());
}

#[test]
fn an_acceptor_is_founded_once() {
    let folder = tempfile::tempdir().unwrap();
    found(folder.path()).unwrap();
    let (_, stored) = Storage::open(folder.path()).unwrap();
    let agreement = badgerledge_revisions::StoredState::read(&stored.agreement.unwrap()).unwrap();
    assert!(agreement.acceptor.is_some());
    assert!(found(folder.path()).is_err());
}

#[test]
fn lives_rise_also_where_the_clock_was_set_back() {
    let folder = tempfile::tempdir().unwrap();
    let first = begin_life(folder.path()).unwrap();
    assert!(begin_life(folder.path()).unwrap() > first);
    std::fs::write(folder.path().join("life"), format!("{}\n", u32::MAX - 5)).unwrap();
    assert_eq!(begin_life(folder.path()).unwrap(), u32::MAX - 4);
}
