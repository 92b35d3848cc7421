//! What comes in, told to the records and to the module.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Asked, Ending, Health, JobId, Listing, StreamerId};

use crate::book::{ending, Join};
use crate::desk::{Carrier, Desk};
use crate::{limits, Line};

/// The methods that a round's arrivals are fed to.
pub struct Floor<'a, 'd, C> {
    pub(crate) module: &'a mut Controller,
    pub(crate) desk: &'a mut Desk<'d, C>,
}

impl<C: Carrier> Floor<'_, '_, C> {
    pub fn carrier(&mut self) -> &mut C {
        self.desk.carrier
    }

    /// A viewer asks on a line, which waits for an answer from now on. `asked.client_timeout` is as the viewer
    /// named it, counted from `since`.
    pub fn viewer_asks(&mut self, line: Line, mut asked: Asked, since: Duration) {
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
            // It plays to a line that the viewer has given up, though the line has not ended yet.
            self.end_for(job, Ending::Cancelled);
        }
        if let Some(other) = self.desk.book.of_line(line) {
            self.end_for(other, Ending::Cancelled);
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
        self.module.knock(job, asked);
    }

    /// A viewer's line has ended, or its viewer tore down. `orderly`: it said so.
    pub fn viewer_left(&mut self, line: Line, orderly: bool) {
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

    /// A join's connection is made: SETUP goes, unless the list has taken the streamer off meanwhile.
    pub fn join_opened(&mut self, job: JobId, number: u16) {
        let Some(join) = self.desk.book.current(job, number) else { return };
        let streamer = join.streamer;
        if !self.desk.book.may_send(streamer) {
            return self.join_ends(job, number, Ending::Moot, &[]);
        }
        if let Some(held) = self.desk.book.get(job) {
            self.desk.carrier.set_up(job, number, &held.asked, held.rung);
        }
    }

    /// A streamer's answer to a join's SETUP.
    pub fn join_set_up(&mut self, job: JobId, number: u16, status: u16, usage: &[f64]) {
        match ending(status, false) {
            Some(ending) => self.join_ends(job, number, ending, usage),
            None if self.desk.book.current(job, number).is_some() => self.desk.carrier.play(job, number),
            None => {}
        }
    }

    /// A streamer's answer to a join's PLAY.
    pub fn join_granted(&mut self, job: JobId, number: u16, status: u16, usage: &[f64]) {
        if let Some(ending) = ending(status, true) {
            return self.join_ends(job, number, ending, usage);
        }
        let Some(join) = self.desk.book.current(job, number) else { return };
        join.granted = true;
        self.may_flow(job, number);
    }

    /// The first packet of media came on a join.
    pub fn join_media(&mut self, job: JobId, number: u16) {
        let Some(join) = self.desk.book.current(job, number) else { return };
        join.media = true;
        self.may_flow(job, number);
    }

    /// The subscription plays once PLAY is granted and media has come, whichever was first.
    fn may_flow(&mut self, job: JobId, number: u16) {
        let Some(join) = self.desk.book.current(job, number).filter(|join| join.flows()) else { return };
        let (streamer, latency) = (join.streamer, self.desk.now - join.sent);
        let Some((viewer, others)) = self.desk.book.play(job) else { return };
        if let Some(held) = self.desk.book.get(job) {
            let taken_ms = (self.desk.now - held.taken).as_millis() as u64;
            held.span.in_scope(|| tracing::info!(%streamer, number, rung = held.rung, taken_ms, "plays"));
        }
        self.module.flowing(job, number, streamer, latency);
        self.desk.carrier.grant(viewer, job);
        // Lines that the viewer gave up for a newer one. Not throttled: that would say that a further try does no
        // harm, and for a room type that must not be set up twice it does.
        others.iter().for_each(|line| self.desk.carrier.terminate(*line, false));
    }

    /// A note of a streamer in band.
    pub fn join_note(&mut self, job: JobId, number: u16, kind: u8, value: f64) {
        let Some(streamer) = self.desk.book.current(job, number).map(|join| join.streamer) else { return };
        self.module.progress(job, streamer, kind, value);
    }

    /// A join has ended, as its connection or the streamer says. Late words of earlier joins change nothing.
    pub fn join_ends(&mut self, job: JobId, number: u16, ending: Ending, usage: &[f64]) {
        let Some(join) = self.desk.book.end_join(job, number) else { return };
        let latency = self.desk.now - join.sent;
        self.desk.carrier.end_join(job, number);
        let over = join.flows();
        if let Some(held) = self.desk.book.get(job) {
            let streamer = join.streamer;
            held.span.in_scope(|| tracing::info!(%streamer, number, ?ending, over, "join ended"));
        }
        if over {
            // The end of a stream that had started ends the subscription; its viewer comes again by itself.
            let held = self.desk.close(job);
            let line = held.and_then(|held| held.plays_to);
            line.into_iter().for_each(|line| self.desk.carrier.farewell(line));
        }
        self.module.outcome(job, join.streamer, number, ending, over, latency, usage);
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
                self.join_ends(job, number, Ending::Timeout, &[]);
            }
        }
    }

    /// Answers in the module's place. Guards rule 1 against a module that holds on to a subscription, and against
    /// a loop that was stopped past the module's own time; the module has the subscription taken from it. Harm:
    /// none while the module answers in its time, which is sooner.
    fn last_call(&mut self, job: JobId) {
        let Some(held) = self.desk.close(job) else { return };
        held.span.in_scope(|| tracing::warn!("terminated: the last call for an answer came first"));
        self.module.expired(job);
        if let Some(join) = &held.join {
            let latency = self.desk.now - join.sent;
            self.module.outcome(job, join.streamer, join.number, Ending::Timeout, true, latency, &[]);
        }
        held.waiting.iter().for_each(|line| self.desk.carrier.terminate(*line, true));
    }

    /// A probe's end.
    pub fn probed(&mut self, streamer: StreamerId, ending: Ending, latency: Duration, usage: &[f64]) {
        self.module.echo(streamer, ending, latency, usage);
    }

    /// A reminder that the module set.
    pub fn fired(&mut self, token: u64) {
        self.module.fired(token);
    }

    /// A message of another controller.
    pub fn peer(&mut self, peer: u32, bytes: &[u8]) {
        self.module.peer(peer, bytes);
    }

    /// A word of the list begins. A complete one names all that are `known`; what it leaves out is gone.
    pub fn list_begins(&mut self, how: Listing, known: impl Iterator<Item = StreamerId>) {
        if matches!(how, Listing::Complete | Listing::Cached) {
            self.desk.book.relist(known);
        }
        self.module.list_begins(how);
    }

    /// One streamer of the list; times are on the clock of the rounds.
    #[allow(clippy::too_many_arguments)]
    pub fn list_entry(
        &mut self, streamer: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        came_up: Duration,
    ) {
        self.desk.book.listed(streamer, health);
        self.module.list_entry(streamer, zone, kind, cell, health, weight, came_up);
    }

    pub fn list_ends(&mut self, how: Listing) {
        self.module.list_ends(how);
    }
}
