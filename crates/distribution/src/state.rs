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
use packed::Gathered;

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

/// Marks a stored state in this version. Its root and its encoded buckets, in their order, follow.
const MARK: &[u8; 4] = b"bds1";
/// Bytes of a stored state before its entries.
const HEADER: usize = MARK.len() + size_of::<Digest>();

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

/// A key with its new value, or with none where it is removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    pub key: String,
    pub value: Option<Vec<u8>>,
}

impl Edit {
    /// # Errors
    /// Where the key or the value is out of bounds.
    pub fn check(&self) -> Result<(), StateFault> {
        packed::check(&self.key, self.value.as_deref().unwrap_or_default())
    }
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

/// A map of keys to values. A clone shares all buckets with the original; an edit copies what it touches.
#[derive(Clone)]
pub struct State {
    /// The non-empty groups.
    groups: BTreeMap<u8, Arc<Group>>,
    root: Digest,
    entries: usize,
    bytes: usize,
}

#[derive(Clone, Default)]
struct Group {
    digest: Digest,
    /// The non-empty buckets, by number.
    buckets: Vec<Bucket>,
}

#[derive(Clone)]
struct Bucket {
    number: u16,
    digest: Digest,
    packed: Arc<[u8]>,
}

impl State {
    pub fn new() -> Self {
        Self { groups: BTreeMap::new(), root: *EMPTY_ROOT, entries: 0, bytes: 0 }
    }

    /// # Errors
    /// Where an entry is out of bounds, a key stands twice, or they are too many.
    pub fn from_entries(entries: impl IntoIterator<Item = Entry>) -> Result<Self, StateFault> {
        let mut entries: Vec<(u16, Entry)> =
            entries.into_iter().map(|entry| (bucket_of(&entry.key), entry)).collect();
        entries.sort_unstable_by(|a, b| (a.0, &a.1.key).cmp(&(b.0, &b.1.key)));
        let mut gathered = Gathered::default();
        for (bucket, entry) in &entries {
            gathered.push(*bucket, &entry.key, &entry.value)?;
        }
        let mut state = Self::new();
        state.put(gathered.into_buckets())?;
        Ok(state)
    }

    pub fn get(&self, key: &str) -> Option<&[u8]> {
        packed::find(self.packed(bucket_of(key)), key)
    }

    /// All entries, by bucket and within a bucket by key.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let buckets = self.groups.values().flat_map(|group| &group.buckets);
        buckets.flat_map(|bucket| packed::entries(&bucket.packed))
    }

    pub fn len(&self) -> usize {
        self.entries
    }

    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Encoded bytes of all entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn root(&self) -> Digest {
        self.root
    }

    /// Applies edits in order: all of them or, where one is refused, none. A key that is not there can be removed.
    ///
    /// # Errors
    /// Where an edit, or the state that it leads to, is out of bounds.
    pub fn apply(&mut self, edits: &[Edit]) -> Result<(), StateFault> {
        let mut by_bucket: BTreeMap<u16, BTreeMap<&str, Option<&[u8]>>> = BTreeMap::new();
        for edit in edits {
            edit.check()?;
            by_bucket.entry(bucket_of(&edit.key)).or_default().insert(&edit.key, edit.value.as_deref());
        }
        let edited = |(bucket, edits)| (bucket, packed::edited(self.packed(bucket), &edits));
        let changed = by_bucket.into_iter().map(edited).collect();
        self.put(changed)
    }

    /// The digests of all groups, empty ones too.
    pub fn group_digests(&self) -> Vec<Digest> {
        let digest_of = |group| self.groups.get(&group).map_or(*EMPTY_GROUP, |group| group.digest);
        (0..GROUPS).map(digest_of).collect()
    }

    /// The non-empty buckets of a group with their digests, by number.
    pub fn group(&self, group: u8) -> Vec<(u16, Digest)> {
        self.groups.get(&group).map_or_else(Vec::new, |group| group.bucket_digests())
    }

    /// The entries of a bucket, by key.
    pub fn bucket(&self, bucket: u16) -> Vec<Entry> {
        let owned = |(key, value): (&str, &[u8])| Entry { key: key.to_owned(), value: value.to_vec() };
        packed::entries(self.packed(bucket)).map(owned).collect()
    }

    pub fn bucket_digest(&self, bucket: u16) -> Digest {
        self.find_bucket(bucket).map_or_else(|| packed_digest(&[]), |bucket| bucket.digest)
    }

    /// Puts these entries in place of a bucket's.
    ///
    /// # Errors
    /// Where an entry is out of bounds, of another bucket or not in the order of keys, or the state would be too large.
    pub fn replace_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<(), StateFault> {
        if bucket >= BUCKETS {
            return Err(StateFault::NoBucket(bucket));
        }
        let mut gathered = Gathered::default();
        for entry in entries {
            gathered.push(bucket, &entry.key, &entry.value)?;
            if bucket_of(&entry.key) != bucket {
                return Err(StateFault::WrongBucket { key: entry.key, bucket });
            }
        }
        let mut changed = gathered.into_buckets();
        if changed.is_empty() {
            changed.push((bucket, Vec::new()));
        }
        self.put(changed)
    }

    /// Encodes the state for a file.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER + self.bytes);
        bytes.extend_from_slice(MARK);
        bytes.extend_from_slice(&self.root);
        for bucket in self.groups.values().flat_map(|group| &group.buckets) {
            bytes.extend_from_slice(&bucket.packed);
        }
        bytes
    }

    /// Decodes what [`State::write`] made. That the root is a certified one is for the caller to check.
    ///
    /// # Errors
    /// Where the bytes are of another kind or version, cut, changed, or out of bounds.
    pub fn read(bytes: &[u8]) -> Result<Self, StateFault> {
        let named = bytes.strip_prefix(MARK).ok_or(StateFault::Mark)?;
        let (root, mut rest) = named.split_first_chunk::<32>().ok_or(StateFault::Form(bytes.len()))?;
        if rest.len() > LARGEST_STATE {
            return Err(StateFault::TooLarge(rest.len()));
        }
        let mut gathered = Gathered::default();
        while !rest.is_empty() {
            let place = bytes.len() - rest.len();
            let (key, value, behind) = packed::split(rest).ok_or(StateFault::Form(place))?;
            gathered.push(bucket_of(key), key, value)?;
            rest = behind;
        }
        let mut state = Self::new();
        state.put(gathered.into_buckets())?;
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

    /// Puts encoded buckets in place of present ones: all or, where the state would be out of bounds, none.
    fn put(&mut self, changed: Vec<(u16, Vec<u8>)>) -> Result<(), StateFault> {
        (self.entries, self.bytes) = self.size_with(&changed)?;
        let mut by_group: BTreeMap<u8, Vec<(u16, Vec<u8>)>> = BTreeMap::new();
        for (bucket, packed) in changed {
            if self.packed(bucket) != packed {
                by_group.entry(group_of(bucket)).or_default().push((bucket, packed));
            }
        }
        for (number, buckets) in by_group {
            let group = Arc::make_mut(self.groups.entry(number).or_default());
            group.put(buckets);
            if group.buckets.is_empty() {
                self.groups.remove(&number);
            }
        }
        self.root = hash(ROOT_DOMAIN, self.group_digests().iter().map(|digest| &digest[..]));
        Ok(())
    }

    /// How many entries and bytes the state would have with some buckets put in place of present ones.
    fn size_with(&self, changed: &[(u16, Vec<u8>)]) -> Result<(usize, usize), StateFault> {
        let (mut entries, mut bytes) = (self.entries, self.bytes);
        for (bucket, packed) in changed {
            if packed.len() > LARGEST_BUCKET {
                return Err(StateFault::BucketTooLarge { bucket: *bucket, length: packed.len() });
            }
            let present = self.packed(*bucket);
            entries = entries - packed::count(present) + packed::count(packed);
            bytes = bytes - present.len() + packed.len();
        }
        if entries > MOST_ENTRIES {
            return Err(StateFault::TooMany(entries));
        }
        if bytes > LARGEST_STATE {
            return Err(StateFault::TooLarge(bytes));
        }
        Ok((entries, bytes))
    }
}

impl Group {
    fn find(&self, bucket: u16) -> Option<&Bucket> {
        let place = self.buckets.binary_search_by_key(&bucket, |bucket| bucket.number).ok()?;
        self.buckets.get(place)
    }

    fn bucket_digests(&self) -> Vec<(u16, Digest)> {
        self.buckets.iter().map(|bucket| (bucket.number, bucket.digest)).collect()
    }

    /// Puts encoded buckets in place of present ones.
    fn put(&mut self, changed: Vec<(u16, Vec<u8>)>) {
        for (number, packed) in changed {
            let bucket = Bucket { number, digest: packed_digest(&packed), packed: packed.into() };
            match self.buckets.binary_search_by_key(&number, |bucket| bucket.number) {
                Ok(place) if bucket.packed.is_empty() => drop(self.buckets.remove(place)),
                Ok(place) => self.buckets[place] = bucket,
                Err(_) if bucket.packed.is_empty() => {}
                Err(place) => self.buckets.insert(place, bucket),
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

/// States with the same root hold the same entries.
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

/// The root over the digests of all groups; none where they are not [`GROUPS`].
pub fn root_of_groups(groups: &[Digest]) -> Option<Digest> {
    let complete = groups.len() == usize::from(GROUPS);
    complete.then(|| hash(ROOT_DOMAIN, groups.iter().map(|digest| &digest[..])))
}

/// The digest of a group from its non-empty buckets, by number.
pub fn group_digest(buckets: &[(u16, Digest)]) -> Digest {
    let mut hasher = Sha256::new_with_prefix(GROUP_DOMAIN);
    for (bucket, digest) in buckets {
        hasher.update(bucket.to_be_bytes());
        hasher.update(digest);
    }
    hasher.finalize().into()
}

/// The digest of a bucket from its entries, by key.
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
    (bucket / GROUP) as u8
}

fn packed_digest(packed: &[u8]) -> Digest {
    hash(BUCKET_DOMAIN, [packed])
}

fn hash<'a>(domain: &[u8], parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut hasher = Sha256::new_with_prefix(domain);
    parts.into_iter().for_each(|part| hasher.update(part));
    hasher.finalize().into()
}
