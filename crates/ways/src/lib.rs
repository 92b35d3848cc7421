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

pub use crate::link_faults::{LinkFaults, SeededRng};
use crate::streams::StreamProxy;

/// Index of an endpoint.
pub type EndpointId = usize;

/// Whether a datagram, or some bytes of a stream, were forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Forwarded,
    Lost,
}

/// A datagram or some bytes of a stream that arrived at the test network.
#[derive(Clone, Copy, Debug)]
pub struct TrafficRecord {
    pub at: Duration,
    pub from: EndpointId,
    pub to: EndpointId,
    pub bytes: usize,
    pub delivery: Delivery,
    pub stream: bool,
}

/// The largest number of datagrams in flight; more are dropped, as in a congested network.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 16 * 1024;

struct EndpointProxy {
    /// The datagram socket at `proxy_address`.
    connection: SocketId,
    /// Where the other endpoints reach this endpoint.
    proxy_address: SocketAddr,
    /// Where this endpoint itself listens.
    endpoint_address: SocketAddr,
}

/// The test network, with the state of each directed link between its endpoints.
pub struct TestNetwork {
    proxies: Vec<EndpointProxy>,
    /// Links that differ from `default_link`, by sender and receiver.
    links: BTreeMap<(EndpointId, EndpointId), LinkFaults>,
    default_link: LinkFaults,
    /// Datagrams to be forwarded: due time, sequence number, sender, receiver, contents.
    in_flight: BTreeSet<(Duration, u64, EndpointId, EndpointId, Vec<u8>)>,
    sequence: u64,
    streams: StreamProxy,
    rng: SeededRng,
    /// All traffic so far.
    pub traffic: Vec<TrafficRecord>,
    /// Receiver and contents of datagrams from unknown senders.
    from_unknown_senders: Vec<(EndpointId, Vec<u8>)>,
}

impl TestNetwork {
    /// Creates proxies for the endpoints that listen at these addresses. Links are as `default_link` until changed.
    ///
    /// # Errors
    /// Where no proxy address can be bound.
    pub fn new(
        reactor: &mut Reactor, endpoint_addresses: &[SocketAddr], default_link: LinkFaults, seed: u64,
    ) -> std::io::Result<Self> {
        let (mut proxies, mut streams) = (Vec::new(), StreamProxy::default());
        for (endpoint, endpoint_address) in endpoint_addresses.iter().enumerate() {
            // Binds the TCP port first, and tries another one where the same UDP port is in use: the kernel allocates TCP
            // and UDP ports independently.
            let (connection, proxy_address) = loop {
                let (listener, address) = streams.listen(reactor, endpoint)?;
                match reactor.bind_datagrams(address) {
                    Ok(bound) => break bound,
                    Err(_) => reactor.close(listener),
                }
            };
            proxies.push(EndpointProxy { connection, proxy_address, endpoint_address: *endpoint_address });
        }
        let (links, in_flight, traffic) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let rng = SeededRng::new(seed);
        Ok(Self {
            proxies,
            links,
            default_link,
            in_flight,
            sequence: 0,
            streams,
            rng,
            traffic,
            from_unknown_senders: Vec::new(),
        })
    }

    /// The address at which the other endpoints reach an endpoint.
    pub fn proxy_address(&self, endpoint: EndpointId) -> SocketAddr {
        self.proxies[endpoint].proxy_address
    }

    /// The number of endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.proxies.len()
    }

    /// The link from one endpoint to another, to be changed.
    pub fn link(&mut self, from: EndpointId, to: EndpointId) -> &mut LinkFaults {
        let default_link = self.default_link;
        self.links.entry((from, to)).or_insert(default_link)
    }

    /// Changes all links from some endpoints to others.
    pub fn change_links(&mut self, from: &[EndpointId], to: &[EndpointId], change: impl Fn(&mut LinkFaults)) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b) {
            change(self.link(a, b));
        }
    }

    /// Resets all links to the default.
    pub fn reset_links(&mut self) {
        self.links.clear();
    }

    fn link_between(&self, from: EndpointId, to: EndpointId) -> LinkFaults {
        self.links.get(&(from, to)).copied().unwrap_or(self.default_link)
    }

    fn endpoint_with_ip(&self, ip: IpAddr) -> Option<EndpointId> {
        let mut matches =
            self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.endpoint_address.ip() == ip);
        let first = matches.next().map(|(endpoint, _)| endpoint);
        // An IP address of several endpoints does not identify the sender.
        first.filter(|_| matches.next().is_none())
    }

    /// Handles an event of the reactor. Returns whether it concerned this network.
    pub fn handle_event(&mut self, reactor: &mut Reactor, now: Duration, event: &ReactorEvent) -> bool {
        if let ReactorEvent::Datagram { socket: connection, from, bytes } = event {
            let Some(to) = self.proxies.iter().position(|proxy| proxy.connection == *connection) else {
                return false;
            };
            match self.proxies.iter().position(|proxy| proxy.endpoint_address == *from) {
                Some(from) => self.queue_datagram(now, from, to, bytes),
                None => self.from_unknown_senders.push((to, bytes.clone())),
            }
            return true;
        }
        if let ReactorEvent::Accepted { connection, listener, from } = event {
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
        let Self { links, default_link, streams, traffic, .. } = self;
        streams.handle_event(reactor, now, event, &link_lookup(links, *default_link), traffic)
    }

    /// Records a datagram and, unless it is lost, queues one or two copies of it.
    fn queue_datagram(&mut self, now: Duration, from: EndpointId, to: EndpointId, bytes: &[u8]) {
        let link = self.link_between(from, to);
        let mut add_record = |delivery| {
            self.traffic.push(TrafficRecord {
                at: now,
                from,
                to,
                bytes: bytes.len(),
                delivery,
                stream: false,
            });
        };
        if link.blocked
            || self.in_flight.len() >= MAX_DATAGRAMS_IN_FLIGHT
            || self.rng.unit_interval() < link.loss_probability
        {
            return add_record(Delivery::Lost);
        }
        add_record(Delivery::Forwarded);
        let copies = if self.rng.unit_interval() < link.duplicate_probability { 2 } else { 1 };
        for _ in 0..copies {
            // Each copy has a delay of its own, so that a later datagram may arrive earlier.
            let due_at = now + link.random_delay(&mut self.rng);
            self.sequence += 1;
            self.in_flight.insert((due_at, self.sequence, from, to, bytes.to_vec()));
        }
    }

    /// The time at which [`TestNetwork::poll`] has to be called next.
    pub fn next_poll_at(&self) -> Option<Duration> {
        let in_flight = self.in_flight.first().map(|datagram| datagram.0);
        in_flight.into_iter().chain(self.streams.next_poll_at()).min()
    }

    /// Forwards datagrams and stream bytes that are due.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration) {
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
    links: &BTreeMap<(EndpointId, EndpointId), LinkFaults>, default_link: LinkFaults,
) -> impl Fn(Option<EndpointId>, Option<EndpointId>) -> LinkFaults + '_ {
    move |from, to| from.zip(to).and_then(|pair| links.get(&pair).copied()).unwrap_or(default_link)
}

#[cfg(test)]
mod tests;
