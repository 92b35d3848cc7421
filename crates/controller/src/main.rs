//! The controller program's entry.

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerledge_controller::main_with(std::env::args_os())
}
