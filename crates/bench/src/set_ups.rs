//! Set-ups: how many a second, what each costs, and what memory playing subscriptions take.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use badgerledge_core::interface::Health;
use badgerledge_reactor::Reactor;
use badgerledge_standins::{ListService, Streamers, Told};
use badgerledge_witness::Witness;

use crate::capacity::child::processor_time_of;
use crate::fixture::{shared, wait_for, Controller, Source};
use crate::load::{Load, Then};

/// Four stand-in streamers that answer at once, and the list that names them.
struct Backdrop {
    reactor: Reactor,
    streamers: Streamers,
    list: ListService,
    witness: Witness,
}

impl Backdrop {
    fn new() -> Result<Self> {
        badgerledge_reactor::raise_descriptors();
        let mut reactor = Reactor::new(Duration::from_secs(100))?;
        let mut witness = Witness::new(shared()?);
        let mut streamers = Streamers::new(shared()?, 1);
        streamers.take_for_set_up(Duration::ZERO, Duration::ZERO);
        let mut list = ListService::new(&mut reactor, SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let now = reactor.now();
        for cell in 0..4 {
            streamers.add(&mut reactor, Told { zone: 0, kind: 0, cell, weight: 1.0 }, None)?;
            let at = streamers.at(cell as usize);
            list.learn(now, Duration::ZERO, at, 0, 0, cell, Health::Ready, 1.0, 1, None);
        }
        list.tend(&mut reactor, now, &mut witness);
        Ok(Self { reactor, streamers, list, witness })
    }

    fn streamers(&self) -> Vec<SocketAddr> {
        (0..4).map(|n| SocketAddr::V4(self.streamers.at(n))).collect()
    }

    /// One turn of the loop.
    fn turn(&mut self, load: &mut Load, at_a_time: usize) -> Result<()> {
        self.turn_beside(load, at_a_time, None)
    }

    /// The same beside viewers that play.
    fn turn_beside(
        &mut self, load: &mut Load, at_a_time: usize, mut playing: Option<&mut Load>,
    ) -> Result<()> {
        load.keep(&mut self.reactor, at_a_time);
        self.reactor.flush();
        let due = self.streamers.next_due().map(|at| at.max(self.reactor.clock()));
        let until = due.into_iter().chain([self.reactor.clock() + Duration::from_millis(20)]).min();
        let mut told = Vec::new();
        self.reactor.wait(until, &mut told)?;
        let now = self.reactor.now();
        for happening in &told {
            let _ = load.take(&mut self.reactor, happening)
                || playing.as_mut().is_some_and(|load| load.take(&mut self.reactor, happening))
                || self.streamers.take(&mut self.reactor, now, happening, &mut self.witness)
                || self.list.take(&mut self.reactor, now, happening, &mut self.witness);
        }
        self.streamers.tend(&mut self.reactor, now);
        self.list.tend(&mut self.reactor, now, &mut self.witness);
        self.reactor.flush();
        Ok(())
    }

    fn controller(&mut self, source: Source) -> Result<Controller> {
        let controller = Controller::start(self.list.at(), source)?;
        let mut nobody = Load::new(self.streamers(), Then::Leave, 0)?;
        let mut fault = None;
        wait_for("the controller's list", || {
            fault = self.turn(&mut nobody, 0).err();
            fault.is_some() || self.ready(&controller, &mut nobody)
        })?;
        fault.map_or(Ok(controller), Err)
    }

    /// Asks for the metrics in a thread, since the list must be served meanwhile.
    fn ready(&mut self, controller: &Controller, nobody: &mut Load) -> bool {
        std::thread::scope(|scope| {
            let asked = scope.spawn(|| controller.ready());
            while !asked.is_finished() {
                let _ = self.turn(nobody, 0);
            }
            asked.join().unwrap_or(false)
        })
    }

    /// Set-ups a second at these addresses, with so many viewers at a time.
    fn pace(&mut self, to: Vec<SocketAddr>, seconds: f64, viewers: usize) -> Result<Load> {
        let mut load = Load::new(to, Then::Leave, u64::MAX)?;
        let end = self.reactor.clock() + Duration::from_secs_f64(seconds);
        while self.reactor.clock() < end {
            self.turn(&mut load, viewers)?;
        }
        Ok(load)
    }

    /// So many subscriptions, asked for one after the other by a few viewers.
    fn do_some(&mut self, to: SocketAddr, count: u64) -> Result<()> {
        let mut load = Load::new(vec![to], Then::Leave, count)?;
        load.keep(&mut self.reactor, 8);
        while load.granted + load.turned_away < count {
            self.turn(&mut load, 8)?;
        }
        Ok(())
    }
}

pub fn measure(seconds: f64, viewers: usize) -> Result<()> {
    println!("set-ups, {viewers} viewers at a time, {seconds} s each, one core for all processes");
    let mut straight = Backdrop::new()?;
    let to = straight.streamers();
    let plain = straight.pace(to, seconds, viewers)?;
    drop(straight);
    let mut backdrop = Backdrop::new()?;
    let controller = backdrop.controller(Source::File)?;
    let through = backdrop.pace(vec![controller.at], seconds, viewers)?;
    controller.finish()?;
    let show = |name: &str, load: &Load| {
        let pace = load.granted as f64 / seconds;
        let quantile = |q| load.latency.value_at_quantile(q) as f64 / 1000.0;
        let (median, high) = (quantile(0.5), quantile(0.99));
        println!(
            "  {name:<28} {pace:>8.0} a second, {median:>6.1} ms median, {high:>6.1} ms p99, {} not granted",
            load.turned_away
        );
    };
    show("straight to the stand-ins", &plain);
    show("through the controller", &through);
    println!("  ratio {:.2}", through.granted as f64 / plain.granted.max(1) as f64);
    Ok(())
}

/// Costs of each subscription from SETUP to TEARDOWN: two runs that differ by a number of them.
pub fn costs(source: Source) -> Result<()> {
    let run = |count: u64| -> Result<[f64; 5]> {
        let mut backdrop = Backdrop::new()?;
        let controller = backdrop.controller(source)?;
        backdrop.do_some(controller.at, count)?;
        let mut nobody = Load::new(vec![controller.at], Then::Leave, 0)?;
        let end = backdrop.reactor.clock() + Duration::from_millis(1500);
        while backdrop.reactor.clock() < end {
            backdrop.turn(&mut nobody, 0)?;
        }
        let metric = |name: &str| controller.metric(name).unwrap_or(0.0);
        let seen = ["system_calls_total", "copied_bytes_total", "round_seconds_sum", "round_seconds_count"];
        let [calls, copied, rounds, count] = seen.map(|name| metric(&format!("badgerledge_{name}")));
        Ok([controller.finish()? as f64, calls, copied, rounds, count])
    };
    let (few, many) = (500, 2500);
    let (first, second) = (run(few)?, run(many)?);
    let each = |n: usize| (second[n] - first[n]) / (many - few) as f64;
    println!("each ordinary join, SETUP to TEARDOWN, as the difference of {many} and {few}, {source}");
    println!("  {:>8.1} allocations", each(0));
    println!("  {:>8.1} system calls of the loop", each(1));
    println!("  {:>8.0} bytes copied between its buffers", each(2));
    let rounds = second[4] - first[4];
    println!("  {:>8.1} us a round, of {rounds:.0} more", (second[3] - first[3]) * 1e6 / rounds.max(1.0));
    Ok(())
}

/// What a controller spends with so many subscriptions playing.
pub struct Playing {
    pub subscriptions: usize,
    pub resident_bytes: f64,
    pub descriptors: f64,
    /// Processor time of a further set-up and its end beside what plays, less what play alone takes in that time; nothing
    /// where too little is left to tell it from play.
    pub set_up_seconds: Option<f64>,
    /// Processor time, packets and lost packets of a second of play.
    pub processor_a_second: f64,
    pub packets_a_second: f64,
    pub lost_a_second: f64,
}

/// Play that is measured, by the clock on the wall.
const PLAYS_FOR: Duration = Duration::from_secs(6);
/// Set-ups that take longer in all are left at what plays by then.
const SET_UP_WITHIN: Duration = Duration::from_secs(120);

impl Backdrop {
    /// Lets the backdrop serve for a while.
    fn serve(&mut self, load: &mut Load, span: Duration) -> Result<()> {
        let end = self.reactor.clock() + span;
        while self.reactor.clock() < end {
            self.turn(load, 0)?;
        }
        Ok(())
    }
}

/// Set-ups that are made beside what plays, and how many of them at a time.
const FURTHER: u64 = 400;
const FURTHER_AT_A_TIME: usize = 8;
/// The part of the processor time that must be left for them once play is taken off.
const LEAST_LEFT: f64 = 0.2;

impl Backdrop {
    /// Processor time of a set-up that ends at once, beside what plays.
    fn further_set_ups(
        &mut self, controller: &Controller, playing: &mut Load, processor_a_second: f64,
    ) -> Result<Option<f64>> {
        let mut further = Load::new(vec![controller.at], Then::Leave, FURTHER)?;
        let (from, since) = (processor_time_of(controller.process())?, self.reactor.clock());
        let end = since + SET_UP_WITHIN;
        while further.granted + further.turned_away < FURTHER && self.reactor.clock() < end {
            self.turn_beside(&mut further, FURTHER_AT_A_TIME, Some(playing))?;
        }
        let used = (processor_time_of(controller.process())? - from).as_secs_f64();
        let span = (self.reactor.clock() - since).as_secs_f64();
        let left = used - span * processor_a_second;
        Ok((left > LEAST_LEFT * used && further.granted > 0).then(|| left / further.granted as f64))
    }
}

/// Lets so many subscriptions play, and measures the controller meanwhile.
pub fn playing(subscriptions: usize) -> Result<Playing> {
    let mut backdrop = Backdrop::new()?;
    let controller = backdrop.controller(Source::File)?;
    let (resident, descriptors) = (controller.resident_kb()?, controller.descriptors()?);
    let mut load = Load::new(vec![controller.at], Then::Play, subscriptions as u64)?;
    let end = backdrop.reactor.clock() + SET_UP_WITHIN;
    while load.playing() < subscriptions && backdrop.reactor.clock() < end {
        let at_a_time = load.playing() + 32;
        backdrop.turn(&mut load, at_a_time.min(subscriptions))?;
    }
    backdrop.serve(&mut load, Duration::from_secs(3))?;
    let metric = |name: &str| controller.metric(&format!("badgerledge_{name}")).unwrap_or(0.0);
    let seen = || (metric("media_packets_total"), metric("media_packets_lost_total"));
    let (before, from, since) = (seen(), processor_time_of(controller.process())?, backdrop.reactor.clock());
    backdrop.serve(&mut load, PLAYS_FOR)?;
    let (used, span) = (processor_time_of(controller.process())? - from, backdrop.reactor.clock() - since);
    let after = seen();
    let playing = load.playing();
    anyhow::ensure!(playing > 0, "nothing plays");
    let seconds = span.as_secs_f64();
    let processor_a_second = used.as_secs_f64() / seconds;
    Ok(Playing {
        subscriptions: playing,
        resident_bytes: (controller.resident_kb()? - resident) as f64 * 1024.0,
        descriptors: (controller.descriptors()? - descriptors) as f64,
        set_up_seconds: backdrop.further_set_ups(&controller, &mut load, processor_a_second)?,
        processor_a_second,
        packets_a_second: (after.0 - before.0) / seconds,
        lost_a_second: (after.1 - before.1) / seconds,
    })
}

pub fn memory(subscriptions: usize) -> Result<()> {
    let mut backdrop = Backdrop::new()?;
    let controller = backdrop.controller(Source::File)?;
    let before = controller.resident_kb()?;
    let mut load = Load::new(vec![controller.at], Then::Play, subscriptions as u64)?;
    let end = backdrop.reactor.clock() + Duration::from_secs(60);
    while load.playing() < subscriptions && backdrop.reactor.clock() < end {
        // A few at a time are asking, so that none waits for the others.
        let at_a_time = load.playing() + 32;
        backdrop.turn(&mut load, at_a_time.min(subscriptions))?;
    }
    let settle = backdrop.reactor.clock() + Duration::from_secs(3);
    while backdrop.reactor.clock() < settle {
        backdrop.turn(&mut load, 0)?;
    }
    let after = controller.resident_kb()?;
    let playing = load.playing();
    println!("memory with {playing} subscriptions playing");
    println!("  {:>8.1} MB before, {:.1} MB with them", before as f64 / 1024.0, after as f64 / 1024.0);
    println!("  {:>8.1} kB for each", (after - before) as f64 / playing.max(1) as f64);
    Ok(())
}
