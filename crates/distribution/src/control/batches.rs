//! Proposed and certified batches, by the digest of their summary's text.

use std::collections::BTreeMap;

use crate::change::{Batch, Summary, MAX_BATCH_BYTES};
use crate::control::ledger::{Ledger, Revision};
use crate::control::state_check::StateCheck;
use crate::control::StoredItem;
use crate::state::{Edit, State};
use crate::{digest, Digest, Number, Signer};

/// The maximum number of batches in memory, each of at most [`MAX_BATCH_BYTES`].
const MAX_BATCHES: usize = 48;
/// The batches of this many certified revisions before the latest are retained for other machines.
const RETAINED_REVISIONS: Number = 16;

/// What a control machine may do with a batch on its current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchVerdict {
    /// All its changes are admitted, it results in the root of its summary, and controllers can act on the
    /// state.
    Admitted,
    /// It results in that root, but a change in it is not admitted here, for example because its author's key
    /// was revoked, or controllers could not act on the state.
    Applicable,
    /// It results in another root, or cannot be applied.
    Invalid,
}

/// A batch with its summary.
#[derive(Debug)]
pub(crate) struct BatchRecord {
    pub summary: Summary,
    pub bytes: Vec<u8>,
    pub batch: Batch,
    /// Whether it was returned by [`Batches::take_to_store`].
    stored: bool,
}

/// One step of a chain of batches.
pub(crate) struct Step {
    pub text: Digest,
    pub state: State,
    pub edits: Vec<Edit>,
}

/// The batches that are in memory.
#[derive(Default)]
pub(crate) struct Batches {
    records: BTreeMap<Digest, BatchRecord>,
}

/// The digest by which a head refers to a batch.
pub(crate) fn text_digest(summary: &Summary) -> Digest {
    digest(&summary.text())
}

impl Batches {
    pub fn get(&self, text: &Digest) -> Option<&BatchRecord> {
        self.records.get(text)
    }

    /// Inserts a batch if it matches its summary and its number is above `latest`. If there is no room, an
    /// outdated batch is evicted, or one that is not `needed`. Returns the digest of the batch.
    pub fn insert_new(
        &mut self, summary: Summary, bytes: Vec<u8>, latest: Number, needed: impl Fn(&Digest) -> bool,
    ) -> Option<Digest> {
        let known = self.records.contains_key(&text_digest(&summary));
        let room = known || self.make_room(latest, needed);
        room.then(|| self.insert(summary, bytes, latest)).flatten()
    }

    fn insert(&mut self, summary: Summary, bytes: Vec<u8>, latest: Number) -> Option<Digest> {
        let text = text_digest(&summary);
        if self.records.contains_key(&text) {
            return Some(text);
        }
        let matches_summary = bytes.len() <= MAX_BATCH_BYTES && Summary::of(summary.root, &bytes) == summary;
        let batch = Batch::decode(&bytes).ok().filter(|batch| matches_summary && batch.number > latest)?;
        self.records.insert(text, BatchRecord { summary, bytes, batch, stored: false });
        Some(text)
    }

    /// Inserts a batch found in storage, without a limit on the number of batches, if its number is above
    /// that of the checkpoint.
    pub fn insert_stored(&mut self, summary: Summary, bytes: Vec<u8>, checkpoint: Number) -> Option<Digest> {
        self.insert(summary, bytes, checkpoint)
    }

    /// Drops the batches that are too old to be of use to other machines.
    pub fn drop_old(&mut self, latest: Number) {
        self.records.retain(|_, record| record.batch.number + RETAINED_REVISIONS > latest);
    }

    fn make_room(&mut self, latest: Number, needed: impl Fn(&Digest) -> bool) -> bool {
        self.drop_old(latest);
        if self.records.len() < MAX_BATCHES {
            return true;
        }
        let outdated = self.records.iter().find(|(_, record)| record.batch.number <= latest);
        let evicted = outdated.or_else(|| self.records.iter().find(|(text, _)| !needed(text)));
        let Some(text) = evicted.map(|(text, _)| *text) else { return false };
        self.records.remove(&text).is_some()
    }

    /// The item to store for a batch; `None` if it was returned before.
    pub fn take_to_store(&mut self, text: &Digest) -> Option<StoredItem> {
        let record = self.records.get_mut(text).filter(|record| !record.stored)?;
        record.stored = true;
        Some(StoredItem::Batch {
            number: record.batch.number,
            summary: record.summary,
            bytes: record.bytes.clone(),
        })
    }

    /// The batches of a number, with their digests.
    pub fn of_number(&self, number: Number) -> impl Iterator<Item = (&Digest, &BatchRecord)> {
        self.records.iter().filter(move |(_, record)| record.batch.number == number)
    }

    /// Applies the batches from a revision to the one with this text, if all are here. The text of the last
    /// batch is certified, and each batch names the root that it applies to, which identifies the batch
    /// before it.
    pub fn chain(&self, from: &Revision, text: &Digest, signer: &impl Signer) -> Option<Vec<Step>> {
        let mut texts = vec![*text];
        let mut first = self.records.get(text)?;
        while first.batch.number > from.number + 1 {
            let previous_root = first.batch.previous_root;
            let before = self
                .of_number(first.batch.number - 1)
                .find(|(_, record)| record.summary.root == previous_root);
            texts.push(*before?.0);
            first = before?.1;
        }
        let mut steps: Vec<Step> = Vec::new();
        for text in texts.into_iter().rev() {
            let record = self.records.get(&text)?;
            let state = steps.last().map_or(&from.state, |step| &step.state);
            let (state, edits) = record.batch.apply_certified(state, signer).ok()?;
            if state.root() != record.summary.root {
                return None;
            }
            steps.push(Step { text, state, edits });
        }
        Some(steps)
    }
}

impl BatchRecord {
    /// Whether an acceptor with this state may vote for the batch.
    pub fn verdict(&self, ledger: &Ledger, signer: &impl Signer, check: &mut StateCheck) -> BatchVerdict {
        let has_root = |state: &State| state.root() == self.summary.root;
        if self.batch.number != ledger.number() + 1 {
            return BatchVerdict::Invalid;
        }
        let admitted = self.batch.apply(ledger.state(), ledger.history(), signer);
        let mut is_acceptable = |state: &State| has_root(state) && check(ledger.state(), state).is_ok();
        if admitted.is_ok_and(|(state, _)| is_acceptable(&state)) {
            return BatchVerdict::Admitted;
        }
        let applied = self.batch.apply_certified(ledger.state(), signer);
        if applied.is_ok_and(|(state, _)| has_root(&state)) {
            return BatchVerdict::Applicable;
        }
        BatchVerdict::Invalid
    }
}
