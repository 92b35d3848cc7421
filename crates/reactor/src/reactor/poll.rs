//! One wait of the loop: events of the poller, then due timers, then ended connections.

use std::io::{self, ErrorKind};
use std::time::Duration;

use polling::Event;

use super::events::{ReactorEvent, SocketId};
use super::sockets::Source;
use super::{signals, Reactor};

impl Reactor {
    /// Waits until there are events, or until the given time, and appends the events.
    pub fn wait(&mut self, until: Option<Duration>, events: &mut Vec<ReactorEvent>) -> io::Result<()> {
        for id in std::mem::take(&mut self.reported_ended) {
            self.deregister(id);
        }
        let next_timer = self.timers.first().map(|due| due.0);
        let until = until.into_iter().chain(next_timer).min();
        let timeout = match (self.newly_ended.is_empty(), until) {
            (false, _) => Some(Duration::ZERO),
            (true, until) => until.map(|at| at.saturating_sub(self.clock())),
        };
        self.poller_events.clear();
        self.costs.system_calls += 1;
        match self.poller.wait(&mut self.poller_events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.now = self.clock();
        let ready: Vec<Event> = self.poller_events.iter().collect();
        for event in ready {
            self.handle_poller_event(event, events);
        }
        while let Some((at, timer)) = self.timers.first().copied().filter(|due| due.0 <= self.now) {
            self.timers.remove(&(at, timer));
            self.handle_timer(timer, events);
        }
        for id in std::mem::take(&mut self.newly_ended) {
            if let Some(reason) = self.connection(id).and_then(|connection| connection.ended) {
                events.push(ReactorEvent::Closed(id, reason));
                self.reported_ended.push(id);
            }
        }
        Ok(())
    }

    /// Handles one event of the poller.
    fn handle_poller_event(&mut self, event: Event, events: &mut Vec<ReactorEvent>) {
        let id = event.key as SocketId;
        match self.sources.get_mut(&id) {
            Some(Source::Listener { .. }) => self.accept(id, events),
            Some(Source::Datagrams(_)) => self.receive(id, events),
            Some(Source::Signal(pipe, signal)) => signals::receive(pipe, *signal, events),
            Some(Source::Stream { connection, .. }) if connection.connecting => {
                self.check_connected(id, events)
            }
            Some(Source::Stream { .. }) => {
                if event.writable {
                    self.write_output(id);
                    self.report_drained(id, events);
                }
                if event.readable {
                    self.read_input(id, events);
                }
            }
            None => {}
        }
    }
}
