//! Entry point of `badgerledge-revision`.

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerledge_revision_tool::main_with(std::env::args_os())
}
