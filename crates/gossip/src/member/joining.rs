//! Joining, leaving and rejoining: the own record, records of others, seeds, and the healing of partitions.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::probing::HELPER_COUNT;
use super::{is_active, Event, Gossip, Transport};
use crate::envelope::{ANYONE, STATEMENTS};
use crate::outbox::Rank;
use crate::probe::shuffle;
use crate::statement::{
    incarnation, process_incarnation_of, Claim, Keyring, Record, Statement, LAST_INCARNATION,
};
use crate::view::{Change, MemberEntry, MemberState};
use crate::Member;

impl<H: Keyring> Gossip<H> {
    /// Publishes that this member is alive, or that it leaves, and records it in its own view.
    pub(super) fn publish_record(&mut self, now: Duration, left: bool) {
        let record = Record { subject: self.local_id, incarnation: self.incarnation, left, at: self.address };
        self.counts.signed += 1;
        let statement = Claim::Record(record).sign(&self.keyring);
        self.view.record(now, record, &statement.signature);
        self.outbox.put(statement, Rank::Refutation, now);
    }

    /// Announces to some members that this one leaves; they forward it.
    pub fn leave(&mut self, now: Duration, out: &mut impl Transport) {
        self.incarnation = (self.incarnation + 1).min(LAST_INCARNATION);
        self.publish_record(now, true);
        for to in self.random_members(HELPER_COUNT * 2, None) {
            self.send(now, STATEMENTS, to, &[], true, out);
        }
    }

    /// The records of all known members, to be stored.
    pub fn records(&self) -> Vec<Statement> {
        let record = |(member, _): (Member, &MemberEntry)| self.view.statements(member).into_iter().next();
        self.view.members().filter_map(record).collect()
    }

    /// Takes records stored by an earlier process, so that a restart does not depend on seeds.
    pub fn restore_records(&mut self, now: Duration, stored: Vec<Statement>, events: &mut Vec<Event>) {
        for statement in stored {
            let Claim::Record(record) = statement.claim else { continue };
            let is_valid = record.subject != self.local_id && self.keyring.knows(record.subject);
            if is_valid && statement.is_signed(&self.keyring) {
                self.take_record(now, record, statement, events);
                self.outbox.forget(record.subject);
            }
        }
    }

    /// Takes a member's record of itself: its address, and whether it is alive or has left.
    pub(super) fn take_record(
        &mut self, now: Duration, record: Record, statement: Statement, events: &mut Vec<Event>,
    ) {
        if record.subject == self.local_id {
            // The record is from an earlier process that stored nothing, so the incarnation of this one must
            // become later.
            let next = incarnation(process_incarnation_of(record.incarnation).saturating_add(1), 0);
            self.incarnation = self.incarnation.max(next).max(record.incarnation);
            self.counter = 0;
            return self.publish_record(now, false);
        }
        let change = self.view.record(now, record, &statement.signature);
        if change == Change::Nothing {
            return;
        }
        self.addresses.retain(|_, member| *member != record.subject);
        self.addresses.insert(record.at, record.subject);
        match change {
            Change::Joined => {
                self.probes.insert(record.subject, &mut self.rng);
                events.push(Event::StateChanged(record.subject, MemberState::Alive));
                self.outbox.put(statement, Rank::Normal, now);
            }
            Change::Refuted => {
                events.push(Event::StateChanged(record.subject, MemberState::Alive));
                self.outbox.put(statement, Rank::Refutation, now);
            }
            Change::Left => {
                events.push(Event::StateChanged(record.subject, MemberState::Left));
                self.outbox.put(statement, Rank::Normal, now);
            }
            _ => self.outbox.put(statement, Rank::Normal, now),
        }
    }

    /// Pings a random seed.
    pub(super) fn contact_seed(&mut self, now: Duration, out: &mut impl Transport) {
        let others: Vec<SocketAddrV4> =
            self.seeds.iter().copied().filter(|seed| *seed != self.address).collect();
        if others.is_empty() {
            return;
        }
        let seed = others[(self.rng.unit_interval() * others.len() as f64) as usize % others.len()];
        self.ping_at(now, ANYONE, seed, out);
    }

    /// Contacts a dead member, or else a seed: after a partition each side takes the other for dead.
    pub(super) fn contact_dead_member(&mut self, now: Duration, out: &mut impl Transport) {
        let dead =
            |(member, known): (Member, &MemberEntry)| (known.state == MemberState::Dead).then_some(member);
        let mut dead: Vec<Member> = self.view.members().filter_map(dead).collect();
        shuffle(&mut dead, &mut self.rng);
        match dead.first().and_then(|member| Some((*member, self.view.get(*member)?.record.at))) {
            Some((member, at)) => self.ping_at(now, member, at, out),
            None => self.contact_absent_seed(now, out),
        }
    }

    /// Pings the first seed at whose address no known member takes part.
    fn contact_absent_seed(&mut self, now: Duration, out: &mut impl Transport) {
        let known = |seed: &SocketAddrV4| {
            self.addresses.get(seed).is_some_and(|member| is_active(self.view.get(*member)))
        };
        let unheard = self.seeds.iter().copied().find(|seed| *seed != self.address && !known(seed));
        if let Some(seed) = unheard {
            self.ping_at(now, ANYONE, seed, out);
        }
    }

    /// Sends a member that was started with an outdated process incarnation its own record, so that it learns
    /// of the later one.
    pub(super) fn send_stale_notice(
        &mut self, now: Duration, member: Member, at: SocketAddrV4, out: &mut impl Transport,
    ) {
        if !self.stale_notices.take(now, 1.0) {
            return;
        }
        let mut body = Vec::new();
        self.view
            .statements(member)
            .iter()
            .take(1)
            .for_each(|statement| statement.write(Duration::ZERO, &mut body));
        self.send_at(now, STATEMENTS, (member, at), &body, false, out);
    }
}
