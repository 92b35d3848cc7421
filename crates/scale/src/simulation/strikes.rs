//! What happens to a simulated fleet by the scenario's timeline.

use std::time::Duration;

use super::connections::{Arrival, Due, End};
use super::{Simulation, CONNECT_WITHIN};
use crate::observations::PushedChange;
use crate::timeline::Happening;

impl Simulation {
    pub(super) fn strike(&mut self, what: Happening) {
        match what {
            Happening::Push { author } => {
                let place = self.seen.changes.len();
                self.seen.changes.push(PushedChange { pushed: self.now, ..Default::default() });
                if let Some(seat) = self.tools.get_mut(usize::from(author)) {
                    seat.pushes.add(self.now, place);
                    self.tend_tool_soon(author);
                }
            }
            Happening::KillControllers { controllers, silent } => {
                controllers.into_iter().for_each(|controller| self.kill_watcher(controller, silent));
            }
            Happening::StartControllers { controllers, without_disk } => {
                for controller in controllers {
                    if without_disk {
                        self.watchers[controller as usize].disk.iter_mut().for_each(Vec::clear);
                    }
                    self.start_watcher(controller, !without_disk);
                    self.reset_stale(
                        |end| matches!(end, End::Watcher { controller: c, .. } if *c == controller),
                    );
                }
            }
            Happening::KillMachines { machines, silent } => {
                machines.into_iter().for_each(|machine| self.kill_machine(machine, silent));
            }
            Happening::StartMachines { machines, without_disk } => {
                for machine in machines {
                    if without_disk {
                        self.lose_machine_disk(machine);
                    }
                    self.reset_stale(|end| *end == End::Machine(machine));
                    self.start_machine(machine);
                }
            }
            Happening::CutRegion { region } => {
                self.paths.cut(region);
                self.away_in(region, true);
            }
            Happening::HealRegion { region } => {
                self.paths.heal(region);
                self.away_in(region, false);
                let dues = self.connections.healed(&mut self.paths, self.now);
                self.put_all(dues);
            }
        }
    }

    /// What is still open towards a member that was off without a word is reset at its next retransmission.
    pub(super) fn reset_stale(&mut self, is: impl Fn(&End) -> bool) {
        for (id, side) in self.connections.with_dead_end(is) {
            let at = self.now + self.paths.part(CONNECT_WITHIN);
            self.put(Due { at, connection: id, side, arrival: Arrival::Closed });
        }
    }

    /// Controllers of a region are away from others, or back.
    pub(super) fn away_in(&mut self, region: u16, cut: bool) {
        let fleet = self.scenario.fleet.clone();
        for controller in (0..fleet.controllers).filter(|c| fleet.region_of_controller(*c) == region) {
            let away = self.seen.away.entry(controller).or_default();
            if cut {
                away.push((self.now, Duration::MAX));
            } else if let Some(last) = away.last_mut() {
                last.1 = last.1.min(self.now);
            }
        }
    }
}
