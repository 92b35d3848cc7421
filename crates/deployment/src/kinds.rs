//! Classifies each key of the shared sections by what controllers may do while they do not all apply the same
//! revision, and computes the text that is safe to apply while a change has reached only some of them.

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_catalogue::Catalogue;
use badgerledge_settings::{Faults, IniFile};

use crate::{Permissions, Rules, Shared, REVISED_SECTIONS, SHARED_SECTIONS};

/// Whether two controllers may apply different values of a key at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The values may differ indefinitely: they change what is chosen, and break no rule.
    Free,
    /// The stricter value is safe beside the other: a controller applies it until the change is confirmed.
    Stricter(Side),
    /// The two values must never be applied at the same time.
    Exclusive,
}

/// Which of two values is the stricter one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    Lower,
    Higher,
    /// The lower one, except that 0 means no limit.
    LowerOrUnlimited,
    /// `false`: the action is not permitted.
    False,
}

use Kind::{Exclusive, Free, Stricter};
use Side::{False, Higher, Lower, LowerOrUnlimited};

/// Section, key and kind of each key of the shared sections and titles, in the order of the sections. A test
/// compares it with the types of the sections.
pub const KINDS: [(&str, &str, Kind); 52] = [
    // Names whose position is the number by which controllers refer to them.
    ("fleet", "zones", Exclusive),
    ("fleet", "kinds", Exclusive),
    ("fleet", "kind_streams", Stricter(Lower)),
    // Decide which streamers hold a title, and which share an uplink.
    ("fleet", "cells", Exclusive),
    ("fleet", "racks", Exclusive),
    ("fleet", "link_unit_kb", Stricter(Lower)),
    ("fleet", "links_kb", Free),
    ("fleet", "uplink_kb", Stricter(Lower)),
    ("fleet", "weights", Free),
    ("fleet", "report", Free),
    ("fleet", "report_how", Free),
    ("fleet", "told_late_ms", Free),
    ("fleet", "told_every_ms", Free),
    ("fleet", "discovery", Free),
    // The number of a rung tells a streamer which rate to send.
    ("ladder", "rates_kb", Exclusive),
    ("ladder", "benefit", Free),
    ("ladder", "switch_cost_s", Free),
    ("ladder", "stall", Free),
    ("room_type", "join_objective_ms", Free),
    ("room_type", "client_timeout_ms", Free),
    ("room_type", "benefit", Free),
    // Any controller may take over a viewer, so all must agree on whether its SETUP may be sent again.
    ("room_type", "set_up_again", Exclusive),
    ("room_type", "group", Exclusive),
    ("room_type", "window_ms", Stricter(Lower)),
    ("room_type", "scale", Exclusive),
    ("room_type", "floor", Stricter(Higher)),
    ("room_type", "top", Stricter(Lower)),
    ("room_type", "seats", Stricter(LowerOrUnlimited)),
    ("room_type", "live", Free),
    ("rules", "drain_grace_ms", Stricter(Lower)),
    ("rules", "warm_up_ms", Stricter(Higher)),
    ("rules", "cold_from", Stricter(Lower)),
    ("rules", "tip_multiple", Stricter(Lower)),
    ("rules", "tip_after_ms", Stricter(Lower)),
    ("rules", "budget_window_ms", Stricter(Higher)),
    ("rules", "budget_few", Stricter(Lower)),
    ("rules", "budget_share", Stricter(Lower)),
    ("permissions", "probes", Stricter(False)),
    ("permissions", "peers", Stricter(False)),
    ("permissions", "retry_after", Free),
    ("permissions", "max_retry_after_ms", Free),
    ("permissions", "joins", Stricter(Lower)),
    ("permissions", "connect_timeout_ms", Free),
    ("prices", "moves", Free),
    ("prices", "probe", Free),
    ("prices", "crossing", Free),
    // Controllers divide one budget: with different budgets, one would lend a share that it does not have.
    ("crossing", "rate_kb_s", Exclusive),
    ("crossing", "burst_kb", Exclusive),
    ("crossing", "per", Exclusive),
    // Decide which streamers hold a title, and under which rules it plays. Adding or removing a title is
    // free: one that some controllers still serve does no harm at the others.
    ("title", "room_type", Exclusive),
    ("title", "first_cell", Exclusive),
    ("title", "copies", Exclusive),
];

/// The kind of a key. An empty key stands for the section itself: adding, removing or reordering it is
/// exclusive, except for titles, where it is free.
pub fn kind_of(section: &str, key: &str) -> Kind {
    let family = family(section);
    if family == "title" && key.is_empty() {
        return Free;
    }
    let found =
        KINDS.iter().find(|(known_family, known_key, _)| (*known_family, *known_key) == (family, key));
    found.map_or(Exclusive, |found| found.2)
}

/// A key with different values in two texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub section: String,
    /// Empty for a change of the section itself.
    pub key: String,
    /// The old value; `None` if the old text does not give the key, so that its default applies.
    pub from: Option<String>,
    /// The new value; `None` if the new text does not give the key, so that its default applies.
    pub to: Option<String>,
    pub kind: Kind,
}

/// The kind of section without its name: `room_type` of `room_type NAME`.
fn family(section: &str) -> &str {
    section.split(' ').next().unwrap_or(section)
}

/// The canonical text of a revision: the shared sections of a file and its titles, so that equal
/// configurations have equal texts. Sections are in the order of [`REVISED_SECTIONS`], room types in the
/// order of the file, titles sorted by id, keys sorted by name, and values without extra blanks.
pub fn canonical(sheet: &IniFile) -> String {
    let mut text = String::new();
    for shared_family in SHARED_SECTIONS {
        for section in sheet.sections().filter(|section| family(section) == shared_family) {
            text += &format!("[{}]\n", section.split_whitespace().collect::<Vec<_>>().join(" "));
            for (key, value) in sheet.keys(section) {
                text += &format!("{key} = {}\n", canonical_value(value));
            }
        }
    }
    // Invalid titles have no canonical form: they are copied, and reported when the text is read.
    match Catalogue::from_sections(sheet) {
        Ok(titles) => text + &titles.text(),
        Err(_) => text + &sheet.copy_sections(&["title"]),
    }
}

/// A value in canonical form: list elements separated by a comma and one blank, without other blanks around
/// them.
pub fn canonical_value(value: &str) -> String {
    value.split(',').map(str::trim).collect::<Vec<_>>().join(", ")
}

/// Values in canonical form, by section and key.
type Values = BTreeMap<(String, String), String>;

/// The values of all sections that are part of a revision.
fn values(sheet: &IniFile) -> Values {
    let section_values = |section: &str| -> Vec<((String, String), String)> {
        let keys = sheet.keys(section).into_iter();
        keys.map(|(key, value)| ((section.to_owned(), key.to_owned()), canonical_value(value))).collect()
    };
    sheet.sections().filter(|section| is_revised(section)).flat_map(section_values).collect()
}

/// Whether a section is part of a revision.
fn is_revised(section: &str) -> bool {
    REVISED_SECTIONS.contains(&family(section))
}

/// The position of each section: a room type's number, or `there` for sections whose order has no meaning.
fn positions(sheet: &IniFile) -> BTreeMap<&str, String> {
    let mut room_type_numbers = 0..;
    let position = |section| match family(section) {
        "room_type" => format!("number {}", room_type_numbers.next().unwrap_or(0)),
        _ => "there".to_owned(),
    };
    let sections: Vec<&str> = sheet.sections().filter(|section| is_revised(section)).collect();
    let positions: Vec<String> = sections.iter().copied().map(position).collect();
    sections.into_iter().zip(positions).collect()
}

/// All differences between two texts, sorted by section and key. Sections that were added, removed or
/// reordered come first, with an empty key.
pub fn changes(from: &IniFile, to: &IniFile) -> Vec<Change> {
    let mut changes = Vec::new();
    let (old, new) = (positions(from), positions(to));
    let sections: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    for section in &sections {
        let (from, to) = (old.get(section).cloned(), new.get(section).cloned());
        if from != to {
            let kind = kind_of(section, "");
            changes.push(Change { section: (*section).to_owned(), key: String::new(), from, to, kind });
        }
    }
    let in_both = |section: &str| old.contains_key(section) && new.contains_key(section);
    let (old, new) = (values(from), values(to));
    let section_keys: BTreeSet<&(String, String)> = old.keys().chain(new.keys()).collect();
    for section_key in section_keys {
        let (from, to) = (old.get(section_key).cloned(), new.get(section_key).cloned());
        if from != to {
            // The keys of a title that is added or removed are as free as the title itself.
            let whole_title = family(&section_key.0) == "title" && !in_both(&section_key.0);
            let kind = if whole_title { Free } else { kind_of(&section_key.0, &section_key.1) };
            changes.push(Change {
                section: section_key.0.clone(),
                key: section_key.1.clone(),
                from,
                to,
                kind,
            });
        }
    }
    changes
}

/// The text that a controller applies while a change may not have reached all others: new values of free
/// keys, the stricter value of others, and old values of exclusive keys. `default_of` gives the defaults of
/// keys that a text does not give.
pub fn transition_text(
    from: &IniFile, to: &IniFile, default_of: &dyn Fn(&str, &str) -> Option<String>,
) -> String {
    let mut chosen = values(from);
    for change in changes(from, to).iter().filter(|change| !change.key.is_empty()) {
        let section_key = (change.section.clone(), change.key.clone());
        let value_or_default =
            |value: &Option<String>| value.clone().or_else(|| default_of(&change.section, &change.key));
        let value = match change.kind {
            Exclusive => continue,
            Free => change.to.clone(),
            Stricter(side) => match (value_or_default(&change.from), value_or_default(&change.to)) {
                (Some(old), Some(new)) => Some(stricter(side, &old, &new)),
                // A key without a default is unlimited if it is not given, so the given value is the stricter
                // one.
                (old, new) => old.or(new),
            },
        };
        match value {
            // Only sections that exist already: adding one is exclusive.
            Some(value) if from.has(&change.section) || family(&change.section) == "title" => {
                drop(chosen.insert(section_key, value))
            }
            _ => drop(chosen.remove(&section_key)),
        }
    }
    let titles = to.sections().filter(|section| family(section) == "title");
    let sections = from.sections().filter(|section| is_revised(section) && family(section) != "title");
    let mut text = String::new();
    for section in sections.chain(titles) {
        text += &format!("[{section}]\n");
        let (first, last) = ((section.to_owned(), String::new()), (format!("{section}\0"), String::new()));
        for ((_, key), value) in chosen.range(first..last) {
            text += &format!("{key} = {value}\n");
        }
    }
    text
}

/// Whether a change contains an exclusive one.
pub fn is_exclusive(from: &IniFile, to: &IniFile) -> bool {
    changes(from, to).iter().any(|change| change.kind == Exclusive)
}

/// The stricter of two values; of lists element by element, or the old one if their lengths differ.
fn stricter(side: Side, old: &str, new: &str) -> String {
    let (old_elements, new_elements): (Vec<&str>, Vec<&str>) =
        (old.split(", ").collect(), new.split(", ").collect());
    if old_elements.len() != new_elements.len() {
        return old.to_owned();
    }
    let stricter_of_pair = |(old, new): (&&str, &&str)| stricter_element(side, old, new).to_owned();
    old_elements.iter().zip(&new_elements).map(stricter_of_pair).collect::<Vec<_>>().join(", ")
}

fn stricter_element<'a>(side: Side, old: &'a str, new: &'a str) -> &'a str {
    let number = |text: &str| text.parse::<f64>().unwrap_or(f64::NAN);
    let (old_number, new_number) = (number(old), number(new));
    let old_is_stricter = match side {
        Lower => old_number <= new_number,
        Higher => old_number >= new_number,
        LowerOrUnlimited if old_number == 0.0 || new_number == 0.0 => new_number == 0.0,
        LowerOrUnlimited => old_number <= new_number,
        False => old == "false",
    };
    if old_is_stricter {
        old
    } else {
        new
    }
}

/// Validates the settings and titles of a revision's text.
///
/// # Errors
/// Returns what is invalid by itself, and a title whose room type is not in the settings.
pub fn read_revision(sheet: &IniFile) -> Result<(Shared, Catalogue), Faults> {
    let (shared, titles) = Faults::combine(Shared::of(sheet), Catalogue::from_sections(sheet))?;
    let without_type = titles.titles().filter(|(_, title)| shared.room_type(&title.room_type).is_none());
    // Only the first one is reported: finding the line of each takes a search through the whole text.
    let fault = without_type.take(1).map(|(id, title)| {
        let section = sheet.section_names("title").find(|name| u64::from_str_radix(name, 16) == Ok(id));
        let section = format!("title {}", section.unwrap_or_default());
        sheet.fault(&section, "room_type", &title.room_type, "there is no room type of this name")
    });
    let faults: Vec<_> = fault.collect();
    if faults.is_empty() {
        Ok((shared, titles))
    } else {
        Err(Faults(faults))
    }
}

/// Defaults of the keys of kind [`Kind::Stricter`]; `None` for keys that are unlimited if not given.
pub fn default_of(section: &str, key: &str) -> Option<String> {
    let (rules, permissions) = (Rules::default(), Permissions::default());
    let family = section.split(' ').next().unwrap_or(section);
    Some(match (family, key) {
        ("room_type", "window_ms") => "5000".to_owned(),
        ("room_type", "floor" | "seats") => "0".to_owned(),
        ("rules", "drain_grace_ms") => rules.drain_grace_ms.to_string(),
        ("rules", "warm_up_ms") => rules.warm_up_ms.to_string(),
        ("rules", "cold_from") => rules.cold_from.to_string(),
        ("rules", "tip_multiple") => rules.tip_multiple.to_string(),
        ("rules", "tip_after_ms") => rules.tip_after_ms.to_string(),
        ("rules", "budget_window_ms") => rules.budget_window_ms.to_string(),
        ("rules", "budget_few") => rules.budget_few.to_string(),
        ("rules", "budget_share") => rules.budget_share.to_string(),
        ("permissions", "probes") => permissions.probes.to_string(),
        ("permissions", "peers") => permissions.peers.to_string(),
        ("permissions", "joins") => permissions.joins.to_string(),
        _ => return None,
    })
}
