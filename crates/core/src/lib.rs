//! The decisions of badgerledge, free of any wire.

pub mod chance;
pub mod decide;
pub mod interface;
pub mod state;
pub mod told;
pub mod words;

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;
