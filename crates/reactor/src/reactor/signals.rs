//! Signals of the process, told as events of the loop.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use super::events::Happening;
use super::sockets::Source;
use super::Reactor;

/// Bytes read from a signal's pipe at once: one is written for each time that it came, and all are told as one.
const SIGNAL_BYTES: usize = 64;

/// Empties a signal's pipe, and tells the signal where it has come.
pub(super) fn receive(pipe: &mut UnixStream, signal: i32, told: &mut Vec<Happening>) {
    let mut bytes = [0; SIGNAL_BYTES];
    if pipe.read(&mut bytes).is_ok_and(|count| count > 0) {
        told.push(Happening::Signal(signal));
    }
}

impl Reactor {
    /// Has a signal told as [`Happening::Signal`].
    pub fn signal(&mut self, signal: i32) -> io::Result<()> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, write)?;
        self.register(Source::Signal(read, signal)).map(drop)
    }
}
