//! Signatures in the simulation: a cheap keyed digest in place of Ed25519, counted so that its cost can be added.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hasher};
use std::rc::Rc;
use std::time::Duration;

use badgerledge_distribution::{Author, MachineId, Signature, Signer};

/// What Ed25519 takes here (`badgerledge-bench signatures`): a signature made, and one checked.
pub const SIGN_COST: Duration = Duration::from_micros(36);
pub const CHECK_COST: Duration = Duration::from_micros(67);

/// Signatures made and checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signatures {
    pub made: u32,
    pub checked: u32,
}

impl Signatures {
    /// What they would have taken with Ed25519.
    pub fn cost(self) -> Duration {
        SIGN_COST * self.made + CHECK_COST * self.checked
    }
}

/// Authors sign under numbers that no machine has.
const AUTHORS: u32 = 1 << 16;

/// Signs for a member of the simulated fleet.
#[derive(Clone)]
pub struct SimulatedHand {
    pub me: MachineId,
    pub machines: Rc<Vec<MachineId>>,
    pub acceptors: Rc<Vec<MachineId>>,
    /// Counts for all members; the simulation takes it after each call into one.
    pub count: Rc<Cell<Signatures>>,
}

/// Anyone could make it: members of the simulation don't lie.
fn seal(who: u32, bytes: &[u8]) -> Signature {
    let mut hasher = DefaultHasher::new();
    hasher.write_u32(who);
    hasher.write(bytes);
    let half = hasher.finish().to_be_bytes();
    let mut signature = [0; 64];
    signature.chunks_exact_mut(8).for_each(|part| part.copy_from_slice(&half));
    signature
}

impl SimulatedHand {
    /// An author's signature.
    pub fn author_signature(author: Author, bytes: &[u8]) -> Signature {
        seal(AUTHORS + u32::from(author), bytes)
    }

    fn checked(&self, who: u32, bytes: &[u8], signature: &Signature) -> bool {
        let mut count = self.count.get();
        count.checked += 1;
        self.count.set(count);
        *signature == seal(who, bytes)
    }
}

impl Signer for SimulatedHand {
    fn sign(&self, bytes: &[u8]) -> Signature {
        let mut count = self.count.get();
        count.made += 1;
        self.count.set(count);
        seal(u32::from(self.me), bytes)
    }

    fn verify_member(&self, member: MachineId, bytes: &[u8], signature: &Signature) -> bool {
        self.checked(u32::from(member), bytes, signature)
    }

    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.checked(AUTHORS + u32::from(author), bytes, signature)
    }

    fn verify_author_any_key(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.verify_author(author, bytes, signature)
    }

    fn members(&self) -> &[MachineId] {
        &self.machines
    }

    fn acceptors(&self) -> &[MachineId] {
        &self.acceptors
    }
}
