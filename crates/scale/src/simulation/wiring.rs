//! Connections of a simulated fleet: made, refused, broken, and what arrives on them.

use std::time::Duration;

use badgerledge_distribution::message::{ToRelay, MAX_WATCHER_BODY_BYTES};

use super::connections::{Arrival, ConnectionId, Due, End, OPENER, TAKER};
use super::{decoded, Event, Simulation, CONNECT_WITHIN};

impl Simulation {
    pub(super) fn put(&mut self, due: Due) {
        let Due { at, connection, side, arrival } = due;
        self.queue.push(at, Event::Arrive { connection, side, arrival });
    }

    pub(super) fn put_all(&mut self, dues: Vec<Due>) {
        dues.into_iter().for_each(|due| self.put(due));
    }

    pub(super) fn send(&mut self, connection: ConnectionId, from: usize, frame: Vec<u8>) {
        let due = self.connections.send(&mut self.paths, self.now, connection, from, Some(frame));
        due.into_iter().for_each(|due| self.put(due));
    }

    pub(super) fn close(&mut self, connection: ConnectionId, side: usize) {
        let due = self.connections.close(&mut self.paths, self.now, connection, side);
        due.into_iter().for_each(|due| self.put(due));
    }

    /// The life of what stands at an end, if it runs.
    pub(super) fn life_of(&self, end: End) -> Option<u32> {
        match end {
            End::Watcher { controller, .. } => {
                let seat = &self.watchers[controller as usize];
                seat.state.as_ref().map(|_| seat.life)
            }
            End::Machine(machine) => {
                let seat = &self.machines[usize::from(machine)];
                seat.state.as_ref().map(|_| seat.life)
            }
            End::Tool(_) => Some(0),
        }
    }

    pub(super) fn dial(&mut self, opener: End, zone: u16, machine: u16) -> ConnectionId {
        let other = self.machines[usize::from(machine)].zone;
        let life = self.life_of(opener).unwrap_or(0);
        let connection =
            self.connections.add([opener, End::Machine(machine)], [zone, other], [life, u32::MAX]);
        if self.paths.is_cut(zone, other) {
            self.queue.push(self.now + CONNECT_WITHIN, Event::Failed(connection));
        } else {
            let opening = self.paths.opening(zone, other);
            let event =
                if opening > CONNECT_WITHIN { Event::Failed(connection) } else { Event::Opened(connection) };
            self.queue.push(self.now + opening.min(CONNECT_WITHIN), event);
        }
        connection
    }

    /// A connection comes up, if both ends are still there.
    pub(super) fn opened(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let ([opener, taker], lives) = (connection.ends, connection.lives);
        let End::Machine(machine) = taker else { return };
        let seat = &self.machines[usize::from(machine)];
        let Some(life) = seat.state.as_ref().map(|_| seat.life) else {
            let silent = seat.host_off;
            let wait = if silent { CONNECT_WITHIN } else { Duration::ZERO };
            return self.queue.push(self.now + wait, Event::Failed(id));
        };
        if self.life_of(opener) != Some(lives[OPENER]) {
            return self.connections.shut_both(id);
        }
        if let Some(connection) = self.connections.get_mut(id) {
            (connection.made, connection.lives[TAKER]) = (true, life);
        }
        match opener {
            End::Machine(from) => self.peer_opened(id, from, machine),
            End::Watcher { controller, relay } => {
                self.with_machine(machine, |state, now, out| state.on_watcher_connected(now, id, out));
                self.with_watcher(controller, |state, now, out| state.on_connected(now, relay, out));
            }
            End::Tool(tool) => {
                self.with_machine(machine, |state, now, out| state.on_watcher_connected(now, id, out));
                self.tend_tool_soon(tool);
            }
        }
    }

    pub(super) fn failed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let (opener, taker, life) =
            (connection.ends[OPENER], connection.ends[TAKER], connection.lives[OPENER]);
        self.connections.shut_both(id);
        if self.life_of(opener) == Some(life) {
            self.lost(id, opener, taker);
        }
    }

    /// An end hears that its connection is gone, or never came up.
    pub(super) fn lost(&mut self, id: ConnectionId, end: End, other: End) {
        match (end, other) {
            (End::Watcher { controller, relay }, _) => {
                let seat = &mut self.watchers[controller as usize];
                if seat.connections.get(&relay) == Some(&id) {
                    seat.connections.remove(&relay);
                    self.with_watcher(controller, |state, now, out| state.on_closed(now, relay, out));
                }
            }
            (End::Tool(tool), _) => {
                let seat = &mut self.tools[usize::from(tool)];
                if seat.connection == Some(id) {
                    (seat.connection, seat.at) = (None, seat.at + 1);
                    seat.pushes.put_off(self.now);
                    self.tend_tool_soon(tool);
                }
            }
            (End::Machine(machine), End::Machine(peer)) => self.peer_lost(id, machine, peer),
            (End::Machine(machine), _) => {
                self.with_machine(machine, |state, now, _| state.on_watcher_closed(now, id));
            }
        }
    }

    pub(super) fn arrived(&mut self, id: ConnectionId, side: usize, arrival: Arrival) {
        let Some(connection) = self.connections.get(id) else { return };
        let (end, other, life) = (connection.ends[side], connection.ends[1 - side], connection.lives[side]);
        if !connection.open[side] || self.life_of(end) != Some(life) {
            return self.answer_dead(id, side, end);
        }
        match arrival {
            Arrival::Closed => {
                self.connections.shut(id, side);
                self.connections.shut(id, 1 - side);
                self.lost(id, end, other);
            }
            Arrival::Frame(bytes) => self.frame(id, end, other, &bytes),
        }
    }

    /// A frame came where nobody takes it: a machine that is up resets the connection.
    pub(super) fn answer_dead(&mut self, id: ConnectionId, side: usize, end: End) {
        let off = match end {
            End::Watcher { controller, .. } => self.watchers[controller as usize].host_off,
            End::Machine(machine) => self.machines[usize::from(machine)].host_off,
            End::Tool(_) => false,
        };
        let Some(connection) =
            self.connections.get(id).filter(|connection| connection.open[1 - side] && !off)
        else {
            return;
        };
        let transit = self.paths.transit(connection.zones[side], connection.zones[1 - side], 0);
        let (side, arrival) = (1 - side, Arrival::Closed);
        self.put(Due { at: self.now + transit, connection: id, side, arrival });
    }

    pub(super) fn frame(&mut self, id: ConnectionId, end: End, other: End, bytes: &[u8]) {
        match (end, other) {
            (End::Watcher { controller, relay }, _) => self.watcher_frame(controller, relay, bytes),
            (End::Tool(tool), _) => self.tool_frame(tool, bytes),
            (End::Machine(machine), End::Machine(peer)) => self.peer_frame(machine, peer, bytes),
            (End::Machine(machine), _) => {
                self.count_machine(machine, bytes.len(), true);
                self.with_machine(machine, |state, now, out| {
                    if let Some(message) = decoded::<ToRelay>(bytes, MAX_WATCHER_BODY_BYTES) {
                        state.on_watcher_message(now, id, message, out);
                    }
                });
            }
        }
    }
}
