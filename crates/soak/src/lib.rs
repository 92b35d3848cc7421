//! Soak: short, dense runs of real controllers on the platform. A [`Plan`] draws from a seed which faults a run
//! combines: shutdowns in series while streamers hang, refusals with second copies, malformed answers, resets,
//! silent discovery, drains, crowds, clients that leave early or write in pieces. [`play`] plays it with real
//! processes on loopback; one event loop holds all clients, streamers and name services, so that the
//! [`Record`] of what they saw has one clock. [`judge`] compares the record with the protocol's rules.

mod clients;
mod messages;
mod names;
mod plan;
mod processes;
mod record;
mod rig;
mod streamers;
mod witness;
#[cfg(test)]
mod witness_tests;

pub use plan::Plan;
pub use record::{Coverage, Record};
pub use rig::{play, Outcome};
pub use witness::{judge, Violation};
