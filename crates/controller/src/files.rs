//! Files that outlive the process.

use std::io;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
