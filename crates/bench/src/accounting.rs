//! What accounting takes of a core that relays, with all else held still: the periodic work of the accounts alone.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerledge_accounts::{Key, TrafficCounters};
use badgerledge_controller::accounting::{Accounting, STORE_INTERVAL};

/// Periods measured: a minute of a controller's life, a few windows long.
const PERIODS: u64 = 120;
/// Buildings, and room types: more than the days have.
const BUILDINGS: u64 = 4;
const ROOM_TYPES: u64 = 8;
/// Distinct titles among those that play.
const TITLES: u64 = 2_000;

pub fn measure(playing: u64) -> Result<()> {
    let folder = tempfile::tempdir()?;
    println!("accounting, {playing} subscriptions playing, every {} ms", STORE_INTERVAL.as_millis());
    show("counting alone", period(None, playing));
    show("counting and storing", period(Some(folder.path()), playing));
    Ok(())
}

/// The mean time of one period's work.
fn period(folder: Option<&Path>, playing: u64) -> Duration {
    let mut accounting = Accounting::new(0, folder, 1);
    let keys: Vec<Key> = (0..playing).map(key).collect();
    let one = TrafficCounters {
        media_bytes: 35_000,
        control_bytes: 60,
        subscription_ms: 500,
        ..TrafficCounters::default()
    };
    let begun = Instant::now();
    for n in 0..PERIODS {
        for (at, key) in keys.iter().enumerate() {
            accounting.count(key, (at as u64).wrapping_mul(7919) % TITLES, &one);
        }
        if folder.is_some() {
            accounting.store(STORE_INTERVAL * n as u32, false);
        }
    }
    begun.elapsed() / PERIODS as u32
}

fn key(n: u64) -> Key {
    let building = |n: u64| format!("building-{}", n % BUILDINGS);
    Key { from: building(n), to: building(n / BUILDINGS), room_type: format!("room-type-{}", n % ROOM_TYPES) }
}

fn show(name: &str, period: Duration) {
    let share = 100.0 * period.as_secs_f64() / STORE_INTERVAL.as_secs_f64();
    println!("  {name:<22} {:>8.1} µs a period, {share:.2} in 100 of a core", period.as_secs_f64() * 1e6);
}
