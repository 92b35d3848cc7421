//! The machine that a run is on: what it has, and what this process uses of it.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId, Timespec};
use serde::{Deserialize, Serialize};

/// What a figure was measured on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    pub memory_mb: u64,
    pub kernel: String,
}

impl Machine {
    pub fn here() -> Self {
        let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
        Self {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mb: total_memory_kb() / 1024,
            kernel: kernel.trim().to_owned(),
        }
    }
}

/// The machine's memory in KB; 0 where it is not told.
pub fn total_memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    kb_after(&text, "MemTotal:")
}

/// The resident set of a process in bytes; 0 where it has gone.
pub fn resident_bytes(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    kb_after(&text, "VmRSS:") * 1024
}

fn kb_after(text: &str, label: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(label));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The processor time that a process has used, in user and system mode; nothing where it has gone.
pub fn process_cpu(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The second field, the program's name in parentheses, may hold spaces.
    let (_, fields) = text.rsplit_once(") ")?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) as f64 / TICKS_PER_S))
}

/// The unit of `/proc/PID/stat` on Linux (proc(5)).
const TICKS_PER_S: f64 = 100.0;

/// The processor time that this thread has used.
pub fn thread_cpu() -> Duration {
    to_duration(clock_gettime(ClockId::ThreadCPUTime))
}

/// The machine's monotonic clock, the same in all its processes.
pub fn monotonic() -> Duration {
    to_duration(clock_gettime(ClockId::Monotonic))
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
