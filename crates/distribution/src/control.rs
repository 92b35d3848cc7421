//! A control machine: its member of the consensus group, and the relay for its watchers.
//!
//! | module | job |
//! |---|---|
//! | `config`, `output`, `stored` | the types that the driver uses |
//! | `agreement` | executes the outputs of consensus and reports this machine's progress to it |
//! | `member_signer` | signer with which control machines are the authors of what they agree on |
//! | `ledger` | the state of the highest certified revision, and deltas to it |
//! | `batches` | proposed and certified batches |
//! | `state_check` | whether controllers can act on the state that a batch results in |
//! | `sequencer` | builds batches from waiting changes |
//! | `forwarding` | changes that were pushed to this machine, until their outcome is known |
//! | `outcomes` | outcomes of the changes of recent revisions |
//! | `peers` | which control machines are reachable |
//! | `regional` | regional grants for watchers of a partitioned region |
//! | `catch_up`, `serving` | fetching a state from another control machine, and serving it |
//! | `recovery` | restores the machine from stored items, and schedules checkpoints |
//!
//! [`crate::relay`] sends updates and leases to watchers.

mod agreement;
mod batches;
mod catch_up;
mod config;
mod forwarding;
pub(crate) mod ledger;
mod member_signer;
mod outcomes;
mod output;
mod peers;
mod recovery;
mod regional;
mod sequencer;
mod serving;
mod state_check;
mod stored;

use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_revisions::{Acceptor, Revisions};

pub use config::{Config, ConfigFault, MAX_PARTITION, MIN_PARTITION};
pub use output::{CloseReason, ConnectionId, ControlOutput};
pub use regional::ExclusiveCheck;
pub use state_check::StateCheck;
pub use stored::{Checkpoint, Stored, StoredFault, StoredItem};

use crate::change::{Change, Rejection};
use crate::lease::{contradiction_bound, Grant, LEASE};
use crate::message::{ControlStatus, PeerMessage, ToRelay, ToWatcher};
use crate::relay::{Hello, Relay};
use crate::state::State;
use crate::{quorum, Certified, Digest, MachineId, Number, Signer};
use batches::Batches;
use catch_up::CatchUp;
use forwarding::{Forwarding, PollResult, PushReply};
use ledger::Ledger;
use member_signer::MemberSigner;
use outcomes::Outcomes;
use peers::Peers;
use recovery::CheckpointSchedule;
use sequencer::Sequencer;
use serving::Serving;

/// A control machine without I/O: the driver executes its outputs in order.
pub struct ControlMachine<H: Signer> {
    config: Config,
    revisions: Revisions<MemberSigner<H>>,
    ledger: Ledger,
    batches: Batches,
    outcomes: Outcomes,
    sequencer: Sequencer,
    forwarding: Forwarding,
    peers: Peers,
    catch_up: CatchUp,
    serving: Serving,
    checkpoints: CheckpointSchedule,
    relay: Relay,
    rng: Rng,
    /// The highest number that is known to be certified, and since when it is known.
    certified: (Number, Duration),
    /// When another machine's batch for the next number was received.
    competing_batch_at: Option<Duration>,
    state_check: StateCheck,
    exclusive_check: ExclusiveCheck,
}

impl<H: Signer> ControlMachine<H> {
    /// Restores a machine from its stored items. Without any it starts from `genesis`, the state of revision
    /// 0, which is the same on all machines.
    pub fn new(config: Config, signer: H, stored: Stored, genesis: State, seed: u64, now: Duration) -> Self {
        recovery::restore(config, signer, stored, genesis, seed, now)
    }

    /// Sets the check of the state that a batch results in, made before the batch is proposed or voted for.
    /// The default accepts every state.
    pub fn set_state_check(&mut self, check: StateCheck) {
        self.state_check = check;
    }

    /// Replaces the signer when the ring has changed, for instance when an author's key was revoked.
    pub fn replace_signer(&mut self, now: Duration, signer: H, out: &mut Vec<ControlOutput>) {
        if signer.acceptors() != self.signer().acceptors() {
            self.revisions.acceptors_changed(now);
        }
        self.revisions.replace_signer(MemberSigner(signer));
        self.revisions.revoke_vote_permits();
        self.evaluate_candidates(now, out);
        self.make_progress(now, out);
    }

    /// The connection to another control machine was established.
    pub fn on_peer_connected(&mut self, now: Duration, peer: MachineId, out: &mut Vec<ControlOutput>) {
        self.peers.on_message(now, peer);
        self.make_progress(now, out);
    }

    /// The connection to another control machine broke.
    pub fn on_peer_closed(&mut self, _now: Duration, peer: MachineId) {
        self.peers.on_down(peer);
        self.serving.on_peer_down(peer);
    }

    /// Receives a message from another control machine; the transport has authenticated the sender.
    pub fn on_peer_message(
        &mut self, now: Duration, from: MachineId, message: PeerMessage, out: &mut Vec<ControlOutput>,
    ) {
        let is_member = self.signer().members().contains(&from);
        if !is_member || from == self.config.machine {
            return;
        }
        self.peers.on_message(now, from);
        match message {
            PeerMessage::Agreement(bytes) => self.on_agreement_message(now, from, &bytes, out),
            PeerMessage::Batch { summary, bytes } => self.on_batch(now, from, summary, bytes, out),
            PeerMessage::GetBatch { digest } => self.serve_batch(now, from, &digest, out),
            PeerMessage::GetState { held, root } => self.serve_state(now, from, held, &root, out),
            PeerMessage::GetParts { groups, buckets } => self.serve_parts(now, from, &groups, &buckets, out),
            PeerMessage::State(part) => self.on_state_part(now, from, *part, out),
            PeerMessage::RequestGrant { root } => {
                if self.peers.try_request(now, from) {
                    let grant = self.grant(root).map(PeerMessage::Grant);
                    out.extend(grant.map(|message| ControlOutput::ToPeer(from, message)));
                }
            }
            PeerMessage::Grant(grant) => self.on_grant(from, grant, out),
            PeerMessage::Forward { change } => self.on_forwarded(now, from, change, out),
            PeerMessage::Outcome { change, outcome: Err(rejection) } => {
                let replies = self.forwarding.on_rejected(from, change, rejection);
                send_replies(replies, out);
            }
            // A machine learns that a change was accepted when it applies the batch.
            PeerMessage::Outcome { outcome: Ok(_), .. } => {}
            PeerMessage::RequestRegionalGrant { root } => self.serve_regional_grant(now, from, root, out),
            PeerMessage::RegionalGrant(grant) => self.on_regional_grant(from, grant, out),
        }
        self.make_progress(now, out);
    }

    /// A watcher or an operator's tool connected.
    pub fn on_watcher_connected(
        &mut self, now: Duration, connection: ConnectionId, out: &mut Vec<ControlOutput>,
    ) {
        self.relay.on_opened(now, connection, out);
    }

    /// Receives a message on a connection of a watcher or a tool.
    pub fn on_watcher_message(
        &mut self, now: Duration, connection: ConnectionId, message: ToRelay, out: &mut Vec<ControlOutput>,
    ) {
        if !self.relay.on_message(now, connection, out) {
            return;
        }
        let (relay, ledger) = (&mut self.relay, &self.ledger);
        match message {
            ToRelay::Hello { controller, active, held, root } => {
                relay.on_hello(
                    now,
                    connection,
                    Hello { controller, active, prepared: held, root },
                    ledger,
                    out,
                );
            }
            ToRelay::Prepared { number } => relay.on_prepared(now, connection, number, ledger, out),
            ToRelay::Unfit { number, reason: _ } => relay.on_unfit(now, connection, number, ledger, out),
            ToRelay::RequestLease { nonce, active } => {
                relay.on_lease_request(now, connection, (nonce, active), ledger, out)
            }
            ToRelay::RequestRegionalLease { nonce, active } => {
                relay.on_lease_request(now, connection, (nonce, active), ledger, out);
                relay.accept_regional(connection);
            }
            ToRelay::GetPartitionStatus => {
                let status = Box::new(self.partition_status(now));
                out.push(ControlOutput::to_watcher(connection, ToWatcher::PartitionStatus(status)));
            }
            ToRelay::GetGroups { groups } => {
                relay.on_parts_request(now, connection, (&groups, &[]), ledger, out)
            }
            ToRelay::GetBuckets { buckets } => {
                relay.on_parts_request(now, connection, (&[], &buckets), ledger, out)
            }
            ToRelay::Push(change) => self.on_push(now, connection, change, out),
            ToRelay::GetStatus => {
                let status = Box::new(self.status(now));
                out.push(ControlOutput::to_watcher(connection, ToWatcher::Status(status)));
            }
        }
        self.make_progress(now, out);
    }

    /// A connection of a watcher or a tool closed.
    pub fn on_watcher_closed(&mut self, _now: Duration, connection: ConnectionId) {
        self.relay.on_closed(connection);
        self.forwarding.on_connection_closed(connection);
    }

    /// Runs the work that is due at `now`.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        if now >= self.revisions.next_due() {
            let mut member_outputs = Vec::new();
            self.revisions.poll(now, &mut member_outputs);
            self.execute(now, member_outputs, out);
        }
        let quorum_size = quorum(self.signer().acceptors().len());
        let requests = self.relay.poll(now, &self.ledger, quorum_size, out);
        self.request_grants(requests, out);
        self.request_regional_grants(now, out);
        self.forward(now, out);
        self.request_state(now, out);
        self.make_progress(now, out);
    }

    /// When [`ControlMachine::poll`] must be called next. Changes with each call of another method.
    pub fn next_poll_at(&self) -> Duration {
        let due = [
            self.relay.next_poll_at(),
            self.forwarding.next_poll_at(),
            self.catch_up.next_poll_at(),
            self.batch_due(),
        ];
        due.into_iter().flatten().fold(self.revisions.next_due(), Duration::min)
    }

    /// The status that is shown to operators.
    pub fn status(&self, now: Duration) -> ControlStatus {
        let agreement = self.revisions.status(now);
        let watchers = self.relay.preparation_status(agreement.certified);
        let active = if self.revisions.may_activate() {
            agreement.certified
        } else {
            agreement.active_revision.active
        };
        ControlStatus {
            machine: self.config.machine,
            acceptor: self.signer().acceptors().contains(&self.config.machine),
            active,
            certified: agreement.certified,
            root: self.ledger.state().root(),
            bound_ms: contradiction_bound(self.config.activation_delay).as_millis() as u64,
            lease_ms: LEASE.as_millis() as u64,
            watchers: watchers.watchers,
            prepared: watchers.prepared,
            lagging: watchers.lagging,
            waited_for: agreement.waited_for,
            log_floor: self.ledger.log_floor(),
            entries: self.ledger.state().len() as u64,
            state_bytes: self.ledger.state().bytes() as u64,
        }
    }

    /// The state of the highest certified revision that this machine has.
    pub fn state(&self) -> &State {
        self.ledger.state()
    }

    /// The number of that revision.
    pub fn number(&self) -> Number {
        self.ledger.number()
    }

    /// The latest state with the certificate of its revision; `None` for revision 0.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let (certificate, summary) = self.ledger.latest().proof.clone()?;
        Some(Checkpoint { certificate, summary, state: self.ledger.state().clone() })
    }

    /// The certificate of the highest revision known to be certified, which may be higher than
    /// [`ControlMachine::number`].
    pub fn certificate(&self) -> Option<&Certified> {
        self.revisions.latest_certified()
    }

    /// Whether this machine is an acceptor that votes for the next number. An acceptor that lost its disk
    /// votes again only after some more revisions were certified without it.
    pub fn is_voting(&self) -> bool {
        let (next, _) = self.revisions.next();
        let is_voting =
            |acceptor: &Acceptor| !acceptor.is_recovering() && acceptor.state().no_vote_through < next;
        self.revisions.acceptor().is_some_and(is_voting)
    }

    fn signer(&self) -> &H {
        &self.revisions.signer().0
    }

    /// This acceptor's grant; `None` while it does not know which revision it allowed before a restart.
    fn grant(&self, root: Digest) -> Option<Grant> {
        let allowed = self.revisions.grantable_number()?;
        Some(Grant::sign(self.signer(), self.config.machine, root, allowed))
    }

    fn on_grant(&mut self, from: MachineId, grant: Grant, out: &mut Vec<ControlOutput>) {
        if grant.acceptor == from && self.relay.awaits(&grant) && grant.is_valid(self.signer()) {
            let quorum_size = quorum(self.signer().acceptors().len());
            self.relay.on_grant(grant, quorum_size, out);
        }
    }

    fn request_grants(&mut self, requests: Vec<(Digest, Vec<MachineId>)>, out: &mut Vec<ControlOutput>) {
        for (root, granted) in requests {
            let acceptors = self.signer().acceptors().iter().copied();
            let missing: Vec<MachineId> = acceptors.filter(|acceptor| !granted.contains(acceptor)).collect();
            for acceptor in missing {
                if acceptor != self.config.machine {
                    out.push(ControlOutput::ToPeer(acceptor, PeerMessage::RequestGrant { root }));
                } else if let Some(grant) = self.grant(root) {
                    self.on_grant(acceptor, grant, out);
                }
            }
        }
    }

    /// An operator's tool pushed a change to this machine.
    fn on_push(
        &mut self, now: Duration, connection: ConnectionId, change: Change, out: &mut Vec<ControlOutput>,
    ) {
        let id = change.id;
        let reply = |outcome| PushReply { connection, change: id, outcome };
        match self.settled_outcome(&change) {
            Some(Err(Rejection::Unknown)) | None => {}
            Some(outcome) => return send_replies(vec![reply(outcome)], out),
        }
        let accepted = match change.is_signed(self.signer()) {
            true => self.forwarding.push(now, connection, change),
            false => Err(Rejection::Author(id.author)),
        };
        match accepted {
            Ok(()) => self.forward(now, out),
            Err(rejection) => send_replies(vec![reply(Err(rejection))], out),
        }
    }

    /// The outcome of a change, if this machine's state determines it.
    fn settled_outcome(&self, change: &Change) -> Option<Result<Number, Rejection>> {
        self.outcomes.outcome_of(change, self.ledger.number(), self.ledger.state())
    }

    /// Forwards changes that were pushed to this machine to the acceptor that builds batches.
    fn forward(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let machines = self.peers.reachable(now, self.config.machine, self.revisions.signer().0.acceptors());
        let is_acceptor = self.signer().acceptors().contains(&self.config.machine);
        let sequencers: Vec<MachineId> =
            machines.into_iter().filter(|machine| is_acceptor || *machine != self.config.machine).collect();
        let quorum_reachable = sequencers.len() >= quorum(self.signer().acceptors().len());
        let PollResult { forwards, replies } =
            self.forwarding.poll(now, &sequencers, self.certified.0, quorum_reachable);
        send_replies(replies, out);
        for (machine, change) in forwards {
            if machine == self.config.machine {
                self.on_forwarded(now, machine, change, out);
            } else {
                out.push(ControlOutput::ToPeer(machine, PeerMessage::Forward { change }));
            }
        }
    }

    /// Receives a change from the machine that it was pushed to.
    fn on_forwarded(&mut self, now: Duration, from: MachineId, change: Change, out: &mut Vec<ControlOutput>) {
        let id = change.id;
        let rejection = match self.settled_outcome(&change) {
            Some(Ok(_)) => None,
            Some(Err(rejection)) => Some(rejection),
            None => self.sequencer.enqueue(now, from, change),
        };
        if let Some(rejection) = rejection {
            self.send_rejection(sequencer::RejectionReply { to: from, change: id, rejection }, out);
        }
    }

    fn send_rejection(&mut self, reply: sequencer::RejectionReply, out: &mut Vec<ControlOutput>) {
        let sequencer::RejectionReply { to, change, rejection } = reply;
        if to == self.config.machine {
            send_replies(self.forwarding.on_rejected(to, change, rejection), out);
        } else {
            out.push(ControlOutput::ToPeer(to, PeerMessage::Outcome { change, outcome: Err(rejection) }));
        }
    }

    /// Reports the outcomes of pushed changes that the current state determines.
    fn report_settled(&mut self, out: &mut Vec<ControlOutput>) {
        let (ledger, outcomes) = (&self.ledger, &self.outcomes);
        let settled_outcome = |change: &Change| {
            let outcome = outcomes.outcome_of(change, ledger.number(), ledger.state());
            outcome.filter(|outcome| *outcome != Err(Rejection::Unknown))
        };
        send_replies(self.forwarding.settle_all(settled_outcome), out);
    }
}

fn send_replies(replies: Vec<PushReply>, out: &mut Vec<ControlOutput>) {
    for PushReply { connection, change, outcome } in replies {
        out.push(ControlOutput::to_watcher(connection, ToWatcher::PushOutcome { change, outcome }));
    }
}
