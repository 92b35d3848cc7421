//! Changes that were pushed here, until their outcome is known: they are forwarded to who makes batches, again and to the
//! next one too while no answer comes. The author's sequence number makes a double harmless.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::change::{Change, ChangeId, Rejection};
use crate::control::ConnectionId;
use crate::{MachineId, Number};

/// Changes that are under way from here at most, and their bytes.
const MOST: usize = 512;
const MOST_BYTES: usize = 8 * 1024 * 1024;
/// Connections that wait for one change at most.
const MOST_CONNECTIONS: usize = 8;
/// After this an outcome is unknown.
const GIVE_UP: Duration = Duration::from_secs(10);
/// What is not answered is forwarded again after this.
const AGAIN: Duration = Duration::from_secs(1);
/// Whether a revision that a change is made against is here is looked at this often.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// After so many tries the next machine is tried too.
const TRIES_AT_FIRST: u32 = 3;

/// What is to be said to a connection.
pub(crate) struct Told {
    pub connection: ConnectionId,
    pub change: ChangeId,
    pub outcome: Result<Number, Rejection>,
}

/// What is to be done with changes that were pushed here.
pub(crate) struct Tended {
    pub forwards: Vec<(MachineId, Change)>,
    pub told: Vec<Told>,
}

struct Pending {
    change: Change,
    bytes: usize,
    connections: Vec<ConnectionId>,
    give_up_at: Duration,
    next_at: Duration,
    tries: u32,
    /// Machines that it went to, and why each does not take it.
    forwarded: BTreeMap<MachineId, Option<Rejection>>,
}

/// Changes that were pushed here.
#[derive(Default)]
pub(crate) struct Forwarding {
    pending: BTreeMap<ChangeId, Pending>,
    bytes: usize,
}

impl Forwarding {
    /// A change was pushed on a connection.
    ///
    /// # Errors
    /// Where it goes nowhere.
    pub fn push(&mut self, now: Duration, connection: ConnectionId, change: Change) -> Result<(), Rejection> {
        if let Some(pending) = self.pending.get_mut(&change.id) {
            if pending.change != change {
                return Err(Rejection::Sequence(change.id.sequence, change.id.sequence));
            }
            if pending.connections.len() >= MOST_CONNECTIONS {
                return Err(Rejection::Busy(pending.connections.len()));
            }
            if !pending.connections.contains(&connection) {
                pending.connections.push(connection);
            }
            return Ok(());
        }
        let bytes = change.signed_bytes().len();
        if self.pending.len() >= MOST || self.bytes + bytes > MOST_BYTES {
            return Err(Rejection::Busy(self.pending.len()));
        }
        self.bytes += bytes;
        let pending = Pending {
            bytes,
            connections: vec![connection],
            give_up_at: now + GIVE_UP,
            next_at: now,
            tries: 0,
            forwarded: BTreeMap::new(),
            change,
        };
        self.pending.insert(pending.change.id, pending);
        Ok(())
    }

    /// A machine does not take a change. It is an outcome where no other machine could take it, or none has it. A machine
    /// that is busy, or does not know, may take it when it is tried again.
    pub fn rejected(&mut self, from: MachineId, change: ChangeId, rejection: Rejection) -> Vec<Told> {
        if matches!(rejection, Rejection::Busy(_) | Rejection::Unknown | Rejection::BaseAhead(..)) {
            return Vec::new();
        }
        let Some(pending) = self.pending.get_mut(&change) else { return Vec::new() };
        let Some(held) = pending.forwarded.get_mut(&from) else { return Vec::new() };
        *held = Some(rejection.clone());
        let by_all = pending.forwarded.values().all(Option::is_some);
        if by_all || holds_everywhere(&rejection) {
            return self.settle(change, &Err(rejection));
        }
        Vec::new()
    }

    /// The outcome of a change is known.
    pub fn settle(&mut self, change: ChangeId, outcome: &Result<Number, Rejection>) -> Vec<Told> {
        let Some(pending) = self.pending.remove(&change) else { return Vec::new() };
        self.bytes -= pending.bytes;
        let told = |connection| Told { connection, change, outcome: outcome.clone() };
        pending.connections.into_iter().map(told).collect()
    }

    /// Tells of those changes whose outcome is known now.
    pub fn settle_all(
        &mut self, outcome_of: impl Fn(&Change) -> Option<Result<Number, Rejection>>,
    ) -> Vec<Told> {
        let known = self
            .pending
            .values()
            .filter_map(|pending| Some((pending.change.id, outcome_of(&pending.change)?)));
        let known: Vec<_> = known.collect();
        known.into_iter().flat_map(|(change, outcome)| self.settle(change, &outcome)).collect()
    }

    /// A connection is gone; its changes go on.
    pub fn closed(&mut self, connection: ConnectionId) {
        for pending in self.pending.values_mut() {
            pending.connections.retain(|held| *held != connection);
        }
    }

    /// Forwards to the first of these machines and, after some tries, the second; and gives up what took too long. What is made
    /// against a revision above `highest` waits for it here: its author may know more than this machine does.
    pub fn tend(
        &mut self, now: Duration, machines: &[MachineId], highest: Number, heard_quorum: bool,
    ) -> Tended {
        let mut tended = Tended { forwards: Vec::new(), told: Vec::new() };
        let over = |pending: &&Pending| now >= pending.give_up_at;
        let given_up: Vec<ChangeId> = self.pending.values().filter(over).map(|held| held.change.id).collect();
        for change in given_up {
            let Some(pending) = self.pending.get(&change) else { continue };
            // One that went nowhere lies in no queue.
            let there_is_none = pending.forwarded.is_empty() && pending.change.base > highest && heard_quorum;
            let rejection = match there_is_none {
                true => Rejection::BaseAhead(pending.change.base, highest),
                false => Rejection::Unknown,
            };
            tended.told.extend(self.settle(change, &Err(rejection)));
        }
        for pending in self.pending.values_mut().filter(|pending| now >= pending.next_at) {
            if pending.change.base > highest {
                pending.next_at = now + LOOK_AGAIN;
                continue;
            }
            pending.next_at = now + AGAIN;
            let wide = if pending.tries < TRIES_AT_FIRST { 1 } else { 2 };
            pending.tries += 1;
            for machine in machines.iter().take(wide) {
                pending.forwarded.entry(*machine).or_default();
                tended.forwards.push((*machine, pending.change.clone()));
            }
        }
        tended
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.next_at.min(pending.give_up_at)).min()
    }
}

/// Whether no machine could take a change that one rejects so.
fn holds_everywhere(rejection: &Rejection) -> bool {
    matches!(
        rejection,
        Rejection::Sequence(..)
            | Rejection::Conflict { .. }
            | Rejection::Edit { .. }
            | Rejection::Empty
            | Rejection::TooLarge(..)
    )
}
