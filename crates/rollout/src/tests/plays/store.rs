//! A configuration that takes a change only where none of its keys was changed after its base, as the
//! distribution tier does.

use std::collections::BTreeMap;

use badgerledge_distribution::Number;

use crate::{Proposal, Read, Rollout};

/// A change that was taken.
pub struct Taken {
    pub at: u64,
    /// Whether an operator's order made it.
    pub by_order: bool,
    pub from: Option<Rollout>,
    pub to: Rollout,
}

#[derive(Default)]
pub struct Store {
    revision: Number,
    /// Values, and the revision that changed each last.
    entries: BTreeMap<String, (Option<String>, Number)>,
    pub log: Vec<Taken>,
    pub rejected: usize,
}

impl Store {
    pub fn read(&self) -> Read {
        let told =
            self.entries.iter().filter_map(|(key, (value, _))| Some((key.as_str(), value.as_deref()?)));
        Read {
            revision: self.revision,
            rollout: Rollout::of_entries(told).expect("only whole states are written"),
        }
    }

    pub fn push(&mut self, at: u64, by_order: bool, proposal: &Proposal) {
        let changed_in = |key: &String| self.entries.get(key).map_or(0, |(_, revision)| *revision);
        if proposal.edits.iter().any(|edit| changed_in(&edit.key) > proposal.base) {
            self.rejected += 1;
            return;
        }
        let from = self.read().rollout;
        self.revision += 1;
        for edit in proposal.edits.clone() {
            let value = edit.value.map(|value| String::from_utf8(value).expect("states are text"));
            self.entries.insert(edit.key, (value, self.revision));
        }
        let to = self.read().rollout.expect("nobody takes a roll away");
        self.log.push(Taken { at, by_order, from, to });
    }
}
