//! What a watcher finds again after its process ended.

use thiserror::Error;

use crate::change::Summary;
use crate::state::State;
use crate::{Certified, Number};

/// A certified revision with its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRevision {
    pub certificate: Certified,
    pub summary: Summary,
    pub state: State,
}

impl StoredRevision {
    pub fn number(&self) -> Number {
        self.certificate.number()
    }
}

/// All that outlives the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The revision that is acted on; none is the program's own file.
    pub active: Option<StoredRevision>,
    /// The later one that it said to have.
    pub prepared: Option<StoredRevision>,
    /// Whether it ever had a lease that showed its file to be what holds.
    pub sure: bool,
}

/// Why stored bytes are not taken: it is as if nothing were stored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoredFault {
    #[error("it is not what a watcher stores, or a newer version of it")]
    Kind,
    #[error("its first record is torn or changed: its seal does not fit")]
    Seal,
    #[error("its first record's seal fits, and it can't be read: {0}")]
    Form(String),
}

#[allow(unused_variables)]
impl Stored {
    /// Reads all that was written and appended since. Records from the first torn one on are left out.
    ///
    /// # Errors
    /// Where it is of another kind, or its first record is torn.
    pub fn read(bytes: &[u8]) -> Result<Self, StoredFault> {
        todo!()
    }

    /// Encodes it as what [`super::StoreRequest::Replace`] carries.
    pub fn write(&self) -> Vec<u8> {
        todo!()
    }
}
