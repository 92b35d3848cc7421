//! File framing for a text: a header with its length and checksum detects truncated and corrupted files.

use thiserror::Error;

/// Why the bytes of a file are rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FileFault {
    #[error("the header of an accounts file is missing")]
    MissingHeader,
    #[error("truncated: {found} bytes, where the header says {expected}")]
    Truncated { found: usize, expected: usize },
    #[error("the checksum does not match the contents")]
    ChecksumMismatch,
}

/// First field of the header.
const MAGIC: &str = "badgerledge-accounts";

/// The text after a header line of the magic word, the length in bytes and the CRC-32 (IEEE 802.3) of the text.
pub fn encode_file(text: &str) -> Vec<u8> {
    let checksum = crc32fast::hash(text.as_bytes());
    format!("{MAGIC} {} {checksum:08x}\n{text}", text.len()).into_bytes()
}

/// Returns the text that a file contains.
///
/// # Errors
/// Where the header is missing, or the text is truncated or corrupted.
pub fn decode_file(bytes: &[u8]) -> Result<&str, FileFault> {
    let end = bytes.iter().position(|byte| *byte == b'\n').ok_or(FileFault::MissingHeader)?;
    let (header, text) = (&bytes[..end], &bytes[end + 1..]);
    let mut fields = std::str::from_utf8(header).map_err(|_| FileFault::MissingHeader)?.split(' ');
    if fields.next() != Some(MAGIC) {
        return Err(FileFault::MissingHeader);
    }
    let expected = fields.next().and_then(|length| length.parse().ok()).ok_or(FileFault::MissingHeader)?;
    let checksum = fields
        .next()
        .and_then(|checksum| u32::from_str_radix(checksum, 16).ok())
        .ok_or(FileFault::MissingHeader)?;
    if text.len() != expected {
        return Err(FileFault::Truncated { found: text.len(), expected });
    }
    if crc32fast::hash(text) != checksum {
        return Err(FileFault::ChecksumMismatch);
    }
    std::str::from_utf8(text).map_err(|_| FileFault::ChecksumMismatch)
}
