//! What must be on the disk before anything is said that rests on it.
//!
//! | file | holds |
//! |---|---|
//! | `agreement` | the agreement's own state, replaced whole |
//! | `checkpoint` | the whole state of a certified revision, replaced whole |
//! | `batches` | batches after the checkpoint, appended; written anew without older ones at each checkpoint |
//! | `life` | the number of the process's life |
//!
//! Each record is a mark, the length of its body (4 bytes, big-endian), SHA-256 of the body, and the body: a
//! [`StoredItem`], encoded. A record that is torn or changed is none; in `batches` what follows it is not
//! found either, and cut off before anything is appended.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use badgerledge_distribution::control::{Stored, StoredItem};
use badgerledge_distribution::Number;
use badgerledge_files as files;
use sha2::{Digest as _, Sha256};

const MARK: &[u8; 4] = b"bcs1";
const SEAL: usize = 32;
const HEADER: usize = MARK.len() + 4 + SEAL;
const AGREEMENT: &str = "agreement";
const CHECKPOINT: &str = "checkpoint";
const BATCHES: &str = "batches";
const LIFE: &str = "life";

/// The folder of a control machine's state.
pub struct Storage {
    folder: PathBuf,
    /// Bytes of whole records in the file of batches.
    batches_length: u64,
    /// What is on the disk of the batches, for the next checkpoint: the number and place of each record.
    batches: Vec<(Number, Vec<u8>)>,
    /// Items that could not be written yet, in their order.
    waiting: Vec<StoredItem>,
}

impl Storage {
    /// Opens the folder, which is made where it is not there, and reads what is whole in it.
    ///
    /// # Errors
    /// Where the folder can't be made or read.
    pub fn open(folder: &Path) -> io::Result<(Self, Stored)> {
        std::fs::create_dir_all(folder)?;
        let agreement = read_first(&folder.join(AGREEMENT))?.and_then(|item| match item {
            StoredItem::Agreement(bytes) => Some(bytes),
            _ => None,
        });
        let checkpoint = read_first(&folder.join(CHECKPOINT))?;
        let checkpoint = checkpoint.and_then(|item| match item {
            StoredItem::Checkpoint(checkpoint) => Some(*checkpoint),
            _ => None,
        });
        let bytes = read_or_empty(&folder.join(BATCHES))?;
        let (records, batches_length) = records(&bytes);
        let mut batches = Vec::new();
        let mut found = Vec::new();
        for (item, record) in records {
            if let StoredItem::Batch { number, .. } = &item {
                batches.push((*number, record.to_vec()));
                found.push(item);
            }
        }
        let storage = Self {
            folder: folder.to_owned(),
            batches_length: batches_length as u64,
            batches,
            waiting: Vec::new(),
        };
        Ok((storage, Stored { agreement, checkpoint, batches: found }))
    }

    /// Whether all that was to be stored is on the disk.
    pub fn is_clean(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Stores an item durably, after those that could not be stored before.
    ///
    /// # Errors
    /// Where it is not on the disk: it is tried again with the next one, or by [`Storage::retry`]. Until then nothing may be
    /// said.
    pub fn store(&mut self, item: StoredItem) -> io::Result<()> {
        self.forget_replaced(&item);
        self.waiting.push(item);
        self.retry()
    }

    /// Stores what could not be stored before.
    ///
    /// # Errors
    /// Where something is still not on the disk.
    pub fn retry(&mut self) -> io::Result<()> {
        while let Some(item) = self.waiting.first() {
            let record = sealed(item);
            match item {
                StoredItem::Agreement(_) => files::replace_durably(&self.folder.join(AGREEMENT), &record)?,
                StoredItem::Checkpoint(checkpoint) => {
                    let number = checkpoint.certificate.number();
                    files::replace_durably(&self.folder.join(CHECKPOINT), &record)?;
                    self.drop_batches_up_to(number)?;
                }
                StoredItem::Batch { number, .. } => {
                    let number = *number;
                    self.append(&record)?;
                    self.batches.push((number, record));
                }
            }
            self.waiting.remove(0);
        }
        Ok(())
    }

    /// Of what is replaced whole only the last need be written.
    fn forget_replaced(&mut self, by: &StoredItem) {
        match by {
            StoredItem::Agreement(_) => self.waiting.retain(|item| !matches!(item, StoredItem::Agreement(_))),
            StoredItem::Checkpoint(_) => {
                self.waiting.retain(|item| !matches!(item, StoredItem::Checkpoint(_)));
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
    let agreement =
        badgerledge_revisions::Stored { keeper: Some(Default::default()), ..Default::default() }.write();
    files::replace_durably(&path, &sealed(&StoredItem::Agreement(agreement)))
}

fn sealed(item: &StoredItem) -> Vec<u8> {
    let body = item.encode();
    let mut record = Vec::with_capacity(HEADER + body.len());
    record.extend_from_slice(MARK);
    record.extend_from_slice(&(body.len() as u32).to_be_bytes());
    record.extend_from_slice(&Sha256::digest(&body));
    record.extend_from_slice(&body);
    record
}

/// The first record of some bytes, and how long it is; nothing where it is not whole.
fn unsealed(bytes: &[u8]) -> Option<(StoredItem, usize)> {
    let rest = bytes.strip_prefix(MARK)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (seal, rest) = rest.split_at_checked(SEAL)?;
    let body = rest.get(..u32::from_be_bytes(*length) as usize)?;
    if Sha256::digest(body)[..] != *seal {
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

fn read_first(path: &Path) -> io::Result<Option<StoredItem>> {
    let bytes = read_or_empty(path)?;
    let found = unsealed(&bytes).map(|(item, _)| item);
    if found.is_none() && !bytes.is_empty() {
        tracing::error!("{}: torn, changed or of another version; taken as not there", path.display());
    }
    Ok(found)
}
