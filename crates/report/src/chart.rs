//! What crossed over time, drawn.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{anyhow, Result};
use badgerledge_accounts::{Accounts, WINDOW_LENGTH};
use plotters::prelude::*;

/// Draws kB a second by room type, a point for each window, into an SVG file.
pub fn draw(accounts: &Accounts, path: &Path) -> Result<()> {
    let windows = accounts.windows();
    let Some(first) = windows.keys().next().copied() else {
        return Err(anyhow!("there is nothing to draw: no window was counted"));
    };
    let span = WINDOW_LENGTH.as_secs_f64();
    let mut lines: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    let last = windows.keys().next_back().copied().unwrap_or(first);
    for (_, room_type) in windows.values().flat_map(|sums| sums.keys()).map(|key| ((), key.room_type.clone()))
    {
        lines.entry(room_type).or_default();
    }
    for (room_type, points) in &mut lines {
        for window in first..=last {
            let sums = windows.get(&window).into_iter().flatten();
            let crossed = sums.filter(|(key, _)| key.crosses_zones() && key.room_type == *room_type);
            let bytes: u64 = crossed.map(|(_, amount)| amount.bytes()).sum();
            points.push(((window - first) as f64 * span, bytes as f64 / 1000.0 / span));
        }
    }
    let highest = lines.values().flatten().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (960, 480)).into_drawing_area();
    let failed = |e: &dyn std::fmt::Display| anyhow!("{}: {e}", path.display());
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Media between buildings, by room type", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..((last - first) as f64 * span).max(span), 0.0..highest * 1.1)
        .map_err(|e| failed(&e))?;
    let mesh = chart.configure_mesh().x_desc("seconds since the first window").y_desc("kB a second").draw();
    mesh.map_err(|e| failed(&e))?;
    for (n, (room_type, points)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let line = LineSeries::new(points, colour.stroke_width(2));
        let drawn = chart.draw_series(line).map_err(|e| failed(&e))?;
        drawn.label(room_type).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let legend = chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw();
    legend.map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}
