//! The signing keys of controllers and of authors of revisions.
//!
//! The ring is an INI file with a section for each member and each author of revisions, and one that lists
//! the acceptors (the members that certify revisions); it is the same at all controllers. A member has up to
//! two valid public keys, so that keys can be rotated while both are in use, and any number of revoked ones.
//! The private key is in a separate file that only its owner may read. Signatures are Ed25519 (RFC 8032).

mod private;
mod ring;

pub use private::{PrivateKey, PrivateKeyError, Role};
pub use ring::Ring;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::{Keyring, Member};

/// Signs as one member, and verifies the signatures of all others with the ring.
#[derive(Clone)]
pub struct Keys {
    local_id: Member,
    private: PrivateKey,
    ring: Ring,
}

impl Keys {
    /// `None` if the key is not a member's, or if the ring does not have its public key: others would drop
    /// whatever it signed.
    pub fn new(private: PrivateKey, ring: Ring) -> Option<Self> {
        let Role::Member(local_id) = private.role() else { return None };
        let public = private.signing_key().verifying_key();
        ring.has_member_key(local_id, &public).then_some(Self { local_id, private, ring })
    }

    /// The member that signs.
    pub fn member(&self) -> Member {
        self.local_id
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

/// Verifies signatures with the ring, without a key to sign.
#[derive(Clone)]
pub struct Verifier {
    ring: Ring,
}

impl Verifier {
    /// A verifier with the keys of this ring.
    pub fn new(ring: Ring) -> Self {
        Self { ring }
    }
}

impl badgerledge_revisions::Signer for Verifier {
    /// Returns zeros, which are nobody's valid signature: a verifier has no private key.
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
        !self.ring.member_keys(member).is_empty()
    }

    fn ring(&self) -> &[Member] {
        self.ring.members()
    }
}

#[cfg(test)]
mod tests;
