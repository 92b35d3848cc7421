//! Viewers who ask, watch at a rung, give up when their share of the rate falls, and come again.
//!
//! Their arrivals are planned ahead and do not wait for answers (an open loop). A viewer wants its title from its
//! arrival to the end of its life; each second of that counts in the [`Tally`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_deployment::Shared;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};
use badgerledge_rtsp::notes::{notes, Note};
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::{Client, Framer, Request, Response, Server, Unit};
use badgerledge_witness::RuleChecker;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, StatusCode};

use crate::media::Packet;
use crate::streamers::{between, share};
use crate::tally::{Tally, SWING};

/// One viewer, as planned.
#[derive(Clone, Debug)]
pub struct Plan {
    pub at: Duration,
    pub title: u64,
    pub room_type: usize,
    pub max_rung: u8,
    /// It wants the title for so long from its arrival on.
    pub life: Duration,
    /// Whether it tells how long that is.
    pub hints: bool,
    pub zone: usize,
}

/// How viewers behave.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// The part that comes again after a break or a throttled answer, and after how long.
    pub returns: f64,
    pub rejoin: (Duration, Duration),
    /// The part that stays away as long as it is told.
    pub honour: f64,
    /// The part that asks again on a new connection while its first try is out.
    pub impatient: f64,
    /// How long a moved one stays away.
    pub move_gap: (Duration, Duration),
    /// How long viewers go on coming to a controller that is dead.
    pub notice: Duration,
    /// Tries of one viewer at most.
    pub tries: u32,
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            returns: 0.9,
            rejoin: (Duration::from_millis(800), Duration::from_millis(2500)),
            honour: 0.7,
            impatient: 0.05,
            move_gap: (Duration::from_millis(200), Duration::from_millis(600)),
            notice: Duration::from_millis(1500),
            tries: 12,
        }
    }
}

/// What is due for a viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Ask,
    AskToo,
    TimeOut(u64),
    Leave,
}

/// One viewer's state.
struct Viewer {
    plan: Plan,
    key: u64,
    tries: u32,
    /// The line that plays.
    plays: Option<SocketId>,
    moved: Option<usize>,
    returning: bool,
    gone: bool,
    rung: u8,
    /// When it saw its last step on this line, and whether that was up.
    stepped: Option<(Duration, bool)>,
    /// The answer came within the join objective.
    in_time: bool,
    /// Bytes of media since `counted`, and the rate they are of.
    bytes: u64,
    rate: u32,
    counted: Duration,
    share: f64,
    short_for: u32,
}

/// One connection of a viewer.
struct Conn {
    viewer: usize,
    controller: usize,
    framer: Framer,
    client: Client,
    ask: Option<u64>,
    asked_at: Duration,
    answered: bool,
    plays: bool,
    retry: bool,
}

pub struct Viewers {
    shared: Shared,
    habits: Habits,
    controllers: Vec<(SocketAddr, usize)>,
    /// Until when a controller is known to be dead.
    dead_until: Vec<Duration>,
    /// Since when a controller turned connections down.
    dead_since: Vec<Option<Duration>>,
    lean: Vec<f64>,
    viewers: Vec<Viewer>,
    conns: BTreeMap<SocketId, Conn>,
    due: BTreeSet<(Duration, usize, What)>,
    chance: Pcg64Mcg,
    next_ask: u64,
    counted_at: Duration,
    start: Duration,
    pub tally: Tally,
    pub counts: Counts,
    /// By controller.
    pub served: Vec<Served>,
}

/// What one controller's viewers had.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub asks: u64,
    pub plays: u64,
    /// Benefit that those who played could have had and did have.
    pub offered: f64,
    pub earned: f64,
}

/// What the viewers met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asks: u64,
    pub plays: u64,
    pub throttled: u64,
    pub terminated: u64,
    pub no_answer: u64,
    pub moved: u64,
    pub breaks: u64,
    pub gave_up: u64,
    pub media_bytes: u64,
}

const BOUNDS: Bounds = Bounds { input: 256 * 1024, output: 16 * 1024 };
/// Benefit is counted this often.
const COUNT_EVERY: Duration = Duration::from_millis(250);
/// The share that comes is measured over this long.
const MEASURE: Duration = Duration::from_secs(2);
/// Under this share for two measures, viewers begin to leave.
const LEAVES_UNDER: f64 = 0.75;

impl Viewers {
    /// `controllers` are the addresses and buildings; times of plans count from `start`.
    pub fn new(
        shared: Shared, habits: Habits, controllers: Vec<(SocketAddr, usize)>, plans: Vec<Plan>,
        start: Duration, seed: u64,
    ) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let due = plans.iter().enumerate().map(|(n, plan)| (start + plan.at, n, What::Ask)).collect();
        let viewers = plans.into_iter().enumerate().map(|(n, plan)| Viewer::new(plan, n)).collect();
        let lean = controllers.iter().map(|_| 0.5 + share(&mut chance)).collect();
        Self {
            served: vec![Served::default(); controllers.len()],
            tally: Tally::new(&shared),
            shared,
            habits,
            dead_until: vec![Duration::ZERO; controllers.len()],
            dead_since: vec![None; controllers.len()],
            controllers,
            lean,
            viewers,
            conns: BTreeMap::new(),
            due,
            chance,
            next_ask: 1,
            counted_at: start,
            start,
            counts: Counts::default(),
        }
    }

    /// Whether no viewer wants anything any more.
    pub fn done(&self, now: Duration) -> bool {
        self.viewers.iter().all(|viewer| viewer.gone || self.start + viewer.plan.at + viewer.plan.life <= now)
            && self.conns.is_empty()
    }

    pub fn playing(&self) -> usize {
        self.viewers.iter().filter(|viewer| viewer.plays.is_some()).count()
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Duration> {
        let due = self.due.first().map(|due| due.0);
        [due, Some(self.counted_at + COUNT_EVERY)].into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration, witness: &mut RuleChecker) {
        while let Some((at, viewer, what)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.remove(&(at, viewer, what));
            match what {
                What::Ask => self.ask(reactor, now, viewer, false),
                What::AskToo => {
                    let waits = self.conns.values().any(|conn| conn.viewer == viewer && conn.waits());
                    if waits && self.viewers[viewer].plays.is_none() {
                        self.ask(reactor, now, viewer, true);
                    }
                }
                What::TimeOut(ask) => self.time_out(reactor, now, viewer, ask, witness),
                What::Leave => self.leave(reactor, viewer, witness),
            }
        }
        if now >= self.counted_at + COUNT_EVERY {
            self.count(reactor, now, witness);
        }
    }

    fn ends(&self, viewer: usize) -> Duration {
        let plan = &self.viewers[viewer].plan;
        self.start + plan.at + plan.life
    }

    /// Picks a controller of the viewer's building that is not known to be dead, or any.
    fn pick(&mut self, viewer: usize, now: Duration) -> usize {
        if let Some(same) = self.viewers[viewer].moved {
            return same;
        }
        let zone = self.viewers[viewer].plan.zone;
        let weight = |n: usize| {
            let home = if self.controllers[n].1 == zone { 1.0 } else { 1e-3 };
            let alive = if self.dead_until[n] > now { 1e-6 } else { 1.0 };
            self.lean[n] * home * alive
        };
        let weights: Vec<f64> = (0..self.controllers.len()).map(weight).collect();
        let mut left = share(&mut self.chance) * weights.iter().sum::<f64>();
        weights
            .iter()
            .position(|weight| {
                left -= weight;
                left <= 0.0
            })
            .unwrap_or(0)
    }

    fn ask(&mut self, reactor: &mut Reactor, now: Duration, viewer: usize, retry: bool) {
        if self.viewers[viewer].gone
            || now >= self.ends(viewer)
            || self.viewers[viewer].tries >= self.habits.tries
        {
            self.viewers[viewer].gone = true;
            return;
        }
        self.viewers[viewer].tries += 1;
        let controller = match self.conns.values().find(|conn| conn.viewer == viewer && conn.waits()) {
            Some(first) if retry => first.controller,
            _ => self.pick(viewer, now),
        };
        // A connection takes no longer than a viewer waits anyhow.
        match reactor.connect(self.controllers[controller].0, Duration::from_secs(1), BOUNDS) {
            Ok(line) => {
                let conn = Conn {
                    viewer,
                    controller,
                    framer: Framer::default(),
                    client: Client::default(),
                    ask: None,
                    asked_at: now,
                    answered: false,
                    plays: false,
                    retry,
                };
                self.conns.insert(line, conn);
            }
            Err(_) => self.come_again(now, viewer, None),
        }
    }

    /// Comes again after a break, if it is one that does.
    fn come_again(&mut self, now: Duration, viewer: usize, told: Option<Duration>) {
        let waits = self.conns.values().any(|conn| conn.viewer == viewer);
        if self.viewers[viewer].gone || waits || self.viewers[viewer].plays.is_some() {
            return;
        }
        if share(&mut self.chance) >= self.habits.returns {
            self.viewers[viewer].gone = true;
            return;
        }
        let own = between(&mut self.chance, self.habits.rejoin);
        let told = told.filter(|_| share(&mut self.chance) < self.habits.honour);
        self.viewers[viewer].returning = true;
        self.due.insert((now + told.unwrap_or(own), viewer, What::Ask));
    }

    /// Takes what is its own; tells whether it was.
    pub fn take(
        &mut self, reactor: &mut Reactor, now: Duration, happening: &ReactorEvent, witness: &mut RuleChecker,
    ) -> bool {
        match happening {
            ReactorEvent::Opened(line) if self.conns.contains_key(line) => {
                self.opened(reactor, now, *line, witness)
            }
            ReactorEvent::Readable(line) if self.conns.contains_key(line) => {
                self.read(reactor, now, *line, witness)
            }
            ReactorEvent::Closed(line, _) if self.conns.contains_key(line) => self.closed(now, *line),
            ReactorEvent::Drained(line) => return self.conns.contains_key(line),
            _ => return false,
        }
        true
    }

    fn opened(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId, witness: &mut RuleChecker) {
        let Some(conn) = self.conns.get_mut(&line) else { return };
        let (n, controller) = (conn.viewer, conn.controller);
        self.dead_since[controller] = None;
        self.dead_until[controller] = Duration::ZERO;
        let viewer = &self.viewers[n];
        let (name, told) = &self.shared.room_types[viewer.plan.room_type];
        let client_timeout = Duration::from_millis(told.client_timeout_ms);
        let marks: Vec<&str> = [
            (conn.retry || viewer.returning && viewer.moved.is_none()).then_some("retry"),
            viewer.moved.map(|_| "moved"),
        ]
        .into_iter()
        .flatten()
        .collect();
        let mut headers: Vec<(HeaderName, String)> = vec![
            (headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=0-1".to_owned()),
            (words::name(words::VIEWER), format!("{:x}", viewer.key)),
            (words::name(words::ROOM_TYPE), name.clone()),
            (words::name(words::CLIENT_TIMEOUT), told.client_timeout_ms.to_string()),
            (words::name(words::MAX_RUNG), viewer.plan.max_rung.to_string()),
        ];
        if viewer.plan.hints {
            let left = (self.start + viewer.plan.at + viewer.plan.life).saturating_sub(now);
            headers.push((words::name(words::HINT), left.as_millis().to_string()));
        }
        if !marks.is_empty() {
            headers.push((words::name(words::MARKS), marks.join(", ")));
        }
        let uri = words::uri(self.controllers[controller].0, viewer.plan.title);
        let (key, title, room_type) = (viewer.key, viewer.plan.title, viewer.plan.room_type);
        let Some(request) = conn.client.request(Method::Setup, uri, &headers) else { return };
        let ask = self.next_ask;
        self.next_ask += 1;
        (conn.ask, conn.asked_at) = (Some(ask), now);
        let (moved, retry) = (viewer.moved.is_some(), conn.retry);
        send(reactor, line, &request);
        self.counts.asks += 1;
        self.served[controller].asks += 1;
        witness.request_sent(now, ask, controller as u32, key, title, room_type, client_timeout);
        self.due.insert((now + client_timeout, n, What::TimeOut(ask)));
        if !moved && !retry && share(&mut self.chance) < self.habits.impatient {
            self.due.insert((
                now + client_timeout.mul_f64(0.1 + 0.2 * share(&mut self.chance)),
                n,
                What::AskToo,
            ));
        }
    }

    fn read(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId, witness: &mut RuleChecker) {
        let mut input = reactor.take_input(line);
        while let Some(conn) = self.conns.get_mut(&line) {
            match conn.framer.next(input.as_slice()) {
                Ok(Some((unit, used))) => {
                    match unit {
                        Unit::Response(response) => self.answered(reactor, now, line, &response, witness),
                        Unit::Request(request) => self.asked_of(reactor, now, line, &request),
                        Unit::Frame(0, carried) => self.media(now, line, carried),
                        Unit::Frame(1, carried) => {
                            if notes(carried).any(|note| note == Note::Bye) {
                                self.stream_ended(reactor, now, line);
                            }
                        }
                        Unit::Frame(..) | Unit::Blank => {}
                    }
                    input.consume(used);
                }
                Ok(None) => break,
                Err(_) => {
                    reactor.close(line);
                    self.closed(now, line);
                }
            }
        }
        reactor.restore_input(line, input);
    }

    fn answered(
        &mut self, reactor: &mut Reactor, now: Duration, line: SocketId, response: &Response,
        witness: &mut RuleChecker,
    ) {
        let Some(conn) = self.conns.get_mut(&line) else { return };
        let method = conn.client.answered(response);
        if method != Some(Method::Setup) {
            // SETUP is the first request of every connection: a second answer to it is one too many.
            let again = response.header(&headers::CSEQ).is_some_and(|cseq| cseq.as_str() == "1");
            if let Some(ask) = conn.ask.filter(|_| again && method.is_none()) {
                witness.answer_received(now, ask, u16::from(response.status()));
            }
            return;
        }
        let (n, controller, asked_at) = (conn.viewer, conn.controller, conn.asked_at);
        conn.answered = true;
        if let Some(ask) = conn.ask {
            witness.answer_received(now, ask, u16::from(response.status()));
        }
        match response.status() {
            StatusCode::Ok => {
                let uri = words::uri(self.controllers[controller].0, self.viewers[n].plan.title);
                if let Some(request) = conn.client.request(Method::Play, uri, &[]) {
                    conn.plays = true;
                    send(reactor, line, &request);
                }
                self.counts.plays += 1;
                self.served[controller].plays += 1;
                let told = &self.shared.room_types[self.viewers[n].plan.room_type].1;
                let in_time = now - asked_at <= Duration::from_millis(told.join_objective_ms);
                let ends = self.ends(n);
                let viewer = &mut self.viewers[n];
                (viewer.plays, viewer.in_time, viewer.moved) = (Some(line), in_time, None);
                (viewer.bytes, viewer.counted, viewer.share, viewer.short_for) = (0, now, 1.0, 0);
                // The first packet of a line says the rung that it begins with: no step.
                (viewer.rate, viewer.stepped) = (0, None);
                self.due.insert((ends, n, What::Leave));
            }
            status => {
                let counted = match status {
                    StatusCode::ServiceUnavailable => &mut self.counts.throttled,
                    _ => &mut self.counts.terminated,
                };
                *counted += 1;
                self.conns.remove(&line);
                reactor.close(line);
                // Those of unsafe room types stay away after an end that may have run.
                let told = &self.shared.room_types[self.viewers[n].plan.room_type].1;
                let elsewhere =
                    self.viewers[n].plays.is_some() || self.conns.values().any(|conn| conn.viewer == n);
                if status != StatusCode::ServiceUnavailable
                    && told.set_up_again == "single_shot"
                    && !elsewhere
                {
                    self.viewers[n].gone = true;
                }
                self.viewers[n].moved = None;
                self.come_again(now, n, response.span(words::COME_BACK_MS));
            }
        }
    }

    /// REDIRECT: it leaves its stream and comes back to the same controller.
    fn asked_of(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId, request: &Request) {
        let Some(conn) = self.conns.get_mut(&line) else { return };
        let answer = Server::default().answer(request, StatusCode::Ok);
        let mut bytes = Vec::new();
        if answer.write(&mut bytes).is_ok() {
            reactor.send(line, &[&bytes]);
        }
        if *request.method() != Method::Redirect || !conn.plays {
            return;
        }
        let (n, controller) = (conn.viewer, conn.controller);
        let uri = words::uri(self.controllers[controller].0, self.viewers[n].plan.title);
        if let Some(request) = conn.client.request(Method::Teardown, uri, &[]) {
            send(reactor, line, &request);
        }
        self.conns.remove(&line);
        reactor.close_after_flush(line);
        self.counts.moved += 1;
        let viewer = &mut self.viewers[n];
        (viewer.plays, viewer.moved, viewer.returning) = (None, Some(controller), true);
        let gap = between(&mut self.chance, self.habits.move_gap);
        self.due.insert((now + gap, n, What::Ask));
    }

    fn media(&mut self, now: Duration, line: SocketId, carried: &[u8]) {
        let Some(conn) = self.conns.get(&line) else { return };
        let viewer = &mut self.viewers[conn.viewer];
        if let Some(packet) = Packet::read(carried) {
            if viewer.plays == Some(line) && viewer.rate > 0 && packet.rung != viewer.rung {
                let up = packet.rung > viewer.rung;
                let swing = viewer.stepped.is_some_and(|(at, was_up)| was_up != up && now < at + SWING);
                viewer.stepped = Some((now, up));
                self.tally.step(now - self.start, up, swing);
            }
            (viewer.rung, viewer.rate) = (packet.rung, packet.rate);
        }
        viewer.bytes += carried.len() as u64;
        self.counts.media_bytes += carried.len() as u64;
    }

    fn stream_ended(&mut self, reactor: &mut Reactor, now: Duration, line: SocketId) {
        reactor.close(line);
        self.closed(now, line);
    }

    fn closed(&mut self, now: Duration, line: SocketId) {
        let Some(conn) = self.conns.remove(&line) else { return };
        let (n, controller) = (conn.viewer, conn.controller);
        match conn.ask {
            None => self.turned_down(now, controller),
            // It broke while an answer was out: the time-out still judges it.
            Some(_) if !conn.answered => {}
            Some(_) => self.counts.breaks += 1,
        }
        if self.viewers[n].plays == Some(line) {
            self.viewers[n].plays = None;
        }
        if conn.ask.is_none() && self.viewers[n].moved.is_some() {
            self.viewers[n].moved = None;
        }
        self.come_again(now, n, None);
    }

    /// A controller turned a connection down: viewers notice after a while that it is dead.
    fn turned_down(&mut self, now: Duration, controller: usize) {
        let since = *self.dead_since[controller].get_or_insert(now);
        if now >= since + self.habits.notice {
            self.dead_until[controller] = now + Duration::from_secs(2);
        }
    }

    fn time_out(
        &mut self, reactor: &mut Reactor, now: Duration, n: usize, ask: u64, witness: &mut RuleChecker,
    ) {
        witness.request_timed_out(ask);
        let line = self
            .conns
            .iter()
            .find(|(_, conn)| conn.ask == Some(ask) && !conn.answered)
            .map(|(line, _)| *line);
        let Some(line) = line else { return };
        self.counts.no_answer += 1;
        self.conns.remove(&line);
        reactor.close(line);
        if self.shared.room_types[self.viewers[n].plan.room_type].1.set_up_again == "single_shot" {
            self.viewers[n].gone = true;
        }
        self.come_again(now, n, None);
    }

    /// The end of its life: it tears down and goes.
    fn leave(&mut self, reactor: &mut Reactor, n: usize, witness: &mut RuleChecker) {
        self.viewers[n].gone = true;
        self.viewers[n].plays = None;
        let its: Vec<SocketId> =
            self.conns.iter().filter(|(_, conn)| conn.viewer == n).map(|(line, _)| *line).collect();
        for line in its {
            self.hang_up(reactor, line, witness);
        }
    }

    fn hang_up(&mut self, reactor: &mut Reactor, line: SocketId, witness: &mut RuleChecker) {
        let Some(mut conn) = self.conns.remove(&line) else { return };
        if let Some(ask) = conn.ask.filter(|_| !conn.answered) {
            witness.request_abandoned(ask);
        }
        let uri = words::uri(self.controllers[conn.controller].0, self.viewers[conn.viewer].plan.title);
        if let Some(request) = conn.client.request(Method::Teardown, uri, &[]).filter(|_| conn.plays) {
            send(reactor, line, &request);
        }
        reactor.close_after_flush(line);
    }

    /// Counts benefit offered and earned, and lets those leave whose share has fallen.
    fn count(&mut self, reactor: &mut Reactor, now: Duration, witness: &mut RuleChecker) {
        let span = (now - self.counted_at).as_secs_f64();
        self.counted_at = now;
        let at = now - self.start;
        for n in 0..self.viewers.len() {
            let viewer = &self.viewers[n];
            let wants = at >= viewer.plan.at && at < viewer.plan.at + viewer.plan.life;
            if !wants {
                continue;
            }
            let told = &self.shared.room_types[viewer.plan.room_type].1;
            let top = usize::from(viewer.plan.max_rung.min(told.top.unwrap_or(u8::MAX)));
            let ladder = &self.shared.ladder;
            let earns =
                |rung: usize| ladder.benefit[rung.min(ladder.benefit.len() - 1)] * told.benefit * span;
            let missing = (0.98 - viewer.share).max(0.0) * ladder.stall;
            let plays = viewer.plays.is_some() && viewer.in_time;
            let earned = if plays { earns(usize::from(viewer.rung)) * (1.0 - missing).max(0.0) } else { 0.0 };
            self.tally.count(at, viewer.plan.room_type, earns(top), earned);
            if let Some(conn) = viewer.plays.and_then(|line| self.conns.get(&line)) {
                let served = &mut self.served[conn.controller];
                (served.offered, served.earned) = (served.offered + earns(top), served.earned + earned);
            }
            if viewer.plays.is_some() {
                self.measure(reactor, now, n, witness);
            }
        }
    }

    fn measure(&mut self, reactor: &mut Reactor, now: Duration, n: usize, witness: &mut RuleChecker) {
        let viewer = &mut self.viewers[n];
        let span = now - viewer.counted;
        if span < MEASURE {
            return;
        }
        let wanted = f64::from(viewer.rate) * span.as_secs_f64();
        // Packets are whole: a little under the rate is the rate.
        viewer.share = if wanted > 0.0 { (viewer.bytes as f64 / wanted * 1.02).min(1.0) } else { 0.0 };
        (viewer.bytes, viewer.counted) = (0, now);
        viewer.short_for = if viewer.share < LEAVES_UNDER { viewer.short_for + 1 } else { 0 };
        let leaves = viewer.short_for >= 2 && share(&mut self.chance) < 0.3;
        if let Some(line) = viewer.plays.filter(|_| leaves) {
            viewer.plays = None;
            self.counts.gave_up += 1;
            self.hang_up(reactor, line, witness);
            self.come_again(now, n, None);
        }
    }
}

impl Viewer {
    fn new(plan: Plan, number: usize) -> Self {
        Self {
            plan,
            key: number as u64 + 1,
            tries: 0,
            plays: None,
            moved: None,
            returning: false,
            gone: false,
            rung: 0,
            stepped: None,
            in_time: false,
            bytes: 0,
            rate: 0,
            counted: Duration::ZERO,
            share: 1.0,
            short_for: 0,
        }
    }
}

impl Conn {
    fn waits(&self) -> bool {
        self.ask.is_some() && !self.answered
    }
}

fn send(reactor: &mut Reactor, line: SocketId, request: &Request) {
    let mut bytes = Vec::with_capacity(512);
    if request.write(&mut bytes).is_ok() {
        reactor.send(line, &[&bytes]);
    }
}
