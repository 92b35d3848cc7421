//! Dissemination: the bulletins that this member publishes, the statements that it forwards, and those that
//! it receives.

use std::time::Duration;

use super::{Event, Gossip, Transport};
use crate::envelope::{Fault, MAX_BODY_BYTES, MESSAGE, STATEMENTS};
use crate::outbox::Rank;
use crate::statement::{process_incarnation_of, Bulletin, Claim, Keyring, Statement, ITEM_BYTES, MAX_ITEMS};
use crate::{Member, MAX_DATAGRAM_BYTES};

impl<H: Keyring> Gossip<H> {
    /// Publishes this member's latest findings on all streamers.
    pub fn publish(&mut self, now: Duration, items: Vec<[u8; ITEM_BYTES]>) {
        self.bulletin_number += 1;
        let items = items.into_iter().take(MAX_ITEMS).collect();
        let bulletin = Bulletin {
            author: self.local_id,
            process_incarnation: self.process_incarnation(),
            number: self.bulletin_number,
            items,
        };
        self.counts.signed += 1;
        self.outbox.put(Claim::Bulletin(bulletin).sign(&self.keyring), Rank::Normal, now);
    }

    /// Sends another subsystem's message to a member, if the byte budget allows it. Returns whether it was
    /// sent.
    pub fn send_message(
        &mut self, now: Duration, to: Member, message: &[u8], out: &mut impl Transport,
    ) -> bool {
        message.len() <= MAX_BODY_BYTES && self.send(now, MESSAGE, to, message, false, out)
    }

    /// Sends the most urgent statements to a random member.
    pub(super) fn send_statements(&mut self, now: Duration, out: &mut impl Transport) {
        if !self.budget.has_reserve(now, MAX_DATAGRAM_BYTES) {
            self.counts.held_back += 1;
            return;
        }
        if let Some(to) = self.random_members(1, None).first().copied() {
            self.send(now, STATEMENTS, to, &[], true, out);
        }
    }

    /// Takes statements up to the first that can't be decoded, or whose signature may not be checked because
    /// the rate limit is reached. Returns whether any of them contains an outdated incarnation of this
    /// member.
    pub(super) fn take_statements(
        &mut self, now: Duration, source: Option<Member>, mut bytes: &[u8], events: &mut Vec<Event>,
    ) -> bool {
        let mut is_outdated = false;
        while let Some((statement, age, used)) = Statement::read(bytes) {
            bytes = &bytes[used..];
            is_outdated |= match &statement.claim {
                Claim::Record(record) => {
                    record.subject == self.local_id && record.incarnation < self.incarnation
                }
                Claim::Accusation(accusation) => {
                    accusation.subject == self.local_id && accusation.incarnation < self.incarnation
                }
                Claim::Bulletin(_) => false,
            };
            // Statements that are already known need no signature check.
            if !self.is_new(&statement.claim) {
                continue;
            }
            if !self.rate_limits.admit_signatures(now, source, 1) {
                *self.counts.dropped.entry(Fault::RateLimited).or_default() += 1;
                return is_outdated;
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
        is_outdated
    }

    /// Whether a statement could change anything here; only then is its signature checked.
    fn is_new(&self, claim: &Claim) -> bool {
        match claim {
            Claim::Record(record) => self.view.get(record.subject).is_none_or(|known| {
                (record.incarnation, record.left) > (known.record.incarnation, known.record.left)
            }),
            Claim::Accusation(accusation) => self.view.could_change(accusation),
            Claim::Bulletin(bulletin) => {
                bulletin.author != self.local_id
                    && self
                        .bulletins
                        .get(&bulletin.author)
                        .is_none_or(|latest| *latest < (bulletin.process_incarnation, bulletin.number))
            }
        }
    }

    /// Takes a member's bulletin on streamers.
    fn take_bulletin(
        &mut self, now: Duration, bulletin: Bulletin, age: Duration, statement: Statement,
        events: &mut Vec<Event>,
    ) {
        let Some(known) = self.view.get(bulletin.author) else { return };
        // Bulletins of an earlier process incarnation are outdated.
        if bulletin.process_incarnation != process_incarnation_of(known.record.incarnation) {
            return;
        }
        self.bulletins.insert(bulletin.author, (bulletin.process_incarnation, bulletin.number));
        let observed_at = now.saturating_sub(age);
        self.outbox.put(statement, Rank::Normal, observed_at);
        events.push(Event::Bulletin(bulletin, age));
    }
}
