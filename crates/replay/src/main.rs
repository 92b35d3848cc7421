//! Plays a scripted day through real controllers on loopback, and prints the verdict.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use badgerledge_replay::{play, Day, Options, Report};
use clap::Parser;

/// Plays a day file through real controllers: streamers, list and viewers are stand-ins in this process, each
/// controller is a process of its own. Exits 0 only when every rule was put to the test and kept.
#[derive(Parser)]
#[command(name = "badgerledge-replay", version)]
struct Command {
    /// The day, an INI file
    day: PathBuf,
    /// Another seed than the day's own
    #[arg(long)]
    seed: Option<u64>,
    /// Makes the day so many times as long, its troubles with it
    #[arg(long, default_value_t = 1.0)]
    stretch: f64,
    /// Writes all figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keeps the controllers' settings, state and logs in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Another build's `badgerledge-controller`, for controllers that the day starts with it
    #[arg(long, value_name = "PATH")]
    old_program: Option<PathBuf>,
    /// Which log lines the controllers write
    #[arg(long, default_value = "info")]
    log_level: String,
    /// Rules that may go without a test, by number: a short day need not try all
    #[arg(long, value_delimiter = ',', value_name = "RULES")]
    untested: Vec<usize>,
}

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    // Controllers are this program started anew: what is played is always this very build.
    if arguments.get(1).is_some_and(|word| word == "controller") {
        return badgerledge_controller::main_with(arguments.into_iter().skip(1));
    }
    // So are control machines, for tests that play both.
    if arguments.get(1).is_some_and(|word| word == "relay") {
        return badgerledge_relay::main_with(arguments.into_iter().skip(1));
    }
    match carry_out(&Command::parse_from(arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("badgerledge-replay: {fault:#}");
            ExitCode::from(2)
        }
    }
}

fn carry_out(command: &Command) -> Result<bool> {
    let mut day = Day::read(&command.day)?;
    day.course.seed = command.seed.unwrap_or(day.course.seed);
    day.stretch(command.stretch);
    let folder =
        tempfile::Builder::new().prefix("badgerledge-replay-").tempdir().context("a folder for the day")?;
    let options = Options {
        program: std::env::current_exe().context("the path of this program")?,
        other_program: command.old_program.clone(),
        folder: command.keep.clone().unwrap_or_else(|| folder.path().to_owned()),
        log_level: command.log_level.clone(),
    };
    let report: Report = play(&day, &options)?;
    print!("{report}");
    if let Some(path) = &command.json {
        std::fs::write(path, report.json().to_string()).with_context(|| path.display().to_string())?;
    }
    Ok(report.kept(&command.untested))
}
