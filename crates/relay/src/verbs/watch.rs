//! `watch`: shows how a revision comes into force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use badgerledge_distribution::Number;

use crate::client::Client;
use crate::verbs::status::{exclusive_waits, listed};
use crate::Outcome;

/// What is shown changes no faster than this is worth reading.
const ASK_EVERY: Duration = Duration::from_millis(250);

#[derive(clap::Args)]
pub struct Arguments {
    /// A control machine: where it takes controllers and tools
    #[arg(long)]
    relay: SocketAddr,
    /// The revision that is to come into force; without it the highest that is certified at the start
    #[arg(long)]
    revision: Option<Number>,
    /// How long to wait, in seconds
    #[arg(long, default_value_t = 120)]
    wait: u64,
}

/// # Errors
/// Where the relay does not answer.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let begun = Instant::now();
    let mut client = Client::connect(arguments.relay)?;
    let mut status = client.status()?;
    let wanted = arguments.revision.unwrap_or(status.certified);
    let apart = || Client::connect(arguments.relay)?.apart();
    let mut waits = apart()?.filter(|apart| apart.max_partition_ms > 0);
    let mut shown = String::new();
    while status.active < wanted && begun.elapsed() < Duration::from_secs(arguments.wait) {
        let line = progress(&status, wanted);
        if line != shown {
            let waits = waits.as_ref().map_or(String::new(), waits_for);
            println!("{:>7} ms  {line}{waits}", begun.elapsed().as_millis());
            shown = line;
        }
        std::thread::sleep(ASK_EVERY);
        status = client.status()?;
        if waits.is_some() {
            waits = apart()?;
        }
    }
    let ms = begun.elapsed().as_millis();
    if status.active < wanted {
        println!("{ms:>7} ms  revision {wanted} is not in force: {}", progress(&status, wanted));
        return Ok(Outcome::NotYet);
    }
    println!("{ms:>7} ms  revision {} is in force", status.active);
    Ok(Outcome::Done)
}

/// What an exclusive change waits for, if it does.
fn waits_for(apart: &PartitionStatus) -> String {
    match apart.waits_ms.is_empty() {
        true => String::new(),
        false => format!(", an exclusive change waits for {}", exclusive_waits(apart)),
    }
}

fn progress(status: &ControlStatus, wanted: Number) -> String {
    let ControlStatus { active, certified, watchers, prepared, lagging, waited_for, .. } = status;
    if *certified < wanted {
        return format!("revision {wanted} is not certified, {certified} is the highest");
    }
    format!(
        "certified {certified}, active {active}, {prepared} of {watchers} watchers prepared, lagging {}, waits for {}",
        listed(lagging),
        listed(waited_for)
    )
}
