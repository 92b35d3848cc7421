//! A scenario file: the fleet, its network, the load on it, what fails and when, and the budgets to be kept.

use std::path::Path;
use std::time::Duration;

use badgerledge_settings::{one_of, within, Faults, IniFile};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// The kinds of members that a scenario runs on.
pub const KINDS: [&str; 2] = ["simulated", "hollow"];
/// What can fail.
pub const FAILURES: [&str; 5] = ["rack", "relay", "zone", "half_zone", "region_cut"];
/// Kinds of sections.
const SECTIONS: [&str; 7] = ["run", "fleet", "network", "load", "restarts", "failure", "budgets"];

/// `[run]`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Run {
    #[garde(skip)]
    pub seed: u64,
    #[garde(custom(one_of(&KINDS)))]
    pub kind: String,
    /// Changes are pushed for so long.
    #[garde(custom(within(1.0, 7200.0)))]
    pub duration_s: f64,
    /// Before that, the fleet starts and connects.
    #[garde(custom(within(1.0, 600.0)))]
    pub warm_up_s: f64,
    /// After that, what is under way may end.
    #[garde(custom(within(1.0, 600.0)))]
    pub settle_s: f64,
    /// Processes that host hollow watchers.
    #[garde(custom(within(1, 64)))]
    #[serde(default = "four")]
    pub hollow_processes: u32,
}

fn four() -> u32 {
    4
}

/// `[fleet]`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    #[garde(custom(within(1, 20_000)))]
    pub controllers: u32,
    #[garde(custom(within(1, 64)))]
    pub regions: u16,
    #[garde(custom(within(1, 16)))]
    pub zones_per_region: u16,
    #[garde(custom(within(1, 200)))]
    pub control_machines: u16,
    /// Control machines that certify, spread over the regions: an odd number.
    #[garde(custom(within(1, 7)))]
    pub acceptors: u16,
    /// How long a region that is cut off goes on; 0: it holds back. Of simulated members alone.
    #[garde(custom(within(0, 14_400)))]
    #[serde(default)]
    pub apart_s: u64,
}

impl Fleet {
    pub fn zones(&self) -> u16 {
        self.regions * self.zones_per_region
    }

    pub fn region_of_zone(&self, zone: u16) -> u16 {
        zone / self.zones_per_region
    }

    /// Controllers are spread over the zones in turn.
    pub fn zone_of_controller(&self, controller: u32) -> u16 {
        (controller % u32::from(self.zones())) as u16
    }

    /// So are control machines, first over regions: the first acceptors are all in different ones.
    pub fn zone_of_machine(&self, machine: u16) -> u16 {
        let turn = machine % self.zones();
        (turn % self.regions) * self.zones_per_region + turn / self.regions
    }

    pub fn region_of_controller(&self, controller: u32) -> u16 {
        self.region_of_zone(self.zone_of_controller(controller))
    }

    pub fn region_of_machine(&self, machine: u16) -> u16 {
        self.region_of_zone(self.zone_of_machine(machine))
    }

    /// The acceptors: the first ones by number.
    pub fn acceptor_machines(&self) -> Vec<u16> {
        (0..self.acceptors.min(self.control_machines)).collect()
    }
}

/// `[network]`: delays are one way.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Network {
    #[garde(custom(within(0.0, 1000.0)))]
    pub within_zone_ms: f64,
    #[garde(custom(within(0.0, 1000.0)))]
    pub between_zones_ms: f64,
    #[garde(custom(within(0.0, 1000.0)))]
    pub between_regions_ms: f64,
    /// Up to so much more, by chance.
    #[garde(custom(within(0.0, 1000.0)))]
    pub jitter_ms: f64,
    /// The share of segments that are lost, and sent again.
    #[garde(custom(within(0.0, 0.5)))]
    pub loss: f64,
}

impl Network {
    /// The loopback's, nearly.
    pub fn loopback() -> Self {
        Self {
            within_zone_ms: 0.05,
            between_zones_ms: 0.05,
            between_regions_ms: 0.05,
            jitter_ms: 0.05,
            loss: 0.0,
        }
    }
}

/// `[load]`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// So many changes are pushed at once, by as many authors,
    #[garde(custom(within(1, 100)))]
    pub at_once: u32,
    /// each so often; 0 for none at all.
    #[garde(custom(within(0.0, 3600.0)))]
    pub every_s: f64,
    /// Titles of the configuration at the start, an entry each, and the bytes of one's lines.
    #[garde(custom(within(1, 1_000_000)))]
    pub entries: u32,
    #[garde(custom(within(41, 4096)))]
    pub entry_bytes: u32,
    /// Edits of a change.
    #[garde(custom(within(1, 1000)))]
    pub edits: u32,
    /// Each so many-th change of an author moves titles, and is exclusive; the others bring new ones, and are free. 0: all are
    /// free.
    #[garde(custom(within(0, 1_000_000)))]
    #[serde(default = "one")]
    pub exclusive_every: u64,
}

fn one() -> u64 {
    1
}

impl Load {
    /// Whether an author's change with this sequence number, counted from 1, is exclusive.
    pub fn is_exclusive(&self, sequence: u64) -> bool {
        self.exclusive_every > 0 && sequence.is_multiple_of(self.exclusive_every)
    }

    pub fn changes_per_s(&self) -> f64 {
        if self.every_s > 0.0 {
            f64::from(self.at_once) / self.every_s
        } else {
            0.0
        }
    }
}

/// `[restarts]`: controllers end and come back, by chance, all the time.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Restarts {
    /// In the whole fleet,
    #[garde(custom(within(0.0, 200_000.0)))]
    pub per_day: f64,
    /// times so much.
    #[garde(custom(within(1.0, 1000.0)))]
    pub speed_up: f64,
    /// How long one is off.
    #[garde(custom(within(0.1, 3600.0)))]
    pub off_s: f64,
    /// The share of them that come back without their disks.
    #[garde(custom(within(0.0, 1.0)))]
    pub without_disk: f64,
}

impl Restarts {
    pub fn per_s(&self) -> f64 {
        self.per_day * self.speed_up / 86_400.0
    }
}

/// `[failure NAME]`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    #[garde(custom(one_of(&FAILURES)))]
    pub what: String,
    /// Counted from the end of the warm-up.
    #[garde(custom(within(0.0, 7200.0)))]
    pub at_s: f64,
    #[garde(custom(within(0.1, 7200.0)))]
    pub for_s: f64,
    /// The zone of a rack, a zone or half a zone; the control machine of a relay; the region that is cut off.
    #[garde(skip)]
    pub place: u16,
    /// Controllers of a rack; its control machine is the first of its zone.
    #[garde(custom(within(1, 1000)))]
    #[serde(default = "forty")]
    pub controllers: u32,
    /// What is lost comes back without its disk.
    #[garde(skip)]
    #[serde(default)]
    pub without_disk: bool,
}

fn forty() -> u32 {
    40
}

/// `[budgets]`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// From a push until the last reachable controller acts.
    #[garde(custom(within(0.1, 600.0)))]
    pub in_force_s: f64,
    /// Bytes a second of a controller, in and out together, on the mean of the run.
    #[garde(custom(within(1.0, 1e9)))]
    pub controller_bytes_per_s: f64,
    /// As a part of a core.
    #[garde(custom(within(0.0001, 64.0)))]
    pub controller_cpu: f64,
    #[garde(custom(within(1.0, 1e6)))]
    pub controller_memory_mb: f64,
    /// The same of a control machine: the share that is stated for the tier.
    #[garde(custom(within(0.0001, 64.0)))]
    pub machine_cpu: f64,
    #[garde(custom(within(1.0, 1e6)))]
    pub machine_memory_mb: f64,
    #[garde(custom(within(1.0, 1e10)))]
    pub machine_bytes_per_s: f64,
}

/// A scenario, checked.
#[derive(Clone, Debug, Serialize)]
pub struct Scenario {
    pub name: String,
    pub run: Run,
    pub fleet: Fleet,
    pub network: Network,
    pub load: Load,
    pub restarts: Option<Restarts>,
    pub failures: Vec<(String, Failure)>,
    pub budgets: Budgets,
}

impl Scenario {
    /// # Errors
    /// Where the file can't be read or is not a scenario, with place and reason.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        Self::of(&name, &IniFile::read(path)?)
    }

    /// # Errors
    /// The same, of a file that was read.
    pub fn of(name: &str, sheet: &IniFile) -> Result<Self, Faults> {
        sheet.reject_unknown_sections(&SECTIONS)?;
        let (run, fleet) = Faults::combine(sheet.section::<Run>("run"), sheet.section::<Fleet>("fleet"))?;
        let (network, load) =
            Faults::combine(sheet.section::<Network>("network"), sheet.section::<Load>("load"))?;
        let budgets = sheet.section("budgets")?;
        let restarts = sheet.has("restarts").then(|| sheet.section("restarts")).transpose()?;
        let mut failures = Vec::new();
        for failure in sheet.section_names("failure") {
            failures.push((failure.to_owned(), sheet.section::<Failure>(&format!("failure {failure}"))?));
        }
        let scenario = Self { name: name.to_owned(), run, fleet, network, load, restarts, failures, budgets };
        scenario.check_fleet(sheet)?;
        scenario.check_load(sheet)?;
        scenario.check_failures(sheet)?;
        Ok(scenario)
    }

    fn check_fleet(&self, sheet: &IniFile) -> Result<(), Faults> {
        let Fleet { acceptors, control_machines, .. } = self.fleet;
        let wrong = |why: &str| Err(sheet.fault("fleet", "acceptors", &acceptors.to_string(), why).into());
        if acceptors > control_machines {
            return wrong("acceptors are control machines: there are fewer of those");
        }
        if acceptors.is_multiple_of(2) {
            return wrong("an odd number is taken");
        }
        Ok(())
    }

    /// Authors change titles of their own, and a change no title twice.
    fn check_load(&self, sheet: &IniFile) -> Result<(), Faults> {
        let Load { at_once, entries, edits, .. } = self.load;
        if at_once.saturating_mul(edits) > entries {
            let why = format!("{at_once} authors with changes of {edits} edits need more titles");
            return Err(sheet.fault("load", "entries", &entries.to_string(), &why).into());
        }
        Ok(())
    }

    fn check_failures(&self, sheet: &IniFile) -> Result<(), Faults> {
        for (name, failure) in &self.failures {
            let section = format!("failure {name}");
            let places = match failure.what.as_str() {
                "relay" => self.fleet.control_machines,
                "region_cut" => self.fleet.regions,
                _ => self.fleet.zones(),
            };
            if failure.place >= places {
                let why = format!("0 to {} is taken here", places - 1);
                return Err(sheet.fault(&section, "place", &failure.place.to_string(), &why).into());
            }
            if failure.at_s + failure.for_s > self.run.duration_s {
                let why = "it ends after the run's duration_s";
                return Err(sheet.fault(&section, "for_s", &failure.for_s.to_string(), why).into());
            }
        }
        Ok(())
    }

    /// The same scenario at another size: the fleet, and what is struck of it, in proportion.
    #[must_use]
    pub fn resized(&self, controllers: u32) -> Self {
        let share = f64::from(controllers) / f64::from(self.fleet.controllers);
        let mut resized = self.clone();
        resized.fleet.controllers = controllers;
        for (_, failure) in &mut resized.failures {
            failure.controllers = ((f64::from(failure.controllers) * share).ceil() as u32).max(1);
        }
        if let Some(restarts) = &mut resized.restarts {
            restarts.per_day *= share;
        }
        resized
    }

    pub fn warm_up(&self) -> Duration {
        Duration::from_secs_f64(self.run.warm_up_s)
    }

    /// When the load ends.
    pub fn load_until(&self) -> Duration {
        self.warm_up() + Duration::from_secs_f64(self.run.duration_s)
    }

    /// When the run ends.
    pub fn end(&self) -> Duration {
        self.load_until() + Duration::from_secs_f64(self.run.settle_s)
    }
}
