//! The proposer's and the acceptor's message handling: how a revision becomes certified, and when its
//! activation is granted.

use std::sync::Arc;
use std::time::Duration;

use crate::acceptor::Reply;
use crate::member::{MemberOutput, Revisions};
use crate::message::{ActivationGrant, Message, Vote};
use crate::proposal::{Proposal, RESEND_INTERVAL};
use crate::{Acceptor, ActivationMode, Ballot, Digest, Head, Member, Number, Refused, Signed, Signer};

/// An acceptor proposes what it accepted itself if it is not certified after this, since its proposer may
/// have died. It is more than twice the longest ballot; a random addition of up to the same length keeps
/// acceptors from outbidding each other.
const TAKEOVER_DELAY: Duration = Duration::from_secs(8);

impl<H: Signer> Revisions<H> {
    /// Whether a head is signed by its author and has the next number; checked before its text is received.
    ///
    /// # Errors
    /// If it can't become the next revision.
    pub fn may_be_next(&self, signed: &Signed) -> Result<(), Refused> {
        let Head { number, predecessor: before, author, .. } = signed.head;
        if self.signer.acceptors().is_empty() {
            return Err(Refused::NoAcceptors);
        }
        if !signed.is_signed(&self.signer) {
            return Err(Refused::Author(author));
        }
        let (next, predecessor) = self.next();
        if number != next {
            return Err(Refused::Number(number, next));
        }
        if before != predecessor {
            return Err(Refused::Predecessor(next - 1));
        }
        Ok(())
    }

    /// Takes an author's revision that an operator pushes to this member, and proposes it.
    ///
    /// # Errors
    /// If it can't become the next revision; nothing has changed then.
    pub fn push(
        &mut self, now: Duration, signed: Signed, text: Arc<[u8]>, out: &mut Vec<MemberOutput>,
    ) -> Result<(), Refused> {
        self.may_be_next(&signed)?;
        signed.head.check_text(&text)?;
        (self.config.check)(&text).map_err(Refused::Text)?;
        self.cache_text(signed.head.text, text);
        self.learner.add_head(signed, &self.signer);
        let is_new = self.proposal.as_ref().is_none_or(|proposal| proposal.pushed != signed);
        if is_new {
            self.propose(now, signed, 1, out);
        }
        Ok(())
    }

    fn propose(&mut self, now: Duration, signed: Signed, round: u32, out: &mut Vec<MemberOutput>) {
        self.highest_round = round.max(self.highest_round.saturating_add(1));
        let ballot = Ballot {
            round: self.highest_round,
            proposer: self.config.local_id,
            incarnation: self.config.incarnation,
        };
        let proposal = Proposal::new(signed, ballot, now, &mut self.rng);
        self.proposal = Some(proposal);
        self.send_proposal_requests(now, out);
    }

    /// Sends the requests of the proposal's current phase, or starts a higher ballot when the current one has
    /// expired.
    pub(crate) fn send_proposal_requests(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        if self.proposal.as_ref().is_some_and(|proposal| proposal.number() <= self.learner.number()) {
            self.proposal = None;
        }
        let Some(proposal) = &mut self.proposal else { return };
        if now >= proposal.ballot_ends_at {
            let ballot = proposal.ballot;
            proposal.raise_ballot(ballot, now, &mut self.rng);
            self.highest_round = self.highest_round.max(proposal.ballot.round);
        }
        proposal.resend_at = now + RESEND_INTERVAL;
        let (number, ballot, chosen) = (proposal.number(), proposal.ballot, proposal.chosen);
        let accepted_by = proposal.accepted_by.filter(|member| *member != self.config.local_id);
        let head = chosen.and_then(|digest| self.learner.head(&digest).copied());
        if let (Some(signed), Some(holder)) = (head, accepted_by) {
            // Acceptors that are to vote for the text fetch it from this member.
            if !self.texts.contains_key(&signed.head.text) {
                out.push(MemberOutput::Fetch(signed, holder));
            }
        }
        // If the author's key has been revoked, an acceptor's vote proves that it was valid before. With a
        // driver gate, a vote proves that the acceptor's driver had verified what the text stands for.
        let vote = head.filter(|signed| self.gate.is_some() || !signed.is_signed(&self.signer));
        let vote = vote.and_then(|signed| self.learner.votes_for(&signed.head.digest()).next().copied());
        for acceptor in self.signer.acceptors().to_vec() {
            match chosen {
                None => self.send(now, acceptor, Message::Prepare { number, ballot }, out),
                Some(digest) => {
                    if let Some(signed) = head {
                        vote.into_iter().for_each(|vote| self.send(now, acceptor, Message::Vote(vote), out));
                        self.send(now, acceptor, Message::Head(signed), out);
                        self.send(now, acceptor, Message::Accept { number, ballot, digest }, out);
                    }
                }
            }
        }
    }

    /// Handles a proposer's prepare request.
    pub(crate) fn handle_prepare(
        &mut self, now: Duration, from: Member, number: Number, ballot: Ballot, out: &mut Vec<MemberOutput>,
    ) {
        // Only its proposer may use a ballot.
        let reply = self
            .acceptor
            .as_mut()
            .filter(|_| ballot.proposer == from)
            .and_then(|acceptor| acceptor.prepare(number, ballot));
        if let Some(Reply::Promise { accepted: Some((accepted_ballot, digest)), .. }) = reply {
            if let Some(signed) = self.learner.head(&digest).copied() {
                // The vote goes first: it makes the head valid for members that regard its author's key as
                // revoked.
                let vote = Vote::sign(&self.signer, self.config.local_id, number, accepted_ballot, digest);
                self.send(now, from, Message::Vote(vote), out);
                self.send(now, from, Message::Head(signed), out);
            }
        }
        self.send_reply(now, from, reply, out);
    }

    /// Handles a proposer's accept request.
    pub(crate) fn handle_accept(
        &mut self, now: Duration, from: Member, (number, ballot, digest): (Number, Ballot, Digest),
        out: &mut Vec<MemberOutput>,
    ) {
        let Some(signed) = self.learner.head(&digest).copied() else { return };
        let follows = signed.head.number == number && signed.head.predecessor == self.learner.digest();
        let already_certified = number <= self.learner.number();
        if ballot.proposer != from || self.acceptor.is_none() || !(follows || already_certified) {
            return;
        }
        // An acceptor votes only for a text that it has and could activate, so that no text is certified that
        // nobody has.
        match self.texts.get(&signed.head.text).cloned() {
            None if !already_certified => out.push(MemberOutput::Fetch(signed, from)),
            Some(text) if !already_certified && (self.config.check)(&text).is_err() => {}
            Some(_) if !already_certified && !self.may_vote_for(&signed) => {}
            text => {
                if let Some(text) = text {
                    out.push(MemberOutput::StoreText(signed.head.text, text));
                }
                let reply =
                    self.acceptor.as_mut().and_then(|acceptor| acceptor.accept(number, ballot, digest));
                if matches!(reply, Some(Reply::Vote { .. })) {
                    let delay = TAKEOVER_DELAY + self.rng.random_duration(TAKEOVER_DELAY);
                    self.takeover_at = Some(now + delay);
                }
                self.send_reply(now, from, reply, out);
            }
        }
    }

    fn send_reply(&mut self, now: Duration, to: Member, reply: Option<Reply>, out: &mut Vec<MemberOutput>) {
        let message = match reply {
            None => return,
            Some(Reply::Over { .. }) => return self.send_catch_up(now, to, out),
            Some(Reply::Higher { number, ballot }) => Message::HigherBallot { number, ballot },
            Some(Reply::Promise { number, ballot, accepted }) => {
                self.persist(out);
                Message::Promise { number, ballot, accepted }
            }
            Some(Reply::Vote { number, ballot, digest }) => {
                self.persist(out);
                Message::Vote(Vote::sign(&self.signer, self.config.local_id, number, ballot, digest))
            }
        };
        self.send(now, to, message, out);
    }

    /// Handles an acceptor's promise.
    pub(crate) fn handle_promise(
        &mut self, now: Duration, from: Member, (number, ballot): (Number, Ballot),
        accepted: Option<(Ballot, Digest)>, out: &mut Vec<MemberOutput>,
    ) {
        let acceptors = self.signer.acceptors();
        let count = acceptors.len();
        let from_acceptor = acceptors.contains(&from);
        let proposal = self.proposal.as_mut().filter(|proposal| from_acceptor && proposal.number() == number);
        if proposal.is_some_and(|proposal| proposal.record_promise(from, ballot, accepted, count)) {
            self.send_proposal_requests(now, out);
        }
    }

    /// Handles the notice that an acceptor has promised a higher ballot.
    pub(crate) fn handle_higher_ballot(&mut self, now: Duration, number: Number, seen: Ballot) {
        let Some(proposal) = self.proposal.as_mut().filter(|proposal| proposal.number() == number) else {
            return;
        };
        if seen > proposal.ballot {
            // The higher ballot is not started at once: the proposer that is ahead may be about to succeed.
            let previous_end = proposal.ballot_ends_at;
            proposal.raise_ballot(seen, now, &mut self.rng);
            self.highest_round = self.highest_round.max(proposal.ballot.round);
            proposal.resend_at = previous_end.max(now + RESEND_INTERVAL);
            proposal.ballot_ends_at += proposal.resend_at.saturating_sub(now);
        }
    }

    /// Checks whether the known votes now form a certificate.
    pub(crate) fn check_certified(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        if !self.learner.update_latest(&self.signer) {
            return;
        }
        let number = self.learner.number();
        if self.proposal.as_ref().is_some_and(|proposal| proposal.number() == number) {
            self.broadcast_certificate(now, out);
        }
        self.on_certified(now, out);
    }

    /// Continues after a number has become known certified.
    pub(crate) fn on_certified(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let number = self.learner.number();
        self.gate.iter_mut().for_each(|gate| gate.on_certified(now));
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.on_certified(number);
            self.persist(out);
        }
        self.takeover_at = None;
        self.use_short_interval(now);
        self.prepare(now, out);
        self.fetch_text(now, out);
    }

    /// An acceptor that voted for a proposal which did not complete takes it over.
    pub(crate) fn take_over_proposal(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        self.takeover_at = None;
        let accepted = self.acceptor.as_ref().and_then(|acceptor| {
            let state = acceptor.state();
            state.accepted.map(|(ballot, digest)| (ballot.max(state.promised), digest))
        });
        let Some((ballot, digest)) = accepted else { return };
        if let Some(signed) = self.learner.head(&digest).copied().filter(|_| self.proposal.is_none()) {
            self.propose(now, signed, ballot.round.saturating_add(1), out);
        }
    }

    /// Members that an acceptor waits for before it grants the activation: those that have not reported the
    /// certified revision as prepared, and are not excluded.
    pub fn waited_for(&self, now: Duration) -> Vec<Member> {
        let number = self.learner.number();
        let is_waited_for = |member: &Member| {
            let has_prepared = if *member == self.config.local_id {
                number == 0 || self.is_prepared(number)
            } else {
                self.positions.get(member).is_some_and(|position| {
                    position.certified >= number && (position.has_text || number == 0)
                })
            };
            let is_removed = self.removals.get(member).is_some_and(|removal| removal.removed);
            let may_exclude = self.config.mode == ActivationMode::Hold && *member != self.config.local_id;
            let gate_expired = self.gate.as_ref().is_some_and(|gate| gate.is_expired(now));
            let is_excluded = is_removed
                || may_exclude
                    && (gate_expired || self.granted_leases.is_expired(*member, now, self.lease_duration));
            !(has_prepared || is_excluded) || !is_removed && self.awaits_relay_lease(now, *member)
        };
        self.signer.members().iter().copied().filter(is_waited_for).collect()
    }

    /// Grants the activation of the certified revision once no member is waited for.
    pub(crate) fn grant_activation_if_ready(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let Some(latest) = &self.learner.latest else { return };
        let (number, digest) = (latest.number(), latest.digest());
        let can_grant = |acceptor: &&mut Acceptor| {
            !acceptor.is_recovering() && acceptor.state().activation_granted < number
        };
        if self.acceptor.as_mut().filter(can_grant).is_none() || !self.waited_for(now).is_empty() {
            return;
        }
        if !self.quorum_is_ready(now, out) {
            return;
        }
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.grant_activation(number);
        }
        let grant = ActivationGrant::sign(&self.signer, self.config.local_id, number, digest);
        self.learner.add_activation_grant(grant, &self.signer);
        self.persist(out);
        self.send_activation_grant(now, grant, out);
        self.use_short_interval(now);
        self.activate(now, out);
    }

    /// Asks the other acceptors for the highest number that they know of, if this one was restarted without
    /// its disk.
    pub(crate) fn request_recovery(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        self.next_recovery_request_at = now + RESEND_INTERVAL;
        if !self.acceptor.as_ref().is_some_and(Acceptor::is_recovering) {
            return;
        }
        for acceptor in self.signer.acceptors().to_vec() {
            if acceptor != self.config.local_id {
                self.send(
                    now,
                    acceptor,
                    Message::RecoveryRequest { nonce: u64::from(self.config.incarnation) },
                    out,
                );
            }
        }
    }

    /// Handles another acceptor's answer to a recovery request.
    pub(crate) fn handle_recovery_answer(
        &mut self, from: Member, nonce: u64, highest: Number, out: &mut Vec<MemberOutput>,
    ) {
        let count = self.signer.acceptors().len();
        let is_valid = self.signer.acceptors().contains(&from) && nonce == u64::from(self.config.incarnation);
        let recovered = self
            .acceptor
            .as_mut()
            .filter(|_| is_valid)
            .is_some_and(|acceptor| acceptor.add_recovery_answer(from, highest, count));
        if recovered {
            let certified = self.learner.number();
            self.acceptor.iter_mut().for_each(|acceptor| acceptor.on_certified(certified));
            self.persist(out);
        }
    }
}
