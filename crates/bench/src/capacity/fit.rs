//! Least-squares fits of a quantity against a size: a line, a power law, and where either meets a limit.

/// One measured point: the size, and the quantity at that size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    pub size: f64,
    pub value: f64,
}

/// A line `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// The standard error of the samples about the line, in the quantity's unit.
    pub residual: f64,
}

/// A power law `value = factor * size ^ exponent`, fitted as a line in logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    pub factor: f64,
    pub exponent: f64,
    /// The standard error of the logarithms about the line.
    pub residual: f64,
}

/// How a quantity grows with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It changes by less than [`FLAT`] of its mean.
    Flat,
    Linear,
    /// Steeper at the large sizes than at the small ones.
    Faster,
    /// Flatter at the large sizes than at the small ones.
    Slower,
    /// It falls as the size grows.
    Falling,
}

/// A quantity whose range is under this part of its mean does not depend on the size.
pub const FLAT: f64 = 0.1;
/// The slope over the upper half of the samples against the slope over the lower half: beyond this factor either way the
/// growth is not linear.
pub const BEND: f64 = 1.5;

impl Line {
    /// Nothing for fewer than two different sizes.
    pub fn fit(samples: &[Sample]) -> Option<Self> {
        let count = samples.len() as f64;
        let mean_size = samples.iter().map(|sample| sample.size).sum::<f64>() / count;
        let mean_value = samples.iter().map(|sample| sample.value).sum::<f64>() / count;
        let spread: f64 = samples.iter().map(|sample| (sample.size - mean_size).powi(2)).sum();
        if samples.len() < 2 || spread <= 0.0 {
            return None;
        }
        let shared: f64 =
            samples.iter().map(|sample| (sample.size - mean_size) * (sample.value - mean_value)).sum();
        let slope = shared / spread;
        let intercept = mean_value - slope * mean_size;
        let squares: f64 =
            samples.iter().map(|sample| (sample.value - intercept - slope * sample.size).powi(2)).sum();
        let freedom = (count - 2.0).max(1.0);
        Some(Self { slope, intercept, residual: (squares / freedom).sqrt() })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// The size at which the line reaches a limit; nothing where it never does.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        let size = (limit - self.intercept) / self.slope;
        (self.slope > 0.0 && size.is_finite()).then_some(size.max(0.0))
    }
}

impl PowerLaw {
    /// Nothing unless all sizes and values are positive, with two different sizes.
    pub fn fit(samples: &[Sample]) -> Option<Self> {
        if samples.iter().any(|sample| sample.size <= 0.0 || sample.value <= 0.0) {
            return None;
        }
        let logarithms: Vec<Sample> = samples
            .iter()
            .map(|sample| Sample { size: sample.size.ln(), value: sample.value.ln() })
            .collect();
        let line = Line::fit(&logarithms)?;
        Some(Self { factor: line.intercept.exp(), exponent: line.slope, residual: line.residual })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// The size at which the law reaches a limit; nothing where it never does.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        let size = (limit / self.factor).powf(1.0 / self.exponent);
        (self.exponent > 0.0 && size.is_finite()).then_some(size)
    }
}

/// How samples in the order of their sizes grow.
pub fn growth(samples: &[Sample]) -> Option<Growth> {
    let (low, high) = (samples.first()?, samples.last()?);
    let mean = samples.iter().map(|sample| sample.value).sum::<f64>() / samples.len() as f64;
    if (high.value - low.value).abs() < FLAT * mean.abs() {
        return Some(Growth::Flat);
    }
    if high.value < low.value {
        return Some(Growth::Falling);
    }
    let middle = samples.len() / 2;
    let lower = Line::fit(&samples[..=middle])?;
    let upper = Line::fit(upper_half(samples))?;
    Some(if upper.slope > BEND * lower.slope {
        Growth::Faster
    } else if upper.slope * BEND < lower.slope {
        Growth::Slower
    } else {
        Growth::Linear
    })
}

/// The samples at the larger sizes, three at least where there are as many: where growth is not linear, only these tell
/// how it goes on.
pub fn upper_half(samples: &[Sample]) -> &[Sample] {
    let from = (samples.len() / 2).min(samples.len().saturating_sub(3));
    &samples[from..]
}

/// The size at which the samples themselves cross a limit, between two of them; nothing where none does.
pub fn crossed_between(samples: &[Sample], limit: f64) -> Option<f64> {
    let pair = samples.windows(2).find(|pair| pair[0].value <= limit && pair[1].value > limit)?;
    let part = (limit - pair[0].value) / (pair[1].value - pair[0].value);
    Some(pair[0].size + part * (pair[1].size - pair[0].size))
}
