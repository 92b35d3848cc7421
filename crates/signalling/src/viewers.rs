//! Viewers' frames: a length, a kind, the session, parameters.

use std::time::Duration;

use byteorder::{BigEndian, ByteOrder};

use crate::{millis, Fault, MOST};

const SET_UP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const HEARD: u8 = 16;
const NOTE: u8 = 44;
const MOVED: u8 = 51;
const TEST: u8 = 52;
const TESTED: u8 = 53;

/// Parameters of a frame.
pub const ROOM_TYPE: u8 = 33;
pub const CLIENT_TIMEOUT: u8 = 36;
pub const TITLE: u8 = 45;
pub const FIGURES: u8 = 48;
pub const STAY_AWAY: u8 = 51;
pub const HINT: u8 = 63;
pub const CAUSE: u8 = 75;
pub const DESCRIPTION: u8 = 78;

/// Kind and session.
const HEAD: usize = 9;

/// What a viewer's frame says.
pub trait Heard {
    fn set_up(&mut self, session: u64, parameters: Parameters<'_>);
    /// A set-up whose parameters do not fit its frame.
    fn spoilt_set_up(&mut self, session: u64);
    /// The viewer gives its set-up up, or ends its subscription.
    fn ended(&mut self, session: u64);
    fn tested(&mut self, session: u64);
    /// A release was heard.
    fn release_heard(&mut self, session: u64);
}

/// The parameters of one frame, each as code, length and value.
#[derive(Clone, Copy, Debug)]
pub struct Parameters<'a>(&'a [u8]);

impl<'a> Parameters<'a> {
    /// These bytes, if they are whole parameters.
    fn whole(bytes: &'a [u8]) -> Option<Self> {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = split(rest)?.2;
        }
        Some(Self(bytes))
    }

    /// The first value of that code.
    pub fn value(self, code: u8) -> Option<&'a [u8]> {
        let mut rest = self.0;
        while let Some((found, value, more)) = split(rest) {
            if found == code {
                return Some(value);
            }
            rest = more;
        }
        None
    }

    pub fn text(self, code: u8) -> Option<&'a str> {
        std::str::from_utf8(self.value(code)?).ok()
    }
}

fn split(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let length = usize::from(BigEndian::read_u16(bytes.get(1..3)?));
    Some((bytes[0], bytes.get(3..3 + length)?, &bytes[3 + length..]))
}

/// Reads one frame and tells how many bytes it took: none while it is not whole.
///
/// # Errors
/// Where the length is one that no frame has: what follows cannot be told apart then.
pub fn hear(bytes: &[u8], heard: &mut impl Heard) -> Result<usize, Fault> {
    let Some(length) = bytes.get(..2).map(|b| usize::from(BigEndian::read_u16(b))) else { return Ok(0) };
    if !(HEAD..=MOST).contains(&length) {
        return Err(Fault::Length(length));
    }
    let Some(frame) = bytes.get(2..2 + length) else { return Ok(0) };
    let session = BigEndian::read_u64(&frame[1..HEAD]);
    match (frame[0], Parameters::whole(&frame[HEAD..])) {
        (SET_UP, Some(parameters)) => heard.set_up(session, parameters),
        (SET_UP, None) => heard.spoilt_set_up(session),
        (RELEASE, _) => heard.ended(session),
        (TEST, _) => heard.tested(session),
        (HEARD, _) => heard.release_heard(session),
        (PROGRESS | NOTE, _) => {}
        _ => return Err(Fault::Kind),
    }
    Ok(2 + length)
}

fn frame(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = HEAD + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
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

/// The session of a frame made here.
pub fn session(frame: &[u8]) -> u64 {
    frame.get(3..2 + HEAD).map_or(0, BigEndian::read_u64)
}

/// The answer with a streamer's description; nothing where it is too long for a frame.
pub fn answer(session: u64, description: &[u8]) -> Option<Vec<u8>> {
    (HEAD + 3 + description.len() <= MOST).then(|| frame(ANSWER, session, &[(DESCRIPTION, description)]))
}

/// A refusal or a release, and how long to stay away.
pub fn release(session: u64, cause: u8, stay_away: Duration) -> Vec<u8> {
    let away = millis(stay_away);
    let parameters: [(u8, &[u8]); 2] = [(CAUSE, &[cause]), (STAY_AWAY, away.as_bytes())];
    frame(RELEASE, session, &parameters[..if stay_away.is_zero() { 1 } else { 2 }])
}

pub fn moved(session: u64) -> Vec<u8> {
    frame(MOVED, session, &[])
}

pub fn tested(session: u64, passed: bool) -> Vec<u8> {
    frame(TESTED, session, &[(CAUSE, &[u8::from(passed)])])
}
