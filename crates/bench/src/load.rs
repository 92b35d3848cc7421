//! Viewers of a benchmark: so many at a time, each asks, plays if it is to, and makes room for the next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};
use badgerledge_rtsp::words::{self, name};
use badgerledge_rtsp::{Client, Framer, Unit};
use hdrhistogram::Histogram;
use rtsp_types::{headers, Method};

use crate::fixture::TITLES;

struct Viewer {
    client: Client,
    framer: Framer,
    asked: Duration,
    plays: bool,
}

/// What viewers do once their SETUP is granted.
#[derive(Clone, Copy, PartialEq)]
pub enum Then {
    /// Tear down and make room for the next.
    Leave,
    /// Play for good.
    Play,
}

pub struct Load {
    to: Vec<SocketAddr>,
    then: Then,
    /// Asked in all, and at most.
    asked: u64,
    most: u64,
    viewers: BTreeMap<SocketId, Viewer>,
    pub granted: u64,
    pub turned_away: u64,
    pub media_bytes: u64,
    pub media_packets: u64,
    /// From SETUP to its answer, in microseconds.
    pub latency: Histogram<u64>,
}

const BOUNDS: Bounds = Bounds { input: 256 * 1024, output: 8 * 1024 };

impl Load {
    pub fn new(to: Vec<SocketAddr>, then: Then, most: u64) -> Result<Self> {
        Ok(Self {
            to,
            then,
            asked: 0,
            most,
            viewers: BTreeMap::new(),
            granted: 0,
            turned_away: 0,
            media_bytes: 0,
            media_packets: 0,
            latency: Histogram::new(3)?,
        })
    }

    /// Keeps so many viewers at work, while there are more to come.
    pub fn keep(&mut self, reactor: &mut Reactor, at_a_time: usize) {
        while self.viewers.len() < at_a_time && self.asked < self.most {
            let to = self.to[self.asked as usize % self.to.len()];
            self.asked += 1;
            let Ok(line) = reactor.connect(to, Duration::from_secs(5), BOUNDS) else { return };
            let viewer = Viewer {
                client: Client::default(),
                framer: Framer::default(),
                asked: reactor.now(),
                plays: false,
            };
            self.viewers.insert(line, viewer);
        }
    }

    pub fn take(&mut self, reactor: &mut Reactor, happening: &ReactorEvent) -> bool {
        match happening {
            ReactorEvent::Opened(line) if self.viewers.contains_key(line) => self.set_up(reactor, *line),
            ReactorEvent::Readable(line) if self.viewers.contains_key(line) => self.read(reactor, *line),
            ReactorEvent::Closed(line, _) if self.viewers.remove(line).is_some() => {}
            _ => return false,
        }
        true
    }

    fn set_up(&mut self, reactor: &mut Reactor, line: SocketId) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        viewer.asked = reactor.now();
        let uri = words::uri("bench", line % TITLES);
        let headers = [
            (headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=0-1".to_owned()),
            (name(words::VIEWER), format!("{line:x}")),
            (name(words::ROOM_TYPE), "clip".to_owned()),
        ];
        self.send(reactor, line, Method::Setup, uri, &headers);
    }

    fn send(
        &mut self, reactor: &mut Reactor, line: SocketId, method: Method, uri: rtsp_types::Url,
        headers: &[(headers::HeaderName, String)],
    ) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let mut bytes = Vec::with_capacity(512);
        let request = viewer.client.request(method, uri, headers);
        if request.is_some_and(|request| request.write(&mut bytes).is_ok()) {
            reactor.send(line, &[&bytes]);
        }
    }

    fn read(&mut self, reactor: &mut Reactor, line: SocketId) {
        let mut input = reactor.take_input(line);
        while let Some(viewer) = self.viewers.get_mut(&line) {
            let Ok(Some((unit, used))) = viewer.framer.next(input.as_slice()) else { break };
            match unit {
                Unit::Frame(0, carried) => {
                    self.media_bytes += carried.len() as u64;
                    self.media_packets += 1;
                }
                Unit::Response(answer) if viewer.client.answered(&answer) == Some(Method::Setup) => {
                    let took = (reactor.now() - viewer.asked).as_micros() as u64;
                    let _ = self.latency.record(took);
                    self.answered(reactor, line, answer.status().is_success());
                }
                _ => {}
            }
            input.consume(used);
        }
        reactor.restore_input(line, input);
    }

    fn answered(&mut self, reactor: &mut Reactor, line: SocketId, granted: bool) {
        let uri = words::uri("bench", line % TITLES);
        if !granted {
            self.turned_away += 1;
            self.viewers.remove(&line);
            return reactor.close(line);
        }
        self.granted += 1;
        match self.then {
            Then::Play => {
                self.send(reactor, line, Method::Play, uri, &[]);
                self.viewers.entry(line).and_modify(|viewer| viewer.plays = true);
            }
            Then::Leave => {
                self.send(reactor, line, Method::Teardown, uri, &[]);
                self.viewers.remove(&line);
                reactor.close_after_flush(line);
            }
        }
    }

    pub fn playing(&self) -> usize {
        self.viewers.values().filter(|viewer| viewer.plays).count()
    }
}
