//! Sections that all controllers of a deployment share.

use badgerledge_settings::{each_within, one_of, within};
use garde::Validate;
use serde::Deserialize;

/// `[fleet]`: what is told of the streamers.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Buildings, by name.
    #[garde(length(min = 1))]
    pub zones: Vec<String>,
    /// Kinds of streamers, by name, and streams that each runs at most.
    #[garde(length(min = 1))]
    pub kinds: Vec<String>,
    #[garde(custom(each_within(1.0, 1e6)))]
    pub kind_streams: Vec<f64>,
    /// Cells in all; a title lies on some in a row.
    #[garde(custom(within(1, 65_535)))]
    pub cells: u32,
    #[garde(custom(within(1, 65_535)))]
    pub racks: u32,
    /// The link of a streamer for each unit of its weight, kB a second; of the usual one where weights say nothing.
    #[garde(custom(within(1.0, 1e9)))]
    pub link_unit_kb: f64,
    /// All links together at the start, kB a second. Told on, but no decision rests on it.
    #[garde(custom(within(1.0, 1e12)))]
    pub links_kb: f64,
    /// The mean uplink of a rack, kB a second.
    #[garde(custom(within(1.0, 1e12)))]
    pub uplink_kb: f64,
    /// What the list's weights mean.
    #[garde(custom(one_of(&["none", "nominal", "rough", "live"])))]
    #[serde(default = "nominal")]
    pub weights: String,
    /// The values of a load report, in order; none where streamers report nothing.
    #[garde(inner(custom(one_of(&["rif", "q", "busy", "lat_ms", "rate", "fail_rate", "x0", "x1"]))))]
    #[serde(default)]
    pub report: Vec<String>,
    /// Where reports come: in `answers` and probes' results, with notes of how full links are; or by `probe` alone.
    #[garde(custom(one_of(&["answers", "probe"])))]
    #[serde(default = "answers")]
    pub report_how: String,
    /// How late notes are, and the time between notes of how full a link is, 0 for none.
    #[garde(custom(within(0, 60_000)))]
    #[serde(default = "one_second")]
    pub told_late_ms: u64,
    #[garde(custom(within(0, 600_000)))]
    #[serde(default = "three_seconds")]
    pub told_every_ms: u64,
    /// `automatic`: the list service tells changes by itself. `subscribe`: only when asked.
    #[garde(custom(one_of(&["automatic", "subscribe"])))]
    #[serde(default = "automatic")]
    pub discovery: String,
}

impl Fleet {
    /// The time between notes of how full a link is: none come where streamers report to probes alone.
    pub fn told_every(&self) -> u64 {
        if self.by_probe() {
            0
        } else {
            self.told_every_ms
        }
    }

    pub fn by_probe(&self) -> bool {
        self.report_how == "probe"
    }
}

fn nominal() -> String {
    "nominal".to_owned()
}

fn answers() -> String {
    "answers".to_owned()
}

fn automatic() -> String {
    "automatic".to_owned()
}

fn one_second() -> u64 {
    1000
}

fn three_seconds() -> u64 {
    3000
}

/// `[ladder]`: the rungs.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Ladder {
    /// The rate of each rung, kB a second, rising.
    #[garde(custom(each_within(0.1, 1e7)), length(max = 32))]
    pub rates_kb: Vec<f64>,
    /// What a second at each rung earns, of the room type's benefit.
    #[garde(custom(each_within(0.0, 1.0)))]
    pub benefit: Vec<f64>,
    /// A change of rung while playing costs so many seconds of benefit.
    #[garde(custom(within(0.0, 60.0)))]
    #[serde(default)]
    pub switch_cost_s: f64,
    /// Points of benefit lost for each point of the rate that is missing under 98 in 100.
    #[garde(custom(within(0.0, 100.0)))]
    #[serde(default = "five")]
    pub stall: f64,
}

fn five() -> f64 {
    5.0
}

/// `[room_type NAME]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RoomType {
    #[garde(custom(within(1, 60_000)))]
    pub join_objective_ms: u64,
    /// Taken for viewers that name no wait of their own.
    #[garde(custom(within(1, 60_000)))]
    pub client_timeout_ms: u64,
    #[garde(custom(within(0.0, 1e6)))]
    pub benefit: f64,
    /// Whether a set-up may be sent again: `free`, `guarded` (within a group and a window) or `single_shot`.
    #[garde(custom(one_of(&["free", "guarded", "single_shot"])))]
    #[serde(default = "free")]
    pub set_up_again: String,
    #[garde(custom(one_of(&["all", "zone", "cell"])))]
    #[serde(default = "all")]
    pub group: String,
    #[garde(custom(within(0, 600_000)))]
    #[serde(default = "five_seconds")]
    pub window_ms: u64,
    /// Its rates over those of the ladder.
    #[garde(custom(within(0.01, 100.0)))]
    #[serde(default = "one")]
    pub scale: f64,
    #[garde(skip)]
    #[serde(default)]
    pub floor: u8,
    /// The highest rung; the ladder's where not given.
    #[garde(skip)]
    pub top: Option<u8>,
    /// Subscriptions of one title that a controller may hold; 0 is no bound.
    #[garde(custom(within(0, 1_000_000)))]
    #[serde(default)]
    pub seats: u32,
    #[garde(skip)]
    #[serde(default)]
    pub live: bool,
}

fn free() -> String {
    "free".to_owned()
}

fn all() -> String {
    "all".to_owned()
}

fn five_seconds() -> u64 {
    5000
}

fn one() -> f64 {
    1.0
}

/// `[rules]`: the figures of the six rules.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Nothing new goes to a draining or gone streamer this long after it was told.
    #[garde(custom(within(0, 60_000)))]
    pub drain_grace_ms: u64,
    /// A started streamer is warm after this, from this share of its capacity up; 0 is no such rule.
    #[garde(custom(within(0, 3_600_000)))]
    pub warm_up_ms: u64,
    #[garde(custom(within(0.01, 1.0)))]
    pub cold_from: f64,
    /// It falls over when sent more than this multiple of its pace for this long.
    #[garde(custom(within(1.0, 100.0)))]
    pub tip_multiple: f64,
    #[garde(custom(within(0, 600_000)))]
    pub tip_after_ms: u64,
    /// The join budget: so many further joins, and such a share of those taken, in each window; 0 is no budget.
    #[garde(custom(within(0, 3_600_000)))]
    pub budget_window_ms: u64,
    #[garde(custom(within(0, 1_000_000)))]
    pub budget_few: u32,
    #[garde(custom(within(0.0, 100.0)))]
    pub budget_share: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 500,
            warm_up_ms: 0,
            cold_from: 1.0,
            tip_multiple: 2.0,
            tip_after_ms: 0,
            budget_window_ms: 0,
            budget_few: 0,
            budget_share: 0.0,
        }
    }
}

/// `[permissions]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Permissions {
    #[garde(skip)]
    pub probes: bool,
    #[garde(skip)]
    pub peers: bool,
    #[garde(skip)]
    pub retry_after: bool,
    /// The longest time to stay away that is named to a viewer.
    #[garde(custom(within(0, 600_000)))]
    pub max_retry_after_ms: u64,
    #[garde(custom(within(1, 100)))]
    pub joins: u32,
    #[garde(custom(within(1, 60_000)))]
    pub connect_timeout_ms: u64,
}

impl Default for Permissions {
    fn default() -> Self {
        Self {
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after_ms: 2000,
            joins: 3,
            connect_timeout_ms: 250,
        }
    }
}

/// `[prices]`: points of service, as the module weighs them.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Of a subscription moved.
    #[garde(custom(within(0.0, 10.0)))]
    pub moves: f64,
    /// Of a probe, for each subscription; own streamers are looked at where that pays.
    #[garde(custom(within(0.0, 10.0)))]
    pub probe: f64,
    /// Of a join to another building.
    #[garde(custom(within(0.0, 10.0)))]
    pub crossing: f64,
}

/// `[crossing]`: a budget for what crosses between buildings, for all controllers together.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Crossing {
    /// kB a second, over any time.
    #[garde(custom(within(0.001, 1e12)))]
    pub rate_kb_s: f64,
    /// kB over that, in any window.
    #[garde(custom(within(0.0, 1e12)))]
    pub burst_kb: f64,
    /// `all`: for what crosses in all. `pair`: for each pair of buildings and direction by itself.
    #[garde(custom(one_of(&["all", "pair"])))]
    #[serde(default = "all")]
    pub per: String,
}
