//! Leases (Gray and Cheriton, 1989): how long a member may go on acting on a revision that another may take the place
//! of. A member counts from when it asked, a keeper from when it granted; so no clock is compared with another, and
//! only their pace matters.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{quorum, Member, Number};

/// Clocks of two machines differ in pace by less than one in a hundred: far more than any that works.
const DRIFT: u32 = 100;
/// A lease at least: three asks of a second each, of which two may be lost.
const LEAST: Duration = Duration::from_secs(3);
/// A member asks this often in a lease.
pub const ASKS_IN_A_LEASE: u32 = 3;
/// A keeper spends this part of the gossip's ceiling of 5,000 bytes a second on leases, of 112 bytes each with head
/// and signature: the rest is for membership, which must go on during a change.
const GRANTS_A_SECOND: f64 = 5000.0 / 2.0 / 112.0;

/// What a member does that hears no keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regime {
    /// A change waits for each member that is not excused; with none under way no lease is needed.
    Wait,
    /// A member without a lease holds back, so that a change waits for a lease at most.
    Hold,
}

/// How long a lease is among so many members: as short as the keepers' ceiling allows.
pub fn lease_for(members: usize) -> Duration {
    let asks = members as f64 * f64::from(ASKS_IN_A_LEASE);
    Duration::from_secs_f64(asks / GRANTS_A_SECOND).max(LEAST)
}

/// A span on another's clock, at its longest.
pub fn with_drift(span: Duration) -> Duration {
    span + span / DRIFT
}

/// How long two members may act on contradicting revisions at most: whoever acts on the new one does so after a
/// quorum gave the word, and whoever acts on the old one asked a keeper of that quorum before it did, a lease ago at
/// most. `late` is how long what was decided may still take to go out.
pub fn bound(lease: Duration, late: Duration) -> Duration {
    with_drift(lease) + late
}

/// The leases that a member holds.
#[derive(Debug, Default)]
pub struct Held {
    /// When it asked for what each keeper has granted last.
    grants: BTreeMap<Member, Duration>,
    /// When each of the last asks went out.
    asked: BTreeMap<u64, Duration>,
    next: u64,
}

/// Asks that are kept for their answers: more than come in a lease.
const ASKS_KEPT: usize = 8;

impl Held {
    /// Asks are numbered through all lives of a member, so that an answer to an earlier life's is none to this one's.
    pub fn new(life: u32) -> Self {
        Self { next: u64::from(life) << 32, ..Self::default() }
    }

    /// A new ask, by its number.
    pub fn ask(&mut self, now: Duration) -> u64 {
        self.next = self.next.saturating_add(1);
        self.asked.insert(self.next, now);
        while self.asked.len() > ASKS_KEPT {
            self.asked.pop_first();
        }
        self.next
    }

    /// When a request went out, while it is kept.
    pub fn asked_at(&self, nonce: u64) -> Option<Duration> {
        self.asked.get(&nonce).copied()
    }

    /// A keeper's answer, which had given no word to act on anything after what this member acts on.
    pub fn granted(&mut self, keeper: Member, nonce: u64) {
        let Some(at) = self.asked.get(&nonce).copied() else { return };
        let held = self.grants.entry(keeper).or_insert(at);
        *held = at.max(*held);
    }

    /// Whether a keeper has answered something that was asked from that time on.
    pub fn answered_since(&self, keeper: Member, since: Duration) -> bool {
        self.grants.get(&keeper).is_some_and(|asked| *asked >= since)
    }

    /// Until when a quorum of so many keepers has granted.
    pub fn until(&self, keepers: usize, lease: Duration) -> Option<Duration> {
        let mut asked: Vec<Duration> = self.grants.values().copied().collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(quorum(keepers).checked_sub(1)?).map(|at| *at + lease)
    }
}

/// The leases that a keeper has granted.
#[derive(Debug)]
pub struct Granted {
    last: BTreeMap<Member, Duration>,
    /// It may have granted to anyone just before it was born.
    born: Duration,
}

impl Granted {
    pub fn new(now: Duration) -> Self {
        Self { last: BTreeMap::new(), born: now }
    }

    pub fn grant(&mut self, member: Member, now: Duration) {
        self.last.insert(member, now);
    }

    /// Whether all that it granted to a member is over.
    pub fn is_over(&self, member: Member, now: Duration, lease: Duration) -> bool {
        let last = self.last.get(&member).copied().unwrap_or(self.born);
        now > last + with_drift(lease)
    }

    /// What it grants: the word that it has given so far.
    pub fn answer(&mut self, member: Member, now: Duration, gone_on: Number, active: Number) -> Number {
        if gone_on <= active {
            self.grant(member, now);
        }
        gone_on
    }
}
