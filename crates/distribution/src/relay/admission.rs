//! How many watchers are let in at once: a zone's, which all start at one time, come one after another.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::control::ConnectionId;
use crate::token_bucket::TokenBucket;

/// Watchers that are let in a second, and at once.
const PER_SECOND: f64 = 100.0;
const AT_ONCE: f64 = 100.0;
/// Watchers that wait to be let in at most: a watcher goes on to its next relay after a second without an answer, so
/// those behind would wait in vain. They are told at once to come back.
const MOST_WAITING: usize = 80;
/// Who is sent away comes back at the earliest after this, and within as long again for each full queue.
const COME_BACK: Duration = Duration::from_secs(4);

/// What becomes of one that wants to be let in.
pub(crate) enum Admitted {
    Now,
    Queued,
    /// So many wait already.
    No(usize),
}

/// Lets watchers in by tokens.
pub(crate) struct Admission {
    tokens: TokenBucket,
    waiting: VecDeque<ConnectionId>,
    /// Those sent away lately, whose return is spread.
    sent_away: TokenBucket,
}

impl Admission {
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: TokenBucket::new(PER_SECOND, AT_ONCE, now),
            waiting: VecDeque::new(),
            sent_away: TokenBucket::new(PER_SECOND, 1.0, now),
        }
    }

    pub fn ask(&mut self, now: Duration, id: ConnectionId) -> Admitted {
        if self.waiting.is_empty() && self.tokens.try_spend_one(now) {
            return Admitted::Now;
        }
        if self.waiting.len() >= MOST_WAITING {
            return Admitted::No(self.waiting.len());
        }
        self.waiting.push_back(id);
        Admitted::Queued
    }

    /// The next one that waits, if it may come in now.
    pub fn next(&mut self, now: Duration) -> Option<ConnectionId> {
        if self.waiting.is_empty() || !self.tokens.try_spend_one(now) {
            return None;
        }
        self.waiting.pop_front()
    }

    pub fn forget(&mut self, id: ConnectionId) {
        self.waiting.retain(|held| *held != id);
    }

    /// When one that is sent away is to come back: in its turn behind those sent away before it, and by chance, so that they
    /// don't come back together.
    pub fn retry_after(&mut self, now: Duration, chance: &mut Rng) -> Duration {
        self.sent_away.spend(now, 1.0);
        let turn = self.sent_away.next_at(now).saturating_sub(now);
        COME_BACK + turn + chance.random_duration(COME_BACK)
    }
}
