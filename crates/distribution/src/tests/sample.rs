//! Sample messages for tests, one of each variant.

use badgerledge_revisions::message::{ActivationGrant, Vote};
use badgerledge_revisions::{Ballot, Head};

use super::edits::{entry, put, removal};
use super::signer::{sign_as_author, DigestSigner};
use crate::change::{Change, ChangeId, Rejection, Summary};
use crate::lease::{leaf, Grant, LeaseProof, NonceTree};
use crate::message::{PartitionStatus, PeerMessage, ToRelay, ToWatcher};
use crate::regional::{RegionalGrant, RegionalProof};
use crate::state::Edit;
use crate::{Certified, MachineId, Number, Signed, Signer};

/// The number of acceptors in the ring of the samples.
const ACCEPTORS: MachineId = 7;

pub fn change(author: u16, sequence: u64, base: Number, edits: Vec<Edit>) -> Change {
    Change::sign(author, sequence, base, edits, |bytes| sign_as_author(author, bytes))
}

pub fn summary() -> Summary {
    Summary { root: [1; 32], batch: [2; 32], length: 300 }
}

/// A certificate of revision 12 with this number of votes.
pub fn certificate(votes: MachineId) -> Certified {
    let head = Head::new(12, [3; 32], 0, &summary().text());
    let ballot = Ballot { round: 1, proposer: 0, incarnation: 1 };
    let vote =
        |machine| Vote::sign(&DigestSigner::new(machine, ACCEPTORS), machine, 12, ballot, head.digest());
    let signature = DigestSigner::new(0, ACCEPTORS).sign(&head.signed_bytes());
    Certified {
        signed: Signed { head, signature },
        votes: (0..votes).map(vote).collect(),
        activation_grants: vec![],
    }
}

/// The lease proof of one watcher among the given number of watchers, with the given number of grants.
pub fn lease_proof(watchers: u32, grants: MachineId) -> LeaseProof {
    let nonce = [5; 16];
    let tree = NonceTree::new((0..watchers).map(|watcher| leaf(watcher, &nonce)).collect());
    let grant = |machine| Grant::sign(&DigestSigner::new(machine, ACCEPTORS), machine, tree.root(), 12);
    LeaseProof { nonce, index: 3, path: tree.path(3), grants: (0..grants).map(grant).collect() }
}

/// The regional lease proof of watcher 3 of 8, whose active revision is 12, with grants of these machines.
pub fn regional_proof(machines: &[MachineId]) -> RegionalProof {
    let nonce = [5; 16];
    let tree = NonceTree::new((0..8).map(|watcher| leaf(watcher, &nonce)).collect());
    let grant = |machine: &MachineId| {
        RegionalGrant::sign(&DigestSigner::new(*machine, ACCEPTORS), *machine, tree.root(), 12)
    };
    RegionalProof { nonce, index: 3, path: tree.path(3), grants: machines.iter().map(grant).collect() }
}

pub fn delta(edits: Vec<Edit>) -> ToWatcher {
    ToWatcher::Delta { certificate: certificate(4), summary: summary(), base: 11, base_root: [4; 32], edits }
}

/// One message of each variant that a watcher or a tool sends.
pub fn to_relay() -> Vec<ToRelay> {
    vec![
        ToRelay::Hello { controller: 7399, active: 11, held: 12, root: [1; 32] },
        ToRelay::Prepared { number: 12 },
        ToRelay::Unfit { number: 12, reason: "no such section".to_owned() },
        ToRelay::RequestLease { nonce: [5; 16], active: 12 },
        ToRelay::GetGroups { groups: vec![0, 63] },
        ToRelay::GetBuckets { buckets: vec![0, 4095] },
        ToRelay::Push(change(1, 2, 11, vec![put("a", "1"), removal("b")])),
        ToRelay::GetStatus,
        ToRelay::RequestRegionalLease { nonce: [5; 16], active: 12 },
        ToRelay::GetPartitionStatus,
    ]
}

/// One message of each variant that a relay sends.
pub fn to_watcher() -> Vec<ToWatcher> {
    let go = ActivationGrant::sign(&DigestSigner::new(1, ACCEPTORS), 1, 12, [3; 32]);
    let rejection = Rejection::Conflict { key: "a".to_owned(), base: 11, changed_in: 12 };
    let id = ChangeId { author: 1, sequence: 2 };
    vec![
        ToWatcher::Welcome { relay: 3, number: 12 },
        ToWatcher::Busy { retry_after_ms: 500 },
        delta(vec![put("a", "1"), removal("b")]),
        ToWatcher::Snapshot { certificate: certificate(4), summary: summary(), groups: vec![[6; 32]; 64] },
        ToWatcher::Group { group: 1, buckets: vec![(64, [7; 32]), (127, [8; 32])] },
        ToWatcher::Bucket { bucket: 64, entries: vec![entry("a", b"1")] },
        ToWatcher::Activate { number: 12, activation_grants: vec![go] },
        ToWatcher::Lease(lease_proof(308, 4)),
        ToWatcher::PushOutcome { change: id, outcome: Ok(12) },
        ToWatcher::PushOutcome { change: id, outcome: Err(rejection) },
        ToWatcher::Status(Box::default()),
        ToWatcher::RegionalLease(regional_proof(&[0, 1])),
        ToWatcher::PartitionStatus(Box::new(PartitionStatus {
            waits_ms: vec![(3, 1000)],
            ..PartitionStatus::default()
        })),
    ]
}

/// One message of each variant that control machines send to each other.
pub fn peer_message() -> Vec<PeerMessage> {
    let id = ChangeId { author: 1, sequence: 2 };
    let grant = lease_proof(308, 1).grants[0];
    vec![
        PeerMessage::Agreement(b"rv1".to_vec()),
        PeerMessage::Batch { summary: summary(), bytes: vec![9; 30] },
        PeerMessage::GetBatch { digest: [2; 32] },
        PeerMessage::GetState { held: 11, root: [4; 32] },
        PeerMessage::State(Box::new(ToWatcher::Status(Box::default()))),
        PeerMessage::GetParts { groups: vec![1], buckets: vec![64] },
        PeerMessage::RequestGrant { root: [1; 32] },
        PeerMessage::Grant(grant),
        PeerMessage::Forward { change: change(1, 2, 11, vec![removal("b")]) },
        PeerMessage::Outcome { change: id, outcome: Err(Rejection::Unknown) },
        PeerMessage::RequestRegionalGrant { root: [1; 32] },
        PeerMessage::RegionalGrant(regional_proof(&[0]).grants[0]),
    ]
}
