//! The budget of what crosses, joined to the ends: what was spent goes in, plans and words come out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::JobId;
use badgerledge_crossing::{plan, Crosser, Lending, Message, Plan, SharedBucket, Step};
use badgerledge_deployment::Deployment;
use badgerledge_exchange::book::{Book, Held, Join};

use crate::ends::Ends;

/// A plan is made this often: the module's own beat.
const EVERY: Duration = Duration::from_millis(200);

/// The way of a budget for what crosses in all.
const ANY: u16 = u16::MAX;

/// A budget of one way: from one building to another, or all. Of ways that do not end here a controller owns its share
/// like everyone, and only lends it.
struct Part {
    /// The building it comes from; nothing where it is for all.
    from: Option<u16>,
    /// Whether it ends in this controller's building.
    here: bool,
    bucket: SharedBucket,
    lending: Lending,
    planned: f64,
}

pub struct Budgeting {
    parts: BTreeMap<u16, Part>,
    next: Duration,
    /// Subscriptions that the last plans capped.
    capped: BTreeSet<JobId>,
}

impl Budgeting {
    /// Nothing where the deployment has no budget.
    pub fn new(deployment: &Deployment, now: Duration, seed: u64) -> Option<Self> {
        let (budget, place) = (deployment.shared.crossing.as_ref()?, &deployment.place);
        let zones = &deployment.shared.fleet.zones;
        let part = |from: Option<u16>, here: bool, way: u16| {
            let bucket = SharedBucket::new(budget.rate_kb_s, budget.burst_kb, place.controllers, now);
            let seed = seed ^ u64::from(way).rotate_left(32);
            let lending = Lending::new(place.number, place.controllers, bucket.share(), now, seed);
            Part { from, here, bucket, lending, planned: 0.0 }
        };
        let mut parts = BTreeMap::new();
        if budget.per == "pair" {
            let count = zones.len() as u16;
            for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
                let (way, here) = (from * count + to, zones[usize::from(to)] == place.zone);
                if from != to {
                    parts.insert(way, part(Some(from), here, way));
                }
            }
        } else {
            parts.insert(ANY, part(None, true, ANY));
        }
        Some(Self { parts, next: now, capped: BTreeSet::new() })
    }

    pub fn next_due(&self) -> Duration {
        self.next
    }

    /// Takes a word of another controller. Tells whether it was one, and answers it.
    pub fn handle(&mut self, ends: &mut Ends, peer: u32, bytes: &[u8]) -> bool {
        let Some((way, message)) = Message::read(bytes) else { return false };
        let part = self.parts.get_mut(&way);
        if let Some(answer) = part.and_then(|part| part.lending.handle(ends.now, peer, message)) {
            ends.tell(peer, &answer.write(way));
        }
        true
    }

    /// Plans for now, from what crossed since the last ones: each with the building that it is for.
    pub fn plan(&mut self, ends: &mut Ends, book: &Book) -> Vec<(Option<u16>, Plan)> {
        let now = ends.now;
        self.next = now + EVERY;
        let spent = std::mem::take(&mut ends.crossed_bytes);
        let mut plans = Vec::new();
        for (way, part) in &mut self.parts {
            let made = part.here.then(|| part.plan(ends, book, &spent));
            let wanted = made.as_ref().map_or(0.0, |(_, wanted)| *wanted);
            part.lending.request(now, wanted, |peer, message| ends.tell(peer, &message.write(*way)));
            plans.extend(made.map(|(plan, _)| (part.from, plan)));
        }
        plans
    }

    /// The caps that plans set, and those of the last plans that are no more.
    pub fn caps(&mut self, plans: &[(Option<u16>, Plan)]) -> Vec<(JobId, Option<u8>)> {
        let tops = || plans.iter().flat_map(|(_, plan)| &plan.tops);
        let now: BTreeSet<JobId> = tops().map(|(job, _)| *job).collect();
        let lifted = self.capped.difference(&now).map(|job| (*job, None));
        let caps = lifted.chain(tops().map(|(job, top)| (*job, Some(*top)))).collect();
        self.capped = now;
        caps
    }
}

impl Part {
    /// A plan, and what would be spent if it could.
    fn plan(&mut self, ends: &Ends, book: &Book, spent: &BTreeMap<u16, u64>) -> (Plan, f64) {
        let ours = |zone: u16| self.from.is_none_or(|from| from == zone);
        let bytes: u64 = spent.iter().filter(|(zone, _)| ours(**zone)).map(|(_, bytes)| *bytes).sum();
        let crossers: Vec<Crosser> = book.flowing().filter_map(|one| crosser(ends, one, ours)).collect();
        // Joins that are out will play at the rungs they were sent with: not the plan's to change yet.
        let out: f64 = book.out().filter_map(|one| crosser(ends, one, ours)).map(|one| rate_of(&one)).sum();
        let owned = self.lending.owned(ends.now);
        self.bucket.spend(ends.now, owned, bytes as f64 / 1000.0, self.planned * EVERY.as_secs_f64());
        let made = plan(&crossers, (self.bucket.may_plan(owned) - out).max(0.0));
        self.planned = made.planned + out;
        let wanted: f64 = crossers.iter().filter_map(|one| one.steps.last()).map(|step| step.rate).sum();
        (made, wanted + out)
    }
}

fn rate_of(crosser: &Crosser) -> f64 {
    let at = usize::from(crosser.rung.saturating_sub(crosser.floor));
    crosser.steps.get(at).or(crosser.steps.last()).map_or(0.0, |step| step.rate)
}

/// A subscription as a plan sees it; nothing where it does not cross, or not by this plan's way.
fn crosser(
    ends: &Ends, (job, held, join): (JobId, &Held, &Join), ours: impl Fn(u16) -> bool,
) -> Option<Crosser> {
    let shared = &ends.deployment.shared;
    let from = *ends.zones.get(&join.streamer)?;
    let zone = shared.fleet.zones.get(usize::from(from))?;
    if *zone == ends.deployment.place.zone || !ours(from) {
        return None;
    }
    let (_, told) = shared.room_types.get(held.asked.room_type)?;
    let ladder = &shared.ladder;
    let highest = told.top.unwrap_or(u8::MAX).min(held.asked.max_rung).min(ladder.rates_kb.len() as u8 - 1);
    let step = |rung: u8| {
        let rung = usize::from(rung);
        Step { rate: ladder.rates_kb[rung] * told.scale, earns: ladder.benefit[rung] * told.benefit }
    };
    let steps = (told.floor..=highest.max(told.floor)).map(step).collect();
    Some(Crosser { job, floor: told.floor, steps, rung: held.rung.unwrap_or(told.floor) })
}
