//! Requests of operators' programs and of other members to a controller, over a stream connection. A request
//! is a line of JSON, for some followed by the bytes of a text; the response is a line, for some followed by
//! bytes.

use serde::{Deserialize, Serialize};

use crate::message::MemberRemoval;
use crate::{Member, Number, Signed, MAX_TEXT_BYTES};

/// Maximum length of a line in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of a text in one response. It bounds the memory that a slow or vanished reader can
/// occupy.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Request {
    /// Part of the text with this digest, beginning at byte `from`; the response says how many bytes follow
    /// it.
    Text {
        text: String,
        from: usize,
    },
    /// The text of the active revision.
    Active,
    /// The text of the latest certified revision, which the next one is based on.
    Latest,
    /// A new revision; the bytes of its text follow the line.
    Push {
        head: String,
        bytes: usize,
    },
    /// An author's statement that a member is permanently removed, or is back.
    Gone {
        gone: String,
    },
    Status,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// This number of bytes follows.
    Bytes(usize),
    Taken,
    Refused(String),
    Status(Box<Report>),
}

/// The state that a controller reports to its operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub member: Member,
    /// `wait` or `hold`.
    pub regime: String,
    pub active: Number,
    pub certified: Number,
    /// Digest of the certified head in hex, which the next head must name as its predecessor.
    pub digest: String,
    pub prepared: Option<Number>,
    pub held: Option<String>,
    /// Whether the active revision came from the member's own file, its store, or its peers.
    pub source: String,
    pub bound_ms: u64,
    pub waited_for: Vec<Member>,
    pub gone: Vec<Member>,
    /// What an acceptor can currently do.
    pub keeper: Option<String>,
    /// For each member that has reported its position: its number, its active revision, and whether it is on
    /// hold.
    pub members: Vec<(Member, Number, bool)>,
}

/// Encodes a head or a removal for a line.
pub fn to_hex(value: &impl Serialize) -> String {
    hex::encode(postcard::to_stdvec(value).unwrap_or_default())
}

/// Decodes a head; `None` unless its number and length are valid.
pub fn decode_head(text: &str) -> Option<Signed> {
    let signed: Signed = postcard::from_bytes(&hex::decode(text).ok()?).ok()?;
    let head = &signed.head;
    (head.number > 0 && head.length as usize <= MAX_TEXT_BYTES).then_some(signed)
}

/// Decodes a removal.
pub fn decode_removal(text: &str) -> Option<MemberRemoval> {
    postcard::from_bytes(&hex::decode(text).ok()?).ok()
}

/// Parses the line at the front of `bytes`. Returns it with its length including the line end, or `None`
/// while it is incomplete.
///
/// # Errors
/// If the line is too long, or is not a valid request or response.
pub fn parse_line<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<Option<(T, usize)>, String> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        None if bytes.len() > MAX_LINE_BYTES => Err(format!("a line of over {MAX_LINE_BYTES} bytes")),
        None => Ok(None),
        Some(end) => serde_json::from_slice(&bytes[..end])
            .map(|value| Some((value, end + 1)))
            .map_err(|error| error.to_string()),
    }
}

/// Encodes a request or response as a line.
pub fn encode_line(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
