//! The way of messages between controllers: each is reached by the others at an address of this process, which
//! hands its datagrams on, late, or not at all.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use badgerledge_reactor::{Happening, Line, Reactor};
use badgerledge_standins::free_port;

use crate::plan::Draw;

pub struct Messages {
    /// For each controller, the line that stands for it before the others, and its own address.
    ways: Vec<(Line, SocketAddr, SocketAddr)>,
    coming: BTreeSet<(Duration, usize, usize, Vec<u8>)>,
    pub cut: bool,
    draw: Draw,
    pub passed: u64,
    pub lost: u64,
}

/// Messages on their way at a time; more are lost.
const COMING: usize = 4096;
/// What part is lost on an ordinary day, and how long the others take.
const LOSS: f64 = 0.02;
const DELAY: (f64, f64) = (0.001, 0.02);

impl Messages {
    pub fn new(reactor: &mut Reactor, controllers: usize, seed: u64) -> Result<Self> {
        let mut ways = Vec::new();
        for _ in 0..controllers {
            let (line, at) = reactor.datagrams(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            ways.push((line, at, free_port()?));
        }
        Ok(Self { ways, coming: BTreeSet::new(), cut: false, draw: Draw::new(seed), passed: 0, lost: 0 })
    }

    /// Where each controller takes its datagrams itself, and where the others reach it.
    pub fn places(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        (self.ways.iter().map(|way| way.2).collect(), self.ways.iter().map(|way| way.1).collect())
    }

    pub fn take(&mut self, now: Duration, happening: &Happening) -> bool {
        let Happening::Datagram { line, from, bytes } = happening else { return false };
        let to = self.ways.iter().position(|way| way.0 == *line);
        let from = self.ways.iter().position(|way| way.2 == *from);
        let (Some(to), Some(from)) = (to, from) else { return to.is_some() };
        if self.cut || self.coming.len() >= COMING || self.draw.share() < LOSS {
            self.lost += 1;
            return true;
        }
        let delay = Duration::from_secs_f64(self.draw.between(DELAY.0, DELAY.1));
        self.coming.insert((now + delay, from, to, bytes.clone()));
        true
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.coming.first().map(|message| message.0)
    }

    pub fn tend(&mut self, reactor: &Reactor, now: Duration) {
        while self.coming.first().is_some_and(|message| message.0 <= now) {
            let Some((_, from, to, bytes)) = self.coming.pop_first() else { return };
            // From the address that stands for the sender, so that the receiver knows whom it is from.
            reactor.send_to(self.ways[from].0, self.ways[to].2, &bytes);
            self.passed += 1;
        }
    }
}
