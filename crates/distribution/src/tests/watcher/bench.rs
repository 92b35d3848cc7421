//! One watcher whose relays are played by hand.

use std::time::Duration;

use super::super::certified::{a_quorum, good_proof, hand, Version};
use super::super::hand::DigestHand;
use crate::lease::Nonce;
use crate::message::{ToRelay, ToWatcher};
use crate::state::{Edit, State};
use crate::watcher::{HoldReason, StoreRequest, Stored, Watcher, WatcherConfig, WatcherOutput};
use crate::{digest, Number};

pub const CONTROLLER: u32 = 7;
pub const LATE: Duration = Duration::from_millis(250);

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The state of the program's own file.
pub fn own_state() -> State {
    super::super::edits::titles(50)
}

/// A state with this key can't be acted on.
pub const UNFIT_KEY: &str = "unknown section";

pub fn config(relays: usize) -> WatcherConfig {
    let mut drawn = 0u64;
    let nonce = move || -> Nonce {
        drawn += 1;
        let random = digest(&drawn.to_be_bytes());
        std::array::from_fn(|at| random[at])
    };
    let check = |state: &State, _: Number| match state.get(UNFIT_KEY) {
        Some(_) => Err("a section that this build does not know".to_owned()),
        None => Ok(()),
    };
    let (check, nonce) = (Box::new(check), Box::new(nonce));
    WatcherConfig { controller: CONTROLLER, relays, late: LATE, regional: false, check, nonce }
}

pub struct Bench {
    pub watcher: Watcher<DigestHand>,
    pub now: Duration,
    /// All that it stored.
    pub disk: Vec<u8>,
    /// The nonces that it asked with and that are not answered, with the relay.
    pub nonces: Vec<(usize, Nonce)>,
}

type Call<'a> = &'a mut dyn FnMut(&mut Watcher<DigestHand>, Duration, &mut Vec<WatcherOutput>);

impl Bench {
    pub fn new(relays: usize) -> Self {
        Self::with_disk(relays, Vec::new())
    }

    pub fn with_disk(relays: usize, disk: Vec<u8>) -> Self {
        let now = seconds(1000.0);
        let stored = Stored::read(&disk).ok();
        let watcher = Watcher::new(hand(100), config(relays), own_state(), stored, 1, now);
        Self { watcher, now, disk, nonces: Vec::new() }
    }

    /// A watcher with an open connection to its first relay, which holds this revision, and with a lease: none is allowed
    /// to be acted on yet.
    pub fn served(relays: usize, number: Number) -> Self {
        let mut bench = Self::new(relays);
        bench.connect(0, number);
        bench.grant(0, 0);
        bench
    }

    pub fn call(&mut self, call: Call<'_>) -> Vec<WatcherOutput> {
        let mut out = Vec::new();
        call(&mut self.watcher, self.now, &mut out);
        for output in &out {
            match output {
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => self.disk = bytes.clone(),
                WatcherOutput::Store(StoreRequest::Append(bytes)) => self.disk.extend_from_slice(bytes),
                WatcherOutput::Send(relay, ToRelay::AskLease { nonce, .. }) => {
                    self.nonces.push((*relay, *nonce));
                }
                _ => {}
            }
        }
        out
    }

    pub fn hear(&mut self, relay: usize, message: ToWatcher) -> Vec<WatcherOutput> {
        self.call(&mut |watcher, now, out| watcher.heard(now, relay, message.clone(), out))
    }

    pub fn open(&mut self, relay: usize) -> Vec<WatcherOutput> {
        self.call(&mut |watcher, now, out| watcher.opened(now, relay, out))
    }

    pub fn close(&mut self, relay: usize) -> Vec<WatcherOutput> {
        self.call(&mut |watcher, now, out| watcher.closed(now, relay, out))
    }

    /// Lets this time go by, and does what becomes due in it.
    pub fn pass(&mut self, span: Duration) -> Vec<WatcherOutput> {
        let until = self.now + span;
        let mut all = Vec::new();
        for _ in 0..10_000 {
            let due = self.watcher.next_due();
            if due > until {
                break;
            }
            assert!(due >= self.now || all.is_empty(), "due in the past, at {due:?}, now {:?}", self.now);
            self.now = self.now.max(due);
            all.extend(self.call(&mut |watcher, now, out| watcher.tend(now, out)));
        }
        assert!(self.watcher.next_due() > until, "it is due again and again");
        self.now = until;
        all
    }

    /// Lets time go by until the watcher wants a connection to this relay, while another one may serve it. Tells how
    /// long that took, to 50 ms, and all that it did.
    pub fn until_connect(&mut self, relay: usize, server: Option<usize>) -> (Duration, Vec<WatcherOutput>) {
        let (begun, step) = (self.now, Duration::from_millis(50));
        let mut all = Vec::new();
        while !all.contains(&WatcherOutput::Connect(relay)) {
            assert!(self.now < begun + seconds(200.0), "no connection to relay {relay}");
            all.extend(match server {
                Some(server) => self.pass_served(server, step),
                None => self.pass(step),
            });
        }
        (self.now - begun, all)
    }

    /// Lets time go by until the watcher wants a connection to this relay, and opens it.
    pub fn connect(&mut self, relay: usize, number: Number) -> Vec<WatcherOutput> {
        self.until_connect(relay, None);
        let out = self.open(relay);
        self.hear(relay, ToWatcher::Welcome { relay: relay as u16, number });
        out
    }

    /// The nonces that were asked with on this connection and not answered.
    pub fn take_nonces(&mut self, relay: usize) -> Vec<Nonce> {
        let asked: Vec<(usize, Nonce)> = self.nonces.extract_if(.., |(to, _)| *to == relay).collect();
        asked.into_iter().map(|(_, nonce)| nonce).collect()
    }

    /// Answers all requests for leases on this connection.
    pub fn grant(&mut self, relay: usize, allowed: Number) {
        for nonce in self.take_nonces(relay) {
            self.hear(relay, ToWatcher::Lease(good_proof(CONTROLLER, nonce, allowed)));
        }
    }

    /// Lets time go by in which this relay answers all requests for leases at once.
    pub fn pass_served(&mut self, relay: usize, span: Duration) -> Vec<WatcherOutput> {
        let until = self.now + span;
        let mut all = Vec::new();
        while self.now < until {
            let step = (until - self.now).min(Duration::from_millis(100));
            all.extend(self.pass(step));
            let allowed = self.watcher.status(self.now).acting.active;
            self.grant(relay, allowed);
        }
        all
    }

    pub fn held(&self) -> Option<HoldReason> {
        self.watcher.acting(self.now).held
    }

    /// What is acted on, and what is prepared.
    pub fn numbers(&self) -> (Number, Option<Number>) {
        let acting = self.watcher.acting(self.now);
        (acting.active, acting.prepared)
    }
}

pub fn delta(version: &Version, base: Number, base_state: &State, edits: &[Edit]) -> ToWatcher {
    ToWatcher::Delta {
        certificate: version.certificate.clone(),
        summary: version.summary,
        base,
        base_root: base_state.root(),
        edits: edits.to_vec(),
    }
}

pub fn snapshot(version: &Version) -> ToWatcher {
    ToWatcher::Snapshot {
        certificate: version.certificate.clone(),
        summary: version.summary,
        groups: version.state.group_digests(),
    }
}

pub fn activate(version: &Version) -> ToWatcher {
    ToWatcher::Activate { number: version.number(), goes: version.goes(a_quorum()) }
}

/// Whether a relay was left.
pub fn closes(out: &[WatcherOutput], relay: usize) -> bool {
    out.contains(&WatcherOutput::Close(relay))
}
