//! A process of many watchers over one event loop.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_core::random::Rng;
use badgerledge_distribution::control;
use badgerledge_distribution::message::{
    decode, encode, ToWatcher, MAX_RELAY_BODY_BYTES, MAX_WATCHER_BODY_BYTES,
};
use badgerledge_distribution::state::State;
use badgerledge_distribution::watcher::{
    relay_order, StoreRequest, Stored, Watcher, WatcherConfig, WatcherOutput,
};
use badgerledge_distribution::{Author, ControllerId, MachineId, Number, Signature, Signer};
use badgerledge_keys::{Ring, Verifier};
use badgerledge_reactor::{raise_descriptors, Bounds, Reactor, ReactorEvent, SocketId};

use super::orders::{hear, say, HostResult, HostSettings, Order, RelayAddress, Report};
use crate::machine::{monotonic, process_cpu, resident_bytes};
use crate::observations::{Meter, Observations, Transition, Used};
use crate::simulation::network::wire_bytes;
use crate::simulation::seed_of;
use crate::workload::genesis;

const CONNECT_WITHIN: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(100);
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Bytes of a frame beside its body.
const HEADER: usize = 64;
const BOUNDS: Bounds =
    Bounds { input: MAX_RELAY_BODY_BYTES + HEADER, output: MAX_WATCHER_BODY_BYTES + HEADER };
const ORDER_BOUNDS: Bounds = Bounds { input: 1 << 20, output: 1 << 20 };
/// Tokens of due times: a controller's own to be tended, and these.
const START: u64 = 1 << 32;
const LOOK: u64 = 1 << 33;

/// One ring for all watchers of the process.
#[derive(Clone)]
struct SharedVerifier(Rc<Verifier>);

impl Signer for SharedVerifier {
    fn sign(&self, bytes: &[u8]) -> Signature {
        self.0.sign(bytes)
    }
    fn verify_member(&self, member: MachineId, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_member(member, bytes, signature)
    }
    fn verify_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_author(author, bytes, signature)
    }
    fn verify_author_any_key(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        self.0.verify_author_any_key(author, bytes, signature)
    }
    fn members(&self) -> &[MachineId] {
        self.0.members()
    }
    fn acceptors(&self) -> &[MachineId] {
        self.0.acceptors()
    }
}

struct Seat {
    controller: ControllerId,
    state: Option<Watcher<SharedVerifier>>,
    /// The control machines in the order of its preference.
    relays: Vec<RelayAddress>,
    lines: BTreeMap<usize, SocketId>,
    due: Duration,
    disk: Option<Vec<u8>>,
    meter: Meter,
    acts_on: Option<Number>,
}

struct Host {
    settings: HostSettings,
    reactor: Reactor,
    orders: SocketId,
    hand: SharedVerifier,
    genesis: State,
    seats: Vec<Seat>,
    by_controller: BTreeMap<ControllerId, usize>,
    /// The seat and the relay's place of a line.
    by_line: BTreeMap<SocketId, (usize, usize)>,
    seen: Observations,
    chance: Rng,
    look_at: Duration,
    report_at: Duration,
    counting: bool,
    /// When the last call into a member ended, and the longest time that one took.
    stepped: Duration,
    stalled: Duration,
    resident_before: u64,
    cpu_before: Duration,
    over: bool,
}

/// Hosts watchers until it is told to finish, the run is gone, or its time is over.
///
/// # Errors
/// Where its files are not in order, or the loop fails.
pub fn serve(path: &Path) -> Result<()> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let settings: HostSettings = serde_json::from_str(&text).with_context(|| path.display().to_string())?;
    let mut host = Host::new(settings)?;
    host.run()
}

impl Host {
    fn new(settings: HostSettings) -> Result<Self> {
        raise_descriptors();
        let mut reactor = Reactor::new(monotonic().saturating_sub(settings.zero))?;
        let orders = reactor.connect(settings.orchestrator, CONNECT_WITHIN, ORDER_BOUNDS)?;
        let ring = Ring::read(&settings.ring)?;
        let hand = SharedVerifier(Rc::new(Verifier::new(ring)));
        let genesis = genesis(&settings.fleet, &settings.load)?;
        let now = reactor.now();
        let mut chance = Rng(settings.seed);
        chance.unit_interval();
        let mut host = Self {
            resident_before: resident_bytes(std::process::id()),
            cpu_before: Duration::ZERO,
            reactor,
            orders,
            hand,
            genesis,
            seats: Vec::new(),
            by_controller: BTreeMap::new(),
            by_line: BTreeMap::new(),
            seen: Observations::default(),
            chance,
            look_at: now + LOOK_EVERY,
            report_at: now + REPORT_EVERY,
            counting: false,
            stepped: now,
            stalled: Duration::ZERO,
            over: false,
            settings,
        };
        host.seat_all();
        Ok(host)
    }

    fn seat_all(&mut self) {
        let keep_disks: BTreeSet<ControllerId> = self.settings.keep_disks.iter().copied().collect();
        let now = self.reactor.now();
        let spread = self.settings.started_by.saturating_sub(now);
        for (place, controller) in self.settings.controllers.clone().into_iter().enumerate() {
            let zone = self.settings.fleet.zone_of_controller(controller);
            let all = &self.settings.relays;
            let in_zone = |relay: &RelayAddress| {
                (relay.machine, self.settings.fleet.zone_of_machine(relay.machine) == zone)
            };
            let known: Vec<_> = all.iter().map(in_zone).collect();
            let relays = relay_order(controller, &known).into_iter().map(|place| all[place]).collect();
            self.seats.push(Seat {
                controller,
                state: None,
                relays,
                lines: BTreeMap::new(),
                due: Duration::MAX,
                disk: keep_disks.contains(&controller).then(Vec::new),
                meter: Meter::default(),
                acts_on: None,
            });
            self.by_controller.insert(controller, place);
            let at = now + self.chance.random_duration(spread);
            self.reactor.set_timer(at, START + place as u64);
        }
        self.reactor.set_timer(self.look_at, LOOK);
    }

    fn run(&mut self) -> Result<()> {
        let mut told = Vec::new();
        while !self.over {
            self.reactor.wait(Some(self.settings.over_at), &mut told).context("event loop")?;
            let now = self.reactor.now();
            if now >= self.settings.over_at {
                bail!("the run's time is over");
            }
            self.stepped = now;
            for happening in told.drain(..) {
                self.take(happening)?;
                self.step();
            }
            self.reactor.flush();
        }
        Ok(())
    }

    /// Looks at the clock between two calls into members: one that took long is a process that stood still.
    fn step(&mut self) {
        let now = self.reactor.clock();
        self.stalled = self.stalled.max(now.saturating_sub(self.stepped));
        self.stepped = now;
        if now >= self.look_at {
            self.look();
        }
    }

    fn take(&mut self, happening: ReactorEvent) -> Result<()> {
        match happening {
            ReactorEvent::Opened(line) if line == self.orders => {
                let number = self.settings.number;
                say(&mut self.reactor, line, &Report::Ready { number });
            }
            ReactorEvent::Readable(line) if line == self.orders => self.take_orders()?,
            ReactorEvent::Closed(line, _) if line == self.orders => bail!("the run is gone"),
            ReactorEvent::Opened(line) => {
                if let Some((seat, relay)) = self.by_line.get(&line).copied() {
                    self.with(seat, |state, now, out| state.on_connected(now, relay, out));
                }
            }
            ReactorEvent::Readable(line) => self.readable(line),
            ReactorEvent::Closed(line, _) => {
                self.readable(line);
                self.lost(line);
            }
            // A look that is due takes place in the step.
            ReactorEvent::Timer(LOOK) => {}
            ReactorEvent::Timer(token) if token >= START => self.start((token - START) as usize, true),
            ReactorEvent::Timer(token) => self.tend(token as usize),
            _ => {}
        }
        Ok(())
    }

    fn take_orders(&mut self) -> Result<()> {
        while let Some(order) = hear::<Order>(&mut self.reactor, self.orders) {
            match order {
                Order::Kill { controllers } => {
                    self.places(&controllers).into_iter().for_each(|seat| self.kill(seat));
                }
                Order::Start { controllers, without_disk } => {
                    for seat in self.places(&controllers) {
                        if without_disk {
                            self.seats[seat].disk.iter_mut().for_each(Vec::clear);
                        }
                        self.start(seat, !without_disk);
                    }
                }
                Order::Finish => self.finish()?,
            }
        }
        Ok(())
    }

    fn places(&self, controllers: &[ControllerId]) -> Vec<usize> {
        controllers.iter().filter_map(|controller| self.by_controller.get(controller).copied()).collect()
    }

    fn start(&mut self, place: usize, with_disk: bool) {
        let now = self.reactor.now();
        let seed = seed_of(&mut self.chance);
        let seat = &mut self.seats[place];
        let stored = seat.disk.as_ref().filter(|_| with_disk).and_then(|disk| Stored::read(disk).ok());
        // Who lost its disk lost its file too: all of the configuration has to come.
        let own = if with_disk { self.genesis.clone() } else { State::new() };
        let config = WatcherConfig {
            controller: seat.controller,
            relays: seat.relays.len(),
            activation_delay: control::Config::new(0, 1).activation_delay,
            regional: false,
            check: Box::new(|_, _| Ok(())),
            nonce: Box::new(draw_nonce),
        };
        seat.state = Some(Watcher::new(self.hand.clone(), config, own, stored, seed, now));
        self.watch(place, now);
        self.schedule(place);
    }

    fn kill(&mut self, place: usize) {
        let seat = &mut self.seats[place];
        seat.state = None;
        let lines = std::mem::take(&mut seat.lines);
        for line in lines.into_values() {
            self.by_line.remove(&line);
            self.reactor.close(line);
        }
        self.unschedule(place);
        self.watch(place, self.reactor.now());
    }

    fn tend(&mut self, place: usize) {
        self.seats[place].due = Duration::MAX;
        self.with(place, |state, now, out| state.poll(now, out));
    }

    fn unschedule(&mut self, place: usize) {
        let due = std::mem::replace(&mut self.seats[place].due, Duration::MAX);
        if due < Duration::MAX {
            self.reactor.cancel_timer(due, place as u64);
        }
    }

    fn schedule(&mut self, place: usize) {
        let Some(due) = self.seats[place].state.as_ref().map(Watcher::next_poll_at) else { return };
        if due != self.seats[place].due {
            self.unschedule(place);
            self.seats[place].due = due;
            self.reactor.set_timer(due, place as u64);
        }
    }

    /// Calls into a watcher and carries out what it wants.
    fn with(
        &mut self, place: usize,
        call: impl FnOnce(&mut Watcher<SharedVerifier>, Duration, &mut Vec<WatcherOutput>),
    ) {
        // The time by the clock: whoever waited its turn in a long round acts by what is so now.
        let now = self.reactor.clock();
        self.watch(place, now);
        let mut out = Vec::new();
        let Some(state) = &mut self.seats[place].state else { return };
        call(state, now, &mut out);
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => self.connect(place, relay),
                WatcherOutput::Close(relay) => self.close(place, relay),
                WatcherOutput::Send(relay, message) => self.send(place, relay, &encode(&message)),
                WatcherOutput::Store(StoreRequest::Replace(bytes)) => {
                    self.seats[place].disk.iter_mut().for_each(|disk| disk.clone_from(&bytes));
                }
                WatcherOutput::Store(StoreRequest::Append(bytes)) => {
                    self.seats[place].disk.iter_mut().for_each(|disk| disk.extend_from_slice(&bytes));
                }
                WatcherOutput::Changed | WatcherOutput::Unfit { .. } => {}
            }
        }
        self.watch(place, now);
        self.schedule(place);
    }

    fn connect(&mut self, place: usize, relay: usize) {
        self.close(place, relay);
        let Some(address) = self.seats[place].relays.get(relay) else { return };
        match self.reactor.connect(address.at, CONNECT_WITHIN, BOUNDS) {
            Ok(line) => {
                self.seats[place].lines.insert(relay, line);
                self.by_line.insert(line, (place, relay));
            }
            Err(_) => self.with(place, |state, now, out| state.on_closed(now, relay, out)),
        }
    }

    fn close(&mut self, place: usize, relay: usize) {
        if let Some(line) = self.seats[place].lines.remove(&relay) {
            self.by_line.remove(&line);
            self.reactor.close(line);
        }
    }

    fn send(&mut self, place: usize, relay: usize, frame: &[u8]) {
        let seat = &mut self.seats[place];
        let Some(line) = seat.lines.get(&relay).copied() else { return };
        if self.reactor.send(line, &[frame]) {
            let now = self.reactor.now();
            seat.meter.note(now, wire_bytes(frame.len()), false, &mut self.seen.seconds);
        }
    }

    fn readable(&mut self, line: SocketId) {
        while let Some((place, relay)) = self.by_line.get(&line).copied() {
            match decode::<ToWatcher>(self.reactor.input(line), MAX_RELAY_BODY_BYTES) {
                Ok(None) => return,
                Ok(Some((message, used))) => {
                    self.reactor.consume(line, used);
                    let now = self.reactor.now();
                    let meter = &mut self.seats[place].meter;
                    meter.note(now, wire_bytes(used), true, &mut self.seen.seconds);
                    self.with(place, |state, now, out| state.on_message(now, relay, message, out));
                }
                Err(_) => {
                    self.reactor.close(line);
                    return self.lost(line);
                }
            }
        }
    }

    fn lost(&mut self, line: SocketId) {
        let Some((place, relay)) = self.by_line.remove(&line) else { return };
        self.seats[place].lines.remove(&relay);
        self.with(place, |state, now, out| state.on_closed(now, relay, out));
    }

    /// Notes what a controller acts on at this time.
    fn watch(&mut self, place: usize, now: Duration) {
        let seat = &mut self.seats[place];
        let acting = seat.state.as_ref().map(|state| state.acting(now));
        let acts_on = acting.filter(|acting| acting.hold_reason.is_none()).map(|acting| acting.active);
        if let Some(number) = acts_on {
            self.seen.acted_on.note(number, now);
        }
        if acts_on != seat.acts_on {
            seat.acts_on = acts_on;
            self.seen.transitions.push(Transition { controller: seat.controller, at: now, acts_on });
        }
    }

    fn look(&mut self) {
        let now = self.reactor.clock();
        if !self.counting && now >= self.settings.count_from {
            self.count(now);
        }
        (0..self.seats.len()).for_each(|place| self.watch(place, now));
        if now >= self.report_at {
            self.report(now);
        }
        self.look_at = now + LOOK_EVERY;
        self.reactor.set_timer(self.look_at, LOOK);
        // To look at all of them takes its time.
        self.stepped = self.reactor.clock();
    }

    /// What was used until now was of the start.
    fn count(&mut self, now: Duration) {
        self.counting = true;
        self.stalled = Duration::ZERO;
        self.seen.seconds = Default::default();
        self.seats.iter_mut().for_each(|seat| seat.meter.restart(now));
        self.cpu_before = process_cpu(std::process::id()).unwrap_or_default();
    }

    fn report(&mut self, now: Duration) {
        self.report_at = now + REPORT_EVERY;
        let acting = self.seats.iter().filter(|seat| seat.acts_on.is_some()).count() as u32;
        let highest = self.seats.iter().filter_map(|seat| seat.acts_on).max().unwrap_or(0);
        let (number, stalled) = (self.settings.number, self.stalled);
        say(&mut self.reactor, self.orders, &Report::Progress { number, acting, highest, stalled });
    }

    fn finish(&mut self) -> Result<()> {
        let now = self.reactor.clock();
        let cpu = process_cpu(std::process::id()).unwrap_or_default().saturating_sub(self.cpu_before);
        let each = cpu / (self.seats.len().max(1) as u32);
        for seat in &mut self.seats {
            seat.meter.roll(now, &mut self.seen.seconds);
        }
        let used = |seat: &Seat| {
            let Meter { bytes_in, bytes_out, messages, .. } = seat.meter;
            (seat.controller, Used { bytes_in, bytes_out, messages, cpu: each })
        };
        let result = HostResult {
            acted_on: self.seen.acted_on.clone(),
            transitions: std::mem::take(&mut self.seen.transitions),
            seconds: self.seen.seconds.counts(),
            used: self.seats.iter().map(used).collect(),
            resident_before: self.resident_before,
            resident: resident_bytes(std::process::id()),
            stalled: self.stalled,
        };
        let path = &self.settings.result;
        std::fs::write(path, serde_json::to_vec(&result)?).with_context(|| path.display().to_string())?;
        let number = self.settings.number;
        say(&mut self.reactor, self.orders, &Report::Done { number });
        self.reactor.flush();
        self.over = true;
        Ok(())
    }
}

/// A nonce from the system's source of randomness.
fn draw_nonce() -> badgerledge_distribution::lease::Nonce {
    let mut nonce = [0; 16];
    // Without randomness nothing here is worth measuring: a nonce of zeros shows as a lease refused.
    let _ = getrandom::fill(&mut nonce);
    nonce
}
