//! Probes of streamers: a connection, one OPTIONS and its answer.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::{Bounds, Line};
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::Unit;
use rtsp_types::{headers, Method};

use super::{send, Ends};

/// What a probe's connection holds at most: one answer, and one request.
const PROBE: Bounds = Bounds { input: 72 * 1024, output: 1024 };

impl Ends {
    /// Begins a probe of a streamer; one that cannot go out is answered as moot.
    pub(super) fn begin_probe(&mut self, streamer: StreamerId) {
        let connected = self.probes.room().then(|| {
            let within = Duration::from_millis(self.deployment.shared.permissions.connect_timeout_ms);
            self.reactor.connect(SocketAddr::V4(streamer), within, PROBE)
        });
        match connected {
            Some(Ok(line)) => self.probes.begin(line, streamer, self.now),
            _ => self.arrives(move |floor| floor.probed(streamer, Ending::Moot, Duration::ZERO, &[])),
        }
    }

    /// A probe's connection is made: its one request goes out.
    pub(super) fn probe_opened(&mut self, line: Line) {
        let Some(probe) = self.probes.get(line) else { return };
        let options = rtsp_types::Request::builder(Method::Options, rtsp_types::Version::V1_0)
            .request_uri(words::uri(probe.streamer, 0))
            .header(headers::CSEQ, "1")
            .empty();
        send(&mut self.reactor, line, |bytes| options.write(bytes).is_ok());
    }

    /// Reads a probe's input: its first answer ends it.
    pub(super) fn read_probe(&mut self, line: Line) {
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

    /// Ends a probe and tells the module what came of it.
    pub fn probe_ends(&mut self, line: Line, ending: Ending, usage: &[f64]) {
        let Some(probe) = self.probes.end(line) else { return };
        self.reactor.close(line);
        let (streamer, latency, usage) = (probe.streamer, self.now - probe.sent, usage.to_vec());
        self.arrives(move |floor| floor.probed(streamer, ending, latency, &usage));
    }
}
