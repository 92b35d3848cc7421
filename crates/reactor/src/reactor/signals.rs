//! Process signals, reported as events of the loop.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use super::events::ReactorEvent;
use super::sockets::Source;
use super::Reactor;

/// Bytes read from a signal's pipe at once: one is written for each delivery, and all are reported as one
/// event.
const SIGNAL_BYTES: usize = 64;

/// Empties a signal's pipe, and reports the signal if it was delivered.
pub(super) fn receive(pipe: &mut UnixStream, signal: i32, events: &mut Vec<ReactorEvent>) {
    let mut bytes = [0; SIGNAL_BYTES];
    if pipe.read(&mut bytes).is_ok_and(|count| count > 0) {
        events.push(ReactorEvent::Signal(signal));
    }
}

impl Reactor {
    /// Reports a signal as [`ReactorEvent::Signal`] from now on.
    pub fn watch_signal(&mut self, signal: i32) -> io::Result<()> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, write)?;
        self.register(Source::Signal(read, signal)).map(drop)
    }
}
