//! Distribution of certified configuration from a few control machines to thousands of controllers.
//!
//! Three roles, all free of I/O, clock and randomness (time and seeds are arguments):
//!
//! - **acceptors**, five or seven of the control machines, certify each revision by Paxos ([`badgerledge_revisions`]);
//! - **relays**, one on each control machine, hand revisions down to controllers and lease requests up to acceptors
//!   ([`relay::Relay`], [`control::ControlMachine`]);
//! - **watchers**, one in each controller, hold the state, prepare what is certified and act on it ([`watcher::Watcher`]).
//!
//! The configuration is a map of keys to values with a Merkle root ([`state::State`]). Authors push signed changes of
//! single keys; a [`change::Batch`] of them becomes a revision. Watchers verify the acceptors' signatures and the root
//! themselves, and a lease counts only with a quorum of acceptors' signatures over a nonce that the watcher drew: a
//! relay is trusted with nothing but availability. Why it is so: `docs/distribution.md`.

pub mod change;
pub mod control;
pub mod lease;
pub mod log;
pub mod message;
pub mod regional;
pub mod relay;
pub mod state;
mod tokens;
pub mod transfer;
pub mod watcher;

#[cfg(test)]
mod tests;

pub use badgerledge_revisions::{
    digest, quorum, Author, Certified, Digest, Member as MachineId, Number, Signature, Signed, Signer,
};

/// The number of a controller.
pub type ControllerId = u32;
