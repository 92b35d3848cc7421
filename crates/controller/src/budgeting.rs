//! Applies the bandwidth budgets for traffic between zones: spent bytes go in, plans and messages to other
//! controllers come out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::JobId;
use badgerledge_crossing::{
    plan_rungs, CrossZoneSubscription, LadderRung, Message, RateLeases, RungPlan, TokenBucket,
};
use badgerledge_deployment::Deployment;
use badgerledge_exchange::subscription_table::{Join, SubscriptionRecord, SubscriptionTable};

use crate::connections::Connections;

/// Interval between plans: the same as the module's periodic work.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The path number of a budget for all cross-zone traffic.
const ALL_PATHS: u16 = u16::MAX;

/// The budget of one path: from one zone to another, or of all cross-zone traffic. Of a path that does not
/// end in this controller's zone, the controller owns a share like every other, and only lends it.
struct PathBudget {
    /// The zone that the path starts in; `None` where the budget covers all traffic.
    from: Option<u16>,
    /// Whether the path ends in this controller's zone.
    ends_here: bool,
    bucket: TokenBucket,
    lending: RateLeases,
    planned_rate: f64,
}

/// The budgets of all paths that this controller takes part in.
pub struct CrossingBudgets {
    path_budgets: BTreeMap<u16, PathBudget>,
    next_plan_at: Duration,
    /// Subscriptions whose rung the last plans capped.
    capped: BTreeSet<JobId>,
}

impl CrossingBudgets {
    /// `None` where the deployment has no budget.
    pub fn new(deployment: &Deployment, now: Duration, seed: u64) -> Option<Self> {
        let (budget, place) = (deployment.shared.crossing.as_ref()?, &deployment.place);
        let zones = &deployment.shared.fleet.zones;
        let new_budget = |from: Option<u16>, ends_here: bool, path: u16| {
            let bucket = TokenBucket::new(budget.rate_kb_s, budget.burst_kb, place.controllers, now);
            let seed = seed ^ u64::from(path).rotate_left(32);
            let lending = RateLeases::new(place.number, place.controllers, bucket.rate_share(), now, seed);
            PathBudget { from, ends_here, bucket, lending, planned_rate: 0.0 }
        };
        let mut path_budgets = BTreeMap::new();
        if budget.per == "pair" {
            let count = zones.len() as u16;
            for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
                let (path, ends_here) = (from * count + to, zones[usize::from(to)] == place.zone);
                if from != to {
                    path_budgets.insert(path, new_budget(Some(from), ends_here, path));
                }
            }
        } else {
            path_budgets.insert(ALL_PATHS, new_budget(None, true, ALL_PATHS));
        }
        Some(Self { path_budgets, next_plan_at: now, capped: BTreeSet::new() })
    }

    /// When the next plans are due.
    pub fn next_due(&self) -> Duration {
        self.next_plan_at
    }

    /// Handles a lending message of another controller and answers it. Returns whether it was one.
    pub fn handle(&mut self, connections: &mut Connections, peer: u32, bytes: &[u8]) -> bool {
        let Some((path, message)) = Message::decode(bytes) else { return false };
        let path_budget = self.path_budgets.get_mut(&path);
        if let Some(answer) =
            path_budget.and_then(|budget| budget.lending.handle_message(connections.now, peer, message))
        {
            connections.send_to_peer(peer, &answer.encode(path));
        }
        true
    }

    /// Makes plans from the traffic since the last ones, each with the zone that its path starts in.
    pub fn plan(
        &mut self, connections: &mut Connections, book: &SubscriptionTable,
    ) -> Vec<(Option<u16>, RungPlan)> {
        let now = connections.now;
        self.next_plan_at = now + PLAN_INTERVAL;
        let spent_bytes = std::mem::take(&mut connections.cross_zone_bytes);
        let mut plans = Vec::new();
        for (path, budget) in &mut self.path_budgets {
            let planned = budget.ends_here.then(|| budget.plan(connections, book, &spent_bytes));
            let wanted_rate = planned.as_ref().map_or(0.0, |(_, wanted_rate)| *wanted_rate);
            budget.lending.request_leases(now, wanted_rate, |peer, message| {
                connections.send_to_peer(peer, &message.encode(*path))
            });
            plans.extend(planned.map(|(plan, _)| (budget.from, plan)));
        }
        plans
    }

    /// The rung caps that the plans set, and `None` for each that the last plans set and these do not.
    pub fn caps(&mut self, plans: &[(Option<u16>, RungPlan)]) -> Vec<(JobId, Option<u8>)> {
        let rung_caps = || plans.iter().flat_map(|(_, plan)| &plan.max_rungs);
        let capped: BTreeSet<JobId> = rung_caps().map(|(job, _)| *job).collect();
        let lifted = self.capped.difference(&capped).map(|job| (*job, None));
        let caps = lifted.chain(rung_caps().map(|(job, top)| (*job, Some(*top)))).collect();
        self.capped = capped;
        caps
    }
}

impl PathBudget {
    /// Returns a plan, and the rate that would be used without a budget.
    fn plan(
        &mut self, connections: &Connections, book: &SubscriptionTable, spent_bytes: &BTreeMap<u16, u64>,
    ) -> (RungPlan, f64) {
        let is_on_path = |zone: u16| self.from.is_none_or(|from| from == zone);
        let bytes: u64 =
            spent_bytes.iter().filter(|(zone, _)| is_on_path(**zone)).map(|(_, bytes)| *bytes).sum();
        let crossers: Vec<CrossZoneSubscription> = book
            .playing_joins()
            .filter_map(|subscription| crosser(connections, subscription, is_on_path))
            .collect();
        // Joins in progress will play at the rungs that they were sent with, which the plan cannot change
        // yet.
        let joining_rate: f64 = book
            .outstanding_joins()
            .filter_map(|subscription| crosser(connections, subscription, is_on_path))
            .map(|crossing| rate_of(&crossing))
            .sum();
        let owned = self.lending.available_rate(connections.now);
        self.bucket.record_usage(
            connections.now,
            owned,
            bytes as f64 / 1000.0,
            self.planned_rate * PLAN_INTERVAL.as_secs_f64(),
        );
        let new_plan = plan_rungs(&crossers, (self.bucket.plannable_rate(owned) - joining_rate).max(0.0));
        self.planned_rate = new_plan.planned_rate_kb_s + joining_rate;
        let wanted_rate: f64 =
            crossers.iter().filter_map(|crossing| crossing.rungs.last()).map(|step| step.rate_kb_s).sum();
        (new_plan, wanted_rate + joining_rate)
    }
}

/// The rate of a subscription at its present rung.
fn rate_of(crosser: &CrossZoneSubscription) -> f64 {
    let index = usize::from(crosser.current_rung.saturating_sub(crosser.floor));
    crosser.rungs.get(index).or(crosser.rungs.last()).map_or(0.0, |step| step.rate_kb_s)
}

/// A subscription as the planner needs it; `None` where it does not cross zones, or not on this plan's path.
fn crosser(
    connections: &Connections, (job, record, join): (JobId, &SubscriptionRecord, &Join),
    is_on_path: impl Fn(u16) -> bool,
) -> Option<CrossZoneSubscription> {
    let shared = &connections.deployment.shared;
    let from = *connections.streamer_zones.get(&join.streamer)?;
    let source_zone = shared.fleet.zones.get(usize::from(from))?;
    if *source_zone == connections.deployment.place.zone || !is_on_path(from) {
        return None;
    }
    let (_, parameters) = shared.room_types.get(record.request.room_type)?;
    let ladder = &shared.ladder;
    let highest_rung =
        parameters.top.unwrap_or(u8::MAX).min(record.request.max_rung).min(ladder.rates_kb.len() as u8 - 1);
    let step = |rung: u8| {
        let rung = usize::from(rung);
        LadderRung {
            rate_kb_s: ladder.rates_kb[rung] * parameters.scale,
            benefit_per_s: ladder.benefit[rung] * parameters.benefit,
        }
    };
    let steps = (parameters.floor..=highest_rung.max(parameters.floor)).map(step).collect();
    Some(CrossZoneSubscription {
        job,
        floor: parameters.floor,
        rungs: steps,
        current_rung: record.rung.unwrap_or(parameters.floor),
    })
}
