//! Stand-ins for all that a controller meets: streamers behind shared links, a list service with its lag, and
//! viewers who watch, give up and come again. All speak the real protocols on loopback sockets; many share one
//! process and one loop. What they see of the six rules they tell a [`badgerledge_witness::RuleChecker`].

pub mod links;
mod list_service;
mod media;
mod ports;
#[cfg(test)]
mod ports_tests;
mod streamers;
mod tally;
mod viewers;

pub use list_service::ListService;
pub use media::{packet, Packet};
pub use ports::free_port;
pub use streamers::{Condition, Counts as StreamerCounts, Streamers, Told};
pub use tally::{Steps, Tally, SWING};
pub use viewers::{Counts as ViewerCounts, Habits, Plan, Served, Viewers};
