//! Simulated control machines: started, killed, tended, and what they want carried out.

use std::time::Duration;

use badgerledge_deployment::is_exclusive;
use badgerledge_distribution::control::{self, ControlMachine, ControlOutput};
use badgerledge_distribution::message::{encode, ToWatcher};

use super::connections::{End, TAKER};
use super::hand::SimulatedHand;
use super::network::wire_bytes;
use super::{seed_of, timed, Event, Simulation, LEAST_STEP};

impl Simulation {
    pub(super) fn start_machine(&mut self, machine: u16) {
        let place = usize::from(machine);
        let seed = seed_of(&mut self.chance);
        let seat = &mut self.machines[place];
        seat.life += 1;
        seat.host_off = false;
        seat.due = Duration::MAX;
        let hand = SimulatedHand { me: machine, ..self.hand.clone() };
        let apart = Duration::from_secs(self.scenario.fleet.apart_s);
        let config = control::Config { max_partition: apart, ..control::Config::new(machine, seat.life) };
        let (stored, genesis) = (seat.disk.clone(), self.genesis.clone());
        let mut state = ControlMachine::new(config, hand, stored, genesis, seed, self.now);
        state.set_exclusive_check(Box::new(is_exclusive));
        seat.state = Some(state);
        self.connect_all_peers(machine);
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
            self.with_machine(machine, |state, now, out| state.poll(now, out));
        }
    }

    pub(super) fn schedule_machine(&mut self, machine: u16) {
        let seat = &mut self.machines[usize::from(machine)];
        let Some(due) = seat.state.as_ref().map(ControlMachine::next_poll_at) else { return };
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
                    let Some(frame) = frames.next() else { continue };
                    self.send_to_peer(machine, peer, frame);
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
}
