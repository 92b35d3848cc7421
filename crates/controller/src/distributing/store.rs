//! The durable state of a watcher: one file that is replaced as a whole or appended to, and written to the
//! disk before any message that depends on it is sent.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use badgerledge_distribution::state::MAX_STATE_BYTES;
use badgerledge_distribution::watcher::{StoreRequest, Stored};

use crate::files;

/// The file in the state folder.
const STATE_FILE: &str = "distribution-state";
/// Size limit of the file: two states, and as much again of changes behind them.
const MAX_FILE_BYTES: u64 = 4 * MAX_STATE_BYTES as u64;

/// The file of a watcher's state.
pub struct WatcherStore {
    path: PathBuf,
    /// Whether this process wrote the file and nothing has failed since. Otherwise nothing may be appended to
    /// its contents.
    appendable: bool,
}

impl WatcherStore {
    /// The store in a state folder.
    pub fn new(state: &Path) -> Self {
        Self { path: state.join(STATE_FILE), appendable: false }
    }

    /// Reads what an earlier process stored. An unreadable file is logged and treated as absent.
    pub fn read(&self) -> Option<Stored> {
        read(&self.path)
            .map_err(|why| tracing::error!("{}: {why}; treated as absent", self.path.display()))
            .ok()
            .flatten()
    }

    /// Carries out a request; its bytes are on the disk when this returns.
    ///
    /// # Errors
    /// If it could not be stored; what was stored before remains valid.
    pub fn execute(&mut self, request: &StoreRequest) -> io::Result<()> {
        let appendable = std::mem::replace(&mut self.appendable, false);
        match request {
            StoreRequest::Replace(bytes) => files::replace_durably(&self.path, bytes)?,
            StoreRequest::Append(bytes) if appendable => append_durably(&self.path, bytes)?,
            StoreRequest::Append(_) => {
                return Err(io::Error::other("the file that it would be appended to could not be stored"))
            }
        }
        self.appendable = true;
        Ok(())
    }
}

/// Appends to a file; the bytes are on the disk when this returns.
fn append_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::options().append(true).open(path)?;
    file.write_all(bytes)?;
    file.sync_data()
}

/// Reads a file; `None` if there is none.
fn read(path: &Path) -> Result<Option<Stored>, String> {
    let length = match std::fs::metadata(path) {
        Ok(data) => data.len(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.to_string()),
    };
    if length > MAX_FILE_BYTES {
        return Err(format!("{length} bytes, over the limit of {MAX_FILE_BYTES}"));
    }
    let bytes = std::fs::read(path).map_err(|error| error.to_string())?;
    Stored::read(&bytes).map(Some).map_err(|error| error.to_string())
}
