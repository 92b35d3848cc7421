//! Bytes of connections: from the kernel into bounded inputs, and from bounded outputs to the kernel.

use std::io::{ErrorKind, Read, Write};

use super::events::{Closing, Happening, Line};
use super::sockets::Source;
use super::Reactor;
use crate::buffer::Buffer;

/// Bytes read from one line in one wait at most: a fast sender leaves the others their turn.
pub(super) const READ_AT_ONCE: usize = 64 * 1024;

impl Reactor {
    /// Bytes that came in and were not consumed yet; none for a line that is gone.
    pub fn input(&self, line: Line) -> &[u8] {
        self.conn(line).map_or(&[], |conn| conn.input.as_slice())
    }

    /// Takes away bytes from the front of a line's input.
    pub fn consume(&mut self, line: Line, count: usize) {
        let Some(conn) = self.conn_mut(line) else { return };
        conn.input.consume(count);
        self.tune(line);
    }

    /// Takes a line's input away, so that it can be read while other lines are sent to; to be laid back.
    pub fn lift(&mut self, line: Line) -> Buffer {
        self.conn_mut(line).map_or_else(Buffer::default, |conn| std::mem::take(&mut conn.input))
    }

    /// Lays back what was lifted, less what was consumed of it.
    pub fn lay_back(&mut self, line: Line, input: Buffer) {
        if let Some(conn) = self.conn_mut(line) {
            conn.input = input;
            self.tune(line);
        }
    }

    /// Bytes given to a line and not yet written, also once it has ended; none for a line that is gone.
    pub fn unwritten(&self, line: Line) -> usize {
        self.conn(line).map_or(0, |conn| conn.output.len())
    }

    /// Gives bytes to a line's output, all or, where they do not fit, none. They go at the next flush.
    pub fn send(&mut self, line: Line, parts: &[&[u8]]) -> bool {
        self.send_leaving(line, 0, parts)
    }

    /// The same, where they also do not fit if less than `free` bytes of room would be left behind them.
    pub fn send_leaving(&mut self, line: Line, free: usize, parts: &[&[u8]]) -> bool {
        let Some(conn) = self.conn_mut(line) else { return false };
        let size: usize = parts.iter().map(|part| part.len()).sum();
        let open = conn.ended.is_none() && !conn.finishing;
        if !open || conn.output.len() + size + free > conn.bounds.output {
            conn.was_full = true;
            return false;
        }
        parts.iter().for_each(|part| conn.output.push(part));
        if !std::mem::replace(&mut conn.dirty, true) {
            self.dirty.push(line);
        }
        self.costs.copied_bytes += size as u64;
        true
    }

    /// Writes what was given to one line, now.
    pub fn flush_line(&mut self, line: Line) {
        self.write_out(line);
    }

    /// Writes what was given since the last flush.
    pub fn flush(&mut self) {
        for line in std::mem::take(&mut self.dirty) {
            self.write_out(line);
        }
    }

    /// Reads what has come on a line by now, without a wait, and tells whether its input holds anything then.
    pub fn read_now(&mut self, line: Line) -> bool {
        self.read_in(line, &mut Vec::new());
        !self.input(line).is_empty()
    }

    /// Writes a line's output as far as the kernel takes it.
    pub(super) fn write_out(&mut self, line: Line) {
        let Some(Source::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
        conn.dirty = false;
        if conn.making || conn.ended.is_some() {
            return;
        }
        let mut broken = false;
        while !conn.output.is_empty() && !broken {
            self.costs.system_calls += 1;
            match socket.write(conn.output.as_slice()) {
                Ok(count) => conn.output.consume(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => broken = true,
            }
        }
        let finished = conn.finishing && conn.output.is_empty();
        if broken {
            // What the other end said before it went is still there, and may be its last word.
            while conn.input.len() < conn.bounds.input {
                let most = (conn.bounds.input - conn.input.len()).min(READ_AT_ONCE);
                match socket.read(&mut self.scratch[..most]) {
                    Ok(count) if count > 0 => conn.input.push(&self.scratch[..count]),
                    _ => break,
                }
            }
        }
        if broken || finished {
            return self.end(line, if broken { Closing::Broken } else { Closing::Finished });
        }
        self.tune(line);
    }

    /// Reads all that has come, up to the bound. What follows the last bytes is read in the same wake, so that an end
    /// that stands right behind a request is told with it, and not a wake later.
    pub(super) fn read_in(&mut self, line: Line, told: &mut Vec<Happening>) {
        let mut read = 0;
        while read < READ_AT_ONCE {
            let Some(Source::Stream { socket, conn }) = self.lines.get_mut(&line) else { return };
            let most = conn.bounds.input.saturating_sub(conn.input.len()).min(READ_AT_ONCE - read);
            if conn.ended.is_some() || most == 0 {
                break;
            }
            self.costs.system_calls += 1;
            match socket.read(&mut self.scratch[..most]) {
                Ok(0) => self.end(line, Closing::ByPeer),
                Ok(count) => {
                    conn.input.push(&self.scratch[..count]);
                    self.costs.copied_bytes += count as u64;
                    read += count;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.end(line, Closing::Broken),
            }
        }
        if read > 0 {
            told.push(Happening::Readable(line));
        }
        self.tune(line);
    }

    /// Tells that a line's output has room again, once half of it is free.
    pub(super) fn tell_drained(&mut self, line: Line, told: &mut Vec<Happening>) {
        let Some(conn) = self.conn_mut(line).filter(|conn| conn.ended.is_none()) else { return };
        if conn.was_full && conn.output.len() <= conn.bounds.output / 2 {
            conn.was_full = false;
            told.push(Happening::Drained(line));
        }
    }
}
