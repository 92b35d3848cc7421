//! Splits the bytes of a connection into messages and interleaved frames (RFC 2326 sections 4 and 10.12).

use rtsp_types::{Message, ParseError, StatusCode};
use thiserror::Error;

use crate::{Request, Response};

/// Limits on the input of a connection, which is untrusted. Input beyond a limit ends the connection with the
/// status given at the limit.
#[derive(Clone, Copy, Debug)]
pub struct FrameLimits {
    /// Maximum length of the first line in bytes, status 414. URIs of this project have some 60 bytes.
    pub first_line: usize,
    /// Maximum length of all lines before the body in bytes, status 400.
    pub head: usize,
    /// Maximum number of header lines, status 400. Messages of this project have at most twelve.
    pub headers: usize,
    /// Maximum Content-Length in bytes, status 413. Descriptions have some 300 bytes.
    pub body: usize,
}

impl Default for FrameLimits {
    fn default() -> Self {
        Self { first_line: 2048, head: 8192, headers: 64, body: 16 * 1024 }
    }
}

impl FrameLimits {
    /// Length in bytes of the longest message or interleaved frame: an input buffer must hold that much.
    pub fn unit(&self) -> usize {
        (self.head + self.body).max(4 + usize::from(u16::MAX))
    }
}

/// One element of the input.
#[derive(Debug)]
pub enum Unit<'a> {
    Request(Request),
    Response(Response),
    /// An interleaved frame: its channel, and its payload as a slice of the input.
    Frame(u8, &'a [u8]),
    /// Empty lines between messages, to be ignored.
    Blank,
}

/// Input that is malformed or exceeds a limit. The end of the request is unknown then, so the connection is
/// closed after the response.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{reason} (found {found}, limit {limit})")]
pub struct Fault {
    /// Status of the response.
    pub status: StatusCode,
    /// What is wrong.
    pub reason: &'static str,
    /// Length in bytes, or number of headers, that was found.
    pub found: u64,
    /// The limit on it; 0 for malformed messages.
    pub limit: u64,
}

/// Splits the input of one connection. It remembers how far the input was searched for the end of a head, so
/// that a head that arrives byte by byte is searched only once.
#[derive(Debug, Default)]
pub struct Framer {
    limits: FrameLimits,
    /// Number of bytes that were searched for the end of the head.
    searched: usize,
    /// Length of the first line, once it is complete.
    first_line: Option<usize>,
    /// Number of complete lines so far.
    lines: usize,
    /// Offset of the current line.
    line_start: usize,
    /// Length of the head, while the body is incomplete.
    head: Option<usize>,
}

impl Framer {
    /// A framer with these limits.
    pub fn new(limits: FrameLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the next unit and its length in bytes, or `None` while it is incomplete. The caller removes
    /// those bytes from the input and calls again.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<Option<(Unit<'a>, usize)>, Fault> {
        if self.searched == 0 {
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
        let body = body_length(&input[..head], self.limits.body)?;
        if input.len() < head + body {
            return Ok(None);
        }
        *self = Self::new(self.limits);
        message(&input[..head + body]).map(Some)
    }

    /// The length of the head including its empty line, or `None` while it is incomplete.
    fn head(&mut self, input: &[u8]) -> Result<Option<usize>, Fault> {
        let limits = self.limits;
        if self.head.is_some() {
            return Ok(self.head);
        }
        while let Some(offset) = input[self.searched..].iter().position(|byte| *byte == b'\n') {
            let line_end = self.searched + offset;
            let empty = input[self.line_start..line_end].iter().all(|byte| *byte == b'\r');
            (self.searched, self.line_start) = (line_end + 1, line_end + 1);
            let first_line = *self.first_line.get_or_insert(line_end);
            check_limit(
                StatusCode::RequestURITooLong,
                "the first line is too long",
                first_line,
                limits.first_line,
            )?;
            check_limit(StatusCode::BadRequest, "the head is too long", line_end, limits.head)?;
            if empty {
                self.head = Some(line_end + 1);
                return Ok(self.head);
            }
            self.lines += 1;
            check_limit(StatusCode::BadRequest, "too many headers", self.lines - 1, limits.headers)?;
        }
        self.searched = input.len();
        if self.first_line.is_none() {
            check_limit(
                StatusCode::RequestURITooLong,
                "the first line is too long",
                input.len(),
                limits.first_line,
            )?;
        }
        check_limit(StatusCode::BadRequest, "the head is too long", input.len(), limits.head)?;
        Ok(None)
    }
}

fn check_limit(status: StatusCode, reason: &'static str, found: usize, max: usize) -> Result<(), Fault> {
    if found <= max {
        return Ok(());
    }
    Err(Fault { status, reason, found: found as u64, limit: max as u64 })
}

/// The header of an interleaved frame (RFC 2326 section 10.12): a dollar sign, the channel, and the payload's
/// length.
pub fn frame_header(channel: u8, length: u16) -> [u8; 4] {
    let [high, low] = length.to_be_bytes();
    [b'$', channel, high, low]
}

/// The interleaved frame at the start of the input with its total length, once it is complete.
fn frame(input: &[u8]) -> Option<(Unit<'_>, usize)> {
    let (header, rest) = input.split_first_chunk::<4>()?;
    let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
    let payload = rest.get(..length)?;
    Some((Unit::Frame(header[1], payload), 4 + length))
}

/// The Content-Length of a message; 0 if there is none. Two different values are an error.
fn body_length(head: &[u8], max: usize) -> Result<usize, Fault> {
    const NAME: &[u8] = b"content-length";
    let invalid = Fault {
        status: StatusCode::BadRequest,
        reason: "the Content-Length is invalid",
        found: 0,
        limit: max as u64,
    };
    let mut content_length: Option<u64> = None;
    for line in head.split(|byte| *byte == b'\n') {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { continue };
        if !line[..colon].trim_ascii().eq_ignore_ascii_case(NAME) {
            continue;
        }
        let digits = line[colon + 1..].trim_ascii();
        let length = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse().ok());
        match (length, content_length) {
            (Some(length), None) => content_length = Some(length),
            (Some(length), Some(earlier)) if length == earlier => {}
            _ => return Err(invalid),
        }
    }
    let length = content_length.unwrap_or(0);
    if length > max as u64 {
        let reason = "the body is too long";
        return Err(Fault {
            status: StatusCode::RequestMessageBodyTooLarge,
            reason,
            found: length,
            limit: max as u64,
        });
    }
    Ok(length as usize)
}

/// Parses a complete message, and returns it with its length in bytes.
fn message<'a>(bytes: &[u8]) -> Result<(Unit<'a>, usize), Fault> {
    let fault =
        |reason| Fault { status: StatusCode::BadRequest, reason, found: bytes.len() as u64, limit: 0 };
    match Message::<Vec<u8>>::parse(bytes) {
        Ok((Message::Request(request), used)) => Ok((Unit::Request(request), used)),
        Ok((Message::Response(response), used)) => Ok((Unit::Response(response), used)),
        Ok((Message::Data(_), _)) => Err(fault("found an interleaved frame in place of a message")),
        Err(ParseError::Error) => Err(fault("the message is malformed")),
        Err(ParseError::Incomplete(_)) => Err(fault("the message is shorter than its headers say")),
    }
}
