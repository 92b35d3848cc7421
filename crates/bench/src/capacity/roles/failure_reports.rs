//! Reports of failed streamers by peers: memory and time by the number of members that report.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_failure_reports::FailureReports;
use badgerledge_gossip::statement::ITEM_BYTES;
use badgerledge_gossip::Member;

use super::{Role, CONTROLLERS, MEMORY_BYTES};
use crate::capacity::measure::{processor_ms, with_live_bytes, Reading};

/// Streamers that a bulletin names, of how many that are reported at a time.
const NAMED: u32 = 5;
const STREAMERS: u32 = 200;
/// Bulletins that each member publishes in ten seconds.
const ROUNDS: u32 = 5;

pub const ROLE: Role = Role {
    name: "failure-reports",
    size_unit: "members",
    sizes: &[100, 400, 1600, 6400],
    plan_size: CONTROLLERS,
    measure: |size, _seed| Ok(readings(size as Member)),
};

fn item(streamer: u32) -> [u8; ITEM_BYTES] {
    let mut item = [0; ITEM_BYTES];
    item[..4].copy_from_slice(&Ipv4Addr::from(0x0a00_0000 + streamer).octets());
    item[4..6].copy_from_slice(&554u16.to_be_bytes());
    item[6] = 1;
    item
}

fn readings(members: Member) -> Vec<Reading> {
    let mut spent_ms = 0.0;
    let (held, live) = with_live_bytes(|| {
        let mut reports = FailureReports::default();
        for round in 0..ROUNDS {
            let now = Duration::from_secs(1000 + 2 * u64::from(round));
            spent_ms += processor_ms(|| {
                for member in 0..members {
                    let first = u32::from(member) * 7 % STREAMERS;
                    let items: Vec<_> = (first..first + NAMED).map(|n| item(n % STREAMERS)).collect();
                    reports.take_bulletin(now, member, Duration::ZERO, &items);
                }
            });
            for n in 0..STREAMERS {
                let at = SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + n), 554);
                reports.observe_join(now, at, n % 2 == 0);
            }
        }
        reports
    });
    drop(held);
    let bulletins = f64::from(members) * f64::from(ROUNDS);
    vec![
        Reading::new("memory", "bytes", live).limited(MEMORY_BYTES),
        Reading::new("a bulletin heard", "ms of a core", spent_ms / bulletins),
    ]
}
