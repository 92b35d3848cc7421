//! Edits that must not be acted on in both ways at once, by the kinds of their keys.

use badgerledge_distribution::state::{Edit, State};

use crate::entries::{entries_of, setting_key};
use crate::entries_tests::text;
use crate::is_exclusive;
use crate::kinds::{Kind, KINDS};

fn state() -> State {
    State::from_entries(entries_of(&text(&[0, 1], &[1, 0x2a], true)).unwrap()).unwrap()
}

fn edit(key: &str, value: Option<&str>) -> Edit {
    Edit { key: key.to_owned(), value: value.map(|value| value.as_bytes().to_vec()) }
}

fn exclusive(key: &str, value: Option<&str>) -> bool {
    is_exclusive(&state(), &[edit(key, value)])
}

#[test]
fn settings_are_judged_by_their_kind() {
    for (section, key, kind) in KINDS.iter().filter(|(section, ..)| *section != "title") {
        let is = exclusive(&setting_key(section, key), Some("another"));
        assert_eq!(is, *kind == Kind::Exclusive, "{section} {key}");
    }
}

#[test]
fn a_section_that_comes_goes_or_changes_places_is_exclusive() {
    let state = state();
    let mut sections = state.entries().filter(|(key, _)| key.ends_with('\t'));
    let (section, place) = sections.next().unwrap();
    assert!(exclusive(section, None));
    assert!(exclusive(section, Some("7")));
    assert!(!exclusive(section, std::str::from_utf8(place).ok()), "it stays where it is");
    assert!(exclusive(&setting_key("room_type quiz", ""), Some("9")));
}

/// One that goes could come back elsewhere, in a second change that is free as well: so its going is exclusive.
#[test]
fn a_title_that_comes_is_free_and_one_that_moves_or_goes_is_not() {
    let state = state();
    let (title, lines) = state.entries().find(|(key, _)| key.starts_with("title ")).unwrap();
    assert!(!exclusive("title ffff", Some("copies = 1\nfirst_cell = 0\nroom_type = clip\n")));
    assert!(exclusive(title, Some("copies = 1\nfirst_cell = 1\nroom_type = other\n")));
    assert!(exclusive(title, None));
    assert!(!exclusive(title, std::str::from_utf8(lines).ok()));
}

#[test]
fn what_can_not_be_told_is_exclusive_and_the_protocols_own_keys_are_not() {
    assert!(exclusive("nothing", Some("1")));
    assert!(exclusive("title zz", Some("1")));
    assert!(exclusive("unheard\tof", Some("1")));
    assert!(!exclusive("\0author 1", Some("7")));
    let both = [edit("fleet\tlinks_kb", Some("1")), edit("fleet\tcells", Some("9"))];
    assert!(is_exclusive(&state(), &both));
    assert!(!is_exclusive(&state(), &both[..1]));
}
