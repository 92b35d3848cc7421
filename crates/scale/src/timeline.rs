//! What happens to a fleet and when, drawn from a scenario and its seed: the same for each kind of members.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::scenario::{Failure, Fleet, Scenario};

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happening {
    /// A change is pushed by this author.
    Push {
        author: u16,
    },
    /// Controllers end; `silent` where their machines go with them, so that nothing tells others.
    KillControllers {
        controllers: Vec<u32>,
        silent: bool,
    },
    StartControllers {
        controllers: Vec<u32>,
        without_disk: bool,
    },
    KillMachines {
        machines: Vec<u16>,
        silent: bool,
    },
    StartMachines {
        machines: Vec<u16>,
        without_disk: bool,
    },
    /// Nothing passes between a region and all others.
    CutRegion {
        region: u16,
    },
    HealRegion {
        region: u16,
    },
}

/// A happening at its time, counted from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct At {
    pub at: Duration,
    pub what: Happening,
}

/// A run's whole timeline, by time.
pub fn timeline(scenario: &Scenario) -> Vec<At> {
    let mut all = pushes(scenario);
    all.extend(restarts(scenario));
    for (_, failure) in &scenario.failures {
        all.extend(failed(scenario, failure));
    }
    all.sort_by_key(|entry| entry.at);
    all
}

/// Controllers that come back with their disks: only their disks have to be kept.
pub fn returning_with_disks(timeline: &[At]) -> BTreeSet<u32> {
    let back = timeline.iter().filter_map(|entry| match &entry.what {
        Happening::StartControllers { controllers, without_disk: false } => Some(controllers),
        _ => None,
    });
    back.flatten().copied().collect()
}

fn pushes(scenario: &Scenario) -> Vec<At> {
    let mut all = Vec::new();
    if scenario.load.every_s <= 0.0 {
        return all;
    }
    let every = Duration::from_secs_f64(scenario.load.every_s);
    let mut at = scenario.warm_up();
    while at < scenario.load_until() {
        all.extend((0..scenario.load.at_once).map(|n| At { at, what: Happening::Push { author: n as u16 } }));
        at += every;
    }
    all
}

/// Restarts by a Poisson process. One controller is not struck again before it is back.
fn restarts(scenario: &Scenario) -> Vec<At> {
    let Some(restarts) = &scenario.restarts else { return Vec::new() };
    let mut chance = Rng(scenario.run.seed ^ 0x5265_7374);
    chance.unit_interval();
    let mut free_at = vec![Duration::ZERO; scenario.fleet.controllers as usize];
    let off = Duration::from_secs_f64(restarts.off_s);
    let (mut all, mut at) = (Vec::new(), scenario.warm_up());
    if restarts.per_s() <= 0.0 {
        return all;
    }
    loop {
        at += Duration::from_secs_f64(-(1.0 - chance.unit_interval()).ln() / restarts.per_s());
        if at + off >= scenario.load_until() {
            return all;
        }
        let controller = (chance.unit_interval() * free_at.len() as f64) as usize;
        let without_disk = chance.unit_interval() < restarts.without_disk;
        if free_at[controller] > at {
            continue;
        }
        free_at[controller] = at + off * 2;
        let controllers = vec![controller as u32];
        all.push(At {
            at,
            what: Happening::KillControllers { controllers: controllers.clone(), silent: false },
        });
        all.push(At { at: at + off, what: Happening::StartControllers { controllers, without_disk } });
    }
}

fn failed(scenario: &Scenario, failure: &Failure) -> Vec<At> {
    let from = scenario.warm_up() + Duration::from_secs_f64(failure.at_s);
    let to = from + Duration::from_secs_f64(failure.for_s);
    if failure.what == "region_cut" {
        let region = failure.place;
        return vec![
            At { at: from, what: Happening::CutRegion { region } },
            At { at: to, what: Happening::HealRegion { region } },
        ];
    }
    let (machines, controllers) = struck(&scenario.fleet, failure);
    let without_disk = failure.without_disk;
    let silent = matches!(failure.what.as_str(), "rack" | "zone");
    vec![
        At { at: from, what: Happening::KillMachines { machines: machines.clone(), silent } },
        At { at: from, what: Happening::KillControllers { controllers: controllers.clone(), silent } },
        At { at: to, what: Happening::StartMachines { machines, without_disk } },
        At { at: to, what: Happening::StartControllers { controllers, without_disk } },
    ]
}

/// The machines and controllers that a failure takes.
fn struck(fleet: &Fleet, failure: &Failure) -> (Vec<u16>, Vec<u32>) {
    let zone = failure.place;
    let machines = (0..fleet.control_machines).filter(|machine| fleet.zone_of_machine(*machine) == zone);
    let controllers =
        (0..fleet.controllers).filter(|controller| fleet.zone_of_controller(*controller) == zone);
    match failure.what.as_str() {
        "relay" => (vec![failure.place], Vec::new()),
        "rack" => (machines.take(1).collect(), controllers.take(failure.controllers as usize).collect()),
        "half_zone" => (Vec::new(), controllers.step_by(2).collect()),
        _ => (machines.collect(), controllers.collect()),
    }
}
