//! Probes in progress: each has a connection of its own and sends one OPTIONS request on it.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::SocketId;
use badgerledge_rtsp::{Bounds, Framer};

/// Probes in progress at a time; a further one is reported as not sent. At 40 ms a probe this is over a
/// thousand a second.
pub const MAX_PROBES: usize = 64;
/// The module waits 40 ms for a probe: a later result is of no use to it.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A probe whose result is awaited.
pub struct Probe {
    pub streamer: StreamerId,
    pub sent_at: Duration,
    pub framer: Framer,
}

/// All probes in progress, by connection.
#[derive(Default)]
pub struct Probes {
    in_progress: BTreeMap<SocketId, Probe>,
}

impl Probes {
    /// Whether another probe may start.
    pub fn has_room(&self) -> bool {
        self.in_progress.len() < MAX_PROBES
    }

    /// Records a probe whose connection was begun.
    pub fn insert(&mut self, connection: SocketId, streamer: StreamerId, sent_at: Duration) {
        self.in_progress
            .insert(connection, Probe { streamer, sent_at, framer: Framer::new(Bounds::default()) });
    }

    /// The probe on a connection.
    pub fn get(&mut self, connection: SocketId) -> Option<&mut Probe> {
        self.in_progress.get_mut(&connection)
    }

    /// Removes a probe that is over.
    pub fn remove(&mut self, connection: SocketId) -> Option<Probe> {
        self.in_progress.remove(&connection)
    }

    /// The connections of probes that have timed out.
    pub fn expired(&self, now: Duration) -> Vec<SocketId> {
        self.in_progress
            .iter()
            .filter(|(_, probe)| probe.sent_at + PROBE_TIMEOUT <= now)
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// When the next probe times out.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.in_progress.values().map(|probe| probe.sent_at + PROBE_TIMEOUT).min()
    }
}
