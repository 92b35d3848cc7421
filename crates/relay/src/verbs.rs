//! What an operator asks for on the command line.

pub mod change;
pub mod check;
pub mod diff;
pub mod found;
pub mod status;
pub mod watch;
