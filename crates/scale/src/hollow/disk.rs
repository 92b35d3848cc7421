//! The disk that all processes of a run share: on a fleet each machine has its own, so a run in which this one stood still
//! says nothing of bounds.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const WRITE_EVERY: Duration = Duration::from_millis(500);
const BLOCK: [u8; 4096] = [0; 4096];

/// A thread that writes a block to the disk twice a second, and notes how long that took at most.
pub struct DiskWatch {
    longest_micros: Arc<AtomicU64>,
    end: Sender<()>,
    thread: JoinHandle<()>,
}

impl DiskWatch {
    pub fn start(file: PathBuf) -> Self {
        let longest_micros = Arc::new(AtomicU64::new(0));
        let seen = longest_micros.clone();
        let (end, ended) = channel::<()>();
        let thread = std::thread::spawn(move || {
            // It ends with the run: a word, or the sender's end.
            while ended.recv_timeout(WRITE_EVERY) == Err(std::sync::mpsc::RecvTimeoutError::Timeout) {
                let begun = Instant::now();
                let written = File::create(&file).and_then(|mut to| {
                    to.write_all(&BLOCK)?;
                    to.sync_all()
                });
                if written.is_ok() {
                    seen.fetch_max(begun.elapsed().as_micros() as u64, Ordering::Relaxed);
                }
            }
        });
        Self { longest_micros, end, thread }
    }

    /// What was seen until now was of the start.
    pub fn restart(&self) {
        self.longest_micros.store(0, Ordering::Relaxed);
    }

    /// The longest time that a write took.
    pub fn finish(self) -> Duration {
        // A thread that is gone needs no word.
        let _ = self.end.send(());
        let _ = self.thread.join();
        Duration::from_micros(self.longest_micros.load(Ordering::Relaxed))
    }
}
