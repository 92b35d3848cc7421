//! One member: what it holds, and when it is due to do something. Each of the modules below has one part of the
//! protocol.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::budget::Budget;
use crate::health::Health;
use crate::outbox::Outbox;
use crate::probe::Probes;
use crate::rate_limits::RateLimits;
use crate::statement::{incarnation, life_of, Keyring};
use crate::token_bucket::TokenBucket;
use crate::view::{Known, MemberState, View, PERIOD};
use crate::window::Window;
use crate::Member;

mod anti_entropy;
mod dissemination;
mod events;
mod joining;
mod probing;
mod receiving;
mod sending;
mod suspicion;

pub use events::{Counts, Event, Transport};

/// News go to one member drawn by chance this often while there are any: about what the ceiling allows, so that what
/// many have to say at once takes no longer than it must.
const NEWS_EVERY: Duration = Duration::from_millis(40);
/// What is held is compared with one other member's this often; sooner while it differed last time.
const COMPARE_EVERY: Duration = Duration::from_secs(5);
/// A member that seems dead, or a seed, is tried again this often, so that a split heals.
const TRY_GONE_EVERY: Duration = Duration::from_secs(3);
/// Seeds are tried this often while nobody is known.
const SEEDS_EVERY: Duration = Duration::from_millis(700);
/// A member of a stale life is told so, so often in a second at most for all of them.
const TOLD_STALE: f64 = 8.0;

/// A member of the gossip.
pub struct Gossip<H> {
    keyring: H,
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
    rate_limits: RateLimits,
    counter: u32,
    chance: Rng,
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
    told_stale: TokenBucket,
    /// When `tick` asked to be called.
    due: Duration,
    pub counts: Counts,
}

impl<H: Keyring> Gossip<H> {
    /// A member in a life that is later than all it had before. `seeds` are addresses of some others.
    pub fn new(
        me: Member, keyring: H, life: u32, at: SocketAddrV4, seeds: Vec<SocketAddrV4>, now: Duration,
        seed: u64,
    ) -> Self {
        let mut chance = Rng(seed);
        // Members that start in one second do not go on in step.
        let first = now + PERIOD.mul_f64(chance.unit_interval());
        let mut gossip = Self {
            keyring,
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
            rate_limits: RateLimits::new(now),
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
            told_stale: TokenBucket::new(TOLD_STALE, TOLD_STALE, now),
            due: now,
            counts: Counts::default(),
        };
        gossip.view.expect(gossip.keyring.ring().len());
        gossip.say_alive(now, false);
        gossip
    }

    /// What this member holds of all others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The keys that it signs and checks with.
    pub fn keyring(&self) -> &H {
        &self.keyring
    }

    /// Its own number.
    pub fn member(&self) -> Member {
        self.me
    }

    /// The life that it was started in.
    pub fn life(&self) -> u32 {
        life_of(self.incarnation)
    }

    /// Its local health: 0 where it does not seem to be slow itself.
    pub fn health(&self) -> u32 {
        self.health.points()
    }

    /// Takes another ring and key: members whose keys are gone are forgotten, with all that they said.
    pub fn replace_keyring(&mut self, keyring: H, now: Duration) {
        self.keyring = keyring;
        self.view.expect(self.keyring.ring().len());
        let gone: Vec<Member> =
            self.view.members().map(|(member, _)| member).filter(|m| !self.keyring.knows(*m)).collect();
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
        self.rate_limits.forget(member);
        self.addresses.retain(|_, at| *at != member);
    }

    /// When [`Gossip::tick`] wants to be called at the latest.
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

    /// Whether nobody else is known to take part.
    fn is_alone(&self) -> bool {
        self.view.taking_part() < 2
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, out: &mut impl Transport, events: &mut Vec<Event>) {
        if let Some(late) = Health::stalled(self.due, now) {
            self.stood_still(late);
        }
        if self.refute_at.is_some_and(|at| at <= now) {
            self.refute(now);
        }
        self.probe_steps(now, out);
        self.nack_expired(now, out);
        for member in self.view.end_suspicions(now) {
            events.push(Event::StateChanged(member, MemberState::Dead));
        }
        if now >= self.next_period {
            self.end_probe(now, events);
            self.begin_probe(now, out);
        }
        if now >= self.next_seeds && self.is_alone() {
            self.next_seeds = now + SEEDS_EVERY.mul_f64(0.5 + self.chance.unit_interval());
            self.try_seed(now, out);
        }
        if now >= self.next_gone {
            self.next_gone = now + TRY_GONE_EVERY.mul_f64(0.5 + self.chance.unit_interval());
            self.try_gone(now, out);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE_EVERY.mul_f64(0.5 + self.chance.unit_interval());
            self.compare(now, out);
        }
        if now >= self.next_news && !self.outbox.is_empty() {
            self.next_news = now + NEWS_EVERY.mul_f64(0.5 + self.chance.unit_interval());
            self.spread(now, out);
        }
        self.due = self.next_due().max(now);
    }
}

fn takes_part(known: Option<&Known>) -> bool {
    known.is_some_and(|known| known.state.takes_part())
}
