//! Leases that acceptors grant to thousands of watchers, with one signature for each batch of requests of a
//! relay.
//!
//! A watcher draws an unpredictable nonce and records the time. Its relay collects the nonces of its watchers
//! as the leaves of a Merkle tree and sends the root to the acceptors; each acceptor signs the root together
//! with the highest revision whose activation it has allowed. The watcher verifies the path from its nonce to
//! the root and a quorum of signatures. Each signature was made after the nonce was drawn, so a lease that is
//! counted from that moment is never too long, whatever the relay does.
//!
//! The tree is padded to a power of two with a digest that no leaf has, leaves and inner nodes are hashed in
//! separate domains, and the root covers the depth: no two different lists of leaves have the same root.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

use crate::{digest, quorum, ControllerId, Digest, MachineId, Number, Signature, Signer};

/// The duration of a lease, counted by the watcher from when it drew the nonce.
pub const LEASE: Duration = Duration::from_secs(6);
/// The number of requests that a watcher sends within a lease: two of three requests may be lost.
pub const REQUESTS_PER_LEASE: u32 = 3;
/// The depth of the largest tree of nonces: 65,536 watchers of one relay.
pub const MAX_DEPTH: usize = 16;
/// The maximum number of grants in a proof: more than there are acceptors in any deployment.
pub const MAX_GRANTS: usize = 32;

const LEAF_DOMAIN: &[u8] = b"badgerledge lease leaf 1";
const EMPTY_DOMAIN: &[u8] = b"badgerledge lease empty 1";
const NODE_DOMAIN: &[u8] = b"badgerledge lease node 1";
const ROOT_DOMAIN: &[u8] = b"badgerledge lease root 1";
const GRANT_DOMAIN: &[u8] = b"badgerledge lease grant 1";

/// Drawn for each request. Unpredictable, so that no grant over it can be obtained in advance.
pub type Nonce = [u8; 16];

/// The longest time for which two watchers may act on contradicting revisions. `activation_delay` is the longest
/// time from a decision until its messages are sent.
pub fn contradiction_bound(activation_delay: Duration) -> Duration {
    badgerledge_revisions::bound(LEASE, activation_delay)
}

/// The leaf of the nonce of a watcher. It covers the number of the watcher, so that a grant for one watcher
/// is not valid for another.
pub fn leaf(controller: ControllerId, nonce: &Nonce) -> Digest {
    digest(&[LEAF_DOMAIN, &controller.to_be_bytes(), nonce].concat())
}

fn empty_leaf() -> Digest {
    digest(EMPTY_DOMAIN)
}

fn inner_node(left: &Digest, right: &Digest) -> Digest {
    digest(&[NODE_DOMAIN, left, right].concat())
}

fn root_of(depth: usize, top: &Digest) -> Digest {
    digest(&[ROOT_DOMAIN, &(depth as u32).to_be_bytes(), top].concat())
}

/// A Merkle tree over the nonces of one batch of lease requests.
#[derive(Clone, Debug)]
pub struct NonceTree {
    /// The levels from the leaves, padded to a power of two, to the single top.
    levels: Vec<Vec<Digest>>,
}

impl NonceTree {
    /// The tree over these leaves, in this order. Leaves beyond the maximum of 2^[`MAX_DEPTH`] are dropped.
    pub fn new(mut leaves: Vec<Digest>) -> Self {
        leaves.truncate(1 << MAX_DEPTH);
        let width = leaves.len().max(1).next_power_of_two();
        leaves.resize(width, empty_leaf());
        let mut levels = vec![leaves];
        while let Some(level) = levels.last().filter(|level| level.len() > 1) {
            let parents = level.chunks_exact(2).map(|pair| inner_node(&pair[0], &pair[1])).collect();
            levels.push(parents);
        }
        Self { levels }
    }

    /// The root, which acceptors sign.
    pub fn root(&self) -> Digest {
        let top = self.levels.last().and_then(|level| level.first());
        root_of(self.levels.len() - 1, top.unwrap_or(&[0; 32]))
    }

    /// The sibling digests on the path from a leaf to the root; empty if there is no such leaf.
    pub fn path(&self, index: usize) -> Vec<Digest> {
        let below_top = &self.levels[..self.levels.len() - 1];
        let sibling = |(height, level): (usize, &Vec<Digest>)| level.get((index >> height) ^ 1).copied();
        below_top.iter().enumerate().filter_map(sibling).collect()
    }
}

/// The root that a path leads to from a leaf; `None` if no tree has such a path.
pub fn root_of_path(leaf: Digest, index: u32, path: &[Digest]) -> Option<Digest> {
    if path.len() > MAX_DEPTH || u64::from(index) >= 1 << path.len() {
        return None;
    }
    let parent = |below: Digest, (height, sibling): (usize, &Digest)| match index >> height & 1 {
        0 => inner_node(&below, sibling),
        _ => inner_node(sibling, &below),
    };
    let top = path.iter().enumerate().fold(leaf, parent);
    Some(root_of(path.len(), &top))
}

/// The signed statement of an acceptor over the root of a tree of nonces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub acceptor: MachineId,
    pub root: Digest,
    /// The highest revision whose activation this acceptor had allowed when it signed.
    pub allowed: Number,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

impl Grant {
    fn signed_bytes(acceptor: MachineId, root: &Digest, allowed: Number) -> Vec<u8> {
        [GRANT_DOMAIN, &acceptor.to_be_bytes(), root, &allowed.to_be_bytes()].concat()
    }

    /// Signs a grant as this acceptor.
    pub fn sign(signer: &impl Signer, acceptor: MachineId, root: Digest, allowed: Number) -> Self {
        let signature = signer.sign(&Self::signed_bytes(acceptor, &root, allowed));
        Self { acceptor, root, allowed, signature }
    }

    /// Whether an acceptor of the ring signed the grant.
    pub fn is_valid(&self, signer: &impl Signer) -> bool {
        let bytes = Self::signed_bytes(self.acceptor, &self.root, self.allowed);
        signer.acceptors().contains(&self.acceptor)
            && signer.verify_member(self.acceptor, &bytes, &self.signature)
    }
}

/// The proof that a watcher has a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseProof {
    pub nonce: Nonce,
    /// The index of the nonce among the leaves.
    pub index: u32,
    /// The sibling digests on the path from the leaf to the root.
    pub path: Vec<Digest>,
    pub grants: Vec<Grant>,
}

/// Why a proof does not grant a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseFault {
    #[error("no tree of nonces has a path of {0} steps from leaf {1}")]
    Path(usize, u32),
    #[error("{0} grants; at most {MAX_GRANTS} are allowed")]
    TooMany(usize),
    #[error("{0} grants are not signed by an acceptor over the root of the path; {1} are, {2} are needed")]
    Unsigned(usize, usize, usize),
    #[error("grants of {0} acceptors; {1} are needed")]
    TooFew(usize, usize),
    #[error("a quorum of acceptors granted, but the activation of revision {0} is allowed")]
    Behind(Number),
}

impl LeaseFault {
    /// Whether the sender could have known that the proof is invalid.
    pub fn is_forged(&self) -> bool {
        matches!(self, Self::Path(..) | Self::TooMany(_) | Self::Unsigned(..))
    }
}

impl LeaseProof {
    /// Verifies that a watcher whose active revision is `active` has a lease: a quorum of acceptors granted,
    /// and none of them had allowed the activation of a higher revision when it did.
    ///
    /// # Errors
    /// If no tree has the path, or too few acceptors granted.
    pub fn check(
        &self, controller: ControllerId, active: Number, signer: &impl Signer,
    ) -> Result<(), LeaseFault> {
        let root = root_of_path(leaf(controller, &self.nonce), self.index, &self.path)
            .ok_or(LeaseFault::Path(self.path.len(), self.index))?;
        if self.grants.len() > MAX_GRANTS {
            return Err(LeaseFault::TooMany(self.grants.len()));
        }
        let mut valid: Vec<&Grant> = Vec::new();
        let mut invalid = 0;
        for grant in &self.grants {
            if grant.root != root || !grant.is_valid(signer) {
                invalid += 1;
            } else if !valid.iter().any(|other| other.acceptor == grant.acceptor) {
                valid.push(grant);
            }
        }
        let needed = quorum(signer.acceptors().len());
        let not_ahead = valid.iter().filter(|grant| grant.allowed <= active).count();
        if not_ahead >= needed {
            return Ok(());
        }
        if valid.len() >= needed {
            let highest = valid.iter().map(|grant| grant.allowed).max().unwrap_or(active);
            return Err(LeaseFault::Behind(highest));
        }
        match invalid {
            0 => Err(LeaseFault::TooFew(valid.len(), needed)),
            _ => Err(LeaseFault::Unsigned(invalid, valid.len(), needed)),
        }
    }
}
