//! Datagram sockets.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use super::events::{ReactorEvent, SocketId};
use super::sockets::Source;
use super::{Reactor, MAX_PER_WAIT};

impl Reactor {
    /// Binds a datagram socket. Returns its id and its address.
    pub fn bind_datagrams(&mut self, address: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        Ok((self.register(Source::Datagrams(socket))?, address))
    }

    /// Sends a datagram. Returns false, and drops it, if the kernel cannot take it now.
    pub fn send_to(&self, id: SocketId, to: SocketAddr, bytes: &[u8]) -> bool {
        match self.sources.get(&id) {
            Some(Source::Datagrams(socket)) => socket.send_to(bytes, to).is_ok(),
            _ => false,
        }
    }

    /// Receives datagrams from a socket.
    pub(super) fn receive(&mut self, id: SocketId, events: &mut Vec<ReactorEvent>) {
        for _ in 0..MAX_PER_WAIT {
            let Some(Source::Datagrams(socket)) = self.sources.get(&id) else { return };
            self.costs.system_calls += 1;
            match socket.recv_from(&mut self.scratch) {
                Ok((count, from)) => {
                    let bytes = self.scratch[..count].to_vec();
                    events.push(ReactorEvent::Datagram { socket: id, from, bytes });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An ICMP error: the destination port of an earlier datagram is closed, which does not affect
                // this socket.
                Err(_) => {}
            }
        }
    }
}
