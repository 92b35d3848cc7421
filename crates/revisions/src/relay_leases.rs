//! Relay leases: how long a member that can't reach the acceptors may go on vouching for its active revision,
//! and how long an exclusive revision waits for it at most. Disabled unless [`Revisions::enable_relay_leases`] was
//! called. The safety argument is in `docs/distribution.md`, "Regions apart".
//!
//! Each member holds a long lease from a quorum of acceptors and renews it with its ordinary lease requests.
//! An acceptor grants the activation of an exclusive revision only once each member has acknowledged it or
//! its relay lease has expired. A member vouches for an older revision only while it holds a quorum of these
//! leases and has acknowledged no later exclusive revision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::lease::with_drift;
use crate::member::{MemberOutput, Revisions};
use crate::message::{Message, Position};
use crate::{quorum, Acceptor, Member, Number, Signer};

/// Maximum number of exclusive revisions that are recorded individually; once it is reached, all later ones
/// count as exclusive.
const MAX_EXCLUSIVE: usize = 16_384;

/// What an acceptor knows of a member's relay lease.
#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    /// The incarnation of the member that sent the latest request; leases granted to an earlier one ended
    /// with it.
    incarnation: u32,
    /// When this acceptor last granted a lease to that incarnation, if it did.
    granted_at: Option<Duration>,
    /// The highest revision that this incarnation reported as prepared with its requests.
    acknowledged: Number,
}

/// The state of relay leases, as acceptor and as holder.
#[derive(Debug)]
pub(crate) struct RelayLeases {
    /// How long a relay lease lasts.
    term: Duration,
    /// Since when this acceptor has a record of what it granted; before that it may have granted a lease to
    /// any member.
    started_at: Duration,
    granted: BTreeMap<Member, LeaseRecord>,
    /// Until when this member's relay lease from each acceptor lasts.
    held_until: BTreeMap<Member, Duration>,
    /// Exclusive revisions above the active one.
    exclusive: BTreeSet<Number>,
    /// The highest revision that has been classified; later ones count as exclusive.
    classified_through: Number,
    /// The highest revision that this member reported to an acceptor as prepared.
    acknowledged: Number,
    /// Up to which revision each acceptor has reported itself ready to grant activation.
    ready_through: BTreeMap<Member, Number>,
}

impl RelayLeases {
    /// No relay leases yet, for an acceptor that starts at `now`. Revisions up to `classified_through` count as
    /// exclusive.
    pub(crate) fn new(now: Duration, term: Duration, classified_through: Number) -> Self {
        Self {
            term,
            started_at: now,
            granted: BTreeMap::new(),
            held_until: BTreeMap::new(),
            exclusive: (classified_through > 0).then_some(classified_through).into_iter().collect(),
            classified_through,
            acknowledged: 0,
            ready_through: BTreeMap::new(),
        }
    }

    /// Records whether a revision is exclusive. Revisions that were skipped count as exclusive.
    pub(crate) fn classify(&mut self, number: Number, exclusive: bool, active: Number) {
        if number <= self.classified_through {
            return;
        }
        self.exclusive = self.exclusive.split_off(&active.saturating_add(1));
        if self.exclusive.len() >= MAX_EXCLUSIVE {
            return;
        }
        let skipped = self.classified_through + 1;
        if skipped < number {
            self.exclusive.extend([skipped, number]);
        } else if exclusive {
            self.exclusive.insert(number);
        }
        self.classified_through = number;
    }

    /// The highest exclusive revision above `above` and up to `up_to`.
    pub(crate) fn highest_exclusive(&self, above: Number, up_to: Number) -> Option<Number> {
        if up_to <= above {
            return None;
        }
        if up_to > self.classified_through {
            return Some(up_to);
        }
        self.exclusive.range(above + 1..=up_to).next_back().copied()
    }

    /// When a member's relay lease from this acceptor expires at the latest; `None` if the member does not
    /// have to be waited for.
    pub(crate) fn wait_ends_at(&self, member: Member, exclusive: Number) -> Option<Duration> {
        let expires_at = |granted_at: Duration| granted_at + with_drift(self.term);
        match self.granted.get(&member) {
            None => Some(expires_at(self.started_at)),
            Some(record) if record.acknowledged >= exclusive => None,
            Some(record) => record.granted_at.map(expires_at),
        }
    }

    /// Records a member's request for a relay lease. Returns whether the lease is granted.
    pub(crate) fn record_request(
        &mut self, now: Duration, from: Member, (incarnation, prepared): (u32, Number),
        pending: Option<Number>,
    ) -> bool {
        let started_at = self.started_at;
        let new_record = || LeaseRecord { incarnation, granted_at: Some(started_at), acknowledged: 0 };
        let record = self.granted.entry(from).or_insert_with(new_record);
        if incarnation < record.incarnation {
            return false;
        }
        if incarnation > record.incarnation {
            *record = LeaseRecord { incarnation, granted_at: None, acknowledged: 0 };
        }
        record.acknowledged = record.acknowledged.max(prepared);
        let granted = pending.is_none_or(|exclusive| record.acknowledged >= exclusive);
        if granted {
            record.granted_at = Some(now);
        }
        granted
    }
}

/// The incarnation that created a nonce.
fn incarnation_of(nonce: u64) -> u32 {
    (nonce >> 32) as u32
}

impl<H: Signer> Revisions<H> {
    /// Enables relay leases of this length: they are requested and granted from now on, and exclusive
    /// revisions wait for them. Revisions up to `classified_through` are of unknown kind and count as exclusive.
    pub fn enable_relay_leases(&mut self, now: Duration, term: Duration, classified_through: Number) {
        self.relay_leases = (term > Duration::ZERO).then(|| RelayLeases::new(now, term, classified_through));
    }

    /// Called when the ring names other acceptors: earlier leases and readiness reports do not count towards
    /// their quorums.
    pub fn acceptors_changed(&mut self, now: Duration) {
        if let Some(relay_leases) = &mut self.relay_leases {
            (relay_leases.started_at, relay_leases.granted, relay_leases.ready_through) =
                (now, BTreeMap::new(), BTreeMap::new());
        }
    }

    /// Records whether a certified revision changes something on which two members must never disagree. The
    /// caller classifies the revisions in order, each before this member reports it as prepared; a revision
    /// that was skipped counts as exclusive.
    pub fn classify(&mut self, number: Number, exclusive: bool) {
        let active = self.active;
        if let Some(relay_leases) = &mut self.relay_leases {
            relay_leases.classify(number, exclusive, active);
        }
    }

    /// The revision that this member may currently vouch for to those that can't reach the acceptors.
    pub fn may_vouch(&self, now: Duration) -> Option<Number> {
        let relay_leases = self.relay_leases.as_ref()?;
        let acceptors = self.signer.acceptors();
        let holds_lease =
            |acceptor: &&Member| relay_leases.held_until.get(acceptor).is_some_and(|until| now < *until);
        let has_quorum =
            !acceptors.is_empty() && acceptors.iter().filter(holds_lease).count() >= quorum(acceptors.len());
        let superseded = relay_leases.highest_exclusive(self.active, relay_leases.acknowledged).is_some();
        (has_quorum && !superseded).then_some(self.active)
    }

    /// Members whose relay leases delay the exclusive revisions that are not activated yet at this acceptor,
    /// each with the longest time that remains.
    pub fn exclusive_waits(&self, now: Duration) -> Vec<(Member, Duration)> {
        let remaining_wait =
            |member: &Member| self.remaining_relay_lease(now, *member).map(|remaining| (*member, remaining));
        self.signer.members().iter().filter_map(remaining_wait).collect()
    }

    /// The longest time that an exclusive revision still waits for a member's relay lease.
    pub(crate) fn remaining_relay_lease(&self, now: Duration, member: Member) -> Option<Duration> {
        let exclusive = self.pending_exclusive()?;
        let until = self.relay_leases.as_ref()?.wait_ends_at(member, exclusive)?;
        until.checked_sub(now)
    }

    /// The highest exclusive revision that is certified, and neither active here nor granted activation by
    /// this acceptor.
    fn pending_exclusive(&self) -> Option<Number> {
        let granted_or_active =
            self.acceptor.as_ref().map_or(0, |acceptor| acceptor.state().activation_granted).max(self.active);
        self.relay_leases.as_ref()?.highest_exclusive(granted_or_active, self.learner.number())
    }

    /// Whether a quorum of acceptors is ready to grant the activation of all pending exclusive revisions. If
    /// one acceptor granted it alone, neither the old nor the new revision would have a quorum of grants for
    /// as long as the others wait.
    pub(crate) fn quorum_is_ready(&mut self, now: Duration, out: &mut Vec<MemberOutput>) -> bool {
        let Some(exclusive) = self.pending_exclusive() else { return true };
        let (local_id, number) = (self.config.local_id, self.learner.number());
        let Some(relay_leases) = &mut self.relay_leases else { return true };
        let reported = relay_leases.ready_through.insert(local_id, number);
        if reported != Some(number) {
            self.send_readiness(now, number, out);
        }
        let Some(relay_leases) = &self.relay_leases else { return true };
        let grants = self.learner.latest.iter().flat_map(|latest| &latest.activation_grants);
        let granted_by: BTreeSet<Member> = grants.map(|grant| grant.acceptor).collect();
        let acceptors = self.signer.acceptors();
        let is_ready = |acceptor: &&Member| {
            granted_by.contains(acceptor)
                || relay_leases
                    .ready_through
                    .get(acceptor)
                    .is_some_and(|ready_through| *ready_through >= exclusive)
        };
        acceptors.iter().filter(is_ready).count() >= quorum(acceptors.len())
    }

    fn send_readiness(&mut self, now: Duration, number: Number, out: &mut Vec<MemberOutput>) {
        let local_id = self.config.local_id;
        for acceptor in self.signer.acceptors().to_vec() {
            if acceptor != local_id {
                self.send(now, acceptor, Message::ReadyToActivate { number }, out);
            }
        }
    }

    /// Repeats this acceptor's readiness report while it waits for other acceptors.
    pub(crate) fn resend_readiness(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let (local_id, number) = (self.config.local_id, self.learner.number());
        let is_ready =
            self.relay_leases.as_ref().and_then(|relay_leases| relay_leases.ready_through.get(&local_id))
                == Some(&number);
        if is_ready && self.pending_exclusive().is_some() {
            self.send_readiness(now, number, out);
        }
    }

    /// Handles another acceptor's readiness report.
    pub(crate) fn handle_readiness(
        &mut self, now: Duration, from: Member, number: Number, out: &mut Vec<MemberOutput>,
    ) {
        if !self.signer.acceptors().contains(&from) {
            return;
        }
        if let Some(relay_leases) = &mut self.relay_leases {
            let ready_through = relay_leases.ready_through.entry(from).or_default();
            *ready_through = number.max(*ready_through);
            self.grant_activation_if_ready(now, out);
        }
    }

    /// Requests relay leases from acceptors, with the nonce of the ordinary lease request that is sent at the
    /// same time.
    pub(crate) fn request_relay_leases(
        &mut self, now: Duration, nonce: u64, acceptors: &[Member], out: &mut Vec<MemberOutput>,
    ) {
        let position = self.position(now);
        let Some(relay_leases) = &mut self.relay_leases else { return };
        if position.has_text {
            relay_leases.acknowledged = relay_leases.acknowledged.max(position.certified);
        }
        for acceptor in acceptors {
            self.send(now, *acceptor, Message::RelayLeaseRequest { nonce, position }, out);
        }
    }

    /// Handles a member's request for a relay lease.
    pub(crate) fn handle_relay_lease_request(
        &mut self, now: Duration, from: Member, nonce: u64, their_position: Position,
        out: &mut Vec<MemberOutput>,
    ) {
        let pending = self.pending_exclusive();
        let granted_through = self
            .acceptor
            .as_ref()
            .filter(|acceptor| !acceptor.is_recovering())
            .map(|acceptor| acceptor.state().activation_granted);
        let granted_through =
            granted_through.filter(|_| self.signer.acceptors().contains(&self.config.local_id));
        let (Some(activation_granted), Some(relay_leases)) = (granted_through, &mut self.relay_leases) else {
            return;
        };
        let prepared = if their_position.has_text { their_position.certified } else { 0 };
        if activation_granted > their_position.active {
            // The member's active revision is older than one that others may have active, so it gets no
            // lease; its report of what it has prepared still counts.
            let outdated = Some(Number::MAX);
            relay_leases.record_request(now, from, (incarnation_of(nonce), prepared), outdated);
        } else if relay_leases.record_request(now, from, (incarnation_of(nonce), prepared), pending) {
            let for_ms = relay_leases.term.as_millis() as u64;
            self.send(now, from, Message::RelayLease { nonce, activation_granted, for_ms }, out);
        }
        self.grant_activation_if_ready(now, out);
    }

    /// Handles an acceptor's grant of a relay lease.
    pub(crate) fn handle_relay_lease(
        &mut self, from: Member, nonce: u64, activation_granted: Number, for_ms: u64,
    ) {
        let requested_at = self.held_leases.request_time(nonce);
        let is_valid = self.signer.acceptors().contains(&from) && activation_granted <= self.active;
        let (Some(requested_at), Some(relay_leases)) =
            (requested_at.filter(|_| is_valid), &mut self.relay_leases)
        else {
            return;
        };
        let until = requested_at + Duration::from_millis(for_ms).min(relay_leases.term);
        let held_until = relay_leases.held_until.entry(from).or_insert(until);
        *held_until = until.max(*held_until);
    }

    /// Whether this acceptor still has to wait for a member's relay lease.
    pub(crate) fn awaits_relay_lease(&self, now: Duration, member: Member) -> bool {
        self.acceptor.as_ref().is_some_and(|acceptor: &Acceptor| !acceptor.is_recovering())
            && self.remaining_relay_lease(now, member).is_some()
    }
}
