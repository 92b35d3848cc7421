//! The verdict on a stage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use statrs::distribution::{ContinuousCDF, Normal};

use crate::comparison::{comparisons, counted, Comparison, Scope};
use crate::count_log::Counted;
use crate::measure::Measure;
use crate::plan::Member;
use crate::sequential_test::Difference;

/// One controller of a stage, as it is now.
#[derive(Clone, Debug, Default)]
pub struct Controller {
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
    pub controllers: Vec<Controller>,
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

/// What is to be done with a stage now.
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
    for comparison in &comparisons {
        if let Some(evidence) = worse(stage, limits, comparison, alpha) {
            return Verdict::Stop(evidence);
        }
    }
    waits(stage, limits, &comparisons).map_or(Verdict::Pass, Verdict::Wait)
}

/// What a comparison shows against the new build, with and without the new controller that did worst.
fn worse(stage: &Stage, limits: &Limits, comparison: &Comparison, alpha: f64) -> Option<Evidence> {
    let Comparison { measure, scope, .. } = *comparison;
    let harm = *limits.harm.get(&measure)?;
    // Where both suffer, those that have just begun suffer more, and it is not the build's.
    let found = comparison.found.filter(|_| !suffers(stage, measure, harm))?;
    let is_worse = |found: &Difference| found.is_worse(harm, alpha);
    if !is_worse(&found) || !comparison.rest.as_ref().is_some_and(is_worse) {
        return None;
    }
    let Scope { zone, room_type } = scope;
    Some(Evidence::Worse { measure, zone, room_type, more: found.more, deviation: found.variance.sqrt() })
}

fn guard(stage: &Stage, limits: &Limits) -> Option<Evidence> {
    stage.controllers.iter().filter(|controller| controller.new).find_map(|controller| {
        let guards = [
            (controller.restarts >= limits.restarts, Evidence::CrashLoop(controller.member)),
            (controller.broke_a_rule, Evidence::BrokeARule(controller.member)),
            (controller.not_ready, Evidence::NotReady(controller.member)),
            (controller.refuses, Evidence::Refuses(controller.member)),
            (controller.near_a_limit, Evidence::NearALimit(controller.member)),
        ];
        guards.into_iter().find(|(holds, _)| *holds).map(|(_, evidence)| evidence)
    })
}

fn waits(stage: &Stage, limits: &Limits, comparisons: &[Comparison]) -> Option<Waits> {
    if let Some(controller) = stage.controllers.iter().find(|controller| controller.new && controller.silent)
    {
        return Some(Waits::Silent(controller.member));
    }
    // In the last stage nobody is left to be held against: time and guards are all there is.
    let beside = stage.controllers.iter().any(|controller| !controller.new);
    let z = Normal::standard().inverse_cdf(0.95);
    for comparison in comparisons.iter().filter(|_| beside) {
        let Some(harm) = limits.harm.get(&comparison.measure) else { continue };
        let whole = comparison.scope.is_whole();
        match comparison.found {
            // A zone with one side only is judged by the others.
            None if whole => return Some(Waits::Zones),
            None => {}
            Some(_) if whole && suffers(stage, comparison.measure, *harm) => {
                return Some(Waits::BothSuffer(comparison.measure));
            }
            // Each zone and room type by itself: a build that is bad in one of them only must not pass by the others.
            Some(found) if !found.rules_out(*harm, z) => return Some(Waits::TooFew(comparison.measure)),
            Some(_) => {}
        }
    }
    (stage.lasted < limits.at_least).then_some(Waits::Time)
}

/// Whether the old side too does far worse than usual: then the time tells nothing of the build.
fn suffers(stage: &Stage, measure: Measure, harm: f64) -> bool {
    let Some(usual) = stage.usual.get(&measure) else { return false };
    let old = stage.controllers.iter().filter(|controller| !controller.new && !controller.silent);
    let tallies = old.map(|controller| measure.tally(&counted(controller, None)));
    let (bad, of) = tallies.fold((0.0, 0.0), |(bad, of), tally| (bad + tally.bad, of + tally.of));
    of > 0.0 && bad / of > usual * SUFFERS + harm
}
