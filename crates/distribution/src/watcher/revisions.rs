//! Which revisions a watcher holds, and what it takes from a relay: all that is checked against certificates.

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_revisions::message::ActivationGrant;
use thiserror::Error;

use super::stored::{Stored, StoredRevision};
use crate::change::Summary;
use crate::lease::MAX_GRANTS;
use crate::state::{Edit, Entry, State, StateFault};
use crate::transfer::{check_groups, PartRequest, Progress, Taken, Transfer, TransferFault};
use crate::{quorum, Certified, Digest, MachineId, Number, Signer};

/// Votes, or words to act, that a certificate may have: more than there are acceptors in any deployment.
const MOST_VOTES: usize = MAX_GRANTS;

/// Why what a relay handed down is not taken. The relay could have known it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RevisionFault {
    #[error("revision {0}: its votes don't show that it is certified")]
    Certificate(Number),
    #[error("revision {0}: the summary is not the one that is certified")]
    Summary(Number),
    #[error("revision {0} is certified with two heads")]
    Contradiction(Number),
    #[error("revision {0}: a delta that can't be applied: {1}")]
    Edits(Number, StateFault),
    #[error("revision {0}: the delta does not lead to the certified root")]
    Root(Number),
    #[error("revision {0}: {1}")]
    Transfer(Number, TransferFault),
    #[error("a part of a snapshot where none was offered")]
    NoTransfer,
    #[error("revision {0}: no quorum says that it may be acted on")]
    NotAllowed(Number),
}

/// What became of something that was handed down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Offered {
    /// It is held already, or a later one is.
    Old,
    /// A delta on a base that is not held.
    NoBase,
    /// Parts of a snapshot are to be asked for, or came and others are left.
    Transferring,
    /// Its state is complete and checked.
    Received(Box<StoredRevision>),
}

/// A snapshot that is certified, and of which parts may be had already.
struct Snapshot {
    certificate: Certified,
    summary: Summary,
    transfer: Transfer,
}

/// The highest revision that a quorum allowed to be acted on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Allowed {
    number: Number,
    digest: Digest,
}

/// The revision received last, and why this program can't act on it, if it can't.
struct Received {
    revision: StoredRevision,
    unfit: Option<String>,
}

/// The revisions that a watcher holds.
pub(super) struct Revisions {
    own: State,
    active: Option<StoredRevision>,
    received: Option<Received>,
    snapshot: Option<Snapshot>,
    allowed: Allowed,
    certified: Number,
}

impl Revisions {
    pub fn new(own: State, stored: Stored) -> Self {
        let Stored { active, prepared, .. } = stored;
        let certified = prepared.as_ref().or(active.as_ref()).map_or(0, StoredRevision::number);
        let received = prepared.map(|revision| Received { revision, unfit: None });
        Self { own, active, received, snapshot: None, allowed: Allowed::default(), certified }
    }

    /// The revision that is acted on.
    pub fn active(&self) -> Number {
        self.active.as_ref().map_or(0, StoredRevision::number)
    }

    pub fn active_state(&self) -> &State {
        self.active.as_ref().map_or(&self.own, |active| &active.state)
    }

    pub fn prepared(&self) -> Option<&StoredRevision> {
        self.received.as_ref().filter(|received| received.unfit.is_none()).map(|received| &received.revision)
    }

    /// The revision that was received last, if this program can't act on it, and why.
    pub fn unfit(&self) -> Option<(Number, &str)> {
        let received = self.received.as_ref()?;
        Some((received.revision.number(), received.unfit.as_deref()?))
    }

    /// The highest revision whose state is held.
    pub fn held(&self) -> Number {
        self.received.as_ref().map_or(self.active(), |received| received.revision.number())
    }

    pub fn held_state(&self) -> &State {
        self.received.as_ref().map_or(self.active_state(), |received| &received.revision.state)
    }

    /// The highest revision that is known to be certified.
    pub fn certified(&self) -> Number {
        self.certified
    }

    /// The highest revision that is known to be allowed to be acted on.
    pub fn allowed(&self) -> Number {
        self.allowed.number
    }

    /// A revision, certified, as edits on the state of another one.
    pub fn take_delta(
        &mut self, certificate: Certified, summary: Summary, base: (Number, Digest), edits: &[Edit],
        hand: &impl Signer,
    ) -> Result<Offered, RevisionFault> {
        let number = certificate.number();
        if number <= self.held() {
            return self.old(&certificate);
        }
        let Some(mut state) = self.state_at(base) else { return Ok(Offered::NoBase) };
        check_certificate(&certificate, &summary, hand)?;
        state.apply(edits).map_err(|fault| RevisionFault::Edits(number, fault))?;
        if state.root() != summary.root {
            return Err(RevisionFault::Root(number));
        }
        self.certified = self.certified.max(number);
        if self.snapshot.as_ref().is_some_and(|snapshot| snapshot.certificate.number() <= number) {
            self.snapshot = None;
        }
        Ok(Offered::Received(Box::new(StoredRevision { certificate, summary, state })))
    }

    /// A copy of the state of a revision that is held, by number and root.
    fn state_at(&self, (number, root): (Number, Digest)) -> Option<State> {
        let held = [(self.held(), self.held_state()), (self.active(), self.active_state())];
        let base = held.into_iter().find(|(held, state)| (*held, state.root()) == (number, root));
        base.map(|(_, state)| state.clone())
    }

    /// One that is not newer than what is held.
    fn old(&self, certificate: &Certified) -> Result<Offered, RevisionFault> {
        let number = certificate.number();
        let revisions = [self.received.as_ref().map(|received| &received.revision), self.active.as_ref()];
        let contradicts = |held: &&StoredRevision| {
            held.number() == number && held.certificate.digest() != certificate.digest()
        };
        match revisions.into_iter().flatten().any(|held| contradicts(&held)) {
            true => Err(RevisionFault::Contradiction(number)),
            false => Ok(Offered::Old),
        }
    }

    /// The revision whose snapshot is being fetched.
    pub fn transferring(&self) -> Option<Number> {
        self.snapshot.as_ref().map(|snapshot| snapshot.certificate.number())
    }

    /// A certified revision of which parts can be fetched. What earlier snapshots brought stays of use.
    pub fn take_snapshot(
        &mut self, certificate: Certified, summary: Summary, groups: &[Digest], hand: &impl Signer,
    ) -> Result<Offered, RevisionFault> {
        let number = certificate.number();
        if number <= self.held() {
            return self.old(&certificate);
        }
        check_snapshot(&certificate, &summary, groups, hand)?;
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

    pub fn take_group(&mut self, group: u8, buckets: Vec<(u16, Digest)>) -> Result<Offered, RevisionFault> {
        self.take_part(|transfer| transfer.take_group(group, buckets))
    }

    pub fn take_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> Result<Offered, RevisionFault> {
        self.take_part(|transfer| transfer.take_bucket(bucket, entries))
    }

    fn take_part(
        &mut self, take: impl FnOnce(&mut Transfer) -> Result<Taken, TransferFault>,
    ) -> Result<Offered, RevisionFault> {
        let snapshot = self.snapshot.as_mut().ok_or(RevisionFault::NoTransfer)?;
        let number = snapshot.certificate.number();
        take(&mut snapshot.transfer).map_err(|fault| RevisionFault::Transfer(number, fault))?;
        Ok(self.finish_snapshot())
    }

    fn finish_snapshot(&mut self) -> Offered {
        let Some(snapshot) = self.snapshot.take() else { return Offered::Old };
        let Some(state) = snapshot.transfer.finished().cloned() else {
            self.snapshot = Some(snapshot);
            return Offered::Transferring;
        };
        let Snapshot { certificate, summary, .. } = snapshot;
        Offered::Received(Box::new(StoredRevision { certificate, summary, state }))
    }

    /// Parts to ask for now.
    pub fn next_requests(&mut self) -> Vec<PartRequest> {
        self.snapshot.as_mut().map_or_else(Vec::new, |snapshot| snapshot.transfer.next_requests())
    }

    /// The connection that parts were asked for on is gone.
    pub fn disconnected(&mut self) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.transfer.disconnected();
        }
    }

    pub fn progress(&self) -> Option<Progress> {
        self.snapshot.as_ref().map(|snapshot| snapshot.transfer.progress())
    }

    /// The state of a revision is complete: it takes the place of the one received before.
    /// `unfit` says why this program can't act on it.
    pub fn receive(&mut self, revision: StoredRevision, unfit: Option<String>) {
        self.received = Some(Received { revision, unfit });
    }

    /// Acceptors say that a revision may be acted on.
    ///
    /// # Errors
    /// Where no quorum of them does, or they name another revision with this number than the one held.
    pub fn take_goes(
        &mut self, number: Number, goes: &[ActivationGrant], hand: &impl Signer,
    ) -> Result<(), RevisionFault> {
        if number <= self.allowed.number.max(self.active()) {
            return Ok(());
        }
        let digest = allowed_digest(number, goes, hand).ok_or(RevisionFault::NotAllowed(number))?;
        if self.received.as_ref().is_some_and(|received| {
            received.revision.number() == number && received.revision.certificate.digest() != digest
        }) {
            return Err(RevisionFault::Contradiction(number));
        }
        self.allowed = Allowed { number, digest };
        Ok(())
    }

    /// Acts on the prepared revision, if it is the one that is allowed. Tells its number then.
    pub fn activate(&mut self) -> Option<Number> {
        let allowed = self.allowed;
        let is_allowed = |received: &mut Received| {
            let certificate = &received.revision.certificate;
            received.unfit.is_none()
                && (certificate.number(), certificate.digest()) == (allowed.number, allowed.digest)
        };
        let received = self.received.take_if(is_allowed)?;
        self.active = Some(received.revision);
        Some(allowed.number)
    }
}

/// Whether a snapshot that is offered is of a certified revision.
///
/// # Errors
/// Where it is not.
pub(super) fn check_snapshot(
    certificate: &Certified, summary: &Summary, groups: &[Digest], hand: &impl Signer,
) -> Result<(), RevisionFault> {
    check_certificate(certificate, summary, hand)?;
    let fault = |fault| RevisionFault::Transfer(certificate.number(), fault);
    check_groups(&summary.root, groups).map_err(fault)
}

fn check_certificate(
    certificate: &Certified, summary: &Summary, hand: &impl Signer,
) -> Result<(), RevisionFault> {
    let number = certificate.number();
    if certificate.signed.head.check_text(&summary.text()).is_err() {
        return Err(RevisionFault::Summary(number));
    }
    let bounded = certificate.votes.len() <= MOST_VOTES && certificate.activation_grants.len() <= MOST_VOTES;
    match bounded && certificate.holds(hand) {
        true => Ok(()),
        false => Err(RevisionFault::Certificate(number)),
    }
}

/// The digest of the revision with this number that a quorum of acceptors allowed to be acted on.
fn allowed_digest(number: Number, goes: &[ActivationGrant], hand: &impl Signer) -> Option<Digest> {
    let mut acceptors: BTreeMap<Digest, BTreeSet<MachineId>> = BTreeMap::new();
    for go in goes.iter().take(MOST_VOTES).filter(|go| go.number == number) {
        let named = acceptors.entry(go.digest).or_default();
        if !named.contains(&go.acceptor) && go.holds(hand) {
            named.insert(go.acceptor);
        }
    }
    let needed = quorum(hand.acceptors().len());
    acceptors.into_iter().find(|(_, named)| named.len() >= needed).map(|(digest, _)| digest)
}
