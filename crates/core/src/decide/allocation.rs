//! Allocation of the headroom of a rack's links and uplink to rungs: always the step with the highest benefit
//! per rate, while its link and the uplink have headroom.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// A step to the next rung.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) benefit_per_rate: f64,
    /// The rate in kB/s that it adds.
    pub(super) added_rate: f64,
}

/// The next step of one subscription, ordered by benefit per rate; of equal ones the later subscription's is
/// the greater.
struct Candidate {
    step: Step,
    index: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_benefit = self.step.benefit_per_rate.total_cmp(&other.step.benefit_per_rate);
        by_benefit.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// Takes the best steps that fit, and returns how many each subscription takes. `links` names the link of each
/// subscription; `next_step` gives the step that a subscription would take after so many. A step that does not
/// fit ends the steps of its subscription.
pub(super) fn take_best_steps<Link: Ord>(
    links: &[Link], link_headroom: &mut BTreeMap<Link, f64>, mut uplink_headroom: f64,
    mut next_step: impl FnMut(usize, u8) -> Option<Step>,
) -> Vec<u8> {
    let mut taken = vec![0; links.len()];
    let first_steps =
        (0..links.len()).filter_map(|index| Some(Candidate { step: next_step(index, 0)?, index }));
    let mut candidates: BinaryHeap<Candidate> = first_steps.collect();
    while let Some(Candidate { step, index }) = candidates.pop() {
        let rate = step.added_rate;
        let fits = |headroom: &&mut f64| **headroom >= rate && uplink_headroom >= rate;
        let Some(headroom) = link_headroom.get_mut(&links[index]).filter(fits) else { continue };
        *headroom -= rate;
        uplink_headroom -= rate;
        taken[index] += 1;
        candidates.extend(next_step(index, taken[index]).map(|step| Candidate { step, index }));
    }
    taken
}
