//! What a run tells its hosts, and what they tell it: JSON lines on a stream of the loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use badgerledge_distribution::{ControllerId, MachineId};
use badgerledge_reactor::{Reactor, SocketId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::observations::{ActedOn, Transition, Used};
use crate::scenario::{Fleet, Load};

/// Where a control machine serves.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RelayAddress {
    pub machine: MachineId,
    pub at: SocketAddr,
}

/// What a host is started with, as a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSettings {
    pub number: u32,
    /// Zero of the run's time on the machine's monotonic clock.
    pub zero: Duration,
    pub controllers: Vec<ControllerId>,
    /// Controllers that will come back with their disks.
    pub keep_disks: Vec<ControllerId>,
    pub fleet: Fleet,
    pub load: Load,
    pub seed: u64,
    pub relays: Vec<RelayAddress>,
    pub ring: PathBuf,
    pub orchestrator: SocketAddr,
    /// The file that what was seen is written to.
    pub result: PathBuf,
    /// Members start spread up to this time,
    pub started_by: Duration,
    /// what they use counts from this one on,
    pub count_from: Duration,
    /// and the process ends by itself at this one, whatever happens.
    pub over_at: Duration,
}

/// What a run tells a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    Kill { controllers: Vec<ControllerId> },
    Start { controllers: Vec<ControllerId>, without_disk: bool },
    Finish,
}

/// What a host tells the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    Ready { number: u32 },
    Progress { number: u32, acting: u32, highest: u32, stalled: Duration },
    Done { number: u32 },
}

/// What a host saw, as a JSON file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostResult {
    pub acted_on: ActedOn,
    pub transitions: Vec<Transition>,
    /// Bytes of single members in single seconds, with how often each was seen.
    pub seconds: Vec<(u64, u64)>,
    pub used: Vec<(ControllerId, Used)>,
    /// The resident set before there were watchers, and at the end.
    pub resident_before: u64,
    pub resident: u64,
    /// How long one call into a member took at most: longer than any does where the process stood still.
    pub stalled: Duration,
}

/// Writes one line.
pub fn say<T: Serialize>(reactor: &mut Reactor, line: SocketId, told: &T) {
    // The types hold nothing that JSON can't express.
    let text = serde_json::to_string(told).unwrap_or_default();
    reactor.send(line, &[text.as_bytes(), b"\n"]);
}

/// Takes the next whole line, if there is one that is in order.
pub fn hear<T: DeserializeOwned>(reactor: &mut Reactor, line: SocketId) -> Option<T> {
    loop {
        let input = reactor.input(line);
        let end = input.iter().position(|byte| *byte == b'\n')?;
        let told = serde_json::from_slice(&input[..end]).ok();
        reactor.consume(line, end + 1);
        if told.is_some() {
            return told;
        }
    }
}
