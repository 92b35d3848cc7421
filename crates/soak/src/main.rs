//! Entry point: plays runs by their seeds and prints the verdict. Called with `controller` first, it is the
//! controller that it tests.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use anyhow::{ensure, Context, Result};
use badgerledge_soak::{play, Outcome, Plan, Record, Violation};
use clap::Parser;

/// Violations of one rule that are printed with their timeline for each run.
const MAX_SHOWN_PER_RULE: usize = 2;

/// Plays short, dense runs of real controllers under faults, and judges them by the protocol's rules.
#[derive(Debug, Parser)]
struct Arguments {
    /// The seeds, as FIRST-LAST or one number
    #[arg(long, default_value = "1-50")]
    seeds: String,
    /// The duration of a run, in seconds
    #[arg(long, default_value_t = 25)]
    duration_s: u64,
    /// Runs played side by side
    #[arg(long, default_value_t = 4)]
    parallel: usize,
    /// A file to which each run adds a line of JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// A folder for the controllers' logs of runs that break a rule
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The controllers' log level
    #[arg(long, default_value = "info")]
    log_level: String,
    /// Another program that serves as the controller: its first argument is `controller`, too
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os();
    if arguments.nth(1).is_some_and(|argument| argument == "controller") {
        return badgerledge_controller::main_with(std::env::args_os().skip(1));
    }
    match run(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("badgerledge-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Plays all seeds; returns whether every run kept all rules.
fn run(arguments: &Arguments) -> Result<bool> {
    let seeds = parse_seeds(&arguments.seeds)?;
    ensure!(arguments.parallel > 0, "--parallel: 1 or more");
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().context("the path of this program")?,
    };
    let (next, results) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..arguments.parallel.min(seeds.len()) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let result = play_seed(arguments, *seed, &program);
                    results.lock().unwrap_or_else(|error| error.into_inner()).insert(*seed, result);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(|error| error.into_inner());
    summarize(results)
}

fn parse_seeds(text: &str) -> Result<Vec<u64>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let parse = |text: &str| text.trim().parse::<u64>().with_context(|| format!("--seeds {text}: a number"));
    let (first, last) = (parse(first)?, parse(last)?);
    ensure!(first <= last, "--seeds {text}: the first is greater than the last");
    Ok((first..=last).collect())
}

/// Plays one seed, prints its verdict, and keeps its logs if it broke a rule.
fn play_seed(arguments: &Arguments, seed: u64, program: &Path) -> Result<Outcome> {
    let plan = Plan::draw(seed, Duration::from_secs(arguments.duration_s));
    let folder = tempfile::TempDir::new().context("a folder for the run")?;
    let outcome = play(&plan, program, folder.path(), &arguments.log_level)?;
    print_verdict(&outcome);
    if let Some(path) = &arguments.json {
        let mut file = OpenOptions::new().create(true).append(true).open(path).context("--json")?;
        writeln!(file, "{}", serde_json::to_string(&outcome)?).context("--json")?;
    }
    if let Some(keep) = arguments.keep.as_ref().filter(|_| !outcome.violations.is_empty()) {
        let target = keep.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&target).context("--keep")?;
        for entry in std::fs::read_dir(folder.path()).context("--keep")? {
            let entry = entry.context("--keep")?;
            std::fs::copy(entry.path(), target.join(entry.file_name())).context("--keep")?;
        }
    }
    Ok(outcome)
}

fn print_verdict(outcome: &Outcome) {
    let seed = outcome.plan.seed;
    let stalled = if outcome.stalled { ", the rig was late: void" } else { "" };
    println!("seed {seed}: {} broken, lag {} ms{stalled}", outcome.violations.len(), outcome.longest_lag_ms);
    if outcome.violations.is_empty() {
        return;
    }
    println!("  plan: {}", serde_json::to_string(&outcome.plan).unwrap_or_default());
    let mut shown: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &outcome.violations {
        let count = shown.entry(violation.rule).or_default();
        *count += 1;
        if *count <= MAX_SHOWN_PER_RULE {
            println!("  {}", describe(violation, &outcome.record));
        }
    }
}

/// A violation with the timeline of its request and of the process that it was sent to.
fn describe(violation: &Violation, record: &Record) -> String {
    let mut text = format!("{:.3} s: {}: {}", violation.at.as_secs_f64(), violation.rule, violation.what);
    let Some(id) = violation.request else { return text };
    text.push_str(&format!(", request {id:016x}"));
    if let Some(request) = record.requests.get(&id) {
        text.push_str(&format!("\n    {request:?}\n    {:?}", record.lives[request.life]));
    }
    text
}

/// Prints what all runs together put to the test and broke.
fn summarize(results: BTreeMap<u64, Result<Outcome>>) -> Result<bool> {
    let mut totals: BTreeMap<String, u64> = BTreeMap::new();
    let mut broken: BTreeMap<&'static str, Vec<u64>> = BTreeMap::new();
    let mut void = Vec::new();
    for (seed, result) in results {
        let outcome = result.with_context(|| format!("seed {seed}"))?;
        if outcome.stalled {
            void.push(seed);
        }
        let counts = serde_json::to_value(outcome.coverage)?;
        for (name, count) in counts.as_object().into_iter().flatten() {
            *totals.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
        for violation in outcome.violations {
            broken.entry(violation.rule).or_default().push(seed);
        }
    }
    for (name, total) in totals {
        println!("{name}: {total}");
    }
    println!("void: {void:?}");
    for (rule, seeds) in &broken {
        let mut distinct = seeds.clone();
        distinct.dedup();
        println!("{rule}: broken {} times, seeds {distinct:?}", seeds.len());
    }
    Ok(broken.is_empty() && void.is_empty())
}
