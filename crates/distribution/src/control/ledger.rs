//! The state of the highest certified revision that is here, and what leads to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::change::{History, Summary};
use crate::log::{DeltaLog, Limits};
use crate::message::ToWatcher;
use crate::state::{Edit, State};
use crate::{Certified, Digest, Number};

/// Revisions of which it is known what they changed, for conflicts: more than a day's.
const HISTORY: usize = 16_384;

/// A revision with its state.
#[derive(Debug)]
pub(crate) struct Revision {
    pub number: Number,
    /// What shows that it is certified; nothing for revision 0.
    pub proof: Option<(Certified, Summary)>,
    pub state: State,
}

/// The state of the highest certified revision that is here, and what leads to it.
pub(crate) struct Ledger {
    latest: Arc<Revision>,
    history: History,
    log: DeltaLog,
    /// Roots of the revisions that the log reaches.
    roots: BTreeMap<Number, Digest>,
    /// Whether the last allowed revision is kept while later ones wait.
    keeps_allowed: bool,
    /// The last revision that may be acted on.
    allowed: Option<Arc<Revision>>,
}

impl Ledger {
    pub fn new(revision: Revision) -> Self {
        let (number, root) = (revision.number, revision.state.root());
        Self {
            latest: Arc::new(revision),
            history: History::new(number, HISTORY),
            log: DeltaLog::new(number, Limits::default()),
            roots: BTreeMap::from([(number, root)]),
            keeps_allowed: false,
            allowed: None,
        }
    }

    /// Keeps the last revision that may be acted on from now on, for who has none and would wait for a later one: that may
    /// take long where regions apart are waited for.
    pub fn keep_allowed(&mut self) {
        self.keeps_allowed = true;
    }

    /// The last revision that may be acted on, for one that does not have it, while the latest may not.
    pub fn allowed_before(&self, active: Number, held: Number) -> Option<&Arc<Revision>> {
        let allowed = self.allowed.as_ref()?;
        let lacks = allowed.number > active.max(held) && allowed.number < self.number();
        lacks.then_some(allowed)
    }

    pub fn latest(&self) -> &Arc<Revision> {
        &self.latest
    }

    pub fn number(&self) -> Number {
        self.latest.number
    }

    pub fn state(&self) -> &State {
        &self.latest.state
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    pub fn log_floor(&self) -> Number {
        self.log.floor()
    }

    pub fn root_of(&self, number: Number) -> Option<Digest> {
        self.roots.get(&number).copied()
    }

    /// Goes on to a later revision by the edits that lead there from the one before, or from the present one where several
    /// are taken at once. For deltas these count then as the last one's: they lead there from each between as well. Which
    /// revision changed a key is not known then.
    pub fn advance(&mut self, revision: Revision, edits: &[Edit]) {
        if revision.number == self.number() + 1 {
            self.history.record(revision.number, edits);
        } else {
            self.history = History::new(revision.number, HISTORY);
        }
        for between in self.number() + 1..revision.number {
            self.log.push(between, Vec::new());
        }
        self.log.push(revision.number, edits.to_vec());
        self.set_latest(revision);
    }

    /// Takes a later revision of which nothing is known but the state.
    pub fn jump(&mut self, revision: Revision) {
        let (keeps_allowed, allowed) = (self.keeps_allowed, self.allowed.take());
        *self = Self { keeps_allowed, allowed, ..Self::new(revision) };
    }

    fn set_latest(&mut self, revision: Revision) {
        self.roots.insert(revision.number, revision.state.root());
        let floor = self.log.floor();
        self.roots.retain(|number, _| *number >= floor);
        self.latest = Arc::new(revision);
    }

    /// The acceptors' words to act that came since.
    pub fn take_goes(&mut self, certificate: &Certified) {
        let Some((held, summary)) = &self.latest.proof else { return };
        if held.number() != certificate.number() {
            return;
        }
        if held.activation_grants.len() < certificate.activation_grants.len() {
            let proof = Some((certificate.clone(), *summary));
            let state = self.latest.state.clone();
            self.latest = Arc::new(Revision { number: self.latest.number, proof, state });
        }
        if self.keeps_allowed {
            self.allowed = Some(self.latest.clone());
        }
    }

    /// What leads from a base to the latest revision in one message; nothing where the log does not reach back, or the base
    /// is another state than the one certified with its number.
    pub fn delta(&self, base: Number, base_root: &Digest) -> Option<ToWatcher> {
        let (certificate, summary) = self.latest.proof.clone()?;
        if self.roots.get(&base) != Some(base_root) {
            return None;
        }
        let edits = self.log.since(base)?;
        Some(ToWatcher::Delta { certificate, summary, base, base_root: *base_root, edits })
    }
}

impl Revision {
    /// The first message of a snapshot.
    pub fn snapshot(&self) -> Option<ToWatcher> {
        let (certificate, summary) = self.proof.clone()?;
        Some(ToWatcher::Snapshot { certificate, summary, groups: self.state.group_digests() })
    }

    pub fn group(&self, group: u8) -> ToWatcher {
        ToWatcher::Group { group, buckets: self.state.group(group) }
    }

    pub fn bucket(&self, bucket: u16) -> ToWatcher {
        ToWatcher::Bucket { bucket, entries: self.state.bucket(bucket) }
    }
}
