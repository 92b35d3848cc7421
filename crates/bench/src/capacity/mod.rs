//! What each role of a controller costs by its size: points, fitted lines, and the size at which a limit is met.
//!
//! Each size runs in a process of its own, so that memory of one does not hide that of the next, and one that takes too long
//! can be ended and reported as not reached. Results go out as one JSON object a line.

mod chart;
pub mod child;
mod fit;
#[cfg(test)]
mod fit_tests;
pub mod measure;
mod record;
mod roles;
mod summary;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Args;

use record::{Machine, Point, Record, Run};
use roles::Role;

/// Role, quantity and name of each curve of the chart.
const CHARTED: [(&str, &str, &str); 8] = [
    ("catalogue", "changes at the plan's rate, bytes", "changes: bytes, by titles"),
    ("catalogue", "changes at the plan's rate, processor", "changes: processor, by titles"),
    ("agreement", "stated bound", "agreement: bound, by members"),
    ("decisions-by-streamers", "periodic work", "decisions: processor, by streamers"),
    ("decisions-by-subscriptions", "periodic work", "decisions: processor, by subscriptions"),
    ("membership", "members that the ring takes", "membership: numbers, by members"),
    ("subscriptions-playing", "resident memory over the empty program", "memory, by subscriptions"),
    ("accounts-by-playing", "counting and storing", "accounts: processor, by subscriptions"),
];

/// Measures what each role costs at several sizes, and fits lines.
#[derive(Args)]
pub struct Options {
    /// Only roles whose names begin so
    #[arg(long)]
    role: Option<String>,
    /// Seconds of processor time for each size; a size that takes more is reported as not reached
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the lines go instead of to the standard output
    #[arg(long)]
    out: Option<PathBuf>,
    /// Names the roles with their sizes, and measures nothing
    #[arg(long)]
    list: bool,
    /// Measures nothing, and draws a chart as SVG from the lines of an earlier run
    #[arg(long, requires = "chart")]
    from: Option<PathBuf>,
    /// Where the chart goes
    #[arg(long, requires = "from")]
    chart: Option<PathBuf>,
    /// Measures one size in this process; the readings go to the standard output
    #[arg(long, hide = true)]
    only_size: Option<u64>,
}

pub fn run(options: &Options) -> Result<()> {
    if let (Some(from), Some(chart)) = (&options.from, &options.chart) {
        return chart::draw(from, chart, &CHARTED);
    }
    let wanted = |role: &&Role| options.role.as_ref().is_none_or(|name| role.name.starts_with(name.as_str()));
    let chosen: Vec<&Role> = roles::ALL.iter().filter(wanted).collect();
    anyhow::ensure!(!chosen.is_empty(), "no role of that name; --list names them");
    if options.list {
        chosen.iter().for_each(|role| println!("{} by {}: {:?}", role.name, role.size_unit, role.sizes));
        return Ok(());
    }
    if let Some(size) = options.only_size {
        return child::measure_here(chosen[0], size, options.seed);
    }
    let mut out: Box<dyn Write> = match &options.out {
        Some(path) => Box::new(File::create(path).with_context(|| path.display().to_string())?),
        None => Box::new(std::io::stdout()),
    };
    let run = Run { version: record::version(), seed: options.seed, machine: Machine::here() };
    for role in chosen {
        let mut points = Vec::new();
        for size in role.sizes {
            let point = measure_size(role, *size, options);
            write(&mut out, &run, Record::Point(&point))?;
            points.push(point);
        }
        for line in summary::fitted(role, &points) {
            write(&mut out, &run, Record::Line(&line))?;
        }
    }
    Ok(())
}

fn measure_size(role: &Role, size: u64, options: &Options) -> Point {
    let limit = Duration::from_secs(options.seconds);
    match child::measure(role, size, options.seed, limit) {
        Ok(readings) => Point::reached(role, size, readings),
        Err(fault) => Point::not_reached(role, size, format!("{fault:#}")),
    }
}

fn write(out: &mut impl Write, run: &Run, record: Record) -> Result<()> {
    let line = record::Stamped { run, record };
    writeln!(out, "{}", serde_json::to_string(&line)?)?;
    Ok(out.flush()?)
}
