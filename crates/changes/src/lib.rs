//! Effect of a change of settings or titles on waiting, joining and playing subscriptions. The package does no I/O, reads
//! no clock and takes no random numbers.
//!
//! A change never interrupts a playing subscription. Removed items are closed to new subscriptions at once, and keep their
//! numbers for existing ones ([`preserve_numbers`]). [`outcome`] decides the effect on each subscription: most continue,
//! some at a lower rung; those that wait for a removed title get a final answer; those that play from a cell that no
//! longer has their title are moved at times that are spread over an interval ([`MoveSchedule`]).

mod move_schedule;
mod outcome;
mod stable_numbers;

#[cfg(test)]
mod tests;

pub use move_schedule::MoveSchedule;
pub use outcome::{outcome, Action, Configuration, Outcome, Stage, Subscription};
pub use stable_numbers::preserve_numbers;
