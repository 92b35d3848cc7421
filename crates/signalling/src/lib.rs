//! The platform's messages, bytes in and fields out, and back: [`viewers`] send binary frames, [`streamers`]
//! speak JSON lines. A decoded field goes straight into a call; what cannot be read is a [`Fault`] that names
//! what is wrong. Sockets, clocks and decisions are elsewhere.

pub mod streamers;
#[cfg(test)]
mod tests;
pub mod viewers;

use std::time::Duration;

/// A message holds at most this many bytes, without its length or its line feed.
pub const MOST: usize = 16 * 1024;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("a frame of {0} bytes; 9 to {MOST} are allowed")]
    Length(usize),
    #[error("more than {MOST} bytes without a line feed")]
    Endless,
    #[error("a line that is no JSON object")]
    NotJson,
    #[error("{0} is missing or not of its kind")]
    Field(&'static str),
    #[error("unknown kind of message")]
    Kind,
}

/// Sixteen hex digits, as ids of sessions, titles and viewers are written.
pub fn hex64(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A span as messages carry it, in whole milliseconds.
fn millis(span: Duration) -> String {
    span.as_millis().to_string()
}
