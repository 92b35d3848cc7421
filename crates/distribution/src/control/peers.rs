//! Which control machines are heard.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::token_bucket::TokenBucket;
use crate::MachineId;

/// A machine is taken to be there this long after it was heard. An acceptor answers each machine's requests for a lease
/// some four times in it.
const HEARD_FOR: Duration = Duration::from_secs(3);

/// Requests of a peer that cost a signature, or much to send: a relay's roots of nonces are four a second.
const REQUESTS_PER_SECOND: f64 = 32.0;
const REQUESTS_AT_ONCE: f64 = 128.0;

struct Peer {
    heard_at: Duration,
    /// Requests that cost a signature or much to send.
    requests: TokenBucket,
}

/// Which control machines are heard.
#[derive(Default)]
pub(crate) struct Peers {
    peers: BTreeMap<MachineId, Peer>,
}

impl Peers {
    pub fn heard(&mut self, now: Duration, from: MachineId) {
        let fresh =
            || Peer { heard_at: now, requests: TokenBucket::new(REQUESTS_PER_SECOND, REQUESTS_AT_ONCE, now) };
        self.peers.entry(from).or_insert_with(fresh).heard_at = now;
    }

    pub fn down(&mut self, peer: MachineId) {
        self.peers.remove(&peer);
    }

    /// Whether a peer may ask for something that costs much.
    pub fn may_ask(&mut self, now: Duration, peer: MachineId) -> bool {
        self.peers.get_mut(&peer).is_some_and(|peer| peer.requests.try_spend_one(now))
    }

    pub fn is_heard(&self, now: Duration, peer: MachineId) -> bool {
        self.peers.get(&peer).is_some_and(|peer| now < peer.heard_at + HEARD_FOR)
    }

    /// Those of these machines that are heard, this one among them, in order.
    pub fn heard_of(&self, now: Duration, me: MachineId, machines: &[MachineId]) -> Vec<MachineId> {
        let there = |machine: &MachineId| *machine == me || self.is_heard(now, *machine);
        machines.iter().copied().filter(there).collect()
    }
}
