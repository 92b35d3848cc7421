//! The membership view: what this member knows of each other. The only timeouts here are those of suspicions;
//! the signatures of statements are verified before they get here.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::statement::{process_incarnation_of, Accusation, Claim, Record, Signature, Statement};
use crate::Member;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl MemberState {
    /// Whether the member is probed and sent statements.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Shortest suspicion in probe periods, for each factor of ten in the number of members: within it a
/// refutation reaches all members several times over (Lifeguard, section 4.2).
const SUSPICION_PERIODS: f64 = 4.0;
/// Factor by which a suspicion is longer while a single member accuses.
const SINGLE_ACCUSER_FACTOR: f64 = 3.0;
/// Number of accusers at which a suspicion is shortest.
const MAX_ACCUSERS: usize = 3;
/// The probe period.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long accusations by a single member are ignored after it was refuted too often; doubled with each
/// further mistake. A member behind a bad link makes a few mistaken accusations, a faulty one makes them
/// continually.
const IGNORE_DURATION: Duration = Duration::from_secs(2);
/// Maximum number of doublings, so that a member that was partitioned for long counts again within minutes.
const MAX_DOUBLINGS: u32 = 7;
/// Number of mistakes without consequence, since each partition and each stall causes some.
const MAX_FREE_MISTAKES: u32 = 3;
/// Time without a mistake after which one is forgiven.
const FORGIVENESS_PERIOD: Duration = Duration::from_secs(30);

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberEntry {
    pub record: Record,
    /// Signatures are kept with what they sign, so that statements can be forwarded.
    signature: Signature,
    pub state: MemberState,
    /// Accusations against the current incarnation, in order of arrival.
    accusations: Vec<(Accusation, Signature)>,
    state_since: Duration,
    /// When a datagram from the member itself last arrived.
    last_heard_at: Duration,
}

impl MemberEntry {
    /// How long its suspicion lasts, counted from its start.
    fn suspicion_duration(&self, shortest: Duration) -> Duration {
        let accusers = self.accusations.len().clamp(1, MAX_ACCUSERS) as f64;
        // Shortened by the logarithm of the number of accusers: the first confirmation has the greatest
        // weight.
        let remaining_fraction = 1.0 - accusers.ln() / (MAX_ACCUSERS as f64).ln();
        shortest + shortest.mul_f64((SINGLE_ACCUSER_FACTOR - 1.0) * remaining_fraction)
    }
}

/// How often accusations of a member were refuted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Mistakes {
    count: u32,
    last: Duration,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Nothing,
    /// A member that was unknown, or that had left or died and is back.
    Joined,
    /// A member refuted a suspicion.
    Refuted,
    /// A later record of a member that is not suspected.
    Renewed,
    Left,
    Suspected,
    /// A further accuser of a suspect.
    Confirmed,
    /// The local member is accused, or a record of it with a later process incarnation exists: it must
    /// announce that it is alive.
    Accused,
}

/// The view of one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct View {
    local_id: Member,
    known: BTreeMap<Member, MemberEntry>,
    mistakes: BTreeMap<Member, Mistakes>,
    /// The number of members of the ring.
    ring_size: usize,
}

impl View {
    /// A view in which no member is known.
    pub fn new(local_id: Member) -> Self {
        Self { local_id, known: BTreeMap::new(), mistakes: BTreeMap::new(), ring_size: 1 }
    }

    /// Sets the number of members of the ring. Where many start at once each knows few of them at first, but
    /// a refutation takes as long as with all of them.
    pub fn set_ring_size(&mut self, members: usize) {
        self.ring_size = members.max(1);
    }

    /// What is known of a member.
    pub fn get(&self, member: Member) -> Option<&MemberEntry> {
        self.known.get(&member)
    }

    /// All known members.
    pub fn members(&self) -> impl Iterator<Item = (Member, &MemberEntry)> + '_ {
        self.known.iter().map(|(member, known)| (*member, known))
    }

    /// The state of a member, if it is known.
    pub fn state_of(&self, member: Member) -> Option<MemberState> {
        self.known.get(&member).map(|known| known.state)
    }

    /// The number of members that are alive or suspected, including the local one.
    pub fn active_count(&self) -> usize {
        self.known.values().filter(|known| known.state.is_active()).count().max(1)
    }

    /// Takes a member's record of itself.
    pub fn record(&mut self, now: Duration, record: Record, signature: &Signature) -> Change {
        let state = if record.left { MemberState::Left } else { MemberState::Alive };
        let new_entry = || MemberEntry {
            record,
            signature: *signature,
            state,
            accusations: Vec::new(),
            state_since: now,
            last_heard_at: Duration::ZERO,
        };
        let Some(known) = self.known.get_mut(&record.subject) else {
            self.known.insert(record.subject, new_entry());
            return if record.left { Change::Left } else { Change::Joined };
        };
        // Leaving is a member's last statement at an incarnation, so it outranks being alive at the same one.
        let is_later = (record.incarnation, record.left) > (known.record.incarnation, known.record.left);
        if !is_later {
            return Change::Nothing;
        }
        let previous = std::mem::replace(known, new_entry());
        // A member with a new process incarnation had died, so its accusers were right.
        let same_process =
            process_incarnation_of(previous.record.incarnation) == process_incarnation_of(record.incarnation);
        if !record.left && same_process {
            previous
                .accusations
                .iter()
                .for_each(|(accusation, _)| self.record_mistake(now, accusation.author));
        }
        match (previous.state, state) {
            (_, MemberState::Left) => Change::Left,
            (MemberState::Suspect, _) => Change::Refuted,
            // Others may take it for dead as well, so its record is as urgent as any refutation.
            (MemberState::Dead, _) if same_process => Change::Refuted,
            (MemberState::Dead | MemberState::Left, _) => Change::Joined,
            (MemberState::Alive, _) => Change::Renewed,
        }
    }

    /// Takes an accusation by one member against another.
    pub fn accuse(&mut self, now: Duration, accusation: Accusation, signature: &Signature) -> Change {
        let is_ignored = self.is_ignored(now, accusation.author);
        let Some(known) = self.known.get_mut(&accusation.subject) else { return Change::Nothing };
        // An accusation against an unknown incarnation is ignored: its record will arrive by anti-entropy.
        if accusation.incarnation != known.record.incarnation || accusation.author == accusation.subject {
            return Change::Nothing;
        }
        if accusation.subject == self.local_id {
            return Change::Accused;
        }
        let already_accused =
            known.accusations.iter().any(|(earlier, _)| earlier.author == accusation.author);
        match known.state {
            MemberState::Alive if !already_accused => {
                known.accusations.push((accusation, *signature));
                // Two accusers count together even if each would be ignored on its own.
                if is_ignored && known.accusations.len() < 2 {
                    return Change::Nothing;
                }
                (known.state, known.state_since) = (MemberState::Suspect, now);
                Change::Suspected
            }
            MemberState::Suspect if !already_accused && known.accusations.len() < MAX_ACCUSERS => {
                known.accusations.push((accusation, *signature));
                Change::Confirmed
            }
            _ => Change::Nothing,
        }
    }

    /// Whether an accusation could change anything here.
    pub fn could_change(&self, accusation: &Accusation) -> bool {
        self.known.get(&accusation.subject).is_some_and(|known| {
            accusation.incarnation == known.record.incarnation
                && match known.state {
                    MemberState::Alive | MemberState::Suspect => {
                        known.accusations.len() < MAX_ACCUSERS
                            && known
                                .accusations
                                .iter()
                                .all(|(earlier, _)| earlier.author != accusation.author)
                    }
                    MemberState::Dead | MemberState::Left => false,
                }
        })
    }

    fn record_mistake(&mut self, now: Duration, author: Member) {
        let mistakes = self.mistakes.entry(author).or_default();
        let forgiven = (now.saturating_sub(mistakes.last).as_secs() / FORGIVENESS_PERIOD.as_secs()) as u32;
        mistakes.count = mistakes.count.saturating_sub(forgiven) + 1;
        mistakes.last = now;
    }

    /// Whether accusations by this member alone are currently ignored. A faulty member can cause each member
    /// that it accuses one refutation, at ever longer intervals; two others that accuse the same member count
    /// regardless.
    fn is_ignored(&self, now: Duration, author: Member) -> bool {
        let Some(mistakes) = self.mistakes.get(&author).filter(|_| author != self.local_id) else {
            return false;
        };
        let Some(doublings) = mistakes.count.checked_sub(MAX_FREE_MISTAKES + 1) else { return false };
        now < mistakes.last + IGNORE_DURATION * (1 << doublings.min(MAX_DOUBLINGS))
    }

    /// The shortest suspicion in a ring of this size.
    fn min_suspicion(&self) -> Duration {
        PROBE_PERIOD.mul_f64(SUSPICION_PERIODS * (self.ring_size as f64).log10().max(1.0))
    }

    /// When the next suspicion expires.
    pub fn next_suspicion_end(&self) -> Option<Duration> {
        let mut suspects = self.known.values().filter(|known| known.state == MemberState::Suspect).peekable();
        suspects.peek()?;
        let min_suspicion = self.min_suspicion();
        suspects.map(|known| known.state_since + known.suspicion_duration(min_suspicion)).min()
    }

    /// Records that a datagram which a member signed itself arrived for the first time. While the member is
    /// suspected this is as good as a refutation, but only locally.
    pub fn record_contact(&mut self, now: Duration, member: Member) {
        self.known.entry(member).and_modify(|known| known.last_heard_at = now);
    }

    /// Ends suspicions that have expired. Returns the members that are now dead; a member that was heard from
    /// meanwhile is alive again.
    pub fn end_suspicions(&mut self, now: Duration) -> Vec<Member> {
        if self.next_suspicion_end().is_none_or(|end| end > now) {
            return Vec::new();
        }
        let min_suspicion = self.min_suspicion();
        let expired = |(member, known): (&Member, &MemberEntry)| {
            let has_expired = known.state == MemberState::Suspect
                && known.state_since + known.suspicion_duration(min_suspicion) <= now;
            has_expired.then_some(*member)
        };
        let dead: Vec<Member> = self.known.iter().filter_map(expired).collect();
        dead.into_iter().filter(|member| self.end_suspicion(*member, now)).collect()
    }

    /// Ends one suspicion: the member is alive if it was heard from meanwhile, and dead otherwise. Returns
    /// whether it is dead.
    pub fn end_suspicion(&mut self, member: Member, now: Duration) -> bool {
        let suspect = self.known.get_mut(&member).filter(|known| known.state == MemberState::Suspect);
        let Some(known) = suspect else { return false };
        let dead = known.last_heard_at <= known.state_since;
        known.state = if dead { MemberState::Dead } else { MemberState::Alive };
        if !dead {
            known.accusations.clear();
        }
        known.state_since = now;
        dead
    }

    /// Extends suspicions by the time for which the local process was stalled: refutations are waiting in its
    /// buffers.
    pub fn extend_suspicions(&mut self, stalled_for: Duration) {
        for known in self.known.values_mut().filter(|known| known.state == MemberState::Suspect) {
            known.state_since += stalled_for;
        }
    }

    /// The statements to forward about a member: its record, and the first accusation against it, if any.
    pub fn statements(&self, member: Member) -> Vec<Statement> {
        let Some(known) = self.known.get(&member) else { return Vec::new() };
        let record = Statement { claim: Claim::Record(known.record), signature: known.signature };
        let first = known.accusations.first();
        let accusation = first
            .map(|(claim, signature)| Statement { claim: Claim::Accusation(*claim), signature: *signature });
        std::iter::once(record).chain(accusation).collect()
    }

    /// A byte that is equal where two members know the same of a third; 0 if nothing is known. The salt
    /// differs each time, so that two states with equal digests are soon distinguished.
    pub fn digest(&self, member: Member, salt: u8) -> u8 {
        let Some(known) = self.known.get(&member) else { return 0 };
        let accused = matches!(known.state, MemberState::Suspect | MemberState::Dead);
        let state = known.record.incarnation << 2 | u64::from(known.record.left) << 1 | u64::from(accused);
        let mix = (state ^ u64::from(salt) << 56).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mix = (mix ^ mix >> 32).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mix >> 56) as u8 | 1
    }

    /// Removes a member whose keys are no longer valid, with its accusations against others.
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
