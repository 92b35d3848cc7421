//! Signatures for the simulation: as long as the true ones, and no cheaper to make for those without the key, as far
//! as the members that are played here go.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::{Keyring, Member, SIGNATURE_BYTES};

/// A member's key is its number and the run's secret.
#[derive(Clone)]
pub struct Keyed {
    pub me: Member,
    ring: Rc<Vec<Member>>,
    /// Members whose keys are revoked.
    revoked: Rc<RefCell<BTreeSet<Member>>>,
}

impl Keyed {
    pub fn new(me: Member, ring: Rc<Vec<Member>>, revoked: Rc<RefCell<BTreeSet<Member>>>) -> Self {
        Self { me, ring, revoked }
    }
}

fn mix(member: Member, bytes: &[u8]) -> Signature {
    let mut sum = 0xcbf2_9ce4_8422_2325u64 ^ u64::from(member).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in bytes {
        sum = (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let mut signature = [0; SIGNATURE_BYTES];
    for part in signature.chunks_exact_mut(8) {
        sum = (sum ^ sum >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        part.copy_from_slice(&sum.to_be_bytes());
    }
    signature
}

impl Keyring for Keyed {
    fn sign(&self, bytes: &[u8]) -> Signature {
        mix(self.me, bytes)
    }

    fn signed(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.knows(member) && mix(member, bytes) == *signature
    }

    fn knows(&self, member: Member) -> bool {
        self.ring.binary_search(&member).is_ok() && !self.revoked.borrow().contains(&member)
    }

    fn ring(&self) -> &[Member] {
        &self.ring
    }
}
