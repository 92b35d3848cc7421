//! The decisions of badgerledge, without any I/O: on which streamer a subscription plays, at which rung, and
//! when it is moved.

pub mod decide;
pub mod interface;
pub mod load_reports;
pub mod placements;
pub mod random;
pub mod settings;
pub mod state;

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod large_table_tests;
#[cfg(test)]
mod tests;
