//! Ports for processes that are started later, and started again at the same place.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that systems hand out to connections (from 32,768 on Linux): a port that is free now is not
/// taken meanwhile by some connection of this machine.
const FIRST: u16 = 20_000;
const COUNT: u16 = 12_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A port of loopback that is free for both TCP and UDP, and that this process names only once. Processes begin at
/// different places, so that two of them seldom try the same one.
pub fn free_port() -> io::Result<SocketAddr> {
    let begin = (std::process::id().wrapping_mul(613) % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + ((u32::from(begin) + u32::from(step)) % u32::from(COUNT)) as u16;
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok() {
            return Ok(at);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port of loopback is free"))
}
