//! Ports for processes that are started later, and started again at the same place.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Ports below those that systems hand out to connections (from 32,768 on Linux): a port that is free now is not
/// taken meanwhile by some connection of this machine.
const FIRST: u16 = 20_000;
/// Each process names ports of blocks of its own, so that two that run side by side never name the same one.
const BLOCK_PORTS: u16 = 400;
const BLOCKS: u16 = 30;

/// A block that this process has claimed.
struct Block {
    /// Bound to the first port of the block, as long as the process runs.
    _claim: UdpSocket,
    /// The ports that were in use when it was claimed, by processes that know nothing of blocks.
    in_use: BTreeSet<u16>,
    next: u16,
    end: u16,
}

static BLOCK: Mutex<Option<Block>> = Mutex::new(None);

/// A port of loopback that is free for both TCP and UDP, and that this process names only once.
///
/// The port is not bound to see whether it is free: a process that another thread starts at that moment would
/// hold it until it runs its program.
pub fn free_port() -> io::Result<SocketAddr> {
    let mut block = BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let current = match block.take().filter(|block| block.next < block.end) {
            Some(current) => block.insert(current),
            None => block.insert(claim_block()?),
        };
        let port = current.next;
        current.next += 1;
        if !current.in_use.contains(&port) {
            return Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
        }
    }
}

/// Claims a block that no other process has claimed.
fn claim_block() -> io::Result<Block> {
    let begin = std::process::id() % u32::from(BLOCKS);
    for step in 0..u32::from(BLOCKS) {
        let first = FIRST + ((begin + step) % u32::from(BLOCKS)) as u16 * BLOCK_PORTS;
        if let Ok(claim) = UdpSocket::bind((Ipv4Addr::LOCALHOST, first)) {
            let in_use = ports_in_use()?;
            return Ok(Block { _claim: claim, in_use, next: first + 1, end: first + BLOCK_PORTS });
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "all blocks of ports are claimed"))
}

/// The ports that sockets of this machine are bound to, as the kernel lists them.
pub(crate) fn ports_in_use() -> io::Result<BTreeSet<u16>> {
    let mut ports = BTreeSet::new();
    for table in ["/proc/net/tcp", "/proc/net/udp"] {
        let text = std::fs::read_to_string(table)?;
        ports.extend(text.lines().skip(1).filter_map(local_port));
    }
    Ok(ports)
}

/// The local port of a line of the kernel's tables: the second field is the address and port in hexadecimal.
fn local_port(line: &str) -> Option<u16> {
    let (_, port) = line.split_whitespace().nth(1)?.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
