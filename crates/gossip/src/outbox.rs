//! Statements that wait to be passed on, in a bounded queue: refutations before news, and of each what was sent least
//! first. Repeats, which are answers to a comparison, do not wait here: they go when the ceiling spares them, or never.

use std::time::Duration;

use crate::statement::{Claim, Statement};
use crate::Member;

/// How urgent a statement is; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It clears a member that others hold for suspect or dead.
    Refutation,
    News,
}

struct Waiting {
    statement: Statement,
    rank: Rank,
    sent: u32,
    /// When what it says was seen, for its age.
    seen: Duration,
}

/// Statements that wait at most; of more, the one that was sent most and matters least goes.
const MAX_WAITING: usize = 512;
/// News are passed on so often for every factor of ten in the number of members: few miss them, and comparing mends
/// that (SWIM section 4.1 uses a multiple of the logarithm).
const NEWS_TIMES: f64 = 2.0;
/// Refutations twice as often: one that is missed ends in a false death.
const REFUTATION_TIMES: f64 = 4.0;

impl Rank {
    fn times(self) -> f64 {
        match self {
            Rank::Refutation => REFUTATION_TIMES,
            Rank::News => NEWS_TIMES,
        }
    }
}

#[derive(Default)]
pub struct Outbox {
    waiting: Vec<Waiting>,
}

/// What a statement is about: a later one takes the place of the one before.
fn about(claim: &Claim) -> (u8, Member, Member) {
    match claim {
        Claim::Record(record) => (0, record.subject, 0),
        Claim::Accusation(accusation) => (1, accusation.subject, accusation.author),
        Claim::Bulletin(bulletin) => (2, bulletin.author, 0),
    }
}

impl Outbox {
    pub fn put(&mut self, statement: Statement, rank: Rank, seen: Duration) {
        let about_it = about(&statement.claim);
        if let Claim::Record(record) = &statement.claim {
            // What was said against an earlier incarnation is answered.
            self.waiting.retain(|w| {
                !matches!(&w.statement.claim, Claim::Accusation(a)
                if a.subject == record.subject && a.incarnation < record.incarnation)
            });
        }
        let same = |w: &Waiting| about(&w.statement.claim) == about_it;
        if self.waiting.iter().any(|w| same(w) && w.statement == statement && w.rank <= rank) {
            return;
        }
        self.waiting.retain(|w| !same(w));
        if self.waiting.len() >= MAX_WAITING {
            let last = (0..MAX_WAITING).max_by_key(|at| (self.waiting[*at].rank, self.waiting[*at].sent));
            last.map(|at| self.waiting.swap_remove(at));
        }
        self.waiting.push(Waiting { statement, rank, sent: 0, seen });
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops all that these members said: their keys hold no more.
    pub fn forget(&mut self, author: Member) {
        self.waiting.retain(|w| w.statement.claim.author() != author);
    }

    /// Fills a datagram with what is most urgent and was sent least, as far as there is room.
    pub fn fill(&mut self, now: Duration, members: usize, room: usize, out: &mut Vec<u8>) {
        let tens = (members as f64 + 1.0).log10().max(1.0);
        let end = out.len() + room;
        let mut put: Vec<usize> = Vec::new();
        while end.saturating_sub(out.len()) >= MIN_STATEMENT_BYTES {
            let left = end - out.len();
            let fits = |at: &usize| self.waiting[*at].statement.size() <= left && !put.contains(at);
            let first = |at: &usize| (self.waiting[*at].rank, self.waiting[*at].sent);
            let Some(at) = (0..self.waiting.len()).filter(fits).min_by_key(first) else { break };
            let waiting = &mut self.waiting[at];
            waiting.statement.write(now.saturating_sub(waiting.seen), out);
            waiting.sent += 1;
            put.push(at);
        }
        self.waiting.retain(|waiting| f64::from(waiting.sent) < waiting.rank.times() * tens);
    }
}

/// Bytes of the shortest statement.
const MIN_STATEMENT_BYTES: usize = 75;
