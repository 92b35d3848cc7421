//! Whether controllers can act on what a pushed change leads to. One that they can't act on would have all of them hold new
//! joins back as soon as it is allowed, so it is rejected where it comes in, with the reason.
//!
//! Each change is judged by itself here, on the highest certified state. Two that fit alone and not together, pushed at
//! once, are found by [`state_check`], with which the control machine judges whole batches.

use badgerledge_changes::arrange;
use badgerledge_deployment::{RevisionText, StateReader};
use badgerledge_distribution::change::{last_sequence, Change, Rejection};
use badgerledge_distribution::control::StateCheck;
use badgerledge_distribution::state::State;
use badgerledge_keys::Keys;

/// Judges pushed changes.
pub struct PushCheck {
    keys: Keys,
    reader: StateReader,
}

impl PushCheck {
    pub fn new(keys: Keys) -> Self {
        Self { keys, reader: StateReader::default() }
    }

    pub fn take_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Whether a change may go on to the sequencer. What is rejected there for another reason, or was taken before, is not
    /// judged here: nobody without an author's key has states read.
    ///
    /// # Errors
    /// Why no controller could act on the state that it leads to.
    pub fn check(&mut self, state: &State, change: &Change) -> Result<(), Rejection> {
        let is_new = change.id.sequence > last_sequence(state, change.id.author);
        if !is_new || !change.is_signed(&self.keys) {
            return Ok(());
        }
        let mut next = state.clone();
        if next.apply(&change.edits).is_err() {
            return Ok(());
        }
        can_follow(&mut self.reader, state, &next).map_err(Rejection::State)
    }
}

/// Judges the states that batches lead to.
pub fn state_check() -> StateCheck {
    let mut reader = StateReader::default();
    Box::new(move |before, after| can_follow(&mut reader, before, after))
}

/// Whether controllers that act on one state can act on another one after it.
fn can_follow(reader: &mut StateReader, before: &State, after: &State) -> Result<(), String> {
    let next = reader.read(after)?;
    // Where the present state is none that controllers act on, any that they can act on mends it.
    match reader.read(before) {
        Ok(present) => follows(&present, &next),
        Err(_) => Ok(()),
    }
}

/// Whether controllers that act on a configuration can act on another one after it.
fn follows(before: &RevisionText, after: &RevisionText) -> Result<(), String> {
    match (before.titles().is_empty(), after.titles().is_empty()) {
        (true, false) => {
            Err("it has titles, and titles do not go with the settings in this fleet".to_owned())
        }
        (false, true) => Err("it has no titles, and titles go with the settings in this fleet".to_owned()),
        _ => arrange(before.shared(), after.shared().clone()).map(drop),
    }
}
