//! Accusations of others and of this member itself, which it refutes with a later incarnation.

use std::time::Duration;

use super::{Event, Gossip};
use crate::outbox::Rank;
use crate::statement::{Accusation, Keyring, Statement, LAST_INCARNATION};
use crate::view::{Change, MemberState};

/// A member refutes no more often: far sooner than any suspicion ends, and a liar that accuses without end makes it
/// say no more than that.
const REFUTES_EVERY: Duration = Duration::from_secs(1);

impl<H: Keyring> Gossip<H> {
    /// Takes a member's accusation that another one did not answer.
    pub(super) fn take_accusation(
        &mut self, now: Duration, accusation: Accusation, statement: Statement, events: &mut Vec<Event>,
    ) {
        match self.view.accuse(now, accusation, &statement.signature) {
            Change::Accused => {
                // Others miss this member's answers: perhaps it is slow itself.
                self.health.worsen(1);
                self.accused(now);
            }
            Change::Suspected => {
                events.push(Event::StateChanged(accusation.subject, MemberState::Suspect));
                self.outbox.put(statement, Rank::News, now);
            }
            Change::Confirmed => self.outbox.put(statement, Rank::News, now),
            _ => {}
        }
    }

    /// Answers an accusation, at once or when the last answer is [`REFUTES_EVERY`] old.
    fn accused(&mut self, now: Duration) {
        let at = self.refuted + REFUTES_EVERY;
        if now >= at {
            return self.refute(now);
        }
        self.refute_at = Some(at);
    }

    /// Raises this member's incarnation, which clears it of what was said of an earlier one.
    pub(super) fn refute(&mut self, now: Duration) {
        (self.refuted, self.refute_at) = (now, None);
        self.incarnation = (self.incarnation + 1).min(LAST_INCARNATION);
        self.counts.refutations += 1;
        self.say_alive(now, false);
    }

    /// What this member missed while it stood still says nothing against others.
    pub(super) fn stood_still(&mut self, late: Duration) {
        self.counts.stalls += 1;
        self.health.worsen(2);
        self.probes.out = None;
        self.view.stood_still(late);
    }
}
