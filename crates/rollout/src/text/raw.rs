//! `[rollout]` as it stands in a file, with the defaults of keys that are not given.

use badgerledge_settings::{each_within, one_of, within};
use garde::Validate;
use serde::Deserialize;

use crate::plan::Member;

/// An hour; no restart takes so long, and nothing settles for longer.
const LONGEST_S: u64 = 3600;
/// Never reached: an epoch is raised by one at a time, and can always be raised once more.
const HIGHEST_EPOCH: u64 = 1 << 62;
/// A day.
const LONGEST_STAGE_S: f64 = 86_400.0;

/// `[rollout]` as it stands.
#[derive(Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    #[garde(custom(within(1, u32::MAX)))]
    pub plan: u32,
    #[garde(skip)]
    pub program: Option<String>,
    #[garde(skip)]
    #[serde(default)]
    pub wire: Vec<u8>,
    #[garde(length(min = 1))]
    pub fleet: Vec<String>,
    #[garde(skip)]
    #[serde(default)]
    pub last: Vec<Member>,
    #[garde(custom(each_within(0.0, 1.0)))]
    pub shares: Vec<f64>,
    #[garde(custom(each_within(1.0, LONGEST_STAGE_S)))]
    pub at_least_s: Vec<f64>,
    #[garde(custom(within(1, u16::MAX)))]
    #[serde(default = "one")]
    pub at_once: u16,
    #[garde(inner(custom(within(0.0, 1.0))))]
    pub at_once_share: Option<f64>,
    #[garde(custom(within(1, LONGEST_S)))]
    #[serde(default = "half_a_minute")]
    pub ready_within_s: u64,
    #[garde(inner(custom(within(0, LONGEST_S))))]
    pub settle_s: Option<u64>,
    #[garde(custom(within(1, LONGEST_S)))]
    #[serde(default = "ten_seconds")]
    pub silent_after_s: u64,
    #[garde(custom(within(0.0, 0.5)))]
    #[serde(default = "one_in_ten")]
    pub silent_share: f64,
    #[garde(length(min = 1))]
    pub harm: Vec<String>,
    #[garde(skip)]
    #[serde(default)]
    pub usual: Vec<String>,
    #[garde(custom(within(0.000_001, 0.5)))]
    #[serde(default = "one_in_a_hundred")]
    pub alpha: f64,
    #[garde(custom(within(1, 1000)))]
    #[serde(default = "two")]
    pub restarts: u32,
    #[garde(custom(one_of(&["back", "wait"])))]
    #[serde(default = "back")]
    pub after_stop: String,
    #[garde(inner(custom(within(1, HIGHEST_EPOCH))))]
    pub epoch: Option<u64>,
    #[garde(inner(custom(one_of(&["running", "paused", "stopped", "going_back", "back", "done"]))))]
    pub status: Option<String>,
    #[garde(skip)]
    pub stage: Option<usize>,
    #[garde(skip)]
    pub wave: Option<u32>,
    #[garde(skip)]
    pub back_wave: Option<u32>,
    #[garde(inner(custom(one_of(&["paced", "quick"]))))]
    pub pace: Option<String>,
    #[garde(skip)]
    pub since: Option<u64>,
    #[garde(skip)]
    pub why: Option<String>,
}

fn one() -> u16 {
    1
}

fn half_a_minute() -> u64 {
    30
}

fn ten_seconds() -> u64 {
    10
}

fn one_in_ten() -> f64 {
    0.1
}

fn one_in_a_hundred() -> f64 {
    0.01
}

fn two() -> u32 {
    2
}

fn back() -> String {
    "back".to_owned()
}
