//! Gathers watchers' nonces into trees, and acceptors' grants over their roots.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::control::ConnectionId;
use crate::lease::{leaf, Grant, LeaseProof, Nonce, NonceTree};
use crate::regional::{RegionalGrant, RegionalProof, VOUCHERS};
use crate::{ControllerId, Digest, MachineId, Number};

/// Acceptors that have not answered are asked again after this: a round trip between regions, and some more.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Acceptors that have allowed a later revision than a watcher acts on are waited out by this much for others.
const REFUSE_AFTER: Duration = Duration::from_millis(750);
/// Where no quorum of acceptors answered in this time, other machines are asked to vouch.
const REGIONAL_AFTER: Duration = Duration::from_millis(750);
/// A round is given up after this: its watchers have asked anew.
const GIVE_UP: Duration = Duration::from_millis(2500);

struct Request {
    connection: ConnectionId,
    nonce: Nonce,
    /// The revision that the watcher acts on.
    active: Number,
    /// It takes a regional lease.
    regional: bool,
    answered: bool,
}

struct Round {
    root: Digest,
    tree: NonceTree,
    requests: Vec<Request>,
    grants: BTreeMap<MachineId, Grant>,
    vouchers: BTreeMap<MachineId, RegionalGrant>,
    begun_at: Duration,
    ask_at: Duration,
    /// When machines are asked to vouch next.
    regional_at: Duration,
}

/// A request that waits for the next round.
struct Gathered {
    controller: ControllerId,
    nonce: Nonce,
    active: Number,
    regional: bool,
}

/// Nonces that are gathered, and rounds that wait for grants: as many as begin until the first is given up.
#[derive(Default)]
pub(crate) struct LeaseRounds {
    gathered: BTreeMap<ConnectionId, Gathered>,
    rounds: VecDeque<Round>,
}

impl LeaseRounds {
    /// A watcher's request; it takes the place of an earlier one that is not under way.
    pub fn gather(
        &mut self, connection: ConnectionId, controller: ControllerId, (nonce, active): (Nonce, Number),
    ) {
        self.gathered.insert(connection, Gathered { controller, nonce, active, regional: false });
    }

    /// The watcher that asked last on this connection takes a regional lease as well.
    pub fn takes_regional(&mut self, connection: ConnectionId) {
        if let Some(gathered) = self.gathered.get_mut(&connection) {
            gathered.regional = true;
        }
    }

    pub fn forget(&mut self, connection: ConnectionId) {
        self.gathered.remove(&connection);
    }

    pub fn is_busy(&self) -> bool {
        !self.gathered.is_empty() || !self.rounds.is_empty()
    }

    /// Begins a round with what was gathered. Gives the roots that acceptors are to be asked for, with those that have
    /// granted.
    pub fn tend(&mut self, now: Duration) -> Vec<(Digest, Vec<MachineId>)> {
        self.rounds.retain(|round| now < round.begun_at + GIVE_UP);
        if !self.gathered.is_empty() {
            self.begin(now);
        }
        let mut asks = Vec::new();
        for round in self.rounds.iter_mut().filter(|round| now >= round.ask_at) {
            round.ask_at = now + ASK_AGAIN;
            asks.push((round.root, round.grants.keys().copied().collect()));
        }
        asks
    }

    fn begin(&mut self, now: Duration) {
        let gathered = std::mem::take(&mut self.gathered);
        let leaves = gathered.values().map(|asked| leaf(asked.controller, &asked.nonce)).collect();
        let tree = NonceTree::new(leaves);
        let request = |(connection, asked): (ConnectionId, Gathered)| {
            let Gathered { nonce, active, regional, .. } = asked;
            Request { connection, nonce, active, regional, answered: false }
        };
        let requests = gathered.into_iter().map(request).collect();
        let grants = BTreeMap::new();
        self.rounds.push_back(Round {
            root: tree.root(),
            tree,
            requests,
            grants,
            vouchers: BTreeMap::new(),
            begun_at: now,
            ask_at: now,
            regional_at: now + REGIONAL_AFTER,
        });
    }

    /// Whether a round waits for this grant.
    pub fn awaits(&self, grant: &Grant) -> bool {
        let waits = |round: &Round| round.root == grant.root && !round.grants.contains_key(&grant.acceptor);
        self.rounds.iter().any(waits)
    }

    /// An acceptor's grant, which was checked. Gives the proofs that it completes: a quorum for what the watcher acts on.
    pub fn granted(&mut self, grant: Grant, quorum: usize) -> Vec<(ConnectionId, LeaseProof)> {
        let Some(at) = self.rounds.iter().position(|round| round.root == grant.root) else {
            return Vec::new();
        };
        let round = &mut self.rounds[at];
        round.grants.insert(grant.acceptor, grant);
        let proofs = round.proofs(|grants, active| {
            let fits = grants.values().filter(|grant| grant.allowed <= active);
            let fits: Vec<Grant> = fits.take(quorum).copied().collect();
            (fits.len() >= quorum).then_some(fits)
        });
        if round.requests.iter().all(|request| request.answered) {
            self.rounds.remove(at);
        }
        proofs
    }

    /// Roots over which machines are to be asked to vouch now, with those that did: of rounds that no quorum of acceptors
    /// answered.
    pub fn regional_asks(&mut self, now: Duration, quorum: usize) -> Vec<(Digest, Vec<MachineId>)> {
        let mut asks = Vec::new();
        for round in self.rounds.iter_mut().filter(|round| round.lacks(quorum) && now >= round.regional_at) {
            round.regional_at = now + ASK_AGAIN;
            asks.push((round.root, round.vouchers.keys().copied().collect()));
        }
        asks
    }

    /// Whether a round waits for this regional grant.
    pub fn awaits_regional(&self, grant: &RegionalGrant) -> bool {
        let waits = |round: &Round| round.root == grant.root && !round.vouchers.contains_key(&grant.machine);
        self.rounds.iter().any(waits)
    }

    /// A machine's regional grant, which was checked. Gives the proofs that it completes.
    pub fn vouched(&mut self, grant: RegionalGrant) -> Vec<(ConnectionId, RegionalProof)> {
        let Some(round) = self.rounds.iter_mut().find(|round| round.root == grant.root) else {
            return Vec::new();
        };
        round.vouchers.insert(grant.machine, grant);
        round.regional_proofs()
    }

    /// Answers to watchers that were not granted a lease for what they act on: they learn that others act on a later one.
    pub fn refused(&mut self, now: Duration, quorum: usize) -> Vec<(ConnectionId, LeaseProof)> {
        let late = self.rounds.iter_mut().filter(|round| now >= round.begun_at + REFUSE_AFTER);
        let enough = late.filter(|round| round.grants.len() >= quorum);
        enough.flat_map(|round| round.proofs(|grants, _| Some(grants.values().copied().collect()))).collect()
    }
}

impl Round {
    /// Whether somebody who takes a regional lease waits, and no quorum of acceptors answered.
    fn lacks(&self, quorum: usize) -> bool {
        let waits = |request: &Request| request.regional && !request.answered;
        self.grants.len() < quorum && self.requests.iter().any(waits)
    }

    fn regional_proofs(&mut self) -> Vec<(ConnectionId, RegionalProof)> {
        let mut proofs = Vec::new();
        let waits = |(_, request): &(usize, &mut Request)| request.regional && !request.answered;
        for (index, request) in self.requests.iter_mut().enumerate().filter(waits) {
            let fits = self.vouchers.values().filter(|grant| grant.allowed <= request.active);
            let grants: Vec<RegionalGrant> = fits.take(VOUCHERS).copied().collect();
            if grants.len() < VOUCHERS {
                continue;
            }
            request.answered = true;
            let path = self.tree.path(index);
            let proof = RegionalProof { nonce: request.nonce, index: index as u32, path, grants };
            proofs.push((request.connection, proof));
        }
        proofs
    }

    /// Proofs with grants that are chosen by what a watcher acts on, for those that have none yet.
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
