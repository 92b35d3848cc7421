//! The platform's way in and out of the controller: viewers' binary messages, streamers' JSON lines, the name
//! service's list, joined to the event loop. The calls' [`book`] is free of I/O; [`run`] serves. How it is built
//! and why: `docs/platform.md`. Every decision comes from the module in `core`.

mod asked;
mod book;
mod desk;
mod ends;
mod front;
mod pool;
#[cfg(test)]
mod pool_tests;
mod serve;
#[cfg(test)]
mod tests;
mod told;
mod unanswered;

pub use serve::run;
