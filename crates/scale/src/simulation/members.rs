//! The members of a simulated fleet: state machines with the disks that outlive them.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_distribution::control::{self, ControlMachine, StoredItem};
use badgerledge_distribution::watcher::{StoreRequest, Watcher};
use badgerledge_distribution::Number;

use super::connections::ConnectionId;
use super::hand::SimulatedHand;
use crate::observations::{Meter, Used};
use crate::workload::Pushes;

/// A simulated controller.
pub struct WatcherSeat {
    pub state: Option<Watcher<SimulatedHand>>,
    pub life: u32,
    /// Its machine is off: nothing answers there, and nothing tells that it ended.
    pub host_off: bool,
    /// When it is tended next.
    pub due: Duration,
    pub zone: u16,
    /// The control machines in the order of its preference.
    pub relays: Vec<u16>,
    /// Its connections, by the place of the relay.
    pub connections: BTreeMap<usize, ConnectionId>,
    /// Kept only where it will come back with it in this run.
    pub disk: Option<Vec<u8>>,
    pub meter: Meter,
    pub cpu: Duration,
    pub acts_on: Option<Number>,
}

impl WatcherSeat {
    pub fn store(&mut self, request: StoreRequest) {
        let Some(disk) = &mut self.disk else { return };
        match request {
            StoreRequest::Replace(bytes) => *disk = bytes,
            StoreRequest::Append(bytes) => disk.extend_from_slice(&bytes),
        }
    }

    pub fn used(&self) -> Used {
        let Meter { bytes_in, bytes_out, messages, .. } = self.meter;
        Used { bytes_in, bytes_out, messages, cpu: self.cpu }
    }
}

/// A control machine's stream to another one, on which its messages go.
pub struct PeerLink {
    pub connection: ConnectionId,
    /// The other end has answered a ping.
    pub up: bool,
    /// When it last did.
    pub heard: Duration,
}

/// A simulated control machine.
pub struct MachineSeat {
    pub state: Option<ControlMachine<SimulatedHand>>,
    pub life: u32,
    pub host_off: bool,
    pub due: Duration,
    pub zone: u16,
    /// Its own streams to other control machines.
    pub peers: BTreeMap<u16, PeerLink>,
    /// Tries to connect to each that failed in a row.
    pub failed_tries: BTreeMap<u16, u32>,
    pub disk: control::Stored,
    pub used: Used,
}

impl MachineSeat {
    pub fn store(&mut self, item: StoredItem) {
        self.disk.apply(item);
    }
}

/// An author's tool, which pushes changes.
pub struct ToolSeat {
    pub pushes: Pushes,
    pub zone: u16,
    pub machines: Vec<u16>,
    /// The machine that it pushes at, by its place in that order.
    pub at: usize,
    pub connection: Option<ConnectionId>,
    /// When it looks next whether something is to be sent.
    pub due: Duration,
}

impl ToolSeat {
    pub fn machine(&self) -> u16 {
        self.machines[self.at % self.machines.len()]
    }
}
