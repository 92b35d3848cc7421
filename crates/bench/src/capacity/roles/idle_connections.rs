//! Connections that say nothing: memory and descriptors of the event loop, and what a wake for one line costs beside them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};

use super::{Role, CONNECTIONS_EACH, MEMORY_BYTES};
use crate::capacity::measure::{processor_ms, with_live_bytes, Reading};

const BOUNDS: Bounds = Bounds { input: 64 * 1024, output: 64 * 1024 };
/// Connections that are made before any is waited for: under the listener's queue.
const AT_ONCE: u64 = 64;
const WAKES: u32 = 500;

pub const ROLE: Role = Role {
    name: "idle-connections",
    size_unit: "connections",
    sizes: &[1000, 2000, 4000, 8000],
    plan_size: CONNECTIONS_EACH,
    measure: |size, _seed| readings(size),
};

/// Both ends of the connections are lines of one loop.
struct Loop {
    reactor: Reactor,
    to: SocketAddr,
    accepted: Vec<SocketId>,
    made: Vec<SocketId>,
}

impl Loop {
    fn new() -> Result<Self> {
        badgerledge_reactor::raise_descriptors();
        let mut reactor = Reactor::new(Duration::from_secs(100))?;
        let (_, to) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS)?;
        Ok(Self { reactor, to, accepted: Vec::new(), made: Vec::new() })
    }

    fn connect(&mut self, connections: u64) -> Result<()> {
        let mut asked = 0;
        while (self.accepted.len() as u64) < connections {
            while asked < connections && asked < self.accepted.len() as u64 + AT_ONCE {
                self.made.push(self.reactor.connect(self.to, Duration::from_secs(20), BOUNDS)?);
                asked += 1;
            }
            self.turn()?;
        }
        Ok(())
    }

    fn turn(&mut self) -> Result<usize> {
        let mut told = Vec::new();
        self.reactor.flush();
        let until = self.reactor.clock() + Duration::from_millis(100);
        self.reactor.wait(Some(until), &mut told)?;
        for happening in &told {
            match happening {
                ReactorEvent::Accepted { connection: line, .. } => self.accepted.push(*line),
                ReactorEvent::Readable(line) => self.reactor.consume(*line, self.reactor.input(*line).len()),
                ReactorEvent::Closed(..) => anyhow::bail!("a connection ended"),
                _ => {}
            }
        }
        Ok(told.len())
    }

    /// One byte goes from one end to the other.
    fn pass_a_byte(&mut self, n: usize) -> Result<()> {
        self.reactor.send(self.made[n % self.made.len()], &[b"x"]);
        while self.turn()? == 0 {}
        Ok(())
    }
}

fn readings(connections: u64) -> Result<Vec<Reading>> {
    let mut all = Loop::new()?;
    let (made, live) = with_live_bytes(|| all.connect(connections));
    made?;
    // What is still to be told of the last ones.
    (0..20).try_for_each(|_| all.turn().map(drop))?;
    let mut passed = Ok(());
    let wakes_ms = processor_ms(|| {
        passed = (0..WAKES as usize).try_for_each(|n| all.pass_a_byte(n * 37));
    });
    passed?;
    let ends = 2.0 * connections as f64;
    Ok(vec![
        Reading::new("memory of this end", "bytes", live / 2.0).limited(MEMORY_BYTES),
        Reading::new("descriptors of both ends", "", ends),
        Reading::new("a byte sent and read", "ms of a core", wakes_ms / f64::from(WAKES)),
    ])
}
