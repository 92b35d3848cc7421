//! Records of streamers, links and subscriptions that the decisions are made from. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::interface::{Health, JobId, StreamerId, SubscriptionRequest};
use crate::settings::{mean, Settings};

/// A network resource of limited capacity: a streamer's link, or the uplink that the streamers of a rack
/// share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NetworkLink {
    Link(StreamerId),
    Uplink(u32),
}

impl NetworkLink {
    /// The uplink of the rack that a cell belongs to.
    pub fn uplink(cell: u32, settings: &Settings) -> Self {
        NetworkLink::Uplink(cell % settings.racks)
    }
}

/// Demand on one network link and its capacity. Rates are in kB/s.
#[derive(Debug)]
pub struct LinkState {
    /// Demand of all other controllers, as last computed.
    pub others_demand: f64,
    pub measured_at: Duration,
    /// When this controller last measured the link itself, and when a load report on it was last sent or
    /// received.
    pub own_measurement_at: Duration,
    pub last_shared_at: Duration,
    /// Whether the demand was ever measured.
    pub measured: bool,
    /// Demand of this controller now, and its recent history as (since, demand).
    pub own_demand: f64,
    pub own_demand_history: VecDeque<(Duration, f64)>,
    /// Highest demand that this controller allows itself until the next measurement.
    pub allowance: f64,
    /// No further cut is made before this time: measurements do not show the previous one yet.
    pub no_cut_until: Duration,
    /// When the link was last found to deliver less than was requested.
    pub short_delivery_at: Option<Duration>,
    /// Capacity from the settings, before any warm-up reduction; for an uplink also the streamers behind it.
    pub nominal_capacity: f64,
    pub streamers: Vec<StreamerId>,
}

/// State of a link that is not in the table.
static UNKNOWN: LinkState = LinkState::new();

/// The state of all links and uplinks.
#[derive(Default)]
pub struct NetworkLinks {
    pub states: BTreeMap<NetworkLink, LinkState>,
}

impl NetworkLinks {
    /// The state of a link; the default state if it is not in the table.
    pub fn get(&self, network_link: NetworkLink) -> &LinkState {
        self.states.get(&network_link).unwrap_or(&UNKNOWN)
    }

    /// Changes this controller's own demand on a link by `added_demand`, which may be negative.
    pub fn add_own_demand(&mut self, network_link: NetworkLink, added_demand: f64, now: Duration) {
        if let Some(link_state) = self.states.get_mut(&network_link) {
            link_state.own_demand += added_demand;
            link_state.record_own_demand(now, Duration::from_secs(10));
        }
    }

    /// Rebuilds the table from the list: which links exist, their nominal capacities, and the streamers
    /// behind each uplink.
    pub fn rebuild(&mut self, streamers: &BTreeMap<StreamerId, Streamer>, settings: &Settings) {
        let ready = streamers.values().filter(|s| s.health == Health::Ready);
        let mean_stream_capacity = mean(ready.map(|s| settings.stream_capacity(s.kind))).unwrap_or(1.0);
        self.states.values_mut().for_each(|link_state| link_state.streamers.clear());
        let mut cells: BTreeMap<u32, f64> = BTreeMap::new();
        for (id, s) in streamers {
            let link = settings.nominal_link_capacity(s.weight, s.kind, mean_stream_capacity);
            self.states.entry(NetworkLink::Link(*id)).or_default().nominal_capacity = link;
            cells.insert(s.cell, link);
            let uplink = self.states.entry(NetworkLink::uplink(s.cell, settings)).or_default();
            if s.health != Health::Gone {
                uplink.streamers.push(*id);
            }
        }
        // The settings give only the mean uplink. A rack's uplink is scaled by the links that its cells have
        // had.
        let mut racks: BTreeMap<NetworkLink, f64> = BTreeMap::new();
        for (cell, link) in cells {
            *racks.entry(NetworkLink::uplink(cell, settings)).or_default() += link;
        }
        let mean_links = mean(racks.values().copied()).unwrap_or(1.0);
        for (network_link, links) in racks {
            let nominal_capacity = settings.number("/familyInfo/uplinkKb", 1e12) * links / mean_links;
            self.states
                .entry(network_link)
                .and_modify(|link_state| link_state.nominal_capacity = nominal_capacity);
        }
    }
}

/// Removes departed streamers whose cell has a newer streamer and that carry none of this controller's
/// subscriptions: each start has a new id, so the table would grow without bound. The last streamer of a cell
/// stays, since the capacity of a rack's uplink is computed from the links of its cells.
pub fn remove_departed(
    streamers: &mut BTreeMap<StreamerId, Streamer>, links: &mut NetworkLinks,
    subs: &BTreeMap<JobId, Subscription>,
) {
    let listed = streamers.values().filter(|s| s.health != Health::Gone);
    let cells: BTreeSet<u32> = listed.map(|s| s.cell).collect();
    let playing_on: BTreeSet<StreamerId> = subs.values().filter_map(|s| s.streamer).collect();
    streamers.retain(|id, s| s.health != Health::Gone || !cells.contains(&s.cell) || playing_on.contains(id));
    links.states.retain(|network_link, _| match network_link {
        NetworkLink::Link(id) => streamers.contains_key(id),
        NetworkLink::Uplink(_) => true,
    });
}

impl LinkState {
    /// A link without demand and with a capacity of 1 kB/s.
    pub const fn new() -> Self {
        Self {
            others_demand: 0.0,
            measured_at: Duration::ZERO,
            own_measurement_at: Duration::ZERO,
            last_shared_at: Duration::ZERO,
            measured: false,
            own_demand: 0.0,
            own_demand_history: VecDeque::new(),
            allowance: 0.0,
            no_cut_until: Duration::ZERO,
            short_delivery_at: None,
            nominal_capacity: 1.0,
            streamers: Vec::new(),
        }
    }

    /// Whether the demand was measured less than `max_age` ago.
    pub fn is_fresh(&self, now: Duration, max_age: Duration) -> bool {
        self.measured && now < self.measured_at + max_age
    }

    /// Records the current own demand in the history and drops entries older than `retention`.
    pub fn record_own_demand(&mut self, now: Duration, retention: Duration) {
        match self.own_demand_history.back_mut() {
            Some((since, own_demand)) if *since == now => *own_demand = self.own_demand,
            _ => self.own_demand_history.push_back((now, self.own_demand)),
        }
        while self.own_demand_history.get(1).is_some_and(|(since, _)| *since + retention < now) {
            self.own_demand_history.pop_front();
        }
    }

    /// This controller's own demand at `time`.
    pub fn own_demand_at(&self, time: Duration) -> f64 {
        self.own_demand_history.iter().rev().find(|(since, _)| *since <= time).map_or(0.0, |(_, rate)| *rate)
    }
}

impl Default for LinkState {
    fn default() -> Self {
        Self::new()
    }
}

/// What a controller knows about one streamer.
#[derive(Clone, Debug)]
pub struct Streamer {
    pub zone: u16,
    pub kind: usize,
    pub cell: u32,
    pub health: Health,
    pub weight: f64,
    pub started_at: Duration,
    /// The number by which the list identifies that start; all controllers see the same number.
    pub start_number: u64,
    /// Counts of joins served and failed, decayed exponentially; `decayed_at` is when they were last decayed.
    pub recent_served_joins: f64,
    pub recent_failed_joins: f64,
    pub decayed_at: Duration,
    pub avoid_until: Duration,
    pub full_until: Duration,
    /// When a progress report last gave the fraction of the requested rate that it delivers, and that
    /// fraction.
    pub delivered: (Duration, f64),
    /// When a failure was last seen; it may have restarted since, which the list reports later.
    pub failed_at: Option<Duration>,
    /// When it was last probed, and when it last answered a probe.
    pub probed_at: Duration,
    pub probe_answered_at: Duration,
    /// When the latest joins were sent to it.
    pub recent_joins: VecDeque<Duration>,
    pub listed: bool,
}

impl Streamer {
    /// A streamer that was listed for the first time at `now`.
    pub fn new(health: Health, now: Duration) -> Self {
        Self {
            zone: 0,
            kind: 0,
            cell: 0,
            health,
            weight: 1.0,
            started_at: Duration::ZERO,
            start_number: 0,
            recent_served_joins: 0.0,
            recent_failed_joins: 0.0,
            decayed_at: now,
            avoid_until: Duration::ZERO,
            full_until: Duration::ZERO,
            delivered: (Duration::ZERO, 1.0),
            failed_at: None,
            probed_at: Duration::ZERO,
            probe_answered_at: Duration::ZERO,
            recent_joins: VecDeque::new(),
            listed: true,
        }
    }

    /// Whether the last probe was sent less than `max_age` ago and was not answered.
    pub fn probe_unanswered(&self, now: Duration, max_age: Duration) -> bool {
        self.probe_answered_at < self.probed_at && now < self.probed_at + max_age
    }

    /// Records that a join was sent. Entries are kept far longer than any window over which joins are
    /// counted.
    pub fn record_join_sent(&mut self, now: Duration) {
        self.recent_joins.push_back(now);
        self.recent_joins.retain(|t| *t + Duration::from_secs(30) > now);
    }
}

/// A subscription that this controller is placing or that plays.
#[derive(Clone, Debug, Default)]
pub struct Subscription {
    pub request: SubscriptionRequest,
    pub accepted_at: Duration,
    /// Number of joins sent so far.
    pub joins_sent: u32,
    /// Whether streamers were probed for it.
    pub probed: bool,
    /// The streamer of the outstanding join, or the one on which it plays.
    pub streamer: Option<StreamerId>,
    pub join_sent_at: Duration,
    pub playing: bool,
    pub rung: u8,
    pub last_step_at: Duration,
    /// Temporary limit on the rung, set where a crossing budget applies.
    pub rung_cap: Option<u8>,
    /// Whether all progress reports that come with its set-up have arrived.
    pub setup_reports_received: bool,
    /// Joins that may have run, with the time each was sent; and all streamers tried.
    pub possibly_ran: Vec<(StreamerId, Duration)>,
    pub tried: Vec<StreamerId>,
}
