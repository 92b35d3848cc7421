//! A region that is cut off from the acceptors goes on under its old configuration for the stated time; exclusive changes
//! elsewhere wait for it that long at most, and free ones for nobody.

use std::time::{Duration, Instant};

use crate::fleet::{play, Fleet, Shape, IN_FORCE, PATIENCE};
use crate::old_and_new::{left, old_is_not_served_past_the_bound, push_change, shape, NEW, OLD};

/// Moves the old title to a cell without a streamer: served on the first cell alone it is under the old configuration.
const MOVE: &str = "[title 8]\nroom_type = clip\nfirst_cell = 3\ncopies = 1\n";
/// Comes with a free change.
const FREE: u64 = 0x20;

/// Long enough for a free change to come into force before.
const APART: Duration = Duration::from_secs(30);
/// A lease, at the pace of another clock.
const LONGEST_WAIT: Duration = Duration::from_millis(30_300);
/// Of five control machines, all acceptors: the region that is cut off has too few for a quorum.
const INSIDE: [usize; 2] = [3, 4];
const OUTSIDE: [usize; 3] = [0, 1, 2];

fn with_regions(apart: Duration) -> Shape {
    Shape { machines: 5, apart_s: apart.as_secs(), ..shape() }
}

/// Nothing passes between the region with controller 0 and the rest.
fn cut_off(fleet: &Fleet) {
    for outside in OUTSIDE {
        for inside in INSIDE {
            fleet.network.change_between(false, outside, inside, |way| way.blocked = true);
        }
        let end = fleet.end_of(0);
        fleet.network.change_between(true, outside, end, |way| way.blocked = true);
    }
    for inside in INSIDE {
        for controller in [1, 2] {
            let end = fleet.end_of(controller);
            fleet.network.change_between(true, inside, end, |way| way.blocked = true);
        }
    }
}

fn active(fleet: &Fleet, machine: usize) -> u32 {
    fleet.machines[machine].status().map_or(0, |status| status.active)
}

#[test]
fn a_region_that_is_cut_off_goes_on_and_an_exclusive_change_waits() {
    play(with_regions(APART), |fleet| {
        fleet.wait(PATIENCE, "the machines of the region could vouch", |fleet| {
            INSIDE.iter().all(|machine| fleet.apart(*machine).is_some_and(|apart| apart.vouches))
        });
        cut_off(fleet);
        let cut = Instant::now();
        fleet.wait_set_ups(PATIENCE, &[1, 2], OLD, 200);
        fleet.push_edits(0, MOVE);
        fleet.push_edits(1, "[title 20]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n");
        let took = fleet.wait_set_ups(IN_FORCE, &[1, 2], FREE, 200);
        eprintln!("a free change behind it is in force {took:?} after it was taken");
        let waits: Vec<u16> = fleet.apart(0).unwrap().waits_ms.iter().map(|(machine, _)| *machine).collect();
        assert_eq!(waits, [3, 4]);
        // Until shortly before the time is over, by the longest that a controller may be without having asked.
        let sure = APART - Duration::from_secs(4);
        let mut asked = 0;
        while cut.elapsed() < sure {
            assert_eq!(fleet.set_up(0, OLD), 200, "{:?} after the cut", cut.elapsed());
            assert_eq!(fleet.set_up(1, OLD), 200, "{:?} after the cut", cut.elapsed());
            asked += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        assert_eq!(fleet.metric(0, "badgerledge_distribution_regional"), 1.0);
        eprintln!("{asked} viewers were set up in the region that is cut off");
        fleet.wait(left(cut, LONGEST_WAIT + IN_FORCE), "the change may be acted on", |fleet| {
            active(fleet, 0) == 2
        });
        let acted_on = Instant::now();
        eprintln!("the exclusive change is in force {:?} after the cut", cut.elapsed());
        old_is_not_served_past_the_bound(fleet, 0, acted_on);
        assert_ne!(fleet.set_up(1, OLD), 200);
        assert_ne!(fleet.set_up(2, OLD), 200);
        fleet.network.heal();
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], FREE, 200);
        fleet.wait(PATIENCE, "the region is not cut off any more", |fleet| {
            fleet.metric(0, "badgerledge_distribution_regional") == 0.0
        });
    });
}

/// As before: with the setting off the region holds back after a lease, and the change waits for nobody.
#[test]
fn without_the_setting_a_region_that_is_cut_off_holds_back() {
    play(with_regions(Duration::ZERO), |fleet| {
        cut_off(fleet);
        let begun = push_change(fleet, 0);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[1, 2], NEW, 200);
        old_is_not_served_past_the_bound(fleet, 0, Instant::now());
        assert_eq!(fleet.metric(0, "badgerledge_distribution_regional"), 0.0);
    });
}

/// It comes into force as soon as the region is back.
#[test]
fn an_exclusive_change_is_in_force_when_the_region_is_back() {
    play(with_regions(Duration::from_secs(3600)), |fleet| {
        cut_off(fleet);
        push_change(fleet, 0);
        std::thread::sleep(Duration::from_secs(8));
        assert_eq!(active(fleet, 0), 0);
        assert_eq!(fleet.set_up(0, OLD), 200);
        fleet.network.heal();
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], NEW, 200);
    });
}
