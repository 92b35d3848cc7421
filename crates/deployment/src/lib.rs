//! What a controller is told in INI.
//!
//! [`Deployment`] is a checked file: the controller's own place in the network, and what it is told of fleet, room
//! types, rules and permissions. [`Deployment::told`] makes the plain map of names to values that the module takes,
//! under the names that the module knows.

mod distribution_place;
pub mod entries;
mod exclusive;
pub mod kinds;
mod sections;
mod state_reader;
mod text;
mod told;

use std::collections::BTreeSet;
use std::path::Path;

use badgerledge_settings::{Fault, Faults, Sheet};
use sections::HALF_A_MINUTE;

pub use distribution_place::{DistributionPlace, RelayPlace};
pub use exclusive::is_exclusive;
pub use sections::{
    ControllerPlace, Crossing, Fleet, GossipPlace, Ladder, Permissions, Prices, RevisionsPlace, RoomType,
    Rules,
};

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

/// What all controllers of a deployment are told alike.
#[derive(Clone, Debug)]
pub struct Shared {
    pub fleet: Fleet,
    pub ladder: Ladder,
    /// In the order of the file: a room type's number is its place here.
    pub room_types: Vec<(String, RoomType)>,
    /// Those of them that take no new subscriptions: a change took them away, and what is held under them plays out.
    pub retired: BTreeSet<String>,
    pub rules: Rules,
    pub permissions: Permissions,
    pub prices: Prices,
    /// Without one nothing bounds what crosses.
    pub crossing: Option<Crossing>,
}

impl Deployment {
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&Sheet::read(path)?)
    }

    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        sheet.only(&SECTIONS)?;
        let (place, shared) =
            Faults::both(sheet.section::<ControllerPlace>("controller"), Shared::of(sheet))?;
        let gossip = sheet.has("gossip").then(|| sheet.section::<GossipPlace>("gossip")).transpose()?;
        let revisions =
            sheet.has("revisions").then(|| sheet.section::<RevisionsPlace>("revisions")).transpose()?;
        if revisions.is_some() && (gossip.is_none() || place.state.is_none()) {
            let why = "is taken only beside [gossip] and [controller] state";
            return Err(sheet.fault("revisions", "", "", why).into());
        }
        let distribution = sheet
            .has("distribution")
            .then(|| sheet.section::<DistributionPlace>("distribution"))
            .transpose()?;
        if distribution.is_some() && revisions.is_some() {
            let why = "is not taken beside [revisions]: both would say what is acted on";
            return Err(sheet.fault("distribution", "", "", why).into());
        }
        if distribution.is_some() && place.state.is_none() {
            let why = "is taken only beside [controller] state";
            return Err(sheet.fault("distribution", "", "", why).into());
        }
        let wrong = |key: &str, value: &str, why: String| sheet.fault("controller", key, value, &why).into();
        if place.number >= place.controllers {
            let why = format!("0 to {} is taken, for there are {}", place.controllers - 1, place.controllers);
            return Err(wrong("number", &place.number.to_string(), why));
        }
        if !shared.fleet.zones.contains(&place.zone) {
            let why = format!("one of {} is taken", shared.fleet.zones.join(", "));
            return Err(wrong("zone", &place.zone, why));
        }
        if !place.peers.is_empty() && place.peers.len() != place.controllers as usize {
            let why = format!("{} addresses are taken, one for each controller", place.controllers);
            return Err(wrong("peers", "", why));
        }
        let shared_text = kinds::canonical(sheet);
        Ok(Self { place, gossip, revisions, distribution, shared, shared_text })
    }
}

impl Deployment {
    /// Whether the titles change with the shared sections, and the catalogue's file is not read again.
    pub fn titles_go_with_configuration(&self) -> bool {
        self.revisions.as_ref().is_some_and(|told| told.catalogue)
            || self.distribution.as_ref().is_some_and(|told| told.titles)
    }

    /// Who plays where its title lies no more is moved within this, in seconds.
    pub fn leave_within_s(&self) -> u64 {
        let revisions = self.revisions.as_ref().map(|told| told.leave_within_s);
        let distribution = self.distribution.as_ref().map(|told| told.leave_within_s);
        revisions.or(distribution).unwrap_or(HALF_A_MINUTE)
    }
}

impl Shared {
    /// Reads the sections that all controllers share; others are passed over.
    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        let told = Faults::both(sheet.section::<Fleet>("fleet"), sheet.section::<Ladder>("ladder"));
        let bounds = Faults::both(
            sheet.section_or_default::<Rules>("rules"),
            sheet.section_or_default::<Permissions>("permissions"),
        );
        let crossing = sheet.has("crossing").then(|| sheet.section::<Crossing>("crossing")).transpose();
        let costs = Faults::both(sheet.section_or_default::<Prices>("prices"), crossing);
        let all = Faults::both(Faults::both(told, bounds), Faults::both(costs, room_types(sheet)));
        let (((fleet, ladder), (rules, permissions)), ((prices, crossing), room_types)) = all?;
        let retired = BTreeSet::new();
        let shared = Self { fleet, ladder, room_types, retired, rules, permissions, prices, crossing };
        let faults = shared.contradictions(sheet);
        if faults.is_empty() {
            Ok(shared)
        } else {
            Err(Faults(faults))
        }
    }

    /// What each section allows by itself, but not beside the others.
    fn contradictions(&self, sheet: &Sheet) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut check = |good: bool, section: &str, key: &str, why: &str| {
            if !good {
                faults.push(sheet.fault(section, key, "", why));
            }
        };
        let Self { fleet, ladder, room_types, .. } = self;
        check(
            fleet.kinds.len() == fleet.kind_streams.len(),
            "fleet",
            "kind_streams",
            "one number for each kind",
        );
        check(
            !fleet.by_probe() || self.permissions.probes && !fleet.report.is_empty(),
            "fleet",
            "report_how",
            "probe is taken only where [permissions] probes = true and report names values",
        );
        let rungs = ladder.rates_kb.len();
        check(ladder.rates_kb.is_sorted_by(|a, b| a < b), "ladder", "rates_kb", "rates that rise are taken");
        check(ladder.benefit.len() == rungs, "ladder", "benefit", "one number for each rate");
        check(!room_types.is_empty(), "room_type", "", "at least one section [room_type NAME] is wanted");
        for (name, room_type) in room_types {
            let section = format!("room_type {name}");
            let top = usize::from(room_type.top.unwrap_or(0));
            check(top < rungs, &section, "top", "a rung of the ladder is taken");
            let floor_fits = room_type.floor <= room_type.top.unwrap_or(rungs as u8 - 1);
            check(floor_fits, &section, "floor", "no rung over the room type's top is taken");
            let waits = room_type.client_timeout_ms >= room_type.join_objective_ms;
            check(waits, &section, "client_timeout_ms", "no less than join_objective_ms is taken");
        }
        faults
    }

    /// The number of a room type that takes subscriptions.
    pub fn room_type(&self, name: &str) -> Option<usize> {
        if self.retired.contains(name) {
            return None;
        }
        self.room_types.iter().position(|(known, _)| known == name)
    }
}

/// All sections `[room_type NAME]`, or all that is wrong with them.
fn room_types(sheet: &Sheet) -> Result<Vec<(String, RoomType)>, Faults> {
    let (mut room_types, mut faults) = (Vec::new(), Vec::new());
    for name in sheet.named("room_type") {
        match sheet.section::<RoomType>(&format!("room_type {name}")) {
            Ok(room_type) => room_types.push((name.to_owned(), room_type)),
            Err(found) => faults.extend(found.0),
        }
    }
    if faults.is_empty() {
        Ok(room_types)
    } else {
        Err(Faults(faults))
    }
}

#[cfg(test)]
mod entries_tests;
#[cfg(test)]
mod exclusive_tests;
#[cfg(test)]
mod state_reader_tests;
#[cfg(test)]
mod tests;
