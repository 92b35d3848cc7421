//! The INI form of a change, and the edits that lead from one configuration to another.
//!
//! | section | means |
//! |---|---|
//! | `[set SECTION]` | `KEY = VALUE` for each setting that gets this value |
//! | `[remove SECTION]` | `keys = A, B`: settings that are removed; `section = true`: the section's own entry too |
//! | `[section SECTION]` | `place = N`: the section is there, at this place among its like |
//! | `[title ID]` | the title, whole |
//! | `[remove title ID]` | the title is removed |

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::entries::{setting_key, title_entries};
use badgerledge_deployment::kinds::{self, KINDS};
use badgerledge_deployment::SHARED_SECTIONS;
use badgerledge_distribution::state::{Edit, Entry};
use badgerledge_settings::{Fault, Faults, Sheet};

const SET: &str = "set";
const REMOVE: &str = "remove";
const SECTION: &str = "section";
const TITLE: &str = "title";

/// Reads a file of edits.
///
/// # Errors
/// All that is wrong, each with its file, line and key.
pub fn read(sheet: &Sheet) -> Result<Vec<Edit>, Faults> {
    sheet.only(&[SET, REMOVE, SECTION, TITLE])?;
    let mut reading = Reading { sheet, edits: BTreeMap::new(), faults: Vec::new() };
    reading.settings();
    reading.sections();
    reading.removals();
    reading.titles();
    let Reading { edits, faults, .. } = reading;
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    Ok(edits.into_iter().map(|(key, value)| Edit { key, value }).collect())
}

struct Reading<'a> {
    sheet: &'a Sheet,
    edits: BTreeMap<String, Option<Vec<u8>>>,
    faults: Vec<Fault>,
}

impl Reading<'_> {
    fn settings(&mut self) {
        let sheet = self.sheet;
        for section in sheet.named(SET) {
            let place = format!("{SET} {section}");
            for (key, value) in sheet.keys(&place) {
                if !is_setting(section, key) {
                    self.wrong(&place, key, "", "there is no such setting");
                } else {
                    let value = kinds::plain(value);
                    self.edit(&place, key, setting_key(section, key), Some(value.into_bytes()));
                }
            }
        }
    }

    fn sections(&mut self) {
        let sheet = self.sheet;
        for section in sheet.named(SECTION) {
            let heading = format!("{SECTION} {section}");
            if !is_section(section) {
                self.wrong(&heading, "", "", "there is no such section");
            }
            for (key, value) in sheet.keys(&heading) {
                match (key, value.parse::<u32>()) {
                    ("place", Ok(place)) => {
                        let value = place.to_string().into_bytes();
                        self.edit(&heading, key, setting_key(section, ""), Some(value));
                    }
                    ("place", Err(_)) => self.wrong(&heading, key, value, "a whole number is taken"),
                    _ => self.wrong(&heading, key, "", "no such key; there is place"),
                }
            }
        }
    }

    fn removals(&mut self) {
        let sheet = self.sheet;
        for section in sheet.named(REMOVE) {
            let heading = format!("{REMOVE} {section}");
            if section.starts_with("title ") {
                self.edit(&heading, "", section.to_owned(), None);
                continue;
            }
            for (key, value) in sheet.keys(&heading) {
                match (key, value) {
                    ("keys", listed) => self.removed_settings(&heading, section, listed),
                    ("section", "true") => self.edit(&heading, key, setting_key(section, ""), None),
                    ("section", _) => self.wrong(&heading, key, value, "true is taken"),
                    _ => self.wrong(&heading, key, "", "no such key; there are keys, section"),
                }
            }
        }
    }

    fn removed_settings(&mut self, heading: &str, section: &str, listed: &str) {
        for name in listed.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            if is_setting(section, name) {
                self.edit(heading, "keys", setting_key(section, name), None);
            } else {
                self.wrong(heading, "keys", name, "there is no such setting");
            }
        }
    }

    fn titles(&mut self) {
        if !self.sheet.sections().any(|section| section.starts_with("title ")) {
            return;
        }
        match Catalogue::from_sections(self.sheet) {
            Ok(titles) => {
                for Entry { key, value } in title_entries(&titles.text()) {
                    let heading = key.clone();
                    self.edit(&heading, "", key, Some(value));
                }
            }
            Err(found) => self.faults.extend(found.0),
        }
    }

    fn edit(&mut self, heading: &str, name: &str, key: String, value: Option<Vec<u8>>) {
        if self.edits.insert(key, value).is_some() {
            self.wrong(heading, name, "", "this is edited twice");
        }
    }

    fn wrong(&mut self, heading: &str, key: &str, value: &str, why: &str) {
        self.faults.push(self.sheet.fault(heading, key, value, why));
    }
}

fn family(section: &str) -> &str {
    section.split(' ').next().unwrap_or(section)
}

fn is_section(section: &str) -> bool {
    SHARED_SECTIONS.contains(&family(section))
}

/// Whether all controllers know such a setting.
fn is_setting(section: &str, key: &str) -> bool {
    is_section(section) && KINDS.iter().any(|(known, name, _)| *known == family(section) && *name == key)
}

/// The edits that lead from some entries to others, by key.
pub fn between(from: &[Entry], to: &[Entry]) -> Vec<Edit> {
    let values = |entries: &[Entry]| -> BTreeMap<String, Vec<u8>> {
        entries.iter().map(|entry| (entry.key.clone(), entry.value.clone())).collect()
    };
    let (from, to) = (values(from), values(to));
    let keys: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let changed = keys.into_iter().filter(|key| from.get(*key) != to.get(*key));
    changed.map(|key| Edit { key: key.clone(), value: to.get(key).cloned() }).collect()
}

/// Edits in the INI form that [`read`] takes.
pub fn write(edits: &[Edit]) -> String {
    let mut sections: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut removed: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for edit in edits {
        let value = edit.value.as_deref().map(String::from_utf8_lossy);
        match (edit.key.split_once('\t'), value) {
            (Some((section, "")), Some(place)) => {
                sections.entry(format!("{SECTION} {section}")).or_default().push(format!("place = {place}"));
            }
            (Some((section, "")), None) => {
                let lines = sections.entry(format!("{REMOVE} {section}")).or_default();
                lines.push("section = true".to_owned());
            }
            (Some((section, key)), Some(value)) => {
                sections.entry(format!("{SET} {section}")).or_default().push(format!("{key} = {value}"));
            }
            (Some((section, key)), None) => removed.entry(section).or_default().push(key),
            (None, Some(lines)) => {
                sections.insert(edit.key.clone(), lines.lines().map(str::to_owned).collect());
            }
            (None, None) => {
                sections.insert(format!("{REMOVE} {}", edit.key), Vec::new());
            }
        }
    }
    for (section, keys) in removed {
        let lines = sections.entry(format!("{REMOVE} {section}")).or_default();
        lines.insert(0, format!("keys = {}", keys.join(", ")));
    }
    let section = |(heading, lines): (String, Vec<String>)| {
        lines.into_iter().fold(format!("[{heading}]\n"), |text, line| text + &line + "\n")
    };
    sections.into_iter().map(section).collect::<Vec<_>>().join("\n")
}
