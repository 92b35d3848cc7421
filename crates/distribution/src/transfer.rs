//! The receiving side of a snapshot: which groups and buckets to ask for, and the check of each part when it comes.
//!
//! It begins from a state of its own and the digests of the groups of a certified root. Groups whose digests differ are
//! asked for, then buckets whose digests differ. A bucket that was checked stays, also when the connection breaks
//! ([`Transfer::disconnected`]) and when a newer root is the target ([`Transfer::retarget`]). Used by watchers and by
//! control machines that are behind.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use crate::state::{bucket_digest, group_digest, root_of_groups, Entry, State, StateFault, GROUP, GROUPS};
use crate::Digest;

/// Groups that are asked for and have not come, at most.
pub const GROUP_WINDOW: usize = 16;
/// Buckets that are asked for and have not come, at most.
pub const BUCKET_WINDOW: usize = 32;

/// Parts to ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartRequest {
    Groups(Vec<u8>),
    Buckets(Vec<u16>),
}

/// What became of a part that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was checked and is part of the state now.
    Verified,
    /// It was asked for while an earlier root was the target, and is of no use now.
    Outdated,
}

/// Why a part or a target is not taken. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransferFault {
    #[error("the digests of {0} groups don't lead to the root that was certified")]
    Root(usize),
    #[error("group {0} was not asked for, or came twice")]
    UnaskedGroup(u8),
    #[error("group {0}: its buckets don't lead to its digest")]
    GroupDigest(u8),
    #[error("group {group}: bucket {bucket} is of another group, twice there, or out of order")]
    GroupBucket { group: u8, bucket: u16 },
    #[error("bucket {0} was not asked for, or came twice")]
    UnaskedBucket(u16),
    #[error("bucket {0}: its entries don't lead to its digest")]
    BucketDigest(u16),
    #[error("bucket {bucket}: {fault}")]
    BucketState { bucket: u16, fault: StateFault },
}

/// How far a transfer has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Groups whose buckets are not known yet.
    pub groups_left: usize,
    /// Buckets known to be missing.
    pub buckets_left: usize,
    /// Buckets that were taken so far, over all targets.
    pub buckets_taken: usize,
    /// Bytes of keys and values in them.
    pub bytes_taken: usize,
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The own state, with each bucket that was checked in place of its own.
    state: State,
    root: Digest,
    groups: Vec<Digest>,
    /// Groups that differ and whose buckets are not known yet.
    groups_left: BTreeSet<u8>,
    /// Buckets that differ, with the digest that each is to have.
    buckets_left: BTreeMap<u16, Digest>,
    groups_asked: BTreeSet<u8>,
    buckets_asked: BTreeSet<u16>,
    /// How often each part was asked for on this connection while an earlier root was the target.
    groups_outdated: BTreeMap<u8, u32>,
    buckets_outdated: BTreeMap<u16, u32>,
    buckets_taken: usize,
    bytes_taken: usize,
}

impl Transfer {
    /// A transfer that leads from the own state to the one with this root.
    ///
    /// # Errors
    /// Where the digests of the groups don't lead to that root.
    pub fn begin(own: State, root: Digest, groups: &[Digest]) -> Result<Self, TransferFault> {
        check_groups(&root, groups)?;
        let mut transfer = Self {
            state: own,
            root,
            groups: groups.to_vec(),
            groups_left: BTreeSet::new(),
            buckets_left: BTreeMap::new(),
            groups_asked: BTreeSet::new(),
            buckets_asked: BTreeSet::new(),
            groups_outdated: BTreeMap::new(),
            buckets_outdated: BTreeMap::new(),
            buckets_taken: 0,
            bytes_taken: 0,
        };
        transfer.compare_groups();
        Ok(transfer)
    }

    /// Another root is the target from now on, or the same one is offered again; what was verified stays. Parts that were
    /// asked for before are asked for anew, and may come once more.
    ///
    /// # Errors
    /// Where the digests of the groups don't lead to that root; the target stays as it was.
    pub fn retarget(&mut self, root: Digest, groups: &[Digest]) -> Result<(), TransferFault> {
        check_groups(&root, groups)?;
        for group in std::mem::take(&mut self.groups_asked) {
            *self.groups_outdated.entry(group).or_default() += 1;
        }
        for bucket in std::mem::take(&mut self.buckets_asked) {
            *self.buckets_outdated.entry(bucket).or_default() += 1;
        }
        self.root = root;
        self.groups = groups.to_vec();
        self.buckets_left.clear();
        self.compare_groups();
        Ok(())
    }

    fn compare_groups(&mut self) {
        let own = self.state.group_digests();
        let differs = |group: &u8| own.get(usize::from(*group)) != self.groups.get(usize::from(*group));
        self.groups_left = (0..GROUPS).filter(differs).collect();
    }

    /// The root that it leads to.
    pub fn root(&self) -> Digest {
        self.root
    }

    /// What to ask for now: within the window, each part once. Nothing while half a window is outstanding, so that there
    /// are few requests.
    pub fn next_requests(&mut self) -> Vec<PartRequest> {
        let mut requests = Vec::new();
        let room = room_in(GROUP_WINDOW, self.groups_asked.len());
        let groups: Vec<u8> = self.groups_left.difference(&self.groups_asked).copied().take(room).collect();
        if !groups.is_empty() {
            self.groups_asked.extend(&groups);
            requests.push(PartRequest::Groups(groups));
        }
        let room = room_in(BUCKET_WINDOW, self.buckets_asked.len());
        let not_asked = |bucket: &u16| !self.buckets_asked.contains(bucket);
        let buckets: Vec<u16> = self.buckets_left.keys().copied().filter(not_asked).take(room).collect();
        if !buckets.is_empty() {
            self.buckets_asked.extend(&buckets);
            requests.push(PartRequest::Buckets(buckets));
        }
        requests
    }

    /// The connection that parts were asked for on is gone: they will be asked for again.
    pub fn disconnected(&mut self) {
        self.groups_asked.clear();
        self.buckets_asked.clear();
        self.groups_outdated.clear();
        self.buckets_outdated.clear();
    }

    /// The digests of the non-empty buckets of a group came.
    ///
    /// # Errors
    /// Where it was not asked for, or is not what the root says.
    pub fn take_group(&mut self, group: u8, buckets: Vec<(u16, Digest)>) -> Result<Taken, TransferFault> {
        match self.checked_group(group, &buckets) {
            Ok(()) => {}
            Err(_) if use_outdated(&mut self.groups_outdated, group) => return Ok(Taken::Outdated),
            Err(fault) => return Err(fault),
        }
        self.groups_asked.remove(&group);
        self.groups_left.remove(&group);
        let own: BTreeMap<u16, Digest> = self.state.group(group).into_iter().collect();
        for bucket in own.keys().filter(|bucket| buckets.iter().all(|(other, _)| other != *bucket)) {
            self.put_bucket(*bucket, Vec::new())?;
        }
        let differs = |(bucket, digest): &(u16, Digest)| own.get(bucket) != Some(digest);
        self.buckets_left.extend(buckets.into_iter().filter(differs));
        Ok(Taken::Verified)
    }

    fn checked_group(&self, group: u8, buckets: &[(u16, Digest)]) -> Result<(), TransferFault> {
        if !self.groups_asked.contains(&group) {
            return Err(TransferFault::UnaskedGroup(group));
        }
        let mut at_least = u16::from(group) * GROUP;
        let end = at_least + GROUP;
        for (bucket, _) in buckets {
            if *bucket < at_least || *bucket >= end {
                return Err(TransferFault::GroupBucket { group, bucket: *bucket });
            }
            at_least = bucket + 1;
        }
        match self.groups.get(usize::from(group)) == Some(&group_digest(buckets)) {
            true => Ok(()),
            false => Err(TransferFault::GroupDigest(group)),
        }
    }

    /// The entries of a bucket came.
    ///
    /// # Errors
    /// Where it was not asked for, or is not what the root says.
    pub fn take_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<Taken, TransferFault> {
        match self.checked_bucket(bucket, &entries) {
            Ok(()) => {}
            Err(_) if use_outdated(&mut self.buckets_outdated, bucket) => return Ok(Taken::Outdated),
            Err(fault) => return Err(fault),
        }
        let bytes: usize = entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum();
        self.put_bucket(bucket, entries)?;
        self.buckets_asked.remove(&bucket);
        self.buckets_left.remove(&bucket);
        self.buckets_taken += 1;
        self.bytes_taken += bytes;
        Ok(Taken::Verified)
    }

    fn checked_bucket(&self, bucket: u16, entries: &[Entry]) -> Result<(), TransferFault> {
        if !self.buckets_asked.contains(&bucket) {
            return Err(TransferFault::UnaskedBucket(bucket));
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

    /// The state, once it has the root that it was to lead to.
    pub fn finished(&self) -> Option<&State> {
        let all_here = self.groups_left.is_empty() && self.buckets_left.is_empty();
        (all_here && self.state.root() == self.root).then_some(&self.state)
    }

    pub fn progress(&self) -> Progress {
        Progress {
            groups_left: self.groups_left.len(),
            buckets_left: self.buckets_left.len(),
            buckets_taken: self.buckets_taken,
            bytes_taken: self.bytes_taken,
        }
    }
}

/// How many parts to ask for with so many outstanding.
fn room_in(window: usize, outstanding: usize) -> usize {
    if outstanding > window / 2 {
        return 0;
    }
    window - outstanding
}

/// Whether the digests of all groups lead to a root.
///
/// # Errors
/// Where they don't.
pub(crate) fn check_groups(root: &Digest, groups: &[Digest]) -> Result<(), TransferFault> {
    match root_of_groups(groups) == Some(*root) {
        true => Ok(()),
        false => Err(TransferFault::Root(groups.len())),
    }
}

/// Whether one more answer to a request under an earlier target may still come; it is counted off then.
fn use_outdated<K: Ord>(outdated: &mut BTreeMap<K, u32>, part: K) -> bool {
    let Some(count) = outdated.get_mut(&part) else { return false };
    *count -= 1;
    if *count == 0 {
        outdated.remove(&part);
    }
    true
}
