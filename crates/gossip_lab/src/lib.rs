//! The gossip of many members in simulated time, from a seed: the very code that a controller runs, on a network
//! that loses, delays, doubles, reorders and splits, with members that die, stall and lie.

mod keyring;
mod net;
mod watch;

pub use keyring::Keyed;
pub use net::{address, Net, Way};
pub use watch::{settled, Settled};
