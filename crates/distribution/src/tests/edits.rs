//! Edits and states for tests.

use quickcheck::{Arbitrary, Gen};

use crate::state::{Edit, Entry, State};

pub fn put(key: &str, value: &str) -> Edit {
    Edit { key: key.to_owned(), value: Some(value.as_bytes().to_vec()) }
}

pub fn removal(key: &str) -> Edit {
    Edit { key: key.to_owned(), value: None }
}

pub fn entry(key: &str, value: &[u8]) -> Entry {
    Entry { key: key.to_owned(), value: value.to_vec() }
}

/// A state with this number of titles of some 50 bytes each.
pub fn titles(count: usize) -> State {
    let title = |number: usize| entry(&format!("title {number:08}"), &title_value(number));
    State::from_entries((0..count).map(title)).unwrap()
}

/// The value of a title, of some 50 bytes.
pub fn title_value(number: usize) -> Vec<u8> {
    format!("seconds = {}\nrates = 0, 1, 2, 3\nkind = {number:08}\n", number % 7200).into_bytes()
}

/// An edit of one of a few keys, so that keys are edited repeatedly and removed.
#[derive(Clone, Debug)]
pub struct AnyEdit(pub Edit);

impl Arbitrary for AnyEdit {
    fn arbitrary(random: &mut Gen) -> Self {
        let key = format!("key {}", u8::arbitrary(random) % 40);
        Self(Edit { key, value: Option::arbitrary(random) })
    }
}

/// The edits in a generated list.
pub fn plain(edits: &[AnyEdit]) -> Vec<Edit> {
    edits.iter().map(|edit| edit.0.clone()).collect()
}
