//! A controller as a process of its own: memory, descriptors and processor time by the subscriptions that play, and the
//! processor time of a relayed packet by the streams that share it.

use anyhow::Result;

use super::{Role, CONNECTIONS_EACH, MEMORY_BYTES};
use crate::capacity::measure::Reading;
use crate::{playing, relay};

/// Seconds of relaying, by the clock on the wall.
const RELAYS_FOR: f64 = 4.0;

pub const PLAYING: Role = Role {
    name: "subscriptions-playing",
    size_unit: "subscriptions",
    sizes: &[250, 500, 1000, 2000, 4000],
    plan_size: CONNECTIONS_EACH,
    measure: |size, _seed| readings_of_play(size as usize),
};

pub const RELAY: Role = Role {
    name: "relayed-packets",
    size_unit: "streams",
    sizes: &[1, 4, 16, 64, 128],
    plan_size: CONNECTIONS_EACH,
    measure: |size, _seed| readings_of_relay(size as usize),
};

fn readings_of_play(subscriptions: usize) -> Result<Vec<Reading>> {
    let spent = playing::measure(subscriptions)?;
    let mut readings = vec![
        Reading::new("subscriptions that play", "", spent.subscriptions as f64),
        Reading::new("resident memory over the empty program", "bytes", spent.resident_bytes)
            .limited(MEMORY_BYTES),
        Reading::new("descriptors", "", spent.descriptors),
        Reading::new("packets relayed", "a second", spent.packets_a_second),
        Reading::new("packets lost", "a second", spent.lost_a_second),
        Reading::new("playing", "of a core", spent.processor_a_second).limited(1.0),
    ];
    let set_up = spent.set_up_seconds;
    readings.extend(set_up.map(|seconds| Reading::new("a further set-up", "ms of a core", seconds * 1000.0)));
    Ok(readings)
}

fn readings_of_relay(streams: usize) -> Result<Vec<Reading>> {
    let packet_s = relay::processor_of_a_packet(streams, RELAYS_FOR)?.as_secs_f64();
    Ok(vec![Reading::new("a packet", "us of a core", packet_s * 1e6)])
}
