//! What operators' programs and other members ask a controller on a stream: a line of JSON, and where it says so the
//! bytes of a text behind it; answered with a line, and where it says so with bytes.

use serde::{Deserialize, Serialize};

use crate::word::Gone;
use crate::{Member, Number, Signed, LONGEST_TEXT};

/// Bytes of a line at most.
pub const LONGEST_LINE: usize = 64 * 1024;
/// Bytes of a text in one answer: a reader that is slow or gone costs no more.
pub const PIECE: usize = 256 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Order {
    /// A piece of a text by its digest, from that byte on; the answer names the bytes that follow it.
    Text {
        text: String,
        from: usize,
    },
    /// The text that is acted on here.
    Active,
    /// The text of the highest revision that is known certified: what a next one is to be made from.
    Latest,
    /// A revision; the bytes of its text follow.
    Push {
        head: String,
        bytes: usize,
    },
    /// An author's word that a member is off for good, or back.
    Gone {
        gone: String,
    },
    Status,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// So many bytes follow.
    Bytes(usize),
    Taken,
    Refused(String),
    Status(Box<Report>),
}

/// What a controller tells its operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub member: Member,
    /// `wait` or `hold`.
    pub regime: String,
    pub active: Number,
    pub certified: Number,
    /// The digest of the certified head, which the next one must name, in hex.
    pub digest: String,
    pub prepared: Option<Number>,
    pub held: Option<String>,
    /// What it acts on came from its own file, its store, or its peers.
    pub source: String,
    pub bound_ms: u64,
    pub waited_for: Vec<Member>,
    pub gone: Vec<Member>,
    /// For a keeper: what it can do now.
    pub keeper: Option<String>,
    /// Members that it has heard of, and what each acts on.
    pub members: Vec<(Member, Number, bool)>,
}

/// A head or a word on a member, as a line holds it.
pub fn to_hex(value: &impl Serialize) -> String {
    hex::encode(postcard::to_stdvec(value).unwrap_or_default())
}

pub fn head_of(text: &str) -> Option<Signed> {
    let signed: Signed = postcard::from_bytes(&hex::decode(text).ok()?).ok()?;
    let head = &signed.head;
    (head.number > 0 && head.length as usize <= LONGEST_TEXT).then_some(signed)
}

pub fn gone_of(text: &str) -> Option<Gone> {
    postcard::from_bytes(&hex::decode(text).ok()?).ok()
}

/// A line at the front of what came: it, and the bytes that it takes with its end. Nothing while it is not whole.
///
/// # Errors
/// Where it is longer than a line may be, or no such order or answer.
pub fn line<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<Option<(T, usize)>, String> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        None if bytes.len() > LONGEST_LINE => Err(format!("a line of over {LONGEST_LINE} bytes")),
        None => Ok(None),
        Some(end) => {
            serde_json::from_slice(&bytes[..end]).map(|told| Some((told, end + 1))).map_err(|e| e.to_string())
        }
    }
}

pub fn write(told: &impl Serialize) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(told).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
