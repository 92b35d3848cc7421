//! Authors' tools of a simulated fleet, which push changes.

use std::time::Duration;

use badgerledge_distribution::change::Rejection;
use badgerledge_distribution::message::{encode, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES};
use badgerledge_distribution::Number;

use super::connections::{End, OPENER};
use super::hand::SimulatedHand;
use super::members::MachineSeat;
use super::{decoded, Event, Simulation};

impl Simulation {
    pub(super) fn tend_tool_soon(&mut self, tool: u16) {
        let seat = &mut self.tools[usize::from(tool)];
        let at = seat.pushes.next_try.max(self.now);
        if at < Duration::MAX {
            seat.due = at;
            self.queue.push(at, Event::TendTool(tool));
        }
    }

    pub(super) fn tend_tool(&mut self, tool: u16) {
        let seat = &mut self.tools[usize::from(tool)];
        if seat.due > self.now || seat.pushes.next_try > self.now {
            return;
        }
        let Some(connection) = seat.connection else {
            let (zone, machine) = (seat.zone, seat.machine());
            let connection = self.dial(End::Tool(tool), zone, machine);
            self.tools[usize::from(tool)].connection = Some(connection);
            return;
        };
        if !self.connections.get(connection).is_some_and(|connection| connection.made) {
            return;
        }
        let now = self.now;
        if seat.pushes.is_overdue(now) {
            // Whoever has it does not answer: the next machine may.
            (seat.connection, seat.at) = (None, seat.at + 1);
            seat.pushes.retry(now);
            self.close(connection, OPENER);
            return self.tend_tool_soon(tool);
        }
        let Some(change) = seat.pushes.current(SimulatedHand::author_signature) else { return };
        let frame = encode(&ToRelay::Push(change.clone()));
        seat.pushes.sent(now);
        self.send(connection, OPENER, frame);
        self.tend_tool_soon(tool);
    }

    pub(super) fn tool_frame(&mut self, tool: u16, bytes: &[u8]) {
        let Some(ToWatcher::PushOutcome { change, outcome }) = decoded(bytes, MAX_RELAY_BODY_BYTES) else {
            return;
        };
        let certified = self.highest_certified();
        let seat = &mut self.tools[usize::from(tool)];
        let Some(place) = seat.pushes.outcome_of(change.sequence) else { return };
        self.seen.changes[place].exclusive = self.scenario.load.is_exclusive(change.sequence);
        match outcome {
            Ok(number) => {
                self.seen.changes[place].number = Some(number);
                seat.pushes.settled(self.now, number);
            }
            // It was taken when it was pushed before, in a revision that is not told: one no later than this.
            Err(Rejection::Sequence(given, last)) if given <= last => {
                self.seen.changes[place].number = Some(certified);
                seat.pushes.settled(self.now, certified);
            }
            Err(Rejection::Busy(_) | Rejection::Unknown) => seat.pushes.put_off(self.now),
            Err(rejection) => {
                self.seen.turned_down.push(rejection.to_string());
                seat.pushes.settled(self.now, certified);
            }
        }
        if self.tools[usize::from(tool)].pushes.outcome_of(change.sequence).is_none() {
            self.seen.changes[place].settled = Some(self.now);
        }
        self.tend_tool_soon(tool);
    }

    pub(super) fn highest_certified(&self) -> Number {
        let certified =
            |seat: &MachineSeat| seat.state.as_ref().map(|state| state.status(self.now).certified);
        self.machines.iter().filter_map(certified).max().unwrap_or(0)
    }
}
