//! The configuration of a control machine, and its limits.

use std::time::Duration;

use thiserror::Error;

use crate::MachineId;

/// The default of [`Config::activation_delay`].
const DEFAULT_ACTIVATION_DELAY: Duration = Duration::from_millis(250);
/// The default limit of connections: the 617 watchers of a zone, those of a lost neighbour zone, and some
/// tools.
const DEFAULT_CONNECTIONS: usize = 1500;
/// The upper limit of [`Config::max_connections`]: more than one process is meant to serve.
const MAX_CONNECTIONS: usize = 20_000;
/// The upper limit of [`Config::activation_delay`]: with a longer delay the stated bound would be useless.
const MAX_ACTIVATION_DELAY: Duration = Duration::from_secs(5);
/// The lower limit of [`Config::max_partition`]: a relay lease is renewed about once a second, and must
/// outlive a few lost requests.
pub const MIN_PARTITION: Duration = Duration::from_secs(10);
/// The upper limit of [`Config::max_partition`], which is how long an exclusive change waits for a machine
/// that died.
pub const MAX_PARTITION: Duration = Duration::from_secs(4 * 3600);

/// The configuration of a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The number of this machine.
    pub machine: MachineId,
    /// The incarnation number of the process: higher than in all earlier runs of this machine.
    pub incarnation: u32,
    /// The longest time from a watcher's decision until its messages are sent; part of the stated bound on
    /// contradicting revisions.
    pub activation_delay: Duration,
    /// The maximum number of connections of watchers and tools.
    pub max_connections: usize,
    /// How long a region that is partitioned from the acceptors continues with its old configuration;
    /// exclusive changes wait for it at most this long. Zero: the region stops acting when its leases expire.
    pub max_partition: Duration,
}

/// Why a configuration is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigFault {
    #[error("activation_delay: {0:?}; at most {MAX_ACTIVATION_DELAY:?} is allowed")]
    ActivationDelay(Duration),
    #[error("max_connections: {0}; 1 to {MAX_CONNECTIONS} are allowed")]
    MaxConnections(usize),
    #[error("max_partition: {0:?}; 0, or {MIN_PARTITION:?} to {MAX_PARTITION:?} are allowed")]
    MaxPartition(Duration),
}

impl Config {
    /// The default configuration of a machine.
    pub fn new(machine: MachineId, incarnation: u32) -> Self {
        Self {
            machine,
            incarnation,
            activation_delay: DEFAULT_ACTIVATION_DELAY,
            max_connections: DEFAULT_CONNECTIONS,
            max_partition: Duration::ZERO,
        }
    }

    /// # Errors
    /// If a value is out of its range.
    pub fn check(&self) -> Result<(), ConfigFault> {
        if self.activation_delay > MAX_ACTIVATION_DELAY {
            return Err(ConfigFault::ActivationDelay(self.activation_delay));
        }
        if self.max_connections == 0 || self.max_connections > MAX_CONNECTIONS {
            return Err(ConfigFault::MaxConnections(self.max_connections));
        }
        if !self.max_partition.is_zero() && !(MIN_PARTITION..=MAX_PARTITION).contains(&self.max_partition) {
            return Err(ConfigFault::MaxPartition(self.max_partition));
        }
        Ok(())
    }
}
