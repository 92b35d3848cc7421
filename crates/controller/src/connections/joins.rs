//! Joins: connections to streamers, the requests on them and their results.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_accounts::Key;
use badgerledge_core::interface::{Ending, JobId, StreamerId, SubscriptionRequest};
use badgerledge_reactor::{Bounds, SocketId};
use badgerledge_rtsp::extension_headers::{self, HeaderValues};
use badgerledge_rtsp::{Response, Unit};
use metrics::counter;
use rtsp_types::headers::{self, HeaderName};
use rtsp_types::Method;

use super::{send, Connections, JoinId};
use crate::join_connection::JoinConnection;
use crate::telemetry;

/// Buffers of a join's connection: the relay empties its input in every iteration.
const JOIN_BUFFERS: Bounds = Bounds { input: 128 * 1024, output: 16 * 1024 };

impl Connections {
    /// Begins a join's connection.
    pub(super) fn connect_join(&mut self, job: JobId, number: u16, streamer: StreamerId) {
        counter!(telemetry::JOINS).increment(1);
        let timeout = Duration::from_millis(self.deployment.shared.permissions.connect_timeout_ms);
        match self.reactor.connect(SocketAddr::V4(streamer), timeout, JOIN_BUFFERS) {
            Ok(connection) => {
                self.joins.insert((job, number), JoinConnection::new(connection, streamer));
                self.join_ids.insert(connection, (job, number));
            }
            Err(error) => {
                tracing::warn!(
                    target: "badgerledge_controller::ends::joins",
                    %streamer,
                    "join failed: no connection to the streamer could be begun: {error}"
                );
                self.queue_join_event(move |steps| steps.join_ended(job, number, Ending::ConnectFailed, &[]));
            }
        }
    }

    /// Sends a join's SETUP.
    pub(super) fn request_set_up(
        &mut self, job: JobId, number: u16, subscription: &SubscriptionRequest, rung: Option<u8>,
    ) {
        let controller = self.deployment.place.number;
        let room_types = &self.deployment.shared.room_types;
        let Some((room_type, parameters)) = room_types.get(subscription.room_type) else { return };
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let fleet = &self.deployment.shared.fleet;
        let zone = self.streamer_zones.get(&join.streamer).copied();
        let from = zone.and_then(|zone| fleet.zones.get(usize::from(zone)));
        let to = &self.deployment.place.zone;
        join.title = subscription.title;
        join.account_key =
            from.map(|from| Key { from: from.clone(), to: to.clone(), room_type: room_type.clone() });
        join.uncounted_traffic.set_ups += 1;
        join.crosses_from_zone = zone.filter(|_| join.account_key.as_ref().is_some_and(Key::crosses_zones));
        let headers: [(HeaderName, String); 5] = [
            (headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=0-1".to_owned()),
            (
                extension_headers::header_name(extension_headers::VIEWER),
                format!("{:x}", subscription.path_key),
            ),
            (extension_headers::header_name(extension_headers::ROOM_TYPE), room_type.clone()),
            (
                extension_headers::header_name(extension_headers::RUNG),
                rung.unwrap_or(parameters.floor).to_string(),
            ),
            (extension_headers::header_name(extension_headers::JOIN), format!("{controller}/{job}/{number}")),
        ];
        let uri = extension_headers::title_uri(join.streamer, subscription.title);
        if let Some(request) = join.client.request(Method::Setup, uri, &headers) {
            send(&mut self.reactor, join.connection, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Sends a join's first PLAY.
    pub(super) fn request_play(&mut self, job: JobId, number: u16) {
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let uri = extension_headers::title_uri(join.streamer, join.title);
        if let Some(request) = join.client.request(Method::Play, uri, &[]) {
            send(&mut self.reactor, join.connection, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Requests another rung from a join's streamer.
    pub(super) fn request_rung(&mut self, job: JobId, number: u16, rung: u8) {
        let Some(join) = self.joins.get_mut(&(job, number)) else { return };
        let uri = extension_headers::title_uri(join.streamer, join.title);
        let header = (extension_headers::header_name(extension_headers::RUNG), rung.to_string());
        if let Some(request) = join.client.request(Method::SetParameter, uri, &[header]) {
            send(&mut self.reactor, join.connection, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Forwards PAUSE, or the PLAY after it, to the streamer.
    pub(super) fn forward_to_streamer(&mut self, job: Option<JobId>, method: Method) {
        let Some(join) = job.and_then(|job| self.join_of(job)) else { return };
        let (connection, uri) = (join.connection, extension_headers::title_uri(join.streamer, join.title));
        if let Some(request) = join.client.request(method, uri, &[]) {
            send(&mut self.reactor, connection, |bytes| request.write(bytes).is_ok());
        }
    }

    /// Ends a join: sends TEARDOWN if it was set up, and closes its connection.
    pub(super) fn tear_down_join(&mut self, job: JobId, number: u16) {
        let Some(mut join) = self.joins.remove(&(job, number)) else { return };
        self.join_ids.remove(&join.connection);
        self.account_join_traffic(&mut join);
        join.client.forget_pending();
        let uri = extension_headers::title_uri(join.streamer, join.title);
        let set_up = join.client.session().is_some();
        if let Some(request) = join.client.request(Method::Teardown, uri, &[]).filter(|_| set_up) {
            send(&mut self.reactor, join.connection, |bytes| request.write(bytes).is_ok());
            // Sent at once, before the close and before anything to another streamer.
            self.reactor.flush_connection(join.connection);
        }
        self.reactor.close(join.connection);
    }

    /// Reads all complete messages and frames of a join's input.
    pub(super) fn read_join(&mut self, connection: SocketId) {
        let Some(id) = self.join_ids.get(&connection).copied() else { return };
        let mut input = self.reactor.take_input(connection);
        while let Some(join) = self.joins.get_mut(&id) {
            let used = match join.framer.next(input.as_slice()) {
                Ok(Some((Unit::Frame(channel, payload), used))) => {
                    self.handle_packet(id, channel, payload);
                    used
                }
                Ok(Some((Unit::Response(response), used))) => {
                    self.handle_answer(id, &response);
                    used
                }
                Ok(Some((_, used))) => used,
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(
                        target: "badgerledge_controller::ends::joins",
                        streamer = %join.streamer,
                        "invalid input from a streamer, whose join ends: {error}"
                    );
                    counter!(telemetry::INPUT_FAULTS).increment(1);
                    self.queue_join_event(move |steps| steps.join_ended(id.0, id.1, Ending::Error, &[]));
                    let length = input.len();
                    input.consume(length);
                    break;
                }
            };
            input.consume(used);
        }
        self.reactor.restore_input(connection, input);
    }

    /// Handles a streamer's answer to a request.
    fn handle_answer(&mut self, id: JoinId, response: &Response) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        join.uncounted_traffic.control_bytes += response.write_len();
        let (status, usage) = (u16::from(response.status()), response.load());
        match join.client.match_response(response) {
            Some(Method::Setup) => {
                self.queue_join_event(move |steps| steps.join_set_up(id.0, id.1, status, &usage));
            }
            // This is the answer to the first PLAY; a PLAY after a pause was granted before.
            Some(Method::Play) => {
                self.queue_join_event(move |steps| steps.join_granted(id.0, id.1, status, &usage));
            }
            _ => {}
        }
    }

    /// The join that serves a subscription.
    pub(super) fn join_of(&mut self, job: JobId) -> Option<&mut JoinConnection> {
        self.joins.range_mut((job, 0)..=(job, u16::MAX)).next().map(|(_, join)| join)
    }

    /// Reports a join's result to gossip; `None` means that it was served.
    pub(super) fn report_join_result(&mut self, streamer: StreamerId, ending: Option<Ending>) {
        if ending.is_some_and(Ending::is_lost) {
            tracing::info!(target: "badgerledge_controller::ends::joins", %streamer, ?ending, "join lost");
        }
        if let Some(gossiping) = &mut self.gossiping {
            gossiping.observe_join_result(self.now, streamer, ending);
        }
    }
}
