//! The signer for consensus: the authors of its heads are control machines.

use crate::{Author, MachineId, Signature, Signer};

/// Verifies heads as signed by control machines. The control machine that proposes a batch signs its head
/// with its own key. The authors of the changes in the batch are verified with the inner signer.
pub(crate) struct MemberSigner<H>(pub H);

impl<H: Signer> Signer for MemberSigner<H> {
    fn sign(&self, bytes: &[u8]) -> Signature {
        self.0.sign(bytes)
    }

    fn verify_member(&self, member: MachineId, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_member(member, bytes, signature)
    }

    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_member(author, bytes, signature)
    }

    /// Called only for a head that an acceptor has voted for, which it did after verifying the signature.
    /// Always true: if a machine's key was revoked since, its number must not stay open forever.
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
