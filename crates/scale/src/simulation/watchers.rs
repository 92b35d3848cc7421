//! Simulated controllers: started, killed, tended, and what they want carried out.

use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_distribution::control;
use badgerledge_distribution::message::{encode, ToWatcher, MAX_RELAY_BODY_BYTES};
use badgerledge_distribution::state::State;
use badgerledge_distribution::watcher::{Stored, Watcher, WatcherConfig, WatcherOutput};
use badgerledge_distribution::ControllerId;

use super::connections::{ConnectionId, End, OPENER};
use super::hand::SimulatedHand;
use super::network::wire_bytes;
use super::{decoded, seed_of, timed, Event, Simulation, LEAST_STEP};

impl Simulation {
    pub(super) fn start_watcher(&mut self, controller: ControllerId, with_disk: bool) {
        let seat = &mut self.watchers[controller as usize];
        seat.life += 1;
        seat.host_off = false;
        let stored = seat.disk.as_ref().filter(|_| with_disk).and_then(|disk| Stored::read(disk).ok());
        // Who lost its disk lost its file too: all of the configuration has to come.
        let own = if with_disk { self.genesis.clone() } else { State::new() };
        let seed = seed_of(&mut self.chance);
        let mut nonces = Rng(seed_of(&mut self.chance));
        let config = WatcherConfig {
            controller,
            relays: seat.relays.len(),
            activation_delay: control::Config::new(0, 1).activation_delay,
            regional: self.scenario.fleet.apart_s > 0,
            check: Box::new(|_, _| Ok(())),
            nonce: Box::new(move || std::array::from_fn(|_| (nonces.unit_interval() * 256.0) as u8)),
        };
        seat.state = Some(Watcher::new(self.hand.clone(), config, own, stored, seed, self.now));
        seat.due = Duration::MAX;
        self.watch(controller);
        self.schedule_watcher(controller);
        if let Some(last) = self.seen.away.get_mut(&controller).and_then(|away| away.last_mut()) {
            last.1 = last.1.min(self.now);
        }
    }

    pub(super) fn kill_watcher(&mut self, controller: ControllerId, silent: bool) {
        let seat = &mut self.watchers[controller as usize];
        if seat.state.take().is_none() {
            return;
        }
        (seat.due, seat.host_off) = (Duration::MAX, silent);
        let connections = std::mem::take(&mut seat.connections);
        self.watch(controller);
        connections.into_values().for_each(|connection| self.end_dies(connection, OPENER, silent));
        self.seen.away.entry(controller).or_default().push((self.now, Duration::MAX));
    }

    pub(super) fn end_dies(&mut self, connection: ConnectionId, side: usize, silent: bool) {
        if silent {
            self.connections.shut(connection, side);
        } else {
            self.close(connection, side);
        }
    }

    pub(super) fn tend_watcher(&mut self, controller: ControllerId, life: u32) {
        let seat = &mut self.watchers[controller as usize];
        if seat.life == life && seat.state.is_some() && seat.due <= self.now {
            seat.due = Duration::MAX;
            self.with_watcher(controller, |state, now, out| state.poll(now, out));
        }
    }

    pub(super) fn schedule_watcher(&mut self, controller: ControllerId) {
        let seat = &mut self.watchers[controller as usize];
        let Some(due) = seat.state.as_ref().map(Watcher::next_poll_at) else { return };
        if due < seat.due {
            seat.due = due.max(self.now + LEAST_STEP);
            self.queue.push(seat.due, Event::TendWatcher(controller, seat.life));
        }
    }

    /// Calls into a watcher, with its processor time counted, and carries out what it wants.
    pub(super) fn with_watcher(
        &mut self, controller: ControllerId,
        call: impl FnOnce(&mut Watcher<SimulatedHand>, Duration, &mut Vec<WatcherOutput>),
    ) {
        self.watch(controller);
        let (now, mut out) = (self.now, Vec::new());
        let seat = &mut self.watchers[controller as usize];
        let Some(state) = &mut seat.state else { return };
        let mut frames = Vec::new();
        let cpu = timed(&self.hand, || {
            call(state, now, &mut out);
            for output in &out {
                if let WatcherOutput::Send(relay, message) = output {
                    frames.push((*relay, encode(message)));
                }
            }
        });
        seat.cpu += cpu;
        let mut frames = frames.into_iter();
        for output in out {
            match output {
                WatcherOutput::Connect(relay) => self.watcher_connects(controller, relay),
                WatcherOutput::Close(relay) => {
                    let connection = self.watchers[controller as usize].connections.remove(&relay);
                    connection.into_iter().for_each(|connection| self.close(connection, OPENER));
                }
                WatcherOutput::Send(..) => {
                    if let Some((relay, frame)) = frames.next() {
                        self.watcher_sends(controller, relay, frame);
                    }
                }
                WatcherOutput::Store(request) => self.watchers[controller as usize].store(request),
                WatcherOutput::Changed | WatcherOutput::Unfit { .. } => {}
            }
        }
        self.watch(controller);
        self.schedule_watcher(controller);
    }

    pub(super) fn watcher_connects(&mut self, controller: ControllerId, relay: usize) {
        let seat = &self.watchers[controller as usize];
        let Some(machine) = seat.relays.get(relay).copied() else { return };
        let connection = self.dial(End::Watcher { controller, relay }, seat.zone, machine);
        let before = self.watchers[controller as usize].connections.insert(relay, connection);
        before.into_iter().for_each(|before| self.close(before, OPENER));
    }

    pub(super) fn watcher_sends(&mut self, controller: ControllerId, relay: usize, frame: Vec<u8>) {
        let seat = &mut self.watchers[controller as usize];
        let Some(connection) = seat.connections.get(&relay).copied() else { return };
        seat.meter.note(self.now, wire_bytes(frame.len()), false, &mut self.seen.seconds);
        self.send(connection, OPENER, frame);
    }

    pub(super) fn watcher_frame(&mut self, controller: ControllerId, relay: usize, bytes: &[u8]) {
        let seat = &mut self.watchers[controller as usize];
        seat.meter.note(self.now, wire_bytes(bytes.len()), true, &mut self.seen.seconds);
        self.with_watcher(controller, |state, now, out| {
            match decoded::<ToWatcher>(bytes, MAX_RELAY_BODY_BYTES) {
                Some(message) => state.on_message(now, relay, message, out),
                None => state.on_closed(now, relay, out),
            }
        });
    }
}
