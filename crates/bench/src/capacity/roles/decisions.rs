//! The policy module with its exchange: a round with one request, and a round with the periodic work.

use anyhow::Result;

use super::{Role, CONNECTIONS_EACH, CORE_SHARE, MEMORY_BYTES};
use crate::capacity::measure::{with_live_bytes, Reading};
use crate::round::{Rounds, COPIES};

/// Rounds with the periodic work in a second.
const PERIODIC_A_SECOND: f64 = 5.0;
/// Streamers while subscriptions vary, and the other way round.
const STREAMERS: u32 = 300;
const SUBSCRIPTIONS: u32 = 1000;
/// Streamers on the list with a thousand streams on each: the plan tells no number.
const PLAN_STREAMERS: f64 = super::CONNECTIONS / super::STREAMS_EACH;

pub const BY_SUBSCRIPTIONS: Role = Role {
    name: "decisions-by-subscriptions",
    size_unit: "subscriptions",
    sizes: &[250, 500, 1000, 2000, 4000, 8000],
    plan_size: CONNECTIONS_EACH,
    measure: |size, _seed| readings(STREAMERS, COPIES, size as u32),
};

pub const BY_STREAMERS: Role = Role {
    name: "decisions-by-streamers",
    size_unit: "streamers",
    sizes: &[75, 150, 300, 600, 1200],
    plan_size: PLAN_STREAMERS,
    measure: |size, _seed| readings(size as u32, COPIES, SUBSCRIPTIONS),
};

/// Streamers while the copies of a title vary: no more can hold it.
const HOLDERS: u32 = 1024;
/// Copies that the largest topic of the plan needs with a thousand streams on each streamer.
const LARGEST_TOPIC: f64 = 550_000.0 / super::STREAMS_EACH;

pub const BY_COPIES: Role = Role {
    name: "decisions-by-copies",
    size_unit: "copies",
    sizes: &[8, 32, 128, 512, 1024],
    plan_size: LARGEST_TOPIC,
    measure: |size, _seed| readings(HOLDERS, size as u32, SUBSCRIPTIONS),
};

fn readings(streamers: u32, copies: u32, subscriptions: u32) -> Result<Vec<Reading>> {
    let (rounds, bytes) = with_live_bytes(|| Rounds::play(streamers, copies, subscriptions));
    let mut rounds = rounds?;
    let request_ms = rounds.requests_processor_ms(200);
    let periodic_ms = rounds.periodic_processor_ms(60);
    let core_share = periodic_ms / 1000.0 * PERIODIC_A_SECOND;
    Ok(vec![
        Reading::new("round with one request", "ms of a core", request_ms),
        Reading::new("round with the periodic work", "ms of a core", periodic_ms),
        Reading::new("periodic work", "of a core", core_share).limited(CORE_SHARE),
        Reading::new("memory of module and exchange", "bytes", bytes).limited(MEMORY_BYTES),
        Reading::new("subscriptions that play", "", rounds.playing() as f64),
    ])
}
