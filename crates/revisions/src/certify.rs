//! The keepers' part and the proposers': how a revision is certified, and when the word to act on it is given.

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::Reply;
use crate::member::{Given, Revisions};
use crate::propose::{Proposal, AGAIN};
use crate::word::{Go, Vote, Word};
use crate::{Ballot, Digest, Hand, Head, Keeper, Member, Number, Refused, Regime, Signed};

/// A keeper proposes what it accepted itself, if it is not certified so long after: its proposer may be gone. Twice
/// the longest ballot, and a part by chance, so that keepers do not outbid each other.
const RESCUE: Duration = Duration::from_secs(8);

impl<H: Hand> Revisions<H> {
    /// Whether a head is an author's, and the next one, before its text is taken in.
    ///
    /// # Errors
    /// Where it can't become the next one.
    pub fn may_be_next(&self, signed: &Signed) -> Result<(), Refused> {
        let Head { number, before, author, .. } = signed.head;
        if self.hand.keepers().is_empty() {
            return Err(Refused::NoKeepers);
        }
        if !signed.is_signed(&self.hand) {
            return Err(Refused::Author(author));
        }
        let (next, follows) = self.next();
        if number != next {
            return Err(Refused::Number(number, next));
        }
        if before != follows {
            return Err(Refused::Before(next - 1));
        }
        Ok(())
    }

    /// An author's revision, pushed here by its operator.
    ///
    /// # Errors
    /// Where it can't become the next one; nothing has changed then.
    pub fn push(
        &mut self, now: Duration, signed: Signed, text: Arc<[u8]>, out: &mut Vec<Given>,
    ) -> Result<(), Refused> {
        self.may_be_next(&signed)?;
        signed.head.check_text(&text)?;
        (self.terms.check)(&text).map_err(Refused::Text)?;
        self.keep_text(signed.head.text, text);
        self.learned.take_head(signed, &self.hand);
        let fresh = self.proposal.as_ref().is_none_or(|proposal| proposal.wanted != signed);
        if fresh {
            self.propose(now, signed, 1, out);
        }
        Ok(())
    }

    fn propose(&mut self, now: Duration, signed: Signed, round: u32, out: &mut Vec<Given>) {
        self.round = round.max(self.round.saturating_add(1));
        let ballot = Ballot { round: self.round, by: self.terms.me, life: self.terms.life };
        let proposal = Proposal::new(signed, ballot, now, &mut self.chance);
        self.proposal = Some(proposal);
        self.pursue(now, out);
    }

    /// Says again what the proposal's present step is to say.
    pub(crate) fn pursue(&mut self, now: Duration, out: &mut Vec<Given>) {
        if self.proposal.as_ref().is_some_and(|proposal| proposal.number() <= self.learned.number()) {
            self.proposal = None;
        }
        let Some(proposal) = &mut self.proposal else { return };
        if now >= proposal.over_at {
            let ballot = proposal.ballot;
            proposal.higher(ballot, now, &mut self.chance);
            self.round = self.round.max(proposal.ballot.round);
        }
        proposal.again_at = now + AGAIN;
        let (number, ballot, chosen) = (proposal.number(), proposal.ballot, proposal.chosen);
        let accepted_by = proposal.accepted_by.filter(|by| *by != self.terms.me);
        let head = chosen.and_then(|digest| self.learned.head(&digest).copied());
        if let (Some(signed), Some(by)) = (head, accepted_by) {
            // Who votes for it asks for its text here.
            if !self.texts.contains_key(&signed.head.text) {
                out.push(Given::Fetch(signed, by));
            }
        }
        // Where its author's key holds no more, a keeper's vote shows that it did.
        // Under a gate it shows that what the text stands for was in order.
        let vote = head.filter(|signed| self.gate.is_some() || !signed.is_signed(&self.hand));
        let vote = vote.and_then(|signed| self.learned.votes_for(&signed.head.digest()).next().copied());
        for keeper in self.hand.keepers().to_vec() {
            match chosen {
                None => self.say(now, keeper, Word::Prepare { number, ballot }, out),
                Some(digest) => {
                    if let Some(signed) = head {
                        vote.into_iter().for_each(|vote| self.say(now, keeper, Word::Vote(vote), out));
                        self.say(now, keeper, Word::Head(signed), out);
                        self.say(now, keeper, Word::Accept { number, ballot, digest }, out);
                    }
                }
            }
        }
    }

    pub(crate) fn asked_to_promise(
        &mut self, now: Duration, from: Member, number: Number, ballot: Ballot, out: &mut Vec<Given>,
    ) {
        // A ballot is its maker's alone.
        let reply =
            self.keeper.as_mut().filter(|_| ballot.by == from).and_then(|k| k.prepare(number, ballot));
        if let Some(Reply::Promise { accepted: Some((of, digest)), .. }) = reply {
            if let Some(signed) = self.learned.head(&digest).copied() {
                // The vote first: it makes the head count where its author's key holds no more.
                let vote = Vote::sign(&self.hand, self.terms.me, number, of, digest);
                self.say(now, from, Word::Vote(vote), out);
                self.say(now, from, Word::Head(signed), out);
            }
        }
        self.reply(now, from, reply, out);
    }

    pub(crate) fn asked_to_accept(
        &mut self, now: Duration, from: Member, (number, ballot, digest): (Number, Ballot, Digest),
        out: &mut Vec<Given>,
    ) {
        let Some(signed) = self.learned.head(&digest).copied() else { return };
        let follows = signed.head.number == number && signed.head.before == self.learned.digest();
        let over = number <= self.learned.number();
        if ballot.by != from || self.keeper.is_none() || !(follows || over) {
            return;
        }
        // A keeper votes for what it holds and could act on: what is certified is never a text that nobody has.
        match self.texts.get(&signed.head.text).cloned() {
            None if !over => out.push(Given::Fetch(signed, from)),
            Some(text) if !over && (self.terms.check)(&text).is_err() => {}
            Some(_) if !over && !self.lets_vote(&signed) => {}
            text => {
                if let Some(text) = text {
                    out.push(Given::StoreText(signed.head.text, text));
                }
                let reply = self.keeper.as_mut().and_then(|keeper| keeper.accept(number, ballot, digest));
                if matches!(reply, Some(Reply::Vote { .. })) {
                    let wait = RESCUE + self.chance.random_duration(RESCUE);
                    self.next_rescue = Some(now + wait);
                }
                self.reply(now, from, reply, out);
            }
        }
    }

    fn reply(&mut self, now: Duration, to: Member, reply: Option<Reply>, out: &mut Vec<Given>) {
        let word = match reply {
            None => return,
            Some(Reply::Over { .. }) => return self.give(now, to, out),
            Some(Reply::Higher { number, ballot }) => Word::Higher { number, ballot },
            Some(Reply::Promise { number, ballot, accepted }) => {
                self.store(out);
                Word::Promise { number, ballot, accepted }
            }
            Some(Reply::Vote { number, ballot, digest }) => {
                self.store(out);
                Word::Vote(Vote::sign(&self.hand, self.terms.me, number, ballot, digest))
            }
        };
        self.say(now, to, word, out);
    }

    pub(crate) fn heard_promise(
        &mut self, now: Duration, from: Member, (number, ballot): (Number, Ballot),
        accepted: Option<(Ballot, Digest)>, out: &mut Vec<Given>,
    ) {
        let keepers = self.hand.keepers();
        let count = keepers.len();
        let ours = keepers.contains(&from);
        let proposal = self.proposal.as_mut().filter(|proposal| ours && proposal.number() == number);
        if proposal.is_some_and(|proposal| proposal.promised(from, ballot, accepted, count)) {
            self.pursue(now, out);
        }
    }

    pub(crate) fn heard_higher(&mut self, now: Duration, number: Number, seen: Ballot) {
        let Some(proposal) = self.proposal.as_mut().filter(|proposal| proposal.number() == number) else {
            return;
        };
        if seen > proposal.ballot {
            // Not at once: whoever is ahead may be about to succeed.
            let again = proposal.over_at;
            proposal.higher(seen, now, &mut self.chance);
            self.round = self.round.max(proposal.ballot.round);
            proposal.again_at = again.max(now + AGAIN);
            proposal.over_at += proposal.again_at.saturating_sub(now);
        }
    }

    /// Looks whether votes now show a certificate.
    pub(crate) fn certify(&mut self, now: Duration, out: &mut Vec<Given>) {
        if !self.learned.certify(&self.hand) {
            return;
        }
        let number = self.learned.number();
        if self.proposal.as_ref().is_some_and(|proposal| proposal.number() == number) {
            self.tell_certified(now, out);
        }
        self.certified_now(now, out);
    }

    /// Goes on from a number that has just become known certified.
    pub(crate) fn certified_now(&mut self, now: Duration, out: &mut Vec<Given>) {
        let number = self.learned.number();
        self.gate.iter_mut().for_each(|gate| gate.certified(now));
        if let Some(keeper) = &mut self.keeper {
            keeper.certified(number);
            self.store(out);
        }
        self.next_rescue = None;
        self.news(now);
        self.prepare(now, out);
        self.fetch(now, out);
    }

    /// A keeper whose vote led to nothing takes the proposal on.
    pub(crate) fn rescue(&mut self, now: Duration, out: &mut Vec<Given>) {
        self.next_rescue = None;
        let accepted = self.keeper.as_ref().and_then(|keeper| {
            let kept = keeper.kept();
            kept.accepted.map(|(ballot, digest)| (ballot.max(kept.promised), digest))
        });
        let Some((ballot, digest)) = accepted else { return };
        if let Some(signed) = self.learned.head(&digest).copied().filter(|_| self.proposal.is_none()) {
            self.propose(now, signed, ballot.round.saturating_add(1), out);
        }
    }

    /// Members that a keeper waits for before it gives the word: those that have not said to have the certified one,
    /// and are not excused.
    pub fn waited_for(&self, now: Duration) -> Vec<Member> {
        let number = self.learned.number();
        let waits = |member: &Member| {
            let has = if *member == self.terms.me {
                number == 0 || self.is_prepared(number)
            } else {
                self.positions
                    .get(member)
                    .is_some_and(|p| p.certified >= number && (p.has_text || number == 0))
            };
            let off = self.gone.get(member).is_some_and(|gone| gone.gone);
            let hold = self.terms.regime == Regime::Hold && *member != self.terms.me;
            let late = self.gate.as_ref().is_some_and(|gate| gate.is_over(now));
            let excused = off || hold && (late || self.granted.is_over(*member, now, self.lease));
            !(has || excused) || !off && self.waits_for_relay_lease(now, *member)
        };
        self.hand.members().iter().copied().filter(waits).collect()
    }

    /// Gives the word to act on the certified one, once nobody is waited for.
    pub(crate) fn consider_go(&mut self, now: Duration, out: &mut Vec<Given>) {
        let Some(top) = &self.learned.top else { return };
        let (number, digest) = (top.number(), top.digest());
        let able = |keeper: &&mut Keeper| !keeper.is_asking() && keeper.kept().gone_on < number;
        if self.keeper.as_mut().filter(able).is_none() || !self.waited_for(now).is_empty() {
            return;
        }
        if !self.keepers_are_able(now, out) {
            return;
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.go_on(number);
        }
        let go = Go::sign(&self.hand, self.terms.me, number, digest);
        self.learned.take_go(go, &self.hand);
        self.store(out);
        self.tell_go(now, go, out);
        self.news(now);
        self.act(now, out);
    }

    /// A keeper that was born without its disk asks the others.
    pub(crate) fn ask_back(&mut self, now: Duration, out: &mut Vec<Given>) {
        self.next_recall = now + AGAIN;
        if !self.keeper.as_ref().is_some_and(Keeper::is_asking) {
            return;
        }
        for keeper in self.hand.keepers().to_vec() {
            if keeper != self.terms.me {
                self.say(now, keeper, Word::Recall { nonce: u64::from(self.terms.life) }, out);
            }
        }
    }

    pub(crate) fn recalled(&mut self, by: Member, nonce: u64, highest: Number, out: &mut Vec<Given>) {
        let count = self.hand.keepers().len();
        let ours = self.hand.keepers().contains(&by) && nonce == u64::from(self.terms.life);
        let settled = self.keeper.as_mut().filter(|_| ours).is_some_and(|k| k.answered(by, highest, count));
        if settled {
            let certified = self.learned.number();
            self.keeper.iter_mut().for_each(|keeper| keeper.certified(certified));
            self.store(out);
        }
    }
}
