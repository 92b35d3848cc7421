//! The event loop of every program: it waits for sockets, due times and signals, and moves bytes between
//! sockets and bounded buffers. It knows no protocol and decides nothing.
//!
//! A program calls [`Reactor::wait`] for what happened, takes bytes with [`Reactor::input`] and
//! [`Reactor::consume`], gives bytes with [`Reactor::send`], and lets them go with [`Reactor::flush`], once for
//! all lines of a round. Times are spans since [`Reactor::new`], plus the offset that was given there.

mod buffer;
mod descriptors;
mod reactor;
#[cfg(test)]
mod tests;

pub use buffer::Buffer;
pub use descriptors::raise_descriptors;
pub use reactor::{Bounds, Closing, Costs, Happening, Line, Reactor};
