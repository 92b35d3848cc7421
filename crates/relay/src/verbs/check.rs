//! The `check` command: validates a settings file and the files that it names.

use std::path::Path;

use anyhow::{bail, Result};
use badgerledge_distribution::Signer;

use crate::settings::{read_genesis, RelaySettings};
use crate::Outcome;

/// Runs the command.
///
/// # Errors
/// All errors found, one per line.
pub fn run(file: &Path) -> Result<Outcome> {
    let settings = RelaySettings::read(file)?;
    let (keys, genesis) = (settings.read_keys(), read_genesis(&settings.place.genesis));
    match (keys, genesis) {
        (Ok(keys), Ok(genesis)) => {
            let (peers, entries) = (settings.peers.len(), genesis.len());
            let acceptors = keys.acceptors().len();
            let root = hex::encode(genesis.root());
            println!(
                "{}: valid, {peers} control machines, {acceptors} of them acceptors, {entries} entries, root {root}",
                file.display()
            );
            Ok(Outcome::Done)
        }
        (keys, genesis) => {
            let faults = [keys.err(), genesis.err()].into_iter().flatten();
            bail!("{}", faults.map(|fault| format!("{fault:#}")).collect::<Vec<_>>().join("\n"))
        }
    }
}
