//! One member: what comes in and what is due, made into datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use badgerledge_core::chance::Chance;

use crate::bucket::Bucket;
use crate::budget::Budget;
use crate::envelope::{self, Fault, Head, ACK, ANYONE, ASK, BODY, DIGEST, LONGEST, NACK, NEWS, PING, WORD};
use crate::health::Health;
use crate::outbox::{Outbox, Rank};
use crate::probe::{shuffle, Errand, Probe, Probes};
use crate::ration::Ration;
use crate::statement::{
    incarnation, life_of, Accusation, Bulletin, Hand, Record, Said, Statement, ITEMS, ITEM_BYTES,
    LAST_INCARNATION, SIGNATURE,
};
use crate::view::{Change, Known, Standing, View, PERIOD};
use crate::window::Window;
use crate::Member;

/// A probed member answers within this on a healthy network, most of the time many times over.
const ANSWERS_WITHIN: Duration = Duration::from_millis(300);
/// Members that are asked to probe one that did not answer (SWIM section 4.1: three make a false alarm rare at ten
/// in a hundred lost).
const HELPERS: usize = 3;
/// A helper says that it has no answer after this part of its own wait.
const NACK_WITHIN: Duration = Duration::from_millis(250);
/// News go to one member drawn by chance this often while there are any: about what the ceiling allows, so that what
/// many have to say at once takes no longer than it must.
const NEWS_EVERY: Duration = Duration::from_millis(40);
/// What is held is compared with one other member's this often; sooner while it differed last time.
const COMPARE_EVERY: Duration = Duration::from_secs(5);
const COMPARE_SOON: Duration = Duration::from_millis(300);
/// Members compared in one datagram: a byte for each.
const SLICE: usize = BODY - 3;
/// Records that one comparison is answered with at most; the next one brings the rest.
const ANSWERED: usize = 16;
/// A member that seems dead, or a seed, is tried again this often, so that a split heals.
const TRY_GONE_EVERY: Duration = Duration::from_secs(3);
/// Seeds are tried this often while nobody is known.
const SEEDS_EVERY: Duration = Duration::from_millis(700);
/// A member of a stale life is told so, so often in a second at most for all of them.
const TOLD_STALE: f64 = 8.0;

/// A member refutes no more often: far sooner than any suspicion ends, and a liar that accuses without end makes it
/// say no more than that.
const REFUTES_EVERY: Duration = Duration::from_secs(1);

/// What a member does to the world.
pub trait Outside {
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]);
}

impl<F: FnMut(SocketAddrV4, &[u8])> Outside for F {
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        self(to, bytes);
    }
}

/// What a member learned, for those who use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    Standing(Member, Standing),
    /// A bulletin by a member that takes part, how old, and that member's items.
    Bulletin(Bulletin, Duration),
    /// Another subsystem's word.
    Word(Member, Vec<u8>),
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub dropped: BTreeMap<Fault, u64>,
    pub accusations: u64,
    pub refutations: u64,
    pub stalls: u64,
    /// Datagrams that did not go since the ceiling was reached.
    pub held_back: u64,
    pub signed: u64,
    pub checked: u64,
}

pub struct Gossip<H> {
    hand: H,
    me: Member,
    incarnation: u64,
    at: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    view: View,
    windows: BTreeMap<Member, Window>,
    /// The member at each address, from the records held.
    addresses: BTreeMap<SocketAddrV4, Member>,
    outbox: Outbox,
    probes: Probes,
    health: Health,
    budget: Budget,
    ration: Ration,
    counter: u32,
    chance: Chance,
    bulletins: BTreeMap<Member, (u32, u32)>,
    bulletin_number: u32,
    next_period: Duration,
    next_news: Duration,
    next_compare: Duration,
    compared_to: usize,
    next_gone: Duration,
    next_seeds: Duration,
    refuted: Duration,
    refute_at: Option<Duration>,
    told_stale: Bucket,
    /// When `tend` asked to be called.
    due: Duration,
    pub counts: Counts,
}

impl<H: Hand> Gossip<H> {
    /// A member in a life that is later than all it had before. `seeds` are addresses of some others.
    pub fn new(
        me: Member, hand: H, life: u32, at: SocketAddrV4, seeds: Vec<SocketAddrV4>, now: Duration, seed: u64,
    ) -> Self {
        let mut chance = Chance(seed);
        // Members that start in one second do not go on in step.
        let first = now + PERIOD.mul_f64(chance.share());
        let mut gossip = Self {
            hand,
            me,
            incarnation: incarnation(life, 0),
            at,
            seeds,
            view: View::new(me),
            windows: BTreeMap::new(),
            addresses: BTreeMap::new(),
            outbox: Outbox::default(),
            probes: Probes::default(),
            health: Health::default(),
            budget: Budget::new(now),
            ration: Ration::new(now),
            counter: 0,
            chance,
            bulletins: BTreeMap::new(),
            bulletin_number: 0,
            next_period: first,
            next_news: now,
            next_compare: first,
            compared_to: 0,
            next_gone: first + TRY_GONE_EVERY,
            next_seeds: now,
            refuted: Duration::ZERO,
            refute_at: None,
            told_stale: Bucket::new(TOLD_STALE, TOLD_STALE, now),
            due: now,
            counts: Counts::default(),
        };
        gossip.view.expect(gossip.hand.ring().len());
        gossip.say_alive(now, false);
        gossip
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn hand(&self) -> &H {
        &self.hand
    }

    pub fn member(&self) -> Member {
        self.me
    }

    pub fn life(&self) -> u32 {
        life_of(self.incarnation)
    }

    pub fn health(&self) -> u32 {
        self.health.points()
    }

    /// Takes another ring and key: members whose keys are gone are forgotten, with all that they said.
    pub fn take_hand(&mut self, hand: H, now: Duration) {
        self.hand = hand;
        self.view.expect(self.hand.ring().len());
        let gone: Vec<Member> =
            self.view.members().map(|(member, _)| member).filter(|m| !self.hand.knows(*m)).collect();
        for member in gone {
            self.forget(member);
        }
        // Signed anew, with the key that holds now.
        self.refute(now);
    }

    fn forget(&mut self, member: Member) {
        self.view.forget(member);
        self.outbox.forget(member);
        self.windows.remove(&member);
        self.bulletins.remove(&member);
        self.ration.forget(member);
        self.addresses.retain(|_, at| *at != member);
    }

    /// Says that this member is alive, or that it leaves, and takes it down itself.
    fn say_alive(&mut self, now: Duration, left: bool) {
        let record = Record { subject: self.me, incarnation: self.incarnation, left, at: self.at };
        self.counts.signed += 1;
        let statement = Said::Record(record).sign(&self.hand);
        self.view.record(now, record, &statement.signature);
        self.outbox.put(statement, Rank::Refutation, now);
    }

    /// Answers an accusation, at once or when the last answer is [`REFUTES_EVERY`] old.
    fn accused(&mut self, now: Duration) {
        let at = self.refuted + REFUTES_EVERY;
        if now >= at {
            return self.refute(now);
        }
        self.refute_at = Some(at);
    }

    fn refute(&mut self, now: Duration) {
        (self.refuted, self.refute_at) = (now, None);
        self.incarnation = (self.incarnation + 1).min(LAST_INCARNATION);
        self.counts.refutations += 1;
        self.say_alive(now, false);
    }

    /// Says good-bye to some members, who pass it on.
    pub fn leave(&mut self, now: Duration, out: &mut impl Outside) {
        self.incarnation = (self.incarnation + 1).min(LAST_INCARNATION);
        self.say_alive(now, true);
        for to in self.some_members(HELPERS * 2, None) {
            self.send(now, NEWS, to, &[], true, out);
        }
    }

    /// The records of all members, to be stored.
    pub fn records(&self) -> Vec<Statement> {
        let record = |(member, _): (Member, &Known)| self.view.statements(member).into_iter().next();
        self.view.members().filter_map(record).collect()
    }

    /// Takes records that an earlier process stored: seeds need not be there for a rebirth.
    pub fn recall(&mut self, now: Duration, stored: Vec<Statement>, news: &mut Vec<News>) {
        for statement in stored {
            let Said::Record(record) = statement.said else { continue };
            let theirs = record.subject != self.me && self.hand.knows(record.subject);
            if theirs && statement.is_signed(&self.hand) {
                self.take_record(now, record, statement, news);
                self.outbox.forget(record.subject);
            }
        }
    }

    /// Publishes what this member holds against streamers: its latest word on all of them.
    pub fn publish(&mut self, now: Duration, items: Vec<[u8; ITEM_BYTES]>) {
        self.bulletin_number += 1;
        let items = items.into_iter().take(ITEMS).collect();
        let bulletin = Bulletin { author: self.me, life: self.life(), number: self.bulletin_number, items };
        self.counts.signed += 1;
        self.outbox.put(Said::Bulletin(bulletin).sign(&self.hand), Rank::News, now);
    }

    /// Sends another subsystem's word to a member, as far as the ceiling allows. Tells whether it went.
    pub fn word(&mut self, now: Duration, to: Member, word: &[u8], out: &mut impl Outside) -> bool {
        word.len() <= BODY && self.send(now, WORD, to, word, false, out)
    }

    // What is due.

    /// When [`Gossip::tend`] wants to be called at the latest.
    pub fn next_due(&self) -> Duration {
        let news = (!self.outbox.is_empty()).then_some(self.next_news);
        let alone = self.is_alone().then_some(self.next_seeds);
        [
            self.refute_at,
            Some(self.next_period),
            Some(self.next_compare),
            Some(self.next_gone),
            news,
            alone,
            self.probes.next_due(),
            self.view.next_end(),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.next_period)
    }

    fn is_alone(&self) -> bool {
        self.view.taking_part() < 2
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, out: &mut impl Outside, news: &mut Vec<News>) {
        if let Some(late) = Health::stalled(self.due, now) {
            self.stood_still(late);
        }
        if self.refute_at.is_some_and(|at| at <= now) {
            self.refute(now);
        }
        self.probe_steps(now, out);
        self.errands_over(now, out);
        for member in self.view.end_suspicions(now) {
            news.push(News::Standing(member, Standing::Dead));
        }
        if now >= self.next_period {
            self.end_probe(now, news);
            self.begin_probe(now, out);
        }
        if now >= self.next_seeds && self.is_alone() {
            self.next_seeds = now + SEEDS_EVERY.mul_f64(0.5 + self.chance.share());
            self.try_seed(now, out);
        }
        if now >= self.next_gone {
            self.next_gone = now + TRY_GONE_EVERY.mul_f64(0.5 + self.chance.share());
            self.try_gone(now, out);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE_EVERY.mul_f64(0.5 + self.chance.share());
            self.compare(now, out);
        }
        if now >= self.next_news && !self.outbox.is_empty() {
            self.next_news = now + NEWS_EVERY.mul_f64(0.5 + self.chance.share());
            self.spread(now, out);
        }
        self.due = self.next_due().max(now);
    }

    /// What this member missed while it stood still says nothing against others.
    fn stood_still(&mut self, late: Duration) {
        self.counts.stalls += 1;
        self.health.worse(2);
        self.probes.out = None;
        self.view.stood_still(late);
    }

    fn begin_probe(&mut self, now: Duration, out: &mut impl Outside) {
        // Health stretches the period too, so that the wait for an answer stays inside of it.
        self.next_period = now + self.health.stretch(PERIOD);
        let (me, view) = (self.me, &self.view);
        let part = |member: Member| member != me && takes_part(view.get(member));
        let all = || view.members().map(|(member, _)| member).filter(|member| part(*member)).collect();
        let Some(target) = self.probes.next_target(part, all, &mut self.chance) else { return };
        let number = self.probes.next_number();
        self.probes.out = Some(Probe {
            target,
            number,
            ask_at: now + self.health.stretch(ANSWERS_WITHIN),
            over_at: self.next_period,
            helpers: Vec::new(),
            nacks: Vec::new(),
            asked: false,
            answered: false,
        });
        if !self.send(now, PING, target, &number.to_be_bytes(), true, out) {
            // Not sent is not unanswered.
            self.probes.out = None;
        }
    }

    /// Asks others to probe one that has not answered.
    fn probe_steps(&mut self, now: Duration, out: &mut impl Outside) {
        let due =
            self.probes.out.as_ref().filter(|probe| !probe.asked && !probe.answered && probe.ask_at <= now);
        let Some((target, number)) = due.map(|probe| (probe.target, probe.number)) else { return };
        let helpers = self.some_members(HELPERS, Some(target));
        let body = [number.to_be_bytes(), target.to_be_bytes()].concat();
        let sent: Vec<Member> =
            helpers.into_iter().filter(|to| self.send(now, ASK, *to, &body, true, out)).collect();
        if let Some(probe) = &mut self.probes.out {
            (probe.asked, probe.helpers) = (true, sent);
        }
    }

    fn end_probe(&mut self, now: Duration, news: &mut Vec<News>) {
        let Some(probe) = self.probes.out.take() else { return };
        if probe.answered {
            return self.health.better();
        }
        let missed = probe.helpers.len().saturating_sub(probe.nacks.len()) as u32;
        // Helpers that say nothing either speak against this member; where none could be asked, so does the probe.
        self.health.worse(if probe.helpers.is_empty() { 1 } else { missed });
        let Some(known) = self.view.get(probe.target).filter(|known| takes_part(Some(known))) else { return };
        let accusation =
            Accusation { subject: probe.target, incarnation: known.record.incarnation, author: self.me };
        self.counts.accusations += 1;
        self.counts.signed += 1;
        let statement = Said::Accusation(accusation).sign(&self.hand);
        self.take_accusation(now, accusation, statement, news);
    }

    fn errands_over(&mut self, now: Duration, out: &mut impl Outside) {
        for errand in self.probes.errands_over(now) {
            self.send(now, NACK, errand.asker, &errand.asker_number.to_be_bytes(), true, out);
        }
    }

    fn try_seed(&mut self, now: Duration, out: &mut impl Outside) {
        let others: Vec<SocketAddrV4> = self.seeds.iter().copied().filter(|seed| *seed != self.at).collect();
        if others.is_empty() {
            return;
        }
        let seed = others[(self.chance.share() * others.len() as f64) as usize % others.len()];
        self.ping_at(now, ANYONE, seed, out);
    }

    /// Tries a member that seems dead, or else a seed: after a split each side holds the other for dead.
    fn try_gone(&mut self, now: Duration, out: &mut impl Outside) {
        let gone = |(member, known): (Member, &Known)| (known.standing == Standing::Dead).then_some(member);
        let mut gone: Vec<Member> = self.view.members().filter_map(gone).collect();
        shuffle(&mut gone, &mut self.chance);
        match gone.first().and_then(|member| Some((*member, self.view.get(*member)?.record.at))) {
            Some((member, at)) => self.ping_at(now, member, at, out),
            None => self.try_unheard_seed(now, out),
        }
    }

    fn try_unheard_seed(&mut self, now: Duration, out: &mut impl Outside) {
        let known = |seed: &SocketAddrV4| {
            self.addresses.get(seed).is_some_and(|member| takes_part(self.view.get(*member)))
        };
        let unheard = self.seeds.iter().copied().find(|seed| *seed != self.at && !known(seed));
        if let Some(seed) = unheard {
            self.ping_at(now, ANYONE, seed, out);
        }
    }

    /// A ping that no probe waits for.
    fn ping_at(&mut self, now: Duration, to: Member, at: SocketAddrV4, out: &mut impl Outside) {
        let number = self.probes.next_number();
        self.send_at(now, PING, (to, at), &number.to_be_bytes(), true, out);
    }

    /// Shows one other member what is held here of a part of the ring; it answers with what differs.
    fn compare(&mut self, now: Duration, out: &mut impl Outside) {
        let Some(to) = self.some_members(1, None).first().copied() else { return };
        let ring = self.hand.ring();
        if self.compared_to >= ring.len() {
            self.compared_to = 0;
        }
        let from = self.compared_to;
        let slice = &ring[from..ring.len().min(from + SLICE)];
        let mut body = slice.first().copied().unwrap_or_default().to_be_bytes().to_vec();
        body.push(slice.len() as u8);
        let salt = (self.counter + 1) as u8;
        body.extend(slice.iter().map(|member| self.view.digest(*member, salt)));
        self.compared_to = from + slice.len();
        if self.budget.spares(now, LONGEST) {
            self.send(now, DIGEST, to, &body, false, out);
        }
    }

    fn spread(&mut self, now: Duration, out: &mut impl Outside) {
        if !self.budget.spares(now, LONGEST) {
            self.counts.held_back += 1;
            return;
        }
        if let Some(to) = self.some_members(1, None).first().copied() {
            self.send(now, NEWS, to, &[], true, out);
        }
    }

    /// Some other members that take part, drawn by chance.
    fn some_members(&mut self, count: usize, but: Option<Member>) -> Vec<Member> {
        let part = |(member, known): (Member, &Known)| {
            let ours = member != self.me && Some(member) != but && known.standing == Standing::Alive;
            ours.then_some(member)
        };
        // Each of all is among the chosen with the same chance (reservoir sampling).
        let mut chosen = Vec::with_capacity(count);
        for (seen, member) in self.view.members().filter_map(part).enumerate() {
            if chosen.len() < count {
                chosen.push(member);
            } else {
                let at = (self.chance.share() * (seen + 1) as f64) as usize;
                chosen.get_mut(at).into_iter().for_each(|place| *place = member);
            }
        }
        shuffle(&mut chosen, &mut self.chance);
        chosen
    }

    // What goes out.

    fn send(
        &mut self, now: Duration, kind: u8, to: Member, body: &[u8], statements: bool, out: &mut impl Outside,
    ) -> bool {
        let Some(at) = self.view.get(to).map(|known| known.record.at) else { return false };
        self.send_at(now, kind, (to, at), body, statements, out)
    }

    fn send_at(
        &mut self, now: Duration, kind: u8, to: (Member, SocketAddrV4), body: &[u8], statements: bool,
        out: &mut impl Outside,
    ) -> bool {
        let head = Head { kind, from: self.me, to: to.0, life: self.life(), counter: self.counter + 1 };
        let mut bytes = envelope::begin(&head);
        bytes.extend(body);
        if statements {
            self.add_statements(now, to.0, kind, &mut bytes);
        }
        if !self.budget.take(now, bytes.len() + SIGNATURE) {
            self.counts.held_back += 1;
            return false;
        }
        self.counter += 1;
        bytes.extend(self.hand.sign(&bytes));
        self.counts.signed += 1;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.send(to.1, &bytes);
        true
    }

    /// First what the receiver itself has to know, then what is most urgent, as much as fits.
    fn add_statements(&mut self, now: Duration, to: Member, kind: u8, bytes: &mut Vec<u8>) {
        let room = |bytes: &Vec<u8>| LONGEST - SIGNATURE - bytes.len();
        let accused = self.view.get(to).is_some_and(|known| known.standing != Standing::Alive);
        let own = (to == ANYONE || kind == PING && accused).then(|| self.view.statements(self.me));
        let theirs = accused.then(|| self.view.statements(to));
        for statement in theirs.into_iter().flatten().rev().chain(own.into_iter().flatten()) {
            if statement.size() <= room(bytes) {
                statement.write(Duration::ZERO, bytes);
            }
        }
        let (members, room) = (self.view.taking_part(), room(bytes));
        self.outbox.fill(now, members, room, bytes);
    }

    // What comes in.

    /// Takes a datagram that came from an address.
    pub fn heard(
        &mut self, now: Duration, from: SocketAddrV4, bytes: &[u8], out: &mut impl Outside,
        news: &mut Vec<News>,
    ) -> Result<(), Fault> {
        let taken = self.take(now, from, bytes, out, news);
        match taken {
            Ok(()) => self.counts.taken += 1,
            Err(fault) => *self.counts.dropped.entry(fault).or_default() += 1,
        }
        taken
    }

    fn take(
        &mut self, now: Duration, from: SocketAddrV4, bytes: &[u8], out: &mut impl Outside,
        news: &mut Vec<News>,
    ) -> Result<(), Fault> {
        let (head, body, signed, signature) = envelope::open(bytes)?;
        if !self.hand.knows(head.from) || head.from == self.me {
            return Err(Fault::Stranger);
        }
        if head.to != self.me && !(head.to == ANYONE && head.kind == PING) {
            return Err(Fault::Elsewhere);
        }
        let window = self.windows.get(&head.from).copied().unwrap_or_default();
        if head.life == window.life() && !window.may(head.life, head.counter) {
            return Err(Fault::Replayed);
        }
        // A member's address may be feigned: that costs this member's ration, and nobody else's.
        let source = self.addresses.get(&from).copied();
        if !self.ration.take(now, source, 1) {
            return Err(Fault::Rationed);
        }
        self.counts.checked += 1;
        if !self.hand.signed(head.from, signed, &signature) {
            return Err(Fault::Unsigned);
        }
        if head.life < window.life() {
            self.tell_stale(now, head.from, from, out);
            return Err(Fault::Stale);
        }
        self.windows.entry(head.from).or_default().note(head.life, head.counter);
        self.view.heard(now, head.from);
        self.take_body(now, &head, from, source, body, out, news);
        Ok(())
    }

    /// A member that was born with an old life learns from its own words that it had a later one.
    fn tell_stale(&mut self, now: Duration, member: Member, at: SocketAddrV4, out: &mut impl Outside) {
        if !self.told_stale.take(now, 1.0) {
            return;
        }
        let mut body = Vec::new();
        self.view
            .statements(member)
            .iter()
            .take(1)
            .for_each(|statement| statement.write(Duration::ZERO, &mut body));
        self.send_at(now, NEWS, (member, at), &body, false, out);
    }

    #[allow(clippy::too_many_arguments)]
    fn take_body(
        &mut self, now: Duration, head: &Head, from: SocketAddrV4, source: Option<Member>, body: &[u8],
        out: &mut impl Outside, news: &mut Vec<News>,
    ) {
        let number = body.get(..2).map(|two| u16::from_be_bytes([two[0], two[1]]));
        let fixed = match head.kind {
            PING | ACK | NACK => 2,
            ASK => 4,
            NEWS => 0,
            _ => body.len(),
        };
        // The statements first: what is answered may depend on them.
        let behind = self.take_statements(now, source, body.get(fixed..).unwrap_or(&[]), news);
        let cost = match head.kind {
            PING => 1.0,
            ASK => 2.0,
            DIGEST => 4.0,
            _ => 0.0,
        };
        if !self.ration.answers(now, head.from, cost) {
            *self.counts.dropped.entry(Fault::Rationed).or_default() += 1;
            return;
        }
        match (head.kind, number) {
            (PING, Some(number)) => self.pinged(now, head, from, number, behind, out),
            (ACK, Some(number)) => self.acked(now, head.from, number, out),
            (NACK, Some(number)) => {
                let out = self.probes.out.as_mut().filter(|probe| probe.number == number);
                if let Some(probe) = out
                    .filter(|probe| probe.helpers.contains(&head.from) && !probe.nacks.contains(&head.from))
                {
                    probe.nacks.push(head.from);
                }
            }
            (ASK, Some(number)) => {
                if let Some(target) = body.get(2..4).map(|two| u16::from_be_bytes([two[0], two[1]])) {
                    self.asked(now, head.from, number, target, out);
                }
            }
            (DIGEST, Some(begin)) => self.compared(now, head, begin, &body[2..], out),
            (WORD, _) => news.push(News::Word(head.from, body.to_vec())),
            _ => {}
        }
    }

    fn pinged(
        &mut self, now: Duration, head: &Head, from: SocketAddrV4, number: u16, behind: bool,
        out: &mut impl Outside,
    ) {
        let mut body = number.to_be_bytes().to_vec();
        if head.to == ANYONE || behind {
            // It does not know whom it asked, or not what was answered to it long ago.
            self.view
                .statements(self.me)
                .iter()
                .for_each(|statement| statement.write(Duration::ZERO, &mut body));
        }
        self.send_at(now, ACK, (head.from, from), &body, true, out);
    }

    fn acked(&mut self, now: Duration, from: Member, number: u16, out: &mut impl Outside) {
        if let Some(probe) = self.probes.out.as_mut().filter(|probe| probe.number == number) {
            // Of the target itself, or of a helper that heard it.
            probe.answered |= probe.target == from || probe.helpers.contains(&from);
        }
        if let Some(errand) = self.probes.errand_done(from, number) {
            self.send(now, ACK, errand.asker, &errand.asker_number.to_be_bytes(), true, out);
        }
    }

    fn asked(
        &mut self, now: Duration, asker: Member, asker_number: u16, target: Member, out: &mut impl Outside,
    ) {
        if target == self.me || self.view.get(target).is_none() {
            return;
        }
        let number = self.probes.next_number();
        let nack_at = now + NACK_WITHIN;
        if self.probes.take_errand(Errand { number, target, asker, asker_number, nack_at }) {
            self.send(now, PING, target, &number.to_be_bytes(), true, out);
        }
    }

    /// Answers a comparison with what differs.
    fn compared(&mut self, now: Duration, head: &Head, begin: Member, told: &[u8], out: &mut impl Outside) {
        let Some((count, digests)) = told.split_first() else { return };
        let ring = self.hand.ring();
        let Some(begin) = ring.iter().position(|member| *member == begin) else { return };
        let slice = ring[begin..].iter().zip(digests.iter().take(usize::from(*count)));
        let differs =
            |(member, digest): &(&Member, &u8)| self.view.digest(**member, head.counter as u8) != **digest;
        let mut differ: Vec<Member> = slice.filter(differs).map(|(member, _)| *member).collect();
        if differ.is_empty() {
            return;
        }
        // This member lacks something, or the other does: it compares again soon itself.
        let soon = now + COMPARE_SOON.mul_f64(0.5 + self.chance.share());
        self.next_compare = self.next_compare.min(soon);
        shuffle(&mut differ, &mut self.chance);
        let statements = differ.iter().flat_map(|member| self.view.statements(*member));
        let statements: Vec<Statement> = statements.take(ANSWERED).collect();
        let mut body = Vec::new();
        for statement in &statements {
            if body.len() + statement.size() > BODY {
                self.answer(now, head.from, &mut body, out);
            }
            statement.write(Duration::ZERO, &mut body);
        }
        self.answer(now, head.from, &mut body, out);
    }

    fn answer(&mut self, now: Duration, with: Member, body: &mut Vec<u8>, out: &mut impl Outside) {
        let body = std::mem::take(body);
        if !body.is_empty() && self.budget.spares(now, LONGEST) {
            self.send(now, NEWS, with, &body, false, out);
        }
    }

    /// Takes statements up to the first that is none, or whose signature is not checked for lack of ration. Tells
    /// whether any of them holds something of this member that is over.
    fn take_statements(
        &mut self, now: Duration, source: Option<Member>, mut bytes: &[u8], news: &mut Vec<News>,
    ) -> bool {
        let mut behind = false;
        while let Some((statement, age, used)) = Statement::read(bytes) {
            bytes = &bytes[used..];
            behind |= match &statement.said {
                Said::Record(r) => r.subject == self.me && r.incarnation < self.incarnation,
                Said::Accusation(a) => a.subject == self.me && a.incarnation < self.incarnation,
                Said::Bulletin(_) => false,
            };
            // Known ones cost nothing.
            if !self.is_new(&statement.said) {
                continue;
            }
            if !self.ration.take(now, source, 1) {
                *self.counts.dropped.entry(Fault::Rationed).or_default() += 1;
                return behind;
            }
            self.counts.checked += 1;
            if !self.hand.knows(statement.said.author()) || !statement.is_signed(&self.hand) {
                *self.counts.dropped.entry(Fault::Unsigned).or_default() += 1;
                continue;
            }
            match statement.said.clone() {
                Said::Record(record) => self.take_record(now, record, statement, news),
                Said::Accusation(accusation) => self.take_accusation(now, accusation, statement, news),
                Said::Bulletin(bulletin) => self.take_bulletin(now, bulletin, age, statement, news),
            }
        }
        behind
    }

    /// Whether a statement could change anything here: only then is its signature checked.
    fn is_new(&self, said: &Said) -> bool {
        match said {
            Said::Record(record) => self.view.get(record.subject).is_none_or(|known| {
                (record.incarnation, record.left) > (known.record.incarnation, known.record.left)
            }),
            Said::Accusation(accusation) => self.view.could_change(accusation),
            Said::Bulletin(b) => {
                b.author != self.me
                    && self.bulletins.get(&b.author).is_none_or(|held| *held < (b.life, b.number))
            }
        }
    }

    fn take_record(&mut self, now: Duration, record: Record, statement: Statement, news: &mut Vec<News>) {
        if record.subject == self.me {
            // Said in an earlier life, of which nothing was stored: this life has to be later.
            let next = incarnation(life_of(record.incarnation).saturating_add(1), 0);
            self.incarnation = self.incarnation.max(next).max(record.incarnation);
            self.counter = 0;
            return self.say_alive(now, false);
        }
        let change = self.view.record(now, record, &statement.signature);
        if change == Change::Nothing {
            return;
        }
        self.addresses.retain(|_, member| *member != record.subject);
        self.addresses.insert(record.at, record.subject);
        match change {
            Change::Joined => {
                self.probes.insert(record.subject, &mut self.chance);
                news.push(News::Standing(record.subject, Standing::Alive));
                self.outbox.put(statement, Rank::News, now);
            }
            Change::Refuted => {
                news.push(News::Standing(record.subject, Standing::Alive));
                self.outbox.put(statement, Rank::Refutation, now);
            }
            Change::Left => {
                news.push(News::Standing(record.subject, Standing::Left));
                self.outbox.put(statement, Rank::News, now);
            }
            _ => self.outbox.put(statement, Rank::News, now),
        }
    }

    fn take_accusation(
        &mut self, now: Duration, accusation: Accusation, statement: Statement, news: &mut Vec<News>,
    ) {
        match self.view.accuse(now, accusation, &statement.signature) {
            Change::Accused => {
                // Others miss this member's answers: perhaps it is slow itself.
                self.health.worse(1);
                self.accused(now);
            }
            Change::Suspected => {
                news.push(News::Standing(accusation.subject, Standing::Suspect));
                self.outbox.put(statement, Rank::News, now);
            }
            Change::Confirmed => self.outbox.put(statement, Rank::News, now),
            _ => {}
        }
    }

    fn take_bulletin(
        &mut self, now: Duration, bulletin: Bulletin, age: Duration, statement: Statement,
        news: &mut Vec<News>,
    ) {
        let Some(known) = self.view.get(bulletin.author) else { return };
        // A life that is over says nothing of now.
        if bulletin.life != life_of(known.record.incarnation) {
            return;
        }
        self.bulletins.insert(bulletin.author, (bulletin.life, bulletin.number));
        let seen = now.saturating_sub(age);
        self.outbox.put(statement, Rank::News, seen);
        news.push(News::Bulletin(bulletin, age));
    }
}

fn takes_part(known: Option<&Known>) -> bool {
    known.is_some_and(|known| known.standing.takes_part())
}
