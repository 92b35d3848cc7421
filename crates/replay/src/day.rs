//! A day file.

use std::path::Path;
use std::time::Duration;

use badgerledge_deployment::{Shared, SHARED_SECTIONS};
use badgerledge_settings::{one_of, within, Faults, IniFile};
use garde::Validate;
use serde::Deserialize;

use crate::gossip::GossipDay;
use crate::script::Script;

/// The kinds of trouble that can be played.
pub const TROUBLES: [&str; 16] = [
    "crash",
    "vanish",
    "report_late",
    "burst",
    "hot_key",
    "zone_loss",
    "deploy",
    "discovery_stale",
    "balancer_crash",
    "balancer_roll",
    "balancer_stall",
    "shared_slow",
    "origin_slow",
    "ageing",
    "peer_down",
    "list_restart",
];

/// `[day]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Course {
    /// Viewers arrive for so long.
    #[garde(custom(within(1.0, 3600.0)))]
    pub length_s: f64,
    #[garde(skip)]
    pub seed: u64,
    #[garde(custom(within(1, 512)))]
    pub controllers: u32,
    #[garde(custom(within(1, 1000)))]
    pub streamers: usize,
    /// Weights of streamers, in turn.
    #[garde(length(min = 1))]
    #[serde(default = "ones")]
    pub weights: Vec<f64>,
    /// So many controllers, the first ones, are told the sections `[old NAME]` in place of their like: a move.
    #[garde(skip)]
    #[serde(default)]
    pub old_controllers: u32,
    /// Titles, the cells that hold each (least and most), and how unevenly they are wanted (Zipf's exponent).
    #[garde(custom(within(1, 100_000)))]
    pub titles: u64,
    #[garde(length(equal = 2))]
    pub copies: Vec<u32>,
    #[garde(custom(within(0.0, 3.0)))]
    #[serde(default)]
    pub zipf: f64,
    /// The list's lag behind a process that ends, behind one that falls silent, and behind one that starts, each
    /// least and most.
    /// The accounts of what crossed must match the streamers' own counts within so many in 100; without it they are
    /// only shown.
    #[garde(custom(within_if_given(0.0, 100.0)))]
    pub accounts_within: Option<f64>,
    /// Changes of the list reach each controller late by a part of this, which is that controller's own.
    #[garde(custom(within(0, 60_000)))]
    #[serde(default)]
    pub list_spread_ms: u64,
    #[garde(length(equal = 2))]
    pub list_lag_ms: Vec<u64>,
    #[garde(length(equal = 2))]
    pub silent_lag_ms: Vec<u64>,
    #[garde(length(equal = 2))]
    pub start_lag_ms: Vec<u64>,
}

fn within_if_given(least: f64, most: f64) -> impl FnOnce(&Option<f64>, &()) -> garde::Result {
    move |value, ()| value.as_ref().map_or(Ok(()), |value| within(least, most)(value, &()))
}

fn ones() -> Vec<f64> {
    vec![1.0]
}

/// `[arrivals]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    #[garde(custom(within(0.1, 10_000.0)))]
    pub per_s: f64,
    /// `steady`, `ramp` (from half to one and a half) or `wave` (one period, half more and half less).
    #[garde(custom(one_of(&["steady", "ramp", "wave"])))]
    #[serde(default = "steady")]
    pub shape: String,
    /// The part of viewers that can't use the upper half of the ladder.
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default)]
    pub small_screens: f64,
    /// Whether viewers tell how long they will watch.
    #[garde(skip)]
    #[serde(default)]
    pub hints: bool,
    /// The part that comes again after a break, that honours a time to come back, that asks twice.
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default = "nine_tenths")]
    pub returns: f64,
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default = "seven_tenths")]
    pub honour: f64,
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default)]
    pub impatient: f64,
}

fn steady() -> String {
    "steady".to_owned()
}

fn nine_tenths() -> f64 {
    0.9
}

fn seven_tenths() -> f64 {
    0.7
}

/// `[viewers NAME]`: those of one room type.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    #[garde(custom(within(0.0, 1.0)))]
    pub share: f64,
    #[garde(length(equal = 2))]
    pub life_s: Vec<f64>,
}

/// `[trouble NAME]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    #[garde(custom(one_of(&TROUBLES)))]
    pub kind: String,
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(custom(within(0.0, 3600.0)))]
    pub for_s: f64,
    /// The part of what it strikes: streamers, racks or controllers. For a building, which: 0 is the first.
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default = "whole")]
    pub part: f64,
    /// How strong: a factor, a share of the traffic, or seconds.
    #[garde(custom(within(0.0, 1000.0)))]
    #[serde(default = "whole")]
    pub size: f64,
    /// A second figure where the kind has one: seconds of drain or of being down, or titles of a crowd.
    #[garde(custom(within(0.0, 1000.0)))]
    #[serde(default = "whole")]
    pub extra: f64,
}

fn whole() -> f64 {
    1.0
}

impl Trouble {
    pub fn at(&self) -> Duration {
        Duration::from_secs_f64(self.at_s)
    }

    pub fn span(&self) -> Duration {
        Duration::from_secs_f64(self.for_s)
    }
}

/// A day, checked.
#[derive(Clone, Debug)]
pub struct Day {
    pub course: Course,
    pub arrivals: Arrivals,
    /// By room type, in their order.
    pub kinds: Vec<Kind>,
    pub troubles: Vec<(String, Trouble)>,
    /// Without it controllers know each other by their settings alone.
    pub gossip: Option<GossipDay>,
    /// Without it controllers act on their files for good.
    pub revisions: Option<Script>,
    pub shared: Shared,
    /// The sections that controllers are told, as text.
    pub shared_text: String,
    /// The same for those that run in the old shape.
    pub old_text: String,
}

impl Day {
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&IniFile::read(path)?)
    }

    pub fn of(sheet: &IniFile) -> Result<Self, Faults> {
        sheet.reject_unknown_sections(&[&KINDS[..], &SHARED_SECTIONS].concat())?;
        let shared = Shared::of(sheet)?;
        let (course, arrivals) =
            Faults::combine(sheet.section::<Course>("day"), sheet.section::<Arrivals>("arrivals"))?;
        let mut kinds = Vec::new();
        for (name, _) in &shared.room_types {
            kinds.push(sheet.section::<Kind>(&format!("viewers {name}"))?);
        }
        if let Some(name) = sheet.section_names("viewers").find(|name| shared.room_type(name).is_none()) {
            let why = "there is no room type of this name";
            return Err(sheet.fault(&format!("viewers {name}"), "", "", why).into());
        }
        let mut troubles = Vec::new();
        for name in sheet.section_names("trouble") {
            troubles.push((name.to_owned(), sheet.section::<Trouble>(&format!("trouble {name}"))?));
        }
        let gossip: Option<GossipDay> = sheet.optional_section("gossip")?;
        let revisions = script(sheet)?;
        let shared_text = sheet.copy_sections(&SHARED_SECTIONS);
        let old_text = old_shape(sheet)?;
        Ok(Self { course, arrivals, kinds, troubles, gossip, revisions, shared, shared_text, old_text })
    }

    /// Makes the day so many times as long, and its troubles begin and last in proportion. Viewers live as before.
    pub fn stretch(&mut self, times: f64) {
        let times = times.clamp(0.1, 1000.0);
        self.course.length_s *= times;
        for (_, trouble) in &mut self.troubles {
            trouble.at_s *= times;
            trouble.for_s *= times;
        }
        let Some(script) = &mut self.revisions else { return };
        script.pushes.iter_mut().for_each(|(_, push)| push.at_s *= times);
        script.revokes.iter_mut().for_each(|revoke| revoke.at_s *= times);
        for way in &mut script.ways {
            (way.at_s, way.for_s) = (way.at_s * times, way.for_s * times);
        }
        for process in &mut script.processes {
            (process.at_s, process.for_s) = (process.at_s * times, process.for_s * times);
        }
    }

    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.course.length_s)
    }
}

/// Kinds of sections that a day has beside the shared ones.
const KINDS: [&str; 11] = [
    "day",
    "gossip",
    "revisions",
    "arrivals",
    "viewers",
    "trouble",
    "push",
    "revoke",
    "way",
    "process",
    "old",
];

/// What happens to revisions; nothing where the day has none.
fn script(sheet: &IniFile) -> Result<Option<Script>, Faults> {
    if !sheet.has("revisions") {
        return Ok(None);
    }
    let told = sheet.section("revisions")?;
    if !sheet.has("gossip") {
        return Err(sheet.fault("revisions", "", "", "is taken only beside [gossip]").into());
    }
    let mut pushes = Vec::new();
    for name in sheet.section_names("push") {
        pushes.push((name.to_owned(), sheet.section(&format!("push {name}"))?));
    }
    let revokes = sheet.section_names("revoke").map(|name| sheet.section(&format!("revoke {name}")));
    let revokes = revokes.collect::<Result<_, _>>()?;
    let ways = sheet.section_names("way").map(|name| sheet.section(&format!("way {name}")));
    let processes = sheet.section_names("process").map(|name| sheet.section(&format!("process {name}")));
    let (ways, processes) = (ways.collect::<Result<_, _>>()?, processes.collect::<Result<_, _>>()?);
    Ok(Some(Script { told, pushes, revokes, ways, processes }))
}

/// What controllers of the old shape are told, checked as the rest is: each section `[old NAME]` in place of `[NAME]`.
fn old_shape(sheet: &IniFile) -> Result<String, Faults> {
    let old: Vec<&str> = sheet.section_names("old").collect();
    let kept: Vec<&str> = SHARED_SECTIONS.into_iter().filter(|kind| !old.contains(kind)).collect();
    let text = sheet.copy_sections(&kept) + &sheet.copy_sections(&["old"]).replace("[old ", "[");
    Shared::of(&IniFile::parse("old shape", &text)?)?;
    Ok(text)
}
