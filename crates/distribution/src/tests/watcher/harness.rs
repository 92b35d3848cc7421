//! A harness for one watcher, in which the tests script the relays.

use std::time::Duration;

use super::super::certified::{a_quorum, good_proof, signer, Version};
use super::super::signer::DigestSigner;
use crate::lease::Nonce;
use crate::message::{ToRelay, ToWatcher};
use crate::state::{Edit, State};
use crate::watcher::{HoldReason, StoreRequest, Stored, Watcher, WatcherConfig, WatcherOutput};
use crate::{digest, Number};

pub const CONTROLLER: u32 = 7;
/// The longest time from a decision until its messages are sent.
pub const ACTIVATION_DELAY: Duration = Duration::from_millis(250);

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The state of the program's own file.
pub fn file_state() -> State {
    super::super::edits::titles(50)
}

/// The program of the watcher cannot apply a state with this key.
pub const UNFIT_KEY: &str = "unknown section";

/// A configuration whose nonces are pseudo-random and whose check rejects [`UNFIT_KEY`].
pub fn config(relays: usize) -> WatcherConfig {
    let mut draws = 0u64;
    let nonce = move || -> Nonce {
        draws += 1;
        let random = digest(&draws.to_be_bytes());
        std::array::from_fn(|at| random[at])
    };
    let check = |state: &State, _: Number| match state.get(UNFIT_KEY) {
        Some(_) => Err("a section that this build does not know".to_owned()),
        None => Ok(()),
    };
    let (check, nonce) = (Box::new(check), Box::new(nonce));
    WatcherConfig {
        controller: CONTROLLER,
        relays,
        activation_delay: ACTIVATION_DELAY,
        regional: false,
        check,
        nonce,
    }
}

/// A watcher with its clock and its disk.
pub struct Harness {
    pub watcher: Watcher<DigestSigner>,
    pub now: Duration,
    /// The stored bytes.
    pub disk: Vec<u8>,
    /// The unanswered nonces of lease requests, with the relay.
    pub nonces: Vec<(usize, Nonce)>,
}

type Call<'a> = &'a mut dyn FnMut(&mut Watcher<DigestSigner>, Duration, &mut Vec<WatcherOutput>);

impl Harness {
    pub fn new(relays: usize) -> Self {
        Self::with_disk(relays, Vec::new())
    }

    pub fn with_disk(relays: usize, disk: Vec<u8>) -> Self {
        let now = seconds(1000.0);
        let stored = Stored::read(&disk).ok();
        let watcher = Watcher::new(signer(100), config(relays), file_state(), stored, 1, now);
        Self { watcher, now, disk, nonces: Vec::new() }
    }

    /// A watcher with a lease and an open connection to its first relay, which holds this revision. No
    /// activation is allowed yet.
    pub fn with_serving_relay(relays: usize, number: Number) -> Self {
        let mut harness = Self::new(relays);
        harness.connect_and_welcome(0, number);
        harness.grant(0, 0);
        harness
    }

    /// Calls the watcher, and keeps the bytes that it stores and the nonces of its lease requests.
    pub fn call(&mut self, call: Call<'_>) -> Vec<WatcherOutput> {
        let mut out = Vec::new();
        call(&mut self.watcher, self.now, &mut out);
        for output in &out {
            match output {
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => self.disk = bytes.clone(),
                WatcherOutput::Store(StoreRequest::Append(bytes)) => self.disk.extend_from_slice(bytes),
                WatcherOutput::Send(relay, ToRelay::RequestLease { nonce, .. }) => {
                    self.nonces.push((*relay, *nonce));
                }
                _ => {}
            }
        }
        out
    }

    /// Delivers a message from a relay.
    pub fn receive(&mut self, relay: usize, message: ToWatcher) -> Vec<WatcherOutput> {
        self.call(&mut |watcher, now, out| watcher.on_message(now, relay, message.clone(), out))
    }

    /// Reports that the connection to a relay is open.
    pub fn open(&mut self, relay: usize) -> Vec<WatcherOutput> {
        self.call(&mut |watcher, now, out| watcher.on_connected(now, relay, out))
    }

    /// Reports that the connection to a relay closed.
    pub fn close(&mut self, relay: usize) -> Vec<WatcherOutput> {
        self.call(&mut |watcher, now, out| watcher.on_closed(now, relay, out))
    }

    /// Advances the clock by this duration, and calls the watcher whenever work is due.
    pub fn advance(&mut self, duration: Duration) -> Vec<WatcherOutput> {
        let until = self.now + duration;
        let mut outputs = Vec::new();
        for _ in 0..10_000 {
            let due = self.watcher.next_poll_at();
            if due > until {
                break;
            }
            assert!(due >= self.now || outputs.is_empty(), "due in the past, at {due:?}, now {:?}", self.now);
            self.now = self.now.max(due);
            outputs.extend(self.call(&mut |watcher, now, out| watcher.poll(now, out)));
        }
        assert!(self.watcher.next_poll_at() > until, "the watcher is due again and again");
        self.now = until;
        outputs
    }

    /// Advances the clock until the watcher requests a connection to this relay, while another relay may
    /// answer its lease requests. Returns how long that took, to 50 ms, and all outputs.
    pub fn until_connect(&mut self, relay: usize, granting: Option<usize>) -> (Duration, Vec<WatcherOutput>) {
        let (started_at, step) = (self.now, Duration::from_millis(50));
        let mut outputs = Vec::new();
        while !outputs.contains(&WatcherOutput::Connect(relay)) {
            assert!(self.now < started_at + seconds(200.0), "no connection to relay {relay}");
            outputs.extend(match granting {
                Some(granting) => self.advance_granting(granting, step),
                None => self.advance(step),
            });
        }
        (self.now - started_at, outputs)
    }

    /// Advances the clock until the watcher requests a connection to this relay, opens it and answers the
    /// hello.
    pub fn connect_and_welcome(&mut self, relay: usize, number: Number) -> Vec<WatcherOutput> {
        self.until_connect(relay, None);
        let out = self.open(relay);
        self.receive(relay, ToWatcher::Welcome { relay: relay as u16, number });
        out
    }

    /// Removes and returns the unanswered nonces of lease requests on this connection.
    pub fn take_nonces(&mut self, relay: usize) -> Vec<Nonce> {
        let requests: Vec<(usize, Nonce)> = self.nonces.extract_if(.., |(to, _)| *to == relay).collect();
        requests.into_iter().map(|(_, nonce)| nonce).collect()
    }

    /// Grants all open lease requests on this connection.
    pub fn grant(&mut self, relay: usize, allowed: Number) {
        for nonce in self.take_nonces(relay) {
            self.receive(relay, ToWatcher::Lease(good_proof(CONTROLLER, nonce, allowed)));
        }
    }

    /// Advances the clock while this relay grants all lease requests at once.
    pub fn advance_granting(&mut self, relay: usize, duration: Duration) -> Vec<WatcherOutput> {
        let until = self.now + duration;
        let mut outputs = Vec::new();
        while self.now < until {
            let step = (until - self.now).min(Duration::from_millis(100));
            outputs.extend(self.advance(step));
            let allowed = self.watcher.status(self.now).acting.active;
            self.grant(relay, allowed);
        }
        outputs
    }

    /// Why the watcher withholds decisions that depend on exclusive keys.
    pub fn hold_reason(&self) -> Option<HoldReason> {
        self.watcher.acting(self.now).hold_reason
    }

    /// The active and the prepared revision.
    pub fn numbers(&self) -> (Number, Option<Number>) {
        let acting = self.watcher.acting(self.now);
        (acting.active, acting.prepared)
    }
}

/// A delta to a version.
pub fn delta(version: &Version, base: Number, base_state: &State, edits: &[Edit]) -> ToWatcher {
    ToWatcher::Delta {
        certificate: version.certificate.clone(),
        summary: version.summary,
        base,
        base_root: base_state.root(),
        edits: edits.to_vec(),
    }
}

/// The offer of a snapshot of a version.
pub fn snapshot(version: &Version) -> ToWatcher {
    ToWatcher::Snapshot {
        certificate: version.certificate.clone(),
        summary: version.summary,
        groups: version.state.group_digests(),
    }
}

/// The activation grants of a quorum for a version.
pub fn activate(version: &Version) -> ToWatcher {
    ToWatcher::Activate { number: version.number(), activation_grants: version.activation_grants(a_quorum()) }
}

/// Whether the connection to a relay is closed.
pub fn closes(out: &[WatcherOutput], relay: usize) -> bool {
    out.contains(&WatcherOutput::Close(relay))
}
