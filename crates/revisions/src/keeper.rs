//! A keeper's part in certifying: what it promised and accepted for each number, and what it may no more once it was
//! born without its disk. Everything that it says rests on what it keeps: [`Keeper::kept`] must be on the disk before
//! a reply goes out.
//!
//! **Born without its disk** a keeper does not know what it signed. It votes for a number only if no certified one was
//! open to its former self: a keeper votes for the number after the highest that it knows certified, and each certified
//! number was accepted by a quorum. So it asks others for the highest number that each has voted for, promised or
//! seen certified; once so many have answered that they share a keeper with every quorum that its former self may have
//! been in ([`Keeper::answers_wanted`]), the highest answer is at least the last certified number that its former self
//! knew, and from the second number after it on it votes again. Answers of those that were born so themselves don't
//! count.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{quorum, Digest, Member, Number};

/// Ordered by round, then by who makes it and in which of its lives, so that no two tries ever have the same: a
/// proposer that was killed and names another text must not do so in the ballot that it had before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u32,
    pub by: Member,
    pub life: u32,
}

/// What a keeper must find again after it was killed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// The number that it takes part in now: the one after the highest that it knows certified.
    pub number: Number,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Digest)>,
    /// It gives no vote up to this number.
    pub barred: Number,
    /// The highest number that it gave the word to act on.
    pub gone_on: Number,
}

/// What it says to a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// It takes no lower ballot from now on; with what it accepted before.
    Promise { number: Number, ballot: Ballot, accepted: Option<(Ballot, Digest)> },
    /// It accepts: this is signed, and with others' a certificate.
    Vote { number: Number, ballot: Ballot, digest: Digest },
    /// It promised a higher ballot.
    Higher { number: Number, ballot: Ballot },
    /// The number is certified already, as far as it knows.
    Over { number: Number },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Keeper {
    kept: Kept,
    /// While it does not know what its former self signed: who answered, and the highest number named.
    asking: Option<BTreeMap<Member, Number>>,
}

impl Keeper {
    /// A keeper that finds what it kept.
    pub fn awake(kept: Kept) -> Self {
        Self { kept: Kept { number: kept.number.max(1), ..kept }, asking: None }
    }

    /// One that finds nothing, or what it can't read.
    pub fn reborn() -> Self {
        Self { asking: Some(BTreeMap::new()), ..Self::awake(Kept::default()) }
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// Whether it does not yet know what its former self may have signed.
    pub fn is_asking(&self) -> bool {
        self.asking.is_some()
    }

    /// How many others must answer one that was reborn, of so many keepers: a quorum with it in has a quorum less one
    /// others, and they must meet every such set.
    pub fn answers_wanted(keepers: usize) -> usize {
        keepers + 1 - quorum(keepers)
    }

    /// The highest number that it or a former self may have had any part in, for one that was reborn; nothing while it
    /// does not know itself.
    pub fn highest(&self) -> Option<Number> {
        let took_part = self.kept.promised != Ballot::default();
        let own = if took_part { self.kept.number } else { self.kept.number.saturating_sub(1) };
        (!self.is_asking()).then_some(own.max(self.kept.gone_on).max(self.kept.barred))
    }

    /// Another keeper's answer on the highest number that it knows of. Tells whether this settled it.
    pub fn answered(&mut self, by: Member, highest: Number, keepers: usize) -> bool {
        let Some(asking) = &mut self.asking else { return false };
        asking.insert(by, highest);
        if asking.len() < Self::answers_wanted(keepers) {
            return false;
        }
        let highest = asking.values().copied().max().unwrap_or(0);
        self.asking = None;
        self.kept.barred = self.kept.barred.max(highest + 1);
        // Whoever of its former quorum went on was heard: it never says again that an older one is in force.
        self.kept.gone_on = self.kept.gone_on.max(highest);
        true
    }

    /// A number was certified: its part in it is over.
    pub fn certified(&mut self, number: Number) {
        if self.kept.number <= number {
            self.kept.number = number + 1;
            (self.kept.promised, self.kept.accepted) = (Ballot::default(), None);
        }
    }

    /// Whether it takes part in a ballot for a number; or what it says instead, if anything.
    fn takes(&self, number: Number, ballot: Ballot) -> Result<(), Option<Reply>> {
        if number < self.kept.number {
            return Err(Some(Reply::Over { number }));
        }
        if self.is_asking() || number <= self.kept.barred || number != self.kept.number {
            return Err(None);
        }
        if ballot < self.kept.promised {
            return Err(Some(Reply::Higher { number, ballot: self.kept.promised }));
        }
        Ok(())
    }

    pub fn prepare(&mut self, number: Number, ballot: Ballot) -> Option<Reply> {
        if let Err(instead) = self.takes(number, ballot) {
            return instead;
        }
        self.kept.promised = ballot;
        Some(Reply::Promise { number, ballot, accepted: self.kept.accepted })
    }

    pub fn accept(&mut self, number: Number, ballot: Ballot, digest: Digest) -> Option<Reply> {
        if let Err(instead) = self.takes(number, ballot) {
            return instead;
        }
        // One ballot has one proposer, which names one digest in it; another would be a forged one.
        if self.kept.accepted.is_some_and(|(held, of)| held == ballot && of != digest) {
            return None;
        }
        (self.kept.promised, self.kept.accepted) = (ballot, Some((ballot, digest)));
        Some(Reply::Vote { number, ballot, digest })
    }

    /// It gives the word to act on a number.
    pub fn go_on(&mut self, number: Number) {
        self.kept.gone_on = self.kept.gone_on.max(number);
    }
}
