//! What comes in, told to the records and to the module.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest};

use crate::book::Join;
use crate::desk::{Carrier, Desk, Owed};
use crate::{limits, Line, Steps};

/// The methods that a round's arrivals are fed to.
pub struct Floor<'a, 'd, C> {
    pub(crate) module: &'a mut Controller,
    pub(crate) desk: &'a mut Desk<'d, C>,
}

impl<'d, C: Carrier> Floor<'_, 'd, C> {
    pub fn carrier(&mut self) -> &mut C {
        self.desk.carrier
    }

    /// A viewer asks on a line, which waits for an answer from now on. `asked.client_timeout` is as the viewer
    /// named it, counted from `since`.
    pub fn viewer_asks(&mut self, line: Line, mut asked: SubscriptionRequest, since: Duration) {
        self.deliver();
        let last_call = since + limits::last_call(asked.client_timeout);
        let waited = self.desk.now.saturating_sub(since);
        if let Some(job) = self.desk.book.of_viewer(&asked) {
            let plays = self.desk.book.get(job).is_some_and(|held| held.plays_to.is_some());
            if !plays {
                // The same viewer for the same title while its first try is out: one subscription, one join.
                if !self.desk.book.wait_too(job, line, last_call) {
                    self.desk.carrier.terminate(line, false);
                }
                return;
            }
            return self.hand_over(job, line);
        }
        if self.desk.book.ended_unsafe(&asked, self.desk.now) {
            // It was sent before its viewer knew the end of its first try: the answer is that end.
            tracing::info!(viewer = asked.path_key, "terminated: its first try may have run");
            return self.desk.carrier.terminate(line, false);
        }
        if let Some(other) = self.desk.book.of_line(line) {
            self.end_for(other, Ending::Cancelled);
        }
        if let Some(cool_down) = self.desk.hold {
            tracing::debug!(viewer = asked.path_key, "throttled: new joins are held back");
            return self.desk.carrier.throttle(line, cool_down);
        }
        if let Err(cool_down) = self.desk.admission.take(self.desk.now) {
            tracing::info!(viewer = asked.path_key, held = self.desk.admission.held(), "throttled: no room");
            return self.desk.carrier.throttle(line, cool_down);
        }
        asked.client_timeout = limits::client_timeout(asked.client_timeout).saturating_sub(waited);
        let job = self.desk.book.open(line, asked, self.desk.now, last_call);
        if let Some(held) = self.desk.book.get(job) {
            held.span.in_scope(|| tracing::debug!(line, moved = asked.moved, "taken"));
        }
        self.module.request(job, asked);
    }

    /// A subscription plays to a line that its viewer has given up, though the line has not ended yet: the new line
    /// gets the stream, and no join is made for it.
    fn hand_over(&mut self, job: JobId, line: Line) {
        if let Some(before) = self.desk.book.hand_over(job, line) {
            self.desk.carrier.grant(line, job);
            if before != line {
                self.desk.carrier.farewell(before);
            }
        }
    }

    /// A viewer's line has ended, or its viewer tore down. `orderly`: it said so.
    pub fn viewer_left(&mut self, line: Line, orderly: bool) {
        self.deliver();
        let Some(job) = self.desk.book.leave(line) else { return };
        let Some(held) = self.desk.book.get(job) else { return };
        if !held.waiting.is_empty() || held.plays_to.is_some() {
            return;
        }
        held.span.in_scope(|| tracing::info!(orderly, "viewer left"));
        let flows = held.join.as_ref().is_some_and(Join::flows);
        self.end_for(job, if flows && orderly { Ending::Served } else { Ending::Cancelled });
    }

    /// Ends a subscription from the viewer's side: its lines that are left get a farewell.
    fn end_for(&mut self, job: JobId, ending: Ending) {
        let Some(held) = self.desk.close(job) else { return };
        match &held.join {
            Some(join) => {
                let latency = self.desk.now - join.sent;
                if !join.flows() {
                    self.module.expired(job);
                }
                self.module.outcome(job, join.streamer, join.number, ending, true, latency, &[]);
            }
            None => self.module.expired(job),
        }
        for line in held.waiting.iter().chain(&held.plays_to) {
            self.desk.carrier.farewell(*line);
        }
    }

    /// The steps of joins, as between rounds.
    pub fn steps(&mut self) -> Steps<'_, 'd, C> {
        Steps { desk: self.desk }
    }

    /// Makes the calls that the module is owed, so that it hears of everything in order.
    pub(crate) fn deliver(&mut self) {
        for owed in std::mem::take(self.desk.owed) {
            match owed {
                Owed::Flowing(job, number, streamer, latency) => {
                    self.desk.carrier.came_to(streamer, None);
                    self.module.join_served(job, number, streamer, latency);
                }
                Owed::Outcome(job, number, streamer, ending, over, latency, usage) => {
                    self.desk.carrier.came_to(streamer, Some(ending));
                    self.module.outcome(job, streamer, number, ending, over, latency, &usage);
                }
            }
        }
    }

    /// A note of a streamer in band.
    pub fn join_note(&mut self, job: JobId, number: u16, kind: u8, value: f64) {
        self.deliver();
        let Some(streamer) = self.desk.book.current(job, number).map(|join| join.streamer) else { return };
        self.module.progress(job, streamer, kind, value);
    }

    /// Ends what is overdue: joins at the time given for them, and waits that the module did not end in time.
    pub(crate) fn end_overdue(&mut self) {
        let now = self.desk.now;
        while let Some(job) = self.desk.book.overdue(now) {
            let Some(held) = self.desk.book.get(job) else { continue };
            let late = held.join.as_ref().filter(|join| join.until <= now).map(|join| join.number);
            if held.last_call <= now {
                self.last_call(job);
            } else if let Some(number) = late {
                self.steps().join_ends(job, number, Ending::Timeout, &[]);
            }
        }
    }

    /// Answers in the module's place. Guards rule 1 against a module that holds on to a subscription, and against
    /// a loop that was stopped past the module's own time; the module has the subscription taken from it. Harm:
    /// none while the module answers in its time, which is sooner.
    fn last_call(&mut self, job: JobId) {
        let Some(held) = self.desk.close(job) else { return };
        self.desk.keep_in_mind(&held.asked);
        held.span.in_scope(|| tracing::warn!("terminated: the last call for an answer came first"));
        self.module.expired(job);
        if let Some(join) = &held.join {
            let latency = self.desk.now - join.sent;
            self.module.outcome(job, join.streamer, join.number, Ending::Timeout, true, latency, &[]);
        }
        held.waiting.iter().for_each(|line| self.desk.carrier.terminate(*line, true));
    }

    /// What a budget leaves for new joins from a building, or from any other, kB a second.
    pub fn crossing(&mut self, from: Option<u16>, left: f64) {
        self.module.set_crossing_budget(from, left);
    }

    /// The highest rung that a subscription from another building may have for now.
    pub fn cap(&mut self, job: JobId, cap: Option<u8>) {
        self.deliver();
        self.module.set_rung_cap(job, cap, self.desk);
    }

    /// Several other controllers lost joins on a streamer.
    pub fn reported_in_trouble(&mut self, streamer: StreamerId) {
        self.module.failure_reported_by_peers(streamer);
    }

    /// A subscription must not cross any more: its viewer comes back, and is placed by the module like any other.
    pub fn send_home(&mut self, job: JobId) {
        self.sent_back(job, "sent home: the budget for crossing is spent");
    }

    /// Ends a subscription with a REDIRECT to this controller.
    pub(crate) fn sent_back(&mut self, job: JobId, why: &str) {
        self.deliver();
        let Some(held) = self.desk.close(job) else { return };
        held.span.in_scope(|| tracing::info!("{why}"));
        match &held.join {
            Some(join) => {
                let latency = self.desk.now - join.sent;
                self.module.outcome(job, join.streamer, join.number, Ending::Cancelled, true, latency, &[]);
            }
            None => self.module.expired(job),
        }
        for line in held.waiting.iter().chain(&held.plays_to) {
            self.desk.carrier.redirect(*line);
        }
    }

    /// A probe's end.
    pub fn probed(&mut self, streamer: StreamerId, ending: Ending, latency: Duration, usage: &[f64]) {
        self.module.probe_result(streamer, ending, latency, usage);
    }

    /// A reminder that the module set.
    pub fn fired(&mut self, token: u64) {
        self.module.timer_fired(token);
    }

    /// A message of another controller.
    pub fn peer(&mut self, peer: u32, bytes: &[u8]) {
        self.module.receive_load_reports(peer, bytes);
    }

    /// A word of the list begins. A complete one names all that are `known`; what it leaves out is gone.
    pub fn list_begins(&mut self, how: Listing, known: impl Iterator<Item = StreamerId>) {
        if matches!(how, Listing::Complete | Listing::Cached) {
            self.desk.book.relist(known);
        }
        self.deliver();
        self.module.list_begins(how);
    }

    /// One streamer of the list; times are on the clock of the rounds.
    #[allow(clippy::too_many_arguments)]
    pub fn list_entry(
        &mut self, streamer: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        came_up: Start,
    ) {
        self.desk.book.listed(streamer, health);
        self.module.list_entry(streamer, zone, kind, cell, health, weight, came_up);
    }

    pub fn list_ends(&mut self, how: Listing) {
        self.module.list_ends(how);
    }
}
