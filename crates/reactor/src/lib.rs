//! The event loop of all programs: it waits for sockets, timers and signals, and moves bytes between sockets
//! and bounded buffers. It implements no protocol.
//!
//! A program calls [`Reactor::wait`] to receive events, reads bytes with [`Reactor::input`] and
//! [`Reactor::consume`], queues bytes with [`Reactor::send`], and writes them with [`Reactor::flush`], once
//! for all connections of a round. Times are durations since [`Reactor::new`], plus the offset given there.

mod buffer;
mod descriptors;
mod reactor;
#[cfg(test)]
mod tests;

pub use buffer::Buffer;
pub use descriptors::raise_descriptors;
pub use reactor::{Bounds, CloseReason, Costs, Reactor, ReactorEvent, SocketId};
