//! `status`: shows what a control machine knows.

use std::net::SocketAddr;

use anyhow::Result;
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use serde_json::json;

use crate::client::{Client, ClientFault};
use crate::Outcome;

#[derive(clap::Args)]
pub struct Arguments {
    /// Control machines: where they take controllers and tools
    #[arg(long, required = true, num_args = 1..)]
    relay: Vec<SocketAddr>,
    /// A line of JSON for each control machine
    #[arg(long)]
    json: bool,
}

/// # Errors
/// Where a control machine does not answer; the others are shown.
pub fn run(arguments: &Arguments) -> Result<Outcome> {
    let mut fault = None;
    for relay in &arguments.relay {
        match ask(*relay) {
            Ok((status, apart)) if arguments.json => println!("{}", as_json(&status, &apart)),
            Ok((status, apart)) => println!("{}", as_table(&status, &apart)),
            Err(found) => {
                eprintln!("badgerledge-relay: {found}");
                fault = Some(found);
            }
        }
    }
    match fault {
        Some(fault) => Err(fault.into()),
        None => Ok(Outcome::Done),
    }
}

fn ask(relay: SocketAddr) -> Result<(ControlStatus, PartitionStatus), ClientFault> {
    let status = Client::connect(relay)?.status()?;
    let apart = Client::connect(relay)?.apart()?;
    Ok((status, apart.unwrap_or_default()))
}

fn as_json(status: &ControlStatus, apart: &PartitionStatus) -> serde_json::Value {
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
        "apart_ms": apart.max_partition_ms,
        "vouches": apart.vouches,
        "regional_leases": apart.regional_leases,
        "exclusive_waits_ms": apart.waits_ms,
    })
}

/// Machines that exclusive changes wait for, and for how long at most.
pub fn exclusive_waits(apart: &PartitionStatus) -> String {
    let wait = |(machine, left): &(u16, u64)| format!("{machine} ({} s at most)", left.div_ceil(1000));
    listed(&apart.waits_ms.iter().map(wait).collect::<Vec<_>>())
}

fn as_apart(apart: &PartitionStatus) -> String {
    match apart.max_partition_ms {
        0 => "a region that is cut off holds back".to_owned(),
        ms => format!(
            "a region that is cut off goes on for {} s; {} regional leases so far",
            ms / 1000,
            apart.regional_leases
        ),
    }
}

fn as_table(status: &ControlStatus, apart: &PartitionStatus) -> String {
    let role = if status.acceptor { "acceptor and relay" } else { "relay" };
    let rows = [
        ("machine", format!("{} ({role})", status.machine)),
        ("active", status.active.to_string()),
        ("certified", status.certified.to_string()),
        ("root", hex::encode(status.root)),
        ("bound T", format!("{} ms, of a lease of {} ms", status.bound_ms, status.lease_ms)),
        ("watchers", format!("{}, {} prepared", status.watchers, status.prepared)),
        ("lagging", listed(&status.lagging)),
        ("waited for", listed(&status.waited_for)),
        ("deltas", format!("from revision {}", status.log_floor)),
        ("apart", as_apart(apart)),
        ("exclusive", format!("waits for {}", exclusive_waits(apart))),
        ("state", format!("{} entries, {} bytes", status.entries, status.state_bytes)),
    ];
    rows.iter().map(|(name, value)| format!("{name:<12}{value}\n")).collect()
}

/// Numbers with commas between, or a dash.
pub fn listed<T: ToString>(numbers: &[T]) -> String {
    match numbers {
        [] => "-".to_owned(),
        numbers => numbers.iter().map(T::to_string).collect::<Vec<_>>().join(", "),
    }
}
