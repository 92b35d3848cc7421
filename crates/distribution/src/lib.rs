//! Distribution of certified configuration from a few control machines to thousands of controllers.
//!
//! The crate has three roles. None of them does I/O, reads a clock or draws random numbers; time and seeds
//! are arguments:
//!
//! - **acceptors**, five or seven of the control machines, certify each revision by Paxos
//!   ([`badgerledge_revisions`]);
//! - **relays**, one on each control machine, send revisions to controllers and forward lease requests to
//!   acceptors ([`relay::Relay`], [`control::ControlMachine`]);
//! - **watchers**, one in each controller, store the configuration, prepare certified revisions and activate
//!   them ([`watcher::Watcher`]).
//!
//! The configuration is a map of keys to values with a Merkle root ([`state::State`]). Authors push signed
//! changes of single keys; a [`change::Batch`] of them becomes a revision. Watchers verify the acceptors'
//! signatures and the root themselves, and a lease is valid only with signatures of a quorum of acceptors
//! over a nonce that the watcher drew. Relays are therefore trusted for availability only. The design and its
//! reasons: `docs/distribution.md`.

pub mod change;
pub mod control;
pub mod lease;
pub mod log;
pub mod message;
pub mod regional;
pub mod relay;
pub mod state;
mod token_bucket;
pub mod transfer;
pub mod watcher;

#[cfg(test)]
mod tests;

pub use badgerledge_revisions::{
    digest, quorum, Author, Certified, Digest, Member as MachineId, Number, Signature, Signed, Signer,
};

/// The number of a controller.
pub type ControllerId = u32;
