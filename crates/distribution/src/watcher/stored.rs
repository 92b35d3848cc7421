//! The state of a watcher that survives a restart: one complete record, and small records that were appended
//! to it.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | `bdw1`, the format and its version |
//! | 4 | length of the header, big-endian |
//! | 32 | SHA-256 of the header |
//! | as in the length | header in `postcard`'s encoding: certificates, summaries, lengths of the states |
//! | as in the header | the states of the active and of the prepared revision, as [`State::write`] encodes them |
//! | any | appended records, each with its length (4), its SHA-256 (32) and its body in `postcard`'s encoding |
//!
//! The first record must be intact. Appended records are read up to the first torn one: what is lost after it
//! is fetched again, and an old revision is not acted on without a lease.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::difference::difference;
use super::StoreRequest;
use crate::change::Summary;
use crate::state::{Edit, State, StateFault};
use crate::{digest, Certified, Number};

const MAGIC: &[u8; 4] = b"bdw1";
/// The length of a checksum, the SHA-256 of what it covers.
const CHECKSUM_BYTES: usize = 32;
/// The complete record is rewritten when the appended bytes exceed its own length, within these bounds.
const MIN_APPENDED_BYTES: usize = 64 * 1024;
const MAX_APPENDED_BYTES: usize = 4 * 1024 * 1024;

/// A certified revision with its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRevision {
    pub certificate: Certified,
    pub summary: Summary,
    pub state: State,
}

impl StoredRevision {
    /// The number of the revision.
    pub fn number(&self) -> Number {
        self.certificate.number()
    }
}

/// The state of a watcher that survives a restart of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The active revision; `None` is the program's own file.
    pub active: Option<StoredRevision>,
    /// The later revision that was reported as prepared.
    pub prepared: Option<StoredRevision>,
    /// Whether a lease ever confirmed that the program's own file is current.
    pub confirmed: bool,
}

/// Why stored bytes cannot be read. The watcher then starts as if nothing were stored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoredFault {
    #[error("not the stored state of a watcher, or of an unknown version")]
    UnknownFormat,
    #[error("the first record is torn or corrupt: its checksum does not match")]
    ChecksumMismatch,
    #[error("the first record matches its checksum but cannot be decoded")]
    Malformed,
    #[error("the state of revision {number}: {fault}")]
    State { number: Number, fault: StateFault },
    #[error("the state of revision {0} does not have the certified root")]
    Root(Number),
}

/// The header of the complete record.
#[derive(Serialize, Deserialize)]
struct Header {
    active: Option<RevisionHeader>,
    prepared: Option<RevisionHeader>,
    confirmed: bool,
}

/// The header of one stored revision.
#[derive(Serialize, Deserialize)]
struct RevisionHeader {
    certificate: Certified,
    summary: Summary,
    state_length: u64,
}

/// An appended record.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// A revision was prepared; the edits apply to the last stored state.
    Prepared(Box<PreparedRecord>),
    /// The prepared revision was activated.
    Activated { number: Number },
    /// A lease confirmed that the program's own file is current.
    Confirmed,
}

/// A prepared revision, as edits of the last stored state.
#[derive(Debug, Serialize, Deserialize)]
struct PreparedRecord {
    certificate: Certified,
    summary: Summary,
    edits: Vec<Edit>,
}

impl Stored {
    /// Decodes the complete record and the appended ones, up to the first torn record.
    ///
    /// # Errors
    /// If the bytes are of another format, or the first record is torn.
    pub fn read(bytes: &[u8]) -> Result<Self, StoredFault> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(StoredFault::UnknownFormat)?;
        let (header, rest) = split_record(rest).ok_or(StoredFault::ChecksumMismatch)?;
        let header: Header = postcard::from_bytes(header).map_err(|_| StoredFault::Malformed)?;
        let (active, rest) = read_revision(header.active, rest)?;
        let (prepared, mut rest) = read_revision(header.prepared, rest)?;
        let mut stored = Self { active, prepared, confirmed: header.confirmed };
        while let Some((body, following)) = split_record(rest) {
            let Ok(record) = postcard::from_bytes(body) else { break };
            if !stored.apply_record(record) {
                break;
            }
            rest = following;
        }
        Ok(stored)
    }

    /// Encodes the state as a complete record, for [`StoreRequest::Replace`].
    pub fn write(&self) -> Vec<u8> {
        let revisions = [&self.active, &self.prepared];
        let states = revisions.map(|revision| revision.as_ref().map(|revision| revision.state.write()));
        let header_of = |index: usize| {
            let (revision, state) = (revisions[index].as_ref()?, states[index].as_ref()?);
            let (certificate, summary) = (revision.certificate.clone(), revision.summary);
            Some(RevisionHeader { certificate, summary, state_length: state.len() as u64 })
        };
        let header = Header { active: header_of(0), prepared: header_of(1), confirmed: self.confirmed };
        let mut bytes = MAGIC.to_vec();
        push_record(&mut bytes, &postcard::to_stdvec(&header).unwrap_or_default());
        states.iter().flatten().for_each(|state| bytes.extend_from_slice(state));
        bytes
    }

    /// The state to which the edits of the next record apply.
    fn last_state(&self) -> Option<&State> {
        self.prepared.as_ref().or(self.active.as_ref()).map(|revision| &revision.state)
    }

    /// Applies an appended record. Returns whether it matches the records before it.
    fn apply_record(&mut self, record: Record) -> bool {
        match record {
            Record::Prepared(prepared) => {
                let PreparedRecord { certificate, summary, edits } = *prepared;
                let Some(mut state) = self.last_state().cloned() else { return false };
                if state.apply(&edits).is_err() || state.root() != summary.root {
                    return false;
                }
                self.prepared = Some(StoredRevision { certificate, summary, state });
            }
            Record::Activated { number } => {
                let Some(prepared) = self.prepared.take_if(|prepared| prepared.number() == number) else {
                    return false;
                };
                self.active = Some(prepared);
            }
            Record::Confirmed => self.confirmed = true,
        }
        true
    }
}

/// Decodes the state of a revision, and returns it with the bytes after it.
fn read_revision(
    header: Option<RevisionHeader>, bytes: &[u8],
) -> Result<(Option<StoredRevision>, &[u8]), StoredFault> {
    let Some(RevisionHeader { certificate, summary, state_length }) = header else {
        return Ok((None, bytes));
    };
    let number = certificate.number();
    let length = usize::try_from(state_length).map_err(|_| StoredFault::Malformed)?;
    let (state, rest) = bytes.split_at_checked(length).ok_or(StoredFault::Malformed)?;
    let state = State::read(state).map_err(|fault| StoredFault::State { number, fault })?;
    if state.root() != summary.root {
        return Err(StoredFault::Root(number));
    }
    Ok((Some(StoredRevision { certificate, summary, state }), rest))
}

/// Appends a record: its length, its checksum and its body.
fn push_record(bytes: &mut Vec<u8>, body: &[u8]) {
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&digest(body));
    bytes.extend_from_slice(body);
}

/// Splits the first record with a valid checksum off the bytes. Returns its body and the bytes after it.
fn split_record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<CHECKSUM_BYTES>()?;
    let (body, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    (digest(body) == *checksum).then_some((body, rest))
}

/// Tracks what is stored, and decides whether a change is appended or the complete record is rewritten.
pub(super) struct Storage {
    stored: Stored,
    /// The lengths of the complete record that this process wrote and of the records appended to it; `None`
    /// before the first write.
    written: Option<(usize, usize)>,
}

impl Storage {
    pub fn new(stored: Stored) -> Self {
        Self { stored, written: None }
    }

    /// Stores a prepared revision.
    pub fn prepared(&mut self, revision: StoredRevision) -> StoreRequest {
        let StoredRevision { certificate, summary, state } = &revision;
        let edits = self.stored.last_state().map(|last| difference(last, state));
        let (certificate, summary) = (certificate.clone(), *summary);
        let record =
            edits.map(|edits| Record::Prepared(Box::new(PreparedRecord { certificate, summary, edits })));
        self.stored.prepared = Some(revision);
        self.write(record)
    }

    /// Stores that the prepared revision was activated.
    pub fn activated(&mut self, number: Number) -> StoreRequest {
        let record = Record::Activated { number };
        if let Some(prepared) = self.stored.prepared.take_if(|prepared| prepared.number() == number) {
            self.stored.active = Some(prepared);
        }
        self.write(Some(record))
    }

    /// Stores that a lease confirmed the program's own file.
    pub fn confirmed(&mut self) -> StoreRequest {
        self.stored.confirmed = true;
        self.write(Some(Record::Confirmed))
    }

    /// Appends the record, or rewrites the complete record if too much was appended or nothing was written
    /// yet.
    fn write(&mut self, record: Option<Record>) -> StoreRequest {
        let body = record.map(|record| postcard::to_stdvec(&record).unwrap_or_default());
        if let (Some((complete, appended)), Some(body)) = (self.written.as_mut(), body) {
            let max_appended = (*complete).clamp(MIN_APPENDED_BYTES, MAX_APPENDED_BYTES);
            if *appended + body.len() <= max_appended {
                let mut bytes = Vec::new();
                push_record(&mut bytes, &body);
                *appended += bytes.len();
                return StoreRequest::Append(bytes);
            }
        }
        let bytes = self.stored.write();
        self.written = Some((bytes.len(), 0));
        StoreRequest::Replace(bytes)
    }
}
