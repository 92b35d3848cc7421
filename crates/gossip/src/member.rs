//! The state machine of one gossip member and its timers. Each of the submodules implements one part of the
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
use crate::statement::{incarnation, process_incarnation_of, Keyring};
use crate::token_bucket::TokenBucket;
use crate::view::{MemberEntry, MemberState, View, PROBE_PERIOD};
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

pub use events::{Counters, Event, Transport};

/// Interval at which queued statements are sent to a random member; about what the byte budget allows, so
/// that many members with something to announce at once are not delayed further.
const SPREAD_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between comparisons of the view with another member; shorter after a comparison that found a
/// difference.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a dead member, or a seed, is contacted again, so that partitions heal.
const DEAD_CONTACT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which seeds are contacted while no other member is known.
const SEED_CONTACT_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum rate of notices to members with a stale process incarnation, per second and for all of them
/// together.
const STALE_NOTICES_PER_SECOND: f64 = 8.0;

/// The state machine of one member.
pub struct Gossip<H> {
    keyring: H,
    local_id: Member,
    incarnation: u64,
    address: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    view: View,
    windows: BTreeMap<Member, Window>,
    /// The member at each address, from the known records.
    addresses: BTreeMap<SocketAddrV4, Member>,
    outbox: Outbox,
    probes: Probes,
    health: Health,
    budget: Budget,
    rate_limits: RateLimits,
    counter: u32,
    rng: Rng,
    bulletins: BTreeMap<Member, (u32, u32)>,
    bulletin_number: u32,
    next_period: Duration,
    next_spread_at: Duration,
    next_comparison_at: Duration,
    comparison_start: usize,
    next_dead_contact_at: Duration,
    next_seed_contact_at: Duration,
    last_refutation_at: Duration,
    refute_at: Option<Duration>,
    stale_notices: TokenBucket,
    /// When `tick` requested to be called next.
    due: Duration,
    pub counts: Counters,
}

impl<H: Keyring> Gossip<H> {
    /// Creates a member. `process_incarnation` must be later than in all earlier processes of this member; `seeds` are
    /// addresses of some other members.
    pub fn new(
        local_id: Member, keyring: H, process_incarnation: u32, address: SocketAddrV4,
        seeds: Vec<SocketAddrV4>, now: Duration, seed: u64,
    ) -> Self {
        let mut rng = Rng(seed);
        // A random offset, so that members started in the same second do not act in step.
        let first_period = now + PROBE_PERIOD.mul_f64(rng.unit_interval());
        let mut gossip = Self {
            keyring,
            local_id,
            incarnation: incarnation(process_incarnation, 0),
            address,
            seeds,
            view: View::new(local_id),
            windows: BTreeMap::new(),
            addresses: BTreeMap::new(),
            outbox: Outbox::default(),
            probes: Probes::default(),
            health: Health::default(),
            budget: Budget::new(now),
            rate_limits: RateLimits::new(now),
            counter: 0,
            rng,
            bulletins: BTreeMap::new(),
            bulletin_number: 0,
            next_period: first_period,
            next_spread_at: now,
            next_comparison_at: first_period,
            comparison_start: 0,
            next_dead_contact_at: first_period + DEAD_CONTACT_INTERVAL,
            next_seed_contact_at: now,
            last_refutation_at: Duration::ZERO,
            refute_at: None,
            stale_notices: TokenBucket::new(STALE_NOTICES_PER_SECOND, STALE_NOTICES_PER_SECOND, now),
            due: now,
            counts: Counters::default(),
        };
        gossip.view.set_ring_size(gossip.keyring.ring().len());
        gossip.publish_record(now, false);
        gossip
    }

    /// What this member knows of the others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The keys that it signs and verifies with.
    pub fn keyring(&self) -> &H {
        &self.keyring
    }

    /// The number of this member.
    pub fn member(&self) -> Member {
        self.local_id
    }

    /// The process incarnation of this member.
    pub fn process_incarnation(&self) -> u32 {
        process_incarnation_of(self.incarnation)
    }

    /// The local health score: 0 unless this member itself appears to be slow.
    pub fn health(&self) -> u32 {
        self.health.points()
    }

    /// Replaces the ring and the own key. Members without a key in the new ring are removed with all their
    /// statements.
    pub fn replace_keyring(&mut self, keyring: H, now: Duration) {
        self.keyring = keyring;
        self.view.set_ring_size(self.keyring.ring().len());
        let removed: Vec<Member> = self
            .view
            .members()
            .map(|(member, _)| member)
            .filter(|member| !self.keyring.knows(*member))
            .collect();
        for member in removed {
            self.forget(member);
        }
        // Signs the own record again, with the new key.
        self.refute(now);
    }

    fn forget(&mut self, member: Member) {
        self.view.forget(member);
        self.outbox.forget(member);
        self.windows.remove(&member);
        self.bulletins.remove(&member);
        self.rate_limits.forget(member);
        self.addresses.retain(|_, known_member| *known_member != member);
    }

    /// When [`Gossip::tick`] must be called at the latest.
    pub fn next_due(&self) -> Duration {
        let spread = (!self.outbox.is_empty()).then_some(self.next_spread_at);
        let seed_contact = self.is_alone().then_some(self.next_seed_contact_at);
        [
            self.refute_at,
            Some(self.next_period),
            Some(self.next_comparison_at),
            Some(self.next_dead_contact_at),
            spread,
            seed_contact,
            self.probes.next_due(),
            self.view.next_suspicion_end(),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.next_period)
    }

    /// Whether no other member is known to be alive.
    fn is_alone(&self) -> bool {
        self.view.active_count() < 2
    }

    /// Performs the actions that are due at `now`.
    pub fn tick(&mut self, now: Duration, out: &mut impl Transport, events: &mut Vec<Event>) {
        if let Some(late) = Health::stalled(self.due, now) {
            self.handle_stall(late);
        }
        if self.refute_at.is_some_and(|at| at <= now) {
            self.refute(now);
        }
        self.ask_helpers(now, out);
        self.send_expired_nacks(now, out);
        for member in self.view.end_suspicions(now) {
            events.push(Event::StateChanged(member, MemberState::Dead));
        }
        if now >= self.next_period {
            self.end_probe(now, events);
            self.begin_probe(now, out);
        }
        if now >= self.next_seed_contact_at && self.is_alone() {
            self.next_seed_contact_at = now + SEED_CONTACT_INTERVAL.mul_f64(0.5 + self.rng.unit_interval());
            self.contact_seed(now, out);
        }
        if now >= self.next_dead_contact_at {
            self.next_dead_contact_at = now + DEAD_CONTACT_INTERVAL.mul_f64(0.5 + self.rng.unit_interval());
            self.contact_dead_member(now, out);
        }
        if now >= self.next_comparison_at {
            self.next_comparison_at = now + COMPARISON_INTERVAL.mul_f64(0.5 + self.rng.unit_interval());
            self.start_comparison(now, out);
        }
        if now >= self.next_spread_at && !self.outbox.is_empty() {
            self.next_spread_at = now + SPREAD_INTERVAL.mul_f64(0.5 + self.rng.unit_interval());
            self.send_statements(now, out);
        }
        self.due = self.next_due().max(now);
    }
}

fn is_active(known: Option<&MemberEntry>) -> bool {
    known.is_some_and(|known| known.state.is_active())
}
