//! The distribution tier as processes on loopback: control machines, controllers and viewers, with proxies between them
//! that cut and slow what passes. What is asserted is what viewers are answered, and within which stated time.

mod apart;
mod changes;
mod failures;
mod fleet;
#[allow(dead_code)]
#[path = "../../../controller/tests/it/harness.rs"]
mod harness;
mod lying_relay;
mod network;
mod old_and_new;
mod snapshots;
#[allow(dead_code)]
#[path = "../../../relay/tests/it/stall.rs"]
mod stall;

/// The controller's program, as the harness starts it.
fn controller_program() -> std::process::Command {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_badgerledge-replay"));
    command.arg("controller");
    command
}
