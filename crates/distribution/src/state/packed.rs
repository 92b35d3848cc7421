//! The encoding of a bucket's entries: what its digest covers, what memory holds and what a file holds.
//!
//! | bytes | field of an entry |
//! |---|---|
//! | 4 | length of the key, big-endian |
//! | 4 | length of the value, big-endian |
//! | | key |
//! | | value |

use std::collections::BTreeMap;

use super::{StateFault, LONGEST_KEY, LONGEST_VALUE};

/// Bytes of an entry beside its key and value.
const LENGTHS: usize = 8;

/// An entry whose key is not known to be text.
struct Raw<'a> {
    key: &'a [u8],
    value: &'a [u8],
    rest: &'a [u8],
}

/// # Errors
/// Where the key or the value is out of bounds.
pub fn check(key: &str, value: &[u8]) -> Result<(), StateFault> {
    if !(1..=LONGEST_KEY).contains(&key.len()) {
        return Err(StateFault::KeyLength(key.len()));
    }
    if value.len() > LONGEST_VALUE {
        return Err(StateFault::ValueLength { key: key.to_owned(), length: value.len() });
    }
    Ok(())
}

/// Appends an entry, whose key and value are within their bounds.
pub fn push(packed: &mut Vec<u8>, key: &str, value: &[u8]) {
    packed.extend_from_slice(&(key.len() as u32).to_be_bytes());
    packed.extend_from_slice(&(value.len() as u32).to_be_bytes());
    packed.extend_from_slice(key.as_bytes());
    packed.extend_from_slice(value);
}

/// The first entry of some bytes, and what follows it; none where they hold no whole entry.
pub fn split(bytes: &[u8]) -> Option<(&str, &[u8], &[u8])> {
    let Raw { key, value, rest } = split_raw(bytes)?;
    Some((std::str::from_utf8(key).ok()?, value, rest))
}

fn split_raw(bytes: &[u8]) -> Option<Raw<'_>> {
    let (key_length, bytes) = bytes.split_first_chunk::<4>()?;
    let (value_length, bytes) = bytes.split_first_chunk::<4>()?;
    let (key, bytes) = bytes.split_at_checked(u32::from_be_bytes(*key_length) as usize)?;
    let (value, rest) = bytes.split_at_checked(u32::from_be_bytes(*value_length) as usize)?;
    Some(Raw { key, value, rest })
}

/// The entries of an encoded bucket.
pub fn entries(packed: &[u8]) -> impl Iterator<Item = (&str, &[u8])> {
    let mut rest = packed;
    std::iter::from_fn(move || {
        let (key, value, behind) = split(rest)?;
        rest = behind;
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

/// How many entries an encoded bucket has.
pub fn count(packed: &[u8]) -> usize {
    let mut rest = packed;
    let mut count = 0;
    while let Some(raw) = split_raw(rest) {
        rest = raw.rest;
        count += 1;
    }
    count
}

/// An encoded bucket after edits, which are within their bounds.
pub fn edited(packed: &[u8], edits: &BTreeMap<&str, Option<&[u8]>>) -> Vec<u8> {
    let added = edits.iter().map(|(key, value)| LENGTHS + key.len() + value.map_or(0, <[u8]>::len));
    let mut result = Vec::with_capacity(packed.len() + added.sum::<usize>());
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

/// Gathers entries that come in order, by bucket and within a bucket by key, into encoded buckets.
#[derive(Default)]
pub struct Gathered {
    buckets: Vec<(u16, Vec<u8>)>,
    last_key: String,
}

impl Gathered {
    /// # Errors
    /// Where the entry is out of bounds, or does not come after the one before it.
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

    pub fn into_buckets(self) -> Vec<(u16, Vec<u8>)> {
        self.buckets
    }
}
