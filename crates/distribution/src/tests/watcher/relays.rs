//! Relays that are played by a script: a right one, and ones that fail or lie in one way each.

use std::time::Duration;

use super::super::certified::{a_quorum, proof, Version};
use super::super::edits::put;
use super::bench::{delta, snapshot, CONTROLLER};
use crate::lease::Nonce;
use crate::message::{ToRelay, ToWatcher};
use crate::state::State;
use crate::{Digest, MachineId, Number};

/// What a relay does otherwise than it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Right,
    /// It takes no connections.
    Away,
    /// It takes connections and says nothing.
    Silent,
    /// It is at its bound.
    Full,
    /// Whatever it says comes so much later.
    Slow(Duration),
    /// What it says comes in another order.
    Shuffled,
    /// It says all but its welcome twice.
    Doubled,
    /// It is cut off from the acceptors: it has no grants.
    NoGrants,
    /// It has what was certified up to this revision.
    Stale(Number),
    /// It hands no revisions down.
    Withholding,
    /// It hands no words to act down.
    NoWordsToAct,
    /// Each connection ends after so many parts of snapshots.
    CutAfter(usize),
    /// Its deltas are on a base that nobody has.
    OtherBase,
    /// It says that it holds more than it then offers.
    Contradicting,
    /// A vote of each certificate is forged.
    ForgedVote,
    /// Its deltas and buckets have an entry more.
    AddedEntry,
    /// Its words to act are those of too few.
    TooFewWords,
    /// Its grants are signed by machines that are no acceptors.
    Outsiders,
    /// Its grants are over another tree of nonces.
    OtherTree,
}

/// What all relays know.
pub struct World {
    pub versions: Vec<Version>,
    pub allowed: Number,
}

impl World {
    fn version(&self, number: Number) -> Option<&Version> {
        self.versions.get((number as usize).checked_sub(1)?)
    }
}

/// What a relay knows of the connection to the watcher.
#[derive(Default)]
struct Session {
    greeted: bool,
    held: Number,
    root: Digest,
    offered: Number,
    activated: Number,
    parts: usize,
    groups: Vec<u8>,
    buckets: Vec<u16>,
}

pub struct Relay {
    pub machine: MachineId,
    pub kind: Kind,
    session: Session,
}

/// The end of a connection, among what is said on it.
pub enum Said {
    Message(Box<ToWatcher>),
    End,
}

impl Relay {
    pub fn new(machine: MachineId, kind: Kind) -> Self {
        Self { machine, kind, session: Session::default() }
    }

    /// A connection begins: all that was known of one before is forgotten.
    pub fn connected(&mut self) {
        self.session = Session::default();
    }

    fn latest(&self, world: &World) -> Number {
        let latest = world.versions.len() as Number;
        match self.kind {
            Kind::Stale(number) => latest.min(number),
            _ => latest,
        }
    }

    pub fn heard(&mut self, message: ToRelay, world: &World) -> Vec<Said> {
        let mut said = Vec::new();
        match message {
            _ if self.kind == Kind::Silent => return Vec::new(),
            ToRelay::Hello { held, root, .. } => {
                if self.kind == Kind::Full {
                    return vec![
                        Said::Message(Box::new(ToWatcher::Busy { retry_after_ms: 20_000 })),
                        Said::End,
                    ];
                }
                if !self.session.greeted {
                    let more = if self.kind == Kind::Contradicting { 5 } else { 0 };
                    let number = self.latest(world) + more;
                    said.push(ToWatcher::Welcome { relay: self.machine, number });
                }
                self.session = Session { greeted: true, held, root, ..Session::default() };
            }
            ToRelay::Prepared { number } => self.session.held = self.session.held.max(number),
            ToRelay::AskLease { nonce, .. } => said.extend(self.lease(nonce, world)),
            ToRelay::GetGroups { groups } => self.session.groups.extend(groups),
            ToRelay::GetBuckets { buckets } => self.session.buckets.extend(buckets),
            ToRelay::Unfit { .. } | ToRelay::Push(_) | ToRelay::GetStatus => {}
            ToRelay::AskRegionalLease { .. } | ToRelay::GetApart => {}
        }
        said.extend(self.news(world));
        let mut said = self.spoiled(said);
        if matches!(self.kind, Kind::CutAfter(parts) if self.session.parts >= parts) {
            said.push(Said::End);
        }
        said
    }

    /// What it says unasked: later revisions, words to act, and parts that were asked for.
    pub fn says(&mut self, world: &World) -> Vec<Said> {
        let news = if self.session.greeted { self.news(world) } else { Vec::new() };
        self.spoiled(news)
    }

    fn news(&mut self, world: &World) -> Vec<ToWatcher> {
        let mut said: Vec<ToWatcher> = self.offer(world).into_iter().collect();
        said.extend(self.parts(world));
        let allowed = world.allowed;
        if self.session.held >= allowed && self.session.activated < allowed {
            self.session.activated = allowed;
            said.extend(world.version(allowed).map(|version| self.words_to_act(version)));
        }
        match self.kind {
            Kind::Withholding => Vec::new(),
            _ => said,
        }
    }

    fn words_to_act(&self, version: &Version) -> ToWatcher {
        let acceptors = if self.kind == Kind::TooFewWords { 0..2 } else { a_quorum() };
        ToWatcher::Activate { number: version.number(), goes: version.goes(acceptors) }
    }

    /// The latest revision, unless one is outstanding.
    fn offer(&mut self, world: &World) -> Option<ToWatcher> {
        let latest = self.latest(world);
        if latest <= self.session.held || self.session.offered > self.session.held {
            return None;
        }
        self.session.offered = latest;
        let version = world.version(latest)?;
        let base = world.version(self.session.held);
        match base.filter(|base| base.state.root() == self.session.root || self.session.root == [0; 32]) {
            _ if self.kind == Kind::OtherBase => Some(delta(version, latest - 1, &State::new(), &[])),
            Some(base) => {
                let edits = crate::watcher::difference(&base.state, &version.state);
                Some(delta(version, base.number(), &base.state, &edits))
            }
            None => Some(snapshot(version)),
        }
    }

    fn parts(&mut self, world: &World) -> Vec<ToWatcher> {
        let Some(version) = world.version(self.session.offered) else { return Vec::new() };
        let state = &version.state;
        let groups = self.session.groups.drain(..);
        let group = |group: u8| ToWatcher::Group { group, buckets: state.group(group) };
        let mut parts: Vec<ToWatcher> = groups.map(group).collect();
        let buckets = self.session.buckets.drain(..);
        parts.extend(buckets.map(|bucket| ToWatcher::Bucket { bucket, entries: state.bucket(bucket) }));
        if let Kind::CutAfter(most) = self.kind {
            parts.truncate(most - self.session.parts.min(most));
        }
        self.session.parts += parts.len();
        parts
    }

    fn lease(&self, nonce: Nonce, world: &World) -> Option<ToWatcher> {
        let others = (CONTROLLER + 1, [9; 16]);
        let acceptors = if self.kind == Kind::Outsiders { 7..10 } else { a_quorum() };
        let grants: Vec<_> = acceptors.map(|acceptor| (acceptor, world.allowed)).collect();
        let mut proof = proof(&[others, (CONTROLLER, nonce)], 1, &grants);
        if self.kind == Kind::OtherTree {
            proof.path[0][0] ^= 1;
        }
        (self.kind != Kind::NoGrants).then_some(ToWatcher::Lease(proof))
    }

    fn spoiled(&self, said: Vec<ToWatcher>) -> Vec<Said> {
        let mut spoiled = Vec::new();
        for mut message in said {
            match (&mut message, self.kind) {
                (
                    ToWatcher::Delta { certificate, .. } | ToWatcher::Snapshot { certificate, .. },
                    Kind::ForgedVote,
                ) => certificate.votes[0].signature[0] ^= 1,
                (ToWatcher::Delta { edits, .. }, Kind::AddedEntry) => edits.push(put("added", "1")),
                (ToWatcher::Bucket { entries, .. }, Kind::AddedEntry) => {
                    entries.push(super::super::edits::entry("added", b"1"));
                }
                (ToWatcher::Activate { .. }, Kind::NoWordsToAct) => continue,
                (ToWatcher::Welcome { .. }, _) => {}
                (_, Kind::Doubled) => spoiled.push(Said::Message(Box::new(message.clone()))),
                _ => {}
            }
            spoiled.push(Said::Message(Box::new(message)));
        }
        spoiled
    }
}
