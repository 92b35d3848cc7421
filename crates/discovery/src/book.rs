//! What is held of the list.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use serde_json::{json, Value};
use thiserror::Error;

/// Takes what the list says, field by field.
pub trait Sink {
    fn list_begins(&mut self, how: Listing);
    #[allow(clippy::too_many_arguments)]
    fn list_entry(
        &mut self, streamer: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        came_up: Start,
    );
    fn list_ends(&mut self, how: Listing);
}

/// One streamer of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub zone: u16,
    pub kind: usize,
    pub cell: u32,
    pub health: Health,
    pub weight: f64,
    /// Names the start of its process: a later start has another number.
    pub start: u64,
    /// When that was, on this process's clock; zero is long past.
    pub came_up: Duration,
}

/// Why a line of the list service is not taken.
#[derive(Debug, Error, PartialEq)]
pub enum ListFault {
    #[error("not a line of the list's: {0}")]
    Malformed(String),
    #[error("changes from revision {from} do not follow revision {held}")]
    Gap { from: u64, held: u64 },
    #[error("revision {told} is older than revision {held}")]
    Older { told: u64, held: u64 },
    #[error("{found} streamers where at most {ENTRIES} are taken")]
    TooMany { found: usize },
}

/// Streamers of one list at most: some ten times the largest fleet that was thought of.
pub const ENTRIES: usize = 65_536;
/// Bytes of one line at most: that many entries of some 100 bytes.
pub const LONGEST_LINE: usize = 8 * 1024 * 1024;

/// The list as last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListBook {
    /// The run of the list service that the revision belongs to.
    epoch: u64,
    revision: u64,
    entries: BTreeMap<StreamerId, Entry>,
}

impl ListBook {
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The service's run, and the change in it, that this is the list of.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    pub fn entry(&self, id: &StreamerId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub fn entries(&self) -> impl Iterator<Item = (StreamerId, &Entry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    pub fn known(&self) -> Vec<StreamerId> {
        self.entries.keys().copied().collect()
    }

    /// The line that asks for changes from what is held on, or for no more of them. It names the controller by
    /// its number, for the service's own records.
    pub fn ask_changes(&self, want: bool, controller: u32) -> String {
        let Self { epoch, revision, .. } = self;
        format!(
            "{}\n",
            json!({"observe": want, "controller": controller, "epoch": epoch, "revision": revision})
        )
    }

    /// The line that asks for the whole list once.
    pub fn ask_whole(controller: u32) -> String {
        format!("{}\n", json!({"list": true, "controller": controller}))
    }

    /// Takes a line of the service and passes on what it brings. Ages are counted back from `now`.
    pub fn take(&mut self, line: &[u8], now: Duration, sink: &mut impl Sink) -> Result<Listing, ListFault> {
        let line: Value = serde_json::from_slice(line).map_err(|e| ListFault::Malformed(e.to_string()))?;
        let how = match line["how"].as_str() {
            Some("complete") => Listing::Complete,
            Some("changes") => Listing::Changes,
            Some("failed") => {
                sink.list_begins(Listing::Failed);
                sink.list_ends(Listing::Failed);
                return Ok(Listing::Failed);
            }
            _ => return Err(malformed("how")),
        };
        let epoch = line["epoch"].as_u64().ok_or_else(|| malformed("epoch"))?;
        let revision = line["revision"].as_u64().ok_or_else(|| malformed("revision"))?;
        if epoch == self.epoch && revision < self.revision {
            return Err(ListFault::Older { told: revision, held: self.revision });
        }
        if how == Listing::Changes {
            let from = line["from"].as_u64().ok_or_else(|| malformed("from"))?;
            if epoch != self.epoch || from != self.revision {
                return Err(ListFault::Gap { from, held: self.revision });
            }
        }
        let told = self.entries_of(&line["entries"], now)?;
        let fresh =
            told.iter().filter(|(id, _)| how == Listing::Changes && !self.entries.contains_key(id)).count();
        if how == Listing::Changes && self.entries.len() + fresh > ENTRIES {
            return Err(ListFault::TooMany { found: self.entries.len() + fresh });
        }
        sink.list_begins(how);
        if how == Listing::Complete {
            self.entries.clear();
        }
        for (id, entry) in told {
            pass(sink, id, &entry);
            match entry.health {
                Health::Gone => self.entries.remove(&id),
                _ => self.entries.insert(id, entry),
            };
        }
        (self.epoch, self.revision) = (epoch, revision);
        sink.list_ends(how);
        Ok(how)
    }

    fn entries_of(&self, told: &Value, now: Duration) -> Result<Vec<(StreamerId, Entry)>, ListFault> {
        let told = told.as_array().ok_or_else(|| malformed("entries"))?;
        if told.len() > ENTRIES {
            return Err(ListFault::TooMany { found: told.len() });
        }
        told.iter()
            .map(|entry| self.entry_of(entry, now).ok_or_else(|| malformed(&entry.to_string())))
            .collect()
    }

    fn entry_of(&self, told: &Value, now: Duration) -> Option<(StreamerId, Entry)> {
        let id: StreamerId = told[0].as_str()?.parse().ok()?;
        let (zone, kind, cell) = (told[1].as_u64()?, told[2].as_u64()?, told[3].as_u64()?);
        let (zone, kind, cell) = (zone.try_into().ok()?, kind.try_into().ok()?, cell.try_into().ok()?);
        let health = health_of(told[4].as_str()?)?;
        let weight = told[5].as_f64().filter(|weight| *weight > 0.0)?;
        let start = told[6].as_u64()?;
        // A start that is known keeps its time: ages are measured anew with every line, and would wander.
        let known = self.entries.get(&id).filter(|known| known.start == start);
        let came_up = match (known, told[7].as_u64()) {
            (Some(known), _) => known.came_up,
            (None, Some(age)) => now.saturating_sub(Duration::from_millis(age)).max(Duration::from_micros(1)),
            (None, None) if told[7].is_null() => Duration::ZERO,
            (None, None) => return None,
        };
        Some((id, Entry { zone, kind, cell, health, weight, start, came_up }))
    }

    /// The copy for the disk. `wall` is the time of day at `now`: this process's clock means nothing to the next.
    pub fn store(&self, now: Duration, wall: Duration) -> String {
        let entries = self.entries.iter().map(|(id, entry)| {
            let up = match entry.came_up {
                Duration::ZERO => Value::Null,
                came_up => json!(wall.saturating_sub(now.saturating_sub(came_up)).as_millis() as u64),
            };
            let health = health_word(entry.health);
            json!([id.to_string(), entry.zone, entry.kind, entry.cell, health, entry.weight, entry.start, up])
        });
        let entries: Vec<Value> = entries.collect();
        json!({"version": 1, "epoch": self.epoch, "revision": self.revision, "entries": entries}).to_string()
    }

    /// Reads what [`ListBook::store`] wrote. Where the time of day went back meanwhile, a start counts as just now:
    /// a warm streamer taken for cold only gets less.
    pub fn restore(text: &str, now: Duration, wall: Duration) -> Result<Self, ListFault> {
        let mut stored: Value =
            serde_json::from_str(text).map_err(|e| ListFault::Malformed(e.to_string()))?;
        if stored["version"] != json!(1) {
            return Err(malformed("version"));
        }
        for entry in stored["entries"].as_array_mut().into_iter().flatten() {
            let up = entry.get(7).and_then(Value::as_u64).map(Duration::from_millis);
            if let (Some(up), Some(age)) = (up, entry.get_mut(7)) {
                *age = json!(wall.saturating_sub(up).as_millis() as u64);
            }
        }
        let mut book = Self::default();
        let entries = book.entries_of(&stored["entries"], now)?;
        book.entries = entries.into_iter().collect();
        book.epoch = stored["epoch"].as_u64().ok_or_else(|| malformed("epoch"))?;
        book.revision = stored["revision"].as_u64().ok_or_else(|| malformed("revision"))?;
        Ok(book)
    }

    /// Passes all that is held on, as the list that this process had before.
    pub fn tell_cached(&self, sink: &mut impl Sink) {
        sink.list_begins(Listing::Cached);
        self.entries.iter().for_each(|(id, entry)| pass(sink, *id, entry));
        sink.list_ends(Listing::Cached);
    }
}

fn pass(sink: &mut impl Sink, id: StreamerId, entry: &Entry) {
    let Entry { zone, kind, cell, health, weight, start, came_up } = *entry;
    sink.list_entry(id, zone, kind, cell, health, weight, Start { at: came_up, number: start });
}

fn malformed(what: &str) -> ListFault {
    ListFault::Malformed(format!("{what} is missing or not as it should be"))
}

fn health_of(word: &str) -> Option<Health> {
    Some(match word {
        "gone" => Health::Gone,
        "ready" => Health::Ready,
        "draining" => Health::Draining,
        _ => return None,
    })
}

/// The list's word for a health.
pub fn health_word(health: Health) -> &'static str {
    match health {
        Health::Gone => "gone",
        Health::Ready => "ready",
        Health::Draining => "draining",
    }
}
