//! A controller's side: it holds the state, prepares what is certified and acts on what is allowed.
//!
//! | module | job |
//! |---|---|
//! | `interface` | the types that a driver deals with |
//! | `revisions` | which revisions are held, and what is taken from a relay |
//! | `updates` | deltas, snapshots and words to act, on their way from a relay to the revisions |
//! | `lease_requests` | nonces that were drawn, and the lease that came of them |
//! | `links` | which relay serves, which one is tried, which are left alone for a while |
//! | `stored` | what outlives the process |
//! | `difference` | the edits between two states |
//! | `relay_order` | a controller's relays in the order of its preference |

mod difference;
mod interface;
mod lease_requests;
mod links;
mod relay_order;
mod revisions;
mod stored;
mod updates;

#[cfg(test)]
pub(crate) use difference::difference;
pub use interface::{
    Acting, Check, DrawNonce, HoldReason, StoreRequest, WatcherConfig, WatcherOutput, WatcherStatus,
};
pub use relay_order::relay_order;
pub use stored::{Stored, StoredFault, StoredRevision};

use std::time::Duration;

use thiserror::Error;

use crate::lease::{bound, LeaseFault, LeaseProof};
use crate::message::{ToRelay, ToWatcher};
use crate::regional::RegionalProof;
use crate::state::State;
use crate::Signer;
use lease_requests::LeaseRequests;
use links::{Contradiction, Leave, LinkAction, Links, Wanted};
use revisions::{RevisionFault, Revisions};
use stored::Storage;
use updates::{SnapshotOffer, Source};

/// Why a relay is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum RelayFault {
    #[error("it contradicts itself: {0}")]
    Contradiction(#[from] Contradiction),
    #[error("{0}")]
    Revision(#[from] RevisionFault),
    #[error("a lease: {0}")]
    Lease(LeaseFault),
    #[error("a message that answers nothing that a watcher asks")]
    Unexpected,
}

/// Prepares certified revisions and acts on allowed ones. It does no I/O: relays are meant by their place in the order
/// of preference, and a driver carries out what is put in `out`, in that order.
pub struct Watcher<H> {
    hand: H,
    config: WatcherConfig,
    revisions: Revisions,
    requests: LeaseRequests,
    links: Links,
    storage: Storage,
    source: Source,
    /// Whether it has something stored, or had a lease that showed its file to be what holds.
    sure: bool,
    /// Since when it knows of a revision, or of a word to act, that it does not have.
    wanted_since: Option<Duration>,
    last_refusal: Option<(usize, String)>,
    /// The time of the last call.
    now: Duration,
}

impl<H: Signer> Watcher<H> {
    /// A watcher that acts on what it stored, or else on `own`, the state of the program's own file. What was stored and
    /// this program can't act on is as if it were not stored.
    pub fn new(
        hand: H, config: WatcherConfig, own: State, stored: Option<Stored>, seed: u64, now: Duration,
    ) -> Self {
        let mut stored = stored.unwrap_or_default();
        let is_unfit =
            |revision: &mut StoredRevision| (config.check)(&revision.state, revision.number()).is_err();
        stored.prepared.take_if(is_unfit);
        if stored.active.take_if(is_unfit).is_some() {
            stored.sure = false;
        }
        Self {
            hand,
            sure: stored.sure || stored.active.is_some(),
            revisions: Revisions::new(own, stored.clone()),
            requests: LeaseRequests::default(),
            links: Links::new(config.relays, seed, now),
            storage: Storage::new(stored),
            source: Source::default(),
            wanted_since: None,
            last_refusal: None,
            now,
            config,
        }
    }

    /// The connection to a relay, which [`WatcherOutput::Connect`] asked for, is open.
    pub fn opened(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        if self.links.opened(now, relay) {
            self.say_hello(relay, out);
            self.say_unfit(relay, out);
        }
        self.settle(now, out);
    }

    /// The connection to a relay is closed, could not be opened, or carried what is no message. Not to be called for one
    /// that [`WatcherOutput::Close`] asked to close.
    pub fn closed(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        self.links.closed(now, relay);
        self.settle(now, out);
    }

    /// A relay said something.
    pub fn heard(&mut self, now: Duration, relay: usize, message: ToWatcher, out: &mut Vec<WatcherOutput>) {
        if !self.links.is_open(relay) {
            return;
        }
        if let Err(fault) = self.take(now, relay, message, out) {
            self.refuse(now, relay, &fault, out);
        }
        self.settle(now, out);
    }

    fn refuse(&mut self, now: Duration, relay: usize, fault: &RelayFault, out: &mut Vec<WatcherOutput>) {
        self.last_refusal = Some((relay, fault.to_string()));
        self.leave(now, relay, Leave::Refused, out);
    }

    fn take(
        &mut self, now: Duration, relay: usize, message: ToWatcher, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        match message {
            ToWatcher::Welcome { relay: machine, number } => {
                self.links.welcomed(now, relay, machine, number)?;
            }
            ToWatcher::Busy { retry_after_ms } => {
                let pause = Duration::from_millis(u64::from(retry_after_ms));
                self.leave(now, relay, Leave::Busy(pause), out);
            }
            ToWatcher::Delta { certificate, summary, base, base_root, edits } => {
                self.links.offered(now, relay, certificate.number())?;
                self.take_delta(now, relay, (certificate, summary), (base, base_root), &edits, out)?;
            }
            ToWatcher::Snapshot { certificate, summary, groups } => {
                self.links.offered(now, relay, certificate.number())?;
                self.take_snapshot(now, relay, SnapshotOffer { certificate, summary, groups }, out)?;
            }
            ToWatcher::Group { group, buckets } => {
                self.take_part(now, relay, out, |revisions| revisions.take_group(group, buckets))?;
            }
            ToWatcher::Bucket { bucket, entries } => {
                self.take_part(now, relay, out, |revisions| revisions.take_bucket(bucket, entries))?;
            }
            ToWatcher::Activate { number, goes } => self.take_goes(now, relay, number, &goes, out)?,
            ToWatcher::Lease(proof) => self.take_lease(now, relay, &proof, out)?,
            ToWatcher::RegionalLease(proof) if self.config.regional => {
                self.take_regional_lease(now, relay, &proof, out)?
            }
            ToWatcher::PushOutcome { .. }
            | ToWatcher::Status(_)
            | ToWatcher::RegionalLease(_)
            | ToWatcher::Apart(_) => return Err(RelayFault::Unexpected),
        }
        Ok(())
    }

    /// An answer to a request for a lease; one to a nonce that is answered or too old is nothing.
    fn take_lease(
        &mut self, now: Duration, relay: usize, proof: &LeaseProof, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        if !self.requests.is_open(&proof.nonce) {
            return Ok(());
        }
        let shown = proof.check(self.config.controller, self.revisions.active(), &self.hand);
        self.requests.answered(&proof.nonce, shown);
        self.lease_shown(now, relay, shown, out)
    }

    /// The same where control machines vouched in the place of acceptors.
    fn take_regional_lease(
        &mut self, now: Duration, relay: usize, proof: &RegionalProof, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        if !self.requests.is_open(&proof.nonce) {
            return Ok(());
        }
        let shown = proof.check(self.config.controller, self.revisions.active(), &self.hand);
        self.requests.vouched(&proof.nonce, shown);
        self.lease_shown(now, relay, shown, out)
    }

    /// What an answer to a request for a lease showed.
    fn lease_shown(
        &mut self, now: Duration, relay: usize, shown: Result<(), LeaseFault>, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        match shown {
            Ok(()) | Err(LeaseFault::Behind(_)) => self.links.granted(now, relay),
            Err(fault) if fault.is_forged() => return Err(RelayFault::Lease(fault)),
            Err(_) => {}
        }
        if !self.sure && self.requests.is_held(now) {
            self.sure = true;
            out.push(WatcherOutput::Store(self.storage.sure()));
            out.push(WatcherOutput::Changed);
        }
        Ok(())
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        self.settle(now, out);
    }

    /// Does what follows from a change or from the time that went by.
    fn settle(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        self.now = now;
        let revisions = &self.revisions;
        let known = revisions.certified().max(revisions.allowed());
        // What this program can't act on is no reason to look for another relay.
        let is_behind = self.requests.is_behind() && revisions.unfit().is_none();
        let wants = known > revisions.held() || is_behind;
        self.wanted_since = wants.then(|| self.wanted_since.unwrap_or(now));
        let mut actions = Vec::new();
        self.links.tend(now, &self.wanted(), &mut actions);
        for action in actions {
            match action {
                LinkAction::Connect(relay) => out.push(WatcherOutput::Connect(relay)),
                LinkAction::Close(relay) => out.push(WatcherOutput::Close(relay)),
                LinkAction::AskLease(relay) => self.ask_lease(now, relay, out),
            }
        }
        self.ask_parts(now, out);
    }

    fn wanted(&self) -> Wanted {
        Wanted {
            held: self.revisions.held(),
            certified: self.revisions.certified(),
            since: self.wanted_since,
            source: self.source.relay(),
        }
    }

    fn leave(&mut self, now: Duration, relay: usize, why: Leave, out: &mut Vec<WatcherOutput>) {
        self.links.leave(now, relay, why);
        out.push(WatcherOutput::Close(relay));
    }

    fn ask_lease(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        let nonce = (self.config.nonce)();
        self.requests.drew(now, nonce);
        let active = self.revisions.active();
        let ask = match self.config.regional {
            true => ToRelay::AskRegionalLease { nonce, active },
            false => ToRelay::AskLease { nonce, active },
        };
        out.push(WatcherOutput::Send(relay, ask));
    }

    fn say_hello(&mut self, relay: usize, out: &mut Vec<WatcherOutput>) {
        let hello = ToRelay::Hello {
            controller: self.config.controller,
            active: self.revisions.active(),
            held: self.revisions.held(),
            root: self.revisions.held_state().root(),
        };
        self.links.greeted(relay);
        out.push(WatcherOutput::Send(relay, hello));
    }

    fn say_unfit(&self, relay: usize, out: &mut Vec<WatcherOutput>) {
        if let Some((number, reason)) = self.revisions.unfit() {
            let unfit = ToRelay::Unfit { number, reason: reason.to_owned() };
            out.push(WatcherOutput::Send(relay, unfit));
        }
    }

    /// When [`Watcher::tend`] wants to be called. To be asked again after each call of another method.
    pub fn next_due(&self) -> Duration {
        self.links.next_due(self.now, &self.wanted())
    }

    /// What it may act on. It is to be asked just before each decision that a revision governs: a process that stood
    /// still for longer than its lease learns here that it did.
    pub fn acting(&self, now: Duration) -> Acting {
        Acting {
            active: self.revisions.active(),
            prepared: self.revisions.prepared().map(StoredRevision::number),
            held: self.hold(now),
        }
    }

    fn hold(&self, now: Duration) -> Option<HoldReason> {
        if self.revisions.allowed() > self.revisions.active() {
            return Some(HoldReason::Behind);
        }
        if self.requests.is_held(now) {
            return None;
        }
        if self.requests.is_behind() {
            return Some(HoldReason::Behind);
        }
        Some(if self.sure { HoldReason::NoLease } else { HoldReason::Unsure })
    }

    /// The state of the revision that it acts on.
    pub fn active_state(&self) -> &State {
        self.revisions.active_state()
    }

    /// The state of the revision that others may act on at any time.
    pub fn prepared_state(&self) -> Option<&State> {
        self.revisions.prepared().map(|prepared| &prepared.state)
    }

    /// What it knows, for its operator.
    pub fn status(&self, now: Duration) -> WatcherStatus {
        WatcherStatus {
            acting: self.acting(now),
            active_root: self.active_state().root(),
            certified: self.revisions.certified(),
            allowed: self.revisions.allowed().max(self.revisions.active()),
            unfit: self.revisions.unfit().map(|(number, _)| number),
            lease_until: self.requests.until(),
            regional: self.requests.is_regional(now),
            bound: bound(self.config.late),
            serving: self.links.serving(),
            trying: self.links.trying(),
            transfer: self.revisions.progress(),
            relays_refused: self.links.refused(),
            last_refusal: self.last_refusal.clone(),
        }
    }

    /// The keys of members and the list of acceptors are others from now on.
    pub fn take_hand(&mut self, hand: H) {
        self.hand = hand;
    }
}
