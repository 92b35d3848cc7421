//! The exchanges of subscriptions, from a viewer's first SETUP through joins, answer, play, steps of rung and
//! moves to the end. No I/O, no clock, no chance but from a seed.
//!
//! [`Exchange::round`] is called once a round. Its `feed` tells what came in through the methods of [`Floor`], in
//! order; then what is overdue ends, the module does its due work, and what was decided goes out through the
//! [`Carrier`]. The steps of joins that are out need no decision and go between rounds ([`Exchange::between`]). Between an end of a connection and the module stands one record for each subscription
//! ([`book`]): it knows which lines wait for an answer, which join is out, and what the viewer was told.
//!
//! What is decided here and nowhere else: whether there is room to take a viewer at all, and when one that is
//! turned away may come back ([`Admission`]); that a retry while the first try is out joins its wait; that an
//! answer is given in time even where the module gives none ([`limits`]).

mod admission;
pub mod book;
mod changing;
mod desk;
mod exchange;
mod floor;
pub mod limits;
mod steps;
#[cfg(test)]
mod tests;

pub use admission::Admission;
pub use desk::Carrier;
pub use exchange::Exchange;
pub use floor::Floor;
pub use steps::Steps;

/// A viewer's connection, as the program numbers it. Numbers are never used twice.
pub type Line = u64;
