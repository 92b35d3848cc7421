//! Conditions that a member's driver adds to the protocol if the text of a revision stands for more than
//! itself: for example, if the text is the summary of a batch that an acceptor must have and have verified
//! before it votes, and that the watchers below this member must have prepared. Nothing here has an effect
//! unless [`Revisions::enable_gate`] was called.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::dissemination::LEASE_RETRY_INTERVAL;
use crate::member::{MemberOutput, Revisions};
use crate::message::{ActivationGrant, Message};
use crate::{Acceptor, Certified, Digest, Member, Number, Signed, Signer};

/// Maximum number of texts that may be voted for at one time; more than there are concurrent proposers.
const MAX_VOTABLE_TEXTS: usize = 64;

/// The conditions set by the driver.
#[derive(Debug, Default)]
pub struct Gate {
    /// Texts that this acceptor may vote for, for the next number.
    votable_texts: BTreeSet<Digest>,
    /// Texts that it may vote for only if an acceptor has voted for them before, since they may be certified
    /// already.
    votable_if_voted: BTreeSet<Digest>,
    /// The highest number that all watchers below this member have prepared.
    ready: Number,
    /// When that number was reached.
    ready_since: Duration,
    /// How long an acceptor waits for other members, counted from when it learned that a revision is
    /// certified.
    max_wait: Duration,
    /// When the highest certified number became known here.
    certified_at: Duration,
}

impl Gate {
    /// Whether an acceptor may vote for a text; `voted` says whether another acceptor has voted for it.
    pub(crate) fn may_vote_for(&self, text: &Digest, voted: bool) -> bool {
        self.votable_texts.contains(text) || voted && self.votable_if_voted.contains(text)
    }

    /// Whether all below this member are ready for a number.
    pub(crate) fn is_ready(&self, number: Number) -> bool {
        self.ready >= number
    }

    /// When the highest ready number was reached.
    pub(crate) fn ready_since(&self) -> Duration {
        self.ready_since
    }

    /// Whether the time for which other members are waited for has passed.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        now > self.certified_at + self.max_wait
    }

    /// A number was certified, so the permitted texts were for the previous number.
    pub(crate) fn on_certified(&mut self, now: Duration) {
        self.revoke_vote_permits();
        self.certified_at = now;
    }

    fn revoke_vote_permits(&mut self) {
        self.votable_texts.clear();
        self.votable_if_voted.clear();
    }
}

impl<H: Signer> Revisions<H> {
    /// Whether the driver permits this acceptor to vote for a head.
    pub(crate) fn may_vote_for(&self, signed: &Signed) -> bool {
        let Some(gate) = &self.gate else { return true };
        let digest = signed.head.digest();
        let voted = self.learner.votes_for(&digest).next().is_some();
        gate.may_vote_for(&signed.head.text, voted)
    }

    /// Enables the gate. From now on an acceptor votes only for texts that [`Revisions::permit_vote`] permitted,
    /// this member counts as prepared only once [`Revisions::subtree_ready`] was called, and certificates and
    /// activation grants are sent to all members at once. Under [`crate::ActivationMode::Hold`] an acceptor waits for
    /// other members no longer than `max_wait`; the bound depends on the leases alone.
    pub fn enable_gate(&mut self, now: Duration, max_wait: Duration) {
        self.gate = Some(Gate { max_wait, certified_at: now, ready: self.active, ..Gate::default() });
    }

    /// Permits this acceptor to vote for a text for the next number; the proposer will ask again. With
    /// `again` it may vote only if another acceptor has voted for the text already.
    pub fn permit_vote(&mut self, text: Digest, again: bool) {
        let Some(gate) = &mut self.gate else { return };
        let texts = if again { &mut gate.votable_if_voted } else { &mut gate.votable_texts };
        if texts.len() < MAX_VOTABLE_TEXTS {
            texts.insert(text);
        }
    }

    /// Whether [`Revisions::permit_vote`] permitted this text for the next number.
    pub fn is_vote_permitted(&self, text: &Digest) -> bool {
        self.gate.as_ref().is_some_and(|gate| gate.may_vote_for(text, true))
    }

    /// Revokes all permissions of [`Revisions::permit_vote`]: the driver verified the texts by an earlier ring.
    pub fn revoke_vote_permits(&mut self) {
        self.gate.iter_mut().for_each(Gate::revoke_vote_permits);
    }

    /// Takes a text that the driver made itself and whose content it holds.
    pub fn take_own_text(&mut self, now: Duration, text: Arc<[u8]>, out: &mut Vec<MemberOutput>) {
        let digest = crate::digest(&text);
        if !self.texts.contains_key(&digest) {
            self.cache_text(digest, text);
        }
        self.prepare(now, out);
    }

    /// Reports that all below this member are ready for a number, or have been waited for long enough.
    pub fn subtree_ready(&mut self, now: Duration, number: Number, out: &mut Vec<MemberOutput>) {
        let Some(gate) = self.gate.as_mut().filter(|gate| gate.ready < number) else { return };
        (gate.ready, gate.ready_since) = (number, now);
        if self.prepared == Some(self.learner.number()) {
            (self.next_lease_request_at, self.lease_retry_interval) = (now, LEASE_RETRY_INTERVAL);
            self.use_short_interval(now);
        }
        self.grant_activation_if_ready(now, out);
        self.activate(now, out);
    }

    /// The latest certified revision, with the activation grants known so far.
    pub fn latest_certified(&self) -> Option<&Certified> {
        self.learner.latest.as_ref()
    }

    /// Whether a quorum of acceptors has granted the activation of [`Revisions::latest_certified`].
    pub fn may_activate(&self) -> bool {
        self.learner.may_activate(&self.signer)
    }

    /// The highest number whose activation this acceptor has granted; a lease that it grants now must name
    /// it. `None` if this member is no acceptor, or is still recovering its state.
    pub fn grantable_number(&self) -> Option<Number> {
        let acceptor = self.acceptor().filter(|acceptor| !acceptor.is_recovering())?;
        Some(acceptor.state().activation_granted)
    }

    /// The acceptor state of this member, if the ring lists it as an acceptor.
    pub fn acceptor(&self) -> Option<&Acceptor> {
        self.acceptor.as_ref().filter(|_| self.signer.acceptors().contains(&self.config.local_id))
    }

    /// Takes a certificate that arrived by another path than messages, for example with the state that it
    /// certifies.
    pub fn take_certified(
        &mut self, now: Duration, certified: Certified, out: &mut Vec<MemberOutput>,
    ) -> bool {
        if certified.number() <= self.learner.number() || !certified.holds(&self.signer) {
            return false;
        }
        self.learner.install(certified);
        self.on_certified(now, out);
        true
    }

    /// Sends a certificate to all members. The proposer does so, since it is the first to have the votes.
    pub(crate) fn broadcast_certificate(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let Some(latest) = self.learner.latest.clone().filter(|_| self.gate.is_some()) else { return };
        for member in self.other_members() {
            self.send(now, member, Message::Head(latest.signed), out);
            for vote in &latest.votes {
                self.send(now, member, Message::Vote(*vote), out);
            }
        }
    }

    /// Sends this acceptor's activation grant to the acceptors, or with a gate to all members.
    pub(crate) fn send_activation_grant(
        &mut self, now: Duration, grant: ActivationGrant, out: &mut Vec<MemberOutput>,
    ) {
        let local_id = self.config.local_id;
        let recipients =
            if self.gate.is_some() { self.other_members() } else { self.signer.acceptors().to_vec() };
        for member in recipients.into_iter().filter(|member| *member != local_id) {
            self.send(now, member, Message::ActivationGrant(grant), out);
        }
    }

    fn other_members(&self) -> Vec<Member> {
        let local_id = self.config.local_id;
        self.signer.members().iter().copied().filter(|member| *member != local_id).collect()
    }

    /// Whether this member has prepared a number; with a gate, the members below it included.
    pub(crate) fn is_prepared(&self, number: Number) -> bool {
        self.prepared >= Some(number) && self.gate.as_ref().is_none_or(|gate| gate.is_ready(number))
    }

    /// The time of the latest report: it is repeated to each acceptor until that acceptor has answered a
    /// request sent after it.
    pub(crate) fn last_report_at(&self) -> Duration {
        self.gate
            .as_ref()
            .map_or(self.reported_prepared.1, |gate| gate.ready_since().max(self.reported_prepared.1))
    }
}
