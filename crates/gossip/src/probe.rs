//! The order of probes and the state of the current ones (SWIM section 4.3: round-robin in an order shuffled
//! for each round).

use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::Member;

/// A probe that is in progress.
#[derive(Clone, Debug)]
pub struct Probe {
    pub target: Member,
    pub number: u16,
    /// When helpers are asked to probe the member too, and when the probe ends.
    pub ask_helpers_at: Duration,
    pub ends_at: Duration,
    /// Helpers that were asked, and those that reported that they received no answer either.
    pub helpers: Vec<Member>,
    pub nacks: Vec<Member>,
    pub helpers_asked: bool,
    pub answered: bool,
}

/// A probe on behalf of another member (SWIM's ping-req).
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    pub number: u16,
    pub target: Member,
    pub requester: Member,
    pub requester_number: u16,
    pub nack_at: Duration,
}

/// Maximum number of concurrent indirect probes: more than correct members request while half of them are
/// dead. Further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 64;

/// The order of probes, the current probe, and indirect probes for others.
#[derive(Default)]
pub struct Probes {
    order: Vec<Member>,
    pub current: Option<Probe>,
    indirect: Vec<IndirectProbe>,
    number: u16,
}

impl Probes {
    /// A new probe number.
    pub fn next_number(&mut self) -> u16 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// The next member in the order that `is_active` accepts; `members_of_next_round` returns the members of the next round.
    pub fn next_target(
        &mut self, mut is_active: impl FnMut(Member) -> bool,
        members_of_next_round: impl Fn() -> Vec<Member>, rng: &mut Rng,
    ) -> Option<Member> {
        for _ in 0..2 {
            while let Some(member) = self.order.pop() {
                if is_active(member) {
                    return Some(member);
                }
            }
            self.order = members_of_next_round();
            shuffle(&mut self.order, rng);
        }
        None
    }

    /// Inserts a new member at a random position of the current round.
    pub fn insert(&mut self, member: Member, rng: &mut Rng) {
        if !self.order.contains(&member) {
            let position = (rng.unit_interval() * (self.order.len() + 1) as f64) as usize;
            self.order.insert(position.min(self.order.len()), member);
        }
    }

    /// Accepts an indirect probe if there is room. Returns whether it was accepted.
    pub fn add_indirect(&mut self, probe: IndirectProbe) -> bool {
        let has_room = self.indirect.len() < MAX_INDIRECT_PROBES;
        if has_room {
            self.indirect.push(probe);
        }
        has_room
    }

    /// Removes and returns the indirect probe that an answer belongs to.
    pub fn take_answered_indirect(&mut self, target: Member, number: u16) -> Option<IndirectProbe> {
        let index =
            self.indirect.iter().position(|probe| probe.target == target && probe.number == number)?;
        Some(self.indirect.swap_remove(index))
    }

    /// Removes and returns the indirect probes that have expired without an answer.
    pub fn take_expired_indirect(&mut self, now: Duration) -> Vec<IndirectProbe> {
        let (expired, pending) =
            std::mem::take(&mut self.indirect).into_iter().partition(|probe| probe.nack_at <= now);
        self.indirect = pending;
        expired
    }

    /// When the next step of a probe is due.
    pub fn next_due(&self) -> Option<Duration> {
        let own = self.current.as_ref().map(|probe| {
            if probe.helpers_asked || probe.answered {
                probe.ends_at
            } else {
                probe.ask_helpers_at
            }
        });
        self.indirect.iter().map(|indirect| indirect.nack_at).chain(own).min()
    }
}

/// Shuffles the members (Fisher and Yates).
pub fn shuffle(members: &mut [Member], rng: &mut Rng) {
    for last in (1..members.len()).rev() {
        let other = (rng.unit_interval() * (last + 1) as f64) as usize;
        members.swap(last, other.min(last));
    }
}
