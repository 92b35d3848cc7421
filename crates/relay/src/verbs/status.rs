//! `status`: shows what a control machine knows.

use std::net::SocketAddr;

use anyhow::Result;
use badgerledge_distribution::message::ControlStatus;
use serde_json::json;

use crate::client::Client;
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
        match Client::connect(*relay).and_then(|mut client| client.status()) {
            Ok(status) if arguments.json => println!("{}", as_json(&status)),
            Ok(status) => println!("{}", as_table(&status)),
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

fn as_json(status: &ControlStatus) -> serde_json::Value {
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
    })
}

fn as_table(status: &ControlStatus) -> String {
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
