//! What controllers count of themselves, merged.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::plan::Member;

/// Counts of one room type; each only grows while a controller lives. Sums of benefit are in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// Requests that came to their final answer.
    pub asked: u64,
    pub throttled: u64,
    pub terminated: u64,
    /// Answers that came after the join objective.
    pub late: u64,
    /// Joins that were sent, and those that were lost.
    pub joins: u64,
    pub lost: u64,
    /// Benefit that those who played could have had, and did have.
    pub offered: u64,
    pub served: u64,
}

impl Counted {
    fn all(&self) -> [u64; 8] {
        let Self { asked, throttled, terminated, late, joins, lost, offered, served } = *self;
        [asked, throttled, terminated, late, joins, lost, offered, served]
    }

    fn of(all: [u64; 8]) -> Self {
        let [asked, throttled, terminated, late, joins, lost, offered, served] = all;
        Self { asked, throttled, terminated, late, joins, lost, offered, served }
    }

    fn with(&self, other: &Self, each: fn(u64, u64) -> u64) -> Self {
        let mut all = self.all();
        all.iter_mut().zip(other.all()).for_each(|(one, other)| *one = each(*one, other));
        Self::of(all)
    }

    pub fn plus(&self, other: &Self) -> Self {
        self.with(other, u64::saturating_add)
    }

    /// What came since an earlier count.
    pub fn since(&self, earlier: &Self) -> Self {
        self.with(earlier, u64::saturating_sub)
    }

    /// Whether no part is over the whole that it is of.
    fn fits(&self) -> bool {
        self.throttled.saturating_add(self.terminated) <= self.asked
            && self.late <= self.asked
            && self.lost <= self.joins
            && self.served <= self.offered
    }
}

/// A controller's report of its counts, since its process began, by room type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountReport {
    pub life: u32,
    pub by_room_type: Vec<Counted>,
}

/// Why a report is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportFault {
    #[error("a part is more than the whole that it is of")]
    Parts,
    #[error("it has {0} room types; {1} at most are taken")]
    RoomTypes(usize, usize),
    #[error("it asks for more in that time than a controller can serve")]
    TooMany,
}

/// Room types at most: a report with all of them fits a datagram of the gossip's.
const MAX_ROOM_TYPES: usize = 16;

/// What is held of one member.
#[derive(Clone, Debug, Default)]
struct MemberCounts {
    life: u32,
    /// Of lives before this one.
    before: Vec<Counted>,
    now: Vec<Counted>,
    /// When its present life was first heard of.
    since: Duration,
}

/// The counts of all, as far as they were reported. Reports that are late, doubled or lost change nothing but how fresh it is:
/// within a life counts only grow, and a later life's begin anew.
#[derive(Clone, Debug, Default)]
pub struct CountLog {
    all: BTreeMap<Member, MemberCounts>,
    /// Requests a second that a controller can serve at most.
    max_requests_per_s: f64,
}

impl CountLog {
    /// `max_requests_per_s` bounds what one controller can claim to have served in a second: a liar's weight is bounded by it.
    pub fn new(max_requests_per_s: f64) -> Self {
        Self { all: BTreeMap::new(), max_requests_per_s }
    }

    /// Takes a report.
    ///
    /// # Errors
    /// Where it can't be true; nothing has changed then.
    pub fn take(&mut self, now: Duration, by: Member, report: &CountReport) -> Result<(), ReportFault> {
        if report.by_room_type.len() > MAX_ROOM_TYPES {
            return Err(ReportFault::RoomTypes(report.by_room_type.len(), MAX_ROOM_TYPES));
        }
        if !report.by_room_type.iter().all(Counted::fits) {
            return Err(ReportFault::Parts);
        }
        let fresh = MemberCounts { life: report.life, since: now, ..MemberCounts::default() };
        let entry = self.all.entry(by).or_insert(fresh);
        if report.life < entry.life {
            return Ok(());
        }
        if report.life > entry.life {
            let ended = std::mem::take(&mut entry.now);
            add(&mut entry.before, &ended);
            (entry.life, entry.since) = (report.life, now);
        }
        let asked: u64 = report.by_room_type.iter().map(|counted| counted.asked).sum();
        let known: u64 = entry.now.iter().map(|counted| counted.asked).sum();
        // What it had before it was first heard of is not counted against it: only the growth since.
        let span = now.saturating_sub(entry.since).as_secs_f64() + 10.0;
        if !entry.now.is_empty() && asked.saturating_sub(known) as f64 > self.max_requests_per_s * span {
            return Err(ReportFault::TooMany);
        }
        for (n, counted) in report.by_room_type.iter().enumerate() {
            match entry.now.get_mut(n) {
                Some(held) => *held = held.with(counted, u64::max),
                None => entry.now.push(*counted),
            }
        }
        Ok(())
    }

    /// All that a member counted, over its lives.
    pub fn of(&self, member: Member) -> Vec<Counted> {
        let Some(entry) = self.all.get(&member) else { return Vec::new() };
        let mut whole = entry.before.clone();
        add(&mut whole, &entry.now);
        whole
    }

    /// The life that a member is in: one that changes often is in a crash loop.
    pub fn life(&self, member: Member) -> Option<u32> {
        self.all.get(&member).map(|entry| entry.life)
    }
}

fn add(to: &mut Vec<Counted>, more: &[Counted]) {
    to.resize(to.len().max(more.len()), Counted::default());
    to.iter_mut().zip(more).for_each(|(one, more)| *one = one.plus(more));
}
