//! The INI file of a control machine, checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use badgerledge_deployment::{entries, kinds};
use badgerledge_distribution::control::{LEAST_APART, MOST_APART};
use badgerledge_distribution::message::MAX_RELAY_BODY_BYTES;
use badgerledge_distribution::state::State;
use badgerledge_distribution::MachineId;
use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_settings::{within, Fault, Faults, Sheet};
use garde::Validate;
use serde::Deserialize;

/// What may wait for one connection holds a longest frame and small ones beside it.
const LEAST_CONNECTION_BYTES: usize = 2 * MAX_RELAY_BODY_BYTES;
const MEGABYTE: usize = 1024 * 1024;

/// `[relay]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RelayPlace {
    /// The number of this control machine, as in the ring.
    #[garde(skip)]
    pub number: MachineId,
    /// Where controllers and operators' tools come in.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Where the other control machines come in.
    #[garde(skip)]
    pub peer_listen: SocketAddr,
    /// The folder of what outlives the process.
    #[garde(skip)]
    pub state: PathBuf,
    /// The file of the control machines' and authors' public keys, the same everywhere.
    #[garde(skip)]
    pub ring: PathBuf,
    /// The file of this machine's private key, which nobody else may read.
    #[garde(skip)]
    pub key: PathBuf,
    /// The file of the first configuration, revision 0, the same everywhere.
    #[garde(skip)]
    pub genesis: PathBuf,
    /// Where metrics are asked for by HTTP; nowhere if it is not given.
    #[garde(skip)]
    pub metrics: Option<SocketAddr>,
    /// Connections of controllers and tools at most.
    #[garde(custom(within(1, 16_384)))]
    #[serde(default = "default_watchers")]
    pub watchers: usize,
    /// Bytes that wait for one controller at most.
    #[garde(custom(within(LEAST_CONNECTION_BYTES, 64 * MEGABYTE)))]
    #[serde(default = "default_watcher_bytes")]
    pub watcher_bytes: usize,
    /// Bytes that wait for or came from all controllers at most.
    #[garde(custom(within(LEAST_CONNECTION_BYTES, 16 * 1024 * MEGABYTE)))]
    #[serde(default = "default_all_watchers_bytes")]
    pub all_watchers_bytes: usize,
    /// Bytes that wait for one control machine at most.
    #[garde(custom(within(LEAST_CONNECTION_BYTES, 64 * MEGABYTE)))]
    #[serde(default = "default_peer_bytes")]
    pub peer_bytes: usize,
    /// How long a region that is cut off from the acceptors goes on under its old configuration, and exclusive changes wait
    /// for it at most, in seconds; 0: it holds back after a lease. To be the same on all control machines.
    #[garde(custom(apart_within))]
    #[serde(default)]
    pub apart_s: u64,
}

fn apart_within(seconds: &u64, (): &()) -> garde::Result {
    let (least, most) = (LEAST_APART.as_secs(), MOST_APART.as_secs());
    if *seconds == 0 || (least..=most).contains(seconds) {
        return Ok(());
    }
    Err(garde::Error::new(format!("0, or {least} to {most} is taken")))
}

/// A zone's 617 controllers, those of a lost neighbour, and some tools.
fn default_watchers() -> usize {
    1500
}

fn default_watcher_bytes() -> usize {
    4 * MEGABYTE
}

fn default_all_watchers_bytes() -> usize {
    512 * MEGABYTE
}

fn default_peer_bytes() -> usize {
    8 * MEGABYTE
}

/// A control machine's file, checked by itself.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    pub place: RelayPlace,
    /// Where each control machine takes the others' streams, its own address among them.
    pub peers: BTreeMap<MachineId, SocketAddr>,
}

/// The settings with all that they name, read and checked.
pub struct Prepared {
    pub settings: RelaySettings,
    pub keys: Keys,
    pub genesis: State,
}

impl RelaySettings {
    /// Reads a file; paths in it are beside it where they are relative.
    ///
    /// # Errors
    /// All that is wrong, each with its file, line and key.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let mut settings = Self::of(&Sheet::read(path)?)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let place = &mut settings.place;
        for named in [&mut place.state, &mut place.ring, &mut place.key, &mut place.genesis] {
            if named.is_relative() {
                *named = folder.join(&*named);
            }
        }
        Ok(settings)
    }

    /// # Errors
    /// All that is wrong, each with its line and key.
    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        sheet.only(&["relay", "peers"])?;
        let (place, peers) = Faults::both(sheet.section::<RelayPlace>("relay"), peers(sheet))?;
        if !peers.contains_key(&place.number) {
            let why = "the address of each control machine is wanted, this one's too";
            return Err(sheet.fault("peers", &place.number.to_string(), "", why).into());
        }
        Ok(Self { place, peers })
    }

    /// Reads the ring, the key and the first configuration.
    ///
    /// # Errors
    /// What is wrong with the first of them that is not in order, or with how they fit together.
    pub fn prepare(self) -> Result<Prepared> {
        let keys = self.read_keys()?;
        let genesis = read_genesis(&self.place.genesis)?;
        Ok(Prepared { settings: self, keys, genesis })
    }

    /// The ring and this machine's key, checked against each other and against the peers.
    ///
    /// # Errors
    /// What is wrong with a file, or how they don't fit.
    pub fn read_keys(&self) -> Result<Keys> {
        let place = &self.place;
        let private = PrivateKey::read(&place.key)?;
        let ring = Ring::read(&place.ring)?;
        let (number, ring_file) = (place.number, place.ring.display());
        if private.role() != Role::Member(number) {
            let (file, role) = (place.key.display(), private.role());
            anyhow::bail!("{file}: the key of {role}, where that of member {number} is wanted");
        }
        if ring.acceptors().is_empty() {
            anyhow::bail!("{ring_file}: it names no acceptors; `badgerledge-keys keepers` does");
        }
        for member in ring.members() {
            if !self.peers.contains_key(member) {
                anyhow::bail!("{ring_file}: member {member} has no address in [peers] of the settings");
            }
        }
        let keys = Keys::new(private, ring);
        keys.with_context(|| format!("{ring_file}: the key of member {number} does not hold there"))
    }
}

/// `[peers]`: the address of each control machine, by its number.
fn peers(sheet: &Sheet) -> Result<BTreeMap<MachineId, SocketAddr>, Faults> {
    let (mut peers, mut faults) = (BTreeMap::new(), Vec::<Fault>::new());
    for (key, value) in sheet.keys("peers") {
        match (key.parse(), value.parse()) {
            (Ok(number), Ok(address)) => {
                peers.insert(number, address);
            }
            (Err(_), _) => {
                faults.push(sheet.fault("peers", key, value, "a key is a control machine's number"))
            }
            (_, Err(_)) => faults.push(sheet.fault("peers", key, value, "an address and a port are taken")),
        }
    }
    if faults.is_empty() {
        Ok(peers)
    } else {
        Err(Faults(faults))
    }
}

/// The state of revision 0.
///
/// # Errors
/// Where the file is not a configuration.
pub fn read_genesis(path: &Path) -> Result<State> {
    let sheet = Sheet::read(path)?;
    let text = kinds::canonical(&sheet);
    let entries = entries::entries_of(&text).with_context(|| path.display().to_string())?;
    State::from_entries(entries).with_context(|| path.display().to_string())
}
