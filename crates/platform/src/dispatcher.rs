//! Carries out the decisions of the decision module as they are made.

use std::time::Duration;

use badgerledge_core::interface::{DecisionSink, Ending, JobId, Listing, StreamerId};
use badgerledge_signalling::{streamers, viewers};

use crate::join_id::JoinId;
use crate::phase::Phase;
use crate::release_causes::{FAILED, THROTTLED};
use crate::session_store::{trace_session, OfferFields, SessionStore, Timer};
use crate::transport::Transport;
use crate::unanswered::{ClosedBy, Step};

/// How long a streamer may take to end a moved session before it is told to.
const MOVE_TIMEOUT: Duration = Duration::from_millis(600);

/// Implements the decision module's [`DecisionSink`] on the session store and the transport.
pub struct Dispatcher<'a, W> {
    pub now: Duration,
    pub store: &'a mut SessionStore,
    pub transport: &'a mut W,
}

impl<W: Transport> Dispatcher<'_, W> {
    /// Sends the final answer to a session that waits for one.
    fn answer(&mut self, job: JobId, cause: u8, cool_down: Duration) {
        let Some(session) = self.store.get(job).filter(|session| session.phase.is_pending()) else { return };
        let (connection, wire_id) = (session.connection, session.wire_id);
        if !self.transport.answer(connection, &viewers::release(wire_id, cause, cool_down)) {
            self.store.count_unanswered(self.now, job, ClosedBy::Network, Some(Step::NotTaken));
        }
        let Some(session) = self.store.remove(self.now, job, cause) else { return };
        trace_session(wire_id, "answered", (cause, cool_down));
        match cause {
            THROTTLED => self.store.counts.throttled += 1,
            _ => self.store.counts.failed += 1,
        }
        self.store.withdraw_join(self.now, job, &session, self.transport);
    }
}

impl<W: Transport> DecisionSink for Dispatcher<'_, W> {
    fn send_join(&mut self, job: JobId, streamer: StreamerId, try_until: Duration) {
        let (now, max_joins) = (self.now, self.store.settings.max_joins);
        if self.store.is_too_late_to_join(job, now) {
            // The next timers answer the set-up, before it is placed again.
            self.store.answer_sooner(job, now);
        }
        let Some(session) = self.store.get_mut(job) else { return };
        let number = session.joins;
        if session.phase != Phase::Waiting || now >= session.answer_by || number >= max_joins {
            let over = !session.phase.is_pending();
            return self.store.report_outcome(
                now,
                job,
                (streamer, number, now),
                Ending::Moot,
                over,
                Vec::new(),
            );
        }
        (session.joins, session.join_sent_at, session.phase) = (number + 1, now, Phase::Joining(streamer));
        let until = try_until.min(session.answer_by);
        let (wire_id, rung) = (session.wire_id, session.rung);
        let offer = self.store.get(job).and_then(|session| session.offer.as_deref());
        let Some(OfferFields { room_type, title, description }) = offer else { return };
        let room_type = &self.store.settings.room_types[*room_type];
        let timeout = until.saturating_sub(now);
        // Its length was checked when the set-up arrived.
        let offer =
            streamers::offer(wire_id, room_type, title, timeout, rung, description).unwrap_or_default();
        trace_session(wire_id, "join sent", (streamer, number, timeout));
        self.store.counts.joins += 1;
        self.store.timers.insert((until, Timer::JoinTimeout(job, number)));
        self.transport.join(JoinId { job, number }, wire_id, streamer, offer);
    }

    fn throttle(&mut self, job: JobId, cool_down: Duration) {
        self.answer(job, THROTTLED, cool_down);
    }

    fn respond_error(&mut self, job: JobId) {
        self.answer(job, FAILED, Duration::ZERO);
    }

    fn set_rung(&mut self, job: JobId, rung: u8) {
        let Some(session) = self.store.get_mut(job) else { return };
        session.rung = Some(rung);
        if let Phase::Playing(streamer) = session.phase {
            self.transport.send(streamer, session.wire_id, streamers::step(session.wire_id, rung));
        }
    }

    fn move_subscription(&mut self, job: JobId) {
        let Some(session) = self.store.get_mut(job) else { return };
        if let Phase::Playing(streamer) = session.phase {
            session.phase = Phase::Moving(streamer);
            trace_session(session.wire_id, "moved", streamer);
            let (connection, wire_id, message) =
                (session.connection, session.wire_id, viewers::moved(session.wire_id));
            // A lost message does no harm: the streamer ends a session that was not moved.
            if !self.transport.answer(connection, &message) {
                self.transport.release(connection, wire_id, message);
            }
            self.store.timers.insert((self.now + MOVE_TIMEOUT, Timer::MoveTimeout(job)));
        }
    }

    fn cancel(&mut self, job: JobId, number: u16) {
        self.store.withdraw(self.now, JoinId { job, number }, Ending::Cancelled, self.transport);
    }

    fn set_timer(&mut self, from_now: Duration, token: u64) {
        // Never in the round that is being run.
        let at = self.now + from_now.max(Duration::from_micros(1));
        self.store.timers.insert((at, Timer::DecisionModule(token)));
    }

    fn send_probe(&mut self, streamer: StreamerId) {
        self.transport.probe(streamer);
    }

    fn close_connection(&mut self, streamer: StreamerId) {
        self.transport.close_idle(streamer);
    }

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        self.transport.send_to_peers(peer, bytes);
    }

    fn watch_list(&mut self, _want: bool) {
        self.request_full_list();
    }

    /// The list is queried all the time; only its arrival is reported.
    fn request_full_list(&mut self) {
        self.store.inputs.push(Box::new(|module| {
            module.list_begins(Listing::Changes);
            module.list_ends(Listing::Changes);
        }));
    }

    fn log_info(&mut self, text: &str) {
        tracing::info!(line = text, "the decision module reports");
    }

    fn log_error(&mut self, text: &str) {
        tracing::error!(line = text, "the decision module reported a fault");
    }
}
