//! This controller's accounts of traffic between zones, and their copies on disk.

use std::path::{Path, PathBuf};
use std::time::Duration;

use badgerledge_accounts::{decode_file, encode_file, Accounts, Key, Source, TrafficCounters, WINDOW_LENGTH};

use crate::files::{self, unix_time};

/// Interval at which accounts are stored: half of the second that a killed process may lose at most.
pub const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// The files of the latest sums, written alternately: if one is torn, the previous one is intact.
const LATEST_FILES: [&str; 2] = ["accounts-a", "accounts-b"];
/// The file of all windows, written once per window.
const WINDOWS_FILE: &str = "accounts-windows";
/// Present after an orderly stop, so that no unseen traffic is estimated for it.
const ENDED_FILE: &str = "accounts-ended";
/// Windows in the files of the latest sums: the current one, and the one that closed last.
const LATEST_WINDOWS: usize = 2;

/// The accounts of this controller.
pub struct Accounting {
    accounts: Accounts,
    source: Source,
    folder: Option<PathBuf>,
    /// The file of [`LATEST_FILES`] that was written last.
    latest_file: usize,
    stored_at: Duration,
    /// The window at the last write of all windows.
    window: u64,
    /// What was stored last, as in the files. Only this is exported, so that a restarted controller never
    /// reports less than before. The page is built on request, which is rare compared with storing.
    stored: Stored,
}

/// The stored texts: all windows as of the last change of window, and the latest windows since.
#[derive(Default)]
struct Stored {
    windows: String,
    latest: String,
}

impl Accounting {
    /// Reads what an earlier process stored, and continues from it.
    pub fn new(controller: u32, folder: Option<&Path>, seed: u64) -> Self {
        let mut accounts = Accounts::default();
        if let Some(folder) = folder {
            LATEST_FILES.iter().chain([&WINDOWS_FILE]).filter_map(|file| read(&folder.join(file))).for_each(
                |stored| {
                    accounts.merge(&stored);
                },
            );
        }
        let stored_source = accounts.source_of(controller);
        let source = stored_source.unwrap_or(Source { controller, account: seed });
        let stopped_in_order = folder
            .map(|folder| folder.join(ENDED_FILE))
            .is_some_and(|file| std::fs::remove_file(file).is_ok());
        if stored_source.is_some() && !stopped_in_order {
            accounts.ledger(source).estimate_unseen(unix_time(), STORE_INTERVAL);
        }
        accounts.ledger(source);
        let stored = Stored { windows: accounts.encode(), latest: String::new() };
        let folder = folder.map(Path::to_owned);
        Self { accounts, source, folder, latest_file: 0, stored_at: Duration::ZERO, window: 0, stored }
    }

    /// Adds traffic of a title to an account.
    pub fn count(&mut self, key: &Key, title: u64, traffic: &TrafficCounters) {
        self.accounts.ledger(self.source).count(unix_time(), key, title, traffic);
    }

    /// The sums of all windows, by account key.
    pub fn totals(&self) -> std::collections::BTreeMap<Key, TrafficCounters> {
        self.accounts.totals()
    }

    /// The accounts as stored last, as text.
    pub fn stored_text(&self) -> String {
        let texts = [&self.stored.windows, &self.stored.latest];
        let mut stored = Accounts::default();
        texts.into_iter().filter_map(|text| Accounts::decode(text).ok()).for_each(|part| stored.merge(&part));
        stored.encode()
    }

    /// Whether storing is due.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.stored_at + STORE_INTERVAL
    }

    /// Stores the counts. A failure is logged, and counting goes on.
    pub fn store(&mut self, now: Duration, is_last: bool) {
        self.stored_at = now;
        if let Err(error) = self.try_store(is_last) {
            tracing::warn!("the accounts could not be stored: {error}; counting goes on");
        }
    }

    /// Stores the counts; all windows only when the window changes or the process stops.
    fn try_store(&mut self, is_last: bool) -> std::io::Result<()> {
        let latest = self.accounts.encode_recent(LATEST_WINDOWS);
        let current_window = unix_time().as_secs() / WINDOW_LENGTH.as_secs();
        let whole = (current_window != self.window || is_last).then(|| self.accounts.encode());
        if let Some(folder) = &self.folder {
            self.latest_file = 1 - self.latest_file;
            std::fs::write(folder.join(LATEST_FILES[self.latest_file]), encode_file(&latest))?;
            if let Some(whole) = &whole {
                files::replace(&folder.join(WINDOWS_FILE), &encode_file(whole))?;
            }
            if is_last {
                std::fs::write(folder.join(ENDED_FILE), "")?;
            }
        }
        self.stored.latest = latest;
        if let Some(whole) = whole {
            (self.stored.windows, self.window) = (whole, current_window);
        }
        Ok(())
    }
}

/// Reads a stored file; `None` if there is none or it is torn.
fn read(path: &Path) -> Option<Accounts> {
    let bytes = std::fs::read(path).ok()?;
    let text = decode_file(&bytes).map_err(|error| error.to_string());
    let accounts = text.and_then(|text| Accounts::decode(text).map_err(|error| error.to_string()));
    accounts
        .map_err(|error| {
            tracing::warn!(
        path = %path.display(),
        "a file of stored accounts is invalid and skipped: {error}")
        })
        .ok()
}

/// Reads all accounts that a controller stored in a folder. Torn files are skipped, as a restarted controller
/// does.
pub fn read_stored_accounts(folder: &Path) -> Accounts {
    let mut accounts = Accounts::default();
    let files = LATEST_FILES.iter().chain([&WINDOWS_FILE]);
    files.filter_map(|file| read(&folder.join(file))).for_each(|stored| accounts.merge(&stored));
    accounts
}
