//! Benchmark programs of the controller. Each prints what it measured, side by side with the plain thing that it is
//! measured against, in one run on one core. None of it is part of CI.

mod accounting;
mod backdrop;
mod capacity;
mod changes;
mod counted;
mod fixture;
mod load;
mod playing;
mod pump;
mod pusher;
mod relay;
mod round;
mod set_ups;
mod signatures;
mod titles;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand};
use fixture::Source;

#[global_allocator]
static ALLOCATOR: counted::Counted = counted::Counted;

/// Measures the controller, which runs as a process of its own (this program started anew).
#[derive(Parser)]
#[command(name = "badgerledge-bench", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Set-ups a second through the controller, against straight to the stand-in streamer
    SetUps {
        /// Seconds of each measurement
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Viewers that ask at a time
        #[arg(long, default_value_t = 64)]
        viewers: usize,
    },
    /// Media in MB a second through the controller, against a bare byte pump on the same loop
    Relay {
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        #[arg(long, default_value_t = 8)]
        streams: usize,
    },
    /// Allocations, system calls and copied bytes of each ordinary join, by where the configuration comes from, and of each
    /// relayed packet
    Costs,
    /// Memory of the controller with so many subscriptions playing
    Memory {
        #[arg(long, default_value_t = 2000)]
        subscriptions: usize,
    },
    /// The time of a round of the module with its exchange
    Round {
        #[arg(long, default_value_t = 300)]
        streamers: u32,
        #[arg(long, default_value_t = 600)]
        subscriptions: u32,
    },
    /// The sketch of heaviest titles against a plain map
    Titles {
        #[arg(long, default_value_t = 100_000)]
        titles: u64,
    },
    /// A change of settings and titles, between two rounds
    Changes {
        #[arg(long, default_value_t = 100_000)]
        titles: u32,
        #[arg(long, default_value_t = 2000)]
        held: u32,
    },
    /// Signing and checking of the gossip
    Signatures,
    /// What the accounts of crossing traffic take of a core
    Accounting {
        #[arg(long, default_value_t = 500)]
        playing: u64,
    },
    /// What each role costs by its size, as lines of JSON
    Capacity(capacity::Options),
    /// All of them but `capacity`, one after the other
    All,
    /// The bare byte pump, as a process
    #[command(hide = true)]
    Pump { listen: SocketAddr, to: SocketAddr },
}

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    if arguments.get(1).is_some_and(|word| word == "controller") {
        let code = badgerledge_controller::main_with(arguments.into_iter().skip(1));
        counted::write_down();
        return code;
    }
    if arguments.get(1).is_some_and(|word| word == "control-machine") {
        return badgerledge_relay::main_with(arguments.into_iter().skip(1));
    }
    match carry_out(Command::parse_from(arguments).what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerledge-bench: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(what: What) -> Result<()> {
    match what {
        What::Pump { listen, to } => pump::run(listen, to),
        What::Round { streamers, subscriptions } => round::measure(streamers, subscriptions),
        What::Titles { titles } => titles::measure(titles),
        What::Changes { titles, held } => changes::measure(titles, held),
        What::Signatures => on_one_core(signatures::measure),
        What::Capacity(options) => capacity::run(&options),
        What::Accounting { playing } => accounting::measure(playing),
        What::SetUps { seconds, viewers } => on_one_core(|| set_ups::measure(seconds, viewers)),
        What::Relay { seconds, streams } => on_one_core(|| relay::measure(seconds, streams)),
        What::Costs => on_one_core(|| {
            costs_of_joins()?;
            relay::costs()
        }),
        What::Memory { subscriptions } => on_one_core(|| set_ups::memory(subscriptions)),
        What::All => on_one_core(|| {
            set_ups::measure(4.0, 64)?;
            relay::measure(4.0, 8)?;
            costs_of_joins()?;
            relay::costs()?;
            set_ups::memory(2000)?;
            round::measure(300, 600)?;
            accounting::measure(500)?;
            signatures::measure()
        }),
    }
}

fn costs_of_joins() -> Result<()> {
    [Source::File, Source::Revisions, Source::Distribution].into_iter().try_for_each(set_ups::costs)
}

/// Keeps this process and all that it starts on one core: what is compared shares it alike.
fn on_one_core(measure: impl FnOnce() -> Result<()>) -> Result<()> {
    let mut one = rustix::thread::CpuSet::new();
    one.set(0);
    rustix::thread::sched_setaffinity(None, &one)?;
    measure()
}
