//! Revisions: numbered texts on which members agree, so that no two act on contradicting ones for longer than a
//! stated time. No I/O, no clock, no chance but from a seed; why it is so: `docs/revisions.md`.
//!
//! An author's revision is *certified* once a quorum of keepers has accepted it for its number (single-decree Paxos
//! for each number, Lamport 1998 section 2), which no two different ones can both be. It is then *prepared*: members
//! fetch its text and say so to the keepers. It is *acted on* once a quorum of keepers has given the word (`Go`), which
//! a keeper does when every member that is not excused has it. A member that has said so, and has not heard from a
//! quorum of keepers for a lease, holds back what the change governs ([`Acting::held`]).

mod apart;
mod certify;
mod gate;
mod head;
mod keeper;
mod learned;
mod lease;
pub mod lists;
mod member;
pub mod order;
mod propose;
mod spread;
mod store;
pub mod word;

#[cfg(test)]
mod tests;

use sha2::{Digest as _, Sha256};
use thiserror::Error;

pub use head::{Head, Signed, LONGEST_TEXT};
pub use keeper::{Ballot, Keeper, Kept, Reply};
pub use learned::Certified;
pub use lease::{bound, lease_for, Regime};
pub use member::{Acting, Check, Given, Hold, Revisions, Status, Terms};
pub use store::{Stored, StoredFault};

/// The number of a member, as in the ring.
pub type Member = u16;
/// The number of an author, as in the ring.
pub type Author = u16;
/// The number of a revision: 0 is what a member's own file says, certified ones count from 1.
pub type Number = u32;
pub type Digest = [u8; 32];
pub type Signature = [u8; 64];

pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Signs as this member, and checks what members and authors signed.
pub trait Hand {
    fn sign(&self, bytes: &[u8]) -> Signature;
    fn by_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool;
    fn by_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool;
    /// The same by any key that the author ever had in the ring, one that holds no more among them.
    fn by_author_ever(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool;
    /// All members that have keys, in order.
    fn members(&self) -> &[Member];
    /// Those of them that certify.
    fn keepers(&self) -> &[Member];
}

/// How many keepers make a quorum: any two quorums share one.
pub fn quorum(keepers: usize) -> usize {
    keepers / 2 + 1
}

/// Why a revision that was pushed is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    #[error("its signature is not that of author {0}, or that author's key holds no more")]
    Author(Author),
    #[error("number {0} is over or under the next one, {1}")]
    Number(Number, Number),
    #[error("it follows another text than the one that was certified as {0}")]
    Before(Number),
    #[error("its text has {0} bytes, its head says {1}; {LONGEST_TEXT} at most are taken")]
    Length(usize, usize),
    #[error("its text is not the one that its head names")]
    Digest,
    #[error("its text: {0}")]
    Text(String),
    #[error("the ring names no keepers")]
    NoKeepers,
}
