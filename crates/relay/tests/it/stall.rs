//! Detects stalls of the test machine. The tests' time bounds come from the protocol, so a bound that is missed while this
//! machine or its disk stalled proves nothing: such a run is reported as void.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval of the processor check.
const PROCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between writes that check the disk.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A check that is late by at least this is a stall: the protocol's timers tolerate less.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// The result of comparing a duration with its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Met,
    /// Missed, but by no more than the time that the machine stalled.
    Void,
    Missed,
}

/// Compares a duration with its bound, when the machine stalled for `stalled` in total meanwhile.
pub fn judge(elapsed: Duration, bound: Duration, stalled: Duration) -> Verdict {
    match elapsed {
        elapsed if elapsed <= bound => Verdict::Met,
        elapsed if elapsed <= bound + stalled => Verdict::Void,
        _ => Verdict::Missed,
    }
}

/// Measures for how long in total this process got no processor time, or writes of a small file did not reach the disk.
pub struct StallWatch {
    stalled_ms: Arc<AtomicU64>,
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl StallWatch {
    /// Starts watching the processor, and the disk that holds this folder.
    pub fn start(folder: &Path) -> Self {
        let (stalled_ms, stop_requested) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let probe: PathBuf = folder.join("probe");
        let watch = |expected: Duration, act: Box<dyn Fn() + Send>| {
            let (sum, stop) = (stalled_ms.clone(), stop_requested.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let started_at = Instant::now();
                    act();
                    let delay = started_at.elapsed().saturating_sub(expected);
                    if delay >= STALL_THRESHOLD {
                        sum.fetch_add(delay.as_millis() as u64, Ordering::Relaxed);
                    }
                }
            })
        };
        let threads = vec![
            watch(PROCESSOR_CHECK_INTERVAL, Box::new(|| std::thread::sleep(PROCESSOR_CHECK_INTERVAL))),
            watch(DISK_CHECK_INTERVAL, Box::new(move || probe_disk(&probe))),
        ];
        Self { stalled_ms, stop_requested, threads }
    }

    /// Total time that the machine stalled since the start.
    pub fn stalled(&self) -> Duration {
        Duration::from_millis(self.stalled_ms.load(Ordering::Relaxed))
    }
}

/// Waits for the interval, then writes and syncs a small file.
fn probe_disk(probe: &Path) {
    std::thread::sleep(DISK_CHECK_INTERVAL);
    // The file cannot be created while the folder is being removed.
    if let Ok(mut file) = File::create(probe) {
        let _ = file.write_all(b"probe").and_then(|()| file.sync_all());
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

#[test]
fn a_missed_bound_is_void_only_up_to_the_length_of_the_stall() {
    let seconds = Duration::from_secs;
    assert_eq!(judge(seconds(9), seconds(10), seconds(0)), Verdict::Met);
    assert_eq!(judge(seconds(11), seconds(10), seconds(0)), Verdict::Missed);
    assert_eq!(judge(seconds(11), seconds(10), seconds(2)), Verdict::Void);
    assert_eq!(judge(seconds(13), seconds(10), seconds(2)), Verdict::Missed);
}
