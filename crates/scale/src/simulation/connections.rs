//! Simulated connections: frames in order, ends that close or die, what waits while a region is cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use super::network::{Paths, LONGEST_RETRANSMIT};

pub type ConnectionId = u64;

/// A connection breaks where something waits for so long (the default of Linux's `tcp_retries2`).
const GIVEN_UP: Duration = Duration::from_secs(924);

/// What stands at an end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A watcher, with the place of the relay in its order.
    Watcher {
        controller: u32,
        relay: usize,
    },
    Tool(u16),
    Machine(u16),
}

/// The two sides: who opened it, and who took it.
pub const OPENER: usize = 0;
pub const TAKER: usize = 1;

#[derive(Debug)]
pub struct Connection {
    pub ends: [End; 2],
    pub zones: [u16; 2],
    /// The life of each end's process that the connection belongs to.
    pub lives: [u32; 2],
    pub open: [bool; 2],
    /// It stands for both sides.
    pub made: bool,
    /// When the last frame in each direction arrives, by the side that sent it.
    arrives: [Duration; 2],
    /// What was sent while nothing passed: the sending side, and the frame or the end.
    waiting: Vec<(usize, Option<Vec<u8>>)>,
    waiting_since: Duration,
}

/// What is to arrive at a side of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival {
    Frame(Vec<u8>),
    Closed,
}

/// Something that arrives, and when.
pub struct Due {
    pub at: Duration,
    pub connection: ConnectionId,
    pub side: usize,
    pub arrival: Arrival,
}

#[derive(Default)]
pub struct Connections {
    all: BTreeMap<ConnectionId, Connection>,
    next: ConnectionId,
}

impl Connections {
    pub fn add(&mut self, ends: [End; 2], zones: [u16; 2], lives: [u32; 2]) -> ConnectionId {
        self.next += 1;
        let connection = Connection {
            ends,
            zones,
            lives,
            open: [true, true],
            made: false,
            arrives: [Duration::ZERO; 2],
            waiting: Vec::new(),
            waiting_since: Duration::ZERO,
        };
        self.all.insert(self.next, connection);
        self.next
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.all.get_mut(&id)
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Sends a frame, or the end, from a side; nothing where that side is closed or the frame waits.
    pub fn send(
        &mut self, paths: &mut Paths, now: Duration, id: ConnectionId, from: usize, frame: Option<Vec<u8>>,
    ) -> Option<Due> {
        let connection = self.all.get_mut(&id)?;
        if !connection.open[from] {
            return None;
        }
        let [zone, other] = [connection.zones[from], connection.zones[1 - from]];
        if paths.is_cut(zone, other) {
            if connection.waiting.is_empty() {
                connection.waiting_since = now;
            }
            connection.waiting.push((from, frame));
            return None;
        }
        let transit = paths.transit(zone, other, frame.as_ref().map_or(0, Vec::len));
        Some(connection.arrive(id, from, now + transit, frame))
    }

    /// A side closes: the other side hears of it.
    pub fn close(&mut self, paths: &mut Paths, now: Duration, id: ConnectionId, side: usize) -> Option<Due> {
        let due = self.send(paths, now, id, side, None);
        self.shut(id, side);
        due
    }

    /// A side is gone, and says nothing.
    pub fn shut(&mut self, id: ConnectionId, side: usize) {
        let Some(connection) = self.all.get_mut(&id) else { return };
        connection.open[side] = false;
        let over = !connection.open[0] && !connection.open[1];
        if over {
            self.all.remove(&id);
        }
    }

    /// Both sides are gone.
    pub fn shut_both(&mut self, id: ConnectionId) {
        self.all.remove(&id);
    }

    /// Connections with one side closed, which belongs to such an end, and the other open: the open side with each.
    pub fn with_dead_end(&self, is: impl Fn(&End) -> bool) -> Vec<(ConnectionId, usize)> {
        let sides = self.all.iter().flat_map(|(id, connection)| {
            [OPENER, TAKER].map(|side| (*id, connection.open, side, connection.ends[side]))
        });
        let dead = sides.filter(|(_, open, side, end)| !open[*side] && open[1 - side] && is(end));
        dead.map(|(id, _, side, _)| (id, 1 - side)).collect()
    }

    /// All connections with a side that belongs to this end's process; the side with each.
    pub fn of(&self, is: impl Fn(&End) -> bool) -> Vec<(ConnectionId, usize)> {
        let sides = self.all.iter().flat_map(|(id, connection)| {
            [OPENER, TAKER].map(|side| (*id, side, connection.open[side], connection.ends[side]))
        });
        sides.filter(|(_, _, open, end)| *open && is(end)).map(|(id, side, ..)| (id, side)).collect()
    }

    /// What waited is sent again, a part of the time later that it waited; what waited too long is given up at both
    /// sides.
    pub fn healed(&mut self, paths: &mut Paths, now: Duration) -> Vec<Due> {
        let mut dues = Vec::new();
        for (id, connection) in &mut self.all {
            if connection.waiting.is_empty() || paths.is_cut(connection.zones[0], connection.zones[1]) {
                continue;
            }
            let waited = now.saturating_sub(connection.waiting_since);
            let at = now + paths.part(waited.min(LONGEST_RETRANSMIT));
            for (from, frame) in std::mem::take(&mut connection.waiting) {
                dues.push(connection.arrive(*id, from, at, frame));
            }
        }
        dues
    }

    /// Connections on which something has waited too long: both sides that are open hear that they broke.
    pub fn given_up(&mut self, now: Duration) -> Vec<Due> {
        let mut dues = Vec::new();
        for (id, connection) in &mut self.all {
            if connection.waiting.is_empty() || now < connection.waiting_since + GIVEN_UP {
                continue;
            }
            connection.waiting.clear();
            dues.extend([OPENER, TAKER].map(|side| Due {
                at: now,
                connection: *id,
                side,
                arrival: Arrival::Closed,
            }));
        }
        dues
    }
}

impl Connection {
    /// Frames of one direction arrive in order.
    fn arrive(&mut self, id: ConnectionId, from: usize, at: Duration, frame: Option<Vec<u8>>) -> Due {
        let at = at.max(self.arrives[from]);
        self.arrives[from] = at;
        let arrival = frame.map_or(Arrival::Closed, Arrival::Frame);
        Due { at, connection: id, side: 1 - from, arrival }
    }
}
