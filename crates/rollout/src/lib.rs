//! A change in stages, judged side by side. No I/O, no clock, no chance.
//!
//! [`Plan`] says which members change in which stage. [`CountLog`] keeps what controllers count, however
//! late, doubled or lost their reports come. [`judge`] holds the new side's counts against the old side's
//! at the same time, zone by zone, with a test that holds however often it is looked at, and that takes a
//! controller, not a request, as its unit.
//!
//! A [`Rollout`] is a roll's plan and how far it has come: sections of the shared configuration. A
//! [`Conductor`] proposes its changes ([`Proposal`]), an operator's [`Order`] goes before them, and
//! [`duty_of`] says what a member does about it.
//!
//! Nothing carries it out yet: no controller calls it, and no program pushes a proposal.

mod comparison;
mod conductor;
mod count_log;
mod explain;
mod measure;
mod order;
mod pace;
mod plan;
mod planning;
mod preview;
mod proposal;
mod report;
mod schedule;
mod sequential_test;
mod state;
mod tally;
mod text;
mod verdict;

#[cfg(test)]
mod tests;

pub use conductor::{Conductor, Decision, Now, Wait};
pub use count_log::{CountLog, CountReport, Counted, ReportFault};
pub use explain::MEASURE_NAMES;
pub use measure::Measure;
pub use order::{apply, Order, Refusal};
pub use pace::{derive, BackWave};
pub use plan::{Member, Place, Plan, PlanFault};
pub use planning::plan_of;
pub use preview::{Preview, StagePreview};
pub use proposal::{epoch_key, Proposal, Read};
pub use report::{LastReport, Report, Reports};
pub use schedule::{arm_of, duty_of, Duty, Own, Schedule, Turn};
pub use state::{AfterStop, Arm, Bounds, Fleet, Pace, Progress, Rollout, Spec, StageSpec, Status, Subject};
pub use text::{PaceDefaults, SECTION, SETTINGS_SECTION};
pub use verdict::{judge, Controller, Evidence, Limits, Stage, Verdict, Waits};
