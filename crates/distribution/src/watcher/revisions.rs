//! The revisions that a watcher holds, and the verification of updates against certificates.

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_revisions::message::ActivationGrant;
use thiserror::Error;

use super::stored::{Stored, StoredRevision};
use crate::change::Summary;
use crate::lease::MAX_GRANTS;
use crate::state::{Edit, Entry, State, StateFault};
use crate::transfer::{check_groups, PartOutcome, PartRequest, Progress, Transfer, TransferFault};
use crate::{quorum, Certified, Digest, MachineId, Number, Signer};

/// The number of votes, or of activation grants, that a certificate may have: more than there are
/// acceptors in any deployment.
const MAX_VOTES: usize = MAX_GRANTS;

/// Why an update from a relay is rejected. A correct relay sends no such update.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RevisionFault {
    #[error("revision {0}: the votes do not certify it")]
    Certificate(Number),
    #[error("revision {0}: the summary is not the certified one")]
    Summary(Number),
    #[error("revision {0}: two different heads are certified")]
    Contradiction(Number),
    #[error("revision {0}: the delta cannot be applied: {1}")]
    Edits(Number, StateFault),
    #[error("revision {0}: the delta does not lead to the certified root")]
    Root(Number),
    #[error("revision {0}: {1}")]
    Transfer(Number, TransferFault),
    #[error("a part of a snapshot that was not offered")]
    NoTransfer,
    #[error("revision {0}: no quorum of acceptors allows its activation")]
    NotAllowed(Number),
}

/// The result of handling an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum UpdateOutcome {
    /// This revision or a later one is held already.
    Old,
    /// The delta is on a base that is not held.
    NoBase,
    /// Parts of a snapshot are still missing.
    Transferring,
    /// The state of the revision is complete and verified.
    Received(Box<StoredRevision>),
}

/// A certified snapshot whose parts are being fetched.
struct Snapshot {
    certificate: Certified,
    summary: Summary,
    transfer: Transfer,
}

/// The highest revision whose activation a quorum of acceptors allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AllowedActivation {
    number: Number,
    digest: Digest,
}

/// The last received revision, and why this program cannot apply it, if it cannot.
struct ReceivedRevision {
    revision: StoredRevision,
    unfit_reason: Option<String>,
}

/// The revisions that a watcher holds.
pub(super) struct Revisions {
    /// The state of the program's own file.
    file_state: State,
    active: Option<StoredRevision>,
    /// The last received revision, if it is not active.
    received: Option<ReceivedRevision>,
    /// The snapshot that is being fetched.
    snapshot: Option<Snapshot>,
    /// The highest revision whose activation is allowed.
    allowed: AllowedActivation,
    /// The highest revision known to be certified.
    certified: Number,
}

impl Revisions {
    pub fn new(file_state: State, stored: Stored) -> Self {
        let Stored { active, prepared, .. } = stored;
        let certified = prepared.as_ref().or(active.as_ref()).map_or(0, StoredRevision::number);
        let received = prepared.map(|revision| ReceivedRevision { revision, unfit_reason: None });
        Self {
            file_state,
            active,
            received,
            snapshot: None,
            allowed: AllowedActivation::default(),
            certified,
        }
    }

    /// The active revision; 0 is the program's own file.
    pub fn active(&self) -> Number {
        self.active.as_ref().map_or(0, StoredRevision::number)
    }

    /// The state of the active revision.
    pub fn active_state(&self) -> &State {
        self.active.as_ref().map_or(&self.file_state, |active| &active.state)
    }

    /// The prepared revision.
    pub fn prepared(&self) -> Option<&StoredRevision> {
        self.received
            .as_ref()
            .filter(|received| received.unfit_reason.is_none())
            .map(|received| &received.revision)
    }

    /// The last received revision and the reason, if this program cannot apply it.
    pub fn unfit(&self) -> Option<(Number, &str)> {
        let received = self.received.as_ref()?;
        Some((received.revision.number(), received.unfit_reason.as_deref()?))
    }

    /// The highest revision whose state is held.
    pub fn held(&self) -> Number {
        self.received.as_ref().map_or(self.active(), |received| received.revision.number())
    }

    /// The state of the highest revision that is held.
    pub fn held_state(&self) -> &State {
        self.received.as_ref().map_or(self.active_state(), |received| &received.revision.state)
    }

    /// The highest revision known to be certified.
    pub fn certified(&self) -> Number {
        self.certified
    }

    /// The highest revision whose activation is known to be allowed.
    pub fn allowed(&self) -> Number {
        self.allowed.number
    }

    /// Verifies a certified revision that is sent as edits of the state of another one.
    pub fn apply_delta(
        &mut self, certificate: Certified, summary: Summary, base: (Number, Digest), edits: &[Edit],
        signer: &impl Signer,
    ) -> Result<UpdateOutcome, RevisionFault> {
        let number = certificate.number();
        if number <= self.held() {
            return self.check_known(&certificate);
        }
        let Some(mut state) = self.state_at(base) else { return Ok(UpdateOutcome::NoBase) };
        check_certificate(&certificate, &summary, signer)?;
        state.apply(edits).map_err(|fault| RevisionFault::Edits(number, fault))?;
        if state.root() != summary.root {
            return Err(RevisionFault::Root(number));
        }
        self.certified = self.certified.max(number);
        if self.snapshot.as_ref().is_some_and(|snapshot| snapshot.certificate.number() <= number) {
            self.snapshot = None;
        }
        Ok(UpdateOutcome::Received(Box::new(StoredRevision { certificate, summary, state })))
    }

    /// A copy of the state of a held revision, by number and root.
    fn state_at(&self, (number, root): (Number, Digest)) -> Option<State> {
        let candidates = [(self.held(), self.held_state()), (self.active(), self.active_state())];
        let base =
            candidates.into_iter().find(|(candidate, state)| (*candidate, state.root()) == (number, root));
        base.map(|(_, state)| state.clone())
    }

    /// Checks a revision that is not newer than the held one.
    fn check_known(&self, certificate: &Certified) -> Result<UpdateOutcome, RevisionFault> {
        let number = certificate.number();
        let revisions = [self.received.as_ref().map(|received| &received.revision), self.active.as_ref()];
        let contradicts = |held: &&StoredRevision| {
            held.number() == number && held.certificate.digest() != certificate.digest()
        };
        match revisions.into_iter().flatten().any(|held| contradicts(&held)) {
            true => Err(RevisionFault::Contradiction(number)),
            false => Ok(UpdateOutcome::Old),
        }
    }

    /// The revision whose snapshot is being fetched.
    pub fn transferring(&self) -> Option<Number> {
        self.snapshot.as_ref().map(|snapshot| snapshot.certificate.number())
    }

    /// Verifies the offer of a certified snapshot and makes it the target of the transfer. Parts that were
    /// fetched for earlier snapshots are kept.
    pub fn begin_snapshot(
        &mut self, certificate: Certified, summary: Summary, groups: &[Digest], signer: &impl Signer,
    ) -> Result<UpdateOutcome, RevisionFault> {
        let number = certificate.number();
        if number <= self.held() {
            return self.check_known(&certificate);
        }
        check_snapshot(&certificate, &summary, groups, signer)?;
        let fault = |fault| RevisionFault::Transfer(number, fault);
        let transfer = match self.snapshot.as_ref() {
            Some(snapshot) => {
                let mut transfer = snapshot.transfer.clone();
                transfer.retarget(summary.root, groups).map_err(fault)?;
                transfer
            }
            None => Transfer::begin(self.held_state().clone(), summary.root, groups).map_err(fault)?,
        };
        self.certified = self.certified.max(number);
        self.snapshot = Some(Snapshot { certificate, summary, transfer });
        Ok(self.finish_snapshot())
    }

    /// Receives the bucket digests of a group.
    pub fn receive_group(
        &mut self, group: u8, buckets: Vec<(u16, Digest)>,
    ) -> Result<UpdateOutcome, RevisionFault> {
        self.receive_part(|transfer| transfer.receive_group(group, buckets))
    }

    /// Receives the entries of a bucket.
    pub fn receive_bucket(
        &mut self, bucket: u16, entries: Vec<Entry>,
    ) -> Result<UpdateOutcome, RevisionFault> {
        self.receive_part(|transfer| transfer.receive_bucket(bucket, entries))
    }

    fn receive_part(
        &mut self, receive: impl FnOnce(&mut Transfer) -> Result<PartOutcome, TransferFault>,
    ) -> Result<UpdateOutcome, RevisionFault> {
        let snapshot = self.snapshot.as_mut().ok_or(RevisionFault::NoTransfer)?;
        let number = snapshot.certificate.number();
        receive(&mut snapshot.transfer).map_err(|fault| RevisionFault::Transfer(number, fault))?;
        Ok(self.finish_snapshot())
    }

    /// Completes the revision, if all parts of its snapshot were received.
    fn finish_snapshot(&mut self) -> UpdateOutcome {
        let Some(snapshot) = self.snapshot.take() else { return UpdateOutcome::Old };
        let Some(state) = snapshot.transfer.finished().cloned() else {
            self.snapshot = Some(snapshot);
            return UpdateOutcome::Transferring;
        };
        let Snapshot { certificate, summary, .. } = snapshot;
        UpdateOutcome::Received(Box::new(StoredRevision { certificate, summary, state }))
    }

    /// The parts to request now.
    pub fn next_requests(&mut self) -> Vec<PartRequest> {
        self.snapshot.as_mut().map_or_else(Vec::new, |snapshot| snapshot.transfer.next_requests())
    }

    /// The connection on which parts were requested closed.
    pub fn disconnected(&mut self) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.transfer.disconnected();
        }
    }

    /// Progress of the current snapshot transfer.
    pub fn progress(&self) -> Option<Progress> {
        self.snapshot.as_ref().map(|snapshot| snapshot.transfer.progress())
    }

    /// Replaces the last received revision. `unfit_reason` says why this program cannot apply it.
    pub fn set_received(&mut self, revision: StoredRevision, unfit_reason: Option<String>) {
        self.received = Some(ReceivedRevision { revision, unfit_reason });
    }

    /// Records that acceptors allow the activation of a revision.
    ///
    /// # Errors
    /// If no quorum of them does, or their activation grants name another revision with the number of the held one.
    pub fn allow_activation(
        &mut self, number: Number, activation_grants: &[ActivationGrant], signer: &impl Signer,
    ) -> Result<(), RevisionFault> {
        if number <= self.allowed.number.max(self.active()) {
            return Ok(());
        }
        let digest =
            allowed_digest(number, activation_grants, signer).ok_or(RevisionFault::NotAllowed(number))?;
        if self.received.as_ref().is_some_and(|received| {
            received.revision.number() == number && received.revision.certificate.digest() != digest
        }) {
            return Err(RevisionFault::Contradiction(number));
        }
        self.allowed = AllowedActivation { number, digest };
        Ok(())
    }

    /// Activates the prepared revision, if that is allowed. Returns its number then.
    pub fn activate(&mut self) -> Option<Number> {
        let allowed = self.allowed;
        let is_allowed = |received: &mut ReceivedRevision| {
            let certificate = &received.revision.certificate;
            received.unfit_reason.is_none()
                && (certificate.number(), certificate.digest()) == (allowed.number, allowed.digest)
        };
        let received = self.received.take_if(is_allowed)?;
        self.active = Some(received.revision);
        Some(allowed.number)
    }
}

/// Checks that an offered snapshot is that of a certified revision.
///
/// # Errors
/// If it is not.
pub(super) fn check_snapshot(
    certificate: &Certified, summary: &Summary, groups: &[Digest], signer: &impl Signer,
) -> Result<(), RevisionFault> {
    check_certificate(certificate, summary, signer)?;
    let fault = |fault| RevisionFault::Transfer(certificate.number(), fault);
    check_groups(&summary.root, groups).map_err(fault)
}

/// Checks the summary and the votes of a certificate.
fn check_certificate(
    certificate: &Certified, summary: &Summary, signer: &impl Signer,
) -> Result<(), RevisionFault> {
    let number = certificate.number();
    if certificate.signed.head.check_text(&summary.text()).is_err() {
        return Err(RevisionFault::Summary(number));
    }
    let is_within_bounds =
        certificate.votes.len() <= MAX_VOTES && certificate.activation_grants.len() <= MAX_VOTES;
    match is_within_bounds && certificate.holds(signer) {
        true => Ok(()),
        false => Err(RevisionFault::Certificate(number)),
    }
}

/// The digest of the revision with this number whose activation a quorum of acceptors allows.
fn allowed_digest(
    number: Number, activation_grants: &[ActivationGrant], signer: &impl Signer,
) -> Option<Digest> {
    let mut acceptors: BTreeMap<Digest, BTreeSet<MachineId>> = BTreeMap::new();
    for activation_grant in
        activation_grants.iter().take(MAX_VOTES).filter(|activation_grant| activation_grant.number == number)
    {
        let granted_by = acceptors.entry(activation_grant.digest).or_default();
        if !granted_by.contains(&activation_grant.acceptor) && activation_grant.holds(signer) {
            granted_by.insert(activation_grant.acceptor);
        }
    }
    let needed = quorum(signer.acceptors().len());
    acceptors.into_iter().find(|(_, granted_by)| granted_by.len() >= needed).map(|(digest, _)| digest)
}
