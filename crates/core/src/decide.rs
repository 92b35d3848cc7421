//! The decisions of a controller: on which streamer a subscription plays, at which rung, and when it is
//! moved.
//!
//! The host creates one [`Controller`] per instance and calls [`Controller::round`] once a round with a
//! closure that passes each record received, in order, to the method for its kind. Then the work that is due
//! runs, and decisions go to the [`DecisionSink`]. The records are in `state.rs`; the mechanism and where it
//! departs from the design is in `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_json::{Map, Value};

use crate::interface::{
    DecisionSink, Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest,
};
use crate::load_reports::{self, LinkName, LoadReport};
use crate::placements::Placements;
use crate::random::{start_hash, Rng};
use crate::settings::Settings;
use crate::state::{remove_departed, NetworkLink, NetworkLinks, Streamer, Subscription};

mod allocation;
#[cfg(test)]
mod allocation_tests;
mod sums;

use allocation::{take_best_steps, Step};

/// Fraction of a link's capacity that rungs may fill.
const TARGET_UTILIZATION: f64 = 0.94;
/// Interval between decisions on moves (the design's tick).
const MOVE_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum interval between two rung steps of one subscription: long enough to outweigh what a step costs,
/// and within the limit of 3 steps a minute.
const MIN_STEP_INTERVAL: Duration = Duration::from_secs(20);
/// How long a measurement counts: several times the interval of progress reports.
const MEASUREMENT_VALIDITY: Duration = Duration::from_secs(10);
/// Interval between attempts to place a waiting request, and the wait for probe results: 99 % of the probes
/// are answered within 2 ms, and a round takes 10 ms.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Holders probed for one join; two spread joins more evenly than one or three.
const PROBES_PER_JOIN: usize = 2;
/// Benefit of probing for one join, as a fraction of a subscription's benefit.
const PROBE_BENEFIT: f64 = 0.1;
/// Own streamers are probed again after this time; continuous probing would cost more than it gains.
const REPROBE_INTERVAL: Duration = Duration::from_secs(6);
/// Minimum fraction of the headroom, or of the excess, that a controller uses when only it has the
/// measurement.
const SOLE_OBSERVER_FRACTION: f64 = 0.5;
/// Time constant of the recent request rate, in seconds; bursts of requests rise within about this time.
const REQUEST_RATE_DECAY_S: f64 = 3.0;
/// A link whose utilization would exceed this fraction takes no join.
const MAX_JOIN_UTILIZATION: f64 = 1.0;
/// Tokens of the timers: one for the periodic work, one for the earliest of the other due work.
const PERIODIC_TIMER: u64 = 1;
const DUE_TIMER: u64 = 2;

/// One controller: what it knows of streamers and links, its subscriptions, and its timers.
#[derive(Default)]
pub struct Controller {
    now: Duration,
    started_at: Duration,
    pub(crate) settings: Settings,
    rng: Rng,
    streamers: BTreeMap<StreamerId, Streamer>,
    network_links: NetworkLinks,
    subscriptions: BTreeMap<JobId, Subscription>,
    /// The subscriptions at each streamer, and how many hold a place for each title and room type.
    placements: Placements,
    /// Subscriptions that wait to be placed, by the time of the next attempt.
    placements_due: BTreeSet<(Duration, JobId)>,
    /// When the timer for the earliest placement fires, if one is set.
    due_timer_at: Option<Duration>,
    next_periodic_at: Duration,
    next_move_at: Duration,
    /// Whether subscriptions were handed over at the start: then the whole fleet started with this
    /// controller.
    started_with_handover: bool,
    /// When to subscribe to the list, if that is due.
    subscribe_list_at: Option<Duration>,
    accepted_requests: f64,
    /// Time and value of an exponentially decaying count of accepted requests.
    recent_requests: (Duration, f64),
    /// Times of accepted requests, and of joins after the first one of their subscription.
    request_times: VecDeque<Duration>,
    retry_join_times: VecDeque<Duration>,
    /// (sum in seconds, count) of the lifetimes of ended subscriptions, and of the duration hints of
    /// requests.
    lifetime_sums: (f64, f64),
    hint_sums: (f64, f64),
    /// Rung steps with a lower benefit per rate are not taken.
    min_benefit_per_rate: f64,
    /// Mean utilization by other controllers: [of uplinks, of links].
    mean_others_utilization: [f64; 2],
    /// Random number in [0, 1) drawn once a round: a link and its uplink then make the same random choice.
    round_random: f64,
    /// Rate in kB/s that new joins may still take across zones, by source zone, or `None` for all zones;
    /// empty without a budget.
    crossing_budgets: BTreeMap<Option<u16>, f64>,
}

impl Controller {
    /// A controller that starts at `now`; `seed` starts its random numbers.
    pub fn new(now: Duration, seed: u64, options: Map<String, Value>) -> Self {
        let settings = Settings::new(options);
        let subscribe_list_at = (settings.text("/discovery") == "subscribe").then_some(now);
        let (started_at, next_move_at, rng) = (now, now + MOVE_INTERVAL, Rng(seed));
        Self { now, started_at, next_move_at, subscribe_list_at, settings, rng, ..Self::default() }
    }

    /// Runs one round: applies all records received, then does the work that is due.
    pub fn round<W: DecisionSink>(
        &mut self, now: Duration, arrivals: impl FnOnce(&mut Self, &mut W), out: &mut W,
    ) {
        (self.now, self.round_random) = (now, self.rng.unit_interval());
        arrivals(self, out);
        if self.subscribe_list_at.take_if(|at| *at <= now).is_some() {
            out.watch_list(true);
        }
        while let Some((_, job)) = self.placements_due.first().copied().filter(|entry| entry.0 <= now) {
            self.placements_due.pop_first();
            if self.subscriptions.get(&job).is_some_and(|s| s.streamer.is_none()) {
                self.place(job, out);
            }
        }
        if now >= self.next_periodic_at {
            self.run_periodic_work(out);
        }
        let due_timer_at = self.due_timer_at.unwrap_or(Duration::MAX);
        if let Some(at) = self.placements_due.first().map(|entry| entry.0).filter(|at| *at < due_timer_at) {
            self.due_timer_at = Some(at);
            out.set_timer(at - now, DUE_TIMER);
        }
    }

    /// Work repeated every 200 ms: adjusts rungs, probes, shares measurements and, when due, moves
    /// subscriptions.
    fn run_periodic_work<W: DecisionSink>(&mut self, out: &mut W) {
        // Far below the interval of progress reports, so that a cut promptly follows the report that calls
        // for it.
        let interval = Duration::from_millis(200);
        self.next_periodic_at = self.now + interval;
        out.set_timer(interval, PERIODIC_TIMER);
        self.update_mean_others_utilization();
        self.min_benefit_per_rate = self.fleet_min_benefit_per_rate();
        self.probe_stale_streamers(out);
        self.adjust_rungs(out);
        self.share_measurements(out);
        if self.now >= self.next_move_at {
            // The random part keeps controllers from moving subscriptions at the same moment.
            self.next_move_at = self.now + MOVE_INTERVAL.mul_f64(0.9 + 0.2 * self.rng.unit_interval());
            self.move_subscriptions(out);
        }
    }

    /// Accepts a request for a subscription.
    pub fn request(&mut self, job: JobId, request: SubscriptionRequest) {
        self.request_times.push_back(self.now);
        self.accepted_requests += 1.0;
        self.recent_requests = (self.now, self.recent_request_rate() * REQUEST_RATE_DECAY_S + 1.0);
        let hint = request.duration_hint.map_or((0.0, 0.0), |hint| (hint.as_secs_f64(), 1.0));
        self.hint_sums = (self.hint_sums.0 + hint.0, self.hint_sums.1 + hint.1);
        self.remove_subscription(job);
        self.subscriptions.insert(job, Subscription { request, accepted_at: self.now, ..Default::default() });
        self.placements_due.insert((self.now, job));
    }

    /// Notes a subscription that is said to play already, while no streamer has confirmed it. It holds a seat;
    /// it adds no demand and is not decided on, so that false ones cost nothing.
    pub fn claimed(&mut self, job: JobId, request: SubscriptionRequest) {
        self.started_with_handover = true;
        self.placements.claim(job, request.title, request.room_type);
    }

    /// Takes over a subscription that already plays on `streamer`.
    pub fn resumed(&mut self, job: JobId, request: SubscriptionRequest, streamer: StreamerId) {
        self.started_with_handover = true;
        self.remove_subscription(job);
        // It may step once the first progress reports have arrived: after one report interval and their
        // delay.
        let last_step_at = (self.now + self.settings.report_interval + self.settings.report_delay())
            .saturating_sub(MIN_STEP_INTERVAL);
        let (accepted_at, playing, setup_reports_received) = (self.now, true, true);
        self.subscriptions.insert(
            job,
            Subscription {
                request,
                accepted_at,
                last_step_at,
                playing,
                setup_reports_received,
                ..Default::default()
            },
        );
        self.assign(job, Some(streamer), self.settings.floor(&request));
    }

    /// A join was served: the subscription plays.
    pub fn join_served(&mut self, job: JobId, _join: u16, streamer: StreamerId, _latency: Duration) {
        self.record_join_result(streamer, true);
        if let Some(subscription) = self.subscriptions.get_mut(&job) {
            (subscription.playing, subscription.last_step_at) = (true, self.now);
        }
    }

    /// A progress report on a playing subscription. `kind` is 1 for the delivered fraction, 2 for the rung, 3
    /// for the utilization of the link, 4 for that of the rack's uplink.
    pub fn progress(&mut self, job: JobId, streamer: StreamerId, kind: u8, value: f64) {
        let last_kind = if self.settings.list_contains("/report/fields", "x1") { 4 } else { 3 };
        let report_delay = self.settings.report_delay();
        let Some(subscription) = self.subscriptions.get_mut(&job) else { return };
        // The reports that come with the set-up are current; later ones are delayed.
        let setup_reports_received = subscription.setup_reports_received;
        subscription.setup_reports_received |= kind == last_kind;
        let report_delay = if setup_reports_received { report_delay } else { Duration::ZERO };
        match kind {
            1 => self.handle_short_delivery(streamer, value),
            2 => self.assign(job, Some(streamer), value.max(0.0) as u8),
            3 => self.record_measurement(NetworkLink::Link(streamer), value, report_delay, false),
            4 => self.record_measurement(self.uplink(streamer), value, report_delay, false),
            _ => {}
        }
    }

    /// A join failed, or a subscription ended (`over`). `usage` is the streamer's load report, if it sent
    /// one.
    pub fn outcome(
        &mut self, job: JobId, streamer: StreamerId, _join: u16, ending: Ending, over: bool,
        _latency: Duration, usage: &[f64],
    ) {
        self.apply_load_report(streamer, usage);
        let played = self.subscriptions.get(&job).is_some_and(|s| s.playing);
        self.record_ending(streamer, ending, played);
        let Some(subscription) = self.subscriptions.get_mut(&job) else { return };
        if over {
            let lifetime_s = (self.now - subscription.accepted_at).as_secs_f64();
            self.lifetime_sums = if played {
                (self.lifetime_sums.0 + lifetime_s, self.lifetime_sums.1 + 1.0)
            } else {
                self.lifetime_sums
            };
            return drop(self.remove_subscription(job));
        }
        if !ending.proves_it_never_ran() {
            subscription.possibly_ran.push((streamer, subscription.join_sent_at));
        }
        subscription.tried.push(streamer);
        subscription.playing = false;
        self.assign(job, None, 0);
        self.placements_due.insert((self.now, job));
    }

    /// Result of a probe; `usage` is the streamer's load report, if it sent one.
    pub fn probe_result(&mut self, streamer: StreamerId, ending: Ending, _latency: Duration, usage: &[f64]) {
        let answered_at = (ending == Ending::Served).then_some(self.now);
        self.streamers
            .entry(streamer)
            .and_modify(|s| s.probe_answered_at = answered_at.unwrap_or(s.probe_answered_at));
        self.apply_load_report(streamer, usage);
    }

    /// Load reports from another controller. They update the others' demand where nothing newer is known
    /// here; the allowance of this controller depends on its own measurements alone.
    pub fn receive_load_reports(&mut self, _peer: u32, bytes: &[u8]) {
        for report in load_reports::decode(bytes) {
            let streamer_named =
                |name| self.streamers.keys().find(|id| load_reports::streamer_name(**id) == name);
            let network_link = match report.network_link {
                LinkName::Link(name) => streamer_named(name).map(|id| NetworkLink::Link(*id)),
                LinkName::Uplink(number) => Some(NetworkLink::Uplink(number)),
            };
            let Some(network_link) = network_link else { continue };
            let (capacity, measured_at) = (self.capacity(network_link), self.now.saturating_sub(report.age));
            let Some(link_state) = self.network_links.states.get_mut(&network_link) else { continue };
            link_state.last_shared_at = self.now;
            if measured_at > link_state.measured_at {
                link_state.others_demand =
                    (report.utilization * capacity - link_state.own_demand_at(measured_at)).max(0.0);
                (link_state.measured, link_state.measured_at) = (true, measured_at);
            }
        }
    }

    /// Sets the rate in kB/s that new joins may still take from a zone, or from any zone (`None`). Not called
    /// without a crossing budget.
    pub fn set_crossing_budget(&mut self, from: Option<u16>, left: f64) {
        self.crossing_budgets.insert(from, left);
    }

    /// Sets or clears the highest allowed rung of a subscription whose media crosses zones. The rung is
    /// lowered at once, since crossing media is counted by the second.
    pub fn set_rung_cap<W: DecisionSink>(&mut self, job: JobId, cap: Option<u8>, out: &mut W) {
        let Some(subscription) = self.subscriptions.get_mut(&job) else { return };
        subscription.rung_cap = cap;
        let subscription = subscription.clone();
        let top = self.top(&subscription);
        if subscription.playing && subscription.rung > top {
            self.subscriptions.entry(job).and_modify(|s| s.last_step_at = self.now);
            self.assign(job, subscription.streamer, top);
            out.set_rung(job, top);
        }
    }

    /// Several other controllers recently lost joins on a streamer. It is avoided as after own failures,
    /// until a join to it is served. This spares own failures; a streamer that is wrongly reported gets less
    /// load.
    pub fn failure_reported_by_peers(&mut self, streamer: StreamerId) {
        self.avoid(streamer);
    }

    /// One streamer of a list.
    pub fn list_entry(
        &mut self, id: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        start: Start,
    ) {
        let streamer = self.streamers.entry(id).or_insert_with(|| Streamer::new(health, self.now));
        if start.at > streamer.started_at {
            // Failures of the previous process do not count against the new one.
            (
                streamer.recent_served_joins,
                streamer.recent_failed_joins,
                streamer.avoid_until,
                streamer.failed_at,
            ) = (0.0, 0.0, Duration::ZERO, None);
            self.network_links.states.entry(NetworkLink::Link(id)).or_default().measured = false;
        }
        (streamer.zone, streamer.kind, streamer.cell, streamer.health, streamer.weight) =
            (zone, kind, cell, health, weight);
        (streamer.started_at, streamer.start_number, streamer.listed) = (start.at, start.number, true);
    }

    /// Ends a list and updates links, capacities and demand.
    pub fn list_ends(&mut self, kind: Listing) {
        if matches!(kind, Listing::Complete | Listing::Cached) {
            self.streamers.values_mut().filter(|s| !s.listed).for_each(|s| s.health = Health::Gone);
        }
        remove_departed(&mut self.streamers, &mut self.network_links, &self.subscriptions);
        self.network_links.rebuild(&self.streamers, &self.settings);
        self.recompute_own_demand();
        if kind == Listing::Failed && self.settings.text("/discovery") == "subscribe" {
            // Retried after one second and a random part, well within `askWithinUs`.
            let delay = Duration::from_secs(1) + self.rng.random_duration(Duration::from_secs(1));
            self.subscribe_list_at = Some(self.now + delay);
        }
    }

    /// Fraction of its capacity that a link has reached in its warm-up. The shape of the warm-up is unknown;
    /// the square errs on the safe side.
    fn warm_fraction(&self, network_link: NetworkLink) -> f64 {
        let NetworkLink::Link(id) = network_link else { return 1.0 };
        let started_at = self.streamers.get(&id).map_or(Duration::ZERO, |s| s.started_at);
        if started_at.is_zero() || self.now >= started_at + self.settings.warm_up {
            return 1.0;
        }
        let progress =
            self.now.saturating_sub(started_at).as_secs_f64() / self.settings.warm_up.as_secs_f64();
        self.settings.cold_start_fraction + (1.0 - self.settings.cold_start_fraction) * progress.powi(2)
    }

    /// Demand of the other controllers on a link: as measured, or for an unmeasured uplink the sum over its
    /// links. An older measurement gradually gives way to the fleet's mean: a link without news is assumed to
    /// be as full as those with news.
    fn others_demand(&self, network_link: NetworkLink) -> f64 {
        let (link_state, is_link) =
            (self.network_links.get(network_link), matches!(network_link, NetworkLink::Link(_)));
        if !is_link && !link_state.measured {
            return link_state.streamers.iter().map(|id| self.others_demand(NetworkLink::Link(*id))).sum();
        }
        let age = self.now.saturating_sub(link_state.measured_at).as_secs_f64();
        let weight = if link_state.measured {
            (2.0 - age / MEASUREMENT_VALIDITY.as_secs_f64()).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let mean_utilization =
            self.mean_others_utilization[usize::from(is_link)] * self.warm_fraction(network_link);
        weight * link_state.others_demand + (1.0 - weight) * mean_utilization * self.capacity(network_link)
    }

    /// The utilization to aim at, reduced after short delivery by less than the design's 0.1 and for less
    /// than its 60 s: most causes pass sooner.
    fn target_utilization(&self, network_link: NetworkLink) -> f64 {
        let lowered = self
            .network_links
            .get(network_link)
            .short_delivery_at
            .is_some_and(|at| self.now < at + Duration::from_secs(15));
        TARGET_UTILIZATION - if lowered { 0.05 } else { 0.0 }
    }

    /// Records a delayed measurement: what exceeds this controller's own demand at that time is others'
    /// demand.
    fn record_measurement(
        &mut self, network_link: NetworkLink, utilization: f64, report_delay: Duration, sole_observer: bool,
    ) {
        let (capacity, time) = (self.capacity(network_link), self.now.saturating_sub(report_delay));
        let Some(link_state) = self.network_links.states.get_mut(&network_link) else { return };
        link_state.others_demand = (utilization * capacity - link_state.own_demand_at(time)).max(0.0);
        (link_state.measured, link_state.measured_at, link_state.own_measurement_at) =
            (true, self.now, self.now);
        self.update_allowance(network_link, sole_observer);
        // An uplink without reports of its own is judged by its links and its nominal capacity.
        let NetworkLink::Link(id) = network_link else { return };
        if !self.network_links.get(self.uplink(id)).measured {
            self.update_allowance(self.uplink(id), sole_observer);
        }
    }

    /// Updates what this controller may demand of a link until the next measurement, which all controllers
    /// that play there get at the same time. On an excess each gives back its fraction and waits until the
    /// effect can be measured; on headroom each takes its fraction. A fraction smaller than one step becomes
    /// a whole step with that probability, so that the sum is right for three controllers as for hundreds.
    fn update_allowance(&mut self, network_link: NetworkLink, sole_observer: bool) {
        // No change while utilization is this close to the target: one subscription's step is of about that
        // size.
        const NO_CHANGE_BAND: f64 = 0.1;
        let (capacity, target_utilization, report_delay) = (
            self.capacity(network_link),
            self.target_utilization(network_link),
            self.settings.report_delay(),
        );
        let total_demand = self.utilization(network_link) * capacity;
        let headroom = target_utilization * capacity - total_demand;
        let random_step = self.round_random * self.mean_step_rate(network_link, headroom > 0.0);
        let Some(link_state) = self.network_links.states.get_mut(&network_link) else { return };
        // If no other controller has this measurement, more of the headroom is left to this one.
        let own_fraction = link_state.own_demand / total_demand.max(1.0);
        let fraction = if sole_observer { own_fraction.max(SOLE_OBSERVER_FRACTION) } else { own_fraction };
        if headroom < -NO_CHANGE_BAND * capacity {
            if self.now >= link_state.no_cut_until {
                link_state.allowance =
                    (link_state.own_demand + headroom * fraction + random_step).min(link_state.own_demand);
                link_state.no_cut_until = self.now + report_delay + Duration::from_millis(1500);
            }
        } else if headroom > NO_CHANGE_BAND * capacity {
            // A raise leaves 5 % free: actual rates exceed the ladder's rates as often as they fall below.
            link_state.allowance =
                link_state.own_demand + (headroom - 0.05 * capacity) * fraction + random_step;
        } else {
            link_state.allowance = link_state.own_demand;
        }
    }

    /// Fraction of the requested rate that a streamer delivers, by a report that the next one has not
    /// outdated.
    fn delivered_fraction(&self, id: StreamerId) -> f64 {
        let reported = self.streamers.get(&id).map(|s| s.delivered);
        reported
            .filter(|(at, _)| self.now < *at + Duration::from_millis(1500))
            .map_or(1.0, |(_, fraction)| fraction)
    }

    /// Handles short delivery. A fully used link explains it, and so does the uplink if all streamers of the
    /// rack that this controller uses deliver short. Otherwise the streamer itself is faulty: it is avoided,
    /// and its subscriptions may move, since lower rungs would not help. A streamer that is alone in use in
    /// its rack may be avoided for a while because of its uplink.
    fn handle_short_delivery(&mut self, id: StreamerId, delivered: f64) {
        let delivered = delivered.max(0.01);
        self.streamers.entry(id).and_modify(|s| s.delivered = (self.now, delivered));
        if delivered >= 0.98 {
            return;
        }
        let (link, uplink) = (NetworkLink::Link(id), self.uplink(id));
        if self.utilization(link) > 0.9 {
            return self.record_short_delivery(link, delivered);
        }
        let streamers_of_rack = self.network_links.get(uplink).streamers.iter();
        let in_use = streamers_of_rack
            .filter(|peer| self.network_links.get(NetworkLink::Link(**peer)).own_demand > 0.0);
        let best_delivered = in_use.map(|peer| self.delivered_fraction(*peer)).fold(delivered, f64::max);
        if best_delivered >= 0.98 || self.utilization(uplink) < 0.6 {
            return self.avoid(id);
        }
        self.record_short_delivery(uplink, best_delivered);
    }

    /// Treats short delivery as a measurement of demand over capacity, since load reports may be late or
    /// missing.
    fn record_short_delivery(&mut self, network_link: NetworkLink, delivered: f64) {
        let (report_delay, capacity, others_demand) =
            (self.settings.report_delay(), self.capacity(network_link), self.others_demand(network_link));
        let Some(link_state) = self.network_links.states.get_mut(&network_link) else { return };
        link_state.short_delivery_at = Some(self.now);
        let total_demand = others_demand + link_state.own_demand_at(self.now.saturating_sub(report_delay));
        if total_demand * delivered < capacity {
            self.record_measurement(network_link, 1.0 / delivered, report_delay, false);
        }
    }

    /// Applies a streamer's load report, one figure for each field named in the settings.
    fn apply_load_report(&mut self, id: StreamerId, usage: &[f64]) {
        // Streamers refresh their reports at intervals, and these take time to arrive.
        let report_age = Duration::from_millis(500);
        // Just after the start all controllers probe at the same time.
        let sole_observer =
            !self.settings.reports_reach_all_players && self.now > self.started_at + MEASUREMENT_VALIDITY / 2;
        for (index, &value) in usage.iter().enumerate() {
            match self.settings.list_text("/report/fields", index) {
                "x0" => self.record_measurement(NetworkLink::Link(id), value, report_age, sole_observer),
                "x1" => self.record_measurement(self.uplink(id), value, report_age, sole_observer),
                _ => {}
            }
        }
    }

    /// Updates a streamer's state by how a join to it, or a subscription on it, ended.
    fn record_ending(&mut self, id: StreamerId, ending: Ending, played: bool) {
        let full_duration = Duration::from_millis(600) + self.rng.random_duration(Duration::from_millis(800));
        let Some(streamer) = self.streamers.get_mut(&id) else { return };
        match ending {
            Ending::Served | Ending::Cancelled | Ending::Moot => return,
            // A full streamer is busy, not faulty: it gets no joins for about a second.
            Ending::Full => return streamer.full_until = self.now + full_duration,
            Ending::Error => {}
            Ending::Timeout | Ending::ConnectFailed | Ending::Reset => streamer.failed_at = Some(self.now),
        }
        // A playing subscription is lost only when its streamer fails.
        match played {
            true => self.avoid(id),
            false => self.record_join_result(id, false),
        }
    }

    /// Counts a served or failed join of a streamer, and avoids the streamer when its fraction of failures is
    /// far above the fleet's median.
    fn record_join_result(&mut self, id: StreamerId, served: bool) {
        let failure_fraction = |streamer: &Streamer| {
            streamer.recent_failed_joins
                / (streamer.recent_served_joins + streamer.recent_failed_joins).max(1.0)
        };
        let Some(streamer) = self.streamers.get_mut(&id) else { return };
        // Halved every 8 s, in which each streamer gets several joins.
        let decay = 0.5f64.powf((self.now - streamer.decayed_at).as_secs_f64() / 8.0);
        (streamer.recent_served_joins, streamer.recent_failed_joins, streamer.decayed_at) =
            (streamer.recent_served_joins * decay, streamer.recent_failed_joins * decay, self.now);
        if served {
            streamer.recent_served_joins += 1.0;
            streamer.avoid_until = Duration::ZERO;
            return;
        }
        streamer.recent_failed_joins += 1.0;
        let fraction = failure_fraction(streamer);
        let mut fractions: Vec<f64> = self.streamers.values().map(failure_fraction).collect();
        fractions.sort_by(f64::total_cmp);
        // At 0.4 above the median, one failed join of two suffices and one of four does not.
        if fraction > fractions[fractions.len() / 2] + 0.4 {
            self.avoid(id);
        }
    }

    /// Avoids a streamer for 4 to 7 s: short, since a join to a failed streamer costs little; random, so that
    /// controllers do not return together.
    fn avoid(&mut self, id: StreamerId) {
        let until = self.now + Duration::from_secs(4) + self.rng.random_duration(Duration::from_secs(3));
        self.streamers.entry(id).and_modify(|s| s.avoid_until = s.avoid_until.max(until));
    }

    /// Rule 4: whether one more join may go to a streamer that is, or may be, cold. This controller may use
    /// 1/n of what the window allows, n being the number of controllers. Where that is less than one join,
    /// controllers take turns: half of what all may send, counted from the start in whole joins, is dealt
    /// out, every n-th join to this controller and valid for one window. Either way the total stays within
    /// the budget although each controller checks only its own part.
    fn cold_budget_allows(&self, id: StreamerId, streamer: &Streamer) -> bool {
        let (warm_up_s, window) = (self.settings.warm_up.as_secs_f64(), self.settings.cold_budget_window);
        let joins_within = |period: Duration| {
            streamer.recent_joins.iter().filter(|t| **t + period > self.now).count() as f64
        };
        // After a failure it may have restarted, also during a warm-up, without the list showing it yet.
        let failed_recently =
            streamer.failed_at.is_some_and(|failed_at| self.now < failed_at + self.settings.warm_up * 2);
        let cold = !failed_recently
            && !streamer.started_at.is_zero()
            && self.now < streamer.started_at + self.settings.warm_up;
        if warm_up_s <= 0.0 || window.is_zero() || !cold && !failed_recently {
            // A start before this controller's own may be unknown too; then each controller spaces its joins
            // by itself.
            let recently_started =
                !self.started_with_handover && self.now < self.started_at + self.settings.warm_up;
            return !recently_started || joins_within(window + window) < 1.0;
        }
        let (initial_fraction, cold_since) =
            (self.settings.cold_start_fraction, if cold { streamer.started_at } else { Duration::ZERO });
        let growth = if cold { (1.0 - initial_fraction) / (3.0 * warm_up_s * warm_up_s) } else { 0.0 };
        let full_join_rate =
            self.settings.cold_budget_multiple * self.settings.stream_capacity(streamer.kind) / warm_up_s;
        let own_budget_until = |at: Duration| {
            let age = at.saturating_sub(cold_since).as_secs_f64();
            full_join_rate * (initial_fraction * age + growth * age.powi(3)) / self.settings.controllers
        };
        let window_start = self.now.saturating_sub(window);
        let turn_offset = (start_hash(id, streamer.start_number) + self.settings.number("/me", 0.0))
            / self.settings.controllers;
        let turns_until = |at: Duration| (0.5 * own_budget_until(at) + turn_offset).floor();
        let own_budget = f64::max(
            own_budget_until(self.now) - own_budget_until(window_start),
            turns_until(self.now) - turns_until(window_start),
        );
        joins_within(window) + 1.0 <= own_budget && self.now >= self.started_at + window
    }

    /// The design's load: remaining work over capacity, where the uplink limits like the link.
    fn load(&self, id: StreamerId) -> f64 {
        let (link, uplink_utilization) = (NetworkLink::Link(id), self.utilization(self.uplink(id)));
        let with_hint = self.subscriptions_at(id).filter(|(_, s)| s.request.duration_hint.is_some());
        let remaining_work = with_hint
            .map(|(_, s)| self.settings.rate(&s.request, s.rung) * (self.hint_factor(s) - 1.0))
            .sum::<f64>();
        let link_utilization = self.utilization(link) + remaining_work / self.capacity(link);
        // A part of the smaller value keeps the streamers behind one full uplink distinguishable.
        link_utilization.max(uplink_utilization) + 0.2 * link_utilization.min(uplink_utilization)
    }

    /// Hinted time that is left over the mean hint, within the design's bounds.
    fn hint_factor(&self, subscription: &Subscription) -> f64 {
        let Some(hint) = subscription.request.duration_hint else { return 1.0 };
        let time_left_s = hint.saturating_sub(self.now - subscription.accepted_at).as_secs_f64();
        (time_left_s * self.hint_sums.1 / self.hint_sums.0.max(0.1)).clamp(0.5, 2.0)
    }

    /// Whether a join of this subscription may go to a streamer now.
    fn usable(&self, subscription: &Subscription, id: StreamerId, streamer: &Streamer) -> bool {
        streamer.health == Health::Ready
            && streamer.listed
            && streamer.full_until <= self.now
            && subscription.request.is_held_by(streamer.cell, self.settings.cells)
            && self.effect_allows_join(subscription, id)
            && self.cold_budget_allows(id, streamer)
            && self.crossing_budget_allows(subscription, streamer)
            && self.has_headroom_at_floor(subscription, id)
    }

    /// Whether a link and its uplink, if measured lately, can carry one more subscription at its floor.
    fn has_headroom_at_floor(&self, subscription: &Subscription, id: StreamerId) -> bool {
        let floor_rate =
            self.settings.rate(&subscription.request, self.settings.floor(&subscription.request));
        [NetworkLink::Link(id), self.uplink(id)].into_iter().all(|network_link| {
            !self.network_links.get(network_link).is_fresh(self.now, MEASUREMENT_VALIDITY)
                || self.utilization(network_link) + floor_rate / self.capacity(network_link)
                    <= MAX_JOIN_UTILIZATION
        })
    }

    /// Whether a join at its floor fits the remaining crossing budget, if there is one.
    fn crossing_budget_allows(&self, subscription: &Subscription, streamer: &Streamer) -> bool {
        let floor_rate =
            self.settings.rate(&subscription.request, self.settings.floor(&subscription.request));
        self.crossing_budget_left(streamer.zone).is_none_or(|(_, budget_left)| floor_rate <= budget_left)
    }

    /// The crossing budget that applies to media from a zone, if any: whose it is, and the rate in kB/s that
    /// is left.
    fn crossing_budget_left(&self, from: u16) -> Option<(Option<u16>, f64)> {
        let budget_of = |from| self.crossing_budgets.get(&from).map(|budget_left| (from, *budget_left));
        budget_of(Some(from)).or_else(|| budget_of(None)).filter(|_| from != self.settings.zone)
    }

    /// Lowers a rung to the highest that fits the remaining crossing budget, and subtracts its rate from the
    /// budget.
    fn spend_crossing_budget(&mut self, id: StreamerId, subscription: &Subscription, rung: u8) -> u8 {
        let from = self.streamers.get(&id).map_or(self.settings.zone, |s| s.zone);
        let Some((budget_owner, budget_left)) = self.crossing_budget_left(from) else { return rung };
        let (floor, rate) = (self.settings.floor(&subscription.request), |rung| {
            self.settings.rate(&subscription.request, rung)
        });
        let rung = (floor..=rung).rev().find(|rung| rate(*rung) <= budget_left).unwrap_or(floor);
        let budget_left = budget_left - rate(rung);
        self.crossing_budgets.insert(budget_owner, budget_left);
        rung
    }

    /// The highest rung at present: allowed by the viewer, the room type and the ladder, and by the cap if
    /// there is one.
    fn top(&self, subscription: &Subscription) -> u8 {
        let (top, floor) =
            (self.settings.top(&subscription.request), self.settings.floor(&subscription.request));
        subscription.rung_cap.map_or(top, |cap| top.min(cap.max(floor)))
    }

    /// Whether a streamer's link was measured lately, or is cold (joins to cold streamers take turns). Peers'
    /// load reports count for three report intervals, since peers send nothing more about a streamer that is
    /// silent.
    fn has_recent_measurement(&self, id: StreamerId) -> bool {
        let link_state = self.network_links.get(NetworkLink::Link(id));
        let recently_measured = link_state.is_fresh(self.now, self.settings.report_interval * 3);
        recently_measured
            || link_state.measured && self.now < link_state.own_measurement_at + MEASUREMENT_VALIDITY
            || self.warm_fraction(NetworkLink::Link(id)) < 1.0
    }

    /// The streamers with a recent measurement and about three random others. All controllers estimate the
    /// others alike, so choosing the least loaded by estimate would send hundreds of joins to one streamer or
    /// rack.
    fn sample_candidates(&mut self, ids: &[StreamerId]) -> BTreeSet<StreamerId> {
        let measured: BTreeSet<_> =
            ids.iter().copied().filter(|id| self.has_recent_measurement(*id)).collect();
        let unmeasured_count = (ids.len() - measured.len()) as f64;
        ids.iter()
            .copied()
            .filter(|id| self.rng.unit_interval() * unmeasured_count < 3.0 || measured.contains(id))
            .collect()
    }

    /// Whether a connection to a streamer is probably open, judged by its idle time. A connection made for
    /// reports alone is counted as new for its first join.
    fn likely_connected(&self, streamer: &Streamer) -> bool {
        let idle_timeout = self.settings.duration("/permissions/keepaliveUs", Duration::ZERO);
        self.now
            < streamer.recent_joins.back().copied().unwrap_or_default().max(streamer.probed_at) + idle_timeout
    }

    /// The holders that may be used, least loaded first and avoided ones last.
    fn ranked_holders(&mut self, job: JobId) -> Vec<StreamerId> {
        let Some(subscription) = self.subscriptions.get(&job).cloned() else { return Vec::new() };
        let price = |path| self.settings.number(path, 0.0);
        let rival_join_rate = if self.sharing_beats_probing() { self.mean_own_rate() } else { 0.0 };
        // A new connection counts twice its price.
        let (crossing_price, connection_price) =
            (price("/prices/crossZone"), 2.0 * price("/prices/handshake"));
        let usable = self.streamers.iter().filter(|(id, s)| self.usable(&subscription, **id, s));
        let ids: Vec<_> = usable.map(|(id, _)| *id).collect();
        let candidates = self.sample_candidates(&ids);
        let mut ranked = Vec::new();
        for id in ids {
            let streamer = &self.streamers[&id];
            let crossing_cost = if streamer.zone == self.settings.zone { 0.0 } else { crossing_price };
            let last_resort = streamer.avoid_until > self.now
                || subscription.tried.contains(&id)
                || streamer.probe_unanswered(self.now, MEASUREMENT_VALIDITY);
            let connection_cost = if self.likely_connected(streamer) { 0.0 } else { connection_price };
            // All controllers see the same reports, so a random part spreads their joins; with shared load
            // reports it is as wide as what others may have added since.
            let rival_utilization = self.expected_rival_joins(NetworkLink::Link(id)) * rival_join_rate
                / self.capacity(NetworkLink::Link(id));
            let cost = self.load(id)
                + crossing_cost
                + connection_cost
                + rival_utilization.max(0.04) * self.rng.unit_interval();
            ranked.push(((last_resort, !candidates.contains(&id)), cost, id));
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|entry| entry.2).collect()
    }

    /// Rule 2: whether a room type that must not be set up twice allows one more join, to this streamer.
    fn effect_allows_join(&self, subscription: &Subscription, id: StreamerId) -> bool {
        let same_group = |a: StreamerId| match (self.streamers.get(&a), self.streamers.get(&id)) {
            (Some(a), Some(b)) => match self.settings.room_type_text(&subscription.request, "group") {
                "all" => true,
                "zone" => a.zone == b.zone,
                _ => a.cell == b.cell,
            },
            _ => false,
        };
        match self.settings.room_type_text(&subscription.request, "effect") {
            "single_shot" => subscription.possibly_ran.is_empty(),
            "guarded" => {
                let window = self.settings.duration(
                    &format!("/profiles/{}/windowUs", subscription.request.room_type),
                    Duration::ZERO,
                );
                // A join counts from its arrival, and may wait for a connection first.
                let arrives_at =
                    self.now + self.settings.duration("/permissions/connectTimeoutUs", Duration::ZERO);
                subscription
                    .possibly_ran
                    .iter()
                    .all(|(streamer, sent_at)| same_group(*streamer) && arrives_at <= *sent_at + window)
            }
            _ => true,
        }
    }

    /// Rule 2: whether the final answer may tell the viewer that trying again does no harm.
    fn may_throttle(&self, subscription: &Subscription) -> bool {
        match self.settings.room_type_text(&subscription.request, "effect") {
            "single_shot" => subscription.possibly_ran.is_empty(),
            "guarded" => {
                subscription.possibly_ran.is_empty()
                    || self.settings.room_type_text(&subscription.request, "group") == "all"
            }
            _ => true,
        }
    }

    /// Rule 5: whether a seat is free for the title and room type, outstanding joins included.
    fn seat_free(&self, request: &SubscriptionRequest) -> bool {
        let seats = self.settings.list_number("/familyInfo/licenceCap", request.room_type, 0.0) as usize;
        seats == 0 || self.placements.seats_taken(request.title, request.room_type) < seats
    }

    /// Rule 6: whether one more repeated join fits the budget.
    fn retry_budget_allows(&mut self) -> bool {
        let window = self.settings.duration("/obligations/countedOverUs", Duration::ZERO);
        // Joins are kept one tick longer, so that a different count at the edge of the window breaks nothing.
        let tick = self.settings.duration("/tickUs", Duration::from_millis(10));
        self.request_times.retain(|t| *t + window > self.now);
        self.retry_join_times.retain(|t| *t + window + tick >= self.now);
        let ratio = self.settings.number("/obligations/extraRatio", 0.0);
        let max_retry_joins =
            self.settings.number("/obligations/budgetFree", 0.0) + ratio * self.request_times.len() as f64;
        window.is_zero() || self.retry_join_times.len() as f64 + 1.0 <= max_retry_joins
    }

    /// Sends a join for a subscription, schedules another attempt, or rejects it.
    fn place<W: DecisionSink>(&mut self, job: JobId, out: &mut W) {
        let Some(subscription) = self.subscriptions.get(&job).cloned() else { return };
        let max_joins = self.settings.number("/permissions/maxAttempts", 1.0).max(1.0) as u32;
        let may_join_again = subscription.possibly_ran.is_empty()
            || self.streamers.keys().any(|id| self.effect_allows_join(&subscription, *id));
        if subscription.joins_sent >= max_joins
            || self.now >= subscription.accepted_at + subscription.request.client_timeout
            || !may_join_again
        {
            return self.reject(job, out);
        }
        let may_join = self.seat_free(&subscription.request)
            && (subscription.joins_sent == 0 || self.retry_budget_allows());
        let is_holder = |s: &Streamer| {
            s.health == Health::Ready && subscription.request.is_held_by(s.cell, self.settings.cells)
        };
        let may_be_served = self.streamers.is_empty() || self.streamers.values().any(is_holder);
        // Thousands of waiting subscriptions cost much time, so the interval grows with their number.
        let retry_interval =
            PLACEMENT_RETRY_INTERVAL.max(Duration::from_millis(self.placements_due.len() as u64 / 4));
        let holders = if may_join { self.ranked_holders(job) } else { Vec::new() };
        match holders.first().copied() {
            Some(id) if self.should_probe_first(&subscription, id) => {
                self.subscriptions.entry(job).and_modify(|s| s.probed = true);
                self.placements_due.insert((self.now + PLACEMENT_RETRY_INTERVAL, job));
                let probe_count = if self.sharing_beats_probing() { 1 } else { PROBES_PER_JOIN };
                let unmeasured =
                    holders.into_iter().filter(|id| !self.has_recent_measurement(*id)).take(probe_count);
                let unmeasured = unmeasured
                    .filter(|id| self.streamers[id].probed_at + PLACEMENT_RETRY_INTERVAL <= self.now);
                unmeasured.collect::<Vec<_>>().into_iter().for_each(|id| self.probe(id, out));
            }
            Some(id) => self.send_join(job, id, subscription.joins_sent + 1 >= max_joins, out),
            // Waiting helps while the join objective can still be met: a slot, a seat or the list may come.
            None if may_be_served
                && self.now + retry_interval
                    < subscription.accepted_at + self.settings.join_objective(&subscription.request) =>
            {
                self.placements_due.insert((self.now + retry_interval, job));
            }
            None => self.reject(job, out),
        }
    }

    /// Whether to probe before this join: once for a streamer without a recent measurement, if time allows (a
    /// request may arrive with little of its time left).
    fn should_probe_first(&self, subscription: &Subscription, id: StreamerId) -> bool {
        let has_time = self.now + PLACEMENT_RETRY_INTERVAL
            < subscription.accepted_at + self.settings.join_objective(&subscription.request);
        has_time
            && !subscription.probed
            && self.settings.probes_report_load
            && !self.has_recent_measurement(id)
    }

    /// Sends a probe to a streamer.
    fn probe<W: DecisionSink>(&mut self, id: StreamerId, out: &mut W) {
        self.streamers.entry(id).and_modify(|s| s.probed_at = self.now);
        out.send_probe(id);
    }

    /// Whether a subscription would step up if there were headroom, and would gain more than a probe costs.
    fn may_step_up(&self, subscription: &Subscription) -> bool {
        let Some(step) = self
            .next_step(subscription, subscription.rung)
            .filter(|step| step.0 >= self.min_benefit_per_rate)
        else {
            return false;
        };
        let probe_cost = self.settings.number("/prices/probe", 0.0)
            * self.settings.mean_top_benefit()
            * self.mean_lifetime_s();
        let delivers_short = subscription.streamer.is_some_and(|id| self.delivered_fraction(id) < 0.98);
        // One probe in five is assumed to find headroom.
        let pays = 0.2 * step.0 * step.1 * self.expected_time_left_s(subscription) > probe_cost;
        subscription.playing
            && !delivers_short
            && pays
            && self.now >= subscription.last_step_at + MIN_STEP_INTERVAL
    }

    /// Probes each streamer where a subscription may step up and of which nothing was learned for a while.
    fn probe_stale_streamers<W: DecisionSink>(&mut self, out: &mut W) {
        let may_step_up =
            self.subscriptions.values().filter(|s| self.settings.probes_report_load && self.may_step_up(s));
        let stale = may_step_up.filter_map(|s| s.streamer).filter(|id| {
            let probed_at = self.streamers.get(id).map_or(Duration::ZERO, |s| s.probed_at);
            let known_at = probed_at.max(self.network_links.get(NetworkLink::Link(*id)).measured_at);
            known_at.is_zero() || known_at + REPROBE_INTERVAL <= self.now
        });
        let stale: BTreeSet<_> = stale.collect();
        stale.into_iter().for_each(|id| self.probe(id, out));
    }

    /// Whether load reports to peers replace probes: if probes cost more than they gain, and more than the
    /// reports.
    fn sharing_beats_probing(&self) -> bool {
        let (settings, report_interval_s) = (&self.settings, self.settings.report_interval.as_secs_f64());
        let probe_cost = settings.number("/prices/probe", 0.0) * PROBES_PER_JOIN as f64;
        // Requests in a report interval, times the size of a message in bytes.
        let request_message_bytes = (self.request_rate() * report_interval_s).max(0.01) * 256.0;
        let report_cost = settings.number("/prices/peer", 1.0)
            * (self.streamers.len() * load_reports::LINK_BYTES) as f64
            / request_message_bytes;
        settings.probes_report_load
            && settings.flag("/permissions/peers")
            && probe_cost > PROBE_BENEFIT
            && report_cost < probe_cost
    }

    /// Sends all peers the measurements that only this controller has made since the last progress reports
    /// (the draft's SERVSTAT, sent by the controller that measures). On average one controller sends in each
    /// period.
    fn share_measurements<W: DecisionSink>(&mut self, out: &mut W) {
        let (now, report_interval) = (self.now, self.settings.report_interval);
        if !self.sharing_beats_probing() || self.rng.unit_interval() * self.settings.controllers >= 1.0 {
            return;
        }
        let unshared = self.network_links.states.iter();
        let unshared = unshared.filter(|(_, link_state)| {
            now < link_state.own_measurement_at + report_interval
                && link_state.last_shared_at + report_interval <= now
        });
        let report = |network_link, measured_at| LoadReport {
            network_link,
            utilization: self.utilization(network_link),
            age: now - measured_at,
        };
        let reports: Vec<_> = unshared
            .take(load_reports::MAX_LINKS)
            .map(|(network_link, link_state)| report(*network_link, link_state.own_measurement_at))
            .collect();
        reports.iter().for_each(|report| {
            self.network_links.states.entry(report.network_link).or_default().last_shared_at = now
        });
        if !reports.is_empty() {
            out.send_to_peers(None, &load_reports::encode(&reports));
        }
    }

    /// Sends a join for a subscription to a streamer.
    fn send_join<W: DecisionSink>(&mut self, job: JobId, id: StreamerId, is_last: bool, out: &mut W) {
        let now = self.now;
        let Some(subscription) = self.subscriptions.get_mut(&job) else { return };
        (subscription.join_sent_at, subscription.setup_reports_received) = (now, false);
        subscription.joins_sent += 1;
        let subscription = subscription.clone();
        self.retry_join_times.extend((subscription.joins_sent > 1).then_some(now));
        self.streamers.entry(id).and_modify(|s| s.record_join_sent(now));
        let floor = self.settings.floor(&subscription.request);
        self.assign(job, Some(id), floor);
        // The highest rung within the target utilization, shared by benefit per rate with own subscriptions
        // there.
        let rung = self.allocate_rungs(self.uplink(id), Some(id)).get(&job).copied().unwrap_or(floor);
        let rung = self.spend_crossing_budget(id, &subscription, rung);
        self.assign(job, Some(id), rung);
        if (rung > floor || subscription.joins_sent > 1) && rung <= self.top(&subscription) {
            out.set_rung(job, rung);
        }
        let deadline = subscription.accepted_at + subscription.request.client_timeout;
        // A lost join leaves time for two more within the join objective; the last join has all the time that
        // is left.
        let join_timeout = self.settings.join_objective(&subscription.request).mul_f64(0.5);
        out.send_join(job, id, if is_last { deadline } else { deadline.min(now + join_timeout) });
    }

    /// Rejects a subscription: throttles it, with a time after which to retry where that is allowed, or fails
    /// it.
    fn reject<W: DecisionSink>(&mut self, job: JobId, out: &mut W) {
        let Some(subscription) = self.remove_subscription(job) else { return };
        if !self.may_throttle(&subscription) {
            return out.respond_error(job);
        }
        // 0.5 to 1 s: by then a slot or the list may be available, and viewers do not return at the same
        // time.
        let retry_after = Duration::from_millis(500) + self.rng.random_duration(Duration::from_millis(500));
        let max_retry_after = self.settings.duration("/permissions/maxRetryAfterUs", Duration::ZERO);
        let may_send_retry_after = self.settings.flag("/permissions/retryAfter");
        out.throttle(
            job,
            if may_send_retry_after { retry_after.min(max_retry_after) } else { Duration::ZERO },
        );
    }

    /// The demand that this controller allows itself on a link: its allowance; for a join its part of the
    /// headroom, shared with all joins that others may have sent since the measurement; and at least its
    /// present demand while that fits the target.
    fn allowed_demand(&self, network_link: NetworkLink, joining: bool) -> f64 {
        let link_state = self.network_links.get(network_link);
        let headroom = self.target_utilization(network_link) * self.capacity(network_link)
            - self.others_demand(network_link);
        link_state.allowance.max(match joining {
            true => {
                link_state.own_demand
                    + (headroom - link_state.own_demand) / (1.0 + self.expected_rival_joins(network_link))
            }
            // Nor is anything cut before the first measurement: an estimate lowers nothing.
            false if link_state.own_demand <= headroom || link_state.allowance == 0.0 => {
                link_state.own_demand
            }
            false => 0.0,
        })
    }

    /// Requests accepted per second lately, from the decaying count.
    fn recent_request_rate(&self) -> f64 {
        self.recent_requests.1
            * (-(self.now - self.recent_requests.0).as_secs_f64() / REQUEST_RATE_DECAY_S).exp()
            / REQUEST_RATE_DECAY_S
    }

    /// The recent request rate, at least the mean rate since the start.
    fn request_rate(&self) -> f64 {
        self.recent_request_rate()
            .max(self.accepted_requests / (self.now - self.started_at).as_secs_f64().max(1.0))
    }

    /// Joins that others may have sent to a link since its last measurement, if all are as busy as this
    /// controller.
    fn expected_rival_joins(&self, network_link: NetworkLink) -> f64 {
        let elapsed_s = self
            .now
            .saturating_sub(self.network_links.get(network_link).measured_at)
            .min(MEASUREMENT_VALIDITY)
            .as_secs_f64();
        self.request_rate()
            * (self.settings.controllers - 1.0)
            * elapsed_s
            * self.network_links.get(network_link).streamers.len().max(1) as f64
            / self.streamers.len().max(1) as f64
    }

    /// The step to the next rung: (benefit per rate, added rate in kB/s); nothing at the top.
    fn next_step(&self, subscription: &Subscription, rung: u8) -> Option<(f64, f64)> {
        let [current, next] = [rung, rung.saturating_add(1)]
            .map(|rung| self.settings.rung_rate_and_benefit(subscription.request.room_type, rung));
        let added_rate = (next.0 - current.0).max(1e-9);
        // A playing subscription keeps its rung unless another gains four times as much: a switch costs, here
        // twice.
        let hold_factor = if subscription.playing && rung < subscription.rung { 4.0 } else { 1.0 };
        (rung < self.top(subscription))
            .then_some((hold_factor * (next.1 - current.1) / added_rate, added_rate))
    }

    /// The lowest benefit per rate of a step that would fit if this controller's part of all links and
    /// uplinks were given to its subscriptions, best steps first. Headroom found beyond that is left for
    /// subscriptions to come.
    fn fleet_min_benefit_per_rate(&self) -> f64 {
        let ready = self.streamers.iter().filter(|(_, s)| s.health == Health::Ready);
        let link_capacity: f64 = ready.map(|(id, _)| self.capacity(NetworkLink::Link(*id))).sum();
        let uplinks = self
            .network_links
            .states
            .keys()
            .filter(|network_link| matches!(network_link, NetworkLink::Uplink(_)));
        let even_part = TARGET_UTILIZATION
            * link_capacity.min(uplinks.map(|uplink| self.capacity(*uplink)).sum())
            / self.settings.controllers;
        let placed = || self.subscriptions.values().filter(|s| s.streamer.is_some());
        let own_rate: f64 = placed().map(|s| self.settings.rate(&s.request, s.rung)).sum();
        // Viewers are spread unevenly: takes the geometric mean of the even part and the part that follows
        // own demand.
        let utilization = self.mean_others_utilization[0].max(self.mean_others_utilization[1])
            / (1.0 - 1.0 / self.settings.controllers).max(0.5);
        let mut remaining = if utilization > 0.0 {
            (even_part * own_rate * TARGET_UTILIZATION / utilization.max(0.1)).sqrt()
        } else {
            even_part
        };
        let mut steps = Vec::new();
        for subscription in placed() {
            let at_floor = Subscription { request: subscription.request, ..Default::default() };
            remaining -=
                self.settings.rate(&subscription.request, self.settings.floor(&subscription.request));
            steps.extend(
                (self.settings.floor(&subscription.request)..)
                    .map_while(|rung| self.next_step(&at_floor, rung)),
            );
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0));
        let first_excluded = steps.into_iter().find(|step| {
            remaining -= step.1;
            remaining < 0.0
        });
        first_excluded.map_or(0.0, |step| step.0)
    }

    /// Allocates the capacity of a rack's links and uplink to this controller's subscriptions: from their
    /// floors up, always the step with the highest benefit per rate, while link and uplink have headroom.
    fn allocate_rungs(&self, uplink: NetworkLink, joining: Option<StreamerId>) -> BTreeMap<JobId, u8> {
        let mut link_headroom: BTreeMap<StreamerId, f64> = BTreeMap::new();
        let mut uplink_headroom = self.allowed_demand(uplink, joining.is_some());
        let (mut floors, mut placed, mut links) = (Vec::new(), Vec::new(), Vec::new());
        for (job, id, subscription) in self.subscriptions_on(uplink) {
            let headroom = link_headroom
                .entry(id)
                .or_insert_with(|| self.allowed_demand(NetworkLink::Link(id), joining == Some(id)));
            let floor = self.settings.floor(&subscription.request);
            *headroom -= self.settings.rate(&subscription.request, floor);
            uplink_headroom -= self.settings.rate(&subscription.request, floor);
            floors.push((job, floor));
            placed.push(subscription);
            links.push(id);
        }
        let next_step = |index: usize, taken: u8| {
            let (benefit_per_rate, added_rate) = self.next_step(placed[index], floors[index].1 + taken)?;
            let step = Step { benefit_per_rate, added_rate };
            (benefit_per_rate >= self.min_benefit_per_rate).then_some(step)
        };
        let taken = take_best_steps(&links, &mut link_headroom, uplink_headroom, next_step);
        floors.into_iter().zip(taken).map(|((job, floor), taken)| (job, floor + taken)).collect()
    }

    /// Lowers rungs over the allowance at once; raises rungs that have headroom, each at most once per step
    /// interval.
    fn adjust_rungs<W: DecisionSink>(&mut self, out: &mut W) {
        let own_uplinks = self.subscriptions.values().filter_map(|s| Some(self.uplink(s.streamer?)));
        for uplink in own_uplinks.collect::<BTreeSet<_>>() {
            let exceeds_allowance = |controller: &Self, network_link| {
                controller.network_links.get(network_link).own_demand
                    > controller.allowed_demand(network_link, false) + 1e-6
            };
            let uplink_exceeds = exceeds_allowance(self, uplink);
            for (job, rung) in self.allocate_rungs(uplink, None) {
                let Some(subscription) = self.subscriptions.get_mut(&job) else { continue };
                let Some(id) =
                    subscription.streamer.filter(|_| subscription.playing && rung != subscription.rung)
                else {
                    continue;
                };
                let (lowering, interval_passed) =
                    (rung < subscription.rung, self.now >= subscription.last_step_at + MIN_STEP_INTERVAL);
                if interval_passed && !lowering
                    || lowering && (uplink_exceeds || exceeds_allowance(self, NetworkLink::Link(id)))
                {
                    // After a cut the next step may come after 8 s: crowds leave as quickly as they come.
                    let last_step_at = self.now.saturating_sub(Duration::from_secs(12 * u64::from(lowering)));
                    self.subscriptions.entry(job).and_modify(|s| s.last_step_at = last_step_at);
                    self.assign(job, Some(id), rung);
                    out.set_rung(job, rung);
                }
            }
        }
    }

    /// The design's tick: moves own subscriptions to a holder whose load, with the subscription added, stays
    /// below that of the source without it by the design's margin, if the target has headroom and the gain
    /// exceeds the price of a move. At most two per tick, as in the design.
    fn move_subscriptions<W: DecisionSink>(&mut self, out: &mut W) {
        for _ in 0..2 {
            let mut best: Option<(f64, JobId)> = None;
            let available = self.streamers.iter().filter(|(_, s)| s.avoid_until <= self.now);
            let candidates =
                self.sample_candidates(&available.map(|(target, _)| *target).collect::<Vec<_>>());
            let targets: Vec<_> = candidates
                .iter()
                .map(|target| (*target, &self.streamers[target], self.load(*target)))
                .collect();
            let sources: BTreeMap<_, _> =
                self.placements.streamers().map(|source| (source, self.source_load(source))).collect();
            for (job, subscription) in
                self.subscriptions.iter().filter(|(_, s)| s.playing && !s.request.moved)
            {
                let Some(source) = subscription.streamer else { continue };
                let Some((source_load, delivered)) = sources.get(&source).copied() else { continue };
                for (target, target_state, target_load) in targets
                    .iter()
                    .filter(|(target, _, target_load)| *target != source && source_load - target_load > 0.1)
                {
                    let gain = self.move_gain(
                        subscription,
                        (source, source_load, delivered),
                        (*target, *target_load),
                    );
                    if gain > best.map_or(0.0, |b| b.0) && self.usable(subscription, *target, target_state) {
                        best = Some((gain, *job));
                    }
                }
            }
            let Some((_, job)) = best else { return };
            self.remove_subscription(job);
            out.move_subscription(job);
        }
    }

    /// The load of a streamer from which subscriptions may move, and the fraction that it delivers. One that
    /// delivers short is at least correspondingly loaded.
    fn source_load(&self, source: StreamerId) -> (f64, f64) {
        let delivered = self.delivered_fraction(source);
        let load_by_delivery = if delivered < 0.98 { 1.0 / delivered } else { 0.0 };
        (self.load(source).max(load_by_delivery), delivered)
    }

    /// Mean lifetime of subscriptions in seconds; starts as if four had lasted 30 s.
    fn mean_lifetime_s(&self) -> f64 {
        (120.0 + self.lifetime_sums.0) / (4.0 + self.lifetime_sums.1)
    }

    /// The expected time left of a subscription, in seconds.
    fn expected_time_left_s(&self, subscription: &Subscription) -> f64 {
        let age = self.now - subscription.accepted_at;
        match subscription.request.duration_hint {
            Some(hint) => hint.saturating_sub(age).as_secs_f64(),
            // Lifetimes differ: the mean less the age, and at least a quarter of the mean for long ones.
            None => (self.mean_lifetime_s() - age.as_secs_f64()).max(self.mean_lifetime_s() / 4.0),
        }
    }

    /// Gain of a move in seconds of benefit, less its price; zero where the design forbids the move.
    fn move_gain(
        &self, subscription: &Subscription, (source, source_load, delivered): (StreamerId, f64, f64),
        (target, target_load): (StreamerId, f64),
    ) -> f64 {
        let rate = |rung| self.settings.rate(&subscription.request, rung);
        let added_load = rate(subscription.rung) * self.hint_factor(subscription)
            / self.capacity(NetworkLink::Link(target));
        let (link, uplink) = (NetworkLink::Link(target), self.uplink(target));
        let has_headroom = |network_link, rung| {
            self.utilization(network_link) + rate(rung) / self.capacity(network_link)
                < self.target_utilization(network_link)
        };
        let both_have_headroom = |rung: &u8| {
            has_headroom(link, *rung) && (self.uplink(source) == uplink || has_headroom(uplink, *rung))
        };
        if target_load + added_load > source_load - added_load
            || source_load - target_load <= 2.0 * added_load + 0.1
            || !both_have_headroom(&subscription.rung)
        {
            return 0.0;
        }
        // Steps that the minimum benefit per rate would hold back are not counted.
        let worthwhile = |rung: &u8| {
            *rung <= subscription.rung
                || self.next_step(subscription, *rung - 1).is_some_and(|s| s.0 >= self.min_benefit_per_rate)
        };
        let best_rung = (subscription.rung..=self.top(subscription))
            .rev()
            .find(|r| both_have_headroom(r) && worthwhile(r))
            .unwrap_or(subscription.rung);
        let stall_loss = (0.98 - delivered).max(0.0) * self.settings.number("/familyInfo/stall", 5.0);
        let current_benefit =
            self.settings.benefit(&subscription.request, subscription.rung) * (1.0 - stall_loss).max(0.0);
        let added_benefit = self.settings.benefit(&subscription.request, best_rung) - current_benefit;
        let price = self.settings.number("/prices/moves", 0.0)
            * self.settings.mean_top_benefit()
            * self.mean_lifetime_s();
        // Gains are estimates, so 30 % is deducted; and one second is lost during the move.
        0.7 * added_benefit * self.expected_time_left_s(subscription)
            - price
            - self.settings.benefit(&subscription.request, subscription.rung)
    }
}
