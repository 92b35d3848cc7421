//! The section `[distribution]`: how a controller receives the shared sections from control machines.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use badgerledge_distribution::MachineId;
use badgerledge_settings::within;
use garde::Validate;
use serde::Deserialize;

use crate::sections::default_leave_within_s;

/// Maximum number of relays in the settings of one controller.
const MAX_RELAYS: usize = 64;

/// `[distribution]`: this controller watches control machines, from which it receives the shared sections
/// while it runs.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DistributionSection {
    /// The file of the control machines' and authors' public keys; the same at all controllers.
    #[garde(skip)]
    pub ring: PathBuf,
    /// The control machines that serve controllers, in any order: `NUMBER ZONE ADDRESS` each.
    #[garde(length(min = 1, max = MAX_RELAYS), custom(check_unique_relays))]
    pub relays: Vec<RelayAddress>,
    /// The local address of connections to relays; chosen by the system if `None`.
    #[garde(skip)]
    pub from: Option<IpAddr>,
    /// Whether the titles are distributed with the settings: then the catalogue's file applies only until the
    /// first revision, and is not read again. Must be the same at all controllers.
    #[garde(skip)]
    #[serde(default)]
    pub titles: bool,
    /// Whether this controller may keep its old configuration while its region is partitioned, under regional
    /// leases of two control machines, for at most their `apart_s`. Upgrade and configure the control
    /// machines first: they must support it.
    #[garde(skip)]
    #[serde(default)]
    pub apart: bool,
    /// Time in seconds within which subscriptions are moved off streamers that no longer hold their title.
    #[garde(custom(within(0, 3600)))]
    #[serde(default = "default_leave_within_s")]
    pub leave_within_s: u64,
}

/// A control machine that serves controllers: its number, zone and address.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct RelayAddress {
    /// Its number in the ring of control machines.
    pub machine: MachineId,
    /// Its zone; controllers of this zone prefer it.
    pub zone: String,
    /// The address at which it accepts controllers.
    pub at: SocketAddr,
}

impl FromStr for RelayAddress {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let tokens: Vec<&str> = text.split_whitespace().collect();
        let [machine, zone, address] = tokens[..] else {
            return Err("each relay must be NUMBER ZONE ADDRESS");
        };
        let machine = machine.parse().map_err(|_| "the first field must be a control machine's number")?;
        let address = address.parse().map_err(|_| "the last field must be an address with a port")?;
        Ok(Self { machine, zone: zone.to_owned(), at: address })
    }
}

impl TryFrom<String> for RelayAddress {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Rejects a control machine or an address that is given twice.
fn check_unique_relays(relays: &[RelayAddress], (): &()) -> garde::Result {
    let is_duplicate = |(index, relay): (usize, &RelayAddress)| {
        relays[..index].iter().any(|earlier| earlier.machine == relay.machine || earlier.at == relay.at)
    };
    match relays.iter().enumerate().find(|found| is_duplicate(*found)) {
        Some((_, relay)) => Err(garde::Error::new(format!(
            "each control machine and address must be given only once; {} at {} is given twice",
            relay.machine, relay.at
        ))),
        None => Ok(()),
    }
}
