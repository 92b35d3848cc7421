//! Whom to probe, and what has come of it (SWIM section 4.3: a round-robin in an order drawn anew each time).

use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::Member;

/// A probe that is out.
#[derive(Clone, Debug)]
pub struct Probe {
    pub target: Member,
    pub number: u16,
    /// When others are asked to probe it too, and when it is over.
    pub ask_at: Duration,
    pub over_at: Duration,
    /// Helpers that were asked, and those that said that they had no answer either.
    pub helpers: Vec<Member>,
    pub nacks: Vec<Member>,
    pub asked: bool,
    pub answered: bool,
}

/// A probe on another's behalf (SWIM's ping-req).
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    pub number: u16,
    pub target: Member,
    pub asker: Member,
    pub asker_number: u16,
    pub nack_at: Duration,
}

/// Indirect probes at a time: more than honest members ask for while half of them are dead; of more, nothing is done.
const MAX_INDIRECT_PROBES: usize = 64;

/// The order of probes.
#[derive(Default)]
pub struct Probes {
    order: Vec<Member>,
    pub out: Option<Probe>,
    indirect: Vec<IndirectProbe>,
    number: u16,
}

impl Probes {
    pub fn next_number(&mut self) -> u16 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// The next one in turn of those that take part.
    pub fn next_target(
        &mut self, mut takes_part: impl FnMut(Member) -> bool, all: impl Fn() -> Vec<Member>,
        chance: &mut Rng,
    ) -> Option<Member> {
        for _ in 0..2 {
            while let Some(member) = self.order.pop() {
                if takes_part(member) {
                    return Some(member);
                }
            }
            self.order = all();
            shuffle(&mut self.order, chance);
        }
        None
    }

    /// Puts a member that came new at a random place of this turn.
    pub fn insert(&mut self, member: Member, chance: &mut Rng) {
        if !self.order.contains(&member) {
            let at = (chance.unit_interval() * (self.order.len() + 1) as f64) as usize;
            self.order.insert(at.min(self.order.len()), member);
        }
    }

    /// Takes one on, if there is room. Tells whether it did.
    pub fn add_indirect(&mut self, probe: IndirectProbe) -> bool {
        let room = self.indirect.len() < MAX_INDIRECT_PROBES;
        if room {
            self.indirect.push(probe);
        }
        room
    }

    /// The indirect probe that an answer belongs to, which is then over.
    pub fn take_answered_indirect(&mut self, target: Member, number: u16) -> Option<IndirectProbe> {
        let at = self.indirect.iter().position(|probe| probe.target == target && probe.number == number)?;
        Some(self.indirect.swap_remove(at))
    }

    /// Indirect probes whose time is over without an answer.
    pub fn take_expired_indirect(&mut self, now: Duration) -> Vec<IndirectProbe> {
        let (over, rest) =
            std::mem::take(&mut self.indirect).into_iter().partition(|probe| probe.nack_at <= now);
        self.indirect = rest;
        over
    }

    pub fn next_due(&self) -> Option<Duration> {
        let own =
            self.out
                .as_ref()
                .map(|probe| if probe.asked || probe.answered { probe.over_at } else { probe.ask_at });
        self.indirect.iter().map(|indirect| indirect.nack_at).chain(own).min()
    }
}

/// In an order drawn by chance (Fisher and Yates).
pub fn shuffle(members: &mut [Member], chance: &mut Rng) {
    for last in (1..members.len()).rev() {
        let other = (chance.unit_interval() * (last + 1) as f64) as usize;
        members.swap(last, other.min(last));
    }
}
