//! One wait of the loop: what the poller brings, then what has fallen due, then which lines have ended.

use std::io::{self, ErrorKind};
use std::time::Duration;

use polling::Event;

use super::events::{Happening, Line};
use super::sockets::Source;
use super::{signals, Reactor};

impl Reactor {
    /// Waits until something happens, or until that time, and tells what.
    pub fn wait(&mut self, until: Option<Duration>, told: &mut Vec<Happening>) -> io::Result<()> {
        for line in std::mem::take(&mut self.told_ended) {
            self.deregister(line);
        }
        let first = self.due.first().map(|due| due.0);
        let until = until.into_iter().chain(first).min();
        let timeout = match (self.ended.is_empty(), until) {
            (false, _) => Some(Duration::ZERO),
            (true, until) => until.map(|at| at.saturating_sub(self.clock())),
        };
        self.events.clear();
        self.costs.system_calls += 1;
        match self.poller.wait(&mut self.events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.now = self.clock();
        let ready: Vec<Event> = self.events.iter().collect();
        for event in ready {
            self.serve(event, told);
        }
        while let Some((at, due)) = self.due.first().copied().filter(|due| due.0 <= self.now) {
            self.due.remove(&(at, due));
            self.fall_due(due, told);
        }
        for line in std::mem::take(&mut self.ended) {
            if let Some(why) = self.conn(line).and_then(|conn| conn.ended) {
                told.push(Happening::Closed(line, why));
                self.told_ended.push(line);
            }
        }
        Ok(())
    }

    /// Handles one event of the poller.
    fn serve(&mut self, event: Event, told: &mut Vec<Happening>) {
        let line = event.key as Line;
        match self.lines.get_mut(&line) {
            Some(Source::Listener { .. }) => self.accept(line, told),
            Some(Source::Datagrams(_)) => self.receive(line, told),
            Some(Source::Signal(pipe, signal)) => signals::receive(pipe, *signal, told),
            Some(Source::Stream { conn, .. }) if conn.making => self.made(line, told),
            Some(Source::Stream { .. }) => {
                if event.writable {
                    self.write_out(line);
                    self.tell_drained(line, told);
                }
                if event.readable {
                    self.read_in(line, told);
                }
            }
            None => {}
        }
    }
}
