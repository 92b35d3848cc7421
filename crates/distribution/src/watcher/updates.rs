//! How a watcher handles deltas, snapshots and activation grants from relays.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_revisions::message::ActivationGrant;

use super::revisions::{check_snapshot, RevisionFault, Revisions, UpdateOutcome};
use super::{RelayFault, StoredRevision, Watcher, WatcherOutput};
use crate::change::Summary;
use crate::message::ToRelay;
use crate::state::Edit;
use crate::transfer::PartRequest;
use crate::{quorum, Certified, Digest, Number, Signer};

/// The maximum length of a reason why a revision cannot be applied.
const MAX_REASON_BYTES: usize = 1024;

/// A snapshot that a relay offers.
#[derive(Clone, Debug)]
pub(super) struct SnapshotOffer {
    pub certificate: Certified,
    pub summary: Summary,
    pub groups: Vec<Digest>,
}

/// The relays that offer snapshots, and the one from which parts are requested.
#[derive(Debug, Default)]
pub(super) struct SnapshotSource {
    /// The relay from which parts are requested, and its offer.
    current: Option<(usize, SnapshotOffer)>,
    /// The offers of the other relays with open connections.
    others: BTreeMap<usize, SnapshotOffer>,
}

impl SnapshotSource {
    /// The relay from which parts are requested.
    pub fn relay(&self) -> Option<usize> {
        self.current.as_ref().map(|(relay, _)| *relay)
    }

    /// The revision whose parts are requested.
    fn number(&self) -> Option<Number> {
        self.current.as_ref().map(|(_, offer)| offer.certificate.number())
    }

    /// Requests parts from this relay from now on, and keeps the offer of the previous one.
    fn switch_to(&mut self, relay: usize, offer: SnapshotOffer) {
        self.others.remove(&relay);
        if let Some((before, offer)) = self.current.replace((relay, offer)) {
            if before != relay {
                self.others.insert(before, offer);
            }
        }
    }

    /// Removes and returns the highest offer of another relay.
    fn remove_highest_other(&mut self) -> Option<(usize, SnapshotOffer)> {
        let number = |(_, offer): &(&usize, &SnapshotOffer)| offer.certificate.number();
        let relay = self.others.iter().max_by_key(number).map(|(relay, _)| *relay)?;
        Some((relay, self.others.remove(&relay)?))
    }
}

impl<H: Signer> Watcher<H> {
    /// Handles a delta.
    pub(super) fn handle_delta(
        &mut self, now: Duration, relay: usize, (certificate, summary): (Certified, Summary),
        base: (Number, Digest), edits: &[Edit], out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        let (number, activation_grants) = (certificate.number(), certificate.activation_grants.clone());
        let outcome = self.revisions.apply_delta(certificate, summary, base, edits, &self.signer)?;
        if outcome == UpdateOutcome::NoBase {
            self.connections.on_update_failed(relay)?;
            self.send_hello(relay, out);
            return Ok(());
        }
        self.handle_outcome(now, relay, outcome, out);
        self.handle_certified_activation_grants(now, relay, number, &activation_grants, out);
        Ok(())
    }

    /// Handles the offer of a snapshot.
    pub(super) fn handle_snapshot(
        &mut self, now: Duration, relay: usize, offer: SnapshotOffer, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        let number = offer.certificate.number();
        let source = self.snapshot_source.relay();
        let is_from_other_relay = source.is_some_and(|source| source != relay);
        if is_from_other_relay
            && number > self.revisions.held()
            && self.revisions.transferring() >= Some(number)
        {
            check_snapshot(&offer.certificate, &offer.summary, &offer.groups, &self.signer)?;
            self.snapshot_source.others.insert(relay, offer);
            return Ok(());
        }
        let SnapshotOffer { certificate, summary, groups } = offer.clone();
        let outcome = self.revisions.begin_snapshot(certificate, summary, &groups, &self.signer)?;
        if outcome == UpdateOutcome::Transferring {
            if source != Some(relay) {
                self.revisions.disconnected();
            } else if self.snapshot_source.number() == Some(number) {
                self.connections.on_update_failed(relay)?;
            }
            let activation_grants = offer.certificate.activation_grants.clone();
            self.snapshot_source.switch_to(relay, offer);
            self.connections.on_update_progress(now, relay);
            self.handle_certified_activation_grants(now, relay, number, &activation_grants, out);
            return Ok(());
        }
        self.handle_outcome(now, relay, outcome, out);
        self.handle_certified_activation_grants(
            now,
            relay,
            number,
            &offer.certificate.activation_grants,
            out,
        );
        Ok(())
    }

    /// Handles a part of a snapshot, which `receive` passes to the transfer.
    pub(super) fn handle_part(
        &mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>,
        receive: impl FnOnce(&mut Revisions) -> Result<UpdateOutcome, RevisionFault>,
    ) -> Result<(), RelayFault> {
        if self.snapshot_source.relay() != Some(relay) {
            // Parts may still arrive from a relay from which they were requested before.
            return match self.connections.were_parts_requested(relay) {
                true => Ok(()),
                false => Err(RevisionFault::NoTransfer.into()),
            };
        }
        let outcome = receive(&mut self.revisions)?;
        self.connections.on_update_progress(now, relay);
        self.handle_outcome(now, relay, outcome, out);
        Ok(())
    }

    /// Reports or receives what an update led to.
    fn handle_outcome(
        &mut self, now: Duration, relay: usize, outcome: UpdateOutcome, out: &mut Vec<WatcherOutput>,
    ) {
        match outcome {
            UpdateOutcome::Old => self.report_held(relay, out),
            UpdateOutcome::Received(revision) => {
                self.connections.on_update_completed(now, relay);
                self.receive_revision(now, *revision, out);
            }
            UpdateOutcome::NoBase | UpdateOutcome::Transferring => {}
        }
    }

    /// Reports the held revision to a relay that does not know of it.
    fn report_held(&self, relay: usize, out: &mut Vec<WatcherOutput>) {
        match self.revisions.unfit() {
            Some(_) => self.report_unfit(relay, out),
            None => out.push(WatcherOutput::Send(relay, ToRelay::Prepared { number: self.revisions.held() })),
        }
    }

    /// Prepares a certified revision whose state is complete.
    fn receive_revision(&mut self, now: Duration, revision: StoredRevision, out: &mut Vec<WatcherOutput>) {
        let number = revision.number();
        match (self.config.check)(&revision.state, number) {
            Ok(()) => {
                out.push(WatcherOutput::Store(self.storage.prepared(revision.clone())));
                self.revisions.set_received(revision, None);
                out.push(WatcherOutput::Changed);
            }
            Err(reason) => {
                let reason = truncate_reason(reason);
                self.revisions.set_received(revision, Some(reason.clone()));
                out.push(WatcherOutput::Unfit { number, reason });
            }
        }
        self.connections.open().for_each(|relay| self.report_held(relay, out));
        self.activate(now, out);
    }

    /// Handles the activation grants that a certificate carries. They are used only if they are a quorum.
    fn handle_certified_activation_grants(
        &mut self, now: Duration, relay: usize, number: Number, activation_grants: &[ActivationGrant],
        out: &mut Vec<WatcherOutput>,
    ) {
        if activation_grants.len() >= quorum(self.signer.acceptors().len()) {
            // Invalid activation grants are no reason to refuse the relay: the certificate is valid without them.
            let _ = self.handle_activation_grants(now, relay, number, activation_grants, out);
        }
    }

    /// Handles activation grants.
    pub(super) fn handle_activation_grants(
        &mut self, now: Duration, relay: usize, number: Number, activation_grants: &[ActivationGrant],
        out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        let allowed_before = self.revisions.allowed();
        self.revisions.allow_activation(number, activation_grants, &self.signer)?;
        if self.revisions.allowed() > allowed_before {
            self.connections.on_update_progress(now, relay);
            self.activate(now, out);
        }
        Ok(())
    }

    /// Activates the prepared revision, if that is allowed.
    fn activate(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        let Some(number) = self.revisions.activate() else { return };
        out.push(WatcherOutput::Store(self.storage.activated(number)));
        out.push(WatcherOutput::Changed);
        self.lease_requests.on_activated();
        // The program's own file is no longer relevant.
        self.confirmed = true;
        if !self.lease_requests.has_lease(now) {
            self.connections.request_lease_soon(now);
        }
    }

    /// Requests parts from the relay that offered the snapshot, or from another one if its connection closed.
    pub(super) fn request_parts(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        let (connections, revisions) = (&self.connections, &self.revisions);
        self.snapshot_source.others.retain(|relay, offer| {
            connections.is_open(*relay) && offer.certificate.number() > revisions.held()
        });
        let is_source_lost =
            self.snapshot_source.relay().is_some_and(|relay| !self.connections.is_open(relay));
        if is_source_lost {
            self.snapshot_source.current = None;
            self.revisions.disconnected();
        }
        if self.revisions.transferring().is_none() {
            self.snapshot_source.current = None;
        } else if self.snapshot_source.current.is_none() {
            self.switch_source(now, out);
        }
        let Some(relay) = self.snapshot_source.relay() else { return };
        for request in self.revisions.next_requests() {
            self.connections.on_parts_requested(relay);
            let message = match request {
                PartRequest::Groups(groups) => ToRelay::GetGroups { groups },
                PartRequest::Buckets(buckets) => ToRelay::GetBuckets { buckets },
            };
            out.push(WatcherOutput::Send(relay, message));
        }
    }

    /// Continues the transfer with the offer of another relay.
    fn switch_source(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        let Some((relay, offer)) = self.snapshot_source.remove_highest_other() else { return };
        if let Err(fault) = self.handle_snapshot(now, relay, offer, out) {
            self.refuse_relay(now, relay, &fault, out);
        }
    }
}

/// Truncates a reason to its maximum length.
fn truncate_reason(mut reason: String) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason.truncate(end);
    reason
}
