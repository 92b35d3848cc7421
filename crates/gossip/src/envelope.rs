//! The datagram: 16 bytes of header, a body, and a signature over both.
//!
//! | bytes | field |
//! |---|---|
//! | 3 | `bg` and the version, 1 |
//! | 1 | kind |
//! | 2 | from, a member's number |
//! | 2 | to, a member's number; 65,535 for any recipient, accepted for pings only |
//! | 4 | incarnation of the sender's process |
//! | 4 | counter, from 1 in each process incarnation |
//! | to the end less 64 | body |
//! | 64 | signature |

use thiserror::Error;

use crate::statement::{be_u32, Signature, SIGNATURE_BYTES};
use crate::Member;

/// Maximum payload of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const MAGIC: [u8; 3] = [b'b', b'g', 1];
const HEADER_BYTES: usize = 16;
/// Maximum length of a body in bytes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - SIGNATURE_BYTES;
/// The recipient of a ping to a seed whose number is not known.
pub const ANYONE: Member = Member::MAX;

/// Kinds of datagrams. Bodies: ping, ack and nack have the probe's number (2) and statements; ask has the
/// number, the member to be probed (2) and statements; digest has the first member of the range in the ring
/// (2), a count (1) and a byte for each member; news has statements; a message belongs to another subsystem
/// and is passed on unchanged.
pub const PING: u8 = 1;
pub const ACK: u8 = 2;
pub const PING_REQ: u8 = 3;
pub const NACK: u8 = 4;
pub const DIGEST: u8 = 5;
pub const STATEMENTS: u8 = 6;
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

/// The fields of the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub kind: u8,
    pub from: Member,
    pub to: Member,
    pub process_incarnation: u32,
    pub counter: u32,
}

/// The encoded header, to which the body and the signature are appended.
pub fn begin(header: &Header) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend(MAGIC);
    bytes.push(header.kind);
    bytes.extend(header.from.to_be_bytes());
    bytes.extend(header.to.to_be_bytes());
    bytes.extend(header.process_incarnation.to_be_bytes());
    bytes.extend(header.counter.to_be_bytes());
    bytes
}

/// The parts of a datagram: the header, the body, the signed bytes and the signature.
pub type Parts<'a> = (Header, &'a [u8], &'a [u8], Signature);

/// Splits a datagram into its parts, without verifying the signature.
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
    let member = |offset: usize| Member::from_be_bytes([bytes[offset], bytes[offset + 1]]);
    let header = Header {
        kind: bytes[3],
        from: member(4),
        to: member(6),
        process_incarnation: be_u32(&bytes[8..12]),
        counter: be_u32(&bytes[12..16]),
    };
    Ok((header, &signed[HEADER_BYTES..], signed, signature))
}
