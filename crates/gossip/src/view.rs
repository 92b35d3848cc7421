//! Who is alive: what this member holds of each other. No time-out is set here but that of a suspicion, and no
//! statement comes in here whose signature was not checked.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::statement::{life_of, Accusation, Claim, Record, Signature, Statement};
use crate::Member;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl MemberState {
    /// Whether it is probed and told of things.
    pub fn takes_part(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A suspicion lasts so many probe periods for each factor of ten in the number of members, when enough have
/// accused: the time in which a refutation reaches all of them several times over (Lifeguard, section 4.2).
const SUSPICION_PERIODS: f64 = 4.0;
/// And so many times that, while a single member accuses.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Accusers after whom it is shortest.
const ACCUSERS: usize = 3;
/// The probe period.
pub const PERIOD: Duration = Duration::from_secs(1);
/// An accuser whose accusations were refuted is not heard, alone, for so long after the first; twice as long after
/// each further one. A member behind a bad link accuses a few by mistake; a liar over and over.
const MUTED_FOR: Duration = Duration::from_secs(2);
/// Doublings at most: a member that was cut off for long is heard again within some minutes.
const MAX_DOUBLINGS: u32 = 7;
/// So many mistakes are free: each split and each stall makes some.
const FREE_MISTAKES: u32 = 3;
/// A mistake is forgiven after so long without another.
const FORGIVEN_AFTER: Duration = Duration::from_secs(30);

/// What is held of one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Known {
    pub record: Record,
    /// Signatures are kept with what they sign, for passing it on.
    signature: Signature,
    pub state: MemberState,
    /// Who accuses it at this incarnation, the first one's statement first.
    accusations: Vec<(Accusation, Signature)>,
    since: Duration,
    /// When it was heard itself.
    heard: Duration,
}

impl Known {
    /// How long its suspicion lasts, from the start of it.
    fn lasts(&self, least: Duration) -> Duration {
        let accusers = self.accusations.len().clamp(1, ACCUSERS) as f64;
        // Shortened by the logarithm of the accusers: the first that confirms tells most.
        let left = 1.0 - accusers.ln() / (ACCUSERS as f64).ln();
        least + least.mul_f64((MAX_SUSPICION_FACTOR - 1.0) * left)
    }
}

/// How often an accuser was refuted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Mistakes {
    count: u32,
    last: Duration,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Nothing,
    /// A member that was not known, or one that left or died and is back.
    Joined,
    /// A member cleared itself of a suspicion.
    Refuted,
    /// A later record of one that nobody suspects.
    Renewed,
    Left,
    Suspected,
    /// One more accuser of one that is suspect.
    Confirmed,
    /// This member itself is accused, or spoken of as of a later life: it has to say that it is alive.
    Accused,
}

/// All that this member holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct View {
    me: Member,
    known: BTreeMap<Member, Known>,
    mistakes: BTreeMap<Member, Mistakes>,
    /// Members of the ring.
    expected: usize,
}

impl View {
    pub fn new(me: Member) -> Self {
        Self { me, known: BTreeMap::new(), mistakes: BTreeMap::new(), expected: 1 }
    }

    /// How many members the ring has: where many start at once each knows few of them at first, and a refutation
    /// takes the time of all.
    pub fn expect(&mut self, members: usize) {
        self.expected = members.max(1);
    }

    pub fn get(&self, member: Member) -> Option<&Known> {
        self.known.get(&member)
    }

    pub fn members(&self) -> impl Iterator<Item = (Member, &Known)> + '_ {
        self.known.iter().map(|(member, known)| (*member, known))
    }

    pub fn state_of(&self, member: Member) -> Option<MemberState> {
        self.known.get(&member).map(|known| known.state)
    }

    /// Members that take part, this one too.
    pub fn taking_part(&self) -> usize {
        self.known.values().filter(|known| known.state.takes_part()).count().max(1)
    }

    /// Takes what a member says of itself.
    pub fn record(&mut self, now: Duration, record: Record, signature: &Signature) -> Change {
        let state = if record.left { MemberState::Left } else { MemberState::Alive };
        let fresh = || Known {
            record,
            signature: *signature,
            state,
            accusations: Vec::new(),
            since: now,
            heard: Duration::ZERO,
        };
        let Some(known) = self.known.get_mut(&record.subject) else {
            self.known.insert(record.subject, fresh());
            return if record.left { Change::Left } else { Change::Joined };
        };
        // At one incarnation a member that has left stays so: it says so last.
        let later = (record.incarnation, record.left) > (known.record.incarnation, known.record.left);
        if !later {
            return Change::Nothing;
        }
        let before = std::mem::replace(known, fresh());
        // One that was born anew had died: who said so was right.
        let same_life = life_of(before.record.incarnation) == life_of(record.incarnation);
        if !record.left && same_life {
            before.accusations.iter().for_each(|(accusation, _)| self.mistaken(now, accusation.author));
        }
        match (before.state, state) {
            (_, MemberState::Left) => Change::Left,
            (MemberState::Suspect, _) => Change::Refuted,
            // Others may hold it for dead as this one did: as urgent as any refutation.
            (MemberState::Dead, _) if same_life => Change::Refuted,
            (MemberState::Dead | MemberState::Left, _) => Change::Joined,
            (MemberState::Alive, _) => Change::Renewed,
        }
    }

    /// Takes what one member says against another.
    pub fn accuse(&mut self, now: Duration, accusation: Accusation, signature: &Signature) -> Change {
        let muted = self.is_muted(now, accusation.author);
        let Some(known) = self.known.get_mut(&accusation.subject) else { return Change::Nothing };
        // Of an incarnation not yet known here nothing can be said: its record comes by anti-entropy.
        if accusation.incarnation != known.record.incarnation || accusation.author == accusation.subject {
            return Change::Nothing;
        }
        if accusation.subject == self.me {
            return Change::Accused;
        }
        let told = known.accusations.iter().any(|(told, _)| told.author == accusation.author);
        match known.state {
            MemberState::Alive if !told => {
                known.accusations.push((accusation, *signature));
                // Two members are heard together that are not heard alone.
                if muted && known.accusations.len() < 2 {
                    return Change::Nothing;
                }
                (known.state, known.since) = (MemberState::Suspect, now);
                Change::Suspected
            }
            MemberState::Suspect if !told && known.accusations.len() < ACCUSERS => {
                known.accusations.push((accusation, *signature));
                Change::Confirmed
            }
            _ => Change::Nothing,
        }
    }

    /// Whether an accusation may change anything here.
    pub fn could_change(&self, accusation: &Accusation) -> bool {
        self.known.get(&accusation.subject).is_some_and(|known| {
            accusation.incarnation == known.record.incarnation
                && match known.state {
                    MemberState::Alive | MemberState::Suspect => {
                        known.accusations.len() < ACCUSERS
                            && known.accusations.iter().all(|(told, _)| told.author != accusation.author)
                    }
                    MemberState::Dead | MemberState::Left => false,
                }
        })
    }

    fn mistaken(&mut self, now: Duration, author: Member) {
        let mistakes = self.mistakes.entry(author).or_default();
        let forgiven = (now.saturating_sub(mistakes.last).as_secs() / FORGIVEN_AFTER.as_secs()) as u32;
        mistakes.count = mistakes.count.saturating_sub(forgiven) + 1;
        mistakes.last = now;
    }

    /// Whether a member's accusations begin no suspicion for now. A liar costs each member that it accuses one
    /// refutation in ever longer times; what two others accuse is heard whatever it says.
    fn is_muted(&self, now: Duration, author: Member) -> bool {
        let Some(mistakes) = self.mistakes.get(&author).filter(|_| author != self.me) else { return false };
        let Some(over) = mistakes.count.checked_sub(FREE_MISTAKES + 1) else { return false };
        now < mistakes.last + MUTED_FOR * (1 << over.min(MAX_DOUBLINGS))
    }

    /// The shortest suspicion in a ring of this size.
    fn least(&self) -> Duration {
        PERIOD.mul_f64(SUSPICION_PERIODS * (self.expected as f64).log10().max(1.0))
    }

    /// When the next suspicion ends.
    pub fn next_end(&self) -> Option<Duration> {
        let mut suspects = self.known.values().filter(|known| known.state == MemberState::Suspect).peekable();
        suspects.peek()?;
        let least = self.least();
        suspects.map(|known| known.since + known.lasts(least)).min()
    }

    /// Notes that a member was heard itself, in a datagram that it signed and that never came before: while it is
    /// suspect that is as good as a refutation, though only here.
    pub fn heard(&mut self, now: Duration, member: Member) {
        self.known.entry(member).and_modify(|known| known.heard = now);
    }

    /// Takes suspects whose time is over for dead, but for those that were heard meanwhile.
    pub fn end_suspicions(&mut self, now: Duration) -> Vec<Member> {
        if self.next_end().is_none_or(|end| end > now) {
            return Vec::new();
        }
        let least = self.least();
        let over = |(member, known): (&Member, &Known)| {
            let ends = known.state == MemberState::Suspect && known.since + known.lasts(least) <= now;
            ends.then_some(*member)
        };
        let dead: Vec<Member> = self.known.iter().filter_map(over).collect();
        dead.into_iter().filter(|member| self.end_suspicion(*member, now)).collect()
    }

    /// Takes one suspect for dead, or where it was heard meanwhile for alive. Tells whether it is dead.
    pub fn end_suspicion(&mut self, member: Member, now: Duration) -> bool {
        let suspect = self.known.get_mut(&member).filter(|known| known.state == MemberState::Suspect);
        let Some(known) = suspect else { return false };
        let dead = known.heard <= known.since;
        known.state = if dead { MemberState::Dead } else { MemberState::Alive };
        if !dead {
            known.accusations.clear();
        }
        known.since = now;
        dead
    }

    /// Suspicions last longer by the time that this member itself stood still: refutations wait in its buffers.
    pub fn stood_still(&mut self, late: Duration) {
        for known in self.known.values_mut().filter(|known| known.state == MemberState::Suspect) {
            known.since += late;
        }
    }

    /// What is held of a member, to be passed on: its record, or where it is accused, that.
    pub fn statements(&self, member: Member) -> Vec<Statement> {
        let Some(known) = self.known.get(&member) else { return Vec::new() };
        let record = Statement { claim: Claim::Record(known.record), signature: known.signature };
        let first = known.accusations.first();
        let accusation =
            first.map(|(claim, by)| Statement { claim: Claim::Accusation(*claim), signature: *by });
        std::iter::once(record).chain(accusation).collect()
    }

    /// A byte that is alike where two members hold the same of a third; 0 where nothing is held.
    /// The salt is another each time, so that two that differ are not taken for alike for long.
    pub fn digest(&self, member: Member, salt: u8) -> u8 {
        let Some(known) = self.known.get(&member) else { return 0 };
        let accused = matches!(known.state, MemberState::Suspect | MemberState::Dead);
        let held = known.record.incarnation << 2 | u64::from(known.record.left) << 1 | u64::from(accused);
        let mix = (held ^ u64::from(salt) << 56).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mix = (mix ^ mix >> 32).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mix >> 56) as u8 | 1
    }

    /// Drops a member whose keys hold no more, and what it said against others.
    pub fn forget(&mut self, member: Member) {
        self.known.remove(&member);
        self.mistakes.remove(&member);
        for known in self.known.values_mut() {
            known.accusations.retain(|(accusation, _)| accusation.author != member);
            if known.accusations.is_empty() && known.state == MemberState::Suspect {
                known.state = MemberState::Alive;
            }
        }
    }
}
