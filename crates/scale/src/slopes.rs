//! Lines through the figures of several sizes, by least squares, and their charts.

use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;
use serde::Serialize;

use crate::figures::Figures;

/// Sizes that a line is drawn through at least.
pub const LEAST_SIZES: usize = 4;

/// y = offset + slope * x, with the root of the mean squared residual.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub offset: f64,
    pub slope: f64,
    pub residual: f64,
}

impl Line {
    /// The line with the least squares; nothing where all points have the same x, or there are too few.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        if points.len() < 2 {
            return None;
        }
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let offset = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|(x, y)| (y - offset - slope * x).powi(2)).sum();
        Some(Self { offset, slope, residual: (squares / count).sqrt() })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.offset + self.slope * x
    }
}

/// A figure that is looked at over sizes.
pub struct Followed {
    pub name: &'static str,
    pub unit: &'static str,
    pub of: fn(&Figures) -> f64,
}

/// All figures that are looked at over sizes.
pub const FOLLOWED: [Followed; 10] = [
    Followed { name: "push to acting, p50", unit: "s", of: |f| f.in_force.p50 },
    Followed { name: "push to acting, p99", unit: "s", of: |f| f.in_force.p99 },
    Followed { name: "push to acting, last", unit: "s", of: |f| f.in_force.last },
    Followed { name: "longest contradiction", unit: "s", of: |f| f.longest_contradiction_s },
    Followed { name: "bytes into a controller", unit: "B/s", of: |f| f.controller.bytes_in_per_s },
    Followed { name: "bytes out of a controller", unit: "B/s", of: |f| f.controller.bytes_out_per_s },
    Followed { name: "core of a controller", unit: "cores", of: |f| f.controller.cpu },
    Followed { name: "core of a control machine", unit: "cores", of: |f| f.control_machine.cpu },
    Followed {
        name: "core of the busiest control machine",
        unit: "cores",
        of: |f| f.control_machine.most_cpu,
    },
    Followed {
        name: "bytes of the busiest control machine",
        unit: "B/s",
        of: |f| f.control_machine.most_bytes_per_s,
    },
];

/// The points of one followed figure.
pub fn points(followed: &Followed, runs: &[Figures]) -> Vec<(f64, f64)> {
    runs.iter().map(|figures| (f64::from(figures.controllers), (followed.of)(figures))).collect()
}

/// A line of text for each followed figure: its points, slope, residual, and the value at the plan's size.
pub fn lines(runs: &[Figures], extrapolate_to: f64) -> String {
    let mut text = String::new();
    let largest = runs.iter().map(|figures| figures.controllers).max().map_or(0.0, f64::from);
    for followed in &FOLLOWED {
        let points = points(followed, runs);
        let Some(line) = Line::through(&points) else { continue };
        let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.5}")).collect();
        let mark = if extrapolate_to > largest { "extrapolated" } else { "on the line" };
        text += &format!(
            "{} [{}]: {}; slope {:.3e} a controller, offset {:.5}, residual {:.5}; {mark} at {extrapolate_to}: {:.5}\n",
            followed.name,
            followed.unit,
            shown.join(", "),
            line.slope,
            line.offset,
            line.residual,
            line.at(extrapolate_to)
        );
    }
    text
}

/// Draws some followed figures of one unit over the size, points and fitted lines, into an SVG file.
///
/// # Errors
/// Where the file can't be written.
pub fn draw(title: &str, unit: &str, runs: &[Figures], path: &Path) -> Result<()> {
    let failed = |e: &dyn std::fmt::Display| anyhow!("{}: {e}", path.display());
    let followed: Vec<&Followed> = FOLLOWED.iter().filter(|followed| followed.unit == unit).collect();
    let all: Vec<Vec<(f64, f64)>> = followed.iter().map(|followed| points(followed, runs)).collect();
    let most_x = all.iter().flatten().map(|point| point.0).fold(1.0, f64::max);
    let most_y = all.iter().flatten().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(path, (960, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most_y * 1.15)
        .map_err(|e| failed(&e))?;
    chart.configure_mesh().x_desc("controllers").y_desc(unit).draw().map_err(|e| failed(&e))?;
    for (n, (followed, points)) in followed.iter().zip(all).enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let dots = points.iter().map(|point| Circle::new(*point, 4, colour.filled()));
        chart.draw_series(dots).map_err(|e| failed(&e))?;
        let Some(line) = Line::through(&points) else { continue };
        let ends = [0.0, most_x].map(|x| (x, line.at(x)));
        let drawn =
            chart.draw_series(LineSeries::new(ends, colour.stroke_width(2))).map_err(|e| failed(&e))?;
        drawn.label(followed.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let legend = chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw();
    legend.map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}
