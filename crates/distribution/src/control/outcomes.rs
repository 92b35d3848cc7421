//! The outcomes of the changes of recent revisions.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{last_sequence, Change, ChangeId, Rejection};
use crate::state::State;
use crate::{digest, Digest, Number};

/// The maximum number of changes that are remembered: more than a day's.
const MAX_OUTCOMES: usize = 16_384;

/// The outcomes of the changes of recent revisions.
pub(crate) struct Outcomes {
    applied: BTreeMap<ChangeId, (Number, Digest)>,
    order: VecDeque<ChangeId>,
    /// All changes of revisions after this one are remembered.
    known_after: Number,
}

fn content_digest(change: &Change) -> Digest {
    digest(&change.signed_bytes())
}

impl Outcomes {
    pub fn new(known_after: Number) -> Self {
        Self { applied: BTreeMap::new(), order: VecDeque::new(), known_after }
    }

    /// A batch was applied.
    pub fn on_applied(&mut self, number: Number, changes: &[Change]) {
        for change in changes {
            self.applied.insert(change.id, (number, content_digest(change)));
            self.order.push_back(change.id);
        }
        while self.order.len() > MAX_OUTCOMES {
            let oldest = self.order.pop_front().and_then(|id| self.applied.remove(&id));
            self.known_after = oldest.map_or(self.known_after, |(number, _)| number.max(self.known_after));
        }
    }

    /// Revisions up to this one were adopted without their batches.
    pub fn on_skipped(&mut self, number: Number) {
        self.known_after = number;
    }

    /// The outcome of a change, if this state of revision `number` determines it. [`Rejection::Unknown`] if
    /// it is determined, but not known to this machine.
    pub fn outcome_of(
        &self, change: &Change, number: Number, state: &State,
    ) -> Option<Result<Number, Rejection>> {
        let id = change.id;
        let last = last_sequence(state, id.author);
        if let Some((applied_in, known_digest)) = self.applied.get(&id) {
            let same = content_digest(change) == *known_digest;
            return Some(if same { Ok(*applied_in) } else { Err(Rejection::Sequence(id.sequence, last)) });
        }
        if id.sequence > last {
            return None;
        }
        if id.sequence == last && change.base < self.known_after {
            // The change is in the state; the revision that applied it is no longer known here.
            return Some(Ok(number));
        }
        let has_all_outcomes = change.base >= self.known_after;
        Some(Err(if has_all_outcomes { Rejection::Sequence(id.sequence, last) } else { Rejection::Unknown }))
    }
}
