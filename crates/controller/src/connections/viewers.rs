//! Viewers' connections: their input, the answers to them, and when they are closed.

use std::time::Duration;

use badgerledge_reactor::{Bounds, SocketId};
use badgerledge_rtsp::{Response, State, Unit};
use metrics::counter;
use rtsp_types::StatusCode;

use super::{send, Connections};
use crate::telemetry;
use crate::viewer::Viewer;

/// Buffers of a viewer's connection. Input: the longest message or frame. Output: some seconds of media at
/// the middle rates, so that a short stall loses no packet.
const VIEWER_BUFFERS: Bounds = Bounds { input: 72 * 1024, output: 512 * 1024 };
/// Viewers accepted above the limit of connections. Their SETUP is decided like any other, so that a retry
/// finds its first attempt, and the connection ends unless it is granted; any other request is throttled.
/// Connections beyond these are closed.
pub const OVERFLOW_CONNECTIONS: usize = 256;
/// Frames on channels that were not set up, after which a viewer's connection is closed.
const MAX_STRAY_FRAMES: u32 = 64;
/// Time after which a viewer that requests nothing is closed. Players send a request at once.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a viewer with an incomplete request, or one that receives no media, is closed. Slow links
/// bring a kilobyte in far less.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

impl Connections {
    /// Buffers of a viewer's connection, for the listener.
    pub fn viewer_buffers() -> Bounds {
        VIEWER_BUFFERS
    }

    /// Accepts a viewer's connection.
    pub fn accept_viewer(&mut self, connection: SocketId) {
        let over_limit = self.viewers.len() >= self.max_viewers;
        if self.viewers.len() >= self.max_viewers + OVERFLOW_CONNECTIONS {
            return self.reactor.close(connection);
        }
        self.viewers.insert(connection, Viewer::new(self.now, over_limit));
    }

    /// Reads all complete messages and frames of a viewer's input.
    pub(super) fn read_viewer(&mut self, connection: SocketId) {
        let mut input = self.reactor.take_input(connection);
        while let Some(viewer) = self.viewers.get_mut(&connection) {
            let used = match viewer.framer.next(input.as_slice()) {
                Ok(Some((unit, used))) => {
                    (viewer.last_input_at, viewer.partial_input_since) = (self.now, None);
                    self.handle_viewer_input(connection, unit);
                    used
                }
                Ok(None) => {
                    let is_partial = !input.is_empty();
                    viewer.partial_input_since =
                        is_partial.then(|| viewer.partial_input_since.unwrap_or(self.now));
                    break;
                }
                Err(error) => {
                    tracing::info!(
                        target: "badgerledge_controller::ends::viewers",
                        line = connection,
                        status = u16::from(error.status),
                        "input of a viewer: {error}"
                    );
                    counter!(telemetry::INPUT_FAULTS).increment(1);
                    let answer = viewer.server.answer_to(None, error.status);
                    self.answer(connection, &answer);
                    self.finish_viewer(connection);
                    break;
                }
            };
            input.consume(used);
        }
        self.reactor.restore_input(connection, input);
    }

    /// Handles a complete message or frame of a viewer.
    fn handle_viewer_input(&mut self, connection: SocketId, unit: Unit<'_>) {
        match unit {
            Unit::Request(request) => self.handle_request(connection, request),
            Unit::Frame(channel, _) => self.handle_frame(connection, channel),
            // Answers to REDIRECT need no handling: the viewer tears down or leaves.
            Unit::Response(_) | Unit::Blank => {}
        }
    }

    /// Receiver reports keep a viewer alive; all other frames from a viewer are counted and dropped.
    fn handle_frame(&mut self, connection: SocketId, channel: u8) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        if viewer.server.state() != State::Init && channel == viewer.channels.1 {
            return;
        }
        viewer.stray_frames += 1;
        if viewer.stray_frames > MAX_STRAY_FRAMES {
            tracing::info!(
                target: "badgerledge_controller::ends::viewers",
                line = connection,
                channel,
                "viewer connection closed: frames on channels that it did not set up"
            );
            counter!(telemetry::INPUT_FAULTS).increment(1);
            self.reactor.close(connection);
            self.drop_viewer(connection);
        }
    }

    /// Sends an answer to a viewer; if its output is full, the connection is closed.
    pub(super) fn answer(&mut self, connection: SocketId, answer: &Response) {
        if !send(&mut self.reactor, connection, |bytes| answer.write(bytes).is_ok()) {
            tracing::info!(
                target: "badgerledge_controller::ends::viewers",
                line = connection,
                "viewer connection closed: its output is full, so an answer could not be sent"
            );
            self.reactor.close(connection);
            self.drop_viewer(connection);
        }
    }

    /// Answers all pending SETUPs of a connection, then handles the requests deferred behind them.
    pub(super) fn answer_pending_setups(
        &mut self, connection: SocketId, mut build_answer: impl FnMut(&Viewer, Option<&str>) -> Response,
    ) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        let pending_setups = std::mem::take(&mut viewer.pending_setups);
        let answers: Vec<Response> =
            pending_setups.iter().map(|cseq| build_answer(viewer, cseq.as_deref())).collect();
        answers.iter().for_each(|answer| self.answer(connection, answer));
        while let Some(viewer) =
            self.viewers.get_mut(&connection).filter(|viewer| viewer.pending_setups.is_empty())
        {
            let Some(request) = viewer.next_deferred() else { break };
            self.handle_request(connection, request);
        }
    }

    /// Closes viewers' connections whose time-out has passed; called periodically.
    pub fn close_expired_viewers(&mut self) {
        let (now, session_timeout) = (self.now, Duration::from_secs(self.deployment.place.session_timeout_s));
        let mut expired = Vec::new();
        for (connection, viewer) in &self.viewers {
            let has_passed =
                |at: Option<Duration>, timeout: Duration| at.is_some_and(|at| at + timeout <= now);
            let is_quiet = viewer.last_input_at + session_timeout <= now;
            let reason = match viewer.server.state() {
                _ if has_passed(viewer.partial_input_since, STALL_TIMEOUT) => {
                    "its request was not complete in time"
                }
                _ if has_passed(viewer.must_leave_by, Duration::ZERO) => {
                    "it did not leave in time after REDIRECT"
                }
                State::Init
                    if viewer.pending_setups.is_empty() && viewer.last_input_at + IDLE_TIMEOUT <= now =>
                {
                    "it requested nothing in time"
                }
                State::Ready if is_quiet => "its session timed out",
                State::Playing if is_quiet && has_passed(viewer.output_full_since, STALL_TIMEOUT) => {
                    "it receives no media"
                }
                _ => continue,
            };
            expired.push((*connection, reason));
        }
        for (connection, reason) in expired {
            tracing::info!(
                target: "badgerledge_controller::ends::viewers",
                line = connection,
                "viewer connection closed: {reason}"
            );
            if let Some(viewer) =
                self.viewers.get(&connection).filter(|viewer| viewer.partial_input_since.is_some())
            {
                let answer = viewer.server.answer_to(None, StatusCode::RequestTimeout);
                self.answer(connection, &answer);
            }
            self.finish_viewer(connection);
        }
    }

    /// Closes a viewer's connection once its output is written.
    pub(super) fn finish_viewer(&mut self, connection: SocketId) {
        self.reactor.close_after_flush(connection);
        self.drop_viewer(connection);
    }

    /// Forgets a viewer's connection at once, and reports its end to the next round.
    pub(super) fn drop_viewer(&mut self, connection: SocketId) {
        self.viewers.remove(&connection);
        self.queue_for_round(move |floor| floor.viewer_left(connection, false));
    }
}
