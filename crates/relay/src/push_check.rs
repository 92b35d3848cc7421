//! Checks whether controllers can apply the state that a pushed change leads to. A change that they cannot apply would make
//! all of them hold back new joins once it is active, so the relay that receives it rejects it with the reason.
//!
//! [`PushCheck`] checks each change alone, against the highest certified state. Two concurrent changes that are each valid
//! but conflict with each other are found by [`state_check`], with which the control machine checks whole batches.

use badgerledge_changes::preserve_numbers;
use badgerledge_deployment::{RevisionText, StateReader};
use badgerledge_distribution::change::{last_sequence, Change, Rejection};
use badgerledge_distribution::control::StateCheck;
use badgerledge_distribution::state::State;
use badgerledge_keys::Keys;

/// Checks individual pushed changes.
pub struct PushCheck {
    keys: Keys,
    reader: StateReader,
}

impl PushCheck {
    /// A check that verifies authors' signatures with these keys.
    pub fn new(keys: Keys) -> Self {
        Self { keys, reader: StateReader::default() }
    }

    /// Replaces the keys that authors' signatures are verified with.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Checks a change before it goes to the sequencer. A change that the sequencer rejects for another reason, or that was
    /// applied before, passes: so clients without an author's key cannot cause the cost of reading states.
    ///
    /// # Errors
    /// Why controllers could not apply the resulting state.
    pub fn check(&mut self, state: &State, change: &Change) -> Result<(), Rejection> {
        let is_new = change.id.sequence > last_sequence(state, change.id.author);
        if !is_new || !change.is_signed(&self.keys) {
            return Ok(());
        }
        let mut next = state.clone();
        if next.apply(&change.edits).is_err() {
            return Ok(());
        }
        check_transition(&mut self.reader, state, &next).map_err(Rejection::State)
    }
}

/// The check of the state that a whole batch leads to.
pub fn state_check() -> StateCheck {
    let mut reader = StateReader::default();
    Box::new(move |before, after| check_transition(&mut reader, before, after))
}

/// Checks whether controllers can change from one state to another, and returns the reason if not.
fn check_transition(reader: &mut StateReader, before: &State, after: &State) -> Result<(), String> {
    let next = reader.read(after)?;
    // If controllers cannot apply the current state either, any state that they can apply is an improvement.
    match reader.read(before) {
        Ok(current) => check_texts(&current, &next),
        Err(_) => Ok(()),
    }
}

/// Checks whether controllers can change from one configuration to another, and returns the reason if not.
fn check_texts(before: &RevisionText, after: &RevisionText) -> Result<(), String> {
    match (before.titles().is_empty(), after.titles().is_empty()) {
        (true, false) => {
            Err("the change adds titles, but titles are not part of the shared settings in this fleet"
                .to_owned())
        }
        (false, true) => {
            Err("the change removes all titles, but titles are part of the shared settings in this fleet"
                .to_owned())
        }
        _ => preserve_numbers(before.shared(), after.shared().clone()).map(drop),
    }
}
