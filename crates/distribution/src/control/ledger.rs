//! The state of the highest certified revision that this machine has, with its history and deltas.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::change::{History, Summary};
use crate::log::{DeltaLog, Limits};
use crate::message::ToWatcher;
use crate::state::{Edit, State};
use crate::{Certified, Digest, Number};

/// The number of revisions whose changed keys are known, to detect conflicts: more than a day's.
const HISTORY_REVISIONS: usize = 16_384;

/// A revision with its state.
#[derive(Debug)]
pub(crate) struct Revision {
    pub number: Number,
    /// Its certificate and summary; `None` for revision 0.
    pub proof: Option<(Certified, Summary)>,
    pub state: State,
}

/// The state of the highest certified revision that this machine has, with its history and deltas.
pub(crate) struct Ledger {
    latest: Arc<Revision>,
    history: History,
    log: DeltaLog,
    /// The roots of the revisions from which the log has deltas.
    roots: BTreeMap<Number, Digest>,
    /// Whether the last revision allowed for activation is retained while later ones wait.
    retains_allowed: bool,
    /// The last revision whose activation is allowed.
    allowed: Option<Arc<Revision>>,
}

impl Ledger {
    pub fn new(revision: Revision) -> Self {
        let (number, root) = (revision.number, revision.state.root());
        Self {
            latest: Arc::new(revision),
            history: History::new(number, HISTORY_REVISIONS),
            log: DeltaLog::new(number, Limits::default()),
            roots: BTreeMap::from([(number, root)]),
            retains_allowed: false,
            allowed: None,
        }
    }

    /// From now on retains the last revision allowed for activation, for watchers that have no revision and
    /// would wait for a later one. That wait is long when a partitioned region is waited for.
    pub fn retain_allowed(&mut self) {
        self.retains_allowed = true;
    }

    /// The last revision allowed for activation, if the watcher lacks it and the latest is not allowed
    /// yet.
    pub fn allowed_for(&self, active: Number, prepared: Number) -> Option<&Arc<Revision>> {
        let allowed = self.allowed.as_ref()?;
        let is_useful = allowed.number > active.max(prepared) && allowed.number < self.number();
        is_useful.then_some(allowed)
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

    /// Advances to a later revision by the edits from the previous one, or from the current one if several
    /// revisions are applied at once. In the latter case the log attributes all edits to the last revision,
    /// which is correct for deltas from each revision in between as well; which revision changed a key is not
    /// known.
    pub fn advance(&mut self, revision: Revision, edits: &[Edit]) {
        if revision.number == self.number() + 1 {
            self.history.record(revision.number, edits);
        } else {
            self.history = History::new(revision.number, HISTORY_REVISIONS);
        }
        for number in self.number() + 1..revision.number {
            self.log.push(number, Vec::new());
        }
        self.log.push(revision.number, edits.to_vec());
        self.set_latest(revision);
    }

    /// Replaces everything by a later revision of which only the state is known.
    pub fn jump(&mut self, revision: Revision) {
        let (retains_allowed, allowed) = (self.retains_allowed, self.allowed.take());
        *self = Self { retains_allowed, allowed, ..Self::new(revision) };
    }

    fn set_latest(&mut self, revision: Revision) {
        self.roots.insert(revision.number, revision.state.root());
        let floor = self.log.floor();
        self.roots.retain(|number, _| *number >= floor);
        self.latest = Arc::new(revision);
    }

    /// Adds activation grants that arrived after the certificate of the latest revision.
    pub fn add_activation_grants(&mut self, certificate: &Certified) {
        let Some((known, summary)) = &self.latest.proof else { return };
        if known.number() != certificate.number() {
            return;
        }
        if known.activation_grants.len() < certificate.activation_grants.len() {
            let proof = Some((certificate.clone(), *summary));
            let state = self.latest.state.clone();
            self.latest = Arc::new(Revision { number: self.latest.number, proof, state });
        }
        if self.retains_allowed {
            self.allowed = Some(self.latest.clone());
        }
    }

    /// The delta from a base to the latest revision. `None` if the log does not reach back, or the state at
    /// the base is not the one certified with its number.
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
