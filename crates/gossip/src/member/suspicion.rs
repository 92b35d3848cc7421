//! Accusations against others, and against this member, which refutes them with a later incarnation.

use std::time::Duration;

use super::{Event, Gossip};
use crate::outbox::Rank;
use crate::statement::{Accusation, Keyring, Statement, LAST_INCARNATION};
use crate::view::{Change, MemberState};

/// Minimum interval between refutations. It is far shorter than any suspicion, and bounds what a faulty
/// member can cause by accusing continually.
const REFUTATION_INTERVAL: Duration = Duration::from_secs(1);

impl<H: Keyring> Gossip<H> {
    /// Takes a member's accusation that another one did not answer.
    pub(super) fn take_accusation(
        &mut self, now: Duration, accusation: Accusation, statement: Statement, events: &mut Vec<Event>,
    ) {
        match self.view.accuse(now, accusation, &statement.signature) {
            Change::Accused => {
                // Others miss this member's answers, so it may be slow itself.
                self.health.worsen(1);
                self.schedule_refutation(now);
            }
            Change::Suspected => {
                events.push(Event::StateChanged(accusation.subject, MemberState::Suspect));
                self.outbox.put(statement, Rank::Normal, now);
            }
            Change::Confirmed => self.outbox.put(statement, Rank::Normal, now),
            _ => {}
        }
    }

    /// Answers an accusation, at once or when the last refutation is [`REFUTATION_INTERVAL`] old.
    fn schedule_refutation(&mut self, now: Duration) {
        let next_allowed = self.last_refutation_at + REFUTATION_INTERVAL;
        if now >= next_allowed {
            return self.refute(now);
        }
        self.refute_at = Some(next_allowed);
    }

    /// Raises this member's incarnation, which refutes accusations against earlier ones.
    pub(super) fn refute(&mut self, now: Duration) {
        (self.last_refutation_at, self.refute_at) = (now, None);
        self.incarnation = (self.incarnation + 1).min(LAST_INCARNATION);
        self.counts.refutations += 1;
        self.publish_record(now, false);
    }

    /// Answers missed while the local process was stalled are not held against others.
    pub(super) fn handle_stall(&mut self, late: Duration) {
        self.counts.stalls += 1;
        self.health.worsen(2);
        self.probes.current = None;
        self.view.extend_suspicions(late);
    }
}
