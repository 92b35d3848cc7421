//! Atomic and durable replacement of state files, wall-clock time, and the incarnation number of a process.

use std::io;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in seconds from which incarnation numbers are counted: the start of 2026.
const INCARNATION_EPOCH_S: u64 = 1_767_225_600;
/// Incarnation numbers count units of this time, unless the stored number is higher.
const INCARNATION_TICK_MS: u128 = 250;

/// Replaces a file atomically: readers find either the old or the new content, never a part of it.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new_file = path.with_extension("fresh");
    std::fs::write(&new_file, bytes)?;
    std::fs::rename(&new_file, path)
}

/// As [`replace`], and synced to disk on return: for state that must survive a power failure before it is
/// announced.
pub fn replace_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new_file = path.with_extension("fresh");
    let mut file = std::fs::File::create(&new_file)?;
    io::Write::write_all(&mut file, bytes)?;
    file.sync_all()?;
    std::fs::rename(&new_file, path)?;
    // Syncs the folder too, so that the new name is durable.
    path.parent().map_or(Ok(()), |folder| std::fs::File::open(folder)?.sync_all())
}

/// Time since 1970. Stored state is dated by it, since the monotonic clock starts anew with each process.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The incarnation number of this process: higher than all earlier ones, as far as the stored number or the
/// clock shows. The caller must store it in the same file before it sends any message.
pub fn next_incarnation(stored: Option<&Path>) -> u32 {
    let by_clock = unix_time().saturating_sub(Duration::from_secs(INCARNATION_EPOCH_S)).as_millis()
        / INCARNATION_TICK_MS;
    let previous = stored.and_then(|file| std::fs::read_to_string(file).ok()?.trim().parse::<u32>().ok());
    previous.map_or(0, |previous| previous.saturating_add(1)).max(by_clock.min(u32::MAX.into()) as u32).max(1)
}

/// The content of the file from which [`next_incarnation`] reads the stored number.
pub fn format_incarnation(incarnation: u32) -> String {
    format!("{incarnation}\n")
}

#[cfg(test)]
mod tests;
