//! The store returns what was written, and appends nothing after a failed write.

use badgerledge_distribution::watcher::{StoreRequest, Stored};

use super::store::WatcherStore;

/// A request to replace the file by a confirmed state without any revision.
fn replace_request() -> StoreRequest {
    StoreRequest::Replace(Stored { confirmed: true, ..Stored::default() }.write())
}

#[test]
fn stored_state_is_read_back_and_a_torn_file_is_treated_as_absent() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = WatcherStore::new(folder.path());
    assert_eq!(store.read(), None);
    store.execute(&replace_request()).unwrap();
    assert_eq!(store.read(), Some(Stored { confirmed: true, ..Stored::default() }));
    std::fs::write(folder.path().join("distribution-state"), b"bdw1 torn").unwrap();
    assert_eq!(store.read(), None);
}

#[test]
fn nothing_is_appended_after_a_failed_write() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = WatcherStore::new(folder.path());
    let append = StoreRequest::Append(vec![1, 2, 3]);
    // A process does not append to a file that an earlier process wrote.
    store.execute(&append).unwrap_err();
    store.execute(&replace_request()).unwrap();
    let before = std::fs::read(folder.path().join("distribution-state")).unwrap();
    // Makes the next replacement of the file fail.
    let fresh = folder.path().join("distribution-state.fresh");
    std::fs::create_dir(&fresh).unwrap();
    store.execute(&replace_request()).unwrap_err();
    store.execute(&append).unwrap_err();
    assert_eq!(std::fs::read(folder.path().join("distribution-state")).unwrap(), before);
    std::fs::remove_dir(&fresh).unwrap();
    store.execute(&replace_request()).unwrap();
    store.execute(&append).unwrap();
    let appended = std::fs::read(folder.path().join("distribution-state")).unwrap();
    assert_eq!(appended, [before.as_slice(), &[1, 2, 3]].concat());
}
