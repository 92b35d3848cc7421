//! The crossing budget among controllers: what is asked and granted, by the number of controllers.

use std::time::Duration;

use anyhow::Result;
use badgerledge_crossing::{RateLeases, MESSAGE_BYTES};

use super::{Role, BYTES_A_SECOND, CONTROLLERS, CORE_SHARE};
use crate::capacity::measure::{processor_ms, Reading};

/// A budget for all, kB a second for each controller on the mean.
const SHARE: f64 = 100.0;
/// One in so many controllers wants more than its share; the others want little.
const WANTING: usize = 10;
const EVERY: Duration = Duration::from_millis(200);
const SECONDS: u32 = 30;
/// Head and signature of the gossip's datagram.
const ENVELOPE: f64 = 80.0;

pub const ROLE: Role = Role {
    name: "crossing-budget",
    size_unit: "controllers",
    sizes: &[50, 100, 400, 1600, 6400],
    plan_size: CONTROLLERS,
    measure: readings,
};

fn readings(size: u64, seed: u64) -> Result<Vec<Reading>> {
    let controllers = size as u32;
    let mut now = Duration::from_secs(1000);
    let make = |me| RateLeases::new(me, controllers, SHARE, now, seed ^ u64::from(me));
    let mut all: Vec<RateLeases> = (0..controllers).map(make).collect();
    let (mut words, mut spent_ms) = (0u64, 0.0);
    let periods = SECONDS * 5;
    for _ in 0..periods {
        now += EVERY;
        spent_ms += processor_ms(|| words += turn(&mut all, now));
    }
    let asked = now;
    let wanting: Vec<f64> = all.iter_mut().step_by(WANTING).map(|one| one.available_rate(asked)).collect();
    let owned = wanting.iter().sum::<f64>() / wanting.len() as f64 / SHARE;
    let controller_seconds = size as f64 * f64::from(SECONDS);
    Ok(vec![
        Reading::new("words of all", "a second", words as f64 / f64::from(SECONDS)),
        Reading::new(
            "sent by each",
            "bytes a second",
            words as f64 * (MESSAGE_BYTES as f64 + ENVELOPE) / controller_seconds,
        )
        .limited(BYTES_A_SECOND),
        Reading::new("processor", "of a core", spent_ms / 1000.0 / controller_seconds).limited(CORE_SHARE),
        Reading::new("owned by who wants more, of its share", "", owned),
    ])
}

/// One period of all; the words that went.
fn turn(all: &mut [RateLeases], now: Duration) -> u64 {
    let mut words = Vec::new();
    for (me, lending) in all.iter_mut().enumerate() {
        let demand = if me % WANTING == 0 { 3.0 * SHARE } else { 0.2 * SHARE };
        lending.request_leases(now, demand, |to, word| words.push((me as u32, to, word)));
    }
    let mut count = 0;
    while let Some((from, to, word)) = words.pop() {
        count += 1;
        if let Some(answer) = all[to as usize].handle_message(now, from, word) {
            words.push((to, from, answer));
        }
    }
    count
}
