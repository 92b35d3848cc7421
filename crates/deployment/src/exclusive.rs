//! Decides whether edits of a state change a key of which two controllers must not apply different values at
//! once.

use badgerledge_distribution::state::{Edit, State};

use crate::entries::{is_reserved, split_setting_key, title_id};
use crate::kinds::{kind_of, Kind};

/// Whether any of these edits changes an exclusive key of a state. Unknown and malformed keys count as
/// exclusive.
pub fn is_exclusive(before: &State, edits: &[Edit]) -> bool {
    edits.iter().any(|edit| edit_is_exclusive(before, edit))
}

fn edit_is_exclusive(before: &State, edit: &Edit) -> bool {
    let old_value = before.get(&edit.key);
    if is_reserved(&edit.key) || old_value == edit.value.as_deref() {
        return false;
    }
    match title_id(&edit.key) {
        // Adding a title is free. Removing one would be free by itself, but a second change could add it
        // again on other cells: a controller that applies neither change must not run beside one that applies
        // both.
        Ok(Some(_)) => old_value.is_some(),
        Ok(None) => split_setting_key(&edit.key)
            .is_none_or(|(section, key)| key.is_empty() || kind_of(section, key) == Kind::Exclusive),
        Err(_) => true,
    }
}
