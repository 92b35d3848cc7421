//! Each scenario of the plan with a small fleet in simulated time; and that the checks bite.

use crate::figures::Figures;
use crate::scenario::Scenario;
use crate::simulation::{play, Broken};

use super::scenarios::days;

/// A scenario with 60 controllers and 5 control machines, and what takes an hour in a minute.
fn small(name: &str) -> Scenario {
    let mut scenario = Scenario::read(&days().join(format!("scale-{name}.ini"))).unwrap().resized(60);
    scenario.fleet.control_machines = 5;
    scenario.fleet.acceptors = 3;
    scenario.load.entries = 200;
    if let Some(restarts) = &mut scenario.restarts {
        restarts.speed_up = 1000.0;
    }
    for (_, failure) in &mut scenario.failures {
        failure.for_s = failure.for_s.min(60.0);
        if failure.what == "relay" {
            failure.place %= 5;
        }
    }
    scenario.run.duration_s = scenario.run.duration_s.min(100.0);
    scenario
}

fn played(name: &str, broken: Broken) -> Figures {
    play(&small(name), broken, false).unwrap()
}

/// Without those of processor time and memory: they are the machine's.
fn broken_budgets(figures: &Figures) -> Vec<&str> {
    let of_protocol = figures.budgets.iter().filter(|budget| !matches!(budget.unit.as_str(), "cores" | "MB"));
    of_protocol.filter(|budget| !budget.kept).map(|budget| budget.name.as_str()).collect()
}

fn keeps_all(name: &str) -> Figures {
    let figures = played(name, Broken::default());
    assert_eq!(broken_budgets(&figures), [""; 0], "{}", crate::summary::summary(&figures));
    assert!(figures.changes >= 6 && figures.changes_taken == figures.changes);
    figures
}

#[test]
fn a_fleet_at_rest_takes_each_change_in_time() {
    let figures = keeps_all("steady");
    assert_eq!(figures.in_force.count, figures.changes * 60);
    assert_eq!(figures.held_back, 0.0);
}

#[test]
fn ten_changes_at_once_go_in_few_revisions() {
    let figures = keeps_all("changes");
    assert_eq!(figures.changes, 70);
    assert!(figures.revisions < 35, "{}", figures.revisions);
}

#[test]
fn controllers_that_restart_catch_up_and_hold_no_change_up() {
    let figures = keeps_all("restarts");
    assert!(figures.caught_up.count >= 5, "{}", figures.caught_up.count);
}

#[test]
fn a_rack_and_a_relay_are_lost_and_come_back() {
    let figures = keeps_all("rack");
    assert!(figures.caught_up.count >= 1);
}

#[test]
fn a_zone_is_lost_and_comes_back_without_disks() {
    let figures = keeps_all("zone");
    // Five controllers of the zone, and half of five of the other one.
    assert_eq!(figures.caught_up.count, 8);
}

#[test]
fn a_region_that_is_cut_off_holds_back_and_catches_up() {
    let figures = keeps_all("regions");
    assert_eq!(figures.caught_up.count, 10);
    // Those cut off are the only ones that hold back, and they are not counted while they are.
    assert!(figures.held_back < 0.05, "{}", figures.held_back);
}

/// With two control machines in the region. What is cut off takes its watchers' last leases with it, and so ten seconds.
#[test]
fn a_region_that_is_cut_off_goes_on_where_it_may() {
    for apart in [true, false] {
        let mut scenario = small("apart");
        scenario.fleet.control_machines = 25;
        scenario.fleet.acceptors = 5;
        if !apart {
            scenario.fleet.apart_s = 0;
        }
        let figures = play(&scenario, Broken::default(), false).unwrap();
        assert_eq!(broken_budgets(&figures), [""; 0], "{}", crate::summary::summary(&figures));
        assert_eq!(figures.held_while_away.count, 10);
        let held = figures.held_while_away;
        let kept = if apart { held.last == 0.0 } else { held.p50 > 50.0 };
        assert!(kept, "apart {apart}: {held:?}");
    }
}

/// Exclusive changes wait until the region is back, and contradict nobody past the bound; not so where they don't wait.
#[test]
fn exclusive_changes_wait_for_a_region_that_is_cut_off() {
    let mut scenario = small("apart");
    scenario.fleet.control_machines = 25;
    scenario.fleet.acceptors = 5;
    scenario.load.exclusive_every = 3;
    scenario.budgets.in_force_s = 100.0;
    let figures = play(&scenario, Broken::default(), false).unwrap();
    assert_eq!(broken_budgets(&figures), [""; 0], "{}", crate::summary::summary(&figures));
    assert!(figures.in_force.last > 30.0, "{:?}", figures.in_force);
    assert_eq!(figures.held_while_away.last, 0.0);
}

#[test]
fn a_seed_gives_the_same_run_and_another_seed_another() {
    let mut scenario = small("restarts");
    let first = play(&scenario, Broken::default(), false).unwrap();
    let second = play(&scenario, Broken::default(), false).unwrap();
    let timeless = |figures: &Figures| {
        let of = (
            figures.in_force,
            figures.caught_up,
            figures.second_worst_bytes,
            figures.controller.messages_per_s,
        );
        (of, figures.control_machine.bytes_out_per_s, figures.held_back)
    };
    assert_eq!(timeless(&first), timeless(&second));
    scenario.run.seed = 2;
    assert_ne!(timeless(&first), timeless(&play(&scenario, Broken::default(), false).unwrap()));
}

#[test]
fn controllers_that_act_without_a_lease_are_found_to_pass_the_bound() {
    let figures = played("regions", Broken { no_lease: true, ..Broken::default() });
    assert!(broken_budgets(&figures).contains(&"longest contradiction, against T"));
}

#[test]
fn changes_that_are_not_handed_down_are_found_to_be_late() {
    let figures = played("steady", Broken { no_deltas: true, ..Broken::default() });
    let broken = broken_budgets(&figures);
    assert!(broken.contains(&"changes never in force at a reachable controller"), "{broken:?}");
}
