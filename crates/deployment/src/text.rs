//! A revision's text, read: its settings as a sheet, its titles as a catalogue. A text is read between two rounds, so the
//! titles, of which there may be 100,000, are not taken through the sheet.

use std::sync::Arc;

use badgerledge_catalogue::{Catalogue, Title};
use badgerledge_settings::Sheet;

use crate::kinds::{between, canonical, default_of, is_exclusive, revised};
use crate::{Shared, REVISED_SECTIONS};

/// A text that is in order and in its one form.
#[derive(Clone, Debug)]
pub struct Text {
    settings: Arc<Settings>,
    titles: Catalogue,
}

/// The settings of a text, which one with other titles shares.
#[derive(Debug)]
struct Settings {
    sheet: Sheet,
    shared: Shared,
}

/// What is acted on by who has heard of a change, or of none.
#[derive(Clone, Debug)]
pub struct ActedOn {
    pub shared: Shared,
    pub titles: Catalogue,
    /// The two texts differ in what must not be acted on in both ways at once.
    pub exclusive: bool,
}

impl Text {
    /// Reads the bytes of a text.
    ///
    /// # Errors
    /// Says what is not in order, with its line where it has one.
    pub fn read(bytes: &[u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
        let (settings, tail) = Self::split(text);
        let titles = Catalogue::parse_canonical(tail).filter(|titles| titles.text() == tail);
        let Some(titles) = titles else {
            return Err(Self::fault(text));
        };
        let sheet = Sheet::parse("revision", settings).map_err(|e| e.to_string())?;
        sheet.only(&REVISED_SECTIONS).map_err(|e| e.to_string())?;
        let shared = Shared::of(&sheet).map_err(|e| e.to_string())?;
        let stray = titles.room_types().into_iter().any(|name| shared.room_type(&name).is_none());
        if stray || canonical(&sheet) != settings {
            return Err(Self::fault(text));
        }
        Ok(Self { settings: Arc::new(Settings { sheet, shared }), titles })
    }

    /// The same settings with some titles put in, or taken out where there is none.
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

    /// A text's settings, and its titles behind them.
    pub(crate) fn split(text: &str) -> (&str, &str) {
        let from =
            if text.starts_with("[title ") { Some(0) } else { text.find("\n[title ").map(|at| at + 1) };
        text.split_at(from.unwrap_or(text.len()))
    }

    /// What is wrong with a text that is wrong: the sheet knows the line.
    fn fault(text: &str) -> String {
        let whole = Sheet::parse("revision", text).and_then(|sheet| {
            sheet.only(&REVISED_SECTIONS)?;
            revised(&sheet)
        });
        match whole {
            Err(faults) => faults.to_string(),
            Ok(_) => "it is not in the one form that all have for it".to_owned(),
        }
    }

    pub fn shared(&self) -> &Shared {
        &self.settings.shared
    }

    pub fn titles(&self) -> &Catalogue {
        &self.titles
    }

    /// What a controller acts on whose text this is, and that has prepared another, if any.
    pub fn acted_on(&self, prepared: Option<&Self>) -> ActedOn {
        let own =
            |exclusive| ActedOn { shared: self.shared().clone(), titles: self.titles.clone(), exclusive };
        let Some(next) = prepared else { return own(false) };
        let (sheet, next_sheet) = (&self.settings.sheet, &next.settings.sheet);
        let (titles, moved) = self.titles.between(&next.titles);
        let exclusive = moved || is_exclusive(sheet, next_sheet);
        let settings = between(sheet, next_sheet, &default_of);
        // What is the stricter of each may not go together, such as an old top under a new floor, or a new title whose room
        // type is still to come: then all of it waits.
        match Sheet::parse("between", &settings).and_then(|sheet| Shared::of(&sheet)) {
            Ok(shared) if titles.room_types().iter().all(|name| shared.room_type(name).is_some()) => {
                ActedOn { shared, titles, exclusive }
            }
            _ => own(exclusive),
        }
    }
}
