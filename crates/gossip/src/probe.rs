//! Whom to probe, and what has come of it (SWIM section 4.3: a round-robin in an order drawn anew each time).

use std::time::Duration;

use badgerledge_core::chance::Chance;

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

/// A probe on another's behalf.
#[derive(Clone, Debug)]
pub struct Errand {
    pub number: u16,
    pub target: Member,
    pub asker: Member,
    pub asker_number: u16,
    pub nack_at: Duration,
}

/// Errands at a time: more than honest members ask for while half of them are dead; of more, nothing is done.
const ERRANDS: usize = 64;

/// The order of probes.
#[derive(Default)]
pub struct Probes {
    order: Vec<Member>,
    pub out: Option<Probe>,
    errands: Vec<Errand>,
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
        chance: &mut Chance,
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
    pub fn insert(&mut self, member: Member, chance: &mut Chance) {
        if !self.order.contains(&member) {
            let at = (chance.share() * (self.order.len() + 1) as f64) as usize;
            self.order.insert(at.min(self.order.len()), member);
        }
    }

    pub fn take_errand(&mut self, errand: Errand) -> bool {
        let room = self.errands.len() < ERRANDS;
        if room {
            self.errands.push(errand);
        }
        room
    }

    /// The errand that an answer belongs to.
    pub fn errand_done(&mut self, target: Member, number: u16) -> Option<Errand> {
        let at = self.errands.iter().position(|errand| errand.target == target && errand.number == number)?;
        Some(self.errands.swap_remove(at))
    }

    /// Errands whose time is over without an answer.
    pub fn errands_over(&mut self, now: Duration) -> Vec<Errand> {
        let (over, rest) =
            std::mem::take(&mut self.errands).into_iter().partition(|errand| errand.nack_at <= now);
        self.errands = rest;
        over
    }

    pub fn next_due(&self) -> Option<Duration> {
        let probe =
            self.out
                .as_ref()
                .map(|probe| if probe.asked || probe.answered { probe.over_at } else { probe.ask_at });
        self.errands.iter().map(|errand| errand.nack_at).chain(probe).min()
    }
}

/// In an order drawn by chance (Fisher and Yates).
pub fn shuffle(members: &mut [Member], chance: &mut Chance) {
    for last in (1..members.len()).rev() {
        let other = (chance.share() * (last + 1) as f64) as usize;
        members.swap(last, other.min(last));
    }
}
