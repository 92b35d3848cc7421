//! Shutdown after SIGTERM or SIGINT. The process serves on until the time of its [`ShutdownSchedule`], then
//! answers what is pending, closes its connections in order and exits. No step waits for another party
//! beyond its time limit. Sessions that play are left playing: the front hands them over to the next process.

use std::time::Duration;

use badgerledge_reactor::SocketId;

use super::Service;
use crate::request_counts::RequestCounts;
use crate::shutdown_schedule::ShutdownSchedule;

/// Interval between the steps of closing, if no event wakes the loop.
const CLOSING_STEP_INTERVAL: Duration = Duration::from_millis(5);

/// A shutdown under way.
pub(super) struct Shutdown {
    schedule: ShutdownSchedule,
    stage: Stage,
    /// The counts when the signal was received.
    counts_at_signal: RequestCounts,
    /// Viewers' connections on which bytes arrived after they had been shut down for writing.
    crossed: u64,
}

/// The stages of a shutdown, in order. `since` is when closing began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Set-ups are served as long as they can be answered in time.
    Serving,
    /// Nothing is pending and every set-up is refused. Streamers' connections close first, so that what they
    /// have just sent can still be passed on to viewers.
    ClosingStreamers { since: Duration },
    /// Viewers' connections close as their output is written.
    ClosingViewers { since: Duration },
}

impl Service {
    /// Handles SIGTERM or SIGINT. A second signal changes nothing.
    pub(super) fn begin_shutdown(&mut self, signal: i32) {
        let now = self.connections.now;
        let counts = self.sessions.store.counts;
        let (pending, held) = (self.sessions.pending_count(), self.sessions.len());
        if self.shutdown.is_some() {
            return tracing::info!(signal, pending, held, "already shutting down");
        }
        let longest_timeout = self.sessions.store.settings.max_client_timeout;
        let schedule = ShutdownSchedule::new(self.signal_times.earliest(), longest_timeout);
        let answer_within_ms = schedule.answer_by().saturating_sub(now).as_millis() as u64;
        let killed_after_ms = schedule.killed_at().saturating_sub(now).as_millis() as u64;
        tracing::info!(
            signal,
            pending,
            held,
            answer_within_ms,
            killed_after_ms,
            requests = %counts,
            "shutting down"
        );
        self.sessions.limit_answers(schedule.answer_by());
        self.shutdown =
            Some(Shutdown { schedule, stage: Stage::Serving, counts_at_signal: counts, crossed: 0 });
    }

    /// Applies the longest client timeout of reread settings to a shutdown under way.
    pub(super) fn shorten_shutdown(&mut self, longest_timeout: Duration) {
        let Some(shutdown) = &mut self.shutdown else { return };
        shutdown.schedule.shorten(longest_timeout);
        self.sessions.limit_answers(shutdown.schedule.answer_by());
    }

    /// Whether connections are being closed: no decisions are made and no periodic work is done any more.
    pub(super) fn is_closing(&self) -> bool {
        self.shutdown.as_ref().is_some_and(|shutdown| shutdown.stage != Stage::Serving)
    }

    /// The time at which the shutdown needs the loop to wake.
    pub(super) fn next_shutdown_step(&self) -> Option<Duration> {
        let shutdown = self.shutdown.as_ref()?;
        match shutdown.stage {
            Stage::Serving => Some(shutdown.schedule.answer_by()),
            _ => Some(self.connections.now + CLOSING_STEP_INTERVAL),
        }
    }

    /// Takes the steps of a shutdown that are due. Returns whether the process may exit.
    pub(super) fn advance_shutdown(&mut self) -> bool {
        let Some(Shutdown { schedule, stage, .. }) = self.shutdown else { return false };
        let now = self.connections.reactor.clock();
        match stage {
            Stage::Serving if now >= schedule.answer_by() => self.begin_closing(now),
            Stage::Serving if now >= schedule.may_close_at() && !self.holds_anything() => {
                self.begin_closing(now)
            }
            Stage::Serving => return false,
            Stage::ClosingStreamers { since } => self.close_streamers(now, since),
            Stage::ClosingViewers { .. } => {}
        }
        let Some(Shutdown { schedule, stage: Stage::ClosingViewers { since }, .. }) = self.shutdown else {
            return false;
        };
        self.close_viewers();
        self.connections.viewer_pool.is_empty() || now >= schedule.exit_by(since)
    }

    /// Whether a session, a message or an answer is left.
    fn holds_anything(&self) -> bool {
        let now = self.connections.now;
        let reactor = &self.connections.reactor;
        !self.sessions.is_empty()
            || self.connections.viewer_pool.has_pending_output(now, reactor)
            || self.connections.streamer_pool.has_pending_output(now, reactor)
    }

    /// Answers all pending set-ups, and refuses all that follow.
    fn begin_closing(&mut self, now: Duration) {
        self.connections.now = now;
        let (pending, held) = (self.sessions.pending_count(), self.sessions.len());
        tracing::info!(pending, held, "closing connections");
        self.sessions.close_pending(now, &mut self.connections);
        self.connections.reactor.flush();
        self.set_stage(Stage::ClosingStreamers { since: now });
    }

    /// Closes the listener once its queue is empty, and the streamers' connections as their output is
    /// written.
    fn close_streamers(&mut self, now: Duration, since: Duration) {
        let time_is_over = now >= ShutdownSchedule::streamers_closed_by(since);
        // A connection in the queue is established for its client, and would be reset with its set-up.
        if !self.accepted_in_last_wait || time_is_over {
            if let Some(listener) = self.listener.take() {
                self.connections.reactor.close(listener);
            }
        }
        self.connections.streamer_pool.shut_down_written(now, &mut self.connections.reactor);
        let streamers_closed = self.connections.streamer_pool.established().next().is_none();
        if self.listener.is_none() && (streamers_closed || time_is_over) {
            self.set_stage(Stage::ClosingViewers { since });
        }
    }

    /// Shuts down the viewers' connections on which nothing is pending. A connection that is closed with
    /// unread input is reset, and output in transit would be lost, so each is read until its peer closes it.
    fn close_viewers(&mut self) {
        let open: Vec<SocketId> = self.connections.viewer_pool.open().collect();
        for connection in open {
            self.read_remaining(connection);
            self.connections.reactor.flush_connection(connection);
            let written = self.connections.reactor.unwritten_bytes(connection) == 0;
            let complete = self.connections.reactor.input(connection).is_empty();
            if written && complete {
                self.connections.viewer_pool.shut_down(connection);
                self.connections.reactor.shut_down_write(connection);
            }
        }
    }

    /// Discards bytes that arrived on a connection after it was shut down: a set-up among them crossed the
    /// close, and its client sends it again elsewhere.
    pub(super) fn discard_crossed_input(&mut self, connection: SocketId) {
        let count = self.connections.reactor.input(connection).len();
        self.connections.reactor.consume(connection, count);
        if let Some(shutdown) = self.shutdown.as_mut().filter(|_| count > 0) {
            shutdown.crossed += 1;
        }
    }

    fn set_stage(&mut self, stage: Stage) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.stage = stage;
        }
    }

    /// Logs how the shutdown went: its duration, what became of the set-ups since the signal, and what is
    /// left behind.
    pub(super) fn log_end(&self) {
        let Some(shutdown) = &self.shutdown else { return };
        let now = self.connections.reactor.clock();
        let counts = self.sessions.store.counts;
        let reactor = &self.connections.reactor;
        let viewers = self.connections.viewer_pool.connections();
        let unwritten_bytes: usize = viewers.map(|connection| reactor.unwritten_bytes(connection)).sum();
        tracing::info!(
            took_ms = now.saturating_sub(shutdown.schedule.signalled_at()).as_millis() as u64,
            before_kill_ms = shutdown.schedule.killed_at().saturating_sub(now).as_millis() as u64,
            pending = self.sessions.pending_count(),
            held = self.sessions.len(),
            unwritten_bytes,
            crossed = shutdown.crossed,
            requests = %counts,
            since_signal = %counts.since(&shutdown.counts_at_signal),
            "ends"
        );
    }
}
