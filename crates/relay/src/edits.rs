//! The INI form of a change's edits, and the difference between two configurations as edits.
//!
//! | section | meaning |
//! |---|---|
//! | `[set SECTION]` | `KEY = VALUE`: sets a setting |
//! | `[remove SECTION]` | `keys = A, B`: removes these settings; `section = true`: also removes the section's own entry |
//! | `[section SECTION]` | `place = N`: adds or moves the section to this position among the sections of its type |
//! | `[title ID]` | sets the whole title |
//! | `[remove title ID]` | removes the title |

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::entries::{setting_key, title_entries};
use badgerledge_deployment::kinds::{self, KINDS};
use badgerledge_deployment::SHARED_SECTIONS;
use badgerledge_distribution::state::{Edit, Entry};
use badgerledge_settings::{Fault, Faults, Sheet};

// The first word of each section heading.
const SET: &str = "set";
const REMOVE: &str = "remove";
const SECTION: &str = "section";
const TITLE: &str = "title";

/// Reads a file of edits.
///
/// # Errors
/// All errors in the file, each with its file, line and key.
pub fn read(sheet: &Sheet) -> Result<Vec<Edit>, Faults> {
    sheet.only(&[SET, REMOVE, SECTION, TITLE])?;
    let mut reader = EditReader { sheet, edits: BTreeMap::new(), faults: Vec::new() };
    reader.read_settings();
    reader.read_sections();
    reader.read_removals();
    reader.read_titles();
    let EditReader { edits, faults, .. } = reader;
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    Ok(edits.into_iter().map(|(key, value)| Edit { key, value }).collect())
}

/// Collects the edits and the faults of one file.
struct EditReader<'a> {
    sheet: &'a Sheet,
    /// New values by key; none where the key is removed.
    edits: BTreeMap<String, Option<Vec<u8>>>,
    faults: Vec<Fault>,
}

impl EditReader<'_> {
    /// Reads the `[set SECTION]` sections.
    fn read_settings(&mut self) {
        let sheet = self.sheet;
        for section in sheet.named(SET) {
            let heading = format!("{SET} {section}");
            for (key, value) in sheet.keys(&heading) {
                if !is_setting(section, key) {
                    self.add_fault(&heading, key, "", "unknown setting");
                } else {
                    let value = kinds::plain(value);
                    self.add_edit(&heading, key, setting_key(section, key), Some(value.into_bytes()));
                }
            }
        }
    }

    /// Reads the `[section SECTION]` sections.
    fn read_sections(&mut self) {
        let sheet = self.sheet;
        for section in sheet.named(SECTION) {
            let heading = format!("{SECTION} {section}");
            if !is_section(section) {
                self.add_fault(&heading, "", "", "unknown section");
            }
            for (key, value) in sheet.keys(&heading) {
                match (key, value.parse::<u32>()) {
                    ("place", Ok(place)) => {
                        let value = place.to_string().into_bytes();
                        self.add_edit(&heading, key, setting_key(section, ""), Some(value));
                    }
                    ("place", Err(_)) => self.add_fault(&heading, key, value, "expected a whole number"),
                    _ => self.add_fault(&heading, key, "", "unknown key; the only key is place"),
                }
            }
        }
    }

    /// Reads the `[remove SECTION]` and `[remove title ID]` sections.
    fn read_removals(&mut self) {
        let sheet = self.sheet;
        for section in sheet.named(REMOVE) {
            let heading = format!("{REMOVE} {section}");
            if section.starts_with("title ") {
                self.add_edit(&heading, "", section.to_owned(), None);
                continue;
            }
            for (key, value) in sheet.keys(&heading) {
                match (key, value) {
                    ("keys", listed) => self.read_removed_settings(&heading, section, listed),
                    ("section", "true") => self.add_edit(&heading, key, setting_key(section, ""), None),
                    ("section", _) => self.add_fault(&heading, key, value, "expected true"),
                    _ => self.add_fault(&heading, key, "", "unknown key; the keys are keys, section"),
                }
            }
        }
    }

    /// Reads a comma-separated list of removed settings.
    fn read_removed_settings(&mut self, heading: &str, section: &str, listed: &str) {
        for name in listed.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            if is_setting(section, name) {
                self.add_edit(heading, "keys", setting_key(section, name), None);
            } else {
                self.add_fault(heading, "keys", name, "unknown setting");
            }
        }
    }

    /// Reads the `[title ID]` sections.
    fn read_titles(&mut self) {
        if !self.sheet.sections().any(|section| section.starts_with("title ")) {
            return;
        }
        match Catalogue::from_sections(self.sheet) {
            Ok(titles) => {
                for Entry { key, value } in title_entries(&titles.text()) {
                    let heading = key.clone();
                    self.add_edit(&heading, "", key, Some(value));
                }
            }
            Err(faults) => self.faults.extend(faults.0),
        }
    }

    /// Adds an edit; a second one of the same key is a fault.
    fn add_edit(&mut self, heading: &str, name: &str, key: String, value: Option<Vec<u8>>) {
        if self.edits.insert(key, value).is_some() {
            self.add_fault(heading, name, "", "edited twice");
        }
    }

    fn add_fault(&mut self, heading: &str, key: &str, value: &str, reason: &str) {
        self.faults.push(self.sheet.fault(heading, key, value, reason));
    }
}

/// The type of a section: the first word of its heading.
fn section_type(section: &str) -> &str {
    section.split(' ').next().unwrap_or(section)
}

/// Whether the settings shared by all controllers have such a section.
fn is_section(section: &str) -> bool {
    SHARED_SECTIONS.contains(&section_type(section))
}

/// Whether the settings shared by all controllers have such a setting.
fn is_setting(section: &str, key: &str) -> bool {
    is_section(section)
        && KINDS
            .iter()
            .any(|(section_type_name, name, _)| *section_type_name == section_type(section) && *name == key)
}

/// The edits that turn one set of entries into another, sorted by key.
pub fn difference(from: &[Entry], to: &[Entry]) -> Vec<Edit> {
    let values = |entries: &[Entry]| -> BTreeMap<String, Vec<u8>> {
        entries.iter().map(|entry| (entry.key.clone(), entry.value.clone())).collect()
    };
    let (from, to) = (values(from), values(to));
    let keys: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let changed = keys.into_iter().filter(|key| from.get(*key) != to.get(*key));
    changed.map(|key| Edit { key: key.clone(), value: to.get(key).cloned() }).collect()
}

/// Writes edits in the INI form that [`read`] takes.
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
