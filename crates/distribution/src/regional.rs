//! Leases of a region that is cut off from the acceptors: control machines vouch for the revision that they act on, over a
//! nonce that the watcher drew. A machine does so only while it holds a relay lease from a quorum of acceptors
//! ([`badgerledge_revisions::Revisions::may_vouch`]).

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::lease::{leaf, root_of_path, LeaseFault, Nonce, MAX_GRANTS};
use crate::{ControllerId, Digest, MachineId, Number, Signature, Signer};

/// Machines that must vouch: one that lies can't keep a watcher on an old revision alone.
pub const VOUCHERS: usize = 2;

const DOMAIN: &[u8] = b"badgerledge regional grant 1";

/// A control machine's signed statement over the root of a tree of nonces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionalGrant {
    pub machine: MachineId,
    pub root: Digest,
    /// The highest revision that this machine knew to be allowed when it signed.
    pub allowed: Number,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

impl RegionalGrant {
    fn signed_bytes(machine: MachineId, root: &Digest, allowed: Number) -> Vec<u8> {
        [DOMAIN, &machine.to_be_bytes(), root, &allowed.to_be_bytes()].concat()
    }

    /// This machine's grant.
    pub fn sign(hand: &impl Signer, machine: MachineId, root: Digest, allowed: Number) -> Self {
        let signature = hand.sign(&Self::signed_bytes(machine, &root, allowed));
        Self { machine, root, allowed, signature }
    }

    /// Whether a control machine of the ring signed it.
    pub fn holds(&self, hand: &impl Signer) -> bool {
        let bytes = Self::signed_bytes(self.machine, &self.root, self.allowed);
        hand.members().contains(&self.machine) && hand.verify_member(self.machine, &bytes, &self.signature)
    }
}

/// What shows a watcher that it has a lease without a quorum of acceptors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionalProof {
    pub nonce: Nonce,
    /// The place of the nonce among the leaves.
    pub index: u32,
    /// The digests beside the path from the leaf to the root.
    pub path: Vec<Digest>,
    pub grants: Vec<RegionalGrant>,
}

impl RegionalProof {
    /// Whether this shows that a watcher which acts on revision `acting` has a lease: [`VOUCHERS`] machines vouched for it or
    /// an earlier one.
    ///
    /// # Errors
    /// Where the path is in no tree, or too few machines vouched.
    pub fn check(
        &self, controller: ControllerId, acting: Number, hand: &impl Signer,
    ) -> Result<(), LeaseFault> {
        let root = root_of_path(leaf(controller, &self.nonce), self.index, &self.path)
            .ok_or(LeaseFault::Path(self.path.len(), self.index))?;
        if self.grants.len() > MAX_GRANTS {
            return Err(LeaseFault::TooMany(self.grants.len()));
        }
        let mut vouchers: Vec<&RegionalGrant> = Vec::new();
        let mut unsigned = 0;
        for grant in &self.grants {
            if grant.root != root || !grant.holds(hand) {
                unsigned += 1;
            } else if !vouchers.iter().any(|held| held.machine == grant.machine) {
                vouchers.push(grant);
            }
        }
        if vouchers.iter().filter(|grant| grant.allowed <= acting).count() >= VOUCHERS {
            return Ok(());
        }
        match unsigned {
            0 => Err(LeaseFault::TooFew(vouchers.len(), VOUCHERS)),
            _ => Err(LeaseFault::Unsigned(unsigned, vouchers.len(), VOUCHERS)),
        }
    }
}
