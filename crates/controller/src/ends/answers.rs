//! What viewers are told of their subscriptions: granted, throttled, terminated, sent elsewhere.

use std::time::Duration;

use badgerledge_core::interface::JobId;
use badgerledge_reactor::Line;
use badgerledge_rtsp::notes;
use badgerledge_rtsp::words;
use badgerledge_rtsp::{frame_header, Response, State};
use metrics::{counter, histogram};
use rand_pcg::rand_core::Rng;
use rtsp_types::{headers, Method, StatusCode, Url};

use super::{send, Ends};
use crate::watch;

/// A viewer that was sent elsewhere is to have left by then.
const LEAVE: Duration = Duration::from_secs(5);

impl Ends {
    /// Answers a viewer whose subscription plays.
    pub(super) fn answer_granted(&mut self, viewer: Line, job: JobId) {
        let session = format!("{:016x}", self.chance.next_u64());
        let timeout = self.deployment.place.session_timeout_s;
        if let Some(join) = self.join_of(job) {
            join.viewer = Some(viewer);
        }
        if let Some(seen) = self.viewers.get_mut(&viewer) {
            histogram!(watch::ANSWER_TIME).record((self.now - seen.asked_at).as_secs_f64());
            (seen.job, seen.crowd) = (Some(job), false);
            seen.server.set_up(session, timeout, seen.channels);
            // The time-out runs from the answer on.
            seen.heard = self.now;
        }
        counter!(watch::ANSWERS, "kind" => "plays").increment(1);
        self.answer_waiting(viewer, |viewer, cseq| viewer.server.setup_answer(cseq));
    }

    /// Answers a viewer that is to come back later.
    pub(super) fn answer_throttled(&mut self, viewer: Line, cool_down: Duration) {
        counter!(watch::ANSWERS, "kind" => "throttled").increment(1);
        self.answer_waiting(viewer, |viewer, cseq| {
            retry_after(viewer.server.answer_to(cseq, StatusCode::ServiceUnavailable), cool_down)
        });
        if self.viewers.get(&viewer).is_some_and(|viewer| viewer.crowd) {
            self.finish_viewer(viewer);
        }
    }

    /// Answers a viewer whose subscription is not to be, in time or after it.
    pub(super) fn answer_terminated(&mut self, viewer: Line, late: bool) {
        counter!(watch::ANSWERS, "kind" => "terminated").increment(1);
        let status = if late { StatusCode::GatewayTimeout } else { StatusCode::InternalServerError };
        self.answer_waiting(viewer, |viewer, cseq| viewer.server.answer_to(cseq, status));
    }

    /// Sends a viewer elsewhere, to leave by [`LEAVE`].
    pub(super) fn send_redirect(&mut self, viewer: Line) {
        counter!(watch::MOVES).increment(1);
        let Some(seen) = self.viewers.get_mut(&viewer) else { return };
        seen.own_cseq += 1;
        seen.leaves_by = Some(self.now + LEAVE);
        seen.job = None;
        let at = words::uri(self.listen, seen.title);
        let request = seen.server.request(Method::Redirect, at.clone(), seen.own_cseq);
        let request = with_location(request, &at);
        if !send(&mut self.reactor, viewer, |bytes| request.write(bytes).is_ok()) {
            self.reactor.close(viewer);
            self.drop_viewer(viewer);
        }
    }

    /// Tells a viewer that its stream is over, and ends its connection.
    pub(super) fn send_farewell(&mut self, viewer: Line) {
        let Some(seen) = self.viewers.get(&viewer) else { return };
        let bye = notes::bye(0);
        let channel = seen.channels.1;
        if seen.server.state() == State::Playing {
            self.reactor.send(viewer, &[&frame_header(channel, bye.len() as u16), &bye]);
        }
        self.reactor.finish(viewer);
        self.viewers.remove(&viewer);
    }
}

/// When to come back, in the standard's whole seconds (RFC 2326 section 12.31) and exactly.
pub(super) fn retry_after(mut answer: Response, wait: Duration) -> Response {
    if !wait.is_zero() {
        let seconds = wait.as_millis().div_ceil(1000);
        answer.insert_header(headers::RETRY_AFTER, seconds.to_string());
        answer.insert_header(words::name(words::COME_BACK_MS), wait.as_millis().to_string());
    }
    answer
}

/// Adds where a viewer is to go.
fn with_location<B>(mut request: rtsp_types::Request<B>, at: &Url) -> rtsp_types::Request<B> {
    request.insert_header(headers::LOCATION, at.as_str());
    request
}
