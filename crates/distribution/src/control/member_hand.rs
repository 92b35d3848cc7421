//! The hand that the agreement is given: authors of its heads are control machines.

use crate::{Author, MachineId, Signature, Signer};

/// The agreement's authors are the control machines that propose a batch, and sign its head with their own keys. Those
/// who sign the changes inside are checked by the hand within.
pub(crate) struct MemberHand<H>(pub H);

impl<H: Signer> Signer for MemberHand<H> {
    fn sign(&self, bytes: &[u8]) -> Signature {
        self.0.sign(bytes)
    }

    fn verify_member(&self, member: MachineId, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_member(member, bytes, signature)
    }

    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_member(author, bytes, signature)
    }

    /// Asked only where a keeper's vote for the head is there, which was given after the signature had been checked: a
    /// machine whose key was revoked since must not leave a number open for good.
    fn verify_author_any_key(&self, _: Author, _: &[u8], _: &Signature) -> bool {
        true
    }

    fn members(&self) -> &[MachineId] {
        self.0.members()
    }

    fn acceptors(&self) -> &[MachineId] {
        self.0.acceptors()
    }
}
