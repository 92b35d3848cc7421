//! Text as it is kept in a file: with its length and a checksum before it, so that a torn or changed one is known.

use thiserror::Error;

/// Why sealed bytes are not taken.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SealFault {
    #[error("no seal of this program's")]
    NoSeal,
    #[error("{found} bytes where the seal says {told}: it was torn")]
    Torn { found: usize, told: usize },
    #[error("the checksum is not that of the bytes: they were changed")]
    Changed,
}

const MARK: &str = "badgerledge-accounts";

/// The text with a first line that says how long it is and its CRC-32 (IEEE 802.3).
pub fn seal(text: &str) -> Vec<u8> {
    let sum = crc32fast::hash(text.as_bytes());
    format!("{MARK} {} {sum:08x}\n{text}", text.len()).into_bytes()
}

/// The text, if it is whole and unchanged.
pub fn open(bytes: &[u8]) -> Result<&str, SealFault> {
    let end = bytes.iter().position(|byte| *byte == b'\n').ok_or(SealFault::NoSeal)?;
    let (head, text) = (&bytes[..end], &bytes[end + 1..]);
    let mut words = std::str::from_utf8(head).map_err(|_| SealFault::NoSeal)?.split(' ');
    if words.next() != Some(MARK) {
        return Err(SealFault::NoSeal);
    }
    let told = words.next().and_then(|length| length.parse().ok()).ok_or(SealFault::NoSeal)?;
    let sum = words.next().and_then(|sum| u32::from_str_radix(sum, 16).ok()).ok_or(SealFault::NoSeal)?;
    if text.len() != told {
        return Err(SealFault::Torn { found: text.len(), told });
    }
    if crc32fast::hash(text) != sum {
        return Err(SealFault::Changed);
    }
    std::str::from_utf8(text).map_err(|_| SealFault::Changed)
}
