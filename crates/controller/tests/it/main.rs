//! The controller as a process on loopback: hard cases, bad input, bounds, and a client library of others.

mod bad_input;
mod changes;
mod crossings;
mod gossip;
mod hard_cases;
mod other_client;
mod platform;
mod platform_rig;
mod revisions;
mod rig;

/// The program that is tested.
fn controller_program() -> std::process::Command {
    std::process::Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"))
}
