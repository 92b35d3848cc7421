//! What is stored is found again; behind what could not be stored nothing is appended.

use badgerledge_distribution::watcher::{StoreRequest, Stored};

use super::store::WatcherStore;

fn sure() -> StoreRequest {
    StoreRequest::Replace(Stored { confirmed: true, ..Stored::default() }.write())
}

#[test]
fn what_was_stored_is_found_again_and_a_torn_file_is_as_none() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = WatcherStore::new(folder.path());
    assert_eq!(store.read(), None);
    store.carry_out(&sure()).unwrap();
    assert_eq!(store.read(), Some(Stored { confirmed: true, ..Stored::default() }));
    std::fs::write(folder.path().join("distribution-state"), b"bdw1 torn").unwrap();
    assert_eq!(store.read(), None);
}

#[test]
fn nothing_is_appended_behind_what_could_not_be_stored() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = WatcherStore::new(folder.path());
    let append = StoreRequest::Append(vec![1, 2, 3]);
    // What an earlier process left is not what this one appends to.
    store.carry_out(&append).unwrap_err();
    store.carry_out(&sure()).unwrap();
    let whole = std::fs::read(folder.path().join("distribution-state")).unwrap();
    // The disk refuses the next whole file.
    let fresh = folder.path().join("distribution-state.fresh");
    std::fs::create_dir(&fresh).unwrap();
    store.carry_out(&sure()).unwrap_err();
    store.carry_out(&append).unwrap_err();
    assert_eq!(std::fs::read(folder.path().join("distribution-state")).unwrap(), whole);
    std::fs::remove_dir(&fresh).unwrap();
    store.carry_out(&sure()).unwrap();
    store.carry_out(&append).unwrap();
    let appended = std::fs::read(folder.path().join("distribution-state")).unwrap();
    assert_eq!(appended, [whole.as_slice(), &[1, 2, 3]].concat());
}
