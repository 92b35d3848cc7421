//! The `found` command: creates the initial state of an acceptor.

use std::path::Path;

use anyhow::{bail, Context, Result};
use badgerledge_distribution::Signer;

use crate::settings::RelaySettings;
use crate::{storage, Outcome};

/// Runs the command.
///
/// # Errors
/// If the machine is not an acceptor, or has a state already.
pub fn run(file: &Path) -> Result<Outcome> {
    let settings = RelaySettings::read(file)?;
    let (number, state) = (settings.place.number, &settings.place.state);
    if !settings.read_keys()?.acceptors().contains(&number) {
        bail!(
            "member {number} is not an acceptor in {}: it needs no initial state",
            settings.place.ring.display()
        );
    }
    storage::create_acceptor_state(state).with_context(|| state.display().to_string())?;
    println!("{}: created the state of acceptor {number}, which has signed nothing", state.display());
    Ok(Outcome::Done)
}
