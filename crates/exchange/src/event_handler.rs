//! Handles the events of a round: updates the subscription records and informs the decision module.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest};

use crate::decision_executor::{DecisionExecutor, PendingOutcome, Transport};
use crate::subscription_table::Join;
use crate::{limits, ConnectionId, JoinEvents};

/// Receives the events of a round.
pub struct EventHandler<'a, 'd, C> {
    pub(crate) module: &'a mut Controller,
    pub(crate) executor: &'a mut DecisionExecutor<'d, C>,
}

impl<'d, C: Transport> EventHandler<'_, 'd, C> {
    /// The transport of this round.
    pub fn transport(&mut self) -> &mut C {
        self.executor.transport
    }

    /// Handles a viewer's SETUP on a connection, which waits for an answer from now on.
    /// `request.client_timeout` is as the viewer stated it, counted from `since`.
    pub fn viewer_requested(
        &mut self, connection: ConnectionId, mut request: SubscriptionRequest, since: Duration,
    ) {
        self.deliver_outcomes();
        let answer_deadline = since + limits::answer_deadline(request.client_timeout);
        let waited = self.executor.now.saturating_sub(since);
        if let Some(job) = self.executor.subscriptions.job_of_viewer(&request) {
            let plays = self
                .executor
                .subscriptions
                .get(job)
                .is_some_and(|subscription| subscription.playing_connection.is_some());
            if !plays {
                // A retry of the same viewer for the same title during its first try: one subscription, one
                // join.
                if !self.executor.subscriptions.add_waiting(job, connection, answer_deadline) {
                    self.executor.transport.terminate(connection, false);
                }
                return;
            }
            return self.take_over(job, connection);
        }
        if self.executor.subscriptions.was_recently_terminated(&request, self.executor.now) {
            // The request was sent before its viewer learned of the end of its first try, so it gets the same
            // answer.
            tracing::info!(
                target: "badgerledge_exchange::floor",
                viewer = request.path_key,
                "terminated: an earlier join of this viewer may have run"
            );
            return self.executor.transport.terminate(connection, false);
        }
        if let Some(previous) = self.executor.subscriptions.job_of_connection(connection) {
            self.end_by_viewer(previous, Ending::Cancelled);
        }
        if let Some(cool_down) = self.executor.hold_cool_down {
            tracing::debug!(
                target: "badgerledge_exchange::floor",
                viewer = request.path_key,
                "throttled: new joins are held back"
            );
            return self.executor.transport.throttle(connection, cool_down);
        }
        if let Err(cool_down) = self.executor.admission.admit(self.executor.now) {
            tracing::info!(
                target: "badgerledge_exchange::floor",
                viewer = request.path_key,
                held = self.executor.admission.count(),
                "throttled: the maximum of subscriptions is reached"
            );
            return self.executor.transport.throttle(connection, cool_down);
        }
        request.client_timeout = limits::module_client_timeout(request.client_timeout).saturating_sub(waited);
        let job = self.executor.subscriptions.insert(connection, request, self.executor.now, answer_deadline);
        if let Some(subscription) = self.executor.subscriptions.get(job) {
            subscription.span.in_scope(|| {
                tracing::debug!(
                    target: "badgerledge_exchange::floor",
                    line = connection,
                    moved = request.moved,
                    "taken"
                )
            });
        }
        self.module.request(job, request);
    }

    /// The subscription plays on a connection that its viewer has abandoned but that is not closed yet: the
    /// new connection takes over the stream without another join.
    fn take_over(&mut self, job: JobId, connection: ConnectionId) {
        if let Some(previous) = self.executor.subscriptions.move_to_connection(job, connection) {
            self.executor.transport.grant(connection, job);
            if previous != connection {
                self.executor.transport.send_bye(previous);
            }
        }
    }

    /// Handles the end of a viewer's connection, or its TEARDOWN (`orderly`).
    pub fn viewer_left(&mut self, connection: ConnectionId, orderly: bool) {
        self.deliver_outcomes();
        let Some(job) = self.executor.subscriptions.remove_connection(connection) else { return };
        let Some(subscription) = self.executor.subscriptions.get(job) else { return };
        if !subscription.waiting_connections.is_empty() || subscription.playing_connection.is_some() {
            return;
        }
        subscription
            .span
            .in_scope(|| tracing::info!(target: "badgerledge_exchange::floor", orderly, "viewer left"));
        let playing = subscription.join.as_ref().is_some_and(Join::plays);
        self.end_by_viewer(job, if playing && orderly { Ending::Served } else { Ending::Cancelled });
    }

    /// Ends a subscription from the viewer's side, and closes its remaining connections.
    fn end_by_viewer(&mut self, job: JobId, ending: Ending) {
        let Some(subscription) = self.executor.close(job) else { return };
        match &subscription.join {
            Some(join) => {
                let latency = self.executor.now - join.sent_at;
                if !join.plays() {
                    self.module.expired(job);
                }
                self.module.outcome(job, join.streamer, join.number, ending, true, latency, &[]);
            }
            None => self.module.expired(job),
        }
        for connection in subscription.waiting_connections.iter().chain(&subscription.playing_connection) {
            self.executor.transport.send_bye(*connection);
        }
    }

    /// The handler for events of joins, as between rounds.
    pub fn join_events(&mut self) -> JoinEvents<'_, 'd, C> {
        JoinEvents { executor: self.executor }
    }

    /// Reports the pending outcomes to the decision module, so that it receives everything in order.
    pub(crate) fn deliver_outcomes(&mut self) {
        for outcome in std::mem::take(self.executor.pending_outcomes) {
            match outcome {
                PendingOutcome::Playing(job, number, streamer, latency) => {
                    self.executor.transport.join_result(streamer, None);
                    self.module.join_served(job, number, streamer, latency);
                }
                PendingOutcome::Ended(job, number, streamer, ending, over, latency, usage) => {
                    self.executor.transport.join_result(streamer, Some(ending));
                    self.module.outcome(job, streamer, number, ending, over, latency, &usage);
                }
            }
        }
    }

    /// Handles a streamer's progress report.
    pub fn progress_report(&mut self, job: JobId, number: u16, kind: u8, value: f64) {
        self.deliver_outcomes();
        let Some(streamer) = self.executor.subscriptions.current_join(job, number).map(|join| join.streamer)
        else {
            return;
        };
        self.module.progress(job, streamer, kind, value);
    }

    /// Ends what is overdue: joins at their time limit, and set-ups that the decision module did not answer
    /// in time.
    pub(crate) fn end_overdue(&mut self) {
        let now = self.executor.now;
        while let Some(job) = self.executor.subscriptions.next_overdue(now) {
            let Some(subscription) = self.executor.subscriptions.get(job) else { continue };
            let late_join =
                subscription.join.as_ref().filter(|join| join.times_out_at <= now).map(|join| join.number);
            if subscription.answer_deadline <= now {
                self.answer_overdue(job);
            } else if let Some(number) = late_join {
                self.join_events().join_ended(job, number, Ending::Timeout, &[]);
            }
        }
    }

    /// Answers a set-up in place of the decision module, and withdraws the subscription from it. Guards rule
    /// 1 against a decision module that holds a subscription too long, and against a process that was stopped
    /// beyond the module's own time limit, which is earlier.
    fn answer_overdue(&mut self, job: JobId) {
        let Some(subscription) = self.executor.close(job) else { return };
        self.executor.remember_if_unsafe(&subscription.request);
        subscription.span.in_scope(|| {
            tracing::warn!(
                target: "badgerledge_exchange::floor",
                "terminated: no decision before the answer deadline"
            )
        });
        self.module.expired(job);
        if let Some(join) = &subscription.join {
            let latency = self.executor.now - join.sent_at;
            self.module.outcome(job, join.streamer, join.number, Ending::Timeout, true, latency, &[]);
        }
        subscription
            .waiting_connections
            .iter()
            .for_each(|connection| self.executor.transport.terminate(*connection, true));
    }

    /// Sets the remaining budget for new joins from one building, or from any other, in kB per second.
    pub fn set_crossing_budget(&mut self, from: Option<u16>, left: f64) {
        self.module.set_crossing_budget(from, left);
    }

    /// Sets the highest rung that a subscription from another building may have for now.
    pub fn cap_rung(&mut self, job: JobId, cap: Option<u8>) {
        self.deliver_outcomes();
        self.module.set_rung_cap(job, cap, self.executor);
    }

    /// Handles a streamer on which several other controllers have lost joins.
    pub fn failures_reported(&mut self, streamer: StreamerId) {
        self.module.failure_reported_by_peers(streamer);
    }

    /// Sends the viewer of a subscription that may no longer cross buildings back to this controller, to be
    /// placed like any other.
    pub fn redirect_home(&mut self, job: JobId) {
        self.end_with_redirect(job, "redirected: the budget for crossing buildings is spent");
    }

    /// Ends a subscription with a REDIRECT to this controller.
    pub(crate) fn end_with_redirect(&mut self, job: JobId, reason: &str) {
        self.deliver_outcomes();
        let Some(subscription) = self.executor.close(job) else { return };
        subscription.span.in_scope(|| tracing::info!(target: "badgerledge_exchange::floor", "{reason}"));
        match &subscription.join {
            Some(join) => {
                let latency = self.executor.now - join.sent_at;
                self.module.outcome(job, join.streamer, join.number, Ending::Cancelled, true, latency, &[]);
            }
            None => self.module.expired(job),
        }
        for connection in subscription.waiting_connections.iter().chain(&subscription.playing_connection) {
            self.executor.transport.redirect(*connection);
        }
    }

    /// Handles the result of a probe.
    pub fn probe_finished(&mut self, streamer: StreamerId, ending: Ending, latency: Duration, usage: &[f64]) {
        self.module.probe_result(streamer, ending, latency, usage);
    }

    /// Handles a reminder that the decision module has set.
    pub fn reminder_due(&mut self, token: u64) {
        self.module.timer_fired(token);
    }

    /// Handles a message of another controller.
    pub fn peer_message(&mut self, peer: u32, bytes: &[u8]) {
        self.module.receive_load_reports(peer, bytes);
    }

    /// Begins an update of the streamer list. A complete one replaces all `known` streamers: those that it
    /// does not name are gone.
    pub fn list_begins(&mut self, listing: Listing, known: impl Iterator<Item = StreamerId>) {
        if matches!(listing, Listing::Complete | Listing::Cached) {
            self.executor.subscriptions.begin_complete_list(known);
        }
        self.deliver_outcomes();
        self.module.list_begins(listing);
    }

    /// Handles one entry of the list; times are on the clock of the rounds.
    #[allow(clippy::too_many_arguments)]
    pub fn list_entry(
        &mut self, streamer: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        came_up: Start,
    ) {
        self.executor.subscriptions.apply_list_entry(streamer, health);
        self.module.list_entry(streamer, zone, kind, cell, health, weight, came_up);
    }

    /// Ends an update of the streamer list.
    pub fn list_ends(&mut self, listing: Listing) {
        self.module.list_ends(listing);
    }
}
