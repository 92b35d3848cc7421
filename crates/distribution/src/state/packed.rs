//! The encoding of the entries of a bucket, which is used for digests, in memory and in files.
//!
//! | bytes | field of an entry |
//! |---|---|
//! | 4 | length of the key, big-endian |
//! | 4 | length of the value, big-endian |
//! | | key |
//! | | value |

use std::collections::BTreeMap;

use super::{StateFault, MAX_KEY_BYTES, MAX_VALUE_BYTES};

/// The length of an entry without its key and value.
const ENTRY_HEADER_BYTES: usize = 8;

/// An entry whose key is not yet known to be UTF-8, and the bytes after it.
struct RawEntry<'a> {
    key: &'a [u8],
    value: &'a [u8],
    rest: &'a [u8],
}

/// Checks the lengths of a key and a value.
///
/// # Errors
/// If the key or the value is out of bounds.
pub fn check(key: &str, value: &[u8]) -> Result<(), StateFault> {
    if !(1..=MAX_KEY_BYTES).contains(&key.len()) {
        return Err(StateFault::KeyLength(key.len()));
    }
    if value.len() > MAX_VALUE_BYTES {
        return Err(StateFault::ValueLength { key: key.to_owned(), length: value.len() });
    }
    Ok(())
}

/// Appends an entry. Its key and value must be within their bounds.
pub fn push(packed: &mut Vec<u8>, key: &str, value: &[u8]) {
    packed.extend_from_slice(&(key.len() as u32).to_be_bytes());
    packed.extend_from_slice(&(value.len() as u32).to_be_bytes());
    packed.extend_from_slice(key.as_bytes());
    packed.extend_from_slice(value);
}

/// The first entry of some bytes, and the bytes after it; `None` if there is no complete entry.
pub fn split_entry(bytes: &[u8]) -> Option<(&str, &[u8], &[u8])> {
    let RawEntry { key, value, rest } = split_raw(bytes)?;
    Some((std::str::from_utf8(key).ok()?, value, rest))
}

fn split_raw(bytes: &[u8]) -> Option<RawEntry<'_>> {
    let (key_length, bytes) = bytes.split_first_chunk::<4>()?;
    let (value_length, bytes) = bytes.split_first_chunk::<4>()?;
    let (key, bytes) = bytes.split_at_checked(u32::from_be_bytes(*key_length) as usize)?;
    let (value, rest) = bytes.split_at_checked(u32::from_be_bytes(*value_length) as usize)?;
    Some(RawEntry { key, value, rest })
}

/// The entries of an encoded bucket.
pub fn entries(packed: &[u8]) -> impl Iterator<Item = (&str, &[u8])> {
    let mut rest = packed;
    std::iter::from_fn(move || {
        let (key, value, following) = split_entry(rest)?;
        rest = following;
        Some((key, value))
    })
}

/// The value of a key in an encoded bucket.
pub fn find<'a>(packed: &'a [u8], key: &str) -> Option<&'a [u8]> {
    let mut rest = packed;
    while let Some(raw) = split_raw(rest) {
        if raw.key >= key.as_bytes() {
            return (raw.key == key.as_bytes()).then_some(raw.value);
        }
        rest = raw.rest;
    }
    None
}

/// The number of entries in an encoded bucket.
pub fn count(packed: &[u8]) -> usize {
    let mut rest = packed;
    let mut count = 0;
    while let Some(raw) = split_raw(rest) {
        rest = raw.rest;
        count += 1;
    }
    count
}

/// The encoded bucket after some edits, which must be within their bounds.
pub fn edited(packed: &[u8], edits: &BTreeMap<&str, Option<&[u8]>>) -> Vec<u8> {
    let added_bytes =
        edits.iter().map(|(key, value)| ENTRY_HEADER_BYTES + key.len() + value.map_or(0, <[u8]>::len));
    let mut result = Vec::with_capacity(packed.len() + added_bytes.sum::<usize>());
    let mut edits = edits.iter().peekable();
    for (key, value) in entries(packed) {
        while let Some((new_key, new_value)) = edits.next_if(|(edited, _)| **edited < key) {
            push_if_some(&mut result, new_key, *new_value);
        }
        match edits.next_if(|(edited, _)| **edited == key) {
            Some((_, new_value)) => push_if_some(&mut result, key, *new_value),
            None => push(&mut result, key, value),
        }
    }
    for (new_key, new_value) in edits {
        push_if_some(&mut result, new_key, *new_value);
    }
    result
}

fn push_if_some(packed: &mut Vec<u8>, key: &str, value: Option<&[u8]>) {
    if let Some(value) = value {
        push(packed, key, value);
    }
}

/// Builds encoded buckets from entries that are added in order, by bucket and within a bucket by key.
#[derive(Default)]
pub struct BucketBuilder {
    buckets: Vec<(u16, Vec<u8>)>,
    last_key: String,
}

impl BucketBuilder {
    /// Adds an entry.
    ///
    /// # Errors
    /// If the entry is out of bounds, or does not come after the previous one.
    pub fn push(&mut self, bucket: u16, key: &str, value: &[u8]) -> Result<(), StateFault> {
        check(key, value)?;
        match self.buckets.last_mut() {
            Some((last, packed)) if *last == bucket && *self.last_key < *key => push(packed, key, value),
            Some((last, _)) if *last >= bucket => return Err(StateFault::Order(key.to_owned())),
            _ => {
                let mut packed = Vec::new();
                push(&mut packed, key, value);
                self.buckets.push((bucket, packed));
            }
        }
        key.clone_into(&mut self.last_key);
        Ok(())
    }

    /// The encoded buckets with their numbers.
    pub fn into_buckets(self) -> Vec<(u16, Vec<u8>)> {
        self.buckets
    }
}
