//! The allocation of headroom beside its definition, on generated cases.

use std::collections::BTreeMap;

use super::allocation::{take_best_steps, Step};
use crate::random::Rng;

/// The steps of each subscription, its link, the headroom of the links and of the uplink.
struct Case {
    steps: Vec<Vec<Step>>,
    links: Vec<usize>,
    link_headroom: BTreeMap<usize, f64>,
    uplink_headroom: f64,
}

/// A case with this many subscriptions. Benefits and rates come from few values, so that many are equal.
fn case(rng: &mut Rng, subscriptions: usize) -> Case {
    let mut draw = |count: usize| (rng.unit_interval() * count as f64) as usize;
    let link_count = 1 + draw(4);
    let steps = (0..subscriptions).map(|_| {
        let count = draw(5);
        let step = |_| Step {
            benefit_per_rate: [0.1, 0.2, 0.25, 0.4, -0.1][draw(5)],
            added_rate: [5.0, 10.0, 12.5, 0.1, 40.0][draw(5)],
        };
        (0..count).map(step).collect()
    });
    let steps = steps.collect();
    let links = (0..subscriptions).map(|_| draw(link_count)).collect();
    let room = subscriptions as f64 * 20.0;
    let link_headroom = (0..link_count).map(|link| (link, room * draw(100) as f64 / 100.0 - 5.0)).collect();
    let uplink_headroom = room * link_count as f64 * draw(100) as f64 / 150.0 - 5.0;
    Case { steps, links, link_headroom, uplink_headroom }
}

/// The allocation by its definition: looks at all subscriptions again for each step.
fn take_best_steps_by_definition(case: &Case) -> Vec<u8> {
    let mut link_headroom = case.link_headroom.clone();
    let mut uplink_headroom = case.uplink_headroom;
    let mut taken = vec![0; case.links.len()];
    let mut next: Vec<Option<Step>> = case.steps.iter().map(|steps| steps.first().copied()).collect();
    loop {
        let steps = next.iter().enumerate().filter_map(|(index, step)| Some((index, (*step)?)));
        let best = steps.max_by(|a, b| a.1.benefit_per_rate.total_cmp(&b.1.benefit_per_rate));
        let Some((index, Step { added_rate, .. })) = best else { return taken };
        let headroom = link_headroom.get_mut(&case.links[index]).unwrap();
        if *headroom < added_rate || uplink_headroom < added_rate {
            next[index] = None;
            continue;
        }
        (*headroom, uplink_headroom) = (*headroom - added_rate, uplink_headroom - added_rate);
        taken[index] += 1;
        next[index] = case.steps[index].get(usize::from(taken[index])).copied();
    }
}

fn take(case: &Case, calls: &mut usize) -> Vec<u8> {
    let mut link_headroom = case.link_headroom.clone();
    take_best_steps(&case.links, &mut link_headroom, case.uplink_headroom, |index, taken| {
        *calls += 1;
        case.steps[index].get(usize::from(taken)).copied()
    })
}

#[test]
fn steps_are_taken_as_by_definition() {
    let mut rng = Rng(1);
    for number in 0..10_000 {
        let case = case(&mut rng, number % 40);
        assert_eq!(take(&case, &mut 0), take_best_steps_by_definition(&case), "case {number}");
    }
}

/// Each subscription is looked at once, and once more for each step that it takes.
#[test]
fn work_grows_with_the_steps_taken() {
    let mut rng = Rng(2);
    for subscriptions in [100, 1_000, 10_000] {
        let case = case(&mut rng, subscriptions);
        let mut calls = 0;
        let taken = take(&case, &mut calls);
        let steps: usize = taken.iter().map(|taken| usize::from(*taken)).sum();
        assert_eq!(calls, subscriptions + steps);
    }
}
