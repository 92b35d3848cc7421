//! The `status` command: shows the status of control machines.

use std::net::SocketAddr;

use anyhow::Result;
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use serde_json::json;

use crate::client::{Client, ClientFault};
use crate::Outcome;

/// Command line arguments of `status`.
#[derive(clap::Args)]
pub struct Arguments {
    /// The addresses that control machines accept controllers and tools at
    #[arg(long, required = true, num_args = 1..)]
    relay: Vec<SocketAddr>,
    /// Print one line of JSON for each control machine
    #[arg(long)]
    json: bool,
}

/// Runs the command.
///
/// # Errors
/// If a control machine does not answer; the others are shown.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let mut last_fault = None;
    for relay in &arguments.relay {
        match request_status(*relay) {
            Ok((status, partition)) if arguments.json => println!("{}", to_json(&status, &partition)),
            Ok((status, partition)) => println!("{}", to_table(&status, &partition)),
            Err(fault) => {
                eprintln!("badgerledge-relay: {fault}");
                last_fault = Some(fault);
            }
        }
    }
    match last_fault {
        Some(fault) => Err(fault.into()),
        None => Ok(Outcome::Done),
    }
}

/// Requests a control machine's status, over two connections: an old version closes the one with the second request.
fn request_status(relay: SocketAddr) -> Result<(ControlStatus, PartitionStatus), ClientFault> {
    let status = Client::connect(relay)?.status()?;
    let partition = Client::connect(relay)?.partition_status()?;
    Ok((status, partition.unwrap_or_default()))
}

fn to_json(status: &ControlStatus, partition: &PartitionStatus) -> serde_json::Value {
    let ControlStatus {
        machine,
        acceptor,
        active,
        certified,
        root,
        bound_ms,
        lease_ms,
        watchers,
        prepared,
        lagging,
        waited_for,
        log_floor,
        entries,
        state_bytes,
    } = status;
    json!({
        "machine": machine,
        "acceptor": acceptor,
        "active": active,
        "certified": certified,
        "root": hex::encode(root),
        "bound_ms": bound_ms,
        "lease_ms": lease_ms,
        "watchers": watchers,
        "prepared": prepared,
        "lagging": lagging,
        "waited_for": waited_for,
        "log_floor": log_floor,
        "entries": entries,
        "state_bytes": state_bytes,
        "apart_ms": partition.max_partition_ms,
        "vouches": partition.vouches,
        "regional_leases": partition.regional_leases,
        "exclusive_waits_ms": partition.waits_ms,
    })
}

/// Lists the machines that exclusive changes wait for, each with the longest remaining time.
pub fn format_exclusive_waits(partition: &PartitionStatus) -> String {
    let wait = |(machine, remaining_ms): &(u16, u64)| {
        format!("{machine} ({} s at most)", remaining_ms.div_ceil(1000))
    };
    join_numbers(&partition.waits_ms.iter().map(wait).collect::<Vec<_>>())
}

/// Describes what a region that is cut off from the acceptors does.
fn format_partition_mode(partition: &PartitionStatus) -> String {
    match partition.max_partition_ms {
        0 => "a region that is cut off holds back new joins".to_owned(),
        ms => format!(
            "a region that is cut off continues for {} s; {} regional leases so far",
            ms / 1000,
            partition.regional_leases
        ),
    }
}

fn to_table(status: &ControlStatus, partition: &PartitionStatus) -> String {
    let role = if status.acceptor { "acceptor and relay" } else { "relay" };
    let rows = [
        ("machine", format!("{} ({role})", status.machine)),
        ("active", status.active.to_string()),
        ("certified", status.certified.to_string()),
        ("root", hex::encode(status.root)),
        ("bound T", format!("{} ms, of a lease of {} ms", status.bound_ms, status.lease_ms)),
        ("watchers", format!("{}, {} prepared", status.watchers, status.prepared)),
        ("lagging", join_numbers(&status.lagging)),
        ("waited for", join_numbers(&status.waited_for)),
        ("deltas", format!("from revision {}", status.log_floor)),
        ("apart", format_partition_mode(partition)),
        ("exclusive", format!("waits for {}", format_exclusive_waits(partition))),
        ("state", format!("{} entries, {} bytes", status.entries, status.state_bytes)),
    ];
    rows.iter().map(|(name, value)| format!("{name:<12}{value}\n")).collect()
}

/// Joins numbers with commas; a dash if there are none.
pub fn join_numbers<T: ToString>(numbers: &[T]) -> String {
    match numbers {
        [] => "-".to_owned(),
        numbers => numbers.iter().map(T::to_string).collect::<Vec<_>>().join(", "),
    }
}
