//! RTSP 1.0 (RFC 2326) with interleaved RTP and RTCP, for clients and servers, without I/O.
//!
//! [`Framer`] splits the bytes of a connection into messages and interleaved frames, within limits;
//! [`Server`] decides whether a request is permitted in the state of the connection, and with which status it is
//! rejected otherwise; [`Client`] numbers requests and matches responses. Messages are those of `rtsp-types`;
//! [`extension_headers`] has the project's own headers, [`progress_reports`] the reports that streamers send in
//! band, and [`describe`] the description of a title.

mod client;
pub mod describe;
pub mod extension_headers;
mod frame;
pub mod progress_reports;
mod server;

#[cfg(test)]
mod tests;

pub use client::Client;
pub use frame::{frame_header, Fault, FrameLimits, Framer, Unit};
pub use server::{interleaved, Server, State};

/// A request with its body.
pub type Request = rtsp_types::Request<Vec<u8>>;
/// A response with its body.
pub type Response = rtsp_types::Response<Vec<u8>>;
