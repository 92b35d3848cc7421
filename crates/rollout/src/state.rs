//! The state of a roll, as it stands in a revision of the shared configuration.
//!
//! [`Spec`] is what was planned and does not change while the roll is under way. [`Progress`] is how far
//! it has come. Together they are all that a conductor or a member needs to know; nothing else is kept
//! anywhere.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::measure::Measure;
use crate::plan::{Member, Place, Plan, PlanFault};
use crate::verdict::Limits;

/// A roll: its plan and how far it has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    pub spec: Spec,
    pub progress: Progress,
}

/// What was planned.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The plan's number: each plan has a higher one than all before it.
    pub number: u32,
    pub subject: Subject,
    pub fleet: Fleet,
    /// Members that change in the last stage.
    pub last: Vec<Member>,
    pub stages: Vec<StageSpec>,
    /// Members of one zone that are restarted at the same time, at most.
    pub at_once: u16,
    /// The same as a share of the zone's members; one is always allowed.
    pub at_once_share: f64,
    /// A member that was told to change is ready again within this time.
    pub ready_within: Duration,
    /// After a restart its viewers come again and its streamers may be cold for this long.
    pub settle: Duration,
    /// A member that was not heard for this long is silent.
    pub silent_after: Duration,
    /// Going forward waits while more than this share of a zone is silent.
    pub silent_share: f64,
    pub bounds: Bounds,
    pub after_stop: AfterStop,
}

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A build of the program, and the versions of the wire that it speaks.
    Program { build: String, wire: Vec<u8> },
    /// Values of settings by section and key.
    Settings(BTreeMap<(String, String), String>),
}

/// The members of a plan, and the names of their zones. A [`Place`] names its zone by its number here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    pub zones: Vec<String>,
    pub places: Vec<Place>,
}

/// One stage: the share of the fleet that is changed at its end, and how long it lasts at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageSpec {
    pub share: f64,
    pub at_least: Duration,
}

/// What must not get worse, and by how much.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub harm: BTreeMap<Measure, f64>,
    /// What usually goes wrong, from before the roll.
    pub usual: BTreeMap<Measure, f64>,
    /// The chance that a whole roll of alike builds is stopped.
    pub alpha: f64,
    /// Restarts of one controller that nobody ordered and that make a crash loop.
    pub restarts: u32,
}

/// What follows a verdict that stops a roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterStop {
    GoBack,
    /// An operator says what follows.
    Wait,
}

/// How far a roll has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Raised by one with each change of the state, over all plans: each change edits this key, so that
    /// of two changes made against the same revision one is rejected.
    pub epoch: u64,
    pub status: Status,
    /// From 0.
    pub stage: usize,
    /// Waves of this stage that were released, from 1.
    pub wave: u32,
    /// Waves of going back that were released; 0 while it goes forward.
    pub back_wave: u32,
    pub pace: Pace,
    /// When it was last changed, in seconds of Unix time. For people only: no decision rests on a time of
    /// day.
    pub since: u64,
    /// Why it stands as it does.
    pub why: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Running,
    /// An operator holds it where it is.
    Paused,
    /// A verdict or an operator stopped it; only an operator's order moves it.
    Stopped,
    GoingBack,
    /// All are on the old side again. A further roll is a new plan.
    Back,
    /// All are on the new side.
    Done,
}

/// How fast a roll is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Each wave settles before the next one.
    Paced,
    /// The new side serves nobody, so nothing is gained by waiting until its viewers came again.
    Quick,
}

/// The side that a member is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    Old,
    New,
}

impl Spec {
    /// Which members change in which stage.
    ///
    /// # Errors
    /// Where stages and fleet make no plan.
    pub fn plan(&self) -> Result<Plan, PlanFault> {
        let shares: Vec<f64> = self.stages.iter().map(|stage| stage.share).collect();
        Plan::new(self.number, &self.fleet.places, &shares, &self.last)
    }

    /// Members of a zone that are restarted at the same time, at most, where it has so many members.
    pub fn at_once_of(&self, members: usize) -> usize {
        let share = (members as f64 * self.at_once_share).floor() as usize;
        share.min(usize::from(self.at_once)).max(1)
    }

    /// What a verdict on a stage rests on.
    pub fn limits(&self, stage: usize) -> Limits {
        Limits {
            at_least: self.stages.get(stage).map_or(Duration::MAX, |stage| stage.at_least),
            harm: self.bounds.harm.clone(),
            alpha: self.bounds.alpha,
            stages: self.stages.len(),
            restarts: self.bounds.restarts,
        }
    }
}

impl Fleet {
    pub fn zone_name(&self, zone: u16) -> &str {
        self.zones.get(usize::from(zone)).map_or("?", String::as_str)
    }

    /// The zone's name of a member; nothing where the plan does not know it.
    pub fn zone_of(&self, member: Member) -> Option<&str> {
        let place = self.places.iter().find(|place| place.member == member)?;
        Some(self.zone_name(place.zone))
    }
}

impl Status {
    pub const ALL: [(Status, &'static str); 6] = [
        (Status::Running, "running"),
        (Status::Paused, "paused"),
        (Status::Stopped, "stopped"),
        (Status::GoingBack, "going_back"),
        (Status::Back, "back"),
        (Status::Done, "done"),
    ];

    /// Whether nothing follows but another plan.
    pub fn is_over(self) -> bool {
        matches!(self, Status::Back | Status::Done)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = Self::ALL.iter().find(|(status, _)| status == self);
        f.write_str(named.map_or("unknown", |(_, name)| name))
    }
}
