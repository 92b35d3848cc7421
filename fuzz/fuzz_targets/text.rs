//! Texts of revisions: the quick reader takes what the sheet takes in its one form, and nothing else; no input makes it panic.

#![no_main]

use badgerledge_deployment::kinds::{canonical, read_revision};
use badgerledge_deployment::RevisionText;
use badgerledge_settings::IniFile;
use libfuzzer_sys::fuzz_target;

/// What goes before the input, so that most of it is titles.
const SETTINGS: &str = "[fleet]\ncells = 4\nkind_streams = 50\nkinds = k\nlink_unit_kb = 1000\nlinks_kb = 4000\nracks = 2\n\
    uplink_kb = 2000\nzones = a\n[ladder]\nbenefit = 0.5, 1\nrates_kb = 10, 20\n[room_type clip]\nbenefit = 1\n\
    client_timeout_ms = 2000\njoin_objective_ms = 1000\n";

fn holds(text: &[u8]) {
    let Ok(read) = RevisionText::read(text) else { return };
    let text = std::str::from_utf8(text).expect("it was read");
    let sheet = IniFile::parse("text", text).expect("the sheet reads it too");
    assert_eq!(canonical(&sheet), text);
    assert_eq!(read_revision(&sheet).expect("it is in order").1, *read.titles());
}

fuzz_target!(|bytes: &[u8]| {
    holds(bytes);
    holds(&[SETTINGS.as_bytes(), bytes].concat());
});
