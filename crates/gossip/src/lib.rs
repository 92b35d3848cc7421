//! Gossip membership of controllers. The crate does no I/O, reads no clock and holds no keys: time,
//! datagrams, randomness and signatures come from the caller, so that a thousand members can run in one test.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, DSN 2002) with the local health and the suspicion timeouts
//! shortened by independent accusers of Lifeguard (Dadgar, Phillips and Currey, 2017). It departs from both
//! in order to tolerate faulty members: what is forwarded is a *statement* signed by the member that made it
//! (see [`statement`]), each member decides by itself that another is dead ([`View`]), and only a member
//! itself raises its incarnation.

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
pub use member::{Counters, Event, Gossip, Transport};
pub use rate_limits::RateLimits;
pub use statement::{Keyring, SIGNATURE_BYTES};
pub use view::{MemberState, View};
pub use window::Window;

/// A member's number in the ring of keys.
pub type Member = u16;
/// Maximum number of members of a ring: twice the largest size that is tested.
pub const MAX_MEMBERS: usize = 2048;
