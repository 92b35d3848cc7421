//! A scripted day: read ([`Day`]), played through real controllers ([`play`]), and judged ([`Report`]).

mod controllers;
mod day;
mod gossip;
mod messages;
mod operators;
mod plan;
mod play;
mod report;
mod revisions;
mod script;
mod scripted;
mod troubles;

pub use day::{Day, Trouble, TROUBLES};
pub use gossip::{GossipDay, Membership};
pub use play::{play, Options};
pub use report::Report;
pub use revisions::Revised;
pub use script::{RevisionsDay, Script};
