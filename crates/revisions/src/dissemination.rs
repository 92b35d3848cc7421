//! Message dispatch and dissemination: positions, certificates and activation grants that other members lack,
//! and lease requests.

use std::time::Duration;

use crate::acceptor::Acceptor;
use crate::lease::REQUESTS_PER_LEASE;
use crate::member::{MemberOutput, Revisions};
use crate::message::{Message, Position};
use crate::{ActivationMode, Member, Signer};

/// Interval at which a member sends its position to another one, chosen at random: 112 bytes each, a tenth of
/// the traffic for membership.
const POSITION_INTERVAL: Duration = Duration::from_secs(1);
/// The same while a change is recent. In a fleet of 300 all members have heard of it after some ten of these.
const SHORT_POSITION_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which an acceptor resends its activation grant to the others until it knows a quorum of
/// grants. All copies of a grant may be lost at once, when the byte limit of the gossip is reached.
const GRANT_RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between catch-up messages to any members: some 4,000 bytes a second. Members that have
/// caught up pass them on in turn.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval after which a lease request that an acceptor has not answered is sent again; doubled each time,
/// up to a part of the lease.
pub(crate) const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the interval over which lease requests are spread, centred on the interval. All members begin
/// to send requests when a change reaches them, and an acceptor at its byte limit would answer the same few
/// of them each time.
const LEASE_REQUEST_JITTER: f64 = 0.5;
/// Minimum interval between catch-up messages to one member: some eight datagrams each.
const MEMBER_CATCH_UP_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of member removals sent to an acceptor in one interval.
const MAX_REMOVALS_PER_INTERVAL: usize = 4;

impl<H: Signer> Revisions<H> {
    /// Sends a message to a member; a message to itself is handled immediately.
    pub(crate) fn send(&mut self, now: Duration, to: Member, message: Message, out: &mut Vec<MemberOutput>) {
        if to == self.config.local_id {
            self.dispatch(now, to, message, out);
        } else {
            out.push(MemberOutput::Send(to, message.write()));
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, from: Member, message: Message, out: &mut Vec<MemberOutput>) {
        if from != self.config.local_id {
            self.dispatch(now, from, message, out);
        }
    }

    fn dispatch(&mut self, now: Duration, from: Member, message: Message, out: &mut Vec<MemberOutput>) {
        match message {
            Message::Position(position) => self.handle_position(now, from, position, out),
            Message::Head(signed) => {
                self.learner.add_head(signed, &self.signer);
                self.check_certified(now, out);
            }
            Message::Vote(vote) => {
                self.learner.add_vote(vote, &self.signer);
                self.check_certified(now, out);
            }
            Message::ActivationGrant(grant) => {
                self.learner.add_activation_grant(grant, &self.signer);
                self.activate(now, out);
            }
            Message::Prepare { number, ballot } => self.handle_prepare(now, from, number, ballot, out),
            Message::Promise { number, ballot, accepted } => {
                self.handle_promise(now, from, (number, ballot), accepted, out);
            }
            Message::Accept { number, ballot, digest } => {
                self.handle_accept(now, from, (number, ballot, digest), out);
            }
            Message::HigherBallot { number, ballot } => self.handle_higher_ballot(now, number, ballot),
            Message::LeaseRequest { nonce, position } => {
                self.handle_lease_request(now, from, nonce, position, out)
            }
            Message::Lease { nonce, activation_granted } => {
                self.handle_lease(now, from, nonce, activation_granted, out)
            }
            Message::RecoveryRequest { nonce } => {
                let highest = self.acceptor.as_ref().and_then(Acceptor::highest_involved);
                if let Some(highest) = highest.filter(|_| self.signer.acceptors().contains(&from)) {
                    self.send(now, from, Message::RecoveryAnswer { nonce, highest }, out);
                }
            }
            Message::RecoveryAnswer { nonce, highest } => {
                self.handle_recovery_answer(from, nonce, highest, out)
            }
            Message::Removal(removal) => drop(self.add_removal(now, removal, out)),
            // Handled by the driver.
            Message::ListReport(_) => {}
            Message::RelayLeaseRequest { nonce, position } => {
                self.handle_relay_lease_request(now, from, nonce, position, out);
            }
            Message::RelayLease { nonce, activation_granted, for_ms } => {
                self.handle_relay_lease(from, nonce, activation_granted, for_ms);
            }
            Message::ReadyToActivate { number } => self.handle_readiness(now, from, number, out),
        }
    }

    fn handle_position(
        &mut self, now: Duration, from: Member, their_position: Position, out: &mut Vec<MemberOutput>,
    ) {
        self.positions.insert(from, their_position);
        self.grant_activation_if_ready(now, out);
        let own_position = self.position(now);
        let may_be_active = if self.learner.may_activate(&self.signer) {
            own_position.certified
        } else {
            own_position.active
        };
        if their_position.certified < own_position.certified || their_position.active < may_be_active {
            self.send_catch_up(now, from, out);
        } else if their_position.certified > own_position.certified || their_position.active > may_be_active {
            let due = self.last_catch_up.get(&from).is_none_or(|at| now >= *at + MEMBER_CATCH_UP_INTERVAL);
            if due {
                self.last_catch_up.insert(from, now);
                self.send(now, from, Message::Position(own_position), out);
            }
        }
    }

    /// Sends a member the certificate and the activation grants that it lacks, unless this was done recently.
    pub(crate) fn send_catch_up(&mut self, now: Duration, to: Member, out: &mut Vec<MemberOutput>) {
        let recently = self.last_catch_up.get(&to).is_some_and(|at| now < *at + MEMBER_CATCH_UP_INTERVAL);
        if recently || now < self.next_catch_up_at {
            return;
        }
        let Some(latest) = self.learner.latest.clone() else { return };
        self.next_catch_up_at = now + CATCH_UP_INTERVAL;
        self.last_catch_up.insert(to, now);
        let behind =
            self.positions.get(&to).is_none_or(|their_position| their_position.certified < latest.number());
        if behind {
            self.send(now, to, Message::Head(latest.signed), out);
            for vote in latest.votes {
                self.send(now, to, Message::Vote(vote), out);
            }
        }
        for grant in latest.activation_grants {
            self.send(now, to, Message::ActivationGrant(grant), out);
        }
    }

    fn handle_lease_request(
        &mut self, now: Duration, from: Member, nonce: u64, their_position: Position,
        out: &mut Vec<MemberOutput>,
    ) {
        let granted_through = self
            .acceptor
            .as_ref()
            .filter(|acceptor| !acceptor.is_recovering())
            .map(|acceptor| acceptor.state().activation_granted);
        let Some(activation_granted) = granted_through else { return };
        let activation_granted =
            self.granted_leases.answer(from, now, activation_granted, their_position.active);
        self.send(now, from, Message::Lease { nonce, activation_granted }, out);
        // The position in the request may be what the activation waits for.
        self.handle_position(now, from, their_position, out);
    }

    fn handle_lease(
        &mut self, now: Duration, from: Member, nonce: u64, activation_granted: u32,
        out: &mut Vec<MemberOutput>,
    ) {
        if !self.signer.acceptors().contains(&from) {
            return;
        }
        if activation_granted <= self.active {
            self.held_leases.record_grant(from, nonce);
            self.confirm(now, out);
        }
        self.activate(now, out);
    }

    /// Whether this member currently needs a lease.
    fn needs_lease(&self, now: Duration) -> bool {
        let position = self.position(now);
        self.config.mode == ActivationMode::Hold || position.certified > position.active || position.held
    }

    /// When [`Revisions::poll`] must be called at the latest.
    pub fn next_due(&self) -> Duration {
        let proposal = self.proposal.as_ref().map(|proposal| proposal.resend_at);
        let recovery = self
            .acceptor
            .as_ref()
            .is_some_and(Acceptor::is_recovering)
            .then_some(self.next_recovery_request_at);
        let fetch = self.missing_text().map(|_| self.next_fetch_at);
        let grant_resend = self.acceptor.as_ref().map(|_| self.next_grant_resend_at);
        let due = [
            proposal,
            recovery,
            fetch,
            grant_resend,
            self.takeover_at,
            Some(self.next_position_at),
            Some(self.next_lease_request_at),
        ];
        due.into_iter().flatten().min().unwrap_or(self.next_position_at)
    }

    /// Performs the actions that are due at `now`.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.resend_at) {
            self.send_proposal_requests(now, out);
        }
        if self.takeover_at.is_some_and(|at| now >= at) {
            self.take_over_proposal(now, out);
        }
        if now >= self.next_recovery_request_at {
            self.request_recovery(now, out);
        }
        if self.missing_text().is_some() && now >= self.next_fetch_at {
            self.fetch_text(now, out);
        }
        if now >= self.next_lease_request_at {
            let interval = self.lease_retry_interval.min(self.lease_duration / (REQUESTS_PER_LEASE + 1));
            self.next_lease_request_at =
                now + interval.mul_f64(0.75 + LEASE_REQUEST_JITTER * self.rng.unit_interval());
            self.lease_retry_interval = (self.lease_retry_interval * 2).min(self.lease_duration);
            if self.needs_lease(now) {
                self.request_leases(now, out);
            }
        }
        if now >= self.next_grant_resend_at {
            self.next_grant_resend_at = now + GRANT_RESEND_INTERVAL;
            self.resend_activation_grant(now, out);
            self.resend_readiness(now, out);
        }
        if now >= self.next_position_at {
            let interval =
                if now < self.short_interval_until { SHORT_POSITION_INTERVAL } else { POSITION_INTERVAL };
            self.next_position_at = now + interval.mul_f64(0.75 + 0.5 * self.rng.unit_interval());
            self.activate(now, out);
            // The activation may have waited for a lease that has now expired.
            self.grant_activation_if_ready(now, out);
            if self.learner.number() > self.active {
                // Member removals must reach the acceptors even if messages are lost.
                let acceptors = self.signer.acceptors().to_vec();
                let removals: Vec<_> =
                    self.removals.values().copied().take(MAX_REMOVALS_PER_INTERVAL).collect();
                if let Some(acceptor) = self.random_member(&acceptors) {
                    removals
                        .into_iter()
                        .for_each(|removal| self.send(now, acceptor, Message::Removal(removal), out));
                }
            }
            let local_id = self.config.local_id;
            let others: Vec<Member> =
                self.signer.members().iter().copied().filter(|m| *m != local_id).collect();
            if let Some(to) = self.random_member(&others) {
                let position = self.position(now);
                self.send(now, to, Message::Position(position), out);
            }
        }
    }

    fn resend_activation_grant(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        if self.learner.may_activate(&self.signer) {
            return;
        }
        let local_id = self.config.local_id;
        let own_grant = self.learner.latest.as_ref().and_then(|latest| {
            latest.activation_grants.iter().find(|grant| grant.acceptor == local_id).copied()
        });
        let Some(grant) = own_grant else { return };
        for acceptor in self.signer.acceptors().to_vec() {
            if acceptor != local_id {
                self.send(now, acceptor, Message::ActivationGrant(grant), out);
            }
        }
    }

    fn request_leases(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let nonce = self.held_leases.new_request(now);
        let position = self.position(now);
        // After a revision was prepared, the request is repeated until each acceptor has answered, since the
        // activation waits for the report in it.
        let urgent = self.lease_retry_interval < self.lease_duration / (REQUESTS_PER_LEASE + 1);
        let since = self.last_report_at();
        let is_pending = |acceptor: &Member| !urgent || !self.held_leases.answered_since(*acceptor, since);
        let acceptors: Vec<Member> = self.signer.acceptors().iter().copied().filter(is_pending).collect();
        for acceptor in &acceptors {
            self.send(now, *acceptor, Message::LeaseRequest { nonce, position }, out);
        }
        self.request_relay_leases(now, nonce, &acceptors, out);
    }
}
