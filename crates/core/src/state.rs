//! Plain records that the decisions keep. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::interface::{Asked, Health, JobId, StreamerId};
use crate::told::{mean, Told};

/// What can be asked for more than it gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pipe {
    Link(StreamerId),
    Uplink(u32),
}

impl Pipe {
    /// The uplink of a cell's rack.
    pub fn uplink(cell: u32, told: &Told) -> Self {
        Pipe::Uplink(cell % told.racks)
    }
}

/// What is known of one pipe. Rates in kB a second.
#[derive(Debug)]
pub struct Gauge {
    /// What all others ask of it, as last worked out.
    pub others: f64,
    pub measured_at: Duration,
    /// When this instance last measured it itself, and when all were last told of it.
    pub seen_at: Duration,
    pub told_at: Duration,
    /// Whether its use was ever measured.
    pub measured: bool,
    /// What this instance asks of it now, and what it asked from when on.
    pub asks: f64,
    pub asked: VecDeque<(Duration, f64)>,
    /// What this instance may ask of it until the next measure.
    pub allowance: f64,
    /// Until when no further cut is made: the last one has yet to show.
    pub cut_until: Duration,
    /// When it last was found to deliver short.
    pub short_at: Option<Duration>,
    /// Its size as stated, before any warmth; and for an uplink the streamers behind it.
    pub stated: f64,
    pub rack: Vec<StreamerId>,
}

/// What stands for a pipe that was never named.
static UNKNOWN: Gauge = Gauge::new();

/// All pipes.
#[derive(Default)]
pub struct Pipes {
    pub all: BTreeMap<Pipe, Gauge>,
}

impl Pipes {
    pub fn of(&self, pipe: Pipe) -> &Gauge {
        self.all.get(&pipe).unwrap_or(&UNKNOWN)
    }

    /// Notes a change of what this instance asks of a pipe.
    pub fn ask(&mut self, pipe: Pipe, more: f64, now: Duration) {
        if let Some(g) = self.all.get_mut(&pipe) {
            g.asks += more;
            g.note(now, Duration::from_secs(10));
        }
    }

    /// Notes anew what pipes there are, their stated sizes, and who is behind each uplink.
    pub fn lay(&mut self, streamers: &BTreeMap<StreamerId, Streamer>, told: &Told) {
        let ready = streamers.values().filter(|s| s.health == Health::Ready);
        let places = mean(ready.map(|s| told.places(s.kind))).unwrap_or(1.0);
        self.all.values_mut().for_each(|g| g.rack.clear());
        let mut cells: BTreeMap<u32, f64> = BTreeMap::new();
        for (id, s) in streamers {
            let link = told.stated_link(s.weight, s.kind, places);
            self.all.entry(Pipe::Link(*id)).or_default().stated = link;
            cells.insert(s.cell, link);
            let uplink = self.all.entry(Pipe::uplink(s.cell, told)).or_default();
            if s.health != Health::Gone {
                uplink.rack.push(*id);
            }
        }
        // Only the mean uplink is told: a rack's goes by the links that its cells have had.
        let mut racks: BTreeMap<Pipe, f64> = BTreeMap::new();
        for (cell, link) in cells {
            *racks.entry(Pipe::uplink(cell, told)).or_default() += link;
        }
        let usual = mean(racks.values().copied()).unwrap_or(1.0);
        for (pipe, links) in racks {
            let stated = told.figure("/familyInfo/uplinkKb", 1e12) * links / usual;
            self.all.entry(pipe).and_modify(|g| g.stated = stated);
        }
    }
}

/// Forgets streamers that are gone once another has their cell and nothing of ours is there: ids are new each time, and
/// would be kept for good. The last one of a cell stays, since a rack's uplink goes by its cells' links.
pub fn forget(
    streamers: &mut BTreeMap<StreamerId, Streamer>, pipes: &mut Pipes, subs: &BTreeMap<JobId, Subscription>,
) {
    let here = streamers.values().filter(|s| s.health != Health::Gone);
    let cells: BTreeSet<u32> = here.map(|s| s.cell).collect();
    let held: BTreeSet<StreamerId> = subs.values().filter_map(|s| s.at).collect();
    streamers.retain(|id, s| s.health != Health::Gone || !cells.contains(&s.cell) || held.contains(id));
    pipes.all.retain(|pipe, _| match pipe {
        Pipe::Link(id) => streamers.contains_key(id),
        Pipe::Uplink(_) => true,
    });
}

impl Gauge {
    pub const fn new() -> Self {
        Self {
            others: 0.0,
            measured_at: Duration::ZERO,
            seen_at: Duration::ZERO,
            told_at: Duration::ZERO,
            measured: false,
            asks: 0.0,
            asked: VecDeque::new(),
            allowance: 0.0,
            cut_until: Duration::ZERO,
            short_at: None,
            stated: 1.0,
            rack: Vec::new(),
        }
    }

    /// Whether its use was measured within that span.
    pub fn fresh(&self, now: Duration, span: Duration) -> bool {
        self.measured && now < self.measured_at + span
    }

    /// Notes what this instance asks from now on, and forgets what is older than `keep`.
    pub fn note(&mut self, now: Duration, keep: Duration) {
        match self.asked.back_mut() {
            Some((at, last)) if *at == now => *last = self.asks,
            _ => self.asked.push_back((now, self.asks)),
        }
        while self.asked.get(1).is_some_and(|(at, _)| *at + keep < now) {
            self.asked.pop_front();
        }
    }

    /// What this instance asked of it at that time.
    pub fn asked_at(&self, then: Duration) -> f64 {
        self.asked.iter().rev().find(|(at, _)| *at <= then).map_or(0.0, |(_, rate)| *rate)
    }
}

impl Default for Gauge {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Clone, Debug)]
pub struct Streamer {
    pub zone: u16,
    pub kind: usize,
    pub cell: u32,
    pub health: Health,
    pub weight: f64,
    pub came_up: Duration,
    /// What the list tells that start by.
    pub start: u64,
    /// Joins that ended well and badly of late, fading since then.
    pub served: f64,
    pub terminated: f64,
    pub faded: Duration,
    pub away_until: Duration,
    pub full_until: Duration,
    /// When a note last told what share it delivers, and that share.
    pub delivered: (Duration, f64),
    /// When it was last seen to break; a restart may have followed unseen.
    pub broke: Option<Duration>,
    /// When it was last probed, and when it last answered a probe.
    pub looked: Duration,
    pub echoed: Duration,
    /// When joins were sent of late.
    pub sent: VecDeque<Duration>,
    pub listed: bool,
}

impl Streamer {
    pub fn new(health: Health, now: Duration) -> Self {
        Self {
            zone: 0,
            kind: 0,
            cell: 0,
            health,
            weight: 1.0,
            came_up: Duration::ZERO,
            start: 0,
            served: 0.0,
            terminated: 0.0,
            faded: now,
            away_until: Duration::ZERO,
            full_until: Duration::ZERO,
            delivered: (Duration::ZERO, 1.0),
            broke: None,
            looked: Duration::ZERO,
            echoed: Duration::ZERO,
            sent: VecDeque::new(),
            listed: true,
        }
    }

    /// Whether its last probe, of no longer ago than `span`, was not answered.
    pub fn silent(&self, now: Duration, span: Duration) -> bool {
        self.echoed < self.looked && now < self.looked + span
    }

    /// Keeps when a join was sent, far past any window that is counted over.
    pub fn note_sent(&mut self, now: Duration) {
        self.sent.push_back(now);
        self.sent.retain(|t| *t + Duration::from_secs(30) > now);
    }
}

#[derive(Clone, Debug, Default)]
pub struct Subscription {
    pub asked: Asked,
    pub taken: Duration,
    /// Joins sent so far.
    pub joins: u32,
    /// Whether streamers were probed for it.
    pub looked: bool,
    /// The streamer of the join that is out, or that it plays on.
    pub at: Option<StreamerId>,
    pub sent: Duration,
    pub plays: bool,
    pub rung: u8,
    pub stepped: Duration,
    /// The highest rung for now, where a budget for crossing tells one.
    pub cap: Option<u8>,
    /// Whether the notes that come with its set-up are in.
    pub noted: bool,
    /// Joins that may have run, with their times; and all streamers tried.
    pub ran: Vec<(StreamerId, Duration)>,
    pub tried: Vec<StreamerId>,
}
