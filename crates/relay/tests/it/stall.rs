//! Bounds of time come from the protocol. Where this machine itself stood still meanwhile, a missed one says nothing: the
//! play is void, and says so.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The watch looks up this often.
const LOOK_EVERY: Duration = Duration::from_millis(20);
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

/// Adds up for how long this process got no processor.
pub struct StallWatch {
    stalled_ms: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StallWatch {
    pub fn start() -> Self {
        let (stalled_ms, ends) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (sum, stop) = (stalled_ms.clone(), ends.clone());
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let before = Instant::now();
                std::thread::sleep(LOOK_EVERY);
                let late = before.elapsed().saturating_sub(LOOK_EVERY);
                if late >= STALL {
                    sum.fetch_add(late.as_millis() as u64, Ordering::Relaxed);
                }
            }
        });
        Self { stalled_ms, ends, thread: Some(thread) }
    }

    /// For how long the machine stood still since the start.
    pub fn stalled(&self) -> Duration {
        Duration::from_millis(self.stalled_ms.load(Ordering::Relaxed))
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
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
