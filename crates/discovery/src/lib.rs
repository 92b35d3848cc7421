//! The list of streamers as a controller holds it: whole lists, changes, failures, and the copy that outlives the
//! process. Bytes and times in, calls and bytes out; the connection and the file are the program's.
//!
//! The list service speaks JSON, a line each (`docs/wire.md`). A list or a change is taken whole or not at all:
//! what is malformed, too long, or does not follow what is held leaves the list as it was.

mod backoff;
mod book;
#[cfg(test)]
mod tests;

pub use backoff::Backoff;
pub use book::{health_word, Entry, ListBook, ListFault, Sink, ENTRIES, LONGEST_LINE};
