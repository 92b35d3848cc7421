//! The sections that all controllers of a deployment share: fleet, ladder, room types, rules, permissions,
//! prices and the crossing budget.

use badgerledge_settings::{each_within, one_of, within};
use garde::Validate;
use serde::Deserialize;

/// `[fleet]`: zones, kinds, capacity and load reports of the streamers.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones (buildings).
    #[garde(length(min = 1))]
    pub zones: Vec<String>,
    /// Names of the kinds of streamers.
    #[garde(length(min = 1))]
    pub kinds: Vec<String>,
    /// Maximum number of streams that a streamer of each kind runs, in the order of `kinds`.
    #[garde(custom(each_within(1.0, 1e6)))]
    pub kind_streams: Vec<f64>,
    /// Total number of cells; a title is stored on some consecutive cells.
    #[garde(custom(within(1, 65_535)))]
    pub cells: u32,
    /// Total number of racks.
    #[garde(custom(within(1, 65_535)))]
    pub racks: u32,
    /// Capacity of a streamer's link per unit of its weight, in kB/s; of a typical streamer if weights carry
    /// no meaning.
    #[garde(custom(within(1.0, 1e9)))]
    pub link_unit_kb: f64,
    /// Capacity of all links together at the start, in kB/s. Passed on to the core module; no decision
    /// depends on it.
    #[garde(custom(within(1.0, 1e12)))]
    pub links_kb: f64,
    /// Mean capacity of a rack's uplink, in kB/s.
    #[garde(custom(within(1.0, 1e12)))]
    pub uplink_kb: f64,
    /// The meaning of the weights in the list of streamers.
    #[garde(custom(one_of(&["none", "nominal", "rough", "live"])))]
    #[serde(default = "default_weights")]
    pub weights: String,
    /// The values of a load report, in order; empty if streamers report nothing.
    #[garde(inner(custom(one_of(&["rif", "q", "busy", "lat_ms", "rate", "fail_rate", "x0", "x1"]))))]
    #[serde(default)]
    pub report: Vec<String>,
    /// How load reports arrive. `answers`: in answers to joins and in probe results, with periodic reports of
    /// link use. `probe`: in probe results only.
    #[garde(custom(one_of(&["answers", "probe"])))]
    #[serde(default = "default_report_how")]
    pub report_how: String,
    /// Delay of progress reports.
    #[garde(custom(within(0, 60_000)))]
    #[serde(default = "default_told_late_ms")]
    pub told_late_ms: u64,
    /// Interval between reports of link use; 0 if there are none.
    #[garde(custom(within(0, 600_000)))]
    #[serde(default = "default_told_every_ms")]
    pub told_every_ms: u64,
    /// `automatic`: the list service sends changes unrequested. `subscribe`: only on request.
    #[garde(custom(one_of(&["automatic", "subscribe"])))]
    #[serde(default = "default_discovery")]
    pub discovery: String,
}

impl Fleet {
    /// Interval in milliseconds between reports of link use; 0 if load is reported in probe results only.
    pub fn link_report_interval_ms(&self) -> u64 {
        if self.reports_by_probe_only() {
            0
        } else {
            self.told_every_ms
        }
    }

    /// Whether load reports arrive in probe results only.
    pub fn reports_by_probe_only(&self) -> bool {
        self.report_how == "probe"
    }
}

fn default_weights() -> String {
    "nominal".to_owned()
}

fn default_report_how() -> String {
    "answers".to_owned()
}

fn default_discovery() -> String {
    "automatic".to_owned()
}

fn default_told_late_ms() -> u64 {
    1000
}

fn default_told_every_ms() -> u64 {
    3000
}

/// `[ladder]`: the rungs and what they earn.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Ladder {
    /// The rate of each rung in kB/s, ascending.
    #[garde(custom(each_within(0.1, 1e7)), length(max = 32))]
    pub rates_kb: Vec<f64>,
    /// The fraction of the room type's benefit that a second at each rung earns.
    #[garde(custom(each_within(0.0, 1.0)))]
    pub benefit: Vec<f64>,
    /// Cost of a change of rung while playing, in seconds of benefit.
    #[garde(custom(within(0.0, 60.0)))]
    #[serde(default)]
    pub switch_cost_s: f64,
    /// Percentage points of benefit lost for each percentage point by which the delivered rate is below 98 %.
    #[garde(custom(within(0.0, 100.0)))]
    #[serde(default = "default_stall")]
    pub stall: f64,
}

fn default_stall() -> f64 {
    5.0
}

/// `[room_type NAME]`: deadlines, benefit, rungs and limits of the subscriptions of one room type.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RoomType {
    /// Time within which a join should be answered.
    #[garde(custom(within(1, 60_000)))]
    pub join_objective_ms: u64,
    /// Client timeout of viewers that do not send their own.
    #[garde(custom(within(1, 60_000)))]
    pub client_timeout_ms: u64,
    /// Benefit of a subscription of this type.
    #[garde(custom(within(0.0, 1e6)))]
    pub benefit: f64,
    /// Whether a SETUP may be sent again: `free`, `guarded` (only within `group` and `window_ms`) or
    /// `single_shot`.
    #[garde(custom(one_of(&["free", "guarded", "single_shot"])))]
    #[serde(default = "default_set_up_again")]
    pub set_up_again: String,
    /// The streamers to which a `guarded` SETUP may be sent again: all, or those of the same zone or cell.
    #[garde(custom(one_of(&["all", "zone", "cell"])))]
    #[serde(default = "all")]
    pub group: String,
    /// Time within which a `guarded` SETUP may be sent again.
    #[garde(custom(within(0, 600_000)))]
    #[serde(default = "default_window_ms")]
    pub window_ms: u64,
    /// Factor by which its rates exceed those of the ladder.
    #[garde(custom(within(0.01, 100.0)))]
    #[serde(default = "default_scale")]
    pub scale: f64,
    /// The lowest rung.
    #[garde(skip)]
    #[serde(default)]
    pub floor: u8,
    /// The highest rung; that of the ladder if not given.
    #[garde(skip)]
    pub top: Option<u8>,
    /// Maximum number of subscriptions of one title that a controller may hold; 0 for no limit.
    #[garde(custom(within(0, 1_000_000)))]
    #[serde(default)]
    pub seats: u32,
    /// Whether its titles are live.
    #[garde(skip)]
    #[serde(default)]
    pub live: bool,
}

fn default_set_up_again() -> String {
    "free".to_owned()
}

/// The default of `group` in `[room_type NAME]` and of `per` in `[crossing]`.
fn all() -> String {
    "all".to_owned()
}

fn default_window_ms() -> u64 {
    5000
}

fn default_scale() -> f64 {
    1.0
}

/// `[rules]`: the limits of the six rules.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// From this time after the report that a streamer is draining or removed, no new subscription is sent to
    /// it.
    #[garde(custom(within(0, 60_000)))]
    pub drain_grace_ms: u64,
    /// Time after which a started streamer is warm; 0 disables the rule.
    #[garde(custom(within(0, 3_600_000)))]
    pub warm_up_ms: u64,
    /// Fraction of its capacity that a streamer has when it starts.
    #[garde(custom(within(0.01, 1.0)))]
    pub cold_from: f64,
    /// A streamer fails from overload if it receives more than this multiple of its pace for `tip_after_ms`.
    #[garde(custom(within(1.0, 100.0)))]
    pub tip_multiple: f64,
    /// Time that a streamer withstands the overload of `tip_multiple`.
    #[garde(custom(within(0, 600_000)))]
    pub tip_after_ms: u64,
    /// Window of the budget for further joins; 0 disables the budget.
    #[garde(custom(within(0, 3_600_000)))]
    pub budget_window_ms: u64,
    /// Number of further joins that are always permitted in a window.
    #[garde(custom(within(0, 1_000_000)))]
    pub budget_few: u32,
    /// Further joins permitted in a window beyond `budget_few`, as a fraction of the subscriptions admitted
    /// in it.
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

/// `[permissions]`: what controllers may do, and the limits of it.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Permissions {
    /// Whether controllers may probe streamers.
    #[garde(skip)]
    pub probes: bool,
    /// Whether controllers may send messages to each other.
    #[garde(skip)]
    pub peers: bool,
    /// Whether a throttled viewer may be sent a time after which to retry.
    #[garde(skip)]
    pub retry_after: bool,
    /// Longest retry time that is sent to a viewer.
    #[garde(custom(within(0, 600_000)))]
    pub max_retry_after_ms: u64,
    /// Maximum number of joins of one subscription.
    #[garde(custom(within(1, 100)))]
    pub joins: u32,
    /// Timeout of connecting to a streamer.
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

/// `[prices]`: costs of actions in points of service, which the core module weighs against benefit.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Cost of moving a subscription.
    #[garde(custom(within(0.0, 10.0)))]
    pub moves: f64,
    /// Cost of a probe per subscription; own streamers are probed if the expected gain exceeds it.
    #[garde(custom(within(0.0, 10.0)))]
    pub probe: f64,
    /// Cost of a join to another zone.
    #[garde(custom(within(0.0, 10.0)))]
    pub crossing: f64,
}

/// `[crossing]`: a budget for traffic between zones, for all controllers together.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Crossing {
    /// Sustained rate in kB/s.
    #[garde(custom(within(0.001, 1e12)))]
    pub rate_kb_s: f64,
    /// Traffic in kB permitted beyond the sustained rate in any window.
    #[garde(custom(within(0.0, 1e12)))]
    pub burst_kb: f64,
    /// `all`: one budget for all traffic between zones. `pair`: one for each ordered pair of zones.
    #[garde(custom(one_of(&["all", "pair"])))]
    #[serde(default = "all")]
    pub per: String,
}
