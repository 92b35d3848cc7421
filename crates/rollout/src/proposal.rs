//! Changes of the state, as the configuration's distribution takes them.

use std::collections::BTreeMap;

use badgerledge_deployment::entries::setting_key;
use badgerledge_distribution::state::Edit;
use badgerledge_distribution::Number;

use crate::state::{Progress, Rollout, Status, Subject};
use crate::text::SECTION;

/// The roll as it stood in a certified revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    pub revision: Number,
    pub rollout: Option<Rollout>,
}

/// One change, to be pushed against the revision that it was made from. It is rejected where one of its
/// keys was changed after that revision; every change edits [`epoch_key`], so of two made from one state
/// at most one is taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    pub base: Number,
    pub edits: Vec<Edit>,
}

/// The key that every change of a roll's state edits.
pub fn epoch_key() -> String {
    setting_key(SECTION, "epoch")
}

impl Proposal {
    /// The change from what was read to `to`.
    pub fn between(read: &Read, to: &Rollout) -> Self {
        let entries = |rollout: &Rollout| -> BTreeMap<String, Vec<u8>> {
            rollout.entries().into_iter().map(|entry| (entry.key, entry.value)).collect()
        };
        let old = read.rollout.as_ref().map(entries).unwrap_or_default();
        let mut new = entries(to);
        let gone = old.keys().filter(|key| !new.contains_key(*key));
        let mut edits: Vec<Edit> = gone.map(|key| Edit { key: key.clone(), value: None }).collect();
        new.retain(|key, value| old.get(key) != Some(value));
        edits.extend(new.into_iter().map(|(key, value)| Edit { key, value: Some(value) }));
        if to.progress.status == Status::Done {
            edits.extend(settled(&to.spec.subject));
        }
        Self { base: read.revision, edits }
    }
}

/// Settings that all act on become the fleet's own, with the change that ends the roll.
fn settled(subject: &Subject) -> Vec<Edit> {
    let Subject::Settings(settings) = subject else { return Vec::new() };
    let edit = |((section, key), value): (&(String, String), &String)| Edit {
        key: setting_key(section, key),
        value: Some(value.clone().into_bytes()),
    };
    settings.iter().map(edit).collect()
}

/// The next state of a roll: its progress changed, its epoch raised by one.
pub(crate) fn next(from: &Rollout, unix_s: u64, why: &str, change: impl FnOnce(&mut Progress)) -> Rollout {
    let mut to = from.clone();
    change(&mut to.progress);
    to.progress.epoch = from.progress.epoch + 1;
    to.progress.since = unix_s;
    to.progress.why = why.to_owned();
    to
}
