//! The acceptor of the consensus protocol: what it promised and accepted for the current number, and which
//! votes it must refuse after it was restarted without its disk. Its replies depend on its state:
//! [`Acceptor::state`] must be durable before a reply is sent.
//!
//! **Restart without the disk.** Such an acceptor does not know what its previous incarnation signed. An
//! acceptor votes only for the number after the highest that it knows certified, and each certified number
//! was accepted by a quorum. The restarted acceptor therefore asks the others for the highest number that
//! each has voted for, promised or seen certified. Once so many have answered that they share an acceptor
//! with every quorum that the previous incarnation may have been part of ([`Acceptor::answers_needed`]), the
//! highest answer is at least the last certified number that the previous incarnation knew, and from the
//! second number after it on the acceptor may vote again. Answers from acceptors that are recovering
//! themselves don't count.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{quorum, Digest, Member, Number};

/// A ballot, ordered by round, then by proposer and the proposer's incarnation, so that no two attempts have
/// the same ballot: a proposer that was killed and then proposes another text must not reuse an earlier
/// ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u32,
    pub proposer: Member,
    pub incarnation: u32,
}

/// The durable state of an acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The number that it takes part in now: the one after the highest that it knows certified.
    pub number: Number,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Digest)>,
    /// The highest number for which it must not vote.
    pub no_vote_through: Number,
    /// The highest number whose activation it granted.
    pub activation_granted: Number,
}

/// The reply of an acceptor to a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// It will refuse lower ballots from now on; `accepted` is what it accepted before.
    Promise { number: Number, ballot: Ballot, accepted: Option<(Ballot, Digest)> },
    /// It accepts. The vote is signed; a quorum of votes is a certificate.
    Vote { number: Number, ballot: Ballot, digest: Digest },
    /// It has promised a higher ballot.
    Higher { number: Number, ballot: Ballot },
    /// The number is already certified, as far as the acceptor knows.
    Over { number: Number },
}

/// An acceptor: its durable state, and the progress of its recovery after a restart without the disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    state: AcceptorState,
    /// While it is recovering: the acceptors that answered, and the highest number that each named.
    recovery: Option<BTreeMap<Member, Number>>,
}

impl Acceptor {
    /// An acceptor that has its durable state.
    pub fn with_state(state: AcceptorState) -> Self {
        Self { state: AcceptorState { number: state.number.max(1), ..state }, recovery: None }
    }

    /// An acceptor that has lost its durable state, or can't read it.
    pub fn recovering() -> Self {
        Self { recovery: Some(BTreeMap::new()), ..Self::with_state(AcceptorState::default()) }
    }

    /// The state that must be durable before a reply is sent.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Whether it is still recovering, and does not know what its previous incarnation may have signed.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// How many answers a recovering acceptor needs, out of `acceptors` acceptors. Any quorum that
    /// includes it consists of it and `quorum - 1` others, and the answers must intersect every such set.
    pub fn answers_needed(acceptors: usize) -> usize {
        acceptors + 1 - quorum(acceptors)
    }

    /// The highest number in which this acceptor or a previous incarnation may have taken part; `None` while
    /// it is recovering itself.
    pub fn highest_involved(&self) -> Option<Number> {
        let took_part = self.state.promised != Ballot::default();
        let own = if took_part { self.state.number } else { self.state.number.saturating_sub(1) };
        (!self.is_recovering())
            .then_some(own.max(self.state.activation_granted).max(self.state.no_vote_through))
    }

    /// Takes another acceptor's answer about the highest number that it knows of. Returns whether recovery is
    /// now complete.
    pub fn add_recovery_answer(&mut self, from: Member, highest: Number, acceptors: usize) -> bool {
        let Some(answers) = &mut self.recovery else { return false };
        answers.insert(from, highest);
        if answers.len() < Self::answers_needed(acceptors) {
            return false;
        }
        let highest = answers.values().copied().max().unwrap_or(0);
        self.recovery = None;
        self.state.no_vote_through = self.state.no_vote_through.max(highest + 1);
        // At least one acceptor of each quorum that granted an activation has answered, so this acceptor
        // never again reports an older number as the highest whose activation it granted.
        self.state.activation_granted = self.state.activation_granted.max(highest);
        true
    }

    /// Records that a number is certified: its ballots are over.
    pub fn on_certified(&mut self, number: Number) {
        if self.state.number <= number {
            self.state.number = number + 1;
            (self.state.promised, self.state.accepted) = (Ballot::default(), None);
        }
    }

    /// Whether it takes part in a ballot for a number; otherwise the reply to send instead, if any.
    fn check_ballot(&self, number: Number, ballot: Ballot) -> Result<(), Option<Reply>> {
        if number < self.state.number {
            return Err(Some(Reply::Over { number }));
        }
        if self.is_recovering() || number <= self.state.no_vote_through || number != self.state.number {
            return Err(None);
        }
        if ballot < self.state.promised {
            return Err(Some(Reply::Higher { number, ballot: self.state.promised }));
        }
        Ok(())
    }

    /// Handles a proposer's prepare request.
    pub fn prepare(&mut self, number: Number, ballot: Ballot) -> Option<Reply> {
        if let Err(instead) = self.check_ballot(number, ballot) {
            return instead;
        }
        self.state.promised = ballot;
        Some(Reply::Promise { number, ballot, accepted: self.state.accepted })
    }

    /// Handles a proposer's accept request.
    pub fn accept(&mut self, number: Number, ballot: Ballot, digest: Digest) -> Option<Reply> {
        if let Err(instead) = self.check_ballot(number, ballot) {
            return instead;
        }
        // A ballot has one proposer, which names one digest in it; a second digest is forged.
        if self.state.accepted.is_some_and(|(accepted_ballot, accepted_digest)| {
            accepted_ballot == ballot && accepted_digest != digest
        }) {
            return None;
        }
        (self.state.promised, self.state.accepted) = (ballot, Some((ballot, digest)));
        Some(Reply::Vote { number, ballot, digest })
    }

    /// Records that this acceptor grants the activation of a number.
    pub fn grant_activation(&mut self, number: Number) {
        self.state.activation_granted = self.state.activation_granted.max(number);
    }
}
