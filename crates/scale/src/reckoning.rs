//! What a run will need of the machine, reckoned before it starts, and refused where the machine does not bear it.

use badgerledge_reactor::raise_descriptors;
use thiserror::Error;

use crate::machine::total_memory_kb;
use crate::scenario::Scenario;

/// Processes of one run at most.
const MOST_PROCESSES: u64 = 300;
/// Of the machine's memory a run takes this part at most.
const MEMORY_PART: u64 = 2;
/// Ports of the loopback that connections may use (Linux's usual range has 28,232).
const MOST_PORTS: u64 = 28_000;
/// A process's descriptors beside its connections: standard streams, poller, listeners, files.
const SPARE_DESCRIPTORS: u64 = 64;

/// Memory of one member, in bytes, as measured and rounded up: what it holds beside the configuration, whose share is
/// counted by entries.
const SIMULATED_WATCHER: u64 = 24 * 1024;
const HOLLOW_WATCHER: u64 = 128 * 1024;
const MACHINE_PROCESS: u64 = 64 * 1024 * 1024;
const HOST_PROCESS: u64 = 16 * 1024 * 1024;
const REAL_CONTROLLER: u64 = 64 * 1024 * 1024;
/// Bytes that an entry costs a member beside its key and value.
const ENTRY_OVERHEAD: u64 = 120;

/// What a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    pub memory_bytes: u64,
    pub processes: u64,
    /// Of the process that needs most.
    pub descriptors: u64,
    pub ports: u64,
}

/// What the machine gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gives {
    pub memory_bytes: u64,
    pub descriptors: u64,
}

impl Gives {
    /// Raises this process's own descriptors to what it is permitted, and tells what there is.
    pub fn here() -> Self {
        Self { memory_bytes: total_memory_kb() * 1024 / MEMORY_PART, descriptors: raise_descriptors() as u64 }
    }
}

/// Why a run is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error(
        "[fleet] controllers = {controllers}: {needed_mb} MB of memory are needed, {given_mb} MB, half of the machine's, are taken"
    )]
    Memory { controllers: u32, needed_mb: u64, given_mb: u64 },
    #[error(
        "[fleet] controllers = {controllers}: {needed} processes are needed, {MOST_PROCESSES} are taken"
    )]
    Processes { controllers: u32, needed: u64 },
    #[error("[fleet] controllers = {controllers}: a process needs {needed} descriptors, {given} are permitted (ulimit -n)")]
    Descriptors { controllers: u32, needed: u64, given: u64 },
    #[error("[failure {0}] what = region_cut: it is played by simulated members only")]
    Simulated(String),
    #[error("[fleet] controllers = {controllers}: {needed} ports of the loopback are needed, {MOST_PORTS} are taken")]
    Ports { controllers: u32, needed: u64 },
}

/// Reckons what a scenario needs of the machine.
pub fn needs(scenario: &Scenario, real: u32) -> Needs {
    let controllers = u64::from(scenario.fleet.controllers);
    let machines = u64::from(scenario.fleet.control_machines);
    let entry = u64::from(scenario.load.entry_bytes) + ENTRY_OVERHEAD;
    let state = u64::from(scenario.load.entries) * entry;
    if scenario.run.kind == "simulated" {
        // Watchers share the entries that none of them changed by itself.
        let memory = controllers * (SIMULATED_WATCHER + state) + machines * (state * 4 + SIMULATED_WATCHER);
        return Needs { memory_bytes: memory, processes: 1, descriptors: SPARE_DESCRIPTORS, ports: 0 };
    }
    let hosts = u64::from(scenario.run.hollow_processes).min(controllers);
    let real = u64::from(real);
    let per_host = controllers.div_ceil(hosts);
    let memory = (controllers - real.min(controllers)) * (HOLLOW_WATCHER + state)
        + machines * (MACHINE_PROCESS + state * 4)
        + hosts * HOST_PROCESS
        + real * REAL_CONTROLLER;
    // All watchers may come to one relay in the worst case.
    let descriptors = per_host.max(controllers + machines * 2) + SPARE_DESCRIPTORS;
    let ports = controllers + machines * machines;
    Needs { memory_bytes: memory, processes: machines + hosts + real + 1, descriptors, ports }
}

/// # Errors
/// Where the machine does not bear it.
pub fn check(scenario: &Scenario, needs: Needs, gives: Gives) -> Result<(), Refusal> {
    let controllers = scenario.fleet.controllers;
    let mut cuts = scenario.failures.iter().filter(|(_, failure)| failure.what == "region_cut");
    if let Some((name, _)) = cuts.next().filter(|_| scenario.run.kind != "simulated") {
        return Err(Refusal::Simulated(name.clone()));
    }
    if needs.memory_bytes > gives.memory_bytes {
        let (needed_mb, given_mb) = (needs.memory_bytes >> 20, gives.memory_bytes >> 20);
        return Err(Refusal::Memory { controllers, needed_mb, given_mb });
    }
    if needs.processes > MOST_PROCESSES {
        return Err(Refusal::Processes { controllers, needed: needs.processes });
    }
    if needs.descriptors > gives.descriptors {
        let (needed, given) = (needs.descriptors, gives.descriptors);
        return Err(Refusal::Descriptors { controllers, needed, given });
    }
    if needs.ports > MOST_PORTS {
        return Err(Refusal::Ports { controllers, needed: needs.ports });
    }
    Ok(())
}
