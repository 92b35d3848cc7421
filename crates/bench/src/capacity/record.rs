//! The lines that a run writes.

use std::process::Command;

use serde::Serialize;

use super::measure::Reading;
use super::roles::Role;

/// What is the same for all lines of a run.
#[derive(Serialize)]
pub struct Run {
    pub version: String,
    pub seed: u64,
    pub machine: Machine,
}

#[derive(Serialize)]
pub struct Machine {
    cores: usize,
    kernel: String,
}

impl Machine {
    pub fn here() -> Self {
        let release = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        Self { cores, kernel: release.trim().to_owned() }
    }
}

/// Where this package was built: the commit is asked for there, wherever the program is started.
const SOURCE: &str = env!("CARGO_MANIFEST_DIR");

/// The package's version, and the commit where its source is still there in its repository.
pub fn version() -> String {
    let asked = Command::new("git").args(["-C", SOURCE, "rev-parse", "--short", "HEAD"]).output();
    let commit = asked.ok().filter(|told| told.status.success()).map(|told| told.stdout);
    let commit = commit.map(|bytes| String::from_utf8_lossy(&bytes).trim().to_owned());
    let package = env!("CARGO_PKG_VERSION");
    commit.map_or_else(|| package.to_owned(), |commit| format!("{package}+{commit}"))
}

/// A record with what its run was made on.
#[derive(Serialize)]
pub struct Stamped<'a> {
    #[serde(flatten)]
    pub record: Record<'a>,
    #[serde(flatten)]
    pub run: &'a Run,
}

#[derive(Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record<'a> {
    Point(&'a Point),
    Line(&'a FittedLine),
}

/// All readings at one size, or why there are none.
#[derive(Serialize)]
pub struct Point {
    pub role: &'static str,
    pub size: u64,
    pub size_unit: &'static str,
    pub readings: Vec<Reading>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_reached: Option<String>,
}

impl Point {
    pub fn reached(role: &Role, size: u64, readings: Vec<Reading>) -> Self {
        Self { role: role.name, size, size_unit: role.size_unit, readings, not_reached: None }
    }

    pub fn not_reached(role: &Role, size: u64, why: String) -> Self {
        Self { not_reached: Some(why), ..Self::reached(role, size, Vec::new()) }
    }
}

/// A quantity of a role over all sizes that were reached.
#[derive(Serialize)]
pub struct FittedLine {
    pub role: &'static str,
    pub size_unit: &'static str,
    pub quantity: String,
    pub unit: String,
    pub sizes: Vec<u64>,
    pub slope: f64,
    pub intercept: f64,
    pub residual: f64,
    pub growth: &'static str,
    /// The exponent of a power law through the larger half of the sizes and its residual in logarithms, where the growth is
    /// not linear.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exponent: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exponent_residual: Option<f64>,
    pub plan_size: f64,
    /// The quantity at the plan's size, by the line or, where the growth is faster, by the power law; nothing where it falls,
    /// since a falling line soon tells of less than nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_plan_size: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ends: Option<Ends>,
}

/// Where a quantity meets its limit.
#[derive(Serialize)]
pub struct Ends {
    pub size: f64,
    /// `measured` between two sizes, `below the smallest size` in proportion to it, or `extrapolated`.
    pub by: &'static str,
    /// The plan's size over this one.
    pub plan_over_size: f64,
}
