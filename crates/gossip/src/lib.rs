//! Membership of controllers by gossip. No I/O, no clock, no keys: time, datagrams, chance and signatures come from
//! outside, so that a thousand members run in one test.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, DSN 2002) with the local health and the suspicion that is
//! shortened by independent accusers of Lifeguard (Dadgar, Phillips and Currey, 2017). It departs from both where a
//! member may lie: what is passed on is a *statement* signed by the member that made it (see [`statement`]), each
//! member decides alone that another is dead ([`View`]), and only a member itself raises its incarnation.

mod budget;
pub mod envelope;
mod health;
mod member;
mod outbox;
mod probe;
mod rate_limits;
pub mod statement;
#[cfg(test)]
mod tests;
mod token_bucket;
mod view;
mod window;

pub use budget::{Budget, MAX_BYTES_PER_SECOND};
pub use envelope::{Fault, MAX_DATAGRAM_BYTES};
pub use member::{Counts, Event, Gossip, Transport};
pub use rate_limits::RateLimits;
pub use statement::{Keyring, SIGNATURE_BYTES};
pub use view::{MemberState, View};
pub use window::Window;

/// A member's number in the ring of keys.
pub type Member = u16;
/// Members of a ring at most: twice the largest size that is rehearsed.
pub const MAX_MEMBERS: usize = 2048;
