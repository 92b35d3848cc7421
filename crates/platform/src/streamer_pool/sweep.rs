//! Periodic maintenance of the connections to streamers: time-outs of probes and connections, checks of
//! silent streamers, and another attempt to send queued messages.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Reactor, SocketId};

use super::{ConnectError, PoolEvent, StreamerConnection, StreamerPool, StreamerState};

/// How long a connection stays open after a join on it was abandoned, for an answer already on its way.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(1);
/// How long a streamer may take to close a connection that was shut down towards it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after a loss a connection is opened to hear what was lost: a streamer that loses each connection is
/// not connected to without a pause.
const REFETCH_DELAY: Duration = Duration::from_millis(100);
/// The idle timeout while three quarters of the descriptors are in use: most joins end much sooner.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

impl StreamerPool {
    /// Runs the maintenance: ends late probes, closes idle and abandoned connections, and checks streamers
    /// with playing sessions that have been silent for too long.
    pub fn sweep(&mut self, now: Duration, playing_streamers: &[StreamerId], reactor: &mut Reactor) {
        self.expire_probes(now);
        let open_counts = self.shut_down_unused(now, playing_streamers, reactor);
        self.close_shut_down(now, reactor);
        self.connect_where_needed(now, playing_streamers, &open_counts, reactor);
        self.send_all_queued(now, reactor);
        let unused = |state: &StreamerState| {
            !state.listed && state.connection_ids.is_empty() && state.queued_messages.is_empty()
        };
        self.streamers.retain(|id, state| !unused(state) || playing_streamers.contains(id));
    }

    /// Ends probes that were not answered in time; their connections take no more joins.
    fn expire_probes(&mut self, now: Duration) {
        let probe_timeout = self.connect_timeout * 2;
        for connection in self.connections.values_mut() {
            let late = connection
                .outstanding_probes
                .iter()
                .filter(|(_, sent_at)| *sent_at + probe_timeout <= now)
                .count();
            for (_, sent_at) in connection.outstanding_probes.drain(..late) {
                let waited = now.saturating_sub(sent_at);
                self.events.push(PoolEvent::ProbeFinished(connection.streamer, Ending::Timeout, waited));
            }
            if late > 0 {
                connection.abandoned_at = Some(now);
            }
        }
    }

    /// Shuts down idle and abandoned connections. Returns how many connections stay open to each streamer.
    fn shut_down_unused(
        &mut self, now: Duration, playing_streamers: &[StreamerId], reactor: &mut Reactor,
    ) -> BTreeMap<StreamerId, usize> {
        let crowded = self.connections.len() * 4 > self.max_connections * 3;
        let idle_timeout = if crowded { CROWDED_IDLE_TIMEOUT } else { self.idle_timeout };
        let mut open_counts: BTreeMap<StreamerId, usize> = BTreeMap::new();
        for connection in self.connections.values().filter(|connection| connection.shut_down_at.is_none()) {
            *open_counts.entry(connection.streamer).or_default() += 1;
        }
        for (connection_id, connection) in
            self.connections.iter_mut().filter(|(_, connection)| connection.shut_down_at.is_none())
        {
            let open = open_counts.entry(connection.streamer).or_default();
            let kept = *open <= 1 && playing_streamers.contains(&connection.streamer);
            let spent = connection.abandoned_at.is_some_and(|at| at + LATE_ANSWER_WINDOW <= now);
            let idle = connection.established
                && connection.is_idle()
                && connection.last_sent_at + idle_timeout <= now
                && !kept;
            if connection.has_no_requests() && (spent || idle) {
                // Input that the streamer has just sent, such as a release, is still read.
                connection.shut_down_at = Some(now);
                tracing::trace!(
                    target: "badgerledge_platform::pool::sweep",
                    streamer = %connection.streamer,
                    line = connection_id,
                    spent,
                    idle,
                    "retired"
                );
                *open = open.saturating_sub(1);
                reactor.shut_down_write(*connection_id);
            }
        }
        open_counts
    }

    /// Closes connections that were shut down and whose streamer did not close them in time.
    fn close_shut_down(&mut self, now: Duration, reactor: &mut Reactor) {
        let timed_out = |connection: &StreamerConnection| {
            connection.shut_down_at.is_some_and(|at| at + CLOSE_TIMEOUT <= now)
        };
        let expired: Vec<SocketId> = self
            .connections
            .iter()
            .filter(|(_, connection)| timed_out(connection))
            .map(|(connection_id, _)| *connection_id)
            .collect();
        for connection_id in expired {
            self.close(connection_id, Ending::Reset, now, reactor);
        }
    }

    /// Starts a connection to each streamer with playing sessions that is silent, has no connection, or may have
    /// written a release on one that was lost.
    fn connect_where_needed(
        &mut self, now: Duration, playing_streamers: &[StreamerId],
        open_counts: &BTreeMap<StreamerId, usize>, reactor: &mut Reactor,
    ) {
        for streamer in playing_streamers {
            let open_count = open_counts.get(streamer).copied().unwrap_or(0);
            if !self.needs_connection(*streamer, open_count, now) {
                continue;
            }
            if let Err(ConnectError::Refused) = self.connect(*streamer, now, reactor) {
                self.connect_failed(*streamer, false, true, now, reactor);
            }
        }
    }

    /// Whether a connection must be started to a streamer with playing sessions.
    fn needs_connection(&self, streamer: StreamerId, open_count: usize, now: Duration) -> bool {
        let Some(state) = self.streamers.get(&streamer) else { return false };
        let connections = state.connection_ids.iter().filter_map(|id| self.connections.get(id));
        let last_started_at = connections
            .filter(|connection| !connection.established)
            .map(|connection| connection.started_at)
            .max();
        if let Some(lost_at) = state.input_lost_at {
            // Only one that is opened after the loss brings what the streamer repeats.
            let is_due = now >= lost_at + REFETCH_DELAY;
            return is_due && last_started_at.is_none_or(|started_at| started_at < lost_at);
        }
        let silent = now >= state.last_received_at + self.max_silence;
        last_started_at.is_none() && (silent || open_count == 0)
    }

    fn send_all_queued(&mut self, now: Duration, reactor: &mut Reactor) {
        let waiting = self.streamers.iter().filter(|(_, state)| !state.queued_messages.is_empty());
        for streamer in waiting.map(|(streamer, _)| *streamer).collect::<Vec<_>>() {
            self.send_queued(streamer, now, reactor);
        }
    }
}
