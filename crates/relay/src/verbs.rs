//! The operators' commands.

pub mod change;
pub mod check;
pub mod diff;
pub mod found;
pub mod status;
pub mod watch;
