//! What becomes of the sessions at a streamer that was lost, was restarted, or was replaced at its address.

use std::time::Duration;

use badgerledge_core::interface::{Ending, JobId, StreamerId};
use badgerledge_signalling::viewers;

use super::SessionTable;
use crate::release_causes::FAILED;
use crate::session_store::trace_session;
use crate::streamer_pool::LossReason;
use crate::transport::Transport;

impl SessionTable {
    /// Ends the sessions that were sent to a streamer before it was restarted.
    pub fn streamer_restarted(
        &mut self, now: Duration, streamer: StreamerId, at: Duration, transport: &mut impl Transport,
    ) {
        self.end_sessions_at(now, streamer, at, transport);
    }

    /// Ends the sessions at a streamer that is lost. One that may play on is told, too.
    pub fn streamer_lost(
        &mut self, now: Duration, streamer: StreamerId, reason: LossReason, transport: &mut impl Transport,
    ) {
        if reason == LossReason::Unreachable {
            for job in self.jobs_at(streamer) {
                if let Some(session) = self.store.get(job) {
                    transport.end_at_lost_streamer(streamer, session.wire_id);
                }
            }
        }
        self.end_sessions_at(now, streamer, Duration::MAX, transport);
    }

    /// Ends the sessions at a streamer whose address another one has. Those that were sent there since the given
    /// time are the other one's.
    pub fn streamer_replaced(
        &mut self, now: Duration, streamer: StreamerId, by: StreamerId, since: Duration,
        transport: &mut impl Transport,
    ) {
        for job in self.store.jobs_sent_to(streamer, since) {
            let Some(session) = self.store.get(job) else { continue };
            trace_session(session.wire_id, "is at the streamer's successor", (streamer, by));
            self.store.change_streamer(job, by);
            self.store.inputs.push(Box::new(move |module| module.streamer_changed(job, by)));
        }
        self.end_sessions_at(now, streamer, Duration::MAX, transport);
    }

    /// Ends the sessions that were sent to a streamer before the given time.
    fn end_sessions_at(
        &mut self, now: Duration, streamer: StreamerId, before: Duration, transport: &mut impl Transport,
    ) {
        for job in self.jobs_at(streamer) {
            let Some(session) = self.store.get(job).filter(|session| session.join_sent_at < before) else {
                continue;
            };
            trace_session(session.wire_id, "lost with its streamer", streamer);
            transport.release(
                session.connection,
                session.wire_id,
                viewers::release(session.wire_id, FAILED, Duration::ZERO),
            );
            self.finish(now, job, Ending::Reset, Vec::new());
        }
    }

    /// The sessions at a streamer, unconfirmed ones last: messages on false ones must not take the room of others'.
    fn jobs_at(&self, streamer: StreamerId) -> Vec<JobId> {
        let at_streamer = self.store.by_streamer.get(&streamer).into_iter().flatten().copied();
        let is_claim = |job: &JobId| self.store.get(*job).is_some_and(|session| session.claim.is_some());
        let (claims, confirmed): (Vec<_>, Vec<_>) = at_streamer.partition(is_claim);
        confirmed.into_iter().chain(claims).collect()
    }
}
