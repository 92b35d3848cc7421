//! Checks whether controllers can act on the state that a batch results in.
//!
//! Each change of a batch may be valid by itself but not together with another one. All controllers would
//! stop acting on a state that none of them can use, so the sequencer builds no batch that results in such a
//! state, and acceptors do not vote for one.

use crate::change::{Batch, BuiltBatch, Change, History, Limits, Rejection};
use crate::state::State;
use crate::{Number, Signer};

/// Checks a state, the second argument, against the first one, on which controllers act. The error says why
/// they cannot continue with it.
pub type StateCheck = Box<dyn FnMut(&State, &State) -> Result<(), String> + Send>;

/// Accepts every state.
pub(crate) fn accept_all() -> StateCheck {
    Box::new(|_, _| Ok(()))
}

/// Builds a batch from the first changes: their number is halved until the resulting state is accepted. A
/// change whose state is not accepted on its own is rejected.
pub(crate) fn build_acceptable(
    number: Number, state: &State, history: &History, mut changes: Vec<Change>, signer: &impl Signer,
    check: &mut StateCheck,
) -> BuiltBatch {
    loop {
        let built = Batch::build(number, state, history, changes, signer, Limits::default());
        let included = built.batch.changes.len();
        if included == 0 {
            return built;
        }
        let Err(reason) = check(state, &built.state) else { return built };
        if included == 1 {
            let rejected = built.batch.changes.iter().map(|change| change.id);
            let rejected = rejected.map(|id| (id, Rejection::State(reason.clone()))).collect();
            let empty = Batch::build(number, state, history, Vec::new(), signer, Limits::default());
            return BuiltBatch { rejected, ..empty };
        }
        changes = built.batch.changes;
        changes.truncate(included / 2);
    }
}
