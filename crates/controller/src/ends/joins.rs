//! Joins: connections to streamers, the requests on them, and their ends.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_accounts::Key;
use badgerledge_core::interface::{Ending, JobId, StreamerId, SubscriptionRequest};
use badgerledge_reactor::{Bounds, Line};
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::{Response, Unit};
use metrics::counter;
use rtsp_types::headers::{self, HeaderName};
use rtsp_types::Method;

use super::{send, Ends, JoinId};
use crate::join::JoinLine;
use crate::watch;

/// What a join's connection holds at most: the relay empties its input on every wake.
const JOIN: Bounds = Bounds { input: 128 * 1024, output: 16 * 1024 };

impl Ends {
    /// Begins the connection of a join.
    pub(super) fn connect_join(&mut self, job: JobId, number: u16, streamer: StreamerId) {
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

    /// Sends a join's SETUP.
    pub(super) fn request_set_up(
        &mut self, job: JobId, number: u16, asked: &SubscriptionRequest, rung: Option<u8>,
    ) {
        let me = self.deployment.place.number;
        let room_types = &self.deployment.shared.room_types;
        let Some((room_type, told)) = room_types.get(asked.room_type) else { return };
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let fleet = &self.deployment.shared.fleet;
        let zone = self.zones.get(&join.streamer).copied();
        let from = zone.and_then(|zone| fleet.zones.get(usize::from(zone)));
        let to = &self.deployment.place.zone;
        join.title = asked.title;
        join.key = from.map(|from| Key { from: from.clone(), to: to.clone(), room_type: room_type.clone() });
        join.crossed.set_ups += 1;
        join.crosses = zone.filter(|_| join.key.as_ref().is_some_and(Key::crosses));
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

    /// Sends a join's first PLAY.
    pub(super) fn request_play(&mut self, job: JobId, number: u16) {
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let uri = words::uri(join.streamer, join.title);
        if let Some(request) = join.client.request(Method::Play, uri, &[]) {
            send(&mut self.reactor, join.line, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Asks a join's streamer for another rung.
    pub(super) fn request_rung(&mut self, job: JobId, number: u16, rung: u8) {
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let uri = words::uri(join.streamer, join.title);
        let header = (words::name(words::RUNG), rung.to_string());
        if let Some(request) = join.client.request(Method::SetParameter, uri, &[header]) {
            send(&mut self.reactor, join.line, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Hands PAUSE, or PLAY after it, on to the streamer.
    pub(super) fn tell_streamer(&mut self, job: Option<JobId>, method: Method) {
        let Some(join) = job.and_then(|job| self.join_of(job)) else { return };
        let (line, uri) = (join.line, words::uri(join.streamer, join.title));
        if let Some(request) = join.client.request(method, uri, &[]) {
            send(&mut self.reactor, line, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Ends a join: TEARDOWN where it was set up, and the close behind it.
    pub(super) fn tear_down_join(&mut self, job: JobId, number: u16) {
        let Some(mut join) = self.joins.remove(&(job, number)) else { return };
        self.join_lines.remove(&join.line);
        self.settle_join(&mut join);
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

    /// Reads all whole units of a join's input.
    pub(super) fn read_join(&mut self, line: Line) {
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

    /// Takes a streamer's answer to a request.
    fn streamer_answers(&mut self, id: JoinId, response: &Response) {
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

    /// The join that carries a subscription.
    pub(super) fn join_of(&mut self, job: JobId) -> Option<&mut JoinLine> {
        self.joins.range_mut((job, 0)..=(job, u16::MAX)).next().map(|(_, join)| join)
    }

    /// Hands on to gossip what came of a join.
    pub(super) fn hear_ending(&mut self, streamer: StreamerId, ending: Option<Ending>) {
        if ending.is_some_and(Ending::is_lost) {
            tracing::info!(%streamer, ?ending, "join lost");
        }
        if let Some(gossiping) = &mut self.gossiping {
            gossiping.seen(self.now, streamer, ending);
        }
    }
}
