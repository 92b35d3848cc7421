//! The text of a roll: sections `[rollout]` and `[rollout settings]` of the shared configuration.

mod raw;
mod reader;
mod writer;

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_settings::{Faults, IniFile};

use crate::state::{Rollout, Spec};
use raw::Raw;
use reader::Reader;

/// The section of a roll.
pub const SECTION: &str = "rollout";
/// The section of the settings that a roll changes: keys of the form `SECTION/KEY`.
pub const SETTINGS_SECTION: &str = "rollout settings";
/// Between the section and the key of a setting that a roll changes.
const SLASH: char = '/';

/// What a plan takes that does not name its pace, derived from the settings that the fleet acts on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceDefaults {
    /// The share of a zone's members that may be restarted at once.
    pub at_once_share: f64,
    pub settle: Duration,
}

impl Spec {
    /// Reads a plan: the sections of a roll without its progress.
    ///
    /// # Errors
    /// All that is wrong, with its place.
    pub fn of_plan(sheet: &IniFile, defaults: PaceDefaults) -> Result<Self, Faults> {
        let raw: Raw = sheet.section(SECTION)?;
        let reader = Reader { sheet };
        let given = [
            ("epoch", raw.epoch.is_some()),
            ("status", raw.status.is_some()),
            ("stage", raw.stage.is_some()),
            ("wave", raw.wave.is_some()),
            ("back_wave", raw.back_wave.is_some()),
            ("pace", raw.pace.is_some()),
            ("since", raw.since.is_some()),
            ("why", raw.why.is_some()),
        ];
        if let Some((key, _)) = given.iter().find(|(_, is_given)| *is_given) {
            return Err(reader
                .fault(key, "this says how far a roll has come; a plan does not have it")
                .into());
        }
        reader.spec(&raw, defaults)
    }
}

impl Rollout {
    /// Reads a roll's state; nothing where there is none.
    ///
    /// # Errors
    /// All that is wrong, with its place.
    pub fn of(sheet: &IniFile) -> Result<Option<Self>, Faults> {
        if !sheet.has(SECTION) {
            return Ok(None);
        }
        let raw: Raw = sheet.section(SECTION)?;
        let reader = Reader { sheet };
        let defaults = reader.pace_of_state(&raw)?;
        let spec = reader.spec(&raw, defaults)?;
        let progress = reader.progress(&raw, &spec)?;
        Ok(Some(Self { spec, progress }))
    }

    /// Reads a roll's state from entries of the configuration; those of other sections are passed over.
    ///
    /// # Errors
    /// All that is wrong, with its place.
    pub fn of_entries<'a>(
        entries: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Option<Self>, Faults> {
        let mut sections = BTreeMap::from([(SECTION, String::new()), (SETTINGS_SECTION, String::new())]);
        for (entry, value) in entries {
            let Some((section, key)) = entry.split_once('\t') else { continue };
            if let Some(lines) = sections.get_mut(section).filter(|_| !key.is_empty()) {
                *lines += &format!("{key} = {value}\n");
            }
        }
        sections.retain(|_, lines| !lines.is_empty());
        let text: String = sections.iter().map(|(section, lines)| format!("[{section}]\n{lines}")).collect();
        Self::of(&IniFile::parse("configuration", &text)?)
    }
}
