//! Leases that acceptors grant to thousands of watchers with one signature for each relay's batch of requests.
//!
//! A watcher draws an unpredictable nonce and notes when. Its relay gathers the nonces of its watchers as the leaves of a
//! Merkle tree and sends the root to the acceptors; each signs the root together with the highest revision that it has
//! allowed to be acted on. The watcher checks the path from its nonce to the root and a quorum of signatures: each
//! signature was made after the nonce was drawn, so a lease counted from that moment is never too long, whatever the
//! relay does.

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::{Digest, MachineId, Number, Signature};

/// Drawn anew for each request; unpredictable, so that no grant over it can be had beforehand.
pub type Nonce = [u8; 16];

/// An acceptor's signed statement over the root of a tree of nonces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub acceptor: MachineId,
    pub root: Digest,
    /// The highest revision that this acceptor had allowed to be acted on when it signed.
    pub allowed: Number,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// What shows a watcher that it has a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseProof {
    pub nonce: Nonce,
    /// The place of the nonce among the leaves.
    pub index: u32,
    /// The digests beside the path from the leaf to the root.
    pub path: Vec<Digest>,
    pub grants: Vec<Grant>,
}
