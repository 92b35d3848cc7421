//! The catalogue: which titles exist, their room types, and which cells of the fleet hold them.
//!
//! A catalogue is an INI file with a section `[title ID]` for each title, ID in hexadecimal. A title is held
//! by `copies` consecutive cells from `first_cell` on, wrapping at the last cell.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;

use badgerledge_settings::{within, Faults, Sheet};
use garde::Validate;
use serde::Deserialize;

/// The cells that hold a title, and its room type.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Title {
    /// The room type for viewers that name none.
    #[garde(length(min = 1))]
    pub room_type: String,
    #[garde(custom(within(0, 65_535)))]
    pub first_cell: u32,
    #[garde(custom(within(1, 65_535)))]
    pub copies: u32,
}

/// All titles. Clones share the table until one of them is changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    titles: Arc<BTreeMap<u64, Title>>,
}

impl Catalogue {
    /// Reads a catalogue file.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::from_sheet(&Sheet::read(path)?)
    }

    /// Reads a catalogue from a sheet with no other sections.
    pub fn from_sheet(sheet: &Sheet) -> Result<Self, Faults> {
        sheet.only(&["title"])?;
        Self::from_sections(sheet)
    }

    /// Reads the titles of a sheet that may have other sections.
    ///
    /// # Errors
    /// Lists each invalid title.
    pub fn from_sections(sheet: &Sheet) -> Result<Self, Faults> {
        let (mut titles, mut faults) = (BTreeMap::new(), Vec::new());
        for name in sheet.named("title") {
            let section = format!("title {name}");
            let id = u64::from_str_radix(name, 16);
            match (id, sheet.section::<Title>(&section)) {
                (Ok(id), Ok(title)) => {
                    if titles.insert(id, title).is_some() {
                        faults.push(sheet.fault(&section, "", "", "this title is given twice"));
                    }
                }
                (Err(_), _) => {
                    let reason = "a title's id has 1 to 16 hexadecimal digits";
                    faults.push(sheet.fault(&section, "", "", reason));
                }
                (_, Err(section_faults)) => faults.extend(section_faults.0),
            }
        }
        if faults.is_empty() {
            Ok(Self { titles: Arc::new(titles) })
        } else {
            Err(Faults(faults))
        }
    }

    /// Parses the exact form that [`Catalogue::text`] writes, in some tens of milliseconds for 100,000
    /// titles. `None` for anything else.
    pub fn parse_canonical(text: &str) -> Option<Self> {
        let mut titles = BTreeMap::new();
        let mut lines = text.lines();
        while let Some(heading) = lines.next() {
            let id = u64::from_str_radix(heading.strip_prefix("[title ")?.strip_suffix(']')?, 16).ok()?;
            let mut value = |key: &str| lines.next()?.strip_prefix(key)?.strip_prefix(" = ");
            let copies = value("copies")?.parse().ok().filter(|copies| (1..=65_535).contains(copies))?;
            let first_cell = value("first_cell")?.parse().ok().filter(|cell| *cell <= 65_535)?;
            let room_type = value("room_type").filter(|name| !name.is_empty())?.to_owned();
            titles.insert(id, Title { room_type, first_cell, copies });
        }
        Some(Self { titles: Arc::new(titles) })
    }

    /// The titles that apply while some controllers use this catalogue and some use `others`: the titles of
    /// `others`, but each that this catalogue has too with its values here. Also returns whether a title of
    /// both differs.
    pub fn between(&self, others: &Self) -> (Self, bool) {
        let mut titles = others.clone();
        let mut moved = Vec::new();
        let mut own_titles = self.titles.iter().peekable();
        for (id, title) in others.titles.iter().filter(|_| !Arc::ptr_eq(&self.titles, &others.titles)) {
            // Both catalogues are ordered by id.
            while own_titles.next_if(|(own_id, _)| *own_id < id).is_some() {}
            if let Some((_, own_title)) =
                own_titles.next_if(|(own_id, own_title)| *own_id == id && *own_title != title)
            {
                moved.push((*id, Some(own_title.clone())));
            }
        }
        let any_moved = !moved.is_empty();
        if any_moved {
            titles.change(moved);
        }
        (titles, any_moved)
    }

    /// Inserts or replaces titles, and removes those that are paired with `None`.
    pub fn change(&mut self, changed: Vec<(u64, Option<Title>)>) {
        let titles = Arc::make_mut(&mut self.titles);
        for (id, title) in changed {
            match title {
                Some(title) => drop(titles.insert(id, title)),
                None => drop(titles.remove(&id)),
            }
        }
    }

    /// The title with that id.
    pub fn title(&self, id: u64) -> Option<&Title> {
        self.titles.get(&id)
    }

    /// All titles, ordered by id.
    pub fn titles(&self) -> impl Iterator<Item = (u64, &Title)> {
        self.titles.iter().map(|(id, title)| (*id, title))
    }

    /// The room types of all titles.
    pub fn room_types(&self) -> BTreeSet<String> {
        let names: BTreeSet<&str> = self.titles.values().map(|title| title.room_type.as_str()).collect();
        names.into_iter().map(str::to_owned).collect()
    }

    /// The titles as the text of a file, in one canonical form: ordered by id, keys by name.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (id, Title { room_type, first_cell, copies }) in self.titles.iter() {
            text += &format!(
                "[title {id:x}]\ncopies = {copies}\nfirst_cell = {first_cell}\nroom_type = {room_type}\n"
            );
        }
        text
    }

    pub fn len(&self) -> usize {
        self.titles.len()
    }

    pub fn is_empty(&self) -> bool {
        self.titles.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn titles_are_read_and_faults_placed() {
        let read = |text: &str| Sheet::parse("c.ini", text).and_then(|sheet| Catalogue::from_sheet(&sheet));
        let catalogue = read("[title 2a]\nroom_type = clip\nfirst_cell = 3\ncopies = 2\n").unwrap();
        assert_eq!(catalogue.title(42).map(|title| (title.first_cell, title.copies)), Some((3, 2)));
        let faults =
            read("[title 2a]\nroom_type = clip\nfirst_cell = 3\ncopies = 0\n[title x]\n").unwrap_err();
        assert_eq!(
            faults.to_string(),
            "c.ini:4: [title 2a] copies = 0: 1 to 65535 is taken\n\
             c.ini:5: [title x]: a title's id has 1 to 16 hexadecimal digits"
        );
        let duplicate = "[title 2a]\nroom_type = a\nfirst_cell = 3\ncopies = 1\n[title 02a]\nroom_type = a\n\
                     first_cell = 3\ncopies = 1\n";
        assert!(read(duplicate)
            .unwrap_err()
            .to_string()
            .contains("c.ini:5: [title 02a]: this title is given twice"));
    }
}
