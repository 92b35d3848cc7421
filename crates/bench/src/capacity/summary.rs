//! From the points of a role to its fitted lines.

use std::collections::BTreeMap;

use super::fit::{crossed_between, growth, upper_half, Growth, Line, PowerLaw, Sample};
use super::measure::Reading;
use super::record::{Ends, FittedLine, Point};
use super::roles::Role;

/// The samples of one quantity, in the order of the sizes.
#[derive(Default)]
struct Quantity {
    unit: String,
    limit: Option<f64>,
    samples: Vec<Sample>,
}

/// A line for each quantity that was measured at two sizes or more.
pub fn fitted(role: &Role, points: &[Point]) -> Vec<FittedLine> {
    let mut quantities: BTreeMap<&str, Quantity> = BTreeMap::new();
    for point in points {
        for Reading { quantity, unit, value, limit } in &point.readings {
            let held = quantities.entry(quantity).or_default();
            held.unit.clone_from(unit);
            held.limit = *limit;
            held.samples.push(Sample { size: point.size as f64, value: *value });
        }
    }
    quantities.into_iter().filter_map(|(name, quantity)| fitted_line(role, name, &quantity)).collect()
}

fn fitted_line(role: &Role, name: &str, quantity: &Quantity) -> Option<FittedLine> {
    let samples = &quantity.samples;
    let line = Line::fit(samples)?;
    let bend = growth(samples)?;
    let bent = matches!(bend, Growth::Faster | Growth::Slower);
    let law = PowerLaw::fit(upper_half(samples)).filter(|_| bent);
    // A bend that the larger sizes do not bear out is scatter.
    let scatter = bend == Growth::Faster && law.is_none_or(|law| law.exponent <= 1.0);
    let growth = if scatter { Growth::Linear } else { bend };
    let at = |size: f64| match (growth, law) {
        (Growth::Falling, _) => None,
        (Growth::Faster, Some(law)) => Some(law.at(size)),
        _ => Some(line.at(size)),
    };
    Some(FittedLine {
        role: role.name,
        size_unit: role.size_unit,
        quantity: name.to_owned(),
        unit: quantity.unit.clone(),
        sizes: samples.iter().map(|sample| sample.size as u64).collect(),
        slope: line.slope,
        intercept: line.intercept,
        residual: line.residual,
        growth: match growth {
            Growth::Flat => "flat",
            Growth::Linear => "linear",
            Growth::Faster => "faster than linear",
            Growth::Slower => "slower than linear",
            Growth::Falling => "falling",
        },
        exponent: law.map(|law| law.exponent),
        exponent_residual: law.map(|law| law.residual),
        plan_size: role.plan_size,
        at_plan_size: at(role.plan_size),
        limit: quantity.limit,
        ends: quantity.limit.and_then(|limit| ends(role, samples, limit, growth, line, law)),
    })
}

fn ends(
    role: &Role, samples: &[Sample], limit: f64, growth: Growth, line: Line, law: Option<PowerLaw>,
) -> Option<Ends> {
    let crossed = crossed_between(samples, limit);
    let extrapolated = || match (growth, law) {
        (Growth::Flat | Growth::Falling, _) => None,
        (Growth::Faster, Some(law)) => law.reaches(limit),
        _ => line.reaches(limit),
    };
    let first = samples.first()?;
    // The smallest size is over the limit: in proportion to it.
    let below = (first.value > limit).then(|| first.size * limit / first.value);
    let size = below.or(crossed).or_else(extrapolated)?;
    let by = match (below, crossed) {
        (Some(_), _) => "below the smallest size",
        (None, Some(_)) => "measured",
        (None, None) => "extrapolated",
    };
    Some(Ends { size, by, plan_over_size: role.plan_size / size })
}
