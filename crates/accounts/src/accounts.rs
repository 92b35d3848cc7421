//! The ledgers of many controllers.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use thiserror::Error;

use crate::ledger::{Amount, Key, Ledger, Sums};
use crate::sketch::Heaviest;

/// Who wrote a ledger: a controller, and the account that it opened when it found none of its own stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    pub controller: u32,
    pub account: u64,
}

/// Any number of ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    ledgers: BTreeMap<Source, Ledger>,
}

/// Ledgers of one file or page at most: some times the controllers of the largest deployment.
const SOURCES: usize = 10_000;

/// Why a text is not taken as accounts.
#[derive(Debug, Error, PartialEq)]
pub enum AccountsFault {
    #[error("not accounts: {0}")]
    Malformed(String),
    #[error("accounts of version {0}, of which this program knows nothing")]
    Newer(u64),
    #[error("{0} ledgers where at most {SOURCES} are taken")]
    TooMany(usize),
}

impl Accounts {
    /// The ledger of a source, to be written by that source alone.
    pub fn ledger(&mut self, source: Source) -> &mut Ledger {
        self.ledgers.entry(source).or_default()
    }

    pub fn sources(&self) -> impl Iterator<Item = Source> + '_ {
        self.ledgers.keys().copied()
    }

    /// The account that a controller has here.
    pub fn source_of(&self, controller: u32) -> Option<Source> {
        self.sources().find(|source| source.controller == controller)
    }

    /// Merges others in: any order, twice or late, the sums are the same.
    pub fn merge(&mut self, others: &Accounts) {
        for (source, ledger) in &others.ledgers {
            self.ledgers.entry(*source).or_default().join(ledger);
        }
    }

    /// Sums over all controllers and their whole lives.
    pub fn whole(&self) -> BTreeMap<Key, Amount> {
        total(self.ledgers.values().map(|ledger| &ledger.whole))
    }

    /// The same for each window that is kept, by its number since 1970.
    pub fn windows(&self) -> BTreeMap<u64, BTreeMap<Key, Amount>> {
        let mut windows: BTreeMap<u64, Sums> = BTreeMap::new();
        for (window, sums) in self.ledgers.values().flat_map(|ledger| &ledger.windows) {
            let all = windows.entry(*window).or_default();
            sums.iter().for_each(|(key, amount)| all.entry(key.clone()).or_default().add(amount));
        }
        windows
    }

    /// The titles that most bytes crossed for.
    pub fn heaviest(&self) -> Heaviest {
        self.ledgers.values().fold(Heaviest::default(), |all, ledger| all.joined(&ledger.titles))
    }

    /// As text, a JSON object.
    pub fn write(&self) -> String {
        self.write_last(usize::MAX)
    }

    /// The same with the last few windows only: merged with an older whole it says as much.
    pub fn write_last(&self, last: usize) -> String {
        let sums = |sums: &Sums| -> Vec<Value> {
            let one = |(key, a): (&Key, &Amount)| json!({"key": key, "amount": a});
            sums.iter().map(one).collect()
        };
        let ledgers = self.ledgers.iter().map(|(source, ledger)| {
            let windows = ledger.windows.iter().rev().take(last).rev();
            let windows = windows.map(|(window, of)| json!({"window": window, "sums": sums(of)}));
            json!({"controller": source.controller, "account": source.account, "version": ledger.version,
                "whole": sums(&ledger.whole), "windows": windows.collect::<Vec<_>>(), "titles": ledger.titles})
        });
        json!({"accounts": 1, "ledgers": ledgers.collect::<Vec<_>>()}).to_string()
    }

    /// Reads what [`Accounts::write`] wrote: all of it, or nothing.
    pub fn read(text: &str) -> Result<Self, AccountsFault> {
        let whole: Value = serde_json::from_str(text).map_err(|e| AccountsFault::Malformed(e.to_string()))?;
        match whole["accounts"].as_u64() {
            Some(1) => {}
            Some(newer) => return Err(AccountsFault::Newer(newer)),
            None => return Err(missing("accounts")),
        }
        let ledgers = whole["ledgers"].as_array().ok_or_else(|| missing("ledgers"))?;
        if ledgers.len() > SOURCES {
            return Err(AccountsFault::TooMany(ledgers.len()));
        }
        let mut accounts = Self::default();
        for told in ledgers {
            let controller = told["controller"].as_u64().and_then(|number| number.try_into().ok());
            let controller = controller.ok_or_else(|| missing("controller"))?;
            let account = told["account"].as_u64().ok_or_else(|| missing("account"))?;
            let mut ledger = Ledger {
                version: told["version"].as_u64().ok_or_else(|| missing("version"))?,
                whole: sums_of(&told["whole"])?,
                windows: BTreeMap::new(),
                titles: serde_json::from_value(told["titles"].clone())
                    .map_err(|e| AccountsFault::Malformed(e.to_string()))?,
            };
            for window in told["windows"].as_array().ok_or_else(|| missing("windows"))? {
                let number = window["window"].as_u64().ok_or_else(|| missing("window"))?;
                ledger.windows.insert(number, sums_of(&window["sums"])?);
            }
            ledger.forget_old();
            accounts.ledgers.insert(Source { controller, account }, ledger);
        }
        Ok(accounts)
    }
}

fn total<'a>(all: impl Iterator<Item = &'a Sums>) -> Sums {
    let mut sums = Sums::new();
    for (key, amount) in all.flatten() {
        sums.entry(key.clone()).or_default().add(amount);
    }
    sums
}

fn sums_of(told: &Value) -> Result<Sums, AccountsFault> {
    let malformed = |e: serde_json::Error| AccountsFault::Malformed(e.to_string());
    let mut sums = Sums::new();
    for one in told.as_array().ok_or_else(|| missing("sums"))? {
        let key: Key = serde_json::from_value(one["key"].clone()).map_err(malformed)?;
        let amount: Amount = serde_json::from_value(one["amount"].clone()).map_err(malformed)?;
        sums.insert(key, amount);
    }
    Ok(sums)
}

fn missing(what: &str) -> AccountsFault {
    AccountsFault::Malformed(format!("{what} is missing or not as it should be"))
}
