//! This controller's accounts of what crosses between buildings, and their copies on disk.

use std::path::{Path, PathBuf};
use std::time::Duration;

use badgerledge_accounts::{open, seal, Accounts, Amount, Key, Source, WINDOW};

use crate::files::{self, wall};

/// Accounts are stored this often, and a kill loses no more than what came since: the stated second, halved.
pub const STORE_EVERY: Duration = Duration::from_millis(500);
/// The files of the last sums, written in turn: a torn one leaves the one before.
const TURNS: [&str; 2] = ["accounts-a", "accounts-b"];
/// All windows, written once for each window.
const WINDOWS: &str = "accounts-windows";
/// There after an orderly end, so that nothing is estimated for it.
const ENDED: &str = "accounts-ended";
/// Windows in the files of the last sums: the one that is on, and the one that closed last.
const LAST: usize = 2;

pub struct Accounting {
    accounts: Accounts,
    source: Source,
    folder: Option<PathBuf>,
    turn: usize,
    stored_at: Duration,
    window: u64,
    /// What was stored last, as in the files: all that is ever handed out, so that a reborn controller never says
    /// less. The page is made of it when it is asked for, which is seldom beside storing.
    stored: Stored,
}

/// The stored texts: all windows as they were at the last window's turn, and the last few since.
#[derive(Default)]
struct Stored {
    windows: String,
    last: String,
}

impl Accounting {
    /// Reads what an earlier process stored, and goes on with it.
    pub fn new(controller: u32, folder: Option<&Path>, seed: u64) -> Self {
        let mut accounts = Accounts::default();
        if let Some(folder) = folder {
            TURNS.iter().chain([&WINDOWS]).filter_map(|file| read(&folder.join(file))).for_each(|stored| {
                accounts.merge(&stored);
            });
        }
        let known = accounts.source_of(controller);
        let source = known.unwrap_or(Source { controller, account: seed });
        let ended =
            folder.map(|folder| folder.join(ENDED)).is_some_and(|file| std::fs::remove_file(file).is_ok());
        if known.is_some() && !ended {
            accounts.ledger(source).estimate_unseen(wall(), STORE_EVERY);
        }
        accounts.ledger(source);
        let stored = Stored { windows: accounts.write(), last: String::new() };
        let folder = folder.map(Path::to_owned);
        Self { accounts, source, folder, turn: 0, stored_at: Duration::ZERO, window: 0, stored }
    }

    pub fn count(&mut self, key: &Key, title: u64, more: &Amount) {
        self.accounts.ledger(self.source).count(wall(), key, title, more);
    }

    pub fn whole(&self) -> std::collections::BTreeMap<Key, Amount> {
        self.accounts.whole()
    }

    /// What was stored last, for whoever asks.
    pub fn page(&self) -> String {
        let texts = [&self.stored.windows, &self.stored.last];
        let mut stored = Accounts::default();
        texts.into_iter().filter_map(|text| Accounts::read(text).ok()).for_each(|part| stored.merge(&part));
        stored.write()
    }

    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.stored_at + STORE_EVERY
    }

    /// Stores what has been counted. A disk that takes nothing is told of in the log, and counting goes on.
    pub fn store(&mut self, now: Duration, ends: bool) {
        self.stored_at = now;
        if let Err(e) = self.try_store(ends) {
            tracing::warn!("the accounts could not be stored: {e}; counting goes on");
        }
    }

    fn try_store(&mut self, ends: bool) -> std::io::Result<()> {
        let last = self.accounts.write_last(LAST);
        let window = wall().as_secs() / WINDOW.as_secs();
        let whole = (window != self.window || ends).then(|| self.accounts.write());
        if let Some(folder) = &self.folder {
            self.turn = 1 - self.turn;
            std::fs::write(folder.join(TURNS[self.turn]), seal(&last))?;
            if let Some(whole) = &whole {
                files::replace(&folder.join(WINDOWS), &seal(whole))?;
            }
            if ends {
                std::fs::write(folder.join(ENDED), "")?;
            }
        }
        self.stored.last = last;
        if let Some(whole) = whole {
            (self.stored.windows, self.window) = (whole, window);
        }
        Ok(())
    }
}

/// One stored file; nothing where there is none, or it is torn.
fn read(path: &Path) -> Option<Accounts> {
    let bytes = std::fs::read(path).ok()?;
    let read = open(&bytes).map_err(|e| e.to_string());
    let accounts = read.and_then(|text| Accounts::read(text).map_err(|e| e.to_string()));
    accounts.map_err(|e| tracing::warn!(path = %path.display(), "stored accounts are no use: {e}")).ok()
}

/// All accounts that controllers stored in a folder; torn files are passed over, as a reborn controller does.
pub fn stored_in(folder: &Path) -> Accounts {
    let mut accounts = Accounts::default();
    let files = TURNS.iter().chain([&WINDOWS]);
    files.filter_map(|file| read(&folder.join(file))).for_each(|stored| accounts.merge(&stored));
    accounts
}
