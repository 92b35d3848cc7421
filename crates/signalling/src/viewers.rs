//! Viewers' binary frames: a length, a kind, the session, and parameters.

use std::time::Duration;

use byteorder::{BigEndian, ByteOrder};

use crate::{millis, Fault, MAX_MESSAGE_BYTES};

/// Kinds of frames.
const SET_UP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const RELEASE_ACKNOWLEDGED: u8 = 16;
const PROGRESS_NOTE: u8 = 44;
const MOVED: u8 = 51;
const TEST: u8 = 52;
const TESTED: u8 = 53;

/// Codes of the parameters of a frame.
pub const ROOM_TYPE: u8 = 33;
pub const CLIENT_TIMEOUT: u8 = 36;
pub const TITLE: u8 = 45;
pub const FIGURES: u8 = 48;
pub const RETRY_AFTER: u8 = 51;
pub const HINT: u8 = 63;
pub const CAUSE: u8 = 75;
pub const DESCRIPTION: u8 = 78;

/// Bytes of a frame's kind and session.
const HEADER_BYTES: usize = 9;

/// Receives the decoded frames of a viewer.
pub trait MessageHandler {
    /// A viewer asks for a subscription.
    fn set_up(&mut self, session: u64, parameters: Parameters<'_>);
    /// A set-up whose parameters exceed its frame.
    fn malformed_set_up(&mut self, session: u64);
    /// The viewer withdraws its set-up or ends its subscription.
    fn ended(&mut self, session: u64);
    /// A test of the connection, to be answered with [`tested`].
    fn tested(&mut self, session: u64);
    /// The viewer acknowledges a release.
    fn release_acknowledged(&mut self, session: u64);
}

/// The parameters of one frame, each as code, length and value.
#[derive(Clone, Copy, Debug)]
pub struct Parameters<'a>(&'a [u8]);

impl<'a> Parameters<'a> {
    /// Takes these bytes if they are complete parameters.
    fn parse(bytes: &'a [u8]) -> Option<Self> {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = split_first(rest)?.2;
        }
        Some(Self(bytes))
    }

    /// The first value with that code.
    pub fn value(self, code: u8) -> Option<&'a [u8]> {
        let mut rest = self.0;
        while let Some((found_code, value, rest_after)) = split_first(rest) {
            if found_code == code {
                return Some(value);
            }
            rest = rest_after;
        }
        None
    }

    /// The first value with that code, as text.
    pub fn text(self, code: u8) -> Option<&'a str> {
        std::str::from_utf8(self.value(code)?).ok()
    }
}

/// Splits the first parameter off: its code, its value and the remaining bytes.
fn split_first(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let length = usize::from(BigEndian::read_u16(bytes.get(1..3)?));
    Some((bytes[0], bytes.get(3..3 + length)?, &bytes[3 + length..]))
}

/// Decodes one frame and returns how many bytes it used; 0 while it is incomplete.
///
/// # Errors
/// If the length is not allowed: the next frame cannot be found then.
pub fn decode(bytes: &[u8], handler: &mut impl MessageHandler) -> Result<usize, Fault> {
    let Some(length) = bytes.get(..2).map(|b| usize::from(BigEndian::read_u16(b))) else { return Ok(0) };
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(Fault::Length(length));
    }
    let Some(frame) = bytes.get(2..2 + length) else { return Ok(0) };
    let session = BigEndian::read_u64(&frame[1..HEADER_BYTES]);
    match (frame[0], Parameters::parse(&frame[HEADER_BYTES..])) {
        (SET_UP, Some(parameters)) => handler.set_up(session, parameters),
        (SET_UP, None) => handler.malformed_set_up(session),
        (RELEASE, _) => handler.ended(session),
        (TEST, _) => handler.tested(session),
        (RELEASE_ACKNOWLEDGED, _) => handler.release_acknowledged(session),
        (PROGRESS | PROGRESS_NOTE, _) => {}
        _ => return Err(Fault::UnknownKind),
    }
    Ok(2 + length)
}

/// Encodes a frame.
fn frame(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = HEADER_BYTES + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
    let mut out = Vec::with_capacity(2 + length);
    out.extend((length as u16).to_be_bytes());
    out.push(kind);
    out.extend(session.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend((value.len() as u16).to_be_bytes());
        out.extend_from_slice(value);
    }
    out
}

/// The session of an encoded frame.
pub fn session(frame: &[u8]) -> u64 {
    frame.get(3..2 + HEADER_BYTES).map_or(0, BigEndian::read_u64)
}

/// The answer to a set-up with a streamer's description; `None` if it is too long for a frame.
pub fn answer(session: u64, description: &[u8]) -> Option<Vec<u8>> {
    (HEADER_BYTES + 3 + description.len() <= MAX_MESSAGE_BYTES)
        .then(|| frame(ANSWER, session, &[(DESCRIPTION, description)]))
}

/// Refuses or ends a subscription, with the time after which the viewer may come back.
pub fn release(session: u64, cause: u8, stay_away: Duration) -> Vec<u8> {
    let retry_after_ms = millis(stay_away);
    let parameters: [(u8, &[u8]); 2] = [(CAUSE, &[cause]), (RETRY_AFTER, retry_after_ms.as_bytes())];
    frame(RELEASE, session, &parameters[..if stay_away.is_zero() { 1 } else { 2 }])
}

/// Tells a viewer that its subscription is being moved.
pub fn moved(session: u64) -> Vec<u8> {
    frame(MOVED, session, &[])
}

/// The answer to a test.
pub fn tested(session: u64, passed: bool) -> Vec<u8> {
    frame(TESTED, session, &[(CAUSE, &[u8::from(passed)])])
}
