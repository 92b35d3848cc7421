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
/// A relay lease is renewed about once a second, and outlives a few lost requests.
pub const LEAST_APART: Duration = Duration::from_secs(10);
/// An exclusive change waits for a machine that died as long as this at most.
pub const MOST_APART: Duration = Duration::from_secs(4 * 3600);

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
    /// How long a region that is cut off from the acceptors goes on under its old configuration, and exclusive changes wait
    /// for it at most; zero: it holds back after a lease.
    pub apart: Duration,
}

/// Why a configuration is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigFault {
    #[error("late: {0:?}, where {LATEST:?} at most is taken")]
    Late(Duration),
    #[error("connections: {0}, where 1 to {MOST_CONNECTIONS} are taken")]
    Connections(usize),
    #[error("apart: {0:?}, where 0 or {LEAST_APART:?} to {MOST_APART:?} are taken")]
    Apart(Duration),
}

impl Config {
    /// The defaults for a machine.
    pub fn new(me: MachineId, life: u32) -> Self {
        Self { me, life, late: LATE, connections: CONNECTIONS, apart: Duration::ZERO }
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
        if !self.apart.is_zero() && !(LEAST_APART..=MOST_APART).contains(&self.apart) {
            return Err(ConfigFault::Apart(self.apart));
        }
        Ok(())
    }
}
