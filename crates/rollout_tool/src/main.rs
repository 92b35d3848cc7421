//! `badgerledge-rollout`: plans rolling changes.

mod shown;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use badgerledge_deployment::SECTIONS;
use badgerledge_rollout::{plan_of, Preview, Spec, SECTION};
use badgerledge_settings::{Faults, IniFile};
use clap::{Args, Parser, Subcommand};

/// A rolling change of the program or of settings, in stages.
///
/// Exit codes: 0 done; 1 something was wrong on the way; 2 the plan is refused. Nothing is sent to a fleet.
#[derive(Parser)]
#[command(name = "badgerledge-rollout", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Says what a plan will do: which members in which order, and how long each stage must last
    Plan {
        #[command(flatten)]
        plan: PlanFiles,
        /// Requests a second that one controller gets on the mean
        #[arg(long, default_value_t = 1.5)]
        asked_per_s: f64,
    },
    /// Says whether a plan is in order; what is wrong is named with its place
    Check(PlanFiles),
}

#[derive(Args)]
struct PlanFiles {
    /// An INI file with a section [rollout]
    file: PathBuf,
    /// A file with the shared sections that the fleet acts on; by default they stand in FILE
    #[arg(long)]
    settings: Option<PathBuf>,
}

const REFUSED: u8 = 2;

fn main() -> ExitCode {
    match carry_out(&Command::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerledge-rollout: {fault:#}");
            ExitCode::from(if fault.is::<Faults>() { REFUSED } else { 1 })
        }
    }
}

fn carry_out(what: &What) -> Result<()> {
    match what {
        What::Plan { plan, asked_per_s } => {
            if !asked_per_s.is_finite() || *asked_per_s <= 0.0 {
                bail!("--asked-per-s {asked_per_s}: a number over 0 is taken");
            }
            let spec = read(plan)?;
            let preview = Preview::of(&spec, *asked_per_s).context("the plan")?;
            print!("{}", shown::plan(&spec, &preview, *asked_per_s));
        }
        What::Check(plan) => {
            let spec = read(plan)?;
            let (members, stages) = (spec.fleet.places.len(), spec.stages.len());
            println!("plan {} is in order: {members} members, {stages} stages", spec.number);
        }
    }
    Ok(())
}

fn read(plan: &PlanFiles) -> Result<Spec, Faults> {
    let sheet = read_known(&plan.file)?;
    match &plan.settings {
        Some(settings) => plan_of(&sheet, &read_known(settings)?),
        None => plan_of(&sheet, &sheet),
    }
}

/// A file whose sections are all known: a misspelt one would else be passed over.
fn read_known(path: &Path) -> Result<IniFile, Faults> {
    let sheet = IniFile::read(path)?;
    let known: Vec<&str> = SECTIONS.iter().copied().chain([SECTION, "title"]).collect();
    sheet.reject_unknown_sections(&known)?;
    Ok(sheet)
}
