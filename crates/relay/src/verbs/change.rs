//! The `change` command: signs and pushes a change of individual keys.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{bail, Result};
use badgerledge_distribution::change::{Change, Rejection};
use badgerledge_distribution::{Author, Number};
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_settings::Sheet;

use crate::client::{Client, ClientFault};
use crate::{edits, Outcome};

/// Command line arguments of `change`.
#[derive(clap::Args)]
pub struct Arguments {
    /// The address that a control machine accepts controllers and tools at
    #[arg(long)]
    relay: SocketAddr,
    /// File of the author's private key
    #[arg(long)]
    author: PathBuf,
    /// The revision that the edits are based on: a number, or `latest`
    #[arg(long)]
    base: Base,
    /// The number of this change, which must exceed that of the author's previous change. A change that is pushed again
    /// with the same number is applied once
    #[arg(long)]
    sequence: u64,
    /// How long to wait for the outcome, in seconds
    #[arg(long, default_value_t = 30)]
    wait: u64,
    /// An INI file of edits
    file: PathBuf,
}

/// The revision that a change is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Base {
    Latest,
    Revision(Number),
}

impl std::str::FromStr for Base {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "latest" => Ok(Self::Latest),
            number => {
                number.parse().map(Self::Revision).map_err(|_| "expected a number or `latest`".to_owned())
            }
        }
    }
}

/// Runs the command.
///
/// # Errors
/// If the key or the file is invalid, or the relay cannot be reached. A rejection is an outcome.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let (private, author) = read_author(&arguments.author)?;
    let edits = edits::read(&Sheet::read(&arguments.file)?)?;
    let mut client = Client::connect(arguments.relay)?;
    let base = match arguments.base {
        Base::Revision(number) => number,
        Base::Latest => client.status()?.certified,
    };
    let change = Change::sign(author, arguments.sequence, base, edits, |bytes| private.sign(bytes));
    let name = format!("change {} of author {author}", arguments.sequence);
    match client.push(&change, Duration::from_secs(arguments.wait)) {
        Ok(Ok(number)) => {
            println!("{name}: certified in revision {number}");
            Ok(Outcome::Done)
        }
        Ok(Err(rejection)) => {
            println!("{name}, {}: {rejection}", arguments.file.display());
            Ok(outcome_of(&rejection))
        }
        Err(fault @ (ClientFault::Closed(_) | ClientFault::Silent(..) | ClientFault::Io(..))) => {
            println!("{name}: outcome unknown: {fault}; push the same change again");
            Ok(Outcome::NotYet)
        }
        Err(fault) => Err(fault.into()),
    }
}

/// The exit code of a rejection.
fn outcome_of(rejection: &Rejection) -> Outcome {
    match rejection {
        Rejection::Unknown | Rejection::Busy(_) => Outcome::NotYet,
        _ => Outcome::Rejected,
    }
}

/// Reads the author's private key.
fn read_author(file: &std::path::Path) -> Result<(PrivateKey, Author)> {
    let private = PrivateKey::read(file)?;
    match private.role() {
        Role::Author(author) => Ok((private, author)),
        role => bail!("{}: this is the key of {role}, but changes are signed by an author", file.display()),
    }
}
