//! The configuration as a map of keys to values with a Merkle root.
//!
//! Keys are spread over [`BUCKETS`] buckets by the first bits of their SHA-256 digest; [`BUCKETS_PER_GROUP`] consecutive
//! buckets make a group. The digest of a bucket covers its entries in the order of their keys, that of a
//! group its non-empty buckets, and the root all groups. An edit costs the digests of its bucket, its group
//! and the root, not of the whole state.
//!
//! Each digest is SHA-256 over a domain string and the following, all numbers big-endian:
//!
//! | digest of | covers |
//! |---|---|
//! | a bucket | for each entry, in the order of keys: length of the key (4), length of the value (4), key, value |
//! | a group | for each non-empty bucket, in the order of their numbers: its number (2), its digest (32) |
//! | the root | the digests of all [`GROUPS`] groups, empty ones too |

mod packed;

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::Digest;
use packed::BucketBuilder;

/// The number of buckets.
pub const BUCKETS: u16 = 4096;
/// The number of buckets in a group.
pub const BUCKETS_PER_GROUP: u16 = 64;
/// The number of groups.
pub const GROUPS: u8 = (BUCKETS / BUCKETS_PER_GROUP) as u8;
/// The maximum length of a key in bytes; the minimum is one byte.
pub const MAX_KEY_BYTES: usize = 256;
/// The maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The maximum encoded length of a bucket in bytes, so that a bucket fits in one frame of
/// [`crate::message::MAX_RELAY_BODY_BYTES`].
pub const MAX_BUCKET_BYTES: usize = 512 * 1024;
/// The maximum encoded length of all entries of a state in bytes.
pub const MAX_STATE_BYTES: usize = 64 * 1024 * 1024;
/// The maximum number of entries of a state.
pub const MAX_ENTRIES: usize = 1024 * 1024;

/// Identifies a stored state of this version. The root and the encoded buckets, in their order, follow.
const MAGIC: &[u8; 4] = b"bds1";
/// The length of a stored state before its entries.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<Digest>();

const BUCKET_DOMAIN: &[u8] = b"badgerledge state bucket 1";
const GROUP_DOMAIN: &[u8] = b"badgerledge state group 1";
const ROOT_DOMAIN: &[u8] = b"badgerledge state root 1";

static EMPTY_GROUP: LazyLock<Digest> = LazyLock::new(|| group_digest(&[]));
static EMPTY_ROOT: LazyLock<Digest> =
    LazyLock::new(|| hash(ROOT_DOMAIN, std::iter::repeat_n(&EMPTY_GROUP[..], usize::from(GROUPS))));

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub key: String,
    pub value: Vec<u8>,
}

/// A key with its new value, or `None` to remove it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    pub key: String,
    pub value: Option<Vec<u8>>,
}

impl Edit {
    /// Checks the lengths of the key and the value.
    ///
    /// # Errors
    /// If the key or the value is out of bounds.
    pub fn check(&self) -> Result<(), StateFault> {
        packed::check(&self.key, self.value.as_deref().unwrap_or_default())
    }
}

/// Why entries, edits or bytes are rejected. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateFault {
    #[error("a key of {0} bytes; 1 to {MAX_KEY_BYTES} are allowed")]
    KeyLength(usize),
    #[error("key {key}: a value of {length} bytes; at most {MAX_VALUE_BYTES} are allowed")]
    ValueLength { key: String, length: usize },
    #[error("key {0}: duplicate, or out of order")]
    Order(String),
    #[error("key {key}: does not belong to bucket {bucket}")]
    WrongBucket { key: String, bucket: u16 },
    #[error("there is no bucket {0}; there are {BUCKETS}")]
    NoBucket(u16),
    #[error("bucket {bucket} would have {length} bytes; at most {MAX_BUCKET_BYTES} are allowed")]
    BucketTooLarge { bucket: u16, length: usize },
    #[error("the state would have {0} bytes; at most {MAX_STATE_BYTES} are allowed")]
    TooLarge(usize),
    #[error("the state would have {0} entries; at most {MAX_ENTRIES} are allowed")]
    TooMany(usize),
    #[error("not a stored state of this version (bds1)")]
    Version,
    #[error("stored state: truncated or malformed entry at byte {0}")]
    Malformed(usize),
    #[error("stored state: torn or corrupt, the root of its entries is not the stored root")]
    Root,
}

/// A map of keys to values. A clone shares all buckets with the original; an edit copies only the buckets
/// that it touches.
#[derive(Clone)]
pub struct State {
    /// The non-empty groups.
    groups: BTreeMap<u8, Arc<Group>>,
    root: Digest,
    entries: usize,
    bytes: usize,
}

/// A non-empty group.
#[derive(Clone, Default)]
struct Group {
    digest: Digest,
    /// The non-empty buckets, by number.
    buckets: Vec<Bucket>,
}

/// A non-empty bucket.
#[derive(Clone)]
struct Bucket {
    number: u16,
    digest: Digest,
    /// The encoded entries.
    packed: Arc<[u8]>,
}

impl State {
    /// An empty state.
    pub fn new() -> Self {
        Self { groups: BTreeMap::new(), root: *EMPTY_ROOT, entries: 0, bytes: 0 }
    }

    /// A state with these entries.
    ///
    /// # Errors
    /// If an entry is out of bounds, a key occurs twice, or there are too many entries.
    pub fn from_entries(entries: impl IntoIterator<Item = Entry>) -> Result<Self, StateFault> {
        let mut entries: Vec<(u16, Entry)> =
            entries.into_iter().map(|entry| (bucket_of(&entry.key), entry)).collect();
        entries.sort_unstable_by(|a, b| (a.0, &a.1.key).cmp(&(b.0, &b.1.key)));
        let mut builder = BucketBuilder::default();
        for (bucket, entry) in &entries {
            builder.push(*bucket, &entry.key, &entry.value)?;
        }
        let mut state = Self::new();
        state.replace_buckets(builder.into_buckets())?;
        Ok(state)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&[u8]> {
        packed::find(self.packed(bucket_of(key)), key)
    }

    /// All entries, by bucket and within a bucket by key.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let buckets = self.groups.values().flat_map(|group| &group.buckets);
        buckets.flat_map(|bucket| packed::entries(&bucket.packed))
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// The encoded length of all entries in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The Merkle root.
    pub fn root(&self) -> Digest {
        self.root
    }

    /// Applies edits in order: all of them or, if one is rejected, none. Removing a missing key is not an
    /// error.
    ///
    /// # Errors
    /// If an edit, or the resulting state, is out of bounds.
    pub fn apply(&mut self, edits: &[Edit]) -> Result<(), StateFault> {
        let mut by_bucket: BTreeMap<u16, BTreeMap<&str, Option<&[u8]>>> = BTreeMap::new();
        for edit in edits {
            edit.check()?;
            by_bucket.entry(bucket_of(&edit.key)).or_default().insert(&edit.key, edit.value.as_deref());
        }
        let edited = |(bucket, edits)| (bucket, packed::edited(self.packed(bucket), &edits));
        let changed = by_bucket.into_iter().map(edited).collect();
        self.replace_buckets(changed)
    }

    /// The digests of all groups, including empty ones.
    pub fn group_digests(&self) -> Vec<Digest> {
        let digest_of = |group| self.groups.get(&group).map_or(*EMPTY_GROUP, |group| group.digest);
        (0..GROUPS).map(digest_of).collect()
    }

    /// The non-empty buckets of a group with their digests, in the order of their numbers.
    pub fn group(&self, group: u8) -> Vec<(u16, Digest)> {
        self.groups.get(&group).map_or_else(Vec::new, |group| group.bucket_digests())
    }

    /// The entries of a bucket, in the order of their keys.
    pub fn bucket(&self, bucket: u16) -> Vec<Entry> {
        let owned = |(key, value): (&str, &[u8])| Entry { key: key.to_owned(), value: value.to_vec() };
        packed::entries(self.packed(bucket)).map(owned).collect()
    }

    /// The digest of a bucket.
    pub fn bucket_digest(&self, bucket: u16) -> Digest {
        self.find_bucket(bucket).map_or_else(|| packed_digest(&[]), |bucket| bucket.digest)
    }

    /// Replaces the entries of a bucket.
    ///
    /// # Errors
    /// If an entry is out of bounds, of another bucket or not in the order of keys, or the state would be too
    /// large.
    pub fn replace_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<(), StateFault> {
        if bucket >= BUCKETS {
            return Err(StateFault::NoBucket(bucket));
        }
        let mut builder = BucketBuilder::default();
        for entry in entries {
            builder.push(bucket, &entry.key, &entry.value)?;
            if bucket_of(&entry.key) != bucket {
                return Err(StateFault::WrongBucket { key: entry.key, bucket });
            }
        }
        let mut changed = builder.into_buckets();
        if changed.is_empty() {
            changed.push((bucket, Vec::new()));
        }
        self.replace_buckets(changed)
    }

    /// Encodes the state for a file.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.bytes);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&self.root);
        for bucket in self.groups.values().flat_map(|group| &group.buckets) {
            bytes.extend_from_slice(&bucket.packed);
        }
        bytes
    }

    /// Decodes bytes that [`State::write`] encoded. The caller must check that the root is a certified one.
    ///
    /// # Errors
    /// If the bytes are of another format or version, truncated, changed, or out of bounds.
    pub fn read(bytes: &[u8]) -> Result<Self, StateFault> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(StateFault::Version)?;
        let (root, mut rest) = rest.split_first_chunk::<32>().ok_or(StateFault::Malformed(bytes.len()))?;
        if rest.len() > MAX_STATE_BYTES {
            return Err(StateFault::TooLarge(rest.len()));
        }
        let mut builder = BucketBuilder::default();
        while !rest.is_empty() {
            let offset = bytes.len() - rest.len();
            let (key, value, following) = packed::split_entry(rest).ok_or(StateFault::Malformed(offset))?;
            builder.push(bucket_of(key), key, value)?;
            rest = following;
        }
        let mut state = Self::new();
        state.replace_buckets(builder.into_buckets())?;
        if state.root != *root {
            return Err(StateFault::Root);
        }
        Ok(state)
    }

    fn find_bucket(&self, bucket: u16) -> Option<&Bucket> {
        self.groups.get(&group_of(bucket))?.find(bucket)
    }

    /// The encoded entries of a bucket.
    fn packed(&self, bucket: u16) -> &[u8] {
        self.find_bucket(bucket).map_or(&[], |bucket| &bucket.packed)
    }

    /// Replaces encoded buckets: all of them or, if the state would be out of bounds, none.
    fn replace_buckets(&mut self, changed: Vec<(u16, Vec<u8>)>) -> Result<(), StateFault> {
        (self.entries, self.bytes) = self.size_after_replacing(&changed)?;
        let mut by_group: BTreeMap<u8, Vec<(u16, Vec<u8>)>> = BTreeMap::new();
        for (bucket, packed) in changed {
            if self.packed(bucket) != packed {
                by_group.entry(group_of(bucket)).or_default().push((bucket, packed));
            }
        }
        for (number, buckets) in by_group {
            let group = Arc::make_mut(self.groups.entry(number).or_default());
            group.replace_buckets(buckets);
            if group.buckets.is_empty() {
                self.groups.remove(&number);
            }
        }
        self.root = hash(ROOT_DOMAIN, self.group_digests().iter().map(|digest| &digest[..]));
        Ok(())
    }

    /// The number of entries and bytes that the state would have after some buckets are replaced.
    fn size_after_replacing(&self, changed: &[(u16, Vec<u8>)]) -> Result<(usize, usize), StateFault> {
        let (mut entries, mut bytes) = (self.entries, self.bytes);
        for (bucket, packed) in changed {
            if packed.len() > MAX_BUCKET_BYTES {
                return Err(StateFault::BucketTooLarge { bucket: *bucket, length: packed.len() });
            }
            let current = self.packed(*bucket);
            entries = entries - packed::count(current) + packed::count(packed);
            bytes = bytes - current.len() + packed.len();
        }
        if entries > MAX_ENTRIES {
            return Err(StateFault::TooMany(entries));
        }
        if bytes > MAX_STATE_BYTES {
            return Err(StateFault::TooLarge(bytes));
        }
        Ok((entries, bytes))
    }
}

impl Group {
    fn find(&self, bucket: u16) -> Option<&Bucket> {
        let index = self.buckets.binary_search_by_key(&bucket, |bucket| bucket.number).ok()?;
        self.buckets.get(index)
    }

    fn bucket_digests(&self) -> Vec<(u16, Digest)> {
        self.buckets.iter().map(|bucket| (bucket.number, bucket.digest)).collect()
    }

    /// Replaces encoded buckets, and removes the empty ones.
    fn replace_buckets(&mut self, changed: Vec<(u16, Vec<u8>)>) {
        for (number, packed) in changed {
            let bucket = Bucket { number, digest: packed_digest(&packed), packed: packed.into() };
            match self.buckets.binary_search_by_key(&number, |bucket| bucket.number) {
                Ok(index) if bucket.packed.is_empty() => drop(self.buckets.remove(index)),
                Ok(index) => self.buckets[index] = bucket,
                Err(_) if bucket.packed.is_empty() => {}
                Err(index) => self.buckets.insert(index, bucket),
            }
        }
        self.buckets.shrink_to_fit();
        self.digest = group_digest(&self.bucket_digests());
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

/// States with the same root have the same entries.
impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.root == other.root
    }
}

impl Eq for State {}

impl std::fmt::Debug for State {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_map().entries(self.entries()).finish()
    }
}

/// The root over the digests of all groups; `None` if there are not [`GROUPS`] of them.
pub fn root_of_groups(groups: &[Digest]) -> Option<Digest> {
    let is_complete = groups.len() == usize::from(GROUPS);
    is_complete.then(|| hash(ROOT_DOMAIN, groups.iter().map(|digest| &digest[..])))
}

/// The digest of a group from its non-empty buckets, in the order of their numbers.
pub fn group_digest(buckets: &[(u16, Digest)]) -> Digest {
    let mut hasher = Sha256::new_with_prefix(GROUP_DOMAIN);
    for (bucket, digest) in buckets {
        hasher.update(bucket.to_be_bytes());
        hasher.update(digest);
    }
    hasher.finalize().into()
}

/// The digest of a bucket from its entries, in the order of their keys.
pub fn bucket_digest(entries: &[Entry]) -> Digest {
    let mut packed = Vec::new();
    for entry in entries {
        packed::push(&mut packed, &entry.key, &entry.value);
    }
    packed_digest(&packed)
}

/// The bucket that a key belongs to.
pub fn bucket_of(key: &str) -> u16 {
    let digest = Sha256::digest(key);
    u16::from_be_bytes([digest[0], digest[1]]) / (u16::MAX / BUCKETS + 1)
}

/// The group that a bucket belongs to.
fn group_of(bucket: u16) -> u8 {
    (bucket / BUCKETS_PER_GROUP) as u8
}

/// The digest of an encoded bucket.
fn packed_digest(packed: &[u8]) -> Digest {
    hash(BUCKET_DOMAIN, [packed])
}

/// The SHA-256 digest of a domain string and some parts.
fn hash<'a>(domain: &[u8], parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut hasher = Sha256::new_with_prefix(domain);
    parts.into_iter().for_each(|part| hasher.update(part));
    hasher.finalize().into()
}
