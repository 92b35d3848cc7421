//! Changes that were pushed to this machine, until their outcome is known. Each is forwarded to the machine
//! that builds batches; while no answer arrives it is sent again, later also to a second machine. Duplicates
//! are harmless because of the author's sequence number.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::change::{Change, ChangeId, Rejection};
use crate::control::ConnectionId;
use crate::{MachineId, Number};

/// The maximum number of pending changes, and of their bytes.
const MAX_PENDING: usize = 512;
const MAX_PENDING_BYTES: usize = 8 * 1024 * 1024;
/// The maximum number of connections that wait for the outcome of one change.
const MAX_CONNECTIONS_PER_CHANGE: usize = 8;
/// After this time the outcome is reported as unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// A change without an answer is forwarded again after this time.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How often it is checked whether the base revision of a change has arrived.
const BASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// After this many tries a change is forwarded to a second machine as well.
const TRIES_WITH_ONE_MACHINE: u32 = 3;

/// The outcome of a change, to be sent on a connection.
pub(crate) struct PushReply {
    pub connection: ConnectionId,
    pub change: ChangeId,
    pub outcome: Result<Number, Rejection>,
}

/// The changes to forward, and the replies to send.
pub(crate) struct PollResult {
    pub forwards: Vec<(MachineId, Change)>,
    pub replies: Vec<PushReply>,
}

struct Pending {
    change: Change,
    bytes: usize,
    connections: Vec<ConnectionId>,
    expires_at: Duration,
    retry_at: Duration,
    tries: u32,
    /// The machines that it was forwarded to, with the rejection of each that rejected it.
    forwarded: BTreeMap<MachineId, Option<Rejection>>,
}

/// The pending changes that were pushed to this machine.
#[derive(Default)]
pub(crate) struct Forwarding {
    pending: BTreeMap<ChangeId, Pending>,
    bytes: usize,
}

impl Forwarding {
    /// Adds a change that was pushed on a connection.
    ///
    /// # Errors
    /// If the change is not forwarded: another change has its id, or a limit is reached.
    pub fn push(&mut self, now: Duration, connection: ConnectionId, change: Change) -> Result<(), Rejection> {
        if let Some(pending) = self.pending.get_mut(&change.id) {
            if pending.change != change {
                return Err(Rejection::Sequence(change.id.sequence, change.id.sequence));
            }
            if pending.connections.len() >= MAX_CONNECTIONS_PER_CHANGE {
                return Err(Rejection::Busy(pending.connections.len()));
            }
            if !pending.connections.contains(&connection) {
                pending.connections.push(connection);
            }
            return Ok(());
        }
        let bytes = change.signed_bytes().len();
        if self.pending.len() >= MAX_PENDING || self.bytes + bytes > MAX_PENDING_BYTES {
            return Err(Rejection::Busy(self.pending.len()));
        }
        self.bytes += bytes;
        let pending = Pending {
            bytes,
            connections: vec![connection],
            expires_at: now + OUTCOME_TIMEOUT,
            retry_at: now,
            tries: 0,
            forwarded: BTreeMap::new(),
            change,
        };
        self.pending.insert(pending.change.id, pending);
        Ok(())
    }

    /// A machine rejected a change. This is its outcome if no other machine could accept it, or if all
    /// machines that it was forwarded to rejected it. A machine that is busy, or lacks information, may
    /// accept it on a retry.
    pub fn on_rejected(&mut self, from: MachineId, change: ChangeId, rejection: Rejection) -> Vec<PushReply> {
        if matches!(rejection, Rejection::Busy(_) | Rejection::Unknown | Rejection::BaseAhead(..)) {
            return Vec::new();
        }
        let Some(pending) = self.pending.get_mut(&change) else { return Vec::new() };
        let Some(recorded) = pending.forwarded.get_mut(&from) else { return Vec::new() };
        *recorded = Some(rejection.clone());
        let rejected_by_all = pending.forwarded.values().all(Option::is_some);
        if rejected_by_all || is_final(&rejection) {
            return self.settle(change, &Err(rejection));
        }
        Vec::new()
    }

    /// The outcome of a change is known: removes it and returns the replies.
    pub fn settle(&mut self, change: ChangeId, outcome: &Result<Number, Rejection>) -> Vec<PushReply> {
        let Some(pending) = self.pending.remove(&change) else { return Vec::new() };
        self.bytes -= pending.bytes;
        let reply = |connection| PushReply { connection, change, outcome: outcome.clone() };
        pending.connections.into_iter().map(reply).collect()
    }

    /// Settles all changes whose outcome is known.
    pub fn settle_all(
        &mut self, outcome_of: impl Fn(&Change) -> Option<Result<Number, Rejection>>,
    ) -> Vec<PushReply> {
        let known = self
            .pending
            .values()
            .filter_map(|pending| Some((pending.change.id, outcome_of(&pending.change)?)));
        let known: Vec<_> = known.collect();
        known.into_iter().flat_map(|(change, outcome)| self.settle(change, &outcome)).collect()
    }

    /// A connection closed; its changes are still forwarded.
    pub fn on_connection_closed(&mut self, connection: ConnectionId) {
        for pending in self.pending.values_mut() {
            pending.connections.retain(|waiting| *waiting != connection);
        }
    }

    /// Forwards due changes to the first of these machines and, after some tries, also to the second, and
    /// gives up changes that timed out. A change whose base is above `highest` waits here for that revision:
    /// its author may know more than this machine.
    pub fn poll(
        &mut self, now: Duration, machines: &[MachineId], highest: Number, quorum_reachable: bool,
    ) -> PollResult {
        let mut result = PollResult { forwards: Vec::new(), replies: Vec::new() };
        let timed_out = |pending: &&Pending| now >= pending.expires_at;
        let expired: Vec<ChangeId> =
            self.pending.values().filter(timed_out).map(|pending| pending.change.id).collect();
        for change in expired {
            let Some(pending) = self.pending.get(&change) else { continue };
            // A change that was never forwarded is in no queue, so its rejection is certain.
            let base_is_unknown =
                pending.forwarded.is_empty() && pending.change.base > highest && quorum_reachable;
            let rejection = match base_is_unknown {
                true => Rejection::BaseAhead(pending.change.base, highest),
                false => Rejection::Unknown,
            };
            result.replies.extend(self.settle(change, &Err(rejection)));
        }
        for pending in self.pending.values_mut().filter(|pending| now >= pending.retry_at) {
            if pending.change.base > highest {
                pending.retry_at = now + BASE_CHECK_INTERVAL;
                continue;
            }
            pending.retry_at = now + RETRY_INTERVAL;
            let machine_count = if pending.tries < TRIES_WITH_ONE_MACHINE { 1 } else { 2 };
            pending.tries += 1;
            for machine in machines.iter().take(machine_count) {
                pending.forwarded.entry(*machine).or_default();
                result.forwards.push((*machine, pending.change.clone()));
            }
        }
        result
    }

    pub fn next_poll_at(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.retry_at.min(pending.expires_at)).min()
    }
}

/// Whether no machine could accept a change that one machine rejected for this reason.
fn is_final(rejection: &Rejection) -> bool {
    matches!(
        rejection,
        Rejection::Sequence(..)
            | Rejection::Conflict { .. }
            | Rejection::Edit { .. }
            | Rejection::Empty
            | Rejection::TooLarge(..)
    )
}
