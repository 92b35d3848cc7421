//! What a benchmark of set-ups runs against: stand-in streamers, their list, and a controller.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use badgerledge_core::interface::Health;
use badgerledge_reactor::Reactor;
use badgerledge_standins::{ListService, Streamers, Told};
use badgerledge_witness::RuleChecker;

use crate::fixture::{shared, wait_for, Controller, Source};
use crate::load::{Load, Then};

/// Viewers that ask at a time while others play.
const ASKING: usize = 32;

/// Four stand-in streamers that answer at once, and the list that names them.
pub struct Backdrop {
    pub reactor: Reactor,
    streamers: Streamers,
    list: ListService,
    witness: RuleChecker,
}

impl Backdrop {
    pub fn new() -> Result<Self> {
        badgerledge_reactor::raise_descriptors();
        let mut reactor = Reactor::new(Duration::from_secs(100))?;
        let mut witness = RuleChecker::new(shared()?);
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

    pub fn streamers(&self) -> Vec<SocketAddr> {
        (0..4).map(|n| SocketAddr::V4(self.streamers.at(n))).collect()
    }

    /// One turn of the loop.
    pub fn turn(&mut self, load: &mut Load, at_a_time: usize) -> Result<()> {
        self.turn_beside(load, at_a_time, None)
    }

    /// The same beside viewers that play.
    pub fn turn_beside(
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

    pub fn controller(&mut self, source: Source) -> Result<Controller> {
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
    pub fn pace(&mut self, to: Vec<SocketAddr>, seconds: f64, viewers: usize) -> Result<Load> {
        let mut load = Load::new(to, Then::Leave, u64::MAX)?;
        let end = self.reactor.clock() + Duration::from_secs_f64(seconds);
        while self.reactor.clock() < end {
            self.turn(&mut load, viewers)?;
        }
        Ok(load)
    }

    /// So many subscriptions, asked for one after the other by a few viewers.
    pub fn do_some(&mut self, to: SocketAddr, count: u64) -> Result<()> {
        let mut load = Load::new(vec![to], Then::Leave, count)?;
        load.keep(&mut self.reactor, 8);
        while load.granted + load.turned_away < count {
            self.turn(&mut load, 8)?;
        }
        Ok(())
    }

    /// Lets the backdrop serve for a while, beside what plays.
    pub fn serve(&mut self, load: &mut Load, span: Duration) -> Result<()> {
        let end = self.reactor.clock() + span;
        while self.reactor.clock() < end {
            self.turn(load, 0)?;
        }
        Ok(())
    }

    /// Sets up subscriptions at a controller until so many play, or that time is over.
    pub fn start_playing(
        &mut self, controller: &Controller, subscriptions: usize, within: Duration,
    ) -> Result<Load> {
        let mut load = Load::new(vec![controller.at], Then::Play, subscriptions as u64)?;
        let end = self.reactor.clock() + within;
        while load.playing() < subscriptions && self.reactor.clock() < end {
            // A few at a time are asking, so that none waits for the others.
            let at_a_time = load.playing() + ASKING;
            self.turn(&mut load, at_a_time.min(subscriptions))?;
        }
        Ok(load)
    }
}
