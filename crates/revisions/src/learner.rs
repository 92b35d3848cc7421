//! The learner of the consensus protocol: certificates and activation grants, assembled from signed messages.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::{ActivationGrant, Vote};
use crate::{quorum, Ballot, Digest, Member, Number, Signed, Signer};

/// A certified revision with its certificate: the votes, and the activation grants known so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Certified {
    pub signed: Signed,
    pub votes: Vec<Vote>,
    pub activation_grants: Vec<ActivationGrant>,
}

impl Certified {
    /// The number of the revision.
    pub fn number(&self) -> Number {
        self.signed.head.number
    }

    /// The digest of its head.
    pub fn digest(&self) -> Digest {
        self.signed.head.digest()
    }

    /// Whether the votes form a certificate by this ring. The author's signature is not verified again: the
    /// acceptors did so when they voted, and revoking the key later does not invalidate the certificate.
    pub fn holds(&self, signer: &impl Signer) -> bool {
        let digest = self.digest();
        let is_vote_for_it =
            |vote: &&Vote| vote.digest == digest && vote.number == self.number() && vote.holds(signer);
        let mut acceptors_by_ballot: BTreeMap<Ballot, Vec<Member>> = BTreeMap::new();
        for vote in self.votes.iter().filter(is_vote_for_it) {
            let acceptors = acceptors_by_ballot.entry(vote.ballot).or_default();
            if !acceptors.contains(&vote.acceptor) {
                acceptors.push(vote.acceptor);
            }
        }
        acceptors_by_ballot.values().any(|acceptors| acceptors.len() >= quorum(signer.acceptors().len()))
    }
}

/// Heads of one author kept for numbers that are not yet certified: an author whose key was stolen can't take
/// the places of others.
const MAX_HEADS_PER_AUTHOR: usize = 4;
/// Limit on heads of all authors; more than there are authors.
const MAX_HEADS: usize = 64;
/// Limit on combinations of number, acceptor and head for which votes are kept; more than there are
/// acceptors.
const MAX_VOTE_KEYS: usize = 256;
/// Votes of one acceptor kept for one head: the one in the highest ballot, and the latest others. A later
/// vote in a higher ballot must not hide the vote in the ballot that was certified: members that know the
/// certificate send that vote alone.
const MAX_VOTES_PER_HEAD: usize = 3;

/// Everything learned from signed messages.
#[derive(Debug, Default)]
pub struct Learner {
    /// The certified revision with the highest number known.
    pub latest: Option<Certified>,
    /// Heads signed by authors, with numbers above the latest certified one.
    heads: BTreeMap<Digest, Signed>,
    /// Votes of each acceptor for numbers above the latest certified one: the one in the highest ballot
    /// first, the others in order of arrival.
    votes: BTreeMap<(Number, Member, Digest), Vec<Vote>>,
    /// Activation grants for numbers that are not known certified yet.
    grants: BTreeMap<Member, ActivationGrant>,
}

impl Learner {
    /// The latest certified number, or 0.
    pub fn number(&self) -> Number {
        self.latest.as_ref().map_or(0, Certified::number)
    }

    /// The digest of the latest certified head, or zeros.
    pub fn digest(&self) -> Digest {
        self.latest.as_ref().map_or([0; 32], Certified::digest)
    }

    /// The head with this digest, if it is known.
    pub fn head(&self, digest: &Digest) -> Option<&Signed> {
        let latest =
            self.latest.as_ref().filter(|latest| latest.digest() == *digest).map(|latest| &latest.signed);
        latest.or_else(|| self.heads.get(digest))
    }

    /// Whether a head is valid: its author's key is valid, or was valid when an acceptor voted for the head.
    /// Such a head may be certified already, so the next proposer must be able to name it, or the number
    /// would be blocked permanently.
    fn is_valid(&self, signed: &Signed, signer: &impl Signer) -> bool {
        let digest = signed.head.digest();
        signed.is_signed(signer) || signed.was_signed(signer) && self.votes_for(&digest).next().is_some()
    }

    /// The votes known for a head, one of each acceptor.
    pub fn votes_for<'a>(&'a self, digest: &'a Digest) -> impl Iterator<Item = &'a Vote> {
        self.votes.iter().filter(move |(key, _)| key.2 == *digest).filter_map(|(_, votes)| votes.first())
    }

    /// Adds a valid head. Returns whether it is new.
    pub fn add_head(&mut self, signed: Signed, signer: &impl Signer) -> bool {
        let digest = signed.head.digest();
        let is_new = signed.head.number > self.number() && !self.heads.contains_key(&digest);
        if !is_new || !self.is_valid(&signed, signer) {
            return false;
        }
        let author = signed.head.author;
        let heads_of_author =
            self.heads.values().filter(|known_head| known_head.head.author == author).count();
        if heads_of_author >= MAX_HEADS_PER_AUTHOR || self.heads.len() >= MAX_HEADS {
            // A head without votes is evicted; if there are too many of this author, one of the same author.
            let has_votes = |digest: &Digest| self.votes.keys().any(|key| key.2 == *digest);
            let is_evictable = |(digest, known_head): &(&Digest, &Signed)| {
                (heads_of_author < MAX_HEADS_PER_AUTHOR || known_head.head.author == author)
                    && !has_votes(digest)
            };
            let Some(evicted) = self.heads.iter().find(is_evictable).map(|(digest, _)| *digest) else {
                return false;
            };
            self.heads.remove(&evicted);
        }
        self.heads.insert(digest, signed);
        true
    }

    /// Adds a vote, if an acceptor of the ring signed it.
    pub fn add_vote(&mut self, vote: Vote, signer: &impl Signer) {
        let key = (vote.number, vote.acceptor, vote.digest);
        let known = self
            .votes
            .get(&key)
            .is_some_and(|votes| votes.iter().any(|known_vote| known_vote.ballot == vote.ballot));
        let is_full = self.votes.len() >= MAX_VOTE_KEYS && !self.votes.contains_key(&key);
        if vote.number <= self.number() || known || is_full || !vote.holds(signer) {
            return;
        }
        let votes = self.votes.entry(key).or_default();
        let is_highest = votes.first().is_none_or(|first| vote.ballot > first.ballot);
        votes.insert(if is_highest { 0 } else { votes.len() }, vote);
        if votes.len() > MAX_VOTES_PER_HEAD {
            votes.remove(1);
        }
    }

    /// Adds an activation grant, if an acceptor of the ring signed it.
    pub fn add_activation_grant(&mut self, grant: ActivationGrant, signer: &impl Signer) {
        if let Some(latest) = self.latest.as_mut().filter(|latest| latest.number() == grant.number) {
            let known =
                latest.activation_grants.iter().any(|known_grant| known_grant.acceptor == grant.acceptor);
            if !known && grant.digest == latest.digest() && grant.holds(signer) {
                latest.activation_grants.push(grant);
            }
            return;
        }
        let is_later =
            self.grants.get(&grant.acceptor).is_none_or(|known_grant| known_grant.number < grant.number);
        if grant.number > self.number() && is_later && grant.holds(signer) {
            self.grants.insert(grant.acceptor, grant);
        }
    }

    /// Returns whether the known votes and heads now certify a later revision.
    pub fn update_latest(&mut self, signer: &impl Signer) -> bool {
        let needed = quorum(signer.acceptors().len());
        let mut counts: BTreeMap<(Number, Ballot, Digest), usize> = BTreeMap::new();
        for vote in self.votes.values().flatten() {
            *counts.entry((vote.number, vote.ballot, vote.digest)).or_default() += 1;
        }
        let certified_by = |((number, ballot, digest), count): (&(Number, Ballot, Digest), &usize)| {
            let head = self.heads.get(digest).filter(|head| head.head.number == *number)?;
            (*count >= needed && *number > self.number()).then_some((*number, *ballot, *head))
        };
        let Some((number, ballot, signed)) =
            counts.iter().filter_map(certified_by).max_by_key(|found| found.0)
        else {
            return false;
        };
        let digest = signed.head.digest();
        let is_counted = |vote: &&Vote| (vote.number, vote.ballot, vote.digest) == (number, ballot, digest);
        let votes = self.votes.values().flatten().filter(is_counted).take(needed);
        let grants = self.grants.values().filter(|grant| (grant.number, grant.digest) == (number, digest));
        let latest = Certified {
            signed,
            votes: votes.copied().collect(),
            activation_grants: grants.copied().collect(),
        };
        self.install(latest);
        true
    }

    /// Makes this the latest certified revision, and drops everything at or below its number.
    pub fn install(&mut self, certified: Certified) {
        let number = certified.number();
        self.heads.retain(|_, head| head.head.number > number);
        self.votes.retain(|key, _| key.0 > number);
        self.grants.retain(|_, grant| grant.number > number);
        self.latest = Some(certified);
    }

    /// Drops heads whose author's key is no longer valid, except those that an acceptor voted for: the local
    /// one, which accepted `accepted`, or another.
    pub fn revalidate_heads(&mut self, accepted: Option<Digest>, signer: &impl Signer) {
        let heads = std::mem::take(&mut self.heads);
        let is_kept =
            |(digest, head): &(Digest, Signed)| accepted == Some(*digest) || self.is_valid(head, signer);
        self.heads = heads.into_iter().filter(is_kept).collect();
    }

    /// Restores a stored head that the local acceptor voted for.
    pub fn restore_head(&mut self, signed: Signed) {
        if signed.head.number > self.number() {
            self.heads.insert(signed.head.digest(), signed);
        }
    }

    /// Whether a quorum of acceptors has granted the activation of the latest certified revision.
    pub fn may_activate(&self, signer: &impl Signer) -> bool {
        self.latest
            .as_ref()
            .is_some_and(|latest| latest.activation_grants.len() >= quorum(signer.acceptors().len()))
    }
}
