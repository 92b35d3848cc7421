//! The session table: the state of each viewer's request from set-up to release. It connects viewers,
//! streamers and the decision module, makes no decisions and does no I/O: all output goes to a [`Transport`].
//!
//! The inputs for the decision module have the same meanings as in the simulator: one outcome for each join
//! that was sent, `over` once the session is over, and joins limited to the client timeout.

mod closing;
mod handovers;
mod losses;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId};
use badgerledge_reactor::SocketId;
use badgerledge_signalling::viewers::{self, Parameters};
use badgerledge_signalling::Fault;
use handovers::Handover;

use crate::claims::Claims;
use crate::dispatcher::Dispatcher;
use crate::ended_sessions::EndedSessions;
use crate::join_id::JoinId;
use crate::phase::Phase;
use crate::release_causes::{FAILED, INVALID_REQUEST, MOVED, NORMAL, THROTTLED};
use crate::request::{self, PlatformSettings};
use crate::request_counts::RequestCounts;
use crate::session_store::{trace_session, ModuleInput, OfferFields, Session, SessionStore, Timer};
use crate::transport::Transport;
use crate::unanswered::{ClosedBy, Step, UnansweredCounts};

/// How much sooner than the viewer gives up the decision module must answer, to allow for the way back and a
/// delayed event loop; a tenth of the timeout if that is less. A join that would have been answered within
/// this margin is lost.
const ANSWER_MARGIN: Duration = Duration::from_millis(120);
/// How much sooner than the viewer gives up the session table answers by itself; a twentieth of the timeout
/// if that is less.
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Pending set-ups over all connections, and unconfirmed sessions, for each megabyte of memory: with the longest
/// descriptions they use a quarter and a tenth of it.
const PENDING_PER_MB: usize = 16;
/// One connection may hold this part of the pending set-ups: four flooding connections leave none for others,
/// three some.
const PENDING_PER_CONNECTION_DIVISOR: usize = 4;
const CLAIMS_PER_MB: usize = 200;
/// Ended and unknown sessions of each kind that are remembered, for each megabyte of memory.
const ENDED_PER_MB: usize = 100;
/// The cool-down sent when the session table is full, or the process shuts down.
const REFUSAL_COOL_DOWN: Duration = Duration::from_millis(500);

/// The id of a streamer in the decision module: the 32 bits of its name in the list and not its address,
/// since another streamer may start at the address of a removed one.
pub fn streamer_id(bits: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::from(bits), 0)
}

/// All sessions, and the decision module.
pub struct SessionTable {
    module: Controller,
    pub store: SessionStore,
    max_pending: usize,
    max_claims: usize,
    /// The health of each listed streamer.
    health_by_streamer: BTreeMap<StreamerId, Health>,
    list_inputs: Vec<ModuleInput>,
}

impl SessionTable {
    /// Creates a table for these settings and this memory limit.
    pub fn new(module: Controller, settings: PlatformSettings, memory_mb: usize) -> Self {
        let store = SessionStore {
            settings,
            sessions: BTreeMap::new(),
            by_wire_id: BTreeMap::new(),
            pending_by_connection: BTreeMap::new(),
            claims: Claims::default(),
            unread: BTreeMap::new(),
            by_streamer: BTreeMap::new(),
            timers: BTreeSet::new(),
            ended: EndedSessions::new(memory_mb * ENDED_PER_MB),
            inputs: Vec::new(),
            next_job: 1,
            pending_count: 0,
            unanswered: UnansweredCounts::default(),
            counts: RequestCounts::default(),
            answers_limited_to: None,
        };
        let (max_pending, max_claims) = (memory_mb * PENDING_PER_MB, memory_mb * CLAIMS_PER_MB);
        Self {
            module,
            store,
            max_pending,
            max_claims,
            health_by_streamer: BTreeMap::new(),
            list_inputs: Vec::new(),
        }
    }

    /// The number of sessions.
    pub fn len(&self) -> usize {
        self.store.sessions.len()
    }

    /// Whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.store.sessions.is_empty()
    }

    /// The number of set-ups that wait for their answer.
    pub fn pending_count(&self) -> usize {
        self.store.pending_count
    }

    /// The number of pending set-ups of a viewer's connection.
    pub fn pending_on(&self, connection: SocketId) -> usize {
        self.store.pending_by_connection.get(&connection).map_or(0, BTreeSet::len)
    }

    /// The number of sessions that play at a streamer.
    pub fn playing_at(&self, streamer: StreamerId) -> usize {
        self.store.by_streamer.get(&streamer).map_or(0, BTreeSet::len)
    }

    /// Whether that session plays at that streamer.
    #[cfg(test)]
    pub fn is_playing_at(&self, streamer: StreamerId, wire_id: u64) -> bool {
        let session = self.store.by_wire_id.get(&wire_id).and_then(|job| self.store.get(*job));
        session.is_some_and(|session| session.phase == Phase::Playing(streamer))
    }

    /// The streamer's connection that a session was answered on, if it was.
    pub fn streamer_connection(&self, wire_id: u64) -> Option<SocketId> {
        let job = self.store.by_wire_id.get(&wire_id)?;
        self.store.get(*job)?.streamer_connection
    }

    /// The streamers with playing sessions.
    pub fn playing_streamers(&self) -> impl Iterator<Item = StreamerId> + '_ {
        self.store.by_streamer.keys().copied()
    }

    /// Handles a viewer's set-up.
    pub fn set_up(
        &mut self, now: Duration, connection: SocketId, wire_id: u64, parameters: Parameters<'_>,
        transport: &mut impl Transport,
    ) {
        let request = match request::parse(wire_id, parameters, &self.store.settings) {
            Ok(request) => request,
            Err(parameter) => {
                tracing::debug!(what = parameter, "rejecting a set-up: parameter missing or out of range");
                return self.reject(now, connection, wire_id, transport);
            }
        };
        if let Some(name) = &request.playing_at {
            let streamer = badgerledge_names::parse_streamer_id(name).map(streamer_id);
            let subscription = request.subscription;
            let handover = Handover { wire_id, connection, streamer, subscription };
            return self.accept_handover(now, &handover, transport);
        }
        transport.mark_viewers(connection);
        // Each set-up has a new id. One that has run must not run again, whoever sends it.
        if self.store.by_wire_id.contains_key(&wire_id) || self.store.ended.has_run(now, wire_id) {
            return self.reject(now, connection, wire_id, transport);
        }
        self.store.counts.taken += 1;
        if self.store.pending_count >= self.max_pending
            || self.pending_on(connection) >= self.max_pending / PENDING_PER_CONNECTION_DIVISOR
        {
            trace_session(wire_id, "refused: too many pending set-ups", connection);
            return self.refuse(connection, wire_id, transport);
        }
        let mut subscription = request.subscription;
        let stated = subscription.client_timeout;
        let mut answer_by = now + stated - ANSWER_DEADLINE_MARGIN.min(stated / 20);
        let mut available = stated;
        if let Some(limit) = self.store.answers_limited_to {
            answer_by = answer_by.min(limit);
            available = available.min(limit.saturating_sub(now));
            let objective = self.store.settings.join_objective(subscription.room_type);
            if available < objective.min(stated) {
                trace_session(wire_id, "refused: the process shuts down", connection);
                self.refuse(connection, wire_id, transport);
                // No other connection may serve a viewer any more, and releases may wait for one.
                return transport.mark_serving(connection);
            }
        }
        subscription.client_timeout = available - ANSWER_MARGIN.min(available / 10);
        let offer = OfferFields {
            room_type: subscription.room_type,
            title: request.title,
            description: request.description,
        };
        let session = Session {
            wire_id,
            connection,
            received_at: now,
            answer_by,
            offer: Some(Box::new(offer)),
            rung: None,
            joins: 0,
            join_sent_at: now,
            phase: Phase::Waiting,
            streamer_connection: None,
            claim: None,
        };
        let job = self.store.insert(session);
        trace_session(wire_id, "set-up", (connection, subscription.path_key));
        self.store.timers.insert((answer_by, Timer::AnswerDeadline(job)));
        self.store.unread.entry(connection).or_default().push((job, subscription));
    }

    /// Handles the end of a viewer's input for now: all that has arrived on its connection was read, and the
    /// set-ups in it that were not taken back can be placed.
    pub fn input_read(&mut self, connection: SocketId) {
        self.store.place_set_ups_of(connection);
    }

    /// The viewers' connections with set-ups that wait for that.
    pub fn unread_connections(&self) -> Vec<SocketId> {
        self.store.unread.keys().copied().collect()
    }

    /// Refuses a set-up of which nothing was sent to any streamer: trying again later is harmless.
    fn refuse(&mut self, connection: SocketId, wire_id: u64, transport: &mut impl Transport) {
        let cool_down = self.store.settings.max_cool_down.min(REFUSAL_COOL_DOWN);
        self.store.counts.throttled += 1;
        transport.answer(connection, &viewers::release(wire_id, THROTTLED, cool_down));
    }

    /// Rejects an invalid set-up with a final answer. If its id is that of a pending set-up on the same
    /// connection, one answer ends both, since the viewer could not distinguish two.
    pub fn reject(
        &mut self, now: Duration, connection: SocketId, wire_id: u64, transport: &mut impl Transport,
    ) {
        let existing = self.store.by_wire_id.get(&wire_id).copied();
        let pending_here = existing.filter(|job| {
            let on_connection = self.store.get(*job).filter(|session| session.connection == connection);
            on_connection.is_some_and(|session| session.phase.is_pending())
        });
        if let Some(job) = pending_here {
            self.store.counts.invalid += 1;
            self.expire(now, job, transport);
        }
        trace_session(wire_id, "rejected as invalid", connection);
        self.store.counts.taken += 1;
        self.store.counts.invalid += 1;
        transport.answer(connection, &viewers::release(wire_id, INVALID_REQUEST, Duration::ZERO));
    }

    /// Handles a viewer that abandons its set-up or ends its session. A set-up that is abandoned on another
    /// connection than its own gets a final answer on its own, so that a viewer is not left without one if a
    /// stranger sent the end.
    pub fn ended_by_viewer(
        &mut self, now: Duration, connection: SocketId, wire_id: u64, transport: &mut impl Transport,
    ) {
        let Some(job) = self.store.by_wire_id.get(&wire_id).copied() else {
            return self.store.ended.record_left(now, wire_id);
        };
        let Some(session) = self.store.get(job) else { return };
        trace_session(wire_id, "ended by its viewer", session.phase);
        match session.phase {
            phase if phase.is_pending() && session.connection == connection => {
                self.store.counts.abandoned += 1;
                self.expire(now, job, transport)
            }
            Phase::Waiting | Phase::Joining(_) | Phase::Withdrawn(..) => {
                self.answer_failed(now, job, transport)
            }
            Phase::Playing(streamer) => {
                transport.end(streamer, wire_id);
                if session.claim.is_some() {
                    self.store.ended.record_left(now, wire_id);
                }
                self.finish(now, job, Ending::Cancelled, Vec::new());
            }
            Phase::Moving(_) => {}
        }
    }

    /// Handles a closed viewers' connection: drops the set-ups that are pending on it.
    pub fn viewer_disconnected(
        &mut self, now: Duration, connection: SocketId, closed_by: ClosedBy, transport: &mut impl Transport,
    ) {
        for job in self.store.pending_by_connection.get(&connection).cloned().unwrap_or_default() {
            self.store.count_unanswered(now, job, closed_by, None);
            self.store.counts.abandoned += 1;
            self.expire(now, job, transport);
        }
        self.store.claims.connection_closed(connection);
        self.store.unread.remove(&connection);
    }

    /// Drops a session that has no answer and needs none any more.
    fn expire(&mut self, now: Duration, job: JobId, transport: &mut impl Transport) {
        let Some(session) = self.store.remove(now, job, FAILED) else { return };
        trace_session(session.wire_id, "expired", session.phase);
        self.store.inputs.push(Box::new(move |module| module.expired(job)));
        self.store.withdraw_join(now, job, &session, transport);
    }

    /// Handles a streamer's answer to a join, on this connection to it: the session plays.
    pub fn join_answered(
        &mut self, now: Duration, join: JoinId, streamer_connection: SocketId, description: &str,
        transport: &mut impl Transport,
    ) {
        let JoinId { job, number } = join;
        let Some((session, streamer)) = self.store.joining(join) else { return };
        let (wire_id, connection, sent_at) = (session.wire_id, session.connection, session.join_sent_at);
        let message = viewers::answer(wire_id, description.as_bytes());
        if !message.is_some_and(|message| transport.answer(connection, &message)) {
            // The viewer cannot be answered, so the session must not play.
            self.store.count_unanswered(now, job, ClosedBy::Network, Some(Step::NotTaken));
            transport.end(streamer, wire_id);
            if let Some(session) = self.store.get_mut(job) {
                session.phase = Phase::Waiting;
            }
            self.expire(now, job, transport);
            return self.store.report_outcome(
                now,
                job,
                (streamer, number, sent_at),
                Ending::Cancelled,
                true,
                Vec::new(),
            );
        }
        trace_session(wire_id, "stands", streamer);
        self.store.counts.accepted += 1;
        transport.mark_serving(connection);
        self.store.set_playing(job, streamer, streamer_connection);
        let latency = now.saturating_sub(sent_at);
        self.store.inputs.push(Box::new(move |module| module.join_served(job, number, streamer, latency)));
    }

    /// Handles the end of a join whose streamer may not know of it yet: it was withdrawn, or its connection
    /// broke. The decision module hears of it when the streamer has read it, and places no other join before.
    pub fn join_lost(&mut self, now: Duration, join: JoinId, ending: Ending) {
        if matches!(ending, Ending::ConnectFailed | Ending::Moot) {
            // It was never sent.
            return self.join_ended(now, join, ending, None);
        }
        self.store.lose_join(now, join, ending);
    }

    /// Reports a lost join to the decision module, once its streamer has read that.
    fn withdrawal_read(&mut self, now: Duration, join: JoinId) {
        let session = self.store.get_mut(join.job).filter(|session| session.joins == join.number + 1);
        let Some(session) = session else { return };
        let Phase::Withdrawn(streamer, ending) = session.phase else { return };
        session.phase = Phase::Waiting;
        let outcome = (streamer, join.number, session.join_sent_at);
        self.store.report_outcome(now, join.job, outcome, ending, false, Vec::new());
    }

    /// Handles the end of a join by its streamer.
    pub fn join_ended(&mut self, now: Duration, join: JoinId, ending: Ending, load: Option<&str>) {
        let usage = self.store.parse_usage(load);
        let Some((session, streamer)) = self.store.joining(join) else { return };
        trace_session(session.wire_id, "join ended", (streamer, join.number, ending));
        let outcome = (streamer, join.number, session.join_sent_at);
        if let Some(session) = self.store.get_mut(join.job) {
            session.phase = Phase::Waiting;
        }
        self.store.report_outcome(now, join.job, outcome, ending, false, usage);
    }

    /// Handles a streamer's release of a playing session, and releases its viewer.
    pub fn ended_by_streamer(
        &mut self, now: Duration, streamer: StreamerId, wire_id: u64, cause: u64, load: Option<&str>,
        transport: &mut impl Transport,
    ) {
        let Some(job) = self.store.by_wire_id.get(&wire_id).copied() else {
            trace_session(wire_id, "unknown, ended by its streamer", (streamer, cause));
            return self.store.ended.record_release(now, wire_id, streamer, cause);
        };
        self.confirm_by_streamer(job, streamer, transport);
        let Some(session) = self.store.get(job) else { return };
        let connection = session.connection;
        trace_session(wire_id, "ended by its streamer", (session.phase, cause));
        let usage = self.store.parse_usage(load);
        match session.phase {
            // A move and an end may cross: only the end that the move causes needs no release to the viewer.
            Phase::Playing(at) | Phase::Moving(at) if at == streamer => {
                let ending = match u8::try_from(cause) {
                    Ok(NORMAL) => Ending::Served,
                    Ok(MOVED) => Ending::Cancelled,
                    _ => Ending::Reset,
                };
                // A viewer that was moved or has left needs no release.
                if ending != Ending::Cancelled {
                    let cause = if ending == Ending::Served { NORMAL } else { FAILED };
                    transport.release(connection, wire_id, viewers::release(wire_id, cause, Duration::ZERO));
                }
                self.finish(now, job, ending, usage);
            }
            _ => {}
        }
    }

    fn finish(&mut self, now: Duration, job: JobId, ending: Ending, usage: Vec<f64>) {
        let release_cause = if ending == Ending::Served { NORMAL } else { FAILED };
        let Some(session) = self.store.remove(now, job, release_cause) else { return };
        if session.claim.is_some() {
            return self.store.inputs.push(Box::new(move |module| module.expired(job)));
        }
        if let Some(streamer) = session.phase.playing_at() {
            let join = (streamer, session.joins.saturating_sub(1), session.join_sent_at);
            self.store.report_outcome(now, job, join, ending, true, usage);
        }
    }

    /// Handles a progress report on a playing session. One on a session that is not known here, or from another
    /// streamer than the session's, is ignored.
    pub fn progress_report(
        &mut self, streamer: StreamerId, wire_id: u64, kind: &str, value: f64, transport: &mut impl Transport,
    ) -> Result<(), Fault> {
        let kinds = ["kept_up", "tier", "wire", "trunk"];
        let kind = kinds.iter().position(|known| *known == kind).ok_or(Fault::Field("note"))? as u8 + 1;
        let job = self.store.by_wire_id.get(&wire_id).copied();
        let plays = |job: &JobId| self.store.get(*job).is_some_and(|c| c.phase == Phase::Playing(streamer));
        if let Some(job) = job.filter(plays) {
            self.confirm_by_streamer(job, streamer, transport);
            self.store.inputs.push(Box::new(move |module| module.progress(job, streamer, kind, value)));
        }
        Ok(())
    }

    /// Passes the result of a probe to the decision module.
    pub fn probe_finished(
        &mut self, streamer: StreamerId, ending: Ending, latency: Duration, load: Option<&str>,
    ) {
        let usage = self.store.parse_usage(load);
        self.store
            .inputs
            .push(Box::new(move |module| module.probe_result(streamer, ending, latency, &usage)));
    }

    /// Passes a message of another controller to the decision module.
    pub fn peer_message(&mut self, peer: u32, bytes: Vec<u8>) {
        self.store.inputs.push(Box::new(move |module| module.receive_load_reports(peer, &bytes)));
    }

    /// Applies the list of streamers, or changes to it. They reach the decision module before all other
    /// inputs.
    pub fn apply_list(&mut self, listing: Listing, entries: Vec<ListEntry>) {
        for entry in &entries {
            match entry.health {
                Health::Gone => self.health_by_streamer.remove(&entry.id),
                health => self.health_by_streamer.insert(entry.id, health),
            };
        }
        self.list_inputs.push(Box::new(move |module| {
            module.list_begins(listing);
            for e in entries {
                module.list_entry(e.id, e.zone, e.kind, e.cell, e.health, e.weight, e.started);
            }
            module.list_ends(listing);
        }));
    }

    /// Whether a streamer accepts new joins.
    pub fn accepts_joins(&self, streamer: StreamerId) -> bool {
        self.health_by_streamer.get(&streamer) == Some(&Health::Ready)
    }

    /// The time of the next timer.
    pub fn next_timer(&self) -> Option<Duration> {
        self.store.timers.first().map(|due| due.0)
    }

    /// Whether there are inputs for the next round.
    pub fn has_inputs(&self) -> bool {
        !self.store.inputs.is_empty() || !self.list_inputs.is_empty()
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self, now: Duration, transport: &mut impl Transport) {
        while let Some((at, timer)) = self.store.timers.first().copied().filter(|due| due.0 <= now) {
            self.store.timers.remove(&(at, timer));
            match timer {
                Timer::DecisionModule(token) => {
                    self.store.inputs.push(Box::new(move |m| m.timer_fired(token)))
                }
                Timer::JoinTimeout(job, number) => {
                    self.store.withdraw(now, JoinId { job, number }, Ending::Timeout, transport)
                }
                Timer::WithdrawalRead(job, number) => self.withdrawal_read(now, JoinId { job, number }),
                Timer::AnswerDeadline(job) => self.answer_overdue(now, job, transport),
                Timer::MoveTimeout(job) => self.end_moved(now, job, transport),
            }
        }
    }

    /// Answers a viewer that is about to give up without an answer from the decision module.
    fn answer_overdue(&mut self, now: Duration, job: JobId, transport: &mut impl Transport) {
        let Some(session) = self.store.get(job) else { return };
        if !session.phase.is_pending() {
            return;
        }
        if self.store.answers_limited_to.is_some() {
            return self.answer_at_shutdown(now, job, transport);
        }
        self.answer_failed(now, job, transport);
    }

    /// Answers a pending set-up as failed, and drops it.
    fn answer_failed(&mut self, now: Duration, job: JobId, transport: &mut impl Transport) {
        let Some(session) = self.store.get(job) else { return };
        let (connection, wire_id) = (session.connection, session.wire_id);
        if !transport.answer(connection, &viewers::release(wire_id, FAILED, Duration::ZERO)) {
            self.store.count_unanswered(now, job, ClosedBy::Network, Some(Step::NotTaken));
        }
        trace_session(wire_id, "answered as failed: its time is over", connection);
        self.store.counts.failed += 1;
        self.expire(now, job, transport);
    }

    /// Ends a session at the streamer that it was moved away from.
    fn end_moved(&mut self, now: Duration, job: JobId, transport: &mut impl Transport) {
        let Some(session) = self.store.get(job) else { return };
        let Phase::Moving(streamer) = session.phase else { return };
        let (wire_id, connection) = (session.wire_id, session.connection);
        transport.end(streamer, wire_id);
        transport.release(connection, wire_id, viewers::release(wire_id, NORMAL, Duration::ZERO));
        self.store.remove(now, job, NORMAL);
    }

    /// Runs one round of the decision module: applies all inputs, then carries out its decisions.
    pub fn round(&mut self, now: Duration, transport: &mut impl Transport) {
        let mut inputs = std::mem::take(&mut self.list_inputs);
        inputs.append(&mut self.store.inputs);
        let mut dispatcher = Dispatcher { now, store: &mut self.store, transport };
        let feed = |module: &mut Controller, _: &mut Dispatcher<'_, _>| {
            inputs.into_iter().for_each(|input| input(module))
        };
        self.module.round(now, feed, &mut dispatcher);
    }
}

/// An entry of the streamer list, as the decision module takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub id: StreamerId,
    pub address: SocketAddrV4,
    /// Index in [`PlatformSettings::zones`].
    pub zone: u16,
    /// Index in [`PlatformSettings::kinds`].
    pub kind: usize,
    pub cell: u32,
    pub health: Health,
    pub weight: f64,
    pub started: Start,
}
