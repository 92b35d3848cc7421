//! Rate limit for media traffic between zones, enforced by each controller on its own. The package does no I/O and reads
//! no clock.
//!
//! The limit is a rate in kB/s and a burst in kB for all controllers together. The settings give each controller an equal
//! share of both. A controller never spends more than its share and the rate leased from others ([`TokenBucket`]), so
//! the total stays within the limit even when controllers are down, partitioned or have an outdated view of the others.
//! A controller leases rate that it does not need to a controller that requests it ([`RateLeases`]). The available rate
//! goes to the subscriptions with the highest benefit per byte ([`plan_rungs`]).

mod plan;
mod rate_leases;
#[cfg(test)]
mod tests;
mod token_bucket;

pub use plan::{plan_rungs, CrossZoneSubscription, LadderRung, RungPlan};
pub use rate_leases::{Message, RateLeases, LEASE_DURATION, MESSAGE_BYTES};
pub use token_bucket::TokenBucket;
