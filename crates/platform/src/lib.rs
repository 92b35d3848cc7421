//! Runs a controller on the platform: viewers speak binary frames, streamers speak JSON lines, and the
//! platform's name service provides the list of streamers. [`session_table`] tracks every session and does no
//! I/O; [`run`] joins it to the sockets of the event loop. All placement decisions are made by the decision
//! module in `core`. The design is described in `docs/platform.md`.

mod claims;
mod configuration;
#[cfg(test)]
mod configuration_tests;
mod connections;
mod dispatcher;
mod ended_sessions;
#[cfg(test)]
mod ended_sessions_tests;
mod expiring_map;
#[cfg(test)]
mod handover_tests;
mod inbound;
mod join_id;
mod phase;
mod release_causes;
mod request;
mod request_counts;
mod serve;
mod session_store;
mod session_table;
mod shutdown_schedule;
#[cfg(test)]
mod shutdown_schedule_tests;
mod signal_times;
#[cfg(test)]
mod signal_times_tests;
mod streamer_pool;
#[cfg(test)]
mod streamer_pool_tests;
#[cfg(test)]
mod tests;
mod transport;
mod unanswered;
mod viewer_pool;
#[cfg(test)]
mod viewer_pool_tests;

pub use serve::run;
