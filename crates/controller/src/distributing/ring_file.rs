//! The ring file, with the public keys of control machines and authors; reloaded when it changes.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use anyhow::Result;
use badgerledge_keys::{Ring, Verifier};

/// A ring file that has been read.
pub struct RingFile {
    path: PathBuf,
    modified_at: Option<SystemTime>,
    acceptors: usize,
}

impl RingFile {
    /// Reads a ring file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid.
    pub fn read(path: &Path) -> Result<(Self, Verifier)> {
        // The time is read first: a change during the read is then noticed by the next check.
        let modified_at = modified_at(path);
        let ring = Ring::read(path)?;
        let acceptors = ring.acceptors().len();
        Ok((Self { path: path.to_owned(), modified_at, acceptors }, Verifier::new(ring)))
    }

    /// The number of acceptors that the ring names.
    pub fn acceptors(&self) -> usize {
        self.acceptors
    }

    /// Returns the keys if the file has changed. An invalid file changes nothing.
    pub fn reload_if_changed(&mut self) -> Option<Verifier> {
        if modified_at(&self.path) == self.modified_at {
            return None;
        }
        match Self::read(&self.path) {
            Ok((file, verifier)) => {
                tracing::info!("the ring of the control machines was reloaded");
                *self = file;
                Some(verifier)
            }
            Err(fault) => {
                self.modified_at = modified_at(&self.path);
                tracing::error!("{fault:#}; keeping the previous keys");
                None
            }
        }
    }
}

/// When a file was last modified; `None` if it cannot be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}
