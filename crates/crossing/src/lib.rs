//! Rate limit for media traffic between zones, enforced by each controller on its own. The package does no I/O and reads
//! no clock.
//!
//! The limit is a rate in kB/s and a burst in kB for all controllers together. The settings give each controller an equal
//! share of both. A controller never spends more than its share and the rate leased from others ([`SharedBucket`]), so
//! the total stays within the limit even when controllers are down, partitioned or have an outdated view of the others.
//! A controller leases rate that it does not need to a controller that requests it ([`Lending`]). The available rate
//! goes to the subscriptions with the highest benefit per byte ([`plan`]).

mod lending;
mod plan;
mod shared_bucket;
#[cfg(test)]
mod tests;

pub use lending::{Lending, Message, GRANT_LASTS, MESSAGE_BYTES};
pub use plan::{plan, Crosser, Plan, Step};
pub use shared_bucket::SharedBucket;
