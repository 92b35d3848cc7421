//! Builds batches from waiting changes; at most one batch is in flight at a time.
//!
//! Any control machine builds batches from the changes that are forwarded to it, although one is preferred.
//! It is safe if two propose a batch for the same number: Paxos certifies one of them, and the changes of the
//! other go into its next batch. A rejection found while building a batch is reported only once the batch is
//! certified, since its cause may be an earlier change of the same batch.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::change::{BuiltBatch, Change, ChangeId, History, Rejection};
use crate::control::batches::text_digest;
use crate::control::ledger::Ledger;
use crate::control::outcomes::Outcomes;
use crate::control::state_check::{build_acceptable, StateCheck};
use crate::{Digest, MachineId, Number, Signer};

/// The maximum number of waiting changes, and of their bytes.
const MAX_WAITING: usize = 2048;
const MAX_WAITING_BYTES: usize = 8 * 1024 * 1024;
/// A change is dropped this long after its arrival: its author was told by then that the outcome is unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
/// Changes that arrive within this time go into one batch.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The longest time for which a certified batch whose activation is not allowed yet delays the next batch.
const MAX_ACTIVATION_WAIT: Duration = Duration::from_secs(3);
/// How long this machine waits for another machine's proposal for the same number.
const COMPETITOR_TIMEOUT: Duration = Duration::from_secs(2);
/// A batch that is not certified after this time is rebuilt, only from changes whose base is the latest
/// revision: acceptors that received their state as a snapshot cannot check others.
const REBUILD_AFTER: Duration = Duration::from_secs(5);
/// The maximum number of rejections that are remembered, and for how long, so that a duplicate of a change
/// gets the same answer.
const MAX_REMEMBERED_REJECTIONS: usize = 4096;
const REJECTION_RETENTION: Duration = Duration::from_secs(30);

/// The rejection of a change, for the machine that forwarded it. That machine learns of an accepted change
/// when it applies the batch.
pub(crate) struct RejectionReply {
    pub to: MachineId,
    pub change: ChangeId,
    pub rejection: Rejection,
}

/// A batch to propose.
pub(crate) struct Proposal {
    pub built: BuiltBatch,
    pub number: Number,
}

struct WaitingChange {
    change: Change,
    bytes: usize,
    from: BTreeSet<MachineId>,
    since: Duration,
}

struct InFlight {
    number: Number,
    text: Digest,
    changes: Vec<WaitingChange>,
    rejected: Vec<(ChangeId, Rejection)>,
    proposed_at: Duration,
}

/// The status of consensus, as far as it matters for the next batch.
pub(crate) struct AgreementStatus {
    /// The highest number that is known to be certified, and since when this machine knows it.
    pub certified: Number,
    pub certified_at: Duration,
    /// Whether its activation is allowed.
    pub activation_allowed: bool,
    /// When another machine's batch for the next number was received.
    pub competing_batch_at: Option<Duration>,
}

/// The state that a batch is built on, and the checks of it.
pub(crate) struct BuildContext<'a, H: Signer> {
    pub ledger: &'a Ledger,
    pub outcomes: &'a Outcomes,
    pub signer: &'a H,
    pub check: &'a mut StateCheck,
}

/// Builds batches from waiting changes.
#[derive(Default)]
pub(crate) struct Sequencer {
    waiting: BTreeMap<ChangeId, WaitingChange>,
    bytes: usize,
    in_flight: Option<InFlight>,
    remembered_rejections: BTreeMap<ChangeId, (Rejection, Duration)>,
    /// A random delay added to [`COMPETITOR_TIMEOUT`], drawn for each batch, so that two competing machines
    /// do not continue at the same time.
    competitor_jitter: Duration,
}

impl Sequencer {
    /// Adds a change that a machine forwarded. Returns its rejection if it is already rejected or cannot be
    /// queued.
    pub fn enqueue(&mut self, now: Duration, from: MachineId, change: Change) -> Option<Rejection> {
        if let Some((rejection, _)) = self.remembered_rejections.get(&change.id) {
            return Some(rejection.clone());
        }
        let in_flight = self.in_flight.iter_mut().flat_map(|flight| flight.changes.iter_mut());
        let known = in_flight.chain(self.waiting.values_mut()).find(|known| known.change.id == change.id);
        if let Some(known) = known {
            known.from.insert(from);
            return None;
        }
        let bytes = change.signed_bytes().len();
        if self.waiting.len() >= MAX_WAITING || self.bytes + bytes > MAX_WAITING_BYTES {
            return Some(Rejection::Busy(self.waiting.len()));
        }
        self.bytes += bytes;
        self.waiting
            .insert(change.id, WaitingChange { change, bytes, from: BTreeSet::from([from]), since: now });
        None
    }

    /// A number was certified, with this text if it is known. Returns the rejections of this machine's batch.
    pub fn on_certified(
        &mut self, now: Duration, number: Number, text: Option<&Digest>,
    ) -> Vec<RejectionReply> {
        let Some(flight) = self.in_flight.take_if(|flight| flight.number <= number) else {
            return Vec::new();
        };
        let is_own_batch = flight.number == number && Some(&flight.text) == text;
        let mut rejected: BTreeMap<ChangeId, Rejection> = flight.rejected.into_iter().collect();
        let mut replies = Vec::new();
        for waiting in flight.changes {
            match rejected.remove(&waiting.change.id) {
                Some(rejection) if is_own_batch => replies.extend(self.reject(now, &waiting, rejection)),
                _ if is_own_batch => {}
                _ => self.requeue(now, waiting),
            }
        }
        replies
    }

    fn requeue(&mut self, now: Duration, waiting: WaitingChange) {
        if now >= waiting.since + CHANGE_TIMEOUT {
            return;
        }
        self.bytes += waiting.bytes;
        self.waiting.insert(waiting.change.id, waiting);
    }

    fn reject(
        &mut self, now: Duration, waiting: &WaitingChange, rejection: Rejection,
    ) -> Vec<RejectionReply> {
        if self.remembered_rejections.len() < MAX_REMEMBERED_REJECTIONS {
            self.remembered_rejections
                .insert(waiting.change.id, (rejection.clone(), now + REJECTION_RETENTION));
        }
        replies_to(waiting, &rejection)
    }

    /// Drops expired changes and rejections.
    fn drop_expired(&mut self, now: Duration) {
        self.remembered_rejections.retain(|_, (_, until)| *until > now);
        self.waiting.retain(|_, waiting| now < waiting.since + CHANGE_TIMEOUT);
        self.bytes = self.waiting.values().map(|waiting| waiting.bytes).sum();
    }

    /// When a batch may be built or rebuilt; `None` if no change waits.
    pub fn due(&self, status: &AgreementStatus) -> Option<Duration> {
        if let Some(flight) = &self.in_flight {
            return Some(flight.proposed_at + REBUILD_AFTER);
        }
        let ready = self.waiting.values().filter(|waiting| waiting.change.base <= status.certified);
        let first = ready.map(|waiting| waiting.since).min()?;
        let mut due = first + BATCH_DELAY;
        if !status.activation_allowed {
            due = due.max(status.certified_at + MAX_ACTIVATION_WAIT);
        }
        if let Some(competing_batch_at) = status.competing_batch_at {
            due = due.max(competing_batch_at + COMPETITOR_TIMEOUT + self.competitor_jitter);
        }
        Some(due)
    }

    /// Builds the next batch if it is due. Also returns the rejections of changes that need no batch.
    pub fn build(
        &mut self, now: Duration, status: &AgreementStatus, context: BuildContext<'_, impl Signer>,
        rng: &mut Rng,
    ) -> (Option<Proposal>, Vec<RejectionReply>) {
        let BuildContext { ledger, outcomes, signer, check } = context;
        self.drop_expired(now);
        let due = self.due(status).is_some_and(|due| now >= due);
        if !due || ledger.number() != status.certified {
            return (None, Vec::new());
        }
        self.competitor_jitter = rng.random_duration(COMPETITOR_TIMEOUT);
        let earlier = self.in_flight.take();
        let offered: BTreeSet<ChangeId> =
            earlier.iter().flat_map(|flight| &flight.changes).map(|waiting| waiting.change.id).collect();
        let text = earlier.as_ref().map(|flight| flight.text);
        earlier.into_iter().flat_map(|flight| flight.changes).for_each(|waiting| self.requeue(now, waiting));
        let mut replies = self.remove_settled(ledger, outcomes);
        let number = ledger.number() + 1;
        // A change whose base revision is not here yet waits for it.
        let ready = self.waiting.values().filter(|waiting| waiting.change.base <= ledger.number());
        let changes: Vec<Change> = ready.map(|waiting| waiting.change.clone()).collect();
        if changes.is_empty() {
            return (None, replies);
        }
        let recent = History::new(ledger.number(), 1);
        let history = if text.is_some() { &recent } else { ledger.history() };
        let built = build_acceptable(number, ledger.state(), history, changes, signer, check);
        let changes = self.remove_built(&built);
        if !built.batch.changes.is_empty() {
            let (text, rejected) = (text_digest(&built.summary), built.rejected.clone());
            self.in_flight = Some(InFlight { number, text, changes, rejected, proposed_at: now });
            return (Some(Proposal { built, number }), replies);
        }
        if let Some(text) = text {
            // The batch that was proposed before may still be certified, and no batch replaces it.
            let (offered_before, not_offered) =
                changes.into_iter().partition(|waiting| offered.contains(&waiting.change.id));
            let (offered_before, not_offered): (Vec<WaitingChange>, Vec<WaitingChange>) =
                (offered_before, not_offered);
            not_offered.into_iter().for_each(|waiting| self.requeue(now, waiting));
            let (changes, rejected) = (offered_before, Vec::new());
            self.in_flight = Some(InFlight { number, text, changes, rejected, proposed_at: now });
            return (None, replies);
        }
        // The batch is empty, so these changes are rejected because of the certified state.
        let mut rejected: BTreeMap<ChangeId, Rejection> = built.rejected.into_iter().collect();
        for waiting in changes {
            if let Some(rejection) = rejected.remove(&waiting.change.id) {
                replies.extend(self.reject(now, &waiting, rejection));
            }
        }
        (None, replies)
    }

    /// Removes the changes whose outcome is already determined.
    fn remove_settled(&mut self, ledger: &Ledger, outcomes: &Outcomes) -> Vec<RejectionReply> {
        let mut replies = Vec::new();
        self.waiting.retain(|_, waiting| {
            let outcome = outcomes.outcome_of(&waiting.change, ledger.number(), ledger.state());
            if let Some(Err(rejection)) = &outcome {
                replies.extend(replies_to(waiting, rejection));
            }
            outcome.is_none()
        });
        replies
    }

    /// Removes the changes that are in a batch, or were rejected, from the waiting ones.
    fn remove_built(&mut self, built: &BuiltBatch) -> Vec<WaitingChange> {
        let taken = built.batch.changes.iter().map(|change| change.id);
        let settled = taken.chain(built.rejected.iter().map(|(id, _)| *id));
        let out: Vec<WaitingChange> = settled.filter_map(|id| self.waiting.remove(&id)).collect();
        self.bytes = self.waiting.values().map(|waiting| waiting.bytes).sum();
        out
    }

    /// The batch could not be proposed: its changes wait again.
    pub fn on_proposal_failed(&mut self, now: Duration) {
        let flight = self.in_flight.take();
        flight.into_iter().flat_map(|flight| flight.changes).for_each(|waiting| self.requeue(now, waiting));
    }
}

fn replies_to(waiting: &WaitingChange, rejection: &Rejection) -> Vec<RejectionReply> {
    let reply =
        |to: &MachineId| RejectionReply { to: *to, change: waiting.change.id, rejection: rejection.clone() };
    waiting.from.iter().map(reply).collect()
}
