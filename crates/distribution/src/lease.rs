//! Leases that acceptors grant to thousands of watchers with one signature for each relay's batch of requests.
//!
//! A watcher draws an unpredictable nonce and notes when. Its relay gathers the nonces of its watchers as the leaves of a
//! Merkle tree and sends the root to the acceptors; each signs the root together with the highest revision that it has
//! allowed to be acted on. The watcher checks the path from its nonce to the root and a quorum of signatures: each
//! signature was made after the nonce was drawn, so a lease counted from that moment is never too long, whatever the
//! relay does.
//!
//! The tree is filled up to a power of two with a digest that is no leaf's, leaves and inner nodes are hashed in domains
//! of their own, and the root covers the depth: no two different lists of leaves lead to one root.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

use crate::{digest, quorum, ControllerId, Digest, MachineId, Number, Signature, Signer};

/// How long a lease lasts, counted by the watcher from when it drew the nonce.
pub const LEASE: Duration = Duration::from_secs(6);
/// How often a watcher asks for a new lease while one lasts: two of three requests may be lost.
pub const REQUESTS_IN_A_LEASE: u32 = 3;
/// The depth of the largest tree of nonces: 65,536 watchers of one relay.
pub const MAX_DEPTH: usize = 16;
/// The most grants that a proof may have: more than there are acceptors in any deployment.
pub const MAX_GRANTS: usize = 32;

const LEAF_DOMAIN: &[u8] = b"badgerledge lease leaf 1";
const EMPTY_DOMAIN: &[u8] = b"badgerledge lease empty 1";
const NODE_DOMAIN: &[u8] = b"badgerledge lease node 1";
const ROOT_DOMAIN: &[u8] = b"badgerledge lease root 1";
const GRANT_DOMAIN: &[u8] = b"badgerledge lease grant 1";

/// Drawn anew for each request; unpredictable, so that no grant over it can be had beforehand.
pub type Nonce = [u8; 16];

/// How long two watchers may act on contradicting revisions at most. `late` is how long what was decided may still take
/// to go out.
pub fn bound(late: Duration) -> Duration {
    badgerledge_revisions::bound(LEASE, late)
}

/// The leaf of a watcher's nonce. It covers the watcher's number: one watcher's grant is none for another.
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

/// A tree over the nonces of one batch of lease requests.
#[derive(Clone, Debug)]
pub struct NonceTree {
    /// The levels from the leaves, filled up to a power of two, to the single top.
    levels: Vec<Vec<Digest>>,
}

impl NonceTree {
    /// The tree over these leaves, in this order. Leaves beyond the 2^[`MAX_DEPTH`] that a tree holds are left out.
    pub fn new(mut leaves: Vec<Digest>) -> Self {
        leaves.truncate(1 << MAX_DEPTH);
        let width = leaves.len().max(1).next_power_of_two();
        leaves.resize(width, empty_leaf());
        let mut levels = vec![leaves];
        while let Some(level) = levels.last().filter(|level| level.len() > 1) {
            let above = level.chunks_exact(2).map(|pair| inner_node(&pair[0], &pair[1])).collect();
            levels.push(above);
        }
        Self { levels }
    }

    /// What acceptors sign.
    pub fn root(&self) -> Digest {
        let top = self.levels.last().and_then(|level| level.first());
        root_of(self.levels.len() - 1, top.unwrap_or(&[0; 32]))
    }

    /// The digests beside the path from a leaf to the root; empty where there is no such leaf.
    pub fn path(&self, index: usize) -> Vec<Digest> {
        let below_top = &self.levels[..self.levels.len() - 1];
        let beside = |(height, level): (usize, &Vec<Digest>)| level.get((index >> height) ^ 1).copied();
        below_top.iter().enumerate().filter_map(beside).collect()
    }
}

/// The root that a path leads to from a leaf; none where no tree has such a path.
pub fn root_from(leaf: Digest, index: u32, path: &[Digest]) -> Option<Digest> {
    if path.len() > MAX_DEPTH || u64::from(index) >= 1 << path.len() {
        return None;
    }
    let up = |below: Digest, (height, beside): (usize, &Digest)| match index >> height & 1 {
        0 => inner_node(&below, beside),
        _ => inner_node(beside, &below),
    };
    let top = path.iter().enumerate().fold(leaf, up);
    Some(root_of(path.len(), &top))
}

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

impl Grant {
    fn signed_bytes(acceptor: MachineId, root: &Digest, allowed: Number) -> Vec<u8> {
        [GRANT_DOMAIN, &acceptor.to_be_bytes(), root, &allowed.to_be_bytes()].concat()
    }

    /// This acceptor's grant.
    pub fn sign(hand: &impl Signer, acceptor: MachineId, root: Digest, allowed: Number) -> Self {
        let signature = hand.sign(&Self::signed_bytes(acceptor, &root, allowed));
        Self { acceptor, root, allowed, signature }
    }

    /// Whether an acceptor of the ring signed it.
    pub fn holds(&self, hand: &impl Signer) -> bool {
        let bytes = Self::signed_bytes(self.acceptor, &self.root, self.allowed);
        hand.acceptors().contains(&self.acceptor)
            && hand.verify_member(self.acceptor, &bytes, &self.signature)
    }
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

/// Why a proof gives no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseFault {
    #[error("a path of {0} steps from leaf {1} is in no tree of nonces")]
    Path(usize, u32),
    #[error("{0} grants, where {MAX_GRANTS} at most are taken")]
    TooMany(usize),
    #[error("{0} of its grants are not signed by an acceptor over the root that the path leads to; {1} are, {2} are needed")]
    Unsigned(usize, usize, usize),
    #[error("grants of {0} acceptors, where {1} are needed")]
    TooFew(usize, usize),
    #[error("a quorum of acceptors granted, and revision {0} is allowed to be acted on")]
    Behind(Number),
}

impl LeaseFault {
    /// Whether whoever handed the proof down could have known that it shows nothing.
    pub fn is_forged(&self) -> bool {
        matches!(self, Self::Path(..) | Self::TooMany(_) | Self::Unsigned(..))
    }
}

impl LeaseProof {
    /// Whether this shows that a watcher which acts on revision `acting` has a lease: a quorum of acceptors granted, none
    /// of which had allowed a higher revision when it did.
    ///
    /// # Errors
    /// Where the path is in no tree, or too few acceptors granted.
    pub fn check(
        &self, controller: ControllerId, acting: Number, hand: &impl Signer,
    ) -> Result<(), LeaseFault> {
        let root = root_from(leaf(controller, &self.nonce), self.index, &self.path)
            .ok_or(LeaseFault::Path(self.path.len(), self.index))?;
        if self.grants.len() > MAX_GRANTS {
            return Err(LeaseFault::TooMany(self.grants.len()));
        }
        let mut granted: Vec<&Grant> = Vec::new();
        let mut unsigned = 0;
        for grant in &self.grants {
            if grant.root != root || !grant.holds(hand) {
                unsigned += 1;
            } else if !granted.iter().any(|held| held.acceptor == grant.acceptor) {
                granted.push(grant);
            }
        }
        let needed = quorum(hand.acceptors().len());
        let in_time = granted.iter().filter(|grant| grant.allowed <= acting).count();
        if in_time >= needed {
            return Ok(());
        }
        if granted.len() >= needed {
            let highest = granted.iter().map(|grant| grant.allowed).max().unwrap_or(acting);
            return Err(LeaseFault::Behind(highest));
        }
        match unsigned {
            0 => Err(LeaseFault::TooFew(granted.len(), needed)),
            _ => Err(LeaseFault::Unsigned(unsigned, granted.len(), needed)),
        }
    }
}
