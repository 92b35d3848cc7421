//! The controller program. It is a library too, so that other programs of the toolkit can start the very same
//! controller as a process of their own ([`main_with`]).

pub mod accounting;
mod budgeting;
mod changing;
mod configuration_source;
mod distributing;
mod ends;
mod fetching;
mod fits;
mod gossiping;
mod join;
mod list;
mod orders;
mod probes;
pub mod revising;
mod serve;
mod viewer;
mod watch;

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
    /// Runs a controller on the platform that `GW_CONFIG` tells of, until SIGTERM
    Platform {
        /// How log lines are written, on standard error
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
        /// Which log lines: error, warn, info, debug or trace, also by target
        #[arg(long, default_value = "info")]
        log_level: String,
    },
    /// Reads a settings file and its catalogue, and says all that is wrong with them
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

/// Runs the program on these arguments, the first of them its name.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match carry_out(Command::parse_from(arguments).what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerledge-controller: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(what: What) -> Result<()> {
    match what {
        What::Check { settings } => {
            let (deployment, catalogue) = read(&settings)?;
            let (types, titles) = (deployment.shared.room_types.len(), catalogue.len());
            println!("{}: in order, {types} room types, {titles} titles", settings.display());
            Ok(())
        }
        What::Platform { log, log_level } => {
            start_log(log, &log_level)?;
            badgerledge_platform::run()
        }
        What::Run { settings, log, log_level } => {
            start_log(log, &log_level)?;
            let (deployment, catalogue) = read(&settings)?;
            serve::Service::new(deployment, catalogue)?.run()
        }
    }
}

/// Reads the settings and the catalogue that they name, beside them where its path is relative.
fn read(settings: &Path) -> Result<(Deployment, Catalogue)> {
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
            let at = deployment.place.catalogue.display();
            anyhow::bail!(
                "{at}: [title {id:x}] room_type = {}: the settings have no such one",
                title.room_type
            );
        }
    }
    Ok((deployment, catalogue))
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
