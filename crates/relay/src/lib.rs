//! `badgerledge-relay`: runs a control machine of the distribution tier, and provides the commands with which operators
//! change and watch the configuration.
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | reads and validates the INI file of a control machine |
//! | [`envelope`] | signs and verifies the envelopes between control machines |
//! | `peers` | streams to and from the other control machines |
//! | `push_check` | rejects pushed changes that controllers could not apply |
//! | `watchers` | connections of controllers and of operators' tools |
//! | [`storage`] | durable state, written before any message that depends on it is sent |
//! | `service` | the event loop around [`badgerledge_distribution::control::ControlMachine`] |
//! | `telemetry` | metrics, and a rate limit for log lines |
//! | [`client`] | a blocking connection from an operator's tool to a relay |
//! | [`edits`] | the INI form of a change |
//! | `verbs` | the operators' commands |
//! | `backoff` | pauses between connection attempts |

mod backoff;
pub mod client;
pub mod edits;
pub mod envelope;
mod peers;
mod push_check;
mod service;
pub mod settings;
pub mod storage;
mod telemetry;
mod verbs;
mod watchers;

#[cfg(test)]
mod tests;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

use crate::settings::RelaySettings;

/// Runs a control machine of the distribution tier, and lets operators change and watch the configuration.
///
/// Exit codes: 0 success; 1 error; 2 rejected, nothing has changed; 3 outcome unknown, or not in force within the time
/// given.
#[derive(Parser)]
#[command(name = "badgerledge-relay", version)]
struct Command {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Runs a control machine until SIGTERM or SIGINT
    Run {
        /// The control machine's settings, an INI file
        settings: PathBuf,
        /// Format of the log lines on standard error
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
        /// Log filter: error, warn, info, debug or trace, optionally by target
        #[arg(long, default_value = "info")]
        log_level: String,
    },
    /// Validates a settings file, its ring, key and first configuration, and prints all errors
    Check {
        /// The control machine's settings, an INI file
        settings: PathBuf,
    },
    /// Creates the initial state of a new acceptor, which has signed nothing
    Found {
        /// The control machine's settings, an INI file
        settings: PathBuf,
    },
    /// Signs and pushes a change of individual keys, and prints its outcome
    Change(verbs::change::Arguments),
    /// Shows the status of control machines
    Status(verbs::status::Arguments),
    /// Shows the progress of the highest revision until it is in force
    Watch(verbs::watch::Arguments),
    /// Prints the edits from one configuration file to another, in the form that `change` takes
    Diff(verbs::diff::Arguments),
}

/// Format of the log lines.
#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

/// The outcome of a command, which becomes the program's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    /// Rejected, and nothing has changed.
    Rejected,
    /// The outcome is unknown, or the revision is not in force within the time given.
    NotYet,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        ExitCode::from(match outcome {
            Outcome::Done => 0,
            Outcome::Rejected => 2,
            Outcome::NotYet => 3,
        })
    }
}

/// Runs the program with these arguments; the first one is the program name.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match run_command(Command::parse_from(arguments).verb) {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("badgerledge-relay: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(verb: Verb) -> Result<Outcome> {
    match verb {
        Verb::Run { settings, log, log_level } => {
            start_log(log, &log_level)?;
            let loaded = RelaySettings::read(&settings)?.load()?;
            service::Service::new(loaded)?.run()?;
            Ok(Outcome::Done)
        }
        Verb::Check { settings } => verbs::check::run(&settings),
        Verb::Found { settings } => verbs::found::run(&settings),
        Verb::Change(arguments) => verbs::change::run(&arguments),
        Verb::Status(arguments) => verbs::status::run(&arguments),
        Verb::Watch(arguments) => verbs::watch::run(&arguments),
        Verb::Diff(arguments) => verbs::diff::run(&arguments),
    }
}

/// Starts logging to standard error.
fn start_log(form: LogForm, level: &str) -> Result<()> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("invalid --log-level {level}"))?;
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match form {
        LogForm::Text => log.with_ansi(false).init(),
        LogForm::Json => log.json().init(),
    }
    Ok(())
}
