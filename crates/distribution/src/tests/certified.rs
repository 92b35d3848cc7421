//! Certified revisions, activation grants and leases for tests, as acceptors sign them.

use badgerledge_revisions::message::{ActivationGrant, Vote};
use badgerledge_revisions::{Ballot, Head};

use super::signer::DigestSigner;
use crate::change::Summary;
use crate::lease::{leaf, Grant, LeaseProof, Nonce, NonceTree};
use crate::state::{Edit, State};
use crate::{digest, quorum, Certified, ControllerId, MachineId, Number, Signed, Signer};

/// The number of acceptors in the ring.
pub const ACCEPTORS: MachineId = 5;

pub fn signer(acceptor: MachineId) -> DigestSigner {
    DigestSigner::new(acceptor, ACCEPTORS)
}

/// The acceptors of a quorum.
pub fn a_quorum() -> std::ops::Range<MachineId> {
    0..quorum(usize::from(ACCEPTORS)) as MachineId
}

/// A certified revision with its state.
#[derive(Clone)]
pub struct Version {
    pub certificate: Certified,
    pub summary: Summary,
    pub state: State,
}

/// Revision `number` with this state; `variant` distinguishes two revisions with the same number.
pub fn version_of(number: Number, state: State, variant: u8) -> Version {
    let summary = Summary { root: state.root(), batch: digest(&[variant]), length: 1 };
    let head = Head::new(number, [variant; 32], 0, &summary.text());
    let ballot = Ballot { round: 1, proposer: 0, incarnation: 1 };
    let vote = |acceptor| Vote::sign(&signer(acceptor), acceptor, number, ballot, head.digest());
    let signed = Signed { head, signature: signer(0).sign(&head.signed_bytes()) };
    let certificate = Certified { signed, votes: a_quorum().map(vote).collect(), activation_grants: vec![] };
    Version { certificate, summary, state }
}

pub fn version(number: Number, state: State) -> Version {
    version_of(number, state, 0)
}

/// Revision `number`, with the state after these edits.
pub fn edited(number: Number, before: &State, edits: &[Edit]) -> Version {
    let mut state = before.clone();
    state.apply(edits).unwrap();
    version(number, state)
}

impl Version {
    pub fn number(&self) -> Number {
        self.certificate.number()
    }

    /// The activation grants of these acceptors.
    pub fn activation_grants(&self, acceptors: impl Iterator<Item = MachineId>) -> Vec<ActivationGrant> {
        let (number, digest) = (self.number(), self.certificate.digest());
        acceptors.map(|acceptor| ActivationGrant::sign(&signer(acceptor), acceptor, number, digest)).collect()
    }
}

/// A lease proof for the request at `index`, with grants of acceptors and the revision that each had allowed.
pub fn proof(requests: &[(ControllerId, Nonce)], index: usize, grants: &[(MachineId, Number)]) -> LeaseProof {
    let tree = NonceTree::new(requests.iter().map(|(controller, nonce)| leaf(*controller, nonce)).collect());
    let grant = |&(acceptor, allowed)| Grant::sign(&signer(acceptor), acceptor, tree.root(), allowed);
    let grants = grants.iter().map(grant).collect();
    LeaseProof { nonce: requests[index].1, index: index as u32, path: tree.path(index), grants }
}

/// A valid lease proof from a quorum whose acceptors have all allowed the same revision.
pub fn good_proof(controller: ControllerId, nonce: Nonce, allowed: Number) -> LeaseProof {
    let grants: Vec<(MachineId, Number)> = a_quorum().map(|acceptor| (acceptor, allowed)).collect();
    proof(&[(controller + 1, [9; 16]), (controller, nonce)], 1, &grants)
}
