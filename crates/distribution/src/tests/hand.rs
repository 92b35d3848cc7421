//! Signatures for tests: digests that anyone could make, so what is tested is the use that is made of them.

use std::collections::BTreeSet;

use crate::{digest, Author, MachineId, Signature, Signer};

/// Authors sign under numbers that no machine has.
const AUTHORS: u32 = 1 << 16;

/// Signs for machine `me`; the keys of `revoked` authors hold no more.
pub struct DigestHand {
    pub me: MachineId,
    pub machines: Vec<MachineId>,
    pub acceptors: Vec<MachineId>,
    pub revoked: BTreeSet<Author>,
}

impl DigestHand {
    pub fn new(me: MachineId, acceptors: MachineId) -> Self {
        let machines: Vec<MachineId> = (0..acceptors).collect();
        Self { me, acceptors: machines.clone(), machines, revoked: BTreeSet::new() }
    }
}

fn seal(signer: u32, bytes: &[u8]) -> Signature {
    let half = digest(&[&signer.to_be_bytes(), bytes].concat());
    let mut signature = [0; 64];
    signature[..32].copy_from_slice(&half);
    signature
}

pub fn sign_as_author(author: Author, bytes: &[u8]) -> Signature {
    seal(AUTHORS + u32::from(author), bytes)
}

impl Signer for DigestHand {
    fn sign(&self, bytes: &[u8]) -> Signature {
        seal(u32::from(self.me), bytes)
    }

    fn verify_member(&self, machine: MachineId, bytes: &[u8], signature: &Signature) -> bool {
        *signature == seal(u32::from(machine), bytes)
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
