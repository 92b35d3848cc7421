//! Simulated control machines: started, killed, tended, and what they want carried out.

use std::time::Duration;

use badgerledge_distribution::control::{self, ControlMachine, ControlOutput};
use badgerledge_distribution::message::{encode, ToWatcher};

use super::connections::{ConnectionId, End, OPENER, TAKER};
use super::hand::SimulatedHand;
use super::network::wire_bytes;
use super::{seed_of, timed, Event, Simulation, LEAST_STEP, PEER_RETRY};

impl Simulation {
    pub(super) fn start_machine(&mut self, machine: u16) {
        let place = usize::from(machine);
        let seed = seed_of(&mut self.chance);
        let seat = &mut self.machines[place];
        seat.life += 1;
        seat.host_off = false;
        seat.due = Duration::MAX;
        let hand = SimulatedHand { me: machine, ..self.hand.clone() };
        let config = control::Config::new(machine, seat.life);
        let (stored, genesis) = (seat.disk.clone(), self.genesis.clone());
        seat.state = Some(ControlMachine::new(config, hand, stored, genesis, seed, self.now));
        for other in 0..self.machines.len() as u16 {
            if other != machine {
                let (low, high) = (machine.min(other), machine.max(other));
                self.queue.push(self.now + LEAST_STEP, Event::ConnectPeers(low, high));
            }
        }
        self.schedule_machine(machine);
    }

    pub(super) fn kill_machine(&mut self, machine: u16, silent: bool) {
        let seat = &mut self.machines[usize::from(machine)];
        if seat.state.take().is_none() {
            return;
        }
        (seat.due, seat.host_off) = (Duration::MAX, silent);
        seat.peers.clear();
        let ends = self.connections.of(|end| *end == End::Machine(machine));
        ends.into_iter().for_each(|(connection, side)| self.end_dies(connection, side, silent));
    }

    pub(super) fn lose_machine_disk(&mut self, machine: u16) {
        self.machines[usize::from(machine)].disk = control::Stored::default();
    }

    pub(super) fn tend_machine(&mut self, machine: u16, life: u32) {
        let seat = &mut self.machines[usize::from(machine)];
        if seat.life == life && seat.state.is_some() && seat.due <= self.now {
            seat.due = Duration::MAX;
            self.with_machine(machine, |state, now, out| state.tend(now, out));
        }
    }

    pub(super) fn schedule_machine(&mut self, machine: u16) {
        let seat = &mut self.machines[usize::from(machine)];
        let Some(due) = seat.state.as_ref().map(ControlMachine::next_due) else { return };
        if due < seat.due {
            seat.due = due.max(self.now + LEAST_STEP);
            self.queue.push(seat.due, Event::TendMachine(machine, seat.life));
        }
    }

    pub(super) fn count_machine(&mut self, machine: u16, frame: usize, inwards: bool) {
        let used = &mut self.machines[usize::from(machine)].used;
        used.messages += 1;
        if inwards {
            used.bytes_in += wire_bytes(frame);
        } else {
            used.bytes_out += wire_bytes(frame);
        }
    }

    /// Calls into a control machine, with its processor time counted, and carries out what it wants.
    pub(super) fn with_machine(
        &mut self, machine: u16,
        call: impl FnOnce(&mut ControlMachine<SimulatedHand>, Duration, &mut Vec<ControlOutput>),
    ) {
        let (now, mut out) = (self.now, Vec::new());
        let seat = &mut self.machines[usize::from(machine)];
        let Some(state) = &mut seat.state else { return };
        let mut frames = Vec::new();
        let cpu = timed(&self.hand, || {
            call(state, now, &mut out);
            for output in &out {
                match output {
                    ControlOutput::ToPeer(_, message) => frames.push(encode(message)),
                    ControlOutput::ToWatcher(_, message) => frames.push(encode(message.as_ref())),
                    _ => {}
                }
            }
        });
        seat.used.cpu += cpu;
        let mut frames = frames.into_iter();
        for output in out {
            match output {
                ControlOutput::Store(item) => self.machines[usize::from(machine)].store(item),
                ControlOutput::ToPeer(peer, _) => {
                    let connection = self.machines[usize::from(machine)].peers.get(&peer).copied();
                    if let (Some(connection), Some(frame)) = (connection, frames.next()) {
                        self.count_machine(machine, frame.len(), false);
                        let side = if machine < peer { OPENER } else { TAKER };
                        self.send(connection, side, frame);
                    }
                }
                ControlOutput::ToWatcher(connection, message) => {
                    let Some(frame) = frames.next() else { continue };
                    let lost = self.broken.no_deltas && matches!(*message, ToWatcher::Delta { .. });
                    if !lost {
                        self.count_machine(machine, frame.len(), false);
                        self.send(connection, TAKER, frame);
                    }
                }
                ControlOutput::CloseWatcher(connection, _) => self.close(connection, TAKER),
            }
        }
        self.schedule_machine(machine);
    }

    pub(super) fn connect_peers(&mut self, low: u16, high: u16) {
        let [first, second] = [low, high].map(|machine| &self.machines[usize::from(machine)]);
        // Who comes back connects again; what the other end still has of the former life breaks then.
        if first.state.is_none() || second.state.is_none() || first.peers.contains_key(&high) {
            return;
        }
        let zone = first.zone;
        let connection = self.dial(End::Machine(low), zone, high);
        self.machines[usize::from(low)].peers.insert(high, connection);
    }

    pub(super) fn peers_opened(&mut self, id: ConnectionId, low: u16, high: u16) {
        let before = self.machines[usize::from(high)].peers.insert(low, id);
        if let Some(before) = before.filter(|before| *before != id) {
            self.connections.shut_both(before);
            self.with_machine(high, |state, now, _| state.peer_down(now, low));
        }
        self.with_machine(high, |state, now, out| state.peer_up(now, low, out));
        self.with_machine(low, |state, now, out| state.peer_up(now, high, out));
    }

    pub(super) fn peer_lost(&mut self, id: ConnectionId, machine: u16, peer: u16) {
        let peers = &mut self.machines[usize::from(machine)].peers;
        if peers.get(&peer) == Some(&id) {
            peers.remove(&peer);
            self.with_machine(machine, |state, now, _| state.peer_down(now, peer));
        }
        let (low, high) = (machine.min(peer), machine.max(peer));
        self.queue.push(self.now + PEER_RETRY, Event::ConnectPeers(low, high));
    }
}
