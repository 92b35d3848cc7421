//! Sessions that are over, and sessions that streamers report and nobody here holds. The front may hand over
//! either: after a restart its hand-overs arrive after what streamers and viewers say about the same sessions,
//! and a release that it has not received yet may cross a hand-over of that session.

use std::net::Ipv4Addr;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;

use crate::expiring_map::ExpiringMap;
use crate::release_causes::{join_refusals, FAILED, NORMAL};

/// How long an ended session is remembered: longer than a hand-over can take after a start or after the loss
/// of the front's connections.
const MEMORY: Duration = Duration::from_secs(60);
/// How long after the first health check that passed the front may hand over sessions, and how long one that
/// streamers report may be unknown before it is ended. The front hands over as soon as it finds the process
/// ready, which it notices within some seconds.
const HANDOVER_WINDOW: Duration = Duration::from_secs(10);

/// How a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedSession {
    /// The cause of the release that its viewer is owed if the session is handed over.
    pub release_cause: u8,
    /// Whether its streamer may not know of the end.
    pub plays_on: bool,
}

/// Remembers how sessions ended. Session ids are never reused.
pub struct EndedSessions {
    /// By session and streamer, or by session alone if no streamer plays it.
    ended: ExpiringMap<(u64, Option<StreamerId>), EndedSession>,
    /// Sessions that were unknown as their viewers ended them; apart from the others, so that a flood of such
    /// messages does not displace what streamers said.
    left_by_viewers: ExpiringMap<u64, EndedSession>,
    /// When each unknown session was first reported by a streamer.
    unknown: ExpiringMap<(u64, StreamerId), Duration>,
    /// When the process first passed a health check: no session is handed over before.
    first_ready_at: Option<Duration>,
}

impl EndedSessions {
    /// Creates an empty memory, with a limit on the sessions of each kind.
    pub fn new(max_sessions: usize) -> Self {
        Self {
            ended: ExpiringMap::new(MEMORY, max_sessions),
            left_by_viewers: ExpiringMap::new(MEMORY, max_sessions),
            unknown: ExpiringMap::new(MEMORY, max_sessions),
            first_ready_at: None,
        }
    }

    /// Records that a health check has passed.
    pub fn record_ready(&mut self, now: Duration) {
        self.first_ready_at.get_or_insert(now);
    }

    /// Records a session that ended here, at the streamer that played it, if there was one.
    pub fn record(&mut self, now: Duration, wire_id: u64, streamer: Option<StreamerId>, release_cause: u8) {
        let ended = EndedSession { release_cause, plays_on: true };
        self.ended.get_or_insert(now, (wire_id, streamer), ended);
    }

    /// Records an unknown session that its streamer released. Causes that only refuse joins are ignored.
    pub fn record_release(&mut self, now: Duration, wire_id: u64, streamer: StreamerId, cause: u64) {
        if join_refusals::contains(cause) || self.find(now, wire_id, streamer).is_some() {
            return;
        }
        let release_cause = if cause == u64::from(NORMAL) { NORMAL } else { FAILED };
        let ended = EndedSession { release_cause, plays_on: false };
        self.ended.get_or_insert(now, (wire_id, Some(streamer)), ended);
    }

    /// Records an unknown session that its viewer ended.
    pub fn record_left(&mut self, now: Duration, wire_id: u64) {
        let ended = EndedSession { release_cause: NORMAL, plays_on: true };
        self.left_by_viewers.get_or_insert(now, wire_id, ended);
    }

    /// Whether a streamer may have run a session with this id that has ended.
    pub fn has_run(&mut self, now: Duration, wire_id: u64) -> bool {
        // The end of the range is not reached: streamers are numbered, and have no port.
        let last = StreamerId::new(Ipv4Addr::BROADCAST, u16::MAX);
        self.ended.contains_any(now, (wire_id, None)..=(wire_id, Some(last)))
    }

    /// How a session at that streamer ended, if it did.
    pub fn find(&mut self, now: Duration, wire_id: u64, streamer: StreamerId) -> Option<EndedSession> {
        let at_streamer = self.ended.get(now, &(wire_id, Some(streamer))).copied();
        let anywhere = at_streamer.or_else(|| self.ended.get(now, &(wire_id, None)).copied());
        anywhere.or_else(|| self.left_by_viewers.get(now, &wire_id).copied())
    }

    /// Whether the front may still hand over sessions that were never heard of here: it does so once a health
    /// check has passed.
    pub fn expects_handovers(&self, now: Duration) -> bool {
        self.first_ready_at.is_none_or(|first_ready_at| now < first_ready_at + HANDOVER_WINDOW)
    }

    /// Whether a streamer has lately said that a session plays which nobody here holds.
    pub fn was_reported(&mut self, now: Duration, wire_id: u64, streamer: StreamerId) -> bool {
        self.unknown.get(now, &(wire_id, streamer)).is_some()
    }

    /// Whether a session that nobody here holds, and that a streamer says is playing, must be ended: it is
    /// over, or it has been unknown for longer than a hand-over can take.
    pub fn must_be_ended(&mut self, now: Duration, wire_id: u64, streamer: StreamerId) -> bool {
        if self.find(now, wire_id, streamer).is_some() {
            return true;
        }
        let reported_at = *self.unknown.get_or_insert(now, (wire_id, streamer), now);
        let Some(first_ready_at) = self.first_ready_at else { return false };
        if now < reported_at.max(first_ready_at) + HANDOVER_WINDOW {
            return false;
        }
        self.record(now, wire_id, Some(streamer), FAILED);
        true
    }
}
