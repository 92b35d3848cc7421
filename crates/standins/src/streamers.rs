//! A fleet of streamers that share a process and a loop.
//!
//! Each has a link, a rack uplink that it shares, places for so many streams, and a set-up time; one that has just
//! started is cold, warms up, and falls over when all controllers together push it. Their reports are late and
//! noisy. What happens to them, and when, is told from outside.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_core::interface::StreamerId;
use badgerledge_deployment::Shared;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};
use badgerledge_rtsp::notes::note;
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::{describe, frame_header, Framer, Request, Response, Server, State, Unit};
use badgerledge_witness::RuleChecker;
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rtsp_types::{Method, StatusCode};

use crate::links::Links;
use crate::media::{packet, Packet, LONGEST};

/// What is told of one streamer.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub zone: u16,
    pub kind: usize,
    pub cell: u32,
    pub weight: f64,
}

/// How a streamer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Up,
    /// Its process does not run: connections are turned down.
    Down,
    /// It takes what comes and says nothing.
    Silent,
    /// It turns new work away.
    Draining,
}

/// One stream, on a connection of its own.
struct Stream {
    streamer: usize,
    framer: Framer,
    server: Server,
    /// The number of SETUP's answer that waits for the set-up time, and until when.
    set_up_at: Option<(Duration, Request)>,
    /// Told to the witness, which numbers it by the line.
    witnessed: bool,
    controller: u32,
    title: u64,
    room_type: usize,
    rung: u8,
    /// True rate over the ladder's, by title and moment.
    factor: f64,
    plays: bool,
    credit: f64,
    sequence: u16,
}

/// One streamer.
struct Streamer {
    told: Told,
    at: StreamerId,
    listener: Option<SocketId>,
    condition: Condition,
    start: u64,
    came_up: Option<Duration>,
    /// Its link over what its weight says.
    uneven: f64,
    /// What is left of its link in a trouble.
    slowed: f64,
    /// Set-ups take so much longer.
    aged: f64,
    /// The report in its answers, and when it is refreshed.
    report: Vec<f64>,
    report_at: Duration,
    fell: bool,
    set_ups: u64,
}

/// A note on its way to a stream.
struct Note {
    at: Duration,
    line: SocketId,
    kind: u8,
    value: f64,
}

pub struct Streamers {
    shared: Shared,
    fleet: Vec<Streamer>,
    links: Links,
    uplinks: Vec<f64>,
    listeners: BTreeMap<SocketId, usize>,
    streams: BTreeMap<SocketId, Stream>,
    notes: VecDeque<Note>,
    chance: Pcg64Mcg,
    next_start: u64,
    paced_at: Duration,
    told_at: Duration,
    short_at: Duration,
    was_short: Vec<bool>,
    /// Reports and notes run late by so much more.
    late: Duration,
    /// Set-ups take between these.
    set_up_time: (Duration, Duration),
    report_noise: f64,
    /// Media sent, by the streamer's building, the controller and the room type.
    sent: BTreeMap<(u16, u32, usize), u64>,
    /// The same by second, whatever the room type.
    by_second: BTreeMap<(u64, u16, u32), u64>,
    now: Duration,
    pub counts: Counts,
}

/// What the fleet did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub set_ups: u64,
    pub turned_away: u64,
    pub media_bytes: u64,
    pub fell: u64,
}

/// Media is paced this often: small against what a player buffers.
const PACE: Duration = Duration::from_millis(40);
/// Short delivery is told this often, as in the design's deployments.
const SHORT_EVERY: Duration = Duration::from_secs(1);
/// A report is refreshed this often.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// A packet's worth of credit is not let grow over this time: a stream that was starved does not burst.
const MOST_CREDIT: f64 = 0.25;
const BOUNDS: Bounds = Bounds { input: 72 * 1024, output: 256 * 1024 };

impl Streamers {
    pub fn new(shared: Shared, seed: u64) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (racks, mean) = (shared.fleet.racks as usize, shared.fleet.uplink_kb);
        let uplinks: Vec<f64> = (0..racks).map(|_| mean * spread(&mut chance, 0.2)).collect();
        Self {
            shared,
            fleet: Vec::new(),
            links: Links::default(),
            uplinks,
            listeners: BTreeMap::new(),
            streams: BTreeMap::new(),
            notes: VecDeque::new(),
            chance,
            next_start: 1,
            paced_at: Duration::ZERO,
            told_at: Duration::ZERO,
            short_at: Duration::ZERO,
            was_short: Vec::new(),
            late: Duration::ZERO,
            set_up_time: (Duration::from_millis(15), Duration::from_millis(60)),
            report_noise: 0.08,
            sent: BTreeMap::new(),
            by_second: BTreeMap::new(),
            now: Duration::ZERO,
            counts: Counts::default(),
        }
    }

    /// Adds a streamer, which listens at a free port of loopback. One with `came_up` has just started.
    pub fn add(&mut self, reactor: &mut Reactor, told: Told, came_up: Option<Duration>) -> Result<usize> {
        let (listener, at) = listen(reactor, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let streamer = self.fleet.len();
        self.listeners.insert(listener, streamer);
        let uneven = spread(&mut self.chance, 0.2);
        self.fleet.push(Streamer {
            told,
            at,
            listener: Some(listener),
            condition: Condition::Up,
            start: self.next_start,
            came_up,
            uneven,
            slowed: 1.0,
            aged: 1.0,
            report: Vec::new(),
            report_at: Duration::ZERO,
            fell: false,
            set_ups: 0,
        });
        self.next_start += 1;
        self.was_short.push(false);
        Ok(streamer)
    }

    pub fn len(&self) -> usize {
        self.fleet.len()
    }

    pub fn is_empty(&self) -> bool {
        self.fleet.is_empty()
    }

    pub fn told(&self, streamer: usize) -> Told {
        self.fleet[streamer].told
    }

    pub fn at(&self, streamer: usize) -> StreamerId {
        self.fleet[streamer].at
    }

    pub fn condition(&self, streamer: usize) -> Condition {
        self.fleet[streamer].condition
    }

    /// The number of its present start, and when that was.
    pub fn start(&self, streamer: usize) -> (u64, Option<Duration>) {
        (self.fleet[streamer].start, self.fleet[streamer].came_up)
    }

    /// Bytes of media sent, by the streamer's building, the controller and the room type.
    pub fn sent(&self) -> impl Iterator<Item = ((u16, u32, usize), u64)> + '_ {
        self.sent.iter().map(|(from, bytes)| (*from, *bytes))
    }

    /// Bytes of media sent in each second of the clock, by the streamer's building and the controller.
    pub fn sent_by_second(&self) -> impl Iterator<Item = ((u64, u16, u32), u64)> + '_ {
        self.by_second.iter().map(|(from, bytes)| (*from, *bytes))
    }

    /// Set-ups that came to each.
    pub fn set_ups(&self) -> Vec<u64> {
        self.fleet.iter().map(|one| one.set_ups).collect()
    }

    pub fn fell(&self, streamer: usize) -> bool {
        self.fleet[streamer].fell
    }

    /// The streams that play now: their streamers' cells, and their titles.
    pub fn streams(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        let plays = self.streams.values().filter(|stream| stream.plays);
        plays.map(|stream| (self.fleet[stream.streamer].told.cell, stream.title))
    }

    pub fn playing(&self) -> usize {
        self.streams.values().filter(|stream| stream.plays).count()
    }

    /// Ends a streamer's process: all its connections break.
    pub fn crash(&mut self, reactor: &mut Reactor, streamer: usize, witness: &mut RuleChecker) {
        self.fleet[streamer].condition = Condition::Down;
        if let Some(listener) = self.fleet[streamer].listener.take() {
            self.listeners.remove(&listener);
            reactor.close(listener);
        }
        self.drop_streams(reactor, streamer, witness);
    }

    fn drop_streams(&mut self, reactor: &mut Reactor, streamer: usize, witness: &mut RuleChecker) {
        let its: Vec<SocketId> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.streamer == streamer)
            .map(|(line, _)| *line)
            .collect();
        for line in its {
            reactor.close(line);
            self.over(line, witness);
        }
    }

    /// It takes everything from now on and says nothing.
    pub fn silence(&mut self, streamer: usize) {
        self.fleet[streamer].condition = Condition::Silent;
    }

    /// It turns new work away from now on.
    pub fn drain(&mut self, streamer: usize) {
        self.fleet[streamer].condition = Condition::Draining;
    }

    /// Starts a streamer's process anew, cold, at its address.
    pub fn restart(
        &mut self, reactor: &mut Reactor, streamer: usize, now: Duration, witness: &mut RuleChecker,
    ) -> Result<()> {
        self.drop_streams(reactor, streamer, witness);
        if self.fleet[streamer].listener.is_none() {
            let (listener, _) = listen(reactor, self.fleet[streamer].at)?;
            self.fleet[streamer].listener = Some(listener);
            self.listeners.insert(listener, streamer);
        }
        let (start, places) = (self.next_start, self.places(streamer));
        self.next_start += 1;
        let one = &mut self.fleet[streamer];
        (one.condition, one.start, one.came_up, one.fell) = (Condition::Up, start, Some(now), false);
        witness.streamer_started(now, one.at, places);
        Ok(())
    }

    fn places(&self, streamer: usize) -> f64 {
        let kind = self.fleet[streamer].told.kind;
        self.shared.fleet.kind_streams.get(kind).copied().unwrap_or(1.0)
    }

    /// What is left of a streamer's link, as a share.
    pub fn slow_link(&mut self, streamer: usize, left: f64) {
        self.fleet[streamer].slowed = left;
    }

    /// What is left of a rack's uplink, as a share of what it is now.
    pub fn slow_uplink(&mut self, rack: usize, left: f64) {
        if let Some(uplink) = self.uplinks.get_mut(rack) {
            *uplink *= left;
        }
    }

    /// Set-ups take so many times longer, and the link gives so much less: an old process.
    pub fn age(&mut self, streamer: usize, times: f64) {
        self.fleet[streamer].aged = times.max(1.0);
    }

    /// Reports and notes come late by so much more.
    pub fn run_late(&mut self, by: Duration) {
        self.late = by;
    }

    /// The share of its capacity that a streamer has warmed to.
    fn warmth(&self, streamer: usize, now: Duration) -> f64 {
        let rules = &self.shared.rules;
        let whole = Duration::from_millis(rules.warm_up_ms);
        match self.fleet[streamer].came_up {
            Some(came_up) if now < came_up + whole => {
                let grown = (now - came_up).as_secs_f64() / whole.as_secs_f64();
                rules.cold_from + (1.0 - rules.cold_from) * grown
            }
            _ => 1.0,
        }
    }

    /// Set-ups take between these times from now on.
    pub fn take_for_set_up(&mut self, least: Duration, most: Duration) {
        self.set_up_time = (least, most);
    }

    /// Takes what is its own; tells whether it was.
    pub fn take(
        &mut self, reactor: &mut Reactor, now: Duration, happening: &ReactorEvent, witness: &mut RuleChecker,
    ) -> bool {
        match happening {
            ReactorEvent::Accepted { connection: line, listener, .. } => {
                let Some(streamer) = self.listeners.get(listener).copied() else { return false };
                self.streams.insert(*line, Stream::new(streamer));
            }
            ReactorEvent::Readable(line) if self.streams.contains_key(line) => {
                self.read(reactor, now, *line, witness);
            }
            ReactorEvent::Closed(line, _) if self.streams.contains_key(line) => self.over(*line, witness),
            ReactorEvent::Drained(line) => return self.streams.contains_key(line),
            _ => return false,
        }
        true
    }

    fn over(&mut self, line: SocketId, witness: &mut RuleChecker) {
        if self.streams.remove(&line).is_some_and(|stream| stream.witnessed) {
            witness.join_ended(line);
        }
    }

    fn read(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId, witness: &mut RuleChecker) {
        let mut input = reactor.take_input(line);
        while let Some(stream) = self.streams.get_mut(&line) {
            match stream.framer.next(input.as_slice()) {
                Ok(Some((unit, used))) => {
                    if let Unit::Request(request) = unit {
                        self.request(reactor, now, line, request, witness);
                    }
                    input.consume(used);
                }
                Ok(None) => break,
                Err(_) => {
                    reactor.close_after_flush(line);
                    self.over(line, witness);
                }
            }
        }
        reactor.restore_input(line, input);
    }

    fn request(
        &mut self, reactor: &mut Reactor, now: Duration, line: SocketId, request: Request,
        witness: &mut RuleChecker,
    ) {
        let Some(stream) = self.streams.get_mut(&line) else { return };
        let (streamer, condition) = (stream.streamer, self.fleet[stream.streamer].condition);
        if let Err(answer) = stream.server.permits(&request) {
            return self.answer(reactor, line, answer);
        }
        match request.method() {
            Method::Setup => return self.set_up(reactor, now, line, request, witness),
            Method::Play => {
                stream.server.play();
                stream.plays = true;
                let answer = stream.server.answer(&request, StatusCode::Ok);
                self.answer(reactor, line, answer);
                if condition != Condition::Silent {
                    self.send_media(reactor, line, LONGEST as f64);
                    self.tell_fullness(now, line, Duration::ZERO);
                }
                return;
            }
            Method::Pause => {
                stream.server.pause();
                stream.plays = false;
            }
            Method::SetParameter => {
                let rung = request.number(words::RUNG).map(|rung| rung.min(255) as u8);
                let highest = self.shared.ladder.rates_kb.len() as u8 - 1;
                match rung {
                    Some(rung) => {
                        stream.rung = rung.min(highest);
                        witness.rung_changed(line, rung);
                    }
                    None => {
                        let answer = stream.server.answer(&request, StatusCode::ParameterNotUnderstood);
                        return self.answer(reactor, line, answer);
                    }
                }
            }
            Method::Teardown => {
                let answer = stream.server.answer(&request, StatusCode::Ok);
                self.answer(reactor, line, answer);
                self.over(line, witness);
                return reactor.close_after_flush(line);
            }
            Method::Options => {
                let answer = stream.server.options(&request);
                let answer = self.probed(now, streamer, answer);
                return self.answer(reactor, line, answer);
            }
            Method::Describe => {
                let title = request.request_uri().and_then(words::title).unwrap_or(0);
                let answer = stream.server.answer(&request, StatusCode::Ok);
                let text = describe::describe(title, Ipv4Addr::LOCALHOST.into());
                return self.answer(reactor, line, answer.replace_body(text));
            }
            _ => {}
        }
        let answer = stream.server.answer(&request, StatusCode::Ok);
        self.answer(reactor, line, answer);
    }

    fn set_up(
        &mut self, reactor: &mut Reactor, now: Duration, line: SocketId, request: Request,
        witness: &mut RuleChecker,
    ) {
        let Some(stream) = self.streams.get_mut(&line) else { return };
        let streamer = stream.streamer;
        let named = request.word(words::ROOM_TYPE).and_then(|name| self.shared.room_type(name));
        let (viewer, rung) =
            (request.hex(words::VIEWER).unwrap_or(0), request.number(words::RUNG).unwrap_or(0));
        stream.title = request.request_uri().and_then(words::title).unwrap_or(0);
        stream.room_type = named.unwrap_or(0);
        stream.rung = rung.min(self.shared.ladder.rates_kb.len() as u64 - 1) as u8;
        stream.factor = title_factor(stream.title);
        stream.controller =
            request.word(words::JOIN).and_then(|join| join.split('/').next()?.parse().ok()).unwrap_or(0);
        stream.witnessed = true;
        let (title, room_type, rung) = (stream.title, stream.room_type, rung.min(255) as u8);
        let at = self.fleet[streamer].at;
        let fell = witness.set_up_received(now, line, at, viewer, title, room_type, rung);
        self.counts.set_ups += 1;
        self.fleet[streamer].set_ups += 1;
        if fell {
            self.counts.fell += 1;
            self.crash(reactor, streamer, witness);
            self.fleet[streamer].fell = true;
            return;
        }
        let taken = self.streams.values().filter(|one| one.streamer == streamer && one.takes_place()).count();
        let status = match self.fleet[streamer].condition {
            Condition::Draining => StatusCode::ServiceUnavailable,
            _ if taken as f64 >= self.places(streamer) => StatusCode::NotEnoughBandwidth,
            _ => {
                let wait = between(&mut self.chance, self.set_up_time).mul_f64(self.fleet[streamer].aged);
                if let Some(stream) = self.streams.get_mut(&line) {
                    stream.set_up_at = Some((now + wait, request));
                }
                return;
            }
        };
        self.counts.turned_away += 1;
        witness.set_up_rejected(line);
        if let Some(stream) = self.streams.get_mut(&line) {
            stream.witnessed = false;
            let answer = stream.server.answer(&request, status);
            let answer = self.with_report(now, streamer, answer);
            self.answer(reactor, line, answer);
        }
    }

    /// Answers a SETUP whose time has come.
    fn grant(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId) {
        let Some(stream) = self.streams.get_mut(&line) else { return };
        let Some((_, request)) = stream.set_up_at.take() else { return };
        let channels = badgerledge_rtsp::interleaved(&request).unwrap_or((0, 1));
        let streamer = stream.streamer;
        stream.server.set_up(format!("{line:x}"), 60, channels);
        let cseq = request.header(&rtsp_types::headers::CSEQ).map(|cseq| cseq.as_str());
        let answer = stream.server.setup_answer(cseq);
        let answer = self.with_report(now, streamer, answer);
        self.answer(reactor, line, answer);
    }

    fn answer(&mut self, reactor: &mut Reactor, line: SocketId, answer: Response) {
        let silent = self
            .streams
            .get(&line)
            .is_some_and(|stream| self.fleet[stream.streamer].condition == Condition::Silent);
        let mut bytes = Vec::new();
        if !silent && answer.write(&mut bytes).is_ok() {
            reactor.send(line, &[&bytes]);
        }
    }

    /// An answer to a set-up has the report with it unless only probes do.
    fn with_report(&mut self, now: Duration, streamer: usize, answer: Response) -> Response {
        if self.shared.fleet.by_probe() {
            return answer;
        }
        self.probed(now, streamer, answer)
    }

    /// The load report as it was last refreshed, some time ago and with noise.
    fn probed(&mut self, now: Duration, streamer: usize, mut answer: Response) -> Response {
        if now >= self.fleet[streamer].report_at {
            let inflight = self.streams.values().filter(|one| one.streamer == streamer && one.takes_place());
            let inflight = inflight.count() as f64;
            let (link, uplink) =
                (self.links.link(streamer).fullness(), self.links.uplink(streamer).fullness());
            let noise = self.report_noise;
            let values = self.shared.fleet.report.iter().map(|field| {
                let value = match field.as_str() {
                    "rif" => inflight,
                    "x0" => link,
                    "x1" => uplink,
                    "busy" => link.min(1.0),
                    _ => 0.0,
                };
                value * spread(&mut self.chance, noise)
            });
            self.fleet[streamer].report = values.collect();
            self.fleet[streamer].report_at = now + REPORT_EVERY + self.late;
        }
        let values: Vec<String> =
            self.fleet[streamer].report.iter().map(|value| format!("{value:.4}")).collect();
        if !values.is_empty() {
            answer.insert_header(words::name(words::LOAD), values.join(", "));
        }
        answer
    }

    pub fn next_due(&self) -> Option<Duration> {
        let set_ups = self.streams.values().filter_map(|stream| Some(stream.set_up_at.as_ref()?.0)).min();
        let pace = (!self.streams.is_empty()).then_some(self.paced_at + PACE);
        [set_ups, pace].into_iter().flatten().min()
    }

    /// Does what is due: answers set-ups, sends media and notes.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        self.now = now;
        let granted = self.streams.iter().filter(|(_, stream)| {
            let due = stream.set_up_at.as_ref().is_some_and(|(at, _)| *at <= now);
            due && self.fleet[stream.streamer].condition != Condition::Silent
        });
        let granted: Vec<SocketId> = granted.map(|(line, _)| *line).collect();
        granted.into_iter().for_each(|line| self.grant(reactor, now, line));
        if now >= self.paced_at + PACE {
            let span = (now - self.paced_at).as_secs_f64().min(MOST_CREDIT);
            self.paced_at = now;
            self.share_links(now);
            self.pace(reactor, span);
        }
        self.make_notes(now);
        while self.notes.front().is_some_and(|note| note.at <= now) {
            let Some(Note { line, kind, value, .. }) = self.notes.pop_front() else { break };
            self.send_control(reactor, line, &note(line as u32, kind, value));
        }
    }

    fn share_links(&mut self, now: Duration) {
        for streamer in 0..self.fleet.len() {
            let one = &self.fleet[streamer];
            let link = self.shared.fleet.link_unit_kb * one.told.weight * one.uneven * one.slowed / one.aged;
            let rack = (one.told.cell % self.shared.fleet.racks) as usize;
            self.links.set_link(streamer, rack, link * self.warmth(streamer, now));
        }
        self.uplinks.iter().enumerate().for_each(|(rack, gives)| self.links.set_uplink(rack, *gives));
        let mut asked: BTreeMap<usize, f64> = BTreeMap::new();
        for stream in self.streams.values().filter(|stream| stream.plays) {
            *asked.entry(stream.streamer).or_default() += rate(&self.shared, stream);
        }
        self.links.ask(asked.into_iter());
    }

    fn pace(&mut self, reactor: &mut Reactor, span: f64) {
        let playing = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.plays && self.fleet[stream.streamer].condition != Condition::Silent);
        let playing: Vec<(SocketId, f64)> = playing
            .map(|(line, stream)| (*line, rate(&self.shared, stream) * self.links.share(stream.streamer)))
            .collect();
        for (line, rate) in playing {
            self.send_media(reactor, line, rate * 1000.0 * span);
        }
    }

    /// Sends as many packets as the credit allows, at least one byte's worth at a time.
    fn send_media(&mut self, reactor: &mut Reactor, line: SocketId, credit: f64) {
        let Some(stream) = self.streams.get_mut(&line) else { return };
        let rate = (rate(&self.shared, stream) * 1000.0) as u32;
        stream.credit += credit;
        let channel = stream.server.channels().0;
        // Small rates get small packets, so that each pace sends something.
        let size = LONGEST.min((rate as usize / 20).max(100));
        while stream.credit >= size as f64 {
            stream.credit -= size as f64;
            let said = Packet { sequence: stream.sequence, rung: stream.rung, rate };
            let timestamp = u32::from(stream.sequence).wrapping_mul(3600);
            let bytes = packet(said, line as u32, timestamp, size);
            stream.sequence = stream.sequence.wrapping_add(1);
            let header = frame_header(channel, bytes.len() as u16);
            if reactor.send(line, &[&header, &bytes]) {
                self.counts.media_bytes += bytes.len() as u64;
                let from = (self.fleet[stream.streamer].told.zone, stream.controller, stream.room_type);
                *self.sent.entry(from).or_default() += bytes.len() as u64;
                let second = (self.now.as_secs(), from.0, from.1);
                *self.by_second.entry(second).or_default() += bytes.len() as u64;
            }
        }
    }

    fn send_control(&mut self, reactor: &mut Reactor, line: SocketId, bytes: &[u8]) {
        let Some(stream) = self.streams.get(&line).filter(|stream| stream.server.state() != State::Init)
        else {
            return;
        };
        if self.fleet[stream.streamer].condition != Condition::Silent {
            let header = frame_header(stream.server.channels().1, bytes.len() as u16);
            reactor.send(line, &[&header, bytes]);
        }
    }

    /// Notes 3 and 4 on one stream, as they come with its set-up or later.
    fn tell_fullness(&mut self, now: Duration, line: SocketId, late: Duration) {
        let Some(stream) = self.streams.get(&line).filter(|_| !self.shared.fleet.by_probe()) else { return };
        let streamer = stream.streamer;
        let has = |field: &str| self.shared.fleet.report.iter().any(|known| known == field);
        let mut tell = |kind, value| self.notes.push_back(Note { at: now + late, line, kind, value });
        tell(3, self.links.link(streamer).fullness());
        if has("x1") {
            tell(4, self.links.uplink(streamer).fullness());
        }
    }

    /// Short delivery once a second, and how full links are at longer times, on one stream for each controller,
    /// all at the same time and late.
    fn make_notes(&mut self, now: Duration) {
        let late = Duration::from_millis(self.shared.fleet.told_late_ms) + self.late;
        let every = Duration::from_millis(self.shared.fleet.told_every());
        let short = now >= self.short_at + SHORT_EVERY;
        let full = !every.is_zero() && now >= self.told_at + every;
        if !short && !full {
            return;
        }
        let mut heard: BTreeMap<(usize, u32), SocketId> = BTreeMap::new();
        for (line, stream) in self.streams.iter().filter(|(_, stream)| stream.plays) {
            heard.entry((stream.streamer, stream.controller)).or_insert(*line);
        }
        if short {
            self.short_at = now;
            let shares: Vec<f64> = (0..self.fleet.len()).map(|streamer| self.links.share(streamer)).collect();
            for ((streamer, _), line) in &heard {
                let share = shares[*streamer];
                if share < 0.98 || self.was_short[*streamer] {
                    self.notes.push_back(Note { at: now + late, line: *line, kind: 1, value: share });
                }
            }
            self.was_short = shares.iter().map(|share| *share < 0.98).collect();
        }
        if full {
            self.told_at = now;
            heard.values().for_each(|line| self.tell_fullness(now, *line, late));
        }
        self.notes.make_contiguous().sort_by_key(|note| note.at);
    }
}

impl Stream {
    fn new(streamer: usize) -> Self {
        Self {
            streamer,
            framer: Framer::default(),
            server: Server::default(),
            set_up_at: None,
            witnessed: false,
            controller: 0,
            title: 0,
            room_type: 0,
            rung: 0,
            factor: 1.0,
            plays: false,
            credit: 0.0,
            sequence: 0,
        }
    }

    /// It is being set up, or was.
    fn takes_place(&self) -> bool {
        self.set_up_at.is_some() || self.server.state() != State::Init
    }
}

/// What a stream asks for, kB a second.
fn rate(shared: &Shared, stream: &Stream) -> f64 {
    let ladder = shared.ladder.rates_kb.get(usize::from(stream.rung)).copied().unwrap_or(0.0);
    let scale = shared.room_types.get(stream.room_type).map_or(1.0, |(_, told)| told.scale);
    ladder * scale * stream.factor
}

/// True rates lie off the ladder's by up to 15 in 100, by title.
fn title_factor(title: u64) -> f64 {
    let mixed = title.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    0.85 + 0.3 * (mixed as f64 / f64::from(1 << 24))
}

fn listen(reactor: &mut Reactor, at: SocketAddrV4) -> Result<(SocketId, StreamerId)> {
    let (listener, at) =
        reactor.listen(SocketAddr::V4(at), BOUNDS).with_context(|| format!("streamer at {at}"))?;
    match at {
        SocketAddr::V4(at) => Ok((listener, at)),
        SocketAddr::V6(at) => anyhow::bail!("streamer at {at}: an IPv4 address is wanted"),
    }
}

/// A number around 1, within so much of it.
fn spread(chance: &mut Pcg64Mcg, within: f64) -> f64 {
    1.0 + within * (2.0 * share(chance) - 1.0)
}

/// A number from 0 up to, but not, 1.
pub(crate) fn share(chance: &mut Pcg64Mcg) -> f64 {
    (chance.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

pub(crate) fn between(chance: &mut Pcg64Mcg, (least, most): (Duration, Duration)) -> Duration {
    least + (most.saturating_sub(least)).mul_f64(share(chance))
}
