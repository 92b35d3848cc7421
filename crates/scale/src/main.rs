//! Plays a scenario at the plan's size, and says which budgets were kept.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use badgerledge_scale::figures::Figures;
use badgerledge_scale::reckoning::{check, needs, Gives};
use badgerledge_scale::scenario::{Network, Scenario};
use badgerledge_scale::simulation::{self, Broken};
use badgerledge_scale::{hollow, slopes, summary};
use clap::{Parser, Subcommand};
use rustix::process::{set_parent_process_death_signal, Signal};

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
        /// So many of the hollow controllers are real ones instead, a process each.
        #[arg(long, default_value_t = 0)]
        real: u32,
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
    /// Hosts hollow controllers for a run, which starts it.
    #[command(hide = true)]
    Hollow { settings: PathBuf },
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
    /// A simulated network as the loopback is: no delay and no loss, to hold against hollow members.
    #[arg(long)]
    loopback: bool,
}

impl Changed {
    fn apply(&self, scenario: Scenario) -> Scenario {
        let mut scenario = match self.controllers {
            Some(controllers) => scenario.resized(controllers),
            None => scenario,
        };
        scenario.run.seed = self.seed.unwrap_or(scenario.run.seed);
        if self.loopback {
            scenario.network = Network::loopback();
        }
        if let Some(kind) = &self.kind {
            scenario.run.kind = kind.clone();
        }
        scenario
    }
}

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    // Control machines and real controllers are this program started anew: what is played is always this very build.
    let part = arguments.get(1).and_then(|word| word.to_str()).unwrap_or_default();
    if matches!(part, "relay" | "controller" | "hollow") {
        end_with_parent();
    }
    match part {
        "relay" => return badgerledge_relay::main_with(arguments.into_iter().skip(1)),
        "controller" => return badgerledge_controller::main_with(arguments.into_iter().skip(1)),
        _ => {}
    }
    let outcome = match Arguments::parse_from(arguments).command {
        Command::Run { scenario, changed, real, into } => run(&scenario, &changed, real, into.as_deref()),
        Command::Slopes { scenario, sizes, seed, at, charts, into } => {
            fit(&scenario, &sizes, seed, at, charts.as_deref(), into.as_deref()).map(|()| true)
        }
        Command::Hollow { settings } => hollow::host::serve(&settings).map(|()| true),
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

/// A process of a run does not outlive the run, however that ends.
fn end_with_parent() {
    // Where it can't be had, the run ends its processes itself on all ways but an outright kill.
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
}

fn run(path: &Path, changed: &Changed, real: u32, into: Option<&Path>) -> Result<bool> {
    let scenario = changed.apply(Scenario::read(path)?);
    let mut kept = true;
    for figures in play(&scenario, real)? {
        write_line(&figures, into)?;
        println!("{}", serde_json::to_string(&figures)?);
        print!("{}", summary::summary(&figures));
        kept &= figures.all_kept();
    }
    Ok(kept)
}

fn play(scenario: &Scenario, real: u32) -> Result<Vec<Figures>> {
    check(scenario, needs(scenario, real), Gives::here())?;
    match scenario.run.kind.as_str() {
        "simulated" if real > 0 => bail!("--real: real controllers run beside hollow ones (--kind hollow)"),
        "simulated" => Ok(vec![simulation::play(scenario, Broken::default(), true)?]),
        "hollow" => {
            let program = std::env::current_exe().context("the path of this program")?;
            hollow::run::play(scenario, real, &program, true)
        }
        kind => bail!("--kind {kind}: simulated or hollow is taken"),
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
        let changed =
            Changed { kind: Some("simulated".to_owned()), controllers: Some(*size), seed, loopback: false };
        eprintln!("{size} controllers");
        for figures in play(&changed.apply(scenario.clone()), 0)? {
            write_line(&figures, into)?;
            runs.push(figures);
        }
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
