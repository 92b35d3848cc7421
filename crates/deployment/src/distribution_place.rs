//! `[distribution]`: the shared sections come from control machines, and change while controllers run.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use badgerledge_distribution::MachineId;
use badgerledge_settings::within;
use garde::Validate;
use serde::Deserialize;

use crate::sections::half_a_minute;

/// Relays of one controller at most.
const MOST_RELAYS: usize = 64;

/// `[distribution]`: this controller as a watcher of the control machines.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DistributionPlace {
    /// The file of the control machines' and authors' public keys, the same everywhere.
    #[garde(skip)]
    pub ring: PathBuf,
    /// The control machines that serve controllers, in any order: `NUMBER ZONE ADDRESS` each.
    #[garde(length(min = 1, max = MOST_RELAYS), custom(each_machine_once))]
    pub relays: Vec<RelayPlace>,
    /// The address of this machine that connections to relays go out from; any where none is named.
    #[garde(skip)]
    pub from: Option<IpAddr>,
    /// Whether the titles go with the settings: then the catalogue's file counts only until the first revision, and is not
    /// read again. To be the same at all.
    #[garde(skip)]
    #[serde(default)]
    pub titles: bool,
    /// Whether this controller goes on under its old configuration while its region is cut off, as long as two control machines
    /// vouch for it: as long as their `apart_s` says. Control machines must know of it: their build and setting come first.
    #[garde(skip)]
    #[serde(default)]
    pub apart: bool,
    /// Who plays where its title lies no more is moved within this.
    #[garde(custom(within(0, 3600)))]
    #[serde(default = "half_a_minute")]
    pub leave_within_s: u64,
}

/// Where a control machine serves controllers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct RelayPlace {
    /// Its number in the control machines' ring.
    pub machine: MachineId,
    /// Controllers of this zone prefer it.
    pub zone: String,
    pub at: SocketAddr,
}

impl FromStr for RelayPlace {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [machine, zone, at] = words[..] else { return Err("NUMBER ZONE ADDRESS is taken for each") };
        let machine = machine.parse().map_err(|_| "a control machine's number is taken first")?;
        let at = at.parse().map_err(|_| "an address with a port is taken last")?;
        Ok(Self { machine, zone: zone.to_owned(), at })
    }
}

impl TryFrom<String> for RelayPlace {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

fn each_machine_once(relays: &[RelayPlace], (): &()) -> garde::Result {
    let twice = |(at, relay): (usize, &RelayPlace)| {
        relays[..at].iter().any(|before| before.machine == relay.machine || before.at == relay.at)
    };
    match relays.iter().enumerate().find(|found| twice(*found)) {
        Some((_, relay)) => Err(garde::Error::new(format!(
            "each control machine and address once; {} at {} is given twice",
            relay.machine, relay.at
        ))),
        None => Ok(()),
    }
}
