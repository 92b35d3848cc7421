//! A change in stages, judged side by side. No I/O, no clock, no chance.
//!
//! [`Plan`] says which members change in which stage. [`Heard`] keeps what controllers count, however late, doubled or lost
//! their words come. [`judge`] holds the new side's counts against the old side's at the same time, zone by zone, with a test
//! that holds however often it is looked at, and that takes a controller, not a request, as its unit.
//!
//! This is the first part of the rolling change: nothing carries it out yet.

mod always;
mod cell;
mod heard;
mod plan;
mod verdict;

#[cfg(test)]
mod tests;

pub use heard::{Counted, Heard, Said, Unlikely};
pub use plan::{Member, Place, Plan, Wrong};
pub use verdict::{judge, Evidence, Limits, Measure, Side, Stage, Verdict, Waits};
