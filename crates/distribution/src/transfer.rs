//! The receiving side of a snapshot: which groups and buckets to ask for, and the check of each part when it comes.
//!
//! It begins from a state of its own and the digests of the groups of a certified root. Groups whose digests differ are
//! asked for, then buckets whose digests differ. A bucket that was checked stays, also when the connection breaks
//! ([`Transfer::disconnected`]) and when a newer root is the target ([`Transfer::retarget`]). Used by watchers and by
//! control machines that are behind.

use thiserror::Error;

use crate::state::{Entry, State, StateFault};
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
    root: Digest,
}

#[allow(unused_variables)]
impl Transfer {
    /// A transfer that leads from the own state to the one with this root.
    ///
    /// # Errors
    /// Where the digests of the groups don't lead to that root.
    pub fn begin(own: State, root: Digest, groups: &[Digest]) -> Result<Self, TransferFault> {
        todo!()
    }

    /// Another root is the target from now on; what was verified stays.
    ///
    /// # Errors
    /// Where the digests of the groups don't lead to that root; the target stays as it was.
    pub fn retarget(&mut self, root: Digest, groups: &[Digest]) -> Result<(), TransferFault> {
        todo!()
    }

    /// The root that it leads to.
    pub fn root(&self) -> Digest {
        self.root
    }

    /// What to ask for now: within the window, each part once.
    pub fn next_requests(&mut self) -> Vec<PartRequest> {
        todo!()
    }

    /// The connection that parts were asked for on is gone: they will be asked for again.
    pub fn disconnected(&mut self) {
        todo!()
    }

    /// The digests of the non-empty buckets of a group came.
    ///
    /// # Errors
    /// Where it was not asked for, or is not what the root says.
    pub fn take_group(&mut self, group: u8, buckets: Vec<(u16, Digest)>) -> Result<Taken, TransferFault> {
        todo!()
    }

    /// The entries of a bucket came.
    ///
    /// # Errors
    /// Where it was not asked for, or is not what the root says.
    pub fn take_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<Taken, TransferFault> {
        todo!()
    }

    /// The state, once it has the root that it was to lead to.
    pub fn finished(&self) -> Option<&State> {
        todo!()
    }

    pub fn progress(&self) -> Progress {
        todo!()
    }
}
