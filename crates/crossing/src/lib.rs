//! The budget of what crosses between buildings, held by each controller alone. No I/O, no clock, no wire.
//!
//! The budget is so many kB a second and a burst for all controllers together. Each owns an equal share of both
//! from the settings, and never spends more than it owns and was lent ([`SharedBucket`]): so the sum stays under the budget
//! whoever is dead, cut off or wrong about the others. What one does not need it lends for a while to one that asks
//! ([`Lending`]). What it may spend goes to the subscriptions that earn most for each byte ([`plan`]).

mod lending;
mod plan;
mod shared_bucket;
#[cfg(test)]
mod tests;

pub use lending::{Lending, Message, GRANT_LASTS, MESSAGE_BYTES};
pub use plan::{plan, Crosser, Plan, Step};
pub use shared_bucket::SharedBucket;
