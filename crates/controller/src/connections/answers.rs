//! Answers to viewers about their subscriptions: granted, throttled, terminated, redirected.

use std::time::Duration;

use badgerledge_core::interface::JobId;
use badgerledge_reactor::SocketId;
use badgerledge_rtsp::notes;
use badgerledge_rtsp::words;
use badgerledge_rtsp::{frame_header, Response, State};
use metrics::{counter, histogram};
use rand_pcg::rand_core::Rng;
use rtsp_types::{headers, Method, StatusCode, Url};

use super::{send, Connections};
use crate::telemetry;

/// Time a redirected viewer has to leave before its connection is closed.
const REDIRECT_GRACE: Duration = Duration::from_secs(5);

impl Connections {
    /// Grants a SETUP: the viewer's subscription plays.
    pub(super) fn answer_granted(&mut self, viewer: SocketId, job: JobId) {
        let session = format!("{:016x}", self.rng.next_u64());
        let timeout = self.deployment.place.session_timeout_s;
        if let Some(join) = self.join_of(job) {
            join.viewer = Some(viewer);
        }
        if let Some(client) = self.viewers.get_mut(&viewer) {
            histogram!(telemetry::ANSWER_TIME).record((self.now - client.requested_at).as_secs_f64());
            (client.job, client.over_limit) = (Some(job), false);
            client.server.set_up(session, timeout, client.channels);
            // The session time-out starts with the answer.
            client.last_input_at = self.now;
        }
        counter!(telemetry::ANSWERS, "kind" => "plays").increment(1);
        self.answer_pending_setups(viewer, |viewer, cseq| viewer.server.setup_answer(cseq));
    }

    /// Refuses a SETUP for now and names when to retry.
    pub(super) fn answer_throttled(&mut self, viewer: SocketId, retry_delay: Duration) {
        counter!(telemetry::ANSWERS, "kind" => "throttled").increment(1);
        self.answer_pending_setups(viewer, |viewer, cseq| {
            retry_after(viewer.server.answer_to(cseq, StatusCode::ServiceUnavailable), retry_delay)
        });
        if self.viewers.get(&viewer).is_some_and(|viewer| viewer.over_limit) {
            self.finish_viewer(viewer);
        }
    }

    /// Refuses a SETUP for good: 504 if the answer comes after the viewer's time-out, else 500.
    pub(super) fn answer_terminated(&mut self, viewer: SocketId, after_timeout: bool) {
        counter!(telemetry::ANSWERS, "kind" => "terminated").increment(1);
        let status = if after_timeout { StatusCode::GatewayTimeout } else { StatusCode::InternalServerError };
        self.answer_pending_setups(viewer, |viewer, cseq| viewer.server.answer_to(cseq, status));
    }

    /// Sends REDIRECT; the viewer must leave within [`REDIRECT_GRACE`].
    pub(super) fn send_redirect(&mut self, viewer: SocketId) {
        counter!(telemetry::MOVES).increment(1);
        let Some(client) = self.viewers.get_mut(&viewer) else { return };
        client.own_cseq += 1;
        client.must_leave_by = Some(self.now + REDIRECT_GRACE);
        client.job = None;
        let uri = words::uri(self.listen_address, client.title);
        let request = client.server.request(Method::Redirect, uri.clone(), client.own_cseq);
        let request = with_location(request, &uri);
        if !send(&mut self.reactor, viewer, |bytes| request.write(bytes).is_ok()) {
            self.reactor.close(viewer);
            self.drop_viewer(viewer);
        }
    }

    /// Sends an RTCP BYE to a viewer that plays, and closes its connection.
    pub(super) fn send_goodbye(&mut self, viewer: SocketId) {
        let Some(client) = self.viewers.get(&viewer) else { return };
        let goodbye = notes::bye(0);
        let channel = client.channels.1;
        if client.server.state() == State::Playing {
            self.reactor.send(viewer, &[&frame_header(channel, goodbye.len() as u16), &goodbye]);
        }
        self.reactor.close_after_flush(viewer);
        self.viewers.remove(&viewer);
    }
}

/// Adds when to retry, in the standard's whole seconds (RFC 2326 section 12.31) and in milliseconds.
pub(super) fn retry_after(mut answer: Response, delay: Duration) -> Response {
    if !delay.is_zero() {
        let seconds = delay.as_millis().div_ceil(1000);
        answer.insert_header(headers::RETRY_AFTER, seconds.to_string());
        answer.insert_header(words::name(words::COME_BACK_MS), delay.as_millis().to_string());
    }
    answer
}

/// Adds the address that a viewer is redirected to.
fn with_location<B>(mut request: rtsp_types::Request<B>, uri: &Url) -> rtsp_types::Request<B> {
    request.insert_header(headers::LOCATION, uri.as_str());
    request
}
