//! The list of streamers as a controller stores it: complete lists, changes, failures, and the copy on disk
//! that outlives the process. It does no I/O: the caller has the connection and the file.
//!
//! The list service sends JSON, one object a line (`docs/wire.md`). A list or a change is applied as a whole
//! or not at all: one that is malformed, too long, or does not follow the present revision leaves the list as
//! it was.

mod backoff;
mod streamer_list;
#[cfg(test)]
mod tests;

pub use backoff::Backoff;
pub use streamer_list::{health_name, Entry, ListFault, Sink, StreamerList, MAX_ENTRIES, MAX_LINE_BYTES};
