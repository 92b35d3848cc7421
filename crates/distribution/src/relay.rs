//! The relay of a control machine: hands certified revisions and leases down to watchers.
//!
//! | module | job |
//! |---|---|
//! | `session` | what is known of one connection, and what goes out on it |
//! | `lease_rounds` | gathers nonces into trees, and the grants over them |
//! | `admission` | how many watchers are let in at once |
//!
//! A watcher has one update outstanding at most; what is certified meanwhile is merged into its next one. Nothing is
//! buffered for a watcher but the numbers of the parts that it asked for.

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
use admission::{Admission, Admitted};
use lease_rounds::LeaseRounds;
use session::Session;

/// What is not done at once is done this often; so often nonces are gathered for the acceptors.
const TICK: Duration = Duration::from_millis(250);
/// A revision is reported prepared at the latest so long after it was handed down.
const PREPARE_WITHIN: Duration = Duration::from_secs(2);
/// Bytes of snapshots and of large deltas a second, of all watchers together: a zone's 617 on two relays within some 6 s, under
/// the 10 MB a second stated for a control machine.
const BYTES_PER_SECOND: f64 = 8.0 * 1024.0 * 1024.0;
const BYTES_AT_ONCE: f64 = 8.0 * 1024.0 * 1024.0;
/// A connection on which nothing comes for so long, or an update is not acknowledged, is closed.
const SILENCE: Duration = Duration::from_secs(30);
/// Lagging watchers that are named.
const NAMED: usize = 8;

/// A connection, before and after its hello.
struct Connection {
    heard_at: Duration,
    messages: TokenBucket,
    kind: Kind,
}

enum Kind {
    /// Nothing is known of it, or it is a tool's.
    Open,
    /// It waits to be admitted.
    Queued(Hello),
    Watcher(Box<Session>),
}

/// The first message of a watcher.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hello {
    pub controller: ControllerId,
    pub active: Number,
    pub held: Number,
    pub root: Digest,
}

/// Messages of one connection a second: far more than a watcher's requests for parts of a snapshot.
const MESSAGES_PER_SECOND: f64 = 50.0;
const MESSAGES_AT_ONCE: f64 = 400.0;

/// The revision that may be acted on, with the acceptors' words.
struct Allowed {
    number: Number,
    goes: Vec<ActivationGrant>,
}

/// How its watchers stand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Standing {
    pub watchers: u32,
    pub prepared: u32,
    pub lagging: Vec<ControllerId>,
}

/// Hands certified revisions and leases down to watchers.
pub struct Relay {
    me: MachineId,
    most_connections: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    by_controller: BTreeMap<ControllerId, ConnectionId>,
    admission: Admission,
    rounds: LeaseRounds,
    bytes: TokenBucket,
    /// The latest revision, and since when it is handed down.
    handed_down: (Number, Duration),
    allowed: Option<Allowed>,
    /// Who comes first where bytes are short: the one after the last that got some.
    turn: ConnectionId,
    next_tick: Duration,
    chance: Rng,
    regional_leases: u64,
}

impl Relay {
    pub(crate) fn new(
        me: MachineId, most_connections: usize, number: Number, seed: u64, now: Duration,
    ) -> Self {
        Self {
            me,
            most_connections,
            connections: BTreeMap::new(),
            by_controller: BTreeMap::new(),
            admission: Admission::new(now),
            rounds: LeaseRounds::default(),
            bytes: TokenBucket::new(BYTES_PER_SECOND, BYTES_AT_ONCE, now),
            handed_down: (number, now),
            allowed: None,
            turn: 0,
            next_tick: now,
            chance: Rng(seed),
            regional_leases: 0,
        }
    }

    /// Somebody connected.
    pub(crate) fn opened(&mut self, now: Duration, id: ConnectionId, out: &mut Vec<ControlOutput>) {
        if self.connections.len() >= self.most_connections {
            return self.turn_away(now, id, CloseReason::Full(self.most_connections), out);
        }
        let messages = TokenBucket::new(MESSAGES_PER_SECOND, MESSAGES_AT_ONCE, now);
        self.connections.insert(id, Connection { heard_at: now, messages, kind: Kind::Open });
        self.next_tick = self.next_tick.min(now + TICK);
    }

    /// A connection is gone.
    pub(crate) fn closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Kind::Watcher(session) = connection.kind {
            if self.by_controller.get(&session.controller()) == Some(&id) {
                self.by_controller.remove(&session.controller());
            }
        }
        self.admission.forget(id);
        self.rounds.forget(id);
    }

    fn close(&mut self, id: ConnectionId, reason: CloseReason, out: &mut Vec<ControlOutput>) {
        self.closed(id);
        out.push(ControlOutput::CloseWatcher(id, reason));
    }

    fn turn_away(
        &mut self, now: Duration, id: ConnectionId, reason: CloseReason, out: &mut Vec<ControlOutput>,
    ) {
        let retry_after_ms = self.admission.retry_after(now, &mut self.chance).as_millis() as u32;
        out.push(ControlOutput::to_watcher(id, ToWatcher::Busy { retry_after_ms }));
        self.close(id, reason, out);
    }

    /// A message came on a connection. Tells whether it is to be read on.
    pub(crate) fn heard(&mut self, now: Duration, id: ConnectionId, out: &mut Vec<ControlOutput>) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.heard_at = now;
        let taken = connection.messages.try_spend_one(now);
        if !taken {
            self.close(id, CloseReason::Flood, out);
        }
        taken
    }

    pub(crate) fn hello(
        &mut self, now: Duration, id: ConnectionId, hello: Hello, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match &mut connection.kind {
            Kind::Queued(held) => *held = hello,
            Kind::Watcher(session) if session.controller() == hello.controller => {
                session.begin_again(hello);
                self.welcome(id, hello, ledger, out);
                self.update(now, id, ledger, out);
            }
            Kind::Watcher(_) => self.close(id, CloseReason::Protocol, out),
            Kind::Open => match self.admission.ask(now, id) {
                Admitted::Now => self.admit(now, id, hello, ledger, out),
                Admitted::Queued => connection.kind = Kind::Queued(hello),
                Admitted::No(waiting) => self.turn_away(now, id, CloseReason::Queue(waiting), out),
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
        // What it is offered first: a watcher takes no lower one after that.
        let first = ledger.allowed_before(hello.active, hello.held).map(|allowed| allowed.number);
        let number = first.unwrap_or(ledger.number());
        let welcome = ToWatcher::Welcome { relay: self.me, number };
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

    /// Does what a connection's watcher is due: an update, a word to act, parts that it asked for.
    fn update(&mut self, now: Duration, id: ConnectionId, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        let mut bytes = self.bytes.clone();
        let allowed = self.allowed.take();
        if let Some(session) = self.session(id) {
            let mut sent = Vec::new();
            session.update(now, ledger, &mut bytes, &mut sent);
            if let Some(allowed) = &allowed {
                sent.extend(session.activate(now, allowed.number, &allowed.goes));
            }
            out.extend(sent.into_iter().map(|message| ControlOutput::to_watcher(id, message)));
        }
        (self.allowed, self.bytes) = (allowed, bytes);
    }

    fn update_all(&mut self, now: Duration, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        let after = self.connections.range(self.turn + 1..).map(|(id, _)| *id);
        let ids: Vec<ConnectionId> =
            after.chain(self.connections.range(..=self.turn).map(|(id, _)| *id)).collect();
        for id in ids {
            let before = out.len();
            self.update(now, id, ledger, out);
            if out.len() > before {
                self.turn = id;
            }
        }
    }

    /// A watcher has a revision.
    pub(crate) fn prepared(
        &mut self, now: Duration, id: ConnectionId, number: Number, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        session.prepared(number, ledger);
        self.update(now, id, ledger, out);
    }

    /// A watcher's program can't act on a revision.
    pub(crate) fn unfit(
        &mut self, now: Duration, id: ConnectionId, number: Number, ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        session.unfit(number);
        self.update(now, id, ledger, out);
    }

    /// A watcher asks for a lease.
    pub(crate) fn ask_lease(
        &mut self, now: Duration, id: ConnectionId, (nonce, active): (Nonce, Number), ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        session.acts_on(now, active);
        let controller = session.controller();
        self.rounds.gather(id, controller, (nonce, active));
        self.update(now, id, ledger, out);
    }

    /// A watcher asks for parts of what it was offered.
    pub(crate) fn get_parts(
        &mut self, now: Duration, id: ConnectionId, (groups, buckets): (&[u8], &[u16]), ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        let Some(session) = self.session(id) else { return self.close(id, CloseReason::Protocol, out) };
        match session.ask_parts(now, groups, buckets) {
            Ok(()) => self.update(now, id, ledger, out),
            Err(reason) => self.close(id, reason, out),
        }
    }

    /// A later revision is here.
    pub(crate) fn advanced(&mut self, now: Duration, ledger: &Ledger, out: &mut Vec<ControlOutput>) {
        if ledger.number() > self.handed_down.0 {
            self.handed_down = (ledger.number(), now);
            self.update_all(now, ledger, out);
        }
    }

    /// A quorum of acceptors allows a revision to be acted on.
    pub(crate) fn allowed(
        &mut self, now: Duration, number: Number, goes: &[ActivationGrant], ledger: &Ledger,
        out: &mut Vec<ControlOutput>,
    ) {
        if self.allowed.as_ref().is_none_or(|allowed| allowed.number < number) {
            self.allowed = Some(Allowed { number, goes: goes.to_vec() });
            self.update_all(now, ledger, out);
        }
    }

    /// An acceptor granted over one of this relay's roots.
    pub(crate) fn granted(&mut self, grant: Grant, quorum: usize, out: &mut Vec<ControlOutput>) {
        send_proofs(self.rounds.granted(grant, quorum), out);
    }

    /// Whether a grant is one that this relay waits for.
    pub(crate) fn awaits(&self, grant: &Grant) -> bool {
        self.rounds.awaits(grant)
    }

    /// The watcher that asked for a lease last on this connection takes a regional one as well.
    pub(crate) fn takes_regional(&mut self, id: ConnectionId) {
        self.rounds.takes_regional(id);
    }

    /// Roots over which machines are to be asked to vouch, with those that did so far.
    pub(crate) fn regional_asks(&mut self, now: Duration, quorum: usize) -> Vec<(Digest, Vec<MachineId>)> {
        self.rounds.regional_asks(now, quorum)
    }

    /// Whether a regional grant is one that this relay waits for.
    pub(crate) fn awaits_regional(&self, grant: &RegionalGrant) -> bool {
        self.rounds.awaits_regional(grant)
    }

    /// A machine vouched over one of this relay's roots.
    pub(crate) fn vouched(&mut self, grant: RegionalGrant, out: &mut Vec<ControlOutput>) {
        for (id, proof) in self.rounds.vouched(grant) {
            self.regional_leases += 1;
            out.push(ControlOutput::to_watcher(id, ToWatcher::RegionalLease(proof)));
        }
    }

    /// Regional leases that were handed down so far.
    pub(crate) fn regional_leases(&self) -> u64 {
        self.regional_leases
    }

    /// Whether all watchers have the revision that is handed down, or have had the time for it. Tells its number.
    pub(crate) fn ready(&self, now: Duration) -> Option<Number> {
        let (number, since) = self.handed_down;
        let over = now >= since + PREPARE_WITHIN;
        (over || self.sessions().all(|session| session.is_done_with(number))).then_some(number)
    }

    /// Does what is due. Gives the roots that acceptors are to be asked to grant over, each with those who did so far.
    pub(crate) fn tend(
        &mut self, now: Duration, ledger: &Ledger, quorum: usize, out: &mut Vec<ControlOutput>,
    ) -> Vec<(Digest, Vec<MachineId>)> {
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + TICK;
        self.close_silent(now, out);
        while let Some(id) = self.admission.next(now) {
            let queued = self.connections.get(&id).map(|connection| &connection.kind);
            if let Some(Kind::Queued(hello)) = queued {
                let hello = *hello;
                self.admit(now, id, hello, ledger, out);
            }
        }
        self.update_all(now, ledger, out);
        let refused = self.rounds.refused(now, quorum);
        send_proofs(refused, out);
        self.rounds.tend(now)
    }

    fn close_silent(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let silent = |connection: &Connection| {
            let stuck = matches!(&connection.kind, Kind::Watcher(session) if session.is_stuck(now, SILENCE));
            stuck || now >= connection.heard_at + SILENCE
        };
        let over = self.connections.iter().filter(|(_, connection)| silent(connection)).map(|(id, _)| *id);
        for id in over.collect::<Vec<_>>() {
            self.close(id, CloseReason::Silent, out);
        }
    }

    /// When [`Relay::tend`] wants to be called.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let busy = !self.connections.is_empty() || self.rounds.is_busy();
        busy.then_some(self.next_tick)
    }

    /// How its watchers stand to a revision.
    pub(crate) fn standing(&self, number: Number) -> Standing {
        let mut standing = Standing::default();
        for session in self.sessions() {
            standing.watchers += 1;
            if session.has(number) {
                standing.prepared += 1;
            } else if standing.lagging.len() < NAMED {
                standing.lagging.push(session.controller());
            }
        }
        standing
    }
}

fn send_proofs(proofs: Vec<(ConnectionId, LeaseProof)>, out: &mut Vec<ControlOutput>) {
    for (id, proof) in proofs {
        out.push(ControlOutput::to_watcher(id, ToWatcher::Lease(proof)));
    }
}
