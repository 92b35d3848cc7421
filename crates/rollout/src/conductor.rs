//! The conductor: from the state as it is certified and from what members say, the next change of the
//! state.
//!
//! All that decides what members do is in the state. A conductor keeps only what it has heard and seen
//! since it began, and judges by that alone; so it can be killed at any moment, and any number of them
//! may run beside each other. Every change is made against the revision that was read and raises the
//! epoch, so of several that come from one state one is taken.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::count_log::{Counted, ReportFault};
use crate::order::{self, Order, Refusal};
use crate::plan::Member;
use crate::proposal::{next, Proposal, Read};
use crate::report::{Report, Reports};
use crate::schedule::{Schedule, Turn};
use crate::state::{AfterStop, Arm, Pace, Rollout, Status};
use crate::verdict::{judge, Controller, Evidence, Stage, Verdict, Waits};

/// The time, passed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// By the conductor's own steady clock; every duration is counted on it.
    pub clock: Duration,
    /// Seconds of Unix time, written into the state for people.
    pub unix_s: u64,
}

/// What a conductor would have done next, and what it waits for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    pub proposal: Option<Proposal>,
    pub waits: Option<Wait>,
    /// Why an order was not followed.
    pub refused: Option<Refusal>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Wait {
    /// There is no roll, or it is over.
    Start,
    /// Only an order moves it on.
    Operator(Status),
    /// What was read is older than what was read before.
    StaleRead { epoch: u64, known: u64 },
    /// So many of a zone's members are silent: the conductor may be cut off from them.
    CutOff { zone: u16, silent: usize },
    /// Half of the fleet or more is silent.
    FleetSilent(usize),
    /// A member of this wave is not ready on its side, or has not settled there.
    Member(Member),
    /// The verdict.
    Verdict(Waits),
    /// The state's plan makes no stages.
    Plan(String),
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wait::Start => f.write_str("a plan to be started"),
            Wait::Operator(status) => write!(f, "an operator: the roll is {status}"),
            Wait::StaleRead { epoch, known } => {
                write!(f, "a newer state: epoch {epoch} was read after {known}")
            }
            Wait::CutOff { zone, silent } => write!(f, "zone {zone}: {silent} of its members are silent"),
            Wait::FleetSilent(silent) => write!(f, "the fleet: {silent} members are silent"),
            Wait::Member(member) => write!(f, "member {member} to be ready and to settle"),
            Wait::Verdict(waits) => write!(f, "{waits}"),
            Wait::Plan(why) => write!(f, "a plan that can be carried out: {why}"),
        }
    }
}

/// A state that is watched: what was seen since it was first read.
#[derive(Clone, Debug)]
struct Watched {
    number: u32,
    epoch: u64,
    stage: usize,
    status: Status,
    /// When this epoch was first read: a stage or a wave lasts from then.
    since: Duration,
    schedule: Schedule,
}

/// Where a member's counts begin that the verdict rests on.
#[derive(Clone, Debug)]
struct Base {
    arm: Arm,
    counted: Vec<Counted>,
}

/// A conductor. See the module.
#[derive(Clone, Debug)]
pub struct Conductor {
    reports: Reports,
    watched: Option<Watched>,
    bases: BTreeMap<Member, Base>,
    /// Since when a member has been told to change: the epoch at which it was first seen to be so, and
    /// when it was first heard to act on that.
    told: BTreeMap<Member, (u64, Option<Duration>)>,
}

impl Conductor {
    /// `most` bounds the requests a second that a member can claim to have served.
    pub fn new(most: f64) -> Self {
        let (watched, bases, told) = (None, BTreeMap::new(), BTreeMap::new());
        Self { reports: Reports::new(most), watched, bases, told }
    }

    /// Takes a member's word.
    ///
    /// # Errors
    /// Where its counts can't be true; nothing has changed then.
    pub fn take(&mut self, now: Duration, report: Report) -> Result<(), ReportFault> {
        self.reports.take(now, report)
    }

    /// What follows from what was read and heard. An order goes before all else. `troubled` are zones in
    /// trouble of their own, which tell nothing about the new side.
    pub fn decide(
        &mut self, now: Now, read: &Read, troubled: &BTreeSet<u16>, order: Option<&Order>,
    ) -> Decision {
        if let Some(wait) = self.watch(now, read) {
            return Decision { waits: Some(wait), ..Decision::default() };
        }
        let mut decision = match order.map(|order| order::apply(read, order, now.unix_s)) {
            Some(Ok(proposal)) => return Decision { proposal: Some(proposal), ..Decision::default() },
            Some(Err(refusal)) => Decision { refused: Some(refusal), ..Decision::default() },
            None => Decision::default(),
        };
        match self.follow(now, read.rollout.as_ref(), troubled) {
            Ok(to) => decision.proposal = Some(Proposal::between(read, &to)),
            Err(wait) => decision.waits = Some(wait),
        }
        decision
    }

    /// Takes notice of the state that was read; what must be waited for before anything follows from it.
    fn watch(&mut self, now: Now, read: &Read) -> Option<Wait> {
        let rollout = read.rollout.as_ref()?;
        let epoch = rollout.progress.epoch;
        match &self.watched {
            Some(watched) if watched.epoch == epoch => {}
            Some(watched) if watched.epoch > epoch => {
                return Some(Wait::StaleRead { epoch, known: watched.epoch });
            }
            _ => {
                let schedule = match Schedule::new(&rollout.spec) {
                    Ok(schedule) => schedule,
                    Err(wrong) => return Some(Wait::Plan(wrong.to_string())),
                };
                self.begin(now.clock, rollout, schedule);
            }
        }
        self.notice_told(now.clock, rollout);
        self.notice_bases(now.clock, rollout);
        None
    }

    /// A state that was not read before.
    fn begin(&mut self, now: Duration, rollout: &Rollout, schedule: Schedule) {
        let (number, progress) = (rollout.spec.number, &rollout.progress);
        let before = self.watched.as_ref().filter(|before| before.number == number);
        if before.is_none() {
            self.told.clear();
        }
        // Counts go on from wave to wave of a stage. They begin anew with each stage, and where an
        // operator let it go on.
        let goes_on = before.is_some_and(|before| {
            let is_resumed = progress.status == Status::Running && before.status != Status::Running;
            before.stage == progress.stage && !is_resumed
        });
        if !goes_on {
            self.bases.clear();
        }
        self.watched = Some(Watched {
            number,
            epoch: progress.epoch,
            stage: progress.stage,
            status: progress.status,
            since: now,
            schedule,
        });
    }

    fn notice_told(&mut self, now: Duration, rollout: &Rollout) {
        let Some(watched) = &self.watched else { return };
        for place in &rollout.spec.fleet.places {
            if watched.schedule.arm_of(&rollout.progress, place.member) == Arm::Old {
                self.told.remove(&place.member);
                continue;
            }
            let (epoch, heard) = self.told.entry(place.member).or_insert((watched.epoch, None));
            let last = self.reports.last(place.member);
            if heard.is_none() && last.is_some_and(|last| last.report.epoch >= *epoch) {
                *heard = Some(now);
            }
        }
    }

    /// A member's counts begin once it has settled on its side.
    fn notice_bases(&mut self, now: Duration, rollout: &Rollout) {
        let Some(watched) = &self.watched else { return };
        for place in &rollout.spec.fleet.places {
            let arm = watched.schedule.arm_of(&rollout.progress, place.member);
            if self.bases.get(&place.member).is_some_and(|base| base.arm == arm) {
                continue;
            }
            let last = self.reports.last(place.member);
            if last.is_some_and(|last| last.is_settled(now, arm, rollout.spec.settle)) {
                let counted = self.reports.counted(place.member);
                self.bases.insert(place.member, Base { arm, counted });
            }
        }
    }

    /// The next state, or what is waited for.
    fn follow(&self, now: Now, rollout: Option<&Rollout>, troubled: &BTreeSet<u16>) -> Result<Rollout, Wait> {
        let (Some(rollout), Some(watched)) = (rollout, &self.watched) else { return Err(Wait::Start) };
        match rollout.progress.status {
            // What is paused is still guarded: its new side serves viewers.
            Status::Running | Status::Paused => self.forward(now, rollout, watched, troubled),
            Status::GoingBack => self.backward(now, rollout, watched),
            Status::Stopped => Err(Wait::Operator(Status::Stopped)),
            Status::Back | Status::Done => Err(Wait::Start),
        }
    }

    fn forward(
        &self, now: Now, rollout: &Rollout, watched: &Watched, troubled: &BTreeSet<u16>,
    ) -> Result<Rollout, Wait> {
        let progress = &rollout.progress;
        let lasted = now.clock.saturating_sub(watched.since);
        let stage = Stage {
            lasted,
            controllers: self.controllers(now.clock, rollout, watched),
            troubled: troubled.clone(),
            usual: rollout.spec.bounds.usual.clone(),
        };
        let verdict = judge(&stage, &rollout.spec.limits(progress.stage));
        if let Verdict::Stop(evidence) = verdict {
            return Ok(stopped(rollout, now.unix_s, &evidence));
        }
        if progress.status == Status::Paused {
            return Err(Wait::Operator(Status::Paused));
        }
        self.check_reach(now.clock, rollout)?;
        let turn: Turn = (progress.stage, progress.wave);
        self.check_settled(now.clock, rollout, watched, turn)?;
        if progress.wave >= watched.schedule.waves_in(progress.stage) {
            if let Verdict::Wait(waits) = verdict {
                return Err(Wait::Verdict(waits));
            }
        }
        Ok(match watched.schedule.after(turn) {
            Some((stage, wave)) => {
                let why = if wave == 1 { "the stage passed" } else { "the wave settled" };
                next(rollout, now.unix_s, why, |progress| (progress.stage, progress.wave) = (stage, wave))
            }
            None => {
                next(rollout, now.unix_s, "the last stage passed", |progress| progress.status = Status::Done)
            }
        })
    }

    /// Who can't be heard can't be judged: a part of the fleet that is silent may be on the other side of
    /// a split.
    fn check_reach(&self, now: Duration, rollout: &Rollout) -> Result<(), Wait> {
        let spec = &rollout.spec;
        let mut zones: BTreeMap<u16, (usize, usize)> = BTreeMap::new();
        for place in &spec.fleet.places {
            let (members, silent) = zones.entry(place.zone).or_default();
            *members += 1;
            *silent += usize::from(self.reports.fresh(now, place.member, spec.silent_after).is_none());
        }
        let cut =
            zones.iter().find(|(_, (members, silent))| *silent as f64 > *members as f64 * spec.silent_share);
        match cut {
            Some((zone, (_, silent))) => Err(Wait::CutOff { zone: *zone, silent: *silent }),
            None => Ok(()),
        }
    }

    /// Whether all that were told to change are ready and settled there, by fresh words.
    fn check_settled(
        &self, now: Duration, rollout: &Rollout, watched: &Watched, turn: Turn,
    ) -> Result<(), Wait> {
        let is_settled = |member: Member| {
            let last = self.reports.fresh(now, member, rollout.spec.silent_after);
            last.is_some_and(|last| last.is_settled(now, Arm::New, rollout.spec.settle))
        };
        match watched.schedule.released(turn).find(|member| !is_settled(*member)) {
            Some(member) => Err(Wait::Member(member)),
            None => Ok(()),
        }
    }

    fn controllers(&self, now: Duration, rollout: &Rollout, watched: &Watched) -> Vec<Controller> {
        let spec = &rollout.spec;
        let controller = |place: &crate::plan::Place| {
            let member = place.member;
            let arm = watched.schedule.arm_of(&rollout.progress, member);
            let fresh = self.reports.fresh(now, member, spec.silent_after);
            let told = self.told.get(&member).and_then(|(_, heard)| *heard);
            // What it said before it knew that it is to change is not the new side's.
            let report = fresh.map(|last| &last.report).filter(|_| told.is_some());
            let of_new = report.filter(|report| report.arm == Arm::New);
            let is_due = told.is_some_and(|told| now.saturating_sub(told) >= spec.ready_within);
            let is_ready = |report: &Report| report.arm == Arm::New && report.ready;
            Controller {
                member,
                zone: place.zone,
                new: arm == Arm::New,
                since: self.since_base(member, arm),
                restarts: report.map_or(0, |report| report.restarts),
                not_ready: is_due && report.is_some_and(|report| !is_ready(report)),
                broke_a_rule: of_new.is_some_and(|report| report.broke_a_rule),
                near_a_limit: of_new.is_some_and(|report| report.near_a_limit),
                refuses: report.is_some_and(|report| report.refuses),
                silent: fresh.is_none(),
            }
        };
        spec.fleet.places.iter().map(controller).collect()
    }

    /// What a member counted on its side since its counts began; nothing where they have not.
    fn since_base(&self, member: Member, arm: Arm) -> Vec<Counted> {
        let Some(base) = self.bases.get(&member).filter(|base| base.arm == arm) else { return Vec::new() };
        let now = self.reports.counted(member);
        let earlier = |n: usize| base.counted.get(n).copied().unwrap_or_default();
        now.iter().enumerate().map(|(n, counted)| counted.since(&earlier(n))).collect()
    }

    fn backward(&self, now: Now, rollout: &Rollout, watched: &Watched) -> Result<Rollout, Wait> {
        let (spec, progress) = (&rollout.spec, &rollout.progress);
        let fresh = |member: Member| self.reports.fresh(now.clock, member, spec.silent_after);
        let silent = spec.fleet.places.iter().filter(|place| fresh(place.member).is_none()).count();
        if silent * 2 >= spec.fleet.places.len() {
            return Err(Wait::FleetSilent(silent));
        }
        let waves = watched.schedule.back_waves((progress.stage, progress.wave));
        let wave = spec.back_wave(progress.pace);
        let is_late = now.clock.saturating_sub(watched.since) >= wave.at_most;
        let is_back = |member: Member| {
            fresh(member).is_some_and(|last| last.is_settled(now.clock, Arm::Old, wave.settle))
        };
        let of_wave = waves.iter().filter(|(_, of)| **of == progress.back_wave);
        let waited = of_wave.map(|(member, _)| *member).find(|member| !is_back(*member));
        if let Some(member) = waited.filter(|_| !is_late) {
            return Err(Wait::Member(member));
        }
        let is_last = waves.values().all(|of| *of <= progress.back_wave);
        Ok(next(rollout, now.unix_s, &progress.why, |progress| {
            if is_last {
                progress.status = Status::Back;
            } else {
                progress.back_wave += 1;
            }
        }))
    }
}

/// What a verdict makes of a roll: it goes back at once, or stops until an operator says what follows.
fn stopped(rollout: &Rollout, unix_s: u64, evidence: &Evidence) -> Rollout {
    let why = evidence.to_string();
    match rollout.spec.after_stop {
        AfterStop::GoBack => order::back(rollout, unix_s, pace_after(evidence), &why),
        AfterStop::Wait => next(rollout, unix_s, &why, |progress| progress.status = Status::Stopped),
    }
}

fn pace_after(evidence: &Evidence) -> Pace {
    match evidence {
        Evidence::CrashLoop(_) | Evidence::NotReady(_) => Pace::Quick,
        Evidence::BrokeARule(_) | Evidence::NearALimit(_) | Evidence::Refuses(_) | Evidence::Worse { .. } => {
            Pace::Paced
        }
    }
}
