//! Batches that were proposed or certified, by the digest of their summary's text.

use std::collections::BTreeMap;

use crate::change::{Batch, Summary, MAX_BATCH_BYTES};
use crate::control::ledger::{Ledger, Revision};
use crate::control::state_check::StateCheck;
use crate::control::StoredItem;
use crate::state::{Edit, State};
use crate::{digest, Digest, Number, Signer};

/// Batches that are kept at most, each of [`MAX_BATCH_BYTES`] at most.
const KEPT: usize = 48;
/// Certified revisions behind the latest whose batches are kept for others.
const KEPT_BEHIND: Number = 16;

/// What a control machine may do with a batch on its present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fitness {
    /// All its changes are admitted, and it leads to the root that its summary names, to a state that controllers can act on.
    Admitted,
    /// It leads there, and a change in it is not admitted here, since its author's key was revoked, say; or controllers
    /// could not act on the state.
    Applicable,
    /// It leads elsewhere, or nowhere.
    Unfit,
}

/// A batch with its summary.
#[derive(Debug)]
pub(crate) struct Held {
    pub summary: Summary,
    pub bytes: Vec<u8>,
    pub batch: Batch,
    /// It was given out to be stored.
    stored: bool,
}

/// One step of a chain of batches.
pub(crate) struct Step {
    pub text: Digest,
    pub state: State,
    pub edits: Vec<Edit>,
}

/// The batches that are kept.
#[derive(Default)]
pub(crate) struct Batches {
    held: BTreeMap<Digest, Held>,
}

/// What names a batch in a head.
pub(crate) fn text_digest(summary: &Summary) -> Digest {
    digest(&summary.text())
}

impl Batches {
    pub fn get(&self, text: &Digest) -> Option<&Held> {
        self.held.get(text)
    }

    /// Keeps a batch, if it is the one that its summary names and is of use after revision `latest`. `needed` says of others
    /// whether they can't give way. Tells what names it.
    pub fn take(
        &mut self, summary: Summary, bytes: Vec<u8>, latest: Number, needed: impl Fn(&Digest) -> bool,
    ) -> Option<Digest> {
        let known = self.held.contains_key(&text_digest(&summary));
        let room = known || self.make_room(latest, needed);
        room.then(|| self.insert(summary, bytes, latest)).flatten()
    }

    fn insert(&mut self, summary: Summary, bytes: Vec<u8>, latest: Number) -> Option<Digest> {
        let text = text_digest(&summary);
        if self.held.contains_key(&text) {
            return Some(text);
        }
        let whole = bytes.len() <= MAX_BATCH_BYTES && Summary::of(summary.root, &bytes) == summary;
        let batch = Batch::decode(&bytes).ok().filter(|batch| whole && batch.number > latest)?;
        self.held.insert(text, Held { summary, bytes, batch, stored: false });
        Some(text)
    }

    /// The same for one that was stored: all of them, also those of numbers up to the present state.
    pub fn recall(&mut self, summary: Summary, bytes: Vec<u8>, checkpoint: Number) -> Option<Digest> {
        self.insert(summary, bytes, checkpoint)
    }

    /// Forgets those that are of no use to others any more.
    pub fn shrink(&mut self, latest: Number) {
        self.held.retain(|_, held| held.batch.number + KEPT_BEHIND > latest);
    }

    fn make_room(&mut self, latest: Number, needed: impl Fn(&Digest) -> bool) -> bool {
        self.shrink(latest);
        if self.held.len() < KEPT {
            return true;
        }
        let past = self.held.iter().find(|(_, held)| held.batch.number <= latest);
        let spare = past.or_else(|| self.held.iter().find(|(text, _)| !needed(text)));
        let Some(text) = spare.map(|(text, _)| *text) else { return false };
        self.held.remove(&text).is_some()
    }

    /// What is to be stored of a batch, the first time that it is asked for.
    pub fn take_to_store(&mut self, text: &Digest) -> Option<StoredItem> {
        let held = self.held.get_mut(text).filter(|held| !held.stored)?;
        held.stored = true;
        Some(StoredItem::Batch {
            number: held.batch.number,
            summary: held.summary,
            bytes: held.bytes.clone(),
        })
    }

    /// The batches of a number, by what names them.
    pub fn of_number(&self, number: Number) -> impl Iterator<Item = (&Digest, &Held)> {
        self.held.iter().filter(move |(_, held)| held.batch.number == number)
    }

    /// The batches that lead from a revision to the one with this text, if all are here: the last one's text is
    /// certified, it names the root that it applies to, and so each the one before.
    pub fn chain(&self, from: &Revision, text: &Digest, hand: &impl Signer) -> Option<Vec<Step>> {
        let mut back = vec![*text];
        let mut first = self.held.get(text)?;
        while first.batch.number > from.number + 1 {
            let leads_to = first.batch.previous_root;
            let before =
                self.of_number(first.batch.number - 1).find(|(_, held)| held.summary.root == leads_to);
            back.push(*before?.0);
            first = before?.1;
        }
        let mut steps: Vec<Step> = Vec::new();
        for text in back.into_iter().rev() {
            let held = self.held.get(&text)?;
            let state = steps.last().map_or(&from.state, |step| &step.state);
            let (state, edits) = held.batch.apply_certified(state, hand).ok()?;
            if state.root() != held.summary.root {
                return None;
            }
            steps.push(Step { text, state, edits });
        }
        Some(steps)
    }
}

impl Held {
    /// Whether an acceptor with this state may vote for it.
    pub fn fitness(&self, ledger: &Ledger, hand: &impl Signer, check: &mut StateCheck) -> Fitness {
        let leads_there = |state: &State| state.root() == self.summary.root;
        if self.batch.number != ledger.number() + 1 {
            return Fitness::Unfit;
        }
        let admitted = self.batch.apply(ledger.state(), ledger.history(), hand);
        let mut fits = |state: &State| leads_there(state) && check(ledger.state(), state).is_ok();
        if admitted.is_ok_and(|(state, _)| fits(&state)) {
            return Fitness::Admitted;
        }
        let applied = self.batch.apply_certified(ledger.state(), hand);
        if applied.is_ok_and(|(state, _)| leads_there(&state)) {
            return Fitness::Applicable;
        }
        Fitness::Unfit
    }
}
