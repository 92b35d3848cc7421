//! Changes of facts that need no decision (settings, list, timers), and sums of the demand on each link.

use serde_json::{Map, Value};

use super::{Controller, DUE_TIMER, MEASUREMENT_VALIDITY};
use crate::interface::{DecisionSink, JobId, Listing, StreamerId};
use crate::settings::{mean, Settings};
use crate::state::{NetworkLink, Subscription};

impl Controller {
    /// Replaces the settings. Room types, zones, kinds and cells must keep their numbers, since existing
    /// state refers to them by number. A rung above its new top is lowered to it. Links and uplinks get their
    /// new capacities with the next list.
    pub fn update_settings(&mut self, options: Map<String, Value>) {
        self.settings = Settings::new(options);
        let Self { settings, subscriptions, .. } = self;
        subscriptions.values_mut().for_each(|subscription| {
            subscription.rung = subscription.rung.min(settings.top(&subscription.request))
        });
        // Own demand was summed at the previous rates.
        self.recompute_own_demand();
    }

    /// Sets which cells hold a subscription's title: `copies` cells from `first_cell` on.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        if let Some(subscription) = self.subscriptions.get_mut(&job) {
            (subscription.request.first_cell, subscription.request.copies) = (first_cell, copies);
        }
    }

    /// Limits a subscription to rungs up to `top` for good, by lowering it now. A cap that was set before
    /// stays.
    pub fn limit_rung<W: DecisionSink>(&mut self, job: JobId, top: u8, out: &mut W) {
        let Some(cap) = self.subscriptions.get(&job).map(|subscription| subscription.rung_cap) else {
            return;
        };
        self.set_rung_cap(job, Some(cap.map_or(top, |cap| cap.min(top))), out);
        self.subscriptions.entry(job).and_modify(|subscription| subscription.rung_cap = cap);
    }

    /// Records that a subscription is at another streamer than the one that it was sent to: that one was replaced
    /// at its address before.
    pub fn streamer_changed(&mut self, job: JobId, streamer: StreamerId) {
        let placed = self.subscriptions.get(&job).filter(|subscription| subscription.streamer.is_some());
        if let Some(rung) = placed.map(|subscription| subscription.rung) {
            self.assign(job, Some(streamer), rung);
        }
    }

    /// Records that a timer set through the writer has fired.
    pub fn timer_fired(&mut self, token: u64) {
        if token == DUE_TIMER {
            self.due_timer_at = None;
        }
    }

    /// Drops a subscription that the host answered or closed itself, such as when its viewer left.
    pub fn expired(&mut self, job: JobId) {
        self.remove_subscription(job);
    }

    /// Begins a list; in a complete one, streamers that do not follow are departed.
    pub fn list_begins(&mut self, kind: Listing) {
        if matches!(kind, Listing::Complete | Listing::Cached) {
            self.streamers.values_mut().for_each(|s| s.listed = false);
        }
    }

    /// The capacity of a link at present, reduced while its streamer warms up.
    pub(super) fn capacity(&self, network_link: NetworkLink) -> f64 {
        let link_state = self.network_links.get(network_link);
        (link_state.nominal_capacity * self.warm_fraction(network_link)).max(1.0)
    }

    /// The uplink of a streamer's rack.
    pub(super) fn uplink(&self, id: StreamerId) -> NetworkLink {
        NetworkLink::uplink(self.streamers.get(&id).map_or(0, |s| s.cell), &self.settings)
    }

    /// The demand of all controllers on a link, as a fraction of its capacity.
    pub(super) fn utilization(&self, network_link: NetworkLink) -> f64 {
        (self.others_demand(network_link) + self.network_links.get(network_link).own_demand)
            / self.capacity(network_link)
    }

    /// Updates the mean utilization by others, of uplinks and of links, from those measured lately.
    pub(super) fn update_mean_others_utilization(&mut self) {
        self.mean_others_utilization =
            [false, true].map(|is_link| {
                let fresh = self
                    .network_links
                    .states
                    .iter()
                    .filter(|(_, link_state)| link_state.is_fresh(self.now, MEASUREMENT_VALIDITY));
                let of_this_kind =
                    fresh.filter(|(network_link, _)| matches!(network_link, NetworkLink::Link(_)) == is_link);
                mean(of_this_kind.map(|(network_link, link_state)| {
                    link_state.others_demand / self.capacity(*network_link)
                }))
                .unwrap_or(self.mean_others_utilization[usize::from(is_link)])
            });
    }

    /// The mean rate of this controller's subscriptions.
    pub(super) fn mean_own_rate(&self) -> f64 {
        let placed = self.subscriptions.values().filter(|s| s.streamer.is_some());
        mean(placed.map(|s| self.settings.rate(&s.request, s.rung))).unwrap_or(0.0)
    }

    /// The mean size, in kB/s, of one rung step of this controller's subscriptions on a link.
    pub(super) fn mean_step_rate(&self, network_link: NetworkLink, upwards: bool) -> f64 {
        let next_rung =
            |s: &Subscription| if upwards { self.top(s).min(s.rung + 1) } else { s.rung.max(1) - 1 };
        let step_rate = |s: &Subscription| {
            self.settings.rate(&s.request, next_rung(s)) - self.settings.rate(&s.request, s.rung)
        };
        let there = self.subscriptions_on(network_link).into_iter().map(|(.., subscription)| subscription);
        let playing_there = there.filter(|subscription| subscription.playing);
        mean(playing_there.map(|s| step_rate(s).abs())).unwrap_or(0.0)
    }

    /// Sets the streamer and the rung of a subscription, and keeps the own demand of both links up to date.
    pub(super) fn assign(&mut self, job: JobId, streamer: Option<StreamerId>, rung: u8) {
        let Some(subscription) = self.subscriptions.get(&job) else { return };
        let rate = |rung| self.settings.rate(&subscription.request, rung);
        for (id, added_demand) in [(subscription.streamer, -rate(subscription.rung)), (streamer, rate(rung))]
        {
            let both_links = id.map(|id| [NetworkLink::Link(id), self.uplink(id)]);
            both_links.into_iter().flatten().for_each(|network_link| {
                self.network_links.add_own_demand(network_link, added_demand, self.now)
            });
        }
        let (previous, request) = (subscription.streamer, subscription.request);
        self.placements.assign(job, &request, previous, streamer);
        self.subscriptions
            .entry(job)
            .and_modify(|subscription| (subscription.streamer, subscription.rung) = (streamer, rung));
    }

    /// The subscriptions at a streamer, by their number.
    pub(super) fn subscriptions_at(&self, id: StreamerId) -> impl Iterator<Item = (JobId, &Subscription)> {
        self.placements.at(id).filter_map(|job| Some((job, self.subscriptions.get(&job)?)))
    }

    /// The subscriptions that use a link or an uplink, with their streamers, by their number.
    pub(super) fn subscriptions_on(
        &self, network_link: NetworkLink,
    ) -> Vec<(JobId, StreamerId, &Subscription)> {
        let uses_link =
            |id: &StreamerId| network_link == NetworkLink::Link(*id) || network_link == self.uplink(*id);
        let mut users: Vec<_> = self
            .placements
            .streamers()
            .filter(uses_link)
            .flat_map(|id| self.subscriptions_at(id).map(move |(job, subscription)| (job, id, subscription)))
            .collect();
        users.sort_unstable_by_key(|(job, ..)| *job);
        users
    }

    /// Recomputes the own demand of all links: streamers may be listed only after their subscriptions are
    /// known.
    pub(super) fn recompute_own_demand(&mut self) {
        self.network_links.states.values_mut().for_each(|link_state| link_state.own_demand = 0.0);
        for subscription in self.subscriptions.values() {
            let Some(id) = subscription.streamer else { continue };
            let demand = self.settings.rate(&subscription.request, subscription.rung);
            for network_link in [NetworkLink::Link(id), self.uplink(id)] {
                self.network_links.add_own_demand(network_link, demand, self.now);
            }
        }
    }

    /// Removes a subscription and its demand.
    pub(super) fn remove_subscription(&mut self, job: JobId) -> Option<Subscription> {
        self.placements.drop_claim(job);
        self.assign(job, None, 0);
        self.subscriptions.remove(&job)
    }
}
