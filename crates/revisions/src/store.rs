//! The stored state of a member. A digest protects it, so that a truncated or corrupted file is detected.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::acceptor::AcceptorState;
use crate::learner::Certified;
use crate::{digest, Number};

const MAGIC: &[u8; 4] = b"blr2";
/// The first version, without the last two fields.
const MAGIC_V1: &[u8; 4] = b"blr1";

/// All state that survives the process, except texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// The active revision; 0 is the member's own file.
    pub active: Number,
    pub active_head: Option<crate::Signed>,
    /// The highest number that was reported to acceptors as prepared; others may have it active since then.
    pub reported_prepared: Number,
    /// The highest revision that it knows certified.
    pub latest: Option<Certified>,
    /// The acceptor's state.
    pub acceptor: Option<AcceptorState>,
    /// The latest statements on removed members.
    pub removals: Vec<crate::message::MemberRemoval>,
    /// The head that the acceptor accepted last, while it is not certified. The acceptor must name it to
    /// proposers, and other members may not know it.
    pub accepted_head: Option<crate::Signed>,
    /// Whether the member had no stored state, and no quorum of acceptors has confirmed yet that its own file
    /// is current.
    pub unconfirmed: bool,
}

/// The fields of the first version.
#[derive(Deserialize)]
struct StoredV1 {
    active: Number,
    active_head: Option<crate::Signed>,
    reported_prepared: Number,
    latest: Option<Certified>,
    acceptor: Option<AcceptorState>,
    removals: Vec<crate::message::MemberRemoval>,
}

impl From<StoredV1> for StoredState {
    fn from(old: StoredV1) -> Self {
        let StoredV1 { active, active_head, reported_prepared, latest, acceptor, removals } = old;
        Self {
            active,
            active_head,
            reported_prepared,
            latest,
            acceptor,
            removals,
            accepted_head: None,
            unconfirmed: false,
        }
    }
}

/// Why a stored state can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoredStateError {
    #[error("not a stored state, or one of a newer version")]
    UnknownFormat,
    #[error("truncated or corrupted: the digest does not match")]
    DigestMismatch,
    #[error("the digest matches, but the content can't be decoded")]
    Malformed,
}

impl StoredState {
    /// The encoded state with its magic number and digest.
    pub fn write(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        [&MAGIC[..], &digest(&body), &body].concat()
    }

    /// Decodes a stored state.
    ///
    /// # Errors
    /// If it is of another kind, truncated, or invalid; the caller then treats it as if nothing were stored.
    pub fn read(bytes: &[u8]) -> Result<Self, StoredStateError> {
        let (rest, is_v1) = match (bytes.strip_prefix(MAGIC), bytes.strip_prefix(MAGIC_V1)) {
            (Some(rest), _) => (rest, false),
            (None, Some(rest)) => (rest, true),
            (None, None) => return Err(StoredStateError::UnknownFormat),
        };
        let (digest_bytes, body) = rest.split_at_checked(32).ok_or(StoredStateError::DigestMismatch)?;
        if digest(body)[..] != *digest_bytes {
            return Err(StoredStateError::DigestMismatch);
        }
        if is_v1 {
            return postcard::from_bytes::<StoredV1>(body)
                .map(Self::from)
                .map_err(|_| StoredStateError::Malformed);
        }
        postcard::from_bytes(body).map_err(|_| StoredStateError::Malformed)
    }
}
