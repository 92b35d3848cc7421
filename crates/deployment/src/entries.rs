//! Converts the canonical text of a configuration into entries of a key-value state, and back.
//!
//! | key | value |
//! |---|---|
//! | `SECTION<tab>` | the section's position among those of its kind, in decimal: room types are numbered by it |
//! | `SECTION<tab>KEY` | the value of a setting |
//! | `title ID` | the lines of a title |
//!
//! A section exists if its entry `SECTION<tab>` does. Two sections with the same position, as two authors may
//! add them, are sorted by name. Keys that begin with a NUL byte belong to the protocol that distributes the
//! state, and are ignored here.

use std::collections::BTreeMap;

use badgerledge_catalogue::{Catalogue, Title};
use badgerledge_distribution::state::Entry;
use badgerledge_settings::IniFile;
use thiserror::Error;

use crate::kinds::canonical_value;
use crate::{RevisionText, SHARED_SECTIONS};

/// Separates section and name in the key of a setting.
const SEPARATOR: char = '\t';
/// Prefix of the key of a title.
const TITLE: &str = "title ";
/// Prefix of the keys that belong to the distribution protocol.
const RESERVED: char = '\0';

/// Why entries do not form a configuration, or a text can not be converted into entries.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntriesError {
    #[error("{0}")]
    Text(String),
    #[error("entry {0:?}: not the key of a setting or a title")]
    Key(String),
    #[error("entry {key:?}: {reason}")]
    Value { key: String, reason: &'static str },
    #[error("entry {key:?}: there is no entry for its section, with the key {section:?} and a tab")]
    NoSection { key: String, section: String },
    #[error("the entries of titles are not in canonical form: {0}")]
    Titles(String),
}

/// The entries of a canonical text, which preserve the order of sections.
///
/// # Errors
/// If the text is not a valid configuration in canonical form.
pub fn entries_from_text(text: &str) -> Result<Vec<Entry>, EntriesError> {
    RevisionText::read(text.as_bytes()).map_err(EntriesError::Text)?;
    let (settings, titles) = RevisionText::split(text);
    let mut entries = settings_entries(settings)?;
    entries.extend(title_entries(titles));
    Ok(entries)
}

/// The entries of titles in canonical form.
pub fn title_entries(titles: &str) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut lines = titles.split_inclusive('\n').peekable();
    while let Some(heading) = lines.next() {
        let name = heading.trim_end().trim_start_matches('[').trim_end_matches(']');
        let mut value = Vec::new();
        while let Some(line) = lines.next_if(|line| !line.starts_with('[')) {
            value.extend_from_slice(line.as_bytes());
        }
        entries.push(Entry { key: name.to_owned(), value });
    }
    entries
}

fn settings_entries(settings: &str) -> Result<Vec<Entry>, EntriesError> {
    let sheet =
        IniFile::parse("settings", settings).map_err(|faults| EntriesError::Text(faults.to_string()))?;
    let mut positions: BTreeMap<&str, usize> = BTreeMap::new();
    let mut entries = Vec::new();
    for section in sheet.sections() {
        let position = positions.entry(family(section)).or_default();
        entries.push(setting_entry(section, "", &position.to_string()));
        *position += 1;
        for (key, value) in sheet.keys(section) {
            entries.push(setting_entry(section, key, value));
        }
    }
    Ok(entries)
}

fn setting_entry(section: &str, key: &str, value: &str) -> Entry {
    Entry { key: setting_key(section, key), value: value.as_bytes().to_vec() }
}

/// The key of a setting's entry, or of its section's entry if `name` is empty.
pub fn setting_key(section: &str, name: &str) -> String {
    format!("{section}{SEPARATOR}{name}")
}

/// The kind of section without its name: `room_type` of `room_type NAME`.
fn family(section: &str) -> &str {
    section.split(' ').next().unwrap_or(section)
}

/// The section and the name in the key of a setting's entry; `None` if the key is not that of a setting.
pub fn split_setting_key(key: &str) -> Option<(&str, &str)> {
    key.split_once(SEPARATOR)
}

/// A section collected from entries: its position among those of its kind, and its settings by key.
#[derive(Default)]
struct Section<'a> {
    position: Option<u32>,
    settings: BTreeMap<&'a str, &'a str>,
}

/// The canonical text of a state's entries. [`RevisionText::read`] checks whether it is a valid
/// configuration.
///
/// # Errors
/// Names the entry that can not be part of a configuration.
pub fn text_from_entries<'a>(
    entries: impl IntoIterator<Item = (&'a str, &'a [u8])>,
) -> Result<String, EntriesError> {
    let mut sections: BTreeMap<&str, Section> = BTreeMap::new();
    let mut titles = Vec::new();
    for (key, value) in entries.into_iter().filter(|(key, _)| !is_reserved(key)) {
        if key.starts_with(TITLE) {
            titles.push((key, value_text(key, value)?));
            continue;
        }
        let (section, name) = split_setting_key(key).ok_or_else(|| EntriesError::Key(key.to_owned()))?;
        let value = checked_setting(key, section, name, value)?;
        let section = sections.entry(section).or_default();
        if name.is_empty() {
            section.position = Some(parse_position(key, value)?);
        } else {
            section.settings.insert(name, value);
        }
    }
    Ok(settings_text(&sections)? + &titles_text(titles)?)
}

fn settings_text(sections: &BTreeMap<&str, Section>) -> Result<String, EntriesError> {
    let mut ordered = Vec::new();
    for (name, section) in sections {
        let rank = SHARED_SECTIONS.iter().position(|known| *known == family(name)).unwrap_or(usize::MAX);
        let Some(position) = section.position else {
            let first = section.settings.keys().next().copied().unwrap_or_default();
            let key = format!("{name}{SEPARATOR}{first}");
            return Err(EntriesError::NoSection { key, section: (*name).to_owned() });
        };
        ordered.push((rank, position, *name, section));
    }
    ordered.sort_unstable_by_key(|(rank, position, name, _)| (*rank, *position, *name));
    let mut text = String::new();
    for (_, _, name, section) in ordered {
        text += &format!("[{name}]\n");
        for (key, value) in &section.settings {
            text += &format!("{key} = {value}\n");
        }
    }
    Ok(text)
}

/// Parses an entry as a title with its id; `None` if the key is not that of a title.
///
/// # Errors
/// If the key or the value is not in canonical form.
pub fn parse_title(key: &str, value: &[u8]) -> Result<Option<(u64, Title)>, EntriesError> {
    let Some(id) = title_id(key)? else { return Ok(None) };
    let text = format!("[{key}]\n{}", value_text(key, value)?);
    let catalogue =
        Catalogue::parse_canonical(&text).filter(|parsed| parsed.len() == 1 && parsed.text() == text);
    let title = catalogue.as_ref().and_then(|catalogue| catalogue.title(id));
    match title {
        Some(title) => Ok(Some((id, title.clone()))),
        None => Err(EntriesError::Titles(titles_fault(&text))),
    }
}

/// The id in the key of a title; `None` if the key is not that of a title.
///
/// # Errors
/// If the id is not in canonical form.
pub fn title_id(key: &str) -> Result<Option<u64>, EntriesError> {
    let Some(digits) = key.strip_prefix(TITLE) else { return Ok(None) };
    let id = u64::from_str_radix(digits, 16).ok().filter(|id| format!("{id:x}") == digits);
    id.map(Some).ok_or_else(|| EntriesError::Key(key.to_owned()))
}

/// Whether a key belongs to the distribution protocol.
pub fn is_reserved(key: &str) -> bool {
    key.starts_with(RESERVED)
}

/// The text of titles, sorted by id. Each entry must be exactly one title, so that no value can insert
/// another section.
fn titles_text(titles: Vec<(&str, &str)>) -> Result<String, EntriesError> {
    let count = titles.len();
    let mut by_id = Vec::with_capacity(count);
    for (key, value) in titles {
        let id = title_id(key)?.ok_or_else(|| EntriesError::Key(key.to_owned()))?;
        by_id.push((id, value));
    }
    by_id.sort_unstable_by_key(|(id, _)| *id);
    let mut text = String::new();
    for (id, value) in by_id {
        text += &format!("[{TITLE}{id:x}]\n{value}");
    }
    match Catalogue::parse_canonical(&text) {
        Some(parsed) if parsed.len() == count && parsed.text() == text => Ok(text),
        _ => Err(EntriesError::Titles(titles_fault(&text))),
    }
}

/// The error in an invalid text of titles. Parses it again as an [`IniFile`], which knows the line.
fn titles_fault(text: &str) -> String {
    match IniFile::parse("titles", text).and_then(|sheet| Catalogue::from_sheet(&sheet)) {
        Err(faults) => faults.to_string(),
        Ok(_) => "a title has the lines copies, first_cell and room_type, and no others".to_owned(),
    }
}

fn value_text<'a>(key: &str, value: &'a [u8]) -> Result<&'a str, EntriesError> {
    std::str::from_utf8(value)
        .map_err(|_| EntriesError::Value { key: key.to_owned(), reason: "the value is not UTF-8" })
}

/// The value of a setting, after checking that neither it nor its key can be read as another line of the
/// text.
fn checked_setting<'a>(
    key: &str, section: &str, name: &str, value: &'a [u8],
) -> Result<&'a str, EntriesError> {
    let value = value_text(key, value)?;
    let value_fault = |reason| EntriesError::Value { key: key.to_owned(), reason };
    if key.chars().chain(value.chars()).any(|c| c.is_control() && c != SEPARATOR) || name.contains(SEPARATOR)
    {
        return Err(value_fault("control characters are not allowed"));
    }
    if value.contains(SEPARATOR) || canonical_value(value) != value {
        return Err(value_fault(
            "the value is not in canonical form: list elements are separated by a comma and one blank",
        ));
    }
    let normalized = section.split_whitespace().collect::<Vec<_>>().join(" ");
    if !SHARED_SECTIONS.contains(&family(section)) || normalized != section || section.contains([']', '[']) {
        return Err(value_fault("there is no such section"));
    }
    if name.trim() != name || name.contains(['=', ':']) || name.starts_with([';', '#', '[']) {
        return Err(value_fault("no setting has such a name"));
    }
    Ok(value)
}

fn parse_position(key: &str, value: &str) -> Result<u32, EntriesError> {
    let reason = "the position of a section is a whole number without leading zeros";
    let position_fault = || EntriesError::Value { key: key.to_owned(), reason };
    let position: u32 = value.parse().map_err(|_| position_fault())?;
    if position.to_string() == value {
        Ok(position)
    } else {
        Err(position_fault())
    }
}
