//! Restores a control machine from its stored items, and schedules its checkpoints.

use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_revisions::{ActivationMode, MemberConfig, Revisions};

use crate::change::Summary;
use crate::control::batches::Batches;
use crate::control::ledger::{Ledger, Revision};
use crate::control::member_signer::MemberSigner;
use crate::control::outcomes::Outcomes;
use crate::control::{Checkpoint, Config, ControlMachine, Stored, StoredItem};
use crate::relay::Relay;
use crate::state::State;
use crate::{Certified, Number, Signer};

/// How long consensus waits at most for a machine that has a lease and has not prepared a revision: the relay
/// of the machine gives its watchers two seconds, and messages take some round trips between regions.
const GATE_TIMEOUT: Duration = Duration::from_secs(4);
/// A checkpoint is stored after this many revisions, or this many bytes of batches.
const CHECKPOINT_REVISIONS: Number = 256;
const CHECKPOINT_BYTES: usize = 4 * 1024 * 1024;
/// If revisions were adopted without their batches, a checkpoint is stored at once, but not more often than
/// this.
const MIN_CHECKPOINT_INTERVAL: Duration = Duration::from_secs(60);

/// Decides when the next checkpoint is stored.
pub(crate) struct CheckpointSchedule {
    last: Number,
    bytes_since: usize,
    /// Revisions were adopted without their batches, so the stored items do not lead to the current state.
    has_gap: bool,
    not_before: Duration,
}

impl CheckpointSchedule {
    fn new(last: Number, now: Duration) -> Self {
        Self { last, bytes_since: 0, has_gap: false, not_before: now }
    }

    pub fn on_batch(&mut self, bytes: usize) {
        self.bytes_since += bytes;
    }

    pub fn on_skipped(&mut self) {
        self.has_gap = true;
    }

    /// The checkpoint to store, if it is due.
    pub fn due(&mut self, now: Duration, ledger: &Ledger) -> Option<StoredItem> {
        let number = ledger.number();
        let enough = number >= self.last + CHECKPOINT_REVISIONS || self.bytes_since >= CHECKPOINT_BYTES;
        let due = number > self.last && (enough || self.has_gap && now >= self.not_before);
        let (certificate, summary) = ledger.latest().proof.clone().filter(|_| due)?;
        *self = Self { not_before: now + MIN_CHECKPOINT_INTERVAL, ..Self::new(number, now) };
        let state = ledger.state().clone();
        Some(StoredItem::Checkpoint(Box::new(Checkpoint { certificate, summary, state })))
    }
}

/// The state restored from storage.
struct Restored {
    ledger: Ledger,
    batches: Batches,
    outcomes: Outcomes,
    checkpoint: Number,
    texts: Vec<Arc<[u8]>>,
}

/// Creates a machine that continues from its stored items.
pub(super) fn restore<H: Signer>(
    config: Config, signer: H, stored: Stored, genesis: State, seed: u64, now: Duration,
) -> ControlMachine<H> {
    let agreement =
        stored.agreement.as_deref().and_then(|bytes| badgerledge_revisions::StoredState::read(bytes).ok());
    let latest = agreement.as_ref().and_then(|stored| stored.latest.clone());
    let mut restored = restore_state(stored, genesis, latest, &signer);
    let mut rng = Rng(seed);
    let mut next_seed = || (rng.unit_interval() * f64::from(u32::MAX)) as u64;
    let (agreement_seed, relay_seed) = (next_seed(), next_seed());
    let member_config = MemberConfig {
        local_id: config.machine,
        incarnation: config.incarnation,
        mode: ActivationMode::Hold,
        activation_delay: config.activation_delay,
        check: Box::new(|text| {
            Summary::read(text).map(drop).ok_or_else(|| "the text is not the summary of a batch".to_owned())
        }),
    };
    let own_text = Arc::from(Vec::new());
    let signer = MemberSigner(signer);
    let mut revisions =
        Revisions::new(signer, member_config, own_text, agreement, restored.texts, now, agreement_seed);
    revisions.enable_gate(now, GATE_TIMEOUT);
    let certified = revisions.latest_certified().map_or(0, Certified::number);
    let number = restored.ledger.number();
    revisions.enable_relay_leases(now, config.max_partition, number);
    if !config.max_partition.is_zero() {
        restored.ledger.retain_allowed();
    }
    let mut machine = ControlMachine {
        relay: Relay::new(config.machine, config.max_connections, number, relay_seed, now),
        config,
        revisions,
        ledger: restored.ledger,
        batches: restored.batches,
        outcomes: restored.outcomes,
        sequencer: Default::default(),
        forwarding: Default::default(),
        peers: Default::default(),
        catch_up: Default::default(),
        serving: Default::default(),
        checkpoints: CheckpointSchedule::new(restored.checkpoint, now),
        rng,
        certified: (certified, now),
        competing_batch_at: None,
        state_check: super::state_check::accept_all(),
        exclusive_check: super::regional::all_exclusive(),
    };
    // Batches found on the disk need not be announced to others, so the outputs are discarded.
    machine.evaluate_candidates(now, &mut Vec::new());
    machine
}

/// Restores the state by applying the stored batches to the checkpoint.
fn restore_state(
    stored: Stored, genesis: State, latest: Option<Certified>, signer: &impl Signer,
) -> Restored {
    let checkpoint = stored.checkpoint.filter(|checkpoint| is_valid(checkpoint, signer));
    let mut texts: Vec<Arc<[u8]>> = Vec::new();
    let revision = match checkpoint {
        None => Revision { number: 0, proof: None, state: genesis },
        Some(Checkpoint { certificate, summary, state }) => {
            texts.push(Arc::from(summary.text().to_vec()));
            Revision { number: certificate.number(), proof: Some((certificate, summary)), state }
        }
    };
    let checkpoint = revision.number;
    let mut batches = Batches::default();
    for item in stored.batches {
        let StoredItem::Batch { summary, bytes, .. } = item else { continue };
        if let Some(text) = batches.insert_stored(summary, bytes, checkpoint) {
            texts.push(Arc::from(summary.text().to_vec()));
            // Marks the batch as stored: it is on the disk already.
            batches.take_to_store(&text);
        }
    }
    let mut ledger = Ledger::new(revision);
    let mut outcomes = Outcomes::new(checkpoint);
    if let Some(latest) = latest.filter(|latest| latest.number() > checkpoint) {
        apply_stored(&mut ledger, &mut outcomes, &batches, &latest, signer);
    }
    batches.drop_old(ledger.number());
    Restored { ledger, batches, outcomes, checkpoint, texts }
}

fn apply_stored(
    ledger: &mut Ledger, outcomes: &mut Outcomes, batches: &Batches, latest: &Certified, signer: &impl Signer,
) {
    let Some(steps) = batches.chain(ledger.latest(), &latest.signed.head.text, signer) else { return };
    for step in steps {
        let Some(record) = batches.get(&step.text) else { return };
        let (number, last) = (record.batch.number, step.text == latest.signed.head.text);
        let proof = last.then(|| (latest.clone(), record.summary));
        outcomes.on_applied(number, &record.batch.changes);
        ledger.advance(Revision { number, proof, state: step.state }, &step.edits);
    }
}

fn is_valid(checkpoint: &Checkpoint, signer: &impl Signer) -> bool {
    let Checkpoint { certificate, summary, state } = checkpoint;
    let has_text = certificate.signed.head.text == super::batches::text_digest(summary);
    has_text && state.root() == summary.root && certificate.holds(signer)
}
