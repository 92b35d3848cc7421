//! The event loop: its state, clock and cost counters. Each submodule implements one part of it.

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

pub use events::{CloseReason, ReactorEvent, SocketId};
pub use sockets::Bounds;

use sockets::Source;
use timers::Timer;
use transfer::MAX_READ_PER_WAIT;

/// Maximum of connections accepted from one listener, and of datagrams read from one socket, per wait: a
/// burst at one socket must not starve the others.
const MAX_PER_WAIT: usize = 64;

/// The event loop.
pub struct Reactor {
    poller: Poller,
    poller_events: Events,
    start: Instant,
    offset: Duration,
    now: Duration,
    next_id: SocketId,
    sources: BTreeMap<SocketId, Source>,
    connections: usize,
    timers: BTreeSet<(Duration, Timer)>,
    unflushed: Vec<SocketId>,
    /// Connections that ended outside a wait, to be reported in the next one.
    newly_ended: Vec<SocketId>,
    /// Connections reported as ended, removed at the next wait.
    reported_ended: Vec<SocketId>,
    scratch: Vec<u8>,
    max_accepts_per_wait: usize,
    costs: Costs,
}

/// What the loop has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Costs {
    /// System calls made for sockets and waits.
    pub system_calls: u64,
    /// Bytes copied in this process from and to sockets, not counting the kernel's own copies.
    pub copied_bytes: u64,
}

impl Reactor {
    /// Creates a loop whose clock shows `offset` now, so that times before its start can be expressed.
    pub fn new(offset: Duration) -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            poller_events: Events::new(),
            start: Instant::now(),
            offset,
            now: offset,
            next_id: 1,
            sources: BTreeMap::new(),
            connections: 0,
            timers: BTreeSet::new(),
            unflushed: Vec::new(),
            newly_ended: Vec::new(),
            reported_ended: Vec::new(),
            scratch: vec![0; MAX_READ_PER_WAIT],
            max_accepts_per_wait: MAX_PER_WAIT,
            costs: Costs::default(),
        })
    }

    /// The time at the end of the last wait, the same for all of its events.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What the loop has cost so far.
    pub fn costs(&self) -> Costs {
        self.costs
    }

    /// The current time.
    pub fn clock(&self) -> Duration {
        self.offset + self.start.elapsed()
    }

    /// The number of connections that have not ended.
    pub fn connections(&self) -> usize {
        self.connections
    }
}
