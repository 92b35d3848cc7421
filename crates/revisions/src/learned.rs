//! What a member has learned from signed words: certificates, and words to act.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::word::{Go, Vote};
use crate::{quorum, Ballot, Digest, Hand, Member, Number, Signed};

/// A certified revision with what shows that it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Certified {
    pub signed: Signed,
    pub votes: Vec<Vote>,
    pub goes: Vec<Go>,
}

impl Certified {
    pub fn number(&self) -> Number {
        self.signed.head.number
    }

    pub fn digest(&self) -> Digest {
        self.signed.head.digest()
    }

    /// Whether its votes show that it is certified, by this ring. The author's signature was checked by the keepers
    /// when they voted: a key that was revoked since takes nothing back.
    pub fn holds(&self, hand: &impl Hand) -> bool {
        let digest = self.digest();
        let for_it = |vote: &&Vote| vote.digest == digest && vote.number == self.number() && vote.holds(hand);
        let mut by: BTreeMap<Ballot, Vec<Member>> = BTreeMap::new();
        for vote in self.votes.iter().filter(for_it) {
            let keepers = by.entry(vote.ballot).or_default();
            if !keepers.contains(&vote.keeper) {
                keepers.push(vote.keeper);
            }
        }
        by.values().any(|keepers| keepers.len() >= quorum(hand.keepers().len()))
    }
}

/// Heads of one author that are kept for numbers not yet certified: one whose key was stolen takes nobody else's place.
const OF_AUTHOR: usize = 4;
/// Heads of all, and votes: more than authors and keepers there are.
const KEPT: usize = 64;
const VOTES: usize = 256;
/// Votes of one keeper for one head: that in the highest ballot, and the last ones that came. A keeper that votes again in a
/// higher ballot must not hide its vote in the ballot that was certified: those who know of it give that one alone.
const OF_KEEPER: usize = 3;

#[derive(Debug, Default)]
pub struct Learned {
    /// The highest that is known certified.
    pub top: Option<Certified>,
    /// Heads signed by authors, of numbers above it.
    heads: BTreeMap<Digest, Signed>,
    /// Votes of each keeper on a number above it: first that in the highest ballot, then others as they came.
    votes: BTreeMap<(Number, Member, Digest), Vec<Vote>>,
    /// Words to act on numbers that are not known certified yet.
    goes: BTreeMap<Member, Go>,
}

impl Learned {
    pub fn number(&self) -> Number {
        self.top.as_ref().map_or(0, Certified::number)
    }

    pub fn digest(&self) -> Digest {
        self.top.as_ref().map_or([0; 32], Certified::digest)
    }

    pub fn head(&self, digest: &Digest) -> Option<&Signed> {
        let top = self.top.as_ref().filter(|top| top.digest() == *digest).map(|top| &top.signed);
        top.or_else(|| self.heads.get(digest))
    }

    /// Whether a head counts: its author's key holds, or held when a keeper voted for it. Such a one may be certified
    /// already, so whoever proposes next must be able to name it: or the number would be stuck for good.
    fn counts(&self, signed: &Signed, hand: &impl Hand) -> bool {
        let digest = signed.head.digest();
        signed.is_signed(hand) || signed.was_signed(hand) && self.votes_for(&digest).next().is_some()
    }

    /// The votes that are held for a head.
    pub fn votes_for<'a>(&'a self, digest: &'a Digest) -> impl Iterator<Item = &'a Vote> {
        self.votes.iter().filter(move |(key, _)| key.2 == *digest).filter_map(|(_, votes)| votes.first())
    }

    /// Keeps a head that counts. Tells whether it is new.
    pub fn take_head(&mut self, signed: Signed, hand: &impl Hand) -> bool {
        let digest = signed.head.digest();
        let of_use = signed.head.number > self.number() && !self.heads.contains_key(&digest);
        if !of_use || !self.counts(&signed, hand) {
            return false;
        }
        let author = signed.head.author;
        let theirs = self.heads.values().filter(|held| held.head.author == author).count();
        if theirs >= OF_AUTHOR || self.heads.len() >= KEPT {
            // One that nobody voted for gives way, of the same author if there are too many of that one's.
            let voted = |of: &Digest| self.votes.keys().any(|key| key.2 == *of);
            let gives_way = |(of, held): &(&Digest, &Signed)| {
                (theirs < OF_AUTHOR || held.head.author == author) && !voted(of)
            };
            let Some(of) = self.heads.iter().find(gives_way).map(|(of, _)| *of) else { return false };
            self.heads.remove(&of);
        }
        self.heads.insert(digest, signed);
        true
    }

    /// Keeps a vote that a keeper signed.
    pub fn take_vote(&mut self, vote: Vote, hand: &impl Hand) {
        let key = (vote.number, vote.keeper, vote.digest);
        let known =
            self.votes.get(&key).is_some_and(|held| held.iter().any(|held| held.ballot == vote.ballot));
        let crowded = self.votes.len() >= VOTES && !self.votes.contains_key(&key);
        if vote.number <= self.number() || known || crowded || !vote.holds(hand) {
            return;
        }
        let held = self.votes.entry(key).or_default();
        let highest = held.first().is_none_or(|first| vote.ballot > first.ballot);
        held.insert(if highest { 0 } else { held.len() }, vote);
        if held.len() > OF_KEEPER {
            held.remove(1);
        }
    }

    pub fn take_go(&mut self, go: Go, hand: &impl Hand) {
        if let Some(top) = self.top.as_mut().filter(|top| top.number() == go.number) {
            let known = top.goes.iter().any(|held| held.keeper == go.keeper);
            if !known && go.digest == top.digest() && go.holds(hand) {
                top.goes.push(go);
            }
            return;
        }
        let later = self.goes.get(&go.keeper).is_none_or(|held| held.number < go.number);
        if go.number > self.number() && later && go.holds(hand) {
            self.goes.insert(go.keeper, go);
        }
    }

    /// Tells whether votes and heads held now show a higher revision certified.
    pub fn certify(&mut self, hand: &impl Hand) -> bool {
        let enough = quorum(hand.keepers().len());
        let mut counts: BTreeMap<(Number, Ballot, Digest), usize> = BTreeMap::new();
        for vote in self.votes.values().flatten() {
            *counts.entry((vote.number, vote.ballot, vote.digest)).or_default() += 1;
        }
        let certified = |((number, ballot, digest), count): (&(Number, Ballot, Digest), &usize)| {
            let head = self.heads.get(digest).filter(|head| head.head.number == *number)?;
            (*count >= enough && *number > self.number()).then_some((*number, *ballot, *head))
        };
        let Some((number, ballot, signed)) = counts.iter().filter_map(certified).max_by_key(|found| found.0)
        else {
            return false;
        };
        let digest = signed.head.digest();
        let in_it = |vote: &&Vote| (vote.number, vote.ballot, vote.digest) == (number, ballot, digest);
        let votes = self.votes.values().flatten().filter(in_it).take(enough);
        let goes = self.goes.values().filter(|go| (go.number, go.digest) == (number, digest));
        let top = Certified { signed, votes: votes.copied().collect(), goes: goes.copied().collect() };
        self.install(top);
        true
    }

    /// Takes one that is certified in the place of all below it.
    pub fn install(&mut self, top: Certified) {
        let number = top.number();
        self.heads.retain(|_, head| head.head.number > number);
        self.votes.retain(|key, _| key.0 > number);
        self.goes.retain(|_, go| go.number > number);
        self.top = Some(top);
    }

    /// Heads whose author's key holds no more are nothing, but for those that a keeper voted for: this one itself, or
    /// another.
    pub fn recheck(&mut self, accepted: Option<Digest>, hand: &impl Hand) {
        let heads = std::mem::take(&mut self.heads);
        let stays = |(of, held): &(Digest, Signed)| accepted == Some(*of) || self.counts(held, hand);
        self.heads = heads.into_iter().filter(stays).collect();
    }

    /// A head that this keeper voted for, as it finds it again.
    pub fn recall_head(&mut self, signed: Signed) {
        if signed.head.number > self.number() {
            self.heads.insert(signed.head.digest(), signed);
        }
    }

    /// Whether a quorum has given the word to act on the highest one.
    pub fn may_act(&self, hand: &impl Hand) -> bool {
        self.top.as_ref().is_some_and(|top| top.goes.len() >= quorum(hand.keepers().len()))
    }
}
