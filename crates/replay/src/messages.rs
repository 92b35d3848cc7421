//! The way of messages between controllers, on the rig's network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use badgerledge_reactor::{Reactor, ReactorEvent};
use badgerledge_standins::free_port;
use badgerledge_ways::{Delivery, LinkFaults, TestNetwork};

pub struct Messages {
    pub ways: TestNetwork,
    own: Vec<SocketAddr>,
}

/// Each controller has an address of its own, by which the rig knows whose streams come in.
fn own_ip(number: usize) -> IpAddr {
    IpAddr::from(Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1))
}

impl Messages {
    pub fn new(reactor: &mut Reactor, controllers: usize, seed: u64) -> Result<Self> {
        let mut own = Vec::new();
        for number in 0..controllers {
            own.push(SocketAddr::new(own_ip(number), free_port()?.port()));
        }
        Ok(Self { ways: TestNetwork::new(reactor, &own, LinkFaults::default(), seed)?, own })
    }

    /// Where each controller takes its datagrams itself, and where the others reach it.
    pub fn places(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        (self.own.clone(), (0..self.own.len()).map(|end| self.ways.proxy_address(end)).collect())
    }

    /// Cuts all ways, or heals them.
    pub fn cut(&mut self, cut: bool) {
        let all: Vec<usize> = (0..self.own.len()).collect();
        self.ways.change_links(&all, &all, |way| way.blocked = cut);
    }

    /// Datagrams handed on, and lost.
    pub fn counts(&self) -> (u64, u64) {
        let of = |delivery: Delivery| {
            self.ways.traffic.iter().filter(|e| !e.stream && e.delivery == delivery).count() as u64
        };
        (of(Delivery::Forwarded), of(Delivery::Lost))
    }

    /// The most payload bytes that a controller sent in datagrams in any second, and the mean of all over the time
    /// that each sent.
    pub fn worst_second(&self) -> (usize, f64) {
        let mut tenths: BTreeMap<(usize, u128), usize> = BTreeMap::new();
        for entry in self.ways.traffic.iter().filter(|entry| !entry.stream) {
            *tenths.entry((entry.from, entry.at.as_millis() / 100)).or_default() += entry.bytes;
        }
        let second = |(from, tenth): &(usize, u128)| -> usize {
            tenths.range((*from, *tenth)..(*from, *tenth + 10)).map(|sent| sent.1).sum()
        };
        let all: usize = tenths.values().sum();
        let seconds = tenths.keys().map(|(from, tenth)| (*from, *tenth / 10)).collect::<BTreeSet<_>>().len();
        (tenths.keys().map(second).max().unwrap_or(0), all as f64 / seconds.max(1) as f64)
    }

    pub fn take(&mut self, reactor: &mut Reactor, now: Duration, happening: &ReactorEvent) -> bool {
        self.ways.handle_event(reactor, now, happening)
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.ways.next_poll_at()
    }

    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        self.ways.poll(reactor, now);
    }
}
