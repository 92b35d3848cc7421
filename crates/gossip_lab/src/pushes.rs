//! From a push to its acting, drawn.

use std::path::Path;

use anyhow::{bail, Context, Result};
use plotters::prelude::*;
use serde_json::Value;

/// Members, the part of datagrams lost, and seconds until half, until 99 in 100 and until the last of the members act.
type Figure = (f64, f64, [f64; 3]);

fn read(text: &str) -> Vec<Figure> {
    let figure = |line: &str| {
        let told: Value = serde_json::from_str(line.trim()).ok()?;
        let of = |key: &str| told[key].as_f64();
        Some((of("members")?, of("loss")?, [of("p50_s")?, of("p99_s")?, of("last_s")?]))
    };
    text.lines().filter_map(figure).collect()
}

/// Draws the figures of a file: a colour for each part lost; p50 and p99 of the members.
///
/// # Errors
/// Where the file can't be read or has no figures, or the chart can't be written.
pub fn draw(figures: &Path, chart: &Path) -> Result<()> {
    let text = std::fs::read_to_string(figures).with_context(|| figures.display().to_string())?;
    let all = read(&text);
    let mut losses: Vec<f64> = all.iter().map(|figure| figure.1).collect();
    losses.sort_by(f64::total_cmp);
    losses.dedup();
    let largest = |of: fn(&Figure) -> f64| all.iter().map(of).fold(0.0f64, f64::max);
    let (members, seconds) = (largest(|figure| figure.0), largest(|figure| figure.2[1]));
    if all.is_empty() {
        bail!("{}: it has no lines with members, loss, p50_s, p99_s and last_s", figures.display());
    }
    let area = SVGBackend::new(chart, (900, 540)).into_drawing_area();
    area.fill(&WHITE)?;
    // Sizes and times span three decades each.
    let mut drawn = ChartBuilder::on(&area)
        .caption("A revision from its push to its acting", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(56)
        .build_cartesian_2d((2.5f64..members * 1.2).log_scale(), (0.1f64..seconds * 2.0).log_scale())?;
    drawn.configure_mesh().x_desc("members").y_desc("seconds since the push").draw()?;
    for (n, loss) in losses.iter().enumerate() {
        for (rank, (name, width)) in [("p50", 1), ("p99", 3)].into_iter().enumerate() {
            let style = Palette99::pick(n).stroke_width(width);
            let of_loss = all.iter().filter(|figure| figure.1 == *loss);
            drawn
                .draw_series(LineSeries::new(of_loss.map(|figure| (figure.0, figure.2[rank])), style))?
                .label(format!("{:.0} in 100 lost, {name} of members", loss * 100.0))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
    }
    drawn
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    #[test]
    fn lines_that_are_figures_are_read() {
        let text =
            "running 1 test\n{\"members\":3,\"loss\":0.1,\"p50_s\":0.5,\"p99_s\":1.5,\"last_s\":2.0}\n{}\n";
        assert_eq!(super::read(text), [(3.0, 0.1, [0.5, 1.5, 2.0])]);
    }
}
