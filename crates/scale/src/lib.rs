//! Runs the distribution tier at the plan's size and holds what it costs against the plan's budgets.
//!
//! A [`scenario::Scenario`] is played by members of several kinds: *simulated* ones, the state machines in simulated
//! time; *hollow* ones, the same state machines with real sockets and no viewers, many in one process; and *real*
//! controllers beside those. Each kind makes the same [`observations::Observations`], from which the same
//! [`figures::Figures`] are made.

pub mod figures;
pub mod flat;
pub mod hollow;
pub mod machine;
pub mod observations;
pub mod reckoning;
pub mod scenario;
pub mod simulation;
pub mod slopes;
pub mod summary;
pub mod timeline;
pub mod workload;

#[cfg(test)]
mod tests;
