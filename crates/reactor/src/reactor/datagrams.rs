//! Datagrams, in and out.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use super::events::{Happening, Line};
use super::sockets::Source;
use super::{Reactor, TAKEN_AT_ONCE};

impl Reactor {
    /// Takes datagrams at an address.
    pub fn datagrams(&mut self, at: SocketAddr) -> io::Result<(Line, SocketAddr)> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        Ok((self.register(Source::Datagrams(socket))?, at))
    }

    /// Sends a datagram; one that the kernel cannot take now is lost, as datagrams are.
    pub fn send_to(&self, line: Line, to: SocketAddr, bytes: &[u8]) -> bool {
        match self.lines.get(&line) {
            Some(Source::Datagrams(socket)) => socket.send_to(bytes, to).is_ok(),
            _ => false,
        }
    }

    /// Takes datagrams from a socket.
    pub(super) fn receive(&mut self, line: Line, told: &mut Vec<Happening>) {
        for _ in 0..TAKEN_AT_ONCE {
            let Some(Source::Datagrams(socket)) = self.lines.get(&line) else { return };
            self.costs.system_calls += 1;
            match socket.recv_from(&mut self.scratch) {
                Ok((count, from)) => {
                    let bytes = self.scratch[..count].to_vec();
                    told.push(Happening::Datagram { line, from, bytes });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An answer that the port of an earlier datagram is shut; it says nothing of this socket.
                Err(_) => {}
            }
        }
    }
}
