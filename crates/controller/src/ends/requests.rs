//! What viewers ask: the methods of RTSP, as far as their session permits them.

use std::time::Duration;

use badgerledge_reactor::Line;
use badgerledge_rtsp::words;
use badgerledge_rtsp::{describe, interleaved, Request, State};
use metrics::counter;
use rand_pcg::rand_core::Rng;
use rtsp_types::headers;
use rtsp_types::{Method, StatusCode};

use super::answers::retry_after;
use super::Ends;
use crate::join::JoinLine;
use crate::viewer;
use crate::watch;

impl Ends {
    /// Takes a request, or puts it off behind a SETUP that waits for its answer.
    pub(super) fn request(&mut self, line: Line, request: Request) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        if viewer.crowd && *request.method() != Method::Setup {
            let answer = viewer.server.answer(&request, StatusCode::ServiceUnavailable);
            // At the bound of connections there is no place in a queue to name: one to three seconds.
            let wait = Duration::from_millis(1000 + u64::from(self.chance.next_u32() % 2000));
            self.answer(line, &retry_after(answer, wait));
            return self.finish_viewer(line);
        }
        let again = *request.method() == Method::Setup && viewer.waiting.len() < viewer::LATER;
        if !viewer.waiting.is_empty() && !again {
            let too_many = *request.method() == Method::Setup || !viewer.put_off(request);
            if too_many {
                tracing::info!(line, "a viewer sends too many requests behind a SETUP: closed");
                counter!(watch::FAULTS).increment(1);
                self.reactor.close(line);
                self.drop_viewer(line);
            }
            return;
        }
        match viewer.server.permits(&request) {
            Ok(()) => self.permitted(line, &request),
            Err(answer) => self.answer(line, &answer),
        }
    }

    /// Handles a request that the state of its session permits.
    fn permitted(&mut self, line: Line, request: &Request) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        match request.method() {
            Method::Options => {
                let answer = viewer.server.options(request);
                self.answer(line, &answer);
            }
            Method::Describe => self.describe(line, request),
            Method::Setup => self.set_up_asked(line, request),
            Method::Play => self.play_asked(line, request),
            Method::Pause => {
                let paused = viewer.server.state() == State::Playing;
                viewer.server.pause();
                let (answer, job) = (viewer.server.answer(request, StatusCode::Ok), viewer.job);
                self.answer(line, &answer);
                self.tell_streamer(job.filter(|_| paused), Method::Pause);
            }
            Method::Teardown => {
                let answer = viewer.server.answer(request, StatusCode::Ok);
                viewer.server.tear_down();
                (viewer.job, viewer.leaves_by) = (None, None);
                self.answer(line, &answer);
                self.arrives(move |floor| floor.viewer_left(line, true));
            }
            // Keep-alives have no body; there are no parameters to get or set.
            _ => {
                let empty = request.body().is_empty();
                let status = if empty { StatusCode::Ok } else { StatusCode::ParameterNotUnderstood };
                let answer = viewer.server.answer(request, status);
                self.answer(line, &answer);
            }
        }
    }

    /// Answers DESCRIBE with the description of a title.
    fn describe(&mut self, line: Line, request: &Request) {
        let Some(viewer) = self.viewers.get(&line) else { return };
        let title = request.request_uri().and_then(words::title);
        let Some(title) = title.filter(|title| self.catalogue.title(*title).is_some()) else {
            let answer = viewer.server.answer(request, StatusCode::NotFound);
            return self.answer(line, &answer);
        };
        let text = describe::describe(title, self.listen.ip());
        let mut answer = viewer.server.answer(request, StatusCode::Ok);
        answer.insert_header(headers::CONTENT_BASE, format!("rtsp://{}/{title:016x}/", self.listen));
        answer.insert_header(headers::CONTENT_TYPE, "application/sdp");
        answer.insert_header(headers::CONTENT_LENGTH, text.len().to_string());
        let answer = answer.replace_body(text);
        self.answer(line, &answer);
    }

    /// Handles SETUP: a subscription is asked for, and answered in a later round.
    fn set_up_asked(&mut self, line: Line, request: &Request) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let title = request.request_uri().and_then(words::title);
        if viewer.server.state() == State::Ready {
            // The same stream set up again changes nothing; another one needs a connection of its own.
            let same = title == Some(viewer.title);
            let answer = match same {
                true => viewer.server.setup_answer(viewer::cseq(request).as_deref()),
                false => viewer.server.answer(request, StatusCode::AggregateOperationNotAllowed),
            };
            return self.answer(line, &answer);
        }
        let known = title.and_then(|title| self.catalogue.title(title));
        let Some(known) = known else {
            let answer = viewer.server.answer(request, StatusCode::NotFound);
            return self.answer(line, &answer);
        };
        let held = (known.first_cell, known.copies, known.room_type.as_str());
        let asked = match viewer::asked(request, line, held, &self.deployment.shared) {
            Ok(asked) => asked,
            Err(why) => {
                tracing::info!(line, "a viewer's SETUP: {why}");
                counter!(watch::FAULTS).increment(1);
                let answer = viewer.server.answer(request, StatusCode::BadRequest);
                return self.answer(line, &answer);
            }
        };
        if !viewer.waiting.is_empty() && viewer.title != asked.title {
            let answer = viewer.server.answer(request, StatusCode::AggregateOperationNotAllowed);
            return self.answer(line, &answer);
        }
        (viewer.title, viewer.leaves_by, viewer.asked_at) = (asked.title, None, self.now);
        viewer.channels = interleaved(request).unwrap_or((0, 1));
        viewer.waiting.push(viewer::cseq(request));
        counter!(watch::ASKED).increment(1);
        let since = self.now;
        self.arrives(move |floor| floor.viewer_asks(line, asked, since));
    }

    /// Handles PLAY: what was held until then goes first.
    fn play_asked(&mut self, line: Line, request: &Request) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let paused = viewer.server.state() == State::Ready;
        let first = viewer.server.session().is_some() && paused;
        viewer.server.play();
        let (answer, job) = (viewer.server.answer(request, StatusCode::Ok), viewer.job);
        self.answer(line, &answer);
        if first {
            let held = job.and_then(|job| self.join_of(job)).map(JoinLine::release);
            let held = held.unwrap_or_default();
            if held.is_empty() {
                self.tell_streamer(job, Method::Play);
            }
            held.iter().for_each(|(control, packet)| self.give_packet(line, *control, packet));
        }
    }
}
