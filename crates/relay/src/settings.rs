//! Reads and validates the INI file of a control machine, and loads the files that it names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use badgerledge_deployment::{entries, kinds};
use badgerledge_distribution::control::{MAX_PARTITION, MIN_PARTITION};
use badgerledge_distribution::message::MAX_RELAY_BODY_BYTES;
use badgerledge_distribution::state::State;
use badgerledge_distribution::MachineId;
use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_settings::{within, Fault, Faults, IniFile};
use garde::Validate;
use serde::Deserialize;

/// Minimum output buffer of a connection: room for a frame of the maximum size and small ones besides.
const MIN_CONNECTION_BYTES: usize = 2 * MAX_RELAY_BODY_BYTES;
const MEGABYTE: usize = 1024 * 1024;

/// Section `[relay]`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RelayPlace {
    /// The number of this control machine, as in the ring.
    #[garde(skip)]
    pub number: MachineId,
    /// Address that controllers and operators' tools connect to.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address that the other control machines connect to.
    #[garde(skip)]
    pub peer_listen: SocketAddr,
    /// Folder of the durable state.
    #[garde(skip)]
    pub state: PathBuf,
    /// File of the public keys of control machines and authors; the same on all control machines.
    #[garde(skip)]
    pub ring: PathBuf,
    /// File of this machine's private key; only its owner may have access.
    #[garde(skip)]
    pub key: PathBuf,
    /// File of the first configuration, revision 0; the same on all control machines.
    #[garde(skip)]
    pub genesis: PathBuf,
    /// Address that serves metrics by HTTP; none if absent.
    #[garde(skip)]
    pub metrics: Option<SocketAddr>,
    /// Maximum number of connections of controllers and tools.
    #[garde(custom(within(1, 16_384)))]
    #[serde(default = "default_watchers")]
    pub watchers: usize,
    /// Maximum number of output bytes buffered for one controller.
    #[garde(custom(within(MIN_CONNECTION_BYTES, 64 * MEGABYTE)))]
    #[serde(default = "default_watcher_bytes")]
    pub watcher_bytes: usize,
    /// Maximum number of input and output bytes buffered for all controllers.
    #[garde(custom(within(MIN_CONNECTION_BYTES, 16 * 1024 * MEGABYTE)))]
    #[serde(default = "default_all_watchers_bytes")]
    pub all_watchers_bytes: usize,
    /// Maximum number of output bytes buffered for one control machine.
    #[garde(custom(within(MIN_CONNECTION_BYTES, 64 * MEGABYTE)))]
    #[serde(default = "default_peer_bytes")]
    pub peer_bytes: usize,
    /// How long a region that is cut off from the acceptors keeps acting on its old configuration, in seconds; also the
    /// longest time that exclusive changes wait for it. With 0, it holds back new joins once its lease has expired. Must be
    /// the same on all control machines.
    #[garde(custom(check_apart_s))]
    #[serde(default)]
    pub apart_s: u64,
}

/// Accepts 0 and the range that the protocol allows.
fn check_apart_s(seconds: &u64, (): &()) -> garde::Result {
    let (min, max) = (MIN_PARTITION.as_secs(), MAX_PARTITION.as_secs());
    if *seconds == 0 || (min..=max).contains(seconds) {
        return Ok(());
    }
    Err(garde::Error::new(format!("0, or {min} to {max} is taken")))
}

/// Enough for the 617 controllers of a zone, those of a failed neighbouring zone, and some tools.
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

/// A control machine's settings file. The files that it names are not read yet.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Section `[relay]`.
    pub place: RelayPlace,
    /// Section `[peers]`: the address that each control machine, including this one, accepts peers' streams at.
    pub peers: BTreeMap<MachineId, SocketAddr>,
}

/// The settings with the content of the files that they name.
pub struct LoadedSettings {
    pub settings: RelaySettings,
    pub keys: Keys,
    pub genesis: State,
}

impl RelaySettings {
    /// Reads a settings file. Relative paths in it are resolved against its folder.
    ///
    /// # Errors
    /// All errors in the file, each with its file, line and key.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let mut settings = Self::from_sheet(&IniFile::read(path)?)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let place = &mut settings.place;
        for path in [&mut place.state, &mut place.ring, &mut place.key, &mut place.genesis] {
            if path.is_relative() {
                *path = folder.join(&*path);
            }
        }
        Ok(settings)
    }

    /// Reads the settings from a parsed file.
    ///
    /// # Errors
    /// All errors in the file, each with its line and key.
    pub fn from_sheet(sheet: &IniFile) -> Result<Self, Faults> {
        sheet.reject_unknown_sections(&["relay", "peers"])?;
        let (place, peers) = Faults::combine(sheet.section::<RelayPlace>("relay"), read_peers(sheet))?;
        if !peers.contains_key(&place.number) {
            let reason = "the address of each control machine is required, including this one";
            return Err(sheet.fault("peers", &place.number.to_string(), "", reason).into());
        }
        Ok(Self { place, peers })
    }

    /// Loads the ring, the key and the first configuration.
    ///
    /// # Errors
    /// If one of the files is invalid, or they are inconsistent with each other.
    pub fn load(self) -> Result<LoadedSettings> {
        let keys = self.read_keys()?;
        let genesis = read_genesis(&self.place.genesis)?;
        Ok(LoadedSettings { settings: self, keys, genesis })
    }

    /// Loads the ring and this machine's key, and checks them against each other and against the peers.
    ///
    /// # Errors
    /// If a file is invalid, or they are inconsistent with each other.
    pub fn read_keys(&self) -> Result<Keys> {
        let place = &self.place;
        let private = PrivateKey::read(&place.key)?;
        let ring = Ring::read(&place.ring)?;
        let (number, ring_file) = (place.number, place.ring.display());
        if private.role() != Role::Member(number) {
            let (file, role) = (place.key.display(), private.role());
            anyhow::bail!("{file}: expected the key of member {number}, found the key of {role}");
        }
        if ring.acceptors().is_empty() {
            anyhow::bail!("{ring_file}: no acceptors are listed; add them with `badgerledge-keys keepers`");
        }
        for member in ring.members() {
            if !self.peers.contains_key(member) {
                anyhow::bail!("{ring_file}: member {member} has no address in [peers] of the settings");
            }
        }
        let keys = Keys::new(private, ring);
        keys.with_context(|| {
            format!("{ring_file}: the key of member {number} is not valid according to this ring")
        })
    }
}

/// Reads section `[peers]`: the address of each control machine, by its number.
fn read_peers(sheet: &IniFile) -> Result<BTreeMap<MachineId, SocketAddr>, Faults> {
    let (mut peers, mut faults) = (BTreeMap::new(), Vec::<Fault>::new());
    for (key, value) in sheet.keys("peers") {
        match (key.parse(), value.parse()) {
            (Ok(number), Ok(address)) => {
                peers.insert(number, address);
            }
            (Err(_), _) => faults.push(sheet.fault(
                "peers",
                key,
                value,
                "the key must be the number of a control machine",
            )),
            (_, Err(_)) => faults.push(sheet.fault("peers", key, value, "expected an address and a port")),
        }
    }
    if faults.is_empty() {
        Ok(peers)
    } else {
        Err(Faults(faults))
    }
}

/// Reads the first configuration, the state of revision 0.
///
/// # Errors
/// If the file is not a valid configuration.
pub fn read_genesis(path: &Path) -> Result<State> {
    let sheet = IniFile::read(path)?;
    let text = kinds::canonical(&sheet);
    let entries = entries::entries_from_text(&text).with_context(|| path.display().to_string())?;
    State::from_entries(entries).with_context(|| path.display().to_string())
}
