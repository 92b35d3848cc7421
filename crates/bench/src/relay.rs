//! Relayed media: MB a second through the controller against a bare byte pump, and what each packet costs.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_core::interface::Health;
use badgerledge_reactor::{Bounds, Happening, Line, Reactor};
use badgerledge_rtsp::{frame_header, Framer, Server, Unit};
use badgerledge_standins::{free_port, packet, ListService, Packet};
use badgerledge_witness::Witness;
use rtsp_types::{Method, StatusCode};

use crate::capacity::child::processor_time_of;
use crate::fixture::{shared, wait_for, Controller, Source};
use crate::load::{Load, Then};

const BOUNDS: Bounds = Bounds { input: 72 * 1024, output: 256 * 1024 };
/// Bytes that may be on their way in all: enough to keep every buffer busy, too few for any to overflow, so that
/// no packet is lost and what comes out is what the relay carries.
const ON_THE_WAY: u64 = 192 * 1024;
const PACKET: usize = 1400;

/// A streamer that sends as fast as its packets are taken.
struct Pusher {
    listener: Line,
    at: SocketAddr,
    streams: BTreeMap<Line, (Framer, Server)>,
    /// The streams that play, and whether their first packet has gone.
    playing: Vec<(Line, bool)>,
    frame: Vec<u8>,
    sent: u64,
}

impl Pusher {
    fn new(reactor: &mut Reactor) -> Result<Self> {
        let (listener, at) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS)?;
        let carried = packet(Packet { sequence: 0, rung: 0, rate: 1 }, 1, 0, PACKET);
        let frame = [&frame_header(0, carried.len() as u16)[..], &carried].concat();
        Ok(Self { listener, at, streams: BTreeMap::new(), playing: Vec::new(), frame, sent: 0 })
    }

    fn take(&mut self, reactor: &mut Reactor, happening: &Happening) -> bool {
        match happening {
            Happening::Accepted { line, listener, .. } if *listener == self.listener => {
                self.streams.insert(*line, Default::default());
            }
            Happening::Readable(line) if self.streams.contains_key(line) => self.read(reactor, *line),
            Happening::Closed(line, _) if self.streams.remove(line).is_some() => {
                self.playing.retain(|playing| playing.0 != *line);
            }
            _ => return false,
        }
        true
    }

    fn read(&mut self, reactor: &mut Reactor, line: Line) {
        let mut input = reactor.lift(line);
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
        reactor.lay_back(line, input);
    }

    /// Sends on all streams in turn, as much as may be on the way. Before all viewers play each gets one packet,
    /// without which its SETUP is not granted: more would be held for it, and overflow.
    fn push(&mut self, reactor: &mut Reactor, arrived: u64, most: u64, all_play: bool) {
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

/// The pusher, its list, and viewers who play.
struct Scene {
    reactor: Reactor,
    pusher: Pusher,
    list: ListService,
    witness: Witness,
}

impl Scene {
    fn new() -> Result<Self> {
        let mut reactor = Reactor::new(Duration::from_secs(100))?;
        let pusher = Pusher::new(&mut reactor)?;
        let mut witness = Witness::new(shared()?);
        let mut list = ListService::new(&mut reactor, SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let SocketAddr::V4(at) = pusher.at else { anyhow::bail!("an IPv4 address is wanted") };
        let now = reactor.now();
        list.learn(now, Duration::ZERO, at, 0, 0, 0, Health::Ready, 1.0, 1, None);
        list.tend(&mut reactor, now, &mut witness);
        Ok(Self { reactor, pusher, list, witness })
    }

    fn turn(&mut self, load: &mut Load, viewers: usize, most: u64) -> Result<()> {
        load.keep(&mut self.reactor, viewers);
        let all_play = load.playing() >= viewers;
        self.pusher.push(&mut self.reactor, load.media_bytes, most, all_play);
        self.reactor.flush();
        let mut told = Vec::new();
        self.reactor.wait(Some(self.reactor.clock() + Duration::from_millis(10)), &mut told)?;
        let now = self.reactor.now();
        for happening in &told {
            let _ = load.take(&mut self.reactor, happening)
                || self.pusher.take(&mut self.reactor, happening)
                || self.list.take(&mut self.reactor, now, happening, &mut self.witness);
        }
        Ok(())
    }

    /// MB a second that come to the viewers at an address.
    fn rate(&mut self, at: SocketAddr, seconds: f64, streams: usize) -> Result<f64> {
        let mut load = Load::new(vec![at], Then::Play, streams as u64)?;
        let begin = self.reactor.clock() + Duration::from_secs(10);
        while load.playing() < streams && self.reactor.clock() < begin {
            self.turn(&mut load, streams, u64::MAX)?;
        }
        let warm = self.reactor.clock() + Duration::from_millis(500);
        while self.reactor.clock() < warm {
            self.turn(&mut load, streams, u64::MAX)?;
        }
        let (begun, before) = (self.reactor.clock(), load.media_bytes);
        while self.reactor.clock() < begun + Duration::from_secs_f64(seconds) {
            self.turn(&mut load, streams, u64::MAX)?;
        }
        let span = (self.reactor.clock() - begun).as_secs_f64();
        Ok((load.media_bytes - before) as f64 / span / 1e6)
    }

    fn controller(&mut self) -> Result<Controller> {
        let controller = Controller::start(self.list.at(), Source::File)?;
        let mut nobody = Load::new(vec![controller.at], Then::Leave, 0)?;
        wait_for("the controller's list", || {
            std::thread::scope(|scope| {
                let asked = scope.spawn(|| controller.metric("badgerledge_streamers_listed") == Some(1.0));
                while !asked.is_finished() {
                    let _ = self.turn(&mut nobody, 0, 0);
                }
                asked.join().unwrap_or(false)
            })
        })?;
        Ok(controller)
    }
}

/// Processor time of the controller for each packet that it relays, with so many streams.
pub fn processor_of_a_packet(streams: usize, seconds: f64) -> Result<Duration> {
    let mut scene = Scene::new()?;
    let controller = scene.controller()?;
    let mut load = Load::new(vec![controller.at], Then::Play, streams as u64)?;
    let begin = scene.reactor.clock() + Duration::from_secs(20);
    while load.playing() < streams && scene.reactor.clock() < begin {
        scene.turn(&mut load, streams, u64::MAX)?;
    }
    anyhow::ensure!(load.playing() == streams, "not all streams play");
    let (before, from) = (load.media_packets, processor_time_of(controller.process())?);
    let end = scene.reactor.clock() + Duration::from_secs_f64(seconds);
    while scene.reactor.clock() < end {
        scene.turn(&mut load, streams, u64::MAX)?;
    }
    let used = processor_time_of(controller.process())? - from;
    let packets = (load.media_packets - before).max(1);
    Ok(used.div_f64(packets as f64))
}

struct Pump(Child);

impl Drop for Pump {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn measure(seconds: f64, streams: usize) -> Result<()> {
    println!(
        "relayed media, {streams} streams, packets of {PACKET} bytes, {seconds} s each, one core for all"
    );
    let mut scene = Scene::new()?;
    let at = free_port()?;
    let child = Command::new(std::env::current_exe()?)
        .args(["pump", &at.to_string(), &scene.pusher.at.to_string()])
        .stdin(Stdio::null())
        .spawn()
        .context("starting the pump")?;
    let pump = Pump(child);
    wait_for("the pump", || std::net::TcpStream::connect(at).is_ok())?;
    let bare = scene.rate(at, seconds, streams)?;
    drop((pump, scene));
    let mut scene = Scene::new()?;
    let controller = scene.controller()?;
    let through = scene.rate(controller.at, seconds, streams)?;
    let lost = controller.metric("badgerledge_media_packets_lost_total").unwrap_or(0.0);
    println!("  {:<28} {bare:>8.1} MB/s", "bare byte pump");
    println!("  {:<28} {through:>8.1} MB/s, {lost} packets lost", "through the controller");
    println!("  ratio {:.2}", through / bare);
    Ok(())
}

/// Costs of each relayed packet: two runs that differ by a number of them.
pub fn costs() -> Result<()> {
    let run = |packets: u64| -> Result<(u64, f64, f64, u64)> {
        let mut scene = Scene::new()?;
        let controller = scene.controller()?;
        let most = packets * PACKET as u64;
        let mut load = Load::new(vec![controller.at], Then::Play, 4)?;
        let end = scene.reactor.clock() + Duration::from_secs(30);
        while load.media_bytes < most && scene.reactor.clock() < end {
            scene.turn(&mut load, 4, most)?;
        }
        // Counters are shown with the next sweep.
        let settle = scene.reactor.clock() + Duration::from_millis(1200);
        while scene.reactor.clock() < settle {
            scene.turn(&mut load, 0, 0)?;
        }
        let metric = |name| controller.metric(name).unwrap_or(0.0);
        let (calls, copied) =
            (metric("badgerledge_system_calls_total"), metric("badgerledge_copied_bytes_total"));
        Ok((controller.finish()?, calls, copied, load.media_packets))
    };
    let (first, second) = (run(20_000)?, run(120_000)?);
    let packets = (second.3 - first.3) as f64;
    println!("each relayed packet of {PACKET} bytes, as the difference of two runs, {packets} packets");
    println!("  {:>8.3} allocations", (second.0 as f64 - first.0 as f64) / packets);
    println!("  {:>8.3} system calls of the loop", (second.1 - first.1) / packets);
    println!("  {:>8.0} bytes copied between its buffers", (second.2 - first.2) / packets);
    Ok(())
}
