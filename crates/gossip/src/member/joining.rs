//! How a member comes in, leaves and comes back: its own record, records of others, seeds, and the healing of splits.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::probing::HELPERS;
use super::{takes_part, Event, Gossip, Transport};
use crate::envelope::{ANYONE, NEWS};
use crate::outbox::Rank;
use crate::probe::shuffle;
use crate::statement::{incarnation, life_of, Claim, Keyring, Record, Statement, LAST_INCARNATION};
use crate::view::{Change, Known, MemberState};
use crate::Member;

impl<H: Keyring> Gossip<H> {
    /// Says that this member is alive, or that it leaves, and takes it down itself.
    pub(super) fn say_alive(&mut self, now: Duration, left: bool) {
        let record = Record { subject: self.me, incarnation: self.incarnation, left, at: self.at };
        self.counts.signed += 1;
        let statement = Claim::Record(record).sign(&self.keyring);
        self.view.record(now, record, &statement.signature);
        self.outbox.put(statement, Rank::Refutation, now);
    }

    /// Says good-bye to some members, who pass it on.
    pub fn leave(&mut self, now: Duration, out: &mut impl Transport) {
        self.incarnation = (self.incarnation + 1).min(LAST_INCARNATION);
        self.say_alive(now, true);
        for to in self.some_members(HELPERS * 2, None) {
            self.send(now, NEWS, to, &[], true, out);
        }
    }

    /// The records of all members, to be stored.
    pub fn records(&self) -> Vec<Statement> {
        let record = |(member, _): (Member, &Known)| self.view.statements(member).into_iter().next();
        self.view.members().filter_map(record).collect()
    }

    /// Takes records that an earlier process stored: seeds need not be there for a rebirth.
    pub fn restore_records(&mut self, now: Duration, stored: Vec<Statement>, events: &mut Vec<Event>) {
        for statement in stored {
            let Claim::Record(record) = statement.claim else { continue };
            let theirs = record.subject != self.me && self.keyring.knows(record.subject);
            if theirs && statement.is_signed(&self.keyring) {
                self.take_record(now, record, statement, events);
                self.outbox.forget(record.subject);
            }
        }
    }

    /// Takes a member's record of itself: that it takes part, where, or that it has left.
    pub(super) fn take_record(
        &mut self, now: Duration, record: Record, statement: Statement, events: &mut Vec<Event>,
    ) {
        if record.subject == self.me {
            // Said in an earlier life, of which nothing was stored: this life has to be later.
            let next = incarnation(life_of(record.incarnation).saturating_add(1), 0);
            self.incarnation = self.incarnation.max(next).max(record.incarnation);
            self.counter = 0;
            return self.say_alive(now, false);
        }
        let change = self.view.record(now, record, &statement.signature);
        if change == Change::Nothing {
            return;
        }
        self.addresses.retain(|_, member| *member != record.subject);
        self.addresses.insert(record.at, record.subject);
        match change {
            Change::Joined => {
                self.probes.insert(record.subject, &mut self.chance);
                events.push(Event::StateChanged(record.subject, MemberState::Alive));
                self.outbox.put(statement, Rank::News, now);
            }
            Change::Refuted => {
                events.push(Event::StateChanged(record.subject, MemberState::Alive));
                self.outbox.put(statement, Rank::Refutation, now);
            }
            Change::Left => {
                events.push(Event::StateChanged(record.subject, MemberState::Left));
                self.outbox.put(statement, Rank::News, now);
            }
            _ => self.outbox.put(statement, Rank::News, now),
        }
    }

    /// Pings a seed drawn by chance.
    pub(super) fn try_seed(&mut self, now: Duration, out: &mut impl Transport) {
        let others: Vec<SocketAddrV4> = self.seeds.iter().copied().filter(|seed| *seed != self.at).collect();
        if others.is_empty() {
            return;
        }
        let seed = others[(self.chance.unit_interval() * others.len() as f64) as usize % others.len()];
        self.ping_at(now, ANYONE, seed, out);
    }

    /// Tries a member that seems dead, or else a seed: after a split each side holds the other for dead.
    pub(super) fn try_gone(&mut self, now: Duration, out: &mut impl Transport) {
        let gone = |(member, known): (Member, &Known)| (known.state == MemberState::Dead).then_some(member);
        let mut gone: Vec<Member> = self.view.members().filter_map(gone).collect();
        shuffle(&mut gone, &mut self.chance);
        match gone.first().and_then(|member| Some((*member, self.view.get(*member)?.record.at))) {
            Some((member, at)) => self.ping_at(now, member, at, out),
            None => self.try_unheard_seed(now, out),
        }
    }

    /// Pings the first seed at whose address no known member takes part.
    fn try_unheard_seed(&mut self, now: Duration, out: &mut impl Transport) {
        let known = |seed: &SocketAddrV4| {
            self.addresses.get(seed).is_some_and(|member| takes_part(self.view.get(*member)))
        };
        let unheard = self.seeds.iter().copied().find(|seed| *seed != self.at && !known(seed));
        if let Some(seed) = unheard {
            self.ping_at(now, ANYONE, seed, out);
        }
    }

    /// A member that was born with an old life learns from its own record that it had a later one.
    pub(super) fn tell_stale(
        &mut self, now: Duration, member: Member, at: SocketAddrV4, out: &mut impl Transport,
    ) {
        if !self.told_stale.take(now, 1.0) {
            return;
        }
        let mut body = Vec::new();
        self.view
            .statements(member)
            .iter()
            .take(1)
            .for_each(|statement| statement.write(Duration::ZERO, &mut body));
        self.send_at(now, NEWS, (member, at), &body, false, out);
    }
}
