//! The invariants of each simulation, recorded while it runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_revisions::message::Message;

use super::{Net, Node};
use crate::change::{Batch, ChangeId, Rejection, Summary};
use crate::control::{ConnectionId, ControlMachine};
use crate::lease::contradiction_bound;
use crate::message::{PeerMessage, ToWatcher};
use crate::{digest, ControllerId, Digest, MachineId, Number};

use super::{ACTIVATION_DELAY, EXCLUSIVE};

/// What was observed in a simulation.
#[derive(Default)]
pub struct Observations {
    /// Heads that were known to be certified at any time, by number, with the text digest of each.
    certified: BTreeMap<Number, BTreeSet<(Digest, Digest)>>,
    /// The roots of the states that machines had, by number.
    roots: BTreeMap<Number, BTreeSet<Digest>>,
    /// Batches by the text digest of their head.
    batches: BTreeMap<Digest, Batch>,
    /// Only exclusive revisions contradict others, since partitioned regions continue with older ones.
    only_exclusive: bool,
    /// Messages between machines about regional grants and relay leases.
    pub regional_messages: usize,
    /// Regional leases that relays sent.
    pub regional_leases: usize,
    /// When a watcher first acted on each revision.
    first_active: BTreeMap<Number, Duration>,
    /// When each watcher first acted on each revision.
    first_active_by: BTreeMap<ControllerId, BTreeMap<Number, Duration>>,
    /// The longest time for which a watcher acted on a revision after another one acted on a contradicting
    /// one.
    pub longest_contradiction: Duration,
    /// Pushes by their connections, with the machine and its incarnation.
    pushes: BTreeMap<ConnectionId, (ChangeId, MachineId, u32)>,
    outcomes: BTreeMap<ConnectionId, Vec<Result<Number, Rejection>>>,
    pub snapshots: usize,
    pub deltas: usize,
    pub buckets: usize,
}

impl Observations {
    /// Nothing has been observed yet.
    pub fn new(only_exclusive: bool) -> Self {
        Self { only_exclusive, ..Self::default() }
    }

    pub fn batch(&mut self, summary: &Summary, bytes: &[u8]) {
        let batch = Batch::decode(bytes).expect("a batch that is stored");
        self.batches.insert(digest(&summary.text()), batch);
    }

    pub fn pushed(
        &mut self, connection: ConnectionId, id: ChangeId, (machine, incarnation): (MachineId, u32),
    ) {
        self.pushes.insert(connection, (id, machine, incarnation));
    }

    pub fn on_outcome(&mut self, connection: ConnectionId, outcome: Result<Number, Rejection>) {
        self.outcomes.entry(connection).or_default().push(outcome);
    }

    pub fn sent_down(&mut self, message: &ToWatcher) {
        match message {
            ToWatcher::Delta { .. } => self.deltas += 1,
            ToWatcher::Snapshot { .. } => self.snapshots += 1,
            ToWatcher::Bucket { .. } => self.buckets += 1,
            ToWatcher::RegionalLease(_) => self.regional_leases += 1,
            _ => {}
        }
    }

    pub fn sent_to_peer(&mut self, message: &PeerMessage) {
        let message = match message {
            PeerMessage::Agreement(bytes) => Message::read(bytes),
            PeerMessage::RequestRegionalGrant { .. } | PeerMessage::RegionalGrant(_) => {
                self.regional_messages += 1;
                None
            }
            _ => None,
        };
        if let Some(
            Message::RelayLeaseRequest { .. } | Message::RelayLease { .. } | Message::ReadyToActivate { .. },
        ) = message
        {
            self.regional_messages += 1;
        }
    }

    /// Whether a revision changes an exclusive key.
    fn is_exclusive(&self, number: Number) -> bool {
        let of_batch = |batch: &Batch| {
            let edits = batch.changes.iter().flat_map(|change| &change.edits);
            edits.into_iter().any(|edit| edit.key.starts_with(EXCLUSIVE))
        };
        let named = self.certified.get(&number).and_then(|heads| heads.first());
        match named.and_then(|(_, text)| self.batches.get(text)) {
            Some(batch) => of_batch(batch),
            None => self.batches.values().any(|batch| batch.number == number && of_batch(batch)),
        }
    }

    /// Since when a watcher has acted on a revision that contradicts this one.
    fn contradicted_since(&self, active: Number) -> Option<Duration> {
        let later = self.first_active.range(active + 1..);
        let exclusive = (active + 1..=self.highest()).find(|number| self.is_exclusive(*number));
        let first = if self.only_exclusive { exclusive? } else { active + 1 };
        later.filter(|(number, _)| **number >= first).map(|(_, at)| *at).min()
    }

    /// The outcome of a push that its tool received.
    pub fn outcome(&self, push: Option<ConnectionId>) -> Option<&Result<Number, Rejection>> {
        self.outcomes.get(&push?).and_then(|outcomes| outcomes.first())
    }

    /// When the last of `watchers` watchers began to act on a revision or a later one.
    pub fn active_at_all(&self, number: Number, watchers: usize) -> Option<Duration> {
        let first_active_at =
            |first_active: &BTreeMap<Number, Duration>| first_active.range(number..).map(|(_, at)| *at).min();
        let all: Vec<Duration> = self.first_active_by.values().filter_map(first_active_at).collect();
        (all.len() == watchers).then(|| all.into_iter().max()).flatten()
    }

    /// The numbers of pushes that were accepted, rejected, of unknown outcome, and without an answer.
    pub fn count_outcomes(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for push in self.pushes.keys() {
            let kind = match self.outcome(Some(*push)) {
                Some(Ok(_)) => 0,
                Some(Err(Rejection::Unknown)) => 2,
                Some(Err(_)) => 1,
                None => 3,
            };
            counts[kind] += 1;
        }
        counts
    }

    pub fn highest(&self) -> Number {
        self.certified.keys().next_back().copied().unwrap_or(0)
    }

    /// The certified revisions in which each change was applied; there must be at most one.
    fn applied(&self) -> BTreeMap<ChangeId, Vec<Number>> {
        let mut applied: BTreeMap<ChangeId, Vec<Number>> = BTreeMap::new();
        // If two revisions were certified in one step, no machine was observed with the lower one. The batch
        // of the higher one names its root.
        let mut next_root = None;
        for number in (1..=self.highest()).rev() {
            let named = self.certified.get(&number).and_then(|heads| heads.first()).map(|(_, text)| *text);
            let by_root = || {
                let of_number = self.batches.iter().filter(|(_, batch)| batch.number == number);
                let leads = |root: Digest| self.roots.get(&number).is_some_and(|roots| roots.contains(&root));
                let known = next_root.filter(|root| leads(*root));
                of_number.map(|(text, _)| *text).find(|_| known.is_some())
            };
            let Some(batch) = named.or_else(by_root).and_then(|text| self.batches.get(&text)) else {
                continue;
            };
            next_root = Some(batch.previous_root);
            for change in &batch.changes {
                applied.entry(change.id).or_default().push(number);
            }
        }
        applied
    }

    /// The invariants that were violated.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (number, heads) in self.certified.iter().filter(|(_, heads)| heads.len() > 1) {
            faults.push(format!("{} certified with number {number}", heads.len()));
        }
        for (number, roots) in self.roots.iter().filter(|(_, roots)| roots.len() > 1) {
            faults.push(format!("{} states of revision {number}", roots.len()));
        }
        if self.longest_contradiction > contradiction_bound(ACTIVATION_DELAY) {
            faults.push(format!(
                "contradicting for {:?}, maximum {:?}",
                self.longest_contradiction,
                contradiction_bound(ACTIVATION_DELAY)
            ));
        }
        let applied = self.applied();
        for (id, numbers) in applied.iter().filter(|(_, numbers)| numbers.len() > 1) {
            faults.push(format!("{id:?} was applied in revisions {numbers:?}"));
        }
        let pushed_again =
            |id: &ChangeId| self.pushes.values().filter(|(pushed, ..)| pushed == id).count() > 1;
        for (push, outcomes) in &self.outcomes {
            let Some((id, ..)) = self.pushes.get(push) else { continue };
            let applied_in = applied.get(id);
            let consistent = match &outcomes[..] {
                [Ok(number)] => applied_in.is_some_and(|numbers| numbers[0] <= *number),
                [Err(Rejection::Unknown)] => true,
                // One machine may lack the base while another, to which the same change was pushed, has it.
                [Err(Rejection::BaseTooOld(..) | Rejection::BaseAhead(..))] => {
                    applied_in.is_none() || pushed_again(id)
                }
                [Err(_)] => applied_in.is_none(),
                _ => false,
            };
            if !consistent {
                faults
                    .push(format!("{id:?}: reported {outcomes:?}, but applied in revisions {applied_in:?}"));
            }
        }
        faults
    }

    /// Changes without an outcome from machines that did not restart.
    pub fn unanswered(&self, incarnation_of: impl Fn(MachineId) -> u32) -> Vec<ChangeId> {
        let unanswered = self.pushes.iter().filter(|(push, _)| !self.outcomes.contains_key(push));
        let running =
            unanswered.filter(|(_, (_, machine, incarnation))| incarnation_of(*machine) == *incarnation);
        running.map(|(_, (id, ..))| *id).collect()
    }
}

impl Net {
    pub(super) fn observe_machine(&mut self, node_id: MachineId) {
        let Some(machine) = &self.machines[usize::from(node_id)].machine else { return };
        if let Some(certified) = machine.certificate() {
            let head = (certified.digest(), certified.signed.head.text);
            self.observed.certified.entry(certified.number()).or_default().insert(head);
        }
        self.observed.roots.entry(machine.number()).or_default().insert(machine.state().root());
    }

    /// Records the active revision of a watcher, and how long it has contradicted those of others.
    pub(super) fn observe_watcher(&mut self, node_id: ControllerId) {
        let slot = &self.watchers[node_id as usize];
        let Some(watcher) = &slot.watcher else { return };
        // A stalled watcher makes no decisions.
        if slot.stalled_until > self.now {
            return;
        }
        let acting = watcher.acting(self.now.mul_f64(slot.clock_rate));
        if acting.hold_reason.is_some() && !self.disabled.no_lease {
            return;
        }
        self.observed.first_active.entry(acting.active).or_insert(self.now);
        self.observed.first_active_by.entry(node_id).or_default().entry(acting.active).or_insert(self.now);
        let newer = self.observed.contradicted_since(acting.active);
        let contradiction = newer.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        self.observed.longest_contradiction = self.observed.longest_contradiction.max(contradiction);
    }

    pub fn machine(&self, node_id: MachineId) -> &ControlMachine<crate::tests::signer::DigestSigner> {
        self.machines[usize::from(node_id)].machine.as_ref().expect("a machine that runs")
    }

    /// The active revision of each running watcher; `None` for one that must not act.
    pub fn active(&self) -> Vec<Option<Number>> {
        let acting = |slot: &super::WatcherSlot| {
            let acting = slot.watcher.as_ref()?.acting(self.now.mul_f64(slot.clock_rate));
            acting.hold_reason.is_none().then_some(acting.active)
        };
        self.watchers.iter().map(acting).collect()
    }

    /// Whether all watchers outside a region have prepared the last certified revision.
    pub fn has_prepared(&self, excluded_region: u32) -> bool {
        let prepared = |slot: &super::WatcherSlot| {
            let watcher = slot.watcher.as_ref()?;
            watcher.acting(self.now.mul_f64(slot.clock_rate)).prepared
        };
        let outside = |node_id: &ControllerId| super::region_of(Node::Watcher(*node_id)) != excluded_region;
        let mut all = (0..self.watchers.len() as ControllerId).filter(outside);
        all.all(|node_id| prepared(&self.watchers[node_id as usize]) == Some(self.observed.highest()))
    }

    /// Whether a watcher is connected to a running machine in both directions.
    fn is_reachable(&self, node_id: ControllerId) -> bool {
        let runs = |machine: &MachineId| self.machines[usize::from(*machine)].machine.is_some();
        let open = |machine: &MachineId| {
            let link = (Node::Watcher(node_id), Node::Machine(*machine));
            !self.is_cut(link.0, link.1) && !self.is_cut(link.1, link.0)
        };
        (0..self.machines.len() as MachineId).any(|machine| runs(&machine) && open(&machine))
    }

    /// Reachable watchers that do not act on the last certified revision.
    pub fn lagging(&self) -> Vec<ControllerId> {
        let highest = self.observed.highest();
        let active = self.active();
        let runs = |node_id: &ControllerId| self.watchers[*node_id as usize].watcher.is_some();
        let all = 0..self.watchers.len() as ControllerId;
        all.filter(|node_id| {
            runs(node_id) && self.is_reachable(*node_id) && active[*node_id as usize] != Some(highest)
        })
        .collect()
    }

    pub fn is_settled(&self) -> bool {
        self.lagging().is_empty()
    }

    /// The violated invariants, including those that must hold once the network has been healed for some
    /// time.
    pub fn final_faults(&self) -> Vec<String> {
        let mut faults = self.observed.faults();
        let lagging = self.lagging();
        if !lagging.is_empty() {
            let highest = self.observed.highest();
            faults.push(format!("watchers {lagging:?} don't act on {highest}: {:?}", self.active()));
        }
        let unanswered = self.observed.unanswered(|machine| self.machines[usize::from(machine)].incarnation);
        if !unanswered.is_empty() {
            faults.push(format!("no outcome for {unanswered:?}"));
        }
        faults
    }

    /// Fails if an invariant is violated.
    pub fn check(&self, test: &str) {
        let faults = self.final_faults();
        assert!(faults.is_empty(), "{test}: {faults:?}");
    }
}
