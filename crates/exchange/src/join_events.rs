//! Events of joins, which need no decision: they are handled as they arrive, between rounds, and reported to
//! the decision module in the next one. Otherwise each step of a join would cost its viewer a tick.

use badgerledge_core::interface::{Ending, JobId};

use crate::decision_executor::{DecisionExecutor, PendingOutcome, Transport};
use crate::subscription_table::join_ending;

/// Receives the events of joins.
pub struct JoinEvents<'a, 'd, C> {
    pub(crate) executor: &'a mut DecisionExecutor<'d, C>,
}

impl<C: Transport> JoinEvents<'_, '_, C> {
    /// Handles an established connection of a join: sends SETUP, unless the streamer was removed from the
    /// list meanwhile.
    pub fn join_opened(&mut self, job: JobId, number: u16) {
        let Some(join) = self.executor.subscriptions.current_join(job, number) else { return };
        let streamer = join.streamer;
        if self.executor.hold_cool_down.is_some() || !self.executor.subscriptions.accepts_joins(streamer) {
            return self.join_ended(job, number, Ending::Moot, &[]);
        }
        if let Some(subscription) = self.executor.subscriptions.get(job) {
            let rung = subscription.rung;
            self.executor.transport.set_up(job, number, &subscription.request, rung);
            self.executor
                .subscriptions
                .current_join(job, number)
                .into_iter()
                .for_each(|join| join.set_up_rung = Some(rung));
        }
    }

    /// Handles a streamer's response to SETUP.
    pub fn join_set_up(&mut self, job: JobId, number: u16, status: u16, usage: &[f64]) {
        match join_ending(status, false) {
            Some(ending) => self.join_ended(job, number, ending, usage),
            None if self.executor.subscriptions.current_join(job, number).is_some() => {
                self.executor.transport.play(job, number)
            }
            None => {}
        }
    }

    /// Handles a streamer's response to PLAY.
    pub fn join_granted(&mut self, job: JobId, number: u16, status: u16, usage: &[f64]) {
        if let Some(ending) = join_ending(status, true) {
            return self.join_ended(job, number, ending, usage);
        }
        let Some(join) = self.executor.subscriptions.current_join(job, number) else { return };
        join.play_granted = true;
        self.play_if_ready(job, number);
    }

    /// Handles the first media packet of a join.
    pub fn join_media(&mut self, job: JobId, number: u16) {
        let Some(join) = self.executor.subscriptions.current_join(job, number) else { return };
        join.media_received = true;
        self.play_if_ready(job, number);
    }

    /// Starts the subscription once both PLAY was granted and media has arrived.
    fn play_if_ready(&mut self, job: JobId, number: u16) {
        let Some(join) = self.executor.subscriptions.current_join(job, number).filter(|join| join.plays())
        else {
            return;
        };
        let (streamer, latency, set_up_rung) =
            (join.streamer, self.executor.now - join.sent_at, join.set_up_rung);
        let Some((viewer, abandoned)) = self.executor.subscriptions.set_playing(job) else { return };
        if let Some(subscription) = self.executor.subscriptions.get(job) {
            let taken_ms = (self.executor.now - subscription.admitted_at).as_millis() as u64;
            subscription.span.in_scope(|| {
                tracing::info!(
                    target: "badgerledge_exchange::steps",
                    %streamer,
                    number,
                    rung = subscription.rung,
                    taken_ms,
                    "plays"
                )
            });
        }
        self.executor.pending_outcomes.push(PendingOutcome::Playing(job, number, streamer, latency));
        self.executor.transport.grant(viewer, job);
        // A rung change during set-up could not be sent before the stream started.
        let rung = self.executor.subscriptions.get(job).and_then(|subscription| subscription.rung);
        if let Some(rung) = rung.filter(|rung| set_up_rung.flatten().is_some_and(|sent| sent != *rung)) {
            self.executor.transport.step(job, number, rung);
        }
        // Connections that the viewer abandoned for a newer one. They are not throttled: that would tell the
        // viewer that a retry does no harm, which is wrong for a room type that must not be set up twice.
        abandoned.iter().for_each(|connection| self.executor.transport.terminate(*connection, false));
    }

    /// Handles the end of a join, as reported by its connection or its streamer. Late events of earlier joins
    /// are ignored.
    pub fn join_ended(&mut self, job: JobId, number: u16, ending: Ending, usage: &[f64]) {
        let Some(join) = self.executor.subscriptions.end_join(job, number) else { return };
        let latency = self.executor.now - join.sent_at;
        self.executor.transport.end_join(job, number);
        let over = join.plays();
        if let Some(subscription) = self.executor.subscriptions.get(job) {
            let streamer = join.streamer;
            subscription.span.in_scope(|| {
                tracing::info!(
                    target: "badgerledge_exchange::steps",
                    %streamer,
                    number,
                    ?ending,
                    over,
                    "join ended"
                )
            });
        }
        if over {
            // The end of a started stream ends the subscription; its viewer sends a new SETUP by itself.
            let subscription = self.executor.close(job);
            let connection = subscription.and_then(|subscription| subscription.playing_connection);
            connection.into_iter().for_each(|connection| self.executor.transport.send_bye(connection));
        }
        let outcome =
            PendingOutcome::Ended(job, number, join.streamer, ending, over, latency, usage.to_vec());
        self.executor.pending_outcomes.push(outcome);
    }
}
