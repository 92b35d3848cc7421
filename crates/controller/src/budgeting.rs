//! The budget of what crosses, joined to the ends: what was spent goes in, plans and words come out.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerledge_core::interface::JobId;
use badgerledge_crossing::{plan, Crosser, Lending, Plan, Purse, Step, Word};
use badgerledge_deployment::Deployment;
use badgerledge_exchange::book::{Book, Held, Join};

use crate::ends::Ends;

/// A plan is made this often: the module's own beat.
const EVERY: Duration = Duration::from_millis(200);

pub struct Budgeting {
    purse: Purse,
    lending: Lending,
    next: Duration,
    /// What the last plan spends, and those that it capped.
    planned: f64,
    capped: BTreeSet<JobId>,
}

impl Budgeting {
    /// Nothing where the deployment has no budget.
    pub fn new(deployment: &Deployment, now: Duration, seed: u64) -> Option<Self> {
        let (budget, place) = (deployment.shared.crossing.as_ref()?, &deployment.place);
        let purse = Purse::new(budget.rate_kb_s, budget.burst_kb, place.controllers, now);
        let lending = Lending::new(place.number, place.controllers, purse.share(), now, seed);
        Some(Self { purse, lending, next: now, planned: 0.0, capped: BTreeSet::new() })
    }

    pub fn next_due(&self) -> Duration {
        self.next
    }

    /// Takes a word of another controller. Tells whether it was one, and answers it.
    pub fn heard(&mut self, ends: &Ends, peer: u32, bytes: &[u8]) -> bool {
        let Some(word) = Word::read(bytes) else { return false };
        if let Some(answer) = self.lending.heard(ends.now, peer, word) {
            ends.tell(peer, &answer.write());
        }
        true
    }

    /// A plan for now, from what crossed since the last one.
    pub fn plan(&mut self, ends: &mut Ends, book: &Book) -> Plan {
        let now = ends.now;
        self.next = now + EVERY;
        let spent = std::mem::take(&mut ends.crossed_bytes) as f64 / 1000.0;
        let owned = self.lending.owned(now);
        self.purse.spend(now, owned, spent, self.planned * EVERY.as_secs_f64());
        let crossers: Vec<Crosser> = book.flowing().filter_map(|one| crosser(ends, one)).collect();
        // Joins that are out will play at the rungs they were sent with: not the plan's to change yet.
        let out: f64 = book.out().filter_map(|one| crosser(ends, one)).map(|one| rate_of(&one)).sum();
        let made = plan(&crossers, (self.purse.may_plan(owned) - out).max(0.0));
        self.planned = made.planned + out;
        let wanted: f64 = crossers.iter().filter_map(|one| one.steps.last()).map(|step| step.rate).sum();
        self.lending.tend(now, wanted + out, |peer, word| ends.tell(peer, &word.write()));
        made
    }

    /// The caps that a plan sets, and those of the last plan that are no more.
    pub fn caps(&mut self, made: &Plan) -> Vec<(JobId, Option<u8>)> {
        let now: BTreeSet<JobId> = made.tops.iter().map(|(job, _)| *job).collect();
        let lifted = self.capped.difference(&now).map(|job| (*job, None));
        let caps = lifted.chain(made.tops.iter().map(|(job, top)| (*job, Some(*top)))).collect();
        self.capped = now;
        caps
    }
}

fn rate_of(crosser: &Crosser) -> f64 {
    let at = usize::from(crosser.rung.saturating_sub(crosser.floor));
    crosser.steps.get(at).or(crosser.steps.last()).map_or(0.0, |step| step.rate)
}

/// A subscription as the plan sees it; nothing where it does not cross.
fn crosser(ends: &Ends, (job, held, join): (JobId, &Held, &Join)) -> Option<Crosser> {
    let shared = &ends.deployment.shared;
    let zone = shared.fleet.zones.get(usize::from(*ends.zones.get(&join.streamer)?))?;
    if *zone == ends.deployment.place.zone {
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
