//! Whether edits of a state change what two controllers must not act on in both ways at once.

use badgerledge_distribution::state::{Edit, State};

use crate::entries::{is_reserved, setting_of, title_id};
use crate::kinds::{kind_of, Kind};

/// Whether any of these edits changes an exclusive key of a state. What can't be told is exclusive.
pub fn is_exclusive(before: &State, edits: &[Edit]) -> bool {
    edits.iter().any(|edit| edit_is_exclusive(before, edit))
}

fn edit_is_exclusive(before: &State, edit: &Edit) -> bool {
    let held = before.get(&edit.key);
    if is_reserved(&edit.key) || held == edit.value.as_deref() {
        return false;
    }
    match title_id(&edit.key) {
        // One that comes is free. One that goes is free by itself, and could come back elsewhere by a second change: whoever
        // acts on neither must not go on beside who acts on both.
        Ok(Some(_)) => held.is_some(),
        Ok(None) => setting_of(&edit.key)
            .is_none_or(|(section, key)| key.is_empty() || kind_of(section, key) == Kind::Exclusive),
        Err(_) => true,
    }
}
