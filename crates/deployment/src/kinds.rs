//! What each key of the shared sections may be while controllers do not all act on the same revision, and the text
//! that one acts on who has heard of a change that others may not have heard of.

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_catalogue::Catalogue;
use badgerledge_settings::{Faults, Sheet};

use crate::{Permissions, Rules, Shared, REVISED_SECTIONS, SHARED_SECTIONS};

/// What two controllers may do with different values of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// They may differ for good: it changes what is chosen, and breaks no rule.
    Free,
    /// One value is safe beside the other: who is unsure keeps to the stricter one.
    Stricter(Side),
    /// Both at once must not be acted on.
    Exclusive,
}

/// Which value is the stricter one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    Lower,
    Higher,
    /// The lower one, where 0 is no bound at all.
    LowerBut0,
    /// `false`: what is not permitted is not done.
    False,
}

use Kind::{Exclusive, Free, Stricter};
use Side::{False, Higher, Lower, LowerBut0};

/// Each key of each shared section, in the order of the sections. A test holds it against the sections themselves.
pub const KINDS: [(&str, &str, Kind); 52] = [
    // Names and places of all that is counted by number.
    ("fleet", "zones", Exclusive),
    ("fleet", "kinds", Exclusive),
    ("fleet", "kind_streams", Stricter(Lower)),
    // Which streamers hold a title, and which share an uplink.
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
    // A rung's number says to a streamer which rate it sends.
    ("ladder", "rates_kb", Exclusive),
    ("ladder", "benefit", Free),
    ("ladder", "switch_cost_s", Free),
    ("ladder", "stall", Free),
    ("room_type", "join_objective_ms", Free),
    ("room_type", "client_timeout_ms", Free),
    ("room_type", "benefit", Free),
    // Whether a set-up may be sent again must be one rule for whoever takes its viewer.
    ("room_type", "set_up_again", Exclusive),
    ("room_type", "group", Exclusive),
    ("room_type", "window_ms", Stricter(Lower)),
    ("room_type", "scale", Exclusive),
    ("room_type", "floor", Stricter(Higher)),
    ("room_type", "top", Stricter(Lower)),
    ("room_type", "seats", Stricter(LowerBut0)),
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
    // Shares of one budget: who counts with another one lends what it does not own.
    ("crossing", "rate_kb_s", Exclusive),
    ("crossing", "burst_kb", Exclusive),
    ("crossing", "per", Exclusive),
    // Which streamers hold a title, and under which rules it plays. A title that comes or goes is free: one that is still
    // served somewhere harms nobody elsewhere.
    ("title", "room_type", Exclusive),
    ("title", "first_cell", Exclusive),
    ("title", "copies", Exclusive),
];

/// The kind of a key; a section's own coming, going or place among its like has none here and is exclusive, but for a
/// title's.
pub fn kind_of(section: &str, key: &str) -> Kind {
    let family = family(section);
    if family == "title" && key.is_empty() {
        return Free;
    }
    let found = KINDS.iter().find(|(s, k, _)| (*s, *k) == (family, key));
    found.map_or(Exclusive, |found| found.2)
}

/// One key that two texts have different values of; `None` where a text does not name it, and its default counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub section: String,
    pub key: String,
    pub from: Option<String>,
    pub to: Option<String>,
    pub kind: Kind,
}

fn family(section: &str) -> &str {
    section.split(' ').next().unwrap_or(section)
}

/// What a revision is made of: the shared sections of a sheet and its titles, in one form for all who mean the same:
/// sections in the order of [`REVISED_SECTIONS`], room types as they stand, titles by their ids, keys by name, values
/// without stray blanks.
pub fn canonical(sheet: &Sheet) -> String {
    let mut text = String::new();
    for family_of in SHARED_SECTIONS {
        for section in sheet.sections().filter(|section| family(section) == family_of) {
            text += &format!("[{}]\n", section.split_whitespace().collect::<Vec<_>>().join(" "));
            for (key, value) in sheet.keys(section) {
                text += &format!("{key} = {}\n", plain(value));
            }
        }
    }
    // Titles that are not in order have no form: whoever reads the text says what is wrong with them.
    match Catalogue::from_sections(sheet) {
        Ok(titles) => text + &titles.text(),
        Err(_) => text + &sheet.copy(&["title"]),
    }
}

/// A value without stray blanks.
pub fn plain(value: &str) -> String {
    value.split(',').map(str::trim).collect::<Vec<_>>().join(", ")
}

type Values = BTreeMap<(String, String), String>;

fn values(sheet: &Sheet) -> Values {
    let of = |section: &str| -> Vec<((String, String), String)> {
        let keys = sheet.keys(section).into_iter();
        keys.map(|(key, value)| ((section.to_owned(), key.to_owned()), plain(value))).collect()
    };
    sheet.sections().filter(|section| is_revised(section)).flat_map(of).collect()
}

fn is_revised(section: &str) -> bool {
    REVISED_SECTIONS.contains(&family(section))
}

/// Each section with where it stands: that it is there, or its number among the room types.
fn places(sheet: &Sheet) -> BTreeMap<&str, String> {
    let mut room_types = 0..;
    let place = |section| match family(section) {
        "room_type" => format!("number {}", room_types.next().unwrap_or(0)),
        _ => "there".to_owned(),
    };
    let sections: Vec<&str> = sheet.sections().filter(|section| is_revised(section)).collect();
    let placed: Vec<String> = sections.iter().copied().map(place).collect();
    sections.into_iter().zip(placed).collect()
}

/// All that differs, in the order of sections and keys. Sections that came, went or changed places stand first, with
/// no key.
pub fn changes(from: &Sheet, to: &Sheet) -> Vec<Change> {
    let mut found = Vec::new();
    let (old, new) = (places(from), places(to));
    let sections: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    for section in &sections {
        let (from, to) = (old.get(section).cloned(), new.get(section).cloned());
        if from != to {
            let kind = kind_of(section, "");
            found.push(Change { section: (*section).to_owned(), key: String::new(), from, to, kind });
        }
    }
    let stays = |section: &str| old.contains_key(section) && new.contains_key(section);
    let (old, new) = (values(from), values(to));
    let keys: BTreeSet<&(String, String)> = old.keys().chain(new.keys()).collect();
    for at in keys {
        let (from, to) = (old.get(at).cloned(), new.get(at).cloned());
        if from != to {
            // What a title has that comes or goes is as free as its coming.
            let whole = family(&at.0) == "title" && !stays(&at.0);
            let kind = if whole { Free } else { kind_of(&at.0, &at.1) };
            found.push(Change { section: at.0.clone(), key: at.1.clone(), from, to, kind });
        }
    }
    found
}

/// What one acts on who has heard of a change while others may not act on it yet: free keys are new, of others the
/// stricter value counts, and exclusive ones are old. Keys that a text does not name count as `default_of` says.
pub fn between(from: &Sheet, to: &Sheet, default_of: &dyn Fn(&str, &str) -> Option<String>) -> String {
    let mut chosen = values(from);
    for change in changes(from, to).iter().filter(|change| !change.key.is_empty()) {
        let at = (change.section.clone(), change.key.clone());
        let value = |told: &Option<String>| told.clone().or_else(|| default_of(&change.section, &change.key));
        let taken = match change.kind {
            Exclusive => continue,
            Free => change.to.clone(),
            Stricter(side) => match (value(&change.from), value(&change.to)) {
                (Some(old), Some(new)) => Some(stricter(side, &old, &new)),
                // Without a default there is no bound where nothing is said.
                (old, new) => old.or(new),
            },
        };
        match taken {
            // Only sections that are there already: one that comes is exclusive.
            Some(value) if from.has(&change.section) || family(&change.section) == "title" => {
                drop(chosen.insert(at, value))
            }
            _ => drop(chosen.remove(&at)),
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

/// Whether something changes that must not be acted on in both ways at once.
pub fn is_exclusive(from: &Sheet, to: &Sheet) -> bool {
    changes(from, to).iter().any(|change| change.kind == Exclusive)
}

fn stricter(side: Side, old: &str, new: &str) -> String {
    let (olds, news): (Vec<&str>, Vec<&str>) = (old.split(", ").collect(), new.split(", ").collect());
    if olds.len() != news.len() {
        return old.to_owned();
    }
    let one = |(old, new): (&&str, &&str)| strict_one(side, old, new).to_owned();
    olds.iter().zip(&news).map(one).collect::<Vec<_>>().join(", ")
}

fn strict_one<'a>(side: Side, old: &'a str, new: &'a str) -> &'a str {
    let number = |text: &str| text.parse::<f64>().unwrap_or(f64::NAN);
    let (a, b) = (number(old), number(new));
    let keeps_old = match side {
        Lower => a <= b,
        Higher => a >= b,
        LowerBut0 if a == 0.0 || b == 0.0 => b == 0.0,
        LowerBut0 => a <= b,
        False => old == "false",
    };
    if keeps_old {
        old
    } else {
        new
    }
}

/// The settings and titles of a revision's text.
///
/// # Errors
/// Names what is not in order, by itself or beside the rest.
pub fn revised(sheet: &Sheet) -> Result<(Shared, Catalogue), Faults> {
    let (shared, titles) = Faults::both(Shared::of(sheet), Catalogue::from_sections(sheet))?;
    let strays = titles.titles().filter(|(_, title)| shared.room_type(&title.room_type).is_none());
    // One is enough to refuse it, and each costs a look through the whole text for its line.
    let stray = strays.take(1).map(|(id, title)| {
        let section = sheet.named("title").find(|name| u64::from_str_radix(name, 16) == Ok(id));
        let section = format!("title {}", section.unwrap_or_default());
        sheet.fault(&section, "room_type", &title.room_type, "there is no room type of this name")
    });
    let faults: Vec<_> = stray.collect();
    if faults.is_empty() {
        Ok((shared, titles))
    } else {
        Err(Faults(faults))
    }
}

/// Defaults of keys whose stricter value counts; nothing where no value is no bound.
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
