//! The platform's way in and out of the controller: viewers' binary messages, streamers' JSON lines, the name
//! service's list, joined to the event loop. The calls' [`session_table`] is free of I/O; [`run`] serves. How it is built
//! and why: `docs/platform.md`. Every decision comes from the module in `core`.

mod asked;
mod calls;
mod causes;
mod configuration;
#[cfg(test)]
mod configuration_tests;
mod dispatcher;
mod ends;
mod front;
mod hearing;
mod phase;
mod pool;
#[cfg(test)]
mod pool_tests;
mod serve;
mod session_table;
#[cfg(test)]
mod tests;
mod unanswered;
mod wires;

pub use serve::run;
