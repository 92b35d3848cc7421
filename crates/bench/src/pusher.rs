//! A streamer that sends as fast as its packets are taken.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use anyhow::Result;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};
use badgerledge_rtsp::{frame_header, Framer, Server, Unit};
use badgerledge_standins::{packet, Packet};
use rtsp_types::{Method, StatusCode};

const BOUNDS: Bounds = Bounds { input: 72 * 1024, output: 256 * 1024 };
/// Bytes that may be on their way in all: enough to keep every buffer busy, too few for any to overflow, so that
/// no packet is lost and what comes out is what the relay carries.
const ON_THE_WAY: u64 = 192 * 1024;
/// Payload bytes of a packet.
pub const PACKET: usize = 1400;

/// A streamer that sends as fast as its packets are taken.
pub struct Pusher {
    listener: SocketId,
    pub at: SocketAddr,
    streams: BTreeMap<SocketId, (Framer, Server)>,
    /// The streams that play, and whether their first packet has gone.
    playing: Vec<(SocketId, bool)>,
    frame: Vec<u8>,
    sent: u64,
}

impl Pusher {
    pub fn new(reactor: &mut Reactor) -> Result<Self> {
        let (listener, at) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS)?;
        let carried = packet(Packet { sequence: 0, rung: 0, rate: 1 }, 1, 0, PACKET);
        let frame = [&frame_header(0, carried.len() as u16)[..], &carried].concat();
        Ok(Self { listener, at, streams: BTreeMap::new(), playing: Vec::new(), frame, sent: 0 })
    }

    pub fn take(&mut self, reactor: &mut Reactor, happening: &ReactorEvent) -> bool {
        match happening {
            ReactorEvent::Accepted { connection: line, listener, .. } if *listener == self.listener => {
                self.streams.insert(*line, Default::default());
            }
            ReactorEvent::Readable(line) if self.streams.contains_key(line) => self.read(reactor, *line),
            ReactorEvent::Closed(line, _) if self.streams.remove(line).is_some() => {
                self.playing.retain(|playing| playing.0 != *line);
            }
            _ => return false,
        }
        true
    }

    fn read(&mut self, reactor: &mut Reactor, line: SocketId) {
        let mut input = reactor.take_input(line);
        while let Some((framer, server)) = self.streams.get_mut(&line) {
            let Ok(Some((unit, used))) = framer.next(input.as_slice()) else { break };
            if let Unit::Request(request) = unit {
                match request.method() {
                    Method::Setup => server.set_up("1".to_owned(), 60, (0, 1)),
                    Method::Play => {
                        server.play();
                        self.playing.push((line, false));
                    }
                    _ => {}
                }
                let mut bytes = Vec::new();
                if server.answer(&request, StatusCode::Ok).write(&mut bytes).is_ok() {
                    reactor.send(line, &[&bytes]);
                }
            }
            input.consume(used);
        }
        reactor.restore_input(line, input);
    }

    /// Sends on all streams in turn, as much as may be on the way. Before all viewers play each gets one packet,
    /// without which its SETUP is not granted: more would be held for it, and overflow.
    pub fn push(&mut self, reactor: &mut Reactor, arrived: u64, most: u64, all_play: bool) {
        let share = ON_THE_WAY / self.playing.len().max(1) as u64 / PACKET as u64 + 1;
        for (line, begun) in &mut self.playing {
            let share = if all_play { share } else { u64::from(!*begun) };
            for _ in 0..share {
                let full = self.sent.saturating_sub(arrived) >= ON_THE_WAY || self.sent >= most;
                if full || !reactor.send(*line, &[&self.frame]) {
                    break;
                }
                (self.sent, *begun) = (self.sent + PACKET as u64, true);
            }
        }
    }
}
