//! What members say to each other of revisions: `rv1` and a word in `postcard`'s form, each in one datagram of the
//! gossip, which tells who sent it. A word that can't be read is nothing.

use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;

use crate::lists::Told;
use crate::{Ballot, Digest, Hand, Member, Number, Signature, Signed};

const MARK: &[u8; 3] = b"rv1";
const VOTE: &[u8] = b"badgerledge vote 1";
const GO: &[u8] = b"badgerledge go 1";
const GONE: &[u8] = b"badgerledge gone 1";

/// Where a member stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The revision that it acts on.
    pub active: Number,
    /// The highest that it knows certified.
    pub certified: Number,
    /// It has that one's text, and takes it.
    pub has_text: bool,
    /// It has that one's text, and does not take it.
    pub refuses: bool,
    /// It holds back for want of a lease.
    pub held: bool,
}

/// A keeper's signed vote for a revision in a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub keeper: Member,
    pub number: Number,
    pub ballot: Ballot,
    pub digest: Digest,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// A keeper's signed word that a certified revision may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Go {
    pub keeper: Member,
    pub number: Number,
    pub digest: Digest,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// An author's signed word that a member is off for good, or back: nobody waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    pub member: Member,
    /// A later word on a member takes the place of all before it.
    pub sequence: u32,
    pub gone: bool,
    pub author: u16,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    Position(Position),
    Head(Signed),
    Vote(Vote),
    Go(Go),
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
    Higher {
        number: Number,
        ballot: Ballot,
    },
    /// Asks a keeper for a lease, and says where its member stands.
    Ask {
        nonce: u64,
        position: Position,
    },
    /// When this was granted, the keeper had given no word to act on a number above `gone_on`.
    Lease {
        nonce: u64,
        gone_on: Number,
    },
    /// A keeper without its disk asks what others know.
    Recall {
        nonce: u64,
    },
    Recalled {
        nonce: u64,
        highest: Number,
    },
    Gone(Gone),
    /// Where a member's list stands: of the lists, and no part of revisions.
    List(Told),
    /// Asks a keeper for a relay lease, and says where its member stands. `nonce` is that of an [`Word::Ask`] of the same
    /// moment; its upper half is the member's life.
    AskRelayLease {
        nonce: u64,
        position: Position,
    },
    /// A relay lease. When it was granted, the keeper had given no word to act on a number above `gone_on`.
    RelayLease {
        nonce: u64,
        gone_on: Number,
        for_ms: u64,
    },
    /// This keeper would give the word to act on all up to this number, the exclusive ones among them.
    Able {
        number: Number,
    },
}

impl Word {
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = MARK.to_vec();
        // It holds nothing that could not be written.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Whether these bytes are meant as one of these words, of this version or another.
    pub fn is_meant(bytes: &[u8]) -> bool {
        bytes.starts_with(&MARK[..2])
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (word, rest) = postcard::take_from_bytes(bytes.strip_prefix(MARK)?).ok()?;
        rest.is_empty().then_some(word)
    }
}

fn joined(domain: &[u8], parts: &[&[u8]]) -> Vec<u8> {
    std::iter::once(&domain).chain(parts).flat_map(|part| part.iter().copied()).collect()
}

impl Vote {
    fn bytes(number: Number, ballot: Ballot, digest: &Digest) -> Vec<u8> {
        let (round, by) = (ballot.round.to_be_bytes(), ballot.by.to_be_bytes());
        joined(VOTE, &[&number.to_be_bytes(), &round, &by, &ballot.life.to_be_bytes(), digest])
    }

    pub fn sign(hand: &impl Hand, keeper: Member, number: Number, ballot: Ballot, digest: Digest) -> Self {
        let signature = hand.sign(&Self::bytes(number, ballot, &digest));
        Self { keeper, number, ballot, digest, signature }
    }

    /// Whether a keeper of the ring signed it.
    pub fn holds(&self, hand: &impl Hand) -> bool {
        let bytes = Self::bytes(self.number, self.ballot, &self.digest);
        hand.keepers().contains(&self.keeper) && hand.by_member(self.keeper, &bytes, &self.signature)
    }
}

impl Go {
    pub fn sign(hand: &impl Hand, keeper: Member, number: Number, digest: Digest) -> Self {
        let signature = hand.sign(&joined(GO, &[&number.to_be_bytes(), &digest]));
        Self { keeper, number, digest, signature }
    }

    pub fn holds(&self, hand: &impl Hand) -> bool {
        let bytes = joined(GO, &[&self.number.to_be_bytes(), &self.digest]);
        hand.keepers().contains(&self.keeper) && hand.by_member(self.keeper, &bytes, &self.signature)
    }
}

impl Gone {
    /// What its author signs.
    pub fn signed_bytes(&self) -> Vec<u8> {
        let (member, sequence) = (self.member.to_be_bytes(), self.sequence.to_be_bytes());
        joined(GONE, &[&member, &sequence, &[u8::from(self.gone)], &self.author.to_be_bytes()])
    }

    pub fn holds(&self, hand: &impl Hand) -> bool {
        hand.by_author(self.author, &self.signed_bytes(), &self.signature)
    }
}
