//! The ledgers of many controllers: merging, sums and JSON encoding.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use thiserror::Error;

use crate::ledger::{Key, Ledger, Sums, TrafficCounters};
use crate::sketch::TopTitles;

/// The writer of a ledger: a controller, and the number of the account that it opened when it found none stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    pub controller: u32,
    pub account: u64,
}

/// The ledgers of any number of controllers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    ledgers: BTreeMap<Source, Ledger>,
}

/// The largest number of ledgers in one file or page: several times the controllers of the largest deployment.
const MAX_LEDGERS: usize = 10_000;

/// Why a text is rejected.
#[derive(Debug, Error, PartialEq)]
pub enum AccountsFault {
    #[error("malformed accounts: {0}")]
    Malformed(String),
    #[error("accounts of version {0} are not supported by this program")]
    UnsupportedVersion(u64),
    #[error("{0} ledgers, of which at most {MAX_LEDGERS} are accepted")]
    TooMany(usize),
}

impl Accounts {
    /// The ledger of a source, created if missing. Only that source may write to it.
    pub fn ledger(&mut self, source: Source) -> &mut Ledger {
        self.ledgers.entry(source).or_default()
    }

    /// The writers of all ledgers.
    pub fn sources(&self) -> impl Iterator<Item = Source> + '_ {
        self.ledgers.keys().copied()
    }

    /// The first source of a controller, if there is one.
    pub fn source_of(&self, controller: u32) -> Option<Source> {
        self.sources().find(|source| source.controller == controller)
    }

    /// Merges other ledgers into these. The order and repeated merges make no difference.
    pub fn merge(&mut self, others: &Accounts) {
        for (source, ledger) in &others.ledgers {
            self.ledgers.entry(*source).or_default().merge(ledger);
        }
    }

    /// Sums over all controllers since they opened their accounts.
    pub fn totals(&self) -> BTreeMap<Key, TrafficCounters> {
        add_up(self.ledgers.values().map(|ledger| &ledger.total))
    }

    /// Sums over all controllers for each retained window, by the window's number since 1970-01-01.
    pub fn windows(&self) -> BTreeMap<u64, BTreeMap<Key, TrafficCounters>> {
        let mut windows: BTreeMap<u64, Sums> = BTreeMap::new();
        for (window, sums) in self.ledgers.values().flat_map(|ledger| &ledger.windows) {
            let total = windows.entry(*window).or_default();
            sums.iter().for_each(|(key, counters)| total.entry(key.clone()).or_default().add(counters));
        }
        windows
    }

    /// The titles with the most bytes between zones.
    pub fn top_titles(&self) -> TopTitles {
        self.ledgers.values().fold(TopTitles::default(), |all, ledger| all.merged(&ledger.titles))
    }

    /// Encodes all ledgers as a JSON object.
    pub fn encode(&self) -> String {
        self.encode_recent(usize::MAX)
    }

    /// Encodes all ledgers with only the newest `window_count` windows. Merged into an older complete text, it gives the same
    /// result as a complete one.
    pub fn encode_recent(&self, window_count: usize) -> String {
        let sums = |sums: &Sums| -> Vec<Value> {
            let entry = |(key, counters): (&Key, &TrafficCounters)| json!({"key": key, "amount": counters});
            sums.iter().map(entry).collect()
        };
        let ledgers = self.ledgers.iter().map(|(source, ledger)| {
            let windows = ledger.windows.iter().rev().take(window_count).rev();
            let windows = windows.map(|(window, window_sums)| json!({"window": window, "sums": sums(window_sums)}));
            json!({"controller": source.controller, "account": source.account, "version": ledger.version,
                "whole": sums(&ledger.total), "windows": windows.collect::<Vec<_>>(), "titles": ledger.titles})
        });
        json!({"accounts": 1, "ledgers": ledgers.collect::<Vec<_>>()}).to_string()
    }

    /// Decodes the output of [`Accounts::encode`] or [`Accounts::encode_recent`].
    ///
    /// # Errors
    /// Where any part is malformed, of another version or too large; no ledger is returned then.
    pub fn decode(text: &str) -> Result<Self, AccountsFault> {
        let document: Value =
            serde_json::from_str(text).map_err(|e| AccountsFault::Malformed(e.to_string()))?;
        match document["accounts"].as_u64() {
            Some(1) => {}
            Some(version) => return Err(AccountsFault::UnsupportedVersion(version)),
            None => return Err(missing("accounts")),
        }
        let ledgers = document["ledgers"].as_array().ok_or_else(|| missing("ledgers"))?;
        if ledgers.len() > MAX_LEDGERS {
            return Err(AccountsFault::TooMany(ledgers.len()));
        }
        let mut accounts = Self::default();
        for encoded in ledgers {
            let controller = encoded["controller"].as_u64().and_then(|number| number.try_into().ok());
            let controller = controller.ok_or_else(|| missing("controller"))?;
            let account = encoded["account"].as_u64().ok_or_else(|| missing("account"))?;
            let mut ledger = Ledger {
                version: encoded["version"].as_u64().ok_or_else(|| missing("version"))?,
                total: parse_sums(&encoded["whole"])?,
                windows: BTreeMap::new(),
                titles: serde_json::from_value(encoded["titles"].clone())
                    .map_err(|e| AccountsFault::Malformed(e.to_string()))?,
            };
            for window in encoded["windows"].as_array().ok_or_else(|| missing("windows"))? {
                let number = window["window"].as_u64().ok_or_else(|| missing("window"))?;
                ledger.windows.insert(number, parse_sums(&window["sums"])?);
            }
            ledger.drop_old_windows();
            accounts.ledgers.insert(Source { controller, account }, ledger);
        }
        Ok(accounts)
    }
}

fn add_up<'a>(ledgers: impl Iterator<Item = &'a Sums>) -> Sums {
    let mut sums = Sums::new();
    for (key, counters) in ledgers.flatten() {
        sums.entry(key.clone()).or_default().add(counters);
    }
    sums
}

fn parse_sums(encoded: &Value) -> Result<Sums, AccountsFault> {
    let malformed = |e: serde_json::Error| AccountsFault::Malformed(e.to_string());
    let mut sums = Sums::new();
    for entry in encoded.as_array().ok_or_else(|| missing("sums"))? {
        let key: Key = serde_json::from_value(entry["key"].clone()).map_err(malformed)?;
        let counters: TrafficCounters = serde_json::from_value(entry["amount"].clone()).map_err(malformed)?;
        sums.insert(key, counters);
    }
    Ok(sums)
}

fn missing(field: &str) -> AccountsFault {
    AccountsFault::Malformed(format!("{field} is missing or of the wrong type"))
}
