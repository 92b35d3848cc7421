//! Selects the subscriptions that may play across zones, and their highest rungs, within an available rate.

use badgerledge_core::interface::JobId;

/// A rung of a ladder: its rate in kB/s and its benefit per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub rate: f64,
    pub earns: f64,
}

/// A subscription that plays from a streamer in another zone.
#[derive(Clone, Debug)]
pub struct Crosser {
    pub job: JobId,
    /// The lowest rung that it can use.
    pub floor: u8,
    /// Its rungs from the lowest to the highest that it can use.
    pub steps: Vec<Step>,
    /// The rung that it currently plays at.
    pub rung: u8,
}

/// The result of [`plan`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The highest rung that each admitted subscription may use.
    pub tops: Vec<(JobId, u8)>,
    /// Subscriptions that must stop playing across zones, the lowest benefit per byte first.
    pub home: Vec<JobId>,
    /// The rate in kB/s that would be unallocated for new subscriptions if all admitted ones were at their lowest rungs.
    pub room: f64,
    /// The total rate in kB/s of the admitted subscriptions at their highest rungs.
    pub planned: f64,
}

/// Hysteresis: the weight of a rung that a subscription already has against one that it would get. Without it two
/// subscriptions of nearly the same benefit per byte would swap rungs with every plan.
const CURRENT_RUNG_WEIGHT: f64 = 1.25;

/// Distributes `rate` (kB/s) over the subscriptions: first admits them at their lowest rungs, the highest benefit per byte
/// first, then raises rungs by the highest additional benefit per additional byte. When the rate falls, the lowest
/// benefit per byte is given up first and restored last.
pub fn plan(crossers: &[Crosser], rate: f64) -> Plan {
    let mut plan = Plan::default();
    let mut unallocated = rate;
    let benefit_per_kb = |step: &Step| step.earns / step.rate.max(1e-9);
    let mut by_benefit: Vec<&Crosser> = crossers.iter().filter(|crosser| !crosser.steps.is_empty()).collect();
    by_benefit.sort_by(|a, b| {
        benefit_per_kb(&b.steps[0]).total_cmp(&benefit_per_kb(&a.steps[0])).then(a.job.cmp(&b.job))
    });
    // Each admitted subscription with the index of its planned rung.
    let mut admitted: Vec<(&Crosser, usize)> = Vec::new();
    for crosser in by_benefit {
        if crosser.steps[0].rate <= unallocated {
            unallocated -= crosser.steps[0].rate;
            admitted.push((crosser, 0));
        } else {
            plan.home.push(crosser.job);
        }
    }
    plan.home.reverse();
    plan.room = unallocated;
    // Each pass raises one subscription by one rung: the highest benefit per byte of all that still fit.
    loop {
        // The weighted benefit per kB and the additional rate of the next rung.
        let raise = |(crosser, index): &(&Crosser, usize)| {
            let (current, next) = (crosser.steps[*index], *crosser.steps.get(index + 1)?);
            let added_rate = next.rate - current.rate;
            let weight = if crosser.floor as usize + index < crosser.rung as usize {
                CURRENT_RUNG_WEIGHT
            } else {
                1.0
            };
            (added_rate <= unallocated)
                .then_some((weight * (next.earns - current.earns) / added_rate.max(1e-9), added_rate))
        };
        let raises =
            admitted.iter().enumerate().filter_map(|(position, entry)| Some((position, raise(entry)?)));
        let best = raises.max_by(|a, b| a.1 .0.total_cmp(&b.1 .0).then(b.0.cmp(&a.0)));
        let Some((position, (_, added_rate))) = best else { break };
        unallocated -= added_rate;
        admitted[position].1 += 1;
    }
    plan.planned = rate - unallocated;
    plan.tops =
        admitted.into_iter().map(|(crosser, index)| (crosser.job, crosser.floor + index as u8)).collect();
    plan
}
