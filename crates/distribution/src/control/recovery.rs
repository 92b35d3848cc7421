//! Begins from what was stored, and says when the whole state is to be stored again.

use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_revisions::{ActivationMode, MemberConfig, Revisions};

use crate::change::Summary;
use crate::control::batches::Batches;
use crate::control::ledger::{Ledger, Revision};
use crate::control::member_hand::MemberHand;
use crate::control::outcomes::Outcomes;
use crate::control::{Checkpoint, Config, ControlMachine, Stored, StoredItem};
use crate::relay::Relay;
use crate::state::State;
use crate::{Certified, Number, Signer};

/// A machine that has not prepared, and still has a lease of the agreement's, is waited for no longer than this: its relay
/// gives its watchers two seconds, and news take some round trips between regions.
const PATIENCE: Duration = Duration::from_secs(4);
/// The whole state is stored after so many revisions, or so many bytes of batches.
const EVERY_REVISIONS: Number = 256;
const EVERY_BYTES: usize = 4 * 1024 * 1024;
/// Where revisions were taken without their batches, it is stored at once, and no more often than this.
const APART: Duration = Duration::from_secs(60);

/// When the whole state is to be stored again.
pub(crate) struct Checkpoints {
    last: Number,
    bytes_since: usize,
    /// Revisions were taken without their batches: what is stored doesn't lead here.
    broken: bool,
    next_at: Duration,
}

impl Checkpoints {
    fn new(last: Number, now: Duration) -> Self {
        Self { last, bytes_since: 0, broken: false, next_at: now }
    }

    pub fn batch(&mut self, bytes: usize) {
        self.bytes_since += bytes;
    }

    pub fn skipped(&mut self) {
        self.broken = true;
    }

    /// What is to be stored now, if it is time.
    pub fn due(&mut self, now: Duration, ledger: &Ledger) -> Option<StoredItem> {
        let number = ledger.number();
        let many = number >= self.last + EVERY_REVISIONS || self.bytes_since >= EVERY_BYTES;
        let wanted = number > self.last && (many || self.broken && now >= self.next_at);
        let (certificate, summary) = ledger.latest().proof.clone().filter(|_| wanted)?;
        *self = Self { next_at: now + APART, ..Self::new(number, now) };
        let state = ledger.state().clone();
        Some(StoredItem::Checkpoint(Box::new(Checkpoint { certificate, summary, state })))
    }
}

/// What was found again.
struct Found {
    ledger: Ledger,
    batches: Batches,
    outcomes: Outcomes,
    checkpoint: Number,
    texts: Vec<Arc<[u8]>>,
}

/// A machine that goes on with what it stored.
pub(super) fn begin<H: Signer>(
    config: Config, hand: H, stored: Stored, genesis: State, seed: u64, now: Duration,
) -> ControlMachine<H> {
    let agreement =
        stored.agreement.as_deref().and_then(|bytes| badgerledge_revisions::StoredState::read(bytes).ok());
    let top = agreement.as_ref().and_then(|stored| stored.latest.clone());
    let mut found = find(stored, genesis, top, &hand);
    let mut chance = Rng(seed);
    let mut drawn = || (chance.unit_interval() * f64::from(u32::MAX)) as u64;
    let (agreement_seed, relay_seed) = (drawn(), drawn());
    let terms = MemberConfig {
        local_id: config.me,
        incarnation: config.life,
        mode: ActivationMode::Hold,
        activation_delay: config.late,
        check: Box::new(|text| {
            Summary::read(text).map(drop).ok_or_else(|| "no summary of a batch".to_owned())
        }),
    };
    let own_text = Arc::from(Vec::new());
    let hand = MemberHand(hand);
    let mut revisions = Revisions::new(hand, terms, own_text, agreement, found.texts, now, agreement_seed);
    revisions.enable_gate(now, PATIENCE);
    let certified = revisions.latest_certified().map_or(0, Certified::number);
    let number = found.ledger.number();
    revisions.enable_relay_leases(now, config.apart, number);
    if !config.apart.is_zero() {
        found.ledger.keep_allowed();
    }
    let mut machine = ControlMachine {
        relay: Relay::new(config.me, config.connections, number, relay_seed, now),
        config,
        revisions,
        ledger: found.ledger,
        batches: found.batches,
        outcomes: found.outcomes,
        sequencer: Default::default(),
        forwarding: Default::default(),
        peers: Default::default(),
        catch_up: Default::default(),
        serving: Default::default(),
        checkpoints: Checkpoints::new(found.checkpoint, now),
        chance,
        certified: (certified, now),
        rival_at: None,
        state_check: super::state_check::accept_all(),
        exclusive_check: super::regional::all_exclusive(),
    };
    // What it finds on its disk it holds: nothing of this is news for anybody else.
    machine.judge_candidates(now, &mut Vec::new());
    machine
}

/// Finds the state that the stored batches lead to.
fn find(stored: Stored, genesis: State, top: Option<Certified>, hand: &impl Signer) -> Found {
    let checkpoint = stored.checkpoint.filter(|checkpoint| is_whole(checkpoint, hand));
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
        if let Some(text) = batches.recall(summary, bytes, checkpoint) {
            texts.push(Arc::from(summary.text().to_vec()));
            // It is on the disk already.
            batches.take_to_store(&text);
        }
    }
    let mut ledger = Ledger::new(revision);
    let mut outcomes = Outcomes::new(checkpoint);
    if let Some(top) = top.filter(|top| top.number() > checkpoint) {
        replay(&mut ledger, &mut outcomes, &batches, &top, hand);
    }
    batches.shrink(ledger.number());
    Found { ledger, batches, outcomes, checkpoint, texts }
}

fn replay(
    ledger: &mut Ledger, outcomes: &mut Outcomes, batches: &Batches, top: &Certified, hand: &impl Signer,
) {
    let Some(steps) = batches.chain(ledger.latest(), &top.signed.head.text, hand) else { return };
    for step in steps {
        let Some(held) = batches.get(&step.text) else { return };
        let (number, last) = (held.batch.number, step.text == top.signed.head.text);
        let proof = last.then(|| (top.clone(), held.summary));
        outcomes.applied(number, &held.batch.changes);
        ledger.advance(Revision { number, proof, state: step.state }, &step.edits);
    }
}

fn is_whole(checkpoint: &Checkpoint, hand: &impl Signer) -> bool {
    let Checkpoint { certificate, summary, state } = checkpoint;
    let named = certificate.signed.head.text == super::batches::text_digest(summary);
    named && state.root() == summary.root && certificate.holds(hand)
}
