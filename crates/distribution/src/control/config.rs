//! What a control machine is given by its operator.

use std::time::Duration;

use thiserror::Error;

use crate::MachineId;

/// How long a watcher's lease lasts.
const LEASE: Duration = Duration::from_secs(6);
/// How long what was decided may take to go out, for the bound that is stated.
const LATE: Duration = Duration::from_millis(250);
/// Connections of watchers and tools at most: a zone's 617, those of a lost neighbour, and some tools.
const CONNECTIONS: usize = 1500;

/// What a control machine is given by its operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub me: MachineId,
    /// Later than in all earlier runs of this machine.
    pub life: u32,
    /// How long a watcher's lease lasts; the same at all machines and watchers.
    pub lease: Duration,
    /// How long what a watcher decided may take to go out, for the bound that is stated.
    pub late: Duration,
    /// Connections of watchers and tools at most.
    pub connections: usize,
}

/// Why a configuration is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigFault {
    #[error("lease: {0:?}, where {1:?} to {2:?} are taken")]
    Lease(Duration, Duration, Duration),
    #[error("connections: {0}, where 1 to {1} are taken")]
    Connections(usize, usize),
}

impl Config {
    /// The defaults for a machine.
    pub fn new(me: MachineId, life: u32) -> Self {
        Self { me, life, lease: LEASE, late: LATE, connections: CONNECTIONS }
    }
}
