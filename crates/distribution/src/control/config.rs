//! The configuration of a control machine, and its limits.

use std::time::Duration;

use thiserror::Error;

use crate::MachineId;

/// The default of [`Config::late`].
const DEFAULT_ACTIVATION_DELAY: Duration = Duration::from_millis(250);
/// The default limit of connections: the 617 watchers of a zone, those of a lost neighbour zone, and some
/// tools.
const DEFAULT_CONNECTIONS: usize = 1500;
/// The upper limit of [`Config::connections`]: more than one process is meant to serve.
const MAX_CONNECTIONS: usize = 20_000;
/// The upper limit of [`Config::late`]: with a longer delay the stated bound would be useless.
const MAX_ACTIVATION_DELAY: Duration = Duration::from_secs(5);
/// The lower limit of [`Config::apart`]: a relay lease is renewed about once a second, and must outlive a few
/// lost requests.
pub const LEAST_APART: Duration = Duration::from_secs(10);
/// The upper limit of [`Config::apart`], which is how long an exclusive change waits for a machine that died.
pub const MOST_APART: Duration = Duration::from_secs(4 * 3600);

/// The configuration of a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The number of this machine.
    pub me: MachineId,
    /// The incarnation number of the process: higher than in all earlier runs of this machine.
    pub life: u32,
    /// The longest time from a watcher's decision until its messages are sent; part of the stated bound on
    /// contradicting revisions.
    pub late: Duration,
    /// The maximum number of connections of watchers and tools.
    pub connections: usize,
    /// How long a region that is partitioned from the acceptors continues with its old configuration;
    /// exclusive changes wait for it at most this long. Zero: the region stops acting when its leases expire.
    pub apart: Duration,
}

/// Why a configuration is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigFault {
    #[error("late: {0:?}, where {MAX_ACTIVATION_DELAY:?} at most is taken")]
    Late(Duration),
    #[error("connections: {0}, where 1 to {MAX_CONNECTIONS} are taken")]
    Connections(usize),
    #[error("apart: {0:?}, where 0 or {LEAST_APART:?} to {MOST_APART:?} are taken")]
    Apart(Duration),
}

impl Config {
    /// The default configuration of a machine.
    pub fn new(me: MachineId, life: u32) -> Self {
        Self {
            me,
            life,
            late: DEFAULT_ACTIVATION_DELAY,
            connections: DEFAULT_CONNECTIONS,
            apart: Duration::ZERO,
        }
    }

    /// # Errors
    /// If a value is out of its range.
    pub fn check(&self) -> Result<(), ConfigFault> {
        if self.late > MAX_ACTIVATION_DELAY {
            return Err(ConfigFault::Late(self.late));
        }
        if self.connections == 0 || self.connections > MAX_CONNECTIONS {
            return Err(ConfigFault::Connections(self.connections));
        }
        if !self.apart.is_zero() && !(LEAST_APART..=MOST_APART).contains(&self.apart) {
            return Err(ConfigFault::Apart(self.apart));
        }
        Ok(())
    }
}
