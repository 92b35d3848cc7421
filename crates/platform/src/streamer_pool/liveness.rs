//! Whether a streamer still runs. Anything received from it and any connection that it takes up shows that it does.
//! One that is silent is connected to; if attempts fail it is asked on the connections that are open, and counts
//! as lost once it has answered neither for longer than a connection may take to come up.

use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::{Reactor, SocketId};

use super::{PoolEvent, StreamerPool};

/// How much longer than the interval of progress reports a streamer may be silent before it is connected to;
/// must exceed the delay of progress reports.
const SILENCE_MARGIN: Duration = Duration::from_millis(1500);
/// The longest time in which a connection to a streamer that runs comes up: a lost handshake is repeated after a
/// second.
const MAX_CONNECT_DELAY: Duration = Duration::from_millis(1050);
/// A streamer that vanished must be found lost within this time: viewers have to learn of an end within eight
/// seconds.
const MAX_TIME_TO_LOSS: Duration = Duration::from_millis(7500);
/// Failed connection attempts in a row before a streamer counts as lost, unless its process has ended.
const MIN_FAILED_ATTEMPTS: u32 = 2;

/// Why a streamer counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// No process listens at its address, and no connection is open.
    ProcessEnded,
    /// It answers nothing. It may be cut off, and play on.
    Unreachable,
}

/// A streamer that is not reached at present.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unreachable {
    /// When the first of the attempts was started.
    since: Duration,
    failed_attempts: u32,
    /// Whether it was asked on its open connections.
    was_asked: bool,
}

/// How long a streamer with playing sessions may be silent before it is connected to.
pub(super) fn max_silence(progress_interval: Duration, connect_timeout: Duration) -> Duration {
    // The attempt that decides may begin just before the others have failed for long enough.
    let time_for_attempts = unreachable_timeout(connect_timeout) + connect_timeout;
    (progress_interval + SILENCE_MARGIN).min(MAX_TIME_TO_LOSS.saturating_sub(time_for_attempts))
}

/// How long connection attempts must have failed before a streamer counts as lost: an attempt that began after
/// the longest delay of a connection has failed then.
fn unreachable_timeout(connect_timeout: Duration) -> Duration {
    MAX_CONNECT_DELAY + connect_timeout
}

impl StreamerPool {
    /// Handles a failed connection attempt: refused, or timed out if `timed_out`.
    pub(super) fn connect_failed(
        &mut self, streamer: StreamerId, timed_out: bool, has_sessions: bool, now: Duration,
        reactor: &mut Reactor,
    ) {
        let open_connections = self.open_connections(streamer);
        let process_ended = !timed_out && open_connections.is_empty();
        if process_ended {
            self.drop_ends_of_lost_joins(streamer);
        }
        let attempt_took = if timed_out { self.connect_timeout } else { Duration::ZERO };
        let unreachable_timeout = unreachable_timeout(self.connect_timeout);
        let Some(state) = self.streamers.get_mut(&streamer) else { return };
        let first =
            Unreachable { since: now.saturating_sub(attempt_took), failed_attempts: 0, was_asked: false };
        let unreachable = state.unreachable.get_or_insert(first);
        unreachable.failed_attempts += 1;
        let Unreachable { since, failed_attempts, .. } = *unreachable;
        if !has_sessions {
            return;
        }
        let was_asked = std::mem::replace(&mut unreachable.was_asked, true);
        let silent = now >= state.last_received_at + self.max_silence;
        let given_time = failed_attempts >= MIN_FAILED_ATTEMPTS && now >= since + unreachable_timeout;
        if process_ended {
            self.declare_lost(streamer, LossReason::ProcessEnded, now, reactor);
        } else if silent && given_time {
            self.declare_lost(streamer, LossReason::Unreachable, now, reactor);
        } else if !was_asked {
            // One that runs but takes up no connection answers on these.
            for connection_id in open_connections {
                self.test_connection(connection_id, now, reactor);
            }
        }
    }

    /// Ends the sessions at a streamer, and closes its connections.
    pub(super) fn declare_lost(
        &mut self, streamer: StreamerId, reason: LossReason, now: Duration, reactor: &mut Reactor,
    ) {
        self.forget(streamer, now, reactor);
        self.events.push(PoolEvent::StreamerLost(streamer, reason));
    }

    /// The established connections to a streamer that are not being closed.
    pub(super) fn open_connections(&self, streamer: StreamerId) -> Vec<SocketId> {
        let ids = self.streamers.get(&streamer).map_or(&[][..], |state| &state.connection_ids);
        ids.iter().copied().filter(|connection_id| self.is_open(*connection_id)).collect()
    }
}
