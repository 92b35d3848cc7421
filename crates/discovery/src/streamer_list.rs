//! The list of streamers, its changes, and its stored form.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use serde_json::{json, Value};
use thiserror::Error;

/// Receives the entries of a list or of a change.
pub trait Sink {
    /// A list or a change begins.
    fn list_begins(&mut self, listing: Listing);
    /// One entry.
    #[allow(clippy::too_many_arguments)]
    fn list_entry(
        &mut self, streamer: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        start: Start,
    );
    /// The list or the change is complete.
    fn list_ends(&mut self, listing: Listing);
}

/// One streamer of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub zone: u16,
    pub kind: usize,
    pub cell: u32,
    pub health: Health,
    pub weight: f64,
    /// Identifies the start of its process: a later start has another number.
    pub start_number: u64,
    /// Time of that start on this process's clock; zero is long past.
    pub started_at: Duration,
}

/// Why a message of the list service is rejected.
#[derive(Debug, Error, PartialEq)]
pub enum ListFault {
    #[error("malformed message of the list service: {0}")]
    Malformed(String),
    #[error("changes from revision {from} do not follow revision {current}")]
    Gap { from: u64, current: u64 },
    #[error("revision {received} is older than revision {current}")]
    Older { received: u64, current: u64 },
    #[error("{found} streamers where at most {MAX_ENTRIES} are allowed")]
    TooMany { found: usize },
}

/// Maximum number of streamers in a list: about ten times the largest planned fleet.
pub const MAX_ENTRIES: usize = 65_536;
/// Maximum length of a line in bytes: that many entries of about 100 bytes.
pub const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// The latest list that was applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamerList {
    /// Identifies the run of the list service to which the revision belongs.
    epoch: u64,
    revision: u64,
    entries: BTreeMap<StreamerId, Entry>,
}

impl StreamerList {
    /// The revision of the list within its epoch.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The epoch (run of the list service) and the revision of this list.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// The entry of a streamer.
    pub fn entry(&self, id: &StreamerId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// All entries, by streamer.
    pub fn entries(&self) -> impl Iterator<Item = (StreamerId, &Entry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// All streamers of the list.
    pub fn streamers(&self) -> Vec<StreamerId> {
        self.entries.keys().copied().collect()
    }

    /// The request for changes from the present revision on, or to stop them. It names the controller by its
    /// number, for the records of the service.
    pub fn changes_request(&self, want: bool, controller: u32) -> String {
        let Self { epoch, revision, .. } = self;
        format!(
            "{}\n",
            json!({"observe": want, "controller": controller, "epoch": epoch, "revision": revision})
        )
    }

    /// The request for the complete list, once.
    pub fn full_list_request(controller: u32) -> String {
        format!("{}\n", json!({"list": true, "controller": controller}))
    }

    /// Applies a message of the service and passes its entries on. Ages are subtracted from `now`.
    pub fn apply(&mut self, line: &[u8], now: Duration, sink: &mut impl Sink) -> Result<Listing, ListFault> {
        let message: Value =
            serde_json::from_slice(line).map_err(|error| ListFault::Malformed(error.to_string()))?;
        let listing = match message["how"].as_str() {
            Some("complete") => Listing::Complete,
            Some("changes") => Listing::Changes,
            Some("failed") => {
                sink.list_begins(Listing::Failed);
                sink.list_ends(Listing::Failed);
                return Ok(Listing::Failed);
            }
            _ => return Err(malformed("how")),
        };
        let epoch = message["epoch"].as_u64().ok_or_else(|| malformed("epoch"))?;
        let revision = message["revision"].as_u64().ok_or_else(|| malformed("revision"))?;
        if epoch == self.epoch && revision < self.revision {
            return Err(ListFault::Older { received: revision, current: self.revision });
        }
        if listing == Listing::Changes {
            let from = message["from"].as_u64().ok_or_else(|| malformed("from"))?;
            if epoch != self.epoch || from != self.revision {
                return Err(ListFault::Gap { from, current: self.revision });
            }
        }
        let received = self.parse_entries(&message["entries"], now)?;
        let added = received
            .iter()
            .filter(|(id, _)| listing == Listing::Changes && !self.entries.contains_key(id))
            .count();
        if listing == Listing::Changes && self.entries.len() + added > MAX_ENTRIES {
            return Err(ListFault::TooMany { found: self.entries.len() + added });
        }
        sink.list_begins(listing);
        if listing == Listing::Complete {
            self.entries.clear();
        }
        for (id, entry) in received {
            pass_entry(sink, id, &entry);
            match entry.health {
                Health::Gone => self.entries.remove(&id),
                _ => self.entries.insert(id, entry),
            };
        }
        (self.epoch, self.revision) = (epoch, revision);
        sink.list_ends(listing);
        Ok(listing)
    }

    /// Parses the entries of a message, of which one invalid entry makes all invalid.
    fn parse_entries(&self, received: &Value, now: Duration) -> Result<Vec<(StreamerId, Entry)>, ListFault> {
        let received = received.as_array().ok_or_else(|| malformed("entries"))?;
        if received.len() > MAX_ENTRIES {
            return Err(ListFault::TooMany { found: received.len() });
        }
        received
            .iter()
            .map(|entry| self.parse_entry(entry, now).ok_or_else(|| malformed(&entry.to_string())))
            .collect()
    }

    /// Parses one entry: address, zone, kind, cell, health, weight, start, and age in milliseconds if the
    /// start is known.
    fn parse_entry(&self, fields: &Value, now: Duration) -> Option<(StreamerId, Entry)> {
        let id: StreamerId = fields[0].as_str()?.parse().ok()?;
        let (zone, kind, cell) = (fields[1].as_u64()?, fields[2].as_u64()?, fields[3].as_u64()?);
        let (zone, kind, cell) = (zone.try_into().ok()?, kind.try_into().ok()?, cell.try_into().ok()?);
        let health = parse_health(fields[4].as_str()?)?;
        let weight = fields[5].as_f64().filter(|weight| *weight > 0.0)?;
        let start_number = fields[6].as_u64()?;
        // A known start keeps its time: ages are measured anew for each message, so the time would drift.
        let known = self.entries.get(&id).filter(|known| known.start_number == start_number);
        let started_at = match (known, fields[7].as_u64()) {
            (Some(known), _) => known.started_at,
            (None, Some(age)) => now.saturating_sub(Duration::from_millis(age)).max(Duration::from_micros(1)),
            (None, None) if fields[7].is_null() => Duration::ZERO,
            (None, None) => return None,
        };
        Some((id, Entry { zone, kind, cell, health, weight, start_number, started_at }))
    }

    /// The copy for the disk. `wall_clock` is the time of day at `now`, since the clock of this process means
    /// nothing to the next process.
    pub fn store(&self, now: Duration, wall_clock: Duration) -> String {
        let entries = self.entries.iter().map(|(id, entry)| {
            let started_at = match entry.started_at {
                Duration::ZERO => Value::Null,
                started_at => {
                    json!(wall_clock.saturating_sub(now.saturating_sub(started_at)).as_millis() as u64)
                }
            };
            let health = health_name(entry.health);
            json!([
                id.to_string(),
                entry.zone,
                entry.kind,
                entry.cell,
                health,
                entry.weight,
                entry.start_number,
                started_at
            ])
        });
        let entries: Vec<Value> = entries.collect();
        json!({"version": 1, "epoch": self.epoch, "revision": self.revision, "entries": entries}).to_string()
    }

    /// Reads what [`StreamerList::store`] wrote. If the time of day has gone back since, a start counts as
    /// just now: a warm streamer that counts as cold only gets less load.
    pub fn restore(text: &str, now: Duration, wall_clock: Duration) -> Result<Self, ListFault> {
        let mut stored: Value =
            serde_json::from_str(text).map_err(|error| ListFault::Malformed(error.to_string()))?;
        if stored["version"] != json!(1) {
            return Err(malformed("version"));
        }
        for entry in stored["entries"].as_array_mut().into_iter().flatten() {
            let started_at = entry.get(7).and_then(Value::as_u64).map(Duration::from_millis);
            if let (Some(started_at), Some(age)) = (started_at, entry.get_mut(7)) {
                *age = json!(wall_clock.saturating_sub(started_at).as_millis() as u64);
            }
        }
        let mut list = Self::default();
        let entries = list.parse_entries(&stored["entries"], now)?;
        list.entries = entries.into_iter().collect();
        list.epoch = stored["epoch"].as_u64().ok_or_else(|| malformed("epoch"))?;
        list.revision = stored["revision"].as_u64().ok_or_else(|| malformed("revision"))?;
        Ok(list)
    }

    /// Passes all entries on, as the list from the previous process.
    pub fn pass_cached(&self, sink: &mut impl Sink) {
        sink.list_begins(Listing::Cached);
        self.entries.iter().for_each(|(id, entry)| pass_entry(sink, *id, entry));
        sink.list_ends(Listing::Cached);
    }
}

/// Passes one entry to the receiver.
fn pass_entry(sink: &mut impl Sink, id: StreamerId, entry: &Entry) {
    let Entry { zone, kind, cell, health, weight, start_number, started_at } = *entry;
    sink.list_entry(id, zone, kind, cell, health, weight, Start { at: started_at, number: start_number });
}

fn malformed(field: &str) -> ListFault {
    ListFault::Malformed(format!("{field} is missing or invalid"))
}

/// Parses the name of a health.
fn parse_health(name: &str) -> Option<Health> {
    Some(match name {
        "gone" => Health::Gone,
        "ready" => Health::Ready,
        "draining" => Health::Draining,
        _ => return None,
    })
}

/// The name of a health in the list.
pub fn health_name(health: Health) -> &'static str {
    match health {
        Health::Gone => "gone",
        Health::Ready => "ready",
        Health::Draining => "draining",
    }
}
