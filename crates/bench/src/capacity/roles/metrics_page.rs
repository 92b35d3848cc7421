//! The metrics page: bytes and time by its series. What crosses has one for each pair of buildings and room type.

use anyhow::Result;
use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::{Role, BYTES_A_SECOND, CORE_SHARE};
use crate::capacity::measure::{least_ms, with_live_bytes, Reading};

/// The series of what crosses, as the controller names them.
const RATE: &str = "badgerledge_crossed_bytes_per_second";
const COUNTERS: [&str; 3] = [
    "badgerledge_crossed_bytes_total",
    "badgerledge_crossed_subscription_seconds_total",
    "badgerledge_crossed_set_ups_total",
];
/// A page is asked for so seldom.
const SCRAPES_A_SECOND: f64 = 1.0 / 15.0;
const RUNS: usize = 5;
/// Series of one pair and room type: a gauge and three counters.
const OF_A_KEY: u64 = 4;
/// Twelve zones that send to this controller's own, for each of eight room types.
const PLAN_SERIES: f64 = (12 * 8 * OF_A_KEY) as f64;

pub const ROLE: Role = Role {
    name: "metrics-page",
    size_unit: "series",
    sizes: &[100, 400, 1600, 6400],
    plan_size: PLAN_SERIES,
    measure: |size, _seed| readings(size),
};

fn fill(series: u64) -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        for n in 0..series / OF_A_KEY {
            let labels = [("from", format!("zone-{n}")), ("room_type", "clip".to_owned())];
            gauge!(RATE, &labels).set(n as f64 * 1.5);
            for name in COUNTERS {
                counter!(name, &labels).absolute(n * 1_000_003);
            }
        }
    });
    handle
}

fn readings(series: u64) -> Result<Vec<Reading>> {
    let (handle, live) = with_live_bytes(|| fill(series));
    let bytes = handle.render().len() as f64;
    let page_ms = least_ms(RUNS, || drop(std::hint::black_box(handle.render())));
    Ok(vec![
        Reading::new("bytes of the page", "bytes", bytes),
        Reading::new("asked for each 15 s, bytes", "bytes a second", bytes * SCRAPES_A_SECOND)
            .limited(BYTES_A_SECOND),
        Reading::new("the page", "ms of a core", page_ms),
        Reading::new("asked for each 15 s, processor", "of a core", page_ms / 1000.0 * SCRAPES_A_SECOND)
            .limited(CORE_SHARE),
        Reading::new("memory", "bytes", live),
    ])
}
