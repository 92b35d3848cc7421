//! Scripted relays: a correct one, and relays that fail or misbehave in one way each.

use std::time::Duration;

use super::super::certified::{a_quorum, proof, Version};
use super::super::edits::put;
use super::harness::{delta, snapshot, CONTROLLER};
use crate::lease::Nonce;
use crate::message::{ToRelay, ToWatcher};
use crate::state::State;
use crate::{Digest, MachineId, Number};

/// How a relay deviates from correct behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Correct,
    /// It accepts no connections.
    Unreachable,
    /// It accepts connections and sends nothing.
    Silent,
    /// It is at its limit.
    Busy,
    /// Its messages are delayed by this time.
    Slow(Duration),
    /// Its messages arrive in another order.
    Shuffled,
    /// It sends all messages except its welcome twice.
    Doubled,
    /// It is partitioned from the acceptors: it has no grants.
    NoGrants,
    /// It has certified revisions up to this one only.
    Stale(Number),
    /// It sends no revisions.
    Withholding,
    /// It sends no activation grants.
    NoActivationGrants,
    /// It closes each connection after this many parts of snapshots.
    CutAfter(usize),
    /// Its deltas are on a base that does not exist.
    OtherBase,
    /// It claims to hold more than it then offers.
    Contradicting,
    /// One vote in each certificate is forged.
    ForgedVote,
    /// Its deltas and buckets have an added entry.
    AddedEntry,
    /// Its activation grants are from too few acceptors.
    TooFewActivationGrants,
    /// Its grants are signed by machines that are not acceptors.
    NonAcceptors,
    /// Its grants are over another tree of nonces.
    OtherTree,
}

/// The revisions that all relays know, and the highest one whose activation is allowed.
pub struct ControlPlane {
    pub versions: Vec<Version>,
    pub allowed: Number,
}

impl ControlPlane {
    fn version(&self, number: Number) -> Option<&Version> {
        self.versions.get((number as usize).checked_sub(1)?)
    }
}

/// The state of a connection to the watcher.
#[derive(Default)]
struct Session {
    welcomed: bool,
    held: Number,
    root: Digest,
    offered: Number,
    activated: Number,
    parts: usize,
    groups: Vec<u8>,
    buckets: Vec<u16>,
}

/// A scripted relay.
pub struct Relay {
    pub machine: MachineId,
    pub behaviour: Behaviour,
    session: Session,
}

/// What a relay sends, or that it closes the connection.
pub enum RelayOutput {
    Message(Box<ToWatcher>),
    Close,
}

impl Relay {
    pub fn new(machine: MachineId, behaviour: Behaviour) -> Self {
        Self { machine, behaviour, session: Session::default() }
    }

    /// A connection begins: the state of earlier ones is forgotten.
    pub fn connected(&mut self) {
        self.session = Session::default();
    }

    fn latest(&self, control_plane: &ControlPlane) -> Number {
        let latest = control_plane.versions.len() as Number;
        match self.behaviour {
            Behaviour::Stale(number) => latest.min(number),
            _ => latest,
        }
    }

    /// Handles a message, and returns the answers.
    pub fn receive(&mut self, message: ToRelay, control_plane: &ControlPlane) -> Vec<RelayOutput> {
        let mut messages = Vec::new();
        match message {
            _ if self.behaviour == Behaviour::Silent => return Vec::new(),
            ToRelay::Hello { held, root, .. } => {
                if self.behaviour == Behaviour::Busy {
                    return vec![
                        RelayOutput::Message(Box::new(ToWatcher::Busy { retry_after_ms: 20_000 })),
                        RelayOutput::Close,
                    ];
                }
                if !self.session.welcomed {
                    let excess = if self.behaviour == Behaviour::Contradicting { 5 } else { 0 };
                    let number = self.latest(control_plane) + excess;
                    messages.push(ToWatcher::Welcome { relay: self.machine, number });
                }
                self.session = Session { welcomed: true, held, root, ..Session::default() };
            }
            ToRelay::Prepared { number } => self.session.held = self.session.held.max(number),
            ToRelay::RequestLease { nonce, .. } => messages.extend(self.lease(nonce, control_plane)),
            ToRelay::GetGroups { groups } => self.session.groups.extend(groups),
            ToRelay::GetBuckets { buckets } => self.session.buckets.extend(buckets),
            ToRelay::Unfit { .. } | ToRelay::Push(_) | ToRelay::GetStatus => {}
            ToRelay::RequestRegionalLease { .. } | ToRelay::GetPartitionStatus => {}
        }
        messages.extend(self.pending_updates(control_plane));
        let mut outputs = self.apply_behaviour(messages);
        if matches!(self.behaviour, Behaviour::CutAfter(parts) if self.session.parts >= parts) {
            outputs.push(RelayOutput::Close);
        }
        outputs
    }

    /// The messages that it sends unsolicited: later revisions, activation grants, and requested parts.
    pub fn send_news(&mut self, control_plane: &ControlPlane) -> Vec<RelayOutput> {
        let messages = if self.session.welcomed { self.pending_updates(control_plane) } else { Vec::new() };
        self.apply_behaviour(messages)
    }

    fn pending_updates(&mut self, control_plane: &ControlPlane) -> Vec<ToWatcher> {
        let mut messages: Vec<ToWatcher> = self.offer_latest(control_plane).into_iter().collect();
        messages.extend(self.parts(control_plane));
        let allowed = control_plane.allowed;
        if self.session.held >= allowed && self.session.activated < allowed {
            self.session.activated = allowed;
            messages.extend(control_plane.version(allowed).map(|version| self.activation_grants(version)));
        }
        match self.behaviour {
            Behaviour::Withholding => Vec::new(),
            _ => messages,
        }
    }

    fn activation_grants(&self, version: &Version) -> ToWatcher {
        let acceptors = if self.behaviour == Behaviour::TooFewActivationGrants { 0..2 } else { a_quorum() };
        ToWatcher::Activate {
            number: version.number(),
            activation_grants: version.activation_grants(acceptors),
        }
    }

    /// Offers the latest revision, unless an offer is outstanding.
    fn offer_latest(&mut self, control_plane: &ControlPlane) -> Option<ToWatcher> {
        let latest = self.latest(control_plane);
        if latest <= self.session.held || self.session.offered > self.session.held {
            return None;
        }
        self.session.offered = latest;
        let version = control_plane.version(latest)?;
        let base = control_plane.version(self.session.held);
        match base.filter(|base| base.state.root() == self.session.root || self.session.root == [0; 32]) {
            _ if self.behaviour == Behaviour::OtherBase => {
                Some(delta(version, latest - 1, &State::new(), &[]))
            }
            Some(base) => {
                let edits = crate::watcher::difference(&base.state, &version.state);
                Some(delta(version, base.number(), &base.state, &edits))
            }
            None => Some(snapshot(version)),
        }
    }

    fn parts(&mut self, control_plane: &ControlPlane) -> Vec<ToWatcher> {
        let Some(version) = control_plane.version(self.session.offered) else { return Vec::new() };
        let state = &version.state;
        let groups = self.session.groups.drain(..);
        let group = |group: u8| ToWatcher::Group { group, buckets: state.group(group) };
        let mut parts: Vec<ToWatcher> = groups.map(group).collect();
        let buckets = self.session.buckets.drain(..);
        parts.extend(buckets.map(|bucket| ToWatcher::Bucket { bucket, entries: state.bucket(bucket) }));
        if let Behaviour::CutAfter(max_parts) = self.behaviour {
            parts.truncate(max_parts - self.session.parts.min(max_parts));
        }
        self.session.parts += parts.len();
        parts
    }

    fn lease(&self, nonce: Nonce, control_plane: &ControlPlane) -> Option<ToWatcher> {
        let other_request = (CONTROLLER + 1, [9; 16]);
        let acceptors = if self.behaviour == Behaviour::NonAcceptors { 7..10 } else { a_quorum() };
        let grants: Vec<_> = acceptors.map(|acceptor| (acceptor, control_plane.allowed)).collect();
        let mut proof = proof(&[other_request, (CONTROLLER, nonce)], 1, &grants);
        if self.behaviour == Behaviour::OtherTree {
            proof.path[0][0] ^= 1;
        }
        (self.behaviour != Behaviour::NoGrants).then_some(ToWatcher::Lease(proof))
    }

    /// Alters messages according to the behaviour.
    fn apply_behaviour(&self, messages: Vec<ToWatcher>) -> Vec<RelayOutput> {
        let mut outputs = Vec::new();
        for mut message in messages {
            match (&mut message, self.behaviour) {
                (
                    ToWatcher::Delta { certificate, .. } | ToWatcher::Snapshot { certificate, .. },
                    Behaviour::ForgedVote,
                ) => certificate.votes[0].signature[0] ^= 1,
                (ToWatcher::Delta { edits, .. }, Behaviour::AddedEntry) => edits.push(put("added", "1")),
                (ToWatcher::Bucket { entries, .. }, Behaviour::AddedEntry) => {
                    entries.push(super::super::edits::entry("added", b"1"));
                }
                (ToWatcher::Activate { .. }, Behaviour::NoActivationGrants) => continue,
                (ToWatcher::Welcome { .. }, _) => {}
                (_, Behaviour::Doubled) => outputs.push(RelayOutput::Message(Box::new(message.clone()))),
                _ => {}
            }
            outputs.push(RelayOutput::Message(Box::new(message)));
        }
        outputs
    }
}
