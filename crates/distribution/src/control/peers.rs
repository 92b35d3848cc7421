//! Which control machines are reachable, and the rate of their requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::token_bucket::TokenBucket;
use crate::MachineId;

/// A machine counts as reachable for this long after its last message. An acceptor answers the lease requests
/// of each machine about four times in this period.
const REACHABLE_FOR: Duration = Duration::from_secs(3);

/// The rate of requests of a peer that cost a signature or a large reply: a relay requests grants for four
/// roots of nonces a second.
const REQUESTS_PER_SECOND: f64 = 32.0;
const REQUEST_BURST: f64 = 128.0;

struct Peer {
    heard_at: Duration,
    /// Limits requests that cost a signature or a large reply.
    requests: TokenBucket,
}

/// The control machines that were heard from.
#[derive(Default)]
pub(crate) struct Peers {
    peers: BTreeMap<MachineId, Peer>,
}

impl Peers {
    pub fn on_message(&mut self, now: Duration, from: MachineId) {
        let new_peer =
            || Peer { heard_at: now, requests: TokenBucket::new(REQUESTS_PER_SECOND, REQUEST_BURST, now) };
        self.peers.entry(from).or_insert_with(new_peer).heard_at = now;
    }

    pub fn on_down(&mut self, peer: MachineId) {
        self.peers.remove(&peer);
    }

    /// Whether a peer may make an expensive request now.
    pub fn try_request(&mut self, now: Duration, peer: MachineId) -> bool {
        self.peers.get_mut(&peer).is_some_and(|peer| peer.requests.try_spend_one(now))
    }

    pub fn is_reachable(&self, now: Duration, peer: MachineId) -> bool {
        self.peers.get(&peer).is_some_and(|peer| now < peer.heard_at + REACHABLE_FOR)
    }

    /// The reachable ones of these machines, in order; this machine counts as reachable.
    pub fn reachable(&self, now: Duration, local_id: MachineId, machines: &[MachineId]) -> Vec<MachineId> {
        let is_reachable = |machine: &MachineId| *machine == local_id || self.is_reachable(now, *machine);
        machines.iter().copied().filter(is_reachable).collect()
    }
}
