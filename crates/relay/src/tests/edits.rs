//! Reading and writing edits in INI form.

use badgerledge_deployment::entries::{entries_of, text_of};
use badgerledge_deployment::kinds::canonical;
use badgerledge_distribution::state::{Edit, Entry, State};
use badgerledge_settings::Sheet;

use super::support::GENESIS;
use crate::edits;

fn read(text: &str) -> Result<Vec<Edit>, String> {
    let sheet = Sheet::parse("change.ini", text).map_err(|faults| faults.to_string())?;
    edits::read(&sheet).map_err(|faults| faults.to_string())
}

fn entries(text: &str) -> Vec<Entry> {
    entries_of(&canonical(&Sheet::parse("configuration", text).unwrap())).unwrap()
}

fn edit(key: &str, value: Option<&str>) -> Edit {
    Edit { key: key.to_owned(), value: value.map(|value| value.as_bytes().to_vec()) }
}

#[test]
fn each_section_becomes_edits_by_key() {
    let text = "[set fleet]\nlinks_kb = 1,2\n[section room_type den]\nplace = 4\n[remove room_type zoo]\n\
                keys = benefit, top\nsection = true\n[remove title 2a]\n[title 1F]\nroom_type = den\ncopies = 1\n\
                first_cell = 0\n";
    let expected = [
        edit("fleet\tlinks_kb", Some("1, 2")),
        edit("room_type den\t", Some("4")),
        edit("room_type zoo\t", None),
        edit("room_type zoo\tbenefit", None),
        edit("room_type zoo\ttop", None),
        edit("title 1f", Some("copies = 1\nfirst_cell = 0\nroom_type = den\n")),
        edit("title 2a", None),
    ];
    assert_eq!(read(text).unwrap(), expected);
}

#[test]
fn a_fault_names_its_file_line_and_key() {
    let fault = |text: &str| read(text).unwrap_err();
    assert_eq!(fault("[set fleet]\nlinks = 1\n"), "change.ini:2: [set fleet] links: unknown setting");
    assert_eq!(
        fault("[set fleet]\ncells = 1\n[remove fleet]\nkeys = cells\n"),
        "change.ini:4: [remove fleet] keys: edited twice"
    );
    assert_eq!(
        fault("[section fleet]\nplace = first\n"),
        "change.ini:2: [section fleet] place = first: expected a whole number"
    );
    assert_eq!(
        fault("[remove fleet]\nkey = a\n"),
        "change.ini:2: [remove fleet] key: unknown key; the keys are keys, section"
    );
    assert!(fault("[fleet]\ncells = 1\n").starts_with("change.ini:1: [fleet]: no such section"));
    assert!(fault("[title 1]\ncopies = 1\n").contains("[title 1]"));
}

#[test]
fn the_written_difference_of_two_files_turns_one_into_the_other() {
    let den = "[room_type den]\nbenefit = 2\nclient_timeout_ms = 4000\njoin_objective_ms = 1500\n";
    let other = GENESIS
        .replace("cells = 12", "cells = 13")
        .replace("[ladder]", "report = x0, x1\n[ladder]")
        .replace("north, south", "north, south, east")
        .replace("[title 1f]", "[title 20]")
        .replace("[room_type zoo]", &format!("{den}[room_type zoo]\nfloor = 1"));
    let (from, to) = (entries(GENESIS), entries(&other));
    for (from, to) in [(&from, &to), (&to, &from)] {
        let written = edits::write(&edits::difference(from, to));
        let mut state = State::from_entries(from.clone()).unwrap();
        state.apply(&read(&written).unwrap()).unwrap();
        assert_eq!(state.root(), State::from_entries(to.clone()).unwrap().root(), "{written}");
        assert!(text_of(state.entries()).is_ok());
    }
    assert_eq!(edits::write(&edits::difference(&to, &to)), "");
}
