//! Handlers of inbound data: entries of the streamer list, viewers' frames and streamers' lines are decoded
//! and passed to the session table and the connection pools.

use std::net::SocketAddrV4;
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, Start, StreamerId};
use badgerledge_names::StreamerSink;
use badgerledge_reactor::SocketId;
use badgerledge_signalling::viewers::Parameters;
use badgerledge_signalling::{streamers, viewers, Fault};

use crate::connections::Connections;
use crate::release_causes::join_refusals::{self, ERROR, FULL, MOOT};
use crate::release_causes::FAILED;
use crate::request::PlatformSettings;
use crate::session_table::{streamer_id, ListEntry, SessionTable};
use crate::transport::Transport;

/// Collects entries of the streamer list and translates their names to the indexes that the decision module
/// uses.
pub struct ListEntries {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Unix time at the zero of this process's clock.
    pub unix_at_zero: Duration,
    pub entries: Vec<ListEntry>,
}

impl StreamerSink for ListEntries {
    fn entry(
        &mut self, id: u32, address: SocketAddrV4, zone: &str, kind: &str, cell: u32, health: Health,
        weight: f64, started_unix_ms: u64,
    ) {
        let zone = PlatformSettings::index_of(&self.zones, zone).map_or(u16::MAX, |index| index as u16);
        let kind = PlatformSettings::index_of(&self.kinds, kind).unwrap_or(0);
        // The local time of a start differs between processes, so its number (Unix time in ms) is kept for
        // comparison.
        let started_at = match started_unix_ms {
            0 => Duration::ZERO,
            ms => Duration::from_millis(ms).saturating_sub(self.unix_at_zero),
        };
        let started = Start { at: started_at, number: started_unix_ms };
        self.entries.push(ListEntry {
            id: streamer_id(id),
            address,
            zone,
            kind,
            cell,
            health,
            weight,
            started,
        });
    }
}

/// Handles the frames of a viewer's connection.
pub struct ViewerHandler<'a> {
    pub service: (&'a mut SessionTable, &'a mut Connections),
    pub connection: SocketId,
    pub now: Duration,
    /// The answer to health checks.
    pub ready: bool,
}

impl viewers::MessageHandler for ViewerHandler<'_> {
    fn set_up(&mut self, wire_id: u64, parameters: Parameters<'_>) {
        let (sessions, connections) = &mut self.service;
        connections.viewer_pool.record_set_up(self.connection, self.now);
        sessions.set_up(self.now, self.connection, wire_id, parameters, *connections);
    }

    fn malformed_set_up(&mut self, wire_id: u64) {
        let (sessions, connections) = &mut self.service;
        sessions.reject(self.now, self.connection, wire_id, *connections);
    }

    fn ended(&mut self, wire_id: u64) {
        let (sessions, connections) = &mut self.service;
        sessions.ended_by_viewer(self.now, self.connection, wire_id, *connections);
    }

    fn tested(&mut self, wire_id: u64) {
        // The answer does not mark the connection as one that serves viewers: health checkers ignore messages
        // about sessions, so releases must not be sent to them.
        let (sessions, connections) = &mut self.service;
        if self.ready {
            sessions.record_ready(self.now);
        }
        connections.answer(self.connection, &viewers::tested(wire_id, self.ready));
    }

    fn release_acknowledged(&mut self, wire_id: u64) {
        self.service.1.viewer_pool.acknowledge_release(wire_id);
    }
}

/// Handles the lines of a streamer's connection.
pub struct StreamerHandler<'a> {
    pub service: (&'a mut SessionTable, &'a mut Connections),
    pub connection: SocketId,
    pub streamer: StreamerId,
    pub now: Duration,
    /// Set if a line was malformed; the connection must then be closed.
    pub fault: Option<Fault>,
}

impl StreamerHandler<'_> {
    /// Handles an end that is not that of an outstanding join on this connection: the release of a session, or
    /// a second copy of the end of an earlier join.
    fn session_ended(&mut self, wire_id: u64, cause: u64, load: Option<&str>) {
        if self.is_copy_of_join_end(wire_id, cause) {
            return tracing::debug!(
                target: "badgerledge_platform::hearing",
                wire_id = format!("{wire_id:016x}"),
                cause,
                line = self.connection,
                "ignoring a second end of a join"
            );
        }
        let (sessions, connections) = &mut self.service;
        sessions.ended_by_streamer(self.now, self.streamer, wire_id, cause, load, *connections);
    }

    /// Whether an end repeats that of a join which ended on this connection earlier. A streamer releases a
    /// session on the connection that it answered on, and on another one only once that is closed.
    fn is_copy_of_join_end(&self, wire_id: u64, cause: u64) -> bool {
        let (sessions, connections) = &self.service;
        let pool = &connections.streamer_pool;
        let answered_on = sessions.streamer_connection(wire_id);
        let released_elsewhere = answered_on.is_some_and(|own| own != self.connection && pool.is_open(own));
        pool.has_ended_join(self.connection, wire_id, self.now)
            && (released_elsewhere || join_refusals::contains(cause))
    }
}

impl streamers::MessageHandler for StreamerHandler<'_> {
    fn answered(&mut self, wire_id: u64, description: &str) {
        let (sessions, connections) = &mut self.service;
        match connections.streamer_pool.outstanding_join(self.connection, wire_id) {
            Some(join) => {
                connections.streamer_pool.join_answered(self.connection, wire_id);
                sessions.join_answered(self.now, join, self.connection, description, *connections);
            }
            // An answer that arrives after its join was withdrawn must not leave a session playing, so the
            // session is ended. A duplicate answer is ignored, and so is one that coincides with a further
            // join to the same streamer, or with the wait before it: ending that id would end the new join.
            // The end of the withdrawn join cuts the session anyway.
            None if sessions.is_stray_answer(self.now, self.streamer, wire_id) => {
                tracing::debug!(
                    target: "badgerledge_platform::hearing",
                    wire_id = format!("{wire_id:016x}"),
                    "ending a session answered too late"
                );
                connections.end_on(self.connection, wire_id, FAILED);
            }
            None => {}
        }
    }

    fn ended(&mut self, wire_id: u64, cause: u64, load: Option<&str>) {
        let (sessions, connections) = &mut self.service;
        let Some(join) = connections.streamer_pool.outstanding_join(self.connection, wire_id) else {
            return self.session_ended(wire_id, cause, load);
        };
        connections.streamer_pool.join_refused(self.connection, wire_id, self.now);
        let ending = match cause {
            FULL => Ending::Full,
            ERROR => Ending::Error,
            MOOT => Ending::Moot,
            _ => Ending::Reset,
        };
        sessions.join_ended(self.now, join, ending, load);
    }

    fn tested(&mut self, wire_id: u64, passed: bool, load: Option<&str>) {
        let (sessions, connections) = &mut self.service;
        let Some(sent_at) = connections.streamer_pool.take_probe(self.connection, wire_id) else { return };
        let ending = if passed { Ending::Served } else { Ending::Error };
        sessions.probe_finished(self.streamer, ending, self.now.saturating_sub(sent_at), load);
    }

    fn progress_report(&mut self, wire_id: u64, kind: &str, value: f64) {
        let (sessions, connections) = &mut self.service;
        if let Err(fault) = sessions.progress_report(self.streamer, wire_id, kind, value, *connections) {
            self.fault = Some(fault);
            return;
        }
        // It was considered lost, abandoned or never handed over, but still plays without a viewer.
        if sessions.is_orphan(self.now, self.streamer, wire_id) {
            tracing::debug!(
                target: "badgerledge_platform::hearing",
                wire_id = format!("{wire_id:016x}"),
                note = kind,
                "ending a session without a viewer that reports progress"
            );
            connections.end_on(self.connection, wire_id, FAILED);
        }
    }
}
