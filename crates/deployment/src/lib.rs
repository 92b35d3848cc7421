//! What a controller is told in INI.
//!
//! [`Deployment`] is a checked file: the controller's own place in the network, and what it is told of fleet, room
//! types, rules and permissions. [`Deployment::module_settings`] makes the plain map of names to values that the module takes,
//! under the names that the module knows.

mod distribution_place;
pub mod entries;
mod exclusive;
pub mod kinds;
mod module_settings;
mod sections;
mod shared;
mod state_reader;
mod text;

use std::path::Path;

use badgerledge_settings::{Faults, Sheet};
use sections::HALF_A_MINUTE;

pub use distribution_place::{DistributionPlace, RelayPlace};
pub use exclusive::is_exclusive;
pub use sections::{
    ControllerPlace, Crossing, Fleet, GossipPlace, Ladder, Permissions, Prices, RevisionsPlace, RoomType,
    Rules,
};
pub use shared::Shared;
pub use state_reader::StateReader;
pub use text::{ActedOn, Text};

/// All kinds of section that a controller's file may have.
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
/// Those that say nothing of one controller: a day hands them to all of its controllers as they are.
pub const SHARED_SECTIONS: [&str; 7] =
    ["fleet", "ladder", "room_type", "rules", "permissions", "prices", "crossing"];

/// Those of a revision's text: what all are told, and the titles.
pub const REVISED_SECTIONS: [&str; 8] =
    ["fleet", "ladder", "room_type", "rules", "permissions", "prices", "crossing", "title"];

/// A controller's file, checked.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub place: ControllerPlace,
    /// Without it controllers know each other by `peers` alone, and sign nothing.
    pub gossip: Option<GossipPlace>,
    /// Without it the shared sections are what the file says, for good.
    pub revisions: Option<RevisionsPlace>,
    /// The same, where control machines hand the shared sections down; never beside `revisions`.
    pub distribution: Option<DistributionPlace>,
    pub shared: Shared,
    /// The sections that it was read from, in the one form that all have for them.
    pub shared_text: String,
}

impl Deployment {
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&Sheet::read(path)?)
    }

    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        sheet.only(&SECTIONS)?;
        let (place, shared) =
            Faults::both(sheet.section::<ControllerPlace>("controller"), Shared::of(sheet))?;
        let gossip: Option<GossipPlace> = sheet.optional_section("gossip")?;
        let revisions: Option<RevisionsPlace> = sheet.optional_section("revisions")?;
        if revisions.is_some() && (gossip.is_none() || place.state.is_none()) {
            let why = "is taken only beside [gossip] and [controller] state";
            return Err(sheet.fault("revisions", "", "", why).into());
        }
        let distribution: Option<DistributionPlace> = sheet.optional_section("distribution")?;
        if distribution.is_some() && revisions.is_some() {
            let why = "is not taken beside [revisions]: both would say what is acted on";
            return Err(sheet.fault("distribution", "", "", why).into());
        }
        if distribution.is_some() && place.state.is_none() {
            let why = "is taken only beside [controller] state";
            return Err(sheet.fault("distribution", "", "", why).into());
        }
        check_place(sheet, &place, &shared)?;
        let shared_text = kinds::canonical(sheet);
        Ok(Self { place, gossip, revisions, distribution, shared, shared_text })
    }
}

impl Deployment {
    /// Whether the titles change with the shared sections, and the catalogue's file is not read again.
    pub fn titles_go_with_configuration(&self) -> bool {
        self.revisions.as_ref().is_some_and(|section| section.catalogue)
            || self.distribution.as_ref().is_some_and(|section| section.titles)
    }

    /// Who plays where its title lies no more is moved within this, in seconds.
    pub fn leave_within_s(&self) -> u64 {
        let revisions = self.revisions.as_ref().map(|section| section.leave_within_s);
        let distribution = self.distribution.as_ref().map(|section| section.leave_within_s);
        revisions.or(distribution).unwrap_or(HALF_A_MINUTE)
    }
}

/// Refuses a controller's place that the shared sections, or its peers, do not have.
fn check_place(sheet: &Sheet, place: &ControllerPlace, shared: &Shared) -> Result<(), Faults> {
    let refuse =
        |key: &str, value: &str, why: String| Err(sheet.fault("controller", key, value, &why).into());
    if place.number >= place.controllers {
        let why = format!("0 to {} is taken, for there are {}", place.controllers - 1, place.controllers);
        return refuse("number", &place.number.to_string(), why);
    }
    if !shared.fleet.zones.contains(&place.zone) {
        let why = format!("one of {} is taken", shared.fleet.zones.join(", "));
        return refuse("zone", &place.zone, why);
    }
    if !place.peers.is_empty() && place.peers.len() != place.controllers as usize {
        let why = format!("{} addresses are taken, one for each controller", place.controllers);
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
