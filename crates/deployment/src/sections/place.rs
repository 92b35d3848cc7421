//! Sections of one controller: its place in the network, and where its settings come from.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerledge_settings::{one_of, within};
use garde::Validate;
use serde::Deserialize;

/// `[controller]`: this controller among the others.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControllerPlace {
    /// Its number among the controllers, from 0.
    #[garde(skip)]
    #[serde(default)]
    pub number: u32,
    #[garde(custom(within(1, 100_000)))]
    pub controllers: u32,
    /// The building that it stands in, one of `zones`.
    #[garde(skip)]
    pub zone: String,
    /// Where viewers connect.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// The list service; without one only the stored list is known.
    #[garde(skip)]
    pub list: Option<SocketAddr>,
    /// Where all controllers take each other's datagrams, by number; this one's own among them.
    #[garde(skip)]
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Where metrics are read, by HTTP GET.
    #[garde(skip)]
    pub metrics: Option<SocketAddr>,
    #[garde(skip)]
    pub catalogue: PathBuf,
    /// The folder of what outlives the process.
    #[garde(skip)]
    pub state: Option<PathBuf>,
    /// Chance starts here; by default from the time of day.
    #[garde(skip)]
    pub seed: Option<u64>,
    /// Subscriptions held at most; fewer where the process may not open so many files.
    #[garde(custom(within(1, 1_000_000)))]
    #[serde(default = "default_subscriptions")]
    pub subscriptions: usize,
    /// A viewer that says nothing for so long is given up (RFC 2326 section 12.37).
    #[garde(custom(within(1, 3600)))]
    #[serde(default = "default_session_timeout")]
    pub session_timeout_s: u64,
    /// A round is made no more often.
    #[garde(custom(within(1, 1000)))]
    #[serde(default = "default_tick")]
    pub tick_ms: u64,
}

/// As many as a process with 20,000 descriptors can hold with room to spare, at two connections each.
fn default_subscriptions() -> usize {
    8000
}

/// The standard's own default.
fn default_session_timeout() -> u64 {
    60
}

/// What the module was tuned at.
fn default_tick() -> u64 {
    10
}

/// `[gossip]`: this controller among the members.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct GossipPlace {
    /// Where its datagrams come in.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Where the others reach it, if that is another address: IPv4.
    #[garde(skip)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of some members, of which one at least should be there when this one starts for the first time.
    #[garde(skip)]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The file of all members' public keys, the same everywhere.
    #[garde(skip)]
    pub ring: PathBuf,
    /// The file of this member's private key, which nobody else may read.
    #[garde(skip)]
    pub key: PathBuf,
    /// Whether strain of streamers is told and listened to, beside lost joins.
    #[garde(skip)]
    #[serde(default)]
    pub strain: bool,
}

/// `[revisions]`: the shared sections are agreed on among the members, and changed while they run.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RevisionsPlace {
    /// What a controller does that hears no keepers. `wait`: it goes on, and a change waits for it. `hold`: it holds new
    /// joins back after a lease, and a change waits a lease at most. To be the same at all.
    #[garde(custom(one_of(&["wait", "hold"])))]
    #[serde(default = "wait")]
    pub regime: String,
    /// Whether positions of lists, and what went off by them, are told to other members.
    #[garde(skip)]
    #[serde(default = "yes")]
    pub lists: bool,
    /// Whether the titles go with the settings: then the catalogue's file counts only until the first revision, and is not
    /// read again. To be the same at all.
    #[garde(skip)]
    #[serde(default)]
    pub catalogue: bool,
    /// Who plays where its title lies no more is moved within this.
    #[garde(custom(within(0, 3600)))]
    #[serde(default = "half_a_minute")]
    pub leave_within_s: u64,
}

/// A few hundred that play leave at some ten a second: what a holder of a title takes in beside its usual joins.
pub const HALF_A_MINUTE: u64 = 30;

pub fn half_a_minute() -> u64 {
    HALF_A_MINUTE
}

fn yes() -> bool {
    true
}

fn wait() -> String {
    "wait".to_owned()
}
