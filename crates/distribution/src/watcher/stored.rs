//! What a watcher finds again after its process ended: one whole record, and small ones that were appended since.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | `bdw1`, the kind and its version |
//! | 4 | length of the header, big-endian |
//! | 32 | SHA-256 of the header |
//! | rest of it | header in `postcard`'s encoding: certificates, summaries, lengths of the states |
//! | as in the header | states, as [`State::write`] makes them: that of the active revision, that of the prepared one |
//! | any | appended records, each with its length (4), its SHA-256 (32) and its body in `postcard`'s encoding |
//!
//! The first record must be whole. Of the appended ones those before the first torn one count: what is lost with the
//! others is fetched again, and a lease is needed before an old revision is acted on.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::difference::difference;
use super::StoreRequest;
use crate::change::Summary;
use crate::state::{Edit, State, StateFault};
use crate::{digest, Certified, Number};

const MARK: &[u8; 4] = b"bdw1";
/// Bytes of a seal: the SHA-256 of what it covers.
const SEAL: usize = 32;
/// Appended bytes at least, and at most, before all is written anew.
const LEAST_APPENDED: usize = 64 * 1024;
const MOST_APPENDED: usize = 4 * 1024 * 1024;

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
    #[error("its first record's seal fits, and it can't be read")]
    Form,
    #[error("the state of revision {number}: {fault}")]
    State { number: Number, fault: StateFault },
    #[error("the state of revision {0} is not the one that was certified")]
    Root(Number),
}

#[derive(Serialize, Deserialize)]
struct Header {
    active: Option<RevisionHeader>,
    prepared: Option<RevisionHeader>,
    sure: bool,
}

#[derive(Serialize, Deserialize)]
struct RevisionHeader {
    certificate: Certified,
    summary: Summary,
    state_length: u64,
}

/// What is appended.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// A revision was prepared; its state comes of the one that was stored last.
    Prepared(Box<PreparedRecord>),
    /// The prepared revision is acted on.
    Activated { number: Number },
    /// A lease showed the program's own file to be what holds.
    Sure,
}

#[derive(Debug, Serialize, Deserialize)]
struct PreparedRecord {
    certificate: Certified,
    summary: Summary,
    edits: Vec<Edit>,
}

impl Stored {
    /// Reads all that was written and appended since. Records from the first torn one on are left out.
    ///
    /// # Errors
    /// Where it is of another kind, or its first record is torn.
    pub fn read(bytes: &[u8]) -> Result<Self, StoredFault> {
        let rest = bytes.strip_prefix(MARK).ok_or(StoredFault::Kind)?;
        let (header, rest) = take_sealed(rest).ok_or(StoredFault::Seal)?;
        let header: Header = postcard::from_bytes(header).map_err(|_| StoredFault::Form)?;
        let (active, rest) = read_revision(header.active, rest)?;
        let (prepared, mut rest) = read_revision(header.prepared, rest)?;
        let mut stored = Self { active, prepared, sure: header.sure };
        while let Some((body, behind)) = take_sealed(rest) {
            let Ok(record) = postcard::from_bytes(body) else { break };
            if !stored.take_record(record) {
                break;
            }
            rest = behind;
        }
        Ok(stored)
    }

    /// Encodes it as what [`StoreRequest::Replace`] carries.
    pub fn write(&self) -> Vec<u8> {
        let revisions = [&self.active, &self.prepared];
        let states = revisions.map(|revision| revision.as_ref().map(|revision| revision.state.write()));
        let header_of = |place: usize| {
            let (revision, state) = (revisions[place].as_ref()?, states[place].as_ref()?);
            let (certificate, summary) = (revision.certificate.clone(), revision.summary);
            Some(RevisionHeader { certificate, summary, state_length: state.len() as u64 })
        };
        let header = Header { active: header_of(0), prepared: header_of(1), sure: self.sure };
        let mut bytes = MARK.to_vec();
        push_sealed(&mut bytes, &postcard::to_stdvec(&header).unwrap_or_default());
        states.iter().flatten().for_each(|state| bytes.extend_from_slice(state));
        bytes
    }

    /// The state that a next one is stored as edits on.
    fn last_state(&self) -> Option<&State> {
        self.prepared.as_ref().or(self.active.as_ref()).map(|revision| &revision.state)
    }

    /// Takes an appended record. Tells whether it fits what is there.
    fn take_record(&mut self, record: Record) -> bool {
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
            Record::Sure => self.sure = true,
        }
        true
    }
}

fn read_revision(
    header: Option<RevisionHeader>, bytes: &[u8],
) -> Result<(Option<StoredRevision>, &[u8]), StoredFault> {
    let Some(RevisionHeader { certificate, summary, state_length }) = header else {
        return Ok((None, bytes));
    };
    let number = certificate.number();
    let length = usize::try_from(state_length).map_err(|_| StoredFault::Form)?;
    let (state, rest) = bytes.split_at_checked(length).ok_or(StoredFault::Form)?;
    let state = State::read(state).map_err(|fault| StoredFault::State { number, fault })?;
    if state.root() != summary.root {
        return Err(StoredFault::Root(number));
    }
    Ok((Some(StoredRevision { certificate, summary, state }), rest))
}

fn push_sealed(bytes: &mut Vec<u8>, body: &[u8]) {
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&digest(body));
    bytes.extend_from_slice(body);
}

/// The body of the first sealed record, and what is behind it.
fn take_sealed(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (seal, rest) = rest.split_first_chunk::<SEAL>()?;
    let (body, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    (digest(body) == *seal).then_some((body, rest))
}

/// Keeps what is stored, and decides whether a change of it is appended or all is written anew.
pub(super) struct Storage {
    stored: Stored,
    /// Bytes of the whole record of this process, and those that were appended to it; none before the first.
    written: Option<(usize, usize)>,
}

impl Storage {
    pub fn new(stored: Stored) -> Self {
        Self { stored, written: None }
    }

    pub fn prepared(&mut self, revision: StoredRevision) -> StoreRequest {
        let StoredRevision { certificate, summary, state } = &revision;
        let edits = self.stored.last_state().map(|last| difference(last, state));
        let (certificate, summary) = (certificate.clone(), *summary);
        let record =
            edits.map(|edits| Record::Prepared(Box::new(PreparedRecord { certificate, summary, edits })));
        self.stored.prepared = Some(revision);
        self.write(record)
    }

    /// The prepared revision is acted on.
    pub fn activated(&mut self, number: Number) -> StoreRequest {
        let record = Record::Activated { number };
        if let Some(prepared) = self.stored.prepared.take_if(|prepared| prepared.number() == number) {
            self.stored.active = Some(prepared);
        }
        self.write(Some(record))
    }

    pub fn sure(&mut self) -> StoreRequest {
        self.stored.sure = true;
        self.write(Some(Record::Sure))
    }

    /// Appends the record, or writes all where that is shorter, or nothing was written yet.
    fn write(&mut self, record: Option<Record>) -> StoreRequest {
        let body = record.map(|record| postcard::to_stdvec(&record).unwrap_or_default());
        if let (Some((whole, appended)), Some(body)) = (self.written.as_mut(), body) {
            let most = (*whole).clamp(LEAST_APPENDED, MOST_APPENDED);
            if *appended + body.len() <= most {
                let mut bytes = Vec::new();
                push_sealed(&mut bytes, &body);
                *appended += bytes.len();
                return StoreRequest::Append(bytes);
            }
        }
        let bytes = self.stored.write();
        self.written = Some((bytes.len(), 0));
        StoreRequest::Replace(bytes)
    }
}
