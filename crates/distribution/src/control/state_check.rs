//! Whether controllers can act on the state that a batch leads to.
//!
//! Each change of a batch may fit by itself and not together with another one. A state that no controller can act on
//! would have all of them hold back, so the sequencer builds no batch that leads to one, and acceptors don't vote for it.

use crate::change::{Batch, BuiltBatch, Change, History, Limits, Rejection};
use crate::state::State;
use crate::{Number, Signer};

/// Judges a state by the one before it, on which controllers act: why they can't go on from there.
pub type StateCheck = Box<dyn FnMut(&State, &State) -> Result<(), String> + Send>;

/// Takes every state.
pub(crate) fn accept_all() -> StateCheck {
    Box::new(|_, _| Ok(()))
}

/// Builds a batch from as many of the first changes as lead to a state that is taken. One that alone does not is rejected.
pub(crate) fn build_fitting(
    number: Number, state: &State, history: &History, mut changes: Vec<Change>, hand: &impl Signer,
    check: &mut StateCheck,
) -> BuiltBatch {
    loop {
        let built = Batch::build(number, state, history, changes, hand, Limits::default());
        let taken = built.batch.changes.len();
        if taken == 0 {
            return built;
        }
        let Err(reason) = check(state, &built.state) else { return built };
        if taken == 1 {
            let rejected = built.batch.changes.iter().map(|change| change.id);
            let rejected = rejected.map(|id| (id, Rejection::State(reason.clone()))).collect();
            let nothing = Batch::build(number, state, history, Vec::new(), hand, Limits::default());
            return BuiltBatch { rejected, ..nothing };
        }
        changes = built.batch.changes;
        changes.truncate(taken / 2);
    }
}
