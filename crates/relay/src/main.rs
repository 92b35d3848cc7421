//! Entry point of `badgerledge-relay`.

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerledge_relay::main_with(std::env::args_os())
}
