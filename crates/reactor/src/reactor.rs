//! The loop itself: its state, its clock and its costs. Each of the modules below has one part of its work.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

use polling::{Events, Poller};

mod connections;
mod datagrams;
mod events;
mod listeners;
mod poll;
mod signals;
mod sockets;
mod timers;
mod transfer;

pub use events::{Closing, Happening, Line};
pub use sockets::Bounds;

use sockets::Source;
use timers::Due;
use transfer::READ_AT_ONCE;

/// Connections taken from one listener, and datagrams from one socket, in one wait at most: a burst at one of them
/// leaves the others their turn.
const TAKEN_AT_ONCE: usize = 64;

/// The event loop.
pub struct Reactor {
    poller: Poller,
    events: Events,
    start: Instant,
    offset: Duration,
    now: Duration,
    next_line: Line,
    lines: BTreeMap<Line, Source>,
    connections: usize,
    due: BTreeSet<(Duration, Due)>,
    dirty: Vec<Line>,
    /// Lines that ended outside a wait, to be told in the next.
    ended: Vec<Line>,
    /// Lines told as ended, dropped at the next wait.
    told_ended: Vec<Line>,
    scratch: Vec<u8>,
    accepted_at_once: usize,
    costs: Costs,
}

/// What the loop has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Costs {
    /// System calls made for sockets and waits.
    pub system_calls: u64,
    /// Bytes copied in this process on their way from and to sockets; the kernel's own copies are not counted.
    pub copied_bytes: u64,
}

impl Reactor {
    /// A loop whose clock shows `offset` now, so that times before its start can be named.
    pub fn new(offset: Duration) -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            events: Events::new(),
            start: Instant::now(),
            offset,
            now: offset,
            next_line: 1,
            lines: BTreeMap::new(),
            connections: 0,
            due: BTreeSet::new(),
            dirty: Vec::new(),
            ended: Vec::new(),
            told_ended: Vec::new(),
            scratch: vec![0; READ_AT_ONCE],
            accepted_at_once: TAKEN_AT_ONCE,
            costs: Costs::default(),
        })
    }

    /// The time of the last wait's end: one time for all that it brought.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What the loop has cost so far.
    pub fn costs(&self) -> Costs {
        self.costs
    }

    /// The time by the clock.
    pub fn clock(&self) -> Duration {
        self.offset + self.start.elapsed()
    }

    /// How many connections are held, ended ones not counted.
    pub fn connections(&self) -> usize {
        self.connections
    }
}
