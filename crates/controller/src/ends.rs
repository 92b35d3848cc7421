//! Both ends of every subscription on the sockets: viewers' connections, joins to streamers, and what passes
//! between them. Decides nothing of where or whether; carries out what the exchange has it do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_accounts::{Amount, Key};
use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{Asked, Ending, JobId, StreamerId};
use badgerledge_deployment::Deployment;
use badgerledge_exchange::{Carrier, Floor, Steps};
use badgerledge_reactor::{Bounds, Closing, Line, Reactor};
use badgerledge_rtsp::notes::{self, Note};
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::{describe, frame_header, interleaved, Request, Response, State, Unit};
use metrics::{counter, histogram};
use rand_pcg::rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, StatusCode, Url};

use crate::accounting::Accounting;
use crate::gossiping::Gossiping;
use crate::join::JoinLine;
use crate::probes::Probes;
use crate::viewer::{self, Viewer};
use crate::watch;

/// One thing that came in, on its way into the next round.
pub type Arrival = Box<dyn FnOnce(&mut Floor<'_, '_, Ends>)>;

/// One thing that came in on a join, which needs no round.
pub type Step = Box<dyn FnOnce(&mut Steps<'_, '_, Ends>)>;

/// What a viewer's connection holds at most. Input: the longest message or frame. Output: some seconds of media
/// at the middle rates, so that a short stall costs no packet.
const VIEWER: Bounds = Bounds { input: 72 * 1024, output: 512 * 1024 };
/// Of the output, what media leaves to answers: several of them fit.
const FOR_CONTROL: usize = 16 * 1024;
/// What a join's connection holds at most: the relay empties its input on every wake.
const JOIN: Bounds = Bounds { input: 128 * 1024, output: 16 * 1024 };
const PROBE: Bounds = Bounds { input: 72 * 1024, output: 1024 };
/// Viewers taken in over the bound of connections: a SETUP is judged as any other, so that a retry finds its first
/// try, and the connection ends unless it is granted; any other request is throttled. More viewers are closed.
pub const CROWD: usize = 256;
/// Frames on channels that nobody set up, before a viewer's connection ends.
const STRAY_FRAMES: u32 = 64;
/// A viewer that has asked for nothing goes after this; one whose request is not whole, or that takes no media,
/// after that. Players ask at once, and slow lines bring a kilobyte in far less.
const IDLE: Duration = Duration::from_secs(15);
const PART: Duration = Duration::from_secs(10);
/// A viewer that was sent elsewhere is to have left by then.
const LEAVE: Duration = Duration::from_secs(5);

pub struct Ends {
    pub reactor: Reactor,
    pub deployment: Deployment,
    pub catalogue: Catalogue,
    pub listen: SocketAddr,
    pub now: Duration,
    chance: Pcg64Mcg,
    /// Viewers' connections at most; CROWD more are throttled.
    pub most_viewers: usize,
    pub viewers: BTreeMap<Line, Viewer>,
    joins: BTreeMap<(JobId, u16), JoinLine>,
    join_lines: BTreeMap<Line, (JobId, u16)>,
    pub probes: Probes,
    /// What the module asked of the list since the last round: to be told of changes or not, and the whole list.
    pub list_wants: (Option<bool>, bool),
    pub datagrams: Option<Line>,
    pub gossiping: Option<Gossiping>,
    /// What came in since the last round, in order.
    pub arrivals: Vec<Arrival>,
    pub steps: Vec<Step>,
    /// Reminders that the module set: told to the loop.
    pub reminders: Vec<(Duration, u64)>,
    pub media: Relayed,
    pub accounting: Accounting,
    /// Bytes that crossed since the budget's last plans, by the building they came from.
    pub crossed_bytes: BTreeMap<u16, u64>,
    /// The building of each streamer of the list, and its cell.
    pub zones: BTreeMap<StreamerId, u16>,
    pub cells: BTreeMap<StreamerId, u32>,
}

/// Media that went through since it was last counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relayed {
    pub packets: u64,
    pub bytes: u64,
    pub lost: u64,
}

impl Ends {
    pub fn new(reactor: Reactor, deployment: Deployment, catalogue: Catalogue, seed: u64) -> Self {
        let listen = deployment.place.listen;
        let now = reactor.now();
        let place = &deployment.place;
        let accounting = Accounting::new(place.number, place.state.as_deref(), seed.rotate_left(16));
        Self {
            reactor,
            deployment,
            catalogue,
            listen,
            now,
            chance: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            most_viewers: 0,
            viewers: BTreeMap::new(),
            joins: BTreeMap::new(),
            join_lines: BTreeMap::new(),
            probes: Probes::default(),
            list_wants: (None, false),
            datagrams: None,
            gossiping: None,
            arrivals: Vec::new(),
            steps: Vec::new(),
            reminders: Vec::new(),
            media: Relayed::default(),
            accounting,
            crossed_bytes: BTreeMap::new(),
            zones: BTreeMap::new(),
            cells: BTreeMap::new(),
        }
    }

    pub fn viewer_bounds() -> Bounds {
        VIEWER
    }

    fn arrives(&mut self, arrival: impl FnOnce(&mut Floor<'_, '_, Ends>) + 'static) {
        self.arrivals.push(Box::new(arrival));
    }

    fn steps_on(&mut self, step: impl FnOnce(&mut Steps<'_, '_, Ends>) + 'static) {
        self.steps.push(Box::new(step));
    }

    /// A viewer's connection came in.
    pub fn accepted(&mut self, line: Line) {
        let crowd = self.viewers.len() >= self.most_viewers;
        if self.viewers.len() >= self.most_viewers + CROWD {
            return self.reactor.close(line);
        }
        self.viewers.insert(line, Viewer::new(self.now, crowd));
    }

    /// New bytes on a line.
    pub fn readable(&mut self, line: Line) {
        if self.viewers.contains_key(&line) {
            self.read_viewer(line);
        } else if self.join_lines.contains_key(&line) {
            self.read_join(line);
        } else if self.probes.get(line).is_some() {
            self.read_probe(line);
        }
    }

    /// A connection that was asked for is made.
    pub fn opened(&mut self, line: Line) {
        if let Some((job, number)) = self.join_lines.get(&line).copied() {
            self.steps_on(move |steps| steps.join_opened(job, number));
        } else if let Some(probe) = self.probes.get(line) {
            let options = rtsp_types::Request::builder(Method::Options, rtsp_types::Version::V1_0)
                .request_uri(words::uri(probe.streamer, 0))
                .header(headers::CSEQ, "1")
                .empty();
            send(&mut self.reactor, line, |bytes| options.write(bytes).is_ok());
        }
    }

    /// A line has ended.
    pub fn closed(&mut self, line: Line, why: Closing) {
        let ending = if why == Closing::NotMade { Ending::ConnectFailed } else { Ending::Reset };
        if self.viewers.contains_key(&line) {
            self.drop_viewer(line);
        } else if let Some((job, number)) = self.join_lines.get(&line).copied() {
            self.steps_on(move |steps| steps.join_ends(job, number, ending, &[]));
        } else {
            self.probe_ends(line, ending, &[]);
        }
    }

    /// A viewer's connection is over: it is forgotten here at once, and the round is told.
    fn drop_viewer(&mut self, line: Line) {
        self.viewers.remove(&line);
        self.arrives(move |floor| floor.viewer_left(line, false));
    }

    /// Ends a viewer's connection once what it is to be sent is written.
    fn finish_viewer(&mut self, line: Line) {
        self.reactor.finish(line);
        self.drop_viewer(line);
    }

    // Viewers.

    fn read_viewer(&mut self, line: Line) {
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

    fn request(&mut self, line: Line, request: Request) {
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

    fn join_of(&mut self, job: JobId) -> Option<&mut JoinLine> {
        self.joins.range_mut((job, 0)..=(job, u16::MAX)).next().map(|(_, join)| join)
    }

    /// Hands PAUSE, or PLAY after it, on to the streamer.
    fn tell_streamer(&mut self, job: Option<JobId>, method: Method) {
        let Some(join) = job.and_then(|job| self.join_of(job)) else { return };
        let (line, uri) = (join.line, words::uri(join.streamer, join.title));
        if let Some(request) = join.client.request(method, uri, &[]) {
            send(&mut self.reactor, line, |bytes| request.write(bytes).is_ok());
        }
    }

    fn answer(&mut self, line: Line, answer: &Response) {
        if !send(&mut self.reactor, line, |bytes| answer.write(bytes).is_ok()) {
            tracing::info!(line, "a viewer takes no answers: closed");
            self.reactor.close(line);
            self.drop_viewer(line);
        }
    }

    /// Gives a whole packet to a viewer, or none of it.
    fn give_packet(&mut self, line: Line, control: bool, packet: &[u8]) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let channel = if control { viewer.channels.1 } else { viewer.channels.0 };
        let Ok(length) = u16::try_from(packet.len()) else { return };
        let parts: [&[u8]; 2] = [&frame_header(channel, length), packet];
        if self.reactor.send_leaving(line, FOR_CONTROL, &parts) {
            viewer.stuck_since = None;
            self.media.packets += 1;
            self.media.bytes += u64::from(length);
        } else {
            viewer.stuck_since.get_or_insert(self.now);
            viewer.lost_packets += 1;
            self.media.lost += 1;
        }
    }

    // Streamers.

    fn read_join(&mut self, line: Line) {
        let Some(id) = self.join_lines.get(&line).copied() else { return };
        let mut input = self.reactor.lift(line);
        while let Some(join) = self.joins.get_mut(&id) {
            let used = match join.framer.next(input.as_slice()) {
                Ok(Some((Unit::Frame(channel, carried), used))) => {
                    self.packet(id, channel, carried);
                    used
                }
                Ok(Some((Unit::Response(response), used))) => {
                    self.streamer_answers(id, &response);
                    used
                }
                Ok(Some((_, used))) => used,
                Ok(None) => break,
                Err(fault) => {
                    tracing::warn!(streamer = %join.streamer, "input of a streamer: {fault}");
                    counter!(watch::FAULTS).increment(1);
                    self.steps_on(move |steps| steps.join_ends(id.0, id.1, Ending::Error, &[]));
                    let all = input.len();
                    input.consume(all);
                    break;
                }
            };
            input.consume(used);
        }
        self.reactor.lay_back(line, input);
    }

    /// A packet of media or control from a streamer: channel 0 and 1 are what every join asks for.
    fn packet(&mut self, id: (JobId, u16), channel: u8, carried: &[u8]) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        if let Some(from) = join.crosses {
            *self.crossed_bytes.entry(from).or_default() += carried.len() as u64;
        }
        match channel {
            0 => {
                join.crossed.media_bytes += carried.len() as u64;
                if !std::mem::replace(&mut join.media, true) {
                    self.steps.push(Box::new(move |steps| steps.join_media(id.0, id.1)));
                }
                self.relay(id, false, carried);
            }
            1 => {
                join.crossed.control_bytes += carried.len() as u64;
                let streamer = join.streamer;
                let mut own = false;
                for note in notes::notes(carried) {
                    own = true;
                    match note {
                        Note::Told(kind, value) => {
                            let (now, at) = (self.now, streamer);
                            self.gossiping
                                .iter_mut()
                                .for_each(|gossiping| gossiping.noted(now, at, kind, value));
                            self.arrives(move |floor| floor.join_note(id.0, id.1, kind, value));
                        }
                        Note::Bye => {
                            self.steps_on(move |steps| steps.join_ends(id.0, id.1, Ending::Served, &[]));
                        }
                    }
                }
                if !own {
                    self.relay(id, true, carried);
                }
            }
            _ => self.media.lost += 1,
        }
    }

    fn relay(&mut self, id: (JobId, u16), control: bool, packet: &[u8]) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        let plays = |line: &Line| self.viewers.get(line).map(|viewer| viewer.server.state());
        match join.viewer.as_ref().and_then(plays) {
            Some(State::Playing) => {
                if let Some(line) = join.viewer {
                    self.give_packet(line, control, packet);
                }
            }
            _ => {
                if !join.hold(control, packet) {
                    self.media.lost += 1;
                }
            }
        }
    }

    fn streamer_answers(&mut self, id: (JobId, u16), response: &Response) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        join.crossed.control_bytes += response.write_len();
        let (status, usage) = (u16::from(response.status()), response.load());
        match join.client.answered(response) {
            Some(Method::Setup) => {
                self.steps_on(move |steps| steps.join_set_up(id.0, id.1, status, &usage));
            }
            // A further PLAY after a pause has been granted before.
            Some(Method::Play) => {
                self.steps_on(move |steps| steps.join_granted(id.0, id.1, status, &usage));
            }
            _ => {}
        }
    }

    fn read_probe(&mut self, line: Line) {
        let input = self.reactor.lift(line);
        let Some(probe) = self.probes.get(line) else { return };
        let end = match probe.framer.next(input.as_slice()) {
            Ok(Some((Unit::Response(response), _))) => {
                let good = response.status().is_success();
                Some((if good { Ending::Served } else { Ending::Error }, response.load()))
            }
            Ok(Some(_)) | Err(_) => Some((Ending::Error, Vec::new())),
            Ok(None) => None,
        };
        self.reactor.lay_back(line, input);
        if let Some((ending, usage)) = end {
            self.probe_ends(line, ending, &usage);
        }
    }

    pub fn probe_ends(&mut self, line: Line, ending: Ending, usage: &[f64]) {
        let Some(probe) = self.probes.end(line) else { return };
        self.reactor.close(line);
        let (streamer, latency, usage) = (probe.streamer, self.now - probe.sent, usage.to_vec());
        self.arrives(move |floor| floor.probed(streamer, ending, latency, &usage));
    }

    /// Sends another controller a word: signed, where there is gossip.
    pub fn tell(&mut self, peer: u32, bytes: &[u8]) {
        if let Some(gossiping) = &mut self.gossiping {
            return gossiping.word(&self.reactor, self.now, peer, bytes);
        }
        let at = self.deployment.place.peers.get(peer as usize);
        if let (Some(line), Some(at)) = (self.datagrams, at) {
            self.reactor.send_to(line, *at, bytes);
        }
    }

    /// Counts what has crossed on all joins since it was counted last, and stores the sums.
    pub fn settle_accounts(&mut self, ends: bool) {
        for join in self.joins.values_mut() {
            let crossed = join.take_crossed(self.now);
            if let Some(key) = join.key.as_ref().filter(|_| crossed != Amount::default()) {
                self.accounting.count(key, join.title, &crossed);
            }
        }
        self.accounting.store(self.now, ends);
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

    /// Answers all SETUPs that wait on a line, and then what was put off behind them.
    fn answer_waiting(&mut self, line: Line, mut make: impl FnMut(&Viewer, Option<&str>) -> Response) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let waiting = std::mem::take(&mut viewer.waiting);
        let answers: Vec<Response> = waiting.iter().map(|cseq| make(viewer, cseq.as_deref())).collect();
        answers.iter().for_each(|answer| self.answer(line, answer));
        while let Some(viewer) = self.viewers.get_mut(&line).filter(|viewer| viewer.waiting.is_empty()) {
            let Some(request) = viewer.next_put_off() else { break };
            self.request(line, request);
        }
    }
}

/// Writes a message into a line's output, whole or not at all.
fn send(reactor: &mut Reactor, line: Line, write: impl FnOnce(&mut Vec<u8>) -> bool) -> bool {
    let mut bytes = Vec::with_capacity(512);
    write(&mut bytes) && reactor.send(line, &[&bytes])
}

/// When to come back, in the standard's whole seconds (RFC 2326 section 12.31) and exactly.
fn retry_after(mut answer: Response, wait: Duration) -> Response {
    if !wait.is_zero() {
        let seconds = wait.as_millis().div_ceil(1000);
        answer.insert_header(headers::RETRY_AFTER, seconds.to_string());
        answer.insert_header(words::name(words::COME_BACK_MS), wait.as_millis().to_string());
    }
    answer
}

impl Carrier for Ends {
    fn grant(&mut self, viewer: Line, job: JobId) {
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

    fn throttle(&mut self, viewer: Line, cool_down: Duration) {
        counter!(watch::ANSWERS, "kind" => "throttled").increment(1);
        self.answer_waiting(viewer, |viewer, cseq| {
            retry_after(viewer.server.answer_to(cseq, StatusCode::ServiceUnavailable), cool_down)
        });
        if self.viewers.get(&viewer).is_some_and(|viewer| viewer.crowd) {
            self.finish_viewer(viewer);
        }
    }

    fn terminate(&mut self, viewer: Line, late: bool) {
        counter!(watch::ANSWERS, "kind" => "terminated").increment(1);
        let status = if late { StatusCode::GatewayTimeout } else { StatusCode::InternalServerError };
        self.answer_waiting(viewer, |viewer, cseq| viewer.server.answer_to(cseq, status));
    }

    fn open_join(&mut self, job: JobId, number: u16, streamer: StreamerId) {
        counter!(watch::JOINS).increment(1);
        let within = Duration::from_millis(self.deployment.shared.permissions.connect_timeout_ms);
        match self.reactor.connect(SocketAddr::V4(streamer), within, JOIN) {
            Ok(line) => {
                self.joins.insert((job, number), JoinLine::new(line, streamer));
                self.join_lines.insert(line, (job, number));
            }
            Err(e) => {
                tracing::warn!(%streamer, "no connection could be begun: {e}");
                self.steps_on(move |steps| steps.join_ends(job, number, Ending::ConnectFailed, &[]));
            }
        }
    }

    fn set_up(&mut self, job: JobId, number: u16, asked: &Asked, rung: Option<u8>) {
        let me = self.deployment.place.number;
        let room_types = &self.deployment.shared.room_types;
        let Some((room_type, told)) = room_types.get(asked.room_type) else { return };
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        join.title = asked.title;
        let fleet = &self.deployment.shared.fleet;
        let from = self.zones.get(&join.streamer).and_then(|zone| fleet.zones.get(usize::from(*zone)));
        let to = self.deployment.place.zone.clone();
        join.key = from.map(|from| Key { from: from.clone(), to, room_type: room_type.clone() });
        join.crossed.set_ups += 1;
        let crosses = join.key.as_ref().is_some_and(Key::crosses);
        join.crosses = self.zones.get(&join.streamer).copied().filter(|_| crosses);
        let headers: [(HeaderName, String); 5] = [
            (headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=0-1".to_owned()),
            (words::name(words::VIEWER), format!("{:x}", asked.path_key)),
            (words::name(words::ROOM_TYPE), room_type.clone()),
            (words::name(words::RUNG), rung.unwrap_or(told.floor).to_string()),
            (words::name(words::JOIN), format!("{me}/{job}/{number}")),
        ];
        let uri = words::uri(join.streamer, asked.title);
        if let Some(request) = join.client.request(Method::Setup, uri, &headers) {
            send(&mut self.reactor, join.line, |bytes| request.write(bytes).is_ok());
        }
    }

    fn play(&mut self, job: JobId, number: u16) {
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let uri = words::uri(join.streamer, join.title);
        if let Some(request) = join.client.request(Method::Play, uri, &[]) {
            send(&mut self.reactor, join.line, |bytes| request.write(bytes).is_ok());
        }
    }

    fn step(&mut self, job: JobId, number: u16, rung: u8) {
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let uri = words::uri(join.streamer, join.title);
        let header = (words::name(words::RUNG), rung.to_string());
        if let Some(request) = join.client.request(Method::SetParameter, uri, &[header]) {
            send(&mut self.reactor, join.line, |bytes| request.write(bytes).is_ok());
        }
    }

    fn end_join(&mut self, job: JobId, number: u16) {
        let Some(mut join) = self.joins.remove(&(job, number)) else { return };
        self.join_lines.remove(&join.line);
        let crossed = join.take_crossed(self.now);
        if let Some(key) = &join.key {
            self.accounting.count(key, join.title, &crossed);
        }
        join.client.forget();
        let uri = words::uri(join.streamer, join.title);
        let set_up = join.client.session().is_some();
        if let Some(request) = join.client.request(Method::Teardown, uri, &[]).filter(|_| set_up) {
            send(&mut self.reactor, join.line, |bytes| request.write(bytes).is_ok());
            // Now, and the close behind it: whatever goes to another streamer goes later.
            self.reactor.flush_line(join.line);
        }
        self.reactor.close(join.line);
    }

    fn redirect(&mut self, viewer: Line) {
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

    fn farewell(&mut self, viewer: Line) {
        let Some(seen) = self.viewers.get(&viewer) else { return };
        let bye = notes::bye(0);
        let channel = seen.channels.1;
        if seen.server.state() == State::Playing {
            self.reactor.send(viewer, &[&frame_header(channel, bye.len() as u16), &bye]);
        }
        self.reactor.finish(viewer);
        self.viewers.remove(&viewer);
    }

    fn came_to(&mut self, streamer: StreamerId, ending: Option<Ending>) {
        let now = self.now;
        if ending.is_some_and(Ending::is_lost) {
            tracing::info!(%streamer, ?ending, "join lost");
        }
        self.gossiping.as_mut().into_iter().for_each(|gossiping| gossiping.seen(now, streamer, ending));
    }

    fn remind(&mut self, from_now: Duration, token: u64) {
        self.reminders.push((self.now + from_now, token));
    }

    fn probe(&mut self, streamer: StreamerId) {
        let connected = self.probes.room().then(|| {
            let within = Duration::from_millis(self.deployment.shared.permissions.connect_timeout_ms);
            self.reactor.connect(SocketAddr::V4(streamer), within, PROBE)
        });
        match connected {
            Some(Ok(line)) => self.probes.begin(line, streamer, self.now),
            _ => self.arrives(move |floor| floor.probed(streamer, Ending::Moot, Duration::ZERO, &[])),
        }
    }

    fn signal(&mut self, peer: Option<u16>, bytes: &[u8]) {
        /// The most that a message may carry, as the deployments permit.
        const LONGEST: usize = 256;
        let Some(line) = self.datagrams.filter(|_| bytes.len() <= LONGEST) else { return };
        let me = self.deployment.place.number as usize;
        let peers = self.deployment.place.peers.iter().enumerate();
        for (_, at) in peers.filter(|(n, _)| *n != me && peer.is_none_or(|peer| usize::from(peer) == *n)) {
            self.reactor.send_to(line, *at, bytes);
        }
    }

    fn observe(&mut self, want: bool) {
        self.list_wants.0 = Some(want);
    }

    fn list_all(&mut self) {
        self.list_wants.1 = true;
    }
}

fn with_location<B>(mut request: rtsp_types::Request<B>, at: &Url) -> rtsp_types::Request<B> {
    request.insert_header(headers::LOCATION, at.as_str());
    request
}

/// Which peer a datagram is from; nothing where it is from none.
pub fn peer_at(deployment: &Deployment, from: SocketAddr) -> Option<u32> {
    deployment.place.peers.iter().position(|peer| *peer == from).map(|n| n as u32)
}
