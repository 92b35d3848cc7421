//! Plays a scenario at the plan's size, and says which budgets were kept.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use badgerledge_scale::figures::Figures;
use badgerledge_scale::reckoning::{check, needs, Gives};
use badgerledge_scale::scenario::Scenario;
use badgerledge_scale::simulation::{self, Broken};
use badgerledge_scale::{slopes, summary};
use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "badgerledge-scale", version, about = "Runs the distribution tier at the plan's size")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario, prints its figures as a JSON line and a summary; exit status 1 where a budget is broken.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        changed: Changed,
        /// Appends the JSON line to this file too.
        #[arg(long)]
        into: Option<PathBuf>,
    },
    /// Plays a scenario at several sizes, simulated, and fits lines through the figures.
    Slopes {
        scenario: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "370,740,1850,3700,7400")]
        sizes: Vec<u32>,
        #[arg(long)]
        seed: Option<u64>,
        /// The size that the lines are read at.
        #[arg(long, default_value_t = 7400)]
        at: u32,
        /// Draws charts into this folder.
        #[arg(long)]
        charts: Option<PathBuf>,
        #[arg(long)]
        into: Option<PathBuf>,
    },
    /// Plays the baseline, the agreement among all controllers without a tier, at several sizes.
    Flat {
        scenario: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "30,100,300,1000")]
        sizes: Vec<u32>,
    },
    /// Holds two runs' figures, the last lines of two files, against each other.
    Compare { first: PathBuf, second: PathBuf },
}

/// What is other than the scenario says.
#[derive(clap::Args)]
struct Changed {
    /// simulated or hollow.
    #[arg(long)]
    kind: Option<String>,
    #[arg(long)]
    controllers: Option<u32>,
    #[arg(long)]
    seed: Option<u64>,
}

impl Changed {
    fn apply(&self, scenario: Scenario) -> Scenario {
        let mut scenario = match self.controllers {
            Some(controllers) => scenario.resized(controllers),
            None => scenario,
        };
        scenario.run.seed = self.seed.unwrap_or(scenario.run.seed);
        if let Some(kind) = &self.kind {
            scenario.run.kind = kind.clone();
        }
        scenario
    }
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Run { scenario, changed, into } => run(&scenario, &changed, into.as_deref()),
        Command::Slopes { scenario, sizes, seed, at, charts, into } => {
            fit(&scenario, &sizes, seed, at, charts.as_deref(), into.as_deref()).map(|()| true)
        }
        Command::Flat { scenario, sizes } => flat(&scenario, &sizes).map(|()| true),
        Command::Compare { first, second } => compare(&first, &second),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("badgerledge-scale: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(path: &Path, changed: &Changed, into: Option<&Path>) -> Result<bool> {
    let scenario = changed.apply(Scenario::read(path)?);
    let figures = play(&scenario)?;
    write_line(&figures, into)?;
    println!("{}", serde_json::to_string(&figures)?);
    print!("{}", summary::summary(&figures));
    Ok(figures.all_kept())
}

fn play(scenario: &Scenario) -> Result<Figures> {
    check(scenario, needs(scenario, 0), Gives::here())?;
    match scenario.run.kind.as_str() {
        "simulated" => simulation::play(scenario, Broken::default(), true),
        kind => bail!("{kind}: not a kind of members"),
    }
}

fn write_line(figures: &Figures, into: Option<&Path>) -> Result<()> {
    let Some(path) = into else { return Ok(()) };
    let file =
        File::options().create(true).append(true).open(path).with_context(|| path.display().to_string())?;
    let mut file = BufWriter::new(file);
    writeln!(file, "{}", serde_json::to_string(figures)?)?;
    Ok(file.flush()?)
}

fn fit(
    path: &Path, sizes: &[u32], seed: Option<u64>, at: u32, charts: Option<&Path>, into: Option<&Path>,
) -> Result<()> {
    if sizes.len() < slopes::LEAST_SIZES {
        bail!("--sizes: {} sizes, where {} at least are taken", sizes.len(), slopes::LEAST_SIZES);
    }
    let scenario = Scenario::read(path)?;
    let mut runs = Vec::new();
    for size in sizes {
        let changed = Changed { kind: Some("simulated".to_owned()), controllers: Some(*size), seed };
        eprintln!("{size} controllers");
        let figures = play(&changed.apply(scenario.clone()))?;
        write_line(&figures, into)?;
        runs.push(figures);
    }
    print!("{}", slopes::lines(&runs, f64::from(at)));
    if let Some(folder) = charts {
        for (unit, name) in [("s", "times"), ("B/s", "bytes"), ("cores", "cores")] {
            let title = format!("{}: {name} over the number of controllers, simulated", scenario.name);
            let file = folder.join(format!("{}-{name}.svg", scenario.name));
            slopes::draw(&title, unit, &runs, &file)?;
        }
    }
    Ok(())
}

fn flat(path: &Path, sizes: &[u32]) -> Result<()> {
    let scenario = Scenario::read(path)?;
    for size in sizes {
        if !(1..=u32::from(u16::MAX)).contains(size) {
            bail!("--sizes: {size}, where 1 to {} is taken", u16::MAX);
        }
        println!("{}", serde_json::to_string(&badgerledge_scale::flat::play(&scenario, *size))?);
    }
    Ok(())
}

fn compare(first: &Path, second: &Path) -> Result<bool> {
    let (first, second) = (last_figures(first)?, last_figures(second)?);
    print!("{}", summary::overlap_lines(&first, &second));
    Ok(summary::overlaps(&first, &second).iter().all(summary::Overlap::holds))
}

fn last_figures(path: &Path) -> Result<Figures> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let line = text.lines().rfind(|line| line.starts_with('{')).context("no figures in it")?;
    serde_json::from_str(line).with_context(|| path.display().to_string())
}
