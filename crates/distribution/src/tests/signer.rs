//! A signer for tests. Its signatures are digests that anyone could compute: tests cover how signatures are
//! used, not the cryptography.

use std::collections::BTreeSet;

use crate::{digest, Author, MachineId, Signature, Signer};

/// The first signer number of authors: above all machine numbers.
const FIRST_AUTHOR: u32 = 1 << 16;

/// Signs as one machine; signatures of `revoked` authors are invalid.
pub struct DigestSigner {
    pub local_id: MachineId,
    pub machines: Vec<MachineId>,
    pub acceptors: Vec<MachineId>,
    pub revoked: BTreeSet<Author>,
}

impl DigestSigner {
    pub fn new(local_id: MachineId, acceptors: MachineId) -> Self {
        let machines: Vec<MachineId> = (0..acceptors).collect();
        Self { local_id, acceptors: machines.clone(), machines, revoked: BTreeSet::new() }
    }
}

fn signature_of(signer_number: u32, bytes: &[u8]) -> Signature {
    let half = digest(&[&signer_number.to_be_bytes(), bytes].concat());
    let mut signature = [0; 64];
    signature[..32].copy_from_slice(&half);
    signature
}

pub fn sign_as_author(author: Author, bytes: &[u8]) -> Signature {
    signature_of(FIRST_AUTHOR + u32::from(author), bytes)
}

impl Signer for DigestSigner {
    fn sign(&self, bytes: &[u8]) -> Signature {
        signature_of(u32::from(self.local_id), bytes)
    }

    fn verify_member(&self, machine: MachineId, bytes: &[u8], signature: &Signature) -> bool {
        *signature == signature_of(u32::from(machine), bytes)
    }

    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        !self.revoked.contains(&author) && self.verify_author_any_key(author, bytes, signature)
    }

    fn verify_author_any_key(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        *signature == sign_as_author(author, bytes)
    }

    fn members(&self) -> &[MachineId] {
        &self.machines
    }

    fn acceptors(&self) -> &[MachineId] {
        &self.acceptors
    }
}
