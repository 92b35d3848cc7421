//! Getting from one's own state to the highest certified one where batches are missing: another control machine is asked
//! for what leads there, which is a delta from its log or a snapshot. Each part is checked against the certificate.

use std::time::Duration;

use crate::change::Summary;
use crate::control::batches::text_digest;
use crate::control::ledger::{Ledger, Revision};
use crate::message::{PeerMessage, ToWatcher};
use crate::state::{Edit, Entry};
use crate::transfer::{PartRequest, Transfer, BUCKET_WINDOW};
use crate::{Certified, Digest, MachineId, Number, Signer};

/// A batch that is missing alone is fetched by itself; after this the state is asked for.
const GRACE: Duration = Duration::from_millis(1500);
/// A machine that has not answered for so long gives way to another.
const SILENCE: Duration = Duration::from_secs(3);

/// A later state that was checked.
pub(crate) struct Caught {
    pub revision: Revision,
    /// What leads there from the present state, where that is known.
    pub edits: Option<Vec<Edit>>,
}

struct Receiving {
    certificate: Certified,
    summary: Summary,
    transfer: Transfer,
    /// Parts that were asked for and have not come.
    awaited: usize,
}

impl Receiving {
    fn take_group(&mut self, group: u8, buckets: Vec<(u16, Digest)>) -> bool {
        self.awaited = self.awaited.saturating_sub(1);
        self.transfer.receive_group(group, buckets).is_ok()
    }

    fn take_bucket(&mut self, bucket: u16, entries: Vec<Entry>) -> bool {
        self.awaited = self.awaited.saturating_sub(1);
        self.transfer.receive_bucket(bucket, entries).is_ok()
    }
}

/// Getting to the highest certified state.
#[derive(Default)]
pub(crate) struct CatchUp {
    behind_since: Option<Duration>,
    /// Who was asked, and when something came of it last.
    asked: Option<(MachineId, Duration)>,
    receiving: Option<Receiving>,
}

impl CatchUp {
    /// The state is behind a revision that is known certified, or is not.
    pub fn set_behind(&mut self, now: Duration, behind: bool) {
        if !behind {
            *self = Self::default();
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// A later state was taken, which may not be the highest yet.
    pub fn caught(&mut self, now: Duration) {
        *self = Self { behind_since: Some(now), ..Self::default() };
    }

    pub fn next_due(&self) -> Option<Duration> {
        let since = self.behind_since?;
        Some(self.asked.map_or(since + GRACE, |(_, at)| at + SILENCE))
    }

    /// Whether another machine is to be asked now; the one that was asked before is named.
    pub fn wants_to_ask(&self, now: Duration) -> Option<Option<MachineId>> {
        let due = self.next_due().is_some_and(|due| now >= due);
        due.then_some(self.asked.map(|(machine, _)| machine))
    }

    /// Asks a machine for what leads from the present state to the highest.
    pub fn ask(&mut self, now: Duration, machine: MachineId, ledger: &Ledger) -> PeerMessage {
        self.asked = Some((machine, now));
        if let Some(receiving) = &mut self.receiving {
            receiving.transfer.disconnected();
            receiving.awaited = 0;
        }
        PeerMessage::GetState { held: ledger.number(), root: ledger.state().root() }
    }

    /// A part came from the machine that was asked. Gives the state that it completes, or what to ask for next.
    pub fn take(
        &mut self, now: Duration, from: MachineId, part: ToWatcher, ledger: &Ledger, hand: &impl Signer,
    ) -> (Option<Caught>, Vec<PeerMessage>) {
        if self.asked.is_none_or(|(machine, _)| machine != from) {
            return (None, Vec::new());
        }
        let moved = match part {
            ToWatcher::Delta { certificate, summary, base, base_root, edits } => {
                let fits = base == ledger.number() && base_root == ledger.state().root();
                let shown = shows(&certificate, &summary, ledger.number(), hand);
                return (
                    caught_by(certificate, summary, edits, ledger).filter(|_| fits && shown),
                    Vec::new(),
                );
            }
            ToWatcher::Snapshot { certificate, summary, groups } => {
                shows(&certificate, &summary, ledger.number(), hand)
                    && self.begin(certificate, summary, &groups, ledger)
            }
            ToWatcher::Group { group, buckets } => {
                self.receiving.as_mut().is_some_and(|held| held.take_group(group, buckets))
            }
            ToWatcher::Bucket { bucket, entries } => {
                self.receiving.as_mut().is_some_and(|held| held.take_bucket(bucket, entries))
            }
            _ => false,
        };
        if moved {
            self.asked = Some((from, now));
        }
        self.go_on()
    }

    fn begin(
        &mut self, certificate: Certified, summary: Summary, groups: &[Digest], ledger: &Ledger,
    ) -> bool {
        if let Some(receiving) = &mut self.receiving {
            let taken = receiving.transfer.retarget(summary.root, groups).is_ok();
            if taken {
                (receiving.certificate, receiving.summary) = (certificate, summary);
            }
            return taken;
        }
        let transfer = Transfer::begin(ledger.state().clone(), summary.root, groups);
        self.receiving =
            transfer.ok().map(|transfer| Receiving { certificate, summary, transfer, awaited: 0 });
        self.receiving.is_some()
    }

    fn go_on(&mut self) -> (Option<Caught>, Vec<PeerMessage>) {
        let Some(receiving) = &mut self.receiving else { return (None, Vec::new()) };
        if let Some(state) = receiving.transfer.finished().cloned() {
            let number = receiving.certificate.number();
            let proof = Some((receiving.certificate.clone(), receiving.summary));
            self.receiving = None;
            return (Some(Caught { revision: Revision { number, proof, state }, edits: None }), Vec::new());
        }
        if receiving.awaited > BUCKET_WINDOW / 2 {
            return (None, Vec::new());
        }
        let (mut groups, mut buckets) = (Vec::new(), Vec::new());
        for request in receiving.transfer.next_requests() {
            match request {
                PartRequest::Groups(wanted) => groups.extend(wanted),
                PartRequest::Buckets(wanted) => buckets.extend(wanted),
            }
        }
        receiving.awaited += groups.len() + buckets.len();
        let none = groups.is_empty() && buckets.is_empty();
        let requests = if none { Vec::new() } else { vec![PeerMessage::GetParts { groups, buckets }] };
        (None, requests)
    }
}

/// Whether a certificate holds, is of a revision after this one, and names this summary.
fn shows(certificate: &Certified, summary: &Summary, after: Number, hand: &impl Signer) -> bool {
    certificate.number() > after
        && certificate.signed.head.text == text_digest(summary)
        && certificate.holds(hand)
}

fn caught_by(certificate: Certified, summary: Summary, edits: Vec<Edit>, ledger: &Ledger) -> Option<Caught> {
    let mut state = ledger.state().clone();
    state.apply(&edits).ok()?;
    let number = certificate.number();
    let leads_there = state.root() == summary.root;
    let revision = Revision { number, proof: Some((certificate, summary)), state };
    leads_there.then_some(Caught { revision, edits: Some(edits) })
}
