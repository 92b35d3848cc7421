//! What a change of the settings or of the titles means for subscriptions that wait, join or play. No I/O, no clock, no
//! chance but what is handed in.
//!
//! A change never breaks what plays. What it takes away is taken from new subscriptions at once; what is held under it
//! keeps its numbers ([`arrange`]), and [`outcome`] says what becomes of each: most go on, some at a lower rung, those
//! that wait for a title that is gone get their final answer, and those that play where their title lies no more are
//! moved, spread over a stated time ([`MoveSchedule`]).

mod move_schedule;
mod numbers;
mod outcome;

#[cfg(test)]
mod tests;

pub use move_schedule::MoveSchedule;
pub use numbers::arrange;
pub use outcome::{outcome, Action, Configuration, Outcome, Stage, Subscription};
