//! Messages between watchers, relays and control machines, and their framing on a byte stream.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | length of what follows, big-endian |
//! | 3 | `bd1`, the protocol and its version |
//! | rest | one message in `postcard`'s encoding |

use badgerledge_revisions::message::ActivationGrant;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::{Change, ChangeId, Rejection, Summary};
use crate::lease::{Grant, LeaseProof, Nonce};
use crate::regional::{RegionalGrant, RegionalProof};
use crate::state::{Edit, Entry};
use crate::{Certified, ControllerId, Digest, MachineId, Number};

/// Identifies a frame of this version of the protocol.
const MAGIC: &[u8; 3] = b"bd1";
/// The length of a frame before its body: the length field and the magic.
const HEADER_BYTES: usize = 4 + MAGIC.len();
/// The maximum length of a frame body from a watcher, in bytes.
pub const MAX_WATCHER_BODY_BYTES: usize = 256 * 1024;
/// The maximum length of a frame body from a relay or a control machine, in bytes.
pub const MAX_RELAY_BODY_BYTES: usize = 1024 * 1024;

/// Messages from a watcher, or from an operator's tool, to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRelay {
    /// The first message of a connection. `held` is the highest certified revision whose state the watcher
    /// has (the active or the prepared one), and `root` the root of that state. It is sent again on the same
    /// connection after a delta on a base that the watcher does not hold: the relay uses the new position
    /// from then on, and offers a delta on that base or a snapshot.
    Hello { controller: ControllerId, active: Number, held: Number, root: Digest },
    /// The state of a revision is verified and stored.
    Prepared { number: Number },
    /// The program of the watcher cannot apply the state of a certified revision.
    Unfit { number: Number, reason: String },
    /// Requests a lease. The nonce is unpredictable and used once.
    RequestLease { nonce: Nonce, active: Number },
    /// Requests the bucket digests of some groups of the state that was offered last.
    GetGroups { groups: Vec<u8> },
    /// Requests some buckets of the state that was offered last.
    GetBuckets { buckets: Vec<u16> },
    /// A change of an author, pushed by an operator's tool.
    Push(Change),
    /// Requests the status of the control machine.
    GetStatus,
    /// Like [`ToRelay::RequestLease`], but a [`ToWatcher::RegionalLease`] is accepted if no quorum of acceptors
    /// answers.
    RequestRegionalLease { nonce: Nonce, active: Number },
    /// Requests the status of partitioned regions.
    GetPartitionStatus,
}

/// Messages from a relay to a watcher, or to an operator's tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToWatcher {
    /// Answers a hello: the control machine of the relay, and the highest revision that it holds.
    Welcome { relay: MachineId, number: Number },
    /// The relay is at its limit: try another one, or this one again after the given time.
    Busy { retry_after_ms: u32 },
    /// A certified revision as edits of the state of revision `base`, whose root is `base_root`.
    Delta { certificate: Certified, summary: Summary, base: Number, base_root: Digest, edits: Vec<Edit> },
    /// A certified revision that no delta reaches, with the digests of all groups of its state. The watcher
    /// fetches the groups and buckets in which its own state differs.
    Snapshot { certificate: Certified, summary: Summary, groups: Vec<Digest> },
    /// The digests of the non-empty buckets of a group.
    Group { group: u8, buckets: Vec<(u16, Digest)> },
    /// The entries of a bucket, in the order of their keys.
    Bucket { bucket: u16, entries: Vec<Entry> },
    /// A quorum of acceptors allows the activation of a certified revision.
    Activate { number: Number, activation_grants: Vec<ActivationGrant> },
    /// A lease: the grants of acceptors over a tree of nonces, with the path from the nonce of the watcher.
    Lease(LeaseProof),
    /// The outcome of a change that was pushed on this connection.
    PushOutcome { change: ChangeId, outcome: Result<Number, Rejection> },
    /// The status of the control machine, for operators.
    Status(Box<ControlStatus>),
    /// A lease without a quorum of acceptors: the grants of control machines over a tree of nonces.
    RegionalLease(RegionalProof),
    /// The status of partitioned regions.
    PartitionStatus(Box<PartitionStatus>),
}

/// Messages between control machines. The transport authenticates the sender and the content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A consensus message in the encoding of `badgerledge_revisions`.
    Agreement(Vec<u8>),
    /// The encoded batch of a proposed or certified revision, with the summary that its head refers to.
    Batch { summary: Summary, bytes: Vec<u8> },
    /// Requests the batch with this digest.
    GetBatch { digest: Digest },
    /// Requests an update from the local state to the highest certified one.
    GetState { held: Number, root: Digest },
    /// A part of the answer to [`PeerMessage::GetState`], or to the requests for groups and buckets that
    /// follow.
    State(Box<ToWatcher>),
    /// Requests groups and buckets of an offered state.
    GetParts { groups: Vec<u8>, buckets: Vec<u16> },
    /// Requests a lease grant from an acceptor over the root of a tree of nonces.
    RequestGrant { root: Digest },
    /// A lease grant of an acceptor.
    Grant(Grant),
    /// Forwards a change to the control machine that currently builds batches.
    Forward { change: Change },
    /// The outcome of a forwarded change.
    Outcome { change: ChangeId, outcome: Result<Number, Rejection> },
    /// Requests a regional grant for the active revision of a control machine, over the root of a tree of
    /// nonces.
    RequestRegionalGrant { root: Digest },
    /// A regional grant of a control machine.
    RegionalGrant(RegionalGrant),
}

/// Status of partitioned regions at a control machine, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// How long a partitioned region keeps granting regional leases; 0 if it does not.
    pub max_partition_ms: u64,
    /// Whether this machine could sign a regional grant for its active revision now.
    pub vouches: bool,
    /// The machines that an exclusive revision waits for at this acceptor, and for how long at most.
    pub waits_ms: Vec<(MachineId, u64)>,
    /// The number of regional leases sent to controllers since the start.
    pub regional_leases: u64,
}

/// Status of a control machine, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    pub machine: MachineId,
    pub acceptor: bool,
    pub active: Number,
    pub certified: Number,
    pub root: Digest,
    /// The stated bound T on the time for which two controllers may act on contradicting revisions.
    pub bound_ms: u64,
    pub lease_ms: u64,
    pub watchers: u32,
    /// The number of watchers that have prepared the highest certified revision.
    pub prepared: u32,
    /// The first few of the watchers that have not.
    pub lagging: Vec<ControllerId>,
    /// Control machines that the agreement waits for.
    pub waited_for: Vec<MachineId>,
    /// The oldest revision from which a delta can be built.
    pub log_floor: Number,
    pub entries: u64,
    pub state_bytes: u64,
}

/// Why bytes on a stream are rejected. The connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameFault {
    #[error("a frame of {0} bytes; at most {1} are allowed")]
    TooLong(usize, usize),
    #[error("not a frame of this version of the protocol (bd1)")]
    Version,
    #[error("the body of a frame cannot be decoded")]
    Body,
    #[error("{0} trailing bytes after the message of a frame")]
    Trailing(usize),
}

/// Encodes a message as one frame.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    // All values of these types can be encoded.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let length = (MAGIC.len() + body.len()) as u32;
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(MAGIC);
    frame.extend_from_slice(&body);
    frame
}

/// Decodes the first frame of a buffer. Returns the message and the length of the frame, or `None` if the
/// frame is incomplete.
///
/// # Errors
/// If the bytes cannot be a frame of this protocol with a body of at most `max_body` bytes.
pub fn decode<M: DeserializeOwned>(bytes: &[u8], max_body: usize) -> Result<Option<(M, usize)>, FrameFault> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > max_body + MAGIC.len() {
        return Err(FrameFault::TooLong(length, max_body));
    }
    let received = rest.len().min(MAGIC.len());
    if length < MAGIC.len() || rest[..received] != MAGIC[..received] {
        return Err(FrameFault::Version);
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (message, trailing) =
        postcard::take_from_bytes(&frame[MAGIC.len()..]).map_err(|_| FrameFault::Body)?;
    if !trailing.is_empty() {
        return Err(FrameFault::Trailing(trailing.len()));
    }
    Ok(Some((message, 4 + length)))
}
