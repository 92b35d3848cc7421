//! The relay of a control machine: sends certified revisions and leases to watchers.
//!
//! | module | job |
//! |---|---|
//! | `session` | the state of one watcher's connection, and the messages sent on it |
//! | `lease_rounds` | collects nonces into trees, and the grants over their roots |
//! | `admission` | limits the rate at which watchers are admitted |
//!
//! At most one update is outstanding for a watcher; revisions certified in the meantime are merged into the
//! next one. Nothing is buffered for a watcher except the numbers of the parts that it requested.

mod admission;
mod lease_rounds;
mod session;

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_revisions::message::ActivationGrant;

use crate::control::ledger::Ledger;
use crate::control::{CloseReason, ConnectionId, ControlOutput};
use crate::lease::{Grant, LeaseProof, Nonce};
use crate::message::ToWatcher;
use crate::regional::RegionalGrant;
use crate::token_bucket::TokenBucket;
use crate::{ControllerId, Digest, MachineId, Number};
use admission::{Admission, AdmissionDecision};
use lease_rounds::LeaseRounds;
use session::Session;

/// The interval of periodic work, and of the lease rounds into which nonces are collected.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// A revision is reported as prepared at the latest this long after the relay began to send it.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(2);
/// The rate of snapshots and large deltas to all watchers together. It serves the 617 watchers of a zone from
/// two relays within about 6 s, and is below the 10 MB/s stated for a control machine.
const BYTES_PER_SECOND: f64 = 8.0 * 1024.0 * 1024.0;
const BURST_BYTES: f64 = 8.0 * 1024.0 * 1024.0;
/// A connection is closed if no message arrives, or an update is not acknowledged, for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of lagging watchers listed in a status.
const MAX_LISTED_LAGGING: usize = 8;

/// A connection, before and after its `Hello`.
struct Connection {
    last_message_at: Duration,
    messages: TokenBucket,
    kind: Kind,
}

enum Kind {
    /// It has not sent `Hello`, or it belongs to a tool.
    Open,
    /// It waits for admission.
    Queued(Hello),
    Watcher(Box<Session>),
}

/// The first message of a watcher.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hello {
    pub controller: ControllerId,
    pub active: Number,
    pub prepared: Number,
    pub root: Digest,
}

/// Messages per second on one connection: far more than a watcher needs to request the parts of a snapshot.
const MESSAGES_PER_SECOND: f64 = 50.0;
const MESSAGE_BURST: f64 = 400.0;

/// The revision whose activation is allowed, with the acceptors' grants.
struct ActivationAllowed {
    number: Number,
    activation_grants: Vec<ActivationGrant>,
}

/// How many watchers have prepared a revision, and which lag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PreparationStatus {
    pub watchers: u32,
    pub prepared: u32,
    pub lagging: Vec<ControllerId>,
}

/// Sends certified revisions and leases to watchers.
pub struct Relay {
    local_id: MachineId,
    max_connections: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    by_controller: BTreeMap<ControllerId, ConnectionId>,
    admission: Admission,
    rounds: LeaseRounds,
    bytes: TokenBucket,
    /// The latest revision, and when the relay began to send it.
    current_revision: (Number, Duration),
    allowed: Option<ActivationAllowed>,
    /// The connection that was sent something last. The next one is served first, so that watchers take turns
    /// when the rate limit is reached.
    last_served: ConnectionId,
    next_tick: Duration,
    rng: Rng,
    regional_leases: u64,
}

impl Relay {
    pub(crate) fn new(
        local_id: MachineId, max_connections: usize, number: Number, seed: u64, now: Duration,
    ) -> Self {
        Self {
            local_id,
            max_connections,
            connections: BTreeMap::new(),
            by_controller: BTreeMap::new(),
            admission: Admission::new(now),
            rounds: LeaseRounds::default(),
            bytes: TokenBucket::new(BYTES_PER_SECOND, BURST_BYTES, now),
            current_revision: (number, now),
            allowed: None,
            last_served: 0,
            next_tick: now,
            rng: Rng(seed),
            regional_leases: 0,
        }
    }

    /// A connection was opened.
    pub(crate) fn on_opened(&mut self, now: Duration, id: ConnectionId, out: &mut Vec<ControlOutput>) {
        if self.connections.len() >= self.max_connections {
            return self.reject(now, id, CloseReason::Full(self.max_connections), out);
        }
        let messages = TokenBucket::new(MESSAGES_PER_SECOND, MESSAGE_BURST, now);
        self.connections.insert(id, Connection { last_message_at: now, messages, kind: Kind::Open });
        self.next_tick = self.next_tick.min(now + TICK_INTERVAL);
    }

    /// A connection was closed.
    pub(crate) fn on_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Kind::Watcher(session) = connection.kind {
            if self.by_controller.get(&session.controller()) == Some(&id) {
                self.by_controller.remove(&session.controller());
            }
        }
        self.admission.remove(id);
        self.rounds.remove(id);
    }

    fn close(&mut self, id: ConnectionId, reason: CloseReason, out: &mut Vec<ControlOutput>) {
        self.on_closed(id);
        out.push(ControlOutput::CloseWatcher(id, reason));
    }

    fn reject(&mut self, now: Duration, id: ConnectionId, reason: CloseReason, out: &mut Vec<ControlOutput>) {
        let retry_after_ms = self.admission.retry_after(now, &mut self.rng).as_millis() as u32;
        out.push(ControlOutput::to_watcher(id, ToWatcher::Busy { retry_after_ms }));
        self.close(id, reason, out);
    }

    /// A message arrived on a connection. Returns whether to process it; a connection over its rate is
    /// closed.
    pub(crate) fn on_message(
        &mut self, now: Duration, id: ConnectionId, out: &mut Vec<ControlOutput>,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.last_message_at = now;
        let within_rate = connection.messages.try_spend_one(now);
        if !within_rate {
            self.close(id, CloseReason::Flood, out);
        }
        within_rate
    }

    pub(crate) fn on_hello(
        &mut self, now: Duration, id: ConnectionId, hello: Hello, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match &mut connection.kind {
            Kind::Queued(queued) => *queued = hello,
            Kind::Watcher(session) if session.controller() == hello.controller => {
                session.restart(hello);
                self.welcome(id, hello, ledger, out);
                self.update(now, id, ledger, out);
            }
            Kind::Watcher(_) => self.close(id, CloseReason::Protocol, out),
            Kind::Open => match self.admission.request(now, id) {
                AdmissionDecision::Now => self.admit(now, id, hello, ledger, out),
                AdmissionDecision::Queued => connection.kind = Kind::Queued(hello),
                AdmissionDecision::Rejected(waiting) => {
                    self.reject(now, id, CloseReason::Queue(waiting), out)
                }
            },
        }
    }

    fn admit(
        &mut self, now: Duration, id: ConnectionId, hello: Hello, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        if let Some(before) = self.by_controller.insert(hello.controller, id).filter(|before| *before != id) {
            self.close(before, CloseReason::Replaced, out);
            self.by_controller.insert(hello.controller, id);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.kind = Kind::Watcher(Box::new(Session::new(hello, now)));
        self.welcome(id, hello, ledger, out);
        self.update(now, id, ledger, out);
    }

    fn welcome(&self, id: ConnectionId, hello: Hello, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        // The first revision that will be offered: the watcher accepts no lower one after this.
        let first = ledger.allowed_for(hello.active, hello.prepared).map(|allowed| allowed.number);
        let number = first.unwrap_or(ledger.number());
        let welcome = ToWatcher::Welcome { relay: self.local_id, number };
        out.push(ControlOutput::to_watcher(id, welcome));
    }

    fn session(&mut self, id: ConnectionId) -> Option<&mut Session> {
        match &mut self.connections.get_mut(&id)?.kind {
            Kind::Watcher(session) => Some(session),
            _ => None,
        }
    }

    fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.connections.values().filter_map(|connection| match &connection.kind {
            Kind::Watcher(session) => Some(session.as_ref()),
            _ => None,
        })
    }

    /// Sends the watcher of a connection what is due: an update, an activation, requested parts.
    fn update(&mut self, now: Duration, id: ConnectionId, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        let mut bytes = self.bytes.clone();
        let allowed = self.allowed.take();
        if let Some(session) = self.session(id) {
            let mut sent = Vec::new();
            session.update(now, ledger, &mut bytes, &mut sent);
            if let Some(allowed) = &allowed {
                sent.extend(session.activate(now, allowed.number, &allowed.activation_grants));
            }
            out.extend(sent.into_iter().map(|message| ControlOutput::to_watcher(id, message)));
        }
        (self.allowed, self.bytes) = (allowed, bytes);
    }

    fn update_all(&mut self, now: Duration, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        let after = self.connections.range(self.last_served + 1..).map(|(id, _)| *id);
        let ids: Vec<ConnectionId> =
            after.chain(self.connections.range(..=self.last_served).map(|(id, _)| *id)).collect();
        for id in ids {
            let before = out.len();
            self.update(now, id, ledger, out);
            if out.len() > before {
                self.last_served = id;
            }
        }
    }

    /// A watcher has prepared a revision.
    pub(crate) fn on_prepared(
        &mut self, now: Duration, id: ConnectionId, number: Number, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        session.on_prepared(number, ledger);
        self.update(now, id, ledger, out);
    }

    /// A watcher's program cannot act on a revision.
    pub(crate) fn on_unfit(
        &mut self, now: Duration, id: ConnectionId, number: Number, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        session.on_unfit(number);
        self.update(now, id, ledger, out);
    }

    /// A watcher requests a lease.
    pub(crate) fn on_lease_request(
        &mut self, now: Duration, id: ConnectionId, (nonce, active): (Nonce, Number), ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        session.on_active_revision(now, active);
        let controller = session.controller();
        self.rounds.collect_request(id, controller, (nonce, active));
        self.update(now, id, ledger, out);
    }

    /// A watcher requests parts of the snapshot that it was offered.
    pub(crate) fn on_parts_request(
        &mut self, now: Duration, id: ConnectionId, (groups, buckets): (&[u8], &[u16]), ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        match session.queue_parts(now, groups, buckets) {
            Ok(()) => self.update(now, id, ledger, out),
            Err(reason) => self.close(id, reason, out),
        }
    }

    /// The ledger has advanced to a later revision.
    pub(crate) fn on_advanced(&mut self, now: Duration, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        if ledger.number() > self.current_revision.0 {
            self.current_revision = (ledger.number(), now);
            self.update_all(now, ledger, out);
        }
    }

    /// A quorum of acceptors allows the activation of a revision.
    pub(crate) fn on_activation_allowed(
        &mut self, now: Duration, number: Number, activation_grants: &[ActivationGrant], ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        if self.allowed.as_ref().is_none_or(|allowed| allowed.number < number) {
            self.allowed = Some(ActivationAllowed { number, activation_grants: activation_grants.to_vec() });
            self.update_all(now, ledger, out);
        }
    }

    /// Adds an acceptor's valid grant over one of this relay's roots.
    pub(crate) fn on_grant(&mut self, grant: Grant, quorum: usize, out: &mut Vec<ControlOutput>) {
        send_proofs(self.rounds.on_grant(grant, quorum), out);
    }

    /// Whether this relay waits for a grant.
    pub(crate) fn awaits(&self, grant: &Grant) -> bool {
        self.rounds.awaits(grant)
    }

    /// The watcher that last requested a lease on this connection also accepts a regional one.
    pub(crate) fn accept_regional(&mut self, id: ConnectionId) {
        self.rounds.accept_regional(id);
    }

    /// Roots for which machines must be asked to vouch, each with the machines that already did.
    pub(crate) fn regional_requests(
        &mut self, now: Duration, quorum: usize,
    ) -> Vec<(Digest, Vec<MachineId>)> {
        self.rounds.regional_requests(now, quorum)
    }

    /// Whether this relay waits for a regional grant.
    pub(crate) fn awaits_regional(&self, grant: &RegionalGrant) -> bool {
        self.rounds.awaits_regional(grant)
    }

    /// Adds a machine's valid regional grant over one of this relay's roots.
    pub(crate) fn on_regional_grant(&mut self, grant: RegionalGrant, out: &mut Vec<ControlOutput>) {
        for (id, proof) in self.rounds.on_regional_grant(grant) {
            self.regional_leases += 1;
            out.push(ControlOutput::to_watcher(id, ToWatcher::RegionalLease(proof)));
        }
    }

    /// The number of regional leases sent so far.
    pub(crate) fn regional_leases(&self) -> u64 {
        self.regional_leases
    }

    /// The number of the revision being sent, once all watchers have prepared it or the time for it is over.
    pub(crate) fn ready_number(&self, now: Duration) -> Option<Number> {
        let (number, started_at) = self.current_revision;
        let timed_out = now >= started_at + PREPARE_TIMEOUT;
        (timed_out || self.sessions().all(|session| session.is_finished_with(number))).then_some(number)
    }

    /// Runs the periodic work. Returns the roots to request grants for, each with the acceptors that granted.
    pub(crate) fn poll(
        &mut self, now: Duration, ledger: &Ledger, quorum: usize, out: &mut Vec<ControlOutput>,
    ) -> Vec<(Digest, Vec<MachineId>)> {
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + TICK_INTERVAL;
        self.close_silent(now, out);
        while let Some(id) = self.admission.next(now) {
            let queued = self.connections.get(&id).map(|connection| &connection.kind);
            if let Some(Kind::Queued(hello)) = queued {
                let hello = *hello;
                self.admit(now, id, hello, ledger, out);
            }
        }
        self.update_all(now, ledger, out);
        let refusals = self.rounds.refusals(now, quorum);
        send_proofs(refusals, out);
        self.rounds.poll(now)
    }

    fn close_silent(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let is_silent = |connection: &Connection| {
            let stalled =
                matches!(&connection.kind, Kind::Watcher(session) if session.is_stalled(now, IDLE_TIMEOUT));
            stalled || now >= connection.last_message_at + IDLE_TIMEOUT
        };
        let silent_ids =
            self.connections.iter().filter(|(_, connection)| is_silent(connection)).map(|(id, _)| *id);
        for id in silent_ids.collect::<Vec<_>>() {
            self.close(id, CloseReason::Silent, out);
        }
    }

    /// When [`Relay::poll`] must be called next.
    pub(crate) fn next_poll_at(&self) -> Option<Duration> {
        let busy = !self.connections.is_empty() || self.rounds.is_busy();
        busy.then_some(self.next_tick)
    }

    /// How many watchers have prepared a revision, and which lag.
    pub(crate) fn preparation_status(&self, number: Number) -> PreparationStatus {
        let mut status = PreparationStatus::default();
        for session in self.sessions() {
            status.watchers += 1;
            if session.has_prepared(number) {
                status.prepared += 1;
            } else if status.lagging.len() < MAX_LISTED_LAGGING {
                status.lagging.push(session.controller());
            }
        }
        status
    }
}

fn send_proofs(proofs: Vec<(ConnectionId, LeaseProof)>, out: &mut Vec<ControlOutput>) {
    for (id, proof) in proofs {
        out.push(ControlOutput::to_watcher(id, ToWatcher::Lease(proof)));
    }
}
