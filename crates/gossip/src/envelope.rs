//! The datagram: 16 bytes of header, a body, and a signature over both.
//!
//! | bytes | field |
//! |---|---|
//! | 3 | `bg` and the version, 1 |
//! | 1 | kind |
//! | 2 | from, a member's number |
//! | 2 | to, a member's number; 65,535 to whoever is there, taken from pings alone |
//! | 4 | the sender's life |
//! | 4 | counter, from 1 in each life |
//! | to the end less 64 | body |
//! | 64 | signature |

use thiserror::Error;

use crate::statement::{four, Signature, SIGNATURE_BYTES};
use crate::Member;

/// Payload bytes of a datagram at most.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const MAGIC: [u8; 3] = [b'b', b'g', 1];
const HEADER_BYTES: usize = 16;
/// What a body holds at most.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - SIGNATURE_BYTES;
/// To whoever is there: a seed whose number is not known.
pub const ANYONE: Member = Member::MAX;

/// Kinds of datagrams. Bodies: ping, ack and nack have the probe's number (2) and statements; ask has the number, the
/// member to be probed (2) and statements; digest has the place to begin in the ring (2), a count (1) and a byte for
/// each member; news has statements; a message is another subsystem's, as it is.
pub const PING: u8 = 1;
pub const ACK: u8 = 2;
pub const ASK: u8 = 3;
pub const NACK: u8 = 4;
pub const DIGEST: u8 = 5;
pub const NEWS: u8 = 6;
pub const MESSAGE: u8 = 7;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Fault {
    #[error("more bytes than a datagram may have")]
    Oversize,
    #[error("no datagram of this protocol and version")]
    Malformed,
    #[error("from a member without a key")]
    Stranger,
    #[error("for another member")]
    Elsewhere,
    #[error("came before, or is too old")]
    Replayed,
    #[error("of a life that is over")]
    Stale,
    #[error("more signatures to check than this source is given")]
    RateLimited,
    #[error("not signed by the member that it names")]
    Unsigned,
}

/// The header's fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub kind: u8,
    pub from: Member,
    pub to: Member,
    pub life: u32,
    pub counter: u32,
}

/// Begins a datagram.
pub fn begin(header: &Header) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend(MAGIC);
    bytes.push(header.kind);
    bytes.extend(header.from.to_be_bytes());
    bytes.extend(header.to.to_be_bytes());
    bytes.extend(header.life.to_be_bytes());
    bytes.extend(header.counter.to_be_bytes());
    bytes
}

/// A datagram in parts: the header, the body, what is signed and the signature.
pub type Parts<'a> = (Header, &'a [u8], &'a [u8], Signature);

/// Takes a datagram apart; nothing of it is believed yet.
pub fn open(bytes: &[u8]) -> Result<Parts<'_>, Fault> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Fault::Oversize);
    }
    if bytes.len() < HEADER_BYTES + SIGNATURE_BYTES
        || bytes[..3] != MAGIC
        || !(PING..=MESSAGE).contains(&bytes[3])
    {
        return Err(Fault::Malformed);
    }
    let (signed, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
    let signature = signature.try_into().map_err(|_| Fault::Malformed)?;
    let pair = |at: usize| Member::from_be_bytes([bytes[at], bytes[at + 1]]);
    let header = Header {
        kind: bytes[3],
        from: pair(4),
        to: pair(6),
        life: four(&bytes[8..12]),
        counter: four(&bytes[12..16]),
    };
    Ok((header, &signed[HEADER_BYTES..], signed, signature))
}
