//! The bare byte pump: copies what comes on one line to another, on the same loop, and knows nothing of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};

const BOUNDS: Bounds = Bounds { input: 128 * 1024, output: 512 * 1024 };

/// Serves until it is killed.
pub fn run(listen: SocketAddr, to: SocketAddr) -> Result<()> {
    let mut reactor = Reactor::new(Duration::ZERO)?;
    reactor.listen(listen, BOUNDS)?;
    let mut other: BTreeMap<SocketId, SocketId> = BTreeMap::new();
    let mut told = Vec::new();
    loop {
        reactor.wait(None, &mut told)?;
        for happening in told.drain(..) {
            match happening {
                ReactorEvent::Accepted { connection: line, .. } => {
                    let far = reactor.connect(to, Duration::from_secs(1), BOUNDS)?;
                    other.insert(line, far);
                    other.insert(far, line);
                }
                ReactorEvent::Readable(line) => copy(&mut reactor, line, other.get(&line)),
                // Room again: what waits at the other end goes on.
                ReactorEvent::Drained(line) => {
                    if let Some(from) = other.get(&line) {
                        copy(&mut reactor, *from, Some(&line));
                    }
                }
                ReactorEvent::Closed(line, _) => {
                    if let Some(far) = other.remove(&line) {
                        other.remove(&far);
                        reactor.close_after_flush(far);
                    }
                }
                _ => {}
            }
        }
        reactor.flush();
    }
}

fn copy(reactor: &mut Reactor, from: SocketId, to: Option<&SocketId>) {
    let Some(to) = to else { return };
    let mut input = reactor.take_input(from);
    if reactor.send(*to, &[input.as_slice()]) {
        let all = input.len();
        input.consume(all);
    }
    reactor.restore_input(from, input);
}
