//! Gets accounts from where they are.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_accounts::Accounts;
use badgerledge_controller::accounting::read_stored_accounts;

/// A live controller answers at once; one that does not in this time is passed over.
const PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of an answer at most: some times what a controller's accounts have.
const LONGEST: u64 = 64 * 1024 * 1024;

/// All accounts that could be read, merged, and whether that is all of them. Those that could not are told of on
/// standard error; if there is none that could, that is a fault.
pub fn gather(sources: &[String]) -> Result<(Accounts, bool)> {
    let (mut all, mut read) = (Accounts::default(), 0);
    for source in sources {
        match one(source) {
            Ok(accounts) => {
                all.merge(&accounts);
                read += 1;
            }
            Err(fault) => eprintln!("badgerledge-report: {source}: {fault:#}"),
        }
    }
    if read == 0 {
        bail!("none of the sources could be read");
    }
    Ok((all, read == sources.len()))
}

fn one(source: &str) -> Result<Accounts> {
    let accounts = match source.parse::<SocketAddr>() {
        Ok(at) => live(at)?,
        Err(_) => {
            let folder = Path::new(source);
            if !folder.is_dir() {
                bail!("neither an address nor a folder");
            }
            read_stored_accounts(folder)
        }
    };
    if accounts.sources().next().is_none() {
        bail!("no accounts there");
    }
    Ok(accounts)
}

/// Asks a controller at its metrics address (RFC 9112).
fn live(at: SocketAddr) -> Result<Accounts> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream
        .write_all(format!("GET /accounts HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(LONGEST).read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").context("the answer has no end of its head")?;
    if !head.starts_with("HTTP/1.1 200") {
        bail!("{}", head.lines().next().unwrap_or("no answer"));
    }
    Ok(Accounts::decode(body)?)
}
