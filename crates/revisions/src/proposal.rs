//! One attempt to have a revision certified: its current ballot and the promises received in it.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::{quorum, Ballot, Digest, Member, Number, Signed};

/// Interval after which a request that was not answered is sent again: some ten round trips, and the time to
/// fetch a text.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// A ballot without a quorum is replaced by a higher one after a random time of two to four times this, so
/// that two proposers do not outbid each other endlessly.
const BALLOT_TIMEOUT: Duration = Duration::from_millis(600);

/// A proposer's attempt for one number.
#[derive(Debug)]
pub struct Proposal {
    /// The revision that its author pushed to this member; the ballot may have to be for another one.
    pub pushed: Signed,
    pub ballot: Ballot,
    /// Promises received in this ballot, each with what the acceptor had accepted before.
    promises: BTreeMap<Member, Option<(Ballot, Digest)>>,
    /// The digest that the ballot proposes, once a quorum has promised.
    pub chosen: Option<Digest>,
    /// An acceptor that accepted the chosen digest before, and so has its text.
    pub accepted_by: Option<Member>,
    /// When the current requests are sent again.
    pub resend_at: Duration,
    /// When the ballot is given up for a higher one.
    pub ballot_ends_at: Duration,
}

impl Proposal {
    /// Starts an attempt with this ballot.
    pub fn new(pushed: Signed, ballot: Ballot, now: Duration, rng: &mut Rng) -> Self {
        let ballot_ends_at = now + BALLOT_TIMEOUT * 2 + rng.random_duration(BALLOT_TIMEOUT * 2);
        Self {
            pushed,
            ballot,
            promises: BTreeMap::new(),
            chosen: None,
            accepted_by: None,
            resend_at: now,
            ballot_ends_at,
        }
    }

    /// The number of the pushed revision.
    pub fn number(&self) -> Number {
        self.pushed.head.number
    }

    /// Starts the next ballot, higher than one that was seen.
    pub fn raise_ballot(&mut self, seen: Ballot, now: Duration, rng: &mut Rng) {
        let round = self.ballot.round.max(seen.round).saturating_add(1);
        *self = Self::new(self.pushed, Ballot { round, ..self.ballot }, now, rng);
    }

    /// Takes an acceptor's promise. Returns whether it completes a quorum. In that case the digest accepted
    /// in the highest ballot takes precedence over the pushed revision, since it may already be certified.
    pub fn record_promise(
        &mut self, from: Member, ballot: Ballot, accepted: Option<(Ballot, Digest)>, acceptors: usize,
    ) -> bool {
        if ballot != self.ballot || self.chosen.is_some() {
            return false;
        }
        self.promises.insert(from, accepted);
        if self.promises.len() < quorum(acceptors) {
            return false;
        }
        let accepted =
            self.promises.iter().filter_map(|(from, accepted)| accepted.map(|accepted| (accepted, *from)));
        let highest = accepted.max_by_key(|((ballot, _), _)| *ballot);
        self.chosen = Some(highest.map_or(self.pushed.head.digest(), |((_, digest), _)| digest));
        self.accepted_by = highest.map(|(_, from)| from);
        true
    }
}
