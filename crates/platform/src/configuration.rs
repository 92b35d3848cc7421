//! Reads the configuration file that the platform provides at the path in `GW_CONFIG`.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use anyhow::{anyhow, bail, Context, Result};
use serde_json::{Map, Value};

/// The configuration of this controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub name: String,
    /// The address for viewers.
    pub listen: SocketAddrV4,
    /// The address of the name service.
    pub name_service: SocketAddrV4,
    /// The address for datagrams of other controllers.
    pub peer_listen: Option<SocketAddrV4>,
    /// The addresses of the other controllers, in the order of their numbers.
    pub peers: Vec<SocketAddrV4>,
    /// The address that reaches all other controllers.
    pub peers_broadcast: Option<SocketAddrV4>,
    pub seed: u64,
    /// Limit on open file descriptors.
    pub max_sockets: usize,
    /// Memory limit in megabytes.
    pub memory_mb: usize,
    /// Events of the streamer list up to the start.
    pub known_events: Value,
    /// The settings of the decision module.
    pub settings: Map<String, Value>,
}

/// Returns the path of the configuration file, from the environment.
pub fn path() -> Result<PathBuf> {
    std::env::var_os("GW_CONFIG").map(PathBuf::from).context("GW_CONFIG is not set")
}

/// Reads and parses the configuration file.
pub fn read(path: &Path) -> Result<Configuration> {
    let text = std::fs::read(path).with_context(|| path.display().to_string())?;
    parse(&text).with_context(|| path.display().to_string())
}

/// Parses the text of a configuration file.
pub fn parse(text: &[u8]) -> Result<Configuration> {
    let file: Value = serde_json::from_slice(text)?;
    let address = |key: &str| -> Result<Option<SocketAddrV4>> {
        let Some(text) = file.get(key).and_then(Value::as_str) else { return Ok(None) };
        Ok(Some(text.parse().with_context(|| format!("{key} = {text}: not an address and port"))?))
    };
    let required = |key: &str| address(key)?.ok_or_else(|| anyhow!("{key} is missing"));
    let count = |path: &str, default: u64| {
        file.pointer(path).and_then(Value::as_f64).map_or(default as usize, |n| n.max(0.0) as usize)
    };
    let seed = file.get("seed").and_then(Value::as_str).context("seed is missing")?;
    let peers = file.get("peers").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let Some(Value::Object(settings)) = file.get("settings") else { bail!("settings are missing") };
    Ok(Configuration {
        name: file.get("name").and_then(Value::as_str).unwrap_or_default().to_owned(),
        listen: required("listen")?,
        name_service: required("names")?,
        peer_listen: address("peer_listen")?,
        peers: peers.iter().filter_map(|peer| peer.as_str()?.parse().ok()).collect(),
        peers_broadcast: address("peers_all")?,
        seed: u64::from_str_radix(seed, 16).with_context(|| format!("seed = {seed}: not hex digits"))?,
        max_sockets: count("/limits/sockets", 1024),
        memory_mb: count("/limits/memory_mb", 192),
        known_events: file.get("known").cloned().unwrap_or_default(),
        settings: settings.clone(),
    })
}
