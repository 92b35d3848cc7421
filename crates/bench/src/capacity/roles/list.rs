//! The list of streamers as a controller takes it: a complete line, a line with one change, and the copy on disk.

use std::time::Duration;

use anyhow::Result;
use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use badgerledge_discovery::{Sink, StreamerList, MAX_ENTRIES, MAX_LINE_BYTES};
use serde_json::{json, Value};

use super::{Role, CORE_SHARE, MEMORY_BYTES};
use crate::capacity::measure::{least_ms, processor_ms, with_live_bytes, Reading};

const NOW: Duration = Duration::from_secs(1000);
const RUNS: usize = 3;
/// Streamers on the list with a thousand streams on each: the plan tells no number.
const PLAN_ENTRIES: f64 = super::CONNECTIONS / super::STREAMS_EACH;

pub const ROLE: Role = Role {
    name: "list",
    size_unit: "entries",
    sizes: &[1000, 4000, 16_000, 65_536],
    plan_size: PLAN_ENTRIES,
    measure: |size, _seed| readings(size),
};

/// Counts what it is told, and keeps none of it.
#[derive(Default)]
struct Counting(u64);

impl Sink for Counting {
    fn list_begins(&mut self, _how: Listing) {}
    fn list_entry(
        &mut self, _streamer: StreamerId, _zone: u16, _kind: usize, _cell: u32, _health: Health,
        _weight: f64, _came_up: Start,
    ) {
        self.0 += 1;
    }
    fn list_ends(&mut self, _how: Listing) {}
}

fn entry(n: u64, health: &str) -> Value {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + n as u32);
    json!([format!("{address}:554"), 0, 0, n % 400, health, 1.5, 7, 100_000 + n])
}

fn line(how: &str, from: u64, revision: u64, entries: &[Value]) -> Vec<u8> {
    let told = json!({"how": how, "epoch": 9, "from": from, "revision": revision, "entries": entries});
    told.to_string().into_bytes()
}

fn readings(size: u64) -> Result<Vec<Reading>> {
    let entries: Vec<Value> = (0..size).map(|n| entry(n, "ready")).collect();
    let whole = line("complete", 0, 1, &entries);
    let read_ms = least_ms(RUNS, || {
        let _ = StreamerList::default().apply(&whole, NOW, &mut Counting::default());
    });
    let (book, live) = with_live_bytes(|| {
        let mut book = StreamerList::default();
        book.apply(&whole, NOW, &mut Counting::default()).map(|_| book)
    });
    let mut book = book?;
    let change = line("changes", 1, 2, &[entry(0, "draining")]);
    let change_ms = processor_ms(|| {
        let _ = book.apply(&change, NOW, &mut Counting::default());
    });
    let mut stored = 0;
    let store_ms = least_ms(RUNS, || stored = book.store(NOW, NOW).len());
    Ok(vec![
        Reading::new("entries", "", book.streamers().len() as f64).limited(MAX_ENTRIES as f64),
        Reading::new("bytes of a complete line", "bytes", whole.len() as f64).limited(MAX_LINE_BYTES as f64),
        Reading::new("taking a complete line", "ms of a core", read_ms),
        Reading::new("taking one change", "ms of a core", change_ms),
        Reading::new("bytes of one change", "bytes", change.len() as f64),
        Reading::new("writing the copy for the disk", "ms of a core", store_ms),
        Reading::new("the copy once a second, as with changes", "of a core", store_ms / 1000.0)
            .limited(CORE_SHARE),
        Reading::new("bytes of the copy", "bytes", stored as f64),
        Reading::new("memory", "bytes", live).limited(MEMORY_BYTES),
    ])
}
