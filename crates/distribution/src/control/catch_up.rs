//! Catches up with the highest certified state when batches are missing: requests a delta or a snapshot from
//! another control machine. Each part is checked against the certificate.

use std::time::Duration;

use crate::change::Summary;
use crate::control::batches::text_digest;
use crate::control::ledger::{Ledger, Revision};
use crate::message::{PeerMessage, ToWatcher};
use crate::state::{Edit, Entry};
use crate::transfer::{PartRequest, Transfer, BUCKET_WINDOW};
use crate::{Certified, Digest, MachineId, Number, Signer};

/// The state is requested after this time. Until then a single missing batch is fetched by itself.
const STATE_REQUEST_DELAY: Duration = Duration::from_millis(1500);
/// If a machine has not answered for this long, another one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A later state that was verified.
pub(crate) struct CaughtUp {
    pub revision: Revision,
    /// The edits from the current state to this one, if known.
    pub edits: Option<Vec<Edit>>,
}

struct Receiving {
    certificate: Certified,
    summary: Summary,
    transfer: Transfer,
    /// The number of parts that were requested and not received.
    awaited_parts: usize,
}

impl Receiving {
    fn receive_group(&mut self, group: u8, buckets: Vec<(u16, Digest)>) -> bool {
        self.awaited_parts = self.awaited_parts.saturating_sub(1);
        self.transfer.receive_group(group, buckets).is_ok()
    }

    fn receive_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> bool {
        self.awaited_parts = self.awaited_parts.saturating_sub(1);
        self.transfer.receive_bucket(bucket, entries).is_ok()
    }
}

/// The progress of catching up with the highest certified state.
#[derive(Default)]
pub(crate) struct CatchUp {
    behind_since: Option<Duration>,
    /// The machine that was asked, and when it was asked or last sent something.
    last_request: Option<(MachineId, Duration)>,
    receiving: Option<Receiving>,
}

impl CatchUp {
    /// Sets whether the state is behind a revision that is known to be certified.
    pub fn set_behind(&mut self, now: Duration, behind: bool) {
        if !behind {
            *self = Self::default();
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// A later state was adopted, which may not be the highest yet.
    pub fn on_caught_up(&mut self, now: Duration) {
        *self = Self { behind_since: Some(now), ..Self::default() };
    }

    pub fn next_poll_at(&self) -> Option<Duration> {
        let since = self.behind_since?;
        Some(self.last_request.map_or(since + STATE_REQUEST_DELAY, |(_, at)| at + ANSWER_TIMEOUT))
    }

    /// `Some` if a machine must be asked now, with the one that was asked before, if any.
    pub fn request_due(&self, now: Duration) -> Option<Option<MachineId>> {
        let due = self.next_poll_at().is_some_and(|due| now >= due);
        due.then_some(self.last_request.map(|(machine, _)| machine))
    }

    /// The request to a machine for the difference from the current state to its latest.
    pub fn request(&mut self, now: Duration, machine: MachineId, ledger: &Ledger) -> PeerMessage {
        self.last_request = Some((machine, now));
        if let Some(receiving) = &mut self.receiving {
            receiving.transfer.disconnected();
            receiving.awaited_parts = 0;
        }
        PeerMessage::GetState { held: ledger.number(), root: ledger.state().root() }
    }

    /// Receives a part from the machine that was asked. Returns the state that it completes, or the next
    /// requests.
    pub fn on_part(
        &mut self, now: Duration, from: MachineId, part: ToWatcher, ledger: &Ledger, signer: &impl Signer,
    ) -> (Option<CaughtUp>, Vec<PeerMessage>) {
        if self.last_request.is_none_or(|(machine, _)| machine != from) {
            return (None, Vec::new());
        }
        let progressed = match part {
            ToWatcher::Delta { certificate, summary, base, base_root, edits } => {
                let matches_base = base == ledger.number() && base_root == ledger.state().root();
                let is_proven = is_proof_of(&certificate, &summary, ledger.number(), signer);
                return (
                    apply_delta(certificate, summary, edits, ledger).filter(|_| matches_base && is_proven),
                    Vec::new(),
                );
            }
            ToWatcher::Snapshot { certificate, summary, groups } => {
                is_proof_of(&certificate, &summary, ledger.number(), signer)
                    && self.begin(certificate, summary, &groups, ledger)
            }
            ToWatcher::Group { group, buckets } => {
                self.receiving.as_mut().is_some_and(|receiving| receiving.receive_group(group, buckets))
            }
            ToWatcher::Bucket { bucket, entries } => {
                self.receiving.as_mut().is_some_and(|receiving| receiving.receive_bucket(bucket, entries))
            }
            _ => false,
        };
        if progressed {
            self.last_request = Some((from, now));
        }
        self.continue_transfer()
    }

    fn begin(
        &mut self, certificate: Certified, summary: Summary, groups: &[Digest], ledger: &Ledger,
    ) -> bool {
        if let Some(receiving) = &mut self.receiving {
            let retargeted = receiving.transfer.retarget(summary.root, groups).is_ok();
            if retargeted {
                (receiving.certificate, receiving.summary) = (certificate, summary);
            }
            return retargeted;
        }
        let transfer = Transfer::begin(ledger.state().clone(), summary.root, groups);
        self.receiving =
            transfer.ok().map(|transfer| Receiving { certificate, summary, transfer, awaited_parts: 0 });
        self.receiving.is_some()
    }

    fn continue_transfer(&mut self) -> (Option<CaughtUp>, Vec<PeerMessage>) {
        let Some(receiving) = &mut self.receiving else { return (None, Vec::new()) };
        if let Some(state) = receiving.transfer.finished().cloned() {
            let number = receiving.certificate.number();
            let proof = Some((receiving.certificate.clone(), receiving.summary));
            self.receiving = None;
            return (Some(CaughtUp { revision: Revision { number, proof, state }, edits: None }), Vec::new());
        }
        if receiving.awaited_parts > BUCKET_WINDOW / 2 {
            return (None, Vec::new());
        }
        let (mut groups, mut buckets) = (Vec::new(), Vec::new());
        for request in receiving.transfer.next_requests() {
            match request {
                PartRequest::Groups(wanted) => groups.extend(wanted),
                PartRequest::Buckets(wanted) => buckets.extend(wanted),
            }
        }
        receiving.awaited_parts += groups.len() + buckets.len();
        let nothing_to_request = groups.is_empty() && buckets.is_empty();
        let requests =
            if nothing_to_request { Vec::new() } else { vec![PeerMessage::GetParts { groups, buckets }] };
        (None, requests)
    }
}

/// Whether a certificate is valid, is of a revision after this one, and is of this summary.
fn is_proof_of(certificate: &Certified, summary: &Summary, after: Number, signer: &impl Signer) -> bool {
    certificate.number() > after
        && certificate.signed.head.text == text_digest(summary)
        && certificate.holds(signer)
}

fn apply_delta(
    certificate: Certified, summary: Summary, edits: Vec<Edit>, ledger: &Ledger,
) -> Option<CaughtUp> {
    let mut state = ledger.state().clone();
    state.apply(&edits).ok()?;
    let number = certificate.number();
    let has_root = state.root() == summary.root;
    let revision = Revision { number, proof: Some((certificate, summary)), state };
    has_root.then_some(CaughtUp { revision, edits: Some(edits) })
}
