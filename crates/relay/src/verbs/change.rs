//! `change`: pushes a signed change of single keys.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{bail, Result};
use badgerledge_distribution::change::{Change, Rejection};
use badgerledge_distribution::{Author, Number};
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_settings::IniFile;

use crate::client::{Client, ClientFault};
use crate::{edits, Outcome};

#[derive(clap::Args)]
pub struct Arguments {
    /// A control machine: where it takes controllers and tools
    #[arg(long)]
    relay: SocketAddr,
    /// The file of the author's private key
    #[arg(long)]
    author: PathBuf,
    /// The revision that the edits are made against, by number, or `latest`
    #[arg(long)]
    base: Base,
    /// The number of this change: higher than that of the author's last one. Pushed again with the same number, it is
    /// applied once
    #[arg(long)]
    sequence: u64,
    /// How long to wait for the outcome, in seconds
    #[arg(long, default_value_t = 30)]
    wait: u64,
    /// An INI file of edits
    file: PathBuf,
}

/// What a change is made against.
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
                number.parse().map(Self::Revision).map_err(|_| "a number or `latest` is taken".to_owned())
            }
        }
    }
}

/// # Errors
/// Where the key, the file or the relay is not in order; a rejection is an outcome.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let (private, author) = read_author(&arguments.author)?;
    let edits = edits::read(&IniFile::read(&arguments.file)?)?;
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
            println!("{name}: not known whether it was taken: {fault}; push the same change again");
            Ok(Outcome::NotYet)
        }
        Err(fault) => Err(fault.into()),
    }
}

fn outcome_of(rejection: &Rejection) -> Outcome {
    match rejection {
        Rejection::Unknown | Rejection::Busy(_) => Outcome::NotYet,
        _ => Outcome::Rejected,
    }
}

fn read_author(file: &std::path::Path) -> Result<(PrivateKey, Author)> {
    let private = PrivateKey::read(file)?;
    match private.role() {
        Role::Author(author) => Ok((private, author)),
        role => bail!("{}: the key of {role}; changes are signed by an author", file.display()),
    }
}
