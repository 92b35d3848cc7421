//! The accounts: counting and storing by subscriptions and by keys, and merging the pages of many controllers.

use std::time::Duration;

use anyhow::Result;
use badgerledge_accounts::{Accounts, Key, Source, TrafficCounters, MAX_WINDOWS, WINDOW_LENGTH};
use badgerledge_controller::accounting::{Accounting, STORE_INTERVAL};

use super::{Role, CONNECTIONS_EACH, CONTROLLERS, CORE_SHARE, MEMORY_BYTES};
use crate::capacity::measure::{processor_ms, with_live_bytes, Reading};

/// Periods that are counted and stored.
const PERIODS: u32 = 20;
const TITLES: u64 = 2000;
/// Keys while subscriptions vary, and the other way round: as many as twelve zones and eight room types make.
const KEYS: u64 = 12 * 8;
const PLAYING: u64 = 2000;
/// Windows of the pages that are merged: a page has two hours of them in full.
const WINDOWS: u64 = 12;
/// Keys of the pages that are merged.
const PAGE_KEYS: u64 = 8;

pub const BY_PLAYING: Role = Role {
    name: "accounts-by-playing",
    size_unit: "subscriptions",
    sizes: &[500, 1000, 2000, 4000, 8000, 16_000],
    plan_size: CONNECTIONS_EACH,
    measure: |size, _seed| counting(size, KEYS),
};

pub const BY_KEYS: Role = Role {
    name: "accounts-by-keys",
    size_unit: "keys",
    sizes: &[12, 24, 48, 96, 192],
    plan_size: KEYS as f64,
    measure: |size, _seed| counting(PLAYING, size),
};

pub const IN_FULL: Role = Role {
    name: "accounts-in-full",
    size_unit: "keys",
    sizes: &[6, 12, 24, 48, 96],
    plan_size: KEYS as f64,
    measure: |size, _seed| Ok(in_full(size)),
};

pub const BY_CONTROLLERS: Role = Role {
    name: "accounts-merged",
    size_unit: "controllers",
    sizes: &[100, 200, 400, 800, 1600],
    plan_size: CONTROLLERS,
    measure: |size, _seed| merging(size),
};

fn key(n: u64) -> Key {
    Key {
        from: format!("zone-{}", n % 12),
        to: "zone-0".to_owned(),
        room_type: format!("room-type-{}", n / 12),
    }
}

const ONE: TrafficCounters = TrafficCounters {
    media_bytes: 35_000,
    control_bytes: 60,
    subscription_ms: 500,
    set_ups: 0,
    unseen_bytes: 0,
    unseen_error: 0,
};

fn counting(playing: u64, keys: u64) -> Result<Vec<Reading>> {
    let folder = tempfile::tempdir()?;
    let mut accounting = Accounting::new(0, Some(folder.path()), 1);
    let keys: Vec<Key> = (0..keys).map(key).collect();
    let mut counted_ms = 0.0;
    let mut stored_ms = 0.0;
    for period in 0..PERIODS {
        counted_ms += processor_ms(|| {
            for n in 0..playing {
                accounting.count(&keys[n as usize % keys.len()], n.wrapping_mul(7919) % TITLES, &ONE);
            }
        });
        stored_ms += processor_ms(|| accounting.store(STORE_INTERVAL * period, false));
    }
    let seconds = STORE_INTERVAL.as_secs_f64() * f64::from(PERIODS);
    let share = |ms: f64| ms / 1000.0 / seconds;
    Ok(vec![
        Reading::new("counting", "of a core", share(counted_ms)),
        Reading::new("storing", "of a core", share(stored_ms)),
        Reading::new("counting and storing", "of a core", share(counted_ms + stored_ms)).limited(CORE_SHARE),
        Reading::new("page", "bytes", accounting.stored_text().len() as f64),
    ])
}

/// One controller's accounts with so many windows, and keys in each.
fn ledger_of(controller: u32, windows: u64, keys: u64) -> Accounts {
    let mut accounts = Accounts::default();
    let ledger = accounts.ledger(Source { controller, account: 1 });
    for window in 0..windows {
        for n in 0..keys {
            ledger.count(Duration::from_secs(1_800_000_000 + 10 * window), &key(n), n, &ONE);
        }
    }
    accounts
}

/// All windows that a controller keeps: they are written as a whole once in each window.
fn in_full(keys: u64) -> Vec<Reading> {
    let (accounts, live) = with_live_bytes(|| ledger_of(0, MAX_WINDOWS as u64, keys));
    let mut page = String::new();
    let written_ms = processor_ms(|| page = accounts.encode());
    let read_ms = processor_ms(|| drop(std::hint::black_box(Accounts::decode(&page))));
    let share = written_ms / 1000.0 / WINDOW_LENGTH.as_secs_f64();
    vec![
        Reading::new("memory", "bytes", live).limited(MEMORY_BYTES),
        Reading::new("bytes of the page", "bytes", page.len() as f64),
        Reading::new("writing all windows", "ms of a core", written_ms),
        Reading::new("writing all windows, once in each", "of a core", share).limited(CORE_SHARE),
        Reading::new("reading a page", "ms of a core", read_ms),
    ]
}

fn merging(controllers: u64) -> Result<Vec<Reading>> {
    let pages: Vec<String> = (0..controllers as u32)
        .map(|controller| ledger_of(controller, WINDOWS, PAGE_KEYS).encode())
        .collect();
    let page_bytes = pages.iter().map(String::len).sum::<usize>() as f64;
    let mut read_ms = 0.0;
    let (merged, live) = with_live_bytes(|| {
        let mut merged = Accounts::default();
        read_ms = processor_ms(|| {
            pages.iter().filter_map(|page| Accounts::decode(page).ok()).for_each(|one| merged.merge(&one));
        });
        merged
    });
    let summed_ms = processor_ms(|| {
        std::hint::black_box((merged.totals(), merged.windows().len()));
    });
    let in_full = MAX_WINDOWS as f64 / WINDOWS as f64;
    Ok(vec![
        Reading::new("pages of 12 windows", "bytes", page_bytes),
        Reading::new("reading and merging", "ms of a core", read_ms),
        Reading::new("sums", "ms of a core", summed_ms),
        Reading::new("memory, windows in full (reckoned)", "bytes", live * in_full),
    ])
}
