//! A revision's text, parsed and validated: its settings as a sheet, its titles as a catalogue. A text is
//! read between two decision rounds, so the titles, of which there may be 100,000, have a faster parser than
//! the sheet.

use std::sync::Arc;

use badgerledge_catalogue::{Catalogue, Title};
use badgerledge_settings::IniFile;

use crate::kinds::{canonical, default_of, is_exclusive, read_revision, transition_text};
use crate::{Shared, REVISED_SECTIONS};

/// A valid text in canonical form.
#[derive(Clone, Debug)]
pub struct RevisionText {
    settings: Arc<Settings>,
    titles: Catalogue,
}

/// The settings of a text, shared with texts that differ only in titles.
#[derive(Debug)]
struct Settings {
    sheet: IniFile,
    shared: Shared,
}

/// The configuration that a controller applies, with or without a prepared change.
#[derive(Clone, Debug)]
pub struct AppliedConfiguration {
    pub shared: Shared,
    pub titles: Catalogue,
    /// Whether the prepared change contains an exclusive one.
    pub exclusive: bool,
}

impl RevisionText {
    /// Parses and validates a text.
    ///
    /// # Errors
    /// Says what is invalid, with its line if it has one.
    pub fn read(bytes: &[u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
        let (settings, titles_text) = Self::split(text);
        let titles = Catalogue::parse_canonical(titles_text).filter(|titles| titles.text() == titles_text);
        let Some(titles) = titles else {
            return Err(Self::fault(text));
        };
        let sheet = IniFile::parse("revision", settings).map_err(|faults| faults.to_string())?;
        sheet.reject_unknown_sections(&REVISED_SECTIONS).map_err(|faults| faults.to_string())?;
        let shared = Shared::of(&sheet).map_err(|faults| faults.to_string())?;
        let type_missing = titles.room_types().into_iter().any(|name| shared.room_type(&name).is_none());
        if type_missing || canonical(&sheet) != settings {
            return Err(Self::fault(text));
        }
        Ok(Self { settings: Arc::new(Settings { sheet, shared }), titles })
    }

    /// The same settings with some titles inserted or replaced, or removed where the title is `None`.
    ///
    /// # Errors
    /// Names a title whose room type is not in the settings.
    pub fn with_titles(&self, changed: Vec<(u64, Option<Title>)>) -> Result<Self, String> {
        for (id, title) in &changed {
            if let Some(title) =
                title.as_ref().filter(|title| self.shared().room_type(&title.room_type).is_none())
            {
                return Err(format!(
                    "[title {id:x}] room_type = {}: there is no room type of this name",
                    title.room_type
                ));
            }
        }
        let mut titles = self.titles.clone();
        titles.change(changed);
        Ok(Self { settings: self.settings.clone(), titles })
    }

    /// Splits a text into its settings and the titles that follow them.
    pub(crate) fn split(text: &str) -> (&str, &str) {
        let titles_start =
            if text.starts_with("[title ") { Some(0) } else { text.find("\n[title ").map(|at| at + 1) };
        text.split_at(titles_start.unwrap_or(text.len()))
    }

    /// The error in an invalid text. Parses all of it again as an [`IniFile`], which knows the line.
    fn fault(text: &str) -> String {
        let parsed = IniFile::parse("revision", text).and_then(|sheet| {
            sheet.reject_unknown_sections(&REVISED_SECTIONS)?;
            read_revision(&sheet)
        });
        match parsed {
            Err(faults) => faults.to_string(),
            Ok(_) => "the text is not in canonical form".to_owned(),
        }
    }

    /// The settings.
    pub fn shared(&self) -> &Shared {
        &self.settings.shared
    }

    /// The titles.
    pub fn titles(&self) -> &Catalogue {
        &self.titles
    }

    /// The configuration that a controller applies whose active text is this one and that has prepared
    /// another, if any.
    pub fn applied_configuration(&self, prepared: Option<&Self>) -> AppliedConfiguration {
        let unchanged = |exclusive| AppliedConfiguration {
            shared: self.shared().clone(),
            titles: self.titles.clone(),
            exclusive,
        };
        let Some(next) = prepared else { return unchanged(false) };
        let (sheet, next_sheet) = (&self.settings.sheet, &next.settings.sheet);
        let (titles, titles_moved) = self.titles.between(&next.titles);
        let exclusive = titles_moved || is_exclusive(sheet, next_sheet);
        let settings = transition_text(sheet, next_sheet, &default_of);
        // The stricter values may contradict each other, such as an old `top` and a new `floor` above it, or
        // a new title may have a room type that is not applied yet: then no part of the change is applied.
        match IniFile::parse("between", &settings).and_then(|sheet| Shared::of(&sheet)) {
            Ok(shared) if titles.room_types().iter().all(|name| shared.room_type(name).is_some()) => {
                AppliedConfiguration { shared, titles, exclusive }
            }
            _ => unchanged(exclusive),
        }
    }
}
