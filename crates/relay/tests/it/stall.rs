//! Bounds of time come from the protocol. Where this machine itself, or its disk, stood still meanwhile, a missed one says
//! nothing: the play is void, and says so.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The watch looks up this often.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// The disk is probed this often.
const PROBE_EVERY: Duration = Duration::from_millis(200);
/// Looking up so late is a stall: all timers of the protocol have slack for less.
const STALL: Duration = Duration::from_millis(500);

/// What a span of time says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Met,
    /// Missed, and the machine stood still for at least as long as it was missed by.
    Void,
    Missed,
}

/// Judges how long something took, while the machine stood still for `stalled` in all.
pub fn judge(took: Duration, bound: Duration, stalled: Duration) -> Verdict {
    match took {
        took if took <= bound => Verdict::Met,
        took if took <= bound + stalled => Verdict::Void,
        _ => Verdict::Missed,
    }
}

/// Adds up for how long this process got no processor, or a file of some bytes was not on the disk.
pub struct StallWatch {
    stalled_ms: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl StallWatch {
    /// Watches the processor, and the disk that has this folder.
    pub fn start(folder: &Path) -> Self {
        let (stalled_ms, ends) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let probe: PathBuf = folder.join("probe");
        let watch = |expected: Duration, act: Box<dyn Fn() + Send>| {
            let (sum, stop) = (stalled_ms.clone(), ends.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let before = Instant::now();
                    act();
                    let late = before.elapsed().saturating_sub(expected);
                    if late >= STALL {
                        sum.fetch_add(late.as_millis() as u64, Ordering::Relaxed);
                    }
                }
            })
        };
        let threads = vec![
            watch(LOOK_EVERY, Box::new(|| std::thread::sleep(LOOK_EVERY))),
            watch(PROBE_EVERY, Box::new(move || probe_disk(&probe))),
        ];
        Self { stalled_ms, ends, threads }
    }

    /// For how long the machine stood still since the start.
    pub fn stalled(&self) -> Duration {
        Duration::from_millis(self.stalled_ms.load(Ordering::Relaxed))
    }
}

fn probe_disk(probe: &Path) {
    std::thread::sleep(PROBE_EVERY);
    // A folder that is just being removed has none.
    if let Ok(mut file) = File::create(probe) {
        let _ = file.write_all(b"probe").and_then(|()| file.sync_all());
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

#[test]
fn a_missed_bound_is_void_only_for_as_long_as_the_machine_stood_still() {
    let seconds = Duration::from_secs;
    assert_eq!(judge(seconds(9), seconds(10), seconds(0)), Verdict::Met);
    assert_eq!(judge(seconds(11), seconds(10), seconds(0)), Verdict::Missed);
    assert_eq!(judge(seconds(11), seconds(10), seconds(2)), Verdict::Void);
    assert_eq!(judge(seconds(13), seconds(10), seconds(2)), Verdict::Missed);
}
