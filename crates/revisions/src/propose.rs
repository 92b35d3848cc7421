//! One try to have a revision certified: its ballots, and what came back in the present one.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::{quorum, Ballot, Digest, Member, Number, Signed};

/// What is not answered is said again after this: some ten round trips, and a text to be fetched.
pub const AGAIN: Duration = Duration::from_millis(400);
/// A ballot that got no quorum gives way to a higher one after two to four of these, by chance, so that two proposers
/// do not outbid each other without end.
const BALLOT: Duration = Duration::from_millis(600);

#[derive(Debug)]
pub struct Proposal {
    /// What its author pushed here; the ballot may have to be for another.
    pub wanted: Signed,
    pub ballot: Ballot,
    promised: BTreeMap<Member, Option<(Ballot, Digest)>>,
    /// Once a quorum has promised: what the ballot is for.
    pub chosen: Option<Digest>,
    /// The keeper that accepted it before, and so has its text.
    pub accepted_by: Option<Member>,
    pub again_at: Duration,
    pub over_at: Duration,
}

impl Proposal {
    pub fn new(wanted: Signed, ballot: Ballot, now: Duration, chance: &mut Rng) -> Self {
        let over_at = now + BALLOT * 2 + chance.random_duration(BALLOT * 2);
        Self {
            wanted,
            ballot,
            promised: BTreeMap::new(),
            chosen: None,
            accepted_by: None,
            again_at: now,
            over_at,
        }
    }

    pub fn number(&self) -> Number {
        self.wanted.head.number
    }

    /// The next ballot, over one that was seen.
    pub fn higher(&mut self, seen: Ballot, now: Duration, chance: &mut Rng) {
        let round = self.ballot.round.max(seen.round).saturating_add(1);
        *self = Self::new(self.wanted, Ballot { round, ..self.ballot }, now, chance);
    }

    /// A keeper's promise. Tells whether a quorum is there with it: then what was accepted in the highest ballot goes
    /// before what was pushed here, since it may be certified already.
    pub fn promised(
        &mut self, by: Member, ballot: Ballot, accepted: Option<(Ballot, Digest)>, keepers: usize,
    ) -> bool {
        if ballot != self.ballot || self.chosen.is_some() {
            return false;
        }
        self.promised.insert(by, accepted);
        if self.promised.len() < quorum(keepers) {
            return false;
        }
        let accepted = self.promised.iter().filter_map(|(by, accepted)| accepted.map(|one| (one, *by)));
        let before = accepted.max_by_key(|((ballot, _), _)| *ballot);
        self.chosen = Some(before.map_or(self.wanted.head.digest(), |((_, digest), _)| digest));
        self.accepted_by = before.map(|(_, by)| by);
        true
    }
}
