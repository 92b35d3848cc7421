//! Byte transfer of connections: from the kernel into bounded input buffers, and from bounded output buffers
//! to the kernel.

use std::io::{ErrorKind, Read, Write};

use super::events::{CloseReason, ReactorEvent, SocketId};
use super::sockets::Source;
use super::Reactor;
use crate::buffer::Buffer;

/// Maximum of bytes read from one connection per wait: a fast sender must not starve the others.
pub(super) const MAX_READ_PER_WAIT: usize = 64 * 1024;

impl Reactor {
    /// Bytes received and not yet consumed; empty for an unknown connection.
    pub fn input(&self, id: SocketId) -> &[u8] {
        self.connection(id).map_or(&[], |connection| connection.input.as_slice())
    }

    /// Whether the kernel may hold more input of a connection than was read: requests in it, or its end.
    pub fn may_have_more_input(&self, id: SocketId) -> bool {
        self.connection(id).is_some_and(|connection| connection.may_have_more_input)
    }

    /// Removes bytes from the front of a connection's input.
    pub fn consume(&mut self, id: SocketId, count: usize) {
        let Some(connection) = self.connection_mut(id) else { return };
        connection.input.consume(count);
        self.update_interest(id);
    }

    /// Takes a connection's input out, so that it can be parsed while other connections are written to. Must
    /// be followed by [`restore_input`](Self::restore_input).
    pub fn take_input(&mut self, id: SocketId) -> Buffer {
        self.connection_mut(id)
            .map_or_else(Buffer::default, |connection| std::mem::take(&mut connection.input))
    }

    /// Puts the rest of the input back.
    pub fn restore_input(&mut self, id: SocketId, input: Buffer) {
        if let Some(connection) = self.connection_mut(id) {
            connection.input = input;
            self.update_interest(id);
        }
    }

    /// Bytes queued on a connection and not yet written, also after it has ended; zero for an unknown
    /// connection.
    pub fn unwritten_bytes(&self, id: SocketId) -> usize {
        self.connection(id).map_or(0, |connection| connection.output.len())
    }

    /// Queues bytes on a connection, to be written at the next flush. Accepts all of them or, if they do not
    /// fit, none, and returns whether it did.
    pub fn send(&mut self, id: SocketId, parts: &[&[u8]]) -> bool {
        self.send_reserving(id, 0, parts)
    }

    /// Like [`send`](Self::send), but the bytes must leave at least `free` bytes of room behind them.
    pub fn send_reserving(&mut self, id: SocketId, free: usize, parts: &[&[u8]]) -> bool {
        let Some(connection) = self.connection_mut(id) else { return false };
        let size: usize = parts.iter().map(|part| part.len()).sum();
        let open = connection.ended.is_none() && !connection.closing_after_flush;
        if !open || connection.output.len() + size + free > connection.bounds.output {
            connection.output_was_full = true;
            return false;
        }
        parts.iter().for_each(|part| connection.output.push(part));
        if !std::mem::replace(&mut connection.dirty, true) {
            self.unflushed.push(id);
        }
        self.costs.copied_bytes += size as u64;
        true
    }

    /// Writes the output of one connection now.
    pub fn flush_connection(&mut self, id: SocketId) {
        self.write_output(id);
    }

    /// Writes the output queued since the last flush.
    pub fn flush(&mut self) {
        for id in std::mem::take(&mut self.unflushed) {
            self.write_output(id);
        }
    }

    /// Reads the available input of a connection without waiting, and returns whether its input is not empty.
    pub fn read_available(&mut self, id: SocketId) -> bool {
        self.read_input(id, &mut Vec::new());
        !self.input(id).is_empty()
    }

    /// Writes a connection's output as far as the kernel accepts it.
    pub(super) fn write_output(&mut self, id: SocketId) {
        let Some(Source::Stream { socket, connection }) = self.sources.get_mut(&id) else { return };
        connection.dirty = false;
        if connection.connecting || connection.ended.is_some() {
            return;
        }
        let mut broken = false;
        while !connection.output.is_empty() && !broken {
            self.costs.system_calls += 1;
            match socket.write(connection.output.as_slice()) {
                Ok(count) => connection.output.consume(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => broken = true,
            }
        }
        let finished = connection.closing_after_flush && connection.output.is_empty();
        if broken {
            // The peer's last bytes may still be in the kernel's buffer, and may matter.
            while connection.input.len() < connection.bounds.input {
                let limit = (connection.bounds.input - connection.input.len()).min(MAX_READ_PER_WAIT);
                match socket.read(&mut self.scratch[..limit]) {
                    Ok(count) if count > 0 => connection.input.push(&self.scratch[..count]),
                    _ => break,
                }
            }
        }
        if broken || finished {
            return self.mark_ended(id, if broken { CloseReason::Broken } else { CloseReason::Finished });
        }
        self.update_interest(id);
    }

    /// Reads all available input up to the limit, and continues until the kernel has no more, so that a close
    /// right behind a request is reported in the same wait and not in the next.
    pub(super) fn read_input(&mut self, id: SocketId, events: &mut Vec<ReactorEvent>) {
        let mut total = 0;
        while total < MAX_READ_PER_WAIT {
            let Some(Source::Stream { socket, connection }) = self.sources.get_mut(&id) else { return };
            connection.may_have_more_input = true;
            let limit =
                connection.bounds.input.saturating_sub(connection.input.len()).min(MAX_READ_PER_WAIT - total);
            if connection.ended.is_some() || limit == 0 {
                break;
            }
            self.costs.system_calls += 1;
            match socket.read(&mut self.scratch[..limit]) {
                Ok(0) => self.mark_ended(id, CloseReason::ByPeer),
                Ok(count) => {
                    connection.input.push(&self.scratch[..count]);
                    self.costs.copied_bytes += count as u64;
                    total += count;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    connection.may_have_more_input = false;
                    break;
                }
                Err(_) => self.mark_ended(id, CloseReason::Broken),
            }
        }
        if total > 0 {
            events.push(ReactorEvent::Readable(id));
        }
        self.update_interest(id);
    }

    /// Reports that a connection's output has room again, once half of it is free.
    pub(super) fn report_drained(&mut self, id: SocketId, events: &mut Vec<ReactorEvent>) {
        let Some(connection) = self.connection_mut(id).filter(|connection| connection.ended.is_none()) else {
            return;
        };
        if connection.output_was_full && connection.output.len() <= connection.bounds.output / 2 {
            connection.output_was_full = false;
            events.push(ReactorEvent::Drained(id));
        }
    }
}
