//! Reading a state as a difference to an earlier one gives the same text as reading it alone.

use badgerledge_distribution::state::{Edit, State};
use quickcheck::{quickcheck, TestResult};

use crate::entries::{entries_from_text, text_from_entries};
use crate::entries_tests::text;
use crate::{RevisionText, StateReader};

fn state() -> State {
    State::from_entries(entries_from_text(&text(&[1, 2], &(0..12).collect::<Vec<_>>(), true)).unwrap())
        .unwrap()
}

fn read_alone(state: &State) -> Result<RevisionText, String> {
    RevisionText::read(text_from_entries(state.entries()).map_err(|fault| fault.to_string())?.as_bytes())
}

fn same(one: &RevisionText, other: &RevisionText) -> bool {
    one.titles() == other.titles() && format!("{:?}", one.shared()) == format!("{:?}", other.shared())
}

/// An edit of a title, of a setting or of a protocol key, or one that makes the configuration invalid.
fn edit((choice, title, cell): (u8, u8, u8)) -> Edit {
    let (key, value) = match choice % 12 {
        0 => ("permissions\tjoins".to_owned(), Some(format!("{}", 1 + cell % 3))),
        1 => ("\0author/1".to_owned(), Some(cell.to_string())),
        2 => ("room_type 0 1\t".to_owned(), None),
        3 => (format!("title {title:x}"), Some("copies = 1\nfirst_cell = 0\nroom_type = none\n".to_owned())),
        4 | 5 => (format!("title {title:x}"), None),
        _ => {
            (format!("title {title:x}"), Some(format!("copies = 1\nfirst_cell = {cell}\nroom_type = zoo\n")))
        }
    };
    Edit { key, value: value.map(String::into_bytes) }
}

quickcheck! {
    fn incremental_read_equals_full_read(batches: Vec<Vec<(u8, u8, u8)>>) -> TestResult {
        let (mut state, mut reader) = (state(), StateReader::default());
        for batch in batches {
            let mut next = state.clone();
            let edits: Vec<Edit> = batch.into_iter().map(edit).collect();
            if next.apply(&edits).is_err() {
                continue;
            }
            match (reader.read(&next), read_alone(&next)) {
                (Ok(incremental), Ok(full)) if same(&incremental, &full) => state = next,
                (Err(_), Err(_)) => {}
                (incremental, full) => return TestResult::error(format!("{incremental:?} {full:?}")),
            }
        }
        TestResult::passed()
    }
}

#[test]
fn unchanged_titles_are_not_parsed_again() {
    let (first, mut reader) = (state(), StateReader::default());
    let before = reader.read(&first).unwrap();
    let mut next = first.clone();
    next.apply(&[edit((1, 0, 7))]).unwrap();
    let same = reader.read(&next).unwrap();
    assert!(std::sync::Arc::ptr_eq(&before, &same));
    next.apply(&[edit((6, 5, 2))]).unwrap();
    let moved = reader.read(&next).unwrap();
    assert_eq!((moved.titles().title(5).unwrap().first_cell, moved.titles().len()), (2, 12));
    assert!(std::ptr::eq(moved.shared(), before.shared()));
}
