//! What a member stores: sealed by a digest, so that a torn or flipped one is nothing rather than wrong.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::keeper::Kept;
use crate::learned::Certified;
use crate::{digest, Number};

const MARK: &[u8; 4] = b"blr2";
/// Without the head that a keeper accepted.
const MARK_1: &[u8; 4] = b"blr1";

/// All that outlives the process, texts apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The revision that it acts on; 0 is its own file.
    pub active: Number,
    pub active_head: Option<crate::Signed>,
    /// The highest number that it said to keepers to have: from then on others may act on it.
    pub told: Number,
    /// The highest that it knows certified.
    pub top: Option<Certified>,
    /// A keeper's part.
    pub keeper: Option<Kept>,
    /// The latest words on members that are off for good.
    pub gone: Vec<crate::word::Gone>,
    /// The head that a keeper accepted last, while it is not certified: it must name it, and others may not know it.
    pub accepted_head: Option<crate::Signed>,
    /// It had nothing stored before, and no quorum of keepers has told it yet that its file is still what holds.
    pub unsure: bool,
}

/// What the first version of it had.
#[derive(Deserialize)]
struct Stored1 {
    active: Number,
    active_head: Option<crate::Signed>,
    told: Number,
    top: Option<Certified>,
    keeper: Option<Kept>,
    gone: Vec<crate::word::Gone>,
}

impl From<Stored1> for Stored {
    fn from(old: Stored1) -> Self {
        let Stored1 { active, active_head, told, top, keeper, gone } = old;
        Self { active, active_head, told, top, keeper, gone, accepted_head: None, unsure: false }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoredFault {
    #[error("it is not what this program stores, or a newer version of it")]
    Kind,
    #[error("it is torn or changed: its seal does not fit")]
    Seal,
    #[error("its seal fits, and it can't be read")]
    Form,
}

impl Stored {
    pub fn write(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        [&MARK[..], &digest(&body), &body].concat()
    }

    /// # Errors
    /// Where it is of another kind, torn, or not in order: it is as if nothing were stored.
    pub fn read(bytes: &[u8]) -> Result<Self, StoredFault> {
        let (rest, first) = match (bytes.strip_prefix(MARK), bytes.strip_prefix(MARK_1)) {
            (Some(rest), _) => (rest, false),
            (None, Some(rest)) => (rest, true),
            (None, None) => return Err(StoredFault::Kind),
        };
        let (seal, body) = rest.split_at_checked(32).ok_or(StoredFault::Seal)?;
        if digest(body)[..] != *seal {
            return Err(StoredFault::Seal);
        }
        if first {
            return postcard::from_bytes::<Stored1>(body).map(Self::from).map_err(|_| StoredFault::Form);
        }
        postcard::from_bytes(body).map_err(|_| StoredFault::Form)
    }
}
