//! Keys of controllers.
//!
//! The ring is an INI file with a section for each member, the same at all controllers. A member has up to two
//! public keys that hold at once, so that one can be rotated while both are in use, and any number that are revoked.
//! The private key is a file of its own that nobody but its owner may read. Signatures are Ed25519 (RFC 8032).

mod private;
mod ring;

pub use private::{PrivateFault, PrivateKey};
pub use ring::Ring;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::{Hand, Member};
use ed25519_dalek::Signer;

/// A ring, and the key that this member signs with.
pub struct Keys {
    private: PrivateKey,
    ring: Ring,
}

impl Keys {
    /// Nothing where the ring does not hold the private key's public half: whatever it signed would be dropped.
    pub fn new(private: PrivateKey, ring: Ring) -> Option<Self> {
        let public = private.signing().verifying_key();
        ring.holds(private.member(), &public).then_some(Self { private, ring })
    }

    pub fn member(&self) -> Member {
        self.private.member()
    }
}

impl Hand for Keys {
    fn sign(&self, bytes: &[u8]) -> Signature {
        self.private.signing().sign(bytes).to_bytes()
    }

    fn signed(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        let signature = ed25519_dalek::Signature::from_bytes(signature);
        self.ring.keys(member).iter().any(|key| key.verify_strict(bytes, &signature).is_ok())
    }

    fn knows(&self, member: Member) -> bool {
        !self.ring.keys(member).is_empty()
    }

    fn ring(&self) -> &[Member] {
        self.ring.members()
    }
}

#[cfg(test)]
mod tests;
