//! A fleet of state machines in simulated time: deterministic for a seed, but for the processor time that is measured.

pub mod connections;
mod hand;
mod machines;
mod members;
pub mod network;
mod peers;
pub mod queue;
mod strikes;
mod tools;
mod watchers;
mod wiring;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerledge_core::random::Rng;
use badgerledge_distribution::control;
use badgerledge_distribution::message::decode;
use badgerledge_distribution::state::State;
use badgerledge_distribution::watcher::relay_order;
use badgerledge_distribution::{lease, ControllerId};
use badgerledge_revisions::AcceptorState;
use serde::de::DeserializeOwned;

use crate::figures::{Figures, Title};
use crate::machine::{resident_bytes, thread_cpu};
use crate::observations::{Meter, Observations, Transition, Used};
use crate::scenario::Scenario;
use crate::timeline::{returning_with_disks, timeline};
use crate::workload::{genesis, Pushes};
use connections::{Arrival, ConnectionId, Connections};
pub use hand::{Signatures, SimulatedHand, CHECK_COST, SIGN_COST};
use members::{MachineSeat, ToolSeat, WatcherSeat};
use network::Paths;
use queue::Queue;

/// How long a connection to a machine that does not answer is tried.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// What all controllers act on is looked at so often beside their own events: so exact are times at which they cease to.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Members start spread over this.
const START_SPREAD: Duration = Duration::from_secs(5);
/// A member that wants to be tended at once is, this much later.
const LEAST_STEP: Duration = Duration::from_millis(1);
const PROGRESS_EVERY: Duration = Duration::from_secs(10);

enum Event {
    Arrive {
        connection: ConnectionId,
        side: usize,
        arrival: Arrival,
    },
    /// A connection that was asked for stands, or does not.
    Opened(ConnectionId),
    Failed(ConnectionId),
    TendWatcher(ControllerId, u32),
    TendMachine(u16, u32),
    TendTool(u16),
    StartWatcher(ControllerId, bool),
    /// A machine, in this life, connects to another.
    ConnectPeer(u16, u16, u32),
    PeerUp(ConnectionId),
    PingPeers,
    Look,
    Timeline(usize),
}

/// What a check of the bounds is shown to bite by.
#[derive(Clone, Copy, Debug, Default)]
pub struct Broken {
    /// Controllers are taken to act on what they have whether or not they hold back.
    pub no_lease: bool,
    /// Control machines push nothing down: deltas are lost on their way.
    pub no_deltas: bool,
}

pub struct Simulation {
    scenario: Scenario,
    broken: Broken,
    now: Duration,
    queue: Queue<Event>,
    paths: Paths,
    connections: Connections,
    watchers: Vec<WatcherSeat>,
    machines: Vec<MachineSeat>,
    tools: Vec<ToolSeat>,
    timeline: Vec<crate::timeline::At>,
    genesis: State,
    hand: SimulatedHand,
    chance: Rng,
    seen: Observations,
    memory_before: u64,
    show_progress: bool,
}

/// Plays a scenario, and gives its figures.
///
/// # Errors
/// Where the configuration that it starts with is over the bounds.
pub fn play(scenario: &Scenario, broken: Broken, show_progress: bool) -> Result<Figures> {
    let begun = Instant::now();
    let mut simulation = Simulation::new(scenario, broken, show_progress)?;
    simulation.run();
    let bound = simulation.bound();
    let seen = simulation.finish();
    let title = Title { scenario, kind: "simulated", bound, took: begun.elapsed() };
    Ok(Figures::of(&title, &seen))
}

impl Simulation {
    /// # Errors
    /// Where the configuration that it starts with is over the bounds.
    pub fn new(scenario: &Scenario, broken: Broken, show_progress: bool) -> Result<Self> {
        let fleet = &scenario.fleet;
        let hand = SimulatedHand {
            me: 0,
            machines: Rc::new((0..fleet.control_machines).collect()),
            acceptors: Rc::new(fleet.acceptor_machines()),
            count: Rc::new(Cell::new(Signatures::default())),
        };
        let seed = scenario.run.seed;
        let mut simulation = Self {
            broken,
            now: Duration::ZERO,
            queue: Queue::default(),
            paths: Paths::new(scenario.network.clone(), fleet.clone(), seed ^ 0x6e65_7477),
            connections: Connections::default(),
            watchers: Vec::new(),
            machines: Vec::new(),
            tools: Vec::new(),
            timeline: timeline(scenario),
            genesis: genesis(fleet, &scenario.load)?,
            hand,
            chance: Rng(seed),
            seen: Observations::default(),
            memory_before: resident_bytes(std::process::id()),
            show_progress,
            scenario: scenario.clone(),
        };
        simulation.chance.unit_interval();
        simulation.seat_all();
        Ok(simulation)
    }

    fn seat_all(&mut self) {
        let fleet = self.scenario.fleet.clone();
        let keep_disks = returning_with_disks(&self.timeline);
        for machine in 0..fleet.control_machines {
            self.machines.push(self.machine_seat(machine));
        }
        for machine in 0..fleet.control_machines {
            self.start_machine(machine);
        }
        for controller in 0..fleet.controllers {
            let zone = fleet.zone_of_controller(controller);
            let relays = self.relays_of(controller, zone);
            self.watchers.push(WatcherSeat {
                state: None,
                life: 0,
                host_off: false,
                due: Duration::MAX,
                zone,
                relays,
                connections: Default::default(),
                disk: keep_disks.contains(&controller).then(Vec::new),
                meter: Meter::default(),
                cpu: Duration::ZERO,
                acts_on: None,
            });
            let at = self.chance.random_duration(START_SPREAD);
            self.queue.push(at, Event::StartWatcher(controller, true));
        }
        for author in 0..self.scenario.load.at_once as u16 {
            let zone = author % fleet.zones();
            let machines = self.relays_of(u32::MAX - u32::from(author), zone);
            let pushes = Pushes::new(author, &self.scenario.load);
            let due = Duration::MAX;
            self.tools.push(ToolSeat { pushes, zone, machines, at: 0, connection: None, due });
        }
        for (index, entry) in self.timeline.iter().enumerate() {
            self.queue.push(entry.at, Event::Timeline(index));
        }
        self.queue.push(LOOK_EVERY, Event::Look);
        self.queue.push(peers::PING_EVERY, Event::PingPeers);
    }

    fn machine_seat(&self, machine: u16) -> MachineSeat {
        let founded = badgerledge_revisions::StoredState {
            acceptor: Some(AcceptorState::default()),
            ..Default::default()
        };
        let acceptor = self.hand.acceptors.contains(&machine);
        let agreement = acceptor.then(|| founded.write());
        MachineSeat {
            state: None,
            life: 0,
            host_off: false,
            due: Duration::MAX,
            zone: self.scenario.fleet.zone_of_machine(machine),
            peers: Default::default(),
            failed_tries: Default::default(),
            disk: control::Stored { agreement, ..Default::default() },
            used: Used::default(),
        }
    }

    /// Control machines in the order of preference of who is in that zone.
    fn relays_of(&self, controller: ControllerId, zone: u16) -> Vec<u16> {
        let fleet = &self.scenario.fleet;
        let machines: Vec<(u16, bool)> = (0..fleet.control_machines)
            .map(|machine| (machine, fleet.zone_of_machine(machine) == zone))
            .collect();
        relay_order(controller, &machines).into_iter().map(|place| machines[place].0).collect()
    }

    /// The bound on contradictions that the protocol states.
    pub fn bound(&self) -> Duration {
        lease::contradiction_bound(control::Config::new(0, 1).activation_delay)
    }

    /// Plays to the end.
    pub fn run(&mut self) {
        let end = self.scenario.end();
        let warm = self.scenario.warm_up();
        let mut next_progress = Duration::ZERO;
        let mut counting = false;
        while let Some((at, event)) = self.queue.pop(end) {
            self.now = self.now.max(at);
            if !counting && self.now >= warm {
                counting = true;
                self.start_counting();
            }
            if self.show_progress && self.now >= next_progress {
                self.progress();
                next_progress += PROGRESS_EVERY;
            }
            self.happen(event);
        }
        self.now = end;
    }

    /// What was used until now was of the start.
    fn start_counting(&mut self) {
        for seat in &mut self.watchers {
            seat.meter.restart(self.now);
            seat.cpu = Duration::ZERO;
        }
        self.seen.seconds = Default::default();
        self.machines.iter_mut().for_each(|seat| seat.used = Used::default());
    }

    fn progress(&self) {
        let acting = self.watchers.iter().filter(|seat| seat.acts_on.is_some()).count();
        let highest = self.watchers.iter().filter_map(|seat| seat.acts_on).max().unwrap_or(0);
        eprintln!(
            "  {:>6.1} s: {acting} of {} controllers act, on {highest} at most; {} connections",
            self.now.as_secs_f64(),
            self.watchers.len(),
            self.connections.count()
        );
    }

    /// What was seen.
    pub fn finish(mut self) -> Observations {
        let now = self.now;
        for seat in &mut self.watchers {
            seat.meter.roll(now, &mut self.seen.seconds);
        }
        let grown = resident_bytes(std::process::id()).saturating_sub(self.memory_before);
        self.seen.controller_memory = grown / self.watchers.len().max(1) as u64;
        self.seen.members = (0..self.watchers.len() as u32).collect();
        self.seen.controllers = self.watchers.iter().map(WatcherSeat::used).collect();
        self.seen.machines = self.machines.iter().map(|seat| seat.used).collect();
        for spans in self.seen.away.values_mut() {
            // Who is away to the end never came back.
            spans.retain_mut(|(_, to)| {
                *to = (*to).min(now);
                true
            });
        }
        self.seen
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive { connection, side, arrival } => self.arrived(connection, side, arrival),
            Event::Opened(connection) => self.opened(connection),
            Event::Failed(connection) => self.failed(connection),
            Event::TendWatcher(controller, life) => self.tend_watcher(controller, life),
            Event::TendMachine(machine, life) => self.tend_machine(machine, life),
            Event::TendTool(tool) => self.tend_tool(tool),
            Event::StartWatcher(controller, with_disk) => self.start_watcher(controller, with_disk),
            Event::ConnectPeer(machine, other, life) => self.connect_peer(machine, other, life),
            Event::PeerUp(connection) => self.peer_up(connection),
            Event::PingPeers => self.ping_peers(),
            Event::Look => self.look(),
            Event::Timeline(index) => {
                let what = self.timeline[index].what.clone();
                self.strike(what);
            }
        }
    }

    /// Looks at what all controllers act on.
    fn look(&mut self) {
        (0..self.watchers.len()).for_each(|controller| self.watch(controller as u32));
        let dues = self.connections.given_up(self.now);
        self.put_all(dues);
        self.queue.push(self.now + LOOK_EVERY, Event::Look);
    }

    /// Notes what a controller acts on now.
    fn watch(&mut self, controller: ControllerId) {
        let seat = &mut self.watchers[controller as usize];
        let acting = seat.state.as_ref().map(|state| state.acting(self.now));
        let acts_on = acting.filter(|acting| acting.hold_reason.is_none() || self.broken.no_lease);
        let acts_on = acts_on.map(|acting| acting.active);
        if let Some(number) = acts_on {
            self.seen.acted_on.note(number, self.now);
        }
        if acts_on != seat.acts_on {
            seat.acts_on = acts_on;
            self.seen.transitions.push(Transition { controller, at: self.now, acts_on });
        }
    }
}

fn decoded<M: DeserializeOwned>(bytes: &[u8], longest: usize) -> Option<M> {
    decode(bytes, longest).ok().flatten().map(|(message, _)| message)
}

/// The processor time of a call, with what its signatures would have taken.
fn timed(hand: &SimulatedHand, call: impl FnOnce()) -> Duration {
    hand.count.set(Signatures::default());
    let begun = thread_cpu();
    call();
    thread_cpu().saturating_sub(begun) + hand.count.get().cost()
}

/// A seed for something else.
pub fn seed_of(chance: &mut Rng) -> u64 {
    (chance.unit_interval() * (1u64 << 32) as f64) as u64
        ^ ((chance.unit_interval() * (1u64 << 32) as f64) as u64) << 32
}
