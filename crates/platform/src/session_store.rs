//! Stores all sessions from set-up to end with their indexes, and queues the inputs for the decision module.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, JobId, StreamerId, SubscriptionRequest};
use badgerledge_reactor::SocketId;
use badgerledge_signalling::streamers;

use crate::claims::Claims;
use crate::ended_sessions::EndedSessions;
use crate::join_id::JoinId;
use crate::phase::Phase;
use crate::request::PlatformSettings;
use crate::request_counts::RequestCounts;
use crate::transport::Transport;
use crate::unanswered::{ClosedBy, Step, UnansweredCounts, UnansweredSetUp};

/// How long after a join was withdrawn, or its connection broke, the next one of its session may be placed. The
/// two travel on different connections, and a busy streamer may read one some milliseconds before the other;
/// a tenth of the time that is left if that is less.
const WITHDRAWAL_READ_WITHIN: Duration = Duration::from_millis(50);

/// The fields that are sent to streamers until one has answered.
pub struct OfferFields {
    /// Index in [`PlatformSettings::room_types`].
    pub room_type: usize,
    pub title: String,
    pub description: String,
}

/// A viewer's request, from its set-up to its end.
pub struct Session {
    /// The id used by viewers and streamers.
    pub wire_id: u64,
    /// The viewer's connection that the set-up arrived on.
    pub connection: SocketId,
    /// When the set-up was received.
    pub received_at: Duration,
    /// When the viewer gives up, less the time that an answer takes to reach it.
    pub answer_by: Duration,
    /// Until a streamer has answered.
    pub offer: Option<Box<OfferFields>>,
    pub rung: Option<u8>,
    /// The number of joins sent so far.
    pub joins: u16,
    pub join_sent_at: Duration,
    pub phase: Phase,
    /// The streamer's connection that it was answered on; none if it was handed over.
    pub streamer_connection: Option<SocketId>,
    /// What was handed over, until it is confirmed that the session plays: the decision module does not decide
    /// on it before.
    pub claim: Option<Box<SubscriptionRequest>>,
}

impl Session {
    /// Whether it was handed over by the front, and not set up here.
    pub fn was_handed_over(&self) -> bool {
        self.phase.playing_at().is_some() && self.streamer_connection.is_none()
    }
}

/// Timers of sessions and of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A join has not been answered in time.
    JoinTimeout(JobId, u16),
    /// The streamer of a withdrawn join has read its end by now.
    WithdrawalRead(JobId, u16),
    /// A set-up must be answered now.
    AnswerDeadline(JobId),
    /// A streamer has not ended a moved session in time.
    MoveTimeout(JobId),
    /// A reminder of the decision module, by its token.
    DecisionModule(u64),
}

/// An input for the decision module, applied in the next round.
pub type ModuleInput = Box<dyn FnOnce(&mut Controller)>;

/// All sessions, and the inputs that the decision module has not received yet.
pub struct SessionStore {
    pub settings: PlatformSettings,
    pub sessions: BTreeMap<JobId, Session>,
    pub by_wire_id: BTreeMap<u64, JobId>,
    /// Sessions without an answer, by the viewer's connection.
    pub pending_by_connection: BTreeMap<SocketId, BTreeSet<JobId>>,
    /// Unconfirmed sessions, by the viewer's connection that they were handed over on.
    pub claims: Claims,
    /// Set-ups that the decision module has not received, since more may have arrived on their connections: a
    /// cancellation, or the end.
    pub unread: BTreeMap<SocketId, Vec<(JobId, SubscriptionRequest)>>,
    /// Sessions that play or are being moved away, by streamer.
    pub by_streamer: BTreeMap<StreamerId, BTreeSet<JobId>>,
    pub timers: BTreeSet<(Duration, Timer)>,
    /// How earlier sessions ended.
    pub ended: EndedSessions,
    pub inputs: Vec<ModuleInput>,
    /// The id of the next session.
    pub next_job: JobId,
    /// The number of sessions without an answer.
    pub pending_count: usize,
    /// Set-ups whose connection closed before their answer.
    pub unanswered: UnansweredCounts,
    /// What became of set-ups and joins since the start.
    pub counts: RequestCounts,
    /// During a shutdown, when each set-up must have its answer.
    pub answers_limited_to: Option<Duration>,
}

impl SessionStore {
    /// Returns a session.
    pub fn get(&self, job: JobId) -> Option<&Session> {
        self.sessions.get(&job)
    }

    /// Returns a session for changes.
    pub fn get_mut(&mut self, job: JobId) -> Option<&mut Session> {
        self.sessions.get_mut(&job)
    }

    /// Returns the session of an outstanding join, unless that join has ended.
    pub fn joining(&self, join: JoinId) -> Option<(&Session, StreamerId)> {
        let session = self.get(join.job).filter(|session| session.joins == join.number + 1)?;
        match session.phase {
            Phase::Joining(streamer) => Some((session, streamer)),
            _ => None,
        }
    }

    /// Returns the job of a session.
    #[cfg(test)]
    pub fn job(&self, wire_id: u64) -> Option<JobId> {
        self.by_wire_id.get(&wire_id).copied()
    }

    /// Adds a session, and returns its id.
    pub fn insert(&mut self, session: Session) -> JobId {
        let job = self.next_job;
        self.next_job = self.next_job.wrapping_add(1);
        self.by_wire_id.insert(session.wire_id, job);
        if session.claim.is_some() {
            self.claims.insert(session.connection, job);
        }
        match session.phase {
            Phase::Playing(streamer) => drop(self.by_streamer.entry(streamer).or_default().insert(job)),
            _ => {
                self.pending_by_connection.entry(session.connection).or_default().insert(job);
                self.pending_count += 1;
            }
        }
        self.sessions.insert(job, session);
        job
    }

    /// Passes a connection's set-ups to the decision module that are still pending, once all that has arrived on it
    /// was read.
    pub fn place_set_ups_of(&mut self, connection: SocketId) {
        for (job, subscription) in self.unread.remove(&connection).unwrap_or_default() {
            if self.sessions.contains_key(&job) {
                self.inputs.push(Box::new(move |module| module.request(job, subscription)));
            }
        }
    }

    /// Removes a session from the index that its phase puts it in.
    pub fn remove_from_index(&mut self, job: JobId) {
        let Some(session) = self.sessions.get(&job) else { return };
        match session.phase {
            Phase::Waiting | Phase::Joining(_) | Phase::Withdrawn(..) => {
                self.pending_count -= 1;
                if let Some(pending) = self.pending_by_connection.get_mut(&session.connection) {
                    pending.remove(&job);
                    if pending.is_empty() {
                        self.pending_by_connection.remove(&session.connection);
                    }
                }
            }
            Phase::Playing(streamer) | Phase::Moving(streamer) => {
                if let Some(playing) = self.by_streamer.get_mut(&streamer) {
                    playing.remove(&job);
                    if playing.is_empty() {
                        self.by_streamer.remove(&streamer);
                    }
                }
            }
        }
    }

    /// The sessions with a join or playing at a streamer that were sent there at this time or later. What was
    /// handed over was sent there long before.
    pub fn jobs_sent_to(&self, streamer: StreamerId, since: Duration) -> Vec<JobId> {
        let at_streamer = self.by_streamer.get(&streamer).into_iter().flatten().copied();
        let sent_since = |job: &JobId| {
            self.get(*job).is_some_and(|session| {
                session.phase.streamer() == Some(streamer)
                    && session.join_sent_at >= since
                    && !session.was_handed_over()
            })
        };
        at_streamer.chain(self.pending_jobs()).filter(sent_since).collect()
    }

    /// Records that a session is at another streamer than it was thought to be.
    pub fn change_streamer(&mut self, job: JobId, streamer: StreamerId) {
        let Some(session) = self.sessions.get(&job) else { return };
        let plays = session.phase.playing_at().is_some();
        if plays {
            self.remove_from_index(job);
            self.by_streamer.entry(streamer).or_default().insert(job);
        }
        if let Some(session) = self.sessions.get_mut(&job) {
            session.phase = session.phase.at(streamer);
        }
    }

    /// Moves an unconfirmed session, or any other one, to another viewer's connection.
    pub fn move_to_connection(&mut self, job: JobId, connection: SocketId) {
        let Some(session) = self.sessions.get_mut(&job) else { return };
        let previous = std::mem::replace(&mut session.connection, connection);
        if session.claim.is_some() {
            self.claims.remove(previous, job);
            self.claims.insert(connection, job);
        }
    }

    /// Confirms that a handed-over session plays: the decision module takes it over.
    pub fn confirm(&mut self, job: JobId) {
        let Some(session) = self.sessions.get_mut(&job) else { return };
        let Some(subscription) = session.claim.take() else { return };
        let Some(streamer) = session.phase.playing_at() else { return };
        let (wire_id, connection) = (session.wire_id, session.connection);
        self.claims.remove(connection, job);
        trace_session(wire_id, "hand-over confirmed", streamer);
        self.inputs.push(Box::new(move |module| module.resumed(job, *subscription, streamer)));
    }

    /// Confirms all sessions that were handed over on a connection which has proved to be the front's.
    pub fn trust_claims_on(&mut self, connection: SocketId) {
        for job in self.claims.trust(connection) {
            self.confirm(job);
        }
    }

    /// The sessions that wait for their answer.
    pub fn pending_jobs(&self) -> Vec<JobId> {
        self.pending_by_connection.values().flatten().copied().collect()
    }

    /// The sessions that were moved away from a streamer which has not yet ended them.
    pub fn jobs_being_moved(&self) -> Vec<JobId> {
        let sessions = self.sessions.iter();
        sessions
            .filter(|(_, session)| matches!(session.phase, Phase::Moving(_)))
            .map(|(job, _)| *job)
            .collect()
    }

    /// Whether a join of this session would have too little time before the process exits: less than a join
    /// gets before it times out.
    pub fn is_too_late_to_join(&self, job: JobId, now: Duration) -> bool {
        let Some(session) = self.get(job).filter(|_| self.answers_limited_to.is_some()) else { return false };
        let Some(offer) = &session.offer else { return false };
        session.answer_by.saturating_sub(now) < self.settings.join_objective(offer.room_type) / 2
    }

    /// Moves the answer deadline of a pending session to this time, if that is sooner.
    pub fn answer_sooner(&mut self, job: JobId, answer_by: Duration) {
        let Some(session) = self.sessions.get_mut(&job) else { return };
        if answer_by < session.answer_by {
            self.timers.remove(&(session.answer_by, Timer::AnswerDeadline(job)));
            session.answer_by = answer_by;
            self.timers.insert((answer_by, Timer::AnswerDeadline(job)));
        }
    }

    /// Marks a session as playing at a streamer that answered on this connection.
    pub fn set_playing(&mut self, job: JobId, streamer: StreamerId, connection: SocketId) {
        self.remove_from_index(job);
        let Some(session) = self.sessions.get_mut(&job) else { return };
        (session.phase, session.offer) = (Phase::Playing(streamer), None);
        session.streamer_connection = Some(connection);
        let answer_deadline = (session.answer_by, Timer::AnswerDeadline(job));
        self.by_streamer.entry(streamer).or_default().insert(job);
        self.timers.remove(&answer_deadline);
    }

    /// Removes a session with its indexes and its answer deadline, and returns it. If a streamer may know it,
    /// its end is remembered with the cause of the release that its viewer is owed.
    pub fn remove(&mut self, now: Duration, job: JobId, release_cause: u8) -> Option<Session> {
        self.remove_from_index(job);
        let session = self.sessions.remove(&job)?;
        self.by_wire_id.remove(&session.wire_id);
        self.timers.remove(&(session.answer_by, Timer::AnswerDeadline(job)));
        if session.claim.is_some() {
            // A false one must not displace what is remembered of others.
            self.claims.remove(session.connection, job);
        } else if session.joins > 0 {
            self.ended.record(now, session.wire_id, session.phase.playing_at(), release_cause);
        }
        Some(session)
    }

    /// Reports to the decision module how a join or a playing session ended. `join` is the streamer, the
    /// number of the join and when it was sent.
    pub fn report_outcome(
        &mut self, now: Duration, job: JobId, join: (StreamerId, u16, Duration), ending: Ending, over: bool,
        usage: Vec<f64>,
    ) {
        let (streamer, number, sent_at) = join;
        let latency = now.saturating_sub(sent_at);
        self.inputs.push(Box::new(move |module| {
            module.outcome(job, streamer, number, ending, over, latency, &usage);
        }));
    }

    /// Withdraws a join, unless it has ended.
    pub fn withdraw(&mut self, now: Duration, join: JoinId, ending: Ending, transport: &mut impl Transport) {
        let Some((session, streamer)) = self.joining(join) else { return };
        transport.withdraw_join(join, session.wire_id, streamer);
        self.counts.withdrawn_joins += 1;
        self.lose_join(now, join, ending);
    }

    /// Ends a join whose streamer may not know of it yet: no other is placed until it has read that.
    pub fn lose_join(&mut self, now: Duration, join: JoinId, ending: Ending) {
        let Some((session, streamer)) = self.joining(join) else { return };
        trace_session(session.wire_id, "join lost", (streamer, join.number, ending));
        let time_left = session.answer_by.saturating_sub(now);
        let read_at = now + WITHDRAWAL_READ_WITHIN.min(time_left / 10);
        if let Some(session) = self.get_mut(join.job) {
            session.phase = Phase::Withdrawn(streamer, ending);
        }
        self.timers.insert((read_at, Timer::WithdrawalRead(join.job, join.number)));
    }

    /// Withdraws the outstanding join of a removed session, if there is one, and reports it to the decision
    /// module; or reports a join that was withdrawn before.
    pub fn withdraw_join(
        &mut self, now: Duration, job: JobId, session: &Session, transport: &mut impl Transport,
    ) {
        let number = session.joins.saturating_sub(1);
        let (streamer, ending) = match session.phase {
            Phase::Joining(streamer) => (streamer, Ending::Cancelled),
            Phase::Withdrawn(streamer, ending) => (streamer, ending),
            _ => return,
        };
        if matches!(session.phase, Phase::Joining(_)) {
            self.counts.withdrawn_joins += 1;
            transport.withdraw_join(JoinId { job, number }, session.wire_id, streamer);
        }
        let join = (streamer, number, session.join_sent_at);
        self.report_outcome(now, job, join, ending, true, Vec::new());
    }

    /// Counts a set-up whose viewer will not receive an answer, at the given step or else the one that it has
    /// reached.
    pub fn count_unanswered(&mut self, now: Duration, job: JobId, closed_by: ClosedBy, step: Option<Step>) {
        let Some(session) = self.sessions.get(&job) else { return };
        let (reached, streamer) = Step::of(session.phase, session.joins);
        let (wire_id, age) = (session.wire_id, now.saturating_sub(session.received_at));
        self.unanswered.record(
            now,
            &UnansweredSetUp { wire_id, closed_by, step: step.unwrap_or(reached), streamer, age },
        );
    }

    /// Parses a load report; empty if there is none or it is incomplete.
    pub fn parse_usage(&self, load: Option<&str>) -> Vec<f64> {
        load.map_or_else(Vec::new, |load| streamers::parse_load_report(load, &self.settings.report_fields))
    }
}

/// Logs an event of a session at trace level.
pub fn trace_session(wire_id: u64, event: &str, details: impl Debug) {
    tracing::trace!(
        target: "badgerledge_platform::calls",
        wire_id = format_args!("{wire_id:016x}"),
        of = ?details,
        "{event}"
    );
}
