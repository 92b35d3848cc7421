//! Scenario files are read whole or refused with place and reason; what a run needs is reckoned before it starts.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgerledge_settings::IniFile;

use crate::observations::{ActedOn, Observations, PushedChange, Transition};
use crate::reckoning::{check, needs, Gives, Refusal};
use crate::scenario::Scenario;
use crate::slopes::Line;
use crate::timeline::{timeline, Happening};

pub fn days() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days")
}

fn steady_text() -> String {
    std::fs::read_to_string(days().join("scale-steady.ini")).unwrap()
}

fn refused(text: &str) -> String {
    let sheet = IniFile::parse("a.ini", text).unwrap();
    Scenario::of("a", &sheet).unwrap_err().to_string()
}

const NAMES: [&str; 6] = ["steady", "changes", "restarts", "rack", "zone", "regions"];

#[test]
fn each_scenario_of_the_plan_is_read_and_borne() {
    for name in NAMES {
        let scenario = Scenario::read(&days().join(format!("scale-{name}.ini"))).unwrap();
        assert_eq!((scenario.fleet.controllers, scenario.fleet.control_machines), (7400, 25), "{name}");
        let gives = Gives { memory_bytes: 12 << 30, descriptors: 20_000 };
        assert_eq!(check(&scenario, needs(&scenario, 0), gives), Ok(()), "{name}");
    }
}

#[test]
fn what_is_unknown_zero_or_too_much_is_refused_by_place() {
    let text = steady_text();
    assert!(refused(&text.replace("[load]\n", "[load]\nspeed = 3\n")).contains("[load] speed: no such key"));
    assert!(refused(&format!("{text}\n[lod]\n")).contains("[lod]: no such section"));
    assert!(refused(&text.replace("controllers = 7400", "controllers = 0"))
        .contains("[fleet] controllers = 0: must be between 1 and 20000"));
    assert!(refused(&text.replace("acceptors = 5", "acceptors = 4")).contains("an odd number is taken"));
    assert!(
        refused(&text.replace("control_machines = 25", "control_machines = 3")).contains("fewer of those")
    );
    let failure = "\n[failure x]\nwhat = zone\nplace = 12\nat_s = 1\nfor_s = 2\n";
    assert!(refused(&format!("{text}{failure}")).contains("[failure x] place = 12: 0 to 11 is taken here"));
    let late = failure.replace("place = 12", "place = 1").replace("for_s = 2", "for_s = 100");
    assert!(refused(&format!("{text}{late}")).contains("it ends after the run's duration_s"));
}

#[test]
fn a_run_that_the_machine_does_not_bear_is_refused_with_the_reckoning() {
    let sheet = IniFile::parse("a.ini", &steady_text().replace("kind = simulated", "kind = hollow")).unwrap();
    let scenario = Scenario::of("a", &sheet).unwrap();
    let plenty = Gives { memory_bytes: 1 << 40, descriptors: 1 << 20 };
    let needed = needs(&scenario, 0);
    assert_eq!(check(&scenario, needed, plenty), Ok(()));
    let little = check(&scenario, needed, Gives { memory_bytes: 1 << 30, ..plenty });
    assert!(matches!(little, Err(Refusal::Memory { given_mb: 1024, .. })), "{little:?}");
    let few = check(&scenario, needed, Gives { descriptors: 1024, ..plenty });
    assert!(matches!(few, Err(Refusal::Descriptors { given: 1024, .. })), "{few:?}");
    let many = check(&scenario, needs(&scenario, 400), plenty);
    assert!(matches!(many, Err(Refusal::Processes { needed: 433, .. })), "{many:?}");
    let larger = scenario.resized(20_000);
    let mut larger = larger;
    larger.fleet.control_machines = 200;
    larger.run.hollow_processes = 4;
    assert!(matches!(check(&larger, needs(&larger, 0), plenty), Err(Refusal::Ports { .. })));
}

#[test]
fn the_fleet_is_spread_and_no_region_holds_a_quorum_of_acceptors() {
    let scenario = Scenario::read(&days().join("scale-steady.ini")).unwrap();
    for acceptors in [3, 5, 7] {
        let mut fleet = scenario.fleet.clone();
        fleet.acceptors = acceptors;
        let mut regions: BTreeMap<u16, u16> = BTreeMap::new();
        for machine in fleet.acceptor_machines() {
            *regions.entry(fleet.region_of_machine(machine)).or_default() += 1;
        }
        assert!(regions.values().all(|count| *count <= acceptors / 2), "{regions:?}");
    }
    let mut zones: BTreeMap<u16, u16> = BTreeMap::new();
    (0..25).for_each(|machine| *zones.entry(scenario.fleet.zone_of_machine(machine)).or_default() += 1);
    assert_eq!(zones.len(), 12);
    assert!(zones.values().all(|count| (2..=3).contains(count)), "{zones:?}");
}

#[test]
fn a_timeline_is_the_same_for_a_seed_and_restarts_come_at_their_rate() {
    let scenario = Scenario::read(&days().join("scale-restarts.ini")).unwrap();
    let first = timeline(&scenario);
    assert_eq!(first, timeline(&scenario));
    let mut other = scenario.clone();
    other.run.seed = 2;
    assert_ne!(first, timeline(&other));
    let kills = first.iter().filter(|entry| matches!(entry.what, Happening::KillControllers { .. })).count();
    // 60 s at 1,400 a day, thirty times as fast: 29 on the mean.
    assert!((15..45).contains(&kills), "{kills}");
}

#[test]
fn a_contradiction_is_the_time_that_an_older_revision_was_acted_on_beside_a_later_one() {
    let at = Duration::from_secs;
    let mut acted_on = ActedOn::default();
    [(1, 10), (2, 20), (1, 23), (4, 30), (2, 31)].iter().for_each(|(n, s)| acted_on.note(*n, at(*s)));
    assert_eq!(acted_on.longest_contradiction(), (at(3), 1));
    let mut other = ActedOn::default();
    other.note(3, at(36));
    acted_on.merge(&other);
    assert_eq!(acted_on.longest_contradiction(), (at(6), 3));
    // Whoever acts on one that follows an exclusive one contradicts those before both.
    assert_eq!(acted_on.longest_contradiction_of(|_| false), (Duration::ZERO, 0));
    let all = acted_on.longest_contradiction();
    assert!(acted_on.longest_contradiction_of(|number| number > 3).0 <= all.0);
    assert_eq!(acted_on.longest_contradiction_of(|number| number == 4), (at(6), 3));
    assert_eq!(acted_on.highest_at(at(29)), 2);
}

#[test]
fn reachable_controllers_count_for_a_change_and_others_for_catching_up() {
    let sheet =
        IniFile::parse("a.ini", &steady_text().replace("controllers = 7400", "controllers = 3")).unwrap();
    let scenario = Scenario::of("a", &sheet).unwrap();
    let at = Duration::from_secs;
    let acts = |controller, s, acts_on| Transition { controller, at: at(s), acts_on };
    let transitions = vec![
        acts(0, 5, Some(0)),
        acts(0, 32, Some(1)),
        acts(1, 5, Some(0)),
        acts(1, 29, None),
        acts(1, 47, Some(1)),
        acts(2, 5, Some(0)),
    ];
    let changes =
        vec![PushedChange { pushed: at(30), settled: Some(at(31)), number: Some(1), exclusive: true }];
    let members = vec![0, 1, 2];
    let mut seen = Observations { members, changes, transitions, ..Observations::default() };
    let acted = seen.transitions.iter().filter_map(|transition| Some((transition.acts_on?, transition.at)));
    acted.for_each(|(number, at)| seen.acted_on.note(number, at));
    seen.away.insert(1, vec![(at(29), at(40))]);
    let title = crate::figures::Title { scenario: &scenario, kind: "simulated", bound: at(4), took: at(1) };
    let figures = crate::figures::Figures::of(&title, &seen);
    assert_eq!((figures.in_force.count, figures.never, figures.caught_up.count), (1, 1, 1));
    assert!((figures.in_force.last - 2.0).abs() < 0.01 && (figures.caught_up.last - 7.0).abs() < 0.01);
    let broken: Vec<_> =
        figures.budgets.iter().filter(|budget| !budget.kept).map(|b| b.name.as_str()).collect();
    assert_eq!(broken, ["changes never in force at a reachable controller"]);
}

#[test]
fn a_line_is_fitted_by_least_squares_with_its_residual() {
    let line = Line::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0), (4.0, 9.0)]).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.offset - 1.0).abs() < 1e-9 && line.residual < 1e-9);
    let bent = Line::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0), (4.0, 13.0)]).unwrap();
    assert!(bent.residual > 0.5, "{bent:?}");
    assert_eq!(Line::through(&[(1.0, 3.0), (1.0, 5.0)]), None);
}
