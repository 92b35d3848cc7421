//! Messages between members about revisions: the prefix `rv1` and a message encoded with `postcard`, each in
//! one gossip datagram, which identifies the sender. A message that can't be decoded is ignored.

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::lists::ListReport;
use crate::{Ballot, Digest, Member, Number, Signature, Signed, Signer};

const MAGIC: &[u8; 3] = b"rv1";
const VOTE_DOMAIN: &[u8] = b"badgerledge vote 1";
const GRANT_DOMAIN: &[u8] = b"badgerledge go 1";
const REMOVAL_DOMAIN: &[u8] = b"badgerledge gone 1";

/// The state that a member reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The number of its active revision.
    pub active: Number,
    /// The highest number that it knows certified.
    pub certified: Number,
    /// It has the text of that revision and accepts it.
    pub has_text: bool,
    /// It has the text of that revision and can't activate it.
    pub refuses: bool,
    /// It is on hold because it has no lease.
    pub held: bool,
}

/// An acceptor's signed vote for a revision in a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub acceptor: Member,
    pub number: Number,
    pub ballot: Ballot,
    pub digest: Digest,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// An acceptor's signed grant that a certified revision may be activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationGrant {
    pub acceptor: Member,
    pub number: Number,
    pub digest: Digest,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// An author's signed statement that a member is permanently removed, or is back. Nobody waits for a removed
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRemoval {
    pub member: Member,
    /// Of two statements about a member the one with the higher sequence is valid.
    pub sequence: u32,
    /// Whether the member is removed.
    pub removed: bool,
    pub author: u16,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// A message between members. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Position(Position),
    Head(Signed),
    Vote(Vote),
    ActivationGrant(ActivationGrant),
    Prepare {
        number: Number,
        ballot: Ballot,
    },
    Promise {
        number: Number,
        ballot: Ballot,
        accepted: Option<(Ballot, Digest)>,
    },
    Accept {
        number: Number,
        ballot: Ballot,
        digest: Digest,
    },
    HigherBallot {
        number: Number,
        ballot: Ballot,
    },
    /// Requests a lease from an acceptor, and reports the member's position.
    LeaseRequest {
        nonce: u64,
        position: Position,
    },
    /// A lease. The acceptor had granted no activation above `activation_granted` when it was issued.
    Lease {
        nonce: u64,
        activation_granted: Number,
    },
    /// An acceptor that lost its disk asks what the others know.
    RecoveryRequest {
        nonce: u64,
    },
    /// The answer to it: the highest number that the sender may have taken part in.
    RecoveryAnswer {
        nonce: u64,
        highest: Number,
    },
    Removal(MemberRemoval),
    /// Position of a member's list of streamers; not part of the revision protocol.
    ListReport(ListReport),
    /// Requests a relay lease from an acceptor, and reports the member's position. `nonce` is that of the
    /// [`Message::LeaseRequest`] sent at the same time; its upper half is the member's incarnation.
    RelayLeaseRequest {
        nonce: u64,
        position: Position,
    },
    /// A relay lease. The acceptor had granted no activation above `activation_granted` when it was issued.
    RelayLease {
        nonce: u64,
        activation_granted: Number,
        for_ms: u64,
    },
    /// This acceptor would grant the activation of all revisions up to this number, including exclusive ones.
    ReadyToActivate {
        number: Number,
    },
}

impl Message {
    /// The encoded message.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        // Serialization can't fail for these types.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Whether the bytes carry the prefix of these messages, of this or another version.
    pub fn is_meant(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC[..2])
    }

    /// Decodes a message; `None` if the bytes are not exactly one message of this version.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes(bytes.strip_prefix(MAGIC)?).ok()?;
        rest.is_empty().then_some(message)
    }
}

fn concat_domain(domain: &[u8], parts: &[&[u8]]) -> Vec<u8> {
    std::iter::once(&domain).chain(parts).flat_map(|part| part.iter().copied()).collect()
}

impl Vote {
    fn bytes(number: Number, ballot: Ballot, digest: &Digest) -> Vec<u8> {
        let (round, proposer) = (ballot.round.to_be_bytes(), ballot.proposer.to_be_bytes());
        concat_domain(
            VOTE_DOMAIN,
            &[&number.to_be_bytes(), &round, &proposer, &ballot.incarnation.to_be_bytes(), digest],
        )
    }

    /// Signs a vote as acceptor `acceptor`.
    pub fn sign(
        signer: &impl Signer, acceptor: Member, number: Number, ballot: Ballot, digest: Digest,
    ) -> Self {
        let signature = signer.sign(&Self::bytes(number, ballot, &digest));
        Self { acceptor, number, ballot, digest, signature }
    }

    /// Whether an acceptor of the ring signed it.
    pub fn holds(&self, signer: &impl Signer) -> bool {
        let bytes = Self::bytes(self.number, self.ballot, &self.digest);
        signer.acceptors().contains(&self.acceptor)
            && signer.verify_member(self.acceptor, &bytes, &self.signature)
    }
}

impl ActivationGrant {
    /// Signs an activation grant as acceptor `acceptor`.
    pub fn sign(signer: &impl Signer, acceptor: Member, number: Number, digest: Digest) -> Self {
        let signature = signer.sign(&concat_domain(GRANT_DOMAIN, &[&number.to_be_bytes(), &digest]));
        Self { acceptor, number, digest, signature }
    }

    /// Whether an acceptor of the ring signed it.
    pub fn holds(&self, signer: &impl Signer) -> bool {
        let bytes = concat_domain(GRANT_DOMAIN, &[&self.number.to_be_bytes(), &self.digest]);
        signer.acceptors().contains(&self.acceptor)
            && signer.verify_member(self.acceptor, &bytes, &self.signature)
    }
}

impl MemberRemoval {
    /// The bytes that its author signs.
    pub fn signed_bytes(&self) -> Vec<u8> {
        let (member, sequence) = (self.member.to_be_bytes(), self.sequence.to_be_bytes());
        concat_domain(
            REMOVAL_DOMAIN,
            &[&member, &sequence, &[u8::from(self.removed)], &self.author.to_be_bytes()],
        )
    }

    /// Whether an author whose key is valid signed it.
    pub fn holds(&self, signer: &impl Signer) -> bool {
        signer.verify_author(self.author, &self.signed_bytes(), &self.signature)
    }
}
