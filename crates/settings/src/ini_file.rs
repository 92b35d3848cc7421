//! One INI file: its sections and keys, deserialized into validated types, with the place of each error.

use std::path::Path;

use garde::Validate;
use ini::{Ini, ParseOption};
use serde::de::DeserializeOwned;

use crate::fault::{Fault, Faults};
use crate::value::{deserialize_section, ValueError};

/// A parsed INI file; the text is kept to find the line of an error.
#[derive(Debug)]
pub struct IniFile {
    file: String,
    text: String,
    ini: Ini,
}

/// Largest accepted file: a catalogue of 100,000 titles has some 10 MB.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

impl IniFile {
    /// Reads and parses a file of at most [`MAX_FILE_BYTES`].
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let file_fault = |reason: String| Fault {
            file: file.clone(),
            line: 0,
            section: String::new(),
            key: String::new(),
            value: String::new(),
            reason,
        };
        let size = std::fs::metadata(path).map_err(|error| file_fault(error.to_string()))?.len();
        if size > MAX_FILE_BYTES {
            return Err(
                file_fault(format!("the file has {size} bytes; the limit is {MAX_FILE_BYTES}")).into()
            );
        }
        let text = std::fs::read_to_string(path).map_err(|error| file_fault(error.to_string()))?;
        Self::parse(&file, &text)
    }

    /// Parses a text; `file` is only the name given in errors. A section or key that is given twice is an
    /// error.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| Fault {
            file: file.to_owned(),
            line: error.line,
            section: String::new(),
            key: String::new(),
            value: String::new(),
            reason: error.msg.to_string(),
        })?;
        let sheet = Self { file: file.to_owned(), text: text.to_owned(), ini };
        sheet.reject_duplicates()?;
        Ok(sheet)
    }

    /// The name of the file as given in errors.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The names of all sections, in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = &str> {
        self.ini.sections().flatten()
    }

    /// The names of the sections of one kind: `NAME` of each `[kind NAME]`, in the order of the file.
    pub fn section_names<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a str> {
        self.sections().filter_map(move |section| Some(section.strip_prefix(kind)?.strip_prefix(' ')?.trim()))
    }

    /// The value of a key as written in the file.
    pub fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section))?.get(key)
    }

    /// The keys of a section, sorted by name, with their values as written in the file.
    pub fn keys(&self, section: &str) -> Vec<(&str, &str)> {
        let mut keys: Vec<_> =
            self.ini.section(Some(section)).into_iter().flat_map(|keys| keys.iter()).collect();
        keys.sort_unstable();
        keys
    }

    /// Whether the file has this section.
    pub fn has(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// The sections of these kinds as INI text, which [`IniFile::parse`] accepts.
    pub fn copy_sections(&self, kinds: &[&str]) -> String {
        let mut text = String::new();
        for section in self.sections().filter(|section| of_kind(section, kinds)) {
            text += &format!("[{section}]\n");
            for (key, value) in self.ini.section(Some(section)).into_iter().flat_map(|keys| keys.iter()) {
                text += &format!("{key} = {value}\n");
            }
        }
        text
    }

    /// Deserializes a section and validates the result; a missing section is an error.
    pub fn section<T>(&self, section: &str) -> Result<T, Faults>
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        let Some(keys) = self.ini.section(Some(section)) else {
            return Err(self.fault(section, "", "", "this section is missing").into());
        };
        let parsed: T = deserialize_section(keys.iter()).map_err(|ValueError { key, value, reason }| {
            Faults::from(self.fault(section, &key, &value, &reason))
        })?;
        let Err(report) = parsed.validate() else { return Ok(parsed) };
        let faults = report.iter().map(|(path, error)| {
            let path = path.to_string();
            let key = path.split('[').next().unwrap_or("");
            self.fault(section, key, keys.get(key).unwrap_or(""), &error.to_string())
        });
        Err(Faults(faults.collect()))
    }

    /// As [`IniFile::section`], but `None` if the section is missing.
    pub fn optional_section<T>(&self, section: &str) -> Result<Option<T>, Faults>
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        self.has(section).then(|| self.section(section)).transpose()
    }

    /// As [`IniFile::section`], but the default if the section is missing.
    pub fn section_or_default<T>(&self, section: &str) -> Result<T, Faults>
    where
        T: DeserializeOwned + Validate<Context = ()> + Default,
    {
        Ok(self.optional_section(section)?.unwrap_or_default())
    }

    /// Fails if a section is of a kind that is not in `kinds`: a misspelt section would otherwise be ignored.
    pub fn reject_unknown_sections(&self, kinds: &[&str]) -> Result<(), Faults> {
        let unknown = self.sections().filter(|section| !of_kind(section, kinds));
        let reason = format!("no such section; known sections are {}", kinds.join(", "));
        let faults: Vec<Fault> = unknown.map(|section| self.fault(section, "", "", &reason)).collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }

    /// An error at a key of a section, with the line of the key.
    pub fn fault(&self, section: &str, key: &str, value: &str, reason: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            line: self.line(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            reason: reason.to_owned(),
        }
    }

    /// The line number of a key, or of its section if the key is missing; 0 if both are missing.
    fn line(&self, section: &str, key: &str) -> usize {
        let (mut in_section, mut section_line) = (false, 0);
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                in_section = name.trim() == section;
                section_line = if in_section && section_line == 0 { index + 1 } else { section_line };
            } else if in_section && !key.is_empty() && key_of(line) == Some(key) {
                return index + 1;
            }
        }
        section_line
    }

    /// Fails if a section or key is given twice: it would be unclear which one applies.
    fn reject_duplicates(&self) -> Result<(), Faults> {
        let mut faults = Vec::new();
        let mut headings = std::collections::BTreeSet::new();
        let mut keys = std::collections::BTreeSet::new();
        let mut section = String::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let (key, is_first) = match line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                Some(name) => {
                    section = name.trim().to_owned();
                    ("", headings.insert(section.clone()))
                }
                None => match key_of(line) {
                    Some(key) => (key, keys.insert((section.clone(), key.to_owned()))),
                    None => continue,
                },
            };
            if !is_first {
                let fault = self.fault(&section, key, "", "this is given twice");
                faults.push(Fault { line: index + 1, ..fault });
            }
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }
}

/// The key of a line `key = value`; `None` for comments and other lines.
fn key_of(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    Some(line.split_once('=')?.0.trim())
}

/// Whether a section is `[KIND]` or `[KIND NAME]` of one of these kinds.
fn of_kind(section: &str, kinds: &[&str]) -> bool {
    kinds
        .iter()
        .any(|kind| section == *kind || section.strip_prefix(kind).is_some_and(|rest| rest.starts_with(' ')))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{each_within, one_of, within};

    #[derive(Debug, Default, PartialEq, serde::Deserialize, garde::Validate)]
    #[serde(deny_unknown_fields)]
    struct Rates {
        #[garde(custom(each_within(1.0, 10.0)))]
        rates: Vec<f64>,
        #[garde(custom(within(1, 8)))]
        #[serde(default)]
        top: u8,
        #[garde(skip)]
        name: Option<String>,
        #[garde(custom(one_of(&["none", "nominal"])))]
        weights: String,
    }

    fn rates(text: &str) -> Result<Rates, String> {
        let sheet = IniFile::parse("a.ini", text).map_err(|faults| faults.to_string())?;
        sheet.section("rates").map_err(|faults| faults.to_string())
    }

    #[test]
    fn section_is_deserialized_and_validated() {
        let parsed = rates("; rates\n[rates]\nrates = 1, 2.5\ntop = 2\nname = 7\nweights = none\n");
        let name = Some("7".to_owned());
        assert_eq!(parsed, Ok(Rates { rates: vec![1.0, 2.5], top: 2, name, weights: "none".to_owned() }));
    }

    #[test]
    fn error_names_file_line_key_value_and_range() {
        let fault = |text: &str| rates(text).unwrap_err();
        assert_eq!(
            fault("[rates]\nrates = 1, 99\ntop = 2\nweights = none"),
            "a.ini:2: [rates] rates = 1, 99: must be between 1 and 10"
        );
        assert_eq!(
            fault("[rates]\nrates = 1\ntop = many\nweights = none"),
            "a.ini:3: [rates] top = many: must be a whole number between 0 and 255"
        );
        assert_eq!(
            fault("[rates]\nrates = 1\nrung = 1\nweights = none"),
            "a.ini:3: [rates] rung: no such key; known keys are rates, top, name, weights"
        );
        assert_eq!(fault("[rates]\ntop = 1\nweights = none"), "a.ini:1: [rates] rates: this key is missing");
        assert_eq!(
            fault("[rates]\nrates = 1\ntop = 9\nweights = all"),
            "a.ini:3: [rates] top = 9: must be between 1 and 8\n\
             a.ini:4: [rates] weights = all: must be one of none, nominal"
        );
        assert_eq!(fault("[rate]\n"), "a.ini: [rates]: this section is missing");
        assert_eq!(
            fault("[rates]\ntop = 1\ntop = 2\n[rates]\n"),
            "a.ini:3: [rates] top: this is given twice\na.ini:4: [rates]: this is given twice"
        );
        assert!(fault("[rates\nrates = 1").starts_with("a.ini:"));
    }

    #[test]
    fn unknown_sections_are_rejected_and_known_ones_are_copied() {
        let sheet =
            IniFile::parse("a.ini", "[fleet]\ncells = 3\n[room_type a b]\nbenefit = 1\n[typo]\n").unwrap();
        assert_eq!(sheet.section_names("room_type").collect::<Vec<_>>(), ["a b"]);
        let faults = sheet.reject_unknown_sections(&["fleet", "room_type"]).unwrap_err().to_string();
        assert_eq!(faults, "a.ini:5: [typo]: no such section; known sections are fleet, room_type");
        assert_eq!(sheet.copy_sections(&["room_type"]), "[room_type a b]\nbenefit = 1\n");
    }
}
