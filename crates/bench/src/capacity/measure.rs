//! What is read at one size: processor time by the thread's clock, live allocations, and named quantities with their limits.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

use crate::counted;

/// One quantity at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    pub quantity: String,
    pub unit: String,
    pub value: f64,
    /// The most that the plan or the program allows of it.
    pub limit: Option<f64>,
}

impl Reading {
    pub fn new(quantity: &str, unit: &str, value: f64) -> Self {
        Self { quantity: quantity.to_owned(), unit: unit.to_owned(), value, limit: None }
    }

    pub fn limited(self, limit: f64) -> Self {
        Self { limit: Some(limit), ..self }
    }
}

/// Processor time that this thread has used.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Milliseconds of processor time that some work takes.
pub fn processor_ms(work: impl FnOnce()) -> f64 {
    let begun = processor_time();
    work();
    (processor_time() - begun).as_secs_f64() * 1000.0
}

/// The least of several runs: what the other programs of the machine evict from the caches is not of interest.
pub fn least_ms(runs: usize, mut work: impl FnMut()) -> f64 {
    (0..runs).map(|_| processor_ms(&mut work)).fold(f64::INFINITY, f64::min)
}

/// A value, and the bytes that stay allocated for it.
pub fn with_live_bytes<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = counted::live_bytes();
    let made = make();
    (made, (counted::live_bytes() - before) as f64)
}
