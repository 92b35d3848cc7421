//! Statements: what a member says and signs, and others pass on as it is.
//!
//! | kind | bytes | fields before the signature |
//! |---|---|---|
//! | 1 alive, 2 left | 79 | kind, subject (2), incarnation (6), IPv4 address (4), port (2) |
//! | 3 accusation | 75 | kind, subject (2), incarnation (6), author (2) |
//! | 4 bulletin | 77 + 8 each | kind, author (2), life (4), number (4), items (1), then 8 bytes each; the age (1) comes after the signature and is not signed |
//!
//! Numbers are big-endian. The signature covers all bytes before it. The first byte keeps a statement from being
//! taken for a datagram, whose first byte is `b`.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::Member;

/// Bytes of an Ed25519 signature (RFC 8032 section 5.1.6).
pub const SIGNATURE_BYTES: usize = 64;
pub type Signature = [u8; SIGNATURE_BYTES];

const ALIVE: u8 = 1;
const LEFT: u8 = 2;
const ACCUSED: u8 = 3;
const BULLETIN: u8 = 4;
const RECORD_BYTES: usize = 15;
const ACCUSATION_BYTES: usize = 11;
const BULLETIN_BYTES: usize = 12;
/// Bytes of one item of a bulletin: address (4), port (2), kind (1), value (1).
pub const ITEM_BYTES: usize = 8;
/// Items of a bulletin at most: as many as fit into a datagram of their own.
pub const MAX_ITEMS: usize = 11;
/// What an age of one stands for; ages stop growing at 255 of it.
pub const AGE_STEP: Duration = Duration::from_millis(200);

/// The keys of all members: signs as this member, and checks what others signed.
pub trait Keyring {
    /// Signs as this member.
    fn sign(&self, bytes: &[u8]) -> Signature;
    /// Whether the member signed these bytes, with a key that holds now.
    fn signed(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool;
    /// Whether the member has a key.
    fn knows(&self, member: Member) -> bool;
    /// All members that have keys.
    fn ring(&self) -> &[Member];
}

/// What a member says of itself: that it is alive at an address, or has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    pub subject: Member,
    /// The life in the upper 32 of 48 bits, refutations since its start in the lower 16.
    pub incarnation: u64,
    pub left: bool,
    pub at: SocketAddrV4,
}

/// What a member says of another that did not answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Accusation {
    pub subject: Member,
    pub incarnation: u64,
    pub author: Member,
}

/// What a member says of streamers: a later one takes the place of all before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bulletin {
    pub author: Member,
    pub life: u32,
    pub number: u32,
    pub items: Vec<[u8; ITEM_BYTES]>,
}

/// What a statement says, and its signature covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    Record(Record),
    Accusation(Accusation),
    Bulletin(Bulletin),
}

/// A statement with its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub claim: Claim,
    pub signature: Signature,
}

pub fn incarnation(life: u32, refutations: u16) -> u64 {
    u64::from(life) << 16 | u64::from(refutations)
}

/// The highest incarnation that a statement holds.
pub const LAST_INCARNATION: u64 = (1 << 48) - 1;

pub fn life_of(incarnation: u64) -> u32 {
    (incarnation >> 16) as u32
}

impl Claim {
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
            Claim::Record(r) => {
                bytes.push(if r.left { LEFT } else { ALIVE });
                bytes.extend(r.subject.to_be_bytes());
                bytes.extend(&r.incarnation.to_be_bytes()[2..]);
                bytes.extend(r.at.ip().octets());
                bytes.extend(r.at.port().to_be_bytes());
            }
            Claim::Accusation(a) => {
                bytes.push(ACCUSED);
                bytes.extend(a.subject.to_be_bytes());
                bytes.extend(&a.incarnation.to_be_bytes()[2..]);
                bytes.extend(a.author.to_be_bytes());
            }
            Claim::Bulletin(b) => {
                bytes.push(BULLETIN);
                bytes.extend(b.author.to_be_bytes());
                bytes.extend(b.life.to_be_bytes());
                bytes.extend(b.number.to_be_bytes());
                bytes.push(b.items.len() as u8);
                b.items.iter().for_each(|item| bytes.extend(item));
            }
        }
        bytes
    }

    pub fn sign(self, keyring: &impl Keyring) -> Statement {
        let signature = keyring.sign(&self.bytes());
        Statement { claim: self, signature }
    }
}

impl Statement {
    /// Bytes on the wire.
    pub fn size(&self) -> usize {
        SIGNATURE_BYTES
            + match &self.claim {
                Claim::Record(_) => RECORD_BYTES,
                Claim::Accusation(_) => ACCUSATION_BYTES,
                Claim::Bulletin(b) => BULLETIN_BYTES + b.items.len() * ITEM_BYTES + 1,
            }
    }

    pub fn is_signed(&self, keyring: &impl Keyring) -> bool {
        keyring.signed(self.claim.author(), &self.claim.bytes(), &self.signature)
    }

    /// Appends it to a datagram. A bulletin goes with its age.
    pub fn write(&self, age: Duration, out: &mut Vec<u8>) {
        out.extend(self.claim.bytes());
        out.extend(self.signature);
        if let Claim::Bulletin(_) = self.claim {
            out.push((age.as_millis() / AGE_STEP.as_millis()).min(255) as u8);
        }
    }

    /// Reads one at the front: it, its age, and the bytes that it takes. Nothing where there is none.
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
            let b: &[u8; RECORD_BYTES] = bytes.get(..RECORD_BYTES)?.try_into().ok()?;
            let at = SocketAddrV4::new(Ipv4Addr::new(b[9], b[10], b[11], b[12]), two(&b[13..15]));
            let (subject, incarnation) = (two(&b[1..3]), six(&b[3..9]));
            Some(Claim::Record(Record { subject, incarnation, left: kind == LEFT, at }))
        }
        ACCUSED => {
            let b: &[u8; ACCUSATION_BYTES] = bytes.get(..ACCUSATION_BYTES)?.try_into().ok()?;
            let (subject, incarnation, author) = (two(&b[1..3]), six(&b[3..9]), two(&b[9..11]));
            Some(Claim::Accusation(Accusation { subject, incarnation, author }))
        }
        BULLETIN => {
            let b: &[u8; BULLETIN_BYTES] = bytes.get(..BULLETIN_BYTES)?.try_into().ok()?;
            let count = usize::from(b[11]);
            if count > MAX_ITEMS {
                return None;
            }
            let items = bytes.get(BULLETIN_BYTES..BULLETIN_BYTES + count * ITEM_BYTES)?;
            let items = items.chunks_exact(ITEM_BYTES).filter_map(|item| item.try_into().ok()).collect();
            Some(Claim::Bulletin(Bulletin {
                author: two(&b[1..3]),
                life: four(&b[3..7]),
                number: four(&b[7..11]),
                items,
            }))
        }
        _ => None,
    }
}

fn two(bytes: &[u8]) -> u16 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u16::from(*byte))
}

pub(crate) fn four(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u32::from(*byte))
}

fn six(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
