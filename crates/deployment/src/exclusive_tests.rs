//! Which edits of a state are exclusive, by the kinds of their keys.

use badgerledge_distribution::state::{Edit, State};

use crate::entries::{entries_from_text, setting_key};
use crate::entries_tests::text;
use crate::is_exclusive;
use crate::kinds::{Kind, KINDS};

fn state() -> State {
    State::from_entries(entries_from_text(&text(&[0, 1], &[1, 0x2a], true)).unwrap()).unwrap()
}

fn edit(key: &str, value: Option<&str>) -> Edit {
    Edit { key: key.to_owned(), value: value.map(|value| value.as_bytes().to_vec()) }
}

fn exclusive(key: &str, value: Option<&str>) -> bool {
    is_exclusive(&state(), &[edit(key, value)])
}

#[test]
fn setting_is_exclusive_if_its_kind_is() {
    for (section, key, kind) in KINDS.iter().filter(|(section, ..)| *section != "title") {
        let is_exclusive = exclusive(&setting_key(section, key), Some("another"));
        assert_eq!(is_exclusive, *kind == Kind::Exclusive, "{section} {key}");
    }
}

#[test]
fn adding_removing_or_reordering_a_section_is_exclusive() {
    let state = state();
    let mut sections = state.entries().filter(|(key, _)| key.ends_with('\t'));
    let (section, position) = sections.next().unwrap();
    assert!(exclusive(section, None));
    assert!(exclusive(section, Some("7")));
    assert!(!exclusive(section, std::str::from_utf8(position).ok()), "the position is unchanged");
    assert!(exclusive(&setting_key("room_type quiz", ""), Some("9")));
}

/// Removing a title is exclusive, since a second change, which is free as well, could add it again on other
/// cells.
#[test]
fn adding_a_title_is_free_but_moving_or_removing_it_is_exclusive() {
    let state = state();
    let (title, lines) = state.entries().find(|(key, _)| key.starts_with("title ")).unwrap();
    assert!(!exclusive("title ffff", Some("copies = 1\nfirst_cell = 0\nroom_type = clip\n")));
    assert!(exclusive(title, Some("copies = 1\nfirst_cell = 1\nroom_type = other\n")));
    assert!(exclusive(title, None));
    assert!(!exclusive(title, std::str::from_utf8(lines).ok()));
}

#[test]
fn unknown_keys_are_exclusive_and_protocol_keys_are_not() {
    assert!(exclusive("nothing", Some("1")));
    assert!(exclusive("title zz", Some("1")));
    assert!(exclusive("unheard\tof", Some("1")));
    assert!(!exclusive("\0author 1", Some("7")));
    let both = [edit("fleet\tlinks_kb", Some("1")), edit("fleet\tcells", Some("9"))];
    assert!(is_exclusive(&state(), &both));
    assert!(!is_exclusive(&state(), &both[..1]));
}
