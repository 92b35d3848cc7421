//! A plan for tests, and words of members.

use std::time::Duration;

use badgerledge_settings::IniFile;

use crate::{Arm, CountReport, Counted, Member, Pace, PaceDefaults, Progress, Report, Rollout, Spec, Status};

/// Three zones of ten.
pub const PLAN: &str = "\
[rollout]
plan = 7
program = 2026.12.2
wire = 3, 4
fleet = north 0-9, south 10-19, west 20-29
last = 4
shares = 0.1, 0.5, 1
at_least_s = 60, 60, 30
at_once = 2
harm = joins_lost 0.05
usual = joins_lost 0.01
";

pub const DEFAULTS: PaceDefaults = PaceDefaults { at_once_share: 0.3, settle: Duration::from_secs(10) };

pub fn spec_of(text: &str) -> Spec {
    let sheet = IniFile::parse("plan.ini", text).unwrap();
    Spec::of_plan(&sheet, DEFAULTS).unwrap()
}

pub fn spec() -> Spec {
    spec_of(PLAN)
}

/// A roll at a stage, from 0, and a wave of it.
pub fn rollout_at(stage: usize, wave: u32) -> Rollout {
    let progress = Progress {
        epoch: 5,
        status: Status::Running,
        stage,
        wave,
        back_wave: 0,
        pace: Pace::Paced,
        since: 1_764_600_000,
        why: "the wave settled".to_owned(),
    };
    Rollout { spec: spec(), progress }
}

/// A member that serves and has lost so many of the joins that it was asked for.
pub fn report(member: Member, arm: Arm, sequence: u64, asked: u64, lost: u64) -> Report {
    let counted = Counted {
        asked,
        joins: asked,
        lost,
        offered: asked * 1000,
        served: asked * 900,
        ..Counted::default()
    };
    Report {
        member,
        sequence,
        epoch: 5,
        arm,
        ready: true,
        restarts: 0,
        broke_a_rule: false,
        near_a_limit: false,
        refuses: false,
        said: CountReport { life: 1, by_room_type: vec![counted] },
    }
}
