//! What must hold in each play, noted as it goes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_revisions::message::Message;

use super::{Net, Node};
use crate::change::{Batch, ChangeId, Rejection, Summary};
use crate::control::{ConnectionId, ControlMachine};
use crate::lease::contradiction_bound;
use crate::message::{PeerMessage, ToWatcher};
use crate::{digest, ControllerId, Digest, MachineId, Number};

use super::{EXCLUSIVE, LATE};

/// What was seen.
#[derive(Default)]
pub struct Seen {
    /// Heads that were ever known certified, by number, with the text that each names.
    certified: BTreeMap<Number, BTreeSet<(Digest, Digest)>>,
    /// Roots that machines had by number.
    roots: BTreeMap<Number, BTreeSet<Digest>>,
    /// Batches by what names them in a head.
    batches: BTreeMap<Digest, Batch>,
    /// Only exclusive revisions contradict others: regions apart go on with older ones.
    only_exclusive: bool,
    /// Messages between machines of regions apart, and words on relay leases.
    pub apart_messages: usize,
    /// Regional leases that relays handed down.
    pub regional_leases: usize,
    /// When a revision was first acted on by a watcher.
    acted: BTreeMap<Number, Duration>,
    /// When each watcher first acted on each revision.
    acted_by: BTreeMap<ControllerId, BTreeMap<Number, Duration>>,
    /// The longest that any acted on an older one after that.
    pub longest: Duration,
    /// Pushes by their connections, with the machine and its life.
    pushes: BTreeMap<ConnectionId, (ChangeId, MachineId, u32)>,
    outcomes: BTreeMap<ConnectionId, Vec<Result<Number, Rejection>>>,
    pub snapshots: usize,
    pub deltas: usize,
    pub buckets: usize,
}

impl Seen {
    /// Nothing was seen yet.
    pub fn new(only_exclusive: bool) -> Self {
        Self { only_exclusive, ..Self::default() }
    }

    pub fn batch(&mut self, summary: &Summary, bytes: &[u8]) {
        let batch = Batch::decode(bytes).expect("a batch that is stored");
        self.batches.insert(digest(&summary.text()), batch);
    }

    pub fn pushed(&mut self, connection: ConnectionId, id: ChangeId, (machine, life): (MachineId, u32)) {
        self.pushes.insert(connection, (id, machine, life));
    }

    pub fn told(&mut self, connection: ConnectionId, outcome: Result<Number, Rejection>) {
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
        let word = match message {
            PeerMessage::Agreement(bytes) => Message::read(bytes),
            PeerMessage::RequestRegionalGrant { .. } | PeerMessage::RegionalGrant(_) => {
                self.apart_messages += 1;
                None
            }
            _ => None,
        };
        if let Some(
            Message::RelayLeaseRequest { .. } | Message::RelayLease { .. } | Message::ReadyToActivate { .. },
        ) = word
        {
            self.apart_messages += 1;
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

    /// Since when somebody acts on what contradicts a revision.
    fn contradicted_since(&self, active: Number) -> Option<Duration> {
        let later = self.acted.range(active + 1..);
        let exclusive = (active + 1..=self.highest()).find(|number| self.is_exclusive(*number));
        let first = if self.only_exclusive { exclusive? } else { active + 1 };
        later.filter(|(number, _)| **number >= first).map(|(_, at)| *at).min()
    }

    /// What became of a push, as its tool heard.
    pub fn outcome(&self, push: Option<ConnectionId>) -> Option<&Result<Number, Rejection>> {
        self.outcomes.get(&push?).and_then(|outcomes| outcomes.first())
    }

    /// When the last of so many watchers began to act on a revision or a later one.
    pub fn acted_by_all(&self, number: Number, watchers: usize) -> Option<Duration> {
        let began = |acted: &BTreeMap<Number, Duration>| acted.range(number..).map(|(_, at)| *at).min();
        let all: Vec<Duration> = self.acted_by.values().filter_map(began).collect();
        (all.len() == watchers).then(|| all.into_iter().max()).flatten()
    }

    /// How many pushes were taken, rejected, of unknown outcome, and without an answer.
    pub fn tally(&self) -> [usize; 4] {
        let mut tally = [0; 4];
        for push in self.pushes.keys() {
            let at = match self.outcome(Some(*push)) {
                Some(Ok(_)) => 0,
                Some(Err(Rejection::Unknown)) => 2,
                Some(Err(_)) => 1,
                None => 3,
            };
            tally[at] += 1;
        }
        tally
    }

    pub fn highest(&self) -> Number {
        self.certified.keys().next_back().copied().unwrap_or(0)
    }

    /// In which certified revisions each change stands: one where all is well.
    fn applied(&self) -> BTreeMap<ChangeId, Vec<Number>> {
        let mut applied: BTreeMap<ChangeId, Vec<Number>> = BTreeMap::new();
        // Where two were certified in one step, nobody was seen to have the lower one: the higher one's batch names its root.
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

    /// What does not hold.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (number, heads) in self.certified.iter().filter(|(_, heads)| heads.len() > 1) {
            faults.push(format!("{} certified with number {number}", heads.len()));
        }
        for (number, roots) in self.roots.iter().filter(|(_, roots)| roots.len() > 1) {
            faults.push(format!("{} states of revision {number}", roots.len()));
        }
        if self.longest > contradiction_bound(LATE) {
            faults.push(format!("contradicting for {:?} of {:?}", self.longest, contradiction_bound(LATE)));
        }
        let applied = self.applied();
        for (id, numbers) in applied.iter().filter(|(_, numbers)| numbers.len() > 1) {
            faults.push(format!("{id:?} was applied in revisions {numbers:?}"));
        }
        let again = |id: &ChangeId| self.pushes.values().filter(|(pushed, ..)| pushed == id).count() > 1;
        for (push, outcomes) in &self.outcomes {
            let Some((id, ..)) = self.pushes.get(push) else { continue };
            let taken = applied.get(id);
            let fits = match &outcomes[..] {
                [Ok(number)] => taken.is_some_and(|numbers| numbers[0] <= *number),
                [Err(Rejection::Unknown)] => true,
                // What a machine lacks says nothing of others, where the same change was pushed at one of them as well.
                [Err(Rejection::BaseTooOld(..) | Rejection::BaseAhead(..))] => taken.is_none() || again(id),
                [Err(_)] => taken.is_none(),
                _ => false,
            };
            if !fits {
                faults.push(format!("{id:?}: told {outcomes:?}, and it stands in revisions {taken:?}"));
            }
        }
        faults
    }

    /// Changes of which nothing was heard from machines that live on.
    pub fn silent(&self, lives: impl Fn(MachineId) -> u32) -> Vec<ChangeId> {
        let unanswered = self.pushes.iter().filter(|(push, _)| !self.outcomes.contains_key(push));
        let alive = unanswered.filter(|(_, (_, machine, life))| lives(*machine) == *life);
        alive.map(|(_, (id, ..))| *id).collect()
    }
}

impl Net {
    pub(super) fn look_at_machine(&mut self, me: MachineId) {
        let Some(machine) = &self.machines[usize::from(me)].machine else { return };
        if let Some(top) = machine.certificate() {
            let of = (top.digest(), top.signed.head.text);
            self.seen.certified.entry(top.number()).or_default().insert(of);
        }
        self.seen.roots.entry(machine.number()).or_default().insert(machine.state().root());
    }

    /// What a watcher acts on now, held against all others' acting.
    pub(super) fn look_at_watcher(&mut self, me: ControllerId) {
        let seat = &self.watchers[me as usize];
        let Some(watcher) = &seat.watcher else { return };
        // One that stands still decides nothing.
        if seat.stalled_until > self.now {
            return;
        }
        let acting = watcher.acting(self.now.mul_f64(seat.pace));
        if acting.hold_reason.is_some() && !self.broken.no_lease {
            return;
        }
        self.seen.acted.entry(acting.active).or_insert(self.now);
        self.seen.acted_by.entry(me).or_default().entry(acting.active).or_insert(self.now);
        let newer = self.seen.contradicted_since(acting.active);
        let span = newer.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        self.seen.longest = self.seen.longest.max(span);
    }

    pub fn machine(&self, me: MachineId) -> &ControlMachine<crate::tests::hand::DigestHand> {
        self.machines[usize::from(me)].machine.as_ref().expect("a machine that runs")
    }

    /// What each watcher that runs acts on, if it does not hold back.
    pub fn active(&self) -> Vec<Option<Number>> {
        let acting = |seat: &super::WatcherSeat| {
            let acting = seat.watcher.as_ref()?.acting(self.now.mul_f64(seat.pace));
            acting.hold_reason.is_none().then_some(acting.active)
        };
        self.watchers.iter().map(acting).collect()
    }

    /// Whether all watchers outside a region have prepared the last certified revision.
    pub fn has_prepared(&self, but_region: u32) -> bool {
        let prepared = |seat: &super::WatcherSeat| {
            let watcher = seat.watcher.as_ref()?;
            watcher.acting(self.now.mul_f64(seat.pace)).prepared
        };
        let outside = |me: &ControllerId| super::region_of(Node::Watcher(*me)) != but_region;
        let mut all = (0..self.watchers.len() as ControllerId).filter(outside);
        all.all(|me| prepared(&self.watchers[me as usize]) == Some(self.seen.highest()))
    }

    /// Whether a watcher reaches a machine that runs, both ways.
    fn is_reachable(&self, me: ControllerId) -> bool {
        let runs = |machine: &MachineId| self.machines[usize::from(*machine)].machine.is_some();
        let open = |machine: &MachineId| {
            let ends = (Node::Watcher(me), Node::Machine(*machine));
            !self.is_cut(ends.0, ends.1) && !self.is_cut(ends.1, ends.0)
        };
        (0..self.machines.len() as MachineId).any(|machine| runs(&machine) && open(&machine))
    }

    /// Watchers that are reachable and don't act on the last certified revision.
    pub fn behind(&self) -> Vec<ControllerId> {
        let highest = self.seen.highest();
        let active = self.active();
        let runs = |me: &ControllerId| self.watchers[*me as usize].watcher.is_some();
        let all = 0..self.watchers.len() as ControllerId;
        all.filter(|me| runs(me) && self.is_reachable(*me) && active[*me as usize] != Some(highest)).collect()
    }

    pub fn is_settled(&self) -> bool {
        self.behind().is_empty()
    }

    /// What does not hold now that the network is whole and some time went by.
    pub fn faults_at_the_end(&self) -> Vec<String> {
        let mut faults = self.seen.faults();
        let behind = self.behind();
        if !behind.is_empty() {
            let highest = self.seen.highest();
            faults.push(format!("watchers {behind:?} don't act on {highest}: {:?}", self.active()));
        }
        let silent = self.seen.silent(|machine| self.machines[usize::from(machine)].life);
        if !silent.is_empty() {
            faults.push(format!("no outcome of {silent:?}"));
        }
        faults
    }

    /// Fails where something does not hold.
    pub fn check(&self, play: &str) {
        let faults = self.faults_at_the_end();
        assert!(faults.is_empty(), "{play}: {faults:?}");
    }
}
