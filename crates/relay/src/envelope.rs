//! Signed envelopes between control machines.
//!
//! Each direction between two machines has a stream of its own: who has something to say connects. The side that was
//! connected to sends a challenge first, an unpredictable session number. Each envelope after that is signed over a domain
//! string, who sends it, whom it is for, the sender's life, the session, its sequence number and the payload. So what was
//! recorded on one stream is refused on any other, also after the receiver restarted and has no memory of it, and on its
//! own stream sequence numbers only rise.

use std::collections::BTreeMap;

use badgerledge_distribution::message::{FrameFault, PeerMessage, MAX_RELAY_BODY_BYTES};
use badgerledge_distribution::{MachineId, Signature, Signer};
use serde::{Deserialize, Serialize};
use serde_big_array::BigArray;
use thiserror::Error;

const DOMAIN: &[u8] = b"badgerledge control envelope 1";
/// Bytes of an envelope beside its payload, at most.
const BESIDE_PAYLOAD: usize = 256;
/// The longest frame between control machines.
pub const LONGEST_FRAME: usize = MAX_RELAY_BODY_BYTES + BESIDE_PAYLOAD;

/// Drawn anew by the accepting side of each stream; unpredictable.
pub type Session = [u8; 16];

/// A frame between control machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// The first frame of a stream, from the side that was connected to.
    Challenge { session: Session },
    /// Everything else.
    Sealed(Envelope),
}

/// A signed payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: MachineId,
    pub to: MachineId,
    /// The life of the sender's process.
    pub life: u32,
    pub session: Session,
    /// Rises with each envelope of a stream and direction.
    pub sequence: u64,
    /// A [`Payload`], encoded.
    pub payload: Vec<u8>,
    #[serde(with = "BigArray")]
    pub signature: Signature,
}

/// What an envelope holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Asks for a pong: the connecting side sends one at once and then regularly.
    Ping,
    /// Answers a ping, which it names by its sender's life and its sequence number.
    Pong { life: u32, sequence: u64 },
    /// A message of the protocol.
    Message(PeerMessage),
}

/// Why a frame of a peer is not taken. The connection that it came on is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error(transparent)]
    Frame(#[from] FrameFault),
    #[error("an envelope from {from} to {to}, which is not for here or not from where it came before")]
    Foreign { from: MachineId, to: MachineId },
    #[error("the signature of an envelope from {0} does not hold")]
    Unsigned(MachineId),
    #[error("an envelope from life {found} of {from}, of which a life {known} was heard")]
    StaleLife { from: MachineId, found: u32, known: u32 },
    #[error("an envelope of another stream, or one that came before, from {0}")]
    Replayed(MachineId),
    #[error("an envelope from {0} whose payload can't be decoded")]
    Payload(MachineId),
    #[error("a frame that has no place here")]
    Unexpected,
}

impl Refusal {
    /// A short name, for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Frame(fault) => frame_fault_label(fault),
            Self::Foreign { .. } => "foreign",
            Self::Unsigned(_) => "unsigned",
            Self::StaleLife { .. } => "stale_life",
            Self::Replayed(_) => "replayed",
            Self::Payload(_) => "payload",
            Self::Unexpected => "unexpected",
        }
    }
}

/// A short name of what is wrong with a frame, for metrics.
pub fn frame_fault_label(fault: &FrameFault) -> &'static str {
    match fault {
        FrameFault::TooLong(..) => "too_long",
        FrameFault::Version => "version",
        FrameFault::Body => "body",
        FrameFault::Trailing(_) => "trailing",
    }
}

impl Envelope {
    fn signed_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(DOMAIN.len() + 40 + self.payload.len());
        bytes.extend_from_slice(DOMAIN);
        bytes.extend_from_slice(&self.from.to_be_bytes());
        bytes.extend_from_slice(&self.to.to_be_bytes());
        bytes.extend_from_slice(&self.life.to_be_bytes());
        bytes.extend_from_slice(&self.session);
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.payload);
        bytes
    }
}

/// Who speaks: this machine in this life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    pub machine: MachineId,
    pub life: u32,
}

/// Signs what goes out on one stream.
#[derive(Clone, Debug)]
pub struct Sealer {
    identity: Identity,
    to: MachineId,
    session: Session,
    sequence: u64,
}

impl Sealer {
    pub fn new(identity: Identity, to: MachineId, session: Session) -> Self {
        Self { identity, to, session, sequence: 0 }
    }

    /// The next envelope. Its sequence number can be asked for with [`Sealer::sequence`].
    pub fn seal(&mut self, payload: &Payload, hand: &impl Signer) -> PeerFrame {
        self.sequence += 1;
        let mut envelope = Envelope {
            from: self.identity.machine,
            to: self.to,
            life: self.identity.life,
            session: self.session,
            sequence: self.sequence,
            // The types hold nothing that the encoding can't express.
            payload: postcard::to_stdvec(payload).unwrap_or_default(),
            signature: [0; 64],
        };
        envelope.signature = hand.sign(&envelope.signed_bytes());
        PeerFrame::Sealed(envelope)
    }

    /// The number of the last envelope.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }
}

/// The highest life that was heard of each machine.
#[derive(Clone, Debug, Default)]
pub struct Lives(BTreeMap<MachineId, u32>);

/// Checks what comes in on one stream.
#[derive(Clone, Debug)]
pub struct Opener {
    me: MachineId,
    /// Who is at the other end: known from the start on a stream that this side made, else from the first envelope on.
    peer: Option<MachineId>,
    session: Session,
    sequence: u64,
}

impl Opener {
    /// For a stream to or from `peer`, where that is known.
    pub fn new(me: MachineId, peer: Option<MachineId>, session: Session) -> Self {
        Self { me, peer, session, sequence: 0 }
    }

    /// Who is at the other end, once an envelope showed it.
    pub fn peer(&self) -> Option<MachineId> {
        self.peer
    }

    pub fn session(&self) -> Session {
        self.session
    }

    /// The payload of an envelope that holds. One that does not changes nothing.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn open(
        &mut self, envelope: &Envelope, hand: &impl Signer, lives: &mut Lives,
    ) -> Result<Payload, Refusal> {
        let Envelope { from, to, life, session, sequence, .. } = *envelope;
        if to != self.me || from == self.me || self.peer.is_some_and(|peer| peer != from) {
            return Err(Refusal::Foreign { from, to });
        }
        if !hand.verify_member(from, &envelope.signed_bytes(), &envelope.signature) {
            return Err(Refusal::Unsigned(from));
        }
        let known = lives.0.get(&from).copied().unwrap_or(0);
        if life < known {
            return Err(Refusal::StaleLife { from, found: life, known });
        }
        if session != self.session || sequence <= self.sequence {
            return Err(Refusal::Replayed(from));
        }
        let payload = match postcard::take_from_bytes(&envelope.payload) {
            Ok((payload, [])) => payload,
            _ => return Err(Refusal::Payload(from)),
        };
        lives.0.insert(from, life);
        (self.peer, self.sequence) = (Some(from), sequence);
        Ok(payload)
    }
}
