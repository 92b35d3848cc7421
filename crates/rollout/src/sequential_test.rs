//! Two rates held against each other by a test that may be looked at at any time.
//!
//! Each controller's part of what goes wrong scatters by chance and by its own kind (its viewers, its streamers): the old
//! side tells by how much, and under the hypothesis that the builds are alike the new side scatters the same. The difference,
//! in units of its deviation, moves like a Brownian motion in the information; the mixture boundary of Robbins (1970), as
//! used by Johari and others (2017), is crossed by it with a chance of alpha at most, over all looks together.

use crate::tally::Tally;

/// A difference of two rates: how much more of the new side's goes wrong, and its variance if the builds are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Difference {
    pub more: f64,
    pub variance: f64,
}

/// Events that are taken off the new side's: counts of few are skewed, and the boundary is made for a normal law.
const CONTINUITY: f64 = 1.5;

/// Controllers of one zone differ by this part of their rate at least. Without it 66 of 4,000 rolls of alike builds were stopped
/// at 40 controllers, and 87 at 10; a wider scatter for few new ones made stages longer and no verdict better (86 and 109).
const MIN_SCATTER: f64 = 0.6;
/// Of what goes wrong often they differ by less of it: benefit that is not served, a tenth, by some hundredths of the whole.
const MAX_SCATTER: f64 = 0.01;

/// The same without the new controller that has most of what goes wrong over the old side's rate: what one controller alone
/// shows may be its own fault, or a lie.
pub fn without_the_worst(new: &[Tally], old: &[Tally]) -> Option<Difference> {
    let sum = |of: fn(&Tally) -> f64| old.iter().map(of).sum::<f64>();
    let rate = sum(|tally| tally.bad) / sum(|tally| tally.of).max(1.0);
    let over = |tally: &Tally| tally.bad - rate * tally.of;
    let worst = (0..new.len()).max_by(|a, b| over(&new[*a]).total_cmp(&over(&new[*b])))?;
    let rest: Vec<Tally> =
        new.iter().enumerate().filter(|(n, _)| *n != worst).map(|(_, tally)| *tally).collect();
    difference(&rest, old)
}

/// One zone's difference; nothing where a side has seen nothing, or the old side is too few to tell how it scatters.
pub fn difference(new: &[Tally], old: &[Tally]) -> Option<Difference> {
    let sum = |tallies: &[Tally]| {
        tallies.iter().fold((0.0, 0.0), |(bad, of), tally| (bad + tally.bad, of + tally.of))
    };
    let ((new_bad, new_of), (old_bad, old_of)) = (sum(new), sum(old));
    let controllers = old.iter().filter(|tally| tally.of > 0.0).count();
    if new_of <= 0.0 || old_of <= 0.0 || controllers < 2 {
        return None;
    }
    // A rate of none seen is not a rate of nothing.
    let usual = (old_bad + 1.0) / (old_of + 2.0);
    let chance = (usual * (1.0 - usual)).max(0.0);
    let rate = old_bad / old_of;
    // What controllers scatter over what chance does to each, by the method of moments.
    let squares: f64 =
        old.iter().map(|tally| (tally.bad - rate * tally.of).powi(2) / tally.of.max(1.0)).sum();
    let seen = squares / (controllers - 1) as f64;
    let spread = old_of - old.iter().map(|tally| tally.of * tally.of).sum::<f64>() / old_of;
    let own = ((seen - chance) * (controllers - 1) as f64 / spread.max(1.0)).max(0.0);
    // Of few controllers it is itself known badly, and may look like none by luck: they always differ by some of the rate.
    let own = (own * (1.0 + 4.0 / controllers as f64)).max((MIN_SCATTER * usual).min(MAX_SCATTER).powi(2));
    let of_side = |tallies: &[Tally], of: f64| -> f64 {
        tallies.iter().map(|tally| tally.of * tally.of * own + tally.of * chance).sum::<f64>() / (of * of)
    };
    let more = (new_bad - CONTINUITY).max(0.0) / new_of - rate;
    Some(Difference { more, variance: of_side(new, new_of) + of_side(old, old_of) })
}

/// The differences of several zones as one, each by what it tells.
pub fn together(all: &[Difference]) -> Option<Difference> {
    let information: f64 = all.iter().map(|one| 1.0 / one.variance.max(f64::MIN_POSITIVE)).sum();
    let more: f64 = all.iter().map(|one| one.more / one.variance.max(f64::MIN_POSITIVE)).sum();
    (information > 0.0).then(|| Difference { more: more / information, variance: 1.0 / information })
}

impl Difference {
    /// Whether the new side does worse, at any look with a chance of `alpha` at most for alike ones. The test is best at
    /// seeing harms of about `harm`.
    pub fn is_worse(&self, harm: f64, alpha: f64) -> bool {
        let scale = harm * harm / self.variance;
        let bound = (1.0 + 1.0 / scale) * (2.0 * (1.0 / alpha).ln() + (1.0 + scale).ln());
        self.more > 0.0 && self.more * self.more / self.variance >= bound
    }

    /// Whether a harm of that size would have shown: `z` deviations over what was seen lie under it.
    pub fn rules_out(&self, harm: f64, z: f64) -> bool {
        self.more + z * self.variance.sqrt() < harm
    }
}
