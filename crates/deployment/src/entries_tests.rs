//! A configuration converts into entries and back without loss; invalid entries are rejected with their key.

use badgerledge_distribution::state::Entry;
use quickcheck::{quickcheck, TestResult};

use crate::entries::{entries_from_text, parse_title, text_from_entries, EntriesError};
use crate::RevisionText;

const SETTINGS: &str = "\
[fleet]
cells = 12
kind_streams = 20
kinds = small
link_unit_kb = 1000
links_kb = 12000
racks = 4
uplink_kb = 3000
zones = north, south
[ladder]
benefit = 0.3, 0.6, 1
rates_kb = 100, 200, 400
";

fn room_type(name: &str, benefit: u8) -> String {
    format!("[room_type {name}]\nbenefit = {benefit}\nclient_timeout_ms = 4000\njoin_objective_ms = 1500\n")
}

fn title(id: u64, first_cell: u16) -> String {
    format!("[title {id:x}]\ncopies = 2\nfirst_cell = {first_cell}\nroom_type = zoo\n")
}

fn text_from(entries: &[Entry]) -> Result<String, EntriesError> {
    text_from_entries(entries.iter().map(|entry| (entry.key.as_str(), entry.value.as_slice())))
}

/// A text with the room types in the order of `types`, and a title for each id.
pub(crate) fn text(types: &[u8], ids: &[u64], rules: bool) -> String {
    let mut text = SETTINGS.to_owned() + &room_type("zoo", 1);
    for (index, name) in types.iter().enumerate().filter(|(index, name)| !types[..*index].contains(name)) {
        text += &room_type(&format!("{} {name}", index % 2), *name);
    }
    if rules {
        // A section without keys must be preserved too.
        text += "[rules]\n[permissions]\njoins = 2\n";
    }
    let ids: std::collections::BTreeSet<u64> = ids.iter().copied().collect();
    ids.iter().for_each(|id| text += &title(*id, (*id % 12) as u16));
    text
}

quickcheck! {
    fn text_to_entries_and_back_is_lossless(
        types: Vec<u8>, ids: Vec<u64>, rules: bool, rotation: usize
    ) -> TestResult {
        let text = text(&types, &ids, rules);
        if let Err(reason) = RevisionText::read(text.as_bytes()) {
            return TestResult::error(reason);
        }
        let Ok(mut entries) = entries_from_text(&text) else { return TestResult::failed() };
        // The order of entries has no meaning, and the protocol's own entries are ignored.
        let rotation = rotation % entries.len();
        entries.rotate_left(rotation);
        entries.push(Entry { key: "\0author 3".to_owned(), value: vec![0xff] });
        TestResult::from_bool(text_from(&entries).as_deref() == Ok(text.as_str()))
    }
}

#[test]
fn order_of_room_types_is_preserved() {
    let text = text(&[9, 3, 200, 1], &[5], true);
    let entries = entries_from_text(&text).unwrap();
    let position = |key: &str| entries.iter().find(|entry| entry.key == key).map(|entry| entry.value.clone());
    assert_eq!(position("room_type 0 9\t"), Some(b"1".to_vec()));
    assert_eq!(position("room_type 0 200\t"), Some(b"3".to_vec()));
    assert_eq!(text_from(&entries).unwrap(), text);
    // Two authors each add a room type at the same position: both are kept, sorted by name.
    let added = [room_type("b", 1), room_type("a", 2)].map(|added| {
        let changed = text.replacen("[rules]", &format!("{added}[rules]"), 1);
        entries_from_text(&changed)
            .unwrap()
            .into_iter()
            .filter(|entry| !entries.contains(entry))
            .collect::<Vec<_>>()
    });
    let both = text_from(&[entries.clone(), added.concat()].concat()).unwrap();
    let expected = format!("{}{}[rules]", room_type("a", 2), room_type("b", 1));
    assert_eq!(both, text.replacen("[rules]", &expected, 1));
}

#[test]
fn changing_one_setting_or_title_changes_one_entry() {
    let before = entries_from_text(&text(&[1, 2], &[7, 8], true)).unwrap();
    let changed = |text: &str| -> Vec<Entry> {
        entries_from_text(text).unwrap().into_iter().filter(|entry| !before.contains(entry)).collect()
    };
    let one = |key: &str, value: &str| vec![Entry { key: key.to_owned(), value: value.as_bytes().to_vec() }];
    let text = text(&[1, 2], &[7, 8], true);
    assert_eq!(changed(&text.replace("joins = 2", "joins = 1")), one("permissions\tjoins", "1"));
    let moved = "copies = 2\nfirst_cell = 3\nroom_type = zoo\n";
    assert_eq!(changed(&text.replace("first_cell = 8", "first_cell = 3")), one("title 8", moved));
}

#[test]
fn invalid_entries_are_rejected() {
    let valid = entries_from_text(&text(&[1], &[7], false)).unwrap();
    let with = |key: &str, value: &str| {
        let mut entries = valid.clone();
        entries.retain(|entry| entry.key != key);
        entries.push(Entry { key: key.to_owned(), value: value.as_bytes().to_vec() });
        text_from(&entries).map_err(|fault| fault.to_string()).unwrap_err()
    };
    assert!(with("stray", "1").contains("not the key of a setting or a title"));
    assert!(with("controller\tnumber", "1").contains("no such section"));
    assert!(with("rules\tdrain_grace_ms", "1").contains("there is no entry for its section"));
    assert!(with("rules\t", "first").contains("whole number"));
    assert!(with("room_type zoo\t", "01").contains("whole number"));
    assert!(with("fleet\tcells", "1\n[rules]").contains("control characters"));
    assert!(with("fleet\tzones", "a,b").contains("canonical form"));
    assert!(with("fleet\t;cells", "1").contains("no setting has such a name"));
    assert!(with("fleet\ta=b", "1").contains("no setting has such a name"));
    assert!(with("fleet]\n[rules\tx", "1").contains("control characters"));
    assert!(with("title 07", &title(7, 0)).contains("not the key"));
    assert!(with("title 7", "copies = 2\n").contains("this key is missing"));
    // A value can not insert another title.
    let two = format!("copies = 2\nfirst_cell = 3\nroom_type = zoo\n{}", title(9, 1));
    assert!(with("title 7", &two).contains("and no others"));
    assert!(entries_from_text("[fleet]\ncells = 0\n").is_err());
}

#[test]
fn titles_are_changed_one_by_one() {
    let text = RevisionText::read(text(&[1], &[7, 8], false).as_bytes()).unwrap();
    let moved = "copies = 2\nfirst_cell = 3\nroom_type = zoo\n";
    let (id, title) = parse_title("title 8", moved.as_bytes()).unwrap().unwrap();
    assert_eq!(parse_title("rules\tjoins", b"1"), Ok(None));
    assert!(
        parse_title("title 08", moved.as_bytes()).is_err()
            && parse_title("title 8", b"copies = 2\n").is_err()
    );
    let changed = text.with_titles(vec![(id, Some(title.clone())), (7, None)]).unwrap();
    assert_eq!(changed.titles().titles().collect::<Vec<_>>(), [(8, &title)]);
    let without_type = badgerledge_catalogue::Title { room_type: "none".to_owned(), ..title };
    assert!(text
        .with_titles(vec![(9, Some(without_type))])
        .unwrap_err()
        .contains("[title 9] room_type = none"));
}
