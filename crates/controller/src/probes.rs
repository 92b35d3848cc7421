//! Probes that are out: a connection with one OPTIONS each.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::Line;
use badgerledge_rtsp::{Bounds, Framer};

/// Probes out at a time; one more is answered as never sent. At 40 ms a probe that is over a thousand a second.
pub const OUT: usize = 64;
/// A probe that takes longer says nothing of use: the module waits 40 ms for it.
pub const PATIENCE: Duration = Duration::from_millis(250);

pub struct Probe {
    pub streamer: StreamerId,
    pub sent: Duration,
    pub framer: Framer,
}

#[derive(Default)]
pub struct Probes {
    out: BTreeMap<Line, Probe>,
}

impl Probes {
    pub fn room(&self) -> bool {
        self.out.len() < OUT
    }

    pub fn begin(&mut self, line: Line, streamer: StreamerId, sent: Duration) {
        self.out.insert(line, Probe { streamer, sent, framer: Framer::new(Bounds::default()) });
    }

    pub fn get(&mut self, line: Line) -> Option<&mut Probe> {
        self.out.get_mut(&line)
    }

    pub fn end(&mut self, line: Line) -> Option<Probe> {
        self.out.remove(&line)
    }

    /// The lines of probes that have taken too long.
    pub fn late(&self, now: Duration) -> Vec<Line> {
        self.out.iter().filter(|(_, probe)| probe.sent + PATIENCE <= now).map(|(line, _)| *line).collect()
    }

    /// When the first probe has taken too long.
    pub fn next_late(&self) -> Option<Duration> {
        self.out.values().map(|probe| probe.sent + PATIENCE).min()
    }
}
