//! The configuration as a map of keys to values with a Merkle root.
//!
//! Keys are spread over [`BUCKETS`] buckets by the first bits of their SHA-256 digest; [`GROUP`] buckets in a row make a
//! group. The digest of a bucket covers its entries in the order of their keys, that of a group its non-empty buckets,
//! the root all groups. An edit costs the digests of its bucket, its group and the root, not of the whole.
//!
//! Each digest is SHA-256 over a domain string and the following, all numbers big-endian:
//!
//! | digest of | covers |
//! |---|---|
//! | a bucket | for each entry, in the order of keys: length of the key (2), length of the value (4), key, value |
//! | a group | for each non-empty bucket, in the order of their numbers: its number (2), its digest (32) |
//! | the root | the digests of all [`GROUPS`] groups, empty ones too |

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Digest;

/// How many buckets there are.
pub const BUCKETS: u16 = 4096;
/// How many buckets make a group.
pub const GROUP: u16 = 64;
/// How many groups there are.
pub const GROUPS: u8 = (BUCKETS / GROUP) as u8;
/// Bytes of a key at most; a key has one byte at least.
pub const LONGEST_KEY: usize = 256;
/// Bytes of a value at most.
pub const LONGEST_VALUE: usize = 64 * 1024;
/// Encoded bytes of a bucket at most, so that a bucket fits in one frame of [`crate::message::LONGEST_FROM_RELAY`].
pub const LARGEST_BUCKET: usize = 512 * 1024;
/// Encoded bytes of a whole state at most.
pub const LARGEST_STATE: usize = 64 * 1024 * 1024;
/// Entries of a whole state at most.
pub const MOST_ENTRIES: usize = 1024 * 1024;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub key: String,
    pub value: Vec<u8>,
}

/// A key with its new value, or with none where it is removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    pub key: String,
    pub value: Option<Vec<u8>>,
}

/// Why entries, edits or bytes make no state. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateFault {
    #[error("a key of {0} bytes; it has from 1 to {LONGEST_KEY}")]
    KeyLength(usize),
    #[error("key {key}: a value of {length} bytes, where {LONGEST_VALUE} at most are taken")]
    ValueLength { key: String, length: usize },
    #[error("key {0}: it stands twice, or not in the order of keys")]
    Order(String),
    #[error("key {key}: it does not belong to bucket {bucket}")]
    WrongBucket { key: String, bucket: u16 },
    #[error("there is no bucket {0}; there are {BUCKETS}")]
    NoBucket(u16),
    #[error("bucket {bucket} would have {length} bytes, where {LARGEST_BUCKET} at most are taken")]
    BucketTooLarge { bucket: u16, length: usize },
    #[error("it would have {0} bytes, where {LARGEST_STATE} at most are taken")]
    TooLarge(usize),
    #[error("it would have {0} entries, where {MOST_ENTRIES} at most are taken")]
    TooMany(usize),
    #[error("not a stored state, or one of another version (bds1 is read here)")]
    Mark,
    #[error("byte {0} of a stored state: what stands there is cut off, or no entry")]
    Form(usize),
    #[error("a stored state whose root is not the one that it names: it is torn or changed")]
    Root,
}

/// A map of keys to values. A clone shares its buckets with the original.
#[derive(Clone, Debug)]
pub struct State {}

#[allow(unused_variables)]
impl State {
    pub fn new() -> Self {
        todo!()
    }

    /// # Errors
    /// Where an entry is out of bounds, a key stands twice, or they are too many.
    pub fn from_entries(entries: impl IntoIterator<Item = Entry>) -> Result<Self, StateFault> {
        todo!()
    }

    pub fn get(&self, key: &str) -> Option<&[u8]> {
        todo!()
    }

    /// All entries, by bucket and within a bucket by key.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &[u8])> {
        std::iter::empty()
    }

    pub fn len(&self) -> usize {
        todo!()
    }

    pub fn is_empty(&self) -> bool {
        todo!()
    }

    /// Encoded bytes of all entries.
    pub fn bytes(&self) -> usize {
        todo!()
    }

    pub fn root(&self) -> Digest {
        todo!()
    }

    /// Applies edits in order: all of them or, where one is refused, none.
    ///
    /// # Errors
    /// Where an edit, or the state that it leads to, is out of bounds.
    pub fn apply(&mut self, edits: &[Edit]) -> Result<(), StateFault> {
        todo!()
    }

    pub fn group_digests(&self) -> Vec<Digest> {
        todo!()
    }

    /// The non-empty buckets of a group with their digests, by number.
    pub fn group(&self, group: u8) -> Vec<(u16, Digest)> {
        todo!()
    }

    /// The entries of a bucket, by key.
    pub fn bucket(&self, bucket: u16) -> Vec<Entry> {
        todo!()
    }

    pub fn bucket_digest(&self, bucket: u16) -> Digest {
        todo!()
    }

    /// Puts these entries in place of a bucket's.
    ///
    /// # Errors
    /// Where an entry is out of bounds, of another bucket or not in the order of keys, or the state would be too large.
    pub fn replace_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<(), StateFault> {
        todo!()
    }

    /// Encodes the state for a file.
    pub fn write(&self) -> Vec<u8> {
        todo!()
    }

    /// Decodes what [`State::write`] made. That the root is a certified one is for the caller to check.
    ///
    /// # Errors
    /// Where the bytes are of another kind or version, cut, changed, or out of bounds.
    pub fn read(bytes: &[u8]) -> Result<Self, StateFault> {
        todo!()
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.root() == other.root()
    }
}

impl Eq for State {}

/// The root over the digests of all groups; none where they are not [`GROUPS`].
pub fn root_of_groups(_groups: &[Digest]) -> Option<Digest> {
    todo!()
}

/// The digest of a group from its non-empty buckets, by number.
pub fn group_digest(_buckets: &[(u16, Digest)]) -> Digest {
    todo!()
}

/// The digest of a bucket from its entries, by key.
pub fn bucket_digest(_entries: &[Entry]) -> Digest {
    todo!()
}

/// The bucket that a key belongs to.
pub fn bucket_of(_key: &str) -> u16 {
    todo!()
}
