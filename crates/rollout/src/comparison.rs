//! The new side held against the old one: each measure over the fleet, by zone, and by room type.

use std::collections::BTreeSet;

use crate::count_log::Counted;
use crate::measure::{Measure, MEASURES};
use crate::sequential_test::{difference, together, without_the_worst, Difference};
use crate::tally::Tally;
use crate::verdict::{Controller, Stage};

/// Of which controllers and requests a comparison is: one zone's or all, one room type's or all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    pub zone: Option<u16>,
    pub room_type: Option<usize>,
}

impl Scope {
    pub fn is_whole(self) -> bool {
        self == Self::default()
    }
}

/// One comparison.
pub struct Comparison {
    pub measure: Measure,
    pub scope: Scope,
    pub found: Option<Difference>,
    /// The same without the one new controller, of the scope, that did worst.
    pub rest: Option<Difference>,
}

/// The tallies of one zone's controllers, by side.
struct Sides {
    new: Vec<Tally>,
    old: Vec<Tally>,
}

/// All that is compared, a measure after the other.
pub fn comparisons(stage: &Stage) -> Vec<Comparison> {
    let tells = |controller: &&Controller| !controller.silent && !stage.troubled.contains(&controller.zone);
    let controllers: Vec<&Controller> = stage.controllers.iter().filter(tells).collect();
    let zones: BTreeSet<u16> = controllers.iter().map(|controller| controller.zone).collect();
    let zones: Vec<u16> = zones.into_iter().collect();
    let scopes = scopes(&controllers, &zones);
    let of_measure = |measure| {
        let compare = |scope: &Scope| compare(&controllers, &zones, measure, *scope);
        scopes.iter().map(compare).collect::<Vec<_>>()
    };
    MEASURES.into_iter().flat_map(of_measure).collect()
}

/// All together first, then each zone and each room type, where there are several.
fn scopes(controllers: &[&Controller], zones: &[u16]) -> Vec<Scope> {
    let mut scopes = vec![Scope::default()];
    if zones.len() > 1 {
        scopes.extend(zones.iter().map(|zone| Scope { zone: Some(*zone), room_type: None }));
    }
    let room_types = controllers.iter().map(|controller| controller.since.len()).max().unwrap_or(0);
    if room_types > 1 {
        scopes.extend((0..room_types).map(|n| Scope { zone: None, room_type: Some(n) }));
    }
    scopes
}

fn compare(controllers: &[&Controller], zones: &[u16], measure: Measure, scope: Scope) -> Comparison {
    let tallies = |zone: u16, new: bool| -> Vec<Tally> {
        let ours = controllers.iter().filter(|controller| controller.zone == zone && controller.new == new);
        ours.map(|controller| measure.tally(&counted(controller, scope.room_type))).collect()
    };
    let zones = zones.iter().filter(|zone| scope.zone.is_none_or(|only| only == **zone));
    let sides: Vec<Sides> =
        zones.map(|zone| Sides { new: tallies(*zone, true), old: tallies(*zone, false) }).collect();
    let by_zone: Vec<Option<Difference>> =
        sides.iter().map(|sides| difference(&sides.new, &sides.old)).collect();
    let found = together(&by_zone.iter().flatten().copied().collect::<Vec<_>>());
    Comparison { measure, scope, found, rest: rest(&sides, &by_zone) }
}

/// The difference without one new controller: the worst of its zone, in whichever zone that leaves least.
fn rest(sides: &[Sides], by_zone: &[Option<Difference>]) -> Option<Difference> {
    let without_one_of = |left: usize| {
        let of_zone = |(n, whole): (usize, &Option<Difference>)| {
            if n == left {
                without_the_worst(&sides[n].new, &sides[n].old)
            } else {
                *whole
            }
        };
        together(&by_zone.iter().enumerate().filter_map(of_zone).collect::<Vec<_>>())
    };
    let score =
        |one: &Option<Difference>| one.map_or(f64::NEG_INFINITY, |one| one.more / one.variance.sqrt());
    (0..sides.len()).map(without_one_of).min_by(|a, b| score(a).total_cmp(&score(b))).flatten()
}

/// What a controller counted, of one room type or of all.
pub fn counted(controller: &Controller, room_type: Option<usize>) -> Counted {
    match room_type {
        Some(n) => controller.since.get(n).copied().unwrap_or_default(),
        None => controller.since.iter().fold(Counted::default(), |sum, one| sum.plus(one)),
    }
}
