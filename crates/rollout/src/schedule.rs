//! In which wave of which stage each member changes, and in which wave it goes back.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::{rank, Member, PlanFault};
use crate::state::{Arm, Progress, Rollout, Spec, Status};

/// The stage, from 0, and the wave within it, from 1, in which a member changes.
pub type Turn = (usize, u32);

/// The turns of all members of a plan. It comes from the plan alone, so all who compute it have the same.
#[derive(Clone, Debug)]
pub struct Schedule {
    turns: BTreeMap<Member, Turn>,
    /// The members of each zone in the order of their turns, and how many of them change at once.
    zones: Vec<(Vec<Member>, usize)>,
    stages: usize,
}

impl Schedule {
    /// # Errors
    /// Where the plan's stages and fleet make no plan.
    pub fn new(spec: &Spec) -> Result<Self, PlanFault> {
        let plan = spec.plan()?;
        let last: BTreeSet<Member> = spec.last.iter().copied().collect();
        let (mut turns, mut zones) = (BTreeMap::new(), Vec::new());
        let mut by_zone: BTreeMap<u16, Vec<Member>> = BTreeMap::new();
        for place in &spec.fleet.places {
            by_zone.entry(place.zone).or_default().push(place.member);
        }
        for mut members in by_zone.into_values() {
            let at_once = spec.at_once_of(members.len());
            members.sort_by_cached_key(|member| {
                (plan.stage_of(*member), last.contains(member), rank(spec.number, *member))
            });
            for stage in 0..spec.stages.len() {
                let of_stage = members.iter().filter(|member| plan.stage_of(**member) == Some(stage));
                for (place, member) in of_stage.enumerate() {
                    turns.insert(*member, (stage, (place / at_once) as u32 + 1));
                }
            }
            zones.push((members, at_once));
        }
        Ok(Self { turns, zones, stages: spec.stages.len() })
    }

    /// When a member changes; nothing where the plan does not know it.
    pub fn turn_of(&self, member: Member) -> Option<Turn> {
        self.turns.get(&member).copied()
    }

    /// How many waves a stage has.
    pub fn waves_in(&self, stage: usize) -> u32 {
        let of_stage = self.turns.values().filter(|turn| turn.0 == stage);
        of_stage.map(|turn| turn.1).max().unwrap_or(0)
    }

    /// The turn after this one; nothing after the last.
    pub fn after(&self, (stage, wave): Turn) -> Option<Turn> {
        if wave < self.waves_in(stage) {
            return Some((stage, wave + 1));
        }
        (stage + 1 < self.stages).then_some((stage + 1, 1))
    }

    /// All members that were told to change by this turn.
    pub fn released(&self, turn: Turn) -> impl Iterator<Item = Member> + '_ {
        self.turns.iter().filter(move |(_, of)| **of <= turn).map(|(member, _)| *member)
    }

    /// The wave of going back, from 1, of each member that had changed by this turn: in the order in
    /// which they changed, so many of a zone at once as went forward.
    pub fn back_waves(&self, turn: Turn) -> BTreeMap<Member, u32> {
        let mut waves = BTreeMap::new();
        for (members, at_once) in &self.zones {
            let changed = members.iter().filter(|member| self.turns[*member] <= turn);
            waves.extend(changed.enumerate().map(|(place, member)| (*member, (place / at_once) as u32 + 1)));
        }
        waves
    }

    /// The side that a state wants a member on.
    pub fn arm_of(&self, progress: &Progress, member: Member) -> Arm {
        let turn = (progress.stage, progress.wave);
        let is_released = self.turn_of(member).is_some_and(|of| of <= turn);
        let new = match progress.status {
            Status::Done => true,
            Status::Back => false,
            Status::Running | Status::Paused | Status::Stopped => is_released,
            Status::GoingBack => {
                let wave = self.back_waves(turn).get(&member).copied();
                wave.is_some_and(|wave| wave > progress.back_wave)
            }
        };
        if new {
            Arm::New
        } else {
            Arm::Old
        }
    }
}

/// What a member knows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own<'a> {
    pub zone: &'a str,
    pub runs: Arm,
    /// How often it began again on the new side of this plan without an order: kept where it outlives the
    /// process.
    pub restarts: u32,
}

/// What a member is to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    Stay,
    ChangeTo(Arm),
}

/// The side that a member belongs on. It comes from the state, the member's number and its zone alone, so
/// a restart changes nothing. A member that the plan does not know, or knows in another zone, stays on
/// the old side until the roll is done.
///
/// One whose restarts make a crash loop goes to the old side by itself and stays there for this plan: the
/// build may be such that it never says a word, and the crash loop is told from the old side.
pub fn arm_of(rollout: &Rollout, member: Member, zone: &str, restarts: u32) -> Arm {
    let Rollout { spec, progress } = rollout;
    if restarts >= spec.bounds.restarts {
        return Arm::Old;
    }
    if progress.status == Status::Done {
        return Arm::New;
    }
    if spec.fleet.zone_of(member) != Some(zone) {
        return Arm::Old;
    }
    Schedule::new(spec).map_or(Arm::Old, |schedule| schedule.arm_of(progress, member))
}

/// What a member is to do by a state that it acts on.
pub fn duty_of(rollout: &Rollout, member: Member, own: &Own) -> Duty {
    match arm_of(rollout, member, own.zone, own.restarts) {
        wanted if wanted == own.runs => Duty::Stay,
        wanted => Duty::ChangeTo(wanted),
    }
}
