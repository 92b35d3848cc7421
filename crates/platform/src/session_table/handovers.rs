//! Sessions that already play: the front hands them over after a start, and once more what is held already if
//! it connects again. What streamers and viewers say of a session may arrive before its hand-over.

use std::time::Duration;

use badgerledge_core::interface::{JobId, StreamerId, SubscriptionRequest};
use badgerledge_reactor::SocketId;
use badgerledge_signalling::viewers;

use super::SessionTable;
use crate::phase::Phase;
use crate::release_causes::FAILED;
use crate::session_store::{trace_session, Session};
use crate::transport::Transport;

/// A session that the front says is playing.
pub struct Handover {
    pub wire_id: u64,
    /// The viewers' connection that it arrived on.
    pub connection: SocketId,
    /// The streamer that it plays at, if its name is valid.
    pub streamer: Option<StreamerId>,
    pub subscription: SubscriptionRequest,
}

impl SessionTable {
    /// Accepts a session that already plays. It gets no answer; one that has ended, is at a streamer that is not
    /// listed, or comes when no hand-over is due is released. Whatever is handed over may be false: until its
    /// streamer speaks of it, or of another one that was handed over on the same connection, it is only held.
    pub(super) fn accept_handover(
        &mut self, now: Duration, handover: &Handover, transport: &mut impl Transport,
    ) {
        let Handover { wire_id, connection, streamer, subscription } = *handover;
        if let Some(job) = self.store.by_wire_id.get(&wire_id).copied() {
            return self.accept_repeated_handover(job, handover, transport);
        }
        if self.release_if_ended(now, handover, transport) {
            return;
        }
        let listed = streamer.filter(|streamer| self.health_by_streamer.contains_key(streamer));
        let expected = listed.filter(|_| self.store.ended.expects_handovers(now));
        let Some(streamer) = expected.filter(|_| self.make_room_for_claim(now, connection, transport)) else {
            trace_session(wire_id, "hand-over refused", (connection, streamer));
            transport.answer(connection, &viewers::release(wire_id, FAILED, Duration::ZERO));
            return;
        };
        trace_session(wire_id, "handed over", streamer);
        let session = Session {
            wire_id,
            connection,
            received_at: now,
            answer_by: now,
            offer: None,
            rung: None,
            joins: 1,
            join_sent_at: now,
            phase: Phase::Playing(streamer),
            streamer_connection: None,
            claim: Some(Box::new(subscription)),
        };
        let job = self.store.insert(session);
        if self.store.ended.was_reported(now, wire_id, streamer) {
            return self.confirm_by_streamer(job, streamer, transport);
        }
        if self.store.claims.is_trusted(connection) {
            return self.store.confirm(job);
        }
        transport.mark_claiming(connection);
        self.store.inputs.push(Box::new(move |module| module.claimed(job, subscription)));
    }

    /// Makes room for one more unconfirmed session of a connection, and returns whether there is any.
    fn make_room_for_claim(
        &mut self, now: Duration, connection: SocketId, transport: &mut impl Transport,
    ) -> bool {
        if self.store.claims.len() < self.max_claims {
            return true;
        }
        let Some(job) = self.store.claims.displaced_by(connection) else { return false };
        let Some(session) = self.store.remove(now, job, FAILED) else { return false };
        let Session { wire_id, connection, .. } = session;
        trace_session(wire_id, "unconfirmed hand-over displaced", connection);
        transport.answer(connection, &viewers::release(wire_id, FAILED, Duration::ZERO));
        self.store.inputs.push(Box::new(move |module| module.expired(job)));
        true
    }

    /// Records that a streamer has spoken of a session: it plays there, and the connection that it was handed
    /// over on is the front's.
    pub(super) fn confirm_by_streamer(
        &mut self, job: JobId, streamer: StreamerId, transport: &mut impl Transport,
    ) {
        let Some(session) = self.store.get(job) else { return };
        if session.claim.is_none() || session.phase.playing_at() != Some(streamer) {
            return;
        }
        let connection = session.connection;
        self.store.confirm(job);
        transport.mark_serving(connection);
        if transport.is_serving(connection) {
            self.store.trust_claims_on(connection);
        }
    }

    /// Handles the hand-over of a session that is held already: the front has connected again, so what ends the
    /// session is sent on the new connection. One that contradicts what is known changes nothing.
    fn accept_repeated_handover(&mut self, job: JobId, handover: &Handover, transport: &mut impl Transport) {
        let Handover { wire_id, connection, streamer, .. } = *handover;
        let Some(session) = self.store.get(job) else { return };
        if streamer.is_some() && session.phase.playing_at() == streamer {
            trace_session(wire_id, "handed over again", (session.connection, connection));
            let is_confirmed = session.claim.is_none();
            self.store.move_to_connection(job, connection);
            // Only the front knows the id of a session that plays.
            return match is_confirmed {
                true => transport.mark_serving(connection),
                false => transport.mark_claiming(connection),
            };
        }
        tracing::debug!(
            wire_id = format_args!("{wire_id:016x}"),
            phase = ?session.phase,
            ?streamer,
            "ignoring a hand-over that contradicts the session's state"
        );
    }

    /// Releases a handed-over session if it has ended at its streamer already. Returns whether it has.
    fn release_if_ended(
        &mut self, now: Duration, handover: &Handover, transport: &mut impl Transport,
    ) -> bool {
        let Handover { wire_id, connection, streamer, .. } = *handover;
        let Some(streamer) = streamer else { return false };
        let Some(ended) = self.store.ended.find(now, wire_id, streamer) else { return false };
        trace_session(wire_id, "handed over after its end", (streamer, ended));
        if ended.plays_on {
            transport.end(streamer, wire_id);
        }
        let release = viewers::release(wire_id, ended.release_cause, Duration::ZERO);
        transport.release(connection, wire_id, release);
        transport.mark_claiming(connection);
        true
    }

    /// Records that a health check has passed: from now on the front hands over what plays.
    pub fn record_ready(&mut self, now: Duration) {
        self.store.ended.record_ready(now);
    }

    /// Whether a session that a streamer says is playing belongs to no viewer and must be ended. One that is not
    /// known here is left playing at first, since its hand-over may be on its way.
    pub fn is_orphan(&mut self, now: Duration, streamer: StreamerId, wire_id: u64) -> bool {
        let known = self.store.by_wire_id.contains_key(&wire_id);
        !known && self.store.ended.must_be_ended(now, wire_id, streamer)
    }

    /// Whether a session that a streamer answered without an outstanding join must be ended there.
    pub fn is_stray_answer(&mut self, now: Duration, streamer: StreamerId, wire_id: u64) -> bool {
        match self.store.by_wire_id.contains_key(&wire_id) {
            true => !self.is_joining_or_playing_at(streamer, wire_id),
            false => self.is_orphan(now, streamer, wire_id),
        }
    }

    /// Whether that session plays at that streamer, has a join outstanding there, or has just withdrawn one.
    fn is_joining_or_playing_at(&self, streamer: StreamerId, wire_id: u64) -> bool {
        let session = self.store.by_wire_id.get(&wire_id).and_then(|job| self.store.get(*job));
        session.is_some_and(|session| match session.phase {
            Phase::Playing(at) | Phase::Joining(at) | Phase::Withdrawn(at, _) => at == streamer,
            Phase::Waiting | Phase::Moving(_) => false,
        })
    }
}
