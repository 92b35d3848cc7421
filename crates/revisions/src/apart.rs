//! Relay leases: how long a member that is cut off from the keepers may go on vouching for what it acts on, and how long
//! an exclusive revision waits for it at most. Off unless [`Revisions::set_apart`] was called. Why it is safe:
//! `docs/distribution.md`, "Regions apart".
//!
//! Each member holds a long lease from a quorum of keepers, renewed with its ordinary requests. A keeper allows an
//! exclusive revision only once each member has acknowledged it or its relay lease is over; a member vouches for an older
//! revision only while it holds a quorum of these leases and has acknowledged no exclusive one after it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::lease::with_drift;
use crate::member::{Given, Revisions};
use crate::word::{Position, Word};
use crate::{quorum, Hand, Keeper, Member, Number};

/// Revisions known to be exclusive that are kept one by one; what comes after so many counts as exclusive.
const MOST_EXCLUSIVE: usize = 16_384;

/// What a keeper knows of a member's relay lease.
#[derive(Clone, Copy, Debug)]
struct RelayRecord {
    /// The member's life that asked last: whatever an earlier one was granted died with it.
    life: u32,
    /// When this keeper granted last; nothing if never in that life.
    granted_at: Option<Duration>,
    /// The highest revision that this life said to have prepared, with its request.
    acknowledged: Number,
}

/// The state of relay leases, of a keeper and of a member.
#[derive(Debug)]
pub(crate) struct Apart {
    /// How long a relay lease lasts.
    term: Duration,
    /// Since when this keeper knows what it granted: before that it may have granted to anyone.
    born: Duration,
    granted: BTreeMap<Member, RelayRecord>,
    /// Until when this member's relay lease of each keeper lasts.
    held: BTreeMap<Member, Duration>,
    /// Exclusive revisions above the one that is acted on.
    exclusive: BTreeSet<Number>,
    /// Revisions up to this one were judged; later ones count as exclusive.
    judged: Number,
    /// The highest revision that this member told a keeper to have prepared.
    acknowledged: Number,
    /// Up to which revision each keeper would allow all, as far as it has said.
    able: BTreeMap<Member, Number>,
}

impl Apart {
    pub(crate) fn new(now: Duration, term: Duration, judged: Number) -> Self {
        Self {
            term,
            born: now,
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
            exclusive: (judged > 0).then_some(judged).into_iter().collect(),
            judged,
            acknowledged: 0,
            able: BTreeMap::new(),
        }
    }

    pub(crate) fn judge(&mut self, number: Number, exclusive: bool, active: Number) {
        if number <= self.judged {
            return;
        }
        self.exclusive = self.exclusive.split_off(&active.saturating_add(1));
        if self.exclusive.len() >= MOST_EXCLUSIVE {
            return;
        }
        let skipped = self.judged + 1;
        if skipped < number {
            self.exclusive.extend([skipped, number]);
        } else if exclusive {
            self.exclusive.insert(number);
        }
        self.judged = number;
    }

    /// The highest exclusive revision above one and up to another.
    pub(crate) fn highest_exclusive(&self, above: Number, up_to: Number) -> Option<Number> {
        if up_to <= above {
            return None;
        }
        if up_to > self.judged {
            return Some(up_to);
        }
        self.exclusive.range(above + 1..=up_to).next_back().copied()
    }

    /// When a member's relay lease of this keeper is over at the latest, if it is waited for.
    pub(crate) fn waits_until(&self, member: Member, exclusive: Number) -> Option<Duration> {
        let over = |granted_at: Duration| granted_at + with_drift(self.term);
        match self.granted.get(&member) {
            None => Some(over(self.born)),
            Some(record) if record.acknowledged >= exclusive => None,
            Some(record) => record.granted_at.map(over),
        }
    }

    /// A member's request: tells whether it is granted.
    pub(crate) fn asked(
        &mut self, now: Duration, from: Member, (life, prepared): (u32, Number), pending: Option<Number>,
    ) -> bool {
        let born = self.born;
        let first = || RelayRecord { life, granted_at: Some(born), acknowledged: 0 };
        let record = self.granted.entry(from).or_insert_with(first);
        if life < record.life {
            return false;
        }
        if life > record.life {
            *record = RelayRecord { life, granted_at: None, acknowledged: 0 };
        }
        record.acknowledged = record.acknowledged.max(prepared);
        let granted = pending.is_none_or(|exclusive| record.acknowledged >= exclusive);
        if granted {
            record.granted_at = Some(now);
        }
        granted
    }
}

/// The life that numbered a request.
fn life_of(nonce: u64) -> u32 {
    (nonce >> 32) as u32
}

impl<H: Hand> Revisions<H> {
    /// From now on relay leases of this length are asked for and granted, and exclusive revisions wait for them. What is
    /// known of revisions up to `judged` is nothing: they count as exclusive.
    pub fn set_apart(&mut self, now: Duration, term: Duration, judged: Number) {
        self.apart = (term > Duration::ZERO).then(|| Apart::new(now, term, judged));
    }

    /// The ring names other keepers: what was granted and able before says nothing of quorums of these.
    pub fn keepers_changed(&mut self, now: Duration) {
        if let Some(apart) = &mut self.apart {
            (apart.born, apart.granted, apart.able) = (now, BTreeMap::new(), BTreeMap::new());
        }
    }

    /// Whether a certified revision changes what must not be acted on in both ways at once. To be told of each revision in
    /// order, before this member says to have it; one that was left out counts as exclusive.
    pub fn judge(&mut self, number: Number, exclusive: bool) {
        let active = self.active;
        if let Some(apart) = &mut self.apart {
            apart.judge(number, exclusive, active);
        }
    }

    /// The revision that this member may vouch for now, to those who can't reach the keepers.
    pub fn may_vouch(&self, now: Duration) -> Option<Number> {
        let apart = self.apart.as_ref()?;
        let keepers = self.hand.keepers();
        let holds = |keeper: &&Member| apart.held.get(keeper).is_some_and(|until| now < *until);
        let leased = !keepers.is_empty() && keepers.iter().filter(holds).count() >= quorum(keepers.len());
        let superseded = apart.highest_exclusive(self.active, apart.acknowledged).is_some();
        (leased && !superseded).then_some(self.active)
    }

    /// Members whose relay leases the exclusive revisions that are not allowed yet wait for at this keeper, each with how
    /// long that lasts at most.
    pub fn exclusive_waits(&self, now: Duration) -> Vec<(Member, Duration)> {
        let waits = |member: &Member| self.relay_lease_left(now, *member).map(|left| (*member, left));
        self.hand.members().iter().filter_map(waits).collect()
    }

    /// How long an exclusive revision waits for a member's relay lease, at most.
    pub(crate) fn relay_lease_left(&self, now: Duration, member: Member) -> Option<Duration> {
        let exclusive = self.pending_exclusive()?;
        let until = self.apart.as_ref()?.waits_until(member, exclusive)?;
        until.checked_sub(now)
    }

    /// The highest exclusive revision that is certified, and neither acted on nor allowed by this keeper.
    fn pending_exclusive(&self) -> Option<Number> {
        let allowed = self.keeper.as_ref().map_or(0, |keeper| keeper.kept().gone_on).max(self.active);
        self.apart.as_ref()?.highest_exclusive(allowed, self.learned.number())
    }

    /// Whether a quorum of keepers would allow all exclusive revisions up to the highest. A keeper that went on alone would
    /// leave neither the old nor the new revision with a quorum of grants, for as long as the others wait.
    pub(crate) fn keepers_are_able(&mut self, now: Duration, out: &mut Vec<Given>) -> bool {
        let Some(exclusive) = self.pending_exclusive() else { return true };
        let (me, number) = (self.terms.me, self.learned.number());
        let Some(apart) = &mut self.apart else { return true };
        let said = apart.able.insert(me, number);
        if said != Some(number) {
            self.say_able(now, number, out);
        }
        let Some(apart) = &self.apart else { return true };
        let goes = self.learned.top.iter().flat_map(|top| &top.goes);
        let gone_on: BTreeSet<Member> = goes.map(|go| go.keeper).collect();
        let keepers = self.hand.keepers();
        let is_able = |keeper: &&Member| {
            gone_on.contains(keeper) || apart.able.get(keeper).is_some_and(|able| *able >= exclusive)
        };
        keepers.iter().filter(is_able).count() >= quorum(keepers.len())
    }

    fn say_able(&mut self, now: Duration, number: Number, out: &mut Vec<Given>) {
        let me = self.terms.me;
        for keeper in self.hand.keepers().to_vec() {
            if keeper != me {
                self.say(now, keeper, Word::Able { number }, out);
            }
        }
    }

    /// Says again what this keeper would allow, as long as it waits for others.
    pub(crate) fn say_able_again(&mut self, now: Duration, out: &mut Vec<Given>) {
        let (me, number) = (self.terms.me, self.learned.number());
        let able = self.apart.as_ref().and_then(|apart| apart.able.get(&me)) == Some(&number);
        if able && self.pending_exclusive().is_some() {
            self.say_able(now, number, out);
        }
    }

    pub(crate) fn heard_able(&mut self, now: Duration, from: Member, number: Number, out: &mut Vec<Given>) {
        if !self.hand.keepers().contains(&from) {
            return;
        }
        if let Some(apart) = &mut self.apart {
            let able = apart.able.entry(from).or_default();
            *able = number.max(*able);
            self.consider_go(now, out);
        }
    }

    /// Asks keepers for relay leases, with the number of an ordinary request that goes out now as well.
    pub(crate) fn ask_for_relay_leases(
        &mut self, now: Duration, nonce: u64, keepers: &[Member], out: &mut Vec<Given>,
    ) {
        let position = self.position(now);
        let Some(apart) = &mut self.apart else { return };
        if position.has_text {
            apart.acknowledged = apart.acknowledged.max(position.certified);
        }
        for keeper in keepers {
            self.say(now, *keeper, Word::AskRelayLease { nonce, position }, out);
        }
    }

    pub(crate) fn asked_for_relay_lease(
        &mut self, now: Duration, from: Member, nonce: u64, theirs: Position, out: &mut Vec<Given>,
    ) {
        let pending = self.pending_exclusive();
        let known = self.keeper.as_ref().filter(|keeper| !keeper.is_asking()).map(|k| k.kept().gone_on);
        let known = known.filter(|_| self.hand.keepers().contains(&self.terms.me));
        let (Some(gone_on), Some(apart)) = (known, &mut self.apart) else { return };
        let prepared = if theirs.has_text { theirs.certified } else { 0 };
        if gone_on > theirs.active {
            // It does not act on what others may act on: it gets none, and what it has counts on.
            let behind = Some(Number::MAX);
            apart.asked(now, from, (life_of(nonce), prepared), behind);
        } else if apart.asked(now, from, (life_of(nonce), prepared), pending) {
            let for_ms = apart.term.as_millis() as u64;
            self.say(now, from, Word::RelayLease { nonce, gone_on, for_ms }, out);
        }
        self.consider_go(now, out);
    }

    pub(crate) fn heard_relay_lease(&mut self, from: Member, nonce: u64, gone_on: Number, for_ms: u64) {
        let asked_at = self.leases.asked_at(nonce);
        let counts = self.hand.keepers().contains(&from) && gone_on <= self.active;
        let (Some(asked_at), Some(apart)) = (asked_at.filter(|_| counts), &mut self.apart) else { return };
        let until = asked_at + Duration::from_millis(for_ms).min(apart.term);
        let held = apart.held.entry(from).or_insert(until);
        *held = until.max(*held);
    }

    /// Whether a keeper is one that grants relay leases now.
    pub(crate) fn waits_for_relay_lease(&self, now: Duration, member: Member) -> bool {
        self.keeper.as_ref().is_some_and(|keeper: &Keeper| !keeper.is_asking())
            && self.relay_lease_left(now, member).is_some()
    }
}
