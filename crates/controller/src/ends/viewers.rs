//! Viewers' connections: what they send, what they are sent, and when they are closed.

use std::time::Duration;

use badgerledge_reactor::{Bounds, Line};
use badgerledge_rtsp::{Response, State, Unit};
use metrics::counter;
use rtsp_types::StatusCode;

use super::{send, Ends};
use crate::viewer::Viewer;
use crate::watch;

/// What a viewer's connection holds at most. Input: the longest message or frame. Output: some seconds of media
/// at the middle rates, so that a short stall costs no packet.
const VIEWER: Bounds = Bounds { input: 72 * 1024, output: 512 * 1024 };
/// Viewers taken in over the bound of connections: a SETUP is judged as any other, so that a retry finds its first
/// try, and the connection ends unless it is granted; any other request is throttled. More viewers are closed.
pub const CROWD: usize = 256;
/// Frames on channels that nobody set up, before a viewer's connection ends.
const STRAY_FRAMES: u32 = 64;
/// A viewer that has asked for nothing goes after this; one whose request is not whole, or that takes no media,
/// after that. Players ask at once, and slow lines bring a kilobyte in far less.
const IDLE: Duration = Duration::from_secs(15);
const PART: Duration = Duration::from_secs(10);

impl Ends {
    pub fn viewer_bounds() -> Bounds {
        VIEWER
    }

    /// A viewer's connection came in.
    pub fn accepted(&mut self, line: Line) {
        let crowd = self.viewers.len() >= self.most_viewers;
        if self.viewers.len() >= self.most_viewers + CROWD {
            return self.reactor.close(line);
        }
        self.viewers.insert(line, Viewer::new(self.now, crowd));
    }

    /// Reads all whole units of a viewer's input.
    pub(super) fn read_viewer(&mut self, line: Line) {
        let mut input = self.reactor.lift(line);
        while let Some(viewer) = self.viewers.get_mut(&line) {
            let used = match viewer.framer.next(input.as_slice()) {
                Ok(Some((unit, used))) => {
                    (viewer.heard, viewer.part_since) = (self.now, None);
                    self.take_from_viewer(line, unit);
                    used
                }
                Ok(None) => {
                    let part = !input.is_empty();
                    viewer.part_since = part.then(|| viewer.part_since.unwrap_or(self.now));
                    break;
                }
                Err(fault) => {
                    tracing::info!(line, status = u16::from(fault.status), "input of a viewer: {fault}");
                    counter!(watch::FAULTS).increment(1);
                    let answer = viewer.server.answer_to(None, fault.status);
                    self.answer(line, &answer);
                    self.finish_viewer(line);
                    break;
                }
            };
            input.consume(used);
        }
        self.reactor.lay_back(line, input);
    }

    fn take_from_viewer(&mut self, line: Line, unit: Unit<'_>) {
        match unit {
            Unit::Request(request) => self.request(line, request),
            Unit::Frame(channel, _) => self.stray_frame(line, channel),
            // Answers to REDIRECT say nothing new: the viewer tears down or leaves.
            Unit::Response(_) | Unit::Blank => {}
        }
    }

    /// Receiver reports keep a viewer alive; anything else that it sends in frames is for nobody.
    fn stray_frame(&mut self, line: Line, channel: u8) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        if viewer.server.state() != State::Init && channel == viewer.channels.1 {
            return;
        }
        viewer.stray_frames += 1;
        if viewer.stray_frames > STRAY_FRAMES {
            tracing::info!(line, channel, "a viewer sends frames on channels that it did not set up: closed");
            counter!(watch::FAULTS).increment(1);
            self.reactor.close(line);
            self.drop_viewer(line);
        }
    }

    /// Gives an answer to a viewer; one that takes none is closed.
    pub(super) fn answer(&mut self, line: Line, answer: &Response) {
        if !send(&mut self.reactor, line, |bytes| answer.write(bytes).is_ok()) {
            tracing::info!(line, "a viewer takes no answers: closed");
            self.reactor.close(line);
            self.drop_viewer(line);
        }
    }

    /// Answers all SETUPs that wait on a line, and then what was put off behind them.
    pub(super) fn answer_waiting(
        &mut self, line: Line, mut make: impl FnMut(&Viewer, Option<&str>) -> Response,
    ) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let waiting = std::mem::take(&mut viewer.waiting);
        let answers: Vec<Response> = waiting.iter().map(|cseq| make(viewer, cseq.as_deref())).collect();
        answers.iter().for_each(|answer| self.answer(line, answer));
        while let Some(viewer) = self.viewers.get_mut(&line).filter(|viewer| viewer.waiting.is_empty()) {
            let Some(request) = viewer.next_put_off() else { break };
            self.request(line, request);
        }
    }

    /// The one periodic look at all viewers' connections.
    pub fn sweep(&mut self) {
        let (now, timeout) = (self.now, Duration::from_secs(self.deployment.place.session_timeout_s));
        let mut gone = Vec::new();
        for (line, viewer) in &self.viewers {
            let since = |at: Option<Duration>, span: Duration| at.is_some_and(|at| at + span <= now);
            let quiet = viewer.heard + timeout <= now;
            let why = match viewer.server.state() {
                _ if since(viewer.part_since, PART) => "its request did not come whole in time",
                _ if since(viewer.leaves_by, Duration::ZERO) => "it was sent elsewhere",
                State::Init if viewer.waiting.is_empty() && viewer.heard + IDLE <= now => {
                    "it asks for nothing"
                }
                State::Ready if quiet => "its session timed out",
                State::Playing if quiet && since(viewer.stuck_since, PART) => "it takes no media",
                _ => continue,
            };
            gone.push((*line, why));
        }
        for (line, why) in gone {
            tracing::info!(line, "a viewer's connection is closed: {why}");
            if let Some(viewer) = self.viewers.get(&line).filter(|viewer| viewer.part_since.is_some()) {
                let answer = viewer.server.answer_to(None, StatusCode::RequestTimeout);
                self.answer(line, &answer);
            }
            self.finish_viewer(line);
        }
    }

    /// Ends a viewer's connection once what it is to be sent is written.
    pub(super) fn finish_viewer(&mut self, line: Line) {
        self.reactor.finish(line);
        self.drop_viewer(line);
    }

    /// A viewer's connection is over: it is forgotten here at once, and the round is told.
    pub(super) fn drop_viewer(&mut self, line: Line) {
        self.viewers.remove(&line);
        self.arrives(move |floor| floor.viewer_left(line, false));
    }
}
