//! A list service: knows which streamers run, drain or are gone, and tells controllers of it late.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_core::interface::{Health, StreamerId};
use badgerledge_discovery::{health_name, MAX_LINE_BYTES};
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};
use badgerledge_witness::RuleChecker;
use serde_json::{json, Value};

/// One streamer as the service lists it.
#[derive(Clone, Debug)]
struct Listed {
    zone: u16,
    kind: usize,
    cell: u32,
    health: Health,
    weight: f64,
    start: u64,
    /// None is long past.
    came_up: Option<Duration>,
    /// The revision that changed it last.
    revision: u64,
}

/// A change on its way: told only once its lag is over.
#[derive(Debug)]
struct Change {
    at: Duration,
    streamer: StreamerId,
    listed: Listed,
}

/// A controller's connection.
#[derive(Debug, Default)]
struct Reader {
    controller: Option<u32>,
    observes: bool,
    /// What it holds, as far as was sent.
    revision: u64,
}

pub struct ListService {
    /// Nothing while it is down.
    listener: Option<SocketId>,
    at: SocketAddr,
    epoch: u64,
    revision: u64,
    listed: BTreeMap<StreamerId, Listed>,
    coming: Vec<Change>,
    readers: BTreeMap<SocketId, Reader>,
    /// Added to every lag while it runs behind.
    behind: Duration,
    lines_sent: u64,
    /// Changes reach each reader late by a part of this, which is that reader's own.
    spread: Duration,
    late: BTreeSet<(Duration, SocketId)>,
}

const BOUNDS: Bounds = Bounds { input: 64 * 1024, output: MAX_LINE_BYTES };

impl ListService {
    pub fn new(reactor: &mut Reactor, at: SocketAddr) -> Result<Self> {
        let (listener, at) = reactor.listen(at, BOUNDS).with_context(|| format!("list service at {at}"))?;
        // Counted down from here: a run's name says nothing of its order.
        let epoch = 1000;
        Ok(Self {
            listener: Some(listener),
            at,
            epoch,
            revision: 0,
            listed: BTreeMap::new(),
            coming: Vec::new(),
            readers: BTreeMap::new(),
            behind: Duration::ZERO,
            lines_sent: 0,
            spread: Duration::ZERO,
            late: BTreeSet::new(),
        })
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub fn lines_sent(&self) -> u64 {
        self.lines_sent
    }

    /// Its process ends: all readers lose it.
    pub fn end(&mut self, reactor: &mut Reactor) {
        self.listener.take().into_iter().for_each(|listener| reactor.close(listener));
        std::mem::take(&mut self.readers).into_keys().for_each(|line| reactor.close(line));
        self.late.clear();
    }

    /// It starts anew at its address, counting changes from the first on.
    ///
    /// # Errors
    /// Where its address can't be had.
    pub fn start_anew(&mut self, reactor: &mut Reactor) -> Result<()> {
        if self.listener.is_none() {
            let at = self.at;
            let (listener, _) =
                reactor.listen(at, BOUNDS).with_context(|| format!("list service at {at}"))?;
            (self.listener, self.epoch, self.revision) = (Some(listener), self.epoch - 1, 1);
            self.listed.values_mut().for_each(|listed| listed.revision = 1);
        }
        Ok(())
    }

    /// From now on changes reach each reader late by a part of this: some at once, others by all of it.
    pub fn spread(&mut self, spread: Duration) {
        self.spread = spread;
    }

    /// Runs further behind from now on, or no more.
    pub fn run_behind(&mut self, by: Duration) {
        self.behind = by;
    }

    /// Something becomes known of a streamer, after `lag`.
    #[allow(clippy::too_many_arguments)]
    pub fn learn(
        &mut self, now: Duration, lag: Duration, streamer: StreamerId, zone: u16, kind: usize, cell: u32,
        health: Health, weight: f64, start: u64, came_up: Option<Duration>,
    ) {
        let listed = Listed { zone, kind, cell, health, weight, start, came_up, revision: 0 };
        let at = if lag.is_zero() { now } else { now + lag + self.behind };
        self.coming.push(Change { at, streamer, listed });
    }

    pub fn next_due(&self) -> Option<Duration> {
        let late = self.late.first().map(|late| late.0);
        self.coming.iter().map(|change| change.at).chain(late).min()
    }

    /// Tells what has become due.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration, witness: &mut RuleChecker) {
        while let Some((at, line)) = self.late.first().copied().filter(|late| late.0 <= now) {
            self.late.remove(&(at, line));
            self.send_changes(reactor, now, line, witness);
        }
        let (mut due, coming): (Vec<Change>, Vec<Change>) =
            std::mem::take(&mut self.coming).into_iter().partition(|change| change.at <= now);
        self.coming = coming;
        due.sort_by_key(|change| change.at);
        if due.is_empty() {
            return;
        }
        self.revision += 1;
        for Change { streamer, listed, .. } in due {
            // An old word that was held up must not undo a newer start.
            let newer = self.listed.get(&streamer).is_some_and(|known| known.start > listed.start);
            if !newer {
                self.listed.insert(streamer, Listed { revision: self.revision, ..listed });
            }
        }
        let observers: Vec<SocketId> =
            self.readers.iter().filter(|(_, reader)| reader.observes).map(|(line, _)| *line).collect();
        for line in observers {
            // A tenth of it, two tenths and so on, by the reader's number.
            let late = self.spread / 10 * (line % 11) as u32;
            if late.is_zero() {
                self.send_changes(reactor, now, line, witness);
            } else {
                self.late.insert((now + late, line));
            }
        }
    }

    /// Takes what is its own; tells whether it was.
    pub fn take(
        &mut self, reactor: &mut Reactor, now: Duration, happening: &ReactorEvent, witness: &mut RuleChecker,
    ) -> bool {
        match happening {
            ReactorEvent::Accepted { connection: line, listener, .. } if Some(*listener) == self.listener => {
                self.readers.insert(*line, Reader::default());
            }
            ReactorEvent::Readable(line) if self.readers.contains_key(line) => {
                self.read(reactor, now, *line, witness);
            }
            ReactorEvent::Closed(line, _) if self.readers.contains_key(line) => {
                self.readers.remove(line);
            }
            ReactorEvent::Drained(line) => return self.readers.contains_key(line),
            _ => return false,
        }
        true
    }

    fn read(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId, witness: &mut RuleChecker) {
        while let Some(end) = reactor.input(line).iter().position(|byte| *byte == b'\n') {
            let asked: Value = serde_json::from_slice(&reactor.input(line)[..end]).unwrap_or_default();
            reactor.consume(line, end + 1);
            let Some(reader) = self.readers.get_mut(&line) else { return };
            reader.controller = asked["controller"].as_u64().map(|controller| controller as u32);
            if asked["list"] == json!(true) {
                self.send_whole(reactor, now, line, witness);
                continue;
            }
            reader.observes = asked["observe"] == json!(true);
            let known = asked["epoch"] == json!(self.epoch);
            reader.revision = asked["revision"].as_u64().filter(|_| known).unwrap_or(0);
            if reader.observes && reader.revision == 0 {
                self.send_whole(reactor, now, line, witness);
            } else if reader.observes {
                self.send_changes(reactor, now, line, witness);
            }
        }
    }

    fn send_whole(
        &mut self, reactor: &mut Reactor, now: Duration, line: SocketId, witness: &mut RuleChecker,
    ) {
        let there = self.listed.iter().filter(|(_, listed)| listed.health != Health::Gone);
        let entries: Vec<Value> = there.map(|(id, listed)| entry(*id, listed, now)).collect();
        let text =
            json!({"how": "complete", "epoch": self.epoch, "revision": self.revision, "entries": entries});
        self.send(reactor, now, line, &text, 0, witness);
    }

    fn send_changes(
        &mut self, reactor: &mut Reactor, now: Duration, line: SocketId, witness: &mut RuleChecker,
    ) {
        let Some(from) = self.readers.get(&line).map(|reader| reader.revision) else { return };
        let fresh = self.listed.iter().filter(|(_, listed)| listed.revision > from);
        let entries: Vec<Value> = fresh.map(|(id, listed)| entry(*id, listed, now)).collect();
        let text = json!({"how": "changes", "epoch": self.epoch, "from": from, "revision": self.revision,
            "entries": entries});
        self.send(reactor, now, line, &text, from, witness);
    }

    fn send(
        &mut self, reactor: &mut Reactor, now: Duration, line: SocketId, text: &Value, from: u64,
        witness: &mut RuleChecker,
    ) {
        let Some(reader) = self.readers.get_mut(&line) else { return };
        if !reactor.send(line, &[text.to_string().as_bytes(), b"\n"]) {
            // It reads too slowly to be kept up with; it comes again and gets the whole list.
            reactor.close(line);
            self.readers.remove(&line);
            return;
        }
        reader.revision = self.revision;
        self.lines_sent += text["entries"].as_array().map_or(0, Vec::len) as u64;
        let Some(controller) = reader.controller else { return };
        for (streamer, listed) in self.listed.iter().filter(|(_, listed)| from == 0 || listed.revision > from)
        {
            witness.list_update_sent(now, controller, *streamer, listed.health != Health::Ready);
        }
    }
}

fn entry(id: StreamerId, listed: &Listed, now: Duration) -> Value {
    let age = listed.came_up.map(|came_up| now.saturating_sub(came_up).as_millis() as u64);
    let health = health_name(listed.health);
    json!([id.to_string(), listed.zone, listed.kind, listed.cell, health, listed.weight, listed.start, age])
}
