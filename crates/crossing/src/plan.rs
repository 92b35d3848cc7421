//! Which subscriptions may cross, and at which rung.

use badgerledge_core::interface::JobId;

/// A rung of a ladder: its rate in kB a second, and what a second at it earns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub rate: f64,
    pub earns: f64,
}

/// A subscription that plays from another building.
#[derive(Clone, Debug)]
pub struct Crosser {
    pub job: JobId,
    /// Its rungs from the floor to the highest that it can use.
    pub floor: u8,
    pub steps: Vec<Step>,
    /// The rung that it plays at.
    pub rung: u8,
}

/// What a plan gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The highest rung that each may have.
    pub tops: Vec<(JobId, u8)>,
    /// Those that must not cross any more, the least worth their bytes first.
    pub home: Vec<JobId>,
    /// What is left for those who come, kB a second, were all at their floors.
    pub room: f64,
    /// What the plan spends, kB a second.
    pub planned: f64,
}

/// How much more a subscription that crosses already counts than one that would: without it two of much the same
/// worth would change places with every plan.
const HELD: f64 = 1.25;

/// Spreads `rate` over the subscriptions: all at their floors first, the best benefit for its bytes first; then the
/// steps that earn most for theirs. The least is given up first when the rate falls, and given back last.
pub fn plan(crossers: &[Crosser], rate: f64) -> Plan {
    let mut plan = Plan::default();
    let mut left = rate;
    let worth = |step: &Step| step.earns / step.rate.max(1e-9);
    let mut order: Vec<&Crosser> = crossers.iter().filter(|crosser| !crosser.steps.is_empty()).collect();
    order.sort_by(|a, b| worth(&b.steps[0]).total_cmp(&worth(&a.steps[0])).then(a.job.cmp(&b.job)));
    let mut in_plan: Vec<(&Crosser, usize)> = Vec::new();
    for crosser in order {
        if crosser.steps[0].rate <= left {
            left -= crosser.steps[0].rate;
            in_plan.push((crosser, 0));
        } else {
            plan.home.push(crosser.job);
        }
    }
    plan.home.reverse();
    plan.room = left;
    // Each turn the step that earns most for its bytes, of all that still fit.
    loop {
        let next = |(crosser, at): &(&Crosser, usize)| {
            let (now, then) = (crosser.steps[*at], *crosser.steps.get(at + 1)?);
            let rate = then.rate - now.rate;
            let held = if crosser.floor as usize + at < crosser.rung as usize { HELD } else { 1.0 };
            (rate <= left).then_some((held * (then.earns - now.earns) / rate.max(1e-9), rate))
        };
        let steps = in_plan.iter().enumerate().filter_map(|(n, one)| Some((n, next(one)?)));
        let best = steps.max_by(|a, b| a.1 .0.total_cmp(&b.1 .0).then(b.0.cmp(&a.0)));
        let Some((n, (_, rate))) = best else { break };
        left -= rate;
        in_plan[n].1 += 1;
    }
    plan.planned = rate - left;
    plan.tops = in_plan.into_iter().map(|(crosser, at)| (crosser.job, crosser.floor + at as u8)).collect();
    plan
}
