//! The canonical text of a configuration as entries of a key-value state, and back.
//!
//! | key | value |
//! |---|---|
//! | `SECTION<tab>` | the section's place among those of its family, in decimal: room types are numbered by it |
//! | `SECTION<tab>KEY` | the value of a setting |
//! | `title ID` | the lines of a title |
//!
//! A section exists where its first entry does. Two sections with the same place, as two authors may add them, stand in
//! the order of their names. Keys that begin with a NUL byte belong to the protocol that distributes the state and are
//! passed over.

use std::collections::BTreeMap;

use badgerledge_catalogue::{Catalogue, Title};
use badgerledge_distribution::state::Entry;
use badgerledge_settings::Sheet;
use thiserror::Error;

use crate::kinds::plain;
use crate::{Text, SHARED_SECTIONS};

/// Ends the section's name in the key of a setting.
const SEPARATOR: char = '\t';
/// Begins the key of a title.
const TITLE: &str = "title ";
/// Begins the protocol's own keys.
const RESERVED: char = '\0';

/// Why entries are not those of a configuration, or a text has none.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntriesFault {
    #[error("{0}")]
    Text(String),
    #[error("entry {0:?}: no key of a setting or a title")]
    Key(String),
    #[error("entry {key:?}: {reason}")]
    Value { key: String, reason: &'static str },
    #[error("entry {key:?}: there is no entry for its section, whose key is {section:?} and a tab")]
    NoSection { key: String, section: String },
    #[error("the entries of titles are not in canonical form: {0}")]
    Titles(String),
}

/// The entries of a canonical text. The order of sections is kept in them.
///
/// # Errors
/// Where the text is not a configuration in canonical form.
pub fn entries_of(text: &str) -> Result<Vec<Entry>, EntriesFault> {
    Text::read(text.as_bytes()).map_err(EntriesFault::Text)?;
    let (settings, titles) = Text::split(text);
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

fn settings_entries(settings: &str) -> Result<Vec<Entry>, EntriesFault> {
    let sheet =
        Sheet::parse("settings", settings).map_err(|faults| EntriesFault::Text(faults.to_string()))?;
    let mut places: BTreeMap<&str, usize> = BTreeMap::new();
    let mut entries = Vec::new();
    for section in sheet.sections() {
        let place = places.entry(family(section)).or_default();
        entries.push(setting(section, "", &place.to_string()));
        *place += 1;
        for (key, value) in sheet.keys(section) {
            entries.push(setting(section, key, value));
        }
    }
    Ok(entries)
}

fn setting(section: &str, key: &str, value: &str) -> Entry {
    Entry { key: setting_key(section, key), value: value.as_bytes().to_vec() }
}

/// The key of a setting's entry; of the entry of its section where the setting's name is empty.
pub fn setting_key(section: &str, name: &str) -> String {
    format!("{section}{SEPARATOR}{name}")
}

fn family(section: &str) -> &str {
    section.split(' ').next().unwrap_or(section)
}

/// The section and the name of a setting's entry, by its key; nothing where the key is none of a setting.
pub fn setting_of(key: &str) -> Option<(&str, &str)> {
    key.split_once(SEPARATOR)
}

/// One section on its way into a text: its place among those of its family, and its settings by key.
#[derive(Default)]
struct Section<'a> {
    place: Option<u32>,
    settings: BTreeMap<&'a str, &'a str>,
}

/// The text that entries stand for, in canonical form. Whether a controller can act on it is for [`Text::read`] to say.
///
/// # Errors
/// Names the entry that is not one of a configuration.
pub fn text_of<'a>(entries: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Result<String, EntriesFault> {
    let mut sections: BTreeMap<&str, Section> = BTreeMap::new();
    let mut titles = Vec::new();
    for (key, value) in entries.into_iter().filter(|(key, _)| !is_reserved(key)) {
        if key.starts_with(TITLE) {
            titles.push((key, value_text(key, value)?));
            continue;
        }
        let (section, name) = setting_of(key).ok_or_else(|| EntriesFault::Key(key.to_owned()))?;
        let value = checked_setting(key, section, name, value)?;
        let section = sections.entry(section).or_default();
        if name.is_empty() {
            section.place = Some(place_of(key, value)?);
        } else {
            section.settings.insert(name, value);
        }
    }
    Ok(settings_text(&sections)? + &titles_text(titles)?)
}

fn settings_text(sections: &BTreeMap<&str, Section>) -> Result<String, EntriesFault> {
    let mut ordered = Vec::new();
    for (name, section) in sections {
        let rank = SHARED_SECTIONS.iter().position(|known| *known == family(name)).unwrap_or(usize::MAX);
        let Some(place) = section.place else {
            let first = section.settings.keys().next().copied().unwrap_or_default();
            let key = format!("{name}{SEPARATOR}{first}");
            return Err(EntriesFault::NoSection { key, section: (*name).to_owned() });
        };
        ordered.push((rank, place, *name, section));
    }
    ordered.sort_unstable_by_key(|(rank, place, name, _)| (*rank, *place, *name));
    let mut text = String::new();
    for (_, _, name, section) in ordered {
        text += &format!("[{name}]\n");
        for (key, value) in &section.settings {
            text += &format!("{key} = {value}\n");
        }
    }
    Ok(text)
}

/// The title that an entry's key and value stand for; nothing where the key is not one of a title.
///
/// # Errors
/// Where the key or the value is not in canonical form.
pub fn title_of(key: &str, value: &[u8]) -> Result<Option<(u64, Title)>, EntriesFault> {
    let Some(id) = title_id(key)? else { return Ok(None) };
    let text = format!("[{key}]\n{}", value_text(key, value)?);
    let catalogue = Catalogue::parse_canonical(&text).filter(|read| read.len() == 1 && read.text() == text);
    let title = catalogue.as_ref().and_then(|read| read.title(id));
    match title {
        Some(title) => Ok(Some((id, title.clone()))),
        None => Err(EntriesFault::Titles(titles_fault(&text))),
    }
}

/// The id in the key of a title; nothing where the key is not one of a title.
///
/// # Errors
/// Where the id is not in canonical form.
pub fn title_id(key: &str) -> Result<Option<u64>, EntriesFault> {
    let Some(digits) = key.strip_prefix(TITLE) else { return Ok(None) };
    let id = u64::from_str_radix(digits, 16).ok().filter(|id| format!("{id:x}") == digits);
    id.map(Some).ok_or_else(|| EntriesFault::Key(key.to_owned()))
}

/// Whether a key is the protocol's own.
pub fn is_reserved(key: &str) -> bool {
    key.starts_with(RESERVED)
}

/// Titles by their ids. Each entry must be exactly one title, so that no value can bring another section in.
fn titles_text(titles: Vec<(&str, &str)>) -> Result<String, EntriesFault> {
    let count = titles.len();
    let mut by_id = Vec::with_capacity(count);
    for (key, value) in titles {
        let id = title_id(key)?.ok_or_else(|| EntriesFault::Key(key.to_owned()))?;
        by_id.push((id, value));
    }
    by_id.sort_unstable_by_key(|(id, _)| *id);
    let mut text = String::new();
    for (id, value) in by_id {
        text += &format!("[{TITLE}{id:x}]\n{value}");
    }
    match Catalogue::parse_canonical(&text) {
        Some(read) if read.len() == count && read.text() == text => Ok(text),
        _ => Err(EntriesFault::Titles(titles_fault(&text))),
    }
}

/// What is wrong with the text of titles: the sheet knows the line.
fn titles_fault(text: &str) -> String {
    match Sheet::parse("titles", text).and_then(|sheet| Catalogue::from_sheet(&sheet)) {
        Err(faults) => faults.to_string(),
        Ok(_) => "a title has the lines copies, first_cell and room_type, and no others".to_owned(),
    }
}

fn value_text<'a>(key: &str, value: &'a [u8]) -> Result<&'a str, EntriesFault> {
    std::str::from_utf8(value)
        .map_err(|_| EntriesFault::Value { key: key.to_owned(), reason: "the value is not UTF-8" })
}

/// A setting's value, if neither it nor its key could be taken for another line of a text.
fn checked_setting<'a>(
    key: &str, section: &str, name: &str, value: &'a [u8],
) -> Result<&'a str, EntriesFault> {
    let value = value_text(key, value)?;
    let wrong = |reason| EntriesFault::Value { key: key.to_owned(), reason };
    if key.chars().chain(value.chars()).any(|c| c.is_control() && c != SEPARATOR) || name.contains(SEPARATOR)
    {
        return Err(wrong("control characters are not allowed"));
    }
    if value.contains(SEPARATOR) || plain(value) != value {
        return Err(wrong(
            "the value is not in canonical form: a list has its values after a comma and a blank",
        ));
    }
    let words = section.split_whitespace().collect::<Vec<_>>().join(" ");
    if !SHARED_SECTIONS.contains(&family(section)) || words != section || section.contains([']', '[']) {
        return Err(wrong("there is no such section"));
    }
    if name.trim() != name || name.contains(['=', ':']) || name.starts_with([';', '#', '[']) {
        return Err(wrong("no setting has such a name"));
    }
    Ok(value)
}

fn place_of(key: &str, value: &str) -> Result<u32, EntriesFault> {
    let reason = "the place of a section is a whole number without leading zeros";
    let wrong = || EntriesFault::Value { key: key.to_owned(), reason };
    let place: u32 = value.parse().map_err(|_| wrong())?;
    if place.to_string() == value {
        Ok(place)
    } else {
        Err(wrong())
    }
}
