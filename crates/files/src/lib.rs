//! Files that outlive the process.

use std::io;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lives count quarter seconds since 2026, or go on from the one before, whichever is later.
const LIVES_FROM: u64 = 1_767_225_600;
const LIFE_TICK_MS: u128 = 250;

/// Writes a file beside the old one and puts it in its place: whoever reads finds the one or the other, whole.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let fresh = path.with_extension("fresh");
    std::fs::write(&fresh, bytes)?;
    std::fs::rename(&fresh, path)
}

/// The same, on the disk when it returns: for what must not be said before it would outlive a lost power supply.
pub fn replace_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let fresh = path.with_extension("fresh");
    let mut file = std::fs::File::create(&fresh)?;
    io::Write::write_all(&mut file, bytes)?;
    file.sync_all()?;
    std::fs::rename(&fresh, path)?;
    // The name too.
    path.parent().map_or(Ok(()), |folder| std::fs::File::open(folder)?.sync_all())
}

/// Since 1970: what is stored is dated by it, for the clock of the next process begins anew.
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The number of this life of the process: later than all before it, as far as the stored one or the clock can tell.
/// It is to be stored at the same place before anything is said in it.
pub fn next_life(stored: Option<&Path>) -> u32 {
    let wall = wall().saturating_sub(Duration::from_secs(LIVES_FROM)).as_millis() / LIFE_TICK_MS;
    let before = stored.and_then(|file| std::fs::read_to_string(file).ok()?.trim().parse::<u32>().ok());
    before.map_or(0, |before| before.saturating_add(1)).max(wall.min(u32::MAX.into()) as u32).max(1)
}

/// A life as [`next_life`] reads it.
pub fn written_life(life: u32) -> String {
    format!("{life}\n")
}

#[cfg(test)]
mod tests;
