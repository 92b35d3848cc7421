//! What must be on the disk before anything is said that rests on it.
//!
//! | file | holds |
//! |---|---|
//! | `agreement` | the agreement's own state, replaced whole |
//! | `checkpoint` | the whole state of a certified revision, replaced whole |
//! | `batches` | batches after the checkpoint, appended; written anew without older ones at each checkpoint |
//! | `life` | the number of the process's life |
//!
//! Each record is a mark, the length of its body (4 bytes, big-endian), SHA-256 of the body, and the body: an encoded
//! [`StoredItem`]. A record that is torn or changed is none; in `batches` what follows it is not found either, and cut off
//! before anything is appended.
//!
//! A checkpoint may be tens of megabytes. Where the batch that led to it is in `batches`, it is written by a thread beside
//! the loop: nothing that is said rests on it, since batches are dropped only once it is on the disk. One that came from
//! another machine, without its batches, is written at once.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;

use badgerledge_distribution::control::{Checkpoint, Stored, StoredItem};
use badgerledge_distribution::{digest, Number};
use badgerledge_files as files;

const MARK: &[u8; 4] = b"bcs1";
const SEAL: usize = 32;
const HEADER: usize = MARK.len() + 4 + SEAL;
/// Items that wait to be written at most: each is a batch of some hundred kilobytes.
const MOST_WAITING: usize = 256;
const AGREEMENT: &str = "agreement";
const CHECKPOINT: &str = "checkpoint";
const BATCHES: &str = "batches";
const LIFE: &str = "life";

/// A checkpoint that a thread writes.
struct Writing {
    number: Number,
    thread: JoinHandle<io::Result<()>>,
}

/// The folder of a control machine's state.
pub struct Storage {
    folder: PathBuf,
    /// Bytes of whole records in the file of batches.
    batches_length: u64,
    /// The records there, with their revisions' numbers, for when it is written anew.
    batches: Vec<(Number, Vec<u8>)>,
    /// Items that could not be written yet, in their order.
    waiting: Vec<StoredItem>,
    writing: Option<Writing>,
    /// A checkpoint that is to be written next.
    next_checkpoint: Option<Box<Checkpoint>>,
}

impl Storage {
    /// Opens the folder, which is made where it is not there, and reads what is whole in it.
    ///
    /// # Errors
    /// Where the folder can't be made or read.
    pub fn open(folder: &Path) -> io::Result<(Self, Stored)> {
        std::fs::create_dir_all(folder)?;
        let mut stored = Stored::default();
        for name in [AGREEMENT, CHECKPOINT] {
            read_item(&folder.join(name))?.into_iter().for_each(|item| stored.apply(item));
        }
        let bytes = read_or_empty(&folder.join(BATCHES))?;
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
            writing: None,
            next_checkpoint: None,
        };
        Ok((storage, stored))
    }

    /// Whether all that what is said may rest on is on the disk.
    pub fn is_clean(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether more waits to be written than may.
    pub fn is_overdue(&self) -> bool {
        self.waiting.len() > MOST_WAITING
    }

    /// Stores an item durably, after those that could not be stored before. A checkpoint is begun to be written.
    ///
    /// # Errors
    /// Where it is not on the disk: it is tried again with the next one, or by [`Storage::tend`]. Until then nothing may be
    /// said.
    pub fn store(&mut self, item: StoredItem) -> io::Result<()> {
        match item {
            StoredItem::Checkpoint(checkpoint) if self.has_batch(checkpoint.certificate.number()) => {
                self.next_checkpoint = Some(checkpoint);
                self.tend_checkpoint()
            }
            item => {
                self.forget_replaced(&item);
                self.waiting.push(item);
                self.write_waiting()
            }
        }
    }

    /// Stores what could not be stored before, and ends what a thread has written. To be called about once a second.
    ///
    /// # Errors
    /// Where something is still not on the disk.
    pub fn tend(&mut self) -> io::Result<()> {
        self.write_waiting().and(self.tend_checkpoint())
    }

    /// Waits until a checkpoint that is being written is on the disk.
    ///
    /// # Errors
    /// Where it could not be written.
    pub fn finish(&mut self) -> io::Result<()> {
        self.write_waiting()?;
        while self.writing.is_some() || self.next_checkpoint.is_some() {
            self.end_writing()?;
            self.tend_checkpoint()?;
        }
        Ok(())
    }

    fn write_waiting(&mut self) -> io::Result<()> {
        while let Some(item) = self.waiting.first() {
            let record = sealed(item);
            match item {
                StoredItem::Batch { number, .. } => {
                    let number = *number;
                    self.append(&record)?;
                    self.batches.push((number, record));
                }
                StoredItem::Checkpoint(checkpoint) => {
                    let number = checkpoint.certificate.number();
                    // A thread must not put an older one in its place later. What became of that one does not matter.
                    self.next_checkpoint = None;
                    let _ = self.end_writing();
                    files::replace_durably(&self.folder.join(CHECKPOINT), &record)?;
                    self.drop_batches_up_to(number)?;
                }
                StoredItem::Agreement(_) => {
                    files::replace_durably(&self.folder.join(AGREEMENT), &record)?;
                }
            }
            self.waiting.remove(0);
        }
        Ok(())
    }

    fn tend_checkpoint(&mut self) -> io::Result<()> {
        if self.writing.as_ref().is_some_and(|writing| !writing.thread.is_finished()) {
            return Ok(());
        }
        let ended = self.end_writing();
        if let Some(checkpoint) = self.next_checkpoint.take() {
            let number = checkpoint.certificate.number();
            let path = self.folder.join(CHECKPOINT);
            let write = move || {
                let item = StoredItem::Checkpoint(checkpoint);
                files::replace_durably(&path, &sealed(&item))
            };
            let thread = std::thread::Builder::new().name("checkpoint".to_owned()).spawn(write)?;
            self.writing = Some(Writing { number, thread });
        }
        ended
    }

    fn end_writing(&mut self) -> io::Result<()> {
        let Some(Writing { number, thread }) = self.writing.take() else { return Ok(()) };
        let written =
            thread.join().unwrap_or_else(|_| Err(io::Error::other("the thread that wrote it ended")));
        written.and_then(|()| self.drop_batches_up_to(number))
    }

    fn has_batch(&self, number: Number) -> bool {
        self.batches.iter().any(|(stored, _)| *stored == number)
    }

    /// Of what is replaced whole only the last need be written.
    fn forget_replaced(&mut self, by: &StoredItem) {
        match by {
            StoredItem::Agreement(_) => self.waiting.retain(|item| !matches!(item, StoredItem::Agreement(_))),
            StoredItem::Checkpoint(_) => {
                self.waiting.retain(|item| !matches!(item, StoredItem::Checkpoint(_)))
            }
            StoredItem::Batch { .. } => {}
        }
    }

    fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let path = self.folder.join(BATCHES);
        let is_new = !path.exists();
        let mut file = File::options().create(true).truncate(false).write(true).open(&path)?;
        // What is behind the last whole record is of a write that was cut off.
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

    fn drop_batches_up_to(&mut self, checkpoint: Number) -> io::Result<()> {
        let kept = self.batches.iter().filter(|(number, _)| *number > checkpoint);
        let bytes: Vec<u8> = kept.flat_map(|(_, record)| record.iter().copied()).collect();
        files::replace_durably(&self.folder.join(BATCHES), &bytes)?;
        self.batches_length = bytes.len() as u64;
        self.batches.retain(|(number, _)| *number > checkpoint);
        Ok(())
    }
}

/// The number of this life, stored before anything is said in it.
///
/// # Errors
/// Where it can't be stored.
pub fn begin_life(folder: &Path) -> io::Result<u32> {
    let file = folder.join(LIFE);
    let life = files::next_life(Some(&file));
    files::replace_durably(&file, files::written_life(life).as_bytes())?;
    Ok(life)
}

/// Stores the first state of an acceptor that has signed nothing.
///
/// # Errors
/// Where there is a state already, or it can't be written.
pub fn found(folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(AGREEMENT);
    if path.exists() {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "there is a state already"));
    }
    let agreement = Stored::founding().agreement.unwrap_or_default();
    files::replace_durably(&path, &sealed(&StoredItem::Agreement(agreement)))
}

fn sealed(item: &StoredItem) -> Vec<u8> {
    let body = item.encode();
    let mut record = Vec::with_capacity(HEADER + body.len());
    record.extend_from_slice(MARK);
    record.extend_from_slice(&(body.len() as u32).to_be_bytes());
    record.extend_from_slice(&digest(&body));
    record.extend_from_slice(&body);
    record
}

/// The first record of some bytes, and how long it is; nothing where it is not whole.
fn unsealed(bytes: &[u8]) -> Option<(StoredItem, usize)> {
    let rest = bytes.strip_prefix(MARK)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (seal, rest) = rest.split_at_checked(SEAL)?;
    let body = rest.get(..u32::from_be_bytes(*length) as usize)?;
    if digest(body)[..] != *seal {
        return None;
    }
    Some((StoredItem::decode(body).ok()?, HEADER + body.len()))
}

/// All whole records from the beginning, and how many bytes they take.
fn records(bytes: &[u8]) -> (Vec<(StoredItem, &[u8])>, usize) {
    let (mut found, mut used) = (Vec::new(), 0);
    while let Some((item, length)) = unsealed(&bytes[used..]) {
        found.push((item, &bytes[used..used + length]));
        used += length;
    }
    (found, used)
}

fn read_or_empty(path: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}

/// The item of a file; one that is not whole is as if it were not there, and said.
fn read_item(path: &Path) -> io::Result<Option<StoredItem>> {
    let bytes = read_or_empty(path)?;
    let found = unsealed(&bytes).map(|(item, _)| item);
    if found.is_none() && !bytes.is_empty() {
        tracing::error!("{}: torn, changed or of another version; taken as not there", path.display());
    }
    Ok(found)
}
