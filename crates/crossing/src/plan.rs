//! Selects the subscriptions that may play across zones, and their highest rungs, within an available rate.

use badgerledge_core::interface::JobId;

/// A rung of a ladder: its rate in kB/s and its benefit per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LadderRung {
    pub rate_kb_s: f64,
    pub benefit_per_s: f64,
}

/// A subscription that plays from a streamer in another zone.
#[derive(Clone, Debug)]
pub struct CrossZoneSubscription {
    pub job: JobId,
    /// The lowest rung that it can use.
    pub floor: u8,
    /// Its rungs from the lowest to the highest that it can use.
    pub rungs: Vec<LadderRung>,
    /// The rung that it currently plays at.
    pub current_rung: u8,
}

/// The result of [`plan_rungs`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RungPlan {
    /// The highest rung that each admitted subscription may use.
    pub max_rungs: Vec<(JobId, u8)>,
    /// Subscriptions that must stop playing across zones, the lowest benefit per byte first.
    pub excluded: Vec<JobId>,
    /// The rate in kB/s that would be unallocated for new subscriptions if all admitted ones were at their lowest rungs.
    pub free_rate_kb_s: f64,
    /// The total rate in kB/s of the admitted subscriptions at their highest rungs.
    pub planned_rate_kb_s: f64,
}

/// Hysteresis: the weight of a rung that a subscription already has against one that it would get. Without it two
/// subscriptions of nearly the same benefit per byte would swap rungs with every plan.
const CURRENT_RUNG_WEIGHT: f64 = 1.25;

/// Distributes `rate` (kB/s) over the subscriptions: first admits them at their lowest rungs, the highest benefit per byte
/// first, then raises rungs by the highest additional benefit per additional byte. When the rate falls, the lowest
/// benefit per byte is given up first and restored last.
pub fn plan_rungs(subscriptions: &[CrossZoneSubscription], rate: f64) -> RungPlan {
    let mut plan = RungPlan::default();
    let mut unallocated = rate;
    let benefit_per_kb = |rung: &LadderRung| rung.benefit_per_s / rung.rate_kb_s.max(1e-9);
    let mut by_benefit: Vec<&CrossZoneSubscription> =
        subscriptions.iter().filter(|subscription| !subscription.rungs.is_empty()).collect();
    by_benefit.sort_by(|a, b| {
        benefit_per_kb(&b.rungs[0]).total_cmp(&benefit_per_kb(&a.rungs[0])).then(a.job.cmp(&b.job))
    });
    // Each admitted subscription with the index of its planned rung.
    let mut admitted: Vec<(&CrossZoneSubscription, usize)> = Vec::new();
    for subscription in by_benefit {
        if subscription.rungs[0].rate_kb_s <= unallocated {
            unallocated -= subscription.rungs[0].rate_kb_s;
            admitted.push((subscription, 0));
        } else {
            plan.excluded.push(subscription.job);
        }
    }
    plan.excluded.reverse();
    plan.free_rate_kb_s = unallocated;
    // Each pass raises one subscription by one rung: the highest benefit per byte of all that still fit.
    loop {
        // The weighted benefit per kB and the additional rate of the next rung.
        let raise = |(subscription, index): &(&CrossZoneSubscription, usize)| {
            let (current, next) = (subscription.rungs[*index], *subscription.rungs.get(index + 1)?);
            let added_rate = next.rate_kb_s - current.rate_kb_s;
            let weight = if subscription.floor as usize + index < subscription.current_rung as usize {
                CURRENT_RUNG_WEIGHT
            } else {
                1.0
            };
            (added_rate <= unallocated).then_some((
                weight * (next.benefit_per_s - current.benefit_per_s) / added_rate.max(1e-9),
                added_rate,
            ))
        };
        let raises =
            admitted.iter().enumerate().filter_map(|(position, entry)| Some((position, raise(entry)?)));
        let best = raises.max_by(|a, b| a.1 .0.total_cmp(&b.1 .0).then(b.0.cmp(&a.0)));
        let Some((position, (_, added_rate))) = best else { break };
        unallocated -= added_rate;
        admitted[position].1 += 1;
    }
    plan.planned_rate_kb_s = rate - unallocated;
    plan.max_rungs = admitted
        .into_iter()
        .map(|(subscription, index)| (subscription.job, subscription.floor + index as u8))
        .collect();
    plan
}
