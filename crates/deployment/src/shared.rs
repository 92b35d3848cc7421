//! What all controllers of a deployment are told alike.

use std::collections::BTreeSet;

use badgerledge_settings::{Fault, Faults, Sheet};

use crate::{Crossing, Fleet, Ladder, Permissions, Prices, RoomType, Rules};

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

impl Shared {
    /// Reads the sections that all controllers share; others are passed over.
    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        let streamers = Faults::both(sheet.section::<Fleet>("fleet"), sheet.section::<Ladder>("ladder"));
        let bounds = Faults::both(
            sheet.section_or_default::<Rules>("rules"),
            sheet.section_or_default::<Permissions>("permissions"),
        );
        let crossing = sheet.optional_section::<Crossing>("crossing");
        let costs = Faults::both(sheet.section_or_default::<Prices>("prices"), crossing);
        let all = Faults::both(Faults::both(streamers, bounds), Faults::both(costs, room_types(sheet)));
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
