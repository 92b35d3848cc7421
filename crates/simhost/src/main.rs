//! Runs many isolated instances of the decisions for the simulator, which sends events on standard input and
//! reads decisions from standard output.

mod codec;
mod host;

use std::io::{self, BufReader};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::new(io::stdin().lock());
    match host::serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerledge-simhost: {error:#}");
            ExitCode::FAILURE
        }
    }
}
