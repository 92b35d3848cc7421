//! Who changes in which stage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sha2::{Digest as _, Sha256};
use thiserror::Error;

pub use badgerledge_revisions::Member;

/// A member and its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub member: Member,
    pub zone: u16,
}

/// Why a plan is refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanFault {
    #[error(
        "stage {stage} has the share {1}: one over that of the stage before it and up to 1 is taken",
        stage = .0 + 1
    )]
    Share(usize, f64),
    #[error("the last stage ends at {0} of the fleet; it must end at 1")]
    Unfinished(f64),
    #[error("member {0} is named twice")]
    Twice(Member),
    #[error("member {0} is to be last, and is no member")]
    Unknown(Member),
    #[error("stage {stage} has no members", stage = .0 + 1)]
    Empty(usize),
    #[error("there are no stages, or no members")]
    Nothing,
}

/// Stages of a change, each with the members that change in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    stages: Vec<Vec<Member>>,
}

impl Plan {
    /// Each zone gives to each stage by the same shares (of the fleet, ending at 1), by a rank that comes from the plan's
    /// number and the member's alone: a restart changes nobody's side, and another plan begins with others. Those that are to
    /// be last change in the last stage.
    ///
    /// # Errors
    /// Where stages are empty, out of order or over the fleet, or a member is unknown or named twice.
    pub fn new(number: u32, fleet: &[Place], shares: &[f64], last: &[Member]) -> Result<Self, PlanFault> {
        let (Some(end), false) = (shares.last(), fleet.is_empty()) else { return Err(PlanFault::Nothing) };
        let mut before = 0.0;
        for (stage, share) in shares.iter().enumerate() {
            // Not a number is no share either.
            let rises = *share > before && *share <= 1.0;
            if !rises {
                return Err(PlanFault::Share(stage, *share));
            }
            before = *share;
        }
        if *end < 1.0 {
            return Err(PlanFault::Unfinished(*end));
        }
        let mut seen = BTreeSet::new();
        if let Some(twice) = fleet.iter().find(|place| !seen.insert(place.member)) {
            return Err(PlanFault::Twice(twice.member));
        }
        if let Some(unknown) = last.iter().find(|member| !seen.contains(member)) {
            return Err(PlanFault::Unknown(*unknown));
        }
        let mut zones: BTreeMap<u16, Vec<Member>> = BTreeMap::new();
        fleet.iter().for_each(|place| zones.entry(place.zone).or_default().push(place.member));
        let mut stages = vec![Vec::new(); shares.len()];
        for members in zones.values_mut() {
            members.sort_by_cached_key(|member| (last.contains(member), rank(number, *member)));
            let ends: Vec<usize> =
                shares.iter().map(|share| (members.len() as f64 * share).round() as usize).collect();
            let spared = members.iter().filter(|member| !last.contains(member)).count();
            let mut from = 0;
            for (stage, end) in ends.iter().enumerate() {
                // Whoever is to be last waits for the last stage, however large the others are.
                let end = if stage + 1 == ends.len() { members.len() } else { (*end).min(spared) };
                stages[stage].extend_from_slice(&members[from..end.max(from)]);
                from = from.max(end);
            }
        }
        stages.iter_mut().for_each(|members| members.sort_unstable());
        match stages.iter().position(Vec::is_empty) {
            Some(stage) => Err(PlanFault::Empty(stage)),
            None => Ok(Self { stages }),
        }
    }

    pub fn stages(&self) -> &[Vec<Member>] {
        &self.stages
    }

    /// The stage in which a member changes.
    pub fn stage_of(&self, member: Member) -> Option<usize> {
        self.stages.iter().position(|members| members.binary_search(&member).is_ok())
    }

    /// How long a stage must last until its members have had so many requests that a harm of that size (a share of them)
    /// would stand out: by the new side's own scatter, three deviations of a rate that is usually `rate`.
    pub fn must_last(&self, stage: usize, asked_per_s: f64, rate: f64, harm: f64) -> Option<Duration> {
        let members: usize = self.stages.get(..=stage)?.iter().map(Vec::len).sum();
        let pace = members as f64 * asked_per_s;
        let wanted = 9.0 * (rate + harm) * (1.0 - rate) / (harm * harm);
        (pace > 0.0 && harm > 0.0).then(|| Duration::from_secs_f64((wanted / pace).min(86_400.0)))
    }
}

/// A member's place in a plan: the same whenever it is asked for.
pub(crate) fn rank(number: u32, member: Member) -> [u8; 32] {
    let bytes = [&b"badgerledge rollout 1"[..], &number.to_be_bytes(), &member.to_be_bytes()].concat();
    Sha256::digest(bytes).into()
}
