//! Fault-injecting test network between processes. It proxies UDP datagrams and TCP streams: the other endpoints reach each
//! endpoint at an address of this process, with the same port for both. The link from sender to receiver determines
//! whether traffic is blocked, lost, delayed, duplicated, reordered, limited in rate, reset or left half-open. The two
//! directions of a pair are independent.
//!
//! The sender is identified by its address: a datagram's source address, or a stream's source IP address. Endpoints that
//! use streams therefore need an IP address each; 127.0.0.0/8 has enough. All random numbers come from a seed, and all
//! traffic is recorded with its time for later checks.

mod link_faults;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};

pub use crate::link_faults::{Draw, Way};
use crate::streams::StreamProxy;

/// Index of an endpoint.
pub type End = usize;

/// Whether a datagram, or some bytes of a stream, were forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Passed,
    Lost,
}

/// A datagram or some bytes of a stream that arrived at the test network.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub at: Duration,
    pub from: End,
    pub to: End,
    pub bytes: usize,
    pub delivery: Delivery,
    pub stream: bool,
}

/// The largest number of datagrams in flight; more are dropped, as in a congested network.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 16 * 1024;

struct EndpointProxy {
    /// The datagram socket at `proxy_address`.
    connection: Line,
    /// Where the other endpoints reach this endpoint.
    proxy_address: SocketAddr,
    /// Where this endpoint itself listens.
    endpoint_address: SocketAddr,
}

/// The test network, with the state of each directed link between its endpoints.
pub struct Ways {
    proxies: Vec<EndpointProxy>,
    /// Links that differ from `default_link`, by sender and receiver.
    links: BTreeMap<(End, End), Way>,
    default_link: Way,
    /// Datagrams to be forwarded: due time, sequence number, sender, receiver, contents.
    in_flight: BTreeSet<(Duration, u64, End, End, Vec<u8>)>,
    sequence: u64,
    streams: StreamProxy,
    rng: Draw,
    /// All traffic so far.
    pub record: Vec<Entry>,
    /// Receiver and contents of datagrams from unknown senders.
    from_unknown_senders: Vec<(End, Vec<u8>)>,
}

impl Ways {
    /// Creates proxies for the endpoints that listen at these addresses. Links are as `default_link` until changed.
    ///
    /// # Errors
    /// Where no proxy address can be bound.
    pub fn new(
        reactor: &mut Reactor, endpoint_addresses: &[SocketAddr], default_link: Way, seed: u64,
    ) -> std::io::Result<Self> {
        let (mut proxies, mut streams) = (Vec::new(), StreamProxy::default());
        for (endpoint, endpoint_address) in endpoint_addresses.iter().enumerate() {
            // Binds the TCP port first, and tries another one where the same UDP port is in use: the kernel allocates TCP
            // and UDP ports independently.
            let (connection, proxy_address) = loop {
                let (listener, address) = streams.listen(reactor, endpoint)?;
                match reactor.datagrams(address) {
                    Ok(bound) => break bound,
                    Err(_) => reactor.close(listener),
                }
            };
            proxies.push(EndpointProxy { connection, proxy_address, endpoint_address: *endpoint_address });
        }
        let (links, in_flight, record) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let rng = Draw::new(seed);
        Ok(Self {
            proxies,
            links,
            default_link,
            in_flight,
            sequence: 0,
            streams,
            rng,
            record,
            from_unknown_senders: Vec::new(),
        })
    }

    /// The address at which the other endpoints reach an endpoint.
    pub fn reached(&self, endpoint: End) -> SocketAddr {
        self.proxies[endpoint].proxy_address
    }

    /// The number of endpoints.
    pub fn ends(&self) -> usize {
        self.proxies.len()
    }

    /// The link from one endpoint to another, to be changed.
    pub fn way(&mut self, from: End, to: End) -> &mut Way {
        let default_link = self.default_link;
        self.links.entry((from, to)).or_insert(default_link)
    }

    /// Changes all links from some endpoints to others.
    pub fn strike(&mut self, from: &[End], to: &[End], change: impl Fn(&mut Way)) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b) {
            change(self.way(a, b));
        }
    }

    /// Resets all links to the default.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    fn link_between(&self, from: End, to: End) -> Way {
        self.links.get(&(from, to)).copied().unwrap_or(self.default_link)
    }

    fn endpoint_with_ip(&self, ip: IpAddr) -> Option<End> {
        let mut matches =
            self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.endpoint_address.ip() == ip);
        let first = matches.next().map(|(endpoint, _)| endpoint);
        // An IP address of several endpoints does not identify the sender.
        first.filter(|_| matches.next().is_none())
    }

    /// Handles an event of the reactor. Returns whether it concerned this network.
    pub fn take(&mut self, reactor: &mut Reactor, now: Duration, event: &Happening) -> bool {
        if let Happening::Datagram { line: connection, from, bytes } = event {
            let Some(to) = self.proxies.iter().position(|proxy| proxy.connection == *connection) else {
                return false;
            };
            match self.proxies.iter().position(|proxy| proxy.endpoint_address == *from) {
                Some(from) => self.queue_datagram(now, from, to, bytes),
                None => self.from_unknown_senders.push((to, bytes.clone())),
            }
            return true;
        }
        if let Happening::Accepted { line: connection, listener, from } = event {
            let Some(to) = self.streams.endpoint_of(*listener) else { return false };
            let from = self.endpoint_with_ip(from.ip());
            let link = from.map_or(self.default_link, |from| self.link_between(from, to));
            self.streams.handle_accepted(
                reactor,
                *connection,
                from,
                (to, self.proxies[to].endpoint_address),
                link,
            );
            return true;
        }
        let Self { links, default_link, streams, record, .. } = self;
        streams.handle_event(reactor, now, event, &link_lookup(links, *default_link), record)
    }

    /// Records a datagram and, unless it is lost, queues one or two copies of it.
    fn queue_datagram(&mut self, now: Duration, from: End, to: End, bytes: &[u8]) {
        let link = self.link_between(from, to);
        let mut add_record = |delivery| {
            self.record.push(Entry { at: now, from, to, bytes: bytes.len(), delivery, stream: false });
        };
        if link.cut || self.in_flight.len() >= MAX_DATAGRAMS_IN_FLIGHT || self.rng.share() < link.loss {
            return add_record(Delivery::Lost);
        }
        add_record(Delivery::Passed);
        let copies = if self.rng.share() < link.doubled { 2 } else { 1 };
        for _ in 0..copies {
            // Each copy has a delay of its own, so that a later datagram may arrive earlier.
            let due_at = now + link.late(&mut self.rng);
            self.sequence += 1;
            self.in_flight.insert((due_at, self.sequence, from, to, bytes.to_vec()));
        }
    }

    /// The time at which [`Ways::tend`] has to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let in_flight = self.in_flight.first().map(|datagram| datagram.0);
        in_flight.into_iter().chain(self.streams.next_due()).min()
    }

    /// Forwards datagrams and stream bytes that are due.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        for (to, bytes) in std::mem::take(&mut self.from_unknown_senders) {
            reactor.send_to(self.proxies[to].connection, self.proxies[to].endpoint_address, &bytes);
        }
        while self.in_flight.first().is_some_and(|datagram| datagram.0 <= now) {
            let Some((_, _, from, to, bytes)) = self.in_flight.pop_first() else { break };
            // Sent from the sender's proxy address, by which the receiver identifies the sender.
            reactor.send_to(self.proxies[from].connection, self.proxies[to].endpoint_address, &bytes);
        }
        let Self { links, default_link, streams, .. } = self;
        streams.forward_due(reactor, now, &link_lookup(links, *default_link));
    }
}

/// Returns a function that looks up the link between two endpoints. Links from or to an unknown endpoint are as the
/// default.
fn link_lookup(
    links: &BTreeMap<(End, End), Way>, default_link: Way,
) -> impl Fn(Option<End>, Option<End>) -> Way + '_ {
    move |from, to| from.zip(to).and_then(|pair| links.get(&pair).copied()).unwrap_or(default_link)
}

#[cfg(test)]
mod tests;
