//! What became of the changes of the last revisions.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{last_sequence, Change, ChangeId, Rejection};
use crate::state::State;
use crate::{digest, Digest, Number};

/// Changes that are remembered at most: more than a day's.
const KEPT: usize = 16_384;

/// What became of the changes of the last revisions.
pub(crate) struct Outcomes {
    taken: BTreeMap<ChangeId, (Number, Digest)>,
    order: VecDeque<ChangeId>,
    /// All changes of revisions after this one are remembered.
    since: Number,
}

fn content(change: &Change) -> Digest {
    digest(&change.signed_bytes())
}

impl Outcomes {
    pub fn new(since: Number) -> Self {
        Self { taken: BTreeMap::new(), order: VecDeque::new(), since }
    }

    /// A batch was applied.
    pub fn applied(&mut self, number: Number, changes: &[Change]) {
        for change in changes {
            self.taken.insert(change.id, (number, content(change)));
            self.order.push_back(change.id);
        }
        while self.order.len() > KEPT {
            let oldest = self.order.pop_front().and_then(|id| self.taken.remove(&id));
            self.since = oldest.map_or(self.since, |(number, _)| number.max(self.since));
        }
    }

    /// Revisions up to this one were taken without their batches.
    pub fn skipped(&mut self, number: Number) {
        self.since = number;
    }

    /// What became of a change, if that is settled in this state of revision `number`. Unknown: it is settled, and this
    /// machine does not know how.
    pub fn of(&self, change: &Change, number: Number, state: &State) -> Option<Result<Number, Rejection>> {
        let id = change.id;
        let last = last_sequence(state, id.author);
        if let Some((taken, held)) = self.taken.get(&id) {
            let same = content(change) == *held;
            return Some(if same { Ok(*taken) } else { Err(Rejection::Sequence(id.sequence, last)) });
        }
        if id.sequence > last {
            return None;
        }
        if id.sequence == last && change.base < self.since {
            // It is in the state; in which revision it came is not known here any more.
            return Some(Ok(number));
        }
        let known = change.base >= self.since;
        Some(Err(if known { Rejection::Sequence(id.sequence, last) } else { Rejection::Unknown }))
    }
}
