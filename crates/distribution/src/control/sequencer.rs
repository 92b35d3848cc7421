//! Puts waiting changes into batches, one of which is under way at a time.
//!
//! Any control machine does so with the changes that are forwarded to it, though one is preferred. Two that propose for
//! one number are safe: one of them is certified (Paxos), the other one's changes go into its next batch. What a
//! batch rejects is told only once it is certified, since it may be rejected for what stands before it in the batch.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::change::{BuiltBatch, Change, ChangeId, History, Rejection};
use crate::control::batches::text_digest;
use crate::control::ledger::Ledger;
use crate::control::outcomes::Outcomes;
use crate::control::state_check::{build_fitting, StateCheck};
use crate::{Digest, MachineId, Number, Signer};

/// Changes that wait at most, and their bytes.
const MOST_WAITING: usize = 2048;
const MOST_BYTES: usize = 8 * 1024 * 1024;
/// A change is given up so long after it came: whoever pushed it has been told that its outcome is unknown.
const GIVE_UP: Duration = Duration::from_secs(12);
/// Changes that come within this go into one batch.
const GATHER: Duration = Duration::from_millis(100);
/// A batch that was certified and is not acted on yet holds the next one up no longer than this.
const HOLD_UP: Duration = Duration::from_secs(3);
/// Another machine's proposal for the same number is given this long.
const YIELD: Duration = Duration::from_secs(2);
/// A batch that is not certified after this is built again, from changes against the latest revision only: acceptors
/// that took their state as a snapshot can check no others.
const REBUILD: Duration = Duration::from_secs(5);
/// Rejections that are remembered at most, and for how long: a change that comes twice is answered the same.
const ANSWERS: usize = 4096;
const ANSWERED_FOR: Duration = Duration::from_secs(30);

/// Why a change is not taken, for the machine that forwarded it. That one is, the machine sees when it applies the batch.
pub(crate) struct Answer {
    pub to: MachineId,
    pub change: ChangeId,
    pub rejection: Rejection,
}

/// A batch to be proposed.
pub(crate) struct Proposal {
    pub built: BuiltBatch,
    pub number: Number,
}

struct Waiting {
    change: Change,
    bytes: usize,
    from: BTreeSet<MachineId>,
    since: Duration,
}

struct InFlight {
    number: Number,
    text: Digest,
    changes: Vec<Waiting>,
    rejected: Vec<(ChangeId, Rejection)>,
    proposed_at: Duration,
}

/// Where the agreement stands, as far as it matters for the next batch.
pub(crate) struct Standing {
    /// The highest number that is known certified, and since when it is known here.
    pub certified: Number,
    pub certified_at: Duration,
    /// Whether it may be acted on.
    pub allowed: bool,
    /// When another machine's batch for the next number came.
    pub rival_at: Option<Duration>,
}

/// What a batch is built on and judged by.
pub(crate) struct BuildContext<'a, H: Signer> {
    pub ledger: &'a Ledger,
    pub outcomes: &'a Outcomes,
    pub hand: &'a H,
    pub check: &'a mut StateCheck,
}

/// Puts waiting changes into batches.
#[derive(Default)]
pub(crate) struct Sequencer {
    waiting: BTreeMap<ChangeId, Waiting>,
    bytes: usize,
    in_flight: Option<InFlight>,
    answered: BTreeMap<ChangeId, (Rejection, Duration)>,
    /// A part of the time given to a rival, drawn anew for each batch, so that two don't go on at once.
    patience: Duration,
}

impl Sequencer {
    /// A change that a machine forwarded. Tells what became of it, if that is known.
    pub fn take(&mut self, now: Duration, from: MachineId, change: Change) -> Option<Rejection> {
        if let Some((rejection, _)) = self.answered.get(&change.id) {
            return Some(rejection.clone());
        }
        let in_flight = self.in_flight.iter_mut().flat_map(|flight| flight.changes.iter_mut());
        let held = in_flight.chain(self.waiting.values_mut()).find(|held| held.change.id == change.id);
        if let Some(held) = held {
            held.from.insert(from);
            return None;
        }
        let bytes = change.signed_bytes().len();
        if self.waiting.len() >= MOST_WAITING || self.bytes + bytes > MOST_BYTES {
            return Some(Rejection::Busy(self.waiting.len()));
        }
        self.bytes += bytes;
        self.waiting.insert(change.id, Waiting { change, bytes, from: BTreeSet::from([from]), since: now });
        None
    }

    /// A number was certified, with this text if it is known. Tells what it rejected.
    pub fn certified(&mut self, now: Duration, number: Number, text: Option<&Digest>) -> Vec<Answer> {
        let Some(flight) = self.in_flight.take_if(|flight| flight.number <= number) else {
            return Vec::new();
        };
        let ours = flight.number == number && Some(&flight.text) == text;
        let mut rejected: BTreeMap<ChangeId, Rejection> = flight.rejected.into_iter().collect();
        let mut answers = Vec::new();
        for waiting in flight.changes {
            match rejected.remove(&waiting.change.id) {
                Some(rejection) if ours => answers.extend(self.reject(now, &waiting, rejection)),
                _ if ours => {}
                _ => self.put_back(now, waiting),
            }
        }
        answers
    }

    fn put_back(&mut self, now: Duration, waiting: Waiting) {
        if now >= waiting.since + GIVE_UP {
            return;
        }
        self.bytes += waiting.bytes;
        self.waiting.insert(waiting.change.id, waiting);
    }

    fn reject(&mut self, now: Duration, waiting: &Waiting, rejection: Rejection) -> Vec<Answer> {
        if self.answered.len() < ANSWERS {
            self.answered.insert(waiting.change.id, (rejection.clone(), now + ANSWERED_FOR));
        }
        answers_to(waiting, &rejection)
    }

    /// Drops what is too old.
    fn forget_old(&mut self, now: Duration) {
        self.answered.retain(|_, (_, until)| *until > now);
        self.waiting.retain(|_, waiting| now < waiting.since + GIVE_UP);
        self.bytes = self.waiting.values().map(|waiting| waiting.bytes).sum();
    }

    /// When a batch may be built, or built again; nothing while there is nothing to do.
    pub fn due(&self, standing: &Standing) -> Option<Duration> {
        if let Some(flight) = &self.in_flight {
            return Some(flight.proposed_at + REBUILD);
        }
        let first = self.waiting.values().filter(|waiting| waiting.change.base <= standing.certified);
        let first = first.map(|waiting| waiting.since).min()?;
        let mut due = first + GATHER;
        if !standing.allowed {
            due = due.max(standing.certified_at + HOLD_UP);
        }
        if let Some(rival_at) = standing.rival_at {
            due = due.max(rival_at + YIELD + self.patience);
        }
        Some(due)
    }

    /// Builds the next batch, if it is time, and tells what became of changes that need none.
    pub fn build(
        &mut self, now: Duration, standing: &Standing, context: BuildContext<'_, impl Signer>,
        chance: &mut Rng,
    ) -> (Option<Proposal>, Vec<Answer>) {
        let BuildContext { ledger, outcomes, hand, check } = context;
        self.forget_old(now);
        let due = self.due(standing).is_some_and(|due| now >= due);
        if !due || ledger.number() != standing.certified {
            return (None, Vec::new());
        }
        self.patience = chance.random_duration(YIELD);
        let earlier = self.in_flight.take();
        let offered: BTreeSet<ChangeId> =
            earlier.iter().flat_map(|flight| &flight.changes).map(|waiting| waiting.change.id).collect();
        let text = earlier.as_ref().map(|flight| flight.text);
        earlier.into_iter().flat_map(|flight| flight.changes).for_each(|waiting| self.put_back(now, waiting));
        let mut answers = self.settle(ledger, outcomes);
        let number = ledger.number() + 1;
        // One that was made against a revision that is not here yet waits for it.
        let ready = self.waiting.values().filter(|waiting| waiting.change.base <= ledger.number());
        let changes: Vec<Change> = ready.map(|waiting| waiting.change.clone()).collect();
        if changes.is_empty() {
            return (None, answers);
        }
        let recent = History::new(ledger.number(), 1);
        let history = if text.is_some() { &recent } else { ledger.history() };
        let built = build_fitting(number, ledger.state(), history, changes, hand, check);
        let changes = self.take_out(&built);
        if !built.batch.changes.is_empty() {
            let (text, rejected) = (text_digest(&built.summary), built.rejected.clone());
            self.in_flight = Some(InFlight { number, text, changes, rejected, proposed_at: now });
            return (Some(Proposal { built, number }), answers);
        }
        if let Some(text) = text {
            // What was proposed before may still be certified, and nothing stands in its place.
            let (stays, waits) =
                changes.into_iter().partition(|waiting| offered.contains(&waiting.change.id));
            let (stays, waits): (Vec<Waiting>, Vec<Waiting>) = (stays, waits);
            waits.into_iter().for_each(|waiting| self.put_back(now, waiting));
            let (changes, rejected) = (stays, Vec::new());
            self.in_flight = Some(InFlight { number, text, changes, rejected, proposed_at: now });
            return (None, answers);
        }
        // Nothing in a batch stood before them: they are rejected for what is certified.
        let mut rejected: BTreeMap<ChangeId, Rejection> = built.rejected.into_iter().collect();
        for waiting in changes {
            if let Some(rejection) = rejected.remove(&waiting.change.id) {
                answers.extend(self.reject(now, &waiting, rejection));
            }
        }
        (None, answers)
    }

    /// Takes out what is settled already.
    fn settle(&mut self, ledger: &Ledger, outcomes: &Outcomes) -> Vec<Answer> {
        let mut answers = Vec::new();
        self.waiting.retain(|_, waiting| {
            let outcome = outcomes.of(&waiting.change, ledger.number(), ledger.state());
            if let Some(Err(rejection)) = &outcome {
                answers.extend(answers_to(waiting, rejection));
            }
            outcome.is_none()
        });
        answers
    }

    /// Takes what is in a batch, or was rejected, out of what waits.
    fn take_out(&mut self, built: &BuiltBatch) -> Vec<Waiting> {
        let taken = built.batch.changes.iter().map(|change| change.id);
        let settled = taken.chain(built.rejected.iter().map(|(id, _)| *id));
        let out: Vec<Waiting> = settled.filter_map(|id| self.waiting.remove(&id)).collect();
        self.bytes = self.waiting.values().map(|waiting| waiting.bytes).sum();
        out
    }

    /// A batch could not be proposed: its changes wait again.
    pub fn not_proposed(&mut self, now: Duration) {
        let flight = self.in_flight.take();
        flight.into_iter().flat_map(|flight| flight.changes).for_each(|waiting| self.put_back(now, waiting));
    }
}

fn answers_to(waiting: &Waiting, rejection: &Rejection) -> Vec<Answer> {
    let answer = |to: &MachineId| Answer { to: *to, change: waiting.change.id, rejection: rejection.clone() };
    waiting.from.iter().map(answer).collect()
}
