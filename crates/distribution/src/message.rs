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

/// Marks a frame as this protocol in this version.
const MARK: &[u8; 3] = b"bd1";
/// Bytes before the body of a frame: its length and the mark.
const HEADER: usize = 4 + MARK.len();
/// The longest body of a frame that a watcher sends.
pub const LONGEST_FROM_WATCHER: usize = 256 * 1024;
/// The longest body of a frame that a relay or a control machine sends.
pub const LONGEST_FROM_RELAY: usize = 1024 * 1024;

/// What a watcher, or an operator's tool, sends to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRelay {
    /// The first message of a connection: who asks, and what it holds. `held` is the highest certified revision whose
    /// state it has (equal to `active`, or the prepared one), `root` the root of that state. It comes again on the same
    /// connection after a delta on a base that the watcher does not hold: the relay goes by it from then on, and offers
    /// a delta on that base or a snapshot.
    Hello { controller: ControllerId, active: Number, held: Number, root: Digest },
    /// The state of a revision is verified and stored.
    Prepared { number: Number },
    /// A certified revision cannot be acted on here: its state does not fit this program.
    Unfit { number: Number, reason: String },
    /// Asks for a lease. The nonce is unpredictable and used once.
    AskLease { nonce: Nonce, active: Number },
    /// Asks for the digests of the buckets of some groups of the state last offered.
    GetGroups { groups: Vec<u8> },
    /// Asks for some buckets of the state last offered.
    GetBuckets { buckets: Vec<u16> },
    /// An author's change, pushed by an operator's tool.
    Push(Change),
    /// Asks for a report of the control machine.
    GetStatus,
    /// The same as [`ToRelay::AskLease`]; where no quorum of acceptors answers, a [`ToWatcher::RegionalLease`] is taken.
    AskRegionalLease { nonce: Nonce, active: Number },
    /// Asks for a report on regions apart.
    GetApart,
}

/// What a relay sends to a watcher, or to an operator's tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToWatcher {
    /// Answers a hello: which control machine this is, and the highest revision that it holds.
    Welcome { relay: MachineId, number: Number },
    /// The relay is at its bound: try another, or this one again after so long.
    Busy { retry_after_ms: u32 },
    /// A certified revision as edits on the state of revision `base`, whose root is `base_root`.
    Delta { certificate: Certified, summary: Summary, base: Number, base_root: Digest, edits: Vec<Edit> },
    /// A certified revision that no delta reaches: the digests of all groups of its state. The watcher fetches the
    /// groups and buckets in which its own state differs.
    Snapshot { certificate: Certified, summary: Summary, groups: Vec<Digest> },
    /// The digests of the non-empty buckets of a group.
    Group { group: u8, buckets: Vec<(u16, Digest)> },
    /// The entries of a bucket, by key.
    Bucket { bucket: u16, entries: Vec<Entry> },
    /// A quorum of acceptors says that a certified revision may be acted on.
    Activate { number: Number, goes: Vec<ActivationGrant> },
    /// A lease: acceptors' grants over a tree of nonces, with the path from the watcher's own.
    Lease(LeaseProof),
    /// What became of a change that was pushed on this connection.
    PushOutcome { change: ChangeId, outcome: Result<Number, Rejection> },
    /// A report for an operator.
    Status(Box<ControlStatus>),
    /// A lease without a quorum of acceptors: control machines' grants over a tree of nonces.
    RegionalLease(RegionalProof),
    /// A report on regions apart.
    Apart(Box<ApartStatus>),
}

/// What control machines send to each other. The transport tells who sent it and that it is unaltered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the agreement, as `badgerledge_revisions` writes it.
    Agreement(Vec<u8>),
    /// The encoded batch of a revision that is proposed or certified, with the text that its head names.
    Batch { summary: Summary, bytes: Vec<u8> },
    /// Asks for the batch with this digest.
    GetBatch { digest: Digest },
    /// Asks what is needed to get from one's own state to the highest certified one.
    GetState { held: Number, root: Digest },
    /// A part of the answer to that, or to the requests for groups and buckets that follow from it.
    State(Box<ToWatcher>),
    /// Requests for groups and buckets of a state that was offered.
    GetParts { groups: Vec<u8>, buckets: Vec<u16> },
    /// Asks an acceptor to grant a lease over the root of a tree of nonces.
    AskGrant { root: Digest },
    /// An acceptor's grant.
    Grant(Grant),
    /// A change, on its way to the machine that makes batches at present.
    Forward { change: Change },
    /// What became of a change that was forwarded.
    Outcome { change: ChangeId, outcome: Result<Number, Rejection> },
    /// Asks a control machine to vouch for the revision that it acts on, over the root of a tree of nonces.
    AskRegionalGrant { root: Digest },
    /// A control machine's regional grant.
    RegionalGrant(RegionalGrant),
}

/// What a control machine knows of regions apart, for its operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApartStatus {
    /// How long a cut-off region goes on; 0 where it does not.
    pub apart_ms: u64,
    /// Whether this machine could vouch for what it acts on now.
    pub vouches: bool,
    /// Machines that an exclusive revision waits for at this acceptor, and for how long at most.
    pub waits_ms: Vec<(MachineId, u64)>,
    /// Regional leases that were handed to controllers since the start.
    pub regional_leases: u64,
}

/// What a control machine knows, for its operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    pub machine: MachineId,
    pub acceptor: bool,
    pub active: Number,
    pub certified: Number,
    pub root: Digest,
    /// The stated bound T on how long two controllers may act on contradicting revisions.
    pub bound_ms: u64,
    pub lease_ms: u64,
    pub watchers: u32,
    /// Watchers that have prepared the highest certified revision.
    pub prepared: u32,
    /// The first few watchers that have not.
    pub lagging: Vec<ControllerId>,
    /// Control machines that the agreement waits for.
    pub waited_for: Vec<MachineId>,
    /// The oldest revision from which a delta can be made.
    pub log_floor: Number,
    pub entries: u64,
    pub state_bytes: u64,
}

/// Why bytes on a stream are not taken. The connection they came on is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameFault {
    #[error("a frame of {0} bytes where {1} at most are allowed")]
    TooLong(usize, usize),
    #[error("not a frame of this protocol, or one of another version (bd1 is spoken here)")]
    Mark,
    #[error("a frame whose body can't be decoded")]
    Body,
    #[error("{0} bytes left over behind the message of a frame")]
    Trailing(usize),
}

/// Encodes a message as one frame.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    // The types hold nothing that the encoding can't express.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let length = (MARK.len() + body.len()) as u32;
    let mut frame = Vec::with_capacity(HEADER + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(MARK);
    frame.extend_from_slice(&body);
    frame
}

/// Decodes the first frame of a buffer, if it is whole: the message and how many bytes it took.
///
/// # Errors
/// Where the bytes can't be a frame of this protocol with a body of at most `longest` bytes.
pub fn decode<M: DeserializeOwned>(bytes: &[u8], longest: usize) -> Result<Option<(M, usize)>, FrameFault> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > longest + MARK.len() {
        return Err(FrameFault::TooLong(length, longest));
    }
    let seen = rest.len().min(MARK.len());
    if length < MARK.len() || rest[..seen] != MARK[..seen] {
        return Err(FrameFault::Mark);
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (message, left) = postcard::take_from_bytes(&frame[MARK.len()..]).map_err(|_| FrameFault::Body)?;
    if !left.is_empty() {
        return Err(FrameFault::Trailing(left.len()));
    }
    Ok(Some((message, 4 + length)))
}
