//! Relayed media: MB a second through the controller against a bare byte pump, and what each packet costs.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_core::interface::Health;
use badgerledge_reactor::Reactor;
use badgerledge_standins::{free_port, ListService};
use badgerledge_witness::RuleChecker;

use crate::capacity::child::processor_time_of;
use crate::fixture::{shared, wait_for, Controller, Source};
use crate::load::{Load, Then};
use crate::pusher::{Pusher, PACKET};

/// The pusher, its list, and viewers who play.
struct Scene {
    reactor: Reactor,
    pusher: Pusher,
    list: ListService,
    witness: RuleChecker,
}

impl Scene {
    fn new() -> Result<Self> {
        let mut reactor = Reactor::new(Duration::from_secs(100))?;
        let pusher = Pusher::new(&mut reactor)?;
        let mut witness = RuleChecker::new(shared()?);
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

    /// Goes on for a while with so many viewers.
    fn run_for(&mut self, load: &mut Load, viewers: usize, span: Duration) -> Result<()> {
        let end = self.reactor.clock() + span;
        while self.reactor.clock() < end {
            self.turn(load, viewers, u64::MAX)?;
        }
        Ok(())
    }

    /// Viewers at an address, once so many streams play or that time is over.
    fn start_playing(&mut self, at: SocketAddr, streams: usize, within: Duration) -> Result<Load> {
        let mut load = Load::new(vec![at], Then::Play, streams as u64)?;
        let end = self.reactor.clock() + within;
        while load.playing() < streams && self.reactor.clock() < end {
            self.turn(&mut load, streams, u64::MAX)?;
        }
        Ok(load)
    }

    /// MB a second that come to the viewers at an address.
    fn rate(&mut self, at: SocketAddr, seconds: f64, streams: usize) -> Result<f64> {
        let mut load = self.start_playing(at, streams, Duration::from_secs(10))?;
        self.run_for(&mut load, streams, Duration::from_millis(500))?;
        let (begun, before) = (self.reactor.clock(), load.media_bytes);
        self.run_for(&mut load, streams, Duration::from_secs_f64(seconds))?;
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
    let mut load = scene.start_playing(controller.at, streams, Duration::from_secs(20))?;
    anyhow::ensure!(load.playing() == streams, "not all streams play");
    let (before, from) = (load.media_packets, processor_time_of(controller.process())?);
    scene.run_for(&mut load, streams, Duration::from_secs_f64(seconds))?;
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
