//! What the platform tells a controller: the file that `GW_CONFIG` names.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use anyhow::{anyhow, bail, Context, Result};
use serde_json::{Map, Value};

/// Where this controller stands, and what it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub name: String,
    pub listen: SocketAddrV4,
    pub names: SocketAddrV4,
    pub peer_listen: Option<SocketAddrV4>,
    pub peers: Vec<SocketAddrV4>,
    pub peers_all: Option<SocketAddrV4>,
    pub seed: u64,
    /// Descriptors that the process may hold, and megabytes of memory.
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: Value,
    pub options: Map<String, Value>,
}

/// The file's path, from the environment.
pub fn path() -> Result<PathBuf> {
    std::env::var_os("GW_CONFIG").map(PathBuf::from).context("GW_CONFIG is not set")
}

/// Reads the file.
pub fn read(path: &Path) -> Result<Place> {
    let text = std::fs::read(path).with_context(|| path.display().to_string())?;
    place(&text).with_context(|| path.display().to_string())
}

pub fn place(text: &[u8]) -> Result<Place> {
    let told: Value = serde_json::from_slice(text)?;
    let address = |key: &str| -> Result<Option<SocketAddrV4>> {
        let Some(text) = told.get(key).and_then(Value::as_str) else { return Ok(None) };
        Ok(Some(text.parse().with_context(|| format!("{key} = {text}: not an address and port"))?))
    };
    let must = |key: &str| address(key)?.ok_or_else(|| anyhow!("{key} is missing"));
    let count = |path: &str, otherwise: u64| {
        told.pointer(path).and_then(Value::as_f64).map_or(otherwise as usize, |n| n.max(0.0) as usize)
    };
    let seed = told.get("seed").and_then(Value::as_str).context("seed is missing")?;
    let peers = told.get("peers").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let Some(Value::Object(options)) = told.get("settings") else { bail!("settings are missing") };
    Ok(Place {
        name: told.get("name").and_then(Value::as_str).unwrap_or_default().to_owned(),
        listen: must("listen")?,
        names: must("names")?,
        peer_listen: address("peer_listen")?,
        peers: peers.iter().filter_map(|peer| peer.as_str()?.parse().ok()).collect(),
        peers_all: address("peers_all")?,
        seed: u64::from_str_radix(seed, 16).with_context(|| format!("seed = {seed}: not hex digits"))?,
        sockets: count("/limits/sockets", 1024),
        memory_mb: count("/limits/memory_mb", 192),
        known: told.get("known").cloned().unwrap_or_default(),
        options: options.clone(),
    })
}
