//! Counts the allocations of a process.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

pub struct Counted;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);
/// Bytes that are allocated and not given back.
static LIVE: AtomicI64 = AtomicI64::new(0);

// Safe since it only counts, and leaves the work to the system's allocator.
unsafe impl GlobalAlloc for Counted {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        LIVE.fetch_add(layout.size() as i64, Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        System.dealloc(at, layout)
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        BYTES.fetch_add(size.saturating_sub(layout.size()) as u64, Ordering::Relaxed);
        LIVE.fetch_add(size as i64 - layout.size() as i64, Ordering::Relaxed);
        System.realloc(at, layout, size)
    }
}

/// Bytes allocated so far, not counting what was given back.
pub fn bytes() -> u64 {
    BYTES.load(Ordering::Relaxed)
}

/// Bytes that are allocated now.
pub fn live_bytes() -> i64 {
    LIVE.load(Ordering::Relaxed)
}

/// Where a controller under measurement leaves its counts when it ends.
pub const FILE: &str = "BADGERLEDGE_BENCH_COUNTS";

pub fn write_down() {
    if let Some(path) = std::env::var_os(FILE) {
        let text = format!("{} {}", ALLOCATIONS.load(Ordering::Relaxed), BYTES.load(Ordering::Relaxed));
        let _ = std::fs::write(path, text);
    }
}
