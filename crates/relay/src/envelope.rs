//! Signed envelopes between control machines: how they are signed, and which are accepted.
//!
//! Each direction between two machines has its own stream, opened by the sender. The accepting side first sends a challenge,
//! an unpredictable session number. Each later envelope is signed over a domain string, the sender, the receiver, the
//! sender's incarnation, the session, its sequence number and the payload. So an envelope that was recorded on one stream is
//! refused on any other, even if the receiver restarted and remembers nothing. Replays on the same stream are refused because
//! sequence numbers must rise.

use std::collections::BTreeMap;

use badgerledge_distribution::message::{FrameFault, PeerMessage, MAX_RELAY_BODY_BYTES};
use badgerledge_distribution::{MachineId, Signature, Signer};
use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

/// Domain separation: the prefix of the signed bytes.
const DOMAIN: &[u8] = b"badgerledge control envelope 1";
/// Upper bound on the encoded size of an envelope without its payload.
const MAX_OVERHEAD_BYTES: usize = 256;
/// Maximum size of a frame between control machines.
pub const MAX_FRAME_BYTES: usize = MAX_RELAY_BODY_BYTES + MAX_OVERHEAD_BYTES;

/// An unpredictable number, chosen at random by the accepting side of each stream.
pub type Session = [u8; 16];

/// A frame between control machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// The first frame of a stream, sent by the accepting side.
    Challenge { session: Session },
    /// Every later frame.
    Sealed(Envelope),
}

/// A signed payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: MachineId,
    pub to: MachineId,
    /// The incarnation number of the sender's process.
    pub incarnation: u32,
    pub session: Session,
    /// Rises with each envelope in one direction of a stream.
    pub sequence: u64,
    /// A [`Payload`], encoded with postcard.
    pub payload: Vec<u8>,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// The content of an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Requests a pong. The connecting side sends one immediately and then at regular intervals.
    Ping,
    /// Answers a ping, identified by its sender's incarnation and its sequence number.
    Pong { incarnation: u32, sequence: u64 },
    /// A message of the consensus and distribution protocol.
    Message(PeerMessage),
}

/// Why a frame from a peer is refused. The connection that it arrived on is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error(transparent)]
    Frame(#[from] FrameFault),
    #[error("envelope from {from} to {to}: wrong receiver, or not the sender identified on this stream")]
    Foreign { from: MachineId, to: MachineId },
    #[error("envelope from {0}: invalid signature")]
    Unsigned(MachineId),
    #[error("envelope from {from}: incarnation {found} is older than the known incarnation {known}")]
    StaleIncarnation { from: MachineId, found: u32, known: u32 },
    #[error("envelope from {0}: wrong session, or a sequence number that does not rise")]
    Replayed(MachineId),
    #[error("envelope from {0}: the payload cannot be decoded")]
    Payload(MachineId),
    #[error("unexpected kind of frame")]
    Unexpected,
}

impl Refusal {
    /// The reason's label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Frame(fault) => frame_fault_label(fault),
            Self::Foreign { .. } => "foreign",
            Self::Unsigned(_) => "unsigned",
            Self::StaleIncarnation { .. } => "stale_life",
            Self::Replayed(_) => "replayed",
            Self::Payload(_) => "payload",
            Self::Unexpected => "unexpected",
        }
    }
}

/// The label of a malformed frame in metrics.
pub fn frame_fault_label(fault: &FrameFault) -> &'static str {
    match fault {
        FrameFault::TooLong(..) => "too_long",
        FrameFault::Version => "version",
        FrameFault::Body => "body",
        FrameFault::Trailing(_) => "trailing",
    }
}

impl Envelope {
    /// The bytes that the signature covers.
    fn signed_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(DOMAIN.len() + 40 + self.payload.len());
        bytes.extend_from_slice(DOMAIN);
        bytes.extend_from_slice(&self.from.to_be_bytes());
        bytes.extend_from_slice(&self.to.to_be_bytes());
        bytes.extend_from_slice(&self.incarnation.to_be_bytes());
        bytes.extend_from_slice(&self.session);
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.payload);
        bytes
    }
}

/// The identity that envelopes are signed under: this machine and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    pub machine: MachineId,
    /// The incarnation number of this process.
    pub incarnation: u32,
}

/// Signs the envelopes sent on one stream.
#[derive(Clone, Debug)]
pub struct Sealer {
    identity: Identity,
    to: MachineId,
    session: Session,
    sequence: u64,
}

impl Sealer {
    /// For a stream to this machine with this session number.
    pub fn new(identity: Identity, to: MachineId, session: Session) -> Self {
        Self { identity, to, session, sequence: 0 }
    }

    /// Signs the next envelope. [`Sealer::sequence`] returns its sequence number.
    pub fn seal(&mut self, payload: &Payload, signer: &impl Signer) -> PeerFrame {
        self.sequence += 1;
        let mut envelope = Envelope {
            from: self.identity.machine,
            to: self.to,
            incarnation: self.identity.incarnation,
            session: self.session,
            sequence: self.sequence,
            // Encoding cannot fail: postcard can express every value of these types.
            payload: postcard::to_stdvec(payload).unwrap_or_default(),
            signature: [0; 64],
        };
        envelope.signature = signer.sign(&envelope.signed_bytes());
        PeerFrame::Sealed(envelope)
    }

    /// The sequence number of the last signed envelope.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }
}

/// The highest known incarnation of each machine.
#[derive(Clone, Debug, Default)]
pub struct Incarnations(BTreeMap<MachineId, u32>);

/// Verifies the envelopes received on one stream.
#[derive(Clone, Debug)]
pub struct Opener {
    local_id: MachineId,
    /// The machine at the other end: known from the start on an outgoing stream, on an incoming one after the first valid
    /// envelope.
    peer: Option<MachineId>,
    session: Session,
    /// The sequence number of the last accepted envelope.
    sequence: u64,
}

impl Opener {
    /// For a stream to or from `peer`, if it is known.
    pub fn new(local_id: MachineId, peer: Option<MachineId>, session: Session) -> Self {
        Self { local_id, peer, session, sequence: 0 }
    }

    /// The machine at the other end, if it is identified.
    pub fn peer(&self) -> Option<MachineId> {
        self.peer
    }

    /// The session number of this stream.
    pub fn session(&self) -> Session {
        self.session
    }

    /// Verifies an envelope and returns its payload. A refused envelope changes no state.
    ///
    /// # Errors
    /// The reason for the refusal.
    pub fn open(
        &mut self, envelope: &Envelope, signer: &impl Signer, incarnations: &mut Incarnations,
    ) -> Result<Payload, Refusal> {
        let Envelope { from, to, incarnation, session, sequence, .. } = *envelope;
        if to != self.local_id || from == self.local_id || self.peer.is_some_and(|peer| peer != from) {
            return Err(Refusal::Foreign { from, to });
        }
        if !signer.verify_member(from, &envelope.signed_bytes(), &envelope.signature) {
            return Err(Refusal::Unsigned(from));
        }
        let known = incarnations.0.get(&from).copied().unwrap_or(0);
        if incarnation < known {
            return Err(Refusal::StaleIncarnation { from, found: incarnation, known });
        }
        if session != self.session || sequence <= self.sequence {
            return Err(Refusal::Replayed(from));
        }
        let payload = match postcard::take_from_bytes(&envelope.payload) {
            Ok((payload, [])) => payload,
            _ => return Err(Refusal::Payload(from)),
        };
        incarnations.0.insert(from, incarnation);
        (self.peer, self.sequence) = (Some(from), sequence);
        Ok(payload)
    }
}
