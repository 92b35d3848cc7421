//! Runs the controller as a process on loopback: life cycles of subscriptions, invalid input, limits, and a
//! client library of another project.

mod bad_input;
mod changes;
mod departed_clients;
mod duplicates;
mod false_handovers;
mod gossip;
mod handovers;
mod harness;
mod lost_connections;
mod other_client;
mod platform;
mod platform_harness;
mod races;
mod replaced_streamers;
mod revisions;
mod shutdown;
mod subscriptions;

/// The program under test.
fn controller_program() -> std::process::Command {
    std::process::Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"))
}
