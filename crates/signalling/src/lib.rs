//! The platform's messages, decoded and encoded: [`viewers`] send binary frames, [`streamers`] send JSON
//! lines. A decoded message becomes one method call; a malformed one gives a [`Fault`] that names the error.
//! Sockets, clocks and decisions are elsewhere.

pub mod streamers;
#[cfg(test)]
mod tests;
pub mod viewers;

use std::time::Duration;

/// Maximum size of a message in bytes, without its length prefix or its line feed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("frame of {0} bytes; 9 to {MAX_MESSAGE_BYTES} bytes are allowed")]
    Length(usize),
    #[error("more than {MAX_MESSAGE_BYTES} bytes without a line feed")]
    Unterminated,
    #[error("line is not a JSON object")]
    NotJson,
    #[error("field {0} is missing or of the wrong type")]
    Field(&'static str),
    #[error("unknown kind of message")]
    UnknownKind,
}

/// Parses sixteen hexadecimal digits, the form of ids of sessions, titles and viewers.
pub fn hex64(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A duration in whole milliseconds, as messages carry it.
fn millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}
