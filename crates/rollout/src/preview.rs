//! What a plan will do: which members change in which order, and how long that takes at least.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::measure::Measure;
use crate::plan::{Member, PlanFault};
use crate::schedule::Schedule;
use crate::state::{Pace, Spec};

/// What a plan will do.
#[derive(Clone, Debug, PartialEq)]
pub struct Preview {
    pub stages: Vec<StagePreview>,
    /// A whole roll lasts so long at least.
    pub shortest: Duration,
    /// Going back from the end of the last stage, in waves.
    pub back_waves: u32,
    /// How long that takes at least where it is paced.
    pub back_paced: Duration,
}

/// One stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StagePreview {
    pub share: f64,
    /// Members by the name of their zone, for each wave.
    pub waves: Vec<BTreeMap<String, Vec<Member>>>,
    /// As planned, counted from the last wave.
    pub at_least: Duration,
    /// How long until its members have had so many requests that the harm of each measure stands out.
    pub to_see: BTreeMap<Measure, Duration>,
    /// Its waves settle one after another; then it lasts as planned, or until the harm would be seen.
    pub shortest: Duration,
}

impl Preview {
    /// `asked_per_s`: the requests a second that one controller gets on the mean.
    ///
    /// # Errors
    /// Where stages and fleet make no plan.
    pub fn of(spec: &Spec, asked_per_s: f64) -> Result<Self, PlanFault> {
        let (plan, schedule) = (spec.plan()?, Schedule::new(spec)?);
        let mut stages = Vec::new();
        for (number, stage) in spec.stages.iter().enumerate() {
            let to_see = |(measure, harm): (&Measure, &f64)| {
                let usual = spec.bounds.usual.get(measure).copied().unwrap_or(0.0);
                Some((*measure, plan.must_last(number, asked_per_s, usual, *harm)?))
            };
            let to_see: BTreeMap<Measure, Duration> = spec.bounds.harm.iter().filter_map(to_see).collect();
            let waves: Vec<_> = (1..=schedule.waves_in(number))
                .map(|wave| wave_of(spec, &schedule, (number, wave)))
                .collect();
            let longest = to_see.values().copied().max().unwrap_or_default().max(stage.at_least);
            // The last wave settles while the stage lasts.
            let shortest = spec.settle * (waves.len() as u32).saturating_sub(1) + longest;
            stages.push(StagePreview {
                share: stage.share,
                waves,
                at_least: stage.at_least,
                to_see,
                shortest,
            });
        }
        let last = (spec.stages.len() - 1, u32::MAX);
        let back_waves = schedule.back_waves(last).values().copied().max().unwrap_or(0);
        Ok(Self {
            shortest: stages.iter().map(|stage| stage.shortest).sum(),
            stages,
            back_waves,
            back_paced: spec.back_wave(Pace::Paced).settle * back_waves,
        })
    }
}

fn wave_of(spec: &Spec, schedule: &Schedule, turn: (usize, u32)) -> BTreeMap<String, Vec<Member>> {
    let mut zones: BTreeMap<String, Vec<Member>> = BTreeMap::new();
    for place in &spec.fleet.places {
        if schedule.turn_of(place.member) == Some(turn) {
            zones.entry(spec.fleet.zone_name(place.zone).to_owned()).or_default().push(place.member);
        }
    }
    zones.values_mut().for_each(|members| members.sort_unstable());
    zones
}
