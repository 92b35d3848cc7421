//! A change of which no two controllers may act on both sides for longer than the stated bound, and the check that none does.

use std::time::{Duration, Instant};

use crate::fleet::{bound, Fleet, Shape};

/// Served only under the old configuration: the change moves it to a cell that has no streamer.
pub const OLD: u64 = 8;
/// Served only once the new configuration is acted on: its room type comes with the change.
pub const NEW: u64 = 0xa;

const CHANGE: &str = "\
[section room_type film]
place = 1
[set room_type film]
benefit = 1
client_timeout_ms = 2000
join_objective_ms = 1000
[title a]
room_type = film
first_cell = 0
copies = 1
[title 8]
room_type = clip
first_cell = 3
copies = 1
";

/// One streamer, on the first cell.
pub fn shape() -> Shape {
    Shape { streamers: 1, ..Shape::default() }
}

/// Pushes the change at a control machine. Tells when that began.
pub fn push_change(fleet: &mut Fleet, machine: usize) -> Instant {
    let begun = Instant::now();
    fleet.push_edits(machine, CHANGE);
    begun
}

/// What is left of a time that began then.
pub fn left(begun: Instant, within: Duration) -> Duration {
    within.saturating_sub(begun.elapsed())
}

/// Asks a controller for the old title until well after the bound, counted from when another one was first seen to act on
/// the new configuration; nobody must be served by then. Tells how long after that the last one was.
pub fn old_is_not_served_past_the_bound(fleet: &mut Fleet, controller: usize, acted_on: Instant) -> Duration {
    let mut last = Duration::ZERO;
    while acted_on.elapsed() < bound() + Duration::from_secs(2) {
        let asked = acted_on.elapsed();
        if fleet.set_up(controller, OLD) == 200 {
            last = asked;
            assert!(
                asked < bound(),
                "served by the old configuration {asked:?} after others acted on the new one"
            );
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    last
}
