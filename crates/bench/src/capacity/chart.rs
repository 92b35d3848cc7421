//! A chart of the quantities that have a limit: how much of it each uses, by its size over the plan's.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context, Result};
use plotters::prelude::*;
use serde_json::Value;

use super::measure::Reading;

/// What the chart shows of the sizes and of the limits, as powers of ten.
const SIZES: std::ops::Range<f64> = 1e-4..3.0;
const PARTS: std::ops::Range<f64> = 1e-4..300.0;

/// A quantity of a role: size over the plan's size, and value over limit, at each size.
type Curves = BTreeMap<(String, String), Vec<(f64, f64)>>;

/// Draws what a run wrote, as SVG. The chosen are pairs of role and quantity.
pub fn draw(lines: &Path, to: &Path, chosen: &[(&str, &str, &str)]) -> Result<()> {
    let text = std::fs::read_to_string(lines).with_context(|| lines.display().to_string())?;
    let records: Vec<Value> = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let curves = curves(&records)?;
    let area = SVGBackend::new(to, (1000, 640)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Use of each limit by size; the plan is at 1", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(48)
        .y_label_area_size(64)
        .build_cartesian_2d(SIZES.log_scale(), PARTS.log_scale())?;
    chart.configure_mesh().x_desc("size over the plan's size").y_desc("used over the limit").draw()?;
    chart.draw_series(LineSeries::new([(SIZES.start, 1.0), (SIZES.end, 1.0)], BLACK.stroke_width(2)))?;
    chart.draw_series(LineSeries::new([(1.0, PARTS.start), (1.0, PARTS.end)], BLACK.stroke_width(2)))?;
    for (at, (role, quantity, name)) in chosen.iter().enumerate() {
        let key = ((*role).to_owned(), (*quantity).to_owned());
        let Some(points) = curves.get(&key) else { continue };
        let color = Palette99::pick(at).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(3);
        let swatch = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2));
        chart.draw_series(series)?.label(*name).legend(swatch);
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn curves(records: &[Value]) -> Result<Curves> {
    let plan_sizes: BTreeMap<&str, f64> = records
        .iter()
        .filter_map(|record| Some((record["role"].as_str()?, record["plan_size"].as_f64()?)))
        .collect();
    let mut curves = Curves::new();
    for record in records.iter().filter(|record| record["record"] == "point") {
        let (Some(role), Some(size)) = (record["role"].as_str(), record["size"].as_f64()) else { continue };
        let Some(plan_size) = plan_sizes.get(role) else { continue };
        let readings: Vec<Reading> = serde_json::from_value(record["readings"].clone())?;
        for reading in readings {
            let Some(limit) = reading.limit.filter(|limit| *limit > 0.0) else { continue };
            let curve = curves.entry((role.to_owned(), reading.quantity)).or_default();
            curve.push((size / plan_size, reading.value / limit));
        }
    }
    Ok(curves)
}
