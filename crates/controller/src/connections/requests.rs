//! Requests of viewers: the RTSP methods, as far as the state of the session permits them.

use std::time::Duration;

use badgerledge_reactor::SocketId;
use badgerledge_rtsp::words;
use badgerledge_rtsp::{describe, interleaved, Request, State};
use metrics::counter;
use rand_pcg::rand_core::Rng;
use rtsp_types::headers;
use rtsp_types::{Method, StatusCode};

use super::answers::retry_after;
use super::Connections;
use crate::join_connection::JoinConnection;
use crate::telemetry;
use crate::viewer;

impl Connections {
    /// Handles a request, or defers it behind a SETUP that waits for its answer.
    pub(super) fn handle_request(&mut self, connection: SocketId, request: Request) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        if viewer.over_limit && *request.method() != Method::Setup {
            let answer = viewer.server.answer(&request, StatusCode::ServiceUnavailable);
            // Over the limit of connections there is no queue position to derive a delay from: one to three
            // seconds.
            let delay = Duration::from_millis(1000 + u64::from(self.rng.next_u32() % 2000));
            self.answer(connection, &retry_after(answer, delay));
            return self.finish_viewer(connection);
        }
        let is_further_setup =
            *request.method() == Method::Setup && viewer.pending_setups.len() < viewer::MAX_DEFERRED_REQUESTS;
        if !viewer.pending_setups.is_empty() && !is_further_setup {
            let is_excess = *request.method() == Method::Setup || !viewer.defer(request);
            if is_excess {
                tracing::info!(
                    target: "badgerledge_controller::ends::requests",
                    line = connection,
                    "viewer connection closed: too many requests behind a pending SETUP"
                );
                counter!(telemetry::INPUT_FAULTS).increment(1);
                self.reactor.close(connection);
                self.drop_viewer(connection);
            }
            return;
        }
        match viewer.server.permits(&request) {
            Ok(()) => self.handle_permitted(connection, &request),
            Err(answer) => self.answer(connection, &answer),
        }
    }

    /// Handles a request that the session's state permits.
    fn handle_permitted(&mut self, connection: SocketId, request: &Request) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        match request.method() {
            Method::Options => {
                let answer = viewer.server.options(request);
                self.answer(connection, &answer);
            }
            Method::Describe => self.describe(connection, request),
            Method::Setup => self.handle_setup(connection, request),
            Method::Play => self.handle_play(connection, request),
            Method::Pause => {
                let was_playing = viewer.server.state() == State::Playing;
                viewer.server.pause();
                let (answer, job) = (viewer.server.answer(request, StatusCode::Ok), viewer.job);
                self.answer(connection, &answer);
                self.forward_to_streamer(job.filter(|_| was_playing), Method::Pause);
            }
            Method::Teardown => {
                let answer = viewer.server.answer(request, StatusCode::Ok);
                viewer.server.tear_down();
                (viewer.job, viewer.must_leave_by) = (None, None);
                self.answer(connection, &answer);
                self.queue_for_round(move |floor| floor.viewer_left(connection, true));
            }
            // Keep-alives have no body; there are no parameters to get or set.
            _ => {
                let is_empty = request.body().is_empty();
                let status = if is_empty { StatusCode::Ok } else { StatusCode::ParameterNotUnderstood };
                let answer = viewer.server.answer(request, status);
                self.answer(connection, &answer);
            }
        }
    }

    /// Answers DESCRIBE with the description of a title.
    fn describe(&mut self, connection: SocketId, request: &Request) {
        let Some(viewer) = self.viewers.get(&connection) else { return };
        let title = request.request_uri().and_then(words::title);
        let Some(title) = title.filter(|title| self.catalogue.title(*title).is_some()) else {
            let answer = viewer.server.answer(request, StatusCode::NotFound);
            return self.answer(connection, &answer);
        };
        let description = describe::describe(title, self.listen_address.ip());
        let mut answer = viewer.server.answer(request, StatusCode::Ok);
        answer.insert_header(headers::CONTENT_BASE, format!("rtsp://{}/{title:016x}/", self.listen_address));
        answer.insert_header(headers::CONTENT_TYPE, "application/sdp");
        answer.insert_header(headers::CONTENT_LENGTH, description.len().to_string());
        let answer = answer.replace_body(description);
        self.answer(connection, &answer);
    }

    /// Handles SETUP: requests a subscription, which a later round answers.
    fn handle_setup(&mut self, connection: SocketId, request: &Request) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        let title = request.request_uri().and_then(words::title);
        if viewer.server.state() == State::Ready {
            // Setting the same stream up again changes nothing; another one needs a connection of its own.
            let is_same = title == Some(viewer.title);
            let answer = match is_same {
                true => viewer.server.setup_answer(viewer::cseq(request).as_deref()),
                false => viewer.server.answer(request, StatusCode::AggregateOperationNotAllowed),
            };
            return self.answer(connection, &answer);
        }
        let entry = title.and_then(|title| self.catalogue.title(title));
        let Some(entry) = entry else {
            let answer = viewer.server.answer(request, StatusCode::NotFound);
            return self.answer(connection, &answer);
        };
        let defaults = (entry.first_cell, entry.copies, entry.room_type.as_str());
        let subscription =
            match viewer::subscription_request(request, connection, defaults, &self.deployment.shared) {
                Ok(subscription) => subscription,
                Err(reason) => {
                    tracing::info!(
                        target: "badgerledge_controller::ends::requests",
                        line = connection,
                        "invalid SETUP of a viewer: {reason}"
                    );
                    counter!(telemetry::INPUT_FAULTS).increment(1);
                    let answer = viewer.server.answer(request, StatusCode::BadRequest);
                    return self.answer(connection, &answer);
                }
            };
        if !viewer.pending_setups.is_empty() && viewer.title != subscription.title {
            let answer = viewer.server.answer(request, StatusCode::AggregateOperationNotAllowed);
            return self.answer(connection, &answer);
        }
        (viewer.title, viewer.must_leave_by, viewer.requested_at) = (subscription.title, None, self.now);
        viewer.channels = interleaved(request).unwrap_or((0, 1));
        viewer.pending_setups.push(viewer::cseq(request));
        counter!(telemetry::SUBSCRIPTIONS_REQUESTED).increment(1);
        let requested_at = self.now;
        self.queue_for_round(move |floor| floor.viewer_requested(connection, subscription, requested_at));
    }

    /// Handles PLAY: packets that were buffered until then go first.
    fn handle_play(&mut self, connection: SocketId, request: &Request) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        let was_ready = viewer.server.state() == State::Ready;
        let is_first_play = viewer.server.session().is_some() && was_ready;
        viewer.server.play();
        let (answer, job) = (viewer.server.answer(request, StatusCode::Ok), viewer.job);
        self.answer(connection, &answer);
        if is_first_play {
            let buffered = job.and_then(|job| self.join_of(job)).map(JoinConnection::take_buffered);
            let buffered = buffered.unwrap_or_default();
            if buffered.is_empty() {
                self.forward_to_streamer(job, Method::Play);
            }
            buffered.iter().for_each(|(is_rtcp, packet)| self.send_packet(connection, *is_rtcp, packet));
        }
    }
}
