//! Positions of the list that controllers tell each other: memory and time by the members that are heard.

use std::time::Duration;

use badgerledge_revisions::lists::{ListPosition, ListPositions, ListReport};
use badgerledge_revisions::Member;

use super::{Role, CONTROLLERS, CORE_SHARE, MEMORY_BYTES};
use crate::capacity::measure::{processor_ms, with_live_bytes, Reading};

/// A member is told by one other every two seconds on the mean, and so hears as much.
const HEARD_A_SECOND: f64 = 0.5;
/// With a change each member tells so many at once; a change a second is far more than a quiet fleet has.
const HEARD_A_CHANGE: f64 = 3.0;

pub const ROLE: Role = Role {
    name: "list-positions",
    size_unit: "members",
    sizes: &[100, 400, 1600, 6400],
    plan_size: CONTROLLERS,
    measure: |size, _seed| Ok(readings(size as Member)),
};

fn readings(members: Member) -> Vec<Reading> {
    let position =
        |revision| ListReport { position: ListPosition { epoch: 1, revision }, removed: Vec::new() };
    let now = Duration::from_secs(1000);
    let (mut lists, live) = with_live_bytes(|| {
        let mut lists = ListPositions::default();
        (0..members).for_each(|member| drop(lists.receive_report(now, member, &position(1))));
        lists
    });
    let heard_ms = processor_ms(|| {
        (0..members).for_each(|member| drop(lists.receive_report(now, member, &position(1))));
    });
    let each_ms = heard_ms / f64::from(members);
    let a_second = HEARD_A_SECOND + HEARD_A_CHANGE;
    vec![
        Reading::new("memory", "bytes", live).limited(MEMORY_BYTES),
        Reading::new("a position heard", "ms of a core", each_ms),
        Reading::new("positions at a change a second", "of a core", each_ms / 1000.0 * a_second)
            .limited(CORE_SHARE),
    ]
}
