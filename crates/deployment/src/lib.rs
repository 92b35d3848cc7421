//! Reads and validates a controller's INI settings.
//!
//! [`Deployment`] is one validated file: the controller's own sections (addresses, gossip, source of
//! revisions) and the sections that all controllers share (fleet, room types, rules, permissions).
//! [`Deployment::module_settings`] converts it into the map of names to values that the core module reads.

mod distribution_section;
pub mod entries;
mod exclusive;
pub mod kinds;
mod module_settings;
mod revision_text;
mod sections;
mod shared;
mod state_reader;

use std::path::Path;

use badgerledge_settings::{Faults, IniFile};
use sections::DEFAULT_LEAVE_WITHIN_S;

pub use distribution_section::{DistributionSection, RelayAddress};
pub use exclusive::is_exclusive;
pub use revision_text::{AppliedConfiguration, RevisionText};
pub use sections::{
    ControllerSection, Crossing, Fleet, GossipSection, Ladder, Permissions, Prices, RevisionsSection,
    RoomType, Rules,
};
pub use shared::Shared;
pub use state_reader::StateReader;

/// All kinds of sections that a controller's file may have.
pub const SECTIONS: [&str; 11] = [
    "controller",
    "gossip",
    "revisions",
    "distribution",
    "fleet",
    "ladder",
    "room_type",
    "rules",
    "permissions",
    "prices",
    "crossing",
];
/// The sections that do not depend on the controller: a scenario passes them to all of its controllers
/// unchanged.
pub const SHARED_SECTIONS: [&str; 7] =
    ["fleet", "ladder", "room_type", "rules", "permissions", "prices", "crossing"];

/// The sections of a revision's text: the shared sections and the titles.
pub const REVISED_SECTIONS: [&str; 8] =
    ["fleet", "ladder", "room_type", "rules", "permissions", "prices", "crossing", "title"];

/// A controller's validated settings.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub place: ControllerSection,
    /// If `None`, controllers know each other by `peers` alone, and sign nothing.
    pub gossip: Option<GossipSection>,
    /// If `None`, and without `distribution`, the shared sections of the file apply for as long as the
    /// process runs.
    pub revisions: Option<RevisionsSection>,
    /// As `revisions`, but control machines distribute the shared sections; never together with `revisions`.
    pub distribution: Option<DistributionSection>,
    pub shared: Shared,
    /// The text of the shared sections and titles, in canonical form.
    pub shared_text: String,
}

impl Deployment {
    /// Reads and validates a controller's settings file.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&IniFile::read(path)?)
    }

    /// Validates a parsed settings file, also across sections.
    pub fn of(sheet: &IniFile) -> Result<Self, Faults> {
        sheet.reject_unknown_sections(&SECTIONS)?;
        let (place, shared) =
            Faults::combine(sheet.section::<ControllerSection>("controller"), Shared::of(sheet))?;
        let gossip: Option<GossipSection> = sheet.optional_section("gossip")?;
        let revisions: Option<RevisionsSection> = sheet.optional_section("revisions")?;
        if revisions.is_some() && (gossip.is_none() || place.state.is_none()) {
            let why = "requires [gossip] and [controller] state";
            return Err(sheet.fault("revisions", "", "", why).into());
        }
        let distribution: Option<DistributionSection> = sheet.optional_section("distribution")?;
        if distribution.is_some() && revisions.is_some() {
            let why = "must not be combined with [revisions]: both would set the configuration in force";
            return Err(sheet.fault("distribution", "", "", why).into());
        }
        if distribution.is_some() && place.state.is_none() {
            let why = "requires [controller] state";
            return Err(sheet.fault("distribution", "", "", why).into());
        }
        check_place(sheet, &place, &shared)?;
        let shared_text = kinds::canonical(sheet);
        Ok(Self { place, gossip, revisions, distribution, shared, shared_text })
    }
}

impl Deployment {
    /// Whether the titles are part of the revised configuration, so that the catalogue's file is not read
    /// again.
    pub fn titles_are_revised(&self) -> bool {
        self.revisions.as_ref().is_some_and(|section| section.catalogue)
            || self.distribution.as_ref().is_some_and(|section| section.titles)
    }

    /// Time in seconds within which subscriptions are moved off streamers that no longer hold their title.
    pub fn leave_within_s(&self) -> u64 {
        let revisions = self.revisions.as_ref().map(|section| section.leave_within_s);
        let distribution = self.distribution.as_ref().map(|section| section.leave_within_s);
        revisions.or(distribution).unwrap_or(DEFAULT_LEAVE_WITHIN_S)
    }
}

/// Checks a controller's number, zone and peers against the number of controllers and the zones of the fleet.
fn check_place(sheet: &IniFile, place: &ControllerSection, shared: &Shared) -> Result<(), Faults> {
    let refuse =
        |key: &str, value: &str, why: String| Err(sheet.fault("controller", key, value, &why).into());
    if place.number >= place.controllers {
        let why =
            format!("must be between 0 and {} with {} controllers", place.controllers - 1, place.controllers);
        return refuse("number", &place.number.to_string(), why);
    }
    if !shared.fleet.zones.contains(&place.zone) {
        let why = format!("must be one of {}", shared.fleet.zones.join(", "));
        return refuse("zone", &place.zone, why);
    }
    if !place.peers.is_empty() && place.peers.len() != place.controllers as usize {
        let why = format!("must have {} addresses, one for each controller", place.controllers);
        return refuse("peers", "", why);
    }
    Ok(())
}

#[cfg(test)]
mod entries_tests;
#[cfg(test)]
mod exclusive_tests;
#[cfg(test)]
mod state_reader_tests;
#[cfg(test)]
mod tests;
