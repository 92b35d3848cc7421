//! Keys of controllers.
//!
//! The ring is an INI file with a section for each member and each author of revisions, and one that names the members
//! that certify revisions; it is the same at all controllers. A member has up to two
//! public keys that hold at once, so that one can be rotated while both are in use, and any number that are revoked.
//! The private key is a file of its own that nobody but its owner may read. Signatures are Ed25519 (RFC 8032).

mod private;
mod ring;

pub use private::{PrivateFault, PrivateKey, Role};
pub use ring::Ring;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::{Keyring, Member};

/// A ring, and the key that this member signs with.
#[derive(Clone)]
pub struct Keys {
    me: Member,
    private: PrivateKey,
    ring: Ring,
}

impl Keys {
    /// Nothing where the ring does not hold the private key's public half: whatever it signed would be dropped.
    pub fn new(private: PrivateKey, ring: Ring) -> Option<Self> {
        let Role::Member(me) = private.role() else { return None };
        let public = private.signing().verifying_key();
        ring.holds(me, &public).then_some(Self { me, private, ring })
    }

    pub fn member(&self) -> Member {
        self.me
    }
}

impl badgerledge_revisions::Signer for Keys {
    fn sign(&self, bytes: &[u8]) -> Signature {
        self.private.sign(bytes)
    }

    fn verify_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.signed_by_member(member, bytes, signature)
    }

    fn verify_author(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.signed_by_author(author, bytes, signature)
    }

    fn verify_author_any_key(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.ever_signed_by_author(author, bytes, signature)
    }

    fn members(&self) -> &[Member] {
        self.ring.members()
    }

    fn acceptors(&self) -> &[Member] {
        self.ring.acceptors()
    }
}

/// A ring alone, for who checks what others signed and signs nothing itself.
#[derive(Clone)]
pub struct Verifier {
    ring: Ring,
}

impl Verifier {
    pub fn new(ring: Ring) -> Self {
        Self { ring }
    }
}

impl badgerledge_revisions::Signer for Verifier {
    /// It has no key: what it gives is no signature of anybody's.
    fn sign(&self, _bytes: &[u8]) -> Signature {
        [0; 64]
    }

    fn verify_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.signed_by_member(member, bytes, signature)
    }

    fn verify_author(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.signed_by_author(author, bytes, signature)
    }

    fn verify_author_any_key(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.ever_signed_by_author(author, bytes, signature)
    }

    fn members(&self) -> &[Member] {
        self.ring.members()
    }

    fn acceptors(&self) -> &[Member] {
        self.ring.acceptors()
    }
}

impl Keyring for Keys {
    fn sign(&self, bytes: &[u8]) -> Signature {
        self.private.sign(bytes)
    }

    fn signed(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.ring.signed_by_member(member, bytes, signature)
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
