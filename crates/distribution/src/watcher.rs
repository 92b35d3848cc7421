//! The watcher: the part of a controller that receives certified configuration, prepares it, and activates it
//! once a quorum of acceptors allows that.
//!
//! | module | job |
//! |---|---|
//! | `interface` | the types shared with the driver |
//! | `revisions` | the stored revisions, and the verification of updates against certificates |
//! | `updates` | handling of deltas, snapshots and activation grants from relays |
//! | `lease_requests` | open lease requests, and the lease that was granted |
//! | `relay_connections` | selection of the serving relay, failover, failback and backoff |
//! | `stored` | the state that survives a restart of the process |
//! | `difference` | the edits between two states |
//! | `relay_order` | a controller's relays in the order of preference |

mod difference;
mod interface;
mod lease_requests;
mod relay_connections;
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

use crate::lease::{contradiction_bound, LeaseFault, LeaseProof};
use crate::message::{ToRelay, ToWatcher};
use crate::regional::RegionalProof;
use crate::state::State;
use crate::Signer;
use lease_requests::LeaseRequests;
use relay_connections::{ConnectionAction, Contradiction, DisconnectReason, RelayConnections, UpdateDemand};
use revisions::{RevisionFault, Revisions};
use stored::Storage;
use updates::{SnapshotOffer, SnapshotSource};

/// Why a relay is disconnected and not retried for a while.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum RelayFault {
    #[error("contradictory messages on one connection: {0}")]
    Contradiction(#[from] Contradiction),
    #[error("{0}")]
    Revision(#[from] RevisionFault),
    #[error("invalid lease proof: {0}")]
    Lease(LeaseFault),
    #[error("a message that a watcher never requests")]
    Unexpected,
}

/// Prepares certified revisions and activates allowed ones. It does no I/O: a relay is identified by its
/// index in the order of preference, and a driver carries out the outputs that are appended to `out`, in
/// order.
pub struct Watcher<H> {
    signer: H,
    config: WatcherConfig,
    revisions: Revisions,
    lease_requests: LeaseRequests,
    connections: RelayConnections,
    storage: Storage,
    snapshot_source: SnapshotSource,
    /// Whether a revision is stored, or a lease has confirmed that the program's own file is still current.
    confirmed: bool,
    /// Since when a revision that is not held is known to be certified or allowed to be activated.
    update_wanted_since: Option<Duration>,
    /// The relay that was refused last, and the reason.
    last_refusal: Option<(usize, String)>,
    /// The time of the last call.
    now: Duration,
}

impl<H: Signer> Watcher<H> {
    /// Starts from the stored revisions, or else from `file_state`, the state of the program's own file.
    /// Stored revisions that this program cannot apply are ignored.
    pub fn new(
        signer: H, config: WatcherConfig, file_state: State, stored: Option<Stored>, seed: u64, now: Duration,
    ) -> Self {
        let mut stored = stored.unwrap_or_default();
        let is_unfit =
            |revision: &mut StoredRevision| (config.check)(&revision.state, revision.number()).is_err();
        stored.prepared.take_if(is_unfit);
        if stored.active.take_if(is_unfit).is_some() {
            stored.confirmed = false;
        }
        Self {
            signer,
            confirmed: stored.confirmed || stored.active.is_some(),
            revisions: Revisions::new(file_state, stored.clone()),
            lease_requests: LeaseRequests::default(),
            connections: RelayConnections::new(config.relays, seed, now),
            storage: Storage::new(stored),
            snapshot_source: SnapshotSource::default(),
            update_wanted_since: None,
            last_refusal: None,
            now,
            config,
        }
    }

    /// The connection to a relay that [`WatcherOutput::Connect`] requested is open.
    pub fn on_connected(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        if self.connections.on_opened(now, relay) {
            self.send_hello(relay, out);
            self.report_unfit(relay, out);
        }
        self.advance(now, out);
    }

    /// The connection to a relay closed, could not be opened, or carried bytes that are not a message. Must
    /// not be called for a connection that [`WatcherOutput::Close`] asked to close.
    pub fn on_closed(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        self.connections.on_closed(now, relay);
        self.advance(now, out);
    }

    /// Handles a message from a relay.
    pub fn on_message(
        &mut self, now: Duration, relay: usize, message: ToWatcher, out: &mut Vec<WatcherOutput>,
    ) {
        if !self.connections.is_open(relay) {
            return;
        }
        if let Err(fault) = self.handle_message(now, relay, message, out) {
            self.refuse_relay(now, relay, &fault, out);
        }
        self.advance(now, out);
    }

    /// Disconnects a relay because of an invalid message.
    fn refuse_relay(
        &mut self, now: Duration, relay: usize, fault: &RelayFault, out: &mut Vec<WatcherOutput>,
    ) {
        self.last_refusal = Some((relay, fault.to_string()));
        self.disconnect(now, relay, DisconnectReason::Refused, out);
    }

    fn handle_message(
        &mut self, now: Duration, relay: usize, message: ToWatcher, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        match message {
            ToWatcher::Welcome { relay: machine, number } => {
                self.connections.on_welcome(now, relay, machine, number)?;
            }
            ToWatcher::Busy { retry_after_ms } => {
                let backoff = Duration::from_millis(u64::from(retry_after_ms));
                self.disconnect(now, relay, DisconnectReason::Busy(backoff), out);
            }
            ToWatcher::Delta { certificate, summary, base, base_root, edits } => {
                self.connections.on_offer(now, relay, certificate.number())?;
                self.handle_delta(now, relay, (certificate, summary), (base, base_root), &edits, out)?;
            }
            ToWatcher::Snapshot { certificate, summary, groups } => {
                self.connections.on_offer(now, relay, certificate.number())?;
                self.handle_snapshot(now, relay, SnapshotOffer { certificate, summary, groups }, out)?;
            }
            ToWatcher::Group { group, buckets } => {
                self.handle_part(now, relay, out, |revisions| revisions.receive_group(group, buckets))?;
            }
            ToWatcher::Bucket { bucket, entries } => {
                self.handle_part(now, relay, out, |revisions| revisions.receive_bucket(bucket, entries))?;
            }
            ToWatcher::Activate { number, activation_grants } => {
                self.handle_activation_grants(now, relay, number, &activation_grants, out)?
            }
            ToWatcher::Lease(proof) => self.handle_lease(now, relay, &proof, out)?,
            ToWatcher::RegionalLease(proof) if self.config.regional => {
                self.handle_regional_lease(now, relay, &proof, out)?
            }
            ToWatcher::PushOutcome { .. }
            | ToWatcher::Status(_)
            | ToWatcher::RegionalLease(_)
            | ToWatcher::PartitionStatus(_) => return Err(RelayFault::Unexpected),
        }
        Ok(())
    }

    /// Handles a lease proof. A proof over a nonce that is already answered or too old is ignored.
    fn handle_lease(
        &mut self, now: Duration, relay: usize, proof: &LeaseProof, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        if !self.lease_requests.is_pending(&proof.nonce) {
            return Ok(());
        }
        let check = proof.check(self.config.controller, self.revisions.active(), &self.signer);
        self.lease_requests.record_answer(&proof.nonce, check);
        self.handle_lease_check(now, relay, check, out)
    }

    /// Handles a lease proof that is signed by control machines of the region instead of a quorum of
    /// acceptors.
    fn handle_regional_lease(
        &mut self, now: Duration, relay: usize, proof: &RegionalProof, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        if !self.lease_requests.is_pending(&proof.nonce) {
            return Ok(());
        }
        let check = proof.check(self.config.controller, self.revisions.active(), &self.signer);
        self.lease_requests.record_regional_answer(&proof.nonce, check);
        self.handle_lease_check(now, relay, check, out)
    }

    /// Handles the result of verifying a lease proof.
    fn handle_lease_check(
        &mut self, now: Duration, relay: usize, check: Result<(), LeaseFault>, out: &mut Vec<WatcherOutput>,
    ) -> Result<(), RelayFault> {
        match check {
            Ok(()) | Err(LeaseFault::Behind(_)) => self.connections.on_grants(now, relay),
            Err(fault) if fault.is_forged() => return Err(RelayFault::Lease(fault)),
            Err(_) => {}
        }
        if !self.confirmed && self.lease_requests.has_lease(now) {
            self.confirmed = true;
            out.push(WatcherOutput::Store(self.storage.confirmed()));
            out.push(WatcherOutput::Changed);
        }
        Ok(())
    }

    /// Performs the work that is due.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        self.advance(now, out);
    }

    /// Performs what follows from an event or from the passage of time.
    fn advance(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        self.now = now;
        let revisions = &self.revisions;
        let highest_known = revisions.certified().max(revisions.allowed());
        // Another relay would not help with a revision that this program cannot apply.
        let is_behind = self.lease_requests.is_behind() && revisions.unfit().is_none();
        let is_update_wanted = highest_known > revisions.held() || is_behind;
        self.update_wanted_since = is_update_wanted.then(|| self.update_wanted_since.unwrap_or(now));
        let mut actions = Vec::new();
        self.connections.poll(now, &self.update_demand(), &mut actions);
        for action in actions {
            match action {
                ConnectionAction::Connect(relay) => out.push(WatcherOutput::Connect(relay)),
                ConnectionAction::Close(relay) => out.push(WatcherOutput::Close(relay)),
                ConnectionAction::RequestLease(relay) => self.request_lease(now, relay, out),
            }
        }
        self.request_parts(now, out);
    }

    /// What the selection of relays needs to know about updates.
    fn update_demand(&self) -> UpdateDemand {
        UpdateDemand {
            held: self.revisions.held(),
            certified: self.revisions.certified(),
            wanted_since: self.update_wanted_since,
            source: self.snapshot_source.relay(),
        }
    }

    /// Disconnects a relay.
    fn disconnect(
        &mut self, now: Duration, relay: usize, reason: DisconnectReason, out: &mut Vec<WatcherOutput>,
    ) {
        self.connections.disconnect(now, relay, reason);
        out.push(WatcherOutput::Close(relay));
    }

    /// Draws a nonce and requests a lease from a relay.
    fn request_lease(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        let nonce = (self.config.nonce)();
        self.lease_requests.record_request(now, nonce);
        let active = self.revisions.active();
        let request = match self.config.regional {
            true => ToRelay::RequestRegionalLease { nonce, active },
            false => ToRelay::RequestLease { nonce, active },
        };
        out.push(WatcherOutput::Send(relay, request));
    }

    /// Reports the active and the held revision to a relay.
    fn send_hello(&mut self, relay: usize, out: &mut Vec<WatcherOutput>) {
        let hello = ToRelay::Hello {
            controller: self.config.controller,
            active: self.revisions.active(),
            held: self.revisions.held(),
            root: self.revisions.held_state().root(),
        };
        self.connections.on_hello_sent(relay);
        out.push(WatcherOutput::Send(relay, hello));
    }

    /// Reports to a relay that this program cannot apply the last received revision, if so.
    fn report_unfit(&self, relay: usize, out: &mut Vec<WatcherOutput>) {
        if let Some((number, reason)) = self.revisions.unfit() {
            let unfit = ToRelay::Unfit { number, reason: reason.to_owned() };
            out.push(WatcherOutput::Send(relay, unfit));
        }
    }

    /// The next time at which [`Watcher::poll`] must be called. To be read again after each call of another
    /// method.
    pub fn next_poll_at(&self) -> Duration {
        self.connections.next_poll_at(self.now, &self.update_demand())
    }

    /// Which revision may govern decisions now. To be read immediately before each decision that depends on
    /// the configuration: a process that was paused for longer than its lease learns here that the lease has
    /// expired.
    pub fn acting(&self, now: Duration) -> Acting {
        Acting {
            active: self.revisions.active(),
            prepared: self.revisions.prepared().map(StoredRevision::number),
            hold_reason: self.hold_reason(now),
        }
    }

    /// Why decisions that depend on exclusive keys are withheld now.
    fn hold_reason(&self, now: Duration) -> Option<HoldReason> {
        if self.revisions.allowed() > self.revisions.active() {
            return Some(HoldReason::Behind);
        }
        if self.lease_requests.has_lease(now) {
            return None;
        }
        if self.lease_requests.is_behind() {
            return Some(HoldReason::Behind);
        }
        Some(if self.confirmed { HoldReason::NoLease } else { HoldReason::Unsure })
    }

    /// The state of the active revision.
    pub fn active_state(&self) -> &State {
        self.revisions.active_state()
    }

    /// The state of the prepared revision, which other controllers may activate at any time.
    pub fn prepared_state(&self) -> Option<&State> {
        self.revisions.prepared().map(|prepared| &prepared.state)
    }

    /// Reports the status for operators.
    pub fn status(&self, now: Duration) -> WatcherStatus {
        WatcherStatus {
            acting: self.acting(now),
            active_root: self.active_state().root(),
            certified: self.revisions.certified(),
            allowed: self.revisions.allowed().max(self.revisions.active()),
            unfit: self.revisions.unfit().map(|(number, _)| number),
            lease_until: self.lease_requests.lease_until(),
            regional: self.lease_requests.is_regional(now),
            bound: contradiction_bound(self.config.activation_delay),
            serving: self.connections.serving(),
            trying: self.connections.trying(),
            transfer: self.revisions.progress(),
            relays_refused: self.connections.refused(),
            last_refusal: self.last_refusal.clone(),
        }
    }

    /// Replaces the verification keys and the list of acceptors.
    pub fn replace_signer(&mut self, signer: H) {
        self.signer = signer;
    }
}
