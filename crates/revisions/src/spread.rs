//! What goes round: positions, what others lack, and leases.

use std::time::Duration;

use crate::keeper::Keeper;
use crate::lease::ASKS_IN_A_LEASE;
use crate::member::{Given, Revisions};
use crate::word::{Position, Word};
use crate::{Hand, Member, Regime};

/// A member tells another, drawn by chance, where it stands this often: 112 bytes, so a tenth of what membership costs.
const BEAT: Duration = Duration::from_secs(1);
/// The same while there is news: in a fleet of 300 all have heard within some ten of these.
const BEAT_BUSY: Duration = Duration::from_millis(200);
/// A keeper says its word to act again to the others this often, until a quorum of words is known to it: all may be lost at
/// once, in a moment when the ceiling is reached.
const GO_AGAIN: Duration = Duration::from_millis(500);
/// All that members lack is given no more often than this, to whomever: some 4,000 bytes a second, and what one gives, the
/// next ones give on.
const GIVES_APART: Duration = Duration::from_millis(250);
/// What a keeper has not answered is asked again after this, doubled each time up to a part of the lease.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Part of a wait by which asks are spread, around the wait itself: all members begin to ask when a change reaches them, and a
/// keeper under its ceiling of bytes would answer the same few of them each time.
const ASK_JITTER: f64 = 0.5;
/// A member is given what it lacks no more often: some eight datagrams.
const GIVES_EVERY: Duration = Duration::from_millis(500);

/// Words on members that are off, told to a keeper in one beat at most.
const GONE_AT_ONCE: usize = 4;

impl<H: Hand> Revisions<H> {
    /// Says something to a member; what is for itself it hears at once.
    pub(crate) fn say(&mut self, now: Duration, to: Member, word: Word, out: &mut Vec<Given>) {
        if to == self.terms.me {
            self.take(now, to, word, out);
        } else {
            out.push(Given::Send(to, word.write()));
        }
    }

    /// A member's word.
    pub fn heard(&mut self, now: Duration, from: Member, word: Word, out: &mut Vec<Given>) {
        if from != self.terms.me {
            self.take(now, from, word, out);
        }
    }

    fn take(&mut self, now: Duration, from: Member, word: Word, out: &mut Vec<Given>) {
        match word {
            Word::Position(position) => self.heard_position(now, from, position, out),
            Word::Head(signed) => {
                self.learned.take_head(signed, &self.hand);
                self.certify(now, out);
            }
            Word::Vote(vote) => {
                self.learned.take_vote(vote, &self.hand);
                self.certify(now, out);
            }
            Word::Go(go) => {
                self.learned.take_go(go, &self.hand);
                self.act(now, out);
            }
            Word::Prepare { number, ballot } => self.asked_to_promise(now, from, number, ballot, out),
            Word::Promise { number, ballot, accepted } => {
                self.heard_promise(now, from, (number, ballot), accepted, out);
            }
            Word::Accept { number, ballot, digest } => {
                self.asked_to_accept(now, from, (number, ballot, digest), out);
            }
            Word::Higher { number, ballot } => self.heard_higher(now, number, ballot),
            Word::Ask { nonce, position } => self.asked_for_lease(now, from, nonce, position, out),
            Word::Lease { nonce, gone_on } => self.heard_lease(now, from, nonce, gone_on, out),
            Word::Recall { nonce } => {
                let highest = self.keeper.as_ref().and_then(Keeper::highest);
                if let Some(highest) = highest.filter(|_| self.hand.keepers().contains(&from)) {
                    self.say(now, from, Word::Recalled { nonce, highest }, out);
                }
            }
            Word::Recalled { nonce, highest } => self.recalled(from, nonce, highest, out),
            Word::Gone(gone) => drop(self.take_gone(now, gone, out)),
            // Another part's.
            Word::List(_) => {}
            Word::AskRelayLease { nonce, position } => {
                self.asked_for_relay_lease(now, from, nonce, position, out);
            }
            Word::RelayLease { nonce, gone_on, for_ms } => {
                self.heard_relay_lease(from, nonce, gone_on, for_ms);
            }
            Word::Able { number } => self.heard_able(now, from, number, out),
        }
    }

    fn heard_position(&mut self, now: Duration, from: Member, theirs: Position, out: &mut Vec<Given>) {
        self.positions.insert(from, theirs);
        self.consider_go(now, out);
        let ours = self.position(now);
        let acts = if self.learned.may_act(&self.hand) { ours.certified } else { ours.active };
        if theirs.certified < ours.certified || theirs.active < acts {
            self.give(now, from, out);
        } else if theirs.certified > ours.certified || theirs.active > acts {
            let due = self.gave.get(&from).is_none_or(|at| now >= *at + GIVES_EVERY);
            if due {
                self.gave.insert(from, now);
                self.say(now, from, Word::Position(ours), out);
            }
        }
    }

    /// Gives a member the certificate and the words to act, unless it was given them just before.
    pub(crate) fn give(&mut self, now: Duration, to: Member, out: &mut Vec<Given>) {
        let just = self.gave.get(&to).is_some_and(|at| now < *at + GIVES_EVERY);
        if just || now < self.next_give {
            return;
        }
        let Some(top) = self.learned.top.clone() else { return };
        self.next_give = now + GIVES_APART;
        self.gave.insert(to, now);
        let behind = self.positions.get(&to).is_none_or(|theirs| theirs.certified < top.number());
        if behind {
            self.say(now, to, Word::Head(top.signed), out);
            for vote in top.votes {
                self.say(now, to, Word::Vote(vote), out);
            }
        }
        for go in top.goes {
            self.say(now, to, Word::Go(go), out);
        }
    }

    fn asked_for_lease(
        &mut self, now: Duration, from: Member, nonce: u64, theirs: Position, out: &mut Vec<Given>,
    ) {
        let known = self.keeper.as_ref().filter(|keeper| !keeper.is_asking()).map(|k| k.kept().gone_on);
        let Some(gone_on) = known else { return };
        let gone_on = self.granted.answer(from, now, gone_on, theirs.active);
        self.say(now, from, Word::Lease { nonce, gone_on }, out);
        // What it says now may be what the word waits for.
        self.heard_position(now, from, theirs, out);
    }

    fn heard_lease(&mut self, now: Duration, from: Member, nonce: u64, gone_on: u32, out: &mut Vec<Given>) {
        if !self.hand.keepers().contains(&from) {
            return;
        }
        if gone_on <= self.active {
            self.leases.granted(from, nonce);
            self.sure(now, out);
        }
        self.act(now, out);
    }

    /// Whether leases are needed now.
    fn needs_lease(&self, now: Duration) -> bool {
        let position = self.position(now);
        self.terms.regime == Regime::Hold || position.certified > position.active || position.held
    }

    /// When [`Revisions::tend`] wants to be called at the latest.
    pub fn next_due(&self) -> Duration {
        let proposal = self.proposal.as_ref().map(|proposal| proposal.again_at);
        let asks = self.keeper.as_ref().is_some_and(Keeper::is_asking).then_some(self.next_recall);
        let fetch = self.lacks_text().map(|_| self.next_fetch);
        let go = self.keeper.as_ref().map(|_| self.next_go);
        let due = [proposal, asks, fetch, go, self.next_rescue, Some(self.next_beat), Some(self.next_ask)];
        due.into_iter().flatten().min().unwrap_or(self.next_beat)
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, out: &mut Vec<Given>) {
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.again_at) {
            self.pursue(now, out);
        }
        if self.next_rescue.is_some_and(|at| now >= at) {
            self.rescue(now, out);
        }
        if now >= self.next_recall {
            self.ask_back(now, out);
        }
        if self.lacks_text().is_some() && now >= self.next_fetch {
            self.fetch(now, out);
        }
        if now >= self.next_ask {
            let wait = self.ask_again.min(self.lease / (ASKS_IN_A_LEASE + 1));
            self.next_ask = now + wait.mul_f64(0.75 + ASK_JITTER * self.chance.unit_interval());
            self.ask_again = (self.ask_again * 2).min(self.lease);
            if self.needs_lease(now) {
                self.ask_for_leases(now, out);
            }
        }
        if now >= self.next_go {
            self.next_go = now + GO_AGAIN;
            self.say_go_again(now, out);
            self.say_able_again(now, out);
        }
        if now >= self.next_beat {
            let beat = if now < self.busy_until { BEAT_BUSY } else { BEAT };
            self.next_beat = now + beat.mul_f64(0.75 + 0.5 * self.chance.unit_interval());
            self.act(now, out);
            // A lease that has run out may be what the word waited for.
            self.consider_go(now, out);
            if self.learned.number() > self.active {
                // A word on a member that is off must reach the keepers, whatever is lost.
                let keepers = self.hand.keepers().to_vec();
                let gone: Vec<_> = self.gone.values().copied().take(GONE_AT_ONCE).collect();
                if let Some(keeper) = self.one_of(&keepers) {
                    gone.into_iter().for_each(|gone| self.say(now, keeper, Word::Gone(gone), out));
                }
            }
            let me = self.terms.me;
            let others: Vec<Member> = self.hand.members().iter().copied().filter(|m| *m != me).collect();
            if let Some(to) = self.one_of(&others) {
                let position = self.position(now);
                self.say(now, to, Word::Position(position), out);
            }
        }
    }

    fn say_go_again(&mut self, now: Duration, out: &mut Vec<Given>) {
        if self.learned.may_act(&self.hand) {
            return;
        }
        let me = self.terms.me;
        let own =
            self.learned.top.as_ref().and_then(|top| top.goes.iter().find(|go| go.keeper == me).copied());
        let Some(go) = own else { return };
        for keeper in self.hand.keepers().to_vec() {
            if keeper != me {
                self.say(now, keeper, Word::Go(go), out);
            }
        }
    }

    fn ask_for_leases(&mut self, now: Duration, out: &mut Vec<Given>) {
        let nonce = self.leases.ask(now);
        let position = self.position(now);
        // What was just prepared is said again until each keeper has answered: the change waits for it.
        let urgent = self.ask_again < self.lease / (ASKS_IN_A_LEASE + 1);
        let since = self.told_since();
        let asked = |keeper: &Member| !urgent || !self.leases.answered_since(*keeper, since);
        let keepers: Vec<Member> = self.hand.keepers().iter().copied().filter(asked).collect();
        for keeper in &keepers {
            self.say(now, *keeper, Word::Ask { nonce, position }, out);
        }
        self.ask_for_relay_leases(now, nonce, &keepers, out);
    }
}
