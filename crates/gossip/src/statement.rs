//! Statements: what a member signs about itself, other members or streamers, and others forward unchanged.
//!
//! | kind | bytes | fields before the signature |
//! |---|---|---|
//! | 1 alive, 2 left | 79 | kind, subject (2), incarnation (6), IPv4 address (4), port (2) |
//! | 3 accusation | 75 | kind, subject (2), incarnation (6), author (2) |
//! | 4 bulletin | 77 + 8 each | kind, author (2), process incarnation (4), number (4), items (1), then 8 bytes each; the age (1) follows the signature and is not signed |
//!
//! Numbers are big-endian. The signature covers all bytes before it. The first byte distinguishes a statement
//! from a datagram, whose first byte is `b`.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::Member;

/// Length of an Ed25519 signature in bytes (RFC 8032 section 5.1.6).
pub const SIGNATURE_BYTES: usize = 64;
/// An Ed25519 signature.
pub type Signature = [u8; SIGNATURE_BYTES];

const ALIVE: u8 = 1;
const LEFT: u8 = 2;
const ACCUSED: u8 = 3;
const BULLETIN: u8 = 4;
const RECORD_BYTES: usize = 15;
const ACCUSATION_BYTES: usize = 11;
const BULLETIN_BYTES: usize = 12;
/// Length of a bulletin's item in bytes: address (4), port (2), kind (1), value (1).
pub const ITEM_BYTES: usize = 8;
/// Maximum number of items of a bulletin: as many as fit into one datagram.
pub const MAX_ITEMS: usize = 11;
/// Unit of the age of a bulletin; the largest encoded age is 255 units.
pub const AGE_STEP: Duration = Duration::from_millis(200);

/// The keys of the ring: signs as the local member, and verifies the signatures of all members.
pub trait Keyring {
    /// Signs as the local member.
    fn sign(&self, bytes: &[u8]) -> Signature;
    /// Whether the member signed these bytes with a key that is valid now.
    fn signed(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool;
    /// Whether the member has a key.
    fn knows(&self, member: Member) -> bool;
    /// All members that have keys.
    fn ring(&self) -> &[Member];
}

/// A member's record of itself: that it is alive at an address, or has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    pub subject: Member,
    /// The process incarnation in the upper 32 of 48 bits, and the number of refutations since its start in
    /// the lower 16.
    pub incarnation: u64,
    pub left: bool,
    pub at: SocketAddrV4,
}

/// A member's statement that another one did not answer its probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Accusation {
    pub subject: Member,
    pub incarnation: u64,
    pub author: Member,
}

/// A member's report on streamers; a later one replaces all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bulletin {
    pub author: Member,
    pub process_incarnation: u32,
    pub number: u32,
    pub items: Vec<[u8; ITEM_BYTES]>,
}

/// The signed content of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    Record(Record),
    Accusation(Accusation),
    Bulletin(Bulletin),
}

/// A claim with its author's signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub claim: Claim,
    pub signature: Signature,
}

/// The incarnation of a process after a number of refutations.
pub fn incarnation(process_incarnation: u32, refutations: u16) -> u64 {
    u64::from(process_incarnation) << 16 | u64::from(refutations)
}

/// The highest incarnation that can be encoded.
pub const LAST_INCARNATION: u64 = (1 << 48) - 1;

/// The process incarnation within an incarnation.
pub fn process_incarnation_of(incarnation: u64) -> u32 {
    (incarnation >> 16) as u32
}

impl Claim {
    /// The member that signs the claim.
    pub fn author(&self) -> Member {
        match self {
            Claim::Record(record) => record.subject,
            Claim::Accusation(accusation) => accusation.author,
            Claim::Bulletin(bulletin) => bulletin.author,
        }
    }

    /// The bytes that are signed.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(BULLETIN_BYTES + MAX_ITEMS * ITEM_BYTES);
        match self {
            Claim::Record(record) => {
                bytes.push(if record.left { LEFT } else { ALIVE });
                bytes.extend(record.subject.to_be_bytes());
                bytes.extend(&record.incarnation.to_be_bytes()[2..]);
                bytes.extend(record.at.ip().octets());
                bytes.extend(record.at.port().to_be_bytes());
            }
            Claim::Accusation(accusation) => {
                bytes.push(ACCUSED);
                bytes.extend(accusation.subject.to_be_bytes());
                bytes.extend(&accusation.incarnation.to_be_bytes()[2..]);
                bytes.extend(accusation.author.to_be_bytes());
            }
            Claim::Bulletin(bulletin) => {
                bytes.push(BULLETIN);
                bytes.extend(bulletin.author.to_be_bytes());
                bytes.extend(bulletin.process_incarnation.to_be_bytes());
                bytes.extend(bulletin.number.to_be_bytes());
                bytes.push(bulletin.items.len() as u8);
                bulletin.items.iter().for_each(|item| bytes.extend(item));
            }
        }
        bytes
    }

    /// Signs the claim as the local member.
    pub fn sign(self, keyring: &impl Keyring) -> Statement {
        let signature = keyring.sign(&self.bytes());
        Statement { claim: self, signature }
    }
}

impl Statement {
    /// Encoded length in bytes.
    pub fn size(&self) -> usize {
        SIGNATURE_BYTES
            + match &self.claim {
                Claim::Record(_) => RECORD_BYTES,
                Claim::Accusation(_) => ACCUSATION_BYTES,
                Claim::Bulletin(bulletin) => BULLETIN_BYTES + bulletin.items.len() * ITEM_BYTES + 1,
            }
    }

    /// Whether the signature is the author's.
    pub fn is_signed(&self, keyring: &impl Keyring) -> bool {
        keyring.signed(self.claim.author(), &self.claim.bytes(), &self.signature)
    }

    /// Appends the encoded statement to a datagram; a bulletin is followed by its age.
    pub fn write(&self, age: Duration, out: &mut Vec<u8>) {
        out.extend(self.claim.bytes());
        out.extend(self.signature);
        if let Claim::Bulletin(_) = self.claim {
            out.push((age.as_millis() / AGE_STEP.as_millis()).min(255) as u8);
        }
    }

    /// Decodes a statement at the front of `bytes`. Returns it with its age and its length, or `None` if
    /// there is none.
    pub fn read(bytes: &[u8]) -> Option<(Self, Duration, usize)> {
        let claim = read_claim(bytes)?;
        let signed = claim.bytes().len();
        let signature = bytes.get(signed..signed + SIGNATURE_BYTES)?.try_into().ok()?;
        let end = signed + SIGNATURE_BYTES;
        Some(match claim {
            Claim::Bulletin(_) => {
                let age = AGE_STEP * u32::from(*bytes.get(end)?);
                (Self { claim, signature }, age, end + 1)
            }
            claim => (Self { claim, signature }, Duration::ZERO, end),
        })
    }
}

fn read_claim(bytes: &[u8]) -> Option<Claim> {
    match *bytes.first()? {
        kind @ (ALIVE | LEFT) => {
            let fixed: &[u8; RECORD_BYTES] = bytes.get(..RECORD_BYTES)?.try_into().ok()?;
            let at = SocketAddrV4::new(
                Ipv4Addr::new(fixed[9], fixed[10], fixed[11], fixed[12]),
                be_u16(&fixed[13..15]),
            );
            let (subject, incarnation) = (be_u16(&fixed[1..3]), be_u48(&fixed[3..9]));
            Some(Claim::Record(Record { subject, incarnation, left: kind == LEFT, at }))
        }
        ACCUSED => {
            let fixed: &[u8; ACCUSATION_BYTES] = bytes.get(..ACCUSATION_BYTES)?.try_into().ok()?;
            let (subject, incarnation, author) =
                (be_u16(&fixed[1..3]), be_u48(&fixed[3..9]), be_u16(&fixed[9..11]));
            Some(Claim::Accusation(Accusation { subject, incarnation, author }))
        }
        BULLETIN => {
            let fixed: &[u8; BULLETIN_BYTES] = bytes.get(..BULLETIN_BYTES)?.try_into().ok()?;
            let count = usize::from(fixed[11]);
            if count > MAX_ITEMS {
                return None;
            }
            let items = bytes.get(BULLETIN_BYTES..BULLETIN_BYTES + count * ITEM_BYTES)?;
            let items = items.chunks_exact(ITEM_BYTES).filter_map(|item| item.try_into().ok()).collect();
            Some(Claim::Bulletin(Bulletin {
                author: be_u16(&fixed[1..3]),
                process_incarnation: be_u32(&fixed[3..7]),
                number: be_u32(&fixed[7..11]),
                items,
            }))
        }
        _ => None,
    }
}

fn be_u16(bytes: &[u8]) -> u16 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u16::from(*byte))
}

/// A big-endian number of four bytes.
pub(crate) fn be_u32(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u32::from(*byte))
}

fn be_u48(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
