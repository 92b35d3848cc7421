//! A change in stages, judged side by side. No I/O, no clock, no chance.
//!
//! [`Plan`] says which members change in which stage. [`CountLog`] keeps what controllers count, however late, doubled or lost
//! their reports come. [`judge`] holds the new side's counts against the old side's at the same time, zone by zone, with a test
//! that holds however often it is looked at, and that takes a controller, not a request, as its unit.
//!
//! This is the first part of the rolling change: nothing carries it out yet.

mod comparison;
mod count_log;
mod measure;
mod plan;
mod sequential_test;
mod tally;
mod verdict;

#[cfg(test)]
mod tests;

pub use count_log::{CountLog, CountReport, Counted, ReportFault};
pub use measure::Measure;
pub use plan::{Member, Place, Plan, PlanFault};
pub use verdict::{judge, Controller, Evidence, Limits, Stage, Verdict, Waits};
