//! What this member publishes, what it passes on, and the statements that come to it.

use std::time::Duration;

use super::{Event, Gossip, Transport};
use crate::envelope::{Fault, MAX_BODY_BYTES, MESSAGE, NEWS};
use crate::outbox::Rank;
use crate::statement::{life_of, Bulletin, Claim, Keyring, Statement, ITEM_BYTES, MAX_ITEMS};
use crate::{Member, MAX_DATAGRAM_BYTES};

impl<H: Keyring> Gossip<H> {
    /// Publishes what this member holds against streamers: its latest findings on all of them.
    pub fn publish(&mut self, now: Duration, items: Vec<[u8; ITEM_BYTES]>) {
        self.bulletin_number += 1;
        let items = items.into_iter().take(MAX_ITEMS).collect();
        let bulletin = Bulletin { author: self.me, life: self.life(), number: self.bulletin_number, items };
        self.counts.signed += 1;
        self.outbox.put(Claim::Bulletin(bulletin).sign(&self.keyring), Rank::News, now);
    }

    /// Sends another subsystem's message to a member, as far as the ceiling allows. Tells whether it went.
    pub fn send_message(
        &mut self, now: Duration, to: Member, message: &[u8], out: &mut impl Transport,
    ) -> bool {
        message.len() <= MAX_BODY_BYTES && self.send(now, MESSAGE, to, message, false, out)
    }

    /// Sends the most urgent statements to one member drawn by chance.
    pub(super) fn spread(&mut self, now: Duration, out: &mut impl Transport) {
        if !self.budget.spares(now, MAX_DATAGRAM_BYTES) {
            self.counts.held_back += 1;
            return;
        }
        if let Some(to) = self.some_members(1, None).first().copied() {
            self.send(now, NEWS, to, &[], true, out);
        }
    }

    /// Takes statements up to the first that is none, or whose signature is not checked since the rate is used up. Tells
    /// whether any of them holds something of this member that is over.
    pub(super) fn take_statements(
        &mut self, now: Duration, source: Option<Member>, mut bytes: &[u8], events: &mut Vec<Event>,
    ) -> bool {
        let mut behind = false;
        while let Some((statement, age, used)) = Statement::read(bytes) {
            bytes = &bytes[used..];
            behind |= match &statement.claim {
                Claim::Record(r) => r.subject == self.me && r.incarnation < self.incarnation,
                Claim::Accusation(a) => a.subject == self.me && a.incarnation < self.incarnation,
                Claim::Bulletin(_) => false,
            };
            // Known ones cost nothing.
            if !self.is_new(&statement.claim) {
                continue;
            }
            if !self.rate_limits.admit_signatures(now, source, 1) {
                *self.counts.dropped.entry(Fault::RateLimited).or_default() += 1;
                return behind;
            }
            self.counts.checked += 1;
            if !self.keyring.knows(statement.claim.author()) || !statement.is_signed(&self.keyring) {
                *self.counts.dropped.entry(Fault::Unsigned).or_default() += 1;
                continue;
            }
            match statement.claim.clone() {
                Claim::Record(record) => self.take_record(now, record, statement, events),
                Claim::Accusation(accusation) => self.take_accusation(now, accusation, statement, events),
                Claim::Bulletin(bulletin) => self.take_bulletin(now, bulletin, age, statement, events),
            }
        }
        behind
    }

    /// Whether a statement could change anything here: only then is its signature checked.
    fn is_new(&self, claim: &Claim) -> bool {
        match claim {
            Claim::Record(record) => self.view.get(record.subject).is_none_or(|known| {
                (record.incarnation, record.left) > (known.record.incarnation, known.record.left)
            }),
            Claim::Accusation(accusation) => self.view.could_change(accusation),
            Claim::Bulletin(b) => {
                b.author != self.me
                    && self.bulletins.get(&b.author).is_none_or(|held| *held < (b.life, b.number))
            }
        }
    }

    /// Takes what a member publishes on streamers.
    fn take_bulletin(
        &mut self, now: Duration, bulletin: Bulletin, age: Duration, statement: Statement,
        events: &mut Vec<Event>,
    ) {
        let Some(known) = self.view.get(bulletin.author) else { return };
        // A life that is over says nothing of now.
        if bulletin.life != life_of(known.record.incarnation) {
            return;
        }
        self.bulletins.insert(bulletin.author, (bulletin.life, bulletin.number));
        let seen = now.saturating_sub(age);
        self.outbox.put(statement, Rank::News, seen);
        events.push(Event::Bulletin(bulletin, age));
    }
}
