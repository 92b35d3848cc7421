//! The steps of a join, which wait for no decision: they are carried out as they come in, between rounds, and the
//! module is told in the next one. A join would else cost its viewer a tick at each step.

use badgerledge_core::interface::{Ending, JobId};

use crate::book::ending;
use crate::desk::{Carrier, Desk, Owed};

/// The methods that what comes in on joins is fed to.
pub struct Steps<'a, 'd, C> {
    pub(crate) desk: &'a mut Desk<'d, C>,
}

impl<C: Carrier> Steps<'_, '_, C> {
    /// A join's connection is made: SETUP goes, unless the list has taken the streamer off meanwhile.
    pub fn join_opened(&mut self, job: JobId, number: u16) {
        let Some(join) = self.desk.book.current(job, number) else { return };
        let streamer = join.streamer;
        if self.desk.hold.is_some() || !self.desk.book.may_send(streamer) {
            return self.join_ends(job, number, Ending::Moot, &[]);
        }
        if let Some(held) = self.desk.book.get(job) {
            let rung = held.rung;
            self.desk.carrier.set_up(job, number, &held.asked, rung);
            self.desk.book.current(job, number).into_iter().for_each(|join| join.set_up = Some(rung));
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
        let (streamer, latency, set_up) = (join.streamer, self.desk.now - join.sent, join.set_up);
        let Some((viewer, others)) = self.desk.book.play(job) else { return };
        if let Some(held) = self.desk.book.get(job) {
            let taken_ms = (self.desk.now - held.taken).as_millis() as u64;
            held.span.in_scope(|| tracing::info!(%streamer, number, rung = held.rung, taken_ms, "plays"));
        }
        self.desk.owed.push(Owed::Flowing(job, number, streamer, latency));
        self.desk.carrier.grant(viewer, job);
        // A step that came while it was set up could not go to the streamer before it flows.
        let rung = self.desk.book.get(job).and_then(|held| held.rung);
        if let Some(rung) = rung.filter(|rung| set_up.flatten().is_some_and(|asked| asked != *rung)) {
            self.desk.carrier.step(job, number, rung);
        }
        // Lines that the viewer gave up for a newer one. Not throttled: that would say that a further try does no
        // harm, and for a room type that must not be set up twice it does.
        others.iter().for_each(|line| self.desk.carrier.terminate(*line, false));
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
        let outcome = Owed::Outcome(job, number, join.streamer, ending, over, latency, usage.to_vec());
        self.desk.owed.push(outcome);
    }
}
