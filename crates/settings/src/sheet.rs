//! One INI file.

use std::path::Path;

use garde::Validate;
use ini::{Ini, ParseOption};
use serde::de::DeserializeOwned;

use crate::fault::{Fault, Faults};
use crate::words::{typed, Misfit};

/// A file that was read, with its text for the sake of faults.
#[derive(Debug)]
pub struct Sheet {
    file: String,
    text: String,
    ini: Ini,
}

/// Bytes of a file at most: a catalogue of 100,000 titles has some 10 MB.
const LONGEST: u64 = 64 * 1024 * 1024;

impl Sheet {
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let plain = |why: String| Fault {
            file: file.clone(),
            line: 0,
            section: String::new(),
            key: String::new(),
            value: String::new(),
            why,
        };
        let size = std::fs::metadata(path).map_err(|e| plain(e.to_string()))?.len();
        if size > LONGEST {
            return Err(plain(format!("the file has {size} bytes; {LONGEST} at most are taken")).into());
        }
        let text = std::fs::read_to_string(path).map_err(|e| plain(e.to_string()))?;
        Self::parse(&file, &text)
    }

    /// `file` is only named in faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|e| Fault {
            file: file.to_owned(),
            line: e.line,
            section: String::new(),
            key: String::new(),
            value: String::new(),
            why: e.msg.to_string(),
        })?;
        let sheet = Self { file: file.to_owned(), text: text.to_owned(), ini };
        sheet.check_doubles()?;
        Ok(sheet)
    }

    pub fn file(&self) -> &str {
        &self.file
    }

    /// The sections in their order.
    pub fn sections(&self) -> impl Iterator<Item = &str> {
        self.ini.sections().flatten()
    }

    /// The names behind a kind of section: `[room_type NAME]`.
    pub fn named<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a str> {
        self.sections().filter_map(move |section| Some(section.strip_prefix(kind)?.strip_prefix(' ')?.trim()))
    }

    /// A key's value as it stands.
    pub fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section))?.get(key)
    }

    /// A section's keys by name, with their values as they stand.
    pub fn keys(&self, section: &str) -> Vec<(&str, &str)> {
        let mut keys: Vec<_> =
            self.ini.section(Some(section)).into_iter().flat_map(|keys| keys.iter()).collect();
        keys.sort_unstable();
        keys
    }

    pub fn has(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// The sections of these kinds, as text that [`Sheet::parse`] reads again.
    pub fn copy(&self, kinds: &[&str]) -> String {
        let mut text = String::new();
        for section in self.sections().filter(|section| of_kind(section, kinds)) {
            text += &format!("[{section}]\n");
            for (key, value) in self.ini.section(Some(section)).into_iter().flat_map(|keys| keys.iter()) {
                text += &format!("{key} = {value}\n");
            }
        }
        text
    }

    /// Makes a section into a type, and checks it.
    pub fn section<T>(&self, section: &str) -> Result<T, Faults>
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        let Some(keys) = self.ini.section(Some(section)) else {
            return Err(self.fault(section, "", "", "this section is missing").into());
        };
        let made: T = typed(keys.iter())
            .map_err(|Misfit { key, value, why }| Faults::from(self.fault(section, &key, &value, &why)))?;
        let Err(report) = made.validate() else { return Ok(made) };
        let faults = report.iter().map(|(path, error)| {
            let path = path.to_string();
            let key = path.split('[').next().unwrap_or("");
            self.fault(section, key, keys.get(key).unwrap_or(""), &error.to_string())
        });
        Err(Faults(faults.collect()))
    }

    /// The same, or nothing where the section is not there.
    pub fn optional_section<T>(&self, section: &str) -> Result<Option<T>, Faults>
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        self.has(section).then(|| self.section(section)).transpose()
    }

    /// The same, or its default where the section is not there.
    pub fn section_or_default<T>(&self, section: &str) -> Result<T, Faults>
    where
        T: DeserializeOwned + Validate<Context = ()> + Default,
    {
        Ok(self.optional_section(section)?.unwrap_or_default())
    }

    /// Whether all sections are of kinds that a program knows; a misspelt one would else be passed over.
    pub fn only(&self, kinds: &[&str]) -> Result<(), Faults> {
        let unknown = self.sections().filter(|section| !of_kind(section, kinds));
        let why = format!("no such section; there are {}", kinds.join(", "));
        let faults: Vec<Fault> = unknown.map(|section| self.fault(section, "", "", &why)).collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }

    /// A fault at a key of a section, with its line.
    pub fn fault(&self, section: &str, key: &str, value: &str, why: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            line: self.line(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            why: why.to_owned(),
        }
    }

    /// The line of a key, or of its section where the key is not there; 0 where neither is.
    fn line(&self, section: &str, key: &str) -> usize {
        let (mut within, mut found) = (false, 0);
        for (at, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                within = name.trim() == section;
                found = if within && found == 0 { at + 1 } else { found };
            } else if within && !key.is_empty() && key_of(line) == Some(key) {
                return at + 1;
            }
        }
        found
    }

    /// A section or key that is given twice: which one holds would be a guess.
    fn check_doubles(&self) -> Result<(), Faults> {
        let mut faults = Vec::new();
        let mut headings = std::collections::BTreeSet::new();
        let mut keys = std::collections::BTreeSet::new();
        let mut section = String::new();
        for (at, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let (key, first) = match line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                Some(name) => {
                    section = name.trim().to_owned();
                    ("", headings.insert(section.clone()))
                }
                None => match key_of(line) {
                    Some(key) => (key, keys.insert((section.clone(), key.to_owned()))),
                    None => continue,
                },
            };
            if !first {
                let fault = self.fault(&section, key, "", "this is given twice");
                faults.push(Fault { line: at + 1, ..fault });
            }
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }
}

fn key_of(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    Some(line.split_once('=')?.0.trim())
}

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
        let sheet = Sheet::parse("a.ini", text).map_err(|faults| faults.to_string())?;
        sheet.section("rates").map_err(|faults| faults.to_string())
    }

    #[test]
    fn a_section_becomes_a_checked_structure() {
        let read = rates("; rates\n[rates]\nrates = 1, 2.5\ntop = 2\nname = 7\nweights = none\n");
        let name = Some("7".to_owned());
        assert_eq!(read, Ok(Rates { rates: vec![1.0, 2.5], top: 2, name, weights: "none".to_owned() }));
    }

    #[test]
    fn a_fault_names_file_line_key_value_and_range() {
        let fault = |text: &str| rates(text).unwrap_err();
        assert_eq!(
            fault("[rates]\nrates = 1, 99\ntop = 2\nweights = none"),
            "a.ini:2: [rates] rates = 1, 99: 1 to 10 is taken"
        );
        assert_eq!(
            fault("[rates]\nrates = 1\ntop = many\nweights = none"),
            "a.ini:3: [rates] top = many: a whole number of 0 to 255 is taken"
        );
        assert_eq!(
            fault("[rates]\nrates = 1\nrung = 1\nweights = none"),
            "a.ini:3: [rates] rung: no such key; there are rates, top, name, weights"
        );
        assert_eq!(fault("[rates]\ntop = 1\nweights = none"), "a.ini:1: [rates] rates: this key is missing");
        assert_eq!(
            fault("[rates]\nrates = 1\ntop = 9\nweights = all"),
            "a.ini:3: [rates] top = 9: 1 to 8 is taken\n\
             a.ini:4: [rates] weights = all: one of none, nominal is taken"
        );
        assert_eq!(fault("[rate]\n"), "a.ini: [rates]: this section is missing");
        assert_eq!(
            fault("[rates]\ntop = 1\ntop = 2\n[rates]\n"),
            "a.ini:3: [rates] top: this is given twice\na.ini:4: [rates]: this is given twice"
        );
        assert!(fault("[rates\nrates = 1").starts_with("a.ini:"));
    }

    #[test]
    fn unknown_sections_are_told_and_known_ones_copied() {
        let sheet =
            Sheet::parse("a.ini", "[fleet]\ncells = 3\n[room_type a b]\nbenefit = 1\n[typo]\n").unwrap();
        assert_eq!(sheet.named("room_type").collect::<Vec<_>>(), ["a b"]);
        let faults = sheet.only(&["fleet", "room_type"]).unwrap_err().to_string();
        assert_eq!(faults, "a.ini:5: [typo]: no such section; there are fleet, room_type");
        assert_eq!(sheet.copy(&["room_type"]), "[room_type a b]\nbenefit = 1\n");
    }
}
