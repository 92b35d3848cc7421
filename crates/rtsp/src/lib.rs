//! RTSP 1.0 (RFC 2326) with interleaved RTP and RTCP, as both ends of a connection need it, without I/O.
//!
//! [`Framer`] cuts the bytes of a connection into messages and interleaved frames within stated bounds;
//! [`Server`] says what a request may do in the state that a connection is in, with the status where it may
//! not; [`Client`] numbers requests and matches answers. The messages themselves are those of `rtsp-types`;
//! [`words`] holds the project's own headers, [`notes`] what a streamer tells in band, and [`describe`] the
//! description of a title.

mod client;
pub mod describe;
mod frame;
pub mod notes;
mod server;
pub mod words;

#[cfg(test)]
mod tests;

pub use client::Client;
pub use frame::{frame_header, Bounds, Fault, Framer, Unit};
pub use server::{interleaved, Server, State};

/// A request or an answer as it comes and goes here.
pub type Request = rtsp_types::Request<Vec<u8>>;
pub type Response = rtsp_types::Response<Vec<u8>>;
