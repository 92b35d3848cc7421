//! The `watch` command: shows the progress of a revision until it is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use badgerledge_distribution::Number;

use crate::client::Client;
use crate::verbs::status::{format_exclusive_waits, join_numbers};
use crate::Outcome;

/// Interval between status requests: short enough to follow the progress on a screen.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Command line arguments of `watch`.
#[derive(clap::Args)]
pub struct Arguments {
    /// The address that a control machine accepts controllers and tools at
    #[arg(long)]
    relay: SocketAddr,
    /// The revision to wait for; by default the highest one that is certified at the start
    #[arg(long)]
    revision: Option<Number>,
    /// How long to wait, in seconds
    #[arg(long, default_value_t = 120)]
    wait: u64,
}

/// Runs the command.
///
/// # Errors
/// If the relay does not answer.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let started_at = Instant::now();
    let mut client = Client::connect(arguments.relay)?;
    let mut status = client.status()?;
    let target = arguments.revision.unwrap_or(status.certified);
    let partition_status = || Client::connect(arguments.relay)?.partition_status();
    let mut partition = partition_status()?.filter(|partition| partition.max_partition_ms > 0);
    let mut last_line = String::new();
    while status.active < target && started_at.elapsed() < Duration::from_secs(arguments.wait) {
        let line = progress(&status, target);
        if line != last_line {
            let waits = partition.as_ref().map_or(String::new(), format_waits);
            println!("{:>7} ms  {line}{waits}", started_at.elapsed().as_millis());
            last_line = line;
        }
        std::thread::sleep(STATUS_INTERVAL);
        status = client.status()?;
        if partition.is_some() {
            partition = partition_status()?;
        }
    }
    let ms = started_at.elapsed().as_millis();
    if status.active < target {
        println!("{ms:>7} ms  revision {target} is not in force: {}", progress(&status, target));
        return Ok(Outcome::NotYet);
    }
    println!("{ms:>7} ms  revision {} is in force", status.active);
    Ok(Outcome::Done)
}

/// Describes the machines that an exclusive change waits for; empty if there are none.
fn format_waits(partition: &PartitionStatus) -> String {
    match partition.waits_ms.is_empty() {
        true => String::new(),
        false => format!(", an exclusive change waits for {}", format_exclusive_waits(partition)),
    }
}

/// Describes how far a revision has progressed.
fn progress(status: &ControlStatus, target: Number) -> String {
    let ControlStatus { active, certified, watchers, prepared, lagging, waited_for, .. } = status;
    if *certified < target {
        return format!("revision {target} is not certified, {certified} is the highest");
    }
    format!(
        "certified {certified}, active {active}, {prepared} of {watchers} watchers prepared, lagging {}, waits for {}",
        join_numbers(lagging),
        join_numbers(waited_for)
    )
}
