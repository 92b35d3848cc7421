//! What becomes of sessions as the process shuts down: each set-up gets its answer, and what plays is left to the
//! next process.

use std::time::Duration;

use badgerledge_core::interface::JobId;

use super::SessionTable;
use crate::session_store::trace_session;
use crate::transport::Transport;

impl SessionTable {
    /// Limits the time of all answers during a shutdown: pending set-ups are answered by then, and later ones
    /// are refused unless their join objective ends sooner.
    pub fn limit_answers(&mut self, limit: Duration) {
        self.store.answers_limited_to = Some(limit);
        for job in self.store.pending_jobs() {
            self.store.answer_sooner(job, limit);
        }
    }

    /// Ends what a process that exits cannot leave behind: pending set-ups get their answer, and sessions that
    /// were moved away are ended at their streamers. Sessions that play are left to the next process.
    pub fn close_pending(&mut self, now: Duration, transport: &mut impl Transport) {
        self.store.answers_limited_to = Some(now);
        for job in self.store.pending_jobs() {
            self.answer_at_shutdown(now, job, transport);
        }
        for job in self.store.jobs_being_moved() {
            self.end_moved(now, job, transport);
        }
    }

    /// Answers a pending set-up as the process exits: it may be repeated if nothing of it was sent.
    pub(super) fn answer_at_shutdown(&mut self, now: Duration, job: JobId, transport: &mut impl Transport) {
        let Some(session) = self.store.get(job) else { return };
        let (connection, wire_id) = (session.connection, session.wire_id);
        if session.joins > 0 {
            return self.answer_failed(now, job, transport);
        }
        trace_session(wire_id, "refused: the process shuts down", connection);
        self.refuse(connection, wire_id, transport);
        self.expire(now, job, transport);
    }
}
