//! The `diff` command: prints the edits from one configuration file to another.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use badgerledge_deployment::{entries, kinds};
use badgerledge_distribution::state::Entry;
use badgerledge_settings::Sheet;

use crate::{edits, Outcome};

/// Command line arguments of `diff`.
#[derive(clap::Args)]
pub struct Arguments {
    /// The current configuration
    from: PathBuf,
    /// The new configuration
    to: PathBuf,
}

/// Runs the command.
///
/// # Errors
/// If a file is not a valid configuration.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let edits = edits::difference(&read(&arguments.from)?, &read(&arguments.to)?);
    print!("{}", edits::write(&edits));
    Ok(Outcome::Done)
}

fn read(file: &Path) -> Result<Vec<Entry>> {
    let text = kinds::canonical(&Sheet::read(file)?);
    entries::entries_of(&text).with_context(|| file.display().to_string())
}
