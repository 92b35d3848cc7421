//! `diff`: the edits that lead from one configuration file to another.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use badgerledge_deployment::{entries, kinds};
use badgerledge_distribution::state::Entry;
use badgerledge_settings::IniFile;

use crate::{edits, Outcome};

#[derive(clap::Args)]
pub struct Arguments {
    /// The configuration that counts now
    from: PathBuf,
    /// The configuration that is to count
    to: PathBuf,
}

/// # Errors
/// Where a file is not a configuration.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let edits = edits::between(&read(&arguments.from)?, &read(&arguments.to)?);
    print!("{}", edits::write(&edits));
    Ok(Outcome::Done)
}

fn read(file: &Path) -> Result<Vec<Entry>> {
    let text = kinds::canonical(&IniFile::read(file)?);
    entries::entries_from_text(&text).with_context(|| file.display().to_string())
}
