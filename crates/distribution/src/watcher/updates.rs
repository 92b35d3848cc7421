//! Deltas, snapshots and words to act, on their way from a relay to the revisions that are held.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_revisions::message::ActivationGrant;

use super::revisions::{check_snapshot, Offered, RevisionFault, Revisions};
use super::{RelayFault, StoredRevision, Watcher, WatcherOutput};
use crate::change::Summary;
use crate::message::ToRelay;
use crate::state::Edit;
use crate::transfer::PartRequest;
use crate::{quorum, Certified, Digest, Number, Signer};

/// Bytes at most of a reason why a revision can't be acted on.
const LONGEST_REASON: usize = 1024;

/// A snapshot that a relay offers.
#[derive(Clone, Debug)]
pub(super) struct SnapshotOffer {
    pub certificate: Certified,
    pub summary: Summary,
    pub groups: Vec<Digest>,
}

/// Where parts of a snapshot are asked for.
#[derive(Debug, Default)]
pub(super) struct Source {
    /// The relay that is asked, and what it offered.
    present: Option<(usize, SnapshotOffer)>,
    /// What the other relay with an open connection offered.
    others: BTreeMap<usize, SnapshotOffer>,
}

impl Source {
    pub fn relay(&self) -> Option<usize> {
        self.present.as_ref().map(|(relay, _)| *relay)
    }

    fn number(&self) -> Option<Number> {
        self.present.as_ref().map(|(_, offer)| offer.certificate.number())
    }

    fn change(&mut self, relay: usize, offer: SnapshotOffer) {
        self.others.remove(&relay);
        if let Some((before, offer)) = self.present.replace((relay, offer)) {
            if before != relay {
                self.others.insert(before, offer);
            }
        }
    }

    /// The highest offer of another relay; it is taken out.
    fn take_other(&mut self) -> Option<(usize, SnapshotOffer)> {
        let number = |(_, offer): &(&usize, &SnapshotOffer)| offer.certificate.number();
        let relay = self.others.iter().max_by_key(number).map(|(relay, _)| *relay)?;
        Some((relay, self.others.remove(&relay)?))
    }
}

impl<H: Signer> Watcher<H> {
    pub(super) fn take_delta(
        &mut self, now: Duration, relay: usize, (certificate, summary): (Certified, Summary),
        base: (Number, Digest), edits: &[Edit], out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        let (number, goes) = (certificate.number(), certificate.activation_grants.clone());
        let offered = self.revisions.take_delta(certificate, summary, base, edits, &self.hand)?;
        if offered == Offered::NoBase {
            self.links.restarted(relay)?;
            self.say_hello(relay, out);
            return Ok(());
        }
        self.take_offered(now, relay, offered, out);
        self.take_certified_goes(now, relay, number, &goes, out);
        Ok(())
    }

    pub(super) fn take_snapshot(
        &mut self, now: Duration, relay: usize, offer: SnapshotOffer, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        let number = offer.certificate.number();
        let source = self.source.relay();
        let other_serves = source.is_some_and(|source| source != relay);
        if other_serves && number > self.revisions.held() && self.revisions.transferring() >= Some(number) {
            check_snapshot(&offer.certificate, &offer.summary, &offer.groups, &self.hand)?;
            self.source.others.insert(relay, offer);
            return Ok(());
        }
        let SnapshotOffer { certificate, summary, groups } = offer.clone();
        let offered = self.revisions.take_snapshot(certificate, summary, &groups, &self.hand)?;
        if offered == Offered::Transferring {
            if source != Some(relay) {
                self.revisions.disconnected();
            } else if self.source.number() == Some(number) {
                self.links.restarted(relay)?;
            }
            let goes = offer.certificate.activation_grants.clone();
            self.source.change(relay, offer);
            self.links.updated(now, relay);
            self.take_certified_goes(now, relay, number, &goes, out);
            return Ok(());
        }
        self.take_offered(now, relay, offered, out);
        self.take_certified_goes(now, relay, number, &offer.certificate.activation_grants, out);
        Ok(())
    }

    pub(super) fn take_part(
        &mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>,
        take: impl FnOnce(&mut Revisions) -> Result<Offered, RevisionFault>,
    ) -> Result<(), RelayFault> {
        if self.source.relay() != Some(relay) {
            // Parts may be on their way from a relay that was asked before.
            return match self.links.was_asked_parts(relay) {
                true => Ok(()),
                false => Err(RevisionFault::NoTransfer.into()),
            };
        }
        let offered = take(&mut self.revisions)?;
        self.links.updated(now, relay);
        self.take_offered(now, relay, offered, out);
        Ok(())
    }

    fn take_offered(&mut self, now: Duration, relay: usize, offered: Offered, out: &mut Vec<WatcherOutput>) {
        match offered {
            Offered::Old => self.say_held(relay, out),
            Offered::Received(revision) => {
                self.links.completed(now, relay);
                self.receive(now, *revision, out);
            }
            Offered::NoBase | Offered::Transferring => {}
        }
    }

    /// Tells a relay, which does not know it, what is held.
    fn say_held(&self, relay: usize, out: &mut Vec<WatcherOutput>) {
        match self.revisions.unfit() {
            Some(_) => self.say_unfit(relay, out),
            None => out.push(WatcherOutput::Send(relay, ToRelay::Prepared { number: self.revisions.held() })),
        }
    }

    /// The state of a certified revision is complete.
    fn receive(&mut self, now: Duration, revision: StoredRevision, out: &mut Vec<WatcherOutput>) {
        let number = revision.number();
        match (self.config.check)(&revision.state, number) {
            Ok(()) => {
                out.push(WatcherOutput::Store(self.storage.prepared(revision.clone())));
                self.revisions.receive(revision, None);
                out.push(WatcherOutput::Changed);
            }
            Err(reason) => {
                let reason = shortened(reason);
                self.revisions.receive(revision, Some(reason.clone()));
                out.push(WatcherOutput::Unfit { number, reason });
            }
        }
        self.links.open().for_each(|relay| self.say_held(relay, out));
        self.activate(now, out);
    }

    /// Words to act that came with a certificate: they count where they are enough.
    fn take_certified_goes(
        &mut self, now: Duration, relay: usize, number: Number, goes: &[ActivationGrant],
        out: &mut Vec<WatcherOutput>,
    ) {
        if goes.len() >= quorum(self.hand.acceptors().len()) {
            // Those that are not enough say nothing against the relay: the certificate held without them.
            let _ = self.take_goes(now, relay, number, goes, out);
        }
    }

    pub(super) fn take_goes(
        &mut self, now: Duration, relay: usize, number: Number, goes: &[ActivationGrant],
        out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        let before = self.revisions.allowed();
        self.revisions.take_goes(number, goes, &self.hand)?;
        if self.revisions.allowed() > before {
            self.links.updated(now, relay);
            self.activate(now, out);
        }
        Ok(())
    }

    /// Acts on the prepared revision if that is allowed.
    fn activate(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        let Some(number) = self.revisions.activate() else { return };
        out.push(WatcherOutput::Store(self.storage.activated(number)));
        out.push(WatcherOutput::Changed);
        self.requests.activated();
        // The program's own file does not matter any more.
        self.sure = true;
        if !self.requests.is_held(now) {
            self.links.ask_soon(now);
        }
    }

    /// Asks the relay that offered a snapshot for parts of it; another one where that one is gone.
    pub(super) fn ask_parts(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        let (links, revisions) = (&self.links, &self.revisions);
        self.source
            .others
            .retain(|relay, offer| links.is_open(*relay) && offer.certificate.number() > revisions.held());
        let lost = self.source.relay().is_some_and(|relay| !self.links.is_open(relay));
        if lost {
            self.source.present = None;
            self.revisions.disconnected();
        }
        if self.revisions.transferring().is_none() {
            self.source.present = None;
        } else if self.source.present.is_none() {
            self.ask_another(now, out);
        }
        let Some(relay) = self.source.relay() else { return };
        for request in self.revisions.next_requests() {
            self.links.asks_parts(relay);
            let message = match request {
                PartRequest::Groups(groups) => ToRelay::GetGroups { groups },
                PartRequest::Buckets(buckets) => ToRelay::GetBuckets { buckets },
            };
            out.push(WatcherOutput::Send(relay, message));
        }
    }

    /// Goes on with what another relay offered.
    fn ask_another(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        let Some((relay, offer)) = self.source.take_other() else { return };
        if let Err(fault) = self.take_snapshot(now, relay, offer, out) {
            self.refuse(now, relay, &fault, out);
        }
    }
}

/// A reason, cut to its bound.
fn shortened(mut reason: String) -> String {
    let mut end = reason.len().min(LONGEST_REASON);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason.truncate(end);
    reason
}
