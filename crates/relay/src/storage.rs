//! Durable state of a control machine, written to the disk before any message that depends on it is sent.
//!
//! | file | holds |
//! |---|---|
//! | `agreement` | state of the consensus protocol, replaced as a whole |
//! | `checkpoint` | the full state of a certified revision, replaced as a whole |
//! | `batches` | batches after the checkpoint, appended; rewritten without older ones at each checkpoint |
//! | `life` | the incarnation number of the process |
//!
//! A record consists of a magic number, the length of its body (4 bytes, big-endian), the SHA-256 digest of the body, and
//! the body, an encoded [`StoredItem`]. A torn or corrupted record is ignored; in `batches`, the records after it are ignored
//! too, and are truncated before the next append.
//!
//! A checkpoint can be tens of megabytes. If the batch that led to it is in `batches`, a background thread writes it: no
//! message depends on that write, because batches are dropped only once the checkpoint is on the disk. A checkpoint received
//! from another machine, without its batches, is written synchronously.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;

use badgerledge_distribution::control::{Checkpoint, Stored, StoredItem};
use badgerledge_distribution::{digest, Number};
use badgerledge_files as files;

const RECORD_MAGIC: &[u8; 4] = b"bcs1";
const DIGEST_BYTES: usize = 32;
const HEADER_BYTES: usize = RECORD_MAGIC.len() + 4 + DIGEST_BYTES;
/// Maximum number of items waiting to be written: each is a batch of some hundred kilobytes.
const MAX_WAITING_ITEMS: usize = 256;
const AGREEMENT_FILE: &str = "agreement";
const CHECKPOINT_FILE: &str = "checkpoint";
const BATCHES_FILE: &str = "batches";
const INCARNATION_FILE: &str = "life";

/// A checkpoint that a background thread is writing.
struct CheckpointWrite {
    number: Number,
    thread: JoinHandle<io::Result<()>>,
}

/// The state folder of a control machine.
pub struct Storage {
    folder: PathBuf,
    /// Bytes of valid records in the file of batches.
    batches_length: u64,
    /// The records in that file with their revision numbers, for rewriting the file.
    batches: Vec<(Number, Vec<u8>)>,
    /// Items that are not written yet, in order.
    waiting: Vec<StoredItem>,
    checkpoint_write: Option<CheckpointWrite>,
    /// The checkpoint to write when the current write has finished.
    next_checkpoint: Option<Box<Checkpoint>>,
}

impl Storage {
    /// Opens the folder, creating it if necessary, and reads the valid records in it.
    ///
    /// # Errors
    /// If the folder cannot be created or read.
    pub fn open(folder: &Path) -> io::Result<(Self, Stored)> {
        std::fs::create_dir_all(folder)?;
        let mut stored = Stored::default();
        for name in [AGREEMENT_FILE, CHECKPOINT_FILE] {
            read_item(&folder.join(name))?.into_iter().for_each(|item| stored.apply(item));
        }
        let bytes = read_or_empty(&folder.join(BATCHES_FILE))?;
        let (records, batches_length) = records(&bytes);
        let mut batches = Vec::new();
        for (item, record) in records {
            if let StoredItem::Batch { number, .. } = &item {
                batches.push((*number, record.to_vec()));
                stored.apply(item);
            }
        }
        let storage = Self {
            folder: folder.to_owned(),
            batches_length: batches_length as u64,
            batches,
            waiting: Vec::new(),
            checkpoint_write: None,
            next_checkpoint: None,
        };
        Ok((storage, stored))
    }

    /// Whether all state that messages may depend on is on the disk.
    pub fn is_clean(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether more items wait to be written than allowed.
    pub fn is_overdue(&self) -> bool {
        self.waiting.len() > MAX_WAITING_ITEMS
    }

    /// Stores an item durably, after those that could not be stored before. A checkpoint whose batch is stored is written in
    /// the background.
    ///
    /// # Errors
    /// If the item is not on the disk. It is retried with the next item or by [`Storage::retry`]; no message may be sent until
    /// that succeeds.
    pub fn store(&mut self, item: StoredItem) -> io::Result<()> {
        match item {
            StoredItem::Checkpoint(checkpoint) if self.has_batch(checkpoint.certificate.number()) => {
                self.next_checkpoint = Some(checkpoint);
                self.advance_checkpoint()
            }
            item => {
                self.drop_superseded(&item);
                self.waiting.push(item);
                self.write_waiting()
            }
        }
    }

    /// Retries the items that could not be stored, and finishes a completed checkpoint write. To be called about once a
    /// second.
    ///
    /// # Errors
    /// If an item is still not on the disk.
    pub fn retry(&mut self) -> io::Result<()> {
        self.write_waiting().and(self.advance_checkpoint())
    }

    /// Writes all waiting items and waits until the last checkpoint is on the disk.
    ///
    /// # Errors
    /// If an item or the checkpoint could not be written.
    pub fn finish(&mut self) -> io::Result<()> {
        self.write_waiting()?;
        while self.checkpoint_write.is_some() || self.next_checkpoint.is_some() {
            self.join_checkpoint_write()?;
            self.advance_checkpoint()?;
        }
        Ok(())
    }

    /// Writes the waiting items in order, until one fails.
    fn write_waiting(&mut self) -> io::Result<()> {
        while let Some(item) = self.waiting.first() {
            let record = encode_record(item);
            match item {
                StoredItem::Batch { number, .. } => {
                    let number = *number;
                    self.append(&record)?;
                    self.batches.push((number, record));
                }
                StoredItem::Checkpoint(checkpoint) => {
                    let number = checkpoint.certificate.number();
                    // Waits for the background write, which must not replace this checkpoint by an older one afterwards. Its
                    // result is irrelevant.
                    self.next_checkpoint = None;
                    let _ = self.join_checkpoint_write();
                    files::replace_durably(&self.folder.join(CHECKPOINT_FILE), &record)?;
                    self.drop_batches_up_to(number)?;
                }
                StoredItem::Agreement(_) => {
                    files::replace_durably(&self.folder.join(AGREEMENT_FILE), &record)?;
                }
            }
            self.waiting.remove(0);
        }
        Ok(())
    }

    /// If no write is in progress, collects the result of the last one and starts writing the next checkpoint.
    fn advance_checkpoint(&mut self) -> io::Result<()> {
        if self.checkpoint_write.as_ref().is_some_and(|write| !write.thread.is_finished()) {
            return Ok(());
        }
        let previous_result = self.join_checkpoint_write();
        if let Some(checkpoint) = self.next_checkpoint.take() {
            let number = checkpoint.certificate.number();
            let path = self.folder.join(CHECKPOINT_FILE);
            let write = move || {
                let item = StoredItem::Checkpoint(checkpoint);
                files::replace_durably(&path, &encode_record(&item))
            };
            let thread = std::thread::Builder::new().name("checkpoint".to_owned()).spawn(write)?;
            self.checkpoint_write = Some(CheckpointWrite { number, thread });
        }
        previous_result
    }

    /// Waits for the background write, if there is one, and then drops the batches that its checkpoint replaces.
    fn join_checkpoint_write(&mut self) -> io::Result<()> {
        let Some(CheckpointWrite { number, thread }) = self.checkpoint_write.take() else { return Ok(()) };
        let written = thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the thread that writes checkpoints panicked")));
        written.and_then(|()| self.drop_batches_up_to(number))
    }

    /// Whether the batch of this revision is stored.
    fn has_batch(&self, number: Number) -> bool {
        self.batches.iter().any(|(stored, _)| *stored == number)
    }

    /// Drops waiting items that a newer item of the same kind replaces as a whole.
    fn drop_superseded(&mut self, newer: &StoredItem) {
        match newer {
            StoredItem::Agreement(_) => self.waiting.retain(|item| !matches!(item, StoredItem::Agreement(_))),
            StoredItem::Checkpoint(_) => {
                self.waiting.retain(|item| !matches!(item, StoredItem::Checkpoint(_)))
            }
            StoredItem::Batch { .. } => {}
        }
    }

    /// Appends a record to the file of batches.
    fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let path = self.folder.join(BATCHES_FILE);
        let is_new = !path.exists();
        let mut file = File::options().create(true).truncate(false).write(true).open(&path)?;
        // Anything after the last valid record is left from an interrupted write.
        file.set_len(self.batches_length)?;
        file.seek(SeekFrom::End(0))?;
        file.write_all(record)?;
        file.sync_all()?;
        if is_new {
            File::open(&self.folder)?.sync_all()?;
        }
        self.batches_length += record.len() as u64;
        Ok(())
    }

    /// Rewrites the file of batches without those that a checkpoint covers.
    fn drop_batches_up_to(&mut self, checkpoint: Number) -> io::Result<()> {
        let remaining = self.batches.iter().filter(|(number, _)| *number > checkpoint);
        let bytes: Vec<u8> = remaining.flat_map(|(_, record)| record.iter().copied()).collect();
        files::replace_durably(&self.folder.join(BATCHES_FILE), &bytes)?;
        self.batches_length = bytes.len() as u64;
        self.batches.retain(|(number, _)| *number > checkpoint);
        Ok(())
    }
}

/// Chooses the incarnation number of this process and stores it, which must happen before any message is sent.
///
/// # Errors
/// If it cannot be stored.
pub fn begin_incarnation(folder: &Path) -> io::Result<u32> {
    let file = folder.join(INCARNATION_FILE);
    let incarnation = files::next_incarnation(Some(&file));
    files::replace_durably(&file, files::format_incarnation(incarnation).as_bytes())?;
    Ok(incarnation)
}

/// Creates the initial state of an acceptor, which has signed nothing.
///
/// # Errors
/// If a state already exists or cannot be written.
pub fn create_acceptor_state(folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(AGREEMENT_FILE);
    if path.exists() {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "the state already exists"));
    }
    let agreement = Stored::founding().agreement.unwrap_or_default();
    files::replace_durably(&path, &encode_record(&StoredItem::Agreement(agreement)))
}

/// Encodes an item as a record.
fn encode_record(item: &StoredItem) -> Vec<u8> {
    let body = item.encode();
    let mut record = Vec::with_capacity(HEADER_BYTES + body.len());
    record.extend_from_slice(RECORD_MAGIC);
    record.extend_from_slice(&(body.len() as u32).to_be_bytes());
    record.extend_from_slice(&digest(&body));
    record.extend_from_slice(&body);
    record
}

/// Decodes the first record of some bytes, and returns it with its length; nothing if it is incomplete or corrupted.
fn decode_record(bytes: &[u8]) -> Option<(StoredItem, usize)> {
    let rest = bytes.strip_prefix(RECORD_MAGIC)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (stored_digest, rest) = rest.split_at_checked(DIGEST_BYTES)?;
    let body = rest.get(..u32::from_be_bytes(*length) as usize)?;
    if digest(body)[..] != *stored_digest {
        return None;
    }
    Some((StoredItem::decode(body).ok()?, HEADER_BYTES + body.len()))
}

/// Decodes records up to the first invalid one, and returns them with their total length in bytes.
fn records(bytes: &[u8]) -> (Vec<(StoredItem, &[u8])>, usize) {
    let (mut items, mut used) = (Vec::new(), 0);
    while let Some((item, length)) = decode_record(&bytes[used..]) {
        items.push((item, &bytes[used..used + length]));
        used += length;
    }
    (items, used)
}

/// The content of a file; empty if the file does not exist.
fn read_or_empty(path: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}

/// The item in a file. An invalid one is logged and treated as missing.
fn read_item(path: &Path) -> io::Result<Option<StoredItem>> {
    let bytes = read_or_empty(path)?;
    let item = decode_record(&bytes).map(|(item, _)| item);
    if item.is_none() && !bytes.is_empty() {
        tracing::error!("{}: torn, corrupted or of another version; treated as missing", path.display());
    }
    Ok(item)
}
