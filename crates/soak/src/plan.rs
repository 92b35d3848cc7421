//! What a run does, drawn from its seed.

use std::time::Duration;

use badgerledge_core::random::Rng;
use serde::Serialize;

/// Clients and streamers start, and processes become ready, before this time.
const FIRST_FAULT_AT: Duration = Duration::from_millis(3500);
/// Nothing new begins in the last part of a run, so that what began can end.
const QUIET_END: Duration = Duration::from_millis(7000);

/// The room types of every run, by index.
pub const ROOM_TYPES: [&str; 3] = ["tour", "show", "once"];
/// Index of the room type that may not be set up twice.
pub const SINGLE_SHOT: usize = 2;

/// A run.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    pub seed: u64,
    pub duration: Duration,
    pub processes: usize,
    pub streamers: usize,
    /// Cells of streamers; each title is held by `copies` of them.
    pub cells: u32,
    pub copies: u32,
    pub longest_timeout: Duration,
    pub max_sockets: usize,
    pub memory_mb: usize,
    pub clients_per_process: usize,
    /// Mean interval between the set-ups of one connection.
    pub set_up_interval: Duration,
    /// Part of the connections that write in pieces.
    pub piecewise: f64,
    /// Part of the requests that their client cancels, and part whose client closes its connection.
    pub cancelled: f64,
    pub closed: f64,
    /// Mean time that a session plays.
    pub session_length: Duration,
    pub answers: Answers,
    pub shutdowns: Vec<Shutdown>,
    pub crowds: Vec<Crowd>,
    pub stops: Vec<Stop>,
    pub outages: Vec<Outage>,
    pub list_changes: Vec<ListChange>,
    pub hang_ups: Vec<HangUp>,
}

/// How streamers answer: the parts of the offers that get each kind of answer. The rest is accepted.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Answers {
    pub refused: f64,
    /// Part of the refusals and answers that are sent a second time.
    pub repeated: f64,
    /// Time until a second copy, at most.
    pub repeated_within: Duration,
    pub malformed: f64,
    pub silent: f64,
    pub closed: f64,
    pub reset: f64,
    pub in_pieces: f64,
    /// Time until an answer, at most.
    pub delay: Duration,
}

/// A shutdown of one process: SIGTERM, SIGKILL at the protocol's earliest, and a restart.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Shutdown {
    pub at: Duration,
    pub process: usize,
    /// Part of the streamers that do not answer from the signal until the restart.
    pub hanging: f64,
    /// A second SIGTERM after this time.
    pub repeated_after: Option<Duration>,
    /// SIGHUP after this time.
    pub hang_up_after: Option<Duration>,
    /// SIGKILL without SIGTERM.
    pub crash: bool,
    pub restart_after: Duration,
}

/// Many connections at once to one process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Crowd {
    pub at: Duration,
    pub process: usize,
    pub connections: usize,
    /// Whether each sends a set-up.
    pub sends: bool,
    pub stays_for: Duration,
}

/// A process that gets no processor time for a while.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Stop {
    pub at: Duration,
    pub process: usize,
    pub lasts: Duration,
}

/// The name services answer nothing.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outage {
    pub at: Duration,
    pub lasts: Duration,
}

/// A change of one streamer.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ListChange {
    pub at: Duration,
    pub streamer: usize,
    pub kind: ChangeKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ChangeKind {
    /// The streamer drains, is removed, and comes back under a new id at the same address.
    Drain,
    /// The streamer's process ends, and another starts at its address under a new id at once.
    Replace,
    /// The streamer's machine vanishes: connections stay open and silent. Later it is removed from the list,
    /// and comes back under a new id.
    Vanish,
}

/// A new configuration with SIGHUP: the name service moves.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HangUp {
    pub at: Duration,
    pub process: usize,
    /// The file is half written for this long.
    pub half_written: Option<Duration>,
}

/// Draws from a seed.
struct Draw(Rng);

impl Draw {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.unit_interval()
    }

    fn count(&mut self, low: usize, high: usize) -> usize {
        low + (self.0.unit_interval() * (high - low + 1) as f64) as usize
    }

    fn millis(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.count(low as usize, high as usize) as u64)
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.0.unit_interval() < probability
    }

    fn of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.count(0, values.len() - 1)]
    }

    /// Either nothing, or a part up to `high`.
    fn part(&mut self, probability: f64, high: f64) -> f64 {
        if self.chance(probability) {
            self.between(0.0, high)
        } else {
            0.0
        }
    }
}

impl Plan {
    /// Draws the run of this seed, with this duration.
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut draw = Draw(Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995));
        for _ in 0..4 {
            draw.chance(0.5);
        }
        let processes = draw.of(&[1, 1, 1, 2, 2, 3]);
        let streamers = draw.count(3, 12);
        let cells = draw.of(&[1, 1, 2, 3]).min(streamers as u32);
        let longest_timeout = Duration::from_millis(draw.of(&[600, 1000, 1200, 2000, 3000, 4000, 5000]));
        let refusals = draw.part(0.6, 0.5);
        let answers = Answers {
            refused: refusals,
            repeated: draw.part(0.7, 1.0),
            repeated_within: draw.millis(1, 1000),
            malformed: draw.part(0.4, 0.05),
            silent: draw.part(0.5, 0.08),
            closed: draw.part(0.4, 0.05),
            reset: draw.part(0.4, 0.05),
            in_pieces: draw.part(0.5, 0.5),
            delay: draw.millis(1, 80),
        };
        let mut plan = Self {
            seed,
            duration,
            processes,
            streamers,
            cells,
            copies: draw.count(1, cells as usize) as u32,
            longest_timeout,
            max_sockets: draw.of(&[96, 192, 256, 384]),
            memory_mb: draw.of(&[32, 48]),
            clients_per_process: draw.count(3, 8),
            set_up_interval: draw.millis(15, 80),
            piecewise: draw.part(0.5, 0.4),
            cancelled: draw.part(0.6, 0.1),
            closed: draw.part(0.5, 0.03),
            session_length: draw.millis(300, 4000),
            answers,
            shutdowns: Vec::new(),
            crowds: Vec::new(),
            stops: Vec::new(),
            outages: Vec::new(),
            list_changes: Vec::new(),
            hang_ups: Vec::new(),
        };
        plan.draw_shutdowns(&mut draw);
        plan.draw_other_faults(&mut draw);
        plan
    }

    /// The time from SIGTERM to SIGKILL.
    pub fn kill_delay(&self) -> Duration {
        self.longest_timeout.min(Duration::from_secs(3)) + Duration::from_millis(700)
    }

    fn end_of_faults(&self) -> Duration {
        self.duration.saturating_sub(QUIET_END).max(FIRST_FAULT_AT)
    }

    /// Shutdowns follow each other at each process, and fall together or apart at several.
    fn draw_shutdowns(&mut self, draw: &mut Draw) {
        for process in 0..self.processes {
            let mut at = FIRST_FAULT_AT + draw.millis(0, 2000);
            while at + self.kill_delay() < self.end_of_faults() + self.kill_delay() / 2 {
                let repeated = draw.chance(0.3);
                let hangs_up = draw.chance(0.3);
                let shutdown = Shutdown {
                    at,
                    process,
                    hanging: draw.of(&[0.0, 0.2, 0.5, 1.0]),
                    repeated_after: repeated.then(|| draw.millis(0, 1000)),
                    hang_up_after: hangs_up.then(|| draw.millis(0, 1000)),
                    crash: draw.chance(0.1),
                    restart_after: draw.millis(200, 600),
                };
                self.shutdowns.push(shutdown);
                at += self.kill_delay() + shutdown.restart_after + draw.millis(2500, 4500);
            }
        }
    }

    fn draw_other_faults(&mut self, draw: &mut Draw) {
        let end_ms = self.end_of_faults().as_millis() as u64;
        let draw_time = |draw: &mut Draw| draw.millis(FIRST_FAULT_AT.as_millis() as u64, end_ms);
        if draw.chance(0.4) {
            let crowds = draw.count(1, 3);
            for _ in 0..crowds {
                let at = draw_time(draw);
                // The front's own connections take a third of the descriptors at most; others that connect by
                // the hundred say nothing.
                let sends = draw.chance(0.7);
                let most = (self.max_sockets / 3 - self.clients_per_process - 1) / crowds;
                let connections = if sends { draw.count(most / 2, most) } else { draw.count(30, 150) };
                let crowd = Crowd {
                    at,
                    process: draw.count(0, self.processes - 1),
                    connections,
                    sends,
                    stays_for: draw.millis(200, 3000),
                };
                self.crowds.push(crowd);
            }
        }
        if draw.chance(0.4) {
            for _ in 0..draw.count(1, 3) {
                let at = draw_time(draw);
                let process = draw.count(0, self.processes - 1);
                self.stops.push(Stop { at, process, lasts: draw.millis(50, 500) });
            }
        }
        if draw.chance(0.4) {
            let at = draw_time(draw);
            self.outages.push(Outage { at, lasts: draw.millis(500, 4000) });
        }
        if draw.chance(0.5) && self.streamers > 3 {
            for streamer in 0..draw.count(1, self.streamers / 3) {
                let at = draw_time(draw);
                let kind = draw.of(&[ChangeKind::Drain, ChangeKind::Replace, ChangeKind::Vanish]);
                self.list_changes.push(ListChange { at, streamer, kind });
            }
        }
        if draw.chance(0.4) {
            for _ in 0..draw.count(1, 3) {
                let at = draw_time(draw);
                let process = draw.count(0, self.processes - 1);
                let half = draw.chance(0.5);
                let half_written = half.then(|| draw.millis(20, 400));
                self.hang_ups.push(HangUp { at, process, half_written });
            }
        }
    }
}
