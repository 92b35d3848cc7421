//! What a watcher finds again after its process ended: one file that is replaced as a whole or appended to, on the disk
//! before anything is said that rests on it.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use badgerledge_distribution::state::MAX_STATE_BYTES;
use badgerledge_distribution::watcher::{StoreRequest, Stored};

use crate::files;

/// The file in the state folder.
const STORED: &str = "distribution-state";
/// Bytes of the file at most: two states, and as much of changes behind them.
const LONGEST: u64 = 4 * MAX_STATE_BYTES as u64;

/// The file of a watcher's state.
pub struct WatcherStore {
    path: PathBuf,
    /// Whether this process wrote the file and nothing failed since: else nothing belongs behind what is there.
    appendable: bool,
}

impl WatcherStore {
    pub fn new(state: &Path) -> Self {
        Self { path: state.join(STORED), appendable: false }
    }

    /// What an earlier process stored. What can't be read is as if it were not there, and said.
    pub fn read(&self) -> Option<Stored> {
        read(&self.path)
            .map_err(|why| tracing::error!("{}: {why}; taken as not there", self.path.display()))
            .ok()
            .flatten()
    }

    /// Carries a request out; it is on the disk when this returns.
    ///
    /// # Errors
    /// Where it could not be stored; what was stored before still counts.
    pub fn carry_out(&mut self, request: &StoreRequest) -> io::Result<()> {
        let appendable = std::mem::replace(&mut self.appendable, false);
        match request {
            StoreRequest::Replace(bytes) => files::replace_durably(&self.path, bytes)?,
            StoreRequest::Append(bytes) if appendable => append_durably(&self.path, bytes)?,
            StoreRequest::Append(_) => {
                return Err(io::Error::other("what it would be appended to could not be stored"))
            }
        }
        self.appendable = true;
        Ok(())
    }
}

fn append_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::options().append(true).open(path)?;
    file.write_all(bytes)?;
    file.sync_data()
}

/// What a file holds; nothing where there is none.
fn read(path: &Path) -> Result<Option<Stored>, String> {
    let length = match std::fs::metadata(path) {
        Ok(data) => data.len(),
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(fault) => return Err(fault.to_string()),
    };
    if length > LONGEST {
        return Err(format!("{length} bytes, where {LONGEST} at most are taken"));
    }
    let bytes = std::fs::read(path).map_err(|fault| fault.to_string())?;
    Stored::read(&bytes).map(Some).map_err(|fault| fault.to_string())
}
