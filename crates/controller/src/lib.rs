//! The controller program: its command line, its settings and its logging.
//!
//! It is a library so that other programs of this repository can run the same controller as a child process
//! ([`main_with`]).

pub mod accounting;
mod budgeting;
mod changing;
mod configuration_check;
mod configuration_source;
mod connections;
mod distributing;
mod fetching;
mod gossiping;
mod join_connection;
mod list;
mod probes;
mod request_streams;
pub mod revising;
mod serve;
mod telemetry;
mod viewer;

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::Deployment;
use badgerledge_files as files;
use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

/// Serves viewers over RTSP: places their subscriptions on streamers and sets the rung they play at.
#[derive(Parser)]
#[command(name = "badgerledge-controller", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs a controller until SIGTERM or SIGINT
    Run {
        /// The controller's settings, an INI file
        settings: PathBuf,
        /// How log lines are written, on standard error
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
        /// Which log lines: error, warn, info, debug or trace, also by target
        #[arg(long, default_value = "info")]
        log_level: String,
    },
    /// Runs a controller on the platform described by the file that `GW_CONFIG` names, until SIGTERM
    Platform {
        /// How log lines are written, on standard error
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
        /// Which log lines: error, warn, info, debug or trace, also by target
        #[arg(long, default_value = "info")]
        log_level: String,
    },
    /// Reads a settings file and its catalogue, and reports every error in them
    Check {
        /// The controller's settings, an INI file
        settings: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

/// Runs the program with these arguments; the first one is the program's name.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match execute(Command::parse_from(arguments).what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerledge-controller: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a subcommand.
fn execute(what: What) -> Result<()> {
    match what {
        What::Check { settings } => {
            let (deployment, catalogue) = read_settings(&settings)?;
            let (room_type_count, title_count) = (deployment.shared.room_types.len(), catalogue.len());
            println!("{}: in order, {room_type_count} room types, {title_count} titles", settings.display());
            Ok(())
        }
        What::Platform { log, log_level } => {
            start_log(log, &log_level)?;
            badgerledge_platform::run()
        }
        What::Run { settings, log, log_level } => {
            start_log(log, &log_level)?;
            let (deployment, catalogue) = read_settings(&settings)?;
            serve::Service::new(deployment, catalogue)?.run()
        }
    }
}

/// Reads the settings and the catalogue that they name. Relative paths are resolved against the settings
/// file's folder.
fn read_settings(settings: &Path) -> Result<(Deployment, Catalogue)> {
    let mut deployment = Deployment::read(settings)?;
    if deployment.place.catalogue.is_relative() {
        let folder = settings.parent().unwrap_or(Path::new(""));
        deployment.place.catalogue = folder.join(&deployment.place.catalogue);
    }
    if let Some(gossip) = &mut deployment.gossip {
        for path in [&mut gossip.ring, &mut gossip.key].into_iter().filter(|path| path.is_relative()) {
            *path = settings.parent().unwrap_or(Path::new("")).join(&*path);
        }
    }
    if let Some(distribution) = &mut deployment.distribution {
        distribution.ring = settings.parent().unwrap_or(Path::new("")).join(&distribution.ring);
    }
    let catalogue = Catalogue::read(&deployment.place.catalogue)?;
    for (id, title) in catalogue.titles() {
        if deployment.shared.room_type(&title.room_type).is_none() {
            let path = deployment.place.catalogue.display();
            anyhow::bail!(
                "{path}: [title {id:x}] room_type = {}: the settings define no such room type",
                title.room_type
            );
        }
    }
    Ok((deployment, catalogue))
}

/// Installs the logger, which writes to standard error.
fn start_log(format: LogForm, level: &str) -> Result<()> {
    let filter = EnvFilter::try_new(level).with_context(|| format!("--log-level {level}"))?;
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogForm::Text => log.with_ansi(false).init(),
        LogForm::Json => log.json().init(),
    }
    Ok(())
}
