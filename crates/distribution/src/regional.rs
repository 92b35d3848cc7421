//! Leases in a region that is partitioned from the acceptors. Control machines vouch for their active
//! revision by signing over a nonce that the watcher drew. A machine does so only while it has a relay lease
//! from a quorum of acceptors ([`badgerledge_revisions::Revisions::may_vouch`]).

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::lease::{leaf, root_of_path, LeaseFault, Nonce, MAX_GRANTS};
use crate::{ControllerId, Digest, MachineId, Number, Signature, Signer};

/// The number of machines that must vouch: two, so that one faulty machine cannot keep a watcher on an old
/// revision.
pub const REQUIRED_VOUCHERS: usize = 2;

const DOMAIN: &[u8] = b"badgerledge regional grant 1";

/// The signed statement of a control machine over the root of a tree of nonces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionalGrant {
    pub machine: MachineId,
    pub root: Digest,
    /// The highest revision whose activation this machine knew to be allowed when it signed.
    pub allowed: Number,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

impl RegionalGrant {
    fn signed_bytes(machine: MachineId, root: &Digest, allowed: Number) -> Vec<u8> {
        [DOMAIN, &machine.to_be_bytes(), root, &allowed.to_be_bytes()].concat()
    }

    /// Signs a regional grant as this machine.
    pub fn sign(signer: &impl Signer, machine: MachineId, root: Digest, allowed: Number) -> Self {
        let signature = signer.sign(&Self::signed_bytes(machine, &root, allowed));
        Self { machine, root, allowed, signature }
    }

    /// Whether a control machine of the ring signed the grant.
    pub fn is_valid(&self, signer: &impl Signer) -> bool {
        let bytes = Self::signed_bytes(self.machine, &self.root, self.allowed);
        signer.members().contains(&self.machine)
            && signer.verify_member(self.machine, &bytes, &self.signature)
    }
}

/// The proof that a watcher has a regional lease, without a quorum of acceptors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionalProof {
    pub nonce: Nonce,
    /// The index of the nonce among the leaves.
    pub index: u32,
    /// The sibling digests on the path from the leaf to the root.
    pub path: Vec<Digest>,
    pub grants: Vec<RegionalGrant>,
}

impl RegionalProof {
    /// Verifies that a watcher whose active revision is `active` has a lease: [`REQUIRED_VOUCHERS`] machines vouched
    /// for this revision or an earlier one.
    ///
    /// # Errors
    /// If no tree has the path, or too few machines vouched.
    pub fn check(
        &self, controller: ControllerId, active: Number, signer: &impl Signer,
    ) -> Result<(), LeaseFault> {
        let root = root_of_path(leaf(controller, &self.nonce), self.index, &self.path)
            .ok_or(LeaseFault::Path(self.path.len(), self.index))?;
        if self.grants.len() > MAX_GRANTS {
            return Err(LeaseFault::TooMany(self.grants.len()));
        }
        let mut valid: Vec<&RegionalGrant> = Vec::new();
        let mut invalid = 0;
        for grant in &self.grants {
            if grant.root != root || !grant.is_valid(signer) {
                invalid += 1;
            } else if !valid.iter().any(|other| other.machine == grant.machine) {
                valid.push(grant);
            }
        }
        if valid.iter().filter(|grant| grant.allowed <= active).count() >= REQUIRED_VOUCHERS {
            return Ok(());
        }
        match invalid {
            0 => Err(LeaseFault::TooFew(valid.len(), REQUIRED_VOUCHERS)),
            _ => Err(LeaseFault::Unsigned(invalid, valid.len(), REQUIRED_VOUCHERS)),
        }
    }
}
