//! `found`: the first state of an acceptor.

use std::path::Path;

use anyhow::{bail, Context, Result};
use badgerledge_distribution::Signer;

use crate::settings::RelaySettings;
use crate::{storage, Outcome};

/// # Errors
/// Where the machine is no acceptor, or has a state already.
pub fn run(file: &Path) -> Result<Outcome> {
    let settings = RelaySettings::read(file)?;
    let (number, state) = (settings.place.number, &settings.place.state);
    if !settings.read_keys()?.acceptors().contains(&number) {
        bail!("member {number} is no acceptor in {}: it needs no such state", settings.place.ring.display());
    }
    storage::found(state).with_context(|| state.display().to_string())?;
    println!("{}: the state of acceptor {number}, which has signed nothing", state.display());
    Ok(Outcome::Done)
}
