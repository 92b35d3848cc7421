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

/// A controller's word on its counts, since its process began, by room type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    pub life: u32,
    pub by_room_type: Vec<Counted>,
}

/// Why a word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unlikely {
    #[error("a part is more than the whole that it is of")]
    Parts,
    #[error("it has {0} room types; {1} at most are taken")]
    RoomTypes(usize, usize),
    #[error("it asks for more in that time than a controller can serve")]
    TooMany,
}

/// Room types at most: a word with all of them fits a datagram of the gossip's.
const ROOM_TYPES: usize = 16;

#[derive(Clone, Debug, Default)]
struct One {
    life: u32,
    /// Of lives before this one.
    before: Vec<Counted>,
    now: Vec<Counted>,
    /// When its present life was first heard of.
    since: Duration,
}

/// The counts of all, as far as they were heard. Words that are late, doubled or lost change nothing but how fresh it is:
/// within a life counts only grow, and a later life's begin anew.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    all: BTreeMap<Member, One>,
    /// Requests a second that a controller can serve at most.
    most: f64,
}

impl Heard {
    /// `most` bounds what one controller can claim to have served in a second: a liar's weight is bounded by it.
    pub fn new(most: f64) -> Self {
        Self { all: BTreeMap::new(), most }
    }

    /// Takes a word.
    ///
    /// # Errors
    /// Where it can't be true; nothing has changed then.
    pub fn take(&mut self, now: Duration, by: Member, said: &Said) -> Result<(), Unlikely> {
        if said.by_room_type.len() > ROOM_TYPES {
            return Err(Unlikely::RoomTypes(said.by_room_type.len(), ROOM_TYPES));
        }
        if !said.by_room_type.iter().all(Counted::fits) {
            return Err(Unlikely::Parts);
        }
        let fresh = One { life: said.life, since: now, ..One::default() };
        let one = self.all.entry(by).or_insert(fresh);
        if said.life < one.life {
            return Ok(());
        }
        if said.life > one.life {
            let ended = std::mem::take(&mut one.now);
            add(&mut one.before, &ended);
            (one.life, one.since) = (said.life, now);
        }
        let asked: u64 = said.by_room_type.iter().map(|counted| counted.asked).sum();
        let known: u64 = one.now.iter().map(|counted| counted.asked).sum();
        // What it had before it was first heard of is not counted against it: only the growth since.
        let span = now.saturating_sub(one.since).as_secs_f64() + 10.0;
        if !one.now.is_empty() && asked.saturating_sub(known) as f64 > self.most * span {
            return Err(Unlikely::TooMany);
        }
        for (n, counted) in said.by_room_type.iter().enumerate() {
            match one.now.get_mut(n) {
                Some(held) => *held = held.with(counted, u64::max),
                None => one.now.push(*counted),
            }
        }
        Ok(())
    }

    /// All that a member counted, over its lives.
    pub fn of(&self, member: Member) -> Vec<Counted> {
        let Some(one) = self.all.get(&member) else { return Vec::new() };
        let mut whole = one.before.clone();
        add(&mut whole, &one.now);
        whole
    }

    /// The life that a member is in: one that changes often is in a crash loop.
    pub fn life(&self, member: Member) -> Option<u32> {
        self.all.get(&member).map(|one| one.life)
    }
}

fn add(to: &mut Vec<Counted>, more: &[Counted]) {
    to.resize(to.len().max(more.len()), Counted::default());
    to.iter_mut().zip(more).for_each(|(one, more)| *one = one.plus(more));
}
