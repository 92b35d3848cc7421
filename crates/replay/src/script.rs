//! What a day says of revisions: pushes by operators, ways between controllers that fail one way or both, processes that are
//! killed, stopped, restarted or lose their disks.

use std::time::Duration;

use badgerledge_settings::{one_of, within};
use badgerledge_ways::LinkFaults;
use garde::Validate;
use serde::Deserialize;

/// `[revisions]` of a day.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RevisionsDay {
    /// So many controllers, the first ones, certify.
    #[garde(custom(within(1, 7)))]
    pub keepers: u16,
    #[garde(custom(one_of(&["wait", "hold"])))]
    pub regime: String,
    /// Whether positions of lists are told to other members.
    #[garde(skip)]
    #[serde(default = "yes")]
    pub lists: bool,
    /// Whether all that run at the end must act on the same revision, none of them held back.
    #[garde(skip)]
    #[serde(default)]
    pub settles: bool,
    /// Whether the titles go with the revisions.
    #[garde(skip)]
    #[serde(default)]
    pub catalogue: bool,
    /// Who plays where its title lies no more is moved within this.
    #[garde(custom(within(0, 3600)))]
    #[serde(default = "ten_seconds")]
    pub leave_within_s: u64,
    /// How many revisions must be acted on by the end.
    #[garde(skip)]
    #[serde(default)]
    pub acted_on: u32,
}

fn yes() -> bool {
    true
}

fn ten_seconds() -> u64 {
    10
}

/// `[push NAME]`: an operator changes one key of the last revision that a controller knows, and pushes that there. A section
/// that is not there comes to be.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PushDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(skip)]
    pub controller: usize,
    #[garde(skip)]
    pub section: String,
    /// Nothing is the section as a whole.
    #[garde(skip)]
    #[serde(default)]
    pub key: String,
    #[garde(skip)]
    #[serde(default)]
    pub value: String,
    /// Further lines of the same text, parted by semicolons: `SECTION: KEY = VALUE`.
    #[garde(skip)]
    pub also: Option<String>,
    /// The key is taken away, or its section.
    #[garde(skip)]
    #[serde(default)]
    pub remove: bool,
    /// Whose key signs it.
    #[garde(custom(within(0, 1)))]
    #[serde(default)]
    pub author: u16,
    /// So many other texts are pushed behind it at once with the same number, each in order by itself: what a stolen key
    /// can do.
    #[garde(custom(within(0, 1000)))]
    #[serde(default)]
    pub flood: u32,
    /// The exit code that it must come to: 0 taken, 2 refused.
    #[garde(skip)]
    pub comes_to: Option<u8>,
}

/// `[revoke NAME]`: an author's key holds no more, by the ring that all read.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RevokeDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(custom(within(0, 1)))]
    pub author: u16,
}

/// `[way NAME]`: how what goes from some controllers to others fares for a while. Ends are numbers, `zone NAME`, `keepers`,
/// `others` (all that are not), `revision N` (all that act on it then), `build own` or `build other`, `part P` (so much of all,
/// drawn by the day's seed) or `all`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct WayDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(custom(within(0.0, 3600.0)))]
    pub for_s: f64,
    #[garde(skip)]
    pub from: Vec<String>,
    #[garde(skip)]
    pub to: Vec<String>,
    /// The way back too.
    #[garde(skip)]
    #[serde(default)]
    pub both: bool,
    #[garde(skip)]
    #[serde(default)]
    pub cut: bool,
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default)]
    pub loss: f64,
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default)]
    pub doubled: f64,
    #[garde(custom(within(0, 60_000)))]
    #[serde(default)]
    pub late_ms: u64,
    #[garde(custom(within(0, 60_000)))]
    #[serde(default)]
    pub spread_ms: u64,
    /// Bytes a second of a stream; 0 is as fast as it comes.
    #[garde(skip)]
    #[serde(default)]
    pub slow: u64,
    #[garde(skip)]
    #[serde(default)]
    pub reset: bool,
    #[garde(skip)]
    #[serde(default)]
    pub half_open: bool,
}

impl WayDay {
    pub fn way(&self) -> LinkFaults {
        LinkFaults {
            blocked: self.cut,
            loss_probability: self.loss,
            duplicate_probability: self.doubled,
            delay: Duration::from_millis(self.late_ms),
            max_jitter: Duration::from_millis(self.spread_ms),
            max_bytes_per_s: Some(self.slow).filter(|slow| *slow > 0),
            reset_streams: self.reset,
            half_open: self.half_open,
        }
    }
}

/// `[process NAME]`: what happens to controllers, named as the ends of a way are, when it happens: `kill` outright, `stop`
/// as a machine does that hangs, `restart` in order. After the time they go on, or are started anew.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ProcessDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(custom(within(0.0, 3600.0)))]
    pub for_s: f64,
    #[garde(length(min = 1))]
    pub controllers: Vec<String>,
    #[garde(custom(one_of(&["kill", "stop", "restart"])))]
    pub what: String,
    /// Killed, they also lose what they stored.
    #[garde(skip)]
    #[serde(default)]
    pub without_disk: bool,
    /// The build that they are started with: `own`, or `other`, which is the program that the day is played with beside
    /// its own. Nothing is the one that they had.
    #[garde(custom(one_of_if_given(&["own", "other"])))]
    pub build: Option<String>,
    /// A line that their files have from then on in a section: `SECTION: KEY = VALUE`.
    #[garde(skip)]
    pub file: Option<String>,
}

fn one_of_if_given(all: &'static [&'static str]) -> impl FnOnce(&Option<String>, &()) -> garde::Result {
    move |value, ()| value.as_ref().map_or(Ok(()), |value| one_of(all)(value, &()))
}

/// All of a day.
#[derive(Clone, Debug)]
pub struct Script {
    pub told: RevisionsDay,
    pub pushes: Vec<(String, PushDay)>,
    pub revokes: Vec<RevokeDay>,
    pub ways: Vec<WayDay>,
    pub processes: Vec<ProcessDay>,
}

impl Script {
    /// Whether ends are named by the revision that they act on.
    pub fn names_revisions(&self) -> bool {
        let ends = self.ways.iter().flat_map(|way| way.from.iter().chain(&way.to));
        ends.chain(self.processes.iter().flat_map(|process| &process.controllers))
            .any(|name| name.starts_with("revision "))
    }
}
