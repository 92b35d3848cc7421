//! The verdict on a stage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use statrs::distribution::{ContinuousCDF, Normal};

use crate::always::{difference, together, without_the_worst, Difference};
use crate::cell::Cell;
use crate::heard::Counted;
use crate::plan::Member;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    JoinsLost,
    Throttled,
    Terminated,
    Late,
    /// Benefit that was offered and not served.
    Unserved,
}

pub const MEASURES: [Measure; 5] =
    [Measure::JoinsLost, Measure::Throttled, Measure::Terminated, Measure::Late, Measure::Unserved];

impl Measure {
    fn cell(self, counted: &Counted) -> Cell {
        let (bad, of) = match self {
            Measure::JoinsLost => (counted.lost, counted.joins),
            Measure::Throttled => (counted.throttled, counted.asked),
            Measure::Terminated => (counted.terminated, counted.asked),
            Measure::Late => (counted.late, counted.asked),
            Measure::Unserved => (counted.offered.saturating_sub(counted.served), counted.offered),
        };
        // Benefit is in thousandths: one that is not served at all is one event.
        let unit = if self == Measure::Unserved { 1000.0 } else { 1.0 };
        Cell { bad: bad as f64 / unit, of: of as f64 / unit }
    }
}

/// One controller of a stage, as it is now.
#[derive(Clone, Debug, Default)]
pub struct Side {
    pub member: Member,
    pub zone: u16,
    pub new: bool,
    /// Counts since the stage began, by room type, without the time in which a restarted one has no knowledge yet: that is
    /// the price of the roll, not of the build.
    pub since: Vec<Counted>,
    /// Lives since it changed.
    pub restarts: u32,
    /// It should be ready by now, and is not; it broke a rule by its own count; it is near a limit; it refuses the revision.
    pub not_ready: bool,
    pub broke_a_rule: bool,
    pub near_a_limit: bool,
    pub refuses: bool,
    /// Nothing was heard of it for so long that its counts say nothing: silence is not health.
    pub silent: bool,
}

/// A stage as it is now.
#[derive(Clone, Debug, Default)]
pub struct Stage {
    pub lasted: Duration,
    pub sides: Vec<Side>,
    /// Zones in trouble of their own: nothing is told by them.
    pub troubled: BTreeSet<u16>,
    /// What usually goes wrong of each measure, over the fleet, from before the roll.
    pub usual: BTreeMap<Measure, f64>,
}

/// What must not get worse, and by how much.
#[derive(Clone, Debug)]
pub struct Limits {
    /// A stage lasts at least so long.
    pub at_least: Duration,
    /// Of each measure, the harm (more of what goes wrong) that a stage guards against.
    pub harm: BTreeMap<Measure, f64>,
    /// The chance that a whole roll of alike builds is stopped, over all looks and comparisons.
    pub alpha: f64,
    pub stages: usize,
    /// Restarts of one controller that make a crash loop.
    pub restarts: u32,
}

/// What a stop rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    CrashLoop(Member),
    NotReady(Member),
    BrokeARule(Member),
    NearALimit(Member),
    Refuses(Member),
    /// So much more goes wrong on the new side, in a zone or in all, for a room type or for all.
    Worse {
        measure: Measure,
        zone: Option<u16>,
        room_type: Option<usize>,
        more: f64,
        deviation: f64,
    },
}

/// What a verdict waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum Waits {
    /// The stage has not lasted as long as it must.
    Time,
    /// A new controller is silent.
    Silent(Member),
    /// All zones with both sides are in trouble.
    Zones,
    /// Both sides do worse than usual.
    BothSuffer(Measure),
    /// What was seen would not show the harm that is guarded against.
    TooFew(Measure),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Stop(Evidence),
    Wait(Waits),
    Pass,
}

/// A side does worse than usual where this many times as much goes wrong.
const SUFFERS: f64 = 2.0;

/// Guards first, each of which stops at once; then what is worse; then what is still to be waited for.
pub fn judge(stage: &Stage, limits: &Limits) -> Verdict {
    if let Some(evidence) = guard(stage, limits) {
        return Verdict::Stop(evidence);
    }
    let comparisons = comparisons(stage);
    let alpha = limits.alpha / (comparisons.len().max(1) * limits.stages.max(1)) as f64;
    for scope in &comparisons {
        let Some(harm) = limits.harm.get(&scope.measure) else { continue };
        // Where both suffer, those that have just begun suffer more, and it is not the build's.
        let told = scope.found.filter(|_| !suffers(stage, scope.measure, *harm));
        let worse = |found: &Difference| found.is_worse(*harm, alpha);
        let Some(found) = told.filter(|found| worse(found) && scope.rest.as_ref().is_some_and(worse)) else {
            continue;
        };
        let Scope { measure, zone, room_type, .. } = *scope;
        let (more, deviation) = (found.more, found.variance.sqrt());
        return Verdict::Stop(Evidence::Worse { measure, zone, room_type, more, deviation });
    }
    waits(stage, limits, &comparisons).map_or(Verdict::Pass, Verdict::Wait)
}

fn guard(stage: &Stage, limits: &Limits) -> Option<Evidence> {
    stage.sides.iter().filter(|side| side.new).find_map(|side| {
        let guards = [
            (side.restarts >= limits.restarts, Evidence::CrashLoop(side.member)),
            (side.broke_a_rule, Evidence::BrokeARule(side.member)),
            (side.not_ready, Evidence::NotReady(side.member)),
            (side.refuses, Evidence::Refuses(side.member)),
            (side.near_a_limit, Evidence::NearALimit(side.member)),
        ];
        guards.into_iter().find(|(holds, _)| *holds).map(|(_, evidence)| evidence)
    })
}

/// One comparison.
struct Scope {
    measure: Measure,
    zone: Option<u16>,
    room_type: Option<usize>,
    found: Option<Difference>,
    /// The same without the one new controller, of the scope, that did worst.
    rest: Option<Difference>,
}

/// All that is compared: each measure over all, by zone, and by room type.
fn comparisons(stage: &Stage) -> Vec<Scope> {
    let told = |side: &&Side| !side.silent && !stage.troubled.contains(&side.zone);
    let sides: Vec<&Side> = stage.sides.iter().filter(told).collect();
    let zones: BTreeSet<u16> = sides.iter().map(|side| side.zone).collect();
    let room_types = sides.iter().map(|side| side.since.len()).max().unwrap_or(0);
    let mut all = Vec::new();
    for measure in MEASURES {
        // Each zone's two sides; the one that did worst of all new ones is left out of its own zone.
        let cells = |zone: u16, room_type: Option<usize>, new: bool| -> Vec<Cell> {
            let ours = sides.iter().filter(|side| side.zone == zone && side.new == new);
            ours.map(|side| measure.cell(&counted(side, room_type))).collect()
        };
        let compare = |of: &[u16], room_type: Option<usize>| {
            let pairs: Vec<(Vec<Cell>, Vec<Cell>)> = of
                .iter()
                .map(|zone| (cells(*zone, room_type, true), cells(*zone, room_type, false)))
                .collect();
            let whole: Vec<Option<Difference>> =
                pairs.iter().map(|(new, old)| difference(new, old)).collect();
            let found = together(&whole.iter().flatten().copied().collect::<Vec<_>>());
            // Whichever zone it is in that leaves least.
            let rest = (0..pairs.len()).map(|left| {
                let one = |(n, whole): (usize, &Option<Difference>)| {
                    if n == left {
                        without_the_worst(&pairs[n].0, &pairs[n].1)
                    } else {
                        *whole
                    }
                };
                let kept: Vec<Difference> = whole.iter().enumerate().filter_map(one).collect();
                together(&kept)
            });
            let score = |one: &Option<Difference>| {
                one.map_or(f64::NEG_INFINITY, |one| one.more / one.variance.sqrt())
            };
            (found, rest.min_by(|a, b| score(a).total_cmp(&score(b))).flatten())
        };
        let mut add =
            |zone, room_type, (found, rest)| all.push(Scope { measure, zone, room_type, found, rest });
        let every: Vec<u16> = zones.iter().copied().collect();
        add(None, None, compare(&every, None));
        if zones.len() > 1 {
            every.iter().for_each(|zone| add(Some(*zone), None, compare(&[*zone], None)));
        }
        if room_types > 1 {
            (0..room_types).for_each(|n| add(None, Some(n), compare(&every, Some(n))));
        }
    }
    all
}

/// What a controller counted, of one room type or of all.
fn counted(side: &Side, room_type: Option<usize>) -> Counted {
    match room_type {
        Some(n) => side.since.get(n).copied().unwrap_or_default(),
        None => side.since.iter().fold(Counted::default(), |sum, one| sum.plus(one)),
    }
}

fn waits(stage: &Stage, limits: &Limits, comparisons: &[Scope]) -> Option<Waits> {
    if let Some(side) = stage.sides.iter().find(|side| side.new && side.silent) {
        return Some(Waits::Silent(side.member));
    }
    // In the last stage nobody is left to be held against: time and guards are all there is.
    let beside = stage.sides.iter().any(|side| !side.new);
    let z = Normal::standard().inverse_cdf(0.95);
    for scope in comparisons.iter().filter(|_| beside) {
        let Some(harm) = limits.harm.get(&scope.measure) else { continue };
        let whole = scope.zone.is_none() && scope.room_type.is_none();
        match scope.found {
            // A zone with one side only is judged by the others.
            None if whole => return Some(Waits::Zones),
            None => {}
            Some(_) if whole && suffers(stage, scope.measure, *harm) => {
                return Some(Waits::BothSuffer(scope.measure));
            }
            // Each zone and room type by itself: a build that is bad in one of them only must not pass by the others.
            Some(found) if !found.rules_out(*harm, z) => return Some(Waits::TooFew(scope.measure)),
            Some(_) => {}
        }
    }
    (stage.lasted < limits.at_least).then_some(Waits::Time)
}

/// Whether the old side too does far worse than usual: then the time tells nothing of the build.
fn suffers(stage: &Stage, measure: Measure, harm: f64) -> bool {
    let Some(usual) = stage.usual.get(&measure) else { return false };
    let old = stage.sides.iter().filter(|side| !side.new && !side.silent);
    let cells = old.map(|side| measure.cell(&counted(side, None)));
    let (bad, of) = cells.fold((0.0, 0.0), |(bad, of), cell| (bad + cell.bad, of + cell.of));
    of > 0.0 && bad / of > usual * SUFFERS + harm
}
