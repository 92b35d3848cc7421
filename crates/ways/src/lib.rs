//! The rig's network between processes. Each end is reached by the others at an address of this process, by datagrams
//! and by streams at the same port, which hands on what comes as the way from sender to receiver says: cut, lossy,
//! late, doubled, out of order, slow, reset, or half-open. One way of a pair knows nothing of the other.
//!
//! Who sends is told by the address that it sends from: a datagram's own, and for a stream the machine's, so that ends
//! that speak by streams need an address each (127.0.0.0/8 has enough). All chance comes from a seed, and what passed
//! is on record with its time, to be judged.

mod streams;
mod way;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};

use crate::streams::Streams;
pub use crate::way::{Draw, Way};

/// An end, by its place among all.
pub type End = usize;

/// What happened to a datagram, or to some bytes of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Passed,
    Lost,
}

/// One entry of the record.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub at: Duration,
    pub from: End,
    pub to: End,
    pub bytes: usize,
    pub delivery: Delivery,
    pub stream: bool,
}

/// Datagrams on their way at a time at most; more are lost, as in a network that is full.
const MAX_IN_FLIGHT: usize = 16 * 1024;

struct Front {
    line: SocketId,
    /// Where others reach it, and where it is itself.
    reached: SocketAddr,
    own: SocketAddr,
}

pub struct Ways {
    fronts: Vec<Front>,
    ways: BTreeMap<(End, End), Way>,
    default_way: Way,
    in_flight: BTreeSet<(Duration, u64, End, End, Vec<u8>)>,
    sequence: u64,
    streams: Streams,
    draw: Draw,
    pub record: Vec<Entry>,
    /// Datagrams of nobody on the rig, and for whom.
    strangers: Vec<(End, Vec<u8>)>,
}

impl Ways {
    /// Ends that are at these addresses themselves; all ways are as `default_way` until they are set.
    ///
    /// # Errors
    /// Where an address for an end can't be had.
    pub fn new(
        reactor: &mut Reactor, own: &[SocketAddr], default_way: Way, seed: u64,
    ) -> std::io::Result<Self> {
        let (mut fronts, mut streams) = (Vec::new(), Streams::default());
        for (end, own) in own.iter().enumerate() {
            // The stream's port first: the kernel keeps the two apart, and one that is free for one may not be for the
            // other.
            let (line, reached) = loop {
                let (listener, at) = streams.listen(reactor, end)?;
                match reactor.bind_datagrams(at) {
                    Ok(bound) => break bound,
                    Err(_) => reactor.close(listener),
                }
            };
            fronts.push(Front { line, reached, own: *own });
        }
        let (ways, in_flight, record) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let draw = Draw::new(seed);
        Ok(Self {
            fronts,
            ways,
            default_way,
            in_flight,
            sequence: 0,
            streams,
            draw,
            record,
            strangers: Vec::new(),
        })
    }

    /// Where the others reach an end.
    pub fn reached(&self, end: End) -> SocketAddr {
        self.fronts[end].reached
    }

    pub fn ends(&self) -> usize {
        self.fronts.len()
    }

    /// The way from one end to another, to be changed.
    pub fn way(&mut self, from: End, to: End) -> &mut Way {
        let default_way = self.default_way;
        self.ways.entry((from, to)).or_insert(default_way)
    }

    /// Changes all ways from some ends to others.
    pub fn strike(&mut self, from: &[End], to: &[End], change: impl Fn(&mut Way)) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b) {
            change(self.way(a, b));
        }
    }

    /// All ways are as usual again.
    pub fn heal(&mut self) {
        self.ways.clear();
    }

    fn current_way(&self, from: End, to: End) -> Way {
        self.ways.get(&(from, to)).copied().unwrap_or(self.default_way)
    }

    fn end_at(&self, ip: IpAddr) -> Option<End> {
        let mut found = self.fronts.iter().enumerate().filter(|(_, front)| front.own.ip() == ip);
        let first = found.next().map(|(end, _)| end);
        // An address that several share tells nobody.
        first.filter(|_| found.next().is_none())
    }

    /// Takes what a wait brought, if it is of the rig.
    pub fn take(&mut self, reactor: &mut Reactor, now: Duration, happening: &ReactorEvent) -> bool {
        if let ReactorEvent::Datagram { socket: line, from, bytes } = happening {
            let Some(to) = self.fronts.iter().position(|front| front.line == *line) else { return false };
            match self.fronts.iter().position(|front| front.own == *from) {
                Some(from) => self.datagram(now, from, to, bytes),
                None => self.strangers.push((to, bytes.clone())),
            }
            return true;
        }
        if let ReactorEvent::Accepted { connection: line, listener, from } = happening {
            let Some(to) = self.streams.end_of(*listener) else { return false };
            let from = self.end_at(from.ip());
            let way = from.map_or(self.default_way, |from| self.current_way(from, to));
            self.streams.accepted(reactor, *line, from, (to, self.fronts[to].own), way);
            return true;
        }
        let Self { ways, default_way, streams, record, .. } = self;
        streams.take(reactor, now, happening, &way_of(ways, *default_way), record)
    }

    fn datagram(&mut self, now: Duration, from: End, to: End, bytes: &[u8]) {
        let way = self.current_way(from, to);
        let mut note = |delivery| {
            self.record.push(Entry { at: now, from, to, bytes: bytes.len(), delivery, stream: false });
        };
        if way.cut || self.in_flight.len() >= MAX_IN_FLIGHT || self.draw.share() < way.loss {
            return note(Delivery::Lost);
        }
        note(Delivery::Passed);
        let copies = if self.draw.share() < way.doubled { 2 } else { 1 };
        for _ in 0..copies {
            // Drawn for each by itself: a later one may come sooner.
            let at = now + way.late(&mut self.draw);
            self.sequence += 1;
            self.in_flight.insert((at, self.sequence, from, to, bytes.to_vec()));
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        let in_flight = self.in_flight.first().map(|message| message.0);
        in_flight.into_iter().chain(self.streams.next_due()).min()
    }

    /// Hands on what is due.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        for (to, bytes) in std::mem::take(&mut self.strangers) {
            reactor.send_to(self.fronts[to].line, self.fronts[to].own, &bytes);
        }
        while self.in_flight.first().is_some_and(|message| message.0 <= now) {
            let Some((_, _, from, to, bytes)) = self.in_flight.pop_first() else { break };
            // From the address that stands for the sender, so that the receiver knows whom it is from.
            reactor.send_to(self.fronts[from].line, self.fronts[to].own, &bytes);
        }
        let Self { ways, default_way, streams, .. } = self;
        streams.carry(reactor, now, &way_of(ways, *default_way));
    }
}

/// The way between two ends, of which one may be nobody on the rig.
fn way_of(
    ways: &BTreeMap<(End, End), Way>, default_way: Way,
) -> impl Fn(Option<End>, Option<End>) -> Way + '_ {
    move |from, to| from.zip(to).and_then(|pair| ways.get(&pair).copied()).unwrap_or(default_way)
}

#[cfg(test)]
mod tests;
