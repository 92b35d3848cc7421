//! The sections that belong to one controller: its addresses and files, its gossip, and the source of
//! revisions.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerledge_settings::{one_of, within};
use garde::Validate;
use serde::Deserialize;

/// `[controller]`: identity, addresses, files and limits of this controller.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControllerSection {
    /// Its number among the controllers, from 0.
    #[garde(skip)]
    #[serde(default)]
    pub number: u32,
    /// Number of controllers in the deployment.
    #[garde(custom(within(1, 100_000)))]
    pub controllers: u32,
    /// The zone that it runs in, one of `zones` in `[fleet]`.
    #[garde(skip)]
    pub zone: String,
    /// The address that viewers connect to.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// The address of the list service; without one only the stored list of streamers is used.
    #[garde(skip)]
    pub list: Option<SocketAddr>,
    /// The addresses on which controllers receive each other's datagrams, by number, including this
    /// controller's own.
    #[garde(skip)]
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The address at which metrics are served over HTTP GET.
    #[garde(skip)]
    pub metrics: Option<SocketAddr>,
    /// The file of the catalogue of titles.
    #[garde(skip)]
    pub catalogue: PathBuf,
    /// The folder for state that persists across restarts.
    #[garde(skip)]
    pub state: Option<PathBuf>,
    /// Seed of the random numbers; by default taken from the time of day.
    #[garde(skip)]
    pub seed: Option<u64>,
    /// Maximum number of subscriptions held; lower if the process may not open enough file descriptors.
    #[garde(custom(within(1, 1_000_000)))]
    #[serde(default = "default_subscriptions")]
    pub subscriptions: usize,
    /// A viewer that sends nothing for this long is disconnected (RFC 2326 section 12.37).
    #[garde(custom(within(1, 3600)))]
    #[serde(default = "default_session_timeout_s")]
    pub session_timeout_s: u64,
    /// Shortest time between two decision rounds.
    #[garde(custom(within(1, 1000)))]
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
}

/// As many as a process with 20,000 file descriptors can hold with room to spare, at two connections each.
fn default_subscriptions() -> usize {
    8000
}

/// The default of RFC 2326.
fn default_session_timeout_s() -> u64 {
    60
}

/// The tick that the core module is designed for.
fn default_tick_ms() -> u64 {
    10
}

/// `[gossip]`: this controller as a member of the gossip group.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct GossipSection {
    /// The address on which it receives datagrams.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// The IPv4 address under which other members reach it, if it differs from `listen`.
    #[garde(skip)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of some members; at least one of them should be up when this member starts for the first
    /// time.
    #[garde(skip)]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The file of all members' public keys; the same at all members.
    #[garde(skip)]
    pub ring: PathBuf,
    /// The file of this member's private key, readable by its owner only.
    #[garde(skip)]
    pub key: PathBuf,
    /// Whether members also exchange reports of overloaded streamers, besides lost joins.
    #[garde(skip)]
    #[serde(default)]
    pub strain: bool,
}

/// `[revisions]`: the members agree on revisions of the shared sections, which change while they run.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RevisionsSection {
    /// What a controller does that cannot reach the acceptors. `wait`: it continues, and a change waits for
    /// it. `hold`: it stops admitting new joins when its lease expires, and a change waits at most one lease.
    /// Must be the same at all members.
    #[garde(custom(one_of(&["wait", "hold"])))]
    #[serde(default = "default_regime")]
    pub regime: String,
    /// Whether members exchange their positions in the list of streamers, and the streamers that were removed
    /// by it.
    #[garde(skip)]
    #[serde(default = "enabled")]
    pub lists: bool,
    /// Whether the titles are revised with the settings: then the catalogue's file applies only until the
    /// first revision, and is not read again. Must be the same at all members.
    #[garde(skip)]
    #[serde(default)]
    pub catalogue: bool,
    /// Time in seconds within which subscriptions are moved off streamers that no longer hold their title.
    #[garde(custom(within(0, 3600)))]
    #[serde(default = "default_leave_within_s")]
    pub leave_within_s: u64,
}

/// In this time a few hundred playing subscriptions move at some ten a second, which a holder of the title
/// can admit beside its usual joins.
pub const DEFAULT_LEAVE_WITHIN_S: u64 = 30;

/// Serde's default of the keys `leave_within_s`.
pub fn default_leave_within_s() -> u64 {
    DEFAULT_LEAVE_WITHIN_S
}

fn enabled() -> bool {
    true
}

fn default_regime() -> String {
    "wait".to_owned()
}
