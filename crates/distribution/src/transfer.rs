//! The receiving side of a snapshot transfer: which groups and buckets to request, and the verification of
//! each received part.
//!
//! The transfer starts from the local state and the group digests of a certified root. It requests groups
//! with different digests, then buckets with different digests. Verified buckets are kept when the connection
//! breaks ([`Transfer::disconnected`]) and when a newer root becomes the target ([`Transfer::retarget`]).
//! Used by watchers and by control machines that lag behind.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use crate::state::{
    bucket_digest, group_digest, root_of_groups, Entry, State, StateFault, BUCKETS_PER_GROUP, GROUPS,
};
use crate::Digest;

/// The maximum number of outstanding groups.
pub const GROUP_WINDOW: usize = 16;
/// The maximum number of outstanding buckets.
pub const BUCKET_WINDOW: usize = 32;

/// A request for parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartRequest {
    Groups(Vec<u8>),
    Buckets(Vec<u16>),
}

/// The result of receiving a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The part was verified and is part of the state now.
    Verified,
    /// The part was requested while an earlier root was the target, and is not used.
    Outdated,
}

/// Why a part or a target is rejected. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransferFault {
    #[error("the digests of {0} groups do not lead to the certified root")]
    Root(usize),
    #[error("group {0} was not requested, or was received twice")]
    UnrequestedGroup(u8),
    #[error("group {0}: the bucket digests do not match the group digest")]
    GroupDigest(u8),
    #[error("group {group}: bucket {bucket} is of another group, duplicate, or out of order")]
    GroupBucket { group: u8, bucket: u16 },
    #[error("bucket {0} was not requested, or was received twice")]
    UnrequestedBucket(u16),
    #[error("bucket {0}: the entries do not match the bucket digest")]
    BucketDigest(u16),
    #[error("bucket {bucket}: {fault}")]
    BucketState { bucket: u16, fault: StateFault },
}

/// Progress of a transfer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Groups whose bucket digests are not known yet.
    pub groups_left: usize,
    /// Buckets that are known to differ.
    pub buckets_left: usize,
    /// Buckets received so far, over all targets.
    pub buckets_received: usize,
    /// The bytes of keys and values in them.
    pub bytes_received: usize,
}

/// A snapshot transfer.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The local state, in which verified buckets replace the original ones.
    state: State,
    /// The root of the target.
    root: Digest,
    /// The group digests of the target.
    groups: Vec<Digest>,
    /// Groups that differ and whose bucket digests are not known yet.
    groups_left: BTreeSet<u8>,
    /// Buckets that differ, with the digests that they must have.
    buckets_left: BTreeMap<u16, Digest>,
    groups_requested: BTreeSet<u8>,
    buckets_requested: BTreeSet<u16>,
    /// The number of outstanding answers to requests that were made on this connection under an earlier
    /// target.
    groups_outdated: BTreeMap<u8, u32>,
    buckets_outdated: BTreeMap<u16, u32>,
    buckets_received: usize,
    bytes_received: usize,
}

impl Transfer {
    /// Starts a transfer from the local state to the one with this root.
    ///
    /// # Errors
    /// If the group digests do not lead to that root.
    pub fn begin(local: State, root: Digest, groups: &[Digest]) -> Result<Self, TransferFault> {
        check_groups(&root, groups)?;
        let mut transfer = Self {
            state: local,
            root,
            groups: groups.to_vec(),
            groups_left: BTreeSet::new(),
            buckets_left: BTreeMap::new(),
            groups_requested: BTreeSet::new(),
            buckets_requested: BTreeSet::new(),
            groups_outdated: BTreeMap::new(),
            buckets_outdated: BTreeMap::new(),
            buckets_received: 0,
            bytes_received: 0,
        };
        transfer.compare_groups();
        Ok(transfer)
    }

    /// Makes another root the target, or accepts a repeated offer of the same one. Verified parts are kept.
    /// Outstanding parts are requested again, and the answers to the earlier requests may still arrive once.
    ///
    /// # Errors
    /// If the group digests do not lead to that root; the target is unchanged then.
    pub fn retarget(&mut self, root: Digest, groups: &[Digest]) -> Result<(), TransferFault> {
        check_groups(&root, groups)?;
        for group in std::mem::take(&mut self.groups_requested) {
            *self.groups_outdated.entry(group).or_default() += 1;
        }
        for bucket in std::mem::take(&mut self.buckets_requested) {
            *self.buckets_outdated.entry(bucket).or_default() += 1;
        }
        self.root = root;
        self.groups = groups.to_vec();
        self.buckets_left.clear();
        self.compare_groups();
        Ok(())
    }

    /// Determines the groups that differ from the target.
    fn compare_groups(&mut self) {
        let local = self.state.group_digests();
        let differs = |group: &u8| local.get(usize::from(*group)) != self.groups.get(usize::from(*group));
        self.groups_left = (0..GROUPS).filter(differs).collect();
    }

    /// The root of the target.
    pub fn root(&self) -> Digest {
        self.root
    }

    /// The parts to request now, within the window and each part once. Empty while more than half a window is
    /// outstanding, to limit the number of requests.
    pub fn next_requests(&mut self) -> Vec<PartRequest> {
        let mut requests = Vec::new();
        let capacity = free_window(GROUP_WINDOW, self.groups_requested.len());
        let groups: Vec<u8> =
            self.groups_left.difference(&self.groups_requested).copied().take(capacity).collect();
        if !groups.is_empty() {
            self.groups_requested.extend(&groups);
            requests.push(PartRequest::Groups(groups));
        }
        let capacity = free_window(BUCKET_WINDOW, self.buckets_requested.len());
        let is_not_requested = |bucket: &u16| !self.buckets_requested.contains(bucket);
        let buckets: Vec<u16> =
            self.buckets_left.keys().copied().filter(is_not_requested).take(capacity).collect();
        if !buckets.is_empty() {
            self.buckets_requested.extend(&buckets);
            requests.push(PartRequest::Buckets(buckets));
        }
        requests
    }

    /// The connection on which parts were requested closed: they will be requested again.
    pub fn disconnected(&mut self) {
        self.groups_requested.clear();
        self.buckets_requested.clear();
        self.groups_outdated.clear();
        self.buckets_outdated.clear();
    }

    /// Receives the digests of the non-empty buckets of a group.
    ///
    /// # Errors
    /// If the part was not requested, or does not match the root.
    pub fn receive_group(
        &mut self, group: u8, buckets: Vec<(u16, Digest)>,
    ) -> Result<PartOutcome, TransferFault> {
        match self.check_group(group, &buckets) {
            Ok(()) => {}
            Err(_) if take_outdated(&mut self.groups_outdated, group) => return Ok(PartOutcome::Outdated),
            Err(fault) => return Err(fault),
        }
        self.groups_requested.remove(&group);
        self.groups_left.remove(&group);
        let local: BTreeMap<u16, Digest> = self.state.group(group).into_iter().collect();
        for bucket in local.keys().filter(|bucket| buckets.iter().all(|(other, _)| other != *bucket)) {
            self.put_bucket(*bucket, Vec::new())?;
        }
        let differs = |(bucket, digest): &(u16, Digest)| local.get(bucket) != Some(digest);
        self.buckets_left.extend(buckets.into_iter().filter(differs));
        Ok(PartOutcome::Verified)
    }

    fn check_group(&self, group: u8, buckets: &[(u16, Digest)]) -> Result<(), TransferFault> {
        if !self.groups_requested.contains(&group) {
            return Err(TransferFault::UnrequestedGroup(group));
        }
        let mut min_bucket = u16::from(group) * BUCKETS_PER_GROUP;
        let end = min_bucket + BUCKETS_PER_GROUP;
        for (bucket, _) in buckets {
            if *bucket < min_bucket || *bucket >= end {
                return Err(TransferFault::GroupBucket { group, bucket: *bucket });
            }
            min_bucket = bucket + 1;
        }
        match self.groups.get(usize::from(group)) == Some(&group_digest(buckets)) {
            true => Ok(()),
            false => Err(TransferFault::GroupDigest(group)),
        }
    }

    /// Receives the entries of a bucket.
    ///
    /// # Errors
    /// If the part was not requested, or does not match the root.
    pub fn receive_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<PartOutcome, TransferFault> {
        match self.check_bucket(bucket, &entries) {
            Ok(()) => {}
            Err(_) if take_outdated(&mut self.buckets_outdated, bucket) => return Ok(PartOutcome::Outdated),
            Err(fault) => return Err(fault),
        }
        let bytes: usize = entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum();
        self.put_bucket(bucket, entries)?;
        self.buckets_requested.remove(&bucket);
        self.buckets_left.remove(&bucket);
        self.buckets_received += 1;
        self.bytes_received += bytes;
        Ok(PartOutcome::Verified)
    }

    fn check_bucket(&self, bucket: u16, entries: &[Entry]) -> Result<(), TransferFault> {
        if !self.buckets_requested.contains(&bucket) {
            return Err(TransferFault::UnrequestedBucket(bucket));
        }
        match self.buckets_left.get(&bucket) == Some(&bucket_digest(entries)) {
            true => Ok(()),
            false => Err(TransferFault::BucketDigest(bucket)),
        }
    }

    fn put_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<(), TransferFault> {
        let put = self.state.replace_bucket(bucket, entries);
        put.map_err(|fault| TransferFault::BucketState { bucket, fault })
    }

    /// The state, once it has the root of the target.
    pub fn finished(&self) -> Option<&State> {
        let is_complete = self.groups_left.is_empty() && self.buckets_left.is_empty();
        (is_complete && self.state.root() == self.root).then_some(&self.state)
    }

    /// Progress of the transfer.
    pub fn progress(&self) -> Progress {
        Progress {
            groups_left: self.groups_left.len(),
            buckets_left: self.buckets_left.len(),
            buckets_received: self.buckets_received,
            bytes_received: self.bytes_received,
        }
    }
}

/// The number of parts to request with so many outstanding.
fn free_window(window: usize, outstanding: usize) -> usize {
    if outstanding > window / 2 {
        return 0;
    }
    window - outstanding
}

/// Checks that the digests of all groups lead to a root.
///
/// # Errors
/// If they do not.
pub(crate) fn check_groups(root: &Digest, groups: &[Digest]) -> Result<(), TransferFault> {
    match root_of_groups(groups) == Some(*root) {
        true => Ok(()),
        false => Err(TransferFault::Root(groups.len())),
    }
}

/// Whether an answer to a request under an earlier target is still outstanding; counts it as received then.
fn take_outdated<K: Ord>(outdated: &mut BTreeMap<K, u32>, part: K) -> bool {
    let Some(count) = outdated.get_mut(&part) else { return false };
    *count -= 1;
    if *count == 0 {
        outdated.remove(&part);
    }
    true
}
