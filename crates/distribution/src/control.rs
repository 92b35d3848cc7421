//! A control machine: its part in the agreement, and the relay of its watchers.
//!
//! | module | job |
//! |---|---|
//! | `config`, `output`, `stored` | the types that a driver deals with |
//! | `agreement` | carries out what the agreement asks for, and tells it what this machine holds |
//! | `member_hand` | lets control machines be the authors of what they agree on |
//! | `ledger` | the state of the highest certified revision, and deltas to it |
//! | `batches` | batches that were proposed or certified |
//! | `state_check` | whether controllers can act on the state that a batch leads to |
//! | `sequencer` | puts waiting changes into batches |
//! | `forwarding` | changes that were pushed here, until their outcome is known |
//! | `outcomes` | what became of the changes of the last revisions |
//! | `peers` | which control machines are heard |
//! | `regional` | vouching for watchers of a region that is cut off |
//! | `catch_up`, `serving` | getting a state from another control machine, and giving it |
//! | `recovery` | begins from what was stored |
//!
//! What watchers are sent is in [`crate::relay`].

mod agreement;
mod batches;
mod catch_up;
mod config;
mod forwarding;
pub(crate) mod ledger;
mod member_hand;
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

pub use config::{Config, ConfigFault, LEAST_APART, MOST_APART};
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
use forwarding::{Forwarding, Tended, Told};
use ledger::Ledger;
use member_hand::MemberHand;
use outcomes::Outcomes;
use peers::Peers;
use recovery::Checkpoints;
use sequencer::Sequencer;
use serving::Serving;

/// A control machine without I/O: the driver carries its outputs out in their order.
pub struct ControlMachine<H: Signer> {
    config: Config,
    revisions: Revisions<MemberHand<H>>,
    ledger: Ledger,
    batches: Batches,
    outcomes: Outcomes,
    sequencer: Sequencer,
    forwarding: Forwarding,
    peers: Peers,
    catch_up: CatchUp,
    serving: Serving,
    checkpoints: Checkpoints,
    relay: Relay,
    chance: Rng,
    /// The highest number that is known certified, and since when it is.
    certified: (Number, Duration),
    /// When another machine's batch for the next number came.
    rival_at: Option<Duration>,
    state_check: StateCheck,
    exclusive_check: ExclusiveCheck,
}

impl<H: Signer> ControlMachine<H> {
    /// A machine that goes on with what it stored, or begins with `genesis`, the state of revision 0 that is the same at
    /// all machines.
    pub fn new(config: Config, hand: H, stored: Stored, genesis: State, seed: u64, now: Duration) -> Self {
        recovery::begin(config, hand, stored, genesis, seed, now)
    }

    /// Has each state that a batch leads to judged before it is proposed or voted for. Without this every state is taken.
    pub fn set_state_check(&mut self, check: StateCheck) {
        self.state_check = check;
    }

    /// Takes another ring, for instance one without an author whose key was revoked.
    pub fn take_hand(&mut self, now: Duration, hand: H, out: &mut Vec<ControlOutput>) {
        if hand.acceptors() != self.hand().acceptors() {
            self.revisions.acceptors_changed(now);
        }
        self.revisions.replace_signer(MemberHand(hand));
        self.revisions.revoke_vote_permits();
        self.judge_candidates(now, out);
        self.settle(now, out);
    }

    /// The connection to another control machine stands.
    pub fn peer_up(&mut self, now: Duration, peer: MachineId, out: &mut Vec<ControlOutput>) {
        self.peers.heard(now, peer);
        self.settle(now, out);
    }

    /// The connection to another control machine broke.
    pub fn peer_down(&mut self, _now: Duration, peer: MachineId) {
        self.peers.down(peer);
        self.serving.down(peer);
    }

    /// A message of another control machine; the transport vouches for who sent it.
    pub fn peer_message(
        &mut self, now: Duration, from: MachineId, message: PeerMessage, out: &mut Vec<ControlOutput>,
    ) {
        let known = self.hand().members().contains(&from);
        if !known || from == self.config.me {
            return;
        }
        self.peers.heard(now, from);
        match message {
            PeerMessage::Agreement(bytes) => self.agreement_message(now, from, &bytes, out),
            PeerMessage::Batch { summary, bytes } => self.take_batch(now, from, summary, bytes, out),
            PeerMessage::GetBatch { digest } => self.serve_batch(now, from, &digest, out),
            PeerMessage::GetState { held, root } => self.serve_state(now, from, held, &root, out),
            PeerMessage::GetParts { groups, buckets } => self.serve_parts(now, from, &groups, &buckets, out),
            PeerMessage::State(part) => self.take_state(now, from, *part, out),
            PeerMessage::RequestGrant { root } => {
                if self.peers.may_ask(now, from) {
                    let grant = self.grant(root).map(PeerMessage::Grant);
                    out.extend(grant.map(|message| ControlOutput::ToPeer(from, message)));
                }
            }
            PeerMessage::Grant(grant) => self.take_grant(from, grant, out),
            PeerMessage::Forward { change } => self.forwarded(now, from, change, out),
            PeerMessage::Outcome { change, outcome: Err(rejection) } => {
                let told = self.forwarding.rejected(from, change, rejection);
                tell(told, out);
            }
            // That a change was taken, a machine sees when it applies the batch.
            PeerMessage::Outcome { outcome: Ok(_), .. } => {}
            PeerMessage::RequestRegionalGrant { root } => self.serve_regional_grant(now, from, root, out),
            PeerMessage::RegionalGrant(grant) => self.take_regional_grant(from, grant, out),
        }
        self.settle(now, out);
    }

    /// Somebody connected: a watcher, or an operator's tool.
    pub fn watcher_opened(&mut self, now: Duration, connection: ConnectionId, out: &mut Vec<ControlOutput>) {
        self.relay.opened(now, connection, out);
    }

    /// A message on such a connection.
    pub fn watcher_message(
        &mut self, now: Duration, connection: ConnectionId, message: ToRelay, out: &mut Vec<ControlOutput>,
    ) {
        if !self.relay.heard(now, connection, out) {
            return;
        }
        let (relay, ledger) = (&mut self.relay, &self.ledger);
        match message {
            ToRelay::Hello { controller, active, held, root } => {
                relay.hello(now, connection, Hello { controller, active, held, root }, ledger, out);
            }
            ToRelay::Prepared { number } => relay.prepared(now, connection, number, ledger, out),
            ToRelay::Unfit { number, reason: _ } => relay.unfit(now, connection, number, ledger, out),
            ToRelay::RequestLease { nonce, active } => {
                relay.ask_lease(now, connection, (nonce, active), ledger, out)
            }
            ToRelay::RequestRegionalLease { nonce, active } => {
                relay.ask_lease(now, connection, (nonce, active), ledger, out);
                relay.takes_regional(connection);
            }
            ToRelay::GetPartitionStatus => {
                let apart = Box::new(self.apart_status(now));
                out.push(ControlOutput::to_watcher(connection, ToWatcher::PartitionStatus(apart)));
            }
            ToRelay::GetGroups { groups } => relay.get_parts(now, connection, (&groups, &[]), ledger, out),
            ToRelay::GetBuckets { buckets } => relay.get_parts(now, connection, (&[], &buckets), ledger, out),
            ToRelay::Push(change) => self.pushed(now, connection, change, out),
            ToRelay::GetStatus => {
                let status = Box::new(self.status(now));
                out.push(ControlOutput::to_watcher(connection, ToWatcher::Status(status)));
            }
        }
        self.settle(now, out);
    }

    /// Such a connection is gone.
    pub fn watcher_closed(&mut self, _now: Duration, connection: ConnectionId) {
        self.relay.closed(connection);
        self.forwarding.closed(connection);
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        if now >= self.revisions.next_due() {
            let mut given = Vec::new();
            self.revisions.poll(now, &mut given);
            self.carry_out(now, given, out);
        }
        let enough = quorum(self.hand().acceptors().len());
        let asks = self.relay.tend(now, &self.ledger, enough, out);
        self.ask_for_grants(asks, out);
        self.ask_for_regional_grants(now, out);
        self.forward(now, out);
        self.ask_for_state(now, out);
        self.settle(now, out);
    }

    /// When [`ControlMachine::tend`] wants to be called. To be asked again after each call of another method.
    pub fn next_due(&self) -> Duration {
        let due =
            [self.relay.next_due(), self.forwarding.next_due(), self.catch_up.next_due(), self.batch_due()];
        due.into_iter().flatten().fold(self.revisions.next_due(), Duration::min)
    }

    /// What an operator is shown.
    pub fn status(&self, now: Duration) -> ControlStatus {
        let agreement = self.revisions.status(now);
        let watchers = self.relay.standing(agreement.certified);
        let active = if self.revisions.may_activate() {
            agreement.certified
        } else {
            agreement.active_revision.active
        };
        ControlStatus {
            machine: self.config.me,
            acceptor: self.hand().acceptors().contains(&self.config.me),
            active,
            certified: agreement.certified,
            root: self.ledger.state().root(),
            bound_ms: contradiction_bound(self.config.late).as_millis() as u64,
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

    /// The state of the highest certified revision that is here.
    pub fn state(&self) -> &State {
        self.ledger.state()
    }

    /// The number of that revision.
    pub fn number(&self) -> Number {
        self.ledger.number()
    }

    /// The latest state with what shows that it is certified; nothing for revision 0.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let (certificate, summary) = self.ledger.latest().proof.clone()?;
        Some(Checkpoint { certificate, summary, state: self.ledger.state().clone() })
    }

    /// What shows the highest revision that is known certified, which may be above the state that is here.
    pub fn certificate(&self) -> Option<&Certified> {
        self.revisions.latest_certified()
    }

    /// Whether this is an acceptor that votes for the next number: one that lost its disk does so only after some more
    /// were certified without it.
    pub fn votes(&self) -> bool {
        let (next, _) = self.revisions.next();
        let voting =
            |acceptor: &Acceptor| !acceptor.is_recovering() && acceptor.state().no_vote_through < next;
        self.revisions.acceptor().is_some_and(voting)
    }

    fn hand(&self) -> &H {
        &self.revisions.signer().0
    }

    /// This acceptor's grant; nothing from one that does not know what its former self allowed.
    fn grant(&self, root: Digest) -> Option<Grant> {
        let allowed = self.revisions.grantable_number()?;
        Some(Grant::sign(self.hand(), self.config.me, root, allowed))
    }

    fn take_grant(&mut self, from: MachineId, grant: Grant, out: &mut Vec<ControlOutput>) {
        if grant.acceptor == from && self.relay.awaits(&grant) && grant.is_valid(self.hand()) {
            let enough = quorum(self.hand().acceptors().len());
            self.relay.granted(grant, enough, out);
        }
    }

    fn ask_for_grants(&mut self, asks: Vec<(Digest, Vec<MachineId>)>, out: &mut Vec<ControlOutput>) {
        for (root, granted) in asks {
            let acceptors = self.hand().acceptors().iter().copied();
            let asked: Vec<MachineId> = acceptors.filter(|acceptor| !granted.contains(acceptor)).collect();
            for acceptor in asked {
                if acceptor != self.config.me {
                    out.push(ControlOutput::ToPeer(acceptor, PeerMessage::RequestGrant { root }));
                } else if let Some(grant) = self.grant(root) {
                    self.take_grant(acceptor, grant, out);
                }
            }
        }
    }

    /// An operator's tool pushed a change here.
    fn pushed(
        &mut self, now: Duration, connection: ConnectionId, change: Change, out: &mut Vec<ControlOutput>,
    ) {
        let id = change.id;
        let told = |outcome| Told { connection, change: id, outcome };
        match self.settled(&change) {
            Some(Err(Rejection::Unknown)) | None => {}
            Some(outcome) => return tell(vec![told(outcome)], out),
        }
        let taken = match change.is_signed(self.hand()) {
            true => self.forwarding.push(now, connection, change),
            false => Err(Rejection::Author(id.author)),
        };
        match taken {
            Ok(()) => self.forward(now, out),
            Err(rejection) => tell(vec![told(Err(rejection))], out),
        }
    }

    /// What became of a change, if this machine's state settles it.
    fn settled(&self, change: &Change) -> Option<Result<Number, Rejection>> {
        self.outcomes.of(change, self.ledger.number(), self.ledger.state())
    }

    /// Forwards what was pushed here, to the acceptor that makes batches.
    fn forward(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let machines = self.peers.heard_of(now, self.config.me, self.revisions.signer().0.acceptors());
        let acceptor = self.hand().acceptors().contains(&self.config.me);
        let sequencers: Vec<MachineId> =
            machines.into_iter().filter(|machine| acceptor || *machine != self.config.me).collect();
        let heard_quorum = sequencers.len() >= quorum(self.hand().acceptors().len());
        let Tended { forwards, told } =
            self.forwarding.tend(now, &sequencers, self.certified.0, heard_quorum);
        tell(told, out);
        for (machine, change) in forwards {
            if machine == self.config.me {
                self.forwarded(now, machine, change, out);
            } else {
                out.push(ControlOutput::ToPeer(machine, PeerMessage::Forward { change }));
            }
        }
    }

    /// A change came from the machine that it was pushed to.
    fn forwarded(&mut self, now: Duration, from: MachineId, change: Change, out: &mut Vec<ControlOutput>) {
        let id = change.id;
        let rejection = match self.settled(&change) {
            Some(Ok(_)) => None,
            Some(Err(rejection)) => Some(rejection),
            None => self.sequencer.take(now, from, change),
        };
        if let Some(rejection) = rejection {
            self.answer(sequencer::Answer { to: from, change: id, rejection }, out);
        }
    }

    fn answer(&mut self, answer: sequencer::Answer, out: &mut Vec<ControlOutput>) {
        let sequencer::Answer { to, change, rejection } = answer;
        if to == self.config.me {
            tell(self.forwarding.rejected(to, change, rejection), out);
        } else {
            out.push(ControlOutput::ToPeer(to, PeerMessage::Outcome { change, outcome: Err(rejection) }));
        }
    }

    /// Tells of changes pushed here that the present state settles.
    fn tell_settled(&mut self, out: &mut Vec<ControlOutput>) {
        let (ledger, outcomes) = (&self.ledger, &self.outcomes);
        let settled = |change: &Change| {
            let outcome = outcomes.of(change, ledger.number(), ledger.state());
            outcome.filter(|outcome| *outcome != Err(Rejection::Unknown))
        };
        tell(self.forwarding.settle_all(settled), out);
    }
}

fn tell(told: Vec<Told>, out: &mut Vec<ControlOutput>) {
    for Told { connection, change, outcome } in told {
        out.push(ControlOutput::to_watcher(connection, ToWatcher::PushOutcome { change, outcome }));
    }
}
