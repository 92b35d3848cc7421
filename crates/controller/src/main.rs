//! Entry point of the controller program.

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerledge_controller::main_with(std::env::args_os())
}
