//! Bounded queue of statements to be sent to other members: refutations before other statements, and within
//! each rank the least sent first. Answers to a comparison are not queued: they are sent if the byte budget
//! allows, or dropped.

use std::time::Duration;

use crate::statement::{Claim, Statement};
use crate::Member;

/// The urgency of a statement; the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It clears a member that others consider suspect or dead.
    Refutation,
    Normal,
}

struct QueuedStatement {
    statement: Statement,
    rank: Rank,
    times_sent: u32,
    /// When the content was observed, for the age of a bulletin.
    observed_at: Duration,
}

/// Maximum number of queued statements; beyond it the least urgent and most often sent one is dropped.
const MAX_QUEUED: usize = 512;
/// How often a statement is sent, for every factor of ten in the number of members. Few members miss it, and
/// comparisons correct that (SWIM section 4.1 uses a multiple of the logarithm).
const NORMAL_SENDS_PER_DECADE: f64 = 2.0;
/// Refutations are sent twice as often: a member that misses one takes a live member for dead.
const REFUTATION_SENDS_PER_DECADE: f64 = 4.0;

impl Rank {
    fn sends_per_decade(self) -> f64 {
        match self {
            Rank::Refutation => REFUTATION_SENDS_PER_DECADE,
            Rank::Normal => NORMAL_SENDS_PER_DECADE,
        }
    }
}

/// The queue.
#[derive(Default)]
pub struct Outbox {
    queued: Vec<QueuedStatement>,
}

/// Identifies what a statement is about; a later statement replaces an earlier one with the same identity.
fn subject_of(claim: &Claim) -> (u8, Member, Member) {
    match claim {
        Claim::Record(record) => (0, record.subject, 0),
        Claim::Accusation(accusation) => (1, accusation.subject, accusation.author),
        Claim::Bulletin(bulletin) => (2, bulletin.author, 0),
    }
}

impl Outbox {
    /// Queues a statement, replacing an earlier one about the same thing.
    pub fn put(&mut self, statement: Statement, rank: Rank, observed_at: Duration) {
        let subject = subject_of(&statement.claim);
        if let Claim::Record(record) = &statement.claim {
            // The record refutes accusations against earlier incarnations.
            self.queued.retain(|queued| {
                !matches!(&queued.statement.claim, Claim::Accusation(a)
                if a.subject == record.subject && a.incarnation < record.incarnation)
            });
        }
        let is_same_subject = |queued: &QueuedStatement| subject_of(&queued.statement.claim) == subject;
        if self
            .queued
            .iter()
            .any(|queued| is_same_subject(queued) && queued.statement == statement && queued.rank <= rank)
        {
            return;
        }
        self.queued.retain(|queued| !is_same_subject(queued));
        if self.queued.len() >= MAX_QUEUED {
            let evicted = (0..MAX_QUEUED)
                .max_by_key(|index| (self.queued[*index].rank, self.queued[*index].times_sent));
            evicted.map(|index| self.queued.swap_remove(index));
        }
        self.queued.push(QueuedStatement { statement, rank, times_sent: 0, observed_at });
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Drops all statements of a member whose key is no longer valid.
    pub fn forget(&mut self, author: Member) {
        self.queued.retain(|queued| queued.statement.claim.author() != author);
    }

    /// Appends the most urgent and least sent statements to a datagram, as far as `room` allows.
    pub fn fill(&mut self, now: Duration, members: usize, room: usize, out: &mut Vec<u8>) {
        let decades = (members as f64 + 1.0).log10().max(1.0);
        let end = out.len() + room;
        let mut added: Vec<usize> = Vec::new();
        while end.saturating_sub(out.len()) >= MIN_STATEMENT_BYTES {
            let left = end - out.len();
            let fits = |index: &usize| self.queued[*index].statement.size() <= left && !added.contains(index);
            let urgency = |index: &usize| (self.queued[*index].rank, self.queued[*index].times_sent);
            let Some(index) = (0..self.queued.len()).filter(fits).min_by_key(urgency) else { break };
            let queued = &mut self.queued[index];
            queued.statement.write(now.saturating_sub(queued.observed_at), out);
            queued.times_sent += 1;
            added.push(index);
        }
        self.queued.retain(|queued| f64::from(queued.times_sent) < queued.rank.sends_per_decade() * decades);
    }
}

/// Length of the shortest statement.
const MIN_STATEMENT_BYTES: usize = 75;
