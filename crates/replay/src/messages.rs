//! The way of messages between controllers: each is reached by the others at an address of this process, which
//! hands its datagrams on, late, or not at all.

use std::collections::{BTreeMap, BTreeSet};
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
    /// Datagrams of members that are no controllers of the day, and for whom.
    from_strangers: Vec<(usize, Vec<u8>)>,
    pub passed: u64,
    pub lost: u64,
    /// Payload bytes that each controller sent, in each tenth of a second.
    sent: BTreeMap<(usize, u128), usize>,
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
        Ok(Self {
            ways,
            coming: BTreeSet::new(),
            cut: false,
            draw: Draw::new(seed),
            from_strangers: Vec::new(),
            passed: 0,
            lost: 0,
            sent: BTreeMap::new(),
        })
    }

    /// Where each controller takes its datagrams itself, and where the others reach it.
    pub fn places(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        (self.ways.iter().map(|way| way.2).collect(), self.ways.iter().map(|way| way.1).collect())
    }

    pub fn take(&mut self, now: Duration, happening: &Happening) -> bool {
        let Happening::Datagram { line, from, bytes } = happening else { return false };
        let to = self.ways.iter().position(|way| way.0 == *line);
        let from = self.ways.iter().position(|way| way.2 == *from);
        let Some(to) = to else { return false };
        let Some(from) = from else {
            // Of a member that is not a controller of the day: as it is, from where it is.
            self.from_strangers.push((to, bytes.clone()));
            return true;
        };
        *self.sent.entry((from, now.as_millis() / 100)).or_default() += bytes.len();
        if self.cut || self.coming.len() >= COMING || self.draw.share() < LOSS {
            self.lost += 1;
            return true;
        }
        let delay = Duration::from_secs_f64(self.draw.between(DELAY.0, DELAY.1));
        self.coming.insert((now + delay, from, to, bytes.clone()));
        true
    }

    /// The most payload bytes that a controller sent in any second, and the mean of all over the time that each sent.
    pub fn worst_second(&self) -> (usize, f64) {
        let second = |(from, tenth): &(usize, u128)| -> usize {
            self.sent.range((*from, *tenth)..(*from, *tenth + 10)).map(|sent| sent.1).sum()
        };
        let all: usize = self.sent.values().sum();
        let seconds =
            self.sent.keys().map(|(from, tenth)| (*from, *tenth / 10)).collect::<BTreeSet<_>>().len();
        (self.sent.keys().map(second).max().unwrap_or(0), all as f64 / seconds.max(1) as f64)
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.coming.first().map(|message| message.0)
    }

    pub fn tend(&mut self, reactor: &Reactor, now: Duration) {
        for (to, bytes) in std::mem::take(&mut self.from_strangers) {
            // A controller answers to the address in the member's record, whatever way this one came.
            reactor.send_to(self.ways[to].0, self.ways[to].2, &bytes);
        }
        while self.coming.first().is_some_and(|message| message.0 <= now) {
            let Some((_, from, to, bytes)) = self.coming.pop_first() else { return };
            // From the address that stands for the sender, so that the receiver knows whom it is from.
            reactor.send_to(self.ways[from].0, self.ways[to].2, &bytes);
            self.passed += 1;
        }
    }
}
