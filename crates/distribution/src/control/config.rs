//! What a control machine is given by its operator.

use std::time::Duration;

use thiserror::Error;

use crate::MachineId;

/// How long what was decided may take to go out, for the bound that is stated.
const LATE: Duration = Duration::from_millis(250);
/// Connections of watchers and tools at most: a zone's 617, those of a lost neighbour, and some tools.
const CONNECTIONS: usize = 1500;
/// More connections than one process is meant to hold.
const MOST_CONNECTIONS: usize = 20_000;
/// What a decision takes to go out at most: beyond it the stated bound says nothing.
const LATEST: Duration = Duration::from_secs(5);

/// What a control machine is given by its operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub me: MachineId,
    /// Later than in all earlier runs of this machine.
    pub life: u32,
    /// How long what a watcher decided may take to go out, for the bound that is stated.
    pub late: Duration,
    /// Connections of watchers and tools at most.
    pub connections: usize,
}

/// Why a configuration is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigFault {
    #[error("late: {0:?}, where {LATEST:?} at most is taken")]
    Late(Duration),
    #[error("connections: {0}, where 1 to {MOST_CONNECTIONS} are taken")]
    Connections(usize),
}

impl Config {
    /// The defaults for a machine.
    pub fn new(me: MachineId, life: u32) -> Self {
        Self { me, life, late: LATE, connections: CONNECTIONS }
    }

    /// # Errors
    /// Where a value is out of its bounds.
    pub fn check(&self) -> Result<(), ConfigFault> {
        if self.late > LATEST {
            return Err(ConfigFault::Late(self.late));
        }
        if self.connections == 0 || self.connections > MOST_CONNECTIONS {
            return Err(ConfigFault::Connections(self.connections));
        }
        Ok(())
    }
}
