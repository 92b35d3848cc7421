//! Collects the nonces of watchers into trees, and the grants of acceptors over their roots.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::control::ConnectionId;
use crate::lease::{leaf, Grant, LeaseProof, Nonce, NonceTree};
use crate::regional::{RegionalGrant, RegionalProof, REQUIRED_VOUCHERS};
use crate::{ControllerId, Digest, MachineId, Number};

/// Acceptors that have not answered are asked again after this time: a round trip between regions, and a
/// margin.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// If acceptors have allowed a later revision than a watcher acts on, the answers of others are waited for
/// this long before the lease is refused.
const REFUSE_AFTER: Duration = Duration::from_millis(750);
/// If no quorum of acceptors answered in this time, other machines are asked to vouch.
const REGIONAL_AFTER: Duration = Duration::from_millis(750);
/// A round is dropped after this time: its watchers have sent new requests by then.
const ROUND_TIMEOUT: Duration = Duration::from_millis(2500);

struct Request {
    connection: ConnectionId,
    nonce: Nonce,
    /// The active revision of the watcher.
    active: Number,
    /// Whether the watcher accepts a regional lease.
    regional: bool,
    answered: bool,
}

struct Round {
    root: Digest,
    tree: NonceTree,
    requests: Vec<Request>,
    grants: BTreeMap<MachineId, Grant>,
    vouchers: BTreeMap<MachineId, RegionalGrant>,
    started_at: Duration,
    request_at: Duration,
    /// When machines are next asked to vouch.
    regional_at: Duration,
}

/// A request that is collected for the next round.
struct CollectedRequest {
    controller: ControllerId,
    nonce: Nonce,
    active: Number,
    regional: bool,
}

/// The requests collected for the next round, and the rounds that wait for grants. The number of rounds is
/// bounded, since each is dropped after [`ROUND_TIMEOUT`].
#[derive(Default)]
pub(crate) struct LeaseRounds {
    collected: BTreeMap<ConnectionId, CollectedRequest>,
    rounds: VecDeque<Round>,
}

impl LeaseRounds {
    /// Collects a watcher's request; it replaces an earlier one that is not in a round yet.
    pub fn collect_request(
        &mut self, connection: ConnectionId, controller: ControllerId, (nonce, active): (Nonce, Number),
    ) {
        self.collected.insert(connection, CollectedRequest { controller, nonce, active, regional: false });
    }

    /// The watcher that last sent a request on this connection also accepts a regional lease.
    pub fn accept_regional(&mut self, connection: ConnectionId) {
        if let Some(collected) = self.collected.get_mut(&connection) {
            collected.regional = true;
        }
    }

    pub fn remove(&mut self, connection: ConnectionId) {
        self.collected.remove(&connection);
    }

    pub fn is_busy(&self) -> bool {
        !self.collected.is_empty() || !self.rounds.is_empty()
    }

    /// Begins a round with the collected requests. Returns the roots to request grants for, each with the
    /// acceptors that have granted.
    pub fn poll(&mut self, now: Duration) -> Vec<(Digest, Vec<MachineId>)> {
        self.rounds.retain(|round| now < round.started_at + ROUND_TIMEOUT);
        if !self.collected.is_empty() {
            self.begin(now);
        }
        let mut requests = Vec::new();
        for round in self.rounds.iter_mut().filter(|round| now >= round.request_at) {
            round.request_at = now + REQUEST_RETRY_INTERVAL;
            requests.push((round.root, round.grants.keys().copied().collect()));
        }
        requests
    }

    fn begin(&mut self, now: Duration) {
        let collected = std::mem::take(&mut self.collected);
        let leaves = collected.values().map(|request| leaf(request.controller, &request.nonce)).collect();
        let tree = NonceTree::new(leaves);
        let request = |(connection, collected): (ConnectionId, CollectedRequest)| {
            let CollectedRequest { nonce, active, regional, .. } = collected;
            Request { connection, nonce, active, regional, answered: false }
        };
        let requests = collected.into_iter().map(request).collect();
        let grants = BTreeMap::new();
        self.rounds.push_back(Round {
            root: tree.root(),
            tree,
            requests,
            grants,
            vouchers: BTreeMap::new(),
            started_at: now,
            request_at: now,
            regional_at: now + REGIONAL_AFTER,
        });
    }

    /// Whether a round waits for this grant.
    pub fn awaits(&self, grant: &Grant) -> bool {
        let is_waiting =
            |round: &Round| round.root == grant.root && !round.grants.contains_key(&grant.acceptor);
        self.rounds.iter().any(is_waiting)
    }

    /// Adds an acceptor's grant, which the caller has verified. Returns the proofs that it completes: those
    /// with a quorum of grants for the watcher's active revision.
    pub fn on_grant(&mut self, grant: Grant, quorum: usize) -> Vec<(ConnectionId, LeaseProof)> {
        let Some(index) = self.rounds.iter().position(|round| round.root == grant.root) else {
            return Vec::new();
        };
        let round = &mut self.rounds[index];
        round.grants.insert(grant.acceptor, grant);
        let proofs = round.proofs(|grants, active| {
            let eligible = grants.values().filter(|grant| grant.allowed <= active);
            let eligible: Vec<Grant> = eligible.take(quorum).copied().collect();
            (eligible.len() >= quorum).then_some(eligible)
        });
        if round.requests.iter().all(|request| request.answered) {
            self.rounds.remove(index);
        }
        proofs
    }

    /// The roots for which machines must be asked to vouch now, each with those that did. These are the roots
    /// of rounds that no quorum of acceptors answered.
    pub fn regional_requests(&mut self, now: Duration, quorum: usize) -> Vec<(Digest, Vec<MachineId>)> {
        let mut requests = Vec::new();
        for round in self
            .rounds
            .iter_mut()
            .filter(|round| round.needs_regional_grants(quorum) && now >= round.regional_at)
        {
            round.regional_at = now + REQUEST_RETRY_INTERVAL;
            requests.push((round.root, round.vouchers.keys().copied().collect()));
        }
        requests
    }

    /// Whether a round waits for this regional grant.
    pub fn awaits_regional(&self, grant: &RegionalGrant) -> bool {
        let is_waiting =
            |round: &Round| round.root == grant.root && !round.vouchers.contains_key(&grant.machine);
        self.rounds.iter().any(is_waiting)
    }

    /// Adds a machine's regional grant, which the caller has verified. Returns the proofs that it completes.
    pub fn on_regional_grant(&mut self, grant: RegionalGrant) -> Vec<(ConnectionId, RegionalProof)> {
        let Some(round) = self.rounds.iter_mut().find(|round| round.root == grant.root) else {
            return Vec::new();
        };
        round.vouchers.insert(grant.machine, grant);
        round.regional_proofs()
    }

    /// Proofs for watchers that were refused a lease for their active revision. The grants show them that the
    /// activation of a later revision was allowed.
    pub fn refusals(&mut self, now: Duration, quorum: usize) -> Vec<(ConnectionId, LeaseProof)> {
        let overdue = self.rounds.iter_mut().filter(|round| now >= round.started_at + REFUSE_AFTER);
        let enough = overdue.filter(|round| round.grants.len() >= quorum);
        enough.flat_map(|round| round.proofs(|grants, _| Some(grants.values().copied().collect()))).collect()
    }
}

impl Round {
    /// Whether a request that accepts a regional lease is unanswered, and no quorum of acceptors answered.
    fn needs_regional_grants(&self, quorum: usize) -> bool {
        let is_waiting = |request: &Request| request.regional && !request.answered;
        self.grants.len() < quorum && self.requests.iter().any(is_waiting)
    }

    fn regional_proofs(&mut self) -> Vec<(ConnectionId, RegionalProof)> {
        let mut proofs = Vec::new();
        let is_waiting = |(_, request): &(usize, &mut Request)| request.regional && !request.answered;
        for (index, request) in self.requests.iter_mut().enumerate().filter(is_waiting) {
            let eligible = self.vouchers.values().filter(|grant| grant.allowed <= request.active);
            let grants: Vec<RegionalGrant> = eligible.take(REQUIRED_VOUCHERS).copied().collect();
            if grants.len() < REQUIRED_VOUCHERS {
                continue;
            }
            request.answered = true;
            let path = self.tree.path(index);
            let proof = RegionalProof { nonce: request.nonce, index: index as u32, path, grants };
            proofs.push((request.connection, proof));
        }
        proofs
    }

    /// Proofs for the unanswered requests, with the grants that `choose` selects for each active revision.
    fn proofs(
        &mut self, choose: impl Fn(&BTreeMap<MachineId, Grant>, Number) -> Option<Vec<Grant>>,
    ) -> Vec<(ConnectionId, LeaseProof)> {
        let mut proofs = Vec::new();
        for (index, request) in self.requests.iter_mut().enumerate().filter(|(_, request)| !request.answered)
        {
            let Some(grants) = choose(&self.grants, request.active) else { continue };
            request.answered = true;
            let path = self.tree.path(index);
            let proof = LeaseProof { nonce: request.nonce, index: index as u32, path, grants };
            proofs.push((request.connection, proof));
        }
        proofs
    }
}
