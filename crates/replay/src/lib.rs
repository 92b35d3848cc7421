//! A scripted day: read ([`Day`]), played through real controllers ([`play`]), and judged ([`Report`]).

mod controllers;
mod day;
mod messages;
mod plan;
mod play;
mod report;
mod troubles;

pub use day::{Day, Trouble, TROUBLES};
pub use play::{play, Options};
pub use report::Report;
