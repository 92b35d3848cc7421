//! The configuration as a map of keys to values with a Merkle root.
//!
//! Keys are spread over [`BUCKETS`] buckets by the first bits of their SHA-256 digest; [`GROUP`] buckets in a row make a
//! group. The digest of a bucket covers its entries in the order of their keys, that of a group its non-empty buckets,
//! the root all groups. An edit costs the digests of its bucket, its group and the root, not of the whole.

use serde::{Deserialize, Serialize};

/// How many buckets there are.
pub const BUCKETS: u16 = 4096;
/// How many buckets make a group.
pub const GROUP: u16 = 64;
/// How many groups there are.
pub const GROUPS: u8 = (BUCKETS / GROUP) as u8;

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
