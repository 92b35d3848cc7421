//! The file of the control machines' and authors' public keys, read anew where it changes.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use anyhow::Result;
use badgerledge_keys::{Ring, Verifier};

/// A ring's file.
pub struct RingFile {
    path: PathBuf,
    modified: Option<SystemTime>,
    acceptors: usize,
}

impl RingFile {
    /// # Errors
    /// Where the file can't be read, or is not in order.
    pub fn read(path: &Path) -> Result<(Self, Verifier)> {
        // Its time first: what is written while it is read is seen at the next look.
        let modified = modified(path);
        let ring = Ring::read(path)?;
        let acceptors = ring.acceptors().len();
        Ok((Self { path: path.to_owned(), modified, acceptors }, Verifier::new(ring)))
    }

    /// How many acceptors it names.
    pub fn acceptors(&self) -> usize {
        self.acceptors
    }

    /// The keys, where the file has changed. One that is not in order changes nothing.
    pub fn look(&mut self) -> Option<Verifier> {
        if modified(&self.path) == self.modified {
            return None;
        }
        match Self::read(&self.path) {
            Ok((file, verifier)) => {
                tracing::info!("the ring of the control machines was read anew");
                *self = file;
                Some(verifier)
            }
            Err(fault) => {
                self.modified = modified(&self.path);
                tracing::error!("{fault:#}; the keys read before go on holding");
                None
            }
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}
