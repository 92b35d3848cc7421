//! Revisions: numbered configuration texts on which the members of a fleet agree, so that no two members have
//! contradicting revisions active for longer than a stated bound. The crate does no I/O and reads no clock;
//! randomness comes from a seed. The design is explained in `docs/revisions.md`.
//!
//! An author's revision is *certified* once a quorum of acceptors has accepted it for its number
//! (single-decree Paxos for each number, Lamport 1998 section 2); no two different revisions can be certified
//! with the same number. It is then *prepared*: members fetch its text and report to the acceptors that they
//! have it. It becomes *active* once a quorum of acceptors has granted its activation (`Go`), which an
//! acceptor does when every member that is not excluded has prepared it. A member that has reported a
//! revision as prepared and has not been answered by a quorum of acceptors for the length of a lease suspends
//! whatever the change governs ([`ActiveRevision::held`]).

mod acceptor;
mod certify;
mod dissemination;
mod gate;
mod head;
mod learner;
mod lease;
pub mod lists;
mod member;
pub mod message;
mod proposal;
mod relay_leases;
pub mod requests;
mod store;

#[cfg(test)]
mod tests;

use sha2::{Digest as _, Sha256};
use thiserror::Error;

pub use acceptor::{Acceptor, AcceptorState, Ballot, Reply};
pub use head::{Head, Signed, MAX_TEXT_BYTES};
pub use learner::Certified;
pub use lease::{bound, lease_duration_for, ActivationMode};
pub use member::{ActiveRevision, Check, HoldReason, MemberConfig, MemberOutput, Revisions, Status};
pub use store::{StoredState, StoredStateError};

/// The number of a member in the ring.
pub type Member = u16;
/// The number of an author in the ring.
pub type Author = u16;
/// The number of a revision. 0 is the configuration in a member's own file; certified revisions count from 1.
pub type Number = u32;
/// A SHA-256 digest.
pub type Digest = [u8; 32];
/// An Ed25519 signature.
pub type Signature = [u8; 64];

/// The SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Signs as the local member, and verifies signatures of members and authors.
pub trait Signer {
    fn sign(&self, bytes: &[u8]) -> Signature;
    /// Whether `member` signed `bytes`.
    fn verify_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool;
    /// Whether `author` signed `bytes` with a key that is valid now.
    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool;
    /// Whether `author` signed `bytes` with any key that the ring ever listed for it, including revoked ones.
    fn verify_author_any_key(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool;
    /// All members that have keys, in ascending order.
    fn members(&self) -> &[Member];
    /// The members that are acceptors.
    fn acceptors(&self) -> &[Member];
}

/// The size of a quorum of `acceptors` acceptors: any two quorums have an acceptor in common.
pub fn quorum(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// Why a pushed revision is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    #[error("its signature is not that of author {0}, or the author's key is no longer valid")]
    Author(Author),
    #[error("number {0} is not the next number, {1}")]
    Number(Number, Number),
    #[error("its predecessor is not the revision certified as number {0}")]
    Predecessor(Number),
    #[error("its text has {0} bytes; its head names {1}, and at most {MAX_TEXT_BYTES} are allowed")]
    Length(usize, usize),
    #[error("its text does not match the digest in its head")]
    Digest,
    #[error("its text can't be activated: {0}")]
    Text(String),
    #[error("the ring lists no acceptors")]
    NoAcceptors,
}
