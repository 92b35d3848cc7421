//! What a member's driver decides beside the protocol, where the text of a revision stands for more than itself: a
//! summary of a batch, say, that a keeper must hold and have checked before it votes, and that others wait for below
//! this member. Without a gate ([`Revisions::gated`] was never called) nothing here has an effect.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::member::{Given, Revisions};
use crate::spread::ASK_AGAIN;
use crate::word::{Go, Word};
use crate::{Certified, Digest, Hand, Keeper, Member, Number, Signed};

/// Texts that may be voted for at one time at most: more than there are proposers at once.
const VOTABLE: usize = 64;

/// What the driver has said.
#[derive(Debug, Default)]
pub struct Gate {
    /// Texts that a keeper may vote for, as the next number.
    votable: BTreeSet<Digest>,
    /// Texts that it may vote for where a keeper voted for them before: they may be certified already.
    votable_again: BTreeSet<Digest>,
    /// The highest number for which all that hangs below this member is ready.
    ready: Number,
    /// Since when it is.
    ready_since: Duration,
    /// A keeper waits for other members no longer than this after it learned that a revision is certified.
    patience: Duration,
    /// When the highest certified number became known here.
    certified_at: Duration,
}

impl Gate {
    /// Whether a keeper may vote for a text, which another keeper has voted for or not.
    pub(crate) fn lets_vote(&self, text: &Digest, voted: bool) -> bool {
        self.votable.contains(text) || voted && self.votable_again.contains(text)
    }

    pub(crate) fn is_ready(&self, number: Number) -> bool {
        self.ready >= number
    }

    pub(crate) fn ready_since(&self) -> Duration {
        self.ready_since
    }

    /// Whether others are waited for no longer.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        now > self.certified_at + self.patience
    }

    /// Another number is open now.
    pub(crate) fn certified(&mut self, now: Duration) {
        self.forget_votable();
        self.certified_at = now;
    }

    fn forget_votable(&mut self) {
        self.votable.clear();
        self.votable_again.clear();
    }
}

impl<H: Hand> Revisions<H> {
    /// Whether the driver lets this keeper vote for a head.
    pub(crate) fn lets_vote(&self, signed: &Signed) -> bool {
        let Some(gate) = &self.gate else { return true };
        let digest = signed.head.digest();
        let voted = self.learned.votes_for(&digest).next().is_some();
        gate.lets_vote(&signed.head.text, voted)
    }

    /// From now on a keeper votes only for texts that [`Revisions::let_vote`] named, this member is prepared only once
    /// [`Revisions::subtree_ready`] said so, and what keepers decide is sent to all members at once. Under
    /// [`crate::Regime::Hold`] a keeper waits for other members no longer than `patience`: the bound rests on leases alone.
    pub fn gated(&mut self, now: Duration, patience: Duration) {
        self.gate = Some(Gate { patience, certified_at: now, ready: self.active, ..Gate::default() });
    }

    /// A keeper may vote for this text as that of the next number. It is asked again by the proposer. `again`: only if
    /// another keeper has voted for it already.
    pub fn let_vote(&mut self, text: Digest, again: bool) {
        let Some(gate) = &mut self.gate else { return };
        let texts = if again { &mut gate.votable_again } else { &mut gate.votable };
        if texts.len() < VOTABLE {
            texts.insert(text);
        }
    }

    /// Whether this text was named to [`Revisions::let_vote`] for the next number.
    pub fn lets_vote_for(&self, text: &Digest) -> bool {
        self.gate.as_ref().is_some_and(|gate| gate.lets_vote(text, true))
    }

    /// Takes back all that [`Revisions::let_vote`] named: it was looked at by another ring.
    pub fn forget_votable(&mut self) {
        self.gate.iter_mut().for_each(Gate::forget_votable);
    }

    /// The driver holds what this text stands for.
    pub fn take_own_text(&mut self, now: Duration, text: Arc<[u8]>, out: &mut Vec<Given>) {
        let of = crate::digest(&text);
        if !self.texts.contains_key(&of) {
            self.keep_text(of, text);
        }
        self.prepare(now, out);
    }

    /// All that hangs below this member is ready for a number, or has been waited for long enough.
    pub fn subtree_ready(&mut self, now: Duration, number: Number, out: &mut Vec<Given>) {
        let Some(gate) = self.gate.as_mut().filter(|gate| gate.ready < number) else { return };
        (gate.ready, gate.ready_since) = (number, now);
        if self.prepared == Some(self.learned.number()) {
            (self.next_ask, self.ask_again) = (now, ASK_AGAIN);
            self.news(now);
        }
        self.consider_go(now, out);
        self.act(now, out);
    }

    /// The highest revision that is known certified, with the words to act on it that are known.
    pub fn top(&self) -> Option<&Certified> {
        self.learned.top.as_ref()
    }

    /// Whether a quorum of keepers has given the word to act on [`Revisions::top`].
    pub fn may_act(&self) -> bool {
        self.learned.may_act(&self.hand)
    }

    /// The highest number that this keeper has given the word to act on: what a lease that it grants now must name. Nothing
    /// for who is no keeper, or does not know what its former self did.
    pub fn grantable(&self) -> Option<Number> {
        let keeper = self.acceptor().filter(|keeper| !keeper.is_asking())?;
        Some(keeper.kept().gone_on)
    }

    /// What this member keeps as a keeper, if it is one.
    pub fn acceptor(&self) -> Option<&Keeper> {
        self.keeper.as_ref().filter(|_| self.hand.keepers().contains(&self.terms.me))
    }

    /// A certificate that came another way than by words, for instance with the state that it names.
    pub fn take_certified(&mut self, now: Duration, certified: Certified, out: &mut Vec<Given>) -> bool {
        if certified.number() <= self.learned.number() || !certified.holds(&self.hand) {
            return false;
        }
        self.learned.install(certified);
        self.certified_now(now, out);
        true
    }

    /// Says a certificate to all members: the proposer does, since it hears the votes first.
    pub(crate) fn tell_certified(&mut self, now: Duration, out: &mut Vec<Given>) {
        let Some(top) = self.learned.top.clone().filter(|_| self.gate.is_some()) else { return };
        for member in self.others() {
            self.say(now, member, Word::Head(top.signed), out);
            for vote in &top.votes {
                self.say(now, member, Word::Vote(*vote), out);
            }
        }
    }

    /// Says this keeper's word to act: to the keepers, or under a gate to all members.
    pub(crate) fn tell_go(&mut self, now: Duration, go: Go, out: &mut Vec<Given>) {
        let me = self.terms.me;
        let to = if self.gate.is_some() { self.others() } else { self.hand.keepers().to_vec() };
        for member in to.into_iter().filter(|member| *member != me) {
            self.say(now, member, Word::Go(go), out);
        }
    }

    fn others(&self) -> Vec<Member> {
        let me = self.terms.me;
        self.hand.members().iter().copied().filter(|member| *member != me).collect()
    }

    /// Whether this member has what a number needs, and all below it.
    pub(crate) fn is_prepared(&self, number: Number) -> bool {
        self.prepared >= Some(number) && self.gate.as_ref().is_none_or(|gate| gate.is_ready(number))
    }

    /// What this member said last is said to each keeper again until it answered something asked from then on.
    pub(crate) fn told_since(&self) -> Duration {
        self.gate.as_ref().map_or(self.told.1, |gate| gate.ready_since().max(self.told.1))
    }
}
