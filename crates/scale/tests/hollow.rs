//! Hollow watchers with real sockets and signatures against control machines' processes: small, and in less than half a
//! minute. Bounds are the protocol's and the plan's; a run in which the rig itself stood still is void, is said to be, and
//! does not count against the protocol.

use std::path::Path;

use badgerledge_scale::figures::Figures;
use badgerledge_scale::hollow::run::play;
use badgerledge_scale::scenario::Scenario;
use badgerledge_settings::IniFile;

const SCENARIO: &str = "\
[run]
seed = 1
kind = hollow
warm_up_s = 6
duration_s = 9
settle_s = 7
hollow_processes = 2
[fleet]
controllers = 30
regions = 3
zones_per_region = 1
control_machines = 3
acceptors = 3
[network]
within_zone_ms = 0
between_zones_ms = 0
between_regions_ms = 0
jitter_ms = 0
loss = 0
[load]
at_once = 2
every_s = 3
entries = 100
entry_bytes = 60
edits = 2
[budgets]
in_force_s = 18
controller_bytes_per_s = 10000
controller_cpu = 64
controller_memory_mb = 1000000
machine_cpu = 64
machine_memory_mb = 1000000
machine_bytes_per_s = 10000000
";

/// A control machine is killed and comes back; half of a zone ends and comes back without its disks.
const FAILURES: &str = "\
[failure relay]
what = relay
place = 2
at_s = 2
for_s = 3
[failure restart]
what = half_zone
place = 1
at_s = 4
for_s = 1
without_disk = true
";

fn played(text: &str) -> Figures {
    let scenario = Scenario::of("small", &IniFile::parse("small.ini", text).unwrap()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_badgerledge-scale"));
    play(&scenario, 0, program, false).unwrap().remove(0)
}

#[test]
fn thirty_hollow_watchers_keep_to_the_bounds_while_machines_and_controllers_fail() {
    let figures = played(&format!("{SCENARIO}{FAILURES}"));
    let broken: Vec<&str> =
        figures.budgets.iter().filter(|budget| !budget.kept).map(|budget| budget.name.as_str()).collect();
    let told = badgerledge_scale::summary::summary(&figures);
    if figures.is_void() {
        return eprintln!("VOID: this run says nothing of bounds\n{told}");
    }
    assert_eq!(broken, [""; 0], "{told}");
    assert_eq!((figures.changes, figures.changes_taken), (6, 6), "{told}");
    assert_eq!(figures.caught_up.count, 5, "{told}");
    assert!(figures.controller.bytes_in_per_s > 0.0 && figures.control_machine.bytes_out_per_s > 0.0);
}

#[test]
fn a_run_without_a_quorum_of_acceptors_is_found_to_break_its_budgets() {
    let dead = "[failure one]\nwhat = relay\nplace = 0\nat_s = 1\nfor_s = 8\n\
                [failure two]\nwhat = relay\nplace = 1\nat_s = 1\nfor_s = 8\n";
    // What is pushed at the third second can't be certified before the ninth.
    let text = SCENARIO.replace("settle_s = 7", "settle_s = 1").replace("warm_up_s = 6", "warm_up_s = 4");
    let text = text.replace("in_force_s = 18", "in_force_s = 5");
    let figures = played(&format!("{text}{dead}"));
    let broken: Vec<&str> =
        figures.budgets.iter().filter(|budget| !budget.kept).map(|budget| budget.name.as_str()).collect();
    let late = ["changes not taken", "in force everywhere"].iter().any(|name| broken.contains(name));
    assert!(late, "{}", badgerledge_scale::summary::summary(&figures));
}
