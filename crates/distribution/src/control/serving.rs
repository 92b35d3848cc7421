//! Serves batches and states to other control machines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::control::ledger::Revision;
use crate::control::{ControlMachine, ControlOutput};
use crate::message::{PeerMessage, ToWatcher};
use crate::state::{BUCKETS, GROUPS};
use crate::{Digest, MachineId, Number, Signer};

/// The maximum number of parts of a state in one request.
const MAX_PARTS: usize = 128;

/// The revisions offered to other machines as snapshots. A state shares unchanged parts with later ones.
#[derive(Default)]
pub(crate) struct Serving {
    offers: BTreeMap<MachineId, Arc<Revision>>,
}

impl Serving {
    pub fn on_peer_down(&mut self, peer: MachineId) {
        self.offers.remove(&peer);
    }
}

impl<H: Signer> ControlMachine<H> {
    pub(super) fn serve_batch(
        &mut self, now: Duration, from: MachineId, text: &Digest, out: &mut Vec<ControlOutput>,
    ) {
        let Some(record) = self.batches.get(text) else { return };
        let message = PeerMessage::Batch { summary: record.summary, bytes: record.bytes.clone() };
        if self.peers.try_request(now, from) {
            out.push(ControlOutput::ToPeer(from, message));
        }
    }

    /// Sends a machine a delta from its state to the latest one here, or a snapshot.
    pub(super) fn serve_state(
        &mut self, now: Duration, from: MachineId, held: Number, root: &Digest, out: &mut Vec<ControlOutput>,
    ) {
        if self.ledger.number() <= held || !self.peers.try_request(now, from) {
            return;
        }
        let latest = self.ledger.latest().clone();
        let message = self.ledger.delta(held, root).or_else(|| latest.snapshot());
        if matches!(message, Some(ToWatcher::Snapshot { .. })) {
            self.serving.offers.insert(from, latest);
        }
        let message = message.map(|message| PeerMessage::State(Box::new(message)));
        out.extend(message.map(|message| ControlOutput::ToPeer(from, message)));
    }

    pub(super) fn serve_parts(
        &mut self, now: Duration, from: MachineId, groups: &[u8], buckets: &[u16],
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(offer) = self.serving.offers.get(&from) else { return };
        if groups.len() + buckets.len() > MAX_PARTS || !self.peers.try_request(now, from) {
            return;
        }
        let groups = groups.iter().filter(|group| **group < GROUPS).map(|group| offer.group(*group));
        let buckets = buckets.iter().filter(|bucket| **bucket < BUCKETS).map(|bucket| offer.bucket(*bucket));
        for part in groups.chain(buckets) {
            out.push(ControlOutput::ToPeer(from, PeerMessage::State(Box::new(part))));
        }
    }
}
