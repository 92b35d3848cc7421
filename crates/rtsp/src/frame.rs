//! Cuts a connection's bytes into messages and interleaved frames (RFC 2326 sections 4 and 10.12).

use rtsp_types::{Message, ParseError, StatusCode};
use thiserror::Error;

use crate::{Request, Response};

/// What one connection may cost before its first byte is believed. Going over ends it with the status named.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of the first line: 414 when a request's is longer. URIs here are some 60 bytes long.
    pub first_line: usize,
    /// Bytes of all lines before the body: 400.
    pub head: usize,
    /// Header lines: 400. The longest message of the project has twelve.
    pub headers: usize,
    /// Bytes of the body, as its Content-Length says: 413. Descriptions are some 300 bytes long.
    pub body: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { first_line: 2048, head: 8192, headers: 64, body: 16 * 1024 }
    }
}

impl Bounds {
    /// The longest unit that can pass, in bytes: an input buffer must hold that much, a frame included.
    pub fn unit(&self) -> usize {
        (self.head + self.body).max(4 + usize::from(u16::MAX))
    }
}

/// One thing that came.
#[derive(Debug)]
pub enum Unit<'a> {
    Request(Request),
    Response(Response),
    /// An interleaved frame: its channel and what it carries, still in the input.
    Frame(u8, &'a [u8]),
    /// Empty lines between messages, to be passed over.
    Blank,
}

/// Input that cannot be understood, or goes over a bound. Where a request ends cannot be known any more, so
/// the connection ends after the answer.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{why} ({found} where at most {most} is taken)")]
pub struct Fault {
    pub status: StatusCode,
    pub why: &'static str,
    pub found: u64,
    pub most: u64,
}

/// The cutter of one connection's input. It keeps how far the end of a head was sought, so that a head that
/// comes a byte at a time is read once.
#[derive(Debug, Default)]
pub struct Framer {
    bounds: Bounds,
    sought: usize,
    first_line: Option<usize>,
    lines: usize,
    line_start: usize,
    /// The head's length, while its body is waited for.
    head: Option<usize>,
}

impl Framer {
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// The next unit and how many bytes it took, or nothing while it is not whole. The caller consumes those
    /// bytes and calls again.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<Option<(Unit<'a>, usize)>, Fault> {
        if self.sought == 0 {
            // Empty lines before a message are to be ignored (RFC 2326 section 4.1).
            let blank = input.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            if blank > 0 {
                return Ok(Some((Unit::Blank, blank)));
            }
            if input.first() == Some(&b'$') {
                return Ok(frame(input));
            }
        }
        let Some(head) = self.head(input)? else { return Ok(None) };
        let body = body_length(&input[..head], self.bounds.body)?;
        if input.len() < head + body {
            return Ok(None);
        }
        *self = Self::new(self.bounds);
        message(&input[..head + body]).map(Some)
    }

    /// The length of the head with its empty line, once it is whole.
    fn head(&mut self, input: &[u8]) -> Result<Option<usize>, Fault> {
        let most = self.bounds;
        if self.head.is_some() {
            return Ok(self.head);
        }
        while let Some(at) = input[self.sought..].iter().position(|byte| *byte == b'\n') {
            let end = self.sought + at;
            let empty = input[self.line_start..end].iter().all(|byte| *byte == b'\r');
            (self.sought, self.line_start) = (end + 1, end + 1);
            let first = *self.first_line.get_or_insert(end);
            check(StatusCode::RequestURITooLong, "a first line is too long", first, most.first_line)?;
            check(StatusCode::BadRequest, "a head is too long", end, most.head)?;
            if empty {
                self.head = Some(end + 1);
                return Ok(self.head);
            }
            self.lines += 1;
            check(StatusCode::BadRequest, "there are too many headers", self.lines - 1, most.headers)?;
        }
        self.sought = input.len();
        if self.first_line.is_none() {
            check(StatusCode::RequestURITooLong, "a first line is too long", input.len(), most.first_line)?;
        }
        check(StatusCode::BadRequest, "a head is too long", input.len(), most.head)?;
        Ok(None)
    }
}

fn check(status: StatusCode, why: &'static str, found: usize, most: usize) -> Result<(), Fault> {
    if found <= most {
        return Ok(());
    }
    Err(Fault { status, why, found: found as u64, most: most as u64 })
}

/// The four bytes before what a frame carries (RFC 2326 section 10.12); nothing is longer than they can say.
pub fn frame_header(channel: u8, length: u16) -> [u8; 4] {
    let [high, low] = length.to_be_bytes();
    [b'$', channel, high, low]
}

fn frame(input: &[u8]) -> Option<(Unit<'_>, usize)> {
    let (head, rest) = input.split_first_chunk::<4>()?;
    let length = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let carried = rest.get(..length)?;
    Some((Unit::Frame(head[1], carried), 4 + length))
}

/// What Content-Length says; a message without one has no body. Two that differ are no length at all.
fn body_length(head: &[u8], most: usize) -> Result<usize, Fault> {
    const NAME: &[u8] = b"content-length";
    let broken = Fault {
        status: StatusCode::BadRequest,
        why: "a Content-Length is no length",
        found: 0,
        most: most as u64,
    };
    let mut told: Option<u64> = None;
    for line in head.split(|byte| *byte == b'\n') {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { continue };
        if !line[..colon].trim_ascii().eq_ignore_ascii_case(NAME) {
            continue;
        }
        let digits = line[colon + 1..].trim_ascii();
        let length = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse().ok());
        match (length, told) {
            (Some(length), None) => told = Some(length),
            (Some(length), Some(before)) if length == before => {}
            _ => return Err(broken),
        }
    }
    let length = told.unwrap_or(0);
    if length > most as u64 {
        let why = "a body is too long";
        return Err(Fault {
            status: StatusCode::RequestMessageBodyTooLarge,
            why,
            found: length,
            most: most as u64,
        });
    }
    Ok(length as usize)
}

fn message<'a>(bytes: &[u8]) -> Result<(Unit<'a>, usize), Fault> {
    let fault = |why| Fault { status: StatusCode::BadRequest, why, found: bytes.len() as u64, most: 0 };
    match Message::<Vec<u8>>::parse(bytes) {
        Ok((Message::Request(request), used)) => Ok((Unit::Request(request), used)),
        Ok((Message::Response(response), used)) => Ok((Unit::Response(response), used)),
        Ok((Message::Data(_), _)) => Err(fault("a frame stands where a message was found")),
        Err(ParseError::Error) => Err(fault("a message is malformed")),
        Err(ParseError::Incomplete(_)) => Err(fault("a message has less than it says")),
    }
}
