//! Probes of streamers: a connection, one OPTIONS request and its answer.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Bounds, SocketId};
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::Unit;
use rtsp_types::{headers, Method};

use super::{send, Connections};

/// Buffers of a probe's connection: one answer, and one request.
const PROBE_BUFFERS: Bounds = Bounds { input: 72 * 1024, output: 1024 };

impl Connections {
    /// Starts a probe of a streamer; one that cannot be sent is reported as [`Ending::Moot`].
    pub(super) fn begin_probe(&mut self, streamer: StreamerId) {
        let connected = self.probes.has_room().then(|| {
            let timeout = Duration::from_millis(self.deployment.shared.permissions.connect_timeout_ms);
            self.reactor.connect(SocketAddr::V4(streamer), timeout, PROBE_BUFFERS)
        });
        match connected {
            Some(Ok(connection)) => self.probes.insert(connection, streamer, self.now),
            _ => self.queue_for_round(move |floor| {
                floor.probe_finished(streamer, Ending::Moot, Duration::ZERO, &[])
            }),
        }
    }

    /// Sends a probe's request once its connection is up.
    pub(super) fn probe_opened(&mut self, connection: SocketId) {
        let Some(probe) = self.probes.get(connection) else { return };
        let options = rtsp_types::Request::builder(Method::Options, rtsp_types::Version::V1_0)
            .request_uri(words::uri(probe.streamer, 0))
            .header(headers::CSEQ, "1")
            .empty();
        send(&mut self.reactor, connection, |bytes| options.write(bytes).is_ok());
    }

    /// Reads a probe's input: the first answer completes the probe.
    pub(super) fn read_probe(&mut self, connection: SocketId) {
        let input = self.reactor.take_input(connection);
        let Some(probe) = self.probes.get(connection) else { return };
        let result = match probe.framer.next(input.as_slice()) {
            Ok(Some((Unit::Response(response), _))) => {
                let success = response.status().is_success();
                Some((if success { Ending::Served } else { Ending::Error }, response.load()))
            }
            Ok(Some(_)) | Err(_) => Some((Ending::Error, Vec::new())),
            Ok(None) => None,
        };
        self.reactor.restore_input(connection, input);
        if let Some((ending, usage)) = result {
            self.finish_probe(connection, ending, &usage);
        }
    }

    /// Ends a probe and reports its result to the module.
    pub fn finish_probe(&mut self, connection: SocketId, ending: Ending, usage: &[f64]) {
        let Some(probe) = self.probes.remove(connection) else { return };
        self.reactor.close(connection);
        let (streamer, latency, usage) = (probe.streamer, self.now - probe.sent_at, usage.to_vec());
        self.queue_for_round(move |floor| floor.probe_finished(streamer, ending, latency, &usage));
    }
}
