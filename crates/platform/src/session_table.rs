//! The session table: what became of each viewer's request, from its set-up to its release. It joins viewers,
//! streamers and the module, decides nothing, and is free of I/O: what goes out goes into a [`Wires`].
//!
//! What the simulator's wire brings the module is made here with the same meanings: one outcome for each join
//! that was passed on, `over` once the subscription is over, a join cut to its client timeout.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId};
use badgerledge_reactor::Line;
use badgerledge_signalling::viewers::{self, Parameters};
use badgerledge_signalling::{streamers, Fault};

use crate::asked::{self, Terms};
use crate::calls::{trace, Arrival, Call, Calls, Due, Offered};
use crate::causes::{CUT, MOVED, NORMAL, THROTTLED, UNUSABLE};
use crate::dispatcher::Dispatcher;
use crate::phase::Phase;
use crate::unanswered::{By, Step, Unanswered};
use crate::wires::Wires;

/// How much sooner than the viewer gives up the module is told to have answered, for the way back and a loop
/// that is late; a tenth where that is less. Harm: a join that would have been answered in this part is lost.
const MARGIN: Duration = Duration::from_millis(120);
/// How much sooner the session table answers in the module's place; a twentieth where that is less.
const LAST_CALL: Duration = Duration::from_millis(50);
/// Set-ups without an answer of all connections together, and subscriptions that stand, for each megabyte of memory:
/// with the longest descriptions a quarter of it, and a tenth.
const OPEN_PER_MB: usize = 16;
/// Which part of them one connection may have open: four floods at once leave the others none, three some.
const OPEN_ON_LINE: usize = 4;
const STANDING_PER_MB: usize = 200;
/// What the session table names as time to stay away when it has no room itself.
const FULL_FOR: Duration = Duration::from_millis(500);

/// A streamer's id in the module: the 32 bits that the list names it by, not its address, since another
/// streamer may come at the address of one that is gone.
pub fn streamer_id(bits: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::from(bits), 0)
}

pub struct SessionTable {
    module: Controller,
    pub calls: Calls,
    most_open: usize,
    most_standing: usize,
    /// What the list says of each streamer, gone ones left out.
    listed: BTreeMap<StreamerId, Health>,
    lists: Vec<Arrival>,
}

impl SessionTable {
    pub fn new(module: Controller, terms: Terms, memory_mb: usize) -> Self {
        let calls = Calls {
            terms,
            all: BTreeMap::new(),
            by_wire_id: BTreeMap::new(),
            open: BTreeMap::new(),
            standing: BTreeMap::new(),
            due: BTreeSet::new(),
            arrivals: Vec::new(),
            next_job: 1,
            open_count: 0,
            unanswered: Unanswered::default(),
        };
        let (most_open, most_standing) = (memory_mb * OPEN_PER_MB, memory_mb * STANDING_PER_MB);
        Self { module, calls, most_open, most_standing, listed: BTreeMap::new(), lists: Vec::new() }
    }

    /// How many calls there are.
    pub fn len(&self) -> usize {
        self.calls.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.all.is_empty()
    }

    /// How many set-ups of a viewer's connection have no answer yet.
    pub fn open_on(&self, line: Line) -> usize {
        self.calls.open.get(&line).map_or(0, BTreeSet::len)
    }

    /// How many subscriptions stand at a streamer.
    pub fn standing_at(&self, streamer: StreamerId) -> usize {
        self.calls.standing.get(&streamer).map_or(0, BTreeSet::len)
    }

    /// Whether that subscription stands at that streamer.
    #[cfg(test)]
    pub fn stands(&self, streamer: StreamerId, wire_id: u64) -> bool {
        let call = self.calls.by_wire_id.get(&wire_id).and_then(|job| self.calls.get(*job));
        call.is_some_and(|call| call.phase == Phase::Stands(streamer))
    }

    /// Whether that subscription stands at that streamer, or a join of it is out there.
    pub fn is_at(&self, streamer: StreamerId, wire_id: u64) -> bool {
        let call = self.calls.by_wire_id.get(&wire_id).and_then(|job| self.calls.get(*job));
        call.is_some_and(|call| matches!(call.phase, Phase::Stands(at) | Phase::Out(at) if at == streamer))
    }

    /// The streamers at which subscriptions stand.
    pub fn stands_at(&self) -> impl Iterator<Item = StreamerId> + '_ {
        self.calls.standing.keys().copied()
    }

    /// A viewer's set-up.
    pub fn set_up(
        &mut self, now: Duration, line: Line, wire_id: u64, parameters: Parameters<'_>,
        wires: &mut impl Wires,
    ) {
        let request = match asked::read(wire_id, parameters, &self.calls.terms) {
            Ok(request) => request,
            Err(what) => {
                tracing::debug!(what, "a set-up that cannot be used");
                return self.turn_away(now, line, wire_id, wires);
            }
        };
        if let Some(at) = &request.at {
            let streamer = badgerledge_names::id_of(at).map(streamer_id);
            return self.hand_over(now, line, wire_id, &request, streamer, wires);
        }
        if self.calls.by_wire_id.contains_key(&wire_id) {
            return self.turn_away(now, line, wire_id, wires);
        }
        if self.calls.open_count >= self.most_open || self.open_on(line) >= self.most_open / OPEN_ON_LINE {
            let stay_away = self.calls.terms.stay_away.min(FULL_FOR);
            wires.answer(line, &viewers::release(wire_id, THROTTLED, stay_away));
            return;
        }
        let mut asked = request.asked;
        let named = asked.client_timeout;
        asked.client_timeout = named - MARGIN.min(named / 10);
        let until = now + named - LAST_CALL.min(named / 20);
        let offered =
            Offered { room_type: asked.room_type, title: request.title, description: request.description };
        let call = Call {
            wire_id,
            line,
            came: now,
            until,
            offered: Some(Box::new(offered)),
            rung: None,
            joins: 0,
            sent: now,
            phase: Phase::Waiting,
        };
        let job = self.calls.keep(call);
        trace(wire_id, "set-up", (line, asked.path_key));
        self.calls.due.insert((until, Due::LastCall(job)));
        self.calls.arrivals.push(Box::new(move |module| module.request(job, asked)));
    }

    /// A subscription that plays already is handed over. It wants no answer; one at a streamer that is not
    /// listed is over.
    fn hand_over(
        &mut self, now: Duration, line: Line, wire_id: u64, request: &asked::Request,
        streamer: Option<StreamerId>, wires: &mut impl Wires,
    ) {
        if self.calls.by_wire_id.contains_key(&wire_id) {
            return;
        }
        let listed = streamer.filter(|streamer| self.listed.contains_key(streamer));
        let Some(streamer) = listed.filter(|_| self.len() < self.most_standing) else {
            return wires.release(line, wire_id, viewers::release(wire_id, CUT, Duration::ZERO));
        };
        wires.trust(line);
        trace(wire_id, "handed over", streamer);
        let asked = request.asked;
        let phase = Phase::Stands(streamer);
        let call = Call {
            wire_id,
            line,
            came: now,
            until: now,
            offered: None,
            rung: None,
            joins: 1,
            sent: now,
            phase,
        };
        let job = self.calls.keep(call);
        self.calls.arrivals.push(Box::new(move |module| module.resumed(job, asked, streamer)));
    }

    /// A set-up that cannot be used gets a final answer. If its id is that of an open one on the same
    /// connection, one answer ends both, since the viewer could not tell two apart.
    pub fn turn_away(&mut self, now: Duration, line: Line, wire_id: u64, wires: &mut impl Wires) {
        let open = self.calls.by_wire_id.get(&wire_id).copied();
        let same = open.filter(|job| {
            let here = self.calls.get(*job).filter(|call| call.line == line);
            here.is_some_and(|call| call.phase.is_open())
        });
        if let Some(job) = same {
            self.expire(now, job, wires);
        }
        wires.answer(line, &viewers::release(wire_id, UNUSABLE, Duration::ZERO));
    }

    /// The viewer gives its set-up up, or ends its subscription. A set-up that is given up on another connection than
    /// its own ends with a final answer there: one that was not its viewer's to give up is not left without any.
    pub fn ended_by_viewer(&mut self, now: Duration, line: Line, wire_id: u64, wires: &mut impl Wires) {
        let Some(job) = self.calls.by_wire_id.get(&wire_id).copied() else { return };
        let Some(call) = self.calls.get(job) else { return };
        trace(wire_id, "ended by its viewer", call.phase);
        match call.phase {
            Phase::Waiting | Phase::Out(_) if call.line == line => self.expire(now, job, wires),
            Phase::Waiting | Phase::Out(_) => self.fail(now, job, wires),
            Phase::Stands(streamer) => {
                wires.say(streamer, streamers::end(wire_id, NORMAL));
                self.over(now, job, Ending::Cancelled, Vec::new());
            }
            Phase::Leaves(_) => {}
        }
    }

    /// A viewers' connection is gone, and with it the set-ups that wait on it.
    pub fn viewer_gone(&mut self, now: Duration, line: Line, by: By, wires: &mut impl Wires) {
        for job in self.calls.open.get(&line).cloned().unwrap_or_default() {
            self.calls.note_unanswered(now, job, by, None);
            self.expire(now, job, wires);
        }
    }

    /// Ends a call that has no answer, and owes none any more.
    fn expire(&mut self, now: Duration, job: JobId, wires: &mut impl Wires) {
        let Some(call) = self.calls.drop_call(job) else { return };
        trace(call.wire_id, "expired", call.phase);
        self.calls.arrivals.push(Box::new(move |module| module.expired(job)));
        self.calls.withdraw_join(now, job, &call, wires);
    }

    /// A streamer answers the join that is out: the subscription stands.
    pub fn answered(&mut self, now: Duration, job: JobId, description: &str, wires: &mut impl Wires) {
        let Some(call) = self.calls.get(job) else { return };
        let Phase::Out(streamer) = call.phase else { return };
        let (wire_id, line, join, sent) = (call.wire_id, call.line, call.joins - 1, call.sent);
        let message = viewers::answer(wire_id, description.as_bytes());
        if !message.is_some_and(|message| wires.answer(line, &message)) {
            // Its viewer cannot be told: it must not stand.
            self.calls.note_unanswered(now, job, By::Network, Some(Step::NotTaken));
            wires.say(streamer, streamers::end(wire_id, NORMAL));
            if let Some(call) = self.calls.get_mut(job) {
                call.phase = Phase::Waiting;
            }
            self.expire(now, job, wires);
            return self.calls.outcome(now, job, (streamer, join, sent), Ending::Cancelled, true, Vec::new());
        }
        trace(wire_id, "stands", streamer);
        wires.trust(line);
        self.calls.stand(job, streamer);
        let latency = now.saturating_sub(sent);
        self.calls.arrivals.push(Box::new(move |module| module.join_served(job, join, streamer, latency)));
    }

    /// The join that is out has ended without an answer.
    pub fn join_ended(&mut self, now: Duration, job: JobId, ending: Ending, load: Option<&str>) {
        let usage = self.calls.usage(load);
        let Some(call) = self.calls.get_mut(job) else { return };
        let Phase::Out(streamer) = call.phase else { return };
        call.phase = Phase::Waiting;
        trace(call.wire_id, "join ended", (streamer, ending));
        let join = (streamer, call.joins - 1, call.sent);
        self.calls.outcome(now, job, join, ending, false, usage);
    }

    /// What a streamer's release of a subscription that stands means, and that its viewer is told.
    pub fn ended_by_streamer(
        &mut self, now: Duration, streamer: StreamerId, wire_id: u64, cause: u64, load: Option<&str>,
        wires: &mut impl Wires,
    ) {
        let Some(job) = self.calls.by_wire_id.get(&wire_id).copied() else { return };
        let Some(call) = self.calls.get(job) else { return };
        let line = call.line;
        trace(wire_id, "ended by its streamer", (call.phase, cause));
        let usage = self.calls.usage(load);
        match call.phase {
            // A move crosses with an end now and then: only its own end says that the viewer is told.
            Phase::Stands(at) | Phase::Leaves(at) if at == streamer => {
                let ending = match u8::try_from(cause) {
                    Ok(NORMAL) => Ending::Served,
                    Ok(MOVED) => Ending::Cancelled,
                    _ => Ending::Reset,
                };
                // Who was moved, or has left, is owed no release.
                if ending != Ending::Cancelled {
                    let cause = if ending == Ending::Served { NORMAL } else { CUT };
                    wires.release(line, wire_id, viewers::release(wire_id, cause, Duration::ZERO));
                }
                self.over(now, job, ending, usage);
            }
            _ => {}
        }
    }

    fn over(&mut self, now: Duration, job: JobId, ending: Ending, usage: Vec<f64>) {
        let Some(call) = self.calls.drop_call(job) else { return };
        if let Phase::Stands(streamer) | Phase::Leaves(streamer) = call.phase {
            let join = (streamer, call.joins.saturating_sub(1), call.sent);
            self.calls.outcome(now, job, join, ending, true, usage);
        }
    }

    /// A streamer is gone, or was started anew at that time, with all that stood there before.
    pub fn lost(&mut self, now: Duration, streamer: StreamerId, before: Duration, wires: &mut impl Wires) {
        for job in self.calls.standing.get(&streamer).cloned().unwrap_or_default() {
            let Some(call) = self.calls.get(job).filter(|call| call.sent < before) else { continue };
            trace(call.wire_id, "lost with its streamer", streamer);
            wires.release(call.line, call.wire_id, viewers::release(call.wire_id, CUT, Duration::ZERO));
            self.over(now, job, Ending::Reset, Vec::new());
        }
    }

    /// A note on a subscription that stands, and whether anybody holds that subscription. One that names another
    /// streamer's subscription is nothing.
    pub fn noted(
        &mut self, streamer: StreamerId, wire_id: u64, note: &str, value: f64,
    ) -> Result<bool, Fault> {
        let kinds = ["kept_up", "tier", "wire", "trunk"];
        let kind = kinds.iter().position(|kind| *kind == note).ok_or(Fault::Field("note"))? as u8 + 1;
        let job = self.calls.by_wire_id.get(&wire_id).copied();
        let stands = |job: &JobId| self.calls.get(*job).is_some_and(|c| c.phase == Phase::Stands(streamer));
        if let Some(job) = job.filter(stands) {
            self.calls.arrivals.push(Box::new(move |module| module.progress(job, streamer, kind, value)));
        }
        Ok(self.calls.by_wire_id.contains_key(&wire_id))
    }

    /// How a probe ended.
    pub fn echo(&mut self, streamer: StreamerId, ending: Ending, latency: Duration, load: Option<&str>) {
        let usage = self.calls.usage(load);
        self.calls
            .arrivals
            .push(Box::new(move |module| module.probe_result(streamer, ending, latency, &usage)));
    }

    pub fn peer(&mut self, peer: u32, bytes: Vec<u8>) {
        self.calls.arrivals.push(Box::new(move |module| module.receive_load_reports(peer, &bytes)));
    }

    /// A list, or what has changed in it, entry by entry. It goes to the module before all else that came.
    pub fn list(&mut self, how: Listing, entries: Vec<ListEntry>) {
        for entry in &entries {
            match entry.health {
                Health::Gone => self.listed.remove(&entry.id),
                health => self.listed.insert(entry.id, health),
            };
        }
        self.lists.push(Box::new(move |module| {
            module.list_begins(how);
            for e in entries {
                module.list_entry(e.id, e.zone, e.kind, e.cell, e.health, e.weight, e.came_up);
            }
            module.list_ends(how);
        }));
    }

    /// Whether a new join may go to a streamer.
    pub fn takes_joins(&self, streamer: StreamerId) -> bool {
        self.listed.get(&streamer) == Some(&Health::Ready)
    }

    /// The earliest time at which something falls due.
    pub fn next_due(&self) -> Option<Duration> {
        self.calls.due.first().map(|due| due.0)
    }

    /// Whether a round has something to bring.
    pub fn has_news(&self) -> bool {
        !self.calls.arrivals.is_empty() || !self.lists.is_empty()
    }

    /// What has fallen due.
    pub fn fall_due(&mut self, now: Duration, wires: &mut impl Wires) {
        while let Some((at, due)) = self.calls.due.first().copied().filter(|due| due.0 <= now) {
            self.calls.due.remove(&(at, due));
            match due {
                Due::Module(token) => self.calls.arrivals.push(Box::new(move |m| m.timer_fired(token))),
                Due::Join(job, join) => self.late_join(now, job, join, wires),
                Due::LastCall(job) => self.last_call(now, job, wires),
                Due::Moved(job) => {
                    let leaves = self.calls.get(job).map(|call| (call.phase, call.wire_id, call.line));
                    if let Some((Phase::Leaves(streamer), wire_id, line)) = leaves {
                        wires.say(streamer, streamers::end(wire_id, NORMAL));
                        wires.release(line, wire_id, viewers::release(wire_id, NORMAL, Duration::ZERO));
                        self.calls.drop_call(job);
                    }
                }
            }
        }
    }

    fn late_join(&mut self, now: Duration, job: JobId, join: u16, wires: &mut impl Wires) {
        let Some(call) = self.calls.get(job).filter(|call| call.joins == join + 1) else { return };
        if let Phase::Out(streamer) = call.phase {
            wires.withdraw(job, call.wire_id, streamer);
            self.join_ended(now, job, Ending::Timeout, None);
        }
    }

    /// The viewer is about to give up, and the module has not answered.
    fn last_call(&mut self, now: Duration, job: JobId, wires: &mut impl Wires) {
        let Some(call) = self.calls.get(job) else { return };
        if call.phase.is_open() {
            self.fail(now, job, wires);
        }
    }

    /// Answers a call that has no answer as failed, and ends it.
    fn fail(&mut self, now: Duration, job: JobId, wires: &mut impl Wires) {
        let Some(call) = self.calls.get(job) else { return };
        let (line, wire_id) = (call.line, call.wire_id);
        if !wires.answer(line, &viewers::release(wire_id, CUT, Duration::ZERO)) {
            self.calls.note_unanswered(now, job, By::Network, Some(Step::NotTaken));
        }
        self.expire(now, job, wires);
    }

    /// The process ends with all that it still holds: each call gets its answer or its release, at both ends.
    pub fn end_all(&mut self, now: Duration, wires: &mut impl Wires) {
        for job in self.calls.all.keys().copied().collect::<Vec<_>>() {
            let Some(call) = self.calls.get(job) else { continue };
            let (line, wire_id) = (call.line, call.wire_id);
            match call.phase {
                Phase::Waiting | Phase::Out(_) => self.fail(now, job, wires),
                Phase::Stands(streamer) | Phase::Leaves(streamer) => {
                    wires.say(streamer, streamers::end(wire_id, NORMAL));
                    wires.release(line, wire_id, viewers::release(wire_id, CUT, Duration::ZERO));
                    self.over(now, job, Ending::Cancelled, Vec::new());
                }
            }
        }
    }

    /// One round of the module: all that came in, then what it decides.
    pub fn round(&mut self, now: Duration, wires: &mut impl Wires) {
        let mut arrivals = std::mem::take(&mut self.lists);
        arrivals.append(&mut self.calls.arrivals);
        let mut dispatcher = Dispatcher { now, calls: &mut self.calls, wires };
        let feed =
            |module: &mut Controller, _: &mut Dispatcher<'_, _>| arrivals.into_iter().for_each(|a| a(module));
        self.module.round(now, feed, &mut dispatcher);
    }
}

/// What the list says of a streamer, as the module takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub id: StreamerId,
    pub at: SocketAddrV4,
    pub zone: u16,
    pub kind: usize,
    pub cell: u32,
    pub health: Health,
    pub weight: f64,
    pub came_up: Start,
}
