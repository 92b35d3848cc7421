//! `badgerledge-relay`: a control machine of the distribution tier on sockets, and the verbs that operators change and
//! watch the configuration with.
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | the INI file of a control machine, checked |
//! | [`envelope`] | signed envelopes between control machines: what is accepted, what is refused and why |
//! | `peers` | streams to and from the other control machines |
//! | `push_check` | whether controllers can act on what a pushed change leads to |
//! | `watchers` | streams of controllers and of operators' tools |
//! | [`storage`] | what must be on the disk before anything is said that rests on it |
//! | `service` | the loop that joins these to [`badgerledge_distribution::control::ControlMachine`] |
//! | `telemetry` | metrics, and log lines at a bounded rate |
//! | [`client`] | an operator's connection to a relay |
//! | [`edits`] | the INI form of a change |
//! | `verbs` | what an operator asks for on the command line |

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

/// A control machine of the distribution tier, and the verbs of its operators.
///
/// Exit codes: 0 done; 1 something was wrong on the way; 2 rejected, and nothing has changed; 3 not known or not in force
/// in the time given.
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
        /// How log lines are written, on standard error
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
        /// Which log lines: error, warn, info, debug or trace, also by target
        #[arg(long, default_value = "info")]
        log_level: String,
    },
    /// Reads a settings file, its ring, key and first configuration, and says all that is wrong with them
    Check {
        /// The control machine's settings, an INI file
        settings: PathBuf,
    },
    /// Makes the state of an acceptor that was never there: it has signed nothing
    Found {
        /// The control machine's settings, an INI file
        settings: PathBuf,
    },
    /// Pushes a signed change of single keys, and says what became of it
    Change(verbs::change::Arguments),
    /// Shows what a control machine knows
    Status(verbs::status::Arguments),
    /// Shows how the highest revision comes into force, until it is
    Watch(verbs::watch::Arguments),
    /// Writes the edits that lead from one configuration file to another, as `change` takes them
    Diff(verbs::diff::Arguments),
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

/// How a verb ended, as the program's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    /// Rejected, and nothing has changed.
    Rejected,
    /// Not known, or not in force in the time given.
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

/// Runs the program on these arguments, the first of them its name.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match carry_out(Command::parse_from(arguments).verb) {
        Ok(outcome) => outcome.into(),
        Err(fault) => {
            eprintln!("badgerledge-relay: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(verb: Verb) -> Result<Outcome> {
    match verb {
        Verb::Run { settings, log, log_level } => {
            start_log(log, &log_level)?;
            let prepared = RelaySettings::read(&settings)?.prepare()?;
            service::Service::new(prepared)?.run()?;
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

fn start_log(form: LogForm, level: &str) -> Result<()> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("--log-level {level}"))?;
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match form {
        LogForm::Text => log.with_ansi(false).init(),
        LogForm::Json => log.json().init(),
    }
    Ok(())
}
