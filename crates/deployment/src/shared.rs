//! The settings that all controllers of a deployment share, validated section by section and across sections.

use std::collections::BTreeSet;

use badgerledge_settings::{Fault, Faults, IniFile};

use crate::{Crossing, Fleet, Ladder, Permissions, Prices, RoomType, Rules};

/// The settings that all controllers of a deployment share.
#[derive(Clone, Debug)]
pub struct Shared {
    pub fleet: Fleet,
    pub ladder: Ladder,
    /// Names and settings of the room types in the order of the file: a room type's number is its index.
    pub room_types: Vec<(String, RoomType)>,
    /// Names of room types that a change removed: they accept no new subscriptions, and existing ones play to
    /// their end.
    pub retired: BTreeSet<String>,
    pub rules: Rules,
    pub permissions: Permissions,
    pub prices: Prices,
    /// If `None`, traffic between zones is not limited.
    pub crossing: Option<Crossing>,
}

impl Shared {
    /// Reads the sections that all controllers share, and ignores others.
    pub fn of(sheet: &IniFile) -> Result<Self, Faults> {
        let streamers = Faults::combine(sheet.section::<Fleet>("fleet"), sheet.section::<Ladder>("ladder"));
        let limits = Faults::combine(
            sheet.section_or_default::<Rules>("rules"),
            sheet.section_or_default::<Permissions>("permissions"),
        );
        let crossing = sheet.optional_section::<Crossing>("crossing");
        let costs = Faults::combine(sheet.section_or_default::<Prices>("prices"), crossing);
        let all =
            Faults::combine(Faults::combine(streamers, limits), Faults::combine(costs, room_types(sheet)));
        let (((fleet, ladder), (rules, permissions)), ((prices, crossing), room_types)) = all?;
        let retired = BTreeSet::new();
        let shared = Self { fleet, ladder, room_types, retired, rules, permissions, prices, crossing };
        let faults = shared.check_across_sections(sheet);
        if faults.is_empty() {
            Ok(shared)
        } else {
            Err(Faults(faults))
        }
    }

    /// Errors between keys that are valid by themselves.
    fn check_across_sections(&self, sheet: &IniFile) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut check = |valid: bool, section: &str, key: &str, why: &str| {
            if !valid {
                faults.push(sheet.fault(section, key, "", why));
            }
        };
        let Self { fleet, ladder, room_types, .. } = self;
        check(
            fleet.kinds.len() == fleet.kind_streams.len(),
            "fleet",
            "kind_streams",
            "must have one number for each kind",
        );
        check(
            !fleet.reports_by_probe_only() || self.permissions.probes && !fleet.report.is_empty(),
            "fleet",
            "report_how",
            "probe requires [permissions] probes = true and values in report",
        );
        let rungs = ladder.rates_kb.len();
        check(ladder.rates_kb.is_sorted_by(|a, b| a < b), "ladder", "rates_kb", "rates must be ascending");
        check(ladder.benefit.len() == rungs, "ladder", "benefit", "must have one number for each rate");
        check(!room_types.is_empty(), "room_type", "", "at least one section [room_type NAME] is required");
        for (name, room_type) in room_types {
            let section = format!("room_type {name}");
            let top = usize::from(room_type.top.unwrap_or(0));
            check(top < rungs, &section, "top", "must be a rung of the ladder");
            let floor_valid = room_type.floor <= room_type.top.unwrap_or(rungs as u8 - 1);
            check(floor_valid, &section, "floor", "must not be above the room type's top");
            let timeout_valid = room_type.client_timeout_ms >= room_type.join_objective_ms;
            check(timeout_valid, &section, "client_timeout_ms", "must be at least join_objective_ms");
        }
        faults
    }

    /// The number of a room type that accepts new subscriptions; `None` if it is unknown or retired.
    pub fn room_type(&self, name: &str) -> Option<usize> {
        if self.retired.contains(name) {
            return None;
        }
        self.room_types.iter().position(|(known, _)| known == name)
    }
}

/// All sections `[room_type NAME]` in order, or all errors in them.
fn room_types(sheet: &IniFile) -> Result<Vec<(String, RoomType)>, Faults> {
    let (mut room_types, mut faults) = (Vec::new(), Vec::new());
    for name in sheet.section_names("room_type") {
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
