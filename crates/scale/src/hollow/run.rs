//! A whole run of hollow members: starts all processes, pushes changes, strikes by the timeline, gathers what was seen.
//! It ends by itself at a bounded time, and all processes with it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use badgerledge_distribution::change::Rejection;
use badgerledge_distribution::message::{decode, encode, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES};
use badgerledge_distribution::watcher::relay_order;
use badgerledge_distribution::{control, lease, ControllerId, Number};
use badgerledge_reactor::{raise_descriptors, Bounds, Reactor, ReactorEvent, SocketId};

use super::disk::DiskWatch;
use super::orders::{hear, say, HostResult, HostSettings, Order, Report};
use super::real::RealControllers;
use super::rig::{Process, Rig};
use crate::figures::{Figures, Title};
use crate::machine::monotonic;
use crate::observations::{Observations, PushedChange, Seconds};
use crate::scenario::Scenario;
use crate::timeline::{returning_with_disks, timeline, At, Happening as Strike};
use crate::workload::Pushes;

/// Watchers start spread over this.
const START_SPREAD: Duration = Duration::from_secs(8);
/// Hosts write what they saw within this.
const FINISHED_WITHIN: Duration = Duration::from_secs(60);
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
const PROGRESS_EVERY: Duration = Duration::from_secs(10);
/// The loop wakes at least so often: a longer gap is a stall.
const WAKE_EVERY: Duration = Duration::from_millis(100);
const HOST_BOUNDS: Bounds = Bounds { input: 1 << 20, output: 4 << 20 };
const TOOL_BOUNDS: Bounds = Bounds { input: 2 << 20, output: 1 << 20 };
/// Signals that end a run early, with all its processes.
const SIGNALS: [i32; 2] = [2, 15];

struct Host {
    process: Process,
    line: Option<SocketId>,
    result: PathBuf,
    acting: u32,
    highest: Number,
    stalled: Duration,
    done: bool,
}

struct Tool {
    pushes: Pushes,
    /// The machines in the order in which it tries them.
    machines: Vec<usize>,
    at: usize,
    line: Option<SocketId>,
    open: bool,
}

struct Run<'a> {
    scenario: &'a Scenario,
    zero: Duration,
    reactor: Reactor,
    listener: SocketId,
    rig: Rig,
    real: RealControllers,
    disk: DiskWatch,
    hosts: Vec<Host>,
    /// The host of each hollow controller.
    host_of: BTreeMap<ControllerId, usize>,
    tools: Vec<Tool>,
    timeline: Vec<At>,
    next: usize,
    counting: bool,
    finishing: bool,
    woke: Duration,
    seen: Observations,
}

/// Plays a scenario with hollow members, the first `real` of them real controllers instead; gives the figures of the hollow
/// ones, and of the real ones where there are any. `program` is this program.
///
/// # Errors
/// Where a process can't be started or ends by itself, or the run is over its time.
pub fn play(scenario: &Scenario, real: u32, program: &Path, show_progress: bool) -> Result<Vec<Figures>> {
    raise_descriptors();
    let begun = Instant::now();
    let mut run = Run::start(scenario, real, program)?;
    run.serve(show_progress)?;
    let (hollow, real) = run.finish()?;
    let bound = lease::contradiction_bound(control::Config::new(0, 1).activation_delay);
    let figures = |kind, seen: &Observations| {
        Figures::of(&Title { scenario, kind, bound, took: begun.elapsed() }, seen)
    };
    let mut all = vec![figures("hollow", &hollow)];
    if !real.members.is_empty() {
        all.push(figures("real", &real));
    }
    Ok(all)
}

impl<'a> Run<'a> {
    fn start(scenario: &'a Scenario, real: u32, program: &Path) -> Result<Self> {
        let rig = Rig::start(scenario, program)?;
        let zero = monotonic();
        let mut reactor = Reactor::new(Duration::ZERO)?;
        SIGNALS.iter().try_for_each(|signal| reactor.watch_signal(*signal))?;
        let (listener, at) = reactor.listen(([127, 0, 0, 1], 0).into(), HOST_BOUNDS)?;
        let real = RealControllers::start(scenario, &rig, real.min(scenario.fleet.controllers), zero)?;
        let disk = DiskWatch::start(rig.folder.path().join("disk-watch"));
        let mut run = Self {
            timeline: timeline(scenario),
            scenario,
            zero,
            reactor,
            listener,
            rig,
            real,
            disk,
            hosts: Vec::new(),
            host_of: BTreeMap::new(),
            tools: Vec::new(),
            next: 0,
            counting: false,
            finishing: false,
            woke: Duration::MAX,
            seen: Observations::default(),
        };
        run.start_hosts(at)?;
        run.seat_tools();
        Ok(run)
    }

    /// The run's time now.
    fn now(&self) -> Duration {
        monotonic().saturating_sub(self.zero)
    }

    fn start_hosts(&mut self, orchestrator: std::net::SocketAddr) -> Result<()> {
        let scenario = self.scenario;
        let count = scenario.run.hollow_processes as usize;
        let mut shares: Vec<Vec<ControllerId>> = vec![Vec::new(); count];
        for controller in self.real.count()..scenario.fleet.controllers {
            let host = controller as usize % count;
            shares[host].push(controller);
            self.host_of.insert(controller, host);
        }
        let keep_disks = returning_with_disks(&self.timeline);
        for (number, controllers) in shares.into_iter().enumerate() {
            let folder = self.rig.folder.path();
            let result = folder.join(format!("host-{number}-result.json"));
            let keep_disks = controllers.iter().copied().filter(|one| keep_disks.contains(one)).collect();
            let settings = HostSettings {
                number: number as u32,
                zero: self.zero,
                controllers,
                keep_disks,
                fleet: scenario.fleet.clone(),
                load: scenario.load.clone(),
                seed: scenario.run.seed ^ (number as u64) << 32,
                relays: self.rig.addresses(),
                ring: self.rig.ring(),
                orchestrator,
                result: result.clone(),
                started_by: START_SPREAD,
                count_from: scenario.warm_up(),
                over_at: scenario.end() + FINISHED_WITHIN * 2,
            };
            let path = folder.join(format!("host-{number}.json"));
            std::fs::write(&path, serde_json::to_vec(&settings)?)?;
            let log = path.with_extension("log");
            let arguments = ["hollow", &path.display().to_string()];
            let process = Process::start(self.rig.program(), &arguments, &log)?;
            let (line, stalled) = (None, Duration::ZERO);
            self.hosts.push(Host { process, line, result, acting: 0, highest: 0, stalled, done: false });
        }
        Ok(())
    }

    fn seat_tools(&mut self) {
        let fleet = &self.scenario.fleet;
        for author in 0..self.scenario.load.at_once as u16 {
            let zone = author % fleet.zones();
            let machines: Vec<(u16, bool)> = (0..fleet.control_machines)
                .map(|machine| (machine, fleet.zone_of_machine(machine) == zone))
                .collect();
            let machines = relay_order(u32::MAX - u32::from(author), &machines);
            let pushes = Pushes::new(author, &self.scenario.load);
            self.tools.push(Tool { pushes, machines, at: 0, line: None, open: false });
        }
    }

    /// Plays until all hosts have told what they saw.
    fn serve(&mut self, show_progress: bool) -> Result<()> {
        let (end, over_at) = (self.scenario.end(), self.scenario.end() + FINISHED_WITHIN);
        let mut told = Vec::new();
        let mut next_progress = Duration::ZERO;
        while !(self.finishing && self.hosts.iter().all(|host| host.done)) {
            let until = self.reactor.clock() + WAKE_EVERY;
            self.reactor.wait(Some(until), &mut told).context("event loop")?;
            for happening in told.drain(..) {
                self.take(happening)?;
            }
            let now = self.now();
            self.note_stall(now);
            if !self.counting && now >= self.scenario.warm_up() {
                self.counting = true;
                self.rig.start_counting();
                self.real.start_counting();
                self.disk.restart();
                // Metrics are asked for one after the other: that is no stall of what is measured.
                self.woke = self.now();
            }
            self.strike_due(now)?;
            (0..self.tools.len()).for_each(|tool| self.tend_tool(tool));
            if show_progress && now >= next_progress {
                self.progress(now);
                next_progress += PROGRESS_EVERY;
            }
            if !self.finishing && now >= end {
                self.finish_hosts();
            }
            if now >= over_at {
                bail!("the run is over its time: {over_at:?}");
            }
            self.check_processes()?;
            self.reactor.flush();
        }
        Ok(())
    }

    fn note_stall(&mut self, now: Duration) {
        if self.counting && !self.finishing {
            let gap = now.saturating_sub(self.woke).saturating_sub(WAKE_EVERY);
            self.seen.stalled = self.seen.stalled.max(gap);
        }
        self.woke = now;
    }

    fn check_processes(&mut self) -> Result<()> {
        if let Some(machine) = self.rig.ended().first().copied() {
            bail!("control machine {machine} ended by itself:\n{}", self.rig.log_of(machine));
        }
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if !host.done && host.process.has_ended() {
                let log = self.rig.folder.path().join(format!("host-{number}.log"));
                bail!("host {number} ended by itself:\n{}", std::fs::read_to_string(log).unwrap_or_default());
            }
        }
        Ok(())
    }

    fn take(&mut self, happening: ReactorEvent) -> Result<()> {
        match happening {
            ReactorEvent::Signal(signal) => bail!("ended by signal {signal}"),
            ReactorEvent::Accepted { .. } => {}
            ReactorEvent::Opened(line) => {
                if let Some(tool) = self.tools.iter_mut().find(|tool| tool.line == Some(line)) {
                    tool.open = true;
                }
            }
            ReactorEvent::Readable(line) => {
                match self.tools.iter().position(|tool| tool.line == Some(line)) {
                    Some(tool) => self.tool_readable(tool, line),
                    None => self.host_readable(line),
                }
            }
            ReactorEvent::Closed(line, _) => {
                let now = self.now();
                if let Some(tool) = self.tools.iter_mut().find(|tool| tool.line == Some(line)) {
                    (tool.line, tool.open, tool.at) = (None, false, tool.at + 1);
                    tool.pushes.put_off(now);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn host_readable(&mut self, line: SocketId) {
        while let Some(report) = hear::<Report>(&mut self.reactor, line) {
            let (Report::Ready { number } | Report::Progress { number, .. } | Report::Done { number }) =
                report;
            let Some(host) = self.hosts.get_mut(number as usize) else { continue };
            match report {
                Report::Ready { .. } => host.line = Some(line),
                Report::Progress { acting, highest, stalled, .. } => {
                    (host.acting, host.highest, host.stalled) = (acting, highest, stalled);
                }
                Report::Done { .. } => host.done = true,
            }
        }
    }

    fn progress(&self, now: Duration) {
        let acting: u32 = self.hosts.iter().map(|host| host.acting).sum();
        let highest = self.hosts.iter().map(|host| host.highest).max().unwrap_or(0);
        let stalled = self.hosts.iter().map(|host| host.stalled).max().unwrap_or_default();
        eprintln!(
            "  {:>6.1} s: {acting} of {} hollow controllers act, on {highest} at most; no host stood still for over {:.0} ms",
            now.as_secs_f64(),
            self.host_of.len(),
            stalled.as_secs_f64() * 1000.0
        );
    }

    // What happens to the fleet

    fn strike_due(&mut self, now: Duration) -> Result<()> {
        while let Some(entry) = self.timeline.get(self.next).filter(|entry| entry.at <= now).cloned() {
            self.next += 1;
            self.strike(entry, now)?;
        }
        Ok(())
    }

    fn strike(&mut self, entry: At, now: Duration) -> Result<()> {
        match entry.what {
            Strike::Push { author } => {
                let place = self.seen.changes.len();
                self.seen.changes.push(PushedChange { pushed: entry.at, ..Default::default() });
                if let Some(tool) = self.tools.get_mut(usize::from(author)) {
                    tool.pushes.add(now, place);
                }
            }
            Strike::KillControllers { controllers, .. } => {
                for controller in &controllers {
                    self.seen.away.entry(*controller).or_default().push((now, Duration::MAX));
                }
                self.real.kill(&controllers);
                self.order_each(&controllers, |controllers| Order::Kill { controllers });
            }
            Strike::StartControllers { controllers, without_disk } => {
                for controller in &controllers {
                    let away = self.seen.away.get_mut(controller).and_then(|away| away.last_mut());
                    away.into_iter().for_each(|away| away.1 = now);
                }
                self.real.restart(&controllers, without_disk)?;
                self.order_each(&controllers, |controllers| Order::Start { controllers, without_disk });
            }
            Strike::KillMachines { machines, .. } => {
                machines.into_iter().for_each(|machine| self.rig.kill_relay(usize::from(machine)));
            }
            Strike::StartMachines { machines, without_disk } => {
                for machine in machines.into_iter().map(usize::from) {
                    if without_disk {
                        self.rig.lose_relay_disk(machine);
                    }
                    self.rig.start_relay(machine)?;
                }
            }
            Strike::CutRegion { .. } | Strike::HealRegion { .. } => {}
        }
        Ok(())
    }

    /// Gives each host the order for its own controllers.
    fn order_each(&mut self, controllers: &[ControllerId], order: impl Fn(Vec<ControllerId>) -> Order) {
        let mut shares: BTreeMap<usize, Vec<ControllerId>> = BTreeMap::new();
        for controller in controllers {
            if let Some(host) = self.host_of.get(controller) {
                shares.entry(*host).or_default().push(*controller);
            }
        }
        for (host, controllers) in shares {
            if let Some(line) = self.hosts[host].line {
                say(&mut self.reactor, line, &order(controllers));
            }
        }
    }

    // Authors' tools

    fn tend_tool(&mut self, place: usize) {
        let now = self.now();
        let tool = &mut self.tools[place];
        if tool.pushes.next_try > now {
            return;
        }
        let Some(line) = tool.line else { return self.connect_tool(place) };
        if !tool.open {
            return;
        }
        if tool.pushes.is_overdue(now) {
            // Whoever has it does not answer: the next machine may.
            (tool.line, tool.open, tool.at) = (None, false, tool.at + 1);
            tool.pushes.retry(now);
            return self.reactor.close(line);
        }
        let authors = &self.rig.authors;
        let sign = |author: u16, bytes: &[u8]| authors[usize::from(author)].sign(bytes);
        let Some(change) = tool.pushes.current(sign) else { return };
        self.reactor.send(line, &[&encode(&ToRelay::Push(change.clone()))]);
        tool.pushes.sent(now);
    }

    fn connect_tool(&mut self, place: usize) {
        let now = self.now();
        let tool = &mut self.tools[place];
        let machine = tool.machines[tool.at % tool.machines.len()];
        match self.reactor.connect(self.rig.relays[machine].address.at, CONNECT_WITHIN, TOOL_BOUNDS) {
            Ok(line) => tool.line = Some(line),
            Err(_) => {
                tool.at += 1;
                tool.pushes.put_off(now);
            }
        }
    }

    fn tool_readable(&mut self, place: usize, line: SocketId) {
        while let Ok(Some((message, used))) =
            decode::<ToWatcher>(self.reactor.input(line), MAX_RELAY_BODY_BYTES)
        {
            self.reactor.consume(line, used);
            if let ToWatcher::PushOutcome { change, outcome } = message {
                self.tool_outcome(place, change.sequence, outcome);
            }
        }
    }

    fn tool_outcome(&mut self, place: usize, sequence: u64, outcome: Result<Number, Rejection>) {
        let now = self.now();
        let highest = self.hosts.iter().map(|host| host.highest).max().unwrap_or(0);
        let tool = &mut self.tools[place];
        let Some(change) = tool.pushes.outcome_of(sequence) else { return };
        let settled = &mut self.seen.changes[change];
        match outcome {
            Ok(number) => {
                (settled.number, settled.settled) = (Some(number), Some(now));
                tool.pushes.settled(now, number);
            }
            // It was taken when it was pushed before, in a revision that is not told.
            Err(Rejection::Sequence(given, last)) if given <= last => {
                (settled.number, settled.settled) = (Some(highest), Some(now));
                tool.pushes.settled(now, highest);
            }
            Err(Rejection::Busy(_) | Rejection::Unknown) => tool.pushes.put_off(now),
            Err(rejection) => {
                settled.settled = Some(now);
                tool.pushes.settled(now, highest);
                self.seen.turned_down.push(rejection.to_string());
            }
        }
    }

    // The end

    fn finish_hosts(&mut self) {
        self.finishing = true;
        self.seen.machines = self.rig.used();
        self.seen.machine_memory = self.rig.resident();
        for line in self.hosts.iter().filter_map(|host| host.line).collect::<Vec<_>>() {
            say(&mut self.reactor, line, &Order::Finish);
        }
    }

    /// What was seen of hollow and of real controllers.
    fn finish(mut self) -> Result<(Observations, Observations)> {
        self.reactor.close(self.listener);
        let mut real = self.real.finish();
        self.seen.disk_stalled = self.disk.finish();
        let mut memory = 0;
        for host in &self.hosts {
            let text = std::fs::read(&host.result).with_context(|| host.result.display().to_string())?;
            let result: HostResult = serde_json::from_slice(&text)?;
            self.seen.acted_on.merge(&result.acted_on);
            self.seen.transitions.extend(result.transitions);
            self.seen.seconds.merge(&Seconds::of_counts(&result.seconds));
            self.seen.members.extend(result.used.iter().map(|(controller, _)| *controller));
            self.seen.controllers.extend(result.used.iter().map(|(_, used)| *used));
            self.seen.stalled = self.seen.stalled.max(result.stalled);
            memory += result.resident.saturating_sub(result.resident_before);
        }
        self.seen.controller_memory = memory / self.seen.members.len().max(1) as u64;
        real.changes.clone_from(&self.seen.changes);
        real.away.clone_from(&self.seen.away);
        real.machines.clone_from(&self.seen.machines);
        real.machine_memory = self.seen.machine_memory;
        (real.stalled, real.disk_stalled) = (self.seen.stalled, self.seen.disk_stalled);
        Ok((self.seen, real))
    }
}
